"""Measure fleet orders on real processes and in virtual time.

Measured are rolling restarts of twenty real proxies under load, with failures and all proxies at once; orders with
each numbered write failing in turn; seeds in virtual time with all faults; and how many seeds detect each injected
fault.

    .venv/bin/python -m bench.orders [--seeds 2] [--soak 5000] [--out bench/results]

Writes ``orders.md`` and ``orders.png``.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import tempfile
from collections import Counter
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from beechslip.orders.model import OrderKind
from bench.text import format_page
from lab.agent_fleet import WriteFault
from lab.agent_judge import CaseOutcome
from lab.agent_world import Fault, FaultKind, OrderCase, run_case
from lab.injected_faults import registered
from lab.virtual_agents import run_seed, run_with_write_fault

PROXY_COUNT = 20
AGENT_COUNT = 5
REQUESTS_PER_SECOND = 60.0
ORDER_KINDS: tuple[OrderKind, ...] = ("restart", "drain", "retune")
INJECTED_FAULT_SEEDS = 1500
STEP_PREFIX = "step "
SEEDS_PER_TASK = 8


@dataclass(frozen=True, slots=True)
class Rollout:
    """A restart of all proxies, at most ``at_most`` at once, with faults."""

    at_most: int
    faults: tuple[Fault, ...] = ()


ROLLOUTS = {
    "rolling, 4 at once": Rollout(4),
    "rolling, 2 proxies killed": Rollout(4, (Fault(1.0, FaultKind.KILL, "n3"), Fault(3.0, FaultKind.KILL, "n12"))),
    "rolling, 10 proxies killed": Rollout(
        4, tuple(Fault(0.5 + 0.7 * k, FaultKind.KILL, f"n{2 * k}") for k in range(10))
    ),
    "rolling, its runner killed": Rollout(4, (Fault(2.0, FaultKind.KILL, "runner", 4.0),)),
    "all at once": Rollout(PROXY_COUNT),
}

ROLLOUT_HEADING = [
    "## Restarting twenty proxies under load",
    "",
    """Twenty real proxies under five agents on one SQLite store, 60 requests a second; a client that is
refused the connection tries two more proxies. Means over the seeds. Served: of all requests of the run; worst: of
those of one second while the order ran. Each agent looks at its instances twice a second.""",
    "",
    "| way | took s | served | worst second | not done, as the report has it | rules broken |",
    "| --- | ---: | ---: | ---: | --- | ---: |",
]
SWEEP_HEADING = [
    "",
    "![worst second](orders.png)",
    "",
    "## Every numbered write failing",
    "",
    """A start of four instances under two agents and an order over all of them, once for each write of
