"""Plans for runs of :mod:`lab.virtual`, and :func:`draw_plan`, which draws one from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from beechslip.leases.paxos import LeaseTuning

LEASE_TUNING = LeaseTuning(1000.0, 1000.0, 100.0, 0.01, 40.0, 400.0, 300.0, 80.0)

RUN_MS = 14_000.0  # the length of a drawn run
FIRST_FAULT_MS = 1_500.0  # no fault comes before this
FAULT_FREE_END_MS = 3_000.0  # at the end of a run, without new faults
FAULT_KINDS = ("kill", "stop", "holder", "all", "rolling", "cut", "deaf", "calm", "end")

PlannedFault = tuple[float, str, Any]  # time (ms), kind, target


@dataclass
class NetworkConditions:
    """Fractions of datagrams that are lost, repeated and late, and the delays in ms."""

    loss: float = 0.0
    repeat: float = 0.0
    late: float = 0.0
    late_ms: float = 3000.0
    delay_ms: float = 2.0


@dataclass
class RunPlan:
    """The size, length, network and faults of one run. :func:`draw_plan` draws a plan from a seed."""

    size: int
    lease_names: tuple[str, ...]
    until_ms: float
    network: NetworkConditions = field(default_factory=NetworkConditions)
    faults: list[PlannedFault] = field(default_factory=list)
    skew_ms: float = 50.0  # largest difference of the members' times of day, from which the first rounds are taken
    tuning: LeaseTuning = LEASE_TUNING
    drill_acts: int = 0
    drill_every_ms: float = 200.0
    names_earlier_set: bool = True  # whether a file that declares another set also names the earlier one
    tick_ms: float = 40.0
    use_codec: bool = False  # whether each message is encoded and decoded, which limits it to 256 bytes


def draw_plan(seed: int) -> RunPlan:
    """Draw a plan from ``seed``, with all kinds of faults at random times."""
    rng = random.Random(f"plan {seed}")
    size = rng.choice((3, 3, 4, 5, 5, 7))
    grown = size + rng.choice((0, 0, 1, 3, 4))
    network = NetworkConditions(
        rng.choice((0.0, 0.1, 0.3)),
        rng.choice((0.0, 0.1)),
        rng.choice((0.0, 0.1, 0.3)),
        3000.0,
        rng.choice((2.0, 2.0, 20.0, 70.0)),
    )
    members = [f"d{n}" for n in range(size)]
    faults: list[PlannedFault] = []
    for _ in range(rng.randint(3, 7)):
        at_ms = _fault_time(rng)
        kind = rng.choice(FAULT_KINDS)
        target = rng.choice(members)
        faults += _draw_fault(rng, at_ms, kind, target, members)
    if grown > size:
        at_ms = _fault_time(rng)
        for n in range(grown):
            faults.append((at_ms + rng.uniform(0, 5_000), "declare", (f"d{n}", grown)))
    return RunPlan(
        size,
        ("census", "t0") if seed % 2 else ("t0", "t1"),
        RUN_MS,
        network,
        sorted(faults, key=lambda fault: fault[0]),
        drill_acts=rng.choice((0, 0, 5)),
        use_codec=seed % 10 == 0,
    )


def _fault_time(rng: random.Random) -> float:
    return rng.uniform(FIRST_FAULT_MS, RUN_MS - FAULT_FREE_END_MS)


def _draw_fault(rng: random.Random, at_ms: float, kind: str, target: str, members: list[str]) -> list[PlannedFault]:
    """Return one fault of ``kind`` and, if it has one, its end."""
    lease_ms = LEASE_TUNING.lease_ms
    if kind in ("kill", "end"):
        return [(at_ms, kind, target), (at_ms + rng.uniform(10, 2 * lease_ms), "start", target)]
    if kind == "stop":
        return [(at_ms, "stop", target), (at_ms + rng.uniform(0.1, 3.0) * lease_ms, "go", target)]
    if kind == "holder":
        end, back = rng.choice((("stop", "go"), ("kill", "start")))
        return [(at_ms, "holder", [(0.0, end), (rng.uniform(0.1, 3.0) * lease_ms, back)])]
    if kind in ("all", "rolling"):
        return _restart_all(rng, at_ms, kind, members)
    if kind == "cut":
        return _partition(rng, at_ms, members)
    if kind == "deaf":
        return _cut_one_way(rng, at_ms, target, members)
    return [(at_ms, "net", NetworkConditions())]


def _restart_all(rng: random.Random, at_ms: float, kind: str, members: list[str]) -> list[PlannedFault]:
    """Return restarts of all members, at once or one after another within a lease time."""
    faults: list[PlannedFault] = []
    for n, member in enumerate(members):
        if kind == "all":
            kill_ms = at_ms
            start_ms = at_ms + rng.uniform(1, 0.9 * LEASE_TUNING.lease_ms)
        else:
            kill_ms = at_ms + n * 0.9 * LEASE_TUNING.lease_ms / len(members)
            start_ms = kill_ms + 5
        faults += [(kill_ms, "kill", member), (start_ms, "start", member)]
    return faults


def _partition(rng: random.Random, at_ms: float, members: list[str]) -> list[PlannedFault]:
    """Return a partition into two or three parts, and its end."""
    parts = rng.choice((2, 2, 3))
    sides = {member: rng.randrange(parts) for member in members}
    return [(at_ms, "cut", sides), (at_ms + rng.uniform(0.5, 4) * LEASE_TUNING.lease_ms, "heal", None)]


def _cut_one_way(rng: random.Random, at_ms: float, target: str, members: list[str]) -> list[PlannedFault]:
    """Return cuts of one direction between ``target`` and each other member, and their end."""
    faults: list[PlannedFault] = []
    for other in members:
        pair = (target, other) if rng.random() < 0.5 else (other, target)
        faults.append((at_ms, "deaf", pair))
    return [*faults, (at_ms + rng.uniform(0.5, 3) * LEASE_TUNING.lease_ms, "heal", None)]
