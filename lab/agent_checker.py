"""Rules that agents must keep in virtual time, judged at each act and at the end of each order.

- ``stale-write``: a row of an instance or a step was changed by whoever did not hold its lease;
- ``unrecorded-act``: SIGTERM to a proxy without a reason in the store, or a start that is not on record;
- ``two-at-once``: two proxies of one instance at one time;
- ``over-bound``: more of an order's steps in progress at once than it allows;
- ``report-untrue``: an instance that the report calls done and is not, or one that it blames and that is done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from beechslip.clock import ManualClock
from beechslip.orders.model import Order
from beechslip.orders.order_store import OrderStore
from beechslip.orders.step_run import EXIT_NOT_OBSERVED
from beechslip.store import SqlConnection
from lab.check import Violation
from lab.simulated_proxies import SimulatedProxy

MAX_VIOLATIONS = 50
CHECKED_ORDERS = 20


class FleetState(Protocol):
    """What the checker reads of the fleet.

    ``taken_ms``: by order and instance, when an agent first took the step; ``stopping``: agents drain all they have.
    """

    clock: ManualClock
    database: SqlConnection
    orders: OrderStore
    processes: list[SimulatedProxy]
    taken_ms: dict[tuple[int, str], float]
    stopping: bool

    def alive(self, instance: str) -> SimulatedProxy | None:
        """The running process of an instance."""
        ...


@dataclass
class AgentChecker:
    """The rules of this module, by what the store holds and what the proxies went through."""

    fleet: FleetState
    violations: list[Violation] = field(default_factory=list)
    ended: dict[int, Order] = field(default_factory=dict)

    def _violation(self, rule: str, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, self.fleet.clock.now_ms(), text))

    def check_write(self, holder: str, values: dict[str, Any]) -> None:
        """A fenced write of ``holder`` went through; ``values`` are its parameters."""
        lease = values["f_lease"]
        rows = self.fleet.database.run("SELECT holder FROM leases WHERE name = :name", name=lease)
        if not rows or rows[0][0] != holder:
            self._violation("stale-write", f"{holder} wrote under {lease}, held by {rows[0][0] if rows else '-'}")

    def check_sigterm(self, process: SimulatedProxy) -> None:
        """A process gets SIGTERM from its agent."""
        if not self.fleet.stopping and not self._end_is_on_record(process):
            self._violation(
                "unrecorded-act", f"{process.agent} ends {process.instance}, of which nothing is on record"
            )

    def _end_is_on_record(self, process: SimulatedProxy) -> bool:
        """Whether the instance is not wanted running, has a step, or has another agent."""
        run = self.fleet.database.run
        name = process.instance
        wanted = run("SELECT wanted FROM instances WHERE name = :name", name=name)
        if wanted and wanted[0][0] != "running":
            return True
        if run(
            "SELECT holder FROM steps WHERE instance = :name AND state IN ('taken', 'unknown', 'done')", name=name
        ):
            return True
        lease = run("SELECT holder FROM leases WHERE name = :name", name=f"agent:{name}")
        return bool(lease) and lease[0][0] != process.agent

    def check_start(self, instance: str, agent: str) -> None:
        """An agent is about to start a process of an instance."""
        running = self.fleet.alive(instance)
        if running is not None:
            self._violation("two-at-once", f"{agent} starts {instance}, which runs by {running.agent}")
        state = self.fleet.database.run("SELECT state FROM instances WHERE name = :name", name=instance)
        if not state or state[0][0] != "starting":
            self._violation("unrecorded-act", f"{agent} starts {instance}, which is on record as {state}")

    def check_orders(self) -> None:
        """After each tick: the limits of orders, and the reports of those that have ended."""
        for order in self.fleet.orders.newest(CHECKED_ORDERS):
            in_progress = sum(step.is_in_progress for step in order.steps)
            if in_progress > order.at_most:
                self._violation("over-bound", f"{order}: {in_progress} out, {order.at_most} allowed")
            if order.state == "done" and order.id not in self.ended:
                self.ended[order.id] = order
                self._check_ended(order)

    def _check_ended(self, order: Order) -> None:
        for step in order.steps:
            name = step.instance
            if step.state == "not reached" and (order.id, name) in self.fleet.taken_ms:
                self._violation("report-untrue", f"{order}: {name} is not reached, but was taken")
            if order.kind == "drain" and step.state == "done" and self.fleet.alive(name):
                self._violation("report-untrue", f"{order}: {name} is done, and runs")

    def check_result(self, number: int, instance: str, state: str, detail: str) -> None:
        """The result that an agent writes of a step, against what its proxies went through since it was taken."""
        order = self.fleet.orders.get(number)
        assert order is not None
        since_ms = self.fleet.taken_ms[number, instance]
        processes = [process for process in self.fleet.processes if process.instance == instance]
        recent = [process for process in processes if process.alive or process.ended_ms >= since_ms]
        failed = [process for process in recent if process.returncode not in (None, 0)]
        if state == "done":
            untrue = self._done_is_untrue(order, since_ms, recent, failed, EXIT_NOT_OBSERVED in detail)
        elif state == "died":
            last_failed = bool(processes and processes[-1].returncode)
            untrue = not failed and order.kind != "inspect" and not last_failed
        else:
            untrue = False
        if untrue:
            seen = [(process.pid, process.returncode, process.signals) for process in recent]
            self._violation("report-untrue", f"{order}: {instance} {state} ({detail}), but {seen}")

    @staticmethod
    def _done_is_untrue(
        order: Order, since_ms: float, recent: list[SimulatedProxy], failed: list[SimulatedProxy], unseen: bool
    ) -> bool:
        running = [process for process in recent if process.alive]
        failed_before = not unseen and any(process.started_ms < since_ms for process in failed)
        if order.kind == "drain":
            return bool(running) or failed_before
        if order.kind == "restart":
            return failed_before or not any(process.started_ms >= since_ms for process in running)
        return False
