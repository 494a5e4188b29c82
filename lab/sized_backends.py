"""Backends of a hostile play, with the change log, in a process of their own: ``python -m lab.sized_backends``.

It prints the configuration's part about them as one line of JSON, and serves until its standard input ends. So
their work does not delay the clients that a play measures.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import sys

from lab.stand import FakeBackend, FakeChangeLog, endpoint_entry, listening, read_message
from lab.stream_server import serving

LARGE_OBJECT_BYTES = 200_000
LARGEST_OBJECT_BYTES = 240_000  # by the protocol page
HELD_OBJECT_BYTES = 239_000
SMALL_OBJECT = b"waves"
OBJECTS = {  # by the first part of their name
    "large": bytes(LARGE_OBJECT_BYTES),
    "largest": bytes(LARGEST_OBJECT_BYTES),
    "held": bytes(HELD_OBJECT_BYTES),
}


class SizedBackend(FakeBackend):
    """A backend with objects whose size the first part of their name tells, each with a digest of its own."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection; the last byte of a ``held`` object is never sent."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                target = request_line.split()[1]
                kind = target.split("/")[-2].split("-")[0] if target.startswith("/data/") else ""
                body = OBJECTS.get(kind, SMALL_OBJECT)
                digest = hashlib.sha256(target.encode()).hexdigest()[:16]
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Digest: {digest}\r\nX-Stamp: 1764576000000\r\nX-Result: local\r\n"
                    f"X-Stats: inflight:7;util:0.61\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                )
                writer.write(body[:-1] if kind == "held" else body)
                await writer.drain()
        writer.close()


async def _serve() -> None:
    change_log = FakeChangeLog()
    backends = [
        SizedBackend("a"),
        SizedBackend("b"),
        SizedBackend("hub", kind="parent", zone="north"),
        SizedBackend("archive", kind="origin", zone="north"),
    ]
    async with serving(change_log.serve) as log_server, listening(*backends):
        endpoints = [endpoint_entry(backend) for backend in backends]
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"snapshot": True, "endpoints": endpoints}}]}
        print(json.dumps({"changelog": log_server.address, "known": known}), flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_serve())
