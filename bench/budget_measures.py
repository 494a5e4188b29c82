"""Runs of a fleet with budgets in virtual time under load, and what is measured on them.

Each run uses one way to divide the limits among the proxies (``DIVISIONS``). There are three limits: the requests to
a warming backend within a window of 3 s, the fills in flight, which last up to 6 s, and the retries per second. The
settings are those shipped (lease 3 s, grant 2 s, tick 50 ms). Clients request a fraction of each limit over the whole
fleet. When proxies die, their clients go to the proxies that are alive.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import partial
from typing import Any

import numpy as np

from beechslip.budgets.leader import LEASE
from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.leases.paxos import LeaseTuning
from lab.virtual import VirtualFleet
from lab.virtual_budgets import BudgetFleet
from lab.virtual_plan import NetworkConditions, RunPlan

LIMIT_KINDS = ("window", "flight", "rate")
DIVISIONS = ("static", "lent", "pool")
AFTER_DEATHS_S = (1.0, 3.0, 10.0)  # times at which the use of the limits is measured
SAMPLE_TIMES_S = (-1.0, *AFTER_DEATHS_S, 43.0)  # from the deaths: before, after, and with all members back
WANTED_FRACTION = 0.6  # of each limit, requested by the clients of the whole fleet
LOAD_BEGIN_MS = 20_000.0  # after the quiet periods that follow the fleet's start
DEATHS_AT_MS = 50_000.0
RUN_END_MS = 95_000.0
RESTART_DELAY_MS = 15_000.0  # from the deaths to the earliest restart
RESTART_SPREAD_MS = 5_000.0
SAMPLE_INTERVAL_MS = 100
MAX_SAMPLE_DISTANCE_MS = 250.0  # samples at most this far from a time count for it
TICK_MS = 50.0
MAX_LATENESS_MS = 1000.0  # of datagrams
ENCODED_FLEET_SIZE = 10  # members; bytes are counted in fleets of this size only
NO_DRILL_MS = 1e12  # interval between drills: longer than any run
MEAN_FLIGHT_MS = 1000.0
NEWCOMER_WATCH_MS = 30_000.0  # how long a newcomer is observed
NEWCOMER_TARGET_FRACTION = 0.8  # of an even share of what clients request


def fleet_limits(size: int, division: str) -> tuple[FleetLimit, ...]:
    """Return the limits of a fleet of ``size`` members.

    With the division ``pool`` a floor is half of the even share. Such a floor still covers several requests, as the
    check of the settings file requires.
    """
    floor_share = 0.5 if division == "pool" else 1.0
    return (
        FleetLimit("window", "window", 12.0 * size, 3000.0, floor_share, travel_ms=100.0),
        FleetLimit("flight", "flight", 12.0 * size, 6000.0, floor_share, travel_ms=100.0),
        FleetLimit("rate", "rate", 8.0 * size, 0.0, floor_share, burst=8.0 * size, travel_ms=100.0),
    )


@dataclass(slots=True)
class RequestCount:
    """The requests of one member: all that clients made, and those for which there was capacity."""

    made: int = 0
    served: int = 0


class LoadedFleet(BudgetFleet):
    """A fleet with budgets under steady load, divided among the proxies by their weights.

    A request for which there is no capacity is lost.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        division: str,
        net: NetworkConditions,
        until_ms: float,
        faults: list[tuple[float, str, Any]],
        weights: dict[str, float] | None = None,
        use_codec: bool = False,
        wanted: float = WANTED_FRACTION,
    ) -> None:
        """Schedule the run's faults and samples.

        ``division`` is one of ``DIVISIONS`` or one that a subclass adds. ``weights`` is by member; the default is 1.
        ``wanted`` is the fraction of each limit that clients request.
        """
        self.division = division
        self.weights = weights or {}
        self.wanted = wanted
        self.requests = {f"d{n}": RequestCount() for n in range(size)}
        self.samples: list[tuple[float, dict[str, float]]] = []  # time, fraction of each limit in use
        plan = RunPlan(
            size,
            (LEASE,),
            until_ms,
            net,
            faults,
            tuning=LeaseTuning(),
            tick_ms=TICK_MS,
            drill_every_ms=NO_DRILL_MS,
            use_codec=use_codec,
        )
        self._load_rng = random.Random(f"day {seed}")
        super().__init__(seed, plan, fleet_limits(size, division))
        for at in range(0, int(until_ms), SAMPLE_INTERVAL_MS):
            self._call_at(float(at), self._sample)

    def _sample(self) -> None:
        in_use = {name: checker.used(self.now) / checker.limit.amount for name, checker in self.checkers.items()}
        self.samples.append((self.now, in_use))

    def violations(self) -> int:
        """Return how often a limit was exceeded."""
        return sum(len(checker.violations) for checker in self.checkers.values())

    def total_requests(self) -> RequestCount:
        """Return the requests of all members."""
        counts = self.requests.values()
        return RequestCount(sum(count.made for count in counts), sum(count.served for count in counts))

    def served_fraction(self, members: list[str]) -> float:
        """Return the fraction of the requests to ``members`` that was served."""
        made = sum(self.requests[name].made for name in members)
        return sum(self.requests[name].served for name in members) / made

    def mean_in_use(self, kind: str, at_ms: float) -> float:
        """Return the mean fraction in use of the limit ``kind`` around ``at_ms``."""
        return float(np.mean([used[kind] for t, used in self.samples if abs(t - at_ms) <= MAX_SAMPLE_DISTANCE_MS]))

    def _traffic_share(self, name: str) -> float:
        """Return the fraction of the fleet's requests that go to ``name``.

        Requests for dead members go to the members that are alive.
        """
        return self.weights.get(name, 1.0) / sum(self.weights.get(n, 1.0) for n in self.members)

    def _run_member(self, name: str, one: Any) -> None:
        # BudgetFleet._turn is skipped, because it spends by a demand of its own.
        VirtualFleet._run_member(self, name, one)
        node = self.nodes[name]
        local = self._local_ms(one)
        if self.division != "static":
            self._send_budgets(name, node.tick(local))
        if self.now < LOAD_BEGIN_MS:
            return
        for limit in self.base_limits:
            mean = self.wanted * _per_second(limit) * self._traffic_share(name) * self.plan.tick_ms / 1000.0
            for _ in range(_poisson(self._load_rng, mean)):
                is_served = node.spend(local, [LimitCost(limit.name, 1.0)])
                node.confirm(local)
                self.requests[name].made += 1
                self.requests[name].served += is_served
                if is_served:
                    self._record_use(name, limit.name)

    def _record_use(self, name: str, limit: str, cost: float = 1.0) -> None:
        checker = self.checkers[limit]
        began = self.now + 1.0
        self._call_at(began, lambda: checker.spend(self.now, name, cost))
        if checker.limit.kind == "flight":
            flight_ms = self._load_rng.expovariate(1 / MEAN_FLIGHT_MS)
            ended = began + min(flight_ms, checker.limit.base_occupancy_ms - 200.0)
            self._call_at(ended, checker.release)
            self._call_at(ended, partial(self._release, name, self._incarnations[name], limit, True))


