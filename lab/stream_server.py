"""A server for the stand-ins of backends and change logs, which owns the connections that it accepts."""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamServer:
    """Listens on a loopback port. :meth:`close` also closes the connections that their handlers have left open.

    A connection must not outlive its event loop: its finalizer would raise, during whatever runs then.
    """

    def __init__(self, handler: StreamHandler) -> None:
        """Serve each connection with ``handler``, once the server is started."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()

    @property
    def port(self) -> int:
        """The port on which it listens; only while it is started."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """The address on which it listens, ``HOST:PORT``; only while it is started."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        await self._handler(reader, writer)


@contextlib.asynccontextmanager
async def serving(handler: StreamHandler) -> AsyncIterator[StreamServer]:
    """Run a server until the block ends."""
    server = StreamServer(handler)
    await server.start()
    try:
        yield server
    finally:
        server.close()
