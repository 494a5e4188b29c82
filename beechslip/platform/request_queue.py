"""The requests of one connection that wait behind the one being handled, with a bound on their bytes. Pure."""

from __future__ import annotations

from collections import deque

from beechslip.platform.http_messages import HttpResponse
from beechslip.platform.request_assembler import WholeRequest

MAX_READ_AHEAD_BYTES = 131_072  # of requests that wait behind another; further ones are refused


class RequestQueue:
    """Whole requests in order; behind them those that are only counted, as they are refused in their turn.

    ``last_response`` is the response to what follows all of them. It ends the connection.
    """

    __slots__ = ("_requests", "held_bytes", "last_response", "refusals_owed")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._requests = deque[WholeRequest]()
        self.held_bytes = 0
        self.refusals_owed = 0
        self.last_response: HttpResponse | None = None

    def __bool__(self) -> bool:
        """Return True if anything waits for a response."""
        return bool(self._requests or self.refusals_owed or self.last_response)

    @property
    def has_request(self) -> bool:
        """True if a whole request waits."""
        return bool(self._requests)

    def has_room_for(self, nbytes: int) -> bool:
        """Return True if a request of this size may wait behind others."""
        return not self.refusals_owed and self.held_bytes + nbytes <= MAX_READ_AHEAD_BYTES

    def append(self, request: WholeRequest) -> None:
        """Add a request."""
        self._requests.append(request)
        self.held_bytes += request.held_bytes

    def pop(self) -> WholeRequest:
        """Remove the first request."""
        request = self._requests.popleft()
        self.held_bytes -= request.held_bytes
        return request

    def take_refusals(self, max_count: int) -> int:
        """Return how many requests to refuse now, at most ``max_count``."""
        count = min(self.refusals_owed, max_count)
        self.refusals_owed -= count
        return count

    def clear(self) -> None:
        """Drop everything."""
        self._requests.clear()
        self.held_bytes = 0
        self.refusals_owed = 0
        self.last_response = None