def _per_second(limit: FleetLimit) -> float:
    """Return the requests per second that use up the limit. An attempt in flight lasts 1 s here on average."""
    return limit.amount / 3.0 if limit.kind == "window" else limit.amount


def _poisson(rng: random.Random, mean: float) -> int:
    """Draw a Poisson-distributed number by Knuth's multiplication of uniform draws."""
    count = 0
    bound = math.exp(-mean)
    product = rng.random()
    while product > bound:
        count += 1
        product *= rng.random()
    return count


def death_faults(rng: random.Random, size: int, fraction: float) -> list[tuple[float, str, Any]]:
    """Return the faults of a run in which a ``fraction`` of the members die at once under load.

    They restart 15 to 20 s later with empty memory.
    """
    dead = rng.sample([f"d{n}" for n in range(size)], round(fraction * size))
    faults: list[tuple[float, str, Any]] = [(DEATHS_AT_MS, "kill", name) for name in dead]
    faults += [(DEATHS_AT_MS + RESTART_DELAY_MS + rng.uniform(0, RESTART_SPREAD_MS), "start", name) for name in dead]
    return faults


@dataclass(frozen=True, slots=True)
class DeathsResult:
    """Results of a run with deaths.

    ``in_use`` is the fraction of each limit in use, by kind of limit and time (``SAMPLE_TIMES_S``). ``served`` is the
    fraction of the requests that was served. ``datagrams`` and ``data_bytes`` are per request.
    """

    in_use: dict[tuple[str, float], float]
    served: float
    datagrams: float
    data_bytes: float
    requests: int
    violations: int


