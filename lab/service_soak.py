"""A soak of one real proxy process: seeded clients, backends, signals and faults, checked against the protocol pages.

Each run lasts a few seconds. The wall clock is stepped, system calls fail for a moment, backends hang, reset
connections, respond with errors and drain, objects are purged, and signals are sent in series. Clients continue to
use their connections until SIGKILL, which is sent as early as the protocol page allows. In half of the runs hostile
clients of all kinds (``lab/hostile_clients.py``) keep at it until then, and the process has to stay within its memory
limit. Started by
``python -m lab service --seeds 50``; the same seed draws the same plan.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.hostile_clients import HOSTILE_ID_PREFIX, MIXED
from lab.hostile_play import peak_resident_mb
from lab.ports import free_port
from lab.processes import ROOT
from lab.stand import (
    COPY_FIELDS,
    EVENT_STREAM_HEAD,
    SETTINGS,
    FakeBackend,
    FakeChangeLog,
    endpoint_entry,
    fetch,
    listening,
    read_message,
)
from lab.stream_server import serving

SERVING_S = 4.0
CLIENT_COUNT = 10
MEMORY_LIMIT_MB = 64
HOSTILE_CONNECTIONS = 60  # with the sound clients and the crowd more than there are places for clients
STATED_SIZES_KB = (64, 320, 1280)
TRANSFER_RATE_KB_S = 6400.0  # the rate in SETTINGS, which the requests in progress at a backend share
ANSWER_GRACE_S = 0.5  # a response this much after its deadline earns nothing but is no violation
# Limits of the protocol pages, with slack:
IN_TRANSIT_SLACK_S = 0.05  # for messages that cross on their way
PATIENCE_SLACK_S = 0.15  # by which X-Patience may exceed the client's time left
MAX_CLIENT_GONE_S = 0.1  # after its client has closed the connection, no attempt of a request is sent
MAX_DRAIN_EFFECT_S = 0.55  # from reading a drain event until no attempt is sent to the backend
MAX_PURGE_EFFECT_S = 1.05  # from reading a purge event until no older copy is accepted
CLOSE_SEEN_S = 0.02  # within this time the backend notices that a connection was closed
MAX_PUBLISH_S = 1.0  # within this time the change log has sent its events, also after an outage
PURGE_RELEVANT_S = 6.0  # by then all caches have dropped older copies
KILL_GRACE_S = 0.7  # from the request deadline after SIGTERM until SIGKILL
MAX_DEADLINE_S = 3.0  # a longer request deadline does not delay SIGKILL
EXHAUSTION_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
CALL_ERRORS = {
    "accept": (*EXHAUSTION_ERRORS, "ECONNABORTED", "EPROTO"),
    "socket": EXHAUSTION_ERRORS,
    "open": ("EMFILE", "ENFILE", "ENOMEM", "EIO"),
    "connect": ("ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH"),
    "send": ("ENOBUFS", "ENOMEM"),
    "recv": ("ENOMEM",),
}
ATTEMPT_NUMBERS = itertools.count()
ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
MISS_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
DECLINED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n"


def ok_response(body: str) -> bytes:
    """Return a successful response whose body is ``body``, so that each request has different bytes."""
    return b"HTTP/1.1 200 OK\r\n" + COPY_FIELDS + b"Content-Length: %d\r\n\r\n" % len(body) + body.encode()


class ReplayingChangeLog(FakeChangeLog):
    """A change log that sends each client all events after the last one that the client has."""

    def __init__(self) -> None:
        """Create a log without events."""
        super().__init__()
        self.events: list[bytes] = []  # the first one has the sequence number 2

    def publish(self, seq: int, **event: Any) -> None:
        """Append an event, which is sent to every client."""
        self.events.append(b"id: %d\ndata: %s\n\n" % (seq, json.dumps({"seq": seq, **event}).encode()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send one client its events until it disconnects or the log is stopped."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            next_event = int((await read_message(reader))[1]["Last-Event-ID"]) - 1
            writer.write(EVENT_STREAM_HEAD)
            while not self.is_down and not writer.is_closing():
                writer.write(b"".join(self.events[next_event:]) or b":\n\n")
                next_event = len(self.events)
                await asyncio.sleep(0.1)
        writer.transport.abort()


@dataclass
class ClientRequest:
    """A request as seen by its client; times are of the monotonic clock."""

    sent_at_s: float
    wait_s: float
    effect: str
    group: int = 0
    size_kb: float = 0.0  # 0 if the request states none
    left_at_s: float = float("inf")
    executed_at_s: float = float("inf")  # time from which an attempt of it may have been executed
    open_attempts: set[int] = field(default_factory=set)  # numbers of the attempts in progress at backends


@dataclass
class SoakFindings:
    """The violations that a run has shown, and the state that the checks need."""

    violations: list[str] = field(default_factory=list)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    drained_since_s: dict[str, float] = field(
        default_factory=dict
    )  # by backend: time of its drain event in the change log
    purged_at_s: dict[int, float] = field(default_factory=dict)  # by group: time of its last purge
    sigterm_at_s: float = float("inf")  # time at which SIGTERM was sent
    served: int = 0
    details: str = ""  # beyond the seed, which draws all of a run


class CheckingBackend(FakeBackend):
    """A backend that checks the requests that reach it, and responds by its current behaviour."""

    findings: SoakFindings
    rng: random.Random
    behaviour = "ok"
    in_progress = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Check and respond to the requests of one connection until it ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, fields, _ = await read_message(reader)
                if "X-Trace" not in fields:
                    writer.write(ERROR_RESPONSE if self.behaviour == "error" else ok_response("probe"))
                    continue
                if fields["X-Trace"].startswith(HOSTILE_ID_PREFIX):
                    writer.write(ok_response(request_line))
                    continue
                request = self.check_request(request_line, fields)
                number = next(ATTEMPT_NUMBERS)
                request.open_attempts.add(number)
                self.in_progress += 1
                try:
                    if not await self.respond(reader, writer, request, request_line):
                        return
                finally:
                    request.open_attempts.discard(number)
                    self.in_progress -= 1
        writer.close()

    def check_request(self, request_line: str, fields: dict[str, str]) -> ClientRequest:
        """Record the rules that an attempt at this backend violates, and return the client request that it is for."""
        now = time.monotonic()
        findings = self.findings
        request = findings.requests[fields["X-Trace"]]

        def add_violation(text: str) -> None:
            findings.violations.append(
                f"{text}: {request_line} at {self.name}, {now - request.sent_at_s:.3f} s after its client sent it"
            )

        if earlier := set(request.open_attempts):
            # The end of the earlier attempt may be read after this one arrives, so check again after CLOSE_SEEN_S.
            asyncio.get_running_loop().call_later(
                CLOSE_SEEN_S,
                lambda: add_violation("two attempts at the same time") if earlier & request.open_attempts else None,
            )
        if float(fields["X-Patience"]) / 1000.0 > request.sent_at_s + request.wait_s - now + PATIENCE_SLACK_S:
            add_violation(f"patience of {fields['X-Patience']} ms exceeds the time left of the client")
        if now - request.left_at_s > MAX_CLIENT_GONE_S:
            add_violation(f"sent {now - request.left_at_s:.3f} s after its client had closed the connection")
        if request.executed_at_s < now and request.effect != "repeatable":
            add_violation(f"retried although its effect is {request.effect}")
        for backend in (self.name, fields.get("X-Next-Hop", "")):
            if now - findings.drained_since_s.get(backend, now) > MAX_DRAIN_EFFECT_S + MAX_PUBLISH_S:
                add_violation(f"sent to or through {backend}, which is draining")
        purged = findings.purged_at_s.get(request.group)
        if purged is not None and MAX_PURGE_EFFECT_S + MAX_PUBLISH_S < now - purged < PURGE_RELEVANT_S:
            cap = float(fields.get("X-Age-Cap", "inf")) / 1000.0
            if cap > now - purged + IN_TRANSIT_SLACK_S:
                add_violation(f"an age of up to {cap} s was allowed after a purge")
        return request

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: ClientRequest, request_line: str
    ) -> bool:
        """Respond by the current behaviour, and return True if the connection stays open."""
        behaviour = self.behaviour if self.rng.random() < 0.9 else self.rng.choice(("reset", "full", "miss", "error"))
        if behaviour not in ("full", "miss"):
            request.executed_at_s = min(request.executed_at_s, time.monotonic())
        if behaviour == "hang":
            await reader.read()
        elif behaviour == "reset":
            writer.transport.abort()
        else:
            delay_s = self.rng.uniform(0.0, 0.1)
            if request.size_kb:
                delay_s = request.size_kb / TRANSFER_RATE_KB_S * self.in_progress
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), delay_s)
                return False  # the proxy has cancelled the attempt
            writer.write(
                {"error": ERROR_RESPONSE, "full": DECLINED_RESPONSE, "miss": MISS_RESPONSE}.get(behaviour)
                or ok_response(request_line)
            )
        return behaviour not in ("hang", "reset")


class SoakRun:
    """One seeded soak run."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Draw the plan of the run from ``seed``; the files of the run are in ``folder``."""
        self.rng = random.Random(seed)
        self.folder = folder
        self.port = free_port()
        self.findings = SoakFindings()
        self.log = ReplayingChangeLog()
        self.stopped = asyncio.Event()
        self.deadline_s = self.rng.choice((0.4, 1.0, 2.5, 6.0))
        self.backends = [CheckingBackend(name) for name in "abc"]
        self.backends.append(CheckingBackend("hub", kind="parent", zone="north"))
        self.backends.append(CheckingBackend("archive", kind="origin", zone="north"))
        for backend in self.backends:
            backend.findings, backend.rng = self.findings, self.rng
        self.settings = copy.deepcopy(SETTINGS)
        for rule in self.settings["classes"]:
            rule["giveUp"] = self.deadline_s
        self.settings["classes"][1]["effect"] = self.rng.choice(("repeatable", "once"))
        self.enabled_faults = {
            name: self.rng.random() < 0.5 for name in ("crowd", "steps", "calls", "late", "hangs", "leaves")
        }
        # Half of the runs state sizes, so that the proxy limits links and lets requests wait. These draws have a
        # generator of their own, so that the plans of the seeds stay as they are.
        self.size_rng = random.Random(f"sizes {seed}") if seed % 2 else None
        self.has_hostile_clients = seed % 2 == 0
        self.seed = seed
        self.sequence = 1

    def write_config(self) -> None:
        """Write the proxy's configuration file, atomically."""
        endpoint_list = {
            "index": 1,
            "snapshot": True,
            "endpoints": [endpoint_entry(backend) for backend in self.backends],
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "1",
            "limits": {"sockets": 256, "memory_mb": MEMORY_LIMIT_MB},
            "changelog": self.log.address,
            "settings": self.settings,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": endpoint_list}]},
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)

    async def run(self) -> SoakFindings:
        """Start the proxy, run the plan and stop the proxy. Return the findings."""
        faults = self.folder / "faults.json"
        faults.write_text("{}")
        async with serving(self.log.serve) as log_server, listening(*self.backends):
            self.log.address = log_server.address
            self.write_config()
            env = os.environ | {
                "EDGE_CONFIG": str(self.folder / "config.json"),
                "LAB_FAULTS": str(faults),
                "PYTHONPATH": str(ROOT / "lab" / "faults"),
            }
            with (self.folder / "log").open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "beechslip", cwd=ROOT, env=env, stderr=log
                )
            try:
                await asyncio.wait_for(self.wait_until_healthy(), 20)
                await self.play(process, faults)
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()
        log_text = (self.folder / "log").read_bytes()
        if b"Traceback" in log_text:
            traceback = log_text[log_text.index(b"Traceback") :][-300:].decode()
            self.findings.violations.append("traceback in the log: " + traceback)
        return self.findings

    async def wait_until_healthy(self) -> None:
        """Wait until the proxy is healthy."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await fetch(self.port, "/health"))[0] == 200:
                    return
            await asyncio.sleep(0.02)

    async def play(self, process: asyncio.subprocess.Process, faults: Path) -> None:
        """Run clients and faults for ``SERVING_S``, then send signals, then shut down gracefully under load."""
        hostile = await self._start_hostile_clients() if self.has_hostile_clients else None
        clients = [asyncio.create_task(self.run_client()) for _ in range(CLIENT_COUNT)]
        idle = [
            await asyncio.open_connection("127.0.0.1", self.port) for _ in range(150 * self.enabled_faults["crowd"])
        ]
        until_s = time.monotonic() + SERVING_S
        while time.monotonic() < until_s and process.returncode is None:
            self._inject_random_faults(process, faults)
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        if process.returncode is not None:
            self.findings.violations.append(f"the proxy exited with {process.returncode} while serving")
        elif (peak_mb := peak_resident_mb(process.pid)) > MEMORY_LIMIT_MB:
            self.findings.violations.append(f"the proxy took {peak_mb:.0f} MB of {MEMORY_LIMIT_MB}")
        faults.write_text(json.dumps({"clock_ms": self.rng.choice((0, -3.6e6, 3.6e6))}))
        for backend in self.backends:
            backend.behaviour = "hang" if self.enabled_faults["hangs"] else backend.behaviour
        began_s = self.findings.sigterm_at_s = time.monotonic()
        for name in (signal.SIGUSR2, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(name)
        kill_s = min(self.deadline_s, MAX_DEADLINE_S) + KILL_GRACE_S
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), kill_s - (time.monotonic() - began_s))
        if process.returncode is None:
            process.kill()  # the clients report the requests that are left unanswered
        self.stopped.set()
        await asyncio.wait(clients, timeout=self.deadline_s + 1.0)
        for task in clients:
            task.cancel()
        for _, writer in idle:
            writer.transport.abort()
        if hostile is not None:
            await hostile.wait()

    async def _start_hostile_clients(self) -> asyncio.subprocess.Process:
        """Start hostile clients that go on until SIGKILL may come."""
        seconds = SERVING_S + min(self.deadline_s, MAX_DEADLINE_S) + KILL_GRACE_S
        arguments = (f"--connections={HOSTILE_CONNECTIONS}", f"--seconds={seconds}", f"--seed={self.seed}")
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lab.hostile_clients", MIXED, str(self.port), *arguments, cwd=ROOT
        )

    def _inject_random_faults(self, process: asyncio.subprocess.Process, faults_path: Path) -> None:
        rng = self.rng
        faults: dict[str, Any] = {}
        if self.enabled_faults["steps"]:
            faults["clock_ms"] = rng.choice((0, -5_000, 5_000, -3_600_000, 3_600_000))
        if self.enabled_faults["calls"]:
            call = rng.choice(tuple(CALL_ERRORS))
            faults[call] = {"errno": rng.choice(CALL_ERRORS[call]), "for_ms": rng.uniform(20, 200)}
            faults["short"] = rng.choice((7, 1_000, 100_000))
        if self.enabled_faults["late"]:
            faults["connect_ms"] = rng.choice((0, 50, 300))
        faults_path.write_text(json.dumps(faults))
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGUSR2)
            if rng.random() < 0.1:
                process.send_signal(signal.SIGHUP)
        backend = rng.choice(self.backends)
        backend.behaviour = rng.choice(("ok", "ok", "hang", "reset", "error", "full"))
        event_draw = rng.random()
        if event_draw < 0.1 and len(self.findings.drained_since_s) < 2:
            drained_backend = self.backends[len(self.findings.drained_since_s)]
            self.publish_event(fleet={"snapshot": False, "endpoints": [endpoint_entry(drained_backend, "leaving")]})
            self.findings.drained_since_s[drained_backend.name] = time.monotonic()
        elif event_draw < 0.3:
            group = rng.randrange(3)
            self.publish_event(invalidate={"bucket": group, "time": time.time() * 1000.0})
            self.findings.purged_at_s[group] = time.monotonic()
        elif event_draw < 0.4:
            (self.log.resume if self.log.is_down else self.log.stop)()

    def publish_event(self, **event: Any) -> None:
        """Append an event to the change log, which resumes if it was stopped."""
        self.log.resume()
        self.sequence += 1
        self.log.publish(self.sequence, **event)

    async def run_client(self) -> None:
        """Send requests until the run ends, reconnecting when needed; some requests are abandoned."""
        while not self.stopped.is_set():
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            with contextlib.suppress(ConnectionError):
                while await self.send_request(reader, writer):
                    await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            writer.transport.abort()

    async def send_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request, and return True if the connection can be used again."""
        rng, rule = self.rng, self.rng.choice(self.settings["classes"][:2])
        name, group = f"{rng.getrandbits(64):016x}", rng.randrange(3)
        size_kb = self.size_rng.choice(STATED_SIZES_KB) if self.size_rng else 0
        request = ClientRequest(
            time.monotonic(), self.deadline_s * rng.uniform(0.5, 1.0), rule["effect"], group, float(size_kb)
        )
        self.findings.requests[name] = request
        size_line = f"Req-Kb: {size_kb}\r\n" if size_kb else ""
        writer.write(
            f"GET /rpc/{rule['name']}/{rng.randrange(200)} HTTP/1.1\r\nHost: x\r\nReq-Id: {name}\r\n"
            f"Req-Wait-Ms: {int(request.wait_s * 1000)}\r\nX-Set: {group}\r\n{size_line}\r\n".encode()
        )
        is_abandoned = self.enabled_faults["leaves"] and rng.random() < 0.2
        limit_s = rng.uniform(0.0, 0.3) if is_abandoned else request.wait_s + ANSWER_GRACE_S
        try:
            status_line, fields, _ = await asyncio.wait_for(read_message(reader), limit_s)
        except TimeoutError:
            request.left_at_s = time.monotonic()
            if not is_abandoned:
                self.findings.violations.append(f"request {name} has no response after {limit_s:.2f} s")
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            request.left_at_s = time.monotonic()
            if request.left_at_s - request.sent_at_s > IN_TRANSIT_SLACK_S:
                self.findings.violations.append(
                    f"the connection of request {name} ended after {request.left_at_s - request.sent_at_s:.3f} s; "
                    f"it was sent {request.sent_at_s - self.findings.sigterm_at_s:.3f} s after SIGTERM"
                )
            return False
        self.findings.served += status_line.split()[1] == "200"
        return fields.get("Connection", "").lower() != "close"


def run_soak(seed: int) -> SoakFindings:
    """Run the soak of one seed, and return its findings."""
    with tempfile.TemporaryDirectory() as folder:

        async def play() -> SoakFindings:
            return await SoakRun(seed, Path(folder)).run()

        return asyncio.run(asyncio.wait_for(play(), 60))
