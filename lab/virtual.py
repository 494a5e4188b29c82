"""A fleet of lease nodes in virtual time, on a network that loses, repeats, delays and cuts; one seed, one run.

The nodes and tasks are those that proxies run; their clocks have offsets of their own and drift against each
other by as much as the settings allow. Every event goes to the checker as it happens, with the true time. All
random draws come from the seed, so that a run replays exactly.

Faults, drawn by :func:`lab.virtual_plan.schedule`: loss, repeats, delays of seconds, one-way cuts, cuts into two or
three parts, deaths and restarts with empty memory (one, several, all within a lease time), stops and continuations
(with datagrams waiting, as in a socket's buffer), graceful shutdowns, and a declared set that grows while members
hear of it seconds apart.
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
from lab import lease_faults  # noqa: F401 (registers the faults that play() can inject)
from lab.check import LeaseChecker
from lab.injected_faults import inject
from lab.virtual_plan import Plan, schedule

DRILL_ACT_MS = 50.0  # between a drill's check and its act
CENSUS_EVERY_MS = 500.0
CENSUS_WAIT_MS = 100.0
FLEET = "caroni-feeds"  # the name in datagrams
MOST_WAITING = 400  # datagrams that wait at a member that stands still; more are lost, as in a socket's buffer


@dataclass
class _Member:
    node: LeaseNode
    runner: TaskRunner
    rate: float
    offset: float
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


class VirtualFleet:
    """One run. ``sent``, ``bytes`` and ``steps`` are for measures; ``checker`` has the violations."""

    def __init__(self, plan: Plan, seed: int) -> None:
        """Boot the plan's members and queue its faults; all random draws come from ``seed``."""
        self.plan = plan
        self.rng = random.Random(seed)
        self.now = 0.0
        self.checker = LeaseChecker()
        self.members: dict[str, _Member] = {}
        # By member: the sets that its file names.
        self.declared: dict[str, tuple[int, ...]] = {f"d{n}": (plan.size,) for n in range(plan.size)}
        self.sides: dict[str, int] = {}
        self.deaf: set[tuple[str, str]] = set()  # directed pairs that are cut
        self.sent = 0
        self.bytes = 0
        self.steps = 0
        self.events: list[dict[str, Any]] = []
        self.keep = False  # whether to keep the events
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._lives: dict[str, int] = {}
        for name in list(self.declared):
            self._boot(name)
        for at, what, whom in plan.faults:
            self._at(at, partial(self._fault, what, whom))

    # Running ---------------------------------------------------------------------------------------------

    def run(self) -> LeaseChecker:
        """Play all events up to the plan's end; the checker they went to."""
        while self._queue and self._queue[0][0] <= self.plan.until_ms:
            self.now, _, call = heapq.heappop(self._queue)
            self.steps += 1
            call()
        return self.checker

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), call))

    def _local(self, one: _Member) -> float:
        return one.offset + self.now * one.rate

    def _boot(self, name: str) -> None:
        """A start with empty memory: an incarnation, a clock offset and a time of day of its own."""
        plan = self.plan
        rng = self.rng
        half = (1.0 + plan.tuning.drift) ** 0.5
        rate = rng.uniform(1 / half, half)
        offset = rng.uniform(0, 1e6)
        incarnation = self._lives[name] = rng.getrandbits(62)
        note = partial(self._note, name, incarnation, rate, offset)
        hint = int(1e6 + self.now + rng.uniform(0, plan.skew_ms))
        node = LeaseNode(
            name,
            self.declared[name],
            plan.names,
            offset + self.now * rate,
            incarnation,
            hint,
            plan.tuning,
            random.Random(rng.random()),
            note,
        )
        self.members[name] = _Member(node, TaskRunner(node, self._tasks(name, note), note), rate, offset)
        self._at(self.now + rng.uniform(0, plan.tick_ms), partial(self._tick, name, incarnation))

    def _note(self, member: str, incarnation: int, rate: float, offset: float, kind: str, /, **facts: Any) -> None:
        """Hand a member's event to the checker, its local times made true ones."""
        local_ms = offset + self.now * rate
        for key in ("until", "valid", "checked"):
            if key in facts:
                facts[key] = self.now + (facts[key] - local_ms) / rate
        event = {"t": self.now, "member": member, "life": incarnation, "kind": kind, **facts}
        self.checker.feed(event)
        if self.keep:
            self.events.append(event)

    def _tasks(self, name: str, note: Callable[..., None]) -> list[Task]:
        """A drill for each lease of the plan, and the census where it names that."""
        plan = self.plan
        others = partial(self._others, name)
        tasks: list[Task] = [
            Drill(lease, name, others, plan.drill_every_ms, DRILL_ACT_MS, note, plan.drill_acts)
            for lease in plan.names
            if lease != CENSUS
        ]
        if CENSUS in plan.names:
            tasks.append(Census(name, others, lambda: ("1", 7), CENSUS_EVERY_MS, CENSUS_WAIT_MS))
        return tasks

    def _others(self, name: str) -> list[str]:
        return [n for n in self.declared if n != name]

    def _tick(self, name: str, incarnation: int) -> None:
        one = self.members.get(name)
        if one is None or self._lives[name] != incarnation:
            return
        self._at(self.now + self.plan.tick_ms, partial(self._tick, name, incarnation))
        if not one.stopped:
            self._turn(name, one)

    def _turn(self, name: str, one: _Member) -> None:
        local = self._local(one)
        self._send(name, one.node.tick(local))
        self._send(name, one.runner.tick(local, lambda: self._local(one)))
        for done in one.runner.finished_tasks():
            if one.node.held_token(done, local) is not None:
                self._send(name, one.node.release(done, local))
                one.node.want(done, local + self.plan.tuning.lease_ms)

    # Network ---------------------------------------------------------------------------------------------

    def _send(self, sender: str, out: Sequence[tuple[str, LeaseMessage | ActMessage]]) -> None:
        net, rng = self.plan.net, self.rng
        for to, message in out:
            self.sent += 1
            if self.plan.wire:
                message = self._through(sender, message)
            if (sender, to) in self.deaf or self.sides.get(sender, 0) != self.sides.get(to, 0):
                continue
            for _ in range(2 if rng.random() < net.repeat else 1):
                if rng.random() < net.loss:
                    continue
                delay = net.delay_ms * rng.uniform(0.5, 2.0)
                if rng.random() < net.late:
                    delay += rng.uniform(0, net.late_ms)
                self._at(self.now + delay, partial(self._deliver, sender, to, message))

    def _through(self, sender: str, message: Any) -> Any:
        lease = isinstance(message, LeaseMessage)
        body = encode_lease(message) if lease else encode_act(message)
        data = encode(PeerMessage("lease" if lease else "act", sender, 0, body=body), FLEET)
        self.bytes += len(data)
        back = decode(data, FLEET).body
        return decode_lease(back) if lease else decode_act(back)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        one = self.members.get(to)
        if one is None:
            return
        if one.stopped:
            if len(one.waiting) < MOST_WAITING:
                one.waiting.append(partial(self._deliver, sender, to, message))
            return
        local = self._local(one)
        if isinstance(message, LeaseMessage):
            self._send(to, one.node.receive(local, sender, message))
        else:
            self._send(to, one.runner.receive(local, sender, message))

    # Faults ----------------------------------------------------------------------------------------------

    def _fault(self, what: str, whom: Any) -> None:
        """Apply one fault of the plan; ``whom`` is what it is done to, a member for most."""
        if what == "kill":
            self.members.pop(whom, None)
        elif what == "start":
            if whom not in self.members:
                self._boot(whom)
        elif what == "stop":
            if whom in self.members:
                self.members[whom].stopped = True
        elif what == "go":
            self._go(whom)
        elif what == "end":
            self._shut_down(whom)
        elif what == "declare":
            self._declare(*whom)
        elif what == "holder":
            self._fault_holder(whom)
        else:
            self._network_fault(what, whom)

    def _network_fault(self, what: str, whom: Any) -> None:
        if what == "cut":
            self.sides = whom
        elif what == "deaf":
            self.deaf.add(whom)
        elif what == "heal":
            self.sides = {}
            self.deaf = set()
        elif what == "net":
            self.plan.net = whom

    def _shut_down(self, whom: str) -> None:
        """A graceful shutdown: it releases its leases first."""
        one = self.members.get(whom)
        if one is None or one.stopped:
            return
        for name in self.plan.names:
            self._send(whom, one.node.release(name, self._local(one)))
        self.members.pop(whom)

    def _declare(self, member: str, size: int) -> None:
        """Another declared set at ``member``. As the operators' page has it, the file names the earlier one, too."""
        self.declared[member] = (self.plan.size, size) if self.plan.before else (size,)
        if member in self.members:
            self.members[member].node.set_declared_size(size)
        else:
            self._boot(member)

    def _fault_holder(self, steps: list[tuple[float, str]]) -> None:
        """These faults, each after its ms, to whoever holds the first lease now."""
        tenure = self.checker.tenures.get(self.plan.names[0])
        if tenure is None:
            return
        for after_ms, what in steps:
            self._at(self.now + after_ms, partial(self._fault, what, tenure.holder[0]))

    def _go(self, whom: str) -> None:
        one = self.members.get(whom)
        if one is None or not one.stopped:
            return
        one.stopped = False
        waiting, one.waiting = one.waiting, []
        if self.rng.random() < 0.5:  # whether it looks at the clock or at its socket first is chance
            self._turn(whom, one)
        for call in waiting:
            call()
        self._turn(whom, one)


@dataclass(frozen=True)
class Outcome:
    """What one seeded run did; ``violations`` has a line for each."""

    seed: int
    steps: int
    datagrams: int
    holds: int
    handovers: int
    acts: int
    violations: tuple[str, ...]


def play(seed: int, fault: str = "") -> Outcome:
    """One seeded run, of the program as it is or with an injected fault."""
    with inject(fault):
        fleet = VirtualFleet(schedule(seed), seed)
        checker = fleet.run()
    return Outcome(
        seed,
        fleet.steps,
        fleet.sent,
        checker.counts.get("hold", 0),
        checker.counts.get("handovers", 0),
        checker.counts.get("took", 0),
        tuple(f"{v.rule} at {v.time_ms:.0f} ms: {v.text}" for v in checker.violations),
    )
