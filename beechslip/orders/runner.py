"""Decides how orders continue: which steps to request, when to pause, and when to give up on a step.

This module does no I/O. An :class:`OrderRunner` lasts for one tenure of the lease ``orders``.
:meth:`OrderRunner.decide` gets the stored orders and returns the updates to write. The runner's only own state is how
long each step has been in its current state, by its own steady clock. A successor starts these timeouts again, which
only costs time. Every update is written under the fence of the tenure, and only if the step is still as it was read.
An update of which the response was lost shows in the rows that the next pass reads.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from beechslip.orders.model import MAX_NAMES_IN_REASON, Order, OrderState, Step, StepState, resolve_conflicts
from beechslip.store import Instance

ORDERS_LEASE = "orders"
"""Name of the lease whose holder runs the orders."""

TAKE_TIMEOUT_MS = 20_000.0
"""Time after which a request for a step is withdrawn if no agent has taken it.

It is well above the time in which another agent takes over from a dead one.
"""

RESULT_TIMEOUT_MS = 90_000.0
"""Time after which a taken step without a result becomes ``unknown``.

It is above the time for a drain, a start and a takeover together.
"""

SERVED_ROUNDING_STEPS = 20
"""The served fraction in a reason is rounded up to 1/20, so that a small change does not make a new reason."""


@dataclass(frozen=True, slots=True)
class StepUpdate:
    """Sets a step's state if the step is still as it was read."""

    step: Step
    state: StepState
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OrderUpdate:
    """Sets an order's state if the order is still as it was read."""

    order: Order
    state: OrderState
    why: str = ""


RecordUpdate = StepUpdate | OrderUpdate
"""A conditional write to the stored orders and steps."""


@dataclass(frozen=True, slots=True)
class StepTimeouts:
    """Timeouts of steps in ms; see ``TAKE_TIMEOUT_MS`` and ``RESULT_TIMEOUT_MS``."""

    take_ms: float = TAKE_TIMEOUT_MS
    result_ms: float = RESULT_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class _Observation:
    """A step's state and holder, and the steady time since which they are unchanged."""

    state: StepState
    holder: str
    since_ms: float


class OrderRunner:
    """The runner of all orders for one tenure. Bound: it keeps one observation for each step of a begun order."""

    def __init__(self, timeouts: StepTimeouts | None = None) -> None:
        """Create a runner; without ``timeouts`` the defaults apply."""
        self.timeouts = timeouts or StepTimeouts()
        self._observed: dict[tuple[int, str], _Observation] = {}  # by order and instance

    def decide(self, now_ms: float, orders: Sequence[Order], fleet: Sequence[Instance]) -> list[RecordUpdate]:
        """Return the updates to write now, in this order; ``now_ms`` is steady time."""
        updates: list[RecordUpdate] = [OrderUpdate(v.order, v.state, v.why) for v in resolve_conflicts(orders)]
        begun_orders = [order for order in orders if order.has_begun]
        self._update_observations(now_ms, begun_orders)
        for order in begun_orders:
            updates += self._decide_order(now_ms, order, fleet)
        return updates

    def _update_observations(self, now_ms: float, orders: Iterable[Order]) -> None:
        """Record since when each step has been in its current state, and drop steps that no longer exist."""
        before = self._observed
        self._observed = {}
        for order in orders:
            for step in order.steps:
                key = (step.order_id, step.instance)
                seen = before.get(key)
                if seen is None or (seen.state, seen.holder) != (step.state, step.holder):
                    seen = _Observation(step.state, step.holder, now_ms)
                self._observed[key] = seen

    def _decide_order(self, now_ms: float, order: Order, fleet: Sequence[Instance]) -> list[RecordUpdate]:
        updates = self._timeout_updates(now_ms, order)
        if all(step.is_final for step in order.steps):
            count = sum(step.state == "done" for step in order.steps)
            return [*updates, OrderUpdate(order, "done", f"{count} of {len(order.steps)} done")]
        reason = pause_reason(order, fleet)
        if reason:
            if order.state == "paused" and order.why == reason:
                return updates
            return [*updates, OrderUpdate(order, "paused", reason)]
        if order.state == "paused":
            return [*updates, OrderUpdate(order, "running")]
        return updates + [StepUpdate(step, "asked") for step in self._next_steps(order, order.steps)]

    def _timeout_updates(self, now_ms: float, order: Order) -> list[RecordUpdate]:
        """Return updates for the steps that no agent took in time, or that got no result in time."""
        updates: list[RecordUpdate] = []
        for step in order.steps:
            elapsed_ms = now_ms - self._observed[step.order_id, step.instance].since_ms
            if step.state == "asked" and elapsed_ms >= self.timeouts.take_ms:
                detail = f"no agent took it in {elapsed_ms / 1000.0:.0f} s"
                updates.append(StepUpdate(step, "not reached", detail))
            elif step.state == "taken" and elapsed_ms >= self.timeouts.result_ms:
                updates.append(StepUpdate(step, "unknown", f"{step.holder} took it and was not heard of again"))
        return updates

    @staticmethod
    def _next_steps(order: Order, steps: Iterable[Step]) -> list[Step]:
        """Return the steps to request besides those in progress, within the limits of the order and of each zone."""
        steps = list(steps)
        zone_sizes = Counter(step.zone for step in steps)
        in_progress = Counter(step.zone for step in steps if step.is_in_progress)
        capacity = order.at_most - in_progress.total()
        chosen = []
        for step in sorted((s for s in steps if s.state == "waiting"), key=lambda step: step.instance):
            zone_size = zone_sizes[step.zone]
            zone_limit = max(1, math.floor(order.by_zone * zone_size)) if order.by_zone else zone_size
            if capacity > 0 and in_progress[step.zone] < zone_limit:
                chosen.append(step)
                capacity -= 1
                in_progress[step.zone] += 1
        return chosen


