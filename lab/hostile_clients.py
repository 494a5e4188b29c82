"""Hostile clients of one proxy, seeded: each kind wastes the proxy's memory or time in its own way.

Started as a program of its own, so that their work does not delay the clients that a play measures:
``python -m lab.hostile_clients KIND PORT --connections 500 --seconds 7 --seed 1``. A connection that the proxy
closes is opened again.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import random
import socket
import time
from collections.abc import Awaitable, Callable

LARGEST_BODY_BYTES = 48_000  # of a write, by the protocol page
LONG_FIELD_BYTES = 8_000
WRITE_BYTES = 65_536
READ_BYTES = 65_536
CHUNKS_PER_WRITE = 100
SHORT_FIELDS_PER_WRITE = 20
SHORT_FIELDS_PER_HEAD = 120
REQUESTS_PER_WRITE = 50
SLOW_INTERVAL_S = 0.05
REOPEN_INTERVAL_S = 0.02
CLIENT_WAIT_MS = 2_000
UNREAD_RECEIVE_BUFFER_BYTES = 4_096  # of clients that never read, so that the proxy has to hold their answers
# Of TCP on Ethernet. With those of loopback, 65,483 bytes, the kernel takes whole responses and the proxy holds none.
ETHERNET_SEGMENT_BYTES = 1_448
OBJECTS_AHEAD = 6
DRIP_INTERVAL_S = 1.0

HOSTILE_ID_PREFIX = "f00d"  # of the ids of these clients' requests

_request_numbers = itertools.count(1)


class HostileConnection:
    """A connection of a hostile client, which sends any bytes and reads only what it is told to."""

    def __init__(self, sock: socket.socket, rng: random.Random) -> None:
        """Use a connected, non-blocking socket. ``rng`` draws what differs from connection to connection."""
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self.rng = rng

    async def send(self, data: bytes) -> None:
        """Send all bytes. Raises OSError once the proxy has closed the connection."""
        await self._loop.sock_sendall(self._sock, data)

    async def receive(self, size: int = READ_BYTES) -> bytes:
        """Receive what has arrived, up to ``size``. Raises ConnectionError at the end of the connection."""
        data = await self._loop.sock_recv(self._sock, size)
        if not data:
            raise ConnectionError("closed by the proxy")
        return data

    async def receive_response(self) -> None:
        """Receive one response with a body of a stated length, and drop it."""
        received = b""
        while b"\r\n\r\n" not in received:
            received += await self.receive()
        head, _, body = received.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        remaining = length - len(body)
        while remaining > 0:
            remaining -= len(await self.receive())


def request_head(target: str, method: str = "GET", **fields: str) -> bytes:
    """Return the head of a valid request, with an id of its own, without the empty line at its end."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {HOSTILE_ID_PREFIX}{random.getrandbits(16):04x}{next(_request_numbers):08x}",
        f"Req-Wait-Ms: {CLIENT_WAIT_MS}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join(lines).encode()


def get_request(name: str, **fields: str) -> bytes:
    """Return a whole read of an object."""
    return request_head(f"/rpc/waveform/{name}", **fields) + b"\r\n\r\n"


def put_request() -> bytes:
    """Return a whole write of the largest size."""
    number = next(_request_numbers)
    head = request_head(
        f"/rpc/pick-submit/{number:x}", "PUT", Req_Token=f"{number:x}", Content_Length=str(LARGEST_BODY_BYTES)
    )
    return head + b"\r\n\r\n" + bytes(LARGEST_BODY_BYTES)


def chunked_put_head() -> bytes:
    """Return the head of a chunked write."""
    return request_head("/rpc/pick-submit/chunked", "PUT", Req_Token="5c", Transfer_Encoding="chunked") + b"\r\n\r\n"


async def send_long_fields(connection: HostileConnection) -> None:
    """Send a head of long fields that never ends."""
    await connection.send(request_head("/rpc/waveform/7f3a"))
    for number in itertools.count():
        await connection.send(b"\r\nX-Pad-%d: " % number + b"p" * LONG_FIELD_BYTES)
        await asyncio.sleep(0)


