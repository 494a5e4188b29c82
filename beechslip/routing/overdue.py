"""Overdue attempts: whether the cache, the source or a lost answer is the cause, and what is done."""

from __future__ import annotations

from beechslip.routing.cancellation import AttemptCancellation
from beechslip.routing.concurrency import ConcurrencyLimits
from beechslip.routing.context import RoutingContext
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.health import BackendHealth
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import RetryPolicy
from beechslip.routing.state import AttemptInFlight, AttemptKey, Backend, OpenRequest
from beechslip.routing.timers import TimerTable

LOST_AFTER_CHECKS = 3  # overdue checks after which an answer is counted as lost
MAX_OVERDUE_CHECKS = 4  # overdue checks of one attempt at most
MAX_LOST_FRACTION = 0.5  # of overdue answers; above it an overdue request is sent again
ASSUMED_ARRIVED_ANSWERS = 1.0  # overdue answers that did come, assumed in addition to those recorded


class OverdueMonitor:
    """Checks attempts that are not answered within the time that is usual for their class."""

    def __init__(
        self,
        context: RoutingContext,
        timers: TimerTable,
        requests: RequestTable,
        estimates: DurationEstimates,
        limits: ConcurrencyLimits,
        retries: RetryPolicy,
        cancellation: AttemptCancellation,
        health: BackendHealth,
    ) -> None:
        """Create a monitor of the attempts in ``requests``."""
        self._context = context
        self._timers = timers
        self._requests = requests
        self._estimates = estimates
        self._limits = limits
        self._retries = retries
        self._cancellation = cancellation
        self._health = health

    def schedule_check(self, request: OpenRequest, key: AttemptKey) -> None:
        """Schedule the overdue check of an attempt that has just been sent.

        An attempt whose deadline comes first is not checked: a client that allows little time is no sign of a
        silent backend.
        """
        overdue_after = self._estimates.overdue_after(request)
        if overdue_after < request.deadline - self._context.now:
            self._timers.start(overdue_after, key)

    def check_overdue(self, key: AttemptKey) -> None:
        """Check an overdue attempt, and cancel it if its answer is unlikely to come.

        If the cache has not answered anything since the attempt was sent, the cache is suspected; otherwise
        its source is. This guards against backends that accept requests and answer none, whatever the cause
        (hung, cut off, gone without notice). At a cache that gets few requests a slow source looks the same,
        so a health check tells the two apart. The cost is that a cache which hangs and still passes health
        checks is recognized late.
        """
        attempt = self._requests.in_flight.get(key)
        request = self._requests.open.get(key.request_id)
        if attempt is None or request is None or attempt.is_streaming or attempt.is_cancelling:
            return
        attempt.overdue_checks += 1
        cache = attempt.cache
        if attempt.overdue_checks == 1 and cache.last_heard_at <= attempt.sent_at:
            self._health.record_overdue(cache, attempt.trial_backend is cache)
        self._record_delay(request, attempt)
        self._cancel_if_lost_or_ejected(request, attempt)
        if not attempt.is_cancelling and attempt.overdue_checks < MAX_OVERDUE_CHECKS:
            self._timers.start(self._estimates.overdue_after(request), key)

    def record_success(self, attempt: AttemptInFlight) -> None:
        """Record a successful answer in the fraction of overdue answers that are lost.

        An overdue answer counts as one that came. The answer to a repeated attempt that was not overdue
        itself shows that the first answer was lost.
        """
        now = self._context.now
        if attempt.overdue_checks:
            attempt.cache.lost_answers.timely.add(now, 1.0)
        elif attempt.retries_lost_answer:
            attempt.cache.lost_answers.late.add(now, 1.0)

    def _record_delay(self, request: OpenRequest, attempt: AttemptInFlight) -> None:
        """Record what the delay of an overdue attempt shows.

        The second check counts a late fill, and the third counts the answer as lost. The first check of a
        repeated attempt counts as an answer that came: if the repeat is overdue too, the first answer was
        probably late and not lost.
        """
        now = self._context.now
        cache = attempt.cache
        has_answered_since = cache.last_heard_at > attempt.sent_at
        is_late_fill = attempt.overdue_checks == 2 and attempt.source is not None and has_answered_since
        if is_late_fill and self._context.settings.tells and not request.rule.write:
            # The second check takes place at the latency objective or later.
            self._limits.record_late_fill(attempt, request)
        if attempt.overdue_checks == LOST_AFTER_CHECKS:
            cache.lost_answers.late.add(now, 1.0)
        elif attempt.overdue_checks == 1 and attempt.retries_lost_answer:
            cache.lost_answers.timely.add(now, 1.0)

    def _cancel_if_lost_or_ejected(self, request: OpenRequest, attempt: AttemptInFlight) -> None:
        """Cancel an attempt whose cache or source is ejected, or whose answer is presumed lost."""
        source = attempt.source
        if attempt.cache.is_ejected or (source is not None and source.is_ejected):
            self._cancellation.cancel(request, attempt)
        elif self._is_answer_lost(attempt.cache, attempt.sent_at):
            # Most overdue answers of this cache never come, but it has the copy: ask it again.
            request.is_answer_lost = True
            self._cancellation.cancel(request, attempt)

    def _is_answer_lost(self, cache: Backend, sent_at: float) -> bool:
        """Return whether an overdue answer is presumed lost and a retry is in the budget.

        That is so at a cache that has answered since, and most of whose overdue answers never came.
        """
        if cache.last_heard_at <= sent_at or not self._retries.has_budget():
            return False
        return cache.lost_answers.exceeds(self._context.now, MAX_LOST_FRACTION, ASSUMED_ARRIVED_ANSWERS)
