"""Stand-ins for the platform, depots and clients, and a runner for the project's programs. Standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 12.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

_taken_ports: set[int] = set()


class CannotRunError(Exception):
    """The case could not run, for example because a program did not become ready."""


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
        if port not in _taken_ports:
            _taken_ports.add(port)
            return f"{HOST}:{port}"


def unix_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000.0


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in ``folder``."""
        self._file = (folder / "record.txt").open("w")
        self._start = time.time()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{(time.time() - self._start) * 1000.0:9.1f} {text}\n")
        self._file.flush()


# Settings ---------------------------------------------------------------------------------------------


def keyed_class(name: str, give_up: float, window: float) -> dict[str, Any]:
    """Return a class of writes that carry a key."""
    return {
        "name": name,
        "onTime": 0.7,
        "credit": 3.0,
        "effect": "by_key",
        "giveUp": give_up,
        "group": "all",
        "lateWorth": 0.1,
        "stream": False,
        "window": window,
    }


def reading_class(name: str, give_up: float) -> dict[str, Any]:
    """Return a class of reads that may be repeated."""
    return {
        "name": name,
        "onTime": 0.4,
        "aimStretch": 2.0,
        "credit": 2.0,
        "effect": "repeatable",
        "giveUp": give_up,
        "group": "all",
        "lateWorth": 0.15,
        "stream": False,
        "window": 5.0,
    }


