"""Every interleaving, within bounds, of one lease among three acceptors and two proposers.

The acceptors and proposers are the program's own (:mod:`beechslip.leases.paxos`). A state is what all of them
remember, the datagrams on their way and the time; the search visits every state that any order of these steps
can reach: a datagram arrives (or never does: a loss; or arrives and may come again: a repeat), time passes by
a unit, a proposer begins or extends, an acceptor restarts with empty memory. A proposer that stands still is
one that takes no step while time passes. Clocks drift by the most allowed: acceptors run fast, proposers slow.

In every state at most one proposer may hold the lease by its own clock.

Memories and datagrams are numbered as they come up, and a state is a tuple of numbers (the datagrams on their way
as the bits of one); a step of a part is worked out once for the same memory, time and datagram. A datagram that can
have no effect any more is taken out, which is the same as its loss.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from typing import Any, NamedTuple

from beechslip.leases.messages import REQUEST_KINDS, Ballot, LeaseMessage, LeaseMessageKind
from beechslip.leases.node import LeaseNode
from beechslip.leases.paxos import Acceptor, LeaseTuning, Proposer

DRIFT = 0.5  # large, so that whole units of time show it
TUNING = LeaseTuning(lease_ms=1.0, longest_ms=1.0, margin_ms=0.0, drift=DRIFT, sticky_ms=0.0)
ACCEPTORS = ("d0", "d1", "d2")
PROPOSERS = ("d0", "d1")
SETS = (3,)
FIRST_ROUND_AFTER_BOTH = 2  # the highest round that either proposer begins at

MemoryNumber = int
Effect = tuple[MemoryNumber, int]  # a part's memory after a step, and the packets it sends as a mask


class State(NamedTuple):
    """All that the parts remember, what is on its way, and which steps are left."""

    now: int
    acceptors: tuple[MemoryNumber, ...]
    proposers: tuple[MemoryNumber, ...]
    packets: int  # a mask of packet numbers
    begins: tuple[int, ...]  # left of each proposer
    renews: int
    restarts: int
    repeats: int


class _Packet(NamedTuple):
    to: str
    sender: str
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each step may be taken, and for how many units of time (a lease is one unit)."""

    units: int = 2
    begins: tuple[int, int] = (1, 1)  # the first proposer's round is lower than the second's
    renews: int = 0
    restarts: int = 1
    repeats: int = 0


@dataclass(frozen=True)
class Found:
    """What a search visited; ``violation`` describes the state with two holders, "" if there was none."""

    states: int
    steps: int
    complete: bool  # every state within the bounds was visited
    violation: str


class _Numbers:
    """Gives each thing a number, once."""

    def __init__(self) -> None:
        self.things: list[Any] = []
        self._numbers: dict[Any, int] = {}

    def __call__(self, thing: Any) -> int:
        number = self._numbers.setdefault(thing, len(self.things))
        if number == len(self.things):
            self.things.append(thing)
        return number


def _memory(part: Acceptor | Proposer) -> tuple[Any, ...]:
    return tuple(getattr(part, f.name) for f in fields(part))


def _fast(now: int) -> float:
    """The time by an acceptor's clock."""
    return now * (1.0 + DRIFT)


def _bits(mask: int) -> Iterator[int]:
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _with(items: tuple[int, ...], index: int, item: int) -> tuple[int, ...]:
    return (*items[:index], item, *items[index + 1 :])


