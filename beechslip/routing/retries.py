"""Retries: the budget of attempts in vain, when another attempt may be made, and when clients may return."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.context import Context
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import Estimates
from beechslip.routing.state import OpenRequest

BUDGET_EARNED = 0.1  # retries in vain earned by each request
BUDGET_MAX = 10.0  # retries in vain saved up at the most
MAX_ATTEMPTS = 4  # home, next in rank, another source, a stale look; more only feeds a fire
MAX_UNSEEN_FRACTION = 0.45  # of its time, after which a request that no backend has seen is ended
DEFAULT_RETRY_AFTER_S = 0.5  # s: the first ejection's time
RETURN_SPREAD = 0.5  # of the wait, over which the clients' returns are spread
SAFETY_TICKS = 2  # clock ticks left at a deadline or a window's end


class RetryPolicy:
    """Owner of the retry budget."""

    def __init__(self, context: Context, endpoints: EndpointTable, estimates: Estimates) -> None:
        """Start with a full budget."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        self.budget = BUDGET_MAX  # retries

    def earn(self) -> None:
        """Count a new request towards the budget."""
        self.budget = min(self.budget + BUDGET_EARNED, BUDGET_MAX)

    def refund(self) -> None:
        """Give a retry back: the bound is on those in vain; one that is served has found room."""
        self.budget = min(self.budget + 1.0, BUDGET_MAX)

    def spend(self) -> None:
        """Take one retry from the budget."""
        self.budget -= 1.0

    def has_budget(self) -> bool:
        """Whether one more retry may be spent."""
        return self.budget >= 1.0

    def may_attempt(self, request: OpenRequest) -> bool:
        """Whether the rules and the bounds leave room for another attempt."""
        settings = self._context.settings
        now = self._context.now
        margin = SAFETY_TICKS * settings.tick
        max_attempts = min(settings.max_attempts or MAX_ATTEMPTS, MAX_ATTEMPTS)
        if request.deadline - now <= margin or request.attempts >= max_attempts:
            return False
        if not self._estimates.can_be_sent_in_time(request):
            return False
        rule = request.rule
        if request.first_unproven_at is None or rule.effect == "safe":
            return True
        # A repeat of what may have run: only where, and only while, its backends discard it.
        within_window = now - request.first_unproven_at < rule.window - margin
        return discards_repeats(rule) and within_window

    def may_retry(self, request: OpenRequest, fill_failed: bool) -> bool:
        """After a failed attempt: whether another is permitted, within the bounds, and worth its while."""
        elapsed = self._context.now - request.arrived_at
        unseen = not request.reached_backend and elapsed > MAX_UNSEEN_FRACTION * request.event.time_left
        if unseen or request.last_look_made:
            return False
        if not self.may_attempt(request) or not self.has_budget():
            return False
        return not (fill_failed and elapsed > self._estimates.latency_objective(request))

    def is_harmless_to_repeat(self, request: OpenRequest) -> bool:
        """Whether the client may send it again: it has not run, or running twice does no harm."""
        rule = request.rule
        return rule.effect == "safe" or discards_repeats(rule) or request.first_unproven_at is None

    def retry_after(self) -> float:
        """Seconds after which a rejected client may return; 0 where the site does not tell clients.

        After the soonest trial of what is ejected, spread out: told one instant, all clients return at once.
        """
        settings = self._context.settings
        if not settings.retry_after:
            return 0.0
        now = self._context.now
        candidates = self._endpoints.caches + self._endpoints.parents
        waits = [b.ejected_until - now for b in candidates if b.ejected and b.ejected_until > now]
        wait = max(min(waits, default=DEFAULT_RETRY_AFTER_S), DEFAULT_RETRY_AFTER_S / 2)
        wait *= 1.0 + RETURN_SPREAD * self._context.random.random()
        return min(wait, settings.max_retry_after or DEFAULT_RETRY_AFTER_S)


def discards_repeats(rule: i.ClassRule) -> bool:
    """Whether every backend discards a repeat of a keyed request, within the rule's window."""
    return rule.effect == "keyed" and rule.group == "all"
