"""Runs real agents and the proxies that they start over one store, with injected faults.

:mod:`lab.agent_judge` checks the report of each order against the proxies' own logs.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import resource
import signal
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from beechslip.orders.model import Order, OrderKind
from beechslip.orders.order_store import OrderLimits, OrderStore
from beechslip.store import Instance, Store, StoreError, open_store
from lab.agent_judge import LISTENS, SIGTERM_LINE, CaseOutcome, OrderReportChecker, read_lines
from lab.agent_load import ClientLoad
from lab.ports import free_port
from lab.processes import spawn_python
from lab.relay import TcpRelay
from lab.stand import SETTINGS, FakeBackend, FakeChangeLog, endpoint_entry, fetch, listening
from lab.stream_server import serving

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
AGENT_LEASE_MS = 2000
AGENT_EXIT_TIMEOUT_S = 15
HEALTH_TIMEOUT_S = 3
LOAD_BEFORE_ORDERS_S = 1.0
SECOND_ORDER_DELAY_S = 1.5
ENDED_ORDER_STATES = ("done", "refused", "cancelled")


class FaultKind(StrEnum):
    """The kind of a fault: SIGKILL, SIGSTOP, a full disk, or a connection to the store that passes no data."""

    KILL = "kill"
    STOP = "stop"
    FULL = "full"
    SILENCE = "silence"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins ``at_s`` seconds after the order is given.

    ``target`` is an agent (``aN``), an instance (``nN``), the agent that runs orders (``runner``), ``half`` of the
    proxies, or ``all``. The fault ends after ``duration_s`` seconds. If that is 0, a killed or stopped process stays
    as it is.
    """

    at_s: float
    kind: FaultKind
    target: str
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OrderCase:
    """An order over ``size`` instances under ``agents`` agents, with faults.

    ``second`` is the kind of an order over all instances that another operator gives shortly after the first.
    """

    name: str
    kind: OrderKind = "drain"
    size: int = 8
    agents: int = 3
    at_most: int = 2
    faults: tuple[Fault, ...] = ()
    second: OrderKind | None = None
    seed: int = 1
    postgres: bool = False
    rps: float = 40.0


CASES = (
    OrderCase("half-killed-in-a-drain", size=20, agents=5, at_most=10, faults=(Fault(0.6, FaultKind.KILL, "half"),)),
    OrderCase(
        "runner-dies-again-and-again",
        "restart",
        faults=tuple(Fault(1.0 + 3.0 * k, FaultKind.KILL, "runner", 2.0) for k in range(3)),
    ),
    OrderCase("two-operators", "restart", at_most=1, second="drain"),
    OrderCase("agent-stopped", "restart", faults=(Fault(0.8, FaultKind.STOP, "a1", 9.0),)),
    OrderCase("ignores-sigterm", at_most=4, faults=(Fault(0.0, FaultKind.STOP, "n3"),)),
    OrderCase("disk-full", "restart", faults=(Fault(0.7, FaultKind.FULL, "all", 4.0),)),
    OrderCase("store-cut-one-way", "restart", postgres=True, faults=(Fault(0.7, FaultKind.SILENCE, "a0", 6.0),)),
)