async def send_short_fields(connection: HostileConnection) -> None:
    """Send a head of short fields that never ends, slowly."""
    await connection.send(request_head("/rpc/waveform/7f3a"))
    while True:
        await connection.send(b"\r\nA: b" * SHORT_FIELDS_PER_WRITE)
        await asyncio.sleep(SLOW_INTERVAL_S)


async def send_whole_heads(connection: HostileConnection) -> None:
    """Send whole requests with many short fields, and read the responses."""
    while True:
        fields = b"".join(b"\r\nX-F-%d: v" % number for number in range(SHORT_FIELDS_PER_HEAD))
        await connection.send(request_head("/rpc/waveform/7f3a") + fields + b"\r\n\r\n")
        await connection.receive_response()


async def send_endless_line(connection: HostileConnection) -> None:
    """Send a request line that never ends."""
    await connection.send(b"GET /")
    while True:
        await connection.send(b"x" * WRITE_BYTES)
        await asyncio.sleep(0)


async def send_partial_body(connection: HostileConnection) -> None:
    """Send a write but its last byte, and wait."""
    await connection.send(put_request()[:-1])
    await connection.receive_response()


async def send_byte_chunks(connection: HostileConnection) -> None:
    """Send a chunked body that never ends, one byte in each chunk."""
    await connection.send(chunked_put_head())
    while True:
        await connection.send(b"1\r\nx\r\n" * CHUNKS_PER_WRITE)
        await asyncio.sleep(0)


async def send_endless_trailers(connection: HostileConnection) -> None:
    """Send a chunked body whose trailer section never ends."""
    await connection.send(chunked_put_head() + b"1\r\nx\r\n0\r\n")
    while True:
        await connection.send(b"X-Trailer: t\r\n" * CHUNKS_PER_WRITE)
        await asyncio.sleep(0)


async def send_puts_unread(connection: HostileConnection) -> None:
    """Send whole writes ahead, and read no response."""
    while True:
        await connection.send(put_request())
        await asyncio.sleep(0)


async def send_gets_unread(connection: HostileConnection) -> None:
    """Send small reads ahead, under ever new names, and read no response."""
    while True:
        await connection.send(
            b"".join(get_request(f"{connection.rng.getrandbits(40):x}") for _ in range(REQUESTS_PER_WRITE))
        )
        await asyncio.sleep(0)


async def ask_large_unread(connection: HostileConnection) -> None:
    """Ask for large objects, and read no response."""
    await connection.send(b"".join(get_request(f"large-{connection.rng.getrandbits(40):x}") for _ in range(4)))
    while True:
        await asyncio.sleep(SLOW_INTERVAL_S)
        await connection.send(b"\r\n")  # notices that the proxy has closed the connection


async def ask_objects_unread(connection: HostileConnection) -> None:
    """Ask for some of the largest objects, and read no response."""
    names = [f"largest-{connection.rng.getrandbits(40):x}" for _ in range(OBJECTS_AHEAD)]
    await connection.send(b"".join(map(get_request, names)))
    while True:
        await asyncio.sleep(SLOW_INTERVAL_S)
        await connection.send(b"\r\n")  # notices that the proxy has closed the connection


async def read_objects_by_drips(connection: HostileConnection) -> None:
    """Ask for some of the largest objects, and read a byte of them a second."""
    names = [f"largest-{connection.rng.getrandbits(40):x}" for _ in range(OBJECTS_AHEAD)]
    await connection.send(b"".join(map(get_request, names)))
    while True:
        await connection.receive(1)
        await asyncio.sleep(DRIP_INTERVAL_S)


async def send_whole_puts(connection: HostileConnection) -> None:
    """Send whole writes one at a time, as a sound client does."""
    while True:
        await connection.send(put_request())
        await connection.receive_response()


async def ask_held_back(connection: HostileConnection) -> None:
    """Ask for objects whose last byte the backends hold back, as a sound client does."""
    while True:
        await connection.send(get_request(f"held-{connection.rng.getrandbits(40):x}"))
        await connection.receive_response()


