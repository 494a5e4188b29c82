"""One pass after another, the agent makes what runs agree with what the store declares.

It owns the processes that it starts and ends no others. A doorman that ends by itself, or does not answer
its health check, is started again after a pause that doubles; one that is drained gets SIGTERM and time
to answer what it has taken.
"""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from beechslip.clock import Clock
from beechslip.store import Instance, State, Store, StoreError

log = logging.getLogger("beechslip.agent")

POLL_MS = 500.0
START_MS = 15_000.0  # a doorman is ready by then, or started again
MISSES = 3  # health checks in a row
FIRST_PAUSE_MS, MOST_PAUSE_MS, STEADY_MS = 500.0, 30_000.0, 60_000.0
DRAIN_MS = 10_000.0  # the longest deadline and what SIGTERM's rules add, with room

T = TypeVar("T")


class Process(Protocol):
    """A started doorman."""

    @property
    def pid(self) -> int: ...

    @property
    def returncode(self) -> int | None: ...

    def terminate(self) -> None: ...

    def kill(self) -> None: ...

    async def wait(self) -> int: ...


class Launcher(Protocol):
    """Starts doormans and asks after their health."""

    async def start(self, instance: Instance) -> Process: ...

    async def healthy(self, instance: Instance) -> bool: ...


class Child:
    """What the agent knows of one instance."""

    def __init__(self) -> None:
        self.process: Process | None = None
        self.state: State = "declared"
        self.started_ms = self.drain_ms = self.again_ms = 0.0
        self.pause_ms = FIRST_PAUSE_MS
        self.misses = self.restarts = 0
        self.reported: tuple[State, int, int] | None = None


class Agent:
    """Owns the processes; ``run`` ends with all of them drained."""

    def __init__(self, store: Store, launcher: Launcher, clock: Clock) -> None:
        self._store, self._launcher, self._clock = store, launcher, clock
        self.children: dict[str, Child] = {}
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        while not self.stopping.is_set():
            await self._try(self.step())
            woken = asyncio.Event()
            alarm = self._clock.call_later(POLL_MS, woken.set)
            waits = [asyncio.create_task(event.wait()) for event in (woken, self.stopping)]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            alarm.cancel()
            for task in waits:
                task.cancel()
        await self.drain_all()

    async def _try(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except StoreError as error:
            log.error("store: %s", error)  # it may come back; what runs goes on running

    async def _ask(self, call: Callable[..., T], *given: Any) -> T:
        return await asyncio.to_thread(call, *given)

    async def _record(self, name: str, kind: str, detail: str = "") -> None:
        log.info("%s %s %s", name, kind, detail)
        await self._try(self._ask(self._store.record, self._clock.now_ms(), name, kind, detail))

    async def step(self) -> None:
        """One pass over all that is declared."""
        declared = {instance.name: instance for instance in await self._ask(self._store.instances)}
        for name in list(self.children):
            if name not in declared:  # taken out of the store by other hands
                declared[name] = Instance(name, "", wanted="removed")
        results = await asyncio.gather(*(self._tend(instance) for instance in declared.values()),
                                       return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                log.error("pass: %r", result)

    async def _tend(self, instance: Instance) -> None:
        child = self.children.setdefault(instance.name, Child())
        if child.process is not None and child.process.returncode is not None:
            await self._ended(instance, child, child.process.returncode)
        if instance.wanted == "running" and not child.drain_ms:
            await self._keep_running(instance, child)
        else:
            await self._drain(instance, child)
        if instance.wanted == "removed" and child.process is None:
            await self._ask(self._store.remove, instance.name)
            del self.children[instance.name]
            await self._record(instance.name, "removed")
            return
        now = (child.state, child.process.pid if child.process else 0, child.restarts)
        if now != child.reported:
            await self._ask(self._store.report, instance.name, *now)
            child.reported = now

    async def _ended(self, instance: Instance, child: Child, code: int) -> None:
        child.process = None
        if child.drain_ms:
            child.drain_ms, child.state = 0.0, "drained"
            await self._record(instance.name, "drained", f"exit code {code}")
            return
        now = self._clock.now_ms()
        if now - child.started_ms >= STEADY_MS:
            child.pause_ms = FIRST_PAUSE_MS
        child.again_ms, child.state = now + child.pause_ms, "waiting"
        child.pause_ms = min(child.pause_ms * 2.0, MOST_PAUSE_MS)
        await self._record(instance.name, "exited", f"exit code {code}")

    async def _keep_running(self, instance: Instance, child: Child) -> None:
        now = self._clock.now_ms()
        if child.process is None:
            if now < child.again_ms:
                return
            again = child.state == "waiting"
            try:
                child.process = await self._launcher.start(instance)
            except OSError as error:
                child.again_ms, child.state = now + child.pause_ms, "waiting"
                child.pause_ms = min(child.pause_ms * 2.0, MOST_PAUSE_MS)
                await self._record(instance.name, "not started", str(error))
                return
            child.started_ms, child.misses, child.state = now, 0, "starting"
            child.restarts += again
            await self._record(instance.name, "restarted" if again else "started",
                               f"process {child.process.pid}")
        elif await self._launcher.healthy(instance):
            if child.state != "healthy":
                await self._record(instance.name, "healthy")
            child.state, child.misses = "healthy", 0
        elif child.state != "starting" or now - child.started_ms >= START_MS:
            child.misses += 1
            child.state = "unhealthy"
            if child.misses >= MISSES:
                await self._record(instance.name, "unhealthy", f"{child.misses} checks failed: ended")
                child.process.kill()
                await child.process.wait()

    async def _drain(self, instance: Instance, child: Child) -> None:
        now = self._clock.now_ms()
        if child.process is None:
            child.state, child.again_ms, child.pause_ms = "drained", 0.0, FIRST_PAUSE_MS
        elif not child.drain_ms:
            child.drain_ms, child.state = now, "draining"
            child.process.terminate()
            await self._record(instance.name, "draining")
        elif now - child.drain_ms >= DRAIN_MS:
            await self._record(instance.name, "killed", "it did not drain in time")
            child.process.kill()
            await child.process.wait()

    async def drain_all(self) -> None:
        """End what was started: SIGTERM to all, SIGKILL to what outlives the time to drain."""
        late = asyncio.Event()
        alarm = self._clock.call_later(DRAIN_MS, late.set)
        running = [(name, child, child.process) for name, child in self.children.items()
                   if child.process is not None and child.process.returncode is None]
        for _, child, process in running:
            if not child.drain_ms:
                process.terminate()
        timer = asyncio.create_task(late.wait())
        for name, child, process in running:
            end = asyncio.create_task(process.wait())
            await asyncio.wait([end, timer], return_when=asyncio.FIRST_COMPLETED)
            if not end.done():
                process.kill()
            code = await end
            await self._record(name, "drained", f"exit code {code}, with the agent")
            await self._try(self._ask(self._store.report, name, "drained", 0, child.restarts))
        timer.cancel()
        alarm.cancel()
