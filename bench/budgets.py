"""Compare budgets with a static division of the limits, on the same seeds, in virtual time and on real processes.

    .venv/bin/python -m bench.budgets [--seeds 5] [--soak 5000] [--out bench/results]

The runs in virtual time are those of :mod:`bench.budget_measures`. Static division is the same program with floors
that add up to the whole limit and are never lent. This is what dividing by the number of proxies in the settings
gives today. Writes ``budgets.md`` and ``budgets.png``.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import itertools
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import numpy as np

from bench.budget_measures import (
    AFTER_DEATHS_S,
    DIVISIONS,
    ENCODED_FLEET_SIZE,
    LIMIT_KINDS,
    LOAD_BEGIN_MS,
    RUN_END_MS,
    SAMPLE_TIMES_S,
    WANTED_FRACTION,
    DeathsResult,
    measure_deaths,
    measure_newcomer,
    measure_unequal_traffic,
)
from bench.text import format_page
from lab.budget_trials import run_trial
from lab.injected_faults import registered
from lab.processes import ROOT
from lab.scenario import read_scenario
from lab.world import run_scenario

FLEET_SIZES = (ENCODED_FLEET_SIZE, 40)
LOSS_RATES = (0.0, 0.1)
DYING_FRACTIONS = (0.7, 0.3)
UNEQUAL_WANTED_FRACTIONS = (0.6, 0.9)
MESSAGE_PRICE = 0.0088  # price of peer messages in the settings
FULL_PRICE_BYTES = 256.0  # bytes per request from which the full price is paid
INJECTED_FAULT_SEEDS = 400
LAB_SCENARIOS = ("budget-mass-death", "budget-greedy", "budget-zone-moves", "budget-halves")


class DeathsCase(NamedTuple):
    """Parameters of one row of the runs with deaths. The row holds means over the seeds."""

    fraction: float
    loss: float
    size: int
    division: str


class DeathsTable:
    """The results of all runs with deaths."""

    def __init__(self, pool: ProcessPoolExecutor, seeds: list[int]) -> None:
        """Run each case with each seed."""
        self.cases = list(
            itertools.starmap(DeathsCase, itertools.product(DYING_FRACTIONS, LOSS_RATES, FLEET_SIZES, DIVISIONS))
        )
        runs = [(case.size, case.fraction, case.loss, case.division, seed) for case in self.cases for seed in seeds]
        results = iter(list(pool.map(measure_deaths, *zip(*runs, strict=True))))
        self._results = {case: [next(results) for _ in seeds] for case in self.cases}

    def mean(self, case: DeathsCase, value: Callable[[DeathsResult], float]) -> float:
        """Return the mean of ``value`` over the seeds."""
        return float(np.mean([value(result) for result in self._results[case]]))

    def mean_in_use(self, case: DeathsCase, kind: str, after: float) -> float:
        """Return the mean fraction in use of the limit ``kind``, ``after`` seconds from the deaths."""
        return self.mean(case, lambda result: result.in_use[kind, after])

    def violations(self, case: DeathsCase) -> int:
        """Return the number of violations over all seeds."""
        return sum(result.violations for result in self._results[case])


def in_use_section(table: DeathsTable) -> list[str]:
    """Return the table of the limits in use after deaths and of the requests served."""
    lines = [
        "",
        "## Fraction of the limit in use after deaths under load",
        "",
        f"""Clients want {WANTED_FRACTION} of each limit; those of the dead go to the living.
From 15 s later on the dead are back with nothing.""",
        "",
        "| dead | loss | members | division | kind | before | 1 s | 3 s | 10 s | all back | served "
        "| above the limit |",
        "| ---: | ---: | ---: | --- | --- |" + " ---: |" * 7,
    ]
    for case in table.cases:
        served = table.mean(case, lambda result: result.served)
        for kind in LIMIT_KINDS:
            in_use = " | ".join(f"{table.mean_in_use(case, kind, after):.2f}" for after in SAMPLE_TIMES_S)
            lines.append(
                f"| {case.fraction:.0%} | {case.loss:.0%} | {case.size} | {case.division} | {kind} | {in_use} "
                f"| {served:.2f} | {table.violations(case)} |"
            )
    return [*lines, "", "![in use after seven in ten die](budgets.png)"]


def cost_section(table: DeathsTable) -> list[str]:
    """Return the table of datagrams, bytes and their price per request."""
    lines = [
        "",
        "## Cost",
        "",
        f"""Leases and budgets together,
