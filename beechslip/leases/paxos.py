"""Acceptor and proposer of one lease: PaxosLease, which needs neither a disk nor synchronized clocks.

Source: M. Trencséni, A. Gazsó, H. Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012. This version is
stricter in three places, because of the faults that occur in this fleet (``docs/design/leases.md`` has the proof
and says what each rule prevents):

- An acceptor accepts only the ballot that it promised last *in its present incarnation*, and a proposer counts an
  accept only if the same acceptor had answered that ballot with an open promise. So a promise that arrives minutes
  late is void if the acceptor has restarted since.
- An acceptor that has another member's lease in force, or has promised another member within ``sticky_ms``, refuses
  a prepare without promising. So contenders disturb neither the holder nor one another.
- A quorum is a majority of *every* declared set that may still be binding (``sets``).

Times are in ms by the steady clock of the machine that runs the object. The time elapsed between two events differs
between any two machines by at most the fraction ``drift``. The proposer starts its timer before it sends the
proposal; acceptors count ``1 + drift`` times the lease time from when they receive it. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from beechslip.leases.messages import (
    MAX_MEMBER_SETS,
    MAX_ROUND,
    Ballot,
    LeaseMessage,
    LeaseMessageKind,
    OutgoingMessage,
)
from beechslip.leases.quorum import is_quorum, merge_sets

LONG_AGO_MS = -1e18  # earlier than any time of a steady clock
REBALLOT_DIVISOR = 3  # a holder that was outbid starts a new ballot after 1/3 of ``attempt_ms``

OutgoingMessages = list[OutgoingMessage]


@dataclass(frozen=True, slots=True)
class LeaseTuning:
    """Settings of a lease: times in ms, ``drift`` as a fraction.

    ``longest_ms`` is the longest lease time that any proxy of the fleet may request, now or before its last change of
    settings. An acceptor refuses all requests for that long after a start, because it has forgotten what it accepted.
    """

    lease_ms: float = 3000.0
    longest_ms: float = 3000.0
    margin_ms: float = 300.0  # how long an act may take after the check of the lease
    drift: float = 0.01
    resend_ms: float = 100.0
    attempt_ms: float = 1200.0  # each phase of an attempt to take a lease is abandoned after this
    sticky_ms: float = 900.0  # for so long after a promise, an acceptor promises no other member
    stagger_ms: float = 300.0  # interval between the starts of two contenders


@dataclass(slots=True)
class Acceptor:
    """The acceptor of one member for one lease. It starts empty, and refuses requests until ``quiet_until_ms``."""

    name: str
    tuning: LeaseTuning
    quiet_until_ms: float
    sets: tuple[int, ...]
    highest: int = 0  # the highest round known
    promised: Ballot | None = None
    promised_at_ms: float = 0.0
    accepted: Ballot | None = None
    accepted_seq: int = 0
    lease_until_ms: float = 0.0

    def ballot_in_force(self, now_ms: float) -> Ballot | None:
        """Return the ballot whose lease is in force at this acceptor, or None."""
        return self.accepted if now_ms < self.lease_until_ms else None

    def handle_request(self, now_ms: float, sender: str, request: LeaseMessage) -> LeaseMessage | None:
        """Handle a prepare, a proposal or a release. Return the reply to ``sender``, or None for a release."""
        ballot = Ballot(request.round, request.incarnation, sender)
        if request.kind is LeaseMessageKind.RELEASE:
            self._handle_release(ballot)
            return None
        if now_ms < self.quiet_until_ms or not self._has_matching_sets(request):
            return self._make_reply(LeaseMessageKind.REFUSE, request)
        if request.kind is LeaseMessageKind.PREPARE:
            return self._handle_prepare(now_ms, ballot, request)
        return self._handle_proposal(now_ms, ballot, request)

    def _handle_release(self, ballot: Ballot) -> None:
        if self.accepted == ballot:
            self.accepted = None
            self.lease_until_ms = 0.0
        if self.promised == ballot:
            self.promised_at_ms = LONG_AGO_MS  # the member needs no time to finish any more; the promise itself stays

    def _handle_prepare(self, now_ms: float, ballot: Ballot, request: LeaseMessage) -> LeaseMessage:
        current = self.ballot_in_force(now_ms)
        if current is not None and (current.member, current.incarnation) != (ballot.member, ballot.incarnation):
            return self._make_reply(LeaseMessageKind.REFUSE, request, holder=current.member)
        if self.promised != ballot and (
            self.highest >= ballot.round or self._is_promised_to_other(now_ms, ballot.member)
        ):
            return self._make_reply(LeaseMessageKind.REFUSE, request)
        self.promised = ballot
        self.promised_at_ms = now_ms
        self.highest = ballot.round
        return self._make_reply(LeaseMessageKind.PROMISE, request, open_=True)

    def _handle_proposal(self, now_ms: float, ballot: Ballot, request: LeaseMessage) -> LeaseMessage:
        if self.promised != ballot or request.lease_ms > self.tuning.longest_ms:
            return self._make_reply(LeaseMessageKind.REFUSE, request)
        # A proposal that arrives after a later one of its ballot is covered by that one: counting it would only
        # make other members wait longer.
        if self.accepted != ballot or request.seq >= self.accepted_seq:
            self.accepted = ballot
            self.accepted_seq = request.seq
            # Never shortened: a shorter lease time that was requested since may not have been accepted by a
            # majority.
            self.lease_until_ms = max(self.lease_until_ms, now_ms + request.lease_ms * (1.0 + self.tuning.drift))
        if request.settled:
            self.sets = self.sets[-1:]
        return self._make_reply(LeaseMessageKind.ACCEPT, request)

    def _make_reply(
        self, kind: LeaseMessageKind, request: LeaseMessage, open_: bool = False, holder: str = ""
    ) -> LeaseMessage:
        return LeaseMessage(
            kind,
            self.name,
            request.round,
            request.incarnation,
            request.seq,
            self.sets,
            open=open_,
            highest=self.highest,
            holder=holder,
        )

    def _is_promised_to_other(self, now_ms: float, sender: str) -> bool:
        """True if another member was promised lately and is given time to finish.

        Refusing without a promise is always safe.
        """
        return (
            self.promised is not None
            and self.promised.member != sender
            and now_ms < self.promised_at_ms + self.tuning.sticky_ms
        )

    def _has_matching_sets(self, request: LeaseMessage) -> bool:
        """True if the proposer has this acceptor's newest set, and asks for majorities of all sets binding here."""
        return (
            bool(request.sets)
            and request.sets[-1] == self.sets[-1]
            and (request.settled or set(request.sets) >= set(self.sets))
        )


