"""Plays of one real proxy process beside hostile clients: its memory, and what a sound client gets meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import hashlib
import json
import os
import resource
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.hostile_clients import get_request
from lab.ports import free_port
from lab.processes import ROOT
from lab.stand import SETTINGS, FakeBackend, FakeChangeLog, endpoint_entry, fetch, listening, read_message
from lab.stream_server import serving

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1 << 20
DESCRIPTORS = 1_024
LARGE_OBJECT_BYTES = 200_000
HELD_OBJECT_BYTES = 239_000
SMALL_OBJECT = b"waves"
ASKING_CLIENTS = 4  # sound clients beside the hostile ones
ASKING_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 2.0
SAMPLE_INTERVAL_S = 0.02
SETTLING_S = 4.0  # from the last hostile client's end until the memory has to be given back
START_TIMEOUT_S = 20.0


class SizedBackend(FakeBackend):
    """A backend with objects whose size the first part of their name tells, each with a digest of its own."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection; the last byte of a ``held`` object is never sent."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                target = request_line.split()[1]
                kind = target.split("/")[-2].split("-")[0] if target.startswith("/data/") else ""
                body = {"large": bytes(LARGE_OBJECT_BYTES), "held": bytes(HELD_OBJECT_BYTES)}.get(kind, SMALL_OBJECT)
                digest = hashlib.sha256(target.encode()).hexdigest()[:16]
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Digest: {digest}\r\nX-Stamp: 1764576000000\r\nX-Result: local\r\n"
                    f"X-Stats: inflight:7;util:0.61\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                )
                writer.write(body[:-1] if kind == "held" else body)
                await writer.drain()
        writer.close()


@dataclass
class PlayResult:
    """What a play has shown. Memory is resident memory of the process, in MB."""

    idle_mb: float = 0.0
    peak_mb: float = 0.0
    settled_mb: float = 0.0  # SETTLING_S after the last hostile client
    is_alive: bool = False
    latencies_s: list[float] = field(default_factory=list)  # of the sound clients' answered requests
    unanswered: int = 0
    statuses: dict[int, int] = field(default_factory=dict)

    def latency_s(self, share: float) -> float:
        """Return the latency within which this share of the answered requests got their answer."""
        ordered = sorted(self.latencies_s)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else float("inf")


class SoundClient:
    """A client that asks for a small object at a steady rate on a connection that it keeps."""

    def __init__(self, port: int, result: PlayResult) -> None:
        """Ask the proxy at ``port``, and note in ``result`` what comes of it."""
        self._port = port
        self._result = result
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until_s: float) -> None:
        """Ask until ``until_s``."""
        next_s = time.monotonic()
        while time.monotonic() < until_s:
            await self._ask()
            next_s += ASKING_INTERVAL_S
            await asyncio.sleep(max(next_s - time.monotonic(), 0.0))
        self._close()

    async def _ask(self) -> None:
        began_s = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status = await self._exchange_with_one_repeat()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self._close()
            self._result.unanswered += 1
            return
        self._result.latencies_s.append(time.monotonic() - began_s)
        self._result.statuses[status] = self._result.statuses.get(status, 0) + 1

    async def _exchange_with_one_repeat(self) -> int:
        """Send a request; one that crosses the end of a kept connection is sent again, once, on a new one."""
        is_kept = self._streams is not None
        try:
            return await self._exchange()
        except (OSError, asyncio.IncompleteReadError):
            self._close()
            if not is_kept:
                raise
        return await self._exchange()

    async def _exchange(self) -> int:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._streams
        writer.write(get_request("sound"))
        status_line, fields, _ = await read_message(reader)
        if fields.get("Connection", "").lower() == "close":
            self._close()
        return int(status_line.split()[1])

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


class HostilePlay:
    """One play: a proxy with a memory limit, hostile clients of one kind, and a few sound clients."""

    def __init__(
        self, folder: Path, play: str, memory_mb: int, connections: int = 500, seconds: float = 7.0, seed: int = 1
    ) -> None:
        """Prepare a play; ``folder`` takes its files."""
        self.folder = folder
        self.play = play
        self.memory_mb = memory_mb
        self.connections = connections
        self.seconds = seconds
        self.seed = seed
        self.port = free_port()
        self.result = PlayResult()
        self.backends = [
            SizedBackend("a"),
            SizedBackend("b"),
            SizedBackend("hub", kind="parent", zone="north"),
            SizedBackend("archive", kind="origin", zone="north"),
        ]

    async def run(self) -> PlayResult:
        """Start the proxy, play, and end the proxy."""
        change_log = FakeChangeLog()
        async with serving(change_log.serve) as log_server, listening(*self.backends):
            self._write_config(log_server.address)
            with (self.folder / "log").open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "beechslip",
                    cwd=ROOT,
                    env=os.environ | {"EDGE_CONFIG": str(self.folder / "config.json")},
                    stderr=log,
                )
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
            try:
                await asyncio.wait_for(self._wait_until_ready(), START_TIMEOUT_S)
                await self._play(process)
            finally:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        return self.result

    def _write_config(self, change_log_address: str) -> None:
        endpoints = [endpoint_entry(backend) for backend in self.backends]
        settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": DESCRIPTORS},
            "changelog": change_log_address,
            "settings": settings,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"snapshot": True, "endpoints": endpoints}}]},
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def _wait_until_ready(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await fetch(self.port, "/health"))[0] == 200:
                    return
            await asyncio.sleep(0.02)

    async def _play(self, process: asyncio.subprocess.Process) -> None:
        await asyncio.sleep(0.5)
        self.result.idle_mb = resident_mb(process.pid)
        sampling = asyncio.create_task(self._sample(process.pid))
        hostile = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lab.hostile_clients",
            self.play,
            str(self.port),
            f"--connections={self.connections}",
            f"--seconds={self.seconds}",
            f"--seed={self.seed}",
            cwd=ROOT,
        )
        try:
            until_s = time.monotonic() + self.seconds
            await asyncio.gather(*(SoundClient(self.port, self.result).run(until_s) for _ in range(ASKING_CLIENTS)))
            await hostile.wait()
            await asyncio.sleep(SETTLING_S)
        finally:
            sampling.cancel()
            with contextlib.suppress(ProcessLookupError):
                hostile.kill()
            await hostile.wait()
        self.result.is_alive = process.returncode is None
        if self.result.is_alive:
            self.result.settled_mb = resident_mb(process.pid)

    async def _sample(self, pid: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.result.peak_mb = max(self.result.peak_mb, resident_mb(pid))
                await asyncio.sleep(SAMPLE_INTERVAL_S)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB. Raises OSError if there is none with this id."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / BYTES_PER_MB


def run_play(
    folder: Path, play: str, memory_mb: int, connections: int = 500, seconds: float = 7.0, seed: int = 1
) -> PlayResult:
    """Run one play to its end; ``folder`` takes its files."""
    return asyncio.run(HostilePlay(folder, play, memory_mb, connections, seconds, seed).run())
