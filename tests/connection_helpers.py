"""Client connections that send any bytes at any time, and a hook that runs right after a read."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from beechslip.platform.client_connection import ClientConnection
from lab.stand import FakeBackend, InProcessProxy, read_message


class GatedBackend(FakeBackend):
    """A backend that responds by its script once its gate is open."""

    def __init__(self, name: str, *script: bytes, **how: str) -> None:
        super().__init__(name, *script, **how)
        self.gate = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                self.seen.append(await read_message(reader))
                await self.gate.wait()
                writer.write(self.script.pop(0) if len(self.script) > 1 else self.script[0])


request_ids = iter(range(1 << 61, 1 << 62))


def get_request_bytes(target: str = "/rpc/waveform/7f3a", wait_ms: int = 6000) -> bytes:
    return (
        f"GET {target} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {next(request_ids):016x}\r\n"
        f"Req-Wait-Ms: {wait_ms}\r\n\r\n"
    ).encode()


class RawClient:
    """A client connection that sends any bytes at any time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_status(self) -> int:
        return int((await read_message(self.reader))[0].split()[1])

    async def is_closed_by_server(self) -> bool:
        return await self.reader.read() == b""


@contextlib.asynccontextmanager
async def client(port: int) -> AsyncIterator[RawClient]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield RawClient(reader, writer)
    finally:
        writer.transport.abort()


def connections(stand: InProcessProxy) -> list[ClientConnection]:
    return list(stand.front._server._open_connections)


def run_after_reading(monkeypatch: pytest.MonkeyPatch, action: Callable[[ClientConnection], object]) -> None:
    """Run ``action`` in the event loop step in which a connection's bytes are read, before any handler runs."""
    original_data_received = ClientConnection.data_received

    def read_then_run_action(self: ClientConnection, data: bytes) -> None:
        original_data_received(self, data)
        if data:
            action(self)

    monkeypatch.setattr(ClientConnection, "data_received", read_then_run_action)