on these days; the price is the settings' for peer messages ({MESSAGE_PRICE} at
{FULL_PRICE_BYTES:.0f} bytes a request). Bytes are
counted with {ENCODED_FLEET_SIZE} members, and taken as many a datagram with more.""",
        "",
        "| members | loss | requests/proxy/s | datagrams/request | bytes/request | price/request |",
        "|" + " ---: |" * 6,
    ]
    load_s = (RUN_END_MS - LOAD_BEGIN_MS) / 1000.0
    for loss in LOSS_RATES:
        encoded_case = DeathsCase(DYING_FRACTIONS[0], loss, ENCODED_FLEET_SIZE, "lent")
        datagram_bytes = table.mean(encoded_case, lambda r: r.data_bytes) / table.mean(
            encoded_case, lambda r: r.datagrams
        )
        for size in FLEET_SIZES:
            case = DeathsCase(DYING_FRACTIONS[0], loss, size, "lent")
            rate = table.mean(case, lambda result: float(result.requests)) / load_s / size
            datagrams = table.mean(case, lambda result: result.datagrams)
            request_bytes = datagrams * datagram_bytes
            price = MESSAGE_PRICE * min(1.0, request_bytes / FULL_PRICE_BYTES)
            lines.append(
                f"| {size} | {loss:.0%} | {rate:.1f} | {datagrams:.3f} | {request_bytes:.1f} | {price:.5f} |"
            )
    return lines


def draw_in_use_chart(table: DeathsTable, path: Path) -> None:
    """Draw the fraction of the limits in use before and after seven in ten members die, without loss."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, len(LIMIT_KINDS), figsize=(11, 3.4), sharey=True)
    for plot, kind in zip(axes, LIMIT_KINDS, strict=True):
        for size, colour in zip(FLEET_SIZES, ("tab:blue", "tab:orange"), strict=True):
            for division, style in zip(DIVISIONS, (":", "-", "--"), strict=True):
                case = DeathsCase(DYING_FRACTIONS[0], 0.0, size, division)
                in_use = [table.mean_in_use(case, kind, after) for after in SAMPLE_TIMES_S]
                plot.plot(
                    range(len(SAMPLE_TIMES_S)),
                    in_use,
                    marker="o",
                    color=colour,
                    linestyle=style,
                    label=f"{size} {division}",
                )
        plot.set(
            title=kind,
            xticks=range(len(SAMPLE_TIMES_S)),
            ylim=(0, 1.05),
            xticklabels=["before", *(f"{after:g} s" for after in AFTER_DEATHS_S), "back"],
        )
    axes[0].set(ylabel="fraction of the limit in use")
    axes[0].legend(fontsize=6)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=90)


def unequal_section(pool: ProcessPoolExecutor, seeds: list[int]) -> list[str]:
    """Return the table of the requests served where proxies have unequal traffic."""
    lines = [
        "",
        "## Proxies of unequal traffic",
        "",
        """One in ten has five times the others' traffic; fraction of what
clients want that is served.""",
        "",
        "| clients want | members | division | the busy | the others | all | above the limit |",
        "| ---: | ---: | --- |" + " ---: |" * 4,
    ]
    cases = list(itertools.product(UNEQUAL_WANTED_FRACTIONS, FLEET_SIZES, DIVISIONS))
    runs = [(*case, seed) for case in cases for seed in seeds]
    results = iter(list(pool.map(measure_unequal_traffic, *zip(*runs, strict=True))))
    for wanted, size, division in cases:
        case_results = [next(results) for _ in seeds]
        busy = np.mean([result.busy_served for result in case_results])
        others = np.mean([result.others_served for result in case_results])
        served = np.mean([result.all_served for result in case_results])
        violations = sum(result.violations for result in case_results)
        lines.append(f"| {wanted} | {size} | {division} | {busy:.2f} | {others:.2f} | {served:.2f} | {violations} |")
    return lines


def newcomer_section(pool: ProcessPoolExecutor, seeds: list[int]) -> list[str]:
    """Return the table of the times until a member that starts under load has its share of the limits."""
    lines = [
        "",
        "## Time until a newcomer has four fifths of an even part of what clients want (s)",
        "",
        """It
starts under load. Of it the quiet period after a start is 3.1 s (window), 6.2 s (flight), 0 (rate); 30 s:
not within them. Mean (most).""",
        "",
        "| members | loss | division | window | flight | rate | above the limit |",
        "| ---: | ---: | --- |" + " ---: |" * 4,
    ]
    cases = list(itertools.product(FLEET_SIZES, LOSS_RATES, DIVISIONS[1:]))
    runs = [(*case, seed) for case in cases for seed in seeds]
    results = iter(list(pool.map(measure_newcomer, *zip(*runs, strict=True))))
    for size, loss, division in cases:
        case_results = [next(results) for _ in seeds]
        columns = []
        for kind in LIMIT_KINDS:
            seconds = [result.seconds[kind] for result in case_results]
            columns.append(f"{np.mean(seconds):.1f} ({max(seconds):.1f})")
        violations = sum(result.violations for result in case_results)
        lines.append(f"| {size} | {loss:.0%} | {division} | {' | '.join(columns)} | {violations} |")
    return lines


