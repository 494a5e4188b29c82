"""Clients that send far ahead and close: what they have asked for is not sent on afterwards."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from pathlib import Path

import pytest

from lab.hostile_clients import get_request
from lab.stand import OK, FakeBackend, fetch, read_message, run
from tests.test_program import proxy_process

MAX_CLIENT_GONE_S = 0.1  # after a client has closed, no attempt of its requests begins
SEND_BUFFER_BYTES = 4 << 20
RESPONSE_DELAY_S = 0.02


class SlowBackend(FakeBackend):
    """A backend that takes some time for each request, and records when requests arrive."""

    def __init__(self, name: str, *script: bytes, **where: str) -> None:
        super().__init__(name, *script, **where)
        self.arrivals: list[tuple[float, str]] = []  # time (``time.monotonic``) and target

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                self.arrivals.append((time.monotonic(), request_line))
                await asyncio.sleep(RESPONSE_DELAY_S)
                writer.write(OK)


async def send_ahead_and_close(port: int, size: int) -> float:
    """Send ``size`` bytes of whole requests and close, without reading. Return the time of the close."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        requests = b"".join(get_request("ahead", X_Pad="p" * 200) for _ in range(size // 350))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(loop.sock_sendall(sock, requests), 1.0)
    return time.monotonic()


# Guards against requests that are sent on for a client whose end is behind megabytes that have not been read.
@run
@pytest.mark.parametrize("size", [100_000, 1_000_000, 4_000_000])
async def test_requests_sent_far_ahead_are_not_sent_on_once_their_client_has_closed(
    tmp_path: Path, size: int
) -> None:
    async with proxy_process(tmp_path, SlowBackend) as proxy:
        await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()
        closed_s = await send_ahead_and_close(proxy.port, size)
        await asyncio.sleep(1.0)
        assert (await fetch(proxy.port, "/rpc/waveform/after"))[0] == 200
        arrivals = [
            arrival for backend in proxy.backends if isinstance(backend, SlowBackend) for arrival in backend.arrivals
        ]
        late = [when - closed_s for when, line in arrivals if "ahead" in line and when - closed_s > MAX_CLIENT_GONE_S]
        assert not late
