"""The listening side of HTTP: aiohttp's low-level server with a bound and time limits on its connections."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from beechslip.clock import Clock
from beechslip.counters import Counters
from beechslip.platform.client_connection import ClientConnection
from beechslip.platform.client_requests import BadRequestError
from beechslip.platform.sockets import RetryingSocket

log = logging.getLogger("beechslip.front")

# A client that sends nothing, or a part of a request, must be closed within 3 s of connecting; 60 MB within 6 s.
READ_MS = 2_200.0  # from connecting, or from a later request's first byte, until the request is complete
IDLE_MS = 5_000.0  # after a response; clients close after 4 s, and some keep their connection for good
LOOP_BEAT_MS = 25.0  # how often the event loop records that it runs
STALL_MS = 25.0  # a record later than by this shows a stall
AFTER_STALL_MS = 20.0  # within this after a stall all that waited is read
# Seconds of aiohttp's own timer, which is of no use here: ``sweep`` closes idle connections.
KEEPALIVE_S = 86_400.0
LOGGED_PER_S = 10  # lines a second about bad requests: in a flood each would cost CPU that the others need


class BoundedServer(web.Server):
    """aiohttp's low-level server; owns the clients' connections, their bound and their time limits."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        clock: Clock,
        counters: Counters,
        max_connections: int,
        read_ms: float = READ_MS,
    ) -> None:
        """``read_ms``: how long a client may take to send a request."""
        # A client that leaves cancels its handler, which frees its attempt.
        super().__init__(handler, handler_cancellation=True)
        self.clock = clock
        self.counters = counters
        self._max_connections = max_connections
        self._read_ms = read_ms
        self._open: dict[ClientConnection, None] = {}  # by state_since_ms, the oldest first
        self._closing: set[ClientConnection] = set()  # closed here, perhaps with a response still to be sent
        self._progress = asyncio.Event()  # set when a connection's pending work may have ended
        self._log_window_ms = 0.0  # when the current second of log lines began
        self._logged = 0  # lines in it
        self._loop_beat_ms = 0.0
        self._stall_began_ms = 0.0  # the last record before the last stall
        self._stall_ended_ms = -math.inf

    def __call__(self, sock: RetryingSocket | None = None) -> web.RequestHandler:
        """The protocol of a new connection on ``sock``."""
        # None is aiohttp's way to have no access log, though its annotation does not allow it. Lingering
        # would read on for 10 s from a client that is rejected while it sends 60 MB.
        return ClientConnection(
            self,
            loop=self._loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=0.0,
        ).attach(self, sock)

    def _make_request(self, message: Any, payload: Any, protocol: Any, *how: Any) -> web.BaseRequest:
        protocol.begin_request(payload)
        return super()._make_request(message, payload, protocol, *how)

    def record_loop_beat(self) -> None:
        """Record that the event loop runs; to be called every LOOP_BEAT_MS.

        A process that was stopped while it waited for events runs its timers first, and reads what came meanwhile
        after them: so a late record notes the stall for the reads that follow it.
        """
        now_ms = self.clock.now_ms()
        if self._is_stall(now_ms):
            self._stall_began_ms = self._loop_beat_ms
            self._stall_ended_ms = now_ms
        self._loop_beat_ms = now_ms

    def stalled_ms(self) -> float:
        """How long what is read now may have waited, as the event loop did not run; 0 as long as it runs."""
        now_ms = self.clock.now_ms()
        if self._is_stall(now_ms):
            return now_ms - self._loop_beat_ms
        return now_ms - self._stall_began_ms if now_ms - self._stall_ended_ms < AFTER_STALL_MS else 0.0

    def _is_stall(self, now_ms: float) -> bool:
        return bool(self._loop_beat_ms) and now_ms - self._loop_beat_ms > LOOP_BEAT_MS + STALL_MS

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection's descriptor has been given back."""
        self._open.pop(connection, None)
        self._closing.discard(connection)
        self._progress.set()

    def request_done(self) -> None:
        """A request on a connection has its response."""
        self._progress.set()

    def admit(self, connection: ClientConnection) -> None:
        """Count a new connection; over the bound evict the longest idle one, never one with a pending request.

        Guards against clients that keep a connection for good: without descriptors nobody else gets in. A connection
        with a part of a request is evicted only where none is idle, and one with unsent bytes of a response after it.
        """
        self._open[connection] = None
        if len(self._open) <= self._max_connections:
            return
        evictable = [one for one in self._open if not one.has_pending_request]
        idle = next((one for one in evictable if not one.partly_read and not one.has_unsent_bytes), None)
        self._close(idle or next(iter(evictable), connection), "closed.room")

    def state_changed(self, connection: ClientConnection) -> None:
        """The connection is idle, or a request on it incomplete, from now on: it is the newest in its state."""
        if connection in self._open:
            del self._open[connection]
            self._open[connection] = None

    def sweep(self) -> None:
        """Close connections that have been idle, silent or partway through a request for too long."""
        now = self.clock.now_ms()
        for connection in list(self._open):
            # A client that does not read its response will read none of those that it has requested behind it.
            unread = connection.has_unsent_bytes and not connection.handling
            if connection.has_pending_request and not unread:
                continue
            partial = connection.awaiting_request and not unread
            if now - connection.state_since_ms > (self._read_ms if partial else IDLE_MS):
                self._close(connection, "closed.partial" if partial else "closed.idle")
        self._progress.set()

    def close_idle(self, *, unfinished: bool = False) -> None:
        """Close idle connections; ``unfinished``: also those without a request, or with only a part of one."""
        for connection in list(self._open):
            if not connection.has_pending_request and (unfinished or not connection.awaiting_request):
                self._close(connection, "closed.idle", flush=True)

    def any_connection(self, condition: Callable[[ClientConnection], bool]) -> bool:
        """Whether the condition holds for any connection that is open or being closed."""
        return any(condition(connection) for connection in [*self._open, *self._closing])

    async def wait_while_any(self, condition: Callable[[ClientConnection], bool]) -> None:
        """Until the condition holds for no connection; ``sweep`` has it checked anew, and closes what is stuck."""
        while self.any_connection(condition):
            self._progress.clear()
            await self._progress.wait()

    def _close(self, connection: ClientConnection, counter: str, *, flush: bool = False) -> None:
        """Close a connection; ``flush``: its unsent bytes are still sent."""
        self.counters.add(counter)
        del self._open[connection]
        if connection.raw_transport is not None and connection.has_unsent_bytes and not flush:
            # Guards against clients that don't read: their connection would stay until they do.
            connection.raw_transport.abort()
        self._closing.add(connection)
        connection.force_close()

    def reject(self, error: BadRequestError) -> web.Response:
        """The response to a request that can't be served; always counted, logged up to LOGGED_PER_S."""
        self.counters.add("bad_request")
        now = self.clock.now_ms()
        if now - self._log_window_ms >= 1000.0:
            self._log_window_ms = now
            self._logged = 0
        self._logged += 1
        if self._logged <= LOGGED_PER_S:
            log.info("bad request: %.200s", error.reason.replace("\n", " "))
        response = web.Response(status=error.status)
        response.force_close()
        return response
