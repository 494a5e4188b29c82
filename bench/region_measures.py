"""What :mod:`bench.regions` measures: single runs on the lab's processes and in virtual time."""

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
from lab.world import World

GAP_MS = 400.0  # a proxy has left when it has sent nothing through the hub for so long
BUCKET_MS = 250.0  # the moments in which fills of one object at two places are counted
FAILED_COUNTERS = ("attempt.error", "attempt.reset", "attempt.timeout")

FAULT_AT_MS = 15_000.0  # in virtual time, of the hub that fails
RUN_MS = 30_000.0
FAILED_HUB = "hub:h1"


@dataclass(frozen=True, slots=True)
class ScenarioRun:
    """One run on processes: a scenario of the lab, the hub that fails in it, regions on or off, a seed."""

    scenario: str
    hub: str
    regions_on: bool
    seed: int


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Measures of one run on processes; times in ms, parts from 0 to 1.

    ``return_ms`` lies between the hub's recovery and the last change-over; ``None`` without a full return.
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
    """One run in virtual time: members, requests per second of each, how the hub fails (dies, slow), loss, seed."""

    members: int
    requests_per_s: float
    fault: str
    loss: float
    seed: int


@dataclass(frozen=True, slots=True)
class Departure:
    """ms from the hub's failure until half and until all members have left it; bytes per member and second."""

    half_ms: float
    all_ms: float
    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class CalmRun:
    """One run in virtual time without a fault: members, part of attempts that fails, length, seed."""

    members: int
    failure_rate: float
    seconds: float
    seed: int


@dataclass(frozen=True, slots=True)
class CalmResult:
    """The most regions that were out at once, and the attempts made."""

    max_away: int
    attempts: int


def departure_ms(times: Iterable[float], failed_at: float) -> float | None:
    """From the failure to the last attempt before the first gap, of one proxy's attempts through the hub."""
    last = None
    for time in sorted(time for time in times if time >= failed_at):
        if last is not None and time - last > GAP_MS:
            break
        last = time
    return None if last is None else last - failed_at


def filled_twice(fills: Iterable[tuple[float, object, str]]) -> float:
    """Of the moments in which an object was filled, the part in which its fills met at two places."""
    places: dict[tuple[object, int], set[str]] = {}
    for time, key, place in fills:
        places.setdefault((key, int(time / BUCKET_MS)), set()).add(place)
    return sum(len(found) > 1 for found in places.values()) / max(1, len(places))


def measure_scenario(run: ScenarioRun) -> ScenarioResult:
    """Play a scenario on the lab's processes."""
    return asyncio.run(_measure_scenario(run))


async def _measure_scenario(run: ScenarioRun) -> ScenarioResult:
    scenario = read_scenario(ROOT / "lab" / "scenarios" / f"{run.scenario}.toml")
    tables = {name: dict(table) for name, table in scenario.tables.items()}
    tables["regions"]["enabled"] = run.regions_on
    with tempfile.TemporaryDirectory() as folder:
        world = World(dataclasses.replace(scenario, tables=tables, seed=run.seed), Path(folder) / "run")
        try:
            await world.open()
            result = await world.play()
        finally:
            await world.close()
    zone_faults = [event["t"] for event in result.events if event["kind"] == "fault" and event.get("what") == "zone"]
    failed_at = zone_faults[0]
    fills = [
        met
        for backend in world.testbed.backends
        if isinstance(backend, BusyBackend)
        for met in backend.met
        if not met.probe and met.source
    ]
    departures = _departures((met for met in fills if met.source == run.hub), failed_at)
    # From the failure to the load's end; served is what is answered with 200.
    served_after = [outcome.answer == "200" for outcome in world.load.outcomes if outcome.at_ms >= failed_at]
    return ScenarioResult(
        lost=served_after.count(False) / max(1, len(served_after)),
        return_ms=_return_ms(result.events, zone_faults[1:]),
        departure_ms=max(departures, default=0.0),
        median_departure_ms=float(np.median(departures)) if departures else 0.0,
        filled_twice=filled_twice((met.t, met.target, met.source) for met in fills if met.t >= failed_at),
        failed_attempts=float(
            sum(counters.get(name, 0) for counters in result.counters.values() for name in FAILED_COUNTERS)
        ),
        p99_ms=result.latency_ms["p99"],
        served=result.answers.get("200", 0) / max(1, sum(result.answers.values())),
        violations=float(len(result.violations)),
    )


def _departures(fills: Iterable[Any], failed_at: float) -> list[float]:
    """By proxy that had attempts through the hub after its failure, the time until it has left; a trace names it."""
    times: dict[str, list[float]] = {}
    for met in fills:
        times.setdefault(met.trace[:2], []).append(met.t)
    found = (departure_ms(of_proxy, failed_at) for of_proxy in times.values())
    return [elapsed for elapsed in found if elapsed is not None]


def _return_ms(events: Iterable[Mapping[str, Any]], recoveries: list[float]) -> float | None:
    changeovers = [event for event in events if event["kind"] == "changeover"]
    away = {event["member"]: bool(event["away"]) for event in changeovers}
    if not recoveries or not changeovers or any(away.values()):
        return None
    elapsed = float(max(event["t"] for event in changeovers) - recoveries[-1])
    return elapsed if elapsed >= 0 else None


def measure_departure(run: DepartureRun) -> Departure:
    """Let a hub fail in virtual time, with the settings as shipped; the whole run's length if not all leave."""
    net = NetworkConditions(run.loss, 0.0, run.loss, 500.0)
    health = RegionHealth(1.0) if run.fault == "dies" else RegionHealth(slowdown=10.0)
    fleet = _shipped_fleet(run.members, RUN_MS, net, 50.0, run.seed, [RegionFault(FAULT_AT_MS, FAILED_HUB, health)])
    fleet.requests_per_s = run.requests_per_s
    fleet.use_region_codec = True
    fleet.keeps_events = True
    fleet.run()
    first_left = {
        event["member"]: event["t"]
        for event in reversed(fleet.events)
        if event["kind"] == "changeover" and FAILED_HUB in event["away"]
    }
    times = sorted(first_left.values())
    if len(times) < run.members:
        return Departure(RUN_MS - FAULT_AT_MS, RUN_MS - FAULT_AT_MS, 0.0)
    bytes_per_s = fleet.region_bytes / run.members / (RUN_MS / 1000.0)
    return Departure(times[run.members // 2] - FAULT_AT_MS, times[-1] - FAULT_AT_MS, bytes_per_s)


def measure_calm(run: CalmRun) -> CalmResult:
    """Count the regions that are left though none fails, with a part of all attempts failing."""
    faults = [RegionFault(0.0, name, RegionHealth(run.failure_rate)) for name in SIZES]
    fleet = _shipped_fleet(run.members, run.seconds * 1000.0, NetworkConditions(0.05), 100.0, run.seed, faults)
    fleet.run()
    return CalmResult(fleet.regions.max_away, fleet.attempts)


def _shipped_fleet(
    members: int, until_ms: float, net: NetworkConditions, tick_ms: float, seed: int, faults: list[RegionFault]
) -> RegionFleet:
    """A fleet with the settings as shipped and no faults but ``faults`` and those of ``net``."""
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
