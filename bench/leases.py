"""Measure leases: time to take over after a death, datagrams, cost to a proxy, and coverage of the model search.

    .venv/bin/python -m bench.leases [--runs 5000] [--states 8000000] [--out bench/results]

Takeover is measured in virtual time with the settings as shipped (lease 3 s, tick 50 ms). The holder dies ten times
per run, at random moments, and restarts with empty memory a second later. Every datagram goes through the codec. The
cost to a proxy is measured on the lab's real processes: twenty idle proxies, and one under load, with leases and
census enabled and with both disabled. Writes ``leases.md`` and ``leases.png``.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from beechslip.leases.paxos import LeaseTuning
from lab.injected_faults import registered
from lab.scenario import read_scenario
from lab.search import Bounds, Search, SearchResult
from lab.stand import fetch
from lab.virtual import VirtualFleet, run_seed
from lab.virtual_plan import NetworkConditions, RunPlan
from lab.world import ScenarioRunner

FLEET_SIZES = (5, 20, 200)
LOSS_RATES = (0.0, 0.1, 0.3)
SEEDS_BY_SIZE = {5: 20, 20: 10, 200: 3}
DEATHS_PER_RUN = 10  # of the lease holder
DEATH_INTERVAL_MS = 8_000.0  # between two deaths
INJECTED_FAULT_SEEDS = 1000
INJECTED_FAULT_STATES = 1_000_000
COST_FLEET_SIZES = (20, 5)
COST_REQUESTS = 1000
IDLE_MEASURE_S = 15.0
SETTLE_S = 8.0  # longer than the quiet period after a start, so that the cost of starting is not counted
SEARCH_BOUNDS = (
    Bounds(1, (1, 1), 0, 0, 0),
    Bounds(1, (1, 1), 0, 0, 1),
    Bounds(1, (1, 1), 0, 1, 0),
    Bounds(2, (1, 1), 0, 0, 0),
    Bounds(2, (1, 1), 1, 0, 0),
    Bounds(2, (1, 1), 0, 1, 0),
)

LEASE_TUNING = LeaseTuning()  # what ``beechslip.leases.settings`` reads from the shipped file
# The stated bound: the lease time with its drift, two stagger times of the contenders, and one attempt.
TAKEOVER_BOUND_MS = (
    LEASE_TUNING.lease_ms * (1 + LEASE_TUNING.drift) + 2 * LEASE_TUNING.stagger_ms + LEASE_TUNING.attempt_ms
)


class TakeoverRun(NamedTuple):
    """Results of one run.

    ``times_ms`` are the times from each death of the holder to the next hold. ``datagrams`` and ``bytes`` are per
    member and second.
    """

    times_ms: list[float]
    datagrams: float
    bytes: float
    violations: int


class ProxyCost(NamedTuple):
    """Cost to one proxy: fraction of a core when idle, CPU time per request (ms, beyond idle), memory (MB)."""

    idle: float
    request_ms: float
    memory_mb: float


class TakeoverPercentiles(NamedTuple):
    """Median, 99th percentile and maximum of the times to take over (ms)."""

    median: float
    p99: float
    most: float


PercentilesByCell = dict[tuple[int, float], TakeoverPercentiles]  # by fleet size and loss


def measure_takeover(size: int, loss: float, seed: int) -> TakeoverRun:
    """Run a fleet in virtual time with ``DEATHS_PER_RUN`` deaths of the holder."""
    rng = random.Random(f"{size} {loss} {seed}")
    deaths_ms = [6_000.0 + k * DEATH_INTERVAL_MS + rng.uniform(0, 3_000.0) for k in range(DEATHS_PER_RUN)]
    until_ms = deaths_ms[-1] + DEATH_INTERVAL_MS
    plan = RunPlan(
        size,
        ("t0",),
        until_ms,
        NetworkConditions(loss, 0.0, 0.1 if loss else 0.0, 2_000.0),
        [(death_ms, "holder", [(0.0, "kill"), (1_000.0, "start")]) for death_ms in deaths_ms],
        tuning=LEASE_TUNING,
        tick_ms=50.0,
        use_codec=True,
        drill_every_ms=1e12,
    )
    fleet = VirtualFleet(plan, seed)
    fleet.keeps_events = True
    checker = fleet.run()
    seconds = until_ms / 1000.0
    return TakeoverRun(
        _times_to_next_hold(fleet.events, deaths_ms, until_ms),
        fleet.sent / size / seconds,
        fleet.bytes / size / seconds,
        len(checker.violations),
    )


def _times_to_next_hold(events: list[dict[str, Any]], deaths_ms: list[float], until_ms: float) -> list[float]:
    """Return, for each death with a holder before it, the ms until the next holder or the end of the run."""
    holds = [(event["t"], event["member"], event["life"]) for event in events if event["kind"] == "hold"]
    times: list[float] = []
    for death_ms in deaths_ms:
        before = [hold for hold in holds if hold[0] <= death_ms]
        if not before:
            continue
        after = [hold[0] for hold in holds if hold[0] > death_ms and hold[1:] != before[-1][1:]]
        times.append((after[0] if after else until_ms) - death_ms)
    return times


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure_cost(members: int, is_enabled: bool, requests: int, idle_s: float) -> ProxyCost:
    """Measure the cost to one proxy in a fleet of real processes, with leases and census enabled or disabled."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "pays.toml"
        leases = "[fleet.leases]\nenabled = true\n[fleet.census]\nenabled = true\n" if is_enabled else ""
        file.write_text(f"members = {members}\n{leases}")
        world = ScenarioRunner(read_scenario(file), Path(folder) / "run")
        if not is_enabled:
            world.testbed.fleet_toml = lambda number, declared: "enabled = false\n"  # type: ignore[method-assign]
        try:
            await world.open()
            await asyncio.sleep(SETTLE_S)
            return await _measure_proxies(world, requests, idle_s)
        finally:
            await world.close()


