"""Single runs for :mod:`bench.regions`, on the lab's processes and in virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from beechslip.leases.paxos import LeaseTuning
from beechslip.regions.coordinator import CoordinatorTuning
from beechslip.regions.node_types import LEASE, RegionTiming
from lab.backends import BusyBackend
from lab.processes import ROOT
from lab.scenario import read_scenario
from lab.virtual_plan import NetworkConditions, RunPlan
from lab.virtual_regions import NO_DRILL_MS, SIZES, RegionFault, RegionFleet, RegionHealth
from lab.world import ScenarioRunner

DEPARTURE_GAP_MS = 400.0  # a proxy that sends nothing through the hub for longer than this has left it
FILL_INTERVAL_MS = 250.0  # fills of an object within one interval count as simultaneous
FAILED_ATTEMPT_COUNTERS = ("attempt.error", "attempt.reset", "attempt.timeout")

FAULT_AT_MS = 15_000.0  # in virtual time
RUN_LENGTH_MS = 30_000.0
FAILED_HUB = "hub:h1"


@dataclass(frozen=True, slots=True)
class ScenarioRun:
    """Parameters of one run on processes.

    ``hub`` is the hub that fails in the lab scenario. ``has_regions`` is False for the program without regions.
    """

    scenario: str
    hub: str
    has_regions: bool
    seed: int


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Results of one run on processes. Times are in ms, fractions from 0 to 1.

    ``return_ms`` is the time from the hub's recovery to the last changeover, or ``None`` if not all proxies returned.
    """

    lost: float
    return_ms: float | None
    departure_ms: float
    median_departure_ms: float
    filled_twice: float
    failed_attempts: float
    p99_ms: float
    served: float
    violations: float


@dataclass(frozen=True, slots=True)
class DepartureRun:
    """Parameters of one run in virtual time in which a hub fails.

    ``requests_per_s`` is of each member. ``fault`` is "dies" or "slow". ``loss`` is the fraction of datagrams lost.
    """

    members: int
    requests_per_s: float
    fault: str
    loss: float
    seed: int


@dataclass(frozen=True, slots=True)
class DepartureResult:
    """Results of a run in which a hub fails.

    ``half_ms`` and ``all_ms`` are the times from the failure until half of the members and until all of them have
    left the hub. ``bytes_per_s`` is of each member.
    """

    half_ms: float
    all_ms: float
    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class FaultFreeRun:
    """Parameters of one run in virtual time in which no region fails.

    ``failure_rate`` is the fraction of all attempts that fails.
    """

    members: int
    failure_rate: float
    seconds: float
    seed: int


@dataclass(frozen=True, slots=True)
class FaultFreeResult:
    """The largest number of regions that were out at once, and the number of attempts."""

    max_away: int
    attempts: int


def departure_ms(times: Iterable[float], failed_at_ms: float) -> float | None:
    """Return the time from the failure to the last attempt before the first gap, or ``None`` without attempts.

    ``times`` are those of one proxy's attempts through the hub.
    """
    last = None
    for time in sorted(time for time in times if time >= failed_at_ms):
        if last is not None and time - last > DEPARTURE_GAP_MS:
            break
        last = time
    return None if last is None else last - failed_at_ms


def filled_twice(fills: Iterable[tuple[float, object, str]]) -> float:
    """Return the fraction of the intervals with fills of an object in which more than one place filled it.

    Each fill is a time in ms, the object, and the place. An interval is ``FILL_INTERVAL_MS`` long.
    """
    places: dict[tuple[object, int], set[str]] = {}
    for time, key, place in fills:
        places.setdefault((key, int(time / FILL_INTERVAL_MS)), set()).add(place)
    return sum(len(filling_places) > 1 for filling_places in places.values()) / max(1, len(places))


def measure_scenario(run: ScenarioRun) -> ScenarioResult:
    """Run a scenario on the lab's processes."""
    return asyncio.run(_measure_scenario(run))


