"""Plays of one real proxy process beside hostile clients: its memory, and what a sound client gets meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import resource
import sys
import time
from asyncio.subprocess import PIPE
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.hostile_clients import get_request
from lab.ports import free_port
from lab.processes import ROOT
from lab.stand import SETTINGS, fetch, read_message

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_COLUMN = 11  # of the columns of /proc/PID/stat behind the program's name
BYTES_PER_MB = 1 << 20
DESCRIPTORS = 1_024
ASKING_CLIENTS = 4  # sound clients beside the hostile ones
ASKING_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 2.0
SAMPLE_INTERVAL_S = 0.02
MAX_OPEN_REQUESTS = 100  # of the settings; further ones are refused
SETTLING_S = 4.0  # from the last hostile client's end until the memory has to be given back
START_TIMEOUT_S = 20.0


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
        self,
        folder: Path,
        play: str,
        memory_mb: int,
        connections: int = 500,
        seconds: float = 7.0,
        seed: int = 1,
        max_open_requests: int = MAX_OPEN_REQUESTS,
        descriptors: int = DESCRIPTORS,
    ) -> None:
        """Prepare a play; ``folder`` takes its files."""
        self.descriptors = descriptors
        self.folder = folder
        self.play = play
        self.memory_mb = memory_mb
        self.connections = connections
        self.seconds = seconds
        self.seed = seed
        self.max_open_requests = max_open_requests
        self.port = free_port()
        self.result = PlayResult()

    async def run(self) -> PlayResult:
        """Start the proxy, play, and end the proxy."""
        async with contextlib.AsyncExitStack() as stack:
            await self._play(await self.start_proxy(stack))
        return self.result

    async def start_proxy(self, stack: contextlib.AsyncExitStack, root: Path = ROOT) -> asyncio.subprocess.Process:
        """Start the backends and the proxy of the checkout ``root``; return the proxy once it is ready."""
        backends = await _start(stack, "lab.sized_backends", stdin=PIPE, stdout=PIPE)
        assert backends.stdout is not None
        self._write_config(json.loads(await backends.stdout.readline()))
        log = stack.enter_context((self.folder / "log").open("wb"))
        config = str(self.folder / "config.json")
        process = await _start(stack, "beechslip", cwd=root, stderr=log, EDGE_CONFIG=config)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))
        await asyncio.wait_for(self._wait_until_ready(), START_TIMEOUT_S)
        return process

    def _write_config(self, backends_config: dict[str, Any]) -> None:
        settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        settings["caps"]["mostHeld"] = self.max_open_requests
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "settings": settings,
        } | backends_config
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
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(sampling.cancel)
            arguments = (f"--connections={self.connections}", f"--seconds={self.seconds}", f"--seed={self.seed}")
            hostile = await _start(stack, "lab.hostile_clients", self.play, str(self.port), *arguments)
            until_s = time.monotonic() + self.seconds
            await asyncio.gather(*(SoundClient(self.port, self.result).run(until_s) for _ in range(ASKING_CLIENTS)))
            await hostile.wait()
            await asyncio.sleep(SETTLING_S)
        self.result.is_alive = process.returncode is None
        if self.result.is_alive:
            self.result.settled_mb = resident_mb(process.pid)

    async def _sample(self, pid: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.result.peak_mb = max(self.result.peak_mb, resident_mb(pid))
                await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _start(
    stack: contextlib.AsyncExitStack,
    module: str,
    *arguments: str,
    cwd: Path = ROOT,
    stdin: Any = None,
    stdout: Any = None,
    stderr: Any = None,
    **env: str,
) -> asyncio.subprocess.Process:
    """Start ``python -m MODULE ARGUMENTS``. It is killed when the stack is closed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        cwd=cwd,
        env=os.environ | env,
        stdin=stdin,
        stdout=stdout,
        stderr=stderr,
    )
    stack.push_async_callback(_kill, process)
    return process


async def _kill(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB. Raises OSError if there is none with this id."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / BYTES_PER_MB


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds. Raises OSError if there is none with this id."""
    columns = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(columns[USER_TICKS_COLUMN]) + int(columns[USER_TICKS_COLUMN + 1])) / TICKS_PER_S


def peak_resident_mb(pid: int) -> float:
    """Return the highest resident memory that a process has had, in MB. Raises OSError if there is none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / BYTES_PER_MB
    return 0.0


def run_play(
    folder: Path,
    play: str,
    memory_mb: int,
    connections: int = 500,
    seconds: float = 7.0,
    seed: int = 1,
    max_open_requests: int = MAX_OPEN_REQUESTS,
) -> PlayResult:
    """Run one play to its end; ``folder`` takes its files."""
    return asyncio.run(HostilePlay(folder, play, memory_mb, connections, seconds, seed, max_open_requests).run())
