"""Injected faults of agents and orders; see :mod:`lab.injected_faults`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from beechslip.orders import order_store
from beechslip.orders.model import Order, Step
from beechslip.orders.order_store import OrderStore
from beechslip.orders.runner import OrderRunner
from beechslip.orders.step_run import InstanceView, ProcessExit, StepRun
from beechslip.store import Fence, Instance, StoreError, sql
from beechslip.store.sql import SqlStore
from lab.agent_fleet import SimulatedLauncher
from lab.injected_faults import register_replacement


def _unfenced(fence_condition: Callable[..., Any]) -> Callable[..., Any]:
    """Any write goes through, whoever holds the lease; its name stays in the values, for the checker."""

    def clause(fence: Fence | None) -> tuple[str, dict[str, Any]]:
        where, values = fence_condition(fence)
        return f"({where} OR 1 = 1)", values

    return clause


def _acts_unrecorded(take: Callable[..., bool]) -> Callable[..., bool]:
    """A step is executed though taking it could not be recorded."""

    def take_unrecorded(self: OrderStore, step: Step, holder: str, fence: Fence | None) -> bool:
        try:
            return take(self, step, holder, fence)
        except StoreError:
            return True

    return take_unrecorded


def _starts_unrecorded(report: Callable[..., bool]) -> Callable[..., bool]:
    """A start goes on though writing it to the store has failed."""

    def report_unwritten(self: SqlStore, name: str, state: Any, *given: Any) -> bool:
        try:
            return report(self, name, state, *given)
        except StoreError:
            return True

    return report_unwritten


def _any_end(orderly: Any) -> Any:
    """Every exit counts as an orderly one."""
    return property(lambda self: True)


def _no_look(drain: Callable[..., Any]) -> Callable[..., Any]:
    """An agent without a process of an instance takes it for stopped."""

    def drain_unseen(self: StepRun, view: InstanceView) -> Any:
        self._foreign_process_seen = False
        return drain(self, replace(view, has_free_address=True))

    return drain_unseen


def _withdraws(set_step: Callable[..., bool]) -> Callable[..., bool]:
    """The runner withdraws a step though an agent has taken it since it was read."""

    def set_current_step(self: OrderStore, step: Step, state: Any, detail: str, fence: Fence | None) -> bool:
        if state == "not reached":
            order = self.get(step.order_id)
            steps = order.steps if order is not None else ()
            step = next((current for current in steps if current.instance == step.instance), step)
        return set_step(self, step, state, detail, fence)

    return set_current_step


def _asks_all(next_steps: Any) -> Any:
    """A new runner does not count the steps in progress."""

    def next_uncounted(order: Order, steps: Iterable[Step]) -> list[Step]:
        chosen: list[Step] = next_steps(order, [step for step in steps if step.state == "waiting"])
        return chosen

    return staticmethod(next_uncounted)


def _starts_beside(is_address_free: Any) -> Any:
    """Every address counts as free."""

    async def always(self: SimulatedLauncher, instance: Instance) -> bool:
        return True

    return always


register_replacement(
    "store-unfenced",
    "orders",
    "the store takes any write, whoever holds the lease",
    sql,
    "fence_condition",
    _unfenced,
)
register_replacement(
    "orders-unfenced",
    "orders",
    "the order rows take any write, whoever holds the lease",
    order_store,
    "fence_condition",
    _unfenced,
)
register_replacement(
    "acts-unrecorded",
    "orders",
    "an agent acts on a step though recording it has failed",
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
    "every exit of a proxy counts as an orderly one",
    ProcessExit,
    "is_orderly",
    _any_end,
)
register_replacement(
    "not-mine-not-running",
    "orders",
    "an agent without a process of an instance takes it for stopped",
    StepRun,
    "_drain_action",
    _no_look,
)
register_replacement(
    "withdraws-what-is-taken",
    "orders",
    "the runner withdraws steps that an agent has taken since it read them",
    OrderStore,
    "set_step_state",
    _withdraws,
)
register_replacement(
    "asks-without-counting",
    "orders",
    "a new runner does not count the steps that the one before asked for",
    OrderRunner,
    "_next_steps",
    _asks_all,
)
register_replacement(
    "starts-beside-another",
    "orders",
    "an agent starts a proxy though the instance's address is in use",
    SimulatedLauncher,
    "is_address_free",
    _starts_beside,
)
