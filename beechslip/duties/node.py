"""One proxy's part of the periodic duties: what to do now, what to report to the others, whom to yield to.

Pure: no I/O, no clock of its own; times are float ms given by the caller.

- **Who does a duty.** Rendezvous hashing (:mod:`.assign`) over the members that the SWIM view
  (:mod:`beechslip.fleet.membership`) takes as alive. The owner does the duty every ``interval_ms``. Standby ``r``
  (1..k-1) does it only when nothing has been heard of it for ``interval_ms + r * takeover_ms``, or, when all before
  it are suspect in its view, ``doubt_ms`` after it is due: long enough to hear of one that does it after all. A
  suspect keeps its rank but takes no standby's place, so that however many die together there are standbys who live;
  those past the ``k`` first, whom no report is sent to, step in after ``interval_ms + k * takeover_ms`` of silence.
- **Reports.** Every duty done becomes a :class:`DutyReport`, piggybacked on membership messages ``report_copies``
  times (:mod:`.reports`). Any report of a duty, from anyone, resets its due time here.
- **Leases against double owners.** Two members may both take themselves for owner while their views differ (a
  pause, a partition, lost messages). When one hears the other's owner report, the higher rendezvous weight
  wins, the same verdict on both sides; the loser grants the winner a lease of ``lease_ms`` during which it
  does not do that duty as owner. A lease ends by time only, so a
  winner that is gone stops costing coverage after ``lease_ms`` at most.
- **Schedule.** Due duties are started most overdue first, within a token bucket of ``rate_per_s`` duties a
  second and ``burst`` at once; each duty's due time has a fixed jitter, from its hash, of up to ``jitter`` of
  the interval, so that the owners' health checks spread over the interval rather than come together.

Bounds: tables by duty hold only listed duties (:meth:`DutyNode.set_duties` drops the rest); leases one per
duty; the report queue one per duty.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from beechslip.duties.assign import Assignment, weight
from beechslip.duties.reports import ReportQueue
from beechslip.duties.token_bucket import TokenBucket
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import REPORT, DutyReport, MemberState, OutgoingDatagram, PeerMessage

NEVER_MS = -1e18  # a duty that was never heard of is long overdue
NOT_DUE = -1.0
FALLBACK_STAGGER_MS = 100.0  # between members past the standbys that step in after a long silence
JITTER_STEPS = 1000  # a duty's jitter is one of so many fractions, by its hash


@dataclass(slots=True)
class _Lease:
    """What this member has granted: not to do a duty as owner until ``until_ms``."""

    holder: str
    until_ms: float


class _Place(NamedTuple):
    """This member's rank for a duty (0: owner), and who is its owner."""

    rank: int
    owner: str


class DutyTick(NamedTuple):
    """What is due: messages to send, and the duties to start now."""

    sends: list[OutgoingDatagram]
    start: list[str]


class DutyReceipt(NamedTuple):
    """What follows from a message: answers to send, and the reports that were new."""

    sends: list[OutgoingDatagram]
    fresh: list[DutyReport]


