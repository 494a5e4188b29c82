"""Agents in virtual time: the program's own :class:`Agent` and :class:`OrderStore` over one store in memory, with
simulated proxies.

Faults: agents are killed and started again (their proxies drain, as they do when their agent is gone), freeze between
any check and the write or act after it, and go on; proxies die, or ignore SIGTERM; any numbered write fails (the disk
is full, an I/O error) or is executed and its answer lost; the store is unreachable, or full, for a while.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import StrEnum
from typing import Any, TypeVar

from beechslip.agent.agent import Agent
from beechslip.agent.leases import StoredAgentLeases
from beechslip.agent.store_access import StoreAccess
from beechslip.clock import ManualClock
from beechslip.leases.paxos import LeaseTuning
from beechslip.leases.stored import StoredLeases
from beechslip.orders.model import FINAL_STEP_STATES, Order, OrderKind
from beechslip.orders.order_store import OrderLimits, OrderStore
from beechslip.orders.runner import StepTimeouts
from beechslip.store import Instance, SqlConnection, StoreError
from beechslip.store.sql import SqlStore
from beechslip.store.sqlite import SqliteDatabase
from lab.agent_checker import AgentChecker
from lab.simulated_proxies import SimulatedProxy

T = TypeVar("T")

TICK_MS = 250.0
LEASE = LeaseTuning(2000.0, 2000.0, 200.0, 0.01, 250.0)
TIMEOUTS = StepTimeouts(12_000.0, 40_000.0)

SHORT_TAKE_TIMEOUT_MS = 300.0
"""In a fifth of the runs requests are withdrawn so soon that agents are just about to take them."""

SHORT_TAKE_TIMEOUT_SEEDS = 5

REBOOT_MS = 4_000.0
"""Time after which an agent that died at a write is started again."""

FREEZE_MS = (500.0, 6_000.0)
MAX_YIELDS = 400
"""Event loop turns in a tick, by which every pass that can go on has gone on."""

WRITES = ("INSERT", "UPDATE", "DELETE")
ENDED_ORDER_STATES = ("done", "refused", "cancelled")


class WriteFault(StrEnum):
    """How one numbered write fails; the last two kill the agent that writes."""

    FULL = "full"
    IO = "io"
    LOST = "lost"
    DIES_BEFORE = "dies before"
    DIES_AFTER = "dies after"


class FaultyConnection:
    """One agent's connection to the store: unreachable or full for a while, or failing at one numbered write."""

    def __init__(self, fleet: AgentFleet, inner: SqlConnection, holder: str) -> None:
        """``holder``: the agent with its incarnation, as it stands in leases."""
        self.fleet = fleet
        self.holder = holder
        self.serial = inner.serial
        self.unreachable = False
        self._inner = inner

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Rows of a statement; StoreError where a fault is injected."""
        if self.unreachable:
            raise StoreError("unreachable")
        if not sql.startswith(WRITES):
            return self._inner.run(sql, **values)
        self.fleet.writes += 1
        fault = self.fleet.write_faults.get(self.fleet.writes)
        self._fail_before(fault)
        rows = self._inner.run(sql, **values)
        if rows:
            self._check(values)
        if fault in (WriteFault.LOST, WriteFault.DIES_AFTER):
            raise StoreError("the answer is lost")
        return rows

    def _fail_before(self, fault: WriteFault | None) -> None:
        if fault in (WriteFault.DIES_BEFORE, WriteFault.DIES_AFTER):
            agent = self.holder.split("/")[0]
            self.fleet.clock.call_later(0.0, lambda: self.fleet.kill_agent(agent))
            self.fleet.clock.call_later(REBOOT_MS, lambda: self.fleet.boot(agent))
        if fault is WriteFault.DIES_BEFORE:
            raise StoreError("killed")
        if self.fleet.full or fault is WriteFault.FULL:
            raise StoreError("database or disk is full")
        if fault is WriteFault.IO:
            raise StoreError("disk I/O error")

    def _check(self, values: dict[str, Any]) -> None:
        """Judge a write that has changed rows."""
        fleet = self.fleet
        if "f_lease" in values:
            fleet.checker.check_write(self.holder, values)
        if "mine" in values:
            number, instance = values["order_id"], values["instance"]
            fleet.taken_ms.setdefault((number, instance), fleet.clock.now_ms())
            if values["state"] in FINAL_STEP_STATES:
                fleet.checker.check_result(number, instance, values["state"], values["detail"])


class SimulatedLauncher:
    """Starts simulated proxies for one agent."""

    def __init__(self, fleet: AgentFleet, agent: str) -> None:
        """``agent``: the holder that starts them."""
        self.fleet = fleet
        self.agent = agent

    async def start(self, instance: Instance) -> SimulatedProxy:
        """A new process of the instance."""
        return self.fleet.start(instance.name, self.agent)

    async def is_healthy(self, instance: Instance) -> bool:
        """Whether a process of the instance runs for long enough."""
        process = self.fleet.alive(instance.name)
        return process is not None and process.healthy

    async def is_address_free(self, instance: Instance) -> bool:
        """Whether no process of the instance runs."""
        return self.fleet.alive(instance.name) is None

    async def counters(self, instance: Instance) -> dict[str, int] | None:
        """Simulated proxies have no counters."""
        return None


class LabStoreAccess(StoreAccess):
    """Store calls are made at once; those of a frozen agent when it goes on."""

    def __init__(self, agent: LabAgent, store: SqlStore) -> None:
        """``agent``: the one that may freeze at each call."""
        super().__init__(store, agent.fleet.clock)
        self._agent = agent

    async def call(self, function: Callable[..., T], *arguments: Any) -> T:
        """The result of ``function``; the agent may freeze before it."""
        fleet = self._agent.fleet
        if fleet.rng.random() < fleet.freeze_probability:
            fleet.freeze(self._agent, fleet.rng.uniform(*FREEZE_MS))
        await self._agent.running.wait()
        return function(*arguments)


class LabAgent(Agent):
    """An agent in virtual time. While ``running`` is cleared it is frozen."""

    def __init__(self, fleet: AgentFleet, name: str, incarnation: int) -> None:
        """An agent of ``fleet``; two with one name must differ in ``incarnation``."""
        self.fleet = fleet
        self.running = asyncio.Event()
        self.running.set()
        self.connection = FaultyConnection(fleet, fleet.database, f"{name}/{incarnation}")
        self.leases = StoredLeases(
            name, incarnation, self.connection, fleet.clock.steady_ms, LEASE, random.Random(incarnation)
        )
        store = SqlStore.__new__(SqlStore)  # its tables are there: creating them would count as reads and writes
        store._db = self.connection  # type: ignore[assignment]
        super().__init__(
            LabStoreAccess(self, store),
            SimulatedLauncher(fleet, self.leases.holder),
            fleet.clock,
            StoredAgentLeases(self.leases, fleet.clock.steady_ms, 2.0 * LEASE.lease_ms),
            name,
            fleet.timeouts,
        )
        self.reconciliation: asyncio.Task[None] | None = None

    @property
    def waits_for_fault(self) -> bool:
        """Whether its pass can go on only after a fault has ended."""
        return self.reconciliation is None or self.reconciliation.done() or not self.running.is_set()


class AgentFleet:
    """``size`` instances under ``agents`` agents, each with a home; owns the agents' tasks until :meth:`close`."""

    def __init__(self, seed: int, size: int = 6, agents: int = 3) -> None:
        """One seed, one run. Must be called in an event loop."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.database: SqlConnection = (database := SqliteDatabase(":memory:"))
        self.store = SqlStore(database)
        self.orders = OrderStore(database)
        StoredLeases("-", 0, database, self.clock.steady_ms).prepare_table()
        self.processes: list[SimulatedProxy] = []
        self.ignoring_sigterm: set[str] = set()
        self.taken_ms: dict[tuple[int, str], float] = {}  # by order and instance: when an agent first took the step
        self.writes = 0
        self.full = False
        self.freeze_probability = 0.0
        self.write_faults: dict[int, WriteFault] = {}
        self.stopping = False
        short = seed % SHORT_TAKE_TIMEOUT_SEEDS == SHORT_TAKE_TIMEOUT_SEEDS - 1
        self.timeouts = replace(TIMEOUTS, take_ms=SHORT_TAKE_TIMEOUT_MS) if short else TIMEOUTS
        self.checker = AgentChecker(self)
        self.agents: dict[str, LabAgent | None] = {}
        for number in range(size):
            name = f"n{number}"
            self.store.add(Instance(name, f"{name}.json", zone=f"z{number % 2}", home=f"a{number % agents}"))
        for number in range(agents):
            self.boot(f"a{number}")

    # Faults ----------------------------------------------------------------------------------------------

    def boot(self, name: str) -> None:
        """Start an agent, as a new incarnation."""
        self.agents[name] = LabAgent(self, name, self.rng.getrandbits(40))

    def kill_agent(self, name: str) -> None:
        """End an agent in the middle of whatever it does; its proxies drain."""
        agent = self.agents[name]
        self.agents[name] = None
        if agent is None:
            return
        if agent.reconciliation is not None:
            agent.reconciliation.cancel()
        for supervised in agent.instances.values():
            if isinstance(supervised.process, SimulatedProxy):
                supervised.process.drain()

    def freeze(self, agent: LabAgent, duration_ms: float) -> None:
        """Let an agent stand still at its next store call."""
        agent.running.clear()
        self.clock.call_later(duration_ms, agent.running.set)

    def alive(self, instance: str) -> SimulatedProxy | None:
        """The running process of an instance."""
        return next((p for p in self.processes if p.instance == instance and p.alive), None)

    def start(self, instance: str, agent: str) -> SimulatedProxy:
        """A new process of an instance, started by ``agent``."""
        self.checker.check_start(instance, agent)
        process = SimulatedProxy(
            self.clock,
            instance,
            agent,
            1000 + len(self.processes),
            instance in self.ignoring_sigterm,
            self.checker.check_sigterm,
        )
        self.processes.append(process)
        return process

    # Running ---------------------------------------------------------------------------------------------

    async def tick(self, ticks: int = 1) -> None:
        """Advance the clock; each agent begins a pass unless its last one still goes on."""
        for _ in range(ticks):
            self.clock.advance(TICK_MS)
            for agent in list(self.agents.values()):
                if agent is not None and (agent.reconciliation is None or agent.reconciliation.done()):
                    agent.reconciliation = asyncio.create_task(agent.try_reconcile())
            for _ in range(MAX_YIELDS):
                await asyncio.sleep(0)
                if all(agent is None or agent.waits_for_fault for agent in self.agents.values()):
                    break
            self.checker.check_orders()

    async def settle(self, ticks: int = 200) -> bool:
        """Tick until all that is wanted running is healthy; whether it is, after ``ticks`` at most."""
        for _ in range(ticks):
            await self.tick()
            if all(i.state == "healthy" for i in self.store.instances() if i.wanted == "running"):
                return True
        return False

    def create_order(self, kind: OrderKind, names: Iterable[str] = (), at_most: int = 2) -> int:
        """An order over the named instances, or over all; its number."""
        names = set(names)
        chosen = [i for i in self.store.instances() if not names or i.name in names]
        return self.orders.create(self.clock.now_ms(), kind, "one", chosen, OrderLimits(at_most))

    async def run_order(self, number: int, ticks: int = 1200) -> Order:
        """Tick until the order has ended; the order, as it is after ``ticks`` at most."""
        order = self.orders.get(number)
        for _ in range(ticks):
            order = self.orders.get(number)
            if order is not None and order.state in ENDED_ORDER_STATES:
                break
            await self.tick()
        assert order is not None
        return order

    async def close(self) -> None:
        """Cancel and await the agents' passes, and close the store."""
        self.stopping = True
        tasks = [a.reconciliation for a in self.agents.values() if a is not None and a.reconciliation is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.store.close()
