"""Measure fleet orders: rolling restarts of twenty real proxies under load, with failures and all at once; every
numbered write failing; seeds in virtual time with all faults; injected faults.

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

from beechslip.orders.model import Kind
from bench.text import page
from lab.agent_fleet import WriteFault
from lab.agent_judge import CaseOutcome
from lab.agent_world import Fault, FaultKind, OrderCase, run_case
from lab.injected_faults import registered
from lab.virtual_agents import run_seed, run_with_write_fault

PROXIES = 20
AGENTS = 5
REQUESTS_PER_SECOND = 60.0
KINDS: tuple[Kind, ...] = ("restart", "drain", "retune")
INJECTED_FAULT_SEEDS = 1500
STEP_PREFIX = "step "
CHUNK_SIZE = 8


@dataclass(frozen=True, slots=True)
class Rollout:
    """A restart of all proxies, ``at_most`` at once, with faults."""

    at_most: int
    faults: tuple[Fault, ...] = ()


ROLLOUTS = {
    "rolling, 4 at once": Rollout(4),
    "rolling, 2 proxies killed": Rollout(4, (Fault(1.0, FaultKind.KILL, "n3"), Fault(3.0, FaultKind.KILL, "n12"))),
    "rolling, 10 proxies killed": Rollout(
        4, tuple(Fault(0.5 + 0.7 * k, FaultKind.KILL, f"n{2 * k}") for k in range(10))
    ),
    "rolling, its runner killed": Rollout(4, (Fault(2.0, FaultKind.KILL, "runner", 4.0),)),
    "all at once": Rollout(PROXIES),
}

ROLLOUT_HEAD = [
    "## Restarting twenty proxies under load",
    "",
    """Twenty real proxies under five agents on one SQLite store, 60 requests a second; a client that is
refused the connection tries two more proxies. Means over the seeds. Served: of all requests of the run; worst: of
those of one second while the order ran. Each agent looks at its instances twice a second.""",
    "",
    "| way | took s | served | worst second | not done, as the report has it | rules broken |",
    "| --- | ---: | ---: | ---: | --- | ---: |",
]
SWEEP_HEAD = [
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


def roll_out(name: str, seed: int) -> CaseOutcome:
    """One run of a rollout on real processes."""
    rollout = ROLLOUTS[name]
    case = OrderCase(
        f"bench {seed}",
        "restart",
        PROXIES,
        AGENTS,
        rollout.at_most,
        rollout.faults,
        seed=seed,
        rps=REQUESTS_PER_SECOND,
    )
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_case(case, Path(folder) / "run"))


def sweep_writes(kind: Kind, fault: WriteFault) -> tuple[int, Counter[str]]:
    """Every write of a start and an order failing in turn: plays, and how orders and steps ended."""
    writes = run_with_write_fault(kind).writes
    ended: Counter[str] = Counter()
    for write in range(1, writes + 1):
        result = run_with_write_fault(kind, write, fault)
        ended["violations"] += len(result.violations)
        ended[f"order {result.order.state}"] += 1
        ended.update(f"{STEP_PREFIX}{step.state}" for step in result.order.steps)
    return writes, ended


def steps_text(ended: Mapping[str, int]) -> str:
    """The counts of steps by state, in words."""
    counts = {name.removeprefix(STEP_PREFIX): n for name, n in ended.items() if name.startswith(STEP_PREFIX)}
    return ", ".join(f"{count:,} {state}" for state, count in sorted(counts.items()))


def printed(line: str) -> str:
    """The line, which is printed as it comes."""
    print(line, flush=True)
    return line


def rollout_rows(seeds: int, chart: Path) -> list[str]:
    """A row for each rollout, and the chart of their worst seconds."""
    rows = []
    worst: dict[str, float] = {}
    for name in ROLLOUTS if seeds else ():
        runs = [roll_out(name, seed) for seed in range(1, seeds + 1)]
        worst[name] = float(np.mean([run.min_served_fraction for run in runs]))
        rows.append(printed(rollout_row(name, runs, worst[name])))
    if worst:
        draw(worst, chart)
    return rows


def rollout_row(name: str, runs: Sequence[CaseOutcome], worst: float) -> str:
    """The means over the runs of one rollout."""
    took_s = np.mean([run.took_s for run in runs])
    served = np.mean([run.answers.get("200", 0) / max(1, sum(run.answers.values())) for run in runs])
    not_done = Counter(step.state for run in runs for step in run.orders[0].steps if step.state != "done")
    not_done_text = ", ".join(f"{count} {state}" for state, count in sorted(not_done.items())) or "-"
    violations = sum(len(run.violations) for run in runs)
    return f"| {name} | {took_s:.1f} | {served:.3f} | {worst:.2f} | {not_done_text} | {violations} |"


def sweep_rows(pool: ProcessPoolExecutor) -> list[str]:
    """A row for each kind of order and fault."""
    cells = [(kind, fault) for kind in KINDS for fault in WriteFault]
    results = pool.map(sweep_writes, *zip(*cells, strict=True))
    return [
        printed(
            f"| {kind} | {fault} | {writes} | {ended['order done']} | {steps_text(ended)} | {ended['violations']} |"
        )
        for (kind, fault), (writes, ended) in zip(cells, results, strict=True)
    ]


def soak_text(pool: ProcessPoolExecutor, seeds: int) -> str:
    """What came of seeds with all faults, in a sentence."""
    plays = list(pool.map(run_seed, range(seeds), chunksize=CHUNK_SIZE))
    total: Counter[str] = Counter()
    for result in plays:
        total.update(result.states)
    found = sum(bool(result.violations) for result in plays)
    return (
        f"Seeds 0 to {seeds - 1}, {total['writes']:,} writes, {total['done']:,} orders done and "
        f"{total['refused']:,} refused; steps: {steps_text(total)}. **{found} seeds with a violation**."
    )


def injected_fault_rows(pool: ProcessPoolExecutor) -> list[str]:
    """A row for each injected fault: how many seeds find it."""
    rows = []
    seeds = range(INJECTED_FAULT_SEEDS)
    for fault in sorted(registered("orders")):
        results = pool.map(run_seed, seeds, [fault] * len(seeds), chunksize=CHUNK_SIZE)
        rows.append(printed(f"| {fault} | {sum(bool(result.violations) for result in results)} |"))
    return rows


def main() -> None:
    """Run all parts and write their page."""
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--soak", type=int, default=5000)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    command = f"`python -m bench.orders --seeds {args.seeds} --soak {args.soak}`"
    lines = ["# Fleet orders", "", command, "", *ROLLOUT_HEAD, *rollout_rows(args.seeds, args.out / "orders.png")]
    with ProcessPoolExecutor(args.workers) as pool:
        lines += [*SWEEP_HEAD, *sweep_rows(pool)]
        lines += ["", "## Virtual time, all faults", "", soak_text(pool, args.soak), ""]
        lines += [f"| injected fault | seeds that find it, of {INJECTED_FAULT_SEEDS} |", "| --- | ---: |"]
        lines += injected_fault_rows(pool)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "orders.md").write_text(page(lines))


def draw(worst: Mapping[str, float], path: Path) -> None:
    """Bars of the worst second of each rollout."""
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
