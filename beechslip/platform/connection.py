"""One HTTP/1.1 connection to a backend. It carries one request at a time, and requests are never pipelined."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.clock import Clock
from beechslip.config import Address
from beechslip.counters import Counters
from beechslip.memory_budget import MemoryCharge, MemoryRoom
from beechslip.platform.responses import BackendResponse, ResponseParser, UnusableResponseError
from beechslip.platform.sockets import LOCAL_RESOURCE_ERRORS, RetryingSocket

# These connect errors come from the path to the backend, not from the backend. They may be temporary, so a connect
# that fails with one is retried.
TRANSIENT_CONNECT_ERRORS = frozenset(
    {errno.ENETUNREACH, errno.ENETDOWN, errno.ECONNABORTED, errno.EINTR, errno.EAGAIN}
)
CONNECT_RETRY_S = 0.01  # delay between two attempts of one connect
HASHED_END_BYTES = 4_096
MIN_READ_BYTES = 2_048  # a read is this long at least, also while memory is short
# Of a response whose memory is not reserved: enough for its head. The rest is reserved before it is read.
MAX_UNRESERVED_READ_BYTES = 16_384

# A backend's name and address. Both are needed, because a new backend may take the address of one that was removed.
BackendKey = tuple[str, str]


class NoSocketError(OSError):
    """This machine could not open a connection in time because it lacked descriptors, memory or ports."""


class ConnectionLostError(Exception):
    """The connection ended during a request, which the backend may or may not have executed."""


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A complete response, and when its last byte was read, less the time of waits for memory (``Clock.now_ms``)."""

    response: BackendResponse
    read_ms: float


@dataclass(frozen=True, slots=True)
class CompletedExchange:
    """The target of a request with what identifies its response, kept to detect a second copy of it.

    ``ends_hash`` is a hash of the first and the last ``HASHED_END_BYTES`` of the body.
    """

    target: str
    body_length: int
    ends_hash: int
    digest: str


def completed_exchange(target: str, response: BackendResponse) -> CompletedExchange:
    """Return what identifies the response to a request for ``target``."""
    body = response.body
    ends_hash = hash((body[:HASHED_END_BYTES], body[-HASHED_END_BYTES:]))
    return CompletedExchange(target, len(body), ends_hash, response.fields.get("x-digest", ""))


@dataclass(frozen=True, slots=True)
class ReceivingMemory:
    """Where received bytes go: the buffer of the next read, shared by all connections, and the room for the rest."""

    read_buffer: memoryview
    room: MemoryRoom


class BackendConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one connection to a backend."""

    __slots__ = (
        "_charge",
        "_clock",
        "_counters",
        "_memory",
        "_on_closed",
        "_parser",
        "_response_waiter",
        "_sock",
        "_transport",
        "_waited_ms",
        "_waiting_since_ms",
        "idle_since_ms",
        "key",
        "last_exchange",
    )

    def __init__(
        self,
        key: BackendKey,
        sock: socket.socket,
        clock: Clock,
        counters: Counters,
        memory: ReceivingMemory,
        on_closed: Callable[[BackendConnection], None],
    ) -> None:
        """Use ``sock``, which is already connected. ``on_closed`` is called once, when its descriptor is released."""
        self._memory = memory
        self._charge: MemoryCharge | None = None  # of the response to the current request
        self.key = key
        self._sock = sock
        self._clock = clock
        self._counters = counters
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser: ResponseParser | None = None
        self._response_waiter: asyncio.Future[ReceivedResponse] | None = None
        self._waiting_since_ms = 0.0  # since when the rest of the response is not read for want of memory
        self._waited_ms = 0.0  # for which the response to the current request was not read: not its backend's time
        self.idle_since_ms = 0.0
        self.last_exchange: CompletedExchange | None = None

    @property
    def is_open(self) -> bool:
        """True if a request can be written. False before ``connection_made`` and once the connection is closing."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; see ``asyncio.BaseProtocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send_request(
        self, message: bytes, max_body: int, charge: MemoryCharge
    ) -> asyncio.Future[ReceivedResponse] | None:
        """Write a request whose response has at most ``max_body`` bytes of body, and is charged to ``charge``.

        Returns:
            The future response, which raises ConnectionLostError or UnusableResponseError. ``None`` if not a
            single byte can be written now.
        """
        written = self._write_unbuffered(message)
        if written == 0:
            return None
        self._parser = ResponseParser(max_body)
        self._waited_ms = 0.0
        self._charge = charge
        charge.hand_over(self._end_response, self._clock.now_ms())
        self._response_waiter = asyncio.get_running_loop().create_future()
        if self._transport is None or self._transport.is_closing() or written is None:
            self._response_waiter.set_exception(ConnectionLostError("connection closed before the first byte"))
        elif written < len(message):
            self._transport.write(message[written:])
        return self._response_waiter

    def _write_unbuffered(self, message: bytes) -> int | None:
        """Return the number of bytes that the kernel took, or ``None`` if the connection has ended.

        The transport is bypassed because it would buffer what the kernel can't take, and would send it when the
        request is out of date.
        """
        if self._transport is None or self._transport.is_closing():
            return None
        try:
            return self._sock.send(message)
        except BlockingIOError:
            return 0
        except OSError:
            return None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; see ``asyncio.BufferedProtocol``."""
        buffer = self._memory.read_buffer
        parser, charge = self._parser, self._charge
        if parser is not None and charge is not None and charge.amount >= parser.expected_body_bytes > 0:
            return buffer  # its memory is reserved
        reserved_bytes = 0
        if parser is not None and charge is not None:
            reserved_bytes = charge.amount - parser.held_bytes
        free_bytes = min(self._memory.room.free_bytes // 4, MAX_UNRESERVED_READ_BYTES)
        return buffer[: max(reserved_bytes, free_bytes, MIN_READ_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read; see ``asyncio.BufferedProtocol``."""
        self.data_received(self._memory.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes. Close the connection if they belong to no request."""
        if self._parser is None or self._response_waiter is None or self._response_waiter.done():
            # No request is pending: the bytes are a second copy of a response, or noise. They must not be taken for
            # the response to the next request.
            self._counters.add("depot.unasked")
            self.abort()
            return
        try:
            response = self._parser.feed(data)
        except UnusableResponseError as error:
            self._response_waiter.set_exception(error)
            self.abort()
            return
        if response is None:
            self._await_room(self._parser)
            return
        now_ms = self._clock.now_ms()
        self._hand_back(len(response.body))
        self._parser = None
        response_waiter, self._response_waiter = self._response_waiter, None  # an idle connection keeps no response
        response_waiter.set_result(ReceivedResponse(response, now_ms - self._waited_ms))
        if not response.is_connection_reusable:
            self.abort()

    def _await_room(self, parser: ResponseParser) -> None:
        """Charge what the whole response takes once that is known, or read no more of it until there is space."""
        charge = self._charge
        if charge is None:
            return
        now_ms = self._clock.now_ms()
        charge.since_ms = now_ms  # of the last bytes: a response that goes on is not ended
        needed_bytes = max(parser.expected_body_bytes, parser.held_bytes)
        if needed_bytes <= charge.amount:
            return
        charge.set(max(parser.held_bytes, charge.amount), now_ms)
        if not parser.is_head_complete:
            return
        if charge.acquire(needed_bytes, self._clock.now_ms, self._resume_reading):
            charge.settle_reservation(now_ms)
            return
        self._waiting_since_ms = now_ms
        charge.keep_reservation(needed_bytes, now_ms)
        if self._transport is not None:
            self._transport.pause_reading()
        if charge.on_wait is not None:
            charge.on_wait()

    def _resume_reading(self) -> None:
        now_ms = self._clock.now_ms()
        self._waited_ms += now_ms - self._waiting_since_ms
        if self._charge is not None:
            self._charge.settle_reservation(now_ms)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _end_response(self) -> None:
        """Give up a response that stands still, because its memory is needed."""
        if self._charge is not None:
            self._charge.cancel_wait(self._resume_reading)
            self._charge.set(0, self._clock.now_ms())
        if self._response_waiter is not None and not self._response_waiter.done():
            self._response_waiter.set_exception(UnusableResponseError("its memory was needed before it was complete"))
        self.abort()

    def _hand_back(self, amount: int | None = None) -> None:
        """Give the charge back to the owner of the request, with ``amount`` bytes or as it is."""
        charge, self._charge = self._charge, None
        if charge is None:
            return
        charge.cancel_wait(self._resume_reading)
        now_ms = self._clock.now_ms()
        if amount is not None:
            charge.set(amount, now_ms)
            charge.settle_reservation(now_ms)
        charge.hand_over(None, now_ms)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the pending request, if any, and report the connection as closed."""
        self._parser = None
        self._hand_back()
        if self._response_waiter is not None and not self._response_waiter.done():
            self._response_waiter.set_exception(ConnectionLostError(str(exc or "connection closed")))
        self._transport = None
        self._on_closed(self)

    def abort(self) -> None:
        """Close the connection at once. Bytes that have not been received or written yet are dropped."""
        self._parser = None
        self._hand_back()  # the request may go on with another connection before this one is lost
        if self._transport is not None:
            self._transport.abort()


async def connect_socket(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket. A connect that fails for a temporary reason is retried until the timeout.

    Raises:
        NoSocketError: this machine lacked a resource in the last attempt before the timeout.
        OSError: the other side, or the path to it, failed (TimeoutError if the other side did not respond).
    """
    last_error: OSError | None = None
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    return await _connect_socket_once(address)
                except OSError as error:
                    if error.errno not in LOCAL_RESOURCE_ERRORS | TRANSIENT_CONNECT_ERRORS:
                        raise
                    last_error = error
                await asyncio.sleep(CONNECT_RETRY_S)
    except TimeoutError:
        if last_error is not None and last_error.errno in LOCAL_RESOURCE_ERRORS:
            raise NoSocketError(last_error.errno, str(last_error)) from None
        raise


async def _connect_socket_once(address: Address) -> socket.socket:
    sock = RetryingSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return sock
