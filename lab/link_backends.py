"""Stand-in caches and parents whose link out is shared by their transfers, as real bytes share a line.

A transfer's work is its time at full pace. A link carries ``capacity`` transfers at full pace; more of them share it.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from lab.stand import COPY, StandBackend, read_message

STEP_S = 0.005  # how often the transfers on a link move on
MISS = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


@dataclass(eq=False)
class Transfer:
    """One transfer on a link: the work left in seconds at full pace, and an event that ends it."""

    left_s: float
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Link:
    """The link out of a cache or parent."""

    def __init__(self, capacity: float) -> None:
        """``capacity``: transfers that it carries at full pace."""
        self.capacity = capacity
        self.transfers: list[Transfer] = []

    async def send(self, work_s: float) -> None:
        """Wait until a transfer of so much work is through; a cancelled one leaves the link at once."""
        transfer = Transfer(work_s)
        self.transfers.append(transfer)
        try:
            await transfer.done.wait()
        finally:
            self.transfers.remove(transfer)

    @property
    def busy(self) -> float:
        """Fraction of the link in use."""
        return min(len(self.transfers) / self.capacity, 1.0)

    async def run(self) -> None:
        """Move the transfers on by the time that has passed, until cancelled."""
        loop = asyncio.get_running_loop()
        before = loop.time()
        while True:
            await asyncio.sleep(STEP_S)
            now = loop.time()
            pace = min(1.0, self.capacity / len(self.transfers)) if self.transfers else 0.0
            for transfer in self.transfers:
                transfer.left_s -= (now - before) * pace
                if transfer.left_s <= 0.0:
                    transfer.done.set()
            before = now


class LinkBackend(StandBackend):
    """A cache or parent that sends over its link, and fills what it lacks over that of its source.

    Attributes:
        work_s: by object, its transfer time at full pace; shared by all backends of a play.
        sources: parents and origin by name.
        reports: whether responses carry a load report.
    """

    def __init__(self, name: str, capacity: float, kind: str = "std-box", zone: str = "edge-1") -> None:
        """A backend with nothing cached; a parent or origin holds everything."""
        super().__init__(name, kind=kind, zone=zone)
        self.link = Link(capacity)
        self.cached: set[str] = set()
        self.work_s: dict[str, float] = {}
        self.sources: dict[str, LinkBackend] = {}
        self.reports = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, fields, _ = await read_message(reader)
                closed = asyncio.ensure_future(reader.read(1))
                answer = asyncio.ensure_future(self._answer(first, fields))
                await asyncio.wait((closed, answer), return_when=asyncio.FIRST_COMPLETED)
                if closed.done() or not answer.done():
                    answer.cancel()
                    break
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await closed
                writer.write(answer.result())
        writer.close()

    async def _answer(self, first: str, fields: dict[str, str]) -> bytes:
        target = first.split()[1]
        if "X-Trace" not in fields:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        name = target.split("/")[3]
        work_s = self.work_s[name]
        hit = name in self.cached or self.kind != "std-box"
        source = self.sources.get(fields.get("X-Next-Hop", ""))
        if not hit and source is None:
            return MISS
        if hit or source is None:
            await self.link.send(work_s)
        else:
            await asyncio.gather(self.link.send(work_s), source.link.send(work_s))
            self.cached.add(name)
        report = f"X-Stats: inflight:{len(self.link.transfers)};util:{self.link.busy:.3f}\r\n" if self.reports else ""
        body = target.encode()
        head = f"X-Result: {'local' if hit else 'pulled'}\r\n{report}Content-Length: {len(body)}\r\n\r\n"
        return b"HTTP/1.1 200 OK\r\n" + COPY + head.encode() + body
