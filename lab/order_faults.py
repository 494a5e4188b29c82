"""Faults that can be injected into agents and orders; see :mod:`lab.injected_faults`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from beechslip.config import Address
from beechslip.orders import order_store
from beechslip.orders.model import Order, Step
from beechslip.orders.order_store import OrderStore
from beechslip.orders.runner import OrderRunner
from beechslip.orders.step_run import InstanceView, ProcessExit, StepRun
from beechslip.store import Fence, Instance, StoreError, sql
from beechslip.store.sql import SqlStore
from lab.agent_fleet import SimulatedLauncher
from lab.injected_faults import register_replacement


def _fence_ignored(fence_condition: Callable[..., Any]) -> Callable[..., Any]:
    """Any write succeeds, whoever holds the lease. The lease's name stays in the values for the checker."""

    def clause(fence: Fence | None) -> tuple[str, dict[str, Any]]:
        where, values = fence_condition(fence)
        return f"({where} OR 1 = 1)", values

    return clause


def _acts_unrecorded(take: Callable[..., bool]) -> Callable[..., bool]:
    """An agent executes a step though recording that it took the step has failed."""

    def take_unrecorded(self: OrderStore, step: Step, holder: str, fence: Fence | None) -> bool:
        try:
            return take(self, step, holder, fence)
        except StoreError:
            return True

    return take_unrecorded


def _starts_unrecorded(report: Callable[..., bool]) -> Callable[..., bool]:
    """An agent starts a proxy though writing the start to the store has failed."""

    def report_unwritten(self: SqlStore, name: str, state: Any, *given: Any) -> bool:
        try:
            return report(self, name, state, *given)
        except StoreError:
            return True

    return report_unwritten


def _every_exit_orderly(orderly: Any) -> Any:
    """Every exit of a proxy counts as a clean one."""
    return property(lambda self: True)


def _missing_process_is_stopped(drain: Callable[..., Any]) -> Callable[..., Any]:
    """An agent that has no process of an instance assumes that the instance is stopped."""

    def drain_unseen(self: StepRun, view: InstanceView) -> Any:
        self._foreign_process_seen = False
        return drain(self, replace(view, has_free_address=True))

    return drain_unseen


def _taken_step_withdrawn(set_step: Callable[..., bool]) -> Callable[..., bool]:
    """The order runner withdraws a step though an agent has taken it since the runner read it."""

    def set_current_step(self: OrderStore, step: Step, state: Any, detail: str, fence: Fence | None) -> bool:
        if state == "not reached":
            order = self.get(step.order_id)
            steps = order.steps if order is not None else ()
            step = next((current for current in steps if current.instance == step.instance), step)
        return set_step(self, step, state, detail, fence)

    return set_current_step


def _steps_in_progress_not_counted(next_steps: Any) -> Any:
    """A new order runner does not count the steps that are in progress already."""

    def next_uncounted(order: Order, steps: Iterable[Step]) -> list[Step]:
        chosen: list[Step] = next_steps(order, [step for step in steps if step.state == "waiting"])
        return chosen

    return staticmethod(next_uncounted)


def _address_always_free(is_address_free: Any) -> Any:
    """The address of every instance counts as free."""

    async def always(self: SimulatedLauncher, instance: Instance, last_address: Address | None) -> bool:
        return True

    return always


register_replacement(
    "store-unfenced",
    "orders",
    "the store accepts any write, whoever holds the lease",
    sql,
    "fence_condition",
    _fence_ignored,
)
register_replacement(
    "orders-unfenced",
    "orders",
    "the order rows accept any write, whoever holds the lease",
    order_store,
    "fence_condition",
    _fence_ignored,
)
register_replacement(
    "acts-unrecorded",
    "orders",
    "an agent executes a step though recording it has failed",
    OrderStore,
    "take_step",
    _acts_unrecorded,
)
register_replacement(
    "starts-unrecorded",
    "orders",
    "an agent starts a proxy though recording it has failed",
    SqlStore,
    "report_status",
    _starts_unrecorded,
)
register_replacement(
    "any-end-is-drained",
    "orders",
    "every exit of a proxy counts as a clean one",
    ProcessExit,
    "is_orderly",
    _every_exit_orderly,
)
register_replacement(
    "not-mine-not-running",
    "orders",
    "an agent that has no process of an instance assumes that it is stopped",
    StepRun,
    "_drain_action",
    _missing_process_is_stopped,
)
register_replacement(
    "withdraws-what-is-taken",
    "orders",
    "the order runner withdraws steps that an agent has taken since they were read",
    OrderStore,
    "set_step_state",
    _taken_step_withdrawn,
)
register_replacement(
    "asks-without-counting",
    "orders",
    "a new order runner does not count the steps that the previous one requested",
    OrderRunner,
    "_next_steps",
    _steps_in_progress_not_counted,
)
register_replacement(
    "starts-beside-another",
    "orders",
    "an agent starts a proxy though the instance's address is in use",
    SimulatedLauncher,
    "is_address_free",
    _address_always_free,
)
