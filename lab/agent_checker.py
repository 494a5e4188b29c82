"""Checks the rules that agents must keep in virtual time.

The rules are checked at each action of an agent and at the end of each order:

- ``stale-write``: an agent changed the row of an instance or a step without holding its lease;
- ``unrecorded-act``: an agent sent SIGTERM to a proxy without a reason in the store, or started a proxy without
  recording the start;
- ``two-at-once``: two proxies of one instance ran at the same time;
- ``over-bound``: more steps of an order were in progress at once than the order allows;
- ``report-is_untrue``: the report calls an instance done although it is not, or failed although it is done.
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


class CheckedFleet(Protocol):
    """The attributes of a fleet that the checker reads.

    ``taken_ms`` maps an order and an instance to the time at which an agent first took that step. ``is_stopping`` is
    true while the whole fleet shuts down, when the agents drain all their proxies.
    """

    clock: ManualClock
    database: SqlConnection
    orders: OrderStore
    processes: list[SimulatedProxy]
    taken_ms: dict[tuple[int, str], float]
    is_stopping: bool

    def running_process(self, instance: str) -> SimulatedProxy | None:
        """Return the running process of an instance, or None."""
        ...


@dataclass
class AgentChecker:
    """Compares the contents of the store with what happened to the simulated proxies."""

    fleet: CheckedFleet
    violations: list[Violation] = field(default_factory=list)
    ended_orders: dict[int, Order] = field(default_factory=dict)

    def _violation(self, rule: str, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, self.fleet.clock.now_ms(), text))

    def check_write(self, holder: str, values: dict[str, Any]) -> None:
        """Check a fenced write of ``holder`` that succeeded; ``values`` are the parameters of the statement."""
        lease = values["f_lease"]
        rows = self.fleet.database.run("SELECT holder FROM leases WHERE name = :name", name=lease)
        if not rows or rows[0][0] != holder:
            self._violation(
                "stale-write", f"{holder} wrote under lease {lease}, which is held by {rows[0][0] if rows else '-'}"
            )

    def check_sigterm(self, process: SimulatedProxy) -> None:
        """Check that the store has a reason for the SIGTERM that a process gets from its agent."""
        if not self.fleet.is_stopping and not self._has_recorded_reason(process):
            self._violation(
                "unrecorded-act", f"{process.agent} ends {process.instance}, but the store has no reason for it"
            )

    def _has_recorded_reason(self, process: SimulatedProxy) -> bool:
        """True if the instance is not wanted running, has a step, or is leased to another agent."""
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
        """Check that an instance which an agent is about to start is recorded as starting and does not run."""
        running = self.fleet.running_process(instance)
        if running is not None:
            self._violation("two-at-once", f"{agent} starts {instance}, which already runs under {running.agent}")
        state = self.fleet.database.run("SELECT state FROM instances WHERE name = :name", name=instance)
        if not state or state[0][0] != "starting":
            self._violation("unrecorded-act", f"{agent} starts {instance}, whose recorded state is {state}")

    def check_orders(self) -> None:
        """Check the limits of running orders and the reports of ended ones. Called after each tick."""
        for order in self.fleet.orders.newest(CHECKED_ORDERS):
            in_progress = sum(step.is_in_progress for step in order.steps)
            if in_progress > order.at_most:
                self._violation(
                    "over-bound", f"{order}: {in_progress} steps in progress, at most {order.at_most} allowed"
                )
            if order.state == "done" and order.id not in self.ended_orders:
                self.ended_orders[order.id] = order
                self._check_ended(order)

    def _check_ended(self, order: Order) -> None:
        for step in order.steps:
            name = step.instance
            if step.state == "not reached" and (order.id, name) in self.fleet.taken_ms:
                self._violation(
                    "report-untrue", f"{order}: {name} is reported as not reached, but its step was taken"
                )
            if order.kind == "drain" and step.state == "done" and self.fleet.running_process(name):
                self._violation("report-untrue", f"{order}: {name} is reported as drained, but still runs")

    def check_result(self, number: int, instance: str, state: str, detail: str) -> None:
        """Compare a step's result, as its agent writes it, with what happened to the proxies since it was taken."""
        order = self.fleet.orders.get(number)
        assert order is not None
        since_ms = self.fleet.taken_ms[number, instance]
        processes = [process for process in self.fleet.processes if process.instance == instance]
        recent = [process for process in processes if process.is_alive or process.ended_ms >= since_ms]
        failed = [process for process in recent if process.returncode not in (None, 0)]
        if state == "done":
            is_untrue = self._done_is_untrue(order, since_ms, recent, failed, EXIT_NOT_OBSERVED in detail)
        elif state == "died":
            last_failed = bool(processes and processes[-1].returncode)
            is_untrue = not failed and order.kind != "inspect" and not last_failed
        else:
            is_untrue = False
        if is_untrue:
            seen = [(process.pid, process.returncode, process.signals) for process in recent]
            self._violation(
                "report-untrue",
                f"{order}: {instance} is reported as {state} ({detail}), but its processes were {seen}",
            )

    @staticmethod
    def _done_is_untrue(
        order: Order, since_ms: float, recent: list[SimulatedProxy], failed: list[SimulatedProxy], is_unseen: bool
    ) -> bool:
        running = [process for process in recent if process.is_alive]
        has_failed_before = not is_unseen and any(process.started_ms < since_ms for process in failed)
        if order.kind == "drain":
            return bool(running) or has_failed_before
        if order.kind == "restart":
            return has_failed_before or not any(process.started_ms >= since_ms for process in running)
        return False