def soak_section(pool: ProcessPoolExecutor, seeds: int, workers: int) -> list[str]:
    """Return the result of seeds with all faults, and how many seeds detect each injected fault."""
    began = time.monotonic()
    outcomes = list(pool.map(run_trial, range(seeds), chunksize=8))
    violated = sum(bool(outcome.violations) for outcome in outcomes)
    steps = sum(outcome.steps for outcome in outcomes)
    window = np.percentile([outcome.max_used["window"] for outcome in outcomes], 90)
    flight = np.percentile([outcome.max_used["flight"] for outcome in outcomes], 90)
    lines = [
        "",
        "## Virtual time, all faults",
        "",
        f"""Seeds 0 to {seeds - 1}, {steps:,} steps:
**{violated} seeds with a violation**.
The most in use at once came to {window:.2f} (window)
and {flight:.2f} (flight) of the limit in one seed of ten. {time.monotonic() - began:.0f} s on {workers}
workers.""",
        "",
        f"| injected fault | seeds that find it, of {INJECTED_FAULT_SEEDS} |",
        "| --- | ---: |",
    ]
    for fault in sorted(registered("budgets")):
        fault_outcomes = pool.map(run_trial, range(INJECTED_FAULT_SEEDS), [fault] * INJECTED_FAULT_SEEDS, chunksize=8)
        lines.append(f"| {fault} | {sum(bool(outcome.violations) for outcome in fault_outcomes)} |")
        print(lines[-1], flush=True)
    return lines


class LabResult(NamedTuple):
    """Result of one lab scenario.

    ``max_used`` is the most in use at once by kind of limit. ``served`` is the fraction of the load that was served.
    """

    max_used: dict[str, float]
    served: float


def run_lab_scenario(name: str, has_budgets: bool) -> LabResult:
    """Run one lab scenario, with budgets or without them."""
    scenario = read_scenario(ROOT / "lab" / "scenarios" / f"{name}.toml")
    tables = {table: dict(values) for table, values in scenario.tables.items()}
    tables["budgets"]["enabled"] = has_budgets
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(run_scenario(dataclasses.replace(scenario, tables=tables), Path(folder) / "run"))
    max_used: dict[str, float] = {}
    for limit, used in result.used.items():
        kind = limit.split(":")[0]
        max_used[kind] = max(max_used.get(kind, 0.0), used)
    return LabResult(max_used, result.answers.get("200", 0) / max(1, sum(result.answers.values())))


def lab_section() -> list[str]:
    """Return the table of scenarios on the lab's processes, without budgets and with them."""
    lines = [
        "",
        "## Users, before and after, on the lab's processes",
        "",
        """The most that was in use at once of any
limit of the kind, as a fraction of it, as the stand-in backends met it; and the fraction of the load that was served.
Before: the same
scenario without budgets. One play each.""",
        "",
        "| scenario | kind | before | with budgets | served before | served with |",
        "| --- | --- |" + " ---: |" * 4,
    ]
    for name in LAB_SCENARIOS:
        before = run_lab_scenario(name, False)
        after = run_lab_scenario(name, True)
        for kind in sorted(set(before.max_used) | set(after.max_used)):
            lines.append(
                f"| {name} | {kind} | {before.max_used.get(kind, 0.0):.2f} | {after.max_used.get(kind, 0.0):.2f} "
                f"| {before.served:.2f} | {after.served:.2f} |"
            )
            print(lines[-1], flush=True)
    return lines


def main() -> None:
    """Measure all sections and write the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--soak", type=int, default=5000)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    seeds = list(range(1, args.seeds + 1))
    lines = [
        "# Budgets against static division",
        "",
        f"`python -m bench.budgets --seeds {args.seeds} --soak {args.soak}`",
        "",
        """Virtual time, settings as shipped but for the
limits:
12 fills in flight, 12 requests a window of 3 s and 8 retries a
second for each declared proxy. Means over the seeds. *static*: as the settings divide today; *lent*: floors of the
whole limit, lent where not needed (`floor_share = 1`, the default); *pool*: half by right, half by grants (0.5).""",
    ]
    with ProcessPoolExecutor(args.workers) as pool:
        table = DeathsTable(pool, seeds)
        lines += in_use_section(table)
        lines += cost_section(table)
        draw_in_use_chart(table, args.out / "budgets.png")
        lines += unequal_section(pool, seeds)
        lines += newcomer_section(pool, seeds)
        lines += soak_section(pool, args.soak, args.workers)
    lines += lab_section()
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "budgets.md").write_text(format_page(lines))


if __name__ == "__main__":
    main()
