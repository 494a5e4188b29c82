"""Stand-ins for the cases of the second review: depots, the change log, clients, and the start of the programs.

Only the standard library and what ``requirements.txt`` installs are used, so that a case runs after the build of the
deploy file. Everything listens on loopback addresses, at free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from lab.stand import SETTINGS  # noqa: E402

HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000.0


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


DESCRIPTOR = 7


def hold_listening_socket() -> socket.socket:
    """Return the clients' listening socket of a platform that holds it; it is descriptor 7 too.

    This comes before the event loop is made, which may take that descriptor for itself.
    """
    listener = socket.create_server((HOST, 0), backlog=512)
    os.dup2(listener.fileno(), DESCRIPTOR)
    return listener


class Record:
    """The file ``record.txt`` of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty file in ``folder``."""
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.time()

    def note(self, text: str) -> None:
        """Write a line, with the seconds since the start."""
        self._file.write(f"{time.time() - self._start:8.3f} {text}\n")


@dataclass
class Received:
    """A request as a server read it, with its fields by lower-case name, and when it was read."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    at_ms: float = field(default_factory=now_ms)


class BadMessageError(Exception):
    """A message that can't be read."""


async def read_request(reader: asyncio.StreamReader) -> Received:
    """Read one HTTP/1.1 request. Raises BadMessageError, or IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    words = head[0].split(" ")
    if len(words) != 3 or words[2] != "HTTP/1.1":
        raise BadMessageError(f"request line {head[0]!r}")
    fields = {}
    for line in head[1:]:
        if line:
            name, colon, value = line.partition(":")
            if not colon:
                raise BadMessageError(f"field line {line!r}")
            fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Received(words[0], words[1], fields, body)


def answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Return an HTTP/1.1 answer; in the names of ``fields`` an underscore stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass
class ServerConnection:
    """One connection at a depot."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    served: int = 0


class Depot:
    """A server of the list: a cache, a parent or the origin. It answers one request at a time on a connection."""

    def __init__(self, name: str, kind: str, zone: str, record: Record) -> None:
        """Create a depot that does not listen yet."""
        self.name, self.kind, self.zone, self.record = name, kind, zone, record
        self.port = 0
        self.received: list[Received] = []
        self._server: asyncio.Server | None = None
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, status: str = "active", since_ms: float = 0) -> dict[str, Any]:
        """Return the depot's entry in the list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": 0,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(next(self._numbers), reader, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            try:
                while True:
                    request = await read_request(reader)
                    if request.target in ("/healthz", "/load"):
                        writer.write(answer(200, b"ok"))
                        continue
                    self.received.append(request)
                    await self.respond(request, connection)
                    connection.served += 1
            except (BadMessageError, ValueError, asyncio.LimitOverrunError) as error:
                self.record.note(f"{self.name} closes, as it read {error}")
        writer.close()

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Answer a request: here at once, with bytes made from the target."""
        connection.writer.write(self.served(content_of(request.target)))

    def served(self, body: bytes, result: str = "local") -> bytes:
        """Return an answer 'ok' with these bytes."""
        return answer(200, body, X_Digest=tag_of(body), X_Stamp=str(int(now_ms())), X_Result=result)


def content_of(target: str) -> bytes:
    """Return the bytes of the part that a depot's path names."""
    return (f"bytes of {target} " * 8).encode()


def tag_of(body: bytes) -> str:
    """Return the tag of a copy."""
    return f"t{sum(body) % 65521:04x}{len(body):x}"


