"""Measure how a fleet leaves failed regions and returns, compared with each proxy deciding by itself.

    .venv/bin/python -m bench.regions [--seeds 3] [--soak 5000] [--calm-s 3600] [--out bench/results]

Both use the same scenarios and seeds. Runs on the lab's processes (8 proxies, 3 hubs, 5 stations) have regions
enabled or disabled. A request's id names its proxy, so that the backends' records show when each proxy left. Runs in
virtual time measure all faults, injected faults, the time to leave with few requests per proxy, and false departures
while no region fails but some attempts do. Writes ``regions.md`` and ``regions.png``.
"""

from __future__ import annotations

import argparse
import itertools
from concurrent.futures import Executor, ProcessPoolExecutor
from pathlib import Path

import numpy as np

from bench.region_measures import (
    DepartureRun,
    FaultFreeRun,
    ScenarioResult,
    ScenarioRun,
    measure_departure,
    measure_fault_free_run,
    measure_scenario,
)
from bench.text import format_page
from lab.injected_faults import registered
from lab.region_trials import run_trial

# The hub that fails in each scenario.
HUBS_BY_SCENARIO = {
    "region-hub-dies": "hub2",
    "region-hub-slow": "hub",
    "region-flaps": "hub3",
    "region-two-hubs": "hub",
}
SCENARIO_WORKERS = 2  # each runs a scenario with processes of its own
FLEET_LOADS = ((10, 12.0), (40, 3.0), (200, 0.6))  # members, requests per second of each
HUB_FAULTS = ("dies", "slow")
LOSS_RATES = (0.0, 0.1)
FAULT_FREE_FAILURE_RATES = (0.01, 0.03)
FAULT_FREE_SEEDS = (1, 2)
FAULT_FREE_MEMBERS = 10
INJECTED_FAULT_SEEDS = 1000
MESSAGE_PRICE = 0.0088  # price of peer messages in the settings
FULL_PRICE_BYTES = 256.0  # bytes per request from which the full price is paid


def scenario_section(seeds: int) -> list[str]:
    """Return the table of scenarios on processes, with regions off and on."""
    lines = [
        "## On processes",
        "",
        """8 proxies, 3 hubs, 5 stations, 120 to 200 requests a second; means over the seeds, and the most where it
says so. *Off*: the program without regions. Left: from the failure to a proxy's last attempt through the hub. Twice:
of the moments (250 ms) in which an object was filled, those in which its fills met at two places. Lost: part of the
requests from the failure to the end of the load that were not served. Back: from when the hub is well again to the
last proxy's last change-over (mean of the seeds with a full return).""",
        "",
        "| scenario | regions | all left, mean (most) ms | each left, median ms | twice | failed attempts | p99 ms "
        "| served | lost after | back, s | violations |",
        "| --- | --- |" + " ---: |" * 9,
    ]
    cells = list(itertools.product(HUBS_BY_SCENARIO, (False, True)))
    runs = {
        (name, has_regions): [
            ScenarioRun(name, HUBS_BY_SCENARIO[name], has_regions, seed) for seed in range(1, seeds + 1)
        ]
        for name, has_regions in cells
    }
    with ProcessPoolExecutor(SCENARIO_WORKERS) as pool:
        all_runs = list(itertools.chain.from_iterable(runs.values()))
        results = dict(zip(all_runs, pool.map(measure_scenario, all_runs), strict=True))
    for name, has_regions in cells if seeds else ():
        lines.append(_scenario_row(name, has_regions, [results[run] for run in runs[name, has_regions]]))
        print(lines[-1], flush=True)
    return lines


def _scenario_row(name: str, has_regions: bool, results: list[ScenarioResult]) -> str:
    def mean(field: str) -> float:
        return float(np.mean([getattr(result, field) for result in results]))

    returns = [result.return_ms / 1000.0 for result in results if has_regions and result.return_ms is not None]
    cells = (
        name,
        "on" if has_regions else "off",
        f"{mean('departure_ms'):.0f} ({max(result.departure_ms for result in results):.0f})",
        f"{mean('median_departure_ms'):.0f}",
        f"{mean('filled_twice'):.3f}",
        f"{mean('failed_attempts'):.0f}",
        f"{mean('p99_ms'):.0f}",
        f"{mean('served'):.3f}",
        f"{mean('lost'):.3f}",
        f"{np.mean(returns):.1f}" if returns else "-",
        f"{mean('violations'):.0f}",
    )
    return f"| {' | '.join(cells)} |"


