"""One proxy's part of the periodic duties: what to do now, what to report to the others, and to whom to yield.

Does no I/O and has no clock of its own. Times are float ms given by the caller.

- **Who does a duty.** Rendezvous hashing (:mod:`.assign`) over the members that the SWIM view
  (:mod:`beechslip.fleet.membership`) considers alive. The owner does the duty every ``interval_ms``. Standby ``r`` (1
  to ``members_per_duty - 1``) does it only when nothing has been heard of it for ``interval_ms + r * takeover_ms``,
  or, if all members ranked before it are suspect in its view, ``suspect_wait_ms`` after it is due. That is long
  enough to hear of a member that does it after all. A suspect member keeps its rank but does not take a standby's
  place, so that live standbys exist however many members die together. Members ranked after the first
  ``members_per_duty``, to whom no report is sent, step in after ``interval_ms + members_per_duty * takeover_ms``
  without a report.
- **Reports.** Every duty that is done becomes a :class:`DutyReport`, which is piggybacked on membership messages
  ``report_copies`` times (:mod:`.reports`). Any report of a duty, from any member, resets its due time here.
- **Leases against double owners.** Two members may both consider themselves the owner while their views differ (after
  a pause, a partition or lost messages). When one of them receives the other's report as an owner, the higher
  rendezvous weight wins, and both sides decide the same. The loser grants the winner a lease of ``lease_ms``, during
  which the loser does not do that duty as owner. A lease only ends when its time is over, so a winner that has gone
  leaves the duty undone by the loser for ``lease_ms`` at most.
- **Schedule.** Due duties are started with the most overdue first, within a token bucket of ``rate_per_s`` duties per
  second and ``burst`` at once. Each duty is due earlier by a fixed jitter, computed from its hash, of up to
  ``jitter`` of the interval, so that the owners' health checks are spread over the interval instead of coming
  together.

Bounds: tables by duty contain only listed duties (:meth:`DutyNode.set_duties` drops the rest). There is at most one
lease and one queued report for each duty.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from beechslip.duties.assign import DutyAssignment, rendezvous_weight
from beechslip.duties.reports import ReportQueue
from beechslip.duties.token_bucket import TokenBucket
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import REPORT, DutyReport, MemberState, OutgoingDatagram, PeerMessage

NEVER_MS = -1e18  # the time of a duty never heard of, which makes it long overdue
NOT_DUE_MS = -1.0
FALLBACK_STAGGER_MS = 100.0  # between the members after the standbys that step in after a long silence
JITTER_STEPS = 1000  # a duty's hash selects one of this many fractions as its jitter


@dataclass(slots=True)
class _Lease:
    """The lease that this member has granted: until ``until_ms`` it does not do the duty as owner."""

    holder: str
    until_ms: float


class _DutyRank(NamedTuple):
    """This member's rank for a duty (0: owner), and the duty's owner."""

    rank: int
    owner: str


class DutyTick(NamedTuple):
    """What is due: the messages to send, and the duties to start now."""

    sends: list[OutgoingDatagram]
    duties_to_start: list[str]


class DutyMessageResult(NamedTuple):
    """What follows from a message: the answers to send, and the reports that were new here."""

    sends: list[OutgoingDatagram]
    new_reports: list[DutyReport]


@dataclass
class DutyNode:
    """The duties of member ``membership.me``.

    To be driven by :meth:`tick`, :meth:`receive` and :meth:`record_done`.
    """

    membership: Membership
    duties: tuple[str, ...]
    tuning: DutyTuning = field(default_factory=DutyTuning)

    def __post_init__(self) -> None:
        """Start without knowledge of any duty, so that each duty is overdue for its owner."""
        tuning = self.tuning
        self.me = self.membership.me
        self.last_done_ms: dict[str, float] = {}  # by duty: when any member last did it, as far as this one knows
        self.latest_reports: dict[str, DutyReport] = {}  # by duty
        self.leases: dict[str, _Lease] = {}
        self.running_duties: set[str] = set()
        self.counts: dict[str, int] = {}
        self._reports = ReportQueue(tuning.report_copies, tuning.reports_per_message)
        self._bucket = TokenBucket(tuning.rate_per_s, tuning.burst, self.membership.now_ms)
        self._assignment = DutyAssignment((), (self.me,), tuning.members_per_duty)
        self._synced_version = -1  # the version of the membership from which ``_ranks`` was computed
        self._ranks: dict[str, _DutyRank] = {}  # by duty of which this member is the owner or a standby
        self._jitter_ms: dict[str, float] = {}
        self._outbox: list[OutgoingDatagram] = []  # reports for standbys, to be sent with the next tick
        self.set_duties(self.duties)

    # Duties and ranks --------------------------------------------------------------------------------------

    def set_duties(self, duties: Iterable[str]) -> None:
        """Use another list of duties, and drop what is known of duties that are no longer listed."""
        self.duties = tuple(sorted(set(duties)))
        self._listed_duties = set(self.duties)
        for table in (self.last_done_ms, self.latest_reports, self.leases):
            for duty in [duty for duty in table if duty not in self._listed_duties]:
                del table[duty]
        self._reports.retain(self._listed_duties)
        self._assignment.set_duties(self.duties)
        spread_ms = self.tuning.jitter * self.tuning.interval_ms
        self._jitter_ms = {
            duty: (rendezvous_weight(duty, "jitter") % JITTER_STEPS) / JITTER_STEPS * spread_ms
            for duty in self.duties
        }
        self._synced_version = -1

    def rank(self, duty: str) -> int | None:
        """Return 0 if this member owns ``duty`` in its view, 1 or more if it is a standby, else ``None``."""
        self._update_ranks()
        duty_rank = self._ranks.get(duty)
        return duty_rank.rank if duty_rank else None

    def owned_duties(self) -> list[str]:
        """Return the duties that this member owns in its view, sorted by name."""
        self._update_ranks()
        return sorted(duty for duty, duty_rank in self._ranks.items() if duty_rank.rank == 0)

    def _may_be_alive(self, name: str) -> bool:
        return self.membership.state_of(name) is not MemberState.DEAD

    def _is_alive(self, name: str) -> bool:
        return self.membership.state_of(name) is MemberState.ALIVE

    def _ranked_members(self, duty: str) -> tuple[str, ...]:
        return self._assignment.ranked_members(duty, self._may_be_alive, self._is_alive)

    def _update_ranks(self) -> None:
        """Recompute the ranks if the membership's view has changed."""
        membership = self.membership
        if membership.view_version == self._synced_version:
            return
        self._synced_version = membership.view_version
        known = set(membership.members) | {self.me}
        for name in known - self._assignment.members:
            self._assignment.add(name)
        for name in self._assignment.members - known:
            self._assignment.remove(name)
        self._ranks = {}
        for duty in self.duties:
            ranked = self._ranked_members(duty)
            if self.me in ranked:
                self._ranks[duty] = _DutyRank(ranked.index(self.me), ranked[0])

    # Schedule -----------------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> DutyTick:
        """Return the membership messages to send and the duties to start now.

        The caller calls :meth:`record_done` when a duty that was started has ended.
        """
        sends = [self._attach_reports(send) for send in self.membership.tick(now_ms)] + self._outbox
        self._outbox = []
        self._bucket.refill(now_ms)
        self._update_ranks()
        duties_to_start: list[str] = []
        for duty in self._due_duties(now_ms):
            if not self._bucket.take():
                self._count("deferred")
                break
            self.running_duties.add(duty)
            duties_to_start.append(duty)
        self._expire_leases(now_ms)
        return DutyTick(sends, duties_to_start)

    def record_done(self, now_ms: float, duty: str, ok: bool) -> None:
        """Record that a duty that :meth:`tick` started has ended. Its report goes out with the next messages."""
        self.running_duties.discard(duty)
        if duty not in self._listed_duties:
            return
        report = DutyReport(duty, self.me, now_ms, ok, self.rank(duty) == 0)
        self.last_done_ms[duty] = max(self.last_done_ms.get(duty, now_ms), now_ms)
        self.latest_reports[duty] = report
        self._reports.add(report)
        if duty in self._ranks:
            self._report_to_standbys(report)

    def _report_to_standbys(self, report: DutyReport) -> None:
        """Send a report directly to the standbys, so that they do not step in for a duty that was done.

        The other members get it by gossip.
        """
        message = PeerMessage(REPORT, self.me, 0, reports=(report,))
        for standby in self._ranked_members(report.duty):
            if standby != self.me:  # sent more than once, because a lost report causes a duplicate health check
                self._outbox += [OutgoingDatagram(standby, message)] * self.tuning.report_sends

    # Messages -----------------------------------------------------------------------------------------------

    def receive(self, now_ms: float, message: PeerMessage) -> DutyMessageResult:
        """Handle a message: first the membership's part, then its reports.

        Returns the answers to send and the reports that were new here. The caller passes those to the routing module,
        as if its own health check had produced them.
        """
        sends = [self._attach_reports(send) for send in self.membership.receive(now_ms, message)]
        new_reports: list[DutyReport] = []
        for report in message.reports:
            if report.duty not in self._listed_duties or report.prober == self.me:
                continue
            if report.owner:
                self._resolve_double_owner(now_ms, report)
            done_ms = min(report.at_ms, now_ms)  # a sender's clock that is ahead must not delay a duty here
            if done_ms > self.last_done_ms.get(report.duty, -1.0):
                self.last_done_ms[report.duty] = done_ms
                self.latest_reports[report.duty] = report
                new_reports.append(report)
                self._reports.add(report)
        return DutyMessageResult(sends, new_reports)

    # Decisions ----------------------------------------------------------------------------------------------

    def _due_duties(self, now_ms: float) -> list[str]:
        """Return the duties that are due for this member, the most overdue first."""
        due: list[tuple[float, str]] = []
        for duty, duty_rank in self._ranks.items():
            if duty in self.running_duties:
                continue
            overdue_ms = self._overdue_ms(now_ms, duty, duty_rank.rank, duty_rank.owner)
            if overdue_ms >= 0:
                due.append((overdue_ms, duty))
        return [duty for _, duty in sorted(due, reverse=True)]

    def _overdue_ms(self, now_ms: float, duty: str, rank: int, owner: str) -> float:
        """Return by how many ms ``duty`` is overdue for this member of rank ``rank`` (negative: not due)."""
        tuning = self.tuning
        since_done_ms = now_ms - self.last_done_ms.get(duty, NEVER_MS)
        wait_ms = tuning.interval_ms - self._jitter_ms.get(duty, 0.0)
        if rank == 0:
            lease = self.leases.get(duty)
            if lease and lease.until_ms > now_ms:
                return NOT_DUE_MS  # another member does the duty until the lease ends
            return since_done_ms - wait_ms
        alive_before = sum(self._is_alive(name) for name in self._ranked_members(duty)[:rank])
        if alive_before == 0:
            return since_done_ms - (wait_ms + tuning.suspect_wait_ms)  # all members before this one are suspect
        if rank >= tuning.members_per_duty:
            # The owner's reports go directly to the standbys only. This member hears of the duty late, so it waits
            # for a long silence.
            stagger_ms = FALLBACK_STAGGER_MS * (rank - tuning.members_per_duty)
            return since_done_ms - (wait_ms + tuning.members_per_duty * tuning.takeover_ms + stagger_ms)
        return since_done_ms - (wait_ms + alive_before * tuning.takeover_ms)

    def _resolve_double_owner(self, now_ms: float, report: DutyReport) -> None:
        """Handle a report by another member that did ``report.duty`` as its owner.

        If this member also considers itself the owner, the one with the higher weight keeps the duty, and the other
        one grants it a lease.
        """
        if self.rank(report.duty) != 0:
            return
        if rendezvous_weight(report.duty, report.prober) > rendezvous_weight(report.duty, self.me):
            self.leases[report.duty] = _Lease(report.prober, now_ms + self.tuning.lease_ms)
            self._count("yielded")
        else:
            self._count("kept")

    def _expire_leases(self, now_ms: float) -> None:
        for duty, lease in list(self.leases.items()):
            if lease.until_ms <= now_ms:
                del self.leases[duty]

    def _attach_reports(self, send: OutgoingDatagram) -> OutgoingDatagram:
        """Return the message with reports piggybacked.

        It is returned unchanged if it is full of updates, which is rare.
        """
        if not self._reports or len(send.message.updates) > self.membership.tuning.max_piggybacked:
            return send
        return OutgoingDatagram(send.to, replace(send.message, reports=self._reports.take()))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
