"""Plays of one real proxy process whose clients read large responses slowly: which of them are cut off, and memory.

The clients' connections have TCP segments as on Ethernet and small receive buffers, so that the proxy has to hold
what they have not read; each request comes on a new connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

from lab.hostile_clients import ETHERNET_SEGMENT_BYTES, request_head
from lab.hostile_play import HostilePlay, cpu_s, resident_mb
from lab.processes import ROOT

CLIENT_WAIT_MS = 6_000
SLOW_READ_BYTES = 16_384  # at once, and the receive buffer that a slow reader asks for
QUICK_READ_BYTES = 262_144
BURST_PAUSE_S = 0.4
READ_TIMEOUT_S = 8.0
SAMPLE_INTERVAL_S = 0.05
RELOAD_INTERVAL_S = 0.5
STOP_AFTER_FRACTION = 0.5  # of the play
CLIENTS_COME_AFTER_SIGTERM_S = 0.4  # new connections, by the operators' pages
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline, counted as at most 3 s, and 0.7 s
MAX_OPEN_REQUESTS = 20_000
LARGEST_KB, SMALL_KB = 480.0, 0.01  # as the clients state them; the bytes are fewer, in proportion

Pattern = Literal["steady", "bursts", "quick"]
Event = Literal["", "reloads", "stop"]


@dataclass(frozen=True)
class SlowReaderPlan:
    """What a play does. ``memory_mb`` and ``descriptors`` are the limits in the configuration file."""

    memory_mb: int
    descriptors: int = 1_024
    readers: int = 300
    bytes_per_s: float = 1_000_000.0  # that a reader takes
    interval_s: float = 0.6  # between the requests of a reader
    pattern: Pattern = "steady"  # bursts: nothing for BURST_PAUSE_S, then what the pace owes
    begins_together: bool = False
    requests_ahead: int = 1  # that a reader sends at once on a connection
    small_readers: int = 0  # clients that ask for small objects beside
    hostile: str = ""  # the kind of hostile clients, or "mixed"
    hostile_connections: int = 0
    idle_connections: int = 0
    event: Event = ""
    seconds: float = 6.0
    seed: int = 1


@dataclass
class SlowReaderResult:
    """What a play has shown. ``answers`` counts by status, or ``cut``, ``unanswered``, ``not connected``."""

    answers: Counter[str] = field(default_factory=Counter)
    small_answers: Counter[str] = field(default_factory=Counter)
    small_latencies_s: list[float] = field(default_factory=list)
    asked: int = 0
    peak_mb: float = 0.0
    peak_kernel_mb: float = 0.0  # in the send buffers of the proxy's connections with clients
    cpu_s: float = 0.0
    is_alive: bool = False
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def cut(self) -> int:
        """Responses whose connection ended before their last byte."""
        return self.answers["cut"]

    @property
    def unanswered(self) -> int:
        """Requests whose connection ended, or whose client gave up, before a response began."""
        return self.answers["unanswered"]

    def small_latency_s(self, share: float) -> float:
        """Return the latency within which this share of the small objects' requests were answered."""
        ordered = sorted(self.small_latencies_s)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else float("inf")

    def describe(self) -> str:
        """Return the result as one line."""
        answers = ", ".join(f"{count} {name}" for name, count in sorted(self.answers.items()))
        small = (
            f"; small {dict(self.small_answers)} p99 {self.small_latency_s(0.99):.3f} s" if self.small_answers else ""
        )
        waits = self.counters.get("memory.responses.waits", 0)
        closed = {name: count for name, count in self.counters.items() if name.startswith("closed.")}
        return (
            f"asked {self.asked}: {answers}{small}; most {self.peak_mb:.1f} MB, in kernel buffers "
            f"{self.peak_kernel_mb:.1f} MB; CPU {self.cpu_s:.2f} s; waits for memory {waits}; {closed}"
        )


class _ConnectionEndedError(Exception):
    """The proxy has ended a connection; ``in_response``: before the last byte of a response that had begun."""

    def __init__(self, *, in_response: bool) -> None:
        super().__init__()
        self.in_response = in_response