async def stay_silent(connection: HostileConnection) -> None:
    """Send nothing."""
    await connection.receive()


async def rest_after_request(connection: HostileConnection) -> None:
    """Send one request, read its response, and rest."""
    await connection.send(get_request("7f3a"))
    await connection.receive_response()
    await connection.receive()


async def send_new_names(connection: HostileConnection) -> None:
    """Send small reads under ever new names at full speed, and read the responses."""
    while True:
        names = [f"{connection.rng.getrandbits(60):x}" for _ in range(REQUESTS_PER_WRITE)]
        await connection.send(b"".join(map(get_request, names)))
        for _ in names:
            await connection.receive()


async def send_bad_requests(connection: HostileConnection) -> None:
    """Send requests that can't be parsed; each of them ends the connection."""
    await connection.send(b"nonsense\r\n\r\n")
    while True:
        await connection.receive()


async def send_health_checks(connection: HostileConnection) -> None:
    """Ask for the health page at full speed, and read the responses."""
    while True:
        await connection.send(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n" * REQUESTS_PER_WRITE)
        await connection.receive()


Behaviour = Callable[[HostileConnection], Awaitable[None]]

# The kinds of hostile clients, by the name of their play. Kinds in ``NEVER_READING`` get a small receive buffer.
KINDS: dict[str, Behaviour] = {
    "long-fields": send_long_fields,
    "short-fields": send_short_fields,
    "whole-heads": send_whole_heads,
    "endless-line": send_endless_line,
    "partial-body": send_partial_body,
    "byte-chunks": send_byte_chunks,
    "endless-trailers": send_endless_trailers,
    "puts-unread": send_puts_unread,
    "gets-unread": send_gets_unread,
    "large-unread": ask_large_unread,
    "objects-unread": ask_objects_unread,
    "objects-dripped": read_objects_by_drips,
    "whole-puts": send_whole_puts,
    "held-back": ask_held_back,
    "silent": stay_silent,
    "resting": rest_after_request,
    "new-names": send_new_names,
    "bad-requests": send_bad_requests,
    "health-checks": send_health_checks,
}
NEVER_READING = frozenset({"puts-unread", "gets-unread", "large-unread", "objects-unread", "objects-dripped"})
ETHERNET_SEGMENTS = frozenset({"objects-unread", "objects-dripped"})  # kinds whose connections have these
MIXED = "mixed"  # each connection draws its kind anew whenever it is opened


async def _run_connection(kind: str, port: int, rng: random.Random) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if kind in NEVER_READING:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_RECEIVE_BUFFER_BYTES)
        if kind in ETHERNET_SEGMENTS:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        await KINDS[kind](HostileConnection(sock, rng))
    finally:
        sock.close()


async def _run_client(play: str, port: int, seed: str, until_s: float) -> None:
    rng = random.Random(seed)
    while time.monotonic() < until_s:
        kind = rng.choice(sorted(KINDS)) if play == MIXED else play
        with contextlib.suppress(OSError):
            await _run_connection(kind, port, rng)
        await asyncio.sleep(REOPEN_INTERVAL_S)


async def run_hostile_clients(play: str, port: int, connections: int, seconds: float, seed: int) -> None:
    """Run clients of one kind, or a mixture of all kinds, for a time; then close their connections."""
    until_s = time.monotonic() + seconds
    clients = [
        asyncio.create_task(_run_client(play, port, f"{seed} {number}", until_s)) for number in range(connections)
    ]
    await asyncio.sleep(seconds)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def main() -> None:
    """Run the hostile clients that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("play", choices=[*KINDS, MIXED])
    parser.add_argument("port", type=int)
    parser.add_argument("--connections", type=int, default=500)
    parser.add_argument("--seconds", type=float, default=7.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(
        run_hostile_clients(arguments.play, arguments.port, arguments.connections, arguments.seconds, arguments.seed)
    )


if __name__ == "__main__":
    main()
