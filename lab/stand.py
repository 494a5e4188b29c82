"""Fake backends, change log and clients, all on loopback: for the tests and for the lab."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from beechslip.clock import ManualClock
from beechslip.config import Address
from beechslip.core.engine import Engine
from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.platform.backends import BackendClient
from beechslip.platform.front import HttpFront
from beechslip.routing import Router
from beechslip.routing.wire.settings import read_settings
from lab.ports import free_port as free_port  # for the tests

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "myZone": "edge-1",
    "dcs": ["north", "edge-1"],
    "round": 0.002,
    "models": ["std-box", "parent", "origin"],
    "discovery": "pushed",
    "weights": "off",
    "caps": {
        "cancel": True,
        "dialTimeout": 0.4,
        "idleClose": 30.0,
        "maxAttempts": 8,
        "maxRetryAfter": 2.0,
        "mostHeld": 100,
        "probes": True,
        "retryAfter": True,
        "secondCopies": False,
    },
    "classes": [
        {
            "name": "waveform",
            "onTime": 0.4,
            "aimStretch": 2.0,
            "credit": 2.0,
            "effect": "repeatable",
            "giveUp": 6.0,
            "group": "all",
            "lateWorth": 0.1,
            "window": 5.0,
        },
        {
            "name": "plot",
            "onTime": 0.4,
            "credit": 1.0,
            "effect": "repeatable",
            "giveUp": 2.5,
            "group": "all",
            "lateWorth": 0.2,
            "window": 5.0,
        },
        {
            "name": "pick-submit",
            "onTime": 0.8,
            "credit": 3.0,
            "effect": "by_key",
            "giveUp": 3.0,
            "group": "all",
            "lateWorth": 0.0,
            "window": 6.0,
        },
    ],
    "loadReport": {"columns": ["cpu", "active", "x1"], "how": "inline"},
    "safety": {
        "answerSlack": 0.008,
        "coldShare": 0.18,
        "drainGrace": 0.5,
        "fall": 3.0,
        "fallMultiple": 2.5,
        "warmWithin": 16.0,
    },
    "specifics": {
        "attachedTo": [0, 0],
        "clientKbPerS": 6400.0,
        "goesThrough": [False, False, True],
        "goneEverywhere": 6.0,
        "heedWithin": 1.0,
        "instancesByZone": [0, 1],
        "maxAge": [0.0, 12.0, 0.0],
        "parentBreaksAt": 2.0,
        "parentKind": 1,
        "parentStartsAt": 0.081,
        "passThroughOk": True,
        "sharesFills": True,
        "siblings": "any",
        "sourceKind": 2,
        "staleFor": [0.0, 0.0, 0.0],
        "tells": "hit",
        "upperCold": 22.0,
    },
}
COPY = b"X-Digest: 4be0\r\nX-Stamp: 1764576000000\r\n"
TEST_LIMIT_S = 20
OK = (
    b"HTTP/1.1 200 OK\r\n" + COPY + b"X-Result: local\r\nX-Stats: inflight:7;util:0.61\r\n"
    b"Content-Length: 5\r\n\r\nwaves"
)
HANG, RESET = b"", b"RST"


def run(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test on a loop of its own; one that hangs fails."""

    @functools.wraps(test)
    def call(**given: Any) -> None:
        asyncio.run(asyncio.wait_for(test(**given), TEST_LIMIT_S))

    return call


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds that other tasks bring about; the limit of :func:`run` ends a vain wait."""
    while not condition():
        await asyncio.sleep(0.001)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message: its first line, its fields, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if line)
    return head[0], fields, await reader.readexactly(int(fields.get("Content-Length", 0)))


class StandBackend:
    """A backend that records its requests and answers by its script: one entry a request, the last for all others."""

    def __init__(self, name: str, *script: bytes, kind: str = "std-box", zone: str = "edge-1") -> None:
        """Answer with ``script``, or always with :data:`OK`; ``address`` is set once it listens."""
        self.name = name
        self.kind = kind
        self.zone = zone
        self.script = list(script or (OK,))
        self.seen: list[tuple[str, dict[str, str], bytes]] = []
        self.closed = 0
        self.connections = 0
        self.address = ""
        self.log: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends, or is reset by the script."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                self.log.append(f"asked {self.name}")
                answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if answer == RESET:
                    writer.transport.abort()
                    break
                writer.write(answer)
        self.closed += 1
        self.log.append(f"closed {self.name}")
        writer.close()

    def entry(self, state: str = "ready", started_ms: float = 0.0) -> Backend:
        """This backend as the endpoint list has it."""
        return Backend(self.name, self.address, self.kind, self.zone, state, started_ms=started_ms)


@contextlib.asynccontextmanager
async def listening(*backends: StandBackend) -> AsyncIterator[None]:
    """Serve all backends on ports of their own until the block ends."""
    log: list[str] = []
    servers = []
    for backend in backends:
        server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
        backend.address, backend.log = f"127.0.0.1:{server.sockets[0].getsockname()[1]}", log
        servers.append(server)
    try:
        yield
    finally:
        for server in servers:
            server.close()


class Stand:
    """The proxy's parts on a clock that tests set, with fake backends."""

    def __init__(self, *backends: StandBackend, module: Any = None, sockets: int = 90) -> None:
        """Run ``module`` as the routing module, or a :class:`Router` with the default settings."""
        self.sockets = sockets
        self.backends = backends
        self.settings = read_settings(SETTINGS)
        self.clock = ManualClock()
        self.counters = Counters()
        self.module: Any = module or Router(self.settings, 1)
        self.port = 0

    async def __aenter__(self) -> Stand:
        """Start the backends, the engine and the HTTP front."""
        self._servers = listening(*self.backends)
        await self._servers.__aenter__()
        self.client = BackendClient(self.settings, self.sockets, self.clock, self.counters)
        self.engine = Engine(self.settings, self.module, self.clock, self.client, self.counters)
        self.engine.handle_message(EndpointListUpdate("all", tuple(backend.entry() for backend in self.backends)))
        self._task = asyncio.create_task(self.engine.run())
        self.front = HttpFront(self.settings, self.clock, self.client, self.engine.post, self.counters, self.sockets)
        await self.front.start(Address("127.0.0.1", 0))
        self.port = self.front.port
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all that was started."""
        await self.front.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.client.close()
        await self._servers.__aexit__(None, None, None)

    def home(self, name: str = "7f3a") -> tuple[StandBackend, ...]:
        """The backends in the module's own order for an object, which comes from hashes alone."""
        from beechslip.routing.placement import hash_to_unit, stable_hash

        key = stable_hash(f"{name}\n0")
        boxes = [d for d in self.backends if d.kind == "std-box"]
        return tuple(sorted(boxes, key=lambda d: hash_to_unit(key, stable_hash(d.name)), reverse=True))

    def ask(self, **how: Any) -> asyncio.Task[Answer]:
        """Begin a request; see :func:`fetch` for its arguments."""
        return asyncio.create_task(fetch(self.port, **how))


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


