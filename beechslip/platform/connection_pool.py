"""A bounded pool of connections to backends. Connections are kept open between requests."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from beechslip.clock import Clock
from beechslip.config import parse_address
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.memory_budget import MemoryRoom
from beechslip.platform.connection import BackendConnection, BackendKey, ReceivingMemory, connect_socket

# Milliseconds for which a connection must have been idle before it is used again. Bytes that a backend sends beyond
# its response follow it directly. If they arrive within this time, they close the connection instead of being read as
# the next response.
MIN_IDLE_MS = 20.0
READ_BUFFER_BYTES = 262_144  # also the most that is read from a connection in one step of the event loop


class ConnectionLimiter(Protocol):
    """A bound on the connections to one backend, in addition to the pool's own bound (the fleet's budget)."""

    def may_dial(self, backend: str) -> bool:
        """Return True if a connection may be dialled now. The permission counts as used until ``connection_closed``.

        The pool calls this right before it dials.
        """
        ...

    def connection_closed(self, backend: str) -> None:
        """Release a permission: the permitted dial has failed, or its connection has been closed."""
        ...


class ConnectionPool:
    """Owns the connections to backends and bounds their number. Idle connections count."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        room: MemoryRoom,
        max_connections: Callable[[], int],
        idle_timeout_ms: float,
        dial_timeout_ms: float,
    ) -> None:
        """Create an empty pool, whose connections receive responses into ``room``, with a bound that may change.

        Connections that were idle for more than ``idle_timeout_ms`` are not used again. A dial may take
        ``dial_timeout_ms``.
        """
        self.idle_timeout_ms = idle_timeout_ms
        self.dial_timeout_ms = dial_timeout_ms
        self.limiter: ConnectionLimiter | None = None
        self._clock = clock
        self._counters = counters
        self._memory = ReceivingMemory(memoryview(bytearray(READ_BUFFER_BYTES)), room)
        self._max_connections = max_connections
        self._keeps_idle = True
        self._connections: set[BackendConnection] = set()
        self._dials_in_progress = 0
        # By backend, with the connection that has been idle for longest first.
        self._idle_connections: dict[BackendKey, deque[BackendConnection]] = {}
        self._pool_waiters: deque[asyncio.Future[None]] = deque()  # waiting for a place in the pool
        # By backend: callers that wait until the limiter permits a connection.
        self._limiter_waiters: dict[str, deque[asyncio.Future[None]]] = {}
        self._backends: Mapping[str, Backend] | None = None  # the listed backends, by name

    def set_listed_backends(self, backends: Mapping[str, Backend]) -> None:
        """Set the listed backends, and close idle connections to backends that are no longer listed.

        A backend that is no longer listed may disappear without closing its connections.
        """
        self._backends = backends
        for key in [key for key in self._idle_connections if not self._is_listed(key)]:
            for connection in list(self._idle_connections.pop(key)):
                connection.abort()

    def _is_listed(self, key: BackendKey) -> bool:
        if self._backends is None:
            return True
        name, address = key
        backend = self._backends.get(name)
        return backend is not None and backend.address == address

    async def acquire(self, key: BackendKey) -> BackendConnection:
        """Return a connection that carries no request. The caller gives it back by ``release``.

        The wait for a place in a full pool does not count as part of the dial, because it says nothing about the
        backend.

        Raises:
            NoSocketError: this machine could not open a connection in time.
            OSError: the backend could not be reached in time.
            ConfigError: the backend's address is invalid.
        """
        backend = key[0]
        while (connection := self._take_idle(key)) is None:
            has_place = not self._is_full() or self._evict_idle()
            if has_place and (self.limiter is None or self.limiter.may_dial(backend)):
                return await self._dial(key)
            self._counters.add("depot.waits")
            await self._wait_for_place(backend, by_limiter=has_place)
        return connection

    async def _wait_for_place(self, backend: str, *, by_limiter: bool) -> None:
        """Wait until the pool may have a place, or until the limiter may permit a connection to this backend."""
        place = asyncio.get_running_loop().create_future()
        queue = self._limiter_waiters.setdefault(backend, deque()) if by_limiter else self._pool_waiters
        queue.append(place)
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._wake_waiters(backend)  # the place goes to the next waiter in the queue
            raise

    def _take_idle(self, key: BackendKey) -> BackendConnection | None:
        """Return the usable connection that has been idle for longest, or ``None``.

        Connections beyond their idle timeout are closed when they are found.
        """
        idle = self._idle_connections.get(key)
        now = self._clock.now_ms()
        while idle:
            connection = idle[0]
            idle_ms = now - connection.idle_since_ms
            if idle_ms > self.idle_timeout_ms or not connection.is_open:
                idle.popleft()
                connection.abort()
            elif idle_ms >= MIN_IDLE_MS or idle_ms < 0.0 or self._is_full():
                return idle.popleft()
            else:
                return None
        return None

    def _is_full(self) -> bool:
        return self.connection_count >= self._max_connections()

    @property
    def connection_count(self) -> int:
        """The number of connections whose descriptors are in use, with those that are being dialled."""
        return len(self._connections) + self._dials_in_progress

    def bound_changed(self) -> None:
        """Wake callers for the places that the bound permits now, or end idle connections above it."""
        excess = self.connection_count - self._max_connections()
        while excess > 0 and self._evict_idle():
            excess -= 1
        for _ in range(min(-excess, len(self._pool_waiters))):
            self._wake_first(self._pool_waiters)

    def stop_keeping_idle(self) -> None:
        """Close idle connections, and from now on each one when its request is over."""
        self._keeps_idle = False
        while self._evict_idle():
            pass

    def _evict_idle(self) -> bool:
        """Close the connection, to any backend, that has been idle for longest. Return False if none is idle."""
        queues = [queue for queue in self._idle_connections.values() if queue]
        if not queues:
            return False
        connection = min(queues, key=lambda queue: queue[0].idle_since_ms).popleft()
        self._connections.discard(connection)
        connection.abort()
        return True

    async def _dial(self, key: BackendKey) -> BackendConnection:
        address = parse_address(key[1])
        created = list[BackendConnection]()

        def create() -> BackendConnection:
            created.append(BackendConnection(key, sock, self._clock, self._counters, self._memory, self._on_closed))
            return created[0]

        self._dials_in_progress += 1
        try:
            sock = await connect_socket(address, self.dial_timeout_ms / 1000.0)
            try:
                _, connection = await asyncio.get_running_loop().create_connection(create, sock=sock)
            except BaseException:
                sock.close()
                raise
        except BaseException:
            if not created:  # a connection that was created reports its end itself
                self._release_place(key[0])
            raise
        finally:
            self._dials_in_progress -= 1
        self._connections.add(connection)
        self._counters.add("depot.dials")
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Take back a connection whose request is over.

        It becomes idle, or is closed if it can't carry another request.
        """
        if not connection.is_open or not self._keeps_idle or not self._is_listed(connection.key):
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle_connections.setdefault(connection.key, deque()).append(connection)
        self._wake_waiters(connection.key[0])

    def _on_closed(self, connection: BackendConnection) -> None:
        """Release a connection's descriptor and its permission from the limiter.

        This is the only place that does so.
        """
        self._connections.discard(connection)
        idle = self._idle_connections.get(connection.key)
        if idle and connection in idle:
            idle.remove(connection)
        if idle is not None and not idle:
            del self._idle_connections[connection.key]
        self._release_place(connection.key[0])

    def _release_place(self, backend: str) -> None:
        if self.limiter is not None:
            self.limiter.connection_closed(backend)
        self._wake_waiters(backend)

    def close_excess_idle(self, backend: str, max_connections: float) -> None:
        """Apply the limiter's current limit for a backend: close excess idle connections, or wake a waiter."""
        count = sum(connection.key[0] == backend for connection in self._connections)
        idle = [
            connection for key, queue in self._idle_connections.items() if key[0] == backend for connection in queue
        ]
        for connection in idle[: max(0, math.ceil(count - max_connections))]:
            connection.abort()
        if count + 1 <= max_connections:
            self._wake_waiters(backend)

    def _wake_waiters(self, backend: str) -> None:
        """Wake two callers, if there are any.

        One is the first that waits for the limiter at this backend, the other the first that waits for a place in
        the pool.
        """
        for queue in (self._limiter_waiters.get(backend), self._pool_waiters):
            if queue:
                self._wake_first(queue)
        if backend in self._limiter_waiters and not self._limiter_waiters[backend]:
            del self._limiter_waiters[backend]

    @staticmethod
    def _wake_first(queue: deque[asyncio.Future[None]]) -> None:
        while queue:
            place = queue.popleft()
            if not place.done():
                place.set_result(None)
                return

    def close(self) -> None:
        """Close all connections. Waiting callers are not woken; their own cancellation ends them."""
        for connection in list(self._connections):
            connection.abort()