the fleet. *lost*: carried out, and its answer lost; *dies*: the agent that writes is killed, before
or after it.""",
    "",
    "| order | how | plays | orders done | steps | rules broken |",
    "| --- | --- | ---: | ---: | --- | ---: |",
]


def run_rollout(name: str, seed: int) -> CaseOutcome:
    """Run a rollout once on real processes."""
    rollout = ROLLOUTS[name]
    case = OrderCase(
        f"bench {seed}",
        "restart",
        PROXY_COUNT,
        AGENT_COUNT,
        rollout.at_most,
        rollout.faults,
        seed=seed,
        rps=REQUESTS_PER_SECOND,
    )
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_case(case, Path(folder) / "run"))


def sweep_writes(kind: OrderKind, fault: WriteFault) -> tuple[int, Counter[str]]:
    """Run a start and an order once for each write, with that write failing.

    Returns the number of runs and how often orders and steps ended in each state.
    """
    writes = run_with_write_fault(kind).writes
    end_counts: Counter[str] = Counter()
    for write in range(1, writes + 1):
        result = run_with_write_fault(kind, write, fault)
        end_counts["violations"] += len(result.violations)
        end_counts[f"order {result.order.state}"] += 1
        end_counts.update(f"{STEP_PREFIX}{step.state}" for step in result.order.steps)
    return writes, end_counts


def steps_text(end_counts: Mapping[str, int]) -> str:
    """Return the counts of steps by state as text."""
    counts = {name.removeprefix(STEP_PREFIX): n for name, n in end_counts.items() if name.startswith(STEP_PREFIX)}
    return ", ".join(f"{count:,} {state}" for state, count in sorted(counts.items()))


def print_and_return(line: str) -> str:
    """Print ``line`` at once and return it."""
    print(line, flush=True)
    return line


def rollout_rows(seeds: int, chart: Path) -> list[str]:
    """Return a row for each rollout, and draw the chart of their worst seconds."""
    rows = []
    worst: dict[str, float] = {}
    for name in ROLLOUTS if seeds else ():
        runs = [run_rollout(name, seed) for seed in range(1, seeds + 1)]
        worst[name] = float(np.mean([run.min_served_fraction for run in runs]))
        rows.append(print_and_return(rollout_row(name, runs, worst[name])))
    if worst:
        draw_worst_seconds(worst, chart)
    return rows


def rollout_row(name: str, runs: Sequence[CaseOutcome], worst: float) -> str:
    """Return the row of one rollout: the means over its runs."""
    took_s = np.mean([run.took_s for run in runs])
    served = np.mean([run.answers.get("200", 0) / max(1, sum(run.answers.values())) for run in runs])
    not_done = Counter(step.state for run in runs for step in run.orders[0].steps if step.state != "done")
    not_done_text = ", ".join(f"{count} {state}" for state, count in sorted(not_done.items())) or "-"
    violations = sum(len(run.violations) for run in runs)
    return f"| {name} | {took_s:.1f} | {served:.3f} | {worst:.2f} | {not_done_text} | {violations} |"


def sweep_rows(pool: ProcessPoolExecutor) -> list[str]:
    """Return a row for each kind of order and fault."""
    cells = [(kind, fault) for kind in ORDER_KINDS for fault in WriteFault]
    results = pool.map(sweep_writes, *zip(*cells, strict=True))
    return [
        print_and_return(
            f"| {kind} | {fault} | {writes} | {end_counts['order done']} | {steps_text(end_counts)} "
            f"| {end_counts['violations']} |"
        )
        for (kind, fault), (writes, end_counts) in zip(cells, results, strict=True)
    ]


def soak_text(pool: ProcessPoolExecutor, seeds: int) -> str:
    """Return the results of the seeds with all faults, as text."""
    results = list(pool.map(run_seed, range(seeds), chunksize=SEEDS_PER_TASK))
    total: Counter[str] = Counter()
    for result in results:
        total.update(result.states)
    found = sum(bool(result.violations) for result in results)
    return (
        f"Seeds 0 to {seeds - 1}, {total['writes']:,} writes, {total['done']:,} orders done and "
        f"{total['refused']:,} refused; steps: {steps_text(total)}. **{found} seeds with a violation**."
    )


def injected_fault_rows(pool: ProcessPoolExecutor) -> list[str]:
    """Return a row for each injected fault with the number of seeds that detect it."""
    rows = []
    seeds = range(INJECTED_FAULT_SEEDS)
    for fault in sorted(registered("orders")):
        results = pool.map(run_seed, seeds, [fault] * len(seeds), chunksize=SEEDS_PER_TASK)
        rows.append(print_and_return(f"| {fault} | {sum(bool(result.violations) for result in results)} |"))
    return rows


def main() -> None:
    """Run all measurements and write the page."""
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--soak", type=int, default=5000)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    command = f"`python -m bench.orders --seeds {args.seeds} --soak {args.soak}`"
    lines = ["# Fleet orders", "", command, "", *ROLLOUT_HEADING, *rollout_rows(args.seeds, args.out / "orders.png")]
    with ProcessPoolExecutor(args.workers) as pool:
        lines += [*SWEEP_HEADING, *sweep_rows(pool)]
        lines += ["", "## Virtual time, all faults", "", soak_text(pool, args.soak), ""]
        lines += [f"| injected fault | seeds that find it, of {INJECTED_FAULT_SEEDS} |", "| --- | ---: |"]
        lines += injected_fault_rows(pool)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "orders.md").write_text(format_page(lines))


def draw_worst_seconds(worst: Mapping[str, float], path: Path) -> None:
    """Draw the worst second of each rollout as bars."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6.5, 2.6))
    axes.barh(list(worst)[::-1], list(worst.values())[::-1])
    axes.set(xlabel="share served in the worst second", xlim=(0, 1))
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