def pause_reason(order: Order, fleet: Sequence[Instance]) -> str:
    """Return why the order should pause, or "" if it should not.

    Only the instances that the order is not working on count.
    """
    in_progress = {step.instance for step in order.steps if step.is_in_progress}
    others = [i for i in fleet if i.wanted == "running" and i.name not in in_progress]
    if not others:
        return ""
    healthy = [instance for instance in others if instance.state == "healthy"]
    if len(healthy) < order.least_healthy * len(others):
        unhealthy = sorted(instance.name for instance in others if instance.state != "healthy")
        names = ", ".join(unhealthy[:MAX_NAMES_IN_REASON])
        more = " and others" if len(unhealthy) > MAX_NAMES_IN_REASON else ""
        return f"{len(healthy)} of {len(others)} instances are healthy, under {order.least_healthy:g}: {names}{more}"
    served = sum(instance.served for instance in healthy) / len(healthy) if healthy else 1.0
    if served < order.least_served:
        rounded = math.ceil(served * SERVED_ROUNDING_STEPS) / SERVED_ROUNDING_STEPS
        return f"under {rounded:g} of requests are served, less than {order.least_served:g}"
    return ""


def cancellation_updates(order: Order) -> list[RecordUpdate]:
    """Return updates that cancel an order: steps in progress continue to their end, others are not requested."""
    updates: list[RecordUpdate] = [
        StepUpdate(step, "refused", "the order was cancelled") for step in order.steps if step.state == "waiting"
    ]
    if not order.has_begun:
        updates.append(OrderUpdate(order, "cancelled"))
    return updates


def with_updates(order: Order, updates: Iterable[RecordUpdate]) -> Order:
    """Return the order as it is after ``updates`` are written."""
    for update in updates:
        if isinstance(update, OrderUpdate):
            if update.order.id == order.id:
                order = replace(order, state=update.state, why=update.why)
        elif update.step.order_id == order.id:
            order = replace(order, steps=tuple(_step_with(step, update) for step in order.steps))
    return order


def _step_with(step: Step, update: StepUpdate) -> Step:
    if step.instance != update.step.instance:
        return step
    return replace(step, state=update.state, detail=update.detail)
