"""All leases of one proxy: when to attempt, extend and back off, and what its acceptors have promised.

:class:`LeaseNode` runs one :class:`~.paxos.Acceptor` and one :class:`~.paxos.Proposer` for each lease name, through
:meth:`tick` and :meth:`receive`. Safety depends on these two alone: whatever this class does, and however late it is
called, no two members hold a lease at once. This class decides about progress:

- A contender waits until its own quiet time and the lease that it knows of are over, and then for its turn. All
  members compute the same ranking, by hashes of lease name and member, which begins after the last holder. They start
  ``stagger_ms`` after one another. So the first live member has no competitor however many want the lease, and the
  others receive its prepare and let it finish.
- A request without an answer is sent again after ``resend_ms``, then with a backoff that grows by half each time. The
  attempt is abandoned after ``attempt_ms``, and the wait before the next attempt depends on the rank, too.
- A holder extends after a third of the lease time, so that two more attempts fit before the lease expires.

Bounds: the tables contain only the lease names given at the start. This module does no I/O.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beechslip.leases.messages import REQUEST_KINDS, LeaseMessage, LeaseMessageKind, OutgoingMessage
from beechslip.leases.paxos import Acceptor, LeaseTuning, OutgoingMessages, Proposer

RESEND_BACKOFF = 1.5  # factor from the wait before one resend to the wait before the next
RENEWALS_PER_LEASE = 3.0  # a holder extends after the lease time divided by this
MAX_IMMEDIATE_RETRIES = 3  # attempts repeated without a wait because the round was too low
RANK_JITTER = 0.3  # random addition to a rank, as a fraction of ``stagger_ms``
BLOCKED_BACKOFF = (0.3, 0.6)  # bounds of the wait while another member holds the lease, as fractions of ``lease_ms``

NoteCallback = Callable[..., None]


def _ignore_event(kind: str, **facts: object) -> None:
    pass


class _Tenure(NamedTuple):
    token: int
    deadline_ms: float


@dataclass
class LeaseNode:
    """The acceptors and proposers of member ``me``.

    ``sets`` are the sizes of the binding declared sets, the newest last. ``names`` are the leases of the fleet, the
    same on every member. ``initial_round`` is where rounds begin, such as the time of day in ms: it only helps rounds
    to rise over restarts, and safety does not depend on it. ``note`` is called with each event: hold, lost, released.
    """

    me: str
    sets: tuple[int, ...]
    names: tuple[str, ...]
    now_ms: float
    incarnation: int
    initial_round: int = 0
    tuning: LeaseTuning = field(default_factory=LeaseTuning)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    note: NoteCallback = _ignore_event

    def __post_init__(self) -> None:
        """Create idle proposers, and empty acceptors that refuse requests for the longest lease time plus drift."""
        tuning = self.tuning
        self.quiet_until_ms = self.now_ms + tuning.longest_ms * (1.0 + tuning.drift)
        self.acceptors = {
            name: Acceptor(name, tuning, self.quiet_until_ms, self.sets, self.initial_round) for name in self.names
        }
        self.proposers = {
            name: Proposer(self.me, self.incarnation, name, tuning, self.sets, highest=self.initial_round)
            for name in self.names
        }
        self.wanted: set[str] = set()
        self.counts: dict[str, int] = {}
        self._next_action_ms: dict[str, float] = {}  # by wanted name: when to attempt, extend or resend
        self._resend_wait_ms: dict[str, float] = {}  # by wanted name: the wait before the next resend
        self._failed_attempts: dict[str, int] = {}  # by wanted name: consecutive failures
        self._last_holder: dict[str, str] = {}  # by name: the last known holder
        self._rankings: dict[tuple[str, int], list[str]] = {}  # by name and set size: the ranked members
        self._others_lease_until_ms: dict[str, float] = {}  # by name: end of a lease proposed by another member
        self._tenures: dict[str, _Tenure] = {}  # by held name: the tenure as last noted

    # Queries -----------------------------------------------------------------------------------------------

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the fencing token if the lease is held for at least the margin from ``now_ms``, otherwise None.

        This is the check before each act, so ``now_ms`` must be the present time.
        """
        proposer = self.proposers.get(name)
        return proposer.held_token(now_ms) if proposer else None

    def holder(self, name: str, now_ms: float) -> str:
        """Return the member whose lease is in force at this member's acceptor, or "" if there is none."""
        return self.holder_and_round(name, now_ms)[0]

    def holder_and_round(self, name: str, now_ms: float) -> tuple[str, int]:
        """Return the holder known to this member's acceptor and the round of its ballot; ("", 0) if there is none."""
        acceptor = self.acceptors.get(name)
        ballot = acceptor.ballot_in_force(now_ms) if acceptor else None
        return (ballot.member, ballot.round) if ballot else ("", 0)

    def state(self, now_ms: float) -> dict[str, dict[str, object]]:
        """Return the state of each lease by name, for the operators' page; times in ms."""
        return {
            name: {
                "wanted": name in self.wanted,
                "held": proposer.held_token(now_ms) is not None,
                "token": proposer.token,
                "holder": self.holder(name, now_ms),
                "left_ms": max(0.0, proposer.deadline_ms - now_ms),
                "quiet_ms": max(0.0, self.quiet_until_ms - now_ms),
                "sets": list(proposer.sets),
            }
            for name, proposer in self.proposers.items()
        }

    # Commands ----------------------------------------------------------------------------------------------

    def want(self, name: str, now_ms: float) -> None:
        """Contend for the lease ``name`` from now on. A name not given at the start is ignored."""
        if name in self.proposers and name not in self.wanted:
            self.wanted.add(name)
            self._next_action_ms[name] = now_ms + self._turn_delay_ms(name)

    def release(self, name: str, now_ms: float) -> OutgoingMessages:
        """Stop contending for the lease ``name``, and release it if it is held."""
        self.wanted.discard(name)
        self._next_action_ms.pop(name, None)
        if name not in self.proposers:
            return []
        if name in self._tenures:
            self._end_tenure(name, "released")
        return self._deliver_to_self(now_ms, self.proposers[name].release())

    def observe_token(self, name: str, token: int) -> None:
        """Record that another member has seen ``token``.

        A holder with a lower token can't act any more, because receivers refuse its acts. This can happen after the
        whole fleet has restarted and its clocks were set back. The rounds continue above ``token``, and the lease is
        taken anew.
        """
        proposer = self.proposers.get(name)
        if proposer is None:
            return
        proposer.highest = max(proposer.highest, token)
        if 0 < proposer.token < token:
            proposer.is_outbid = True
            proposer.token = 0
            proposer.deadline_ms = 0.0

    def set_declared_size(self, size: int) -> None:
        """Change the declared set to ``size`` members. A held lease stays held and is extended by both sets."""
        self.sets = (size,)
        for name in self.names:
            self.proposers[name].add_sets((size,))
            self.acceptors[name].sets = self.proposers[name].sets
        for name in self.wanted:
            self._next_action_ms[name] = 0.0

    # Time passing ------------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> OutgoingMessages:
        """Attempt, extend and resend whatever is due. Return the messages to send."""
        self.now_ms = now_ms
        out: OutgoingMessages = []
        for name in sorted(self.wanted | set(self._tenures)):
            out += self._step_lease(now_ms, name)
        return out

    def _step_lease(self, now_ms: float, name: str) -> OutgoingMessages:
        proposer = self.proposers[name]
        if name in self._tenures and now_ms >= proposer.deadline_ms:
            proposer.deadline_ms = 0.0
            proposer.token = 0
            self._end_tenure(name, "lost")
        if name not in self.wanted or now_ms < self._next_action_ms.get(name, 0.0):
            return []
        if proposer.is_attempting:
            if self._may_succeed(now_ms, proposer):
                return self._resend(now_ms, proposer)
            if self._attempt_failed(now_ms, proposer):
                return self._deliver_to_self(now_ms, proposer.release())
        return self._extend_or_attempt(now_ms, proposer)

    def _may_succeed(self, now_ms: float, proposer: Proposer) -> bool:
        is_in_time = now_ms - proposer.attempt_began_ms < self.tuning.attempt_ms
        return is_in_time and (proposer.deadline_ms > now_ms or not proposer.is_quorum_refused())

    def _resend(self, now_ms: float, proposer: Proposer) -> OutgoingMessages:
        name = proposer.name
        self._resend_wait_ms[name] *= RESEND_BACKOFF
        self._next_action_ms[name] = now_ms + self._resend_wait_ms[name]
        return self._deliver_to_self(now_ms, proposer.resend(now_ms))

    def _attempt_failed(self, now_ms: float, proposer: Proposer) -> bool:
        """Count the failure. Return True to back off (the next attempt is scheduled), False to retry at once."""
        name = proposer.name
        self._count(f"{name}.refused")
        failures = self._failed_attempts[name] = self._failed_attempts.get(name, 0) + 1
        if proposer.deadline_ms > now_ms:
            proposer.abandon_attempt()
            return False
        is_blocked = bool(proposer.blocking_holder)
        if proposer.is_outbid and not is_blocked and not proposer.is_proposing and failures <= MAX_IMMEDIATE_RETRIES:
            return False  # the round was too low, and the proposer knows the higher one now
        # There is no hurry while another member holds a lease that this member's acceptor does not know of.
        backoff_ms = self.rng.uniform(*BLOCKED_BACKOFF) * self.tuning.lease_ms if is_blocked else 0.0
        self._next_action_ms[name] = now_ms + backoff_ms + self._turn_delay_ms(name)
        return True

    def _extend_or_attempt(self, now_ms: float, proposer: Proposer) -> OutgoingMessages:
        """Extend a held lease, or start an attempt unless that has to wait."""
        name = proposer.name
        acceptor = self.acceptors[name]
        is_holder = proposer.deadline_ms > now_ms
        earliest_ms = 0.0 if is_holder else self._earliest_attempt_ms(now_ms, acceptor)
        if earliest_ms > now_ms:
            self._next_action_ms[name] = earliest_ms + self._turn_delay_ms(name)
            return []
        proposer.highest = max(proposer.highest, acceptor.highest)
        self._resend_wait_ms[name] = self.tuning.resend_ms
        self._next_action_ms[name] = now_ms + self.tuning.resend_ms
        return self._deliver_to_self(now_ms, proposer.renew(now_ms) if is_holder else proposer.start_attempt(now_ms))

    def _turn_delay_ms(self, name: str) -> float:
        """Return how long this member waits after the lease has become free before it starts an attempt (ms)."""
        size = self.sets[-1]
        ranking = self._ranking(name, size)
        last = self._last_holder.get(name, ranking[-1])
        first = ranking.index(last) + 1 if last in ranking else 0
        rank = (ranking.index(self.me) - first) % size if self.me in ranking else size
        return (rank + self.rng.uniform(0.0, RANK_JITTER)) * self.tuning.stagger_ms

    def _ranking(self, name: str, size: int) -> list[str]:
        """Return the members of the set of ``size`` as ranked for ``name``, the same on every member. Cached."""
        ranking = self._rankings.get((name, size))
        if ranking is None:
            members = [f"d{n}" for n in range(size)]
            ranking = sorted(members, key=lambda member: zlib.crc32(f"{name}/{member}".encode()))
            self._rankings = {key: cached for key, cached in self._rankings.items() if key[1] == size}
            self._rankings[name, size] = ranking
        return ranking

    def _earliest_attempt_ms(self, now_ms: float, acceptor: Acceptor) -> float:
        """Return the time (ms) before which an attempt would fail, or would only disturb that of another member."""
        if now_ms < acceptor.quiet_until_ms:
            return acceptor.quiet_until_ms
        if acceptor.ballot_in_force(now_ms) is not None:
            return acceptor.lease_until_ms
        others_lease_until_ms = self._others_lease_until_ms.get(acceptor.name, 0.0)
        if others_lease_until_ms > now_ms:
            return others_lease_until_ms
        is_promised_to_other = acceptor.promised is not None and acceptor.promised.member != self.me
        return acceptor.promised_at_ms + self.tuning.sticky_ms if is_promised_to_other else 0.0

    # Messages ----------------------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: str, message: LeaseMessage) -> OutgoingMessages:
        """Handle a message of another member. Return the messages to send; an unknown lease name is counted."""
        self.now_ms = now_ms
        if message.name not in self.proposers:
            self._count("unknown_name")
            return []
        return self._deliver_to_self(now_ms, self._handle(now_ms, sender, message))

    def _handle(self, now_ms: float, sender: str, message: LeaseMessage) -> OutgoingMessages:
        if message.kind not in REQUEST_KINDS:
            out = self.proposers[message.name].receive(now_ms, sender, message)
            self._record_tenure(now_ms, message.name)
            return out
        acceptor = self.acceptors[message.name]
        was_in_force = acceptor.ballot_in_force(now_ms) is not None
        reply = acceptor.handle_request(now_ms, sender, message)
        is_freed = was_in_force and acceptor.ballot_in_force(now_ms) is None
        self._learn_from_request(now_ms, sender, message, is_freed)
        return [OutgoingMessage(sender, reply)] if reply else []

    def _learn_from_request(self, now_ms: float, sender: str, message: LeaseMessage, is_freed: bool) -> None:
        """Learn from another member's request which rounds are used up and who may hold the lease.

        This speeds up progress; safety never depends on it.
        """
        if sender == self.me:
            return
        name = message.name
        proposer = self.proposers[name]
        proposer.highest = max(proposer.highest, message.round)
        if message.kind is LeaseMessageKind.PROPOSE:
            self._last_holder[name] = sender
            self._others_lease_until_ms[name] = now_ms + min(message.lease_ms, self.tuning.longest_ms)
        elif is_freed:
            self._others_lease_until_ms.pop(name, None)
            if name in self.wanted:
                self._next_action_ms[name] = now_ms + self._turn_delay_ms(name)

    def _deliver_to_self(self, now_ms: float, out: Iterable[OutgoingMessage]) -> OutgoingMessages:
        """Handle the messages to this member itself at once. Return those to send to others."""
        pending = deque(out)
        remote: OutgoingMessages = []
        while pending:
            outgoing = pending.popleft()
            if outgoing.to == self.me:
                pending.extend(self._handle(now_ms, self.me, outgoing.message))
            else:
                remote.append(outgoing)
        return remote

    def _record_tenure(self, now_ms: float, name: str) -> None:
        """Note the tenure if the lease was just taken or extended, and schedule the next extension."""
        proposer = self.proposers[name]
        tenure = _Tenure(proposer.token, proposer.deadline_ms)
        if tenure.deadline_ms <= now_ms or self._tenures.get(name) == tenure:
            return
        if name not in self._tenures:
            self._count(f"{name}.held")
            self._last_holder[name] = self.me
        self._tenures[name] = tenure
        self._next_action_ms[name] = proposer.proposal_began_ms + self.tuning.lease_ms / RENEWALS_PER_LEASE
        self._failed_attempts.pop(name, None)
        valid_ms = tenure.deadline_ms - self.tuning.margin_ms
        self.note("hold", name=name, token=tenure.token, until=tenure.deadline_ms, valid=valid_ms)

    def _end_tenure(self, name: str, event: str) -> None:
        tenure = self._tenures.pop(name)
        self._count(f"{name}.{event}")
        self.note(event, name=name, token=tenure.token)

    def _count(self, counter: str) -> None:
        self.counts[counter] = self.counts.get(counter, 0) + 1
