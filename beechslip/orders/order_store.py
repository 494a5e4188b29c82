"""The stored orders and their steps.

The order runner and the agents write under the fence of their lease. Bounds: orders that are not open are pruned by
age and count, including those whose creation was interrupted (state ``drafting``).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from beechslip.orders.model import Order, OrderKind, OrderState, Step, StepState
from beechslip.store import Fence, Instance, SqlConnection, StoreError
from beechslip.store.sql import fence_condition

CREATE_ORDERS_TABLE = """CREATE TABLE IF NOT EXISTS orders (
    id {serial}, at_ms DOUBLE PRECISION NOT NULL, kind TEXT NOT NULL, who TEXT NOT NULL, at_most BIGINT NOT NULL,
    by_zone DOUBLE PRECISION NOT NULL, least_healthy DOUBLE PRECISION NOT NULL,
    least_served DOUBLE PRECISION NOT NULL, state TEXT NOT NULL, why TEXT NOT NULL)"""
CREATE_STEPS_TABLE = """CREATE TABLE IF NOT EXISTS steps (
    order_id BIGINT NOT NULL, instance TEXT NOT NULL, zone TEXT NOT NULL, kind TEXT NOT NULL, state TEXT NOT NULL,
    holder TEXT NOT NULL, detail TEXT NOT NULL, PRIMARY KEY (order_id, instance))"""
ORDER_COLUMNS = "id, kind, who, at_most, by_zone, least_healthy, least_served, state, why"
STEP_COLUMNS = "order_id, instance, zone, kind, state, holder, detail"
ORDER_IS_OPEN = "state IN ('waiting', 'running', 'paused')"
ORDER_IS_CLOSED = "state NOT IN ('waiting', 'running', 'paused')"


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """Limits within which an order runs; see :class:`beechslip.orders.model.Order`."""

    at_most: int = 1
    by_zone: float = 0.0
    least_healthy: float = 0.0
    least_served: float = 0.0


class OrderStore:
    """The tables ``orders`` and ``steps``. All methods raise StoreError if the store fails."""

    def __init__(self, connection: SqlConnection) -> None:
        """Create the tables if they are missing. The caller closes ``connection``."""
        self._connection = connection
        connection.run(CREATE_ORDERS_TABLE.format(serial=connection.serial))
        connection.run(CREATE_STEPS_TABLE)

    # Creating and reading ----------------------------------------------------------------------------------

    def create(
        self,
        at_ms: float,
        kind: OrderKind,
        who: str,
        instances: Iterable[Instance],
        limits: OrderLimits | None = None,
    ) -> int:
        """Write an order that operator ``who`` gave at time of day ``at_ms``; return its number.

        The order can run only after the last write, so an order whose creation was interrupted never runs.
        """
        number = self._insert_draft(at_ms, kind, who, limits or OrderLimits())
        for instance in instances:
            self._insert_step(Step(number, instance.name, instance.zone, kind))
        released = self._connection.run(
            "UPDATE orders SET state = :state WHERE id = :id AND state = :was RETURNING id",
            state="waiting",
            id=number,
            was="drafting",
        )
        if not released:
            raise StoreError(f"order {number} was deleted while it was being created")
        return number

    def _insert_draft(self, at_ms: float, kind: OrderKind, who: str, limits: OrderLimits) -> int:
        inserted = self._connection.run(
            "INSERT INTO orders (at_ms, kind, who, at_most, by_zone, least_healthy, least_served, state, why) "
            "VALUES (:at_ms, :kind, :who, :at_most, :by_zone, :least_healthy, :least_served, :state, :why) "
            "RETURNING id",
            at_ms=at_ms,
            kind=kind,
            who=who,
            at_most=limits.at_most,
            by_zone=limits.by_zone,
            least_healthy=limits.least_healthy,
            least_served=limits.least_served,
            state="drafting",
            why="",
        )
        return int(inserted[0][0])

    def _insert_step(self, step: Step) -> None:
        self._connection.run(
            f"INSERT INTO steps ({STEP_COLUMNS}) VALUES (:order_id, :instance, :zone, :kind, :state, "
            ":holder, :detail)",
            order_id=step.order_id,
            instance=step.instance,
            zone=step.zone,
            kind=step.kind,
            state=step.state,
            holder=step.holder,
            detail=step.detail,
        )

    def get(self, number: int) -> Order | None:
        """Return an order with its steps, or ``None`` if no order has that number."""
        return next(iter(self._orders("id = :id", id=number)), None)

    def open_orders(self) -> list[Order]:
        """Return the orders that are waiting, running or paused, with their steps, the oldest first."""
        return self._orders(ORDER_IS_OPEN)

    def newest(self, count: int) -> list[Order]:
        """Return the newest ``count`` orders with their steps, the oldest first."""
        return sorted(self._orders("1 = 1 ORDER BY id DESC LIMIT :most", most=count), key=lambda order: order.id)

    def _orders(self, where: str, **values: object) -> list[Order]:
        rows = self._connection.run(f"SELECT {ORDER_COLUMNS} FROM orders WHERE {where}", **values)
        orders = []
        for row in sorted(rows):
            steps = self._connection.run(
                f"SELECT {STEP_COLUMNS} FROM steps WHERE order_id = :id ORDER BY instance", id=row[0]
            )
            orders.append(replace(Order(*row), steps=tuple(Step(*step) for step in steps)))
        return orders

    def active_steps(self) -> list[Step]:
        """Return the steps that an agent may take, is executing, or has given no result for."""
        rows = self._connection.run(
            f"SELECT {STEP_COLUMNS} FROM steps WHERE state IN ('asked', 'taken', 'unknown') ORDER BY order_id"
        )
        return [Step(*row) for row in rows]

    # The order runner's writes -----------------------------------------------------------------------------

    def set_order_state(self, order: Order, state: OrderState, why: str, fence: Fence | None) -> bool:
        """Set the state of an order if it is still as it was read; return True if it was written."""
        where, values = fence_condition(fence)
        return bool(
            self._connection.run(
                "UPDATE orders SET state = :state, why = :why "
                f"WHERE id = :id AND state = :was AND {where} RETURNING id",
                state=state,
                why=why,
                id=order.id,
                was=order.state,
                **values,
            )
        )

    def set_step_state(self, step: Step, state: StepState, detail: str, fence: Fence | None) -> bool:
        """Set the state of a step if its state and holder are still as read; return True if it was written."""
        where, values = fence_condition(fence)
        return bool(
            self._connection.run(
                "UPDATE steps SET state = :state, detail = :detail "
                "WHERE order_id = :order_id AND instance = :instance "
                f"AND state = :was AND holder = :holder AND {where} RETURNING instance",
                state=state,
                detail=detail,
                order_id=step.order_id,
                instance=step.instance,
                was=step.state,
                holder=step.holder,
                **values,
            )
        )

    def prune(self, before_ms: float, max_count: int, fence: Fence | None) -> None:
        """Delete old orders that are not open, and the steps of deleted orders.

        Orders are deleted if they were given before time of day ``before_ms``, or are not among the newest
        ``max_count``.
        """
        where, values = fence_condition(fence)
        self._connection.run(
            f"DELETE FROM orders WHERE {ORDER_IS_CLOSED} AND "
            f"(at_ms < :before OR id <= (SELECT MAX(id) FROM orders) - :most) AND {where}",
            before=before_ms,
            most=max_count,
            **values,
        )
        self._connection.run(f"DELETE FROM steps WHERE order_id NOT IN (SELECT id FROM orders) AND {where}", **values)

    # An agent's writes -------------------------------------------------------------------------------------

    def take_step(self, step: Step, holder: str, fence: Fence | None) -> bool:
        """Take a step that is requested, or that another holder had taken, before any action is done for it.

        The step must still be as it was read. Return True if it was written.
        """
        where, values = fence_condition(fence)
        return bool(
            self._connection.run(
                "UPDATE steps SET state = :state, holder = :mine WHERE order_id = :order_id AND instance = :instance "
                f"AND state = :was AND holder = :holder AND {where} RETURNING instance",
                state="taken",
                mine=holder,
                order_id=step.order_id,
                instance=step.instance,
                was=step.state,
                holder=step.holder,
                **values,
            )
        )

    def set_step_result(self, step: Step, holder: str, state: StepState, detail: str, fence: Fence | None) -> bool:
        """Write the result of a step that ``holder`` has taken, even if its state is ``unknown`` by now.

        Return True if it was written.
        """
        where, values = fence_condition(fence)
        return bool(
            self._connection.run(
                "UPDATE steps SET state = :state, detail = :detail "
                "WHERE order_id = :order_id AND instance = :instance "
                f"AND state IN ('taken', 'unknown') AND holder = :mine AND {where} RETURNING instance",
                state=state,
                detail=detail,
                order_id=step.order_id,
                instance=step.instance,
                mine=holder,
                **values,
            )
        )