class Search:
    """One search; faults may be injected between two, so nothing is cached from one to the next."""

    def __init__(self, bounds: Bounds) -> None:
        """Nothing is visited before :meth:`run`."""
        self.bounds = bounds
        self._acceptors = _Numbers()
        self._proposers = _Numbers()
        self._packets = _Numbers()
        # Steps worked out before, by memory, time and packet (or whether it renews):
        self._acceptor_steps: dict[tuple[int, int, int], Effect] = {}
        self._proposer_steps: dict[tuple[int, int, int], Effect] = {}
        self._begins: dict[tuple[int, int, bool], Effect] = {}
        self._without_effect: dict[tuple[int, int, bool], bool] = {}
        self._deadlines: list[float] = []  # by number of a proposer's memory,
        self._attempting: list[bool] = []  # as this is
        # Whether a node of this program begins with its quiet time, or (an injected fault) without.
        node = LeaseNode("d0", SETS, ("x",), 0.0, 1, tuning=TUNING)
        self._quiet = node.acceptors["x"].quiet_until_ms

    def run(self, most: int = 5_000_000, deep: bool = False) -> Found:
        """Visit every state within the bounds, up to ``most`` of them or a violation; ``deep`` goes depth first,
        which finds a violation sooner and by a longer way."""
        first = self._first()
        seen = {first}
        queue = deque([first])
        steps = 0
        while queue:
            state = queue.pop() if deep else queue.popleft()
            if all(state.now < self._deadlines[memory] for memory in state.proposers):
                return Found(len(seen), steps, False, f"two holders at {state.now}: {self.describe(state)}")
            for after in self._after(state):
                steps += 1
                if after not in seen:
                    seen.add(after)
                    queue.append(after)
            if len(seen) >= most:
                return Found(len(seen), steps, False, "")
        return Found(len(seen), steps, True, "")

    def describe(self, state: State) -> str:
        """The proposers of ``state``, for a person."""
        return "; ".join(str(self._load_proposer(memory)) for memory in state.proposers)

    def _first(self) -> State:
        bounds = self.bounds
        empty = self._acceptors(_memory(Acceptor("x", TUNING, 0.0, SETS)))
        # Refusals are left out; what they would teach is given: the second proposer begins with a higher round
        # than the first one's, and whoever begins again goes above both.
        proposers = tuple(
            self._store_proposer(Proposer(name, k + 1, "x", TUNING, SETS, highest=k))
            for k, name in enumerate(PROPOSERS)
        )
        return State(0, (empty,) * 3, proposers, 0, bounds.begins, bounds.renews, bounds.restarts, bounds.repeats)

    # Steps -------------------------------------------------------------------------------------------------

    def _after(self, state: State) -> Iterator[State]:
        """Every state that one step leads to."""
        if state.now < self.bounds.units:
            yield state._replace(now=state.now + 1)
        for number in _bits(state.packets):
            yield from self._deliver(state, number)
        yield from self._begin_or_renew(state)
        if state.restarts:
            yield from self._restart(state)

    def _deliver(self, state: State, number: int) -> Iterator[State]:
        """The packet arrives; while repeats are left, it may also stay on its way."""
        packet = self._packets.things[number]
        if packet.message.kind in REQUEST_KINDS:
            index = ACCEPTORS.index(packet.to)
            memory, replies = self._acceptor_step(state.acceptors[index], state.now, number)
            acceptors, proposers = _with(state.acceptors, index, memory), state.proposers
        else:
            index = PROPOSERS.index(packet.to)
            memory, replies = self._proposer_step(state.proposers[index], state.now, number)
            acceptors, proposers = state.acceptors, _with(state.proposers, index, memory)
        # By the constructor rather than _replace: most states of a search are made here.
        budgets = (state.begins, state.renews, state.restarts)
        arrived = state.packets & ~(1 << number) | replies
        yield self._clean(State(state.now, acceptors, proposers, arrived, *budgets, state.repeats))
        if state.repeats:
            stays = state.packets | replies
            yield self._clean(State(state.now, acceptors, proposers, stays, *budgets, state.repeats - 1))

    def _begin_or_renew(self, state: State) -> Iterator[State]:
        for k, memory in enumerate(state.proposers):
            if self._attempting[memory]:
                continue
            holding = state.now < self._deadlines[memory]
            if state.begins[k] and not holding:
                left = state._replace(begins=_with(state.begins, k, state.begins[k] - 1))
                yield self._begin(left, k, renew=False)
            elif state.renews and holding:
                yield self._begin(state._replace(renews=state.renews - 1), k, renew=True)

    def _restart(self, state: State) -> Iterator[State]:
        """An acceptor restarts with empty memory, and quiet."""
        quiet = _fast(state.now) + self._quiet if self._quiet else 0.0
        fresh = self._acceptors(_memory(Acceptor("x", TUNING, quiet, SETS)))
        for index in range(len(ACCEPTORS)):
            acceptors = _with(state.acceptors, index, fresh)
            yield state._replace(acceptors=acceptors, restarts=state.restarts - 1)

    def _begin(self, state: State, k: int, renew: bool) -> State:
        memory = state.proposers[k]
        key = (memory, state.now, renew)
        if key not in self._begins:
            proposer = self._load_proposer(memory)
            if proposer.ballot is not None and not renew:
                proposer.highest = max(proposer.highest, FIRST_ROUND_AFTER_BOTH)
            now = float(state.now)
            out = proposer.renew(now) if renew else proposer.start_attempt(now)
            self._begins[key] = (self._store_proposer(proposer), self._mask(PROPOSERS[k], out))
        after, packets = self._begins[key]
        proposers = _with(state.proposers, k, after)
        return self._clean(state._replace(proposers=proposers, packets=state.packets | packets))

    def _acceptor_step(self, memory: MemoryNumber, now: int, number: int) -> Effect:
        key = (memory, now, number)
        if key not in self._acceptor_steps:
            packet = self._packets.things[number]
            acceptor = Acceptor(*self._acceptors.things[memory])
            reply = acceptor.handle_request(_fast(now), packet.sender, packet.message)
            out = [(packet.sender, reply)] if reply is not None and reply.kind is not LeaseMessageKind.REFUSE else []
            self._acceptor_steps[key] = (self._acceptors(_memory(acceptor)), self._mask(packet.to, out))
        return self._acceptor_steps[key]

    def _proposer_step(self, memory: MemoryNumber, now: int, number: int) -> Effect:
        key = (memory, now, number)
        if key not in self._proposer_steps:
            packet = self._packets.things[number]
            proposer = self._load_proposer(memory)
            out = proposer.receive(float(now), packet.sender, packet.message)
            self._proposer_steps[key] = (self._store_proposer(proposer), self._mask(packet.to, out))
        return self._proposer_steps[key]

    # Datagrams that can have no effect -----------------------------------------------------------------------

    def _clean(self, state: State) -> State:
        """Without the datagrams that can have no effect: to a proposer, those of a ballot that it has left or
        that it has heard already; to an acceptor that can restart no more, a ballot it has promised past."""
        mask = state.packets
        more = state.renews > 0 or state.restarts > 0
        for number in _bits(mask):
            packet = self._packets.things[number]
            if packet.message.kind in REQUEST_KINDS:
                memory = state.acceptors[ACCEPTORS.index(packet.to)]
            else:
                memory = state.proposers[PROPOSERS.index(packet.to)]
            without_effect = self._without_effect.get((memory, number, more))
            if without_effect is None:
                without_effect = self._has_no_effect(memory, packet, more)
                self._without_effect[memory, number, more] = without_effect
            if without_effect:
                mask &= ~(1 << number)
        return state if mask == state.packets else state._replace(packets=mask)

    def _has_no_effect(self, memory: MemoryNumber, packet: _Packet, more: bool) -> bool:
        """``more``: whether renewals or restarts may still come."""
        check = self._acceptor_ignores if packet.message.kind in REQUEST_KINDS else self._proposer_ignores
        return check(memory, packet, more)

    def _acceptor_ignores(self, memory: MemoryNumber, packet: _Packet, more: bool) -> bool:
        message = packet.message
        acceptor = Acceptor(*self._acceptors.things[memory])
        ballot = Ballot(message.round, message.incarnation, packet.sender)
        return not more and message.round < acceptor.highest and acceptor.promised != ballot

    def _proposer_ignores(self, memory: MemoryNumber, packet: _Packet, more: bool) -> bool:
        message = packet.message
        proposer = self._load_proposer(memory)
        if proposer.ballot is None or message.round != proposer.ballot.round:
            return True
        heard = proposer.open_acceptors if message.kind is LeaseMessageKind.PROMISE else proposer.accepted_by
        return not more and (not proposer.is_attempting or packet.sender in heard)

    # Numbers -------------------------------------------------------------------------------------------------

    def _load_proposer(self, memory: MemoryNumber) -> Proposer:
        return Proposer(*self._proposers.things[memory])

    def _store_proposer(self, proposer: Proposer) -> MemoryNumber:
        number = self._proposers(_memory(proposer))
        if number == len(self._deadlines):
            self._deadlines.append(proposer.deadline_ms)
            self._attempting.append(proposer.is_attempting)
        return number

    def _mask(self, sender: str, out: Sequence[tuple[str, LeaseMessage]]) -> int:
        mask = 0
        for to, message in out:
            mask |= 1 << self._packets(_Packet(to, sender, message))
        return mask