@dataclass(slots=True)
class Proposer:
    """The proposer of one member for one lease: its attempts and its tenure. ``deadline_ms`` is 0 if not held."""

    me: str
    incarnation: int
    name: str
    tuning: LeaseTuning
    sets: tuple[int, ...]
    settled: bool = False  # no earlier set is binding any more
    highest: int = 0  # the highest round known
    ballot: Ballot | None = None
    open_acceptors: frozenset[str] = frozenset()  # acceptors that promised with no lease of another member in force
    accepted_by: frozenset[str] = frozenset()
    seq: int = 0
    proposal_began_ms: float = 0.0  # when the timer of the present proposal was started
    is_proposing: bool = False
    is_attempting: bool = False
    attempt_began_ms: float = 0.0  # when the present phase of the attempt began
    is_outbid: bool = False  # an acceptor has promised a higher round than that of `ballot`
    refused_by: frozenset[str] = frozenset()  # acceptors whose last reply to this ballot was a refusal
    blocking_holder: str = ""  # the member whose lease is in force, as named by an acceptor
    token: int = 0
    deadline_ms: float = 0.0

    def held_token(self, now_ms: float, margin_ms: float | None = None) -> int | None:
        """Return the fencing token if the lease is held for at least ``margin_ms`` more, otherwise None.

        Call this right before each act. The default margin is that of the tuning.
        """
        margin = self.tuning.margin_ms if margin_ms is None else margin_ms
        return self.token if now_ms < self.deadline_ms - margin else None

    def start_attempt(self, now_ms: float) -> OutgoingMessages:
        """Start a new ballot. Return a prepare for each member of the binding sets; nothing if no round is left."""
        if self.highest + 1 >= MAX_ROUND:
            return []
        self.highest += 1
        self.ballot = Ballot(self.highest, self.incarnation, self.me)
        self.open_acceptors = frozenset()
        self.accepted_by = frozenset()
        self.refused_by = frozenset()
        self.is_attempting = True
        self.is_proposing = False
        self.is_outbid = False
        self.blocking_holder = ""
        self.attempt_began_ms = now_ms
        return self._prepare_messages(self._binding_members())

    def renew(self, now_ms: float) -> OutgoingMessages:
        """Request another lease time under the same ballot. The timer starts here, before any message is sent."""
        if self.ballot is None:
            return self.start_attempt(now_ms)
        self.is_attempting = True
        self.is_outbid = False
        return self._start_proposal(now_ms) + self._prepare_messages(self._binding_members() - self.open_acceptors)

    def resend(self, now_ms: float) -> OutgoingMessages:
        """Return the requests that have not been answered yet, to be sent again."""
        if not self.is_attempting:
            return []
        spent_ms = now_ms - self.attempt_began_ms
        if self.is_outbid and self.deadline_ms > now_ms and spent_ms > self.tuning.attempt_ms / REBALLOT_DIVISOR:
            # Too few acceptors are left that have not promised another member since.
            return self.start_attempt(now_ms)
        out = self._prepare_messages(self._binding_members() - self.open_acceptors)
        if self.is_proposing:
            out += [
                OutgoingMessage(to, self._proposal_message()) for to in sorted(self.open_acceptors - self.accepted_by)
            ]
        return out

    def is_quorum_refused(self) -> bool:
        """True if the members that have not refused are too few for a quorum."""
        return not self._has_quorum(self._binding_members() - self.refused_by)

    def abandon_attempt(self) -> None:
        """End the present attempt. A lease that is held stays held until its deadline."""
        self.is_attempting = False
        self.is_proposing = False

    def release(self) -> OutgoingMessages:
        """End the tenure and any attempt at once. The messages let acceptors forget the lease before it expires."""
        was_held = self.deadline_ms > 0
        was_attempting = self.is_attempting
        self.deadline_ms = 0.0
        self.token = 0
        self.abandon_attempt()
        if not (was_held or was_attempting) or self.ballot is None:
            return []
        message = LeaseMessage(
            LeaseMessageKind.RELEASE, self.name, self.ballot.round, self.incarnation, sets=self.sets
        )
        return [
            OutgoingMessage(to, message)
            for to in sorted(self._binding_members() if was_held else self.open_acceptors)
        ]

    def receive(self, now_ms: float, sender: str, reply: LeaseMessage) -> OutgoingMessages:
        """Handle the reply of an acceptor. Return the messages to send because of it."""
        self.highest = max(self.highest, reply.highest)
        ballot = self.ballot
        if ballot is None or not self.is_attempting:
            return []
        if (reply.round, reply.incarnation) != (ballot.round, self.incarnation):
            return []
        if reply.kind is LeaseMessageKind.PROMISE and reply.open and sender not in self.open_acceptors:
            return self._on_promise(now_ms, sender)
        if (
            reply.kind is LeaseMessageKind.ACCEPT
            and self.is_proposing
            and reply.seq == self.seq
            and sender in self.open_acceptors
        ):
            self.accepted_by |= {sender}
            if self._has_quorum(self.accepted_by):
                self._start_or_extend_tenure(now_ms)
        elif reply.kind is LeaseMessageKind.REFUSE:
            self._on_refusal(sender, reply, ballot)
        return []

    def add_sets(self, sets: tuple[int, ...]) -> None:
        """Make ``sets`` binding beside the present ones, until a lease is taken by majorities of all of them."""
        merged = merge_sets(sets, self.sets)
        if merged != self.sets:
            self.sets = merged[-MAX_MEMBER_SETS:]
            self.settled = False
            self.open_acceptors = frozenset()
            self.accepted_by = frozenset()
            self.ballot = None
            self.abandon_attempt()

    # Steps -------------------------------------------------------------------------------------------------

    def _on_promise(self, now_ms: float, sender: str) -> OutgoingMessages:
        self.open_acceptors |= {sender}
        self.refused_by -= {sender}
        if self.is_proposing:
            return [OutgoingMessage(sender, self._proposal_message())]
        return self._start_proposal(now_ms) if self._has_quorum(self.open_acceptors) else []

    def _on_refusal(self, sender: str, reply: LeaseMessage, ballot: Ballot) -> None:
        self.open_acceptors -= {sender}  # the acceptor has restarted, or has promised another member since
        self.refused_by |= {sender}
        self.is_outbid |= reply.highest > ballot.round
        self.blocking_holder = reply.holder or self.blocking_holder
        if reply.sets and reply.sets[-1] == self.sets[-1] and not set(reply.sets) <= set(self.sets):
            self.add_sets(reply.sets)  # sets that are binding at the acceptor are binding here, too

    def _has_quorum(self, members: frozenset[str]) -> bool:
        return is_quorum(self.sets, members)

    def _binding_members(self) -> frozenset[str]:
        return frozenset(f"d{n}" for n in range(max(self.sets)))

    def _prepare_messages(self, to: Iterable[str]) -> OutgoingMessages:
        assert self.ballot is not None
        request = LeaseMessage(
            LeaseMessageKind.PREPARE,
            self.name,
            self.ballot.round,
            self.incarnation,
            self.seq,
            self.sets,
            settled=self.settled,
        )
        return [OutgoingMessage(name, request) for name in sorted(to)]

    def _proposal_message(self) -> LeaseMessage:
        assert self.ballot is not None
        return LeaseMessage(
            LeaseMessageKind.PROPOSE,
            self.name,
            self.ballot.round,
            self.incarnation,
            self.seq,
            self.sets,
            lease_ms=self.tuning.lease_ms,
            settled=self.settled,
        )

    def _start_proposal(self, now_ms: float) -> OutgoingMessages:
        self.seq += 1
        self.proposal_began_ms = now_ms
        self.is_proposing = True
        self.accepted_by = frozenset()
        self.attempt_began_ms = now_ms
        request = self._proposal_message()
        return [OutgoingMessage(to, request) for to in sorted(self.open_acceptors)]

    def _start_or_extend_tenure(self, now_ms: float) -> None:
        """Take or extend the lease: a quorum has accepted.

        It is held until the lease time is over by the timer that was started before the acceptors got the proposal.
        """
        deadline = self.proposal_began_ms + self.tuning.lease_ms
        self.abandon_attempt()
        if now_ms >= deadline:
            return
        if now_ms >= self.deadline_ms:  # not held, or expired: a new tenure begins
            assert self.ballot is not None
            self.token = self.ballot.round
        self.deadline_ms = deadline
        # A majority of every set has moved past the earlier sets for good: no proposer can get a majority of those
        # sets alone any more.
        self.sets = self.sets[-1:]
        self.settled = True
