"""Fake backends, a fake change log and clients on loopback, for the tests and for the test bench."""

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
from beechslip.descriptor_budget import DescriptorBudget
from beechslip.memory_budget import MemoryBudget
from beechslip.platform.backends import BackendClient
from beechslip.platform.front import HttpFront
from beechslip.routing import Router
from beechslip.routing.wire.settings import read_settings
from lab.ports import free_port as free_port  # re-exported for the tests
from lab.stream_server import serving

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
# Header fields that identify a copy of an object.
COPY_FIELDS = b"X-Digest: 4be0\r\nX-Stamp: 1764576000000\r\n"
TEST_TIMEOUT_S = 20
OK = (
    b"HTTP/1.1 200 OK\r\n" + COPY_FIELDS + b"X-Result: local\r\nX-Stats: inflight:7;util:0.61\r\n"
    b"Content-Length: 5\r\n\r\nwaves"
)
# Script entries: HANG sends no response, RESET aborts the connection.
HANG, RESET = b"", b"RST"


def run(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test in its own event loop; it fails if it takes longer than ``TEST_TIMEOUT_S``."""

    @functools.wraps(test)
    def call(**arguments: Any) -> None:
        asyncio.run(asyncio.wait_for(test(**arguments), TEST_TIMEOUT_S))

    return call


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, as other tasks run. The time limit of :func:`run` ends a wait without success."""
    while not condition():
        await asyncio.sleep(0.001)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message, and return its first line, header fields and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if line)
    return head[0], fields, await reader.readexactly(int(fields.get("Content-Length", 0)))


class FakeBackend:
    """A backend that records its requests and responds by a script.

    The script has one entry for each request; the last entry is used for all further requests.
    """

    def __init__(self, name: str, *script: bytes, kind: str = "std-box", zone: str = "edge-1") -> None:
        """Respond with ``script``, or always with :data:`OK`; ``address`` is set once the backend listens."""
        self.name = name
        self.kind = kind
        self.zone = zone
        self.script = list(script or (OK,))
        self.seen: list[tuple[str, dict[str, str], bytes]] = []  # the received requests
        self.closed = 0  # number of ended connections
        self.connections = 0
        self.address = ""
        self.log: list[str] = []  # requests and ends of connections; shared by all backends of :func:`listening`

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until it ends or the script resets it."""
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
        """Return the entry of this backend in the endpoint list."""
        return Backend(self.name, self.address, self.kind, self.zone, state, started_ms=started_ms)


@contextlib.asynccontextmanager
async def listening(*backends: FakeBackend) -> AsyncIterator[None]:
    """Serve each backend on its own port until the block ends."""
    log: list[str] = []
    async with contextlib.AsyncExitStack() as servers:
        for backend in backends:
            server = await servers.enter_async_context(serving(backend.serve))
            backend.address, backend.log = server.address, log
        yield


class InProcessProxy:
    """A proxy in this process, with fake backends and a clock that the test sets."""

    def __init__(
        self, *backends: FakeBackend, module: Any = None, sockets: int = 90, memory: MemoryBudget | None = None
    ) -> None:
        """Use ``module`` as the routing module; by default a :class:`Router` with the default settings.

        Without ``memory`` requests and responses are not limited in sum.
        """
        self.memory = memory
        self.descriptors = DescriptorBudget(sockets)
        self.backends = backends
        self.settings = read_settings(SETTINGS)
        self.clock = ManualClock()
        self.counters = Counters()
        self.module: Any = module or Router(self.settings, 1)
        self.port = 0

    async def __aenter__(self) -> InProcessProxy:
        """Start the backends, the engine and the HTTP front."""
        self._servers = listening(*self.backends)
        await self._servers.__aenter__()
        self.client = BackendClient(self.settings, self.descriptors, self.clock, self.counters, self.memory)
        self.engine = Engine(self.settings, self.module, self.clock, self.client, self.counters)
        self.engine.handle_message(EndpointListUpdate("all", tuple(backend.entry() for backend in self.backends)))
        self._task = asyncio.create_task(self.engine.run())
        self.front = HttpFront(
            self.settings, self.clock, self.client, self.engine.post, self.counters, self.descriptors, self.memory
        )
        await self.front.start(Address("127.0.0.1", 0))
        self.port = self.front.port
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything that was started."""
        await self.front.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.client.close()
        await self._servers.__aexit__(None, None, None)

    def ranked_caches(self, name: str = "7f3a") -> tuple[FakeBackend, ...]:
        """Return the caches in the routing module's order for an object, which depends on hashes alone."""
        from beechslip.routing.placement import hash_to_unit, stable_hash

        key = stable_hash(f"{name}\n0")
        caches = [backend for backend in self.backends if backend.kind == "std-box"]
        return tuple(sorted(caches, key=lambda backend: hash_to_unit(key, stable_hash(backend.name)), reverse=True))

    def ask(self, **arguments: Any) -> asyncio.Task[HttpResponse]:
        """Start a request in a task; the arguments are those of :func:`fetch`."""
        return asyncio.create_task(fetch(self.port, **arguments))


EVENT_STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


class FakeChangeLog:
    """A change log that sends the events that a test publishes, and a comment when there is none for a while."""

    def __init__(self) -> None:
        """Create a log without events; the test sets ``address``."""
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.resumed_from: list[str] = []  # the Last-Event-ID of each request
        self.address = ""
        self.is_down = False
        self.rejected = 0  # connections aborted while the log was stopped

    def stop(self) -> None:
        """Abort the open streams, and every new one until :meth:`resume` is called."""
        self.is_down = True

    def resume(self) -> None:
        """Accept clients again."""
        self.is_down = False

    def publish(self, seq: int, **event: Any) -> None:
        """Queue an event with the sequence number ``seq``."""
        self.queue.put_nowait(b"id: %d\ndata: %s\n\n" % (seq, json.dumps({"seq": seq, **event}).encode()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the queued events to one client until it disconnects or the log is stopped."""
        # A stream server reports a cancelled handler as an error, so the cancellation is suppressed below.
        if self.is_down:
            self.rejected += 1
            writer.transport.abort()
            return
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.resumed_from.append((await read_message(reader))[1]["Last-Event-ID"])
            writer.write(EVENT_STREAM_HEAD)
            while not writer.is_closing():
                if self.is_down:
                    writer.transport.abort()
                    return
                try:
                    writer.write(await asyncio.wait_for(self.queue.get(), 0.2))
                except TimeoutError:
                    writer.write(b":\n\n")
                await writer.drain()


def endpoint_entry(backend: FakeBackend, status: str = "active") -> dict[str, Any]:
    """Return the entry of a backend in a change log event, in wire format."""
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

HttpResponse = tuple[int, dict[str, str], bytes]


async def fetch(
    port: int,
    target: str = "/rpc/waveform/7f3a?slice=0",
    method: str = "GET",
    body: bytes = b"",
    wait_ms: int = 6000,
    raw: bytes | None = None,
    **fields: str,
) -> HttpResponse:
    """Send one request on its own connection, and return status, fields and body; ``raw`` is sent unchanged."""
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
