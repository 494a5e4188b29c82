"""The doorman cuts off its answers to usual clients that read slowly, with half of its memory free."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    HOST,
    TROUBLE,
    Case,
    ChangeLog,
    Depot,
    Received,
    ServerConnection,
    answer,
    main,
    new_id,
    now_ms,
    request_bytes,
    settings,
)

MEMORY_MB = 64
SOCKETS = 1024
CLIENTS = 300  # under a third of the descriptors
INTERVAL_S = 0.6  # between the requests of a client
PLAY_S = 6.0
WAIT_MS = 6_000
CONTENT = bytes(range(256)) * 937 + bytes(112)  # with the 16 bytes of a name 240,000
SEGMENT_BYTES = 1_448  # of TCP on Ethernet; loopback's are 65,483
SLOW_BYTES_PER_S = 1_000_000.0
SLOW_READ_BYTES = 16_384  # at once, and the receive buffer that a slow client asks for
QUICK_READ_BYTES = 262_144
PAGE_BYTES = resource.getpagesize()


class Station(Depot):
    """A depot whose objects are as large as they may be."""

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Answer a read."""
        name = request.target.split("/")[3].encode()[:16].ljust(16)
        message = answer(200, name + CONTENT, X_Digest=name.decode(), X_Stamp=str(int(now_ms())), X_Result="local")
        connection.writer.write(message)


async def connect(port: int) -> socket.socket:
    """Return a client's new connection."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    if TROUBLE:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


class Reading:
    """An answer that a client reads, in part or whole."""

    def __init__(self) -> None:
        """Begin with nothing read."""
        self.status = 0
        self.wait_ms = 0  # for which the client is to stay away
        self.length = 0
        self.received = 0

    async def read(self, sock: socket.socket) -> None:
        """Read the whole answer, in trouble at a slow pace. Raises ConnectionError if the connection ends before."""
        loop = asyncio.get_running_loop()
        head = b""
        while b"\r\n\r\n" not in head:
            head += await self._receive(sock)
        head, _, body = head.partition(b"\r\n\r\n")
        self.status = int(head.split()[1])
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                self.length = int(value)
            elif name == b"srv-wait-ms":
                self.wait_ms = int(value)
        self.received = len(body)
        begun_s = loop.time()
        while self.received < self.length:
            self.received += len(await self._receive(sock))
            ahead_s = begun_s + self.received / SLOW_BYTES_PER_S - loop.time()
            if TROUBLE and ahead_s > 0.0:
                await asyncio.sleep(ahead_s)

    async def _receive(self, sock: socket.socket) -> bytes:
        size = SLOW_READ_BYTES if TROUBLE else QUICK_READ_BYTES
        data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, size), 8.0)
        if not data:
            raise ConnectionError("closed by the doorman")
        return data


async def run(case: Case) -> None:
    """Let usual clients ask for large objects, each on a new connection, and read them at their pace."""
    depots: list[Depot] = [Station(f"s-{n}", "std-box", "edge-1", case.record) for n in range(8)]
    depots += [Station("p-0", "parent", "north", case.record), Station("o-0", "origin", "north", case.record)]
    for depot in depots:
        await depot.start()
    log = ChangeLog(depots)
    await log.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config = case.write_config("n1", log, limits=limits, settings=settings())
    doorman, port = await case.start_doorman("n1", config)
    answers = Counter[str]()
    most_mb = 0.0
    end_s = time.monotonic() + PLAY_S

    async def ask_once(name: str) -> float:
        """Ask for an object; return for how many seconds the client is to stay away."""
        sock = await connect(port)
        reading = Reading()
        id_ = new_id()
        try:
            request = request_bytes(f"/rpc/waveform/{name}?slice=0", wait_ms=WAIT_MS, id_=id_)
            await asyncio.get_running_loop().sock_sendall(sock, request)
            await reading.read(sock)
            answers[str(reading.status)] += 1
            case.record.note(f"client: {id_} {name}: {reading.status}, {reading.received} bytes")
        except (OSError, TimeoutError) as error:
            answers["cut off" if reading.status else "not answered"] += 1
            case.breaks(
                f"{id_} {name}: status {reading.status}, {reading.received} of {reading.length} bytes: {error!r}"
            )
        finally:
            sock.close()
        return reading.wait_ms / 1000.0

    async def use(number: int) -> None:
        await asyncio.sleep(INTERVAL_S * number / CLIENTS)
        turn = 0
        while time.monotonic() < end_s:
            turn += 1
            begun_s = time.monotonic()
            away_s = await ask_once(f"{number:04x}{turn:012x}")
            await asyncio.sleep(max(begun_s + INTERVAL_S - time.monotonic(), away_s, 0.0))

    async def watch() -> None:
        nonlocal most_mb
        while True:
            pages = int(Path(f"/proc/{doorman.process.pid}/statm").read_text().split()[1])
            most_mb = max(most_mb, pages * PAGE_BYTES / (1 << 20))
            await asyncio.sleep(0.05)

    watching = asyncio.create_task(watch())
    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    watching.cancel()
    doorman.send(signal.SIGUSR1)  # prints its counters
    await asyncio.sleep(0.3)
    case.record.note(f"answers: {dict(answers)}; most resident memory {most_mb:.1f} MB of {MEMORY_MB}")
    if not answers["200"]:
        raise RuntimeError("the doorman served nothing: the case shows nothing")


if __name__ == "__main__":
    main(FOLDER, run)
