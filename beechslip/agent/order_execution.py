"""The agent's part in orders: it executes the steps of its own instances.

The agent that holds the lease ``orders`` is the leader and also runs all orders.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import replace

from beechslip.agent.leases import InstanceLeases
from beechslip.agent.process import AddressCheckError, ProxyLauncher
from beechslip.agent.store_access import StoreAccess
from beechslip.agent.supervised import SupervisedInstance
from beechslip.clock import Clock
from beechslip.orders.model import Step
from beechslip.orders.order_store import OrderStore
from beechslip.orders.runner import OrderRunner, OrderUpdate, RecordUpdate, StepTimeouts
from beechslip.orders.step_run import ActionKind, InstanceView, StepAction, StepRun
from beechslip.store import Fence, Instance

log = logging.getLogger("beechslip.agent")

PRUNE_INTERVAL_MS = 60_000.0
RETENTION_MS = 30 * 86_400_000.0
"""Age after which events and ended orders are deleted (30 days)."""

RETENTION_COUNT = 100_000
"""Number of events and of ended orders that are kept; older ones beyond it are deleted."""

STEP_KINDS_THAT_READ_COUNTERS = ("retune", "inspect")


class OrderTables:
    """Opens the order tables at first use, because the store may be unreachable when the agent starts."""

    def __init__(self, access: StoreAccess) -> None:
        """Open the tables in the store of ``access``."""
        self._access = access
        self._tables: OrderStore | None = None

    async def open(self) -> OrderStore:
        """Return the tables. Raises StoreError if the store fails."""
        if self._tables is None:
            self._tables = await self._access.call(OrderStore, self._access.store.connection)
        return self._tables


class StepExecutor:
    """Executes the steps of instances that this agent owns."""

    def __init__(
        self, access: StoreAccess, tables: OrderTables, launcher: ProxyLauncher, clock: Clock, agent_name: str
    ) -> None:
        """Create an executor; ``agent_name`` is written as the holder of steps if the agent has no leases."""
        self._access = access
        self._tables = tables
        self._launcher = launcher
        self._clock = clock
        self._agent_name = agent_name
        self._steps: dict[str, Step] = {}

    async def read_steps(self) -> None:
        """Read the active step of each instance.

        If an instance has several, the newest step is used, and one in state ``unknown`` only if there is no other.
        """
        tables = await self._tables.open()
        steps = await self._access.call(tables.active_steps)
        self._steps = {}
        for step in sorted(steps, key=lambda step: (step.state != "unknown", step.order_id)):
            self._steps[step.instance] = step

    async def execute(self, instance: Instance, supervised: SupervisedInstance, fence: Fence | None) -> None:
        """Take the step of an instance if there is one, and do its next action.

        Raises StoreError if the store fails.
        """
        tables = await self._tables.open()
        step = self._steps.get(instance.name)
        now_ms = self._clock.steady_ms()
        holder = fence.holder if fence is not None else self._agent_name or "agent"
        view = supervised.view(instance.wanted)
        if supervised.step_run is None:
            if step is None or not await self._take_step(tables, step, holder, fence):
                return
            previous_holder = step.holder if step.holder != holder else ""
            supervised.step_run = StepRun(step, view, now_ms, previous_holder)
        run = supervised.step_run
        action = run.next_action(now_ms, await self._complete_view(instance, supervised, view))
        if action.result is None:
            await self._execute_action(action.kind, instance, supervised, fence)
        else:
            await self._write_result(tables, run, holder, action, fence)
            supervised.step_run = None
            supervised.is_stop_requested = False

    async def _take_step(self, tables: OrderStore, step: Step, holder: str, fence: Fence | None) -> bool:
        """Take a step unless this agent has taken it already; return True if this agent may execute it.

        The step is recorded as taken before any action is done for it.
        """
        if step.state == "unknown" and step.holder != holder:
            return False
        if step.holder == holder and step.state != "asked":
            return True
        if not await self._access.call(tables.take_step, step, holder, fence):
            return False
        log.info("step taken: instance=%s order=%d kind=%s", step.instance, step.order_id, step.kind)
        return True

    async def _complete_view(
        self, instance: Instance, supervised: SupervisedInstance, view: InstanceView
    ) -> InstanceView:
        """Return the view, completed with what must be read from the instance for this step."""
        run = supervised.step_run
        if run is not None and run.step.kind in STEP_KINDS_THAT_READ_COUNTERS and supervised.process is not None:
            supervised.counters = await self._launcher.counters(supervised.process)
            view = replace(view, reloads=supervised.reload_counts())
        if supervised.process is None:
            view = replace(view, has_free_address=await self._has_free_address(instance, supervised))
        return view

    async def _has_free_address(self, instance: Instance, supervised: SupervisedInstance) -> bool | None:
        """Return whether nobody listens at the instance's address, or ``None`` if that can't be told now."""
        try:
            return await self._launcher.is_address_free(instance, supervised.last_address)
        except AddressCheckError as error:
            log.warning("step waits: instance=%s %s", instance.name, error)
            return None

    async def _write_result(
        self, tables: OrderStore, run: StepRun, holder: str, action: StepAction, fence: Fence | None
    ) -> None:
        assert action.result is not None
        await self._access.call(tables.set_step_result, run.step, holder, action.result, action.detail, fence)
        log.info(
            "step ended: instance=%s order=%d result=%s %s",
            run.step.instance,
            run.step.order_id,
            action.result,
            action.detail,
        )

    async def _execute_action(
        self, kind: ActionKind, instance: Instance, supervised: SupervisedInstance, fence: Fence | None
    ) -> None:
        match kind:
            case ActionKind.WANT_DRAINED:
                await self._access.call(self._access.store.set_wanted, instance.name, "drained", fence)
                supervised.is_stop_requested = True  # start draining now; the next pass reads the new wanted state
            case ActionKind.STOP:
                supervised.is_stop_requested = True
            case ActionKind.START:
                supervised.is_stop_requested = False
                supervised.restart_not_before_ms = 0.0
            case ActionKind.RELOAD if supervised.process is not None:
                supervised.process.reload()


class OrderLeader:
    """Runs all orders while this agent holds the lease ``orders``, and deletes old events and orders."""

    def __init__(
        self,
        access: StoreAccess,
        tables: OrderTables,
        leases: InstanceLeases,
        clock: Clock,
        timeouts: StepTimeouts | None = None,
    ) -> None:
        """Create a leader; ``timeouts`` says when the runner gives up on a step (``None``: its defaults)."""
        self._access = access
        self._tables = tables
        self._leases = leases
        self._clock = clock
        self._timeouts = timeouts
        self._runner: OrderRunner | None = None
        self._runner_fence: Fence | None = None
        self._pruned_ms = clock.steady_ms()

    async def run_orders(self, instances: Sequence[Instance]) -> None:
        """Run one pass over the open orders if this agent is the leader.

        Raises StoreError if the store fails.
        """
        ownership = self._leases.orders_ownership()
        if not ownership.is_owned:
            self._runner = None
            return
        if self._runner is None or self._runner_fence != ownership.fence:
            self._runner = OrderRunner(self._timeouts)
            self._runner_fence = ownership.fence
        tables = await self._tables.open()
        now_ms = self._clock.steady_ms()
        for update in self._runner.decide(now_ms, await self._access.call(tables.open_orders), instances):
            # Stop early if the lease was lost. The fence of each write is what protects the store.
            if self._leases.orders_ownership() != ownership:
                return
            await self._write_update(tables, update, ownership.fence)
        if now_ms - self._pruned_ms >= PRUNE_INTERVAL_MS:
            self._pruned_ms = now_ms
            await self._prune(tables, ownership.fence)

    async def _write_update(self, tables: OrderStore, update: RecordUpdate, fence: Fence | None) -> None:
        if isinstance(update, OrderUpdate):
            if await self._access.call(tables.set_order_state, update.order, update.state, update.why, fence):
                log.info("%s: state=%s %s", update.order, update.state, update.why)
        else:
            await self._access.call(tables.set_step_state, update.step, update.state, update.detail, fence)

    async def _prune(self, tables: OrderStore, fence: Fence | None) -> None:
        before_ms = self._clock.wall_ms() - RETENTION_MS
        await self._access.call(self._access.store.prune_events, before_ms, RETENTION_COUNT)
        await self._access.call(tables.prune, before_ms, RETENTION_COUNT, fence)