@dataclass
class DutyNode:
    """The duties of member ``membership.me``. Drive it with :meth:`tick`, :meth:`receive` and
    :meth:`done`."""

    membership: Membership
    duties: tuple[str, ...]
    tuning: DutyTuning = field(default_factory=DutyTuning)

    def __post_init__(self) -> None:
        """Nothing is known of any duty yet, so each is overdue for its owner."""
        tuning = self.tuning
        self.me = self.membership.me
        self.last_done_ms: dict[str, float] = {}  # by duty: when it was last done by anyone, as far as we know
        self.latest_reports: dict[str, DutyReport] = {}  # by duty
        self.leases: dict[str, _Lease] = {}
        self.running: set[str] = set()
        self.counts: dict[str, int] = {}
        self._reports = ReportQueue(tuning.report_copies, tuning.reports_per_message)
        self._bucket = TokenBucket(tuning.rate_per_s, tuning.burst, self.membership.now_ms)
        self._assignment = Assignment((), (self.me,), tuning.k)
        self._synced_version = -1  # the membership's version that ``_places`` follows from
        self._places: dict[str, _Place] = {}  # by duty that this member is owner or standby of
        self._jitter_ms: dict[str, float] = {}
        self._outbox: list[OutgoingDatagram] = []  # reports for standbys, sent with the next tick
        self.set_duties(self.duties)

    # The list of duties ------------------------------------------------------------------------------------

    def set_duties(self, duties: Iterable[str]) -> None:
        """A new list (backends listed or gone); what is known of unlisted duties is dropped."""
        self.duties = tuple(sorted(set(duties)))
        self._listed = set(self.duties)
        for table in (self.last_done_ms, self.latest_reports, self.leases):
            for duty in [duty for duty in table if duty not in self._listed]:
                del table[duty]
        self._reports.retain(self._listed)
        self._assignment.set_duties(self.duties)
        spread_ms = self.tuning.jitter * self.tuning.interval_ms
        self._jitter_ms = {
            duty: (weight(duty, "jitter") % JITTER_STEPS) / JITTER_STEPS * spread_ms for duty in self.duties
        }
        self._synced_version = -1

    def rank(self, duty: str) -> int | None:
        """0 if this member owns ``duty`` in its view, 1.. if it stands by, ``None`` if neither."""
        self._sync()
        place = self._places.get(duty)
        return place.rank if place else None

    def owned(self) -> list[str]:
        """The duties that this member owns in its view, sorted by name."""
        self._sync()
        return sorted(duty for duty, place in self._places.items() if place.rank == 0)

    def _alive(self, name: str) -> bool:
        return self.membership.state_of(name) is not MemberState.DEAD

    def _sure(self, name: str) -> bool:
        return self.membership.state_of(name) is MemberState.ALIVE

    def _ranked(self, duty: str) -> tuple[str, ...]:
        return self._assignment.ranked(duty, self._alive, self._sure)

    def _sync(self) -> None:
        """Follow the membership's view, if it has changed."""
        membership = self.membership
        if membership.view_version == self._synced_version:
            return
        self._synced_version = membership.view_version
        known = set(membership.members) | {self.me}
        for name in known - self._assignment.members:
            self._assignment.add(name)
        for name in self._assignment.members - known:
            self._assignment.remove(name)
        self._places = {}
        for duty in self.duties:
            ranked = self._ranked(duty)
            if self.me in ranked:
                self._places[duty] = _Place(ranked.index(self.me), ranked[0])

    # Time passing -------------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> DutyTick:
        """Membership messages to send, and the duties to start now (each to be answered by :meth:`done`)."""
        sends = [self._attach(send) for send in self.membership.tick(now_ms)] + self._outbox
        self._outbox = []
        self._bucket.refill(now_ms)
        self._sync()
        start: list[str] = []
        for duty in self._due(now_ms):
            if not self._bucket.take():
                self._count("deferred")
                break
            self.running.add(duty)
            start.append(duty)
        self._expire_leases(now_ms)
        return DutyTick(sends, start)

    def done(self, now_ms: float, duty: str, ok: bool) -> None:
        """A duty that :meth:`tick` started has ended; its report goes out with the next messages."""
        self.running.discard(duty)
        if duty not in self._listed:
            return
        report = DutyReport(duty, self.me, now_ms, ok, self.rank(duty) == 0)
        self.last_done_ms[duty] = max(self.last_done_ms.get(duty, now_ms), now_ms)
        self.latest_reports[duty] = report
        self._reports.add(report)
        if duty in self._places:
            self._report_to_standbys(report)

    def _report_to_standbys(self, report: DutyReport) -> None:
        """Straight to the standbys, which must not step in for a duty that was done; gossip is for the rest."""
        message = PeerMessage(REPORT, self.me, 0, reports=(report,))
        for standby in self._ranked(report.duty):
            if standby != self.me:  # more than once: a lost report costs a duplicate health check
                self._outbox += [OutgoingDatagram(standby, message)] * self.tuning.report_sends

    # Messages -----------------------------------------------------------------------------------------------

    def receive(self, now_ms: float, message: PeerMessage) -> DutyReceipt:
        """Handle a message: membership first, then its reports; answers to send, and the reports new here
        (for the caller to hand to the decision module as if its own health check had seen them)."""
        sends = [self._attach(send) for send in self.membership.receive(now_ms, message)]
        fresh: list[DutyReport] = []
        for report in message.reports:
            if report.duty not in self._listed or report.prober == self.me:
                continue
            if report.owner:
                self._contest(now_ms, report)
            done_ms = min(report.at_ms, now_ms)  # a clock ahead of ours must not put a duty off
            if done_ms > self.last_done_ms.get(report.duty, -1.0):
                self.last_done_ms[report.duty] = done_ms
                self.latest_reports[report.duty] = report
                fresh.append(report)
                self._reports.add(report)
        return DutyReceipt(sends, fresh)

    # Decisions ----------------------------------------------------------------------------------------------

    def _due(self, now_ms: float) -> list[str]:
        """The duties due for this member, the most overdue first."""
        due: list[tuple[float, str]] = []
        for duty, place in self._places.items():
            if duty in self.running:
                continue
            overdue_ms = self._overdue(now_ms, duty, place.rank, place.owner)
            if overdue_ms >= 0:
                due.append((overdue_ms, duty))
        return [duty for _, duty in sorted(due, reverse=True)]

    def _overdue(self, now_ms: float, duty: str, rank: int, owner: str) -> float:
        """ms by which ``duty`` is overdue for this member, of ``rank`` for it (negative: not due)."""
        tuning = self.tuning
        since_ms = now_ms - self.last_done_ms.get(duty, NEVER_MS)
        wait_ms = tuning.interval_ms - self._jitter_ms.get(duty, 0.0)
        if rank == 0:
            lease = self.leases.get(duty)
            if lease and lease.until_ms > now_ms:
                return NOT_DUE  # another proved by doing it that it holds the duty, until the lease ends
            return since_ms - wait_ms
        sure_above = sum(self._sure(name) for name in self._ranked(duty)[:rank])
        if sure_above == 0:
            return since_ms - (wait_ms + tuning.doubt_ms)  # all before it are suspect
        if rank >= tuning.k:
            # The owner's reports go to the standbys before it, so it hears late: only a long silence counts.
            stagger_ms = FALLBACK_STAGGER_MS * (rank - tuning.k)
            return since_ms - (wait_ms + tuning.k * tuning.takeover_ms + stagger_ms)
        return since_ms - (wait_ms + sure_above * tuning.takeover_ms)

    def _contest(self, now_ms: float, report: DutyReport) -> None:
        """Another did ``report.duty`` as its owner. If this member thinks so of itself too, the higher weight
        keeps it; the loser grants a lease."""
        if self.rank(report.duty) != 0:
            return
        if weight(report.duty, report.prober) > weight(report.duty, self.me):
            self.leases[report.duty] = _Lease(report.prober, now_ms + self.tuning.lease_ms)
            self._count("yielded")
        else:
            self._count("kept")

    def _expire_leases(self, now_ms: float) -> None:
        for duty, lease in list(self.leases.items()):
            if lease.until_ms <= now_ms:
                del self.leases[duty]

    def _attach(self, send: OutgoingDatagram) -> OutgoingDatagram:
        """The message with reports piggybacked, unless it is full of updates, which are few at most times."""
        if not self._reports or len(send.message.updates) > self.membership.tuning.max_piggybacked:
            return send
        return OutgoingDatagram(send.to, replace(send.message, reports=self._reports.take()))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
