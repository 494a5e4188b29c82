"""Cancellation of attempts for which a better route is known."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import RetryPolicy
from beechslip.routing.selection import RouteSelector
from beechslip.routing.state import AttemptInFlight, Backend, OpenRequest


class AttemptCancellation:
    """Cancels attempts; the next attempt follows when the cancelled one ends. It has no state of its own."""

    def __init__(
        self, context: RoutingContext, requests: RequestTable, selector: RouteSelector, retries: RetryPolicy
    ) -> None:
        """Create a component that cancels attempts in ``requests``."""
        self._context = context
        self._requests = requests
        self._selector = selector
        self._retries = retries

    def cancel(self, request: OpenRequest, attempt: AttemptInFlight) -> None:
        """Cancel an attempt if that is permitted and safe, and the next one would take another route.

        After an answer that is presumed lost, the next attempt may also take the same route.
        """
        if attempt.is_cancelling or request.rule.effect != "safe":
            return
        if not self._context.settings.can_cancel or not self._retries.may_attempt(request):
            return
        ejected_backends = [b for b in (attempt.cache, attempt.source) if b is not None and b.is_ejected]
        request.avoided_backends += ejected_backends[:1]
        is_same_route = (
            self._selector.choose_cache(request) is attempt.cache
            and self._selector.choose_source(request) is attempt.source
        )
        if is_same_route and not request.is_answer_lost:
            return  # there is no better route
        attempt.is_cancelling = True
        self._context.actions.append(i.Cancel(request.request_id, attempt.number))

    def cancel_at(self, cache: Backend) -> None:
        """Cancel the attempts in flight at a cache, except those whose answer has started."""
        for key, attempt in list(self._requests.in_flight.items()):
            request = self._requests.open.get(key.request_id)
            if request is not None and attempt.cache is cache and not attempt.is_streaming:
                self.cancel(request, attempt)