def settings_for(classes: list[dict[str, Any]], proxies: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment: one station, one hub, and figures as on the wire page."""
    keyed = [entry["effect"] == "by_key" for entry in classes]
    return {
        "balancers": proxies,
        "caps": {
            "cancel": True,
            "dialTimeout": 0.4,
            "idleClose": 30.0,
            "maxAttempts": 8,
            "maxRetryAfter": 2.0,
            "mostHeld": 20000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
        },
        "classes": classes,
        "dcs": ["north", "edge-1"],
        "discovery": "pushed",
        "family": "edge",
        "loadReport": {"columns": ["cpu", "active", "x1"], "how": "inline"},
        "me": 0,
        "models": ["std-box", "parent", "origin"],
        "myZone": "edge-1",
        "round": 0.002,
        "safety": {
            "answerSlack": 0.008,
            "askEvery": 10.0,
            "coldShare": 0.18,
            "drainGrace": 0.5,
            "fall": 3.0,
            "fallMultiple": 2.5,
            "warmWithin": 16.0,
        },
        "specifics": {
            "agedWorth": [0.7] * len(classes),
            "attachedTo": [0, 0],
            "clientKbPerS": 6400.0,
            "goesThrough": keyed,
            "goneEverywhere": 6.0,
            "heedWithin": 1.0,
            "instancesByZone": [0, proxies],
            "maxAge": [0.0] * len(classes),
            "originFall": 3.0,
            "originLimitFactor": 0.0,
            "parentBreaksAt": 2.0,
            "parentKind": 1,
            "parentStartsAt": 0.081,
            "passThroughOk": True,
            "sharesFills": True,
            "siblings": "any",
            "sourceKind": 2,
            "staleFor": [0.0] * len(classes),
            "tells": "hit",
            "upperCold": 22.0,
        },
        "stages": ["feed-cache"],
        "tier": 0,
        "weights": "off",
    }


# Depots -----------------------------------------------------------------------------------------------


class Head:
    """The head of an HTTP message, and its body."""

    def __init__(self, first_line: str, fields: dict[str, str], body: bytes) -> None:
        """Hold a message; the names in ``fields`` are in lower case."""
        self.first_line = first_line
        self.fields = fields
        self.body = body

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Head:
    """Read one HTTP/1.1 message that has a Content-Length or no body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict[str, str]()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    length = 0 if " 304 " in lines[0] else int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Head(lines[0], fields, body)


def message_bytes(first_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an HTTP/1.1 message."""
    fields = {**fields, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first_line}\r\n{head}\r\n".encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


DepotHandler = Callable[["Depot", Head, asyncio.StreamWriter], Awaitable[None]]


class Depot:
    """A depot, a parent or the origin: answers probes by itself, and everything else by its handler."""

    def __init__(self, name: str, kind: str, zone: str, handler: DepotHandler) -> None:
        """Create a depot that does not listen yet."""
        self.name = name
        self.kind = kind
        self.zone = zone
        self.address = free_address()
        self.status = "active"
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the depot's address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def entry(self) -> dict[str, Any]:
        """Return the depot's entry in the change log."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": 0,
            "status": self.status,
            "weight": 4,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                request = await read_message(reader)
                if request.target in ("/load", "/healthz"):
                    stats = {"X-Stats": "cpu:0.1;active:1;x1:0.1"}
                    writer.write(message_bytes("HTTP/1.1 200 OK", stats))
                else:
                    await self._handler(self, request, writer)
                await writer.drain()
        writer.close()


def copy_response(body: bytes, tag: str, stamp_ms: float, note: str = "local") -> bytes:
    """Return a depot's 200 with a copy that the origin gave out at ``stamp_ms``."""
    fields = {"X-Digest": tag, "X-Stamp": str(int(stamp_ms)), "X-Result": note, "X-Stats": "cpu:0.1;active:1;x1:0.1"}
    return message_bytes("HTTP/1.1 200 OK", fields, body)


# The change log ---------------------------------------------------------------------------------------


class ChangeLog:
    """The change log: numbered events, a stream for each doorman, a comment each second."""

    def __init__(self, record: Record, depots: list[Depot]) -> None:
        """Create a log whose first event is the whole list of ``depots``."""
        self.address = free_address()
        self.wait_s = 0.0  # how long a call waits for its turn before it is answered
        self._record = record
        self._is_told = True  # False once the log has moved: then it tells nothing more here
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        entries = [depot.entry() for depot in depots]
        self.events = [{"seq": 1, "fleet": {"index": 1, "snapshot": True, "endpoints": entries}}]
        self._changed = asyncio.Condition()

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as the configuration carries them."""
        return {"seq": len(self.events), "results": list(self.events)}

    async def start(self) -> None:
        """Listen at the log's address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def move(self) -> ChangeLog:
        """Start the log at another address, with the same events; this one accepts and tells nothing more."""
        moved = ChangeLog(self._record, [])
        moved.events = list(self.events)
        moved.wait_s = self.wait_s
        self._is_told = False
        if self._server is not None:
            self._server.close()
        await moved.start()
        return moved

    def close(self) -> None:
        """Close the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def add(self, event: dict[str, Any]) -> None:
        """Add an event, which is told from now on."""
        self.events.append({"seq": len(self.events) + 1, **event})
        self._record(f"log     event {len(self.events)}: {json.dumps(event)}")
        async with self._changed:
            self._changed.notify_all()

    async def change(self, depot: Depot, status: str) -> None:
        """Add the event that a depot's status has changed."""
        depot.status = status
        index = len(self.events) + 1
        await self.add({"fleet": {"index": index, "snapshot": False, "endpoints": [depot.entry()]}})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = await read_message(reader)
            sent = int(request.fields.get("last-event-id", "0"))
            self._record(f"log     {self.address} is asked for the events after {sent}")
            self._writers.add(writer)
            if self.wait_s:
                await asyncio.sleep(self.wait_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while not writer.is_closing():
                if self._is_told:
                    for event in self.events[sent:]:
                        writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                    sent = len(self.events)
                    writer.write(b": alive\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with self._changed:
                        await asyncio.wait_for(self._changed.wait(), 1.0)
        writer.close()


# Clients ----------------------------------------------------------------------------------------------


async def ask(address: str, first_line: str, fields: dict[str, str], body: bytes, wait_s: float) -> Head | None:
    """Send one request on a new connection; return the answer, or ``None`` if none came while the client waited.

    Raises ConnectionError if the connection ended without a whole answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        message = message_bytes(first_line, {"Host": "service.internal", **fields}, body)
        if first_line.startswith("GET"):
            message = message.replace(b"Content-Length: 0\r\n", b"")
        writer.write(message)
        return await asyncio.wait_for(read_message(reader), wait_s)
    except TimeoutError:
        return None
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection ended without a whole answer") from None
    finally:
        writer.transport.abort()


async def is_ready(address: str) -> bool:
    """True if a doorman answers ``GET /health`` with 200."""
    try:
        answer = await ask(address, "GET /health HTTP/1.1", {}, b"", 1.0)
    except OSError:
        return False
    return answer is not None and answer.status == 200


# The project's programs -------------------------------------------------------------------------------


class Programs:
    """Starts the project's programs as separate processes, and ends all of them."""

    def __init__(self, record: Record) -> None:
        """Create a temporary folder for their files."""
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.run_command = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])

    def write_config(self, name: str, listen: str, ops: str, log: ChangeLog, settings: dict[str, Any]) -> Path:
        """Write a doorman's configuration file and return its path."""
        path = self.folder / f"{name}.json"
        contents = {
            "name": name,
            "listen": listen,
            "ops": ops,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": log.address,
            "known": log.known(),
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "settings": settings,
        }
        path.write_text(json.dumps(contents))
        return path

    def start(self, name: str, arguments: str = "", **variables: str) -> subprocess.Popen[bytes]:
        """Start the deploy file's ``run`` command, with ``arguments`` for another program of the project."""
        environ = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "BEECHSLIP_"))}
        environ |= variables | {"TMPDIR": str(self.folder)}
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f"{self.run_command} {arguments}".strip()],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        self._record(f"program {name} started, process {process.pid}")
        return process

    def record_log(self, name: str) -> None:
        """Put the lines that a program has written into the record, each text once."""
        seen = set[str]()
        for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
            text = line[24:]  # without its date
            if text not in seen:
                self._record(f"{name:<7} {line}")
            seen.add(text)

    def end_all(self) -> None:
        """End all processes that were started, and delete the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + END_TIMEOUT_S
        for process in self._processes:
            try:
                process.wait(max(deadline - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()


class Deployment:
    """One station: three depots, a parent, the origin, the change log, and a doorman's addresses and file."""

    def __init__(
        self,
        record: Record,
        programs: Programs,
        handler: DepotHandler,
        overrides: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Create the parts; the depots answer by ``handler``, and ``overrides`` replaces values of the settings."""
        self._overrides = overrides or {}
        self.record = record
        self.programs = programs
        self.listen = free_address()
        self.ops = free_address()
        self.depots = [Depot(f"s-{number:08x}", "std-box", "edge-1", handler) for number in (1, 2, 3)]
        self.depots.append(Depot("s-00000010", "parent", "north", handler))
        self.depots.append(Depot("s-00000020", "origin", "north", handler))
        self.log = ChangeLog(record, self.depots)

    async def start(self, classes: list[dict[str, Any]]) -> Path:
        """Start the stand-ins; return the path of the doorman's configuration file."""
        for part in (*self.depots, self.log):
            await part.start()
        return self.write_config(classes)

    def write_config(self, classes: list[dict[str, Any]]) -> Path:
        """Write the doorman's configuration file, and return its path."""
        settings = settings_for(classes)
        for table, values in self._overrides.items():
            settings[table] = {**settings[table], **values}
        return self.programs.write_config("n1", self.listen, self.ops, self.log, settings)

    async def doorman_ready(self) -> None:
        """Wait until the doorman takes clients. Raises CannotRunError if it does not in time."""
        await wait_until(lambda: is_ready(self.listen), "the doorman is ready")


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until the condition holds. Raises CannotRunError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"not in time: {what}")
        await asyncio.sleep(0.1)


@contextlib.contextmanager
def _programs(record: Record) -> Iterator[Programs]:
    programs = Programs(record)
    try:
        yield programs
    finally:
        programs.end_all()


Call = Callable[[], Awaitable[None]]
Case = Callable[[Record, Programs, bool], Awaitable[list[str]]]


def run_case(folder: Path, case: Case) -> int:
    """Run a case in ``folder`` and return the exit code. ``case`` returns a line for each breach of the rule."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case    {folder.name}, {'with' if has_trouble else 'without'} the disruption")
    try:
        with _programs(record) as programs:
            breaches = asyncio.run(asyncio.wait_for(case(record, programs, has_trouble), 100.0))
    except Exception as error:  # whatever goes wrong in the case itself says nothing about the rule
        record(f"result  could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    for breach in breaches:
        record(f"BREACH  {breach}")
    record(f"result  {'the rule was broken' if breaches else 'the rule held'}")
    print("\n".join(breaches) or "the rule held")
    return BROKEN if breaches else HELD
