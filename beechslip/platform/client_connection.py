"""A client's HTTP connection: aiohttp's protocol with the state on which bounds and time limits depend."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Any, Protocol

from aiohttp import web

from beechslip.clock import Clock
from beechslip.counters import Counters
from beechslip.platform.client_requests import BadRequestError
from beechslip.platform.sockets import RetryingSocket

# A read within this many milliseconds of the previous one is taken for a part of the same burst of waiting bytes.
SAME_BURST_MS = 20.0
MAX_READ_AHEAD_BYTES = 65_536  # bytes that a client may send ahead while aiohttp's queue of requests is full
REQUEST_END = b"\r\n\r\n"  # end of a request without a body

# TCP states (Linux, tcp_states.h) in which the other side has not closed: ESTABLISHED, FIN_WAIT1, FIN_WAIT2.
OPEN_TCP_STATES = frozenset({1, 4, 5})
UNKNOWN_TCP_STATE = 0


def _tcp_state(transport: asyncio.BaseTransport | None) -> int:
    """Return the kernel's state of a connection, or UNKNOWN_TCP_STATE if it can't be read."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return UNKNOWN_TCP_STATE
    try:
        return int(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
    except (OSError, AttributeError, IndexError):
        return UNKNOWN_TCP_STATE


class ConnectionOwner(Protocol):
    """What a connection needs from the server that owns it."""

    clock: Clock
    counters: Counters

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection."""

    def connection_state_changed(self, connection: ClientConnection) -> None:
        """Note that the connection's ``state_since_ms`` has changed."""

    def request_done(self) -> None:
        """Note that a request on a connection has received its response."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection's descriptor has been released."""

    def loop_stall_ms(self) -> float:
        """Return how long the event loop was stalled, if it has just resumed; 0 while it runs."""
        ...

    def reject_request(self, error: BadRequestError) -> web.Response:
        """Return the response to a request that can't be served."""
        ...


class ClientConnection(web.RequestHandler):
    """A client's connection. ``attach_to_server`` completes its construction."""

    __slots__ = (
        "_bytes_read_ahead",
        "_has_request_begun",
        "_is_kernel_state_known",
        "_last_bytes",
        "_owner",
        "_previous_read_ms",
        "_queued_received_ms",
        "_read_delay_ms",
        "_sock",
        "current_body",
        "is_awaiting_request",
        "is_closed_by_client",
        "is_handling_request",
        "last_read_ms",
        "raw_transport",
        "request_received_ms",
        "state_since_ms",
    )

    def attach_to_server(self, owner: ConnectionOwner, sock: RetryingSocket | None) -> ClientConnection:
        """Set the state that aiohttp's constructor does not take. Return the connection itself."""
        self._owner = owner
        self._sock = sock
        self.last_read_ms = owner.clock.now_ms()  # when the last bytes were received
        self.state_since_ms = self.last_read_ms  # when it became idle, or a request on it became incomplete
        self.is_awaiting_request = True  # a new connection is expected to send a request
        self.is_handling_request = False  # a complete request is being handled
        # Unlike aiohttp's own ``transport``, this stays set while the connection is being closed.
        self.raw_transport: asyncio.Transport | None = None
        self.is_closed_by_client = False
        self.current_body: Any = None  # the body of the request that aiohttp has taken from its queue
        self.request_received_ms = self.last_read_ms  # when the head of that request was complete
        self._queued_received_ms = deque[float]()  # the same for the requests queued behind it
        self._has_request_begun = False  # bytes of an unanswered request have been received
        self._last_bytes = REQUEST_END  # the last bytes received, which show whether they end a request
        self._bytes_read_ahead = 0  # bytes received while aiohttp's queue of requests was full
        self._is_kernel_state_known = False
        self._previous_read_ms = 0.0  # when bytes were last read
        self._read_delay_ms = 0.0  # how long those bytes had waited to be read
        return self

    @property
    def has_pending_request(self) -> bool:
        """True if a request has been received completely and awaits its response.

        This guards against closing the connection between the request's last byte and the first step of its handler:
        the client has sent the request on a connection that was open.
        """
        received = self.current_body is not None and self.current_body.is_eof()
        return self.is_handling_request or received or any(payload.is_eof() for _, payload in self._messages)

    @property
    def has_client_departed(self) -> bool:
        """True if the client has closed or reset the connection, even if the end has not been read yet.

        This guards against an attempt for a client whose close is still waiting in the kernel. That happens if the
        close is behind bytes that are not being read for the moment, or if the event loop was busy.
        """
        if self.is_closed_by_client:
            return True
        return self._is_kernel_state_known and _tcp_state(self.raw_transport) not in OPEN_TCP_STATES

    @property
    def is_awaiting_first_byte(self) -> bool:
        """True if a request is expected and none of its bytes have been received."""
        return self.is_awaiting_request and not self._has_request_begun

    @property
    def has_partial_request(self) -> bool:
        """True if a part of a request has been received and no request is pending."""
        return self.is_awaiting_request and self._has_request_begun and not self.has_pending_request

    @property
    def has_more_input(self) -> bool:
        """True if the client has sent more bytes after the request that is being handled."""
        return bool(self._messages) or self._last_bytes != REQUEST_END

    @property
    def has_unsent_bytes(self) -> bool:
        """True if bytes of a response are waiting in the transport's buffer."""
        return self.raw_transport is not None and self.raw_transport.get_write_buffer_size() > 0

    @property
    def has_pending_work(self) -> bool:
        """True if a request or a response on the connection is incomplete."""
        return self.has_pending_request or self.has_partial_request or self.has_unsent_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its server; see ``asyncio.BaseProtocol``."""
        super().connection_made(transport)
        self.raw_transport = self.transport
        self._is_kernel_state_known = _tcp_state(self.raw_transport) in OPEN_TCP_STATES
        self._owner.admit(self)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; see ``asyncio.Protocol``.

        aiohttp calls this without bytes to continue with the bytes that it has buffered.
        """
        if data:
            self._record_received_bytes(data)
        queued = len(self._messages)
        super().data_received(data)
        self._queued_received_ms.extend([self.last_read_ms] * (len(self._messages) - queued))

    def _record_received_bytes(self, data: bytes) -> None:
        self.last_read_ms = self._earliest_arrival_ms()
        self._has_request_begun = True
        self._last_bytes = (self._last_bytes + data[-4:])[-4:]
        if not self.is_awaiting_request and not self.is_handling_request:
            self.is_awaiting_request = True
            self.state_since_ms = self.last_read_ms
            self._owner.connection_state_changed(self)
        if self._buffer_paused:
            self._bytes_read_ahead += len(data)
            if self._bytes_read_ahead > MAX_READ_AHEAD_BYTES:
                super()._pause_transport_reading()

    def _earliest_arrival_ms(self) -> float:
        """Return the earliest time at which the bytes just read may have been received.

        The client's time runs from then. This guards against granting too much time after failed reads or a stall of
        the event loop.
        """
        now_ms = self._owner.clock.now_ms()
        failing_ms = self._sock.take_read_delay_ms() if self._sock is not None else 0.0
        blocked_ms = max(failing_ms, self._owner.loop_stall_ms())
        if now_ms - self._previous_read_ms < SAME_BURST_MS:
            # One read may take only a part of a burst, and all parts have waited equally long.
            blocked_ms = max(blocked_ms, self._read_delay_ms)
        self._previous_read_ms = now_ms
        self._read_delay_ms = blocked_ms
        return now_ms - blocked_ms

    def begin_request(self, body: Any) -> None:
        """Note that aiohttp takes the next request, with this body, from its queue."""
        self.current_body = body
        self.request_received_ms = (
            self._queued_received_ms.popleft() if self._queued_received_ms else self.last_read_ms
        )

    def request_received(self, *, has_body: bool) -> None:
        """Note that the current request has been read completely, with or without a body, and is being handled."""
        self.is_handling_request = True
        if has_body:  # the end of the body is not known here; bytes behind it show up as further input
            self.request_received_ms = self.last_read_ms
            self._last_bytes = REQUEST_END

    def _pause_transport_reading(self) -> None:
        """Keep reading when aiohttp's queue of requests is full, up to MAX_READ_AHEAD_BYTES.

        This guards against a client that sends many requests at once and leaves. A transport that is not being read
        does not report its end, so all queued requests would be forwarded for a client that has left.
        """
        if not self._buffer_paused or self._reading_paused:
            super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        self._bytes_read_ahead = 0
        super()._resume_transport_reading()

    def eof_received(self) -> None:
        """Note that the client has closed the connection.

        Its handler is cancelled at once, because unsent bytes delay ``connection_lost``.
        """
        self.is_closed_by_client = True
        super().eof_received()
        if self._task_handler is not None:
            self._task_handler.cancel()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note that the connection has ended; see ``asyncio.BaseProtocol``."""
        self.is_closed_by_client = True
        self.raw_transport = None
        super().connection_lost(exc)
        self._owner.connection_closed(self)

    def request_done(self) -> None:
        """Note that the current request has its response. Bytes received after it begin the next request."""
        self.is_handling_request = False
        self.current_body = None
        self._read_delay_ms = 0.0
        self.is_awaiting_request = self._has_request_begun = self.has_more_input
        self.state_since_ms = self._owner.clock.now_ms()
        self._owner.connection_state_changed(self)
        self._owner.request_done()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that failed.

        ``web.RequestHandler`` would log each bad request with its traceback.
        """
        self.current_body = None  # the connection ends with this response
        if status >= 500:
            self._owner.counters.add("fault.front")
            return super().handle_error(request, status, exc, message)
        return self._owner.reject_request(BadRequestError(status, message or "the request can't be parsed"))