async def _measure_scenario(run: ScenarioRun) -> ScenarioResult:
    scenario = read_scenario(ROOT / "lab" / "scenarios" / f"{run.scenario}.toml")
    tables = {name: dict(table) for name, table in scenario.tables.items()}
    tables["regions"]["enabled"] = run.has_regions
    with tempfile.TemporaryDirectory() as folder:
        world = ScenarioRunner(dataclasses.replace(scenario, tables=tables, seed=run.seed), Path(folder) / "run")
        try:
            await world.open()
            result = await world.play()
        finally:
            await world.close()
    zone_faults = [event["t"] for event in result.events if event["kind"] == "fault" and event.get("what") == "zone"]
    failed_at_ms = zone_faults[0]
    fills = [
        request
        for backend in world.testbed.backends
        if isinstance(backend, BusyBackend)
        for request in backend.received_requests
        if not request.is_probe and request.source
    ]
    departures = _departures((request for request in fills if request.source == run.hub), failed_at_ms)
    # From the failure to the end of the load. A request is served if its status is 200.
    served_after = [outcome.answer == "200" for outcome in world.load.outcomes if outcome.at_ms >= failed_at_ms]
    return ScenarioResult(
        lost=served_after.count(False) / max(1, len(served_after)),
        return_ms=_return_ms(result.events, zone_faults[1:]),
        departure_ms=max(departures, default=0.0),
        median_departure_ms=float(np.median(departures)) if departures else 0.0,
        filled_twice=filled_twice(
            (request.time_ms, request.target, request.source) for request in fills if request.time_ms >= failed_at_ms
        ),
        failed_attempts=float(
            sum(counters.get(name, 0) for counters in result.counters.values() for name in FAILED_ATTEMPT_COUNTERS)
        ),
        p99_ms=result.latency_ms["p99"],
        served=result.answers.get("200", 0) / max(1, sum(result.answers.values())),
        violations=float(len(result.violations)),
    )


def _departures(fills: Iterable[Any], failed_at_ms: float) -> list[float]:
    """Return the time until each proxy has left the hub.

    Only proxies with attempts through the hub after its failure count. The trace id of an attempt names its proxy.
    """
    times: dict[str, list[float]] = {}
    for request in fills:
        times.setdefault(request.trace_id[:2], []).append(request.time_ms)
    departures = (departure_ms(proxy_times, failed_at_ms) for proxy_times in times.values())
    return [elapsed for elapsed in departures if elapsed is not None]


def _return_ms(events: Iterable[Mapping[str, Any]], recoveries: list[float]) -> float | None:
    changeovers = [event for event in events if event["kind"] == "changeover"]
    away = {event["member"]: bool(event["away"]) for event in changeovers}
    if not recoveries or not changeovers or any(away.values()):
        return None
    elapsed = float(max(event["t"] for event in changeovers) - recoveries[-1])
    return elapsed if elapsed >= 0 else None


def measure_departure(run: DepartureRun) -> DepartureResult:
    """Let a hub fail in virtual time, with the settings as shipped.

    If not all members leave the hub, the times are those from the failure to the end of the run.
    """
    net = NetworkConditions(run.loss, 0.0, run.loss, 500.0)
    health = RegionHealth(1.0) if run.fault == "dies" else RegionHealth(slowdown=10.0)
    fleet = _shipped_fleet(
        run.members, RUN_LENGTH_MS, net, 50.0, run.seed, [RegionFault(FAULT_AT_MS, FAILED_HUB, health)]
    )
    fleet.requests_per_s = run.requests_per_s
    fleet.use_region_codec = True
    fleet.keeps_events = True
    fleet.run()
    first_departures = {
        event["member"]: event["t"]
        for event in reversed(fleet.events)
        if event["kind"] == "changeover" and FAILED_HUB in event["away"]
    }
    times = sorted(first_departures.values())
    if len(times) < run.members:
        return DepartureResult(RUN_LENGTH_MS - FAULT_AT_MS, RUN_LENGTH_MS - FAULT_AT_MS, 0.0)
    bytes_per_s = fleet.region_bytes / run.members / (RUN_LENGTH_MS / 1000.0)
    return DepartureResult(times[run.members // 2] - FAULT_AT_MS, times[-1] - FAULT_AT_MS, bytes_per_s)


def measure_fault_free_run(run: FaultFreeRun) -> FaultFreeResult:
    """Count the regions that are left although none fails, while a fraction of all attempts fails."""
    faults = [RegionFault(0.0, name, RegionHealth(run.failure_rate)) for name in SIZES]
    fleet = _shipped_fleet(run.members, run.seconds * 1000.0, NetworkConditions(0.05), 100.0, run.seed, faults)
    fleet.run()
    return FaultFreeResult(fleet.regions.max_away, fleet.attempts)


def _shipped_fleet(
    members: int, until_ms: float, net: NetworkConditions, tick_ms: float, seed: int, faults: list[RegionFault]
) -> RegionFleet:
    """Return a fleet with the settings as shipped and no faults but ``faults`` and those of ``net``."""
    plan = RunPlan(
        members,
        (LEASE,),
        until_ms,
        net,
        [],
        tuning=LeaseTuning(),
        tick_ms=tick_ms,
        drill_every_ms=NO_DRILL_MS,
    )
    return RegionFleet(seed, plan, faults, CoordinatorTuning(), RegionTiming())
