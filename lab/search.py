"""Searches all interleavings, within bounds, of one lease among three acceptors and two proposers.

The acceptors and proposers are the program's own (:mod:`beechslip.leases.paxos`). A state consists of the memories of
all of them, the datagrams in transit and the time. The search visits every state that any order of these steps can
reach:

- a datagram arrives; it may also never arrive (a loss), or arrive and stay in transit (a repeat);
- time passes by one unit;
- a proposer begins an attempt or renews its lease;
- an acceptor restarts with empty memory.

A suspended proposer is one that takes no step while time passes. The clocks drift by the most that is allowed:
acceptors run fast, proposers slow.

In every state, at most one proposer may hold the lease by its own clock.

Memories and datagrams are numbered in the order in which they occur. A state is a tuple of numbers, with the
datagrams in transit as the bits of one number. The step of an acceptor or proposer is computed once for the same
memory, time and datagram. A datagram that can have no effect any more is removed, which is the same as its loss.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from typing import Any, NamedTuple

from beechslip.leases.messages import REQUEST_KINDS, Ballot, LeaseMessage, LeaseMessageKind
from beechslip.leases.node import LeaseNode
from beechslip.leases.paxos import Acceptor, LeaseTuning, Proposer

DRIFT = 0.5  # large, so that it has an effect within whole units of time
TUNING = LeaseTuning(lease_ms=1.0, longest_ms=1.0, margin_ms=0.0, drift=DRIFT, sticky_ms=0.0)
ACCEPTORS = ("d0", "d1", "d2")
PROPOSERS = ("d0", "d1")
DECLARED_SETS = (3,)
FIRST_ROUND_AFTER_BOTH = 2  # the highest round that either proposer begins at

MemoryNumber = int
Effect = tuple[MemoryNumber, int]  # memory of an acceptor or proposer after a step; mask of the packets sent


class SearchState(NamedTuple):
    """The memories of all acceptors and proposers, the packets in transit, and the steps that are left."""

    now: int
    acceptors: tuple[MemoryNumber, ...]
    proposers: tuple[MemoryNumber, ...]
    packets: int  # a mask of packet numbers
    begins: tuple[int, ...]  # left for each proposer
    renews: int
    restarts: int
    repeats: int


class _Packet(NamedTuple):
    to: str
    sender: str
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each step may be taken, and how many units of time may pass (a lease lasts one unit)."""

    units: int = 2
    begins: tuple[int, int] = (1, 1)  # the first proposer's round is lower than the second's
    renews: int = 0
    restarts: int = 1
    repeats: int = 0


@dataclass(frozen=True)
class SearchResult:
    """The size of a search. ``violation`` describes a state with two holders; it is empty if none was found."""

    states: int
    steps: int
    is_complete: bool  # whether every state within the bounds was visited
    violation: str


class _Numbering:
    """Assigns consecutive numbers to distinct items."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self._numbers: dict[Any, int] = {}

    def __call__(self, item: Any) -> int:
        number = self._numbers.setdefault(item, len(self.items))
        if number == len(self.items):
            self.items.append(item)
        return number


def _memory(part: Acceptor | Proposer) -> tuple[Any, ...]:
    return tuple(getattr(part, f.name) for f in fields(part))


def _acceptor_time(now: int) -> float:
    """Return the time by an acceptor's clock, which runs fast."""
    return now * (1.0 + DRIFT)


def _set_bits(mask: int) -> Iterator[int]:
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _replaced(items: tuple[int, ...], index: int, item: int) -> tuple[int, ...]:
    return (*items[:index], item, *items[index + 1 :])


