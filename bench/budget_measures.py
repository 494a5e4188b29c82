"""Days of budgets in virtual time under load, with each way to divide the limits, and what is measured on them.

Three limits (a warming backend's window over 3 s, fills in flight that last up to 6 s, retries a second), with the
settings as shipped (lease 3 s, grant 2 s, tick 50 ms). Clients want a fraction of each over the fleet, and go to the
living proxies when others die.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import partial
from typing import Any

import numpy as np

from beechslip.budgets.leader import LEASE
from beechslip.budgets.limit import Cost, FleetLimit
from beechslip.leases.paxos import LeaseTuning
from lab.virtual import VirtualFleet
from lab.virtual_budgets import BudgetFleet
from lab.virtual_plan import NetworkConditions, RunPlan

KINDS = ("window", "flight", "rate")
WAYS = ("static", "lent", "pool")
AFTER_S = (1.0, 3.0, 10.0)  # after the deaths
TIMES = (-1.0, *AFTER_S, 43.0)  # s from the deaths: right before, after them, and when all are back
WANTED = 0.6  # of each limit, by the clients of the whole fleet
BEGIN_MS = 20_000.0  # the load begins past the quiet periods of the fleet's start
DEATH_MS = 50_000.0
END_MS = 95_000.0
BACK_MS = 15_000.0  # from the deaths to the first restart
BACK_SPREAD_MS = 5_000.0
SAMPLE_MS = 100
SAMPLE_SPAN_MS = 250.0  # samples this close to a time count for it
TICK_MS = 50.0
LATE_MS = 1000.0  # by at most so much datagrams are late
WIRE_SIZE = 10  # members of the fleets whose bytes are counted
NO_DRILL_MS = 1e12
MEAN_FLIGHT_MS = 1000.0
NEWCOMER_MS = 30_000.0  # a newcomer is watched for so long
NEWCOMER_PART = 0.8  # of an even part of what clients want


def limits_for(size: int, way: str) -> tuple[FleetLimit, ...]:
    """The limits of a fleet of ``size``. Floors of half (``pool``) still hold several spendings each, as the file's
    check requires."""
    floor_share = 0.5 if way == "pool" else 1.0
    return (
        FleetLimit("window", "window", 12.0 * size, 3000.0, floor_share, travel_ms=100.0),
        FleetLimit("flight", "flight", 12.0 * size, 6000.0, floor_share, travel_ms=100.0),
        FleetLimit("rate", "rate", 8.0 * size, 0.0, floor_share, burst=8.0 * size, travel_ms=100.0),
    )


@dataclass(slots=True)
class RequestCount:
    """Requests of one member: all that clients made, and those that found capacity."""

    made: int = 0
    served: int = 0


class Day(BudgetFleet):
    """Clients want a steady amount over the fleet, by the proxies' weights; a request that finds no capacity is
    lost."""

    def __init__(
        self,
        size: int,
        seed: int,
        way: str,
        net: NetworkConditions,
        until_ms: float,
        faults: list[tuple[float, str, Any]],
        weights: dict[str, float] | None = None,
        use_codec: bool = False,
        wanted: float = WANTED,
    ) -> None:
        """``way`` is one of ``WAYS`` (or a subclass's own), ``weights`` by member (default 1)."""
        self.way = way
        self.weights = weights or {}
        self.wanted = wanted
        self.requests = {f"d{n}": RequestCount() for n in range(size)}
        self.samples: list[tuple[float, dict[str, float]]] = []  # when, and the fraction of each limit in use
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
        self._chance = random.Random(f"day {seed}")
        super().__init__(seed, plan, limits_for(size, way))
        for at in range(0, int(until_ms), SAMPLE_MS):
            self._call_at(float(at), self._sample)

    def _sample(self) -> None:
        in_use = {name: checker.used(self.now) / checker.limit.amount for name, checker in self.checkers.items()}
        self.samples.append((self.now, in_use))

    def violations(self) -> int:
        """How often a limit was exceeded."""
        return sum(len(checker.violations) for checker in self.checkers.values())

    def total(self) -> RequestCount:
        """The requests of all members."""
        counts = self.requests.values()
        return RequestCount(sum(count.made for count in counts), sum(count.served for count in counts))

    def served_fraction(self, members: list[str]) -> float:
        """Of what clients wanted of ``members``."""
        made = sum(self.requests[name].made for name in members)
        return sum(self.requests[name].served for name in members) / made

    def mean_in_use(self, kind: str, at_ms: float) -> float:
        """The mean fraction of a limit in use around ``at_ms``."""
        return float(np.mean([used[kind] for t, used in self.samples if abs(t - at_ms) <= SAMPLE_SPAN_MS]))

    def _weight(self, name: str) -> float:
        """Its part of what the fleet's clients want; those of the dead go to the living."""
        return self.weights.get(name, 1.0) / sum(self.weights.get(n, 1.0) for n in self.members)

    def _run_member(self, name: str, one: Any) -> None:
        VirtualFleet._run_member(self, name, one)
        node = self.nodes[name]
        local = self._local_ms(one)
        if self.way != "static":
            self._send_budgets(name, node.tick(local))
        if self.now < BEGIN_MS:
            return
        for limit in self.base_limits:
            mean = self.wanted * _per_second(limit) * self._weight(name) * self.plan.tick_ms / 1000.0
            for _ in range(_poisson(self._chance, mean)):
                is_served = node.spend(local, [Cost(limit.name, 1.0)])
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
            flight_ms = self._chance.expovariate(1 / MEAN_FLIGHT_MS)
            ended = began + min(flight_ms, checker.limit.tail_ms - 200.0)
            self._call_at(ended, checker.release)
            self._call_at(ended, partial(self._release, name, self._incarnations[name], limit, True))


def _per_second(limit: FleetLimit) -> float:
    """Spendings a second that use the limit up. An attempt in flight lasts 1 s here in the mean."""
    return limit.amount / 3.0 if limit.kind == "window" else limit.amount


def _poisson(rng: random.Random, mean: float) -> int:
    """A Poisson number by Knuth's multiplication of uniform draws."""
    count = 0
    bound = math.exp(-mean)
    product = rng.random()
    while product > bound:
        count += 1
        product *= rng.random()
    return count


def death_faults(rng: random.Random, size: int, fraction: float) -> list[tuple[float, str, Any]]:
    """A ``fraction`` of the members die at once under load and are back 15 to 20 s later with nothing."""
    dead = rng.sample([f"d{n}" for n in range(size)], round(fraction * size))
    faults: list[tuple[float, str, Any]] = [(DEATH_MS, "kill", name) for name in dead]
    faults += [(DEATH_MS + BACK_MS + rng.uniform(0, BACK_SPREAD_MS), "start", name) for name in dead]
    return faults


@dataclass(frozen=True, slots=True)
class DeathsResult:
    """A day with deaths: the fraction of each limit in use by kind and time (``TIMES``), the fraction of the requests
    served, datagrams and bytes a request, the number of requests, and violations."""

    in_use: dict[tuple[str, float], float]
    served: float
    datagrams: float
    data_bytes: float
    requests: int
    violations: int


def deaths(size: int, fraction: float, loss: float, way: str, seed: int) -> DeathsResult:
    """A day on which a ``fraction`` of the members die (:func:`death_faults`)."""
    faults = death_faults(random.Random(f"deaths {size} {seed}"), size, fraction)
    day = Day(
        size, seed, way, NetworkConditions(loss, 0.0, loss, LATE_MS), END_MS, faults, use_codec=size == WIRE_SIZE
    )
    day.run()
    total = day.total()
    return DeathsResult(
        {(kind, after): day.mean_in_use(kind, DEATH_MS + 1000.0 * after) for kind in KINDS for after in TIMES},
        served=total.served / total.made,
        datagrams=day.sent / total.made,
        data_bytes=(day.bytes + day.budget_bytes) / total.made,
        requests=total.made,
        violations=day.violations(),
    )


@dataclass(frozen=True, slots=True)
class UnequalResult:
    """The fractions of the requests served, of the busy proxies, the others and all; and violations."""

    busy: float
    others: float
    all: float
    violations: int


def unequal(wanted: float, size: int, way: str, seed: int) -> UnequalResult:
    """A day on which one proxy in ten has five times the others' traffic."""
    weights = {f"d{n}": 5.0 if n % 10 == 0 else 1.0 for n in range(size)}
    day = Day(size, seed, way, NetworkConditions(), BEGIN_MS + 30_000.0, [], weights, wanted=wanted)
    day.run()
    return UnequalResult(
        day.served_fraction([name for name, weight in weights.items() if weight > 1]),
        day.served_fraction([name for name, weight in weights.items() if weight == 1]),
        day.served_fraction(list(weights)),
        day.violations(),
    )


@dataclass(frozen=True, slots=True)
class NewcomerResult:
    """Seconds by kind until a newcomer has its part (30: not within them), and violations."""

    seconds: dict[str, float]
    violations: int


def newcomer(size: int, loss: float, way: str, seed: int) -> NewcomerResult:
    """A day on which one starts under load: the time until it has four fifths of an even part of what clients
    want."""
    faults: list[tuple[float, str, Any]] = [(1.0, "kill", "d1"), (DEATH_MS, "start", "d1")]
    day = Day(size, seed, way, NetworkConditions(loss, 0.0, loss, LATE_MS), DEATH_MS + NEWCOMER_MS, faults)
    not_within = NEWCOMER_MS / 1000.0
    seconds = dict.fromkeys(KINDS, not_within)

    def look() -> None:
        member = day.members.get("d1")
        if member is None:
            return
        for limit in day.base_limits:
            capacity = day.nodes["d1"].capacity(day._local_ms(member), limit.name) or 0.0
            if seconds[limit.name] == not_within and capacity >= NEWCOMER_PART * WANTED * limit.amount / size:
                seconds[limit.name] = (day.now - DEATH_MS) / 1000.0

    for step in range(1, int(NEWCOMER_MS / SAMPLE_MS)):
        day._call_at(DEATH_MS + float(SAMPLE_MS) * step, look)
    day.run()
    return NewcomerResult(seconds, day.violations())
