"""A fleet stand-in: many members' duty nodes on one settable clock, over a lossy, late, cut network.

For tests and measurements of :mod:`beechslip.duties`; no sockets and no sleeps. Every random draw comes from
one ``random.Random(seed)``, so a run replays exactly from its seed.

Faults: message loss (``loss``, a fraction), lateness (each message ``delay_ms`` plus, for a
fraction ``late_fraction``, ``late_ms`` more), deaths (:meth:`Fleet.kill`), pauses (:meth:`Fleet.pause`: the member
neither ticks nor hears, and comes back with the view it had), partitions (:meth:`Fleet.cut`) and restarts
with a new incarnation (:meth:`Fleet.restart`).
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from beechslip.duties.node import DutyNode
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.codec import decode, encode
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage
from beechslip.fleet.tuning import MembershipTuning

EPOCH = 1_764_576_000_000  # incarnations are times of day in ms, and take as many bytes in a datagram


@dataclass
class Net:
    """The network's faults: fractions of messages lost and late; times in ms."""

    loss: float = 0.0
    delay_ms: float = 2.0
    late_fraction: float = 0.0
    late_ms: float = 0.0


@dataclass
class Fleet:
    """``size`` members named ``d000``.. and ``duty_count`` duties named ``box000``.."""

    size: int
    duty_count: int
    seed: int = 1
    net: Net = field(default_factory=Net)
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    duty_tuning: DutyTuning = field(default_factory=DutyTuning)
    tick_ms: float = 50.0
    duty_ms: float = 20.0
    wire: bool = True  # carry each message through the codec, so that the 256-byte bound trims piggybacks

    def __post_init__(self) -> None:
        """Boot all members; their first ticks are spread at random over ``tick_ms``."""
        self.rng = random.Random(self.seed)
        self.now = 0.0
        self.names = [f"d{n:03d}" for n in range(self.size)]
        self.duties = tuple(f"box{n:03d}" for n in range(self.duty_count))
        self.nodes: dict[str, DutyNode] = {}
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.sides: dict[str, int] = {}  # by member: its side of a cut; none: one network
        self.starts: list[tuple[float, str, str]] = []  # (start ms, member, duty)
        self.datagrams = 0
        self.lost = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for name in self.names:
            self._boot(name, incarnation=EPOCH)
            self._at(self.rng.uniform(0, self.tick_ms), partial(self._tick, name))

    # Faults ------------------------------------------------------------------------------------------------

    def kill(self, names: list[str]) -> None:
        """These members die at once, without a message."""
        self.dead.update(names)

    def pause(self, names: list[str]) -> None:
        """These members neither tick nor receive until :meth:`resume`."""
        self.paused.update(names)

    def resume(self, names: list[str]) -> None:
        """Paused members go on with the view they had."""
        self.paused.difference_update(names)

    def cut(self, sides: dict[str, int]) -> None:
        """Messages between members of different sides are lost; ``{}`` heals."""
        self.sides = dict(sides)

    def restart(self, name: str) -> None:
        """A dead member starts again, empty, with an incarnation above any it had."""
        self.dead.discard(name)
        self._boot(name, incarnation=EPOCH + int(self.now) + 1)

    def alive_names(self) -> list[str]:
        """The members that have not been killed, paused ones among them."""
        return [name for name in self.names if name not in self.dead]

    # Running -----------------------------------------------------------------------------------------------

    def run_until(self, until_ms: float) -> None:
        """Play all events up to ``until_ms`` of the settable clock."""
        while self._events and self._events[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until_ms

    def _done(self, name: str, duty: str) -> None:
        node = self.nodes.get(name)
        if node is not None and name not in self.dead:
            node.done(self.now, duty, True)

    def _boot(self, name: str, incarnation: int) -> None:
        seeds = tuple(n for n in self.names if n != name)
        view = Membership(name, self.now, seeds, self.tuning, incarnation, random.Random(self.rng.random()))
        self.nodes[name] = DutyNode(view, self.duties, self.duty_tuning)

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), call))

    def _tick(self, name: str) -> None:
        if name in self.dead:
            self._at(self.now + self.tick_ms, partial(self._tick, name))
            return
        if name not in self.paused:
            due = self.nodes[name].tick(self.now)
            for send in due.sends:
                self._send(name, send)
            for duty in due.start:
                self.starts.append((self.now, name, duty))
                self._at(self.now + self.duty_ms, partial(self._done, name, duty))
        self._at(self.now + self.tick_ms, partial(self._tick, name))

    def _send(self, sender: str, send: OutgoingDatagram) -> None:
        self.datagrams += 1
        cut = self.sides and self.sides.get(sender, 0) != self.sides.get(send.to, 0)
        if cut or self.rng.random() < self.net.loss:
            self.lost += 1
            return
        message = send.message
        if self.wire:
            message = decode(encode(message, "sim", self.now), "sim", self.now)
        delay = self.net.delay_ms
        if self.rng.random() < self.net.late_fraction:
            delay += self.rng.uniform(0, self.net.late_ms)
        self._at(self.now + delay, partial(self._deliver, send.to, message))

    def _deliver(self, to: str, message: PeerMessage) -> None:
        if to in self.dead or to in self.paused or message.sender in self.dead:
            return
        for send in self.nodes[to].receive(self.now, message).sends:
            self._send(to, send)

    # Measures ----------------------------------------------------------------------------------------------

    def longest_gap(self, since_ms: float, until_ms: float | None = None) -> float:
        """The longest time within [since, until] that any duty went without being started (ms)."""
        until = self.now if until_ms is None else until_ms
        by_duty: dict[str, list[float]] = {d: [] for d in self.duties}
        for at, _, duty in self.starts:
            if since_ms <= at <= until:
                by_duty[duty].append(at)
        worst = 0.0
        for times in by_duty.values():
            edges = [since_ms, *sorted(times), until]
            worst = max(worst, *(b - a for a, b in itertools.pairwise(edges)))
        return worst

    def duplicate_fraction(self, since_ms: float, until_ms: float | None = None) -> float:
        """Fraction of starts in the window within half an interval of another member's start of the same
        duty: work that a single owner would not have done."""
        until = self.now if until_ms is None else until_ms
        half = self.duty_tuning.interval_ms / 2
        last: dict[str, tuple[float, str]] = {}
        total = doubled = 0
        for at, name, duty in sorted(self.starts):
            before = last.get(duty)
            if since_ms <= at <= until:
                total += 1
                if before and before[1] != name and at - before[0] < half:
                    doubled += 1
            last[duty] = (at, name)
        return doubled / total if total else 0.0

    def duty_rate(self, since_ms: float, until_ms: float | None = None) -> float:
        """Starts per duty per second in the window."""
        until = self.now if until_ms is None else until_ms
        count = sum(1 for at, _, _ in self.starts if since_ms <= at <= until)
        return count / len(self.duties) / ((until - since_ms) / 1000.0)
