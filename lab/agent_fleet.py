"""Runs agents in virtual time over one in-memory store, with simulated proxies.

The agents and the order store are the program's own :class:`Agent` and :class:`OrderStore`.

Faults:

- An agent is killed and started again. Its proxies drain, as real proxies do when their agent is gone.
- An agent freezes between any check and the write or action after it, and continues later.
- A proxy dies, or ignores SIGTERM.
- Any write, selected by its number, fails (full disk, I/O error), or is executed and its answer is lost.
- The store is unreachable or full for a while.
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
from beechslip.agent.process import HealthStatus, ProxyProcess
from beechslip.agent.store_access import StoreAccess
from beechslip.clock import ManualClock
from beechslip.config import Address
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
LEASE_TUNING = LeaseTuning(2000.0, 2000.0, 200.0, 0.01, 250.0)
STEP_TIMEOUTS = StepTimeouts(12_000.0, 40_000.0)

SHORT_TAKE_TIMEOUT_MS = 300.0
"""In a fifth of the runs, steps are withdrawn so early that agents are just about to take them."""

SHORT_TAKE_TIMEOUT_SEEDS = 5
"""One in this many seeds has the short timeout."""

AGENT_RESTART_MS = 4_000.0
"""Time after which an agent that was killed at a write is started again."""

FREEZE_RANGE_MS = (500.0, 6_000.0)
"""Shortest and longest freeze of an agent."""

MAX_YIELDS = 400
"""Event loop turns in a tick. They are enough for every pass that is not blocked by a fault."""

WRITE_STATEMENTS = ("INSERT", "UPDATE", "DELETE")
ENDED_ORDER_STATES = ("done", "refused", "cancelled")


class WriteFault(StrEnum):
    """The way in which a numbered write fails. The last two also kill the agent that writes."""

    FULL = "full"
    IO = "io"
    LOST = "lost"
    DIES_BEFORE = "dies before"
    DIES_AFTER = "dies after"


class FaultyConnection:
    """One agent's connection to the store, with injected faults.

    The store can be unreachable or full for a while, or fail at writes selected by their numbers.
    """

    def __init__(self, fleet: AgentFleet, inner: SqlConnection, holder: str) -> None:
        """Wrap ``inner`` for ``holder``, the agent's name and incarnation as they are written in leases."""
        self.fleet = fleet
        self.holder = holder
        self.serial = inner.serial
        self.is_unreachable = False
        self._inner = inner

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Execute a statement and return its rows. Raises StoreError if a fault is injected."""
        if self.is_unreachable:
            raise StoreError("store unreachable")
        if not sql.startswith(WRITE_STATEMENTS):
            return self._inner.run(sql, **values)
        self.fleet.writes += 1
        fault = self.fleet.write_faults.get(self.fleet.writes)
        self._fail_before(fault)
        rows = self._inner.run(sql, **values)
        if rows:
            self._check_write(values)
        if fault in (WriteFault.LOST, WriteFault.DIES_AFTER):
            raise StoreError("answer lost")
        return rows

    def _fail_before(self, fault: WriteFault | None) -> None:
        if fault in (WriteFault.DIES_BEFORE, WriteFault.DIES_AFTER):
            agent = self.holder.split("/")[0]
            self.fleet.clock.call_later(0.0, lambda: self.fleet.kill_agent(agent))
            self.fleet.clock.call_later(AGENT_RESTART_MS, lambda: self.fleet.boot_agent(agent))
        if fault is WriteFault.DIES_BEFORE:
            raise StoreError("agent killed")
        if self.fleet.is_disk_full or fault is WriteFault.FULL:
            raise StoreError("database or disk is full")
        if fault is WriteFault.IO:
            raise StoreError("disk I/O error")

    def _check_write(self, values: dict[str, Any]) -> None:
        """Hand a write that has changed rows to the checker."""
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
        """Start proxies for ``agent``, the holder of their leases."""
        self.fleet = fleet
        self.agent = agent

    async def start(self, instance: Instance) -> SimulatedProxy:
        """Start a new process of the instance and return it."""
        return self.fleet.start_process(instance.name, self.agent)

    async def check_health(self, process: ProxyProcess) -> HealthStatus:
        """Return ``READY`` if the process has run for long enough to answer its health check."""
        is_ready = isinstance(process, SimulatedProxy) and process.is_ready
        return HealthStatus.READY if is_ready else HealthStatus.NO_RESPONSE

    async def is_address_free(self, instance: Instance, last_address: Address | None) -> bool:
        """True if no process of the instance runs."""
        return self.fleet.running_process(instance.name) is None

    async def counters(self, process: ProxyProcess) -> dict[str, int] | None:
        """Return None, as simulated proxies have no counters."""
        return None


class SimulatedStoreAccess(StoreAccess):
    """Executes store calls immediately, or, if the agent is frozen, once it continues."""

    def __init__(self, agent: SimulatedAgent, store: SqlStore) -> None:
        """Access ``store`` for ``agent``, which may freeze at each call."""
        super().__init__(store, agent.fleet.clock)
        self._agent = agent

    async def call(self, function: Callable[..., T], *arguments: Any) -> T:
        """Return the result of ``function``. The agent may freeze before the call."""
        fleet = self._agent.fleet
        if fleet.rng.random() < fleet.freeze_probability:
            fleet.freeze(self._agent, fleet.rng.uniform(*FREEZE_RANGE_MS))
        await self._agent.running.wait()
        return function(*arguments)


class SimulatedAgent(Agent):
    """An agent in virtual time. It is frozen while the event ``running`` is cleared."""

    def __init__(self, fleet: AgentFleet, name: str, incarnation: int) -> None:
        """Create an agent of ``fleet``. Agents with the same name must differ in ``incarnation``."""
        self.fleet = fleet
        self.running = asyncio.Event()
        self.running.set()
        self.connection = FaultyConnection(fleet, fleet.database, f"{name}/{incarnation}")
        self.leases = StoredLeases(
            name, incarnation, self.connection, fleet.clock.steady_ms, LEASE_TUNING, random.Random(incarnation)
        )
        store = SqlStore.__new__(SqlStore)  # the tables exist; creating them again would count as writes
        store._db = self.connection  # type: ignore[assignment]
        super().__init__(
            SimulatedStoreAccess(self, store),
            SimulatedLauncher(fleet, self.leases.holder),
            fleet.clock,
            StoredAgentLeases(self.leases, fleet.clock.steady_ms, 2.0 * LEASE_TUNING.lease_ms),
            name,
            fleet.timeouts,
        )
        self.reconciliation: asyncio.Task[None] | None = None

    @property
    def is_done_or_frozen(self) -> bool:
        """True if the agent can do no more in this tick: its pass has ended, or it is frozen."""
        return self.reconciliation is None or self.reconciliation.done() or not self.running.is_set()


class AgentFleet:
    """``size`` instances under ``agents`` agents, each instance with a home agent.

    The fleet owns the agents' tasks until :meth:`close`.
    """

    def __init__(self, seed: int, size: int = 6, agents: int = 3) -> None:
        """Create the fleet; all random draws come from ``seed``. Must be called in a running event loop."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.database: SqlConnection = (database := SqliteDatabase(":memory:"))
        self.store = SqlStore(database)
        self.orders = OrderStore(database)
        StoredLeases("-", 0, database, self.clock.steady_ms).prepare_table()
        self.processes: list[SimulatedProxy] = []
        self.ignoring_sigterm: set[str] = set()
        self.taken_ms: dict[tuple[int, str], float] = {}  # by order and instance: time of the first take
        self.writes = 0
        self.is_disk_full = False
        self.freeze_probability = 0.0
        self.write_faults: dict[int, WriteFault] = {}
        self.is_stopping = False
        is_short = seed % SHORT_TAKE_TIMEOUT_SEEDS == SHORT_TAKE_TIMEOUT_SEEDS - 1
        self.timeouts = replace(STEP_TIMEOUTS, take_ms=SHORT_TAKE_TIMEOUT_MS) if is_short else STEP_TIMEOUTS
        self.checker = AgentChecker(self)
        self.agents: dict[str, SimulatedAgent | None] = {}
        for number in range(size):
            name = f"n{number}"
            self.store.add(Instance(name, f"{name}.json", zone=f"z{number % 2}", home=f"a{number % agents}"))
        for number in range(agents):
            self.boot_agent(f"a{number}")

    # Faults ----------------------------------------------------------------------------------------------

    def boot_agent(self, name: str) -> None:
        """Start an agent as a new incarnation."""
        self.agents[name] = SimulatedAgent(self, name, self.rng.getrandbits(40))

    def kill_agent(self, name: str) -> None:
        """Kill an agent in the middle of whatever it does. Its proxies drain."""
        agent = self.agents[name]
        self.agents[name] = None
        if agent is None:
            return
        if agent.reconciliation is not None:
            agent.reconciliation.cancel()
        for supervised in agent.instances.values():
            if isinstance(supervised.process, SimulatedProxy):
                supervised.process.drain()

    def freeze(self, agent: SimulatedAgent, duration_ms: float) -> None:
        """Suspend an agent at its next store call, for ``duration_ms`` from now."""
        agent.running.clear()
        self.clock.call_later(duration_ms, agent.running.set)

    def running_process(self, instance: str) -> SimulatedProxy | None:
        """Return the running process of an instance, or None."""
        return next((p for p in self.processes if p.instance == instance and p.is_alive), None)

    def start_process(self, instance: str, agent: str) -> SimulatedProxy:
        """Start a new process of an instance for ``agent`` and return it."""
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
        """Advance the clock. Each agent begins a pass unless its last one is still in progress."""
        for _ in range(ticks):
            self.clock.advance(TICK_MS)
            for agent in list(self.agents.values()):
                if agent is not None and (agent.reconciliation is None or agent.reconciliation.done()):
                    agent.reconciliation = asyncio.create_task(agent.try_reconcile())
            for _ in range(MAX_YIELDS):
                await asyncio.sleep(0)
                if all(agent is None or agent.is_done_or_frozen for agent in self.agents.values()):
                    break
            self.checker.check_orders()

    async def settle(self, ticks: int = 200) -> bool:
        """Tick until every instance that is wanted running is healthy; False if that takes more than ``ticks``."""
        for _ in range(ticks):
            await self.tick()
            if all(i.state == "healthy" for i in self.store.instances() if i.wanted == "running"):
                return True
        return False

    def create_order(self, kind: OrderKind, names: Iterable[str] = (), at_most: int = 2) -> int:
        """Create an order over the named instances, or over all if none is named, and return its number."""
        names = set(names)
        chosen = [i for i in self.store.instances() if not names or i.name in names]
        return self.orders.create(self.clock.now_ms(), kind, "one", chosen, OrderLimits(at_most))

    async def run_order(self, number: int, ticks: int = 1200) -> Order:
        """Tick until the order has ended, for at most ``ticks``, and return it as it is then."""
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
        self.is_stopping = True
        tasks = [a.reconciliation for a in self.agents.values() if a is not None and a.reconciliation is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.store.close()
