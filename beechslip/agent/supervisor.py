"""Starts, drains and ends the processes of instances.

Each action is recorded in the store before it is done, under the fence of the instance's lease. A supervisor that
cannot record an action does not do it, and tries again in the next pass. Running processes keep running when the
store fails.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from beechslip.agent.health import HealthChecker
from beechslip.agent.leases import LeaseOwnership
from beechslip.agent.process import AddressCheckError, ProxyLauncher, ProxyProcess
from beechslip.agent.store_access import StoreAccess
from beechslip.agent.supervised import FIRST_BACKOFF_MS, SupervisedInstance
from beechslip.clock import Clock
from beechslip.config import ConfigError
from beechslip.store import Fence, Instance

log = logging.getLogger("beechslip.agent")

DRAIN_TIMEOUT_MS = 10_000.0
"""Time to drain before SIGKILL.

It is longer than the longest request deadline plus the time that a proxy may add to it after SIGTERM.
"""


class Supervisor:
    """Starts, drains and kills processes. It keeps no state of instances; the agent does."""

    def __init__(self, access: StoreAccess, launcher: ProxyLauncher, clock: Clock) -> None:
        """Record actions with ``access``, start processes with ``launcher``, and time them by ``clock``."""
        self._access = access
        self._launcher = launcher
        self._clock = clock
        self._health = HealthChecker(access, launcher)

    async def handle_exit(
        self, instance: Instance, supervised: SupervisedInstance, ownership: LeaseOwnership
    ) -> None:
        """Handle a process that has exited; the event is recorded only if this agent owns the instance."""
        assert supervised.process is not None and supervised.process.returncode is not None
        code = supervised.process.returncode
        kind = supervised.handle_exit(code, self._clock.now_ms())
        if ownership.is_owned:
            await self._access.record_event(instance.name, kind, f"exit code {code}", ownership.fence)
        else:
            log.info("instance %s: %s exit code %d", instance.name, kind, code)

    async def keep_running(self, instance: Instance, supervised: SupervisedInstance, fence: Fence | None) -> None:
        """Check the health of the instance if it runs, else start it once its backoff is over."""
        now_ms = self._clock.now_ms()
        if supervised.process is not None:
            await self._health.check(instance, supervised, now_ms, fence)
        elif now_ms >= supervised.restart_not_before_ms:
            await self._start_if_address_free(instance, supervised, now_ms, fence)

    async def _start_if_address_free(
        self, instance: Instance, supervised: SupervisedInstance, now_ms: float, fence: Fence | None
    ) -> None:
        try:
            is_free = await self._launcher.is_address_free(instance, supervised.last_address)
            reason = "its address is in use"
        except AddressCheckError as error:
            is_free = False
            reason = str(error)
        if is_free:
            supervised.wait_reason = ""
            await self._start(instance, supervised, now_ms, fence)
            return
        # The process of a previous agent accepts connections there until it has drained. Do not start a second one.
        if supervised.wait_reason != reason:
            await self._access.record_event(instance.name, "waits", reason, fence)
        supervised.wait_reason = reason
        supervised.state = "waiting"

    async def _start(
        self, instance: Instance, supervised: SupervisedInstance, now_ms: float, fence: Fence | None
    ) -> None:
        is_restart = supervised.state == "waiting" and supervised.last_exit is not None
        # Record the start first: an agent that cannot record it does not start the process.
        report = self._access.store.report_status
        if not await self._access.call(report, instance.name, "starting", 0, supervised.restarts, 1.0, fence):
            return
        supervised.reported_status = None
        try:
            process = await self._launcher.start(instance)
        except (OSError, ConfigError) as error:
            supervised.schedule_restart(now_ms)
            await self._access.record_event(instance.name, "not started", str(error), fence)
            return
        supervised.process = process
        supervised.last_address = process.addresses.listen
        supervised.started_ms = now_ms
        supervised.failed_health_checks = 0
        supervised.state = "starting"
        supervised.counters = None
        supervised.restarts += is_restart
        kind = "restarted" if is_restart else "started"
        await self._access.record_event(instance.name, kind, f"process {process.pid}", fence)

    async def drain(self, instance: Instance, supervised: SupervisedInstance, fence: Fence | None) -> None:
        """Send SIGTERM to the process, or SIGKILL once it has not drained in time."""
        if supervised.process is None:
            supervised.state = "drained"
            supervised.restart_not_before_ms = 0.0
            supervised.backoff_ms = FIRST_BACKOFF_MS
        elif supervised.draining_since_ms is None:
            if await self._access.record_event(instance.name, "draining", "", fence):
                supervised.begin_draining(self._clock.now_ms())
        elif self._drain_timed_out(supervised) and await self._access.record_event(
            instance.name, "killed", "it did not drain in time", fence
        ):
            supervised.was_killed = True
            await supervised.kill()

    async def drain_disowned(self, instance: Instance, supervised: SupervisedInstance) -> None:
        """Drain the process of an instance whose lease another agent holds, without writing to the store."""
        supervised.step_run = None
        supervised.reported_status = None
        supervised.is_stop_requested = False
        if supervised.process is None:
            return
        if supervised.draining_since_ms is None:
            log.warning(
                "instance owned by another agent: draining: instance=%s pid=%d", instance.name, supervised.pid
            )
            supervised.begin_draining(self._clock.now_ms())
        elif self._drain_timed_out(supervised):
            supervised.was_killed = True
            await supervised.kill()

    def _drain_timed_out(self, supervised: SupervisedInstance) -> bool:
        since_ms = supervised.draining_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= DRAIN_TIMEOUT_MS

    async def shut_down(
        self, instances: Mapping[str, SupervisedInstance], ownership: Callable[[str], LeaseOwnership]
    ) -> None:
        """Stop all processes: SIGTERM is sent to all at once, and SIGKILL to those that have not drained in time."""
        timed_out = asyncio.Event()
        timer = self._clock.call_later(DRAIN_TIMEOUT_MS, timed_out.set)
        running = [
            (name, supervised, supervised.process)
            for name, supervised in instances.items()
            if supervised.process is not None and supervised.process.returncode is None
        ]
        for _, supervised, process in running:
            if supervised.draining_since_ms is None:
                process.terminate()
        timeout = asyncio.create_task(timed_out.wait())
        try:
            for name, supervised, process in running:
                code = await self._await_exit(process, timeout)
                owner = ownership(name)
                if owner.is_owned:
                    await self._record_shutdown(name, supervised, code, owner.fence)
        finally:
            timer.cancel()
            timeout.cancel()
            await asyncio.gather(timeout, return_exceptions=True)

    async def _await_exit(self, process: ProxyProcess, timeout: asyncio.Task[bool]) -> int:
        """Wait for a process to exit and return its exit code; kill it if ``timeout`` ends first."""
        exited = asyncio.create_task(process.wait())
        try:
            await asyncio.wait([exited, timeout], return_when=asyncio.FIRST_COMPLETED)
            if not exited.done():
                process.kill()
            return await exited
        finally:
            exited.cancel()
            await asyncio.gather(exited, return_exceptions=True)

    async def _record_shutdown(
        self, name: str, supervised: SupervisedInstance, code: int, fence: Fence | None
    ) -> None:
        await self._access.record_event(name, "drained", f"exit code {code}, with the agent", fence)
        report = self._access.store.report_status
        await self._access.try_await(self._access.call(report, name, "drained", 0, supervised.restarts, 1.0, fence))
