"""Fake caches and parents whose outgoing link is shared by their transfers.

The work of a transfer is its duration at the full rate, in seconds. A link carries ``capacity`` transfers at the full
rate; if there are more, they share it equally.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from lab.stand import COPY_FIELDS, FakeBackend, read_message

STEP_INTERVAL_S = 0.005  # how often the progress of the transfers on a link is updated
MISS_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


@dataclass(eq=False)
class Transfer:
    """A transfer on a link: the remaining work in seconds at the full rate, and an event for its completion."""

    remaining_s: float
    done: asyncio.Event = field(default_factory=asyncio.Event)


class SharedLink:
    """The outgoing link of a cache or parent."""

    def __init__(self, capacity: float) -> None:
        """Create a link that carries ``capacity`` transfers at the full rate."""
        self.capacity = capacity
        self.transfers: list[Transfer] = []

    async def send(self, work_s: float) -> None:
        """Wait until a transfer of this much work has completed; a cancelled transfer leaves the link at once."""
        transfer = Transfer(work_s)
        self.transfers.append(transfer)
        try:
            await transfer.done.wait()
        finally:
            self.transfers.remove(transfer)

    @property
    def utilization(self) -> float:
        """The fraction of the link that is in use."""
        return min(len(self.transfers) / self.capacity, 1.0)

    async def run(self) -> None:
        """Advance the transfers by the elapsed time, until cancelled."""
        loop = asyncio.get_running_loop()
        last_step_s = loop.time()
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            now_s = loop.time()
            rate = min(1.0, self.capacity / len(self.transfers)) if self.transfers else 0.0
            for transfer in self.transfers:
                transfer.remaining_s -= (now_s - last_step_s) * rate
                if transfer.remaining_s <= 0.0:
                    transfer.done.set()
            last_step_s = now_s


class LinkBackend(FakeBackend):
    """A cache or parent that sends over its link, and fills cache misses over the link of its source.

    Attributes:
        work_s: transfer time by object at the full rate, in seconds; shared by all backends of a run.
        sources: parents and the origin by name.
        reports: true if responses carry a load report.
    """

    def __init__(self, name: str, capacity: float, kind: str = "std-box", zone: str = "edge-1") -> None:
        """Create a backend with an empty cache; a parent or origin holds every object."""
        super().__init__(name, kind=kind, zone=zone)
        self.link = SharedLink(capacity)
        self.cached: set[str] = set()
        self.work_s: dict[str, float] = {}
        self.sources: dict[str, LinkBackend] = {}
        self.reports = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until it ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, fields, _ = await read_message(reader)
                closed = asyncio.ensure_future(reader.read(1))
                answer = asyncio.ensure_future(self._answer(request_line, fields))
                await asyncio.wait((closed, answer), return_when=asyncio.FIRST_COMPLETED)
                if closed.done() or not answer.done():
                    answer.cancel()
                    break
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await closed
                writer.write(answer.result())
        writer.close()

    async def _answer(self, request_line: str, fields: dict[str, str]) -> bytes:
        target = request_line.split()[1]
        if "X-Trace" not in fields:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        name = target.split("/")[3]
        work_s = self.work_s[name]
        is_cached = name in self.cached or self.kind != "std-box"
        source = self.sources.get(fields.get("X-Next-Hop", ""))
        if not is_cached and source is None:
            return MISS_RESPONSE
        if is_cached or source is None:
            await self.link.send(work_s)
        else:
            await asyncio.gather(self.link.send(work_s), source.link.send(work_s))
            self.cached.add(name)
        report = (
            f"X-Stats: inflight:{len(self.link.transfers)};util:{self.link.utilization:.3f}\r\n"
            if self.reports
            else ""
        )
        body = target.encode()
        head = f"X-Result: {'local' if is_cached else 'pulled'}\r\n{report}Content-Length: {len(body)}\r\n\r\n"
        return b"HTTP/1.1 200 OK\r\n" + COPY_FIELDS + head.encode() + body