class Search:
    """One search. It shares no caches with other searches, as faults may be injected between them."""

    def __init__(self, bounds: Bounds) -> None:
        """Prepare a search within ``bounds``."""
        self.bounds = bounds
        self._acceptors = _Numbering()
        self._proposers = _Numbering()
        self._packets = _Numbering()
        # Steps computed before, by memory, time and packet (or whether the proposer renews):
        self._acceptor_steps: dict[tuple[int, int, int], Effect] = {}
        self._proposer_steps: dict[tuple[int, int, int], Effect] = {}
        self._begins: dict[tuple[int, int, bool], Effect] = {}
        self._without_effect: dict[tuple[int, int, bool], bool] = {}
        self._deadlines: list[float] = []  # by the number of a proposer's memory
        self._attempting: list[bool] = []  # by the number of a proposer's memory
        # A node begins with a quiet period, unless an injected fault has removed that.
        node = LeaseNode("d0", DECLARED_SETS, ("x",), 0.0, 1, tuning=TUNING)
        self._quiet_until_ms = node.acceptors["x"].quiet_until_ms

    def run(self, max_states: int = 5_000_000, deep: bool = False) -> SearchResult:
        """Visit every state within the bounds, until ``max_states`` are visited or a violation is found.

        ``deep`` searches depth first, which finds a violation sooner, but after more steps from the first state.
        """
        first = self._initial_state()
        seen = {first}
        queue = deque([first])
        steps = 0
        while queue:
            state = queue.pop() if deep else queue.popleft()
            if all(state.now < self._deadlines[memory] for memory in state.proposers):
                return SearchResult(
                    len(seen), steps, False, f"two holders at time {state.now}: {self.describe(state)}"
                )
            for after in self._next_states(state):
                steps += 1
                if after not in seen:
                    seen.add(after)
                    queue.append(after)
            if len(seen) >= max_states:
                return SearchResult(len(seen), steps, False, "")
        return SearchResult(len(seen), steps, True, "")

    def describe(self, state: SearchState) -> str:
        """Return a readable description of the proposers of ``state``."""
        return "; ".join(str(self._load_proposer(memory)) for memory in state.proposers)

    def _initial_state(self) -> SearchState:
        bounds = self.bounds
        empty = self._acceptors(_memory(Acceptor("x", TUNING, 0.0, DECLARED_SETS)))
        # Refusals are not simulated. What a proposer would learn from them is given: the second proposer begins with
        # a higher round than the first one, and a proposer that begins again uses a higher round than both.
        proposers = tuple(
            self._store_proposer(Proposer(name, k + 1, "x", TUNING, DECLARED_SETS, highest=k))
            for k, name in enumerate(PROPOSERS)
        )
        return SearchState(
            0, (empty,) * 3, proposers, 0, bounds.begins, bounds.renews, bounds.restarts, bounds.repeats
        )

    # Steps -------------------------------------------------------------------------------------------------

    def _next_states(self, state: SearchState) -> Iterator[SearchState]:
        """Yield every state that one step leads to."""
        if state.now < self.bounds.units:
            yield state._replace(now=state.now + 1)
        for number in _set_bits(state.packets):
            yield from self._deliver(state, number)
        yield from self._begin_or_renew(state)
        if state.restarts:
            yield from self._restart(state)

    def _deliver(self, state: SearchState, number: int) -> Iterator[SearchState]:
        """Yield the states after a packet's arrival; while repeats are left, it may also stay in transit."""
        packet = self._packets.items[number]
        if packet.message.kind in REQUEST_KINDS:
            index = ACCEPTORS.index(packet.to)
            memory, replies = self._acceptor_step(state.acceptors[index], state.now, number)
            acceptors, proposers = _replaced(state.acceptors, index, memory), state.proposers
        else:
            index = PROPOSERS.index(packet.to)
            memory, replies = self._proposer_step(state.proposers[index], state.now, number)
            acceptors, proposers = state.acceptors, _replaced(state.proposers, index, memory)
        # The constructor is faster than _replace, and most states of a search are made here.
        steps_left = (state.begins, state.renews, state.restarts)
        arrived = state.packets & ~(1 << number) | replies
        yield self._drop_ineffective(
            SearchState(state.now, acceptors, proposers, arrived, *steps_left, state.repeats)
        )
        if state.repeats:
            stays = state.packets | replies
            yield self._drop_ineffective(
                SearchState(state.now, acceptors, proposers, stays, *steps_left, state.repeats - 1)
            )

    def _begin_or_renew(self, state: SearchState) -> Iterator[SearchState]:
        for k, memory in enumerate(state.proposers):
            if self._attempting[memory]:
                continue
            is_holding = state.now < self._deadlines[memory]
            if state.begins[k] and not is_holding:
                left = state._replace(begins=_replaced(state.begins, k, state.begins[k] - 1))
                yield self._begin(left, k, renew=False)
            elif state.renews and is_holding:
                yield self._begin(state._replace(renews=state.renews - 1), k, renew=True)

    def _restart(self, state: SearchState) -> Iterator[SearchState]:
        """Yield the states after an acceptor's restart with empty memory, in its quiet period."""
        quiet_until_ms = _acceptor_time(state.now) + self._quiet_until_ms if self._quiet_until_ms else 0.0
        fresh = self._acceptors(_memory(Acceptor("x", TUNING, quiet_until_ms, DECLARED_SETS)))
        for index in range(len(ACCEPTORS)):
            acceptors = _replaced(state.acceptors, index, fresh)
            yield state._replace(acceptors=acceptors, restarts=state.restarts - 1)

    def _begin(self, state: SearchState, k: int, renew: bool) -> SearchState:
        memory = state.proposers[k]
        key = (memory, state.now, renew)
        if key not in self._begins:
            proposer = self._load_proposer(memory)
            if proposer.ballot is not None and not renew:
                proposer.highest = max(proposer.highest, FIRST_ROUND_AFTER_BOTH)
            now = float(state.now)
            out = proposer.renew(now) if renew else proposer.start_attempt(now)
            self._begins[key] = (self._store_proposer(proposer), self._packet_mask(PROPOSERS[k], out))
        after, packets = self._begins[key]
        proposers = _replaced(state.proposers, k, after)
        return self._drop_ineffective(state._replace(proposers=proposers, packets=state.packets | packets))

    def _acceptor_step(self, memory: MemoryNumber, now: int, number: int) -> Effect:
        key = (memory, now, number)
        if key not in self._acceptor_steps:
            packet = self._packets.items[number]
            acceptor = Acceptor(*self._acceptors.items[memory])
            reply = acceptor.handle_request(_acceptor_time(now), packet.sender, packet.message)
            out = [(packet.sender, reply)] if reply is not None and reply.kind is not LeaseMessageKind.REFUSE else []
            self._acceptor_steps[key] = (self._acceptors(_memory(acceptor)), self._packet_mask(packet.to, out))
        return self._acceptor_steps[key]

    def _proposer_step(self, memory: MemoryNumber, now: int, number: int) -> Effect:
        key = (memory, now, number)
        if key not in self._proposer_steps:
            packet = self._packets.items[number]
            proposer = self._load_proposer(memory)
            out = proposer.receive(float(now), packet.sender, packet.message)
            self._proposer_steps[key] = (self._store_proposer(proposer), self._packet_mask(packet.to, out))
        return self._proposer_steps[key]

    # Datagrams that can have no effect -----------------------------------------------------------------------

    def _drop_ineffective(self, state: SearchState) -> SearchState:
        """Return ``state`` without the datagrams that can have no effect.

        For a proposer these are responses to a ballot that it has given up, and responses that it has received
        already. For an acceptor that can restart no more, they are requests of a lower ballot than it has promised.
        """
        mask = state.packets
        more_steps = state.renews > 0 or state.restarts > 0
        for number in _set_bits(mask):
            packet = self._packets.items[number]
            if packet.message.kind in REQUEST_KINDS:
                memory = state.acceptors[ACCEPTORS.index(packet.to)]
            else:
                memory = state.proposers[PROPOSERS.index(packet.to)]
            without_effect = self._without_effect.get((memory, number, more_steps))
            if without_effect is None:
                without_effect = self._has_no_effect(memory, packet, more_steps)
                self._without_effect[memory, number, more_steps] = without_effect
            if without_effect:
                mask &= ~(1 << number)
        return state if mask == state.packets else state._replace(packets=mask)

    def _has_no_effect(self, memory: MemoryNumber, packet: _Packet, more_steps: bool) -> bool:
        """True if a packet can have no effect; ``more_steps`` tells whether renewals or restarts are left."""
        check = self._acceptor_ignores if packet.message.kind in REQUEST_KINDS else self._proposer_ignores
        return check(memory, packet, more_steps)

    def _acceptor_ignores(self, memory: MemoryNumber, packet: _Packet, more_steps: bool) -> bool:
        message = packet.message
        acceptor = Acceptor(*self._acceptors.items[memory])
        ballot = Ballot(message.round, message.incarnation, packet.sender)
        return not more_steps and message.round < acceptor.highest and acceptor.promised != ballot

    def _proposer_ignores(self, memory: MemoryNumber, packet: _Packet, more_steps: bool) -> bool:
        message = packet.message
        proposer = self._load_proposer(memory)
        if proposer.ballot is None or message.round != proposer.ballot.round:
            return True
        heard = proposer.open_acceptors if message.kind is LeaseMessageKind.PROMISE else proposer.accepted_by
        return not more_steps and (not proposer.is_attempting or packet.sender in heard)

    # Numbers -------------------------------------------------------------------------------------------------

    def _load_proposer(self, memory: MemoryNumber) -> Proposer:
        return Proposer(*self._proposers.items[memory])

    def _store_proposer(self, proposer: Proposer) -> MemoryNumber:
        number = self._proposers(_memory(proposer))
        if number == len(self._deadlines):
            self._deadlines.append(proposer.deadline_ms)
            self._attempting.append(proposer.is_attempting)
        return number

    def _packet_mask(self, sender: str, out: Sequence[tuple[str, LeaseMessage]]) -> int:
        mask = 0
        for to, message in out:
            mask |= 1 << self._packets(_Packet(to, sender, message))
        return mask
