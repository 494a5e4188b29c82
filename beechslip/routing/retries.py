"""Retries: their budget, when another attempt may be made, and when a rejected client may return."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.state import OpenRequest

BUDGET_PER_REQUEST = 0.1  # retries added to the budget by each request
MAX_BUDGET = 10.0  # retries, the most that the budget can hold
MAX_ATTEMPTS = 4  # first cache, next in rank, another source, a stale copy; more would only add load
MAX_UNREACHED_FRACTION = 0.45  # of its time, after which a request that has reached no backend is ended
DEFAULT_RETRY_AFTER_S = 0.5  # s, the duration of a first ejection
RETRY_AFTER_SPREAD = 0.5  # fraction of the wait over which the returns of clients are spread
MARGIN_TICKS = 2  # clock ticks kept as a margin before a deadline or the end of a window


class RetryPolicy:
    """Owns the retry budget, which limits retries that fail, and decides on retries."""

    def __init__(
        self, context: RoutingContext, endpoints: EndpointTable, estimates: DurationEstimates
    ) -> None:
        """Create the policy with a full budget."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        self.budget = MAX_BUDGET  # retries

    def record_new_request(self) -> None:
        """Add ``BUDGET_PER_REQUEST`` to the budget for a new request."""
        self.budget = min(self.budget + BUDGET_PER_REQUEST, MAX_BUDGET)

    def refund_retry(self) -> None:
        """Return one retry to the budget, because it was served: the budget limits only retries that fail."""
        self.budget = min(self.budget + 1.0, MAX_BUDGET)

    def spend_retry(self) -> None:
        """Take one retry from the budget."""
        self.budget -= 1.0

    def has_budget(self) -> bool:
        """Return whether the budget holds one more retry."""
        return self.budget >= 1.0

    def may_look_up(self, request: OpenRequest) -> bool:
        """Return whether a lookup leaves the request an attempt for a fill, and one that may fail."""
        max_attempts = min(self._context.settings.max_attempts or MAX_ATTEMPTS, MAX_ATTEMPTS)
        return request.attempts + 1 < min(max_attempts, MAX_ATTEMPTS - 1)

    def may_attempt(self, request: OpenRequest) -> bool:
        """Return whether the class's rule, the deadline and the limit on attempts permit another attempt."""
        settings = self._context.settings
        now = self._context.now
        margin = MARGIN_TICKS * settings.tick
        max_attempts = min(settings.max_attempts or MAX_ATTEMPTS, MAX_ATTEMPTS)
        if request.deadline - now <= margin or request.attempts >= max_attempts:
            return False
        if not self._estimates.can_be_sent_in_time(request):
            return False
        rule = request.rule
        if request.possibly_executed_since is None or rule.effect == "safe":
            return True
        # A request that may have run is repeated only if all backends discard repeats, and in the window.
        is_within_window = now - request.possibly_executed_since < rule.window - margin
        return discards_repeats(rule) and is_within_window

    def may_retry(self, request: OpenRequest, has_fill_failed: bool) -> bool:
        """Return whether a failed attempt is followed by another one.

        Another attempt must be permitted and within the budget. None follows a cached-only attempt, a failed
        fill after the latency objective, or a request that has reached no backend in much of its time.
        """
        elapsed = self._context.now - request.arrived_at
        is_unreached = (
            not request.has_reached_backend and elapsed > MAX_UNREACHED_FRACTION * request.event.time_left
        )
        if is_unreached or request.has_made_last_attempt:
            return False
        if not self.may_attempt(request) or not self.has_budget():
            return False
        return not (has_fill_failed and elapsed > self._estimates.latency_objective(request))

    def is_harmless_to_repeat(self, request: OpenRequest) -> bool:
        """Return whether the client may send the request again: it has not run, or may run twice."""
        rule = request.rule
        return rule.effect == "safe" or discards_repeats(rule) or request.possibly_executed_since is None

    def retry_after(self) -> float:
        """Return the seconds after which a rejected client may return; 0 if rejections cannot state them.

        Within the site's limit, the wait lasts until an ejection has ended, and it is spread randomly:
        clients that are all given the same instant would all return at once.
        """
        settings = self._context.settings
        if not settings.retry_after:
            return 0.0
        now = self._context.now
        candidates = self._endpoints.caches + self._endpoints.parents
        waits = [b.ejected_until - now for b in candidates if b.is_ejected and b.ejected_until > now]
        wait = max(min(waits, default=DEFAULT_RETRY_AFTER_S), DEFAULT_RETRY_AFTER_S / 2)
        wait *= 1.0 + RETRY_AFTER_SPREAD * self._context.random.random()
        return min(wait, settings.max_retry_after or DEFAULT_RETRY_AFTER_S)


def discards_repeats(rule: i.ClassRule) -> bool:
    """Return whether all backends discard repeats of a keyed request within the rule's window."""
    return rule.effect == "keyed" and rule.group == "all"