async def _measure_proxies(world: ScenarioRunner, requests: int, idle_s: float) -> ProxyCost:
    pids = [proxy.process.pid for proxy in world.testbed.proxies if proxy.process]
    began, cpu_s = time.monotonic(), sum(map(_cpu_s, pids))
    await asyncio.sleep(idle_s)
    idle = (sum(map(_cpu_s, pids)) - cpu_s) / (time.monotonic() - began) / len(world.testbed.proxies)
    pid = pids[0]
    port = int(world.testbed.proxies[0].config["listen"].split(":")[1])
    began, cpu_s = time.monotonic(), _cpu_s(pid)
    for k in range(requests):
        await fetch(port, f"/rpc/waveform/{k % 97:x}?slice=0")
    spent_s = _cpu_s(pid) - cpu_s - idle * (time.monotonic() - began)
    return ProxyCost(idle, spent_s / max(1, requests) * 1000.0, _memory_mb(pid))


def main() -> None:
    """Measure all sections, and write the page and its chart."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=5000)
    parser.add_argument("--states", type=int, default=8_000_000)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    lines = [
        "# Leases: what was searched, and what they cost",
        "",
        f"`python -m bench.leases --runs {args.runs} --states {args.states}`",
    ]
    with ProcessPoolExecutor(args.workers) as pool:
        lines += virtual_time_section(pool, args.runs, args.workers)
        lines += injected_faults_section(pool)
        lines += interleavings_section(pool, args.states)
        takeover_lines, percentiles_by_cell = takeover_section(pool)
    lines += [*takeover_lines, *cost_section()]
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "leases.md").write_text("\n".join(lines) + "\n")
    draw_chart(percentiles_by_cell, args.out / "leases.png")


def virtual_time_section(pool: ProcessPoolExecutor, runs: int, workers: int) -> list[str]:
    """Return the summary of the seeded runs in virtual time, and how many of them found a violation."""
    began = time.monotonic()
    outcomes = list(pool.map(run_seed, range(runs), chunksize=16))
    violating = [outcome for outcome in outcomes if outcome.violations]
    return [
        "",
        "## Virtual time",
        "",
        f"Seeds 0 to {runs - 1}, each with 3 to 7 members (growing to at most 11), 14 s, all faults: "
        f"{sum(o.steps for o in outcomes):,} steps, {sum(o.datagrams for o in outcomes):,} datagrams, "
        f"{sum(o.holds for o in outcomes):,} holds and extensions, "
        f"{sum(o.handovers for o in outcomes):,} handovers, {sum(o.acts for o in outcomes):,} acts taken; "
        f"**{len(violating)} seeds with a violation**. {time.monotonic() - began:.0f} s on {workers} workers.",
    ]


def injected_faults_section(pool: ProcessPoolExecutor) -> list[str]:
    """Return the table of how often each injected fault is detected, by seeds and by the model search."""
    lines = [
        "",
        "Injected faults over seeds 0 to 999, and in the search:",
        "",
        "| injected fault | what it breaks | seeds that find it, of 1000 | by the search (states until found) |",
        "| --- | --- | ---: | --- |",
    ]
    for name, fault in registered("leases").items():
        outcomes = pool.map(run_seed, range(INJECTED_FAULT_SEEDS), [name] * INJECTED_FAULT_SEEDS, chunksize=16)
        found = sum(bool(outcome.violations) for outcome in outcomes)
        lines.append(f"| {name} | {fault.description} | {found} | {states_until_found(name)} |")
        print(lines[-1], flush=True)
    return lines


def interleavings_section(pool: ProcessPoolExecutor, states: int) -> list[str]:
    """Search every interleaving within each of ``SEARCH_BOUNDS``, up to ``states`` states, and return the table."""
    lines = [
        "",
        "## Every interleaving",
        "",
        "Three acceptors, two proposers; a lease is one unit of time, acceptors' clocks run 50 % fast; any "
        "datagram may be lost. `python -m lab search`.",
        "",
        "| units of time | restarts | repeats | extensions | states | steps | all visited | two holders |",
        "| ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |",
    ]
    for bounds, found in zip(
        SEARCH_BOUNDS, pool.map(_search_within, SEARCH_BOUNDS, [states] * len(SEARCH_BOUNDS)), strict=True
    ):
        lines.append(
            f"| {bounds.units} | {bounds.restarts} | {bounds.repeats} | {bounds.renews} | {found.states:,} "
            f"| {found.steps:,} | {'yes' if found.is_complete else 'no'} "
            f"| {'yes' if found.violation else 'none'} |"
        )
        print(lines[-1], flush=True)
    return lines


def takeover_section(pool: ProcessPoolExecutor) -> tuple[list[str], PercentilesByCell]:
    """Return the table of the times to take over, and the data of the chart."""
    cells = [
        (size, loss, seed)
        for size in FLEET_SIZES
        for loss in LOSS_RATES
        for seed in range(1, SEEDS_BY_SIZE[size] + 1)
    ]
    runs = dict(zip(cells, pool.map(measure_takeover, *zip(*cells, strict=True)), strict=True))
    lines = [
        "",
        "## Time to take over after the holder's death",
        "",
        "Virtual time, shipped settings, deaths at random moments; a tenth of the datagrams late by up to 2 s "
        "where any are lost. Stated bound: lease time and drift, two turns of contenders, one attempt.",
        "",
        "| members | loss | deaths | median (ms) | p99 (ms) | most (ms) | bound (ms) | datagrams/member/s "
        "| bytes/member/s | violations |",
        "|" + " ---: |" * 10,
    ]
    percentiles_by_cell: PercentilesByCell = {}
    for size in FLEET_SIZES:
        for loss in LOSS_RATES:
            cell = [runs[size, loss, seed] for seed in range(1, SEEDS_BY_SIZE[size] + 1)]
            times = np.array([time_ms for run in cell for time_ms in run.times_ms])
            percentiles = percentiles_by_cell[size, loss] = TakeoverPercentiles(
                *(float(np.percentile(times, q)) for q in (50, 99, 100))
            )
            lines.append(
                f"| {size} | {loss:.0%} | {len(times)} | {percentiles.median:.0f} | {percentiles.p99:.0f} "
                f"| {percentiles.most:.0f} | {TAKEOVER_BOUND_MS:.0f} "
                f"| {np.mean([run.datagrams for run in cell]):.1f} | {np.mean([run.bytes for run in cell]):.0f} "
                f"| {sum(run.violations for run in cell)} |"
            )
            print(lines[-1], flush=True)
    return [*lines, "", "![time to take over](leases.png)"], percentiles_by_cell


def cost_section() -> list[str]:
    """Return the table of the cost to a proxy, with leases and census disabled and enabled."""
    lines = [
        "",
        "## What a proxy pays",
        "",
        "Real processes (relays and load in one process beside them); on: leases, census and a history file.",
        "",
        "| members | peers | CPU idle (share of a core, mean) | CPU a request (ms) | memory (MB) |",
        "| ---: | --- | ---: | ---: | ---: |",
    ]
    for members in COST_FLEET_SIZES:
        for is_enabled in (False, True):
            proxy_cost = asyncio.run(measure_cost(members, is_enabled, COST_REQUESTS, IDLE_MEASURE_S))
            lines.append(
                f"| {members} | {'on' if is_enabled else 'off'} | {proxy_cost.idle:.4f} "
                f"| {proxy_cost.request_ms:.2f} | {proxy_cost.memory_mb:.1f} |"
            )
            print(lines[-1], flush=True)
    return lines


def _search_within(bounds: Bounds, most: int) -> SearchResult:
    return Search(bounds).run(most)


def states_until_found(name: str) -> str:
    """Return the number of states until the search detects the injected fault, as text.

    The search runs in a process of its own, so that the fault cannot leak into the pool's processes.
    """
    code = (
        "from lab import lease_faults; from lab.injected_faults import inject; "
        "from lab.search import Bounds, Search\n"
        f"with inject({name!r}): f = Search(Bounds(1, restarts=1)).run({INJECTED_FAULT_STATES}, deep=True)\n"
        "print(f.states if f.violation else 0)"
    )
    states = int(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout)
    return f"{states:,}" if states else f"not within {INJECTED_FAULT_STATES:,}"


def draw_chart(percentiles_by_cell: PercentilesByCell, path: Path) -> None:
    """Draw the median and the longest times to take over by fleet size and loss, with the stated bound."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(7, 4))
    for loss in LOSS_RATES:
        medians = [percentiles_by_cell[size, loss].median for size in FLEET_SIZES]
        axes.plot(FLEET_SIZES, medians, marker="o", label=f"median, loss {loss:.0%}")
        most = [percentiles_by_cell[size, loss].most for size in FLEET_SIZES]
        axes.plot(FLEET_SIZES, most, marker="x", linestyle=":", label=f"most, loss {loss:.0%}")
    axes.plot(FLEET_SIZES, [TAKEOVER_BOUND_MS] * len(FLEET_SIZES), color="grey", linestyle="--", label="stated bound")
    axes.set(xscale="log", xlabel="members", ylabel="from death to the next hold (ms)", ylim=(0, None))
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
