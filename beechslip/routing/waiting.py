"""Requests that wait until the link of a cache or of a source has a place for their transfer."""

from __future__ import annotations

from beechslip.routing.context import CLOCK_RESOLUTION_S, RoutingContext
from beechslip.routing.estimates import MIN_TRANSFER_STRETCH
from beechslip.routing.link_limits import LinkLimits
from beechslip.routing.size_fairness import ServedShares
from beechslip.routing.state import Backend, OpenRequest
from beechslip.routing.timers import LinkResumes, TimerTable, WaitEnds

MAX_WAITING = 64  # requests for the link of one backend; each holds one of the open requests of the instance
# Of its time, that a request waits at most before its first attempt: one that is rejected later without any
# attempt costs the site part of its worth.
MAX_UNSENT_WAIT_FRACTION = 0.4


class WaitingRequests:
    """Owns the requests that wait for a place on a link, and chooses the one that gets the next place."""

    def __init__(
        self, context: RoutingContext, timers: TimerTable, links: LinkLimits, shares: ServedShares
    ) -> None:
        """Start with no waiting request."""
        self._context = context
        self._timers = timers
        self._links = links
        self._shares = shares
        self._by_backend: dict[Backend, list[OpenRequest]] = {}
        self._resumptions: dict[Backend, float] = {}  # times for which the last timer of each was set

    def add(self, request: OpenRequest, backend: Backend) -> bool:
        """Let a request wait for a place on a backend's link, until it could not be sent in time any more.

        Returns:
            False if there is no time to wait, or if too many requests wait already.
        """
        wait = self._longest_wait(request, backend)
        waiting = self._by_backend.setdefault(backend, [])
        if wait <= 0.0 or len(waiting) >= MAX_WAITING:
            if not waiting:
                del self._by_backend[backend]
            return False
        waiting.append(request)
        request.waiting_for = backend
        request.waits_until = self._context.now + wait
        self._timers.start(wait, WaitEnds(request.request_id))
        self.schedule_resumption(backend)
        return True

    def remove(self, request: OpenRequest) -> None:
        """Remove a request that ends or is sent; one that does not wait is left as it is."""
        backend = request.waiting_for
        if backend is None:
            return
        request.waiting_for = None
        waiting = self._by_backend[backend]
        waiting.remove(request)
        if not waiting:
            del self._by_backend[backend]
            self._resumptions.pop(backend, None)

    def backends(self) -> list[Backend]:
        """Return the backends for whose links requests wait."""
        return list(self._by_backend)

    def has_expired(self, request: OpenRequest) -> bool:
        """Return whether a request waits and has reached the end of its wait."""
        is_over = self._context.now >= request.waits_until - CLOCK_RESOLUTION_S
        return request.waiting_for is not None and is_over

    def take_next(self, backend: Backend, is_listed: bool) -> OpenRequest | None:
        """Remove and return the request that is sent next; ``None`` if there is none, or no place for it.

        A backend that is not listed any more keeps none: they are sent elsewhere.
        """
        waiting = self._by_backend.get(backend)
        if waiting and is_listed and not self._links.has_place(backend, is_short=False):
            if not backend.link.short_places.has_place(self._context.now):
                return None
            max_short = self._links.sizes.max_short
            waiting = [other for other in waiting if other.transfer_time < max_short]
        if not waiting:
            return None
        request = max(waiting, key=self._priority)
        self.remove(request)
        return request

    def take_joining(self, source: Backend, request: OpenRequest) -> list[OpenRequest]:
        """Remove and return the requests that can join the fill that has begun for ``request``."""
        if not self._context.settings.joins:
            return []
        joining = [
            other
            for other in self._by_backend.get(source, ())
            if other.copy_key == request.copy_key and other.missing_at is request.missing_at
        ]
        for other in joining:
            self.remove(other)
        return joining

    def schedule_resumption(self, backend: Backend) -> None:
        """Set a timer for the next end of a pause after a transfer, if requests wait for it."""
        if backend not in self._by_backend:
            return
        now = self._context.now
        pools = (backend.link.places, backend.link.short_places)
        ends = [pool.resumes_at for pool in pools if not pool.in_progress and pool.resumes_at > now]
        if ends and self._resumptions.get(backend) != min(ends):
            self._resumptions[backend] = min(ends)
            self._timers.start(min(ends) - now, LinkResumes())

    def _priority(self, request: OpenRequest) -> tuple[float, float]:
        """Return the rank of a request: first by what its band is owed, then the shortest transfer."""
        owed = self._shares.deficit(request) if self._shares.is_owed(request) else 0.0
        return owed, -request.transfer_time

    def _longest_wait(self, request: OpenRequest, backend: Backend) -> float:
        """Return the seconds that a request can wait and still complete in time at the expected pace."""
        now = self._context.now
        needed = request.transfer_time * max(MIN_TRANSFER_STRETCH, self._links.expected_pace(backend))
        wait = request.deadline - now - needed
        if request.attempts:
            return wait
        return min(wait, request.arrived_at + MAX_UNSENT_WAIT_FRACTION * request.event.time_left - now)
