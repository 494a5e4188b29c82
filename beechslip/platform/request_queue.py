"""The requests of one connection that wait behind the one being handled, with a bound on their bytes. Pure."""

from __future__ import annotations

from array import array

from beechslip.platform.http_messages import HttpResponse
from beechslip.platform.request_assembler import WholeRequest

MAX_READ_AHEAD_BYTES = 65_536  # of requests that wait behind another; further ones are refused


class RequestQueue:
    """Whole requests in order; behind them those that are only counted, as they are refused in their turn.

    The first request is kept as it is. Those behind it are kept in one block of raw bytes, as many small objects for
    each of hundreds of connections would leave the memory of the process in fragments. ``last_response`` is the
    response to what follows all requests. It ends the connection.
    """

    __slots__ = (
        "_body_lengths",
        "_first",
        "_head_lengths",
        "_raw",
        "_received_ms",
        "held_bytes",
        "last_response",
        "refusals_owed",
    )

    def __init__(self) -> None:
        """Create an empty queue."""
        self._first: WholeRequest | None = None
        self._raw = bytearray()  # heads and bodies of the requests behind the first
        self._head_lengths = array("I")
        self._body_lengths = array("I")
        self._received_ms = array("d")
        self.held_bytes = 0
        self.refusals_owed = 0
        self.last_response: HttpResponse | None = None

    def __bool__(self) -> bool:
        """Return True if anything waits for a response."""
        return self._first is not None or bool(self.refusals_owed or self.last_response)

    @property
    def has_request(self) -> bool:
        """True if a whole request waits."""
        return self._first is not None

    def has_room_for(self, nbytes: int) -> bool:
        """Return True if a request of this size may wait behind others."""
        return not self.refusals_owed and self.held_bytes + nbytes <= MAX_READ_AHEAD_BYTES

    def append(self, request: WholeRequest) -> None:
        """Add a request."""
        self.held_bytes += request.held_bytes
        if self._first is None:
            self._first = request
            return
        self._raw += request.raw_head
        self._raw += request.body
        self._head_lengths.append(len(request.raw_head))
        self._body_lengths.append(len(request.body))
        self._received_ms.append(request.received_ms)

    def pop(self) -> WholeRequest:
        """Remove the first request."""
        request = self._first
        assert request is not None
        self._first = self._take_next() if self._received_ms else None
        self.held_bytes -= request.held_bytes
        return request

    def _take_next(self) -> WholeRequest:
        """Remove the request behind the first from the raw bytes."""
        head_end = self._head_lengths.pop(0)
        body_end = head_end + self._body_lengths.pop(0)
        request = WholeRequest(
            bytes(self._raw[:head_end]), None, bytes(self._raw[head_end:body_end]), self._received_ms.pop(0)
        )
        del self._raw[:body_end]
        return request

    def take_refusals(self, max_count: int) -> int:
        """Return how many requests to refuse now, at most ``max_count``."""
        count = min(self.refusals_owed, max_count)
        self.refusals_owed -= count
        return count

    def clear(self) -> None:
        """Drop everything."""
        self._first = self.last_response = None
        self.held_bytes = self.refusals_owed = 0
        self._raw = bytearray()
        for numbers in (self._head_lengths, self._body_lengths, self._received_ms):
            del numbers[:]