class StandLog:
    """A change log that sends what the test publishes, with a comment now and then."""

    def __init__(self) -> None:
        """Begin with no events; ``address`` is the test's to set."""
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.resumed_from: list[str] = []  # the Last-Event-ID of each request for it
        self.address = ""
        self.down = False
        self.rejected = 0

    def stop(self) -> None:
        """End the streams, and every one that comes, until it resumes."""
        self.down = True

    def resume(self) -> None:
        """Accept clients again."""
        self.down = False

    def publish(self, seq: int, **event: Any) -> None:
        """Queue an event with the number ``seq``."""
        self.queue.put_nowait(b"id: %d\ndata: %s\n\n" % (seq, json.dumps({"seq": seq, **event}).encode()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send one client the queued events until it goes or the log is stopped."""
        # A stream server reports a cancelled handler as an error; suppressing the cancellation avoids that.
        if self.down:
            self.rejected += 1
            writer.transport.abort()
            return
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.resumed_from.append((await read_message(reader))[1]["Last-Event-ID"])
            writer.write(HEAD)
            while not writer.is_closing():
                if self.down:
                    writer.transport.abort()
                    return
                try:
                    writer.write(await asyncio.wait_for(self.queue.get(), 0.2))
                except TimeoutError:
                    writer.write(b":\n\n")
                await writer.drain()


def line(backend: StandBackend, status: str = "active") -> dict[str, Any]:
    """A backend's entry in a change log event, as the wire has it."""
    return {
        "name": backend.name,
        "address": backend.address,
        "zone": backend.zone,
        "type": backend.kind,
        "group": 0,
        "status": status,
        "weight": 1,
        "since_ms": 0,
    }


_request_ids = itertools.count(1)

Answer = tuple[int, dict[str, str], bytes]


async def fetch(
    port: int,
    target: str = "/rpc/waveform/7f3a?slice=0",
    method: str = "GET",
    body: bytes = b"",
    wait_ms: int = 6000,
    raw: bytes | None = None,
    **fields: str,
) -> Answer:
    """One request on a connection of its own; ``raw`` is sent as it is."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request_fields = {
        "Host": "service.internal",
        "Req-Id": f"{next(_request_ids):016x}",
        "Req-Wait-Ms": str(wait_ms),
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    if body:
        request_fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in request_fields.items() if value)
    try:
        writer.write(raw if raw is not None else f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        status_line, response_fields, data = await read_message(reader)
        return int(status_line.split()[1]), response_fields, data
    finally:
        writer.transport.abort()
