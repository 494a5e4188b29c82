"""Concurrency limits: how many attempts each backend serves on time, and how many requests may be filled."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.state import AttemptInFlight, Backend, OpenRequest
from beechslip.routing.tallies import FillThrottle

FILL_FAULT_NOTES = frozenset({"source_lost", "source_lacks", "source_refused", "no_place", "origin_failed"})
MIN_CONCURRENCY_LIMIT = 2.0  # attempts in flight; fewer could not show that a backend has recovered
LIMIT_GROWTH = 2.0  # increase of a limit over a number of timely answers that equals the limit
LIMIT_CUT_FACTOR = 0.8  # factor applied when too many answers are late
ORIGIN_FILL_CUT_FACTOR = 0.5  # the same for fills that come directly from the origin
TOLERATED_LATE_ANSWERS = 0.1  # fraction of late answers above which a cache's limit is cut
TOLERATED_LATE_FILLS = 1.0 / 3.0  # fraction of late fills above which fewer requests may be filled
# The same where notes do not tell hits from fills. Most answers are then hits, so slow fills alone can
# explain this fraction of late answers.
TOLERATED_LATE_FILLS_WITHOUT_NOTES = 0.2
# Fills in progress on a zone's link, as a multiple of those that it carries at full speed. At this ratio each
# fill gets a quarter of full speed.
MAX_FILLS_PER_LINK = 4.0


class ConcurrencyLimits:
    """Owns the fill throttles and sets the ``concurrency_limit`` of each backend."""

    def __init__(
        self, context: RoutingContext, endpoints: EndpointTable, estimates: DurationEstimates
    ) -> None:
        """Start without limits on attempts or fills."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        # Fills from parents, which have half of the requested objects cached, and directly from the origin.
        self.parent_fills = FillThrottle(LIMIT_CUT_FACTOR)
        self.origin_fills = FillThrottle(ORIGIN_FILL_CUT_FACTOR)

    def fill_throttle(self, source: Backend | None) -> FillThrottle:
        """Return the throttle that applies to fills from ``source``."""
        return self.origin_fills if source is self._endpoints.origin else self.parent_fills

    def record_outcome(
        self, attempt: AttemptInFlight, request: OpenRequest | None, outcome: i.Outcome
    ) -> None:
        """Adjust the fill throttles and the concurrency limits to an attempt's outcome.

        An attempt sent directly to a parent counts for the parent's limit. At a cache, where notes tell hits
        from fills, hits count for the cache's limit and other answers for the fill throttle. Without notes an
        answer counts for both, each with its own tolerated fraction of late answers. The cost is that without
        notes a slow source can reduce the limit for hits, and that with notes a cache whose answers are all
        late is recognized only by its hits and its load reports.
        """
        cache = attempt.cache
        is_parent = cache in self._endpoints.parent_set
        if request is None or request.rule.write or not (is_parent or cache in self._endpoints.cache_set):
            return
        result = outcome.result
        objective = self._estimates.latency_objective(request)
        if result == "timeout" and outcome.elapsed <= objective / 2.0:
            return  # the client allowed little time, so the time-out says nothing about the load
        is_late = result in ("full", "timeout") or (result == "ok" and outcome.elapsed > objective)
        weight = self._relative_work(request)
        if is_parent:  # sent directly: without a limit, a zone without caches would crowd out all others
            self._adjust_limit(cache, is_late, TOLERATED_LATE_FILLS, attempt.sent_at, weight)
            return
        self._record_fill_outcome(attempt, outcome, is_late, weight)
        # Without a note "full" may be the source's answer; if the cache itself is full, its answers are late
        # too. A time-out carries no note and may have waited for a fill, so it does not count against a cache
        # whose hits are noted.
        are_notes_stated = self._context.settings.tells
        is_unexplained = (
            not outcome.note and result != "full" and (attempt.source is None or not are_notes_stated)
        )
        if outcome.note in ("hit", "no_place") or is_unexplained:
            self._adjust_limit(cache, is_late, TOLERATED_LATE_ANSWERS, attempt.sent_at, weight)

    def record_late_fill(self, attempt: AttemptInFlight, request: OpenRequest) -> None:
        """Count a fill in flight that is already late.

        Fills that hang would otherwise show congestion only when they end, which is too late.
        """
        self._record_fill(attempt, True, TOLERATED_LATE_FILLS, self._relative_work(request))

    def _relative_work(self, request: OpenRequest) -> float:
        """Return the weight of an answer: its transfer time over the mean of its class."""
        return request.transfer_time / self._estimates.class_transfer_time(request.rule)

    def _record_fill(self, attempt: AttemptInFlight, is_late: bool, tolerated: float, weight: float) -> None:
        attempt.is_counted_late = is_late
        throttle = self.fill_throttle(attempt.source)
        throttle.record(self._context.now, is_late, tolerated, attempt.sent_at, weight)

    def _record_fill_outcome(
        self, attempt: AttemptInFlight, outcome: i.Outcome, is_late: bool, weight: float
    ) -> None:
        source = attempt.source
        note = outcome.note
        is_failed_fill = note in FILL_FAULT_NOTES
        if source is None or not (is_failed_fill or (note != "hit" and outcome.result in ("ok", "timeout"))):
            return
        tolerated = (
            TOLERATED_LATE_FILLS if self._context.settings.tells else TOLERATED_LATE_FILLS_WITHOUT_NOTES
        )
        counts_as_late = is_late or is_failed_fill or outcome.report.get("link", 0.0) > MAX_FILLS_PER_LINK
        if not (counts_as_late and attempt.is_counted_late):
            self._record_fill(attempt, counts_as_late, tolerated, weight)
        if source in self._endpoints.parent_set:
            self._adjust_limit(source, is_late or is_failed_fill, tolerated, attempt.sent_at, weight)

    def _adjust_limit(
        self, backend: Backend, is_late: bool, tolerated: float, sent_at: float, weight: float
    ) -> None:
        """Cut the limit if too many answers are late; raise it on a timely one if half of it is in use."""
        if backend.lateness.record(self._context.now, is_late, tolerated, sent_at, weight):
            used = min(backend.concurrency_limit, backend.in_flight + 1.0)
            backend.concurrency_limit = max(used * LIMIT_CUT_FACTOR, MIN_CONCURRENCY_LIMIT)
        elif not is_late and backend.in_flight >= backend.concurrency_limit / 2.0:
            backend.concurrency_limit += LIMIT_GROWTH * min(weight, 1.0) / backend.concurrency_limit
