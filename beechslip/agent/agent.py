"""The agent: reconciles the processes on this machine with the instances declared in the store.

Reconciliation runs in periodic passes. The agent signals only the processes that it started itself. A proxy that
exits by itself, or fails its health checks, is restarted after a backoff that doubles with each restart. A proxy that
is to be drained gets SIGTERM and time to answer the requests that it has accepted.

If several agents share a store, only the agent that holds the lease of an instance
(:mod:`beechslip.agent.leases`) starts processes for it and writes its status. Running processes keep running when
the store fails. An agent drains a process that it no longer owns only after it has read from the store that another
agent holds the lease.

The agent that holds the lease ``orders`` runs the orders (:mod:`beechslip.orders`). Each agent executes the steps of
the instances that it owns.
"""

from __future__ import annotations

import asyncio
import logging

from beechslip.agent.leases import AgentLeases, InstanceLeases
from beechslip.agent.order_execution import OrderLeader, OrderTables, StepExecutor
from beechslip.agent.process import ProxyLauncher
from beechslip.agent.store_access import StoreAccess
from beechslip.agent.supervised import SupervisedInstance
from beechslip.agent.supervisor import Supervisor
from beechslip.clock import Clock
from beechslip.orders.runner import StepTimeouts
from beechslip.store import Fence, Instance, StoreError

log = logging.getLogger("beechslip.agent")

POLL_INTERVAL_MS = 500.0
"""Pause between two reconciliation passes."""

LEASE_EXTENSIONS_PER_POLL = 2
"""Number of times that leases are extended in each poll interval."""


class Agent:
    """Starts and owns the processes of the instances; :meth:`run` drains all of them before it returns."""

    def __init__(
        self,
        access: StoreAccess,
        launcher: ProxyLauncher,
        clock: Clock,
        leases: AgentLeases | None = None,
        name: str = "",
        timeouts: StepTimeouts | None = None,
        poll_interval_ms: float = POLL_INTERVAL_MS,
    ) -> None:
        """Create an agent named ``name``; call :meth:`run` to start it.

        ``leases`` is ``None`` if this is the only agent that uses the store. ``timeouts`` says after what time an
        order gives up on a step. ``poll_interval_ms`` is the pause between two passes. The agent does not close the
        store; the caller that opened it does.
        """
        self.name = name
        self.instances: dict[str, SupervisedInstance] = {}
        self.stopping = asyncio.Event()
        self._clock = clock
        self._poll_interval_ms = poll_interval_ms
        self._access = access
        self._leases = InstanceLeases(leases, name, self._access)
        self._supervisor = Supervisor(self._access, launcher, clock)
        tables = OrderTables(self._access)
        self._steps = StepExecutor(self._access, tables, launcher, clock, name)
        self._order_leader = OrderLeader(self._access, tables, self._leases, clock, timeouts)

    async def run(self) -> None:
        """Reconcile until :attr:`stopping` is set, then drain all processes and release all leases."""
        # Leases are extended in a separate task because a pass may take longer than a lease if the store is slow.
        interval_s = self._poll_interval_ms / 1000.0 / LEASE_EXTENSIONS_PER_POLL
        extending = asyncio.create_task(self._leases.extend_periodically(interval_s))
        try:
            while not self.stopping.is_set():
                await self.try_reconcile()
                await self._wait_for_next_pass(self._poll_interval_ms)
            await self._supervisor.shut_down(self.instances, self._leases.ownership)
        finally:
            extending.cancel()
            await asyncio.gather(extending, return_exceptions=True)
        await self._leases.release_all(self.instances)

    async def _wait_for_next_pass(self, duration_ms: float) -> None:
        """Wait for ``duration_ms``, or until :attr:`stopping` is set."""
        elapsed = asyncio.Event()
        timer = self._clock.call_later(duration_ms, elapsed.set)
        waiting = [asyncio.create_task(event.wait()) for event in (elapsed, self.stopping)]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

    async def try_reconcile(self) -> None:
        """Run one pass. A store error is logged, and the next pass continues from the state that was reached."""
        await self._access.try_await(self.reconcile())

    async def reconcile(self) -> None:
        """Run one pass over all declared instances.

        Raises StoreError if the declared instances cannot be read.
        """
        instances = await self._access.call(self._access.store.instances)
        await self._leases.update(instances, self.instances.keys())
        declared = {instance.name: instance for instance in instances}
        for name in self.instances:
            if name not in declared:  # deleted from the store by another process
                declared[name] = Instance(name, "", wanted="removed")
        await self._access.try_await(self._steps.read_steps())
        results = await asyncio.gather(
            *(self._reconcile_instance(instance) for instance in declared.values()), return_exceptions=True
        )
        for result in results:
            if isinstance(result, StoreError):
                log.error("store error: %s: skipped the actions that could not be recorded", result)
            elif isinstance(result, BaseException):
                log.error("reconciliation of an instance failed: %r", result)
        await self._access.try_await(self._order_leader.run_orders(instances))

    async def _reconcile_instance(self, instance: Instance) -> None:
        ownership = self._leases.ownership(instance.name)
        supervised = self.instances.get(instance.name)
        if supervised is None:
            if not ownership.is_owned:
                return
            supervised = self.instances[instance.name] = SupervisedInstance()
        if supervised.is_exit_pending:
            await self._supervisor.handle_exit(instance, supervised, ownership)
        if not ownership.is_owned:
            await self._drain_if_disowned(instance, supervised)
            return
        fence = ownership.fence
        await self._steps.execute(instance, supervised, fence)
        is_draining = supervised.draining_since_ms is not None or supervised.is_stop_requested
        if instance.wanted == "running" and not is_draining:
            await self._supervisor.keep_running(instance, supervised, fence)
        else:
            await self._supervisor.drain(instance, supervised, fence)
        if instance.wanted == "removed" and supervised.process is None:
            await self._delete_instance(instance.name, fence)
        else:
            await self._report_status(instance.name, supervised, fence)

    async def _drain_if_disowned(self, instance: Instance, supervised: SupervisedInstance) -> None:
        """Handle an instance whose lease this agent does not hold.

        Its process keeps running until another agent is known to hold the lease; then it is drained.
        """
        if not self._leases.other_holder(instance.name):
            return
        await self._supervisor.drain_disowned(instance, supervised)
        if supervised.process is None:
            del self.instances[instance.name]

    async def _delete_instance(self, name: str, fence: Fence | None) -> None:
        """Delete an instance that is wanted removed and whose process has drained."""
        await self._access.call(self._access.store.remove, name, fence)
        await self._access.record_event(name, "removed", "", fence)
        del self.instances[name]
        await self._leases.release(name)

    async def _report_status(self, name: str, supervised: SupervisedInstance, fence: Fence | None) -> None:
        """Write the status of an instance to the store if it has changed since the last write."""
        status = supervised.status
        if status == supervised.reported_status:
            return
        written = await self._access.call(
            self._access.store.report_status, name, status.state, status.pid, status.restarts, status.served, fence
        )
        if written:
            supervised.reported_status = status