def departure_section(pool: Executor, seeds: int, chart_path: Path) -> list[str]:
    """Return the table of times to leave a failed hub by fleet size, and draw the means without loss."""
    lines = [
        "",
        "## Time to leave, by size of the fleet",
        "",
        """Virtual time, settings as shipped, 120 requests a second over the whole fleet; every message through its
codec. ms from the hub's failure; 15000: not within 15 s.""",
        "",
        "| members | requests/proxy/s | hub | loss | half, mean | all, mean (most) | bytes/member/s |",
        "| ---: | ---: | --- |" + " ---: |" * 4,
    ]
    runs = [
        DepartureRun(members, rate, fault, loss, seed)
        for (members, rate), fault, loss, seed in itertools.product(
            FLEET_LOADS, HUB_FAULTS, LOSS_RATES, range(1, seeds + 1)
        )
    ]
    results = dict(zip(runs, pool.map(measure_departure, runs), strict=True))
    means: dict[tuple[int, str], float] = {}
    for (members, rate), fault, loss in itertools.product(FLEET_LOADS, HUB_FAULTS, LOSS_RATES):
        case_results = [results[DepartureRun(members, rate, fault, loss, seed)] for seed in range(1, seeds + 1)]
        half_ms = np.mean([result.half_ms for result in case_results])
        all_ms = float(np.mean([result.all_ms for result in case_results]))
        most_ms = max(result.all_ms for result in case_results)
        bytes_per_s = np.mean([result.bytes_per_s for result in case_results])
        if loss == 0.0:
            means[members, fault] = all_ms
        lines.append(
            f"| {members} | {rate:g} | {fault} | {loss:.0%} | {half_ms:.0f} | {all_ms:.0f} ({most_ms:.0f}) "
            f"| {bytes_per_s:.0f} |"
        )
        print(lines[-1], flush=True)
    draw_chart(means, chart_path)
    return [
        *lines,
        "",
        f"![time to leave]({chart_path.name})",
        "",
        f"""Price at {MESSAGE_PRICE} for {FULL_PRICE_BYTES:.0f} bytes a request: at 40 members and 3 requests a proxy
a second, bytes a member a second / 3 / {FULL_PRICE_BYTES:.0f} of it.""",
    ]


def false_departures_section(pool: Executor, seconds: float) -> list[str]:
    """Return the table of regions that are left although none fails."""
    lines = [
        "",
        "## False leavings in calm",
        "",
        f"Ten proxies, {seconds:g} s, 5 % of datagrams lost.",
        "",
        "| errors | seed | attempts | regions left |",
        "| ---: | ---: | ---: | ---: |",
    ]
    runs = [
        FaultFreeRun(FAULT_FREE_MEMBERS, rate, seconds, seed)
        for rate, seed in itertools.product(FAULT_FREE_FAILURE_RATES, FAULT_FREE_SEEDS)
    ]
    for run, result in zip(runs, pool.map(measure_fault_free_run, runs), strict=True):
        lines.append(f"| {run.failure_rate:.0%} | {run.seed} | {result.attempts:,} | {result.max_away} |")
        print(lines[-1], flush=True)
    return lines


def soak_section(pool: Executor, soak: int) -> list[str]:
    """Return the violations over ``soak`` seeds, and how many seeds detect each injected fault."""
    outcomes = list(pool.map(run_trial, range(soak), chunksize=8))
    steps = sum(outcome.steps for outcome in outcomes)
    orders = sum(outcome.orders for outcome in outcomes)
    changeovers = sum(outcome.changeovers for outcome in outcomes)
    violated = sum(bool(outcome.violations) for outcome in outcomes)
    left = sum(outcome.max_away > 0 for outcome in outcomes)
    lines = [
        "",
        "## Virtual time, all faults",
        "",
        f"""Seeds 0 to {soak - 1}, {steps:,} steps, {orders:,} orders, {changeovers:,} change-overs:
**{violated} seeds with a violation**; in {left} a region was left.""",
        "",
        f"| injected fault | seeds that find it, of {INJECTED_FAULT_SEEDS} |",
        "| --- | ---: |",
    ]
    for fault in sorted(registered("regions")):
        trials = pool.map(run_trial, range(INJECTED_FAULT_SEEDS), [fault] * INJECTED_FAULT_SEEDS, chunksize=8)
        lines.append(f"| {fault} | {sum(bool(outcome.violations) for outcome in trials)} |")
        print(lines[-1], flush=True)
    return lines


def draw_chart(means: dict[tuple[int, str], float], path: Path) -> None:
    """Draw the mean time until all members have left, by number of members and kind of fault."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 3.4))
    for fault in HUB_FAULTS:
        sizes = sorted({members for members, _ in means})
        axes.plot(sizes, [means[members, fault] for members in sizes], marker="o", label=f"hub {fault}")
    axes.set(
        xscale="log",
        xlabel="proxies (120 requests a second over all)",
        ylabel="until all have left (ms)",
        ylim=(0, None),
    )
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=90)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--soak", type=int, default=5000)
    parser.add_argument("--calm-s", type=float, default=3600.0)
    parser.add_argument("--lab-seeds", type=int, default=2, help="seeds of the scenarios on processes")
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    return parser.parse_args()


def main() -> None:
    """Run all sections and write the page."""
    args = parse_arguments()
    command = f"`python -m bench.regions --seeds {args.seeds} --soak {args.soak} --calm-s {args.calm_s:g}`"
    lines = ["# Leaving a zone or region as a fleet, against each proxy by itself", "", command, ""]
    lines += scenario_section(args.lab_seeds)
    with ProcessPoolExecutor(args.workers) as pool:
        lines += departure_section(pool, args.seeds, args.out / "regions.png")
        lines += false_departures_section(pool, args.calm_s)
        lines += soak_section(pool, args.soak)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "regions.md").write_text(format_page(lines))


if __name__ == "__main__":
    main()
