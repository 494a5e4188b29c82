"""The backend client: carries out attempts and health checks, each as one request on a connection of the pool.

It sends nothing beyond the attempt: it does not retry on a dropped connection, does not follow redirects, stores no
cookies, and sends only the fields of PROTOCOL-beechslip.md. If an attempt is cancelled, its connection is closed
before ``execute`` ends.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from beechslip.clock import Clock, to_ms
from beechslip.config import ConfigError
from beechslip.core.model import AttemptRequest, AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.descriptor_budget import DescriptorBudget
from beechslip.memory_budget import MemoryBudget, MemoryCharge, unlimited_budget
from beechslip.platform.backend_messages import MAX_RESPONSE_BODY_BYTES, attempt_request_bytes, parse_backend_response
from beechslip.platform.connection import (
    BackendConnection,
    ConnectionLostError,
    NoSocketError,
    ReceivedResponse,
    completed_exchange,
)
from beechslip.platform.connection_pool import ConnectionLimiter, ConnectionPool
from beechslip.platform.message_framing import FramingError, frame_request
from beechslip.platform.responses import UnusableResponseError
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.backends")

DIAL_TIMEOUT_MS = 400.0  # used if the settings give no timeout
IDLE_TIMEOUT_MS = 30_000.0  # used if the settings give no timeout
# Idle connections are closed after this fraction of the backend's own idle timeout, so that the backend does not
# close one at the moment at which it is used again.
IDLE_TIMEOUT_FRACTION = 0.8
HEALTH_CHECK_TIMEOUT_MS = 300.0
WRITE_RETRY_S = 0.005  # delay until the first byte is written again if the kernel's buffer is full


class BackendClient:
    """Owns the connection pool. Implements the core's ``AttemptExecutor`` and ``HealthChecker``."""

    def __init__(
        self,
        settings: Settings,
        descriptors: DescriptorBudget,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a client. ``descriptors`` bounds the connections of its pool.

        Without ``memory`` its responses are not limited in sum.
        """
        self._room = room = (memory or unlimited_budget(counters)).responses
        self._counters = counters
        self._clock = clock
        self._pool = ConnectionPool(
            clock, counters, room, lambda: descriptors.backends, IDLE_TIMEOUT_MS, DIAL_TIMEOUT_MS
        )
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """Use new settings for all requests and connections from now on."""
        self._visible_notes = settings.tells
        self._health_check_path = "/load" if settings.reports else "/healthz"
        self._pool.idle_timeout_ms = (to_ms(settings.conn_idle) or IDLE_TIMEOUT_MS) * IDLE_TIMEOUT_FRACTION
        self._pool.dial_timeout_ms = to_ms(settings.connect_timeout) or DIAL_TIMEOUT_MS

    def limit_connections(self, limiter: ConnectionLimiter) -> Callable[[str, float], None]:
        """Ask ``limiter`` before each dial.

        Return a function that closes the idle connections of a backend above a given number.
        """
        self._pool.limiter = limiter
        return self._pool.close_excess_idle

    @property
    def connection_count(self) -> int:
        """The number of connections whose descriptors are in use."""
        return self._pool.connection_count

    def bound_changed(self) -> None:
        """Use connections that the bound permits now."""
        self._pool.bound_changed()

    def stop_keeping_idle(self) -> None:
        """Close connections once they carry no request, because the next process needs their descriptors."""
        self._pool.stop_keeping_idle()

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        await asyncio.sleep(0)  # lets the connections process their end

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Take the backends that are listed now, by name."""
        self._pool.set_listed_backends(backends)

    async def _exchange(
        self,
        backend: Backend,
        build_message: Callable[[], bytes],
        may_start: Callable[[], bool],
        charge: MemoryCharge,
    ) -> ReceivedResponse | AttemptResult:
        """Send one request and return its response, or the result of an attempt that received none.

        The response is charged to ``charge``.

        ``build_message`` builds the message right before it is written, because a dial or the wait for a place in the
        pool may take time.
        """
        connection = await self._connect(backend)
        if isinstance(connection, AttemptResult):
            return connection
        sent_request = await self._send_request(connection, build_message, may_start, charge)
        if sent_request is None:
            return AttemptResult("moot")
        message, response = sent_request
        try:
            received = await response
        except BaseException as error:
            cancelled = isinstance(error, asyncio.CancelledError)
            if not cancelled or response.cancelled() or response.exception() is not None:
                connection.abort()
                if isinstance(error, (ConnectionLostError, UnusableResponseError)):
                    return self._failure_result(backend, error)
                raise
            received = response.result()  # cancelled at the same moment at which the response was completed
        repeated = self._is_repeat(connection, message, received)
        self._pool.release(connection)
        if repeated:
            connection.abort()
            return self._failure_result(backend, UnusableResponseError("it repeats the previous response"))
        return received

    async def _connect(self, backend: Backend) -> BackendConnection | AttemptResult:
        try:
            connection = await self._pool.acquire((backend.name, backend.address))
        except NoSocketError:  # a lack of resources on this machine says nothing about the backend
            self._counters.add("depot.no_socket")
            return AttemptResult("moot")
        except (OSError, ConfigError):  # refused, or not connected in time: nothing was executed
            return AttemptResult("connect_failed")
        if not connection.is_open:  # reset after the dial and before this task ran: nothing was written
            return AttemptResult("connect_failed")
        return connection

    async def _send_request(
        self,
        connection: BackendConnection,
        build_message: Callable[[], bytes],
        may_start: Callable[[], bool],
        charge: MemoryCharge,
    ) -> tuple[bytes, asyncio.Future[ReceivedResponse]] | None:
        """Write the message. Return it and its future response, or release the connection and return ``None``.

        ``None`` means that the attempt may not start any more.
        """
        while True:
            try:
                message = build_message()
            except FramingError:
                self._pool.release(connection)
                raise
            if not may_start():  # the client has left, or a drain or a purge has arrived since
                self._pool.release(connection)
                return None
            response = connection.send_request(message, MAX_RESPONSE_BODY_BYTES, charge)
            if response is not None:
                return message, response
            try:
                await asyncio.sleep(WRITE_RETRY_S)
            except BaseException:
                connection.abort()
                raise

    def _failure_result(self, backend: Backend, error: ConnectionLostError | UnusableResponseError) -> AttemptResult:
        """Return the result of an attempt whose response failed with ``error``."""
        if isinstance(error, ConnectionLostError):
            return AttemptResult("reset")
        self._counters.add("depot.spoilt")
        log.debug("unusable response: backend=%s error=%s", backend.name, error)
        return AttemptResult("spoilt")

    def _is_repeat(self, connection: BackendConnection, message: bytes, received: ReceivedResponse) -> bool:
        """True if the response repeats the connection's previous response, which was for another target.

        This guards against a second copy that arrives so late that the next request has already been written.
        """
        response = received.response
        target = message[: message.index(b" HTTP/")].decode("ascii")
        previous = connection.last_exchange
        current = completed_exchange(target, response)
        connection.last_exchange = current
        if response.status != 200 or not response.body or previous is None or previous.target == target:
            return False
        return (previous.body_length, previous.ends_hash, previous.digest) == (
            current.body_length,
            current.ends_hash,
            current.digest,
        )

    async def execute(self, attempt_request: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Carry out an attempt; see ``AttemptExecutor``.

        ``may_start`` is called right before the first byte is written.
        """
        request = attempt_request.client_request
        charge = request.response_charge or MemoryCharge(self._room)
        try:
            received = await self._exchange(
                attempt_request.backend,
                lambda: attempt_request_bytes(attempt_request, self._remaining_ms(attempt_request)),
                may_start,
                charge,
            )
        finally:
            if request.response_charge is None:  # its front keeps no account of responses
                charge.close(self._clock.now_ms())
        if isinstance(received, AttemptResult):
            return received
        response = received.response
        result = parse_backend_response(
            response.status,
            response.fields,
            response.body,
            self._visible_notes,
            request.etag,
            request.write,
        )
        if result.result == "spoilt":
            self._counters.add("depot.spoilt")
        result.ended_ms = received.read_ms
        return result

    def _remaining_ms(self, attempt_request: AttemptRequest) -> float:
        """Return how long the attempt may still last. Its backend gets no more time than its client has left."""
        return min(attempt_request.timeout_ms, attempt_request.timeout_at_ms - self._clock.now_ms())

    async def health_check(self, backend: Backend, may_start: Callable[[], bool] = lambda: True) -> AttemptResult:
        """Request a backend's health page.

        ``may_start`` is called right before the first byte is written. If it returns False, the result is "moot".
        """
        message = frame_request("GET", self._health_check_path, {"Host": backend.address})
        charge = MemoryCharge(self._room)
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_MS / 1000):
                received = await self._exchange(backend, lambda: message, may_start, charge)
        except TimeoutError:
            return AttemptResult("timeout")
        finally:
            charge.close(self._clock.now_ms())
        if isinstance(received, AttemptResult):
            return received
        response = received.response
        return parse_backend_response(response.status, response.fields, b"", self._visible_notes, "", write=True)
