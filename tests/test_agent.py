"""Tests of the agent's reconciliation passes, with simulated processes and a clock that the tests advance."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from beechslip.agent.agent import Agent
from beechslip.agent.health import MAX_FAILED_HEALTH_CHECKS
from beechslip.agent.process import AddressCheckError, HealthStatus, ProxyAddresses, ProxyProcess
from beechslip.agent.store_access import StoreAccess
from beechslip.agent.supervised import FIRST_BACKOFF_MS, MAX_BACKOFF_MS, STABLE_MS
from beechslip.agent.supervisor import DRAIN_TIMEOUT_MS
from beechslip.clock import ManualClock
from beechslip.config import Address
from beechslip.store import Instance, Store, StoreError, open_store, sqlite
from lab.stand import run, until


class SimulatedProcess:
    """A process that exits when the test calls :meth:`end`."""

    def __init__(self, pid: int, obeys_sigterm: bool) -> None:
        self.pid, self.returncode, self.obeys_sigterm = pid, None, obeys_sigterm
        self.addresses = ProxyAddresses(Address("127.0.0.1", 1))
        self.signals: list[str] = []
        self.ended = asyncio.Event()

    pid: int
    returncode: int | None

    def end(self, code: int) -> None:
        self.returncode = code
        self.ended.set()

    def terminate(self) -> None:
        self.signals.append("TERM")
        if self.obeys_sigterm:
            self.end(0)

    def kill(self) -> None:
        self.signals.append("KILL")
        self.end(-9)

    def reload(self) -> None:
        self.signals.append("HUP")

    async def wait(self) -> int:
        await self.ended.wait()
        assert self.returncode is not None
        return self.returncode


class SimulatedLauncher:
    """Starts simulated processes; its flags decide whether starts succeed and processes respond to health checks."""

    def __init__(self) -> None:
        self.started: list[SimulatedProcess] = []
        self.obeys_sigterm = self.healthy = self.can_start = True
        self.health: HealthStatus | None = None  # overrides ``healthy``
        self.address_error: AddressCheckError | None = None

    async def start(self, instance: Instance) -> SimulatedProcess:
        if not self.can_start:
            raise OSError("no such program")
        self.started.append(SimulatedProcess(100 + len(self.started), self.obeys_sigterm))
        return self.started[-1]

    async def check_health(self, process: ProxyProcess) -> HealthStatus:
        if self.health is not None:
            return self.health
        return HealthStatus.READY if self.healthy else HealthStatus.NO_RESPONSE

    async def is_address_free(self, instance: Instance, last_address: Address | None) -> bool:
        if self.address_error is not None:
            raise self.address_error
        return True

    async def counters(self, process: ProxyProcess) -> dict[str, int] | None:
        return None


class AgentFixture:
    """An agent with one declared instance ``n1``, a simulated launcher and a manual clock."""

    def __init__(self, store: Store) -> None:
        self.store, self.clock, self.launcher = store, ManualClock(), SimulatedLauncher()
        self.agent = Agent(StoreAccess(store, self.clock), self.launcher, self.clock)
        store.add(Instance("n1", "n1.json"))

    async def run_passes(self, count: int = 1, ms: float = 0.0) -> None:
        for _ in range(count):
            self.clock.advance(ms)
            await self.agent.reconcile()

    def stored_status(self) -> tuple[str, int, int] | None:
        found = self.store.get("n1")
        return (found.state, found.pid, found.restarts) if found else None

    def event_kinds(self) -> list[str]:
        return [event.kind for event in self.store.events("n1")]


@asynccontextmanager
async def agent_fixture(folder: Path) -> AsyncIterator[AgentFixture]:
    store = open_store(f"sqlite:///{folder}/store.db")
    try:
        yield AgentFixture(store)
    finally:
        store.close()


@run
async def test_a_declared_instance_is_started_and_becomes_healthy(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        await s.run_passes()
        assert s.stored_status() == ("starting", 100, 0)
        await s.run_passes(3)
        assert s.stored_status() == ("healthy", 100, 0) and s.event_kinds() == ["started", "healthy"]


@run
async def test_a_process_that_exits_is_restarted_after_a_backoff_that_doubles(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        await s.run_passes()
        for restarts, pause in ((1, FIRST_BACKOFF_MS), (2, 2 * FIRST_BACKOFF_MS)):
            s.launcher.started[-1].end(1)
            await s.run_passes()
            assert s.stored_status() == ("waiting", 0, restarts - 1)
            await s.run_passes(1, pause - 1)
            assert len(s.launcher.started) == restarts
            await s.run_passes(1, 1)
            assert s.stored_status() == ("starting", 100 + restarts, restarts)
        await s.run_passes(1, STABLE_MS)  # after a long run the backoff starts from its first value again
        s.launcher.started[-1].end(1)
        await s.run_passes()
        await s.run_passes(1, FIRST_BACKOFF_MS)
        assert len(s.launcher.started) == 4


@run
async def test_a_failed_start_is_retried(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        s.launcher.can_start = False
        await s.run_passes()
        assert s.stored_status() == ("waiting", 0, 0) and s.event_kinds() == ["not started"]
        s.launcher.can_start = True
        await s.run_passes(1, FIRST_BACKOFF_MS)
        assert len(s.launcher.started) == 1


@run
async def test_a_process_that_fails_its_health_checks_is_killed_and_restarted(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        s.launcher.healthy = False
        await s.run_passes(10)
        assert s.stored_status() == ("starting", 100, 0)  # failed checks do not count while it starts
        s.launcher.healthy = True
        await s.run_passes()
        s.launcher.healthy = False
        await s.run_passes(MAX_FAILED_HEALTH_CHECKS - 1)
        assert s.stored_status() == ("unhealthy", 100, 0)
        await s.run_passes()
        assert s.launcher.started[0].signals == ["KILL"]
        await s.run_passes(2, FIRST_BACKOFF_MS)
        assert len(s.launcher.started) == 2 and s.event_kinds()[-3:] == ["unhealthy", "exited", "restarted"]


@run
@pytest.mark.parametrize("health", [HealthStatus.NOT_READY, HealthStatus.UNKNOWN])
async def test_a_process_that_is_not_ready_or_could_not_be_checked_is_not_killed(
    tmp_path: Path, health: HealthStatus
) -> None:
    """Guards against killing a process that is alive; once it no longer responds, it is killed as before."""
    async with agent_fixture(tmp_path) as s:
        await s.run_passes(3)
        s.launcher.health = health
        await s.run_passes(3 * MAX_FAILED_HEALTH_CHECKS, STABLE_MS)
        expected = "not ready" if health is HealthStatus.NOT_READY else "healthy"
        assert s.launcher.started[0].signals == [] and s.stored_status() == (expected, 100, 0)
        s.launcher.health = HealthStatus.NO_RESPONSE
        await s.run_passes(MAX_FAILED_HEALTH_CHECKS)
        assert s.launcher.started[0].signals == ["KILL"]


@run
async def test_checks_without_a_response_count_only_in_a_row(tmp_path: Path) -> None:
    """Guards against a response other than "ready" that does not end a row of missing responses."""
    async with agent_fixture(tmp_path) as s:
        await s.run_passes(3)
        for _ in range(3):
            s.launcher.health = HealthStatus.NO_RESPONSE
            await s.run_passes(MAX_FAILED_HEALTH_CHECKS - 1)
            s.launcher.health = HealthStatus.NOT_READY
            await s.run_passes()
        assert s.launcher.started[0].signals == []


@run
async def test_no_process_is_started_at_an_address_that_can_not_be_checked(tmp_path: Path) -> None:
    """Guards against a second proxy beside one that a previous agent started."""
    async with agent_fixture(tmp_path) as s:
        s.launcher.address_error = AddressCheckError("its file is cut short")
        await s.run_passes(3)
        assert s.launcher.started == [] and s.stored_status() == ("waiting", 0, 0)
        assert [event.detail for event in s.store.events("n1")] == ["its file is cut short"]
        s.launcher.address_error = None
        await s.run_passes(2)
        assert s.stored_status() == ("healthy", 100, 0)


@run
async def test_a_drained_instance_gets_sigterm_and_is_not_restarted(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        await s.run_passes()
        s.store.set_wanted("n1", "drained")
        await s.run_passes(4, MAX_BACKOFF_MS)
        assert s.launcher.started[0].signals == ["TERM"] and len(s.launcher.started) == 1
        assert s.stored_status() == ("drained", 0, 0) and s.event_kinds()[-2:] == ["draining", "drained"]


@run
async def test_a_process_that_does_not_drain_in_time_is_killed(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        s.launcher.obeys_sigterm = False
        await s.run_passes()
        s.store.set_wanted("n1", "drained")
        await s.run_passes()
        await s.run_passes(1, DRAIN_TIMEOUT_MS - 1)
        assert s.launcher.started[0].signals == ["TERM"]
        await s.run_passes(2, 1)
        assert s.launcher.started[0].signals == ["TERM", "KILL"] and s.stored_status() == ("drained", 0, 0)


@run
@pytest.mark.parametrize("by", ["the command line", "another program"])
async def test_a_removed_instance_is_drained_and_deleted(tmp_path: Path, by: str) -> None:
    async with agent_fixture(tmp_path) as s:
        await s.run_passes()
        if by == "the command line":
            s.store.set_wanted("n1", "removed")
        else:
            s.store.remove("n1")
        await s.run_passes(2)
        assert s.launcher.started[0].signals == ["TERM"] and s.stored_status() is None and not s.agent.instances
        assert s.event_kinds()[-1] == "removed"


@run
async def test_a_stopped_agent_drains_all_its_processes(tmp_path: Path) -> None:
    async with agent_fixture(tmp_path) as s:
        s.store.add(Instance("n2", "n2.json"))
        task = asyncio.create_task(s.agent.run())
        await until(lambda: len(s.launcher.started) == 2)
        s.launcher.started[0].obeys_sigterm = False
        s.agent.stopping.set()
        await until(lambda: all(process.signals for process in s.launcher.started))
        s.clock.advance(DRAIN_TIMEOUT_MS)
        await task
        assert [process.signals for process in s.launcher.started] == [["TERM", "KILL"], ["TERM"]]


@run
async def test_no_process_is_started_or_drained_while_the_store_is_locked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sqlite, "BUSY_TIMEOUT_S", 0.05)
    async with agent_fixture(tmp_path) as s:
        await s.run_passes()
        s.store.add(Instance("n2", "n2.json"))
        s.store.set_wanted("n1", "drained")
        other = sqlite3.connect(tmp_path / "store.db", isolation_level=None)
        other.execute("BEGIN IMMEDIATE")
        await s.run_passes(3)
        # No action is done that cannot be recorded.
        assert len(s.launcher.started) == 1 and s.launcher.started[0].signals == []
        other.execute("ROLLBACK")
        other.close()
        await s.run_passes(3)
        assert len(s.launcher.started) == 2 and s.launcher.started[0].signals == ["TERM"]


def test_opening_a_store_at_an_unwritable_path_raises_a_store_error() -> None:
    with pytest.raises(StoreError):
        open_store("sqlite:////sys/store.db")  # a file system on which no file can be created
