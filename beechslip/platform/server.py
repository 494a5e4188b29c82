"""The HTTP server: owns the connections that were accepted, their bound and their time limits."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

from beechslip.clock import Clock, to_seconds
from beechslip.counters import Counters
from beechslip.memory_budget import MemoryBudget
from beechslip.platform.client_connection import ClientConnection
from beechslip.platform.exchange import RequestHandler
from beechslip.platform.fair_turns import FairTurns
from beechslip.platform.http_messages import HttpResponse
from beechslip.platform.request_form import BadRequestError
from beechslip.platform.sockets import RetryingSocket

log = logging.getLogger("beechslip.front")

# The time from connecting, or from the first byte of a later request, until the request is complete. A client that
# sends nothing, or only a part of a request, must be closed within 3 s of connecting. A client that sends 60 MB must
# be closed within 6 s.
REQUEST_READ_TIMEOUT_MS = 2_200.0
UNREAD_REQUEST_GRACE_MS = 250.0  # beyond that, if bytes have arrived that are unread: the request may be whole
IDLE_TIMEOUT_MS = 5_000.0  # after a response; clients close after 4 s, but some never close
REQUEST_GRACE_MS = 500.0  # for the first byte of a request, before an idle connection is ended for another one
LINGER_TIMEOUT_MS = 500.0  # after the last response, for what the client was still sending
LOOP_CHECK_INTERVAL_MS = 25.0  # interval at which the event loop records that it runs
STALL_THRESHOLD_MS = 25.0  # a record that is late by more than this indicates a stall
AFTER_STALL_WINDOW_MS = 20.0  # within this time after a stall, everything that waited is read
READ_BUFFER_BYTES = 16_384  # also the most that is read from a connection in one step of the event loop
MAX_LOG_LINES_PER_S = 10  # log lines about bad requests; in a flood, each would cost CPU that other requests need


class BoundedServer:
    """Owns the connections of one listening socket, their bound and their time limits."""

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget,
        max_connections: Callable[[], int],
        request_read_timeout_ms: float = REQUEST_READ_TIMEOUT_MS,
    ) -> None:
        """Create a server for ``handler``, with a bound on its connections that may change.

        A client may take ``request_read_timeout_ms`` to send a request.
        """
        self.handler = handler
        self.clock = clock
        self.counters = counters
        self.memory = memory
        self.turns = FairTurns(clock.now_ms, _schedule)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._max_connections = max_connections
        self._request_read_timeout_ms = request_read_timeout_ms
        self._open_connections: dict[ClientConnection, None] = {}  # ordered by state_since_ms, oldest first
        # Connections that are being closed. A response on one may still have to be sent.
        self._closing_connections: set[ClientConnection] = set()
        self._progress_event = asyncio.Event()  # set when a connection's pending work may have ended
        self._log_window_ms = 0.0  # start of the current one-second window for log lines
        self._logged_in_window = 0  # log lines written in that window
        self._last_loop_run_ms = 0.0
        self._stall_began_ms = 0.0  # the last record before the latest stall
        self._stall_ended_ms = -math.inf

    def create_connection(self, sock: RetryingSocket) -> ClientConnection:
        """Return the protocol of a new connection on ``sock``."""
        return ClientConnection(self, sock)

    def record_loop_run(self) -> None:
        """Record that the event loop runs. This must be called every LOOP_CHECK_INTERVAL_MS.

        A process that was stopped while it waited for events runs its timers first, and only then reads what has
        arrived in the meantime. A late record therefore notes the stall for the reads that follow it.
        """
        now_ms = self.clock.now_ms()
        if self._is_stall(now_ms):
            self._stall_began_ms = self._last_loop_run_ms
            self._stall_ended_ms = now_ms
        self._last_loop_run_ms = now_ms

    def loop_stall_ms(self) -> float:
        """Return how long bytes read now may have waited because the event loop was stalled; 0 without a stall."""
        now_ms = self.clock.now_ms()
        if self._is_stall(now_ms):
            return now_ms - self._last_loop_run_ms
        return now_ms - self._stall_began_ms if now_ms - self._stall_ended_ms < AFTER_STALL_WINDOW_MS else 0.0

    def _is_stall(self, now_ms: float) -> bool:
        return (
            bool(self._last_loop_run_ms)
            and now_ms - self._last_loop_run_ms > LOOP_CHECK_INTERVAL_MS + STALL_THRESHOLD_MS
        )

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection whose descriptor has been released."""
        self._open_connections.pop(connection, None)
        self._closing_connections.discard(connection)
        self._progress_event.set()

    def request_done(self) -> None:
        """Note that a request on a connection has received its response."""
        self._progress_event.set()

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection. Above the bound, evict the connection that has been idle for longest.

        A connection with a pending request is never evicted. This guards against clients that keep a connection open
        indefinitely: without free descriptors, no other client can connect. A connection with a partial request is
        evicted only if none is idle. The same holds for one whose client is owed bytes of a response and does not
        take them. One with bytes that have arrived and not been read yet is evicted last: its request may be whole.
        """
        self._open_connections[connection] = None
        if len(self._open_connections) <= self._max_connections():
            return
        self._close_connection(self._longest_idle() or self._evictable() or connection, "closed.room")

    def _evictable(self) -> ClientConnection | None:
        """Return the connection to end if none is idle: the longest in its state, one without unread bytes first."""
        now_ms = self.clock.now_ms()
        unread: ClientConnection | None = None
        for candidate in self._open_connections:
            if candidate.has_pending_request or not candidate.may_be_ended(now_ms, is_wanted=True):
                continue
            if not candidate.has_unread_bytes:
                return candidate
            unread = unread or candidate
        return unread

    @property
    def connection_count(self) -> int:
        """The number of connections whose descriptors are in use."""
        return len(self._open_connections) + len(self._closing_connections)

    def has_place(self, starting_count: int) -> bool:
        """True if a connection can be accepted, and ends none but one that a client has left idle.

        ``starting_count`` connections have been accepted and not been added yet.
        """
        if self.connection_count + starting_count < self._max_connections():
            return True
        idle = self._longest_idle()
        # The next request of a client that has just connected, or has just been answered, may be on its way.
        return not starting_count and idle is not None and self._idle_ms(idle) > REQUEST_GRACE_MS

    def _idle_ms(self, connection: ClientConnection) -> float:
        return self.clock.now_ms() - connection.state_since_ms

    def _longest_idle(self) -> ClientConnection | None:
        return next((connection for connection in self._open_connections if _is_idle(connection)), None)

    def connection_state_changed(self, connection: ClientConnection) -> None:
        """Move a connection to the end of the order by state, because it has just become idle or begun a request."""
        if connection in self._open_connections:
            del self._open_connections[connection]
            self._open_connections[connection] = None

    def close_expired(self) -> None:
        """Close connections that have been idle, silent or partway through a request for too long."""
        now_ms = self.clock.now_ms()
        for connection in list(self._open_connections):
            # A client that does not read its response will not read the responses to the requests that it sent after
            # it either.
            is_unread = connection.has_unsent_bytes and not connection.is_handling_request
            if connection.has_pending_request and not is_unread:
                continue
            if is_unread:
                if connection.may_be_ended(now_ms, is_wanted=False):
                    self._close_connection(connection, "closed.idle")
                continue
            self._close_if_expired(connection, now_ms)
        self._progress_event.set()

    def _close_if_expired(self, connection: ClientConnection, now_ms: float) -> None:
        """Close a connection whose transport has nothing to send, if its time is over."""
        age_ms = now_ms - connection.state_since_ms
        is_partial = connection.is_awaiting_request
        if connection.is_lingering:
            if age_ms > LINGER_TIMEOUT_MS and connection.may_be_ended(now_ms, is_wanted=False):
                self._close_connection(connection, "closed.lingering")
        elif is_partial and age_ms > self._request_read_timeout_ms:
            if connection.is_held_up:
                connection.end_partial_request()
            elif age_ms > self._request_read_timeout_ms + UNREAD_REQUEST_GRACE_MS or not connection.has_unread_bytes:
                self._close_connection(connection, "closed.partial")
        elif not is_partial and age_ms > IDLE_TIMEOUT_MS and self._may_close_idle(connection, now_ms):
            self._close_connection(connection, "closed.idle")

    @staticmethod
    def _may_close_idle(connection: ClientConnection, now_ms: float) -> bool:
        """True unless a request has arrived, or the client is still reading what the kernel holds for it."""
        return not connection.has_unread_bytes and connection.may_be_ended(now_ms, is_wanted=False)

    def close_idle(self, *, unfinished: bool = False) -> None:
        """Close idle connections, but none whose client has sent bytes that have not been read yet.

        With ``unfinished``, also close those that have sent no request or only a part of one.
        """
        for connection in list(self._open_connections):
            is_idle = not connection.has_pending_request and (unfinished or not connection.is_awaiting_request)
            if is_idle and not connection.has_unread_bytes:
                self._close_connection(connection, "closed.idle", flush=True)

    def any_connection(self, condition: Callable[[ClientConnection], bool]) -> bool:
        """True if the condition holds for any connection that is open or being closed."""
        return any(condition(connection) for connection in [*self._open_connections, *self._closing_connections])

    async def wait_while_any(self, condition: Callable[[ClientConnection], bool]) -> None:
        """Wait until the condition holds for no connection.

        ``close_expired`` causes the condition to be checked again, and closes connections that are stuck.
        """
        while self.any_connection(condition):
            self._progress_event.clear()
            await self._progress_event.wait()

    def _close_connection(self, connection: ClientConnection, counter: str, *, flush: bool = False) -> None:
        """Close a connection. With ``flush``, its unsent bytes are still sent."""
        self.counters.add(counter)
        del self._open_connections[connection]
        if connection.raw_transport is not None and connection.has_unsent_bytes and not flush:
            # Without the abort, the connection of a client that does not read would stay open until it reads.
            connection.raw_transport.abort()
        self._closing_connections.add(connection)
        connection.force_close()

    async def shutdown(self, timeout_s: float) -> None:
        """Close all connections. Pending requests get up to ``timeout_s`` for their responses."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.wait_while_any(lambda connection: connection.has_pending_request)
        for connection in list(self._open_connections):
            self._close_connection(connection, "closed.shutdown", flush=True)

    def rejection(self, error: BadRequestError) -> HttpResponse:
        """Return the response to a request that can't be served.

        Each one is counted. At most MAX_LOG_LINES_PER_S are logged per second.
        """
        self.counters.add("bad_request")
        if error.counter:
            self.counters.add(error.counter)
        now = self.clock.now_ms()
        if now - self._log_window_ms >= 1000.0:
            self._log_window_ms = now
            self._logged_in_window = 0
        self._logged_in_window += 1
        if self._logged_in_window <= MAX_LOG_LINES_PER_S:
            log.info("bad request: reason=%.200s", error.reason.replace("\n", " "))
        return HttpResponse(error.status, closes_connection=True)


def _is_idle(connection: ClientConnection) -> bool:
    """True if nothing that the connection's client has sent or is to receive would be lost by its end."""
    return not (
        connection.has_pending_request
        or connection.has_partial_request
        or connection.has_unread_bytes
        or connection.has_undelivered_bytes
    )


def _schedule(delay_ms: float, call: Callable[[], None]) -> object:
    loop = asyncio.get_running_loop()
    return loop.call_later(to_seconds(delay_ms), call) if delay_ms else loop.call_soon(call)
