"""Membership of the fleet: a SWIM failure detector with infection-style dissemination, without I/O.

Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002, with the suspicion mechanism of its section 4.2 and its incarnation numbers.

One :class:`Membership` belongs to one proxy (``me``). It does no I/O and reads no clock: every call is given the time
in milliseconds and returns the messages to send (:class:`OutgoingDatagram`). The caller sends them over a lossy
transport (UDP) and passes received messages to :meth:`Membership.receive`.

In each protocol period (``period_ms``) a member pings one peer, taken round-robin from a shuffled list. New members
are inserted into it at random places (SWIM 4.3): otherwise all members would ping the same peer in the same period,
and of many peers that died together only one would be found in each period. If there is no ack within
``ack_timeout_ms``, the member asks ``indirect`` others to ping that peer (ping-req), and pings it again itself. If
there is no ack by the end of the period the peer becomes *suspect*, and after a time without a refutation *dead*.
That time starts at ``suspect_most_ms`` and falls to ``suspect_ms`` as other members accuse the same peer on their own
(:mod:`.member`): lost datagrams cause one accuser, a death causes many. A message to a suspect member carries the
suspicion (the buddy system of Lifeguard). A member that receives a suspicion of itself refutes it by raising its
incarnation number. Every message carries up to ``max_piggybacked`` updates (:mod:`.dissemination`). While updates are
queued, they are also sent in messages of their own every ``gossip_interval_ms``.

Precedence of updates about one member (SWIM 4.2): ``alive(i)`` overrides ``suspect(j)`` and ``alive(j)`` for
``i > j``; ``suspect(i)`` overrides ``alive(j)`` for ``i >= j`` and ``suspect(j)`` for ``i > j``; ``dead(i)``
overrides everything of incarnation ``<= i``. Unlike the paper's confirm, a death does not override a newer
incarnation: a restarted member starts above any incarnation it had, so an old update does not declare it dead.

Bounds: there are at most ``max_members`` entries. Dead members are forgotten ``forget_ms`` after their death. The
queue of updates holds at most one entry for each member.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from beechslip.fleet.dissemination import UpdateQueue
from beechslip.fleet.member import Member, overrides, suspicion_ms
from beechslip.fleet.messages import (
    ACK,
    PING,
    PING_REQ,
    REPORT,
    MemberState,
    MemberUpdate,
    OutgoingDatagram,
    PeerMessage,
)
from beechslip.fleet.tuning import MembershipTuning

LEAVE_FANOUT = 3  # number of members that are told of a graceful shutdown
NO_SEQ = 0  # sequence number of messages that expect no ack


@dataclass(slots=True)
class _Probe:
    """The ping of the present protocol period, with its progress."""

    target: str
    seq: int
    started_ms: float
    is_indirect_requested: bool = False
    is_acked: bool = False
    pings_sent: int = 1


@dataclass(slots=True)
class _Relay:
    """A ping sent for another member. Its ack is forwarded to ``requester``."""

    requester: str
    requester_seq: int
    target: str
    until_ms: float


@dataclass
class Membership:
    """The membership view of one member. ``seeds`` are the other members known at the start, taken as alive."""

    me: str
    now_ms: float
    seeds: tuple[str, ...] = ()
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    incarnation: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(0))

    def __post_init__(self) -> None:
        """Add the seeds as alive, and queue the update that this member is alive."""
        self.members: dict[str, Member] = {}
        self.view_version = 0  # raised at every change of the view; callers may cache results by it
        self.counts: dict[str, int] = {}
        self._updates = UpdateQueue(self.tuning.retransmit_factor)
        self._ping_order: list[str] = []  # members still to be pinged in this pass; the last is the next
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}  # by the sequence number of this member's ping
        self._seq = 0
        self._period_began_ms = self.now_ms
        self._gossiped_ms = self.now_ms
        self._periods = 0
        self._not_alive: set[str] = set()  # suspect or dead members: the only ones with a time limit
        for name in self.seeds:
            if name != self.me:
                self._merge(MemberUpdate(name, 0, MemberState.ALIVE), self.now_ms, is_passed_on=False)
        self._queue_update(MemberUpdate(self.me, self.incarnation, MemberState.ALIVE))

    # Queries -----------------------------------------------------------------------------------------------

    def alive_members(self) -> list[str]:
        """Return the names of the members that are alive or suspect, including this one, sorted."""
        names = [member.name for member in self.members.values() if member.state is not MemberState.DEAD]
        return sorted([*names, self.me])

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of ``name`` in this view, or None if it is not known or was forgotten."""
        if name == self.me:
            return MemberState.ALIVE
        member = self.members.get(name)
        return member.state if member else None

    # Time passing ----------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Do whatever is due by ``now_ms``: a new protocol period, ping-reqs, suspicions that become deaths.

        Return the messages to send.
        """
        out = self._continue_probe(now_ms)
        if now_ms - self._period_began_ms >= self.tuning.period_ms:
            self._suspect_silent_target(now_ms)
            out += self._begin_period(now_ms)
        if self._updates and now_ms - self._gossiped_ms >= self.tuning.gossip_interval_ms:
            out += self._gossip(now_ms)
        self._expire_members(now_ms)
        self._expire_relays(now_ms)
        self.now_ms = now_ms
        return out

    def _continue_probe(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return indirect and repeated pings to a target that has not answered within ``ack_timeout_ms``."""
        probe = self._probe
        if probe is None or probe.is_acked:
            return []
        out: list[OutgoingDatagram] = []
        silent_ms = now_ms - probe.started_ms
        if not probe.is_indirect_requested and silent_ms >= self.tuning.ack_timeout_ms:
            probe.is_indirect_requested = True
            helpers = [name for name in self.alive_members() if name not in (self.me, probe.target)]
            for helper in self.rng.sample(helpers, min(self.tuning.indirect, len(helpers))):
                out.append(self._send(helper, PING_REQ, probe.seq, probe.target))
        if probe.pings_sent <= self.tuning.extra_pings and silent_ms >= probe.pings_sent * self.tuning.ack_timeout_ms:
            probe.pings_sent += 1
            out.append(self._send(probe.target, PING, probe.seq))
        return out

    def _suspect_silent_target(self, now_ms: float) -> None:
        """Accuse the target of the ending period if no message of it was received."""
        probe = self._probe
        target = self.members.get(probe.target) if probe and not probe.is_acked else None
        if target is None or target.state is MemberState.DEAD:
            return
        was_alive = target.state is MemberState.ALIVE
        self._merge(MemberUpdate(target.name, target.incarnation, MemberState.SUSPECT, self.me), now_ms)
        if was_alive:
            self._count("suspected")

    def _begin_period(self, now_ms: float) -> list[OutgoingDatagram]:
        out: list[OutgoingDatagram] = []
        self._period_began_ms = now_ms
        self._probe = None
        self._periods += 1
        dead = [name for name in sorted(self._not_alive) if self.members[name].state is MemberState.DEAD]
        if dead and self._periods % self.tuning.rejoin_interval_periods == 0:
            # Only a message across a healed partition shows that it has healed, so a dead member is pinged from time
            # to time.
            out.append(self._send(self.rng.choice(dead), PING, NO_SEQ))
        target = self._next_target()
        if target:
            self._seq += 1
            self._probe = _Probe(target, self._seq, now_ms)
            out.append(self._send(target, PING, self._seq))
        return out

    def _gossip(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return messages that carry only updates.

        After many deaths pings carry too few updates, and half of the pings go to dead members.
        """
        self._gossiped_ms = now_ms
        alive = [name for name, member in self.members.items() if member.state is MemberState.ALIVE]
        out: list[OutgoingDatagram] = []
        for name in self.rng.sample(alive, min(self.tuning.gossip_fanout, len(alive))):
            if self._updates:
                out.append(self._send(name, REPORT, NO_SEQ, max_updates=self.tuning.max_gossip_updates))
        return out

    def _expire_members(self, now_ms: float) -> None:
        """Declare members dead whose suspicion time is over. Forget those that have been dead for ``forget_ms``."""
        for name in sorted(self._not_alive):
            member = self.members[name]
            elapsed_ms = now_ms - member.since_ms
            if member.state is MemberState.SUSPECT and elapsed_ms >= suspicion_ms(member, self.tuning):
                self._merge(MemberUpdate(name, member.incarnation, MemberState.DEAD), now_ms)
                self._count("declared_dead")
            elif member.state is MemberState.DEAD and elapsed_ms >= self.tuning.forget_ms:
                del self.members[name]
                self._updates.discard(name)
                self._not_alive.discard(name)
                self.view_version += 1

    def _expire_relays(self, now_ms: float) -> None:
        for seq, relay in list(self._relays.items()):
            if now_ms >= relay.until_ms:
                del self._relays[seq]

    # Messages --------------------------------------------------------------------------------------------

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle one message: merge its updates, answer pings and forward acks. Return the messages to send."""
        self.now_ms = now_ms
        if message.sender == self.me:
            self._count("own_message")
            return []
        for update in message.updates:
            self._merge(update, now_ms)
        self._record_sender(message.sender, now_ms)
        if message.kind == PING:
            return [self._send(message.sender, ACK, message.seq, message.target)]
        if message.kind == PING_REQ and message.target and message.target != self.me:
            return [self._relay_ping(now_ms, message)]
        if message.kind == ACK:
            return self._on_ack(message)
        if message.kind != REPORT:  # a report carries only updates and needs no answer
            self._count("unknown_kind")
        return []

    def _record_sender(self, sender: str, now_ms: float) -> None:
        """Record that ``sender`` is alive, which a message received directly from it shows."""
        if sender not in self.members:
            self._merge(MemberUpdate(sender, 0, MemberState.ALIVE), now_ms)
        member = self.members.get(sender)
        if member is not None and member.state is not MemberState.ALIVE:
            # The next datagram to the member carries its state in this view, which it then refutes.
            self._queue_update(member.as_update())
        if self._probe and self._probe.target == sender:
            self._probe.is_acked = True  # whatever the kind of the message

    def _relay_ping(self, now_ms: float, message: PeerMessage) -> OutgoingDatagram:
        """Return the ping that a ping-req asks for."""
        self._seq += 1
        until_ms = now_ms + self.tuning.period_ms
        self._relays[self._seq] = _Relay(message.sender, message.seq, message.target, until_ms)
        return self._send(message.target, PING, self._seq)

    def _on_ack(self, message: PeerMessage) -> list[OutgoingDatagram]:
        out: list[OutgoingDatagram] = []
        relay = self._relays.pop(message.seq, None)
        if relay is not None:
            out.append(self._send(relay.requester, ACK, relay.requester_seq, relay.target))
        probe = self._probe
        if probe and probe.seq == message.seq and probe.target in (message.sender, message.target):
            probe.is_acked = True  # directly from the target, or forwarded by another member
        return out

    def leave(self) -> list[OutgoingDatagram]:
        """Return a few messages that declare this member dead at its present incarnation, for a graceful shutdown."""
        self._updates.add_once(MemberUpdate(self.me, self.incarnation, MemberState.DEAD))
        peers = [name for name in self.alive_members() if name != self.me]
        chosen = self.rng.sample(peers, min(len(peers), LEAVE_FANOUT))
        return [self._send(peer, PING, NO_SEQ) for peer in chosen]

    # The merge of SWIM 4.2 --------------------------------------------------------------------------------

    def _merge(self, update: MemberUpdate, now_ms: float, is_passed_on: bool = True) -> None:
        """Apply ``update`` if it overrides the known state of its member. Pass it on if ``is_passed_on``."""
        if update.member == self.me:
            self._refute(update)
            return
        member = self.members.get(update.member)
        if member is None:
            member = self._add_member(update, now_ms)
            if member is None:
                return
        elif overrides(update, member):
            member.apply(update, now_ms)
        else:
            self._add_accuser(update, member, is_passed_on)
            return
        if update.by:
            member.accusers |= {update.by}
        if update.state is MemberState.ALIVE:
            self._not_alive.discard(update.member)
        else:
            self._not_alive.add(update.member)
        self.view_version += 1
        if is_passed_on:
            self._queue_update(update)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a suspicion or death of this member by a higher incarnation."""
        if update.state is MemberState.ALIVE or update.incarnation < self.incarnation:
            return
        self.incarnation = update.incarnation + 1
        self._queue_update(MemberUpdate(self.me, self.incarnation, MemberState.ALIVE))
        self._count("refuted")

    def _add_member(self, update: MemberUpdate, now_ms: float) -> Member | None:
        """Add a member, at a random place in the present pass. Return None for a dead member, or at the bound."""
        if update.state is MemberState.DEAD:
            return None
        if len(self.members) >= self.tuning.max_members:
            self._count("members_over_bound")
            return None
        member = self.members[update.member] = Member(update.member, update.incarnation, update.state, now_ms)
        self._ping_order.insert(self.rng.randint(0, len(self._ping_order)), update.member)
        return member

    def _add_accuser(self, update: MemberUpdate, member: Member, is_passed_on: bool) -> None:
        """Add an accuser of a member that is suspect already. The first few accusers are passed on (Lifeguard)."""
        if member.is_new_accusation(update, self.tuning.accusers):
            member.accusers |= {update.by}
            if is_passed_on:
                self._queue_update(update)

    # Sending ----------------------------------------------------------------------------------------------

    def _queue_update(self, update: MemberUpdate) -> None:
        self._updates.add(update, len(self.members) + 1)

    def _send(self, to: str, kind: str, seq: int, target: str = "", max_updates: int = 0) -> OutgoingDatagram:
        """Return a message with up to ``max_updates`` piggybacked updates (0: as many as ``max_piggybacked``)."""
        member = self.members.get(to)
        if member is not None and member.state is not MemberState.ALIVE:
            self._updates.add_if_absent(member.as_update())  # the member must learn of the suspicion to refute it
        updates = self._updates.take(to, max_updates or self.tuning.max_piggybacked)
        return OutgoingDatagram(to, PeerMessage(kind, self.me, seq, target, updates))

    def _next_target(self) -> str:
        """Return the next member to ping, or "" if there is none.

        This is round-robin over a list that is shuffled again for each pass (SWIM 4.3), so each member is pinged in
        bounded time.
        """
        for _ in range(2):
            while self._ping_order:
                name = self._ping_order.pop()
                member = self.members.get(name)
                if member and member.state is not MemberState.DEAD:
                    return name
            self._ping_order = [name for name, member in self.members.items() if member.state is not MemberState.DEAD]
            self.rng.shuffle(self._ping_order)
        return ""

    def _count(self, counter: str) -> None:
        self.counts[counter] = self.counts.get(counter, 0) + 1