class ChangeLog:
    """The change log: numbered events, a comment each second."""

    def __init__(self, depots: list[Depot]) -> None:
        """Create a log that does not listen yet; its first event is the whole list."""
        self._depots = depots
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._news = asyncio.Condition()

    async def start(self) -> None:
        """Listen at a free port, with the list of the depots, which listen already, as the first event."""
        if not self.events:
            entries = [depot.entry() for depot in self._depots]
            self.events.append({"seq": 1, "fleet": {"index": 1, "snapshot": True, "endpoints": entries}})
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def publish(self, **event: Any) -> None:
        """Add an event."""
        async with self._news:
            self.events.append({"seq": len(self.events) + 1, **event})
            self._news.notify_all()

    def known(self) -> dict[str, Any]:
        """Return the events up to now, in the form of the configuration."""
        return {"seq": len(self.events), "results": copy.deepcopy(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            request = await read_request(reader)
            position = int(request.fields.get("last-event-id", "0") or "0")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while True:
                while position < len(self.events):
                    event = self.events[position]
                    writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                    position += 1
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0), self._news:
                        await self._news.wait()
                        continue
                writer.write(b":\n\n")
        writer.close()


def run_command() -> str:
    """Return the deploy file's ``run``."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one doorman, an edge zone, a hub zone."""
    return copy.deepcopy(SETTINGS) | changes


class Program:
    """A program of the project, started by a command of the deploy file or of the README."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        """Wrap a started process."""
        self.process, self.log = process, log

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


class Case:
    """What a case needs: its folder, its record, a temporary folder, and the programs and servers that it started."""

    def __init__(self, folder: Path) -> None:
        """Begin the case whose script stands in ``folder``."""
        self.folder = folder
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.programs: list[Program] = []
        self.broken: list[str] = []

    def breaks(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.record.note(f"BROKEN: {text}")

    async def start(self, command: str, name: str, descriptors: tuple[int, ...] = (), **variables: str) -> Program:
        """Start ``command`` by the shell from the project's root; it inherits ``descriptors``."""
        log = self.temporary / f"{name}.log"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        own_folder = self.temporary / f"tmp-{name}"
        own_folder.mkdir(exist_ok=True)
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment | {"TMPDIR": str(own_folder)} | variables,
                pass_fds=descriptors,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        program = Program(process, log)
        self.programs.append(program)
        return program

    def write_config(self, name: str, log: ChangeLog, **changes: Any) -> Path:
        """Write a doorman's configuration, in the form of the deployment page."""
        contents = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"{HOST}:{log.port}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": log.known(),
            "settings": settings(),
        } | changes
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(contents))
        return path

    async def start_doorman(self, name: str, config: Path, **variables: str) -> tuple[Program, int]:
        """Start a doorman by the deploy file's ``run``, and wait until it answers ``GET /health`` with 200."""
        port = int(json.loads(config.read_text())["listen"].rpartition(":")[2])
        program = await self.start(run_command(), name, EDGE_CONFIG=str(config), **variables)
        await self.wait_ready(port, program)
        return program, port

    async def wait_ready(self, port: int, program: Program, within_s: float = 30.0, path: str = "/health") -> None:
        """Wait until the doorman at this port says yes. Raises RuntimeError if it does not in time."""
        deadline = time.monotonic() + within_s
        request = f"GET {path} HTTP/1.1\r\nHost: service.internal\r\n\r\n".encode()
        while time.monotonic() < deadline and program.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = await Client.connect(port)
                try:
                    status, _, _ = await asyncio.wait_for(client.send(request), 1.0)
                    if status == 200:
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the doorman at port {port} is not ready; see {program.log}")

    async def end(self) -> None:
        """End all processes, keep their logs' last lines in the record, and remove the temporary folder."""
        for program in self.programs:
            await program.end()
            for line in program.log.read_text(errors="replace").splitlines()[-12:]:
                self.record.note(f"{program.log.stem} | {line[:600]}")
        shutil.rmtree(self.temporary, ignore_errors=True)


_ids = itertools.count(int(time.time() * 1000) << 16)


def new_id() -> str:
    """Return a new id of a request."""
    return f"{next(_ids) & (1 << 64) - 1:016x}"


def request_bytes(
    path: str, method: str = "GET", body: bytes = b"", wait_ms: int = 3000, id_: str = "", **fields: str
) -> bytes:
    """Return a client's request; in the names of ``fields`` an underscore stands for a hyphen."""
    lines = [f"{method} {path} HTTP/1.1", "Host: service.internal", f"Req-Id: {id_ or new_id()}"]
    lines += [f"Req-Wait-Ms: {wait_ms}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if method == "PUT":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Client:
    """A client's connection: one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use an open connection."""
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to a doorman."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def send(self, message: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request, and return the status, the fields and the body of its answer."""
        self.writer.write(message)
        return await self.read()

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Read an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return int(head[0].split()[1]), fields, body

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def ask(port: int, message: bytes, within_s: float = 6.0) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection. The status is 0 if it was not answered."""
    try:
        client = await Client.connect(port)
    except OSError:
        return 0, {}, b""
    try:
        return await asyncio.wait_for(client.send(message), within_s)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}, b""
    finally:
        client.close()


def main(folder: Path, run: Callable[[Case], Awaitable[None]]) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run."""

    async def guarded() -> int:
        case = Case(folder)
        case.record.note(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await run(case)
        except BaseException:
            case.record.note(traceback.format_exc())
            traceback.print_exc()
            return NOT_RUN
        finally:
            await case.end()
        case.record.note("rule broken" if case.broken else "rule held")
        with contextlib.suppress(BrokenPipeError):
            print("\n".join(case.broken[:5]) or "rule held", flush=True)
        return BROKEN if case.broken else HELD

    # The last tasks of the servers are not awaited: the process ends with the case.
    os._exit(asyncio.run(guarded()))
