"""Runs a fleet of lease nodes in virtual time, on a network that loses, repeats, delays and cuts off datagrams.

The nodes and tasks are those that proxies run. Their clocks have different offsets and drift against each other by as
much as the settings allow. Every event is passed to the checker when it happens, with the true time. All random draws
come from the seed, so that a run can be repeated exactly.

Faults, drawn by :func:`lab.virtual_plan.draw_plan`:

- lost and repeated datagrams, and delays of seconds;
- one-way cuts, and partitions into two or three parts;
- deaths and restarts with empty memory, of one member, several, or all within a lease time;
- suspensions, in which datagrams wait as in a socket's buffer;
- graceful shutdowns;
- a declared set that grows, of which the members hear seconds apart.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from beechslip.fleet.codec import decode, encode
from beechslip.fleet.messages import PeerMessage
from beechslip.leases.census import TASK_NAME as CENSUS
from beechslip.leases.census import Census
from beechslip.leases.messages import (
    ActMessage,
    LeaseMessage,
    decode_act,
    decode_lease,
    encode_act,
    encode_lease,
)
from beechslip.leases.node import LeaseNode
from beechslip.leases.tasks import Drill, Task, TaskRunner
from lab import lease_faults  # noqa: F401 (registers the faults that run_seed() can inject)
from lab.check import LeaseChecker
from lab.injected_faults import inject
from lab.virtual_plan import RunPlan, draw_plan

DRILL_ACT_MS = 50.0  # time between a drill's check and its action
CENSUS_INTERVAL_MS = 500.0
CENSUS_WAIT_MS = 100.0
FLEET_NAME = "caroni-feeds"  # the fleet's name in datagrams
MAX_WAITING_DATAGRAMS = 400  # that wait at a suspended member; more are lost, as with a socket's buffer


@dataclass
class _SimulatedMember:
    node: LeaseNode
    runner: TaskRunner
    clock_rate: float
    clock_offset_ms: float
    is_stopped: bool = False
    waiting_calls: list[Callable[[], None]] = field(default_factory=list)


class VirtualFleet:
    """One run. ``checker`` has the violations.

    ``sent`` counts the datagrams, ``bytes`` their size if the codecs are used, and ``steps`` the events processed.
    """

    def __init__(self, plan: RunPlan, seed: int) -> None:
        """Start the plan's members and schedule its faults. All random draws come from ``seed``."""
        self.plan = plan
        self.rng = random.Random(seed)
        self.now = 0.0
        self.checker = LeaseChecker()
        self.members: dict[str, _SimulatedMember] = {}
        # By member: the sizes of the declared sets that its file names, the newest last.
        self.declared: dict[str, tuple[int, ...]] = {f"d{n}": (plan.size,) for n in range(plan.size)}
        self.sides: dict[str, int] = {}  # by member: its side of a partition
        self.cut_links: set[tuple[str, str]] = set()  # pairs of sender and receiver whose datagrams are lost
        self.sent = 0
        self.bytes = 0
        self.steps = 0
        self.events: list[dict[str, Any]] = []
        self.keeps_events = False  # whether events are appended to ``events``
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._incarnations: dict[str, int] = {}
        for name in list(self.declared):
            self._boot(name)
        for at_ms, kind, target in plan.faults:
            self._call_at(at_ms, partial(self._apply_fault, kind, target))

    # Running ---------------------------------------------------------------------------------------------

    def run(self) -> LeaseChecker:
        """Process all events up to the plan's end and return the checker."""
        while self._queue and self._queue[0][0] <= self.plan.until_ms:
            self.now, _, call = heapq.heappop(self._queue)
            self.steps += 1
            call()
        return self.checker

    def _call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._sequence), call))

    def _local_ms(self, member: _SimulatedMember) -> float:
        return member.clock_offset_ms + self.now * member.clock_rate

    def _boot(self, name: str) -> None:
        """Start a member with empty memory, as a new incarnation with a clock offset, rate and time of its own."""
        plan = self.plan
        rng = self.rng
        max_rate = (1.0 + plan.tuning.drift) ** 0.5
        clock_rate = rng.uniform(1 / max_rate, max_rate)
        clock_offset_ms = rng.uniform(0, 1e6)
        incarnation = self._incarnations[name] = rng.getrandbits(62)
        note = partial(self._note, name, incarnation, clock_rate, clock_offset_ms)
        hint = int(1e6 + self.now + rng.uniform(0, plan.skew_ms))
        node = LeaseNode(
            name,
            self.declared[name],
            plan.lease_names,
            clock_offset_ms + self.now * clock_rate,
            incarnation,
            hint,
            plan.tuning,
            random.Random(rng.random()),
            note,
        )
        self.members[name] = _SimulatedMember(
            node, TaskRunner(node, self._tasks(name, note), note), clock_rate, clock_offset_ms
        )
        self._call_at(self.now + rng.uniform(0, plan.tick_ms), partial(self._tick, name, incarnation))

    def _note(
        self, member: str, incarnation: int, clock_rate: float, clock_offset_ms: float, kind: str, /, **facts: Any
    ) -> None:
        """Pass a member's event to the checker, with its local times converted to true ones."""
        local_ms = clock_offset_ms + self.now * clock_rate
        for key in ("until", "valid", "checked"):
            if key in facts:
                facts[key] = self.now + (facts[key] - local_ms) / clock_rate
        event = {"t": self.now, "member": member, "life": incarnation, "kind": kind, **facts}
        self.checker.feed(event)
        if self.keeps_events:
            self.events.append(event)

    def _tasks(self, name: str, note: Callable[..., None]) -> list[Task]:
        """Return a drill for each lease of the plan, and the census if it is one of them."""
        plan = self.plan
        others = partial(self._others, name)
        tasks: list[Task] = [
            Drill(lease, name, others, plan.drill_every_ms, DRILL_ACT_MS, note, plan.drill_acts)
            for lease in plan.lease_names
            if lease != CENSUS
        ]
        if CENSUS in plan.lease_names:
            tasks.append(Census(name, others, lambda: ("1", 7), CENSUS_INTERVAL_MS, CENSUS_WAIT_MS))
        return tasks

    def _others(self, name: str) -> list[str]:
        return [n for n in self.declared if n != name]

    def _tick(self, name: str, incarnation: int) -> None:
        member = self.members.get(name)
        if member is None or self._incarnations[name] != incarnation:
            return
        self._call_at(self.now + self.plan.tick_ms, partial(self._tick, name, incarnation))
        if not member.is_stopped:
            self._run_member(name, member)

    def _run_member(self, name: str, member: _SimulatedMember) -> None:
        local_ms = self._local_ms(member)
        self._send(name, member.node.tick(local_ms))
        self._send(name, member.runner.tick(local_ms, lambda: self._local_ms(member)))
        for lease in member.runner.finished_tasks():
            if member.node.held_token(lease, local_ms) is not None:
                self._send(name, member.node.release(lease, local_ms))
                member.node.want(lease, local_ms + self.plan.tuning.lease_ms)

    # Network ---------------------------------------------------------------------------------------------

    def _send(self, sender: str, out: Sequence[tuple[str, LeaseMessage | ActMessage]]) -> None:
        network, rng = self.plan.network, self.rng
        for to, message in out:
            self.sent += 1
            if self.plan.use_codec:
                message = self._pass_through_codec(sender, message)
            if (sender, to) in self.cut_links or self.sides.get(sender, 0) != self.sides.get(to, 0):
                continue
            for _ in range(2 if rng.random() < network.repeat else 1):
                if rng.random() < network.loss:
                    continue
                delay = network.delay_ms * rng.uniform(0.5, 2.0)
                if rng.random() < network.late:
                    delay += rng.uniform(0, network.late_ms)
                self._call_at(self.now + delay, partial(self._deliver, sender, to, message))

    def _pass_through_codec(self, sender: str, message: Any) -> Any:
        is_lease = isinstance(message, LeaseMessage)
        body = encode_lease(message) if is_lease else encode_act(message)
        data = encode(PeerMessage("lease" if is_lease else "act", sender, 0, body=body), FLEET_NAME)
        self.bytes += len(data)
        received = decode(data, FLEET_NAME).body
        return decode_lease(received) if is_lease else decode_act(received)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        member = self.members.get(to)
        if member is None:
            return
        if member.is_stopped:
            if len(member.waiting_calls) < MAX_WAITING_DATAGRAMS:
                member.waiting_calls.append(partial(self._deliver, sender, to, message))
            return
        local_ms = self._local_ms(member)
        if isinstance(message, LeaseMessage):
            self._send(to, member.node.receive(local_ms, sender, message))
        else:
            self._send(to, member.runner.receive(local_ms, sender, message))

    # Faults ----------------------------------------------------------------------------------------------

    def _apply_fault(self, kind: str, target: Any) -> None:
        """Apply one fault of the plan to ``target``, which is a member for most kinds."""
        if kind == "kill":
            self.members.pop(target, None)
        elif kind == "start":
            if target not in self.members:
                self._boot(target)
        elif kind == "stop":
            if target in self.members:
                self.members[target].is_stopped = True
        elif kind == "go":
            self._resume(target)
        elif kind == "end":
            self._shut_down(target)
        elif kind == "declare":
            self._declare(*target)
        elif kind == "holder":
            self._fault_holder(target)
        else:
            self._network_fault(kind, target)

    def _network_fault(self, kind: str, target: Any) -> None:
        if kind == "cut":
            self.sides = target
        elif kind == "deaf":
            self.cut_links.add(target)
        elif kind == "heal":
            self.sides = {}
            self.cut_links = set()
        elif kind == "net":
            self.plan.network = target

    def _shut_down(self, target: str) -> None:
        """Shut a member down gracefully: it releases its leases first."""
        member = self.members.get(target)
        if member is None or member.is_stopped:
            return
        for name in self.plan.lease_names:
            self._send(target, member.node.release(name, self._local_ms(member)))
        self.members.pop(target)

    def _declare(self, member: str, size: int) -> None:
        """Declare a set of ``size`` at ``member``.

        Its file also names the earlier set, as the operators' page says, unless the plan excludes that.
        """
        self.declared[member] = (self.plan.size, size) if self.plan.names_earlier_set else (size,)
        if member in self.members:
            self.members[member].node.set_declared_size(size)
        else:
            self._boot(member)

    def _fault_holder(self, steps: list[tuple[float, str]]) -> None:
        """Apply faults to the present holder of the first lease; ``steps`` has the delay (ms) and kind of each."""
        tenure = self.checker.tenures.get(self.plan.lease_names[0])
        if tenure is None:
            return
        for after_ms, kind in steps:
            self._call_at(self.now + after_ms, partial(self._apply_fault, kind, tenure.holder[0]))

    def _resume(self, target: str) -> None:
        member = self.members.get(target)
        if member is None or not member.is_stopped:
            return
        member.is_stopped = False
        waiting_calls, member.waiting_calls = member.waiting_calls, []
        if self.rng.random() < 0.5:  # a member may handle its timers or its socket first
            self._run_member(target, member)
        for call in waiting_calls:
            call()
        self._run_member(target, member)


@dataclass(frozen=True)
class RunOutcome:
    """The counts of one seeded run; ``violations`` has a line for each violation."""

    seed: int
    steps: int
    datagrams: int
    holds: int
    handovers: int
    acts: int
    violations: tuple[str, ...]


def run_seed(seed: int, fault: str = "") -> RunOutcome:
    """Run the plan of ``seed`` with the injected fault named ``fault``, or without one if the name is empty."""
    with inject(fault):
        fleet = VirtualFleet(draw_plan(seed), seed)
        checker = fleet.run()
    return RunOutcome(
        seed,
        fleet.steps,
        fleet.sent,
        checker.counts.get("hold", 0),
        checker.counts.get("handovers", 0),
        checker.counts.get("took", 0),
        tuple(f"{v.rule} at {v.time_ms:.0f} ms: {v.text}" for v in checker.violations),
    )
