"""The model of orders, the rule for conflicting orders, and the report of an order. This module does no I/O.

An order consists of steps, one for each instance. Its whole state is in the store: the runner of the order and the
agents that execute its steps continue from the stored rows alone, so a successor needs nothing else.

| state of a step | meaning | set by |
| --- | --- | --- |
| ``waiting`` | not requested yet | the command that created the order |
| ``asked`` | requested: the instance's agent may take it | the order runner |
| ``taken`` | the agent ``holder`` executes it | the instance's agent, before its first action |
| ``done``, ``refused``, ``died`` | the step has ended with this result | the instance's agent |
| ``not reached`` | no agent took it, and none can now | the order runner, by a write that requires ``asked`` |
| ``unknown`` | taken, but no result came in time | the order runner; the agent's result may still replace it |
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Literal, get_args

OrderKind = Literal["drain", "restart", "retune", "inspect"]
ORDER_KINDS: tuple[OrderKind, ...] = get_args(OrderKind)
StepState = Literal["waiting", "asked", "taken", "done", "refused", "died", "not reached", "unknown"]
OrderState = Literal["drafting", "waiting", "running", "paused", "done", "refused", "cancelled"]

FINAL_STEP_STATES: frozenset[str] = frozenset(("done", "refused", "died", "not reached", "unknown"))
STEP_STATES_IN_PROGRESS: frozenset[str] = frozenset(("asked", "taken"))
OPEN_ORDER_STATES: frozenset[str] = frozenset(("waiting", "running", "paused"))
BEGUN_ORDER_STATES: frozenset[str] = frozenset(("running", "paused"))

MAX_NAMES_IN_REASON = 3
"""Number of instances that a reason lists by name; further ones are only counted."""


@dataclass(frozen=True, slots=True)
class Step:
    """The part of an order that concerns one instance.

    ``holder`` is the agent that has taken the step, with its incarnation. ``detail`` explains the result to
    operators. The fields are in the order of the stored columns.
    """

    order_id: int
    instance: str
    zone: str
    kind: OrderKind
    state: StepState = "waiting"
    holder: str = ""
    detail: str = ""

    @property
    def is_in_progress(self) -> bool:
        """True if the step was requested and has no result yet."""
        return self.state in STEP_STATES_IN_PROGRESS

    @property
    def is_final(self) -> bool:
        """True if the order does not wait for the step any longer."""
        return self.state in FINAL_STEP_STATES


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order over many instances; the fields are in the order of the stored columns.

    ``id`` increases from order to order. ``who`` is the operator. At most ``at_most`` steps are in progress at once.
    In each zone, at most the fraction ``by_zone`` of its steps is in progress, but always at least one step is
    allowed; 0 means no limit. The order pauses while the fraction of the other instances that are healthy is below
    ``least_healthy``, or the mean fraction of requests that they serve is below ``least_served``. ``why`` is the
    reason for ``state``.
    """

    id: int
    kind: OrderKind
    who: str
    at_most: int = 1
    by_zone: float = 0.0
    least_healthy: float = 0.0
    least_served: float = 0.0
    state: OrderState = "waiting"
    why: str = ""
    steps: tuple[Step, ...] = ()

    @property
    def has_begun(self) -> bool:
        """True if the order is running or paused."""
        return self.state in BEGUN_ORDER_STATES

    @property
    def instances(self) -> frozenset[str]:
        """The names of the instances of the order."""
        return frozenset(step.instance for step in self.steps)

    def __str__(self) -> str:
        """Return the name of the order in reasons and log lines."""
        return f"order {self.id} ({self.kind} by {self.who})"


@dataclass(frozen=True, slots=True)
class OrderDecision:
    """The new state of an order that has not begun, and the reason for it."""

    order: Order
    state: OrderState
    why: str = ""


def orders_conflict(a: Order, b: Order) -> bool:
    """True if both orders change the same instance; an inspection changes nothing."""
    if "inspect" in (a.kind, b.kind):
        return False
    return not a.instances.isdisjoint(b.instances)


def resolve_conflicts(orders: Iterable[Order]) -> list[OrderDecision]:
    """Return decisions on the waiting orders, the latest order first.

    An order that has begun continues, and a later order that conflicts with it is rejected. Of several conflicting
    orders that have not begun, the latest is accepted and the earlier ones are rejected. The reason for a rejection
    names the other order.
    """
    open_orders = sorted((o for o in orders if o.state in OPEN_ORDER_STATES), key=lambda order: order.id)
    accepted = [order for order in open_orders if order.has_begun]
    waiting = [order for order in open_orders if order.state == "waiting"]
    decisions = []
    for order in reversed(waiting):
        other = next((other for other in accepted if orders_conflict(order, other)), None)
        if other is None:
            accepted.append(order)
            decisions.append(OrderDecision(order, "running"))
        else:
            decisions.append(OrderDecision(order, "refused", _conflict_reason(order, other)))
    return decisions


def _conflict_reason(order: Order, other: Order) -> str:
    """Return the reason why ``order`` is rejected in favour of ``other``."""
    common = sorted(order.instances & other.instances)
    names = ", ".join(common[:MAX_NAMES_IN_REASON])
    if len(common) > MAX_NAMES_IN_REASON:
        names += f" and {len(common) - MAX_NAMES_IN_REASON} more"
    if other.has_begun:
        return f"{other} runs on {names}"
    return f"{other} came before it had begun, on {names}"


@dataclass(frozen=True, slots=True)
class OrderReport:
    """The state of an order by instance.

    ``by_state`` maps the state of a step to the names of the instances in it. ``not_done`` maps each instance whose
    step is not done to its state and detail.
    """

    order: Order
    by_state: Mapping[str, Sequence[str]] = field(default_factory=dict)
    not_done: Mapping[str, str] = field(default_factory=dict)

    def lines(self) -> list[str]:
        """Return the lines of the report that the command line prints."""
        order = self.order
        reason = f": {order.why}" if order.why else ""
        counts = ", ".join(f"{len(names)} {state}" for state, names in self.by_state.items()) or "no steps"
        return [
            f"{order}: {order.state}{reason}",
            f"{len(order.steps)} instances: {counts}",
            *(f"{name}\t{text}" for name, text in self.not_done.items()),
        ]


def build_report(order: Order) -> OrderReport:
    """Return the report of an order from the stored state of its steps."""
    by_state: dict[str, list[str]] = {}
    not_done: dict[str, str] = {}
    for step in sorted(order.steps, key=lambda step: step.instance):
        by_state.setdefault(step.state, []).append(step.instance)
        if step.state != "done":
            not_done[step.instance] = f"{step.state}: {step.detail}" if step.detail else step.state
    return OrderReport(order, by_state, not_done)
