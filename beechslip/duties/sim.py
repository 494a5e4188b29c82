"""A simulated fleet: many members' duty nodes on one settable clock, over a network with faults.

For tests and measurements of :mod:`beechslip.duties`. It uses no sockets and does not sleep. Every random draw comes
from one ``random.Random(seed)``, so a run replays exactly from its seed.

The faults are message loss (``loss``, a fraction), late messages (each message takes ``delay_ms``, and a fraction
``late_fraction`` of them up to ``late_ms`` more), deaths (:meth:`SimulatedFleet.kill`), pauses
(:meth:`SimulatedFleet.pause`: the member neither ticks nor receives, and continues with the view it had), partitions
(:meth:`SimulatedFleet.cut`) and restarts with a new incarnation (:meth:`SimulatedFleet.restart`).
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

FIRST_INCARNATION = 1_764_576_000_000  # a time of day in ms, as in production, for the same size of datagrams


@dataclass
class NetworkFaults:
    """The network's faults: fractions of messages that are lost and late; times in ms."""

    loss: float = 0.0
    delay_ms: float = 2.0
    late_fraction: float = 0.0
    late_ms: float = 0.0


@dataclass
class SimulatedFleet:
    """``size`` members named from ``d000`` on, and ``duty_count`` duties named from ``box000`` on."""

    size: int
    duty_count: int
    seed: int = 1
    network: NetworkFaults = field(default_factory=NetworkFaults)
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    duty_tuning: DutyTuning = field(default_factory=DutyTuning)
    tick_ms: float = 50.0
    duty_ms: float = 20.0
    is_wire_encoded: bool = True  # encode each message, so that the 256-byte bound limits piggybacked data

    def __post_init__(self) -> None:
        """Start all members. Their first ticks are spread at random over ``tick_ms``."""
        self.rng = random.Random(self.seed)
        self.now_ms = 0.0
        self.names = [f"d{n:03d}" for n in range(self.size)]
        self.duties = tuple(f"box{n:03d}" for n in range(self.duty_count))
        self.nodes: dict[str, DutyNode] = {}
        self.dead_names: set[str] = set()
        self.paused_names: set[str] = set()
        self.sides_by_member: dict[str, int] = {}  # by member: its side of a partition; empty: no partition
        self.duty_starts: list[tuple[float, str, str]] = []  # (start ms, member, duty)
        self.datagram_count = 0
        self.lost_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        for name in self.names:
            self._start_member(name, incarnation=FIRST_INCARNATION)
            self._schedule(self.rng.uniform(0, self.tick_ms), partial(self._tick, name))

    # Faults ------------------------------------------------------------------------------------------------

    def kill(self, names: list[str]) -> None:
        """Kill these members at once. They send no last message."""
        self.dead_names.update(names)

    def pause(self, names: list[str]) -> None:
        """Pause these members: they neither tick nor receive until :meth:`resume`."""
        self.paused_names.update(names)

    def resume(self, names: list[str]) -> None:
        """Let paused members continue with the view they had."""
        self.paused_names.difference_update(names)

    def cut(self, sides: dict[str, int]) -> None:
        """Drop messages between members of different sides. ``{}`` ends the partition."""
        self.sides_by_member = dict(sides)

    def restart(self, name: str) -> None:
        """Start a dead member again with an empty view and an incarnation above any it had."""
        self.dead_names.discard(name)
        self._start_member(name, incarnation=FIRST_INCARNATION + int(self.now_ms) + 1)

    def alive_names(self) -> list[str]:
        """Return the members that have not been killed, including paused ones."""
        return [name for name in self.names if name not in self.dead_names]

    # Running -----------------------------------------------------------------------------------------------

    def run_until(self, until_ms: float) -> None:
        """Process all events up to ``until_ms`` of the settable clock."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def _finish_duty(self, name: str, duty: str) -> None:
        node = self.nodes.get(name)
        if node is not None and name not in self.dead_names:
            node.record_done(self.now_ms, duty, True)

    def _start_member(self, name: str, incarnation: int) -> None:
        seeds = tuple(n for n in self.names if n != name)
        view = Membership(name, self.now_ms, seeds, self.tuning, incarnation, random.Random(self.rng.random()))
        self.nodes[name] = DutyNode(view, self.duties, self.duty_tuning)

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def _tick(self, name: str) -> None:
        if name in self.dead_names:
            self._schedule(self.now_ms + self.tick_ms, partial(self._tick, name))
            return
        if name not in self.paused_names:
            due = self.nodes[name].tick(self.now_ms)
            for send in due.sends:
                self._send(name, send)
            for duty in due.duties_to_start:
                self.duty_starts.append((self.now_ms, name, duty))
                self._schedule(self.now_ms + self.duty_ms, partial(self._finish_duty, name, duty))
        self._schedule(self.now_ms + self.tick_ms, partial(self._tick, name))

    def _send(self, sender: str, send: OutgoingDatagram) -> None:
        self.datagram_count += 1
        cut = self.sides_by_member and self.sides_by_member.get(sender, 0) != self.sides_by_member.get(send.to, 0)
        if cut or self.rng.random() < self.network.loss:
            self.lost_count += 1
            return
        message = send.message
        if self.is_wire_encoded:
            message = decode(encode(message, "sim", self.now_ms), "sim", self.now_ms)
        delay = self.network.delay_ms
        if self.rng.random() < self.network.late_fraction:
            delay += self.rng.uniform(0, self.network.late_ms)
        self._schedule(self.now_ms + delay, partial(self._deliver, send.to, message))

    def _deliver(self, to: str, message: PeerMessage) -> None:
        if to in self.dead_names or to in self.paused_names or message.sender in self.dead_names:
            return
        for send in self.nodes[to].receive(self.now_ms, message).sends:
            self._send(to, send)

    # Measures ----------------------------------------------------------------------------------------------

    def longest_gap_ms(self, since_ms: float, until_ms: float | None = None) -> float:
        """Return the longest time between ``since_ms`` and ``until_ms`` without a start of some duty, in ms."""
        end_ms = self.now_ms if until_ms is None else until_ms
        by_duty: dict[str, list[float]] = {listed: [] for listed in self.duties}
        for at_ms, _, duty in self.duty_starts:
            if since_ms <= at_ms <= end_ms:
                by_duty[duty].append(at_ms)
        longest_ms = 0.0
        for times_ms in by_duty.values():
            edges_ms = [since_ms, *sorted(times_ms), end_ms]
            longest_ms = max(longest_ms, *(later - earlier for earlier, later in itertools.pairwise(edges_ms)))
        return longest_ms

    def duplicate_fraction(self, since_ms: float, until_ms: float | None = None) -> float:
        """Return the fraction of the starts in the window that are duplicates.

        A start is a duplicate if another member started the same duty less than half an interval before. A single
        owner would not have done that work.
        """
        end_ms = self.now_ms if until_ms is None else until_ms
        half_interval_ms = self.duty_tuning.interval_ms / 2
        last_starts: dict[str, tuple[float, str]] = {}
        total = duplicates = 0
        for at_ms, name, duty in sorted(self.duty_starts):
            previous = last_starts.get(duty)
            if since_ms <= at_ms <= end_ms:
                total += 1
                if previous and previous[1] != name and at_ms - previous[0] < half_interval_ms:
                    duplicates += 1
            last_starts[duty] = (at_ms, name)
        return duplicates / total if total else 0.0

    def duty_rate(self, since_ms: float, until_ms: float | None = None) -> float:
        """Return the starts per duty per second in the window."""
        end_ms = self.now_ms if until_ms is None else until_ms
        count = sum(1 for at_ms, _, _ in self.duty_starts if since_ms <= at_ms <= end_ms)
        return count / len(self.duties) / ((end_ms - since_ms) / 1000.0)
