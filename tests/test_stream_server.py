"""Tests of the server of the stand-ins."""

from __future__ import annotations

import asyncio
import gc
import sys
from typing import Any

import pytest

from lab.stream_server import serving


# Guards against connections of stand-ins that outlive their event loop: their finalizers raise in whatever test runs
# then, which has ended a whole run of CI.
@pytest.mark.parametrize("returns", [True, False])
def test_connections_that_handlers_leave_open_are_closed_with_the_server(
    returns: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    unraisable: list[Any] = []

    async def leave_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"a")
        if not returns:
            await reader.read()

    async def connect() -> None:
        async with serving(leave_open) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            assert await reader.readexactly(1) == b"a"
        assert await reader.read() == b""  # closed by the server
        writer.close()

    asyncio.run(asyncio.wait_for(connect(), 10))
    monkeypatch.setattr(sys, "unraisablehook", unraisable.append)
    gc.collect()
    assert not unraisable