class _Reader:
    """One connection of a reader."""

    def __init__(self, sock: socket.socket, plan: SlowReaderPlan) -> None:
        self._sock = sock
        self._plan = plan
        self._read_bytes = QUICK_READ_BYTES if plan.pattern == "quick" else SLOW_READ_BYTES
        self._unparsed = b""

    async def read_response(self) -> tuple[int, float]:
        """Read a response; return its status and for how many seconds the client is to stay away."""
        while b"\r\n\r\n" not in self._unparsed:
            self._unparsed += await self._receive(in_response=False)
        head, _, self._unparsed = self._unparsed.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        await self._read_content(int(fields.get("content-length", "0")))
        return int(lines[0].split()[1]), int(fields.get("srv-wait-ms", "0")) / 1000.0

    async def _read_content(self, length: int) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        received = min(len(self._unparsed), length)
        self._unparsed = self._unparsed[received:]
        while received < length:
            if self._plan.pattern == "bursts":
                await asyncio.sleep(BURST_PAUSE_S)
            permitted = received + 1  # a steady reader takes what is there, and then pauses
            if self._plan.pattern == "bursts":
                permitted = min(int((loop.time() - began_s) * self._plan.bytes_per_s), length)
            while received < permitted:
                data = await self._receive(in_response=True)
                used = min(len(data), length - received)
                self._unparsed = data[used:]
                received += used
            if self._plan.pattern == "steady":
                await asyncio.sleep(max(began_s + received / self._plan.bytes_per_s - loop.time(), 0.0))

    async def _receive(self, *, in_response: bool) -> bytes:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                data = await asyncio.get_running_loop().sock_recv(self._sock, self._read_bytes)
        except (OSError, TimeoutError):
            raise _ConnectionEndedError(in_response=in_response) from None
        if not data:
            raise _ConnectionEndedError(in_response=in_response)
        return data


