"""The backend client: carries out attempts and health checks, each one request on a connection of the pool.

It sends nothing of its own: no retry on a dropped connection, no redirect, no cookie, no field but those of
PROTOCOL-beechslip.md. The connection of an attempt that is cancelled is closed before ``execute`` ends.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from beechslip.clock import Clock, to_ms
from beechslip.config import ConfigError
from beechslip.core.model import AttemptRequest, AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.platform.backend_messages import MAX_RESPONSE_BODY, attempt_message, parse_backend_response
from beechslip.platform.connection import (
    BackendConnection,
    ConnectionLostError,
    Exchange,
    NoSocketError,
    ReceivedResponse,
)
from beechslip.platform.connection_pool import ConnectionGate, ConnectionPool
from beechslip.platform.responses import UnusableResponseError
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.backends")

DIAL_TIMEOUT_MS = 400.0  # where the settings name none
IDLE_TIMEOUT_MS = 30_000.0  # where the settings name none
# Idle connections are dropped at this part of the backend's own limit, so that none is lost to a race with it.
IDLE_TIMEOUT_PART = 0.8
HEALTH_CHECK_TIMEOUT_MS = 300.0
WRITE_RETRY_S = 0.005  # seconds until the next attempt to write a first byte, where the kernel's buffer is full


class BackendClient:
    """Owns the connection pool. The core's ``AttemptExecutor`` and ``HealthChecker``."""

    def __init__(self, settings: Settings, sockets: int, clock: Clock, counters: Counters) -> None:
        """``sockets``: the descriptors that the process may use; a part of them bounds the pool."""
        self._counters = counters
        self._clock = clock
        # Clients may use half of the descriptors; three eighths here leave the rest for all else.
        max_connections = max(sockets * 3 // 8, 1)
        self._pool = ConnectionPool(clock, counters, max_connections, IDLE_TIMEOUT_MS, DIAL_TIMEOUT_MS)
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """Use new settings for requests and connections from now on."""
        self._visible_notes = settings.tells
        self._health_check_path = "/load" if settings.reports else "/healthz"
        self._pool.idle_timeout_ms = (to_ms(settings.conn_idle) or IDLE_TIMEOUT_MS) * IDLE_TIMEOUT_PART
        self._pool.dial_timeout_ms = to_ms(settings.connect_timeout) or DIAL_TIMEOUT_MS

    def bound(self, gate: ConnectionGate) -> Callable[[str, float], None]:
        """Ask ``gate`` before each dial; the result closes idle connections of a backend beyond a number."""
        self._pool.gate = gate
        return self._pool.trim

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        await asyncio.sleep(0)  # for the connections to process their end

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Take the backends that are listed now, by name."""
        self._pool.update_backends(backends)

    async def _exchange(
        self, backend: Backend, compose: Callable[[], bytes], may_start: Callable[[], bool]
    ) -> ReceivedResponse | AttemptResult:
        """One request and its response, or the result of an attempt that got none.

        ``compose`` makes the message right before it is written, as a dial or a wait for a place may take time.
        """
        connection = await self._connect(backend)
        if isinstance(connection, AttemptResult):
            return connection
        request = await self._send(connection, compose, may_start)
        if request is None:
            return AttemptResult("moot")
        message, response = request
        try:
            received = await response
        except BaseException as error:
            cancelled = isinstance(error, asyncio.CancelledError)
            if not cancelled or response.cancelled() or response.exception() is not None:
                connection.abort()
                return self._failure(backend, error)
            received = response.result()  # cancelled in the instant in which the response was complete
        repeated = self._is_repeat(connection, message, received)
        self._pool.release(connection)
        if repeated:
            connection.abort()
            return self._failure(backend, UnusableResponseError("the previous response again"))
        return received

    async def _connect(self, backend: Backend) -> BackendConnection | AttemptResult:
        try:
            connection = await self._pool.acquire((backend.name, backend.address))
        except NoSocketError:  # a fault of this machine says nothing of the backend
            self._counters.add("depot.no_socket")
            return AttemptResult("moot")
        except (OSError, ConfigError):  # rejected, or not connected in time: nothing was executed
            return AttemptResult("connect_failed")
        if not connection.is_open:  # reset between its dial's end and this task's step: nothing was written
            return AttemptResult("connect_failed")
        return connection

    async def _send(
        self, connection: BackendConnection, compose: Callable[[], bytes], may_start: Callable[[], bool]
    ) -> tuple[bytes, asyncio.Future[ReceivedResponse]] | None:
        """The message written and its future response; ``None``, and the connection released, if it may not start."""
        while True:
            if not may_start():  # its client has gone, or a drain or a purge came meanwhile
                self._pool.release(connection)
                return None
            message = compose()
            response = connection.send_request(message, MAX_RESPONSE_BODY)
            if response is not None:
                return message, response
            try:
                await asyncio.sleep(WRITE_RETRY_S)
            except BaseException:
                connection.abort()
                raise

    def _failure(self, backend: Backend, error: BaseException) -> AttemptResult:
        """The result of an attempt whose response failed with ``error``; raises what is no failure of a response."""
        if isinstance(error, ConnectionLostError):
            return AttemptResult("reset")
        if isinstance(error, UnusableResponseError):
            self._counters.add("depot.spoilt")
            log.debug("backend %s: unusable response: %s", backend.name, error)
            return AttemptResult("spoilt")
        raise error

    def _is_repeat(self, connection: BackendConnection, message: bytes, received: ReceivedResponse) -> bool:
        """Whether the response is the connection's previous one, which was for another target.

        Guards against a second copy that comes so late that the next request is already written.
        """
        response = received.response
        target = message[: message.index(b" HTTP/")].decode("ascii")
        previous = connection.last_exchange
        current = Exchange(target, response.body, response.fields.get("x-digest", ""))
        connection.last_exchange = current
        if response.status != 200 or not response.body or previous is None or previous.target == target:
            return False
        return previous.body == current.body and previous.digest == current.digest

    async def execute(self, attempt: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Carry out an attempt; see ``AttemptExecutor``. ``may_start`` is asked right before the first byte."""
        call = attempt.client_request
        received = await self._exchange(
            attempt.backend, lambda: attempt_message(attempt, self._remaining_ms(attempt)), may_start
        )
        if isinstance(received, AttemptResult):
            return received
        response = received.response
        result = parse_backend_response(
            response.status, response.fields, response.body, self._visible_notes, call.etag, call.write
        )
        if result.result == "spoilt":
            self._counters.add("depot.spoilt")
        result.ended_ms = received.read_ms
        return result

    def _remaining_ms(self, attempt: AttemptRequest) -> float:
        """How long the attempt may still last: its backend gets no more time than its client has left."""
        return min(attempt.timeout_ms, attempt.timeout_at_ms - self._clock.now_ms())

    async def health_check(self, backend: Backend, may_start: Callable[[], bool] = lambda: True) -> AttemptResult:
        """Request a backend's health page; "moot" if ``may_start``, asked right before the first byte, says no."""
        message = f"GET {self._health_check_path} HTTP/1.1\r\nHost: {backend.address}\r\n\r\n".encode()
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_MS / 1000):
                received = await self._exchange(backend, lambda: message, may_start)
        except TimeoutError:
            return AttemptResult("timeout")
        if isinstance(received, AttemptResult):
            return received
        response = received.response
        return parse_backend_response(response.status, response.fields, b"", self._visible_notes, "", write=True)