class AgentTestbed:
    """Runs one case. It owns all processes, servers and tasks that it starts; :meth:`close` ends them."""

    def __init__(self, case: OrderCase, folder: Path, url: str = "") -> None:
        """Prepare a run of ``case``. Logs and configurations are written to ``folder``.

        ``url`` is the URL of the store, which is a file in the folder by default.
        """
        self.case = case
        self.folder = folder
        self.rng = random.Random(case.seed)
        self.url = url or f"sqlite:///{folder}/store.db"
        self.backends = [
            FakeBackend("a"),
            FakeBackend("b"),
            FakeBackend("hub", kind="parent", zone="north"),
            FakeBackend("archive", kind="origin", zone="north"),
        ]
        self.log = FakeChangeLog()
        self.agents: dict[str, asyncio.subprocess.Process] = {}
        self.relays: dict[str, TcpRelay] = {}
        self.last_fault_s: dict[str, float] = {}  # by instance: time of the last injected fault
        self.ports: dict[str, int] = {}  # by instance; chosen when the lab's own servers already listen
        self.load = ClientLoad(self.ports, case.rps, self.last_fault_s)
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start all processes and wait until all proxies are healthy. Raises RuntimeError if that takes too long."""
        self.folder.mkdir(parents=True, exist_ok=True)
        await self._stack.enter_async_context(listening(*self.backends))
        log_port = (await self._stack.enter_async_context(serving(self.log.serve))).port
        self.store: Store = await asyncio.to_thread(open_store, self.url)
        self._stack.callback(self.store.close)
        self.orders = OrderStore(self.store.connection)
        self.ports.update((f"n{number}", free_port()) for number in range(self.case.size))
        for number, name in enumerate(self.ports):
            self._add_instance(number, name, log_port)
        for number in range(self.case.agents):
            await self.start_agent(f"a{number}")
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            if all(instance.state == "healthy" for instance in self.store.instances()):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(
            f"{self.case.name}: not all instances became healthy in time; see the logs in {self.folder}"
        )

    def _add_instance(self, number: int, name: str, log_port: int) -> None:
        endpoints = [endpoint_entry(backend) for backend in self.backends]
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.ports[name]}",
            "seed": f"{number + 1:016x}",
            "ops": f"127.0.0.1:{free_port()}",
            "limits": {"sockets": 128},
            "changelog": f"127.0.0.1:{log_port}",
            "settings": SETTINGS,
            "known": {
                "seq": 1,
                "results": [{"seq": 1, "fleet": {"index": 1, "snapshot": True, "endpoints": endpoints}}],
            },
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(config))
        self.store.add(Instance(name, str(path), zone=f"z{number % 2}", home=f"a{number % self.case.agents}"))

    async def start_agent(self, name: str) -> None:
        """Start an agent. The kernel kills it when the lab's own process dies."""
        url = await self._relayed_url(name) if self.case.postgres else self.url
        command = ["-m", "beechslip", "--store", url, "agent", "--name", name, "--lease-ms", str(AGENT_LEASE_MS)]
        self.agents[name] = await spawn_python(command, self.folder / f"{name}.log")

    async def _relayed_url(self, name: str) -> str:
        """Return the store's URL through the agent's own relay, which is started at the first call."""
        host, _, port = self.url.rpartition("@")[2].partition("/")[0].partition(":")
        relay = self.relays.get(name)
        if relay is None:
            relay = self.relays[name] = TcpRelay(int(port))
            self._stack.push_async_callback(relay.close)
            await relay.start()
        return self.url.replace(f"{host}:{port}", f"127.0.0.1:{relay.port}")

    async def close(self) -> None:
        """End all that was started. Agents drain their proxies; an agent that does not exit in time is killed."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.agents.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.agents.values():
            try:
                await asyncio.wait_for(process.wait(), AGENT_EXIT_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        for pid in self._running_proxies():  # a stopped proxy, or one that still drains after its agent has exited
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        await self._stack.aclose()

    def _running_proxies(self) -> list[int]:
        lines = read_lines(self.folder)
        pids = {x.pid for x in lines} - {x.pid for x in lines if x.event != LISTENS}
        running = []
        for pid in pids:
            with contextlib.suppress(OSError):
                if b"beechslip" in Path(f"/proc/{pid}/cmdline").read_bytes():
                    running.append(pid)
        return running

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Faults ----------------------------------------------------------------------------------------------

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        target = self._find_order_runner() if fault.target == "runner" else fault.target
        if target == "half" or target in self.ports:
            names = [target] if target in self.ports else await self._choose_half()
            for name in names:
                self._signal_proxy(name, fault.kind)
        elif fault.kind is FaultKind.FULL:
            self._limit_files(True)
            await asyncio.sleep(fault.duration_s)
            self._limit_files(False)
        elif fault.kind is FaultKind.SILENCE:
            self.relays[target].set_fault("silence")
            await asyncio.sleep(fault.duration_s)
            self.relays[target].set_fault("")
        elif fault.kind is FaultKind.KILL:
            await self._kill_agent(target, fault.duration_s)
        else:
            await self._stop_agent(target, fault.duration_s)

    def _find_order_runner(self) -> str:
        rows = self.store.connection.run("SELECT holder FROM leases WHERE name = :name", name="orders")
        return str(rows[0][0]).partition("/")[0] if rows else "a0"

    async def _kill_agent(self, name: str, restart_s: float) -> None:
        process = self.agents[name]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        self.last_fault_s.update((instance.name, time.monotonic()) for instance in self.store.instances())
        await process.wait()
        if restart_s:
            await asyncio.sleep(restart_s)
            await self.start_agent(name)

    async def _stop_agent(self, name: str, duration_s: float) -> None:
        process = self.agents[name]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
        if duration_s:
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)

    async def _choose_half(self) -> list[str]:
        """Return half of the proxies, beginning with those that drain; wait until at least one does."""
        while not (draining := {x.instance for x in read_lines(self.folder, SIGTERM_LINE)} & set(self.ports)):
            await asyncio.sleep(0.02)
        others = sorted(set(self.ports) - draining)
        self.rng.shuffle(others)
        return [*sorted(draining), *others][: len(self.ports) // 2]

    def _signal_proxy(self, name: str, kind: FaultKind) -> None:
        number = signal.SIGKILL if kind is FaultKind.KILL else signal.SIGSTOP
        self.last_fault_s[name] = time.monotonic() if number is signal.SIGKILL else math.inf
        instance = self.store.get(name)
        if instance is not None and instance.pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(instance.pid, number)

    def _limit_files(self, is_full: bool) -> None:
        """Simulate a full disk for the agents, or end it.

        No file of theirs may grow beyond the size of the store's smallest file now. Only files are limited, so their
        proxies continue to serve.
        """
        sizes = [path.stat().st_size for path in self.folder.glob("store.db*")]
        for process in self.agents.values():
            _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            soft = min(sizes, default=0) if is_full else hard
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    # The run ---------------------------------------------------------------------------------------------

    async def run_orders(self, wait_s: float = 60.0) -> CaseOutcome:
        """Give the orders under load, inject the faults, and return the outcome.

        The orders have ``wait_s`` seconds to end.
        """
        self._start_task(self.load.run())
        await asyncio.sleep(LOAD_BEFORE_ORDERS_S)
        began_s = time.monotonic()
        numbers = await self._give_orders()
        orders = await self._wait_for(numbers, wait_s)
        ended_s = time.monotonic()
        min_served_fraction = self.load.min_served_fraction_between(began_s, ended_s - 1)
        answering = {name: await self._is_answering(name) for name in self.ports}
        outcome = CaseOutcome(
            orders, took_s=ended_s - began_s, answers=dict(self.load.answers), min_served_fraction=min_served_fraction
        )
        await asyncio.sleep(0.3)
        self.check_reports(outcome, answering)
        return outcome

    async def _give_orders(self) -> list[int]:
        """Give the case's orders, schedule its faults, and return the orders' numbers."""
        case = self.case
        chosen = self.store.instances()
        limits = OrderLimits(case.at_most)
        numbers = [self.orders.create(time.time() * 1000.0, case.kind, "ann", chosen, limits)]
        for fault in case.faults:
            self._start_task(self._inject(fault))
        if case.second is not None:
            await asyncio.sleep(SECOND_ORDER_DELAY_S)
            numbers.append(self.orders.create(time.time() * 1000.0, case.second, "bob", chosen, limits))
        return numbers

    async def _wait_for(self, numbers: list[int], wait_s: float) -> list[Order]:
        """Return the orders once all of them have ended, or as they are after ``wait_s`` seconds."""
        orders: list[Order] = []
        for _ in range(int(wait_s / POLL_INTERVAL_S)):
            with contextlib.suppress(StoreError):
                orders = [order for number in numbers if (order := self.orders.get(number)) is not None]
                if orders and all(order.state in ENDED_ORDER_STATES for order in orders):
                    break
            await asyncio.sleep(POLL_INTERVAL_S)
        return orders

    async def _is_answering(self, name: str) -> bool:
        try:
            status, _, _ = await asyncio.wait_for(fetch(self.ports[name], "/health"), HEALTH_TIMEOUT_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def check_reports(self, outcome: CaseOutcome, answering: dict[str, bool]) -> None:
        """Add the violations that the proxies' logs show to ``outcome``."""
        OrderReportChecker(outcome, read_lines(self.folder), answering).check(self.load.unanswered)


async def run_case(case: OrderCase, folder: Path, url: str = "") -> CaseOutcome:
    """Run a case and return its outcome. All processes that it starts are ended before it returns."""
    world = AgentTestbed(case, folder, url)
    try:
        await world.open()
        return await world.run_orders()
    finally:
        await world.close()