class SlowReaderPlay:
    """One play of a :class:`SlowReaderPlan`."""

    def __init__(self, plan: SlowReaderPlan, folder: Path, root: Path = ROOT) -> None:
        """Prepare a play of the checkout ``root``; ``folder`` takes its files."""
        self.plan = plan
        self.result = SlowReaderResult()
        self._root = root
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._names = itertools.count(1)
        self._end_s = 0.0  # until which clients ask
        self._proxy = HostilePlay(
            folder, "", plan.memory_mb, max_open_requests=MAX_OPEN_REQUESTS, descriptors=plan.descriptors
        )

    async def run(self) -> SlowReaderResult:
        """Start the proxy, play, and end the proxy."""
        async with contextlib.AsyncExitStack() as stack:
            process = await self._proxy.start_proxy(stack, self._root)
            sampling = asyncio.create_task(self._sample(process.pid))
            stack.callback(sampling.cancel)
            await self._hold_idle_connections(stack)
            hostile = await self._start_hostile() if self.plan.hostile else None
            try:
                await self._play(process)
            finally:
                if hostile is not None:
                    hostile.kill()
                    await hostile.wait()
            self.result.is_alive = self.plan.event == "stop" or process.returncode is None
            if process.returncode is None:
                process.send_signal(signal.SIGUSR1)
                await asyncio.sleep(0.3)
        self._read_counters()
        return self.result

    async def _play(self, process: asyncio.subprocess.Process) -> None:
        plan = self.plan
        self._end_s = time.monotonic() + plan.seconds
        acting = asyncio.create_task(self._act(process))
        clients = [self._use(number) for number in range(plan.readers)]
        clients += [self._use_small() for _ in range(plan.small_readers)]
        await asyncio.gather(*clients)
        if plan.event == "stop":
            await process.wait()
        acting.cancel()
        await asyncio.gather(acting, return_exceptions=True)

    async def _act(self, process: asyncio.subprocess.Process) -> None:
        if self.plan.event == "reloads":
            while True:
                await asyncio.sleep(RELOAD_INTERVAL_S)
                process.send_signal(signal.SIGHUP)
        elif self.plan.event == "stop":
            await asyncio.sleep(self.plan.seconds * STOP_AFTER_FRACTION)
            process.terminate()
            self._end_s = time.monotonic() + CLIENTS_COME_AFTER_SIGTERM_S
            await asyncio.sleep(KILL_AFTER_S)
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    # Clients --------------------------------------------------------------------------------------

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        if self.plan.pattern != "quick":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self._proxy.port))
        except BaseException:
            sock.close()
            raise
        return sock

    async def _hold_idle_connections(self, stack: contextlib.AsyncExitStack) -> None:
        for _ in range(self.plan.idle_connections):
            stack.callback((await self._connect()).close)

    async def _use(self, number: int) -> None:
        plan = self.plan
        if not plan.begins_together:
            await asyncio.sleep(plan.interval_s * number / plan.readers)
        while time.monotonic() < self._end_s:
            began_s = time.monotonic()
            try:
                away_s = await self._ask()
            except OSError:
                self.result.answers["not connected"] += 1
                if plan.event == "stop":
                    return
                away_s = 0.0
            await asyncio.sleep(max(began_s + plan.interval_s - time.monotonic(), away_s, 0.0))

    async def _ask(self) -> float:
        sock = await self._connect()
        answers, count = self.result.answers, self.plan.requests_ahead
        self.result.asked += count
        away_s = 0.0
        try:
            requests = [self._request(f"largest-{next(self._names):x}", LARGEST_KB) for _ in range(count)]
            await asyncio.get_running_loop().sock_sendall(sock, b"".join(requests))
            reader = _Reader(sock, self.plan)
            while count:
                status, away_s = await reader.read_response()
                answers[str(status)] += 1
                count -= 1
        except _ConnectionEndedError as error:
            answers["cut" if error.in_response else "unanswered"] += 1
            answers["unanswered"] += count - 1
        except OSError:
            answers["unanswered"] += count
        finally:
            sock.close()
        return away_s

    async def _use_small(self) -> None:
        await asyncio.sleep(self._rng.random() * self.plan.interval_s)
        while time.monotonic() < self._end_s:
            began_s = time.monotonic()
            with contextlib.suppress(OSError):
                sock = await self._connect()
                try:
                    await asyncio.get_running_loop().sock_sendall(
                        sock, self._request(f"{next(self._names):x}", SMALL_KB)
                    )
                    status, _ = await _Reader(sock, self.plan).read_response()
                    self.result.small_answers[str(status)] += 1
                    self.result.small_latencies_s.append(time.monotonic() - began_s)
                except _ConnectionEndedError:
                    self.result.small_answers["unanswered"] += 1
                finally:
                    sock.close()
            await asyncio.sleep(max(began_s + self.plan.interval_s - time.monotonic(), 0.0))

    def _request(self, name: str, size_kb: float) -> bytes:
        head = request_head(f"/rpc/waveform/{name}", Req_Kb=f"{size_kb}").decode().splitlines()
        lines = [f"Req-Wait-Ms: {CLIENT_WAIT_MS}" if line.startswith("Req-Wait-Ms") else line for line in head]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _start_hostile(self) -> asyncio.subprocess.Process:
        arguments = (f"--connections={self.plan.hostile_connections}", "--seconds=60", f"--seed={self.plan.seed}")
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lab.hostile_clients",
            self.plan.hostile,
            str(self._proxy.port),
            *arguments,
            cwd=ROOT,
        )

    # Measurements ---------------------------------------------------------------------------------

    async def _sample(self, pid: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.result.peak_mb = max(self.result.peak_mb, resident_mb(pid))
                self.result.peak_kernel_mb = max(self.result.peak_kernel_mb, _send_buffers_mb(self._proxy.port))
                self.result.cpu_s = cpu_s(pid)
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _read_counters(self) -> None:
        for line in (self._folder / "log").read_text().splitlines():
            _, is_counters, text = line.partition("counters ")
            if is_counters:
                self.result.counters = {
                    name: int(count) for name, _, count in (word.partition("=") for word in text.split())
                }


def _send_buffers_mb(port: int) -> float:
    """Return what the kernel holds of bytes that were sent from this port and not acknowledged, in MB."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if int(columns[1].rpartition(":")[2], 16) == port:
            total += int(columns[4].partition(":")[0], 16)
    return total / (1 << 20)


def run_slow_readers(plan: SlowReaderPlan, folder: Path, root: Path = ROOT) -> SlowReaderResult:
    """Run one play to its end; ``folder`` takes its files."""

    async def play() -> SlowReaderResult:
        return await SlowReaderPlay(plan, folder, root).run()

    return asyncio.run(play())