def measure_deaths(size: int, fraction: float, loss: float, division: str, seed: int) -> DeathsResult:
    """Run a fleet in which a ``fraction`` of the members die (:func:`death_faults`)."""
    faults = death_faults(random.Random(f"deaths {size} {seed}"), size, fraction)
    fleet = LoadedFleet(
        size,
        seed,
        division,
        NetworkConditions(loss, 0.0, loss, MAX_LATENESS_MS),
        RUN_END_MS,
        faults,
        use_codec=size == ENCODED_FLEET_SIZE,
    )
    fleet.run()
    total_requests = fleet.total_requests()
    return DeathsResult(
        {
            (kind, after): fleet.mean_in_use(kind, DEATHS_AT_MS + 1000.0 * after)
            for kind in LIMIT_KINDS
            for after in SAMPLE_TIMES_S
        },
        served=total_requests.served / total_requests.made,
        datagrams=fleet.sent / total_requests.made,
        data_bytes=(fleet.bytes + fleet.budget_bytes) / total_requests.made,
        requests=total_requests.made,
        violations=fleet.violations(),
    )


@dataclass(frozen=True, slots=True)
class UnequalResult:
    """The fractions of the requests served by the busy proxies, by the others and by all, and the violations."""

    busy_served: float
    others_served: float
    all_served: float
    violations: int


def measure_unequal_traffic(wanted: float, size: int, division: str, seed: int) -> UnequalResult:
    """Run a fleet in which one proxy in ten has five times the traffic of each other proxy."""
    weights = {f"d{n}": 5.0 if n % 10 == 0 else 1.0 for n in range(size)}
    fleet = LoadedFleet(
        size, seed, division, NetworkConditions(), LOAD_BEGIN_MS + 30_000.0, [], weights, wanted=wanted
    )
    fleet.run()
    return UnequalResult(
        fleet.served_fraction([name for name, weight in weights.items() if weight > 1]),
        fleet.served_fraction([name for name, weight in weights.items() if weight == 1]),
        fleet.served_fraction(list(weights)),
        fleet.violations(),
    )


@dataclass(frozen=True, slots=True)
class NewcomerResult:
    """Seconds by kind of limit until a newcomer has its share (30: not within 30 s), and the violations."""

    seconds: dict[str, float]
    violations: int


def measure_newcomer(size: int, loss: float, division: str, seed: int) -> NewcomerResult:
    """Run a fleet in which one member starts under load.

    Measures the time until it has four fifths of an even share of what clients request.
    """
    faults: list[tuple[float, str, Any]] = [(1.0, "kill", "d1"), (DEATHS_AT_MS, "start", "d1")]
    fleet = LoadedFleet(
        size,
        seed,
        division,
        NetworkConditions(loss, 0.0, loss, MAX_LATENESS_MS),
        DEATHS_AT_MS + NEWCOMER_WATCH_MS,
        faults,
    )
    not_within = NEWCOMER_WATCH_MS / 1000.0
    seconds = dict.fromkeys(LIMIT_KINDS, not_within)

    def check_capacity() -> None:
        member = fleet.members.get("d1")
        if member is None:
            return
        for limit in fleet.base_limits:
            capacity = fleet.nodes["d1"].capacity(fleet._local_ms(member), limit.name) or 0.0
            if (
                seconds[limit.name] == not_within
                and capacity >= NEWCOMER_TARGET_FRACTION * WANTED_FRACTION * limit.amount / size
            ):
                seconds[limit.name] = (fleet.now - DEATHS_AT_MS) / 1000.0

    for step in range(1, int(NEWCOMER_WATCH_MS / SAMPLE_INTERVAL_MS)):
        fleet._call_at(DEATHS_AT_MS + float(SAMPLE_INTERVAL_MS) * step, check_capacity)
    fleet.run()
    return NewcomerResult(seconds, fleet.violations())
