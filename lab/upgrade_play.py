"""Plays of upgrades: the memory and the descriptors of all processes of one proxy in sum, and what clients get.

The play holds the clients' listening socket, as the platform does, and every process of the proxy inherits it. Its
clients read and write large objects slowly, wait as long as they are told to, and keep their connections.
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
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

from lab.hostile_clients import LARGEST_BODY_BYTES
from lab.ports import free_port
from lab.processes import ROOT
from lab.stand import (
    COPY_FIELDS,
    SETTINGS,
    FakeBackend,
    FakeChangeLog,
    endpoint_entry,
    fetch,
    listening,
    read_message,
)
from lab.stream_server import serving

BYTES_PER_KB = 1_024
KB_PER_MB = 1_024.0
BACKEND_COUNT = 8
LARGEST_OBJECT_BYTES = 240_000
LAST_BYTES = 500  # of an object or of a write, which come after the delay
CLIENT_WAIT_MS = 6_000
ANSWER_TIMEOUT_S = 8.0
READ_SLICE_BYTES = 50_000  # a slow reader takes one slice in each SLOW_READ_S: 1 MB a second
SLOW_READ_S = 0.05
SLOW_RECEIVE_BUFFER_BYTES = 16_384
SAMPLE_INTERVAL_S = 0.05
READY_TIMEOUT_S = 30.0
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline, counted as at most 3 s, and 0.7 s
KILLED_WHILE_LOADING_S = 0.25
NO_LOCKS_MS = 1e9
UNHEARD_LOG = "127.0.0.1:9"  # an address at which no change log answers

Successor = Literal["ready", "never ready", "killed"]


@dataclass(frozen=True)
class UpgradePlan:
    """What a play does. ``memory_mb`` and ``descriptors`` are the limits in the configuration file."""

    memory_mb: int
    descriptors: int
    readers: int
    writers: int
    slow_readers: int = 0  # readers that take their responses at 1 MB a second
    hostile: str = ""  # the kind of hostile clients, or "mixed"
    hostile_connections: int = 0
    upgrades: int = 1
    between_upgrades_s: float = 6.0
    successor: Successor = "ready"
    successor_memory_mb: int = 0  # the limit in the configuration file from the upgrade on; 0: the same
    reloads: bool = False  # SIGHUP with other settings to all processes during the upgrade
    has_locks: bool = True  # whether the platform's socket takes record locks
    stops: bool = False  # SIGTERM without a successor at the end
    listed_backends: int = 0  # further backends in the list, which drain
    serving_s: float = 4.0  # before the first upgrade
    work_s: float = 1.0  # between the first and the last bytes of an object and of a write
    seed: int = 1


@dataclass
class Usage:
    """The most that was held, by one process alone and by all together over an upgrade. Memory is Pss in MB."""

    alone_mb: float = 0.0
    together_mb: float = 0.0
    alone_descriptors: int = 0
    together_descriptors: int = 0
    after_mb: float = 0.0  # at the end of the play


@dataclass
class UpgradeResult:
    """What a play has shown. ``alone`` and ``over`` count answers before the first upgrade and from then on."""

    usage: Usage = field(default_factory=Usage)
    alone: Counter[str] = field(default_factory=Counter)
    over: Counter[str] = field(default_factory=Counter)
    over_s: float = 0.0  # how long ``over`` was counted
    exit_codes: list[int | None] = field(default_factory=list)  # of the processes that were told to end
    died: int = 0  # processes that ended and were not told to
    samples: list[tuple[float, list[float]]] = field(default_factory=list)  # seconds, MB of each process


class LargeObjects(FakeBackend):
    """A backend whose objects are as large as they may be, and whose last bytes come late."""

    work_s = 1.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                method, target, _ = request_line.split()
                if method == "PUT" or not target.startswith("/data/"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                name = target.split("/")[3].encode()[:16].ljust(16)
                content = name + bytes(LARGEST_OBJECT_BYTES - len(name))
                fields = COPY_FIELDS.replace(b"4be0", name.strip()) + b"X-Result: local\r\n"
                message = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n" % (fields, len(content)) + content
                writer.write(message[:-LAST_BYTES])
                await asyncio.sleep(self.work_s)
                writer.write(message[-LAST_BYTES:])
        writer.close()


class Process:
    """One process of the proxy."""

    def __init__(self, process: asyncio.subprocess.Process, ops_port: int) -> None:
        """Wrap a started process, which answers operators at ``ops_port``."""
        self.process = process
        self.ops_port = ops_port
        self.is_told_to_end = False

    @property
    def is_alive(self) -> bool:
        """True if it has not ended."""
        return self.process.returncode is None

    def memory_mb(self) -> float:
        """Return its proportional set size in MB; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines():
                if line.startswith("Pss:"):
                    return int(line.split()[1]) / KB_PER_MB
        return 0.0

    def descriptors(self) -> int:
        """Return the number of its open descriptors; 0 if it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it has not ended."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_told_to_end = True
        if self.is_alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class UpgradePlay:
    """One play of an :class:`UpgradePlan`."""

    def __init__(self, plan: UpgradePlan, folder: Path, root: Path = ROOT) -> None:
        """Prepare a play of the checkout ``root``; ``folder`` takes its files."""
        self.plan = plan
        self.result = UpgradeResult()
        self._folder = folder
        self._root = root
        self._rng = random.Random(plan.seed)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._port: int = self._listener.getsockname()[1]
        self._processes: list[Process] = []
        self._answers = self.result.alone
        self._has_ended = asyncio.Event()
        self._names = itertools.count(1)
        self._config: dict[str, Any] = {}

    async def run(self) -> UpgradeResult:
        """Play, and end all processes."""
        backends: list[FakeBackend] = [LargeObjects(f"s-{number}") for number in range(BACKEND_COUNT)]
        backends += [
            LargeObjects("p-0", kind="parent", zone="north"),
            LargeObjects("o-0", kind="origin", zone="north"),
        ]
        for backend in backends:
            assert isinstance(backend, LargeObjects)
            backend.work_s = self.plan.work_s
        log = FakeChangeLog()
        async with serving(log.serve) as log_server, listening(*backends):
            self._write_config(backends, log_server.address, self.plan.memory_mb)
            try:
                await self._play()
            finally:
                await self._end_all()
                self._listener.close()
        return self.result

    def _write_config(self, backends: list[FakeBackend], log_address: str, memory_mb: int) -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["caps"]["mostHeld"] = 20_000
        entries = [endpoint_entry(backend) for backend in backends]
        for number in range(self.plan.listed_backends):
            extra = {"name": f"more-{number}", "address": f"127.0.0.1:{9 + number % 1_000}", "status": "leaving"}
            entries.append(entries[0] | extra)
        self._config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self._port}",
            "seed": str(self.plan.seed),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": self.plan.descriptors},
            "changelog": log_address,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"snapshot": True, "endpoints": entries}}]},
            "settings": settings,
        }
        self._save_config()

    def _save_config(self) -> None:
        path = self._folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self._config))
        path.with_suffix(".new").rename(path)

    # The play -------------------------------------------------------------------------------------

    async def _play(self) -> None:
        plan = self.plan
        current = await self._start_ready()
        sampling = asyncio.create_task(self._sample())
        hostile = await self._start_hostile() if plan.hostile else None
        clients = [asyncio.create_task(self._use(writes=False)) for _ in range(plan.readers)]
        clients += [asyncio.create_task(self._use(writes=True)) for _ in range(plan.writers)]
        clients += [asyncio.create_task(self._use(writes=False, is_slow=True)) for _ in range(plan.slow_readers)]
        await asyncio.sleep(plan.serving_s)
        self._answers = self.result.over
        began_s = time.monotonic()
        for number in range(plan.upgrades):
            current = await self._upgrade(current)
            is_last = number == plan.upgrades - 1
            await asyncio.sleep(KILL_AFTER_S if is_last else plan.between_upgrades_s)
        if plan.stops:
            current.send(signal.SIGTERM)
            await asyncio.sleep(KILL_AFTER_S)
        self.result.over_s = time.monotonic() - began_s
        self.result.usage.after_mb = sum(process.memory_mb() for process in self._processes)
        current.send(signal.SIGUSR1)  # logs its counters
        self._has_ended.set()
        await _cancel([*clients, sampling])
        if hostile is not None:
            hostile.kill()
            await hostile.wait()

    async def _upgrade(self, current: Process) -> Process:
        """Start a successor of ``current``, and end ``current`` at its yes. Return the process that serves then."""
        plan = self.plan
        if plan.successor_memory_mb:
            self._config["limits"]["memory_mb"] = plan.successor_memory_mb
            self._save_config()
        if plan.successor != "ready":
            await self._try_upgrade()
            return current
        successor = await self._start_ready()
        current.send(signal.SIGTERM)
        asyncio.get_running_loop().call_later(KILL_AFTER_S, current.send, signal.SIGKILL)
        if plan.reloads:
            asyncio.get_running_loop().call_later(0.3, self._reload)
        return successor

    async def _try_upgrade(self) -> None:
        """Start a successor that does not come to its yes."""
        if self.plan.successor == "killed":
            successor = await self._start()
            await asyncio.sleep(KILLED_WHILE_LOADING_S)
        else:
            address, known = self._config["changelog"], self._config["known"]
            self._config |= {"changelog": UNHEARD_LOG, "known": {"seq": 0, "results": []}}
            self._save_config()
            successor = await self._start()
            await asyncio.sleep(KILL_AFTER_S)
            self._config |= {"changelog": address, "known": known}
            self._save_config()
        successor.send(signal.SIGKILL)
        await successor.process.wait()

    def _reload(self) -> None:
        for rule in self._config["settings"]["classes"]:
            rule["giveUp"] = rule["giveUp"] + 0.5
        self._save_config()
        for process in self._processes:
            process.send(signal.SIGHUP)

    # Processes ------------------------------------------------------------------------------------

    async def _start(self) -> Process:
        ops_port = free_port()
        env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        env |= {
            "EDGE_CONFIG": str(self._folder / "config.json"),
            "EDGE_FD": str(self._listener.fileno()),
            "EDGE_OPS": f"127.0.0.1:{ops_port}",
        }
        if not self.plan.has_locks:
            faults = self._folder / "faults.json"
            faults.write_text(json.dumps({"lockf": {"errno": "ENOLCK", "for_ms": NO_LOCKS_MS}}))
            env |= {"LAB_FAULTS": str(faults), "PYTHONPATH": str(ROOT / "lab" / "faults")}
        with (self._folder / f"log-{len(self._processes)}").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "beechslip",
                cwd=self._root,
                env=env,
                pass_fds=[self._listener.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )
        self._processes.append(Process(process, ops_port))
        return self._processes[-1]

    async def _start_ready(self) -> Process:
        started = await self._start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if (await fetch(started.ops_port, "/v1/readyz"))[0] == 200:
                        return started
                await asyncio.sleep(0.02)

    async def _start_hostile(self) -> asyncio.subprocess.Process:
        arguments = (f"--connections={self.plan.hostile_connections}", "--seconds=60", f"--seed={self.plan.seed}")
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lab.hostile_clients", self.plan.hostile, str(self._port), *arguments, cwd=ROOT
        )

    async def _sample(self) -> None:
        usage, began_s = self.result.usage, time.monotonic()
        while True:
            alive = [process for process in self._processes if process.is_alive]
            held = [process.memory_mb() for process in alive]
            descriptors = sum(process.descriptors() for process in alive)
            self.result.samples.append((time.monotonic() - began_s, held))
            if self._answers is self.result.alone:
                usage.alone_mb = max(usage.alone_mb, sum(held))
                usage.alone_descriptors = max(usage.alone_descriptors, descriptors)
            else:
                usage.together_mb = max(usage.together_mb, sum(held))
                usage.together_descriptors = max(usage.together_descriptors, descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _end_all(self) -> None:
        for process in self._processes:
            if not process.is_alive and not process.is_told_to_end:
                self.result.died += 1
            elif not process.is_alive:
                self.result.exit_codes.append(process.process.returncode)
            process.send(signal.SIGKILL)
            await process.process.wait()

    # Clients --------------------------------------------------------------------------------------

    async def _use(self, *, writes: bool, is_slow: bool = False) -> None:
        kind = "write" if writes else "slow read" if is_slow else "read"
        await asyncio.sleep(self._rng.uniform(0.0, self.plan.work_s))
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._has_ended.is_set():
            try:
                streams = streams or await self._connect(is_slow=is_slow)
                status, fields = await asyncio.wait_for(self._exchange(streams, writes, is_slow), ANSWER_TIMEOUT_S)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self._answers[f"{kind} unanswered"] += 1
                _abort(streams)
                streams = None
                continue
            self._answers[f"{kind} {status}"] += 1
            if fields.get("Connection") == "close":
                _abort(streams)
                streams = None
            await asyncio.sleep(int(fields.get("Srv-Wait-Ms", "0")) / 1000.0)
        _abort(streams)

    async def _connect(self, *, is_slow: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not is_slow:
            return await asyncio.open_connection("127.0.0.1", self._port)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self._port))
        return await asyncio.open_connection(sock=sock, limit=READ_SLICE_BYTES)

    async def _exchange(
        self, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], writes: bool, is_slow: bool
    ) -> tuple[int, dict[str, str]]:
        reader, writer = streams
        number = next(self._names)
        head = f"Host: x\r\nReq-Id: {number:016x}\r\nReq-Wait-Ms: {CLIENT_WAIT_MS}\r\n"
        if writes:
            head = f"PUT /rpc/pick-submit/w{number:x} HTTP/1.1\r\n{head}Req-Token: k{number:x}\r\n"
            message = f"{head}Content-Length: {LARGEST_BODY_BYTES}\r\n\r\n".encode() + bytes(LARGEST_BODY_BYTES)
            writer.write(message[:-LAST_BYTES])
            await asyncio.sleep(self.plan.work_s)
            writer.write(message[-LAST_BYTES:])
        else:
            writer.write(f"GET /rpc/waveform/r{number:x}?slice=0 HTTP/1.1\r\n{head}\r\n".encode())
        if not is_slow:
            status_line, fields, _ = await read_message(reader)
            return int(status_line.split()[1]), fields
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        remaining = int(fields.get("Content-Length", "0"))
        while remaining:
            size = min(remaining, READ_SLICE_BYTES)
            await reader.readexactly(size)
            remaining -= size
            await asyncio.sleep(SLOW_READ_S)
        return int(lines[0].split()[1]), fields


def _abort(streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None) -> None:
    if streams is not None:
        streams[1].transport.abort()


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_upgrade(plan: UpgradePlan, folder: Path, root: Path = ROOT) -> UpgradeResult:
    """Run one play to its end; ``folder`` takes its files."""

    async def play() -> UpgradeResult:
        return await UpgradePlay(plan, folder, root).run()

    return asyncio.run(play())
