"""Fake backends that take time for each request and record what they receive, by the test bench's clock."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

from lab.processes import steady_ms
from lab.stand import COPY_FIELDS, FakeBackend, read_message

ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class ReceivedRequest:
    """One request as the backend received it.

    Times are of the test bench's clock, in ms; ``finished_ms`` is when the backend stopped working on the request
    (0: not yet).
    """

    time_ms: float
    trace_id: str
    source: str  # the backend that fills a cache miss; "": none
    is_probe: bool
    finished_ms: float = 0.0
    is_served: bool = False
    target: str = ""


class BusyBackend(FakeBackend):
    """A backend that works on each request for a random time.

    The time is between half of ``work_ms`` and twice of it. The work ends early when the deadline of the request
    (X-Patience) has passed or the client closes the connection. A cache fills a miss from the source that the request
    names, if it is in :attr:`sources`: the source's time is added, and the response is an error if the source can't
    be reached.

    Values of ``fault``: "" (none); "fail" (responds with an error at once); "slow" (takes ten times as long); "dead"
    (breaks every connection); "cut" (reaches no source, neither hubs nor the origin).
    """

    def __init__(
        self, name: str, kind: str = "std-box", zone: str = "edge-1", work_ms: float = 20.0, idle_s: float = 30.0
    ) -> None:
        """Serve as ``name``; ``idle_s`` is how long a connection may be idle."""
        super().__init__(name, kind=kind, zone=zone)
        self.work_ms, self.idle_s, self.fault = work_ms, idle_s, ""
        self.sources: dict[str, BusyBackend] = {}
        self.started_ms = 0.0  # by the wall clock, as in the change log; 0: long ago
        self.received_requests: list[ReceivedRequest] = []
        self.connection_spans: list[tuple[float, float]] = []  # of each ended connection: opened and closed at, ms
        self.writers: set[asyncio.StreamWriter] = set()
        self._rng = random.Random(name)

    def set_fault(self, fault: str) -> None:
        """Set the fault from now on; "dead" breaks the open connections at once."""
        self.fault = fault
        if fault == "dead":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until it ends."""
        opened_ms = steady_ms()
        if self.fault == "dead":
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError, TimeoutError, asyncio.CancelledError
            ):
                while True:
                    request_line, fields, _ = await asyncio.wait_for(read_message(reader), self.idle_s)
                    await self._answer(request_line, fields, reader, writer)
        finally:
            self.connection_spans.append((opened_ms, steady_ms()))
            self.writers.discard(writer)
            writer.close()

    def _draw_work_ms(self, source: BusyBackend | None) -> float:
        own = self.work_ms * self._rng.uniform(0.5, 2.0) * (10.0 if self.fault == "slow" else 1.0)
        return own + (source._draw_work_ms(None) if source is not None else 0.0)

    async def _answer(
        self, request_line: str, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_probe = request_line.split()[1] in ("/load", "/healthz")
        request = ReceivedRequest(steady_ms(), fields.get("X-Trace", ""), fields.get("X-Next-Hop", ""), is_probe)
        request.target = request_line.split()[1]
        self.received_requests.append(request)
        try:
            if is_probe:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return
            source = self.sources.get(request.source)
            if self.fault == "fail" or (
                source is not None and (self.fault == "cut" or source.fault in ("dead", "fail"))
            ):
                writer.write(ERROR_RESPONSE)
                return
            drawn_work_ms, patience_ms = self._draw_work_ms(source), float(fields.get("X-Patience", "1000"))
            # The client sends nothing while it waits, so data or the end of the stream here means that it has gone.
            client_closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait([client_closed], timeout=min(drawn_work_ms, patience_ms) / 1000.0)
            if done:
                raise ConnectionError
            client_closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await client_closed
            if drawn_work_ms > patience_ms:
                raise ConnectionError
            result = b"pulled" if request.source else b"local"
            writer.write(
                b"HTTP/1.1 200 OK\r\n" + COPY_FIELDS + b"X-Result: " + result + b"\r\nX-Stats: inflight:7;util:0.3"
                b"\r\nContent-Length: 16\r\n\r\n" + request.trace_id.encode().ljust(16)[:16]
            )
            request.is_served = True
        finally:
            request.finished_ms = steady_ms()
