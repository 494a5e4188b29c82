"""A bounded pool of connections to backends, which are kept open between requests."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Mapping
from typing import Protocol

from beechslip.clock import Clock
from beechslip.config import parse_address
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.platform.connection import BackendConnection, BackendKey, connect

# Milliseconds of idleness before a connection is used again. What a backend sends beyond its response comes right
# behind it: bytes that arrive in this time end the connection instead of being read as the next response.
MIN_IDLE_MS = 20.0


class ConnectionGate(Protocol):
    """A bound on one backend's connections beside the pool's own bound (the fleet's budget)."""

    def may_dial(self, backend: str) -> bool:
        """Asked right before a dial; a True counts until ``connection_closed``."""
        ...

    def connection_closed(self, backend: str) -> None:
        """A dial that was allowed has failed, or its connection has been closed."""
        ...


class ConnectionPool:
    """Owns the connections to backends, and bounds their number, idle ones included."""

    def __init__(
        self, clock: Clock, counters: Counters, max_connections: int, idle_timeout_ms: float, dial_timeout_ms: float
    ) -> None:
        """Idle connections are not used after ``idle_timeout_ms``; a dial may take ``dial_timeout_ms``."""
        self.idle_timeout_ms = idle_timeout_ms
        self.dial_timeout_ms = dial_timeout_ms
        self.gate: ConnectionGate | None = None
        self._clock = clock
        self._counters = counters
        self._max_connections = max_connections
        self._connections: set[BackendConnection] = set()
        self._dialling = 0
        self._idle: dict[BackendKey, deque[BackendConnection]] = {}  # the longest idle first
        self._waiting: deque[asyncio.Future[None]] = deque()  # for a place in the pool
        self._gated: dict[str, deque[asyncio.Future[None]]] = {}  # by backend: for a place that the gate allows
        self._backends: Mapping[str, Backend] | None = None  # the listed ones, by name

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Close idle connections to backends that are not listed any more: these may go without closing them."""
        self._backends = backends
        for key in [key for key in self._idle if not self._listed(key)]:
            for connection in list(self._idle.pop(key)):
                connection.abort()

    def _listed(self, key: BackendKey) -> bool:
        if self._backends is None:
            return True
        name, address = key
        backend = self._backends.get(name)
        return backend is not None and backend.address == address

    async def acquire(self, key: BackendKey) -> BackendConnection:
        """A connection with no request on it, which ``release`` gives back.

        The wait for a place in a full pool is not part of the dial, as it says nothing of the backend.

        Raises:
            NoSocketError: this machine could not open one in time.
            OSError: the backend could not be reached in time.
            ConfigError: the backend's address can't be read.
        """
        backend = key[0]
        while (connection := self._take_idle(key)) is None:
            has_place = not self._full() or self._evict_idle()
            if has_place and (self.gate is None or self.gate.may_dial(backend)):
                return await self._dial(key)
            self._counters.add("depot.waits")
            await self._wait_for_place(backend, gated=has_place)
        return connection

    async def _wait_for_place(self, backend: str, *, gated: bool) -> None:
        """Until the pool, or the gate of this backend, may have a place."""
        place = asyncio.get_running_loop().create_future()
        queue = self._gated.setdefault(backend, deque()) if gated else self._waiting
        queue.append(place)
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._wake(backend)  # the place goes to the next in the queue
            raise

    def _take_idle(self, key: BackendKey) -> BackendConnection | None:
        """The longest idle connection that is usable; those past their idle timeout are closed on the way."""
        idle = self._idle.get(key)
        now = self._clock.now_ms()
        while idle:
            connection = idle[0]
            idle_ms = now - connection.idle_since_ms
            if idle_ms > self.idle_timeout_ms or not connection.is_open:
                idle.popleft()
                connection.abort()
            elif idle_ms >= MIN_IDLE_MS or idle_ms < 0.0 or self._full():
                return idle.popleft()
            else:
                return None
        return None

    def _full(self) -> bool:
        return len(self._connections) + self._dialling >= self._max_connections

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle for the longest, to any backend; False if none is idle."""
        queues = [queue for queue in self._idle.values() if queue]
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
            created.append(BackendConnection(key, sock, self._clock, self._counters, self._on_closed))
            return created[0]

        self._dialling += 1
        try:
            sock = await connect(address, self.dial_timeout_ms / 1000.0)
            try:
                _, connection = await asyncio.get_running_loop().create_connection(create, sock=sock)
            except BaseException:
                sock.close()
                raise
        except BaseException:
            if not created:  # one that was created reports its end itself
                self._free_place(key[0])
            raise
        finally:
            self._dialling -= 1
        self._connections.add(connection)
        self._counters.add("depot.dials")
        return connection

    def release(self, connection: BackendConnection) -> None:
        """The connection's request is over: it becomes idle, or is closed if it can't serve another one."""
        if not connection.is_open or not self._listed(connection.key):
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(connection.key, deque()).append(connection)
        self._wake(connection.key[0])

    def _on_closed(self, connection: BackendConnection) -> None:
        """The one place where a connection's descriptor and its place at the gate are given back."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.key)
        if idle and connection in idle:
            idle.remove(connection)
        if idle is not None and not idle:
            del self._idle[connection.key]
        self._free_place(connection.key[0])

    def _free_place(self, backend: str) -> None:
        if self.gate is not None:
            self.gate.connection_closed(backend)
        self._wake(backend)

    def trim(self, backend: str, max_connections: float) -> None:
        """The gate allows ``max_connections`` to ``backend`` now: close idle ones beyond, or wake a waiter."""
        count = sum(connection.key[0] == backend for connection in self._connections)
        idle = [connection for key, queue in self._idle.items() if key[0] == backend for connection in queue]
        for connection in idle[: max(0, math.ceil(count - max_connections))]:
            connection.abort()
        if count + 1 <= max_connections:
            self._wake(backend)

    def _wake(self, backend: str) -> None:
        """Wake the first waiter at this backend's gate, and the first for a place in the pool."""
        for queue in (self._gated.get(backend), self._waiting):
            while queue:
                place = queue.popleft()
                if not place.done():
                    place.set_result(None)
                    break
        if backend in self._gated and not self._gated[backend]:
            del self._gated[backend]

    def close(self) -> None:
        """Close all connections; waiters are left to their own cancellation."""
        for connection in list(self._connections):
            connection.abort()
