"""The coordinator's decisions for all regions: which to leave, when to return to them and with how much traffic.

This module only computes; it sends no messages.

A return follows the steps of :data:`beechslip.regions.status.RECOVERY_FRACTIONS`. Objects come back in a fixed order.
A step lasts at least ``step_ms``, and until enough attempts have been made in it. It is prolonged while the region is
strained: its links are nearly full, or a warming-up backend in it has used up its allowance. A failed step takes the
return back by one step. The second failed step in a row ends the return, and the wait before the next return is
doubled.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from beechslip.regions import detection, guards
from beechslip.regions.detection import FAILURE_THRESHOLD, ReportedStatistics
from beechslip.regions.status import (
    MAX_BACKOFF_LEVEL,
    RECOVERY_FRACTIONS,
    RegionState,
    RegionStatus,
    RegionTable,
    region_roles,
    regions_of_role,
)

MAX_SCORE_TO_END_STEP = 0.5 * FAILURE_THRESHOLD  # a step lasts longer while the pooled score is above this
MIN_STEP_ATTEMPTS = 6.0  # in a step, needed to tell whether the region can carry the step's traffic
LOW_TRAFFIC_STEP_FACTOR = 4.0  # a step with too few attempts ends after this many times step_ms
STRAINED_UTILIZATION = 0.9  # link utilization from which a step is prolonged
MAX_CONSECUTIVE_STEP_FAILURES = 2  # the last of these in a row ends the return


@dataclass(frozen=True, slots=True)
class CoordinatorTuning:
    """Times (ms) and limits of the coordinator, from the table ``regions`` of the fleet file.

    ``initial_wait_ms`` is the first wait before a return. ``step_ms`` is the minimum duration of a step of the
    recovery ramp. ``max_out_fraction`` is the largest fraction of a role's backends that may be out. Once a
    region has been in for ``backoff_reset_ms``, its backoff is reset: its next wait is ``initial_wait_ms`` again.
    """

    initial_wait_ms: float = 4000.0
    step_ms: float = 1500.0
    max_out_fraction: float = 0.5
    backoff_reset_ms: float = 30_000.0


@dataclass(frozen=True, slots=True)
class _DecisionRound:
    """The inputs of one round of decisions, and the ``changes`` that the round has decided on so far."""

    now_ms: float
    backend_counts: Mapping[str, int]
    reports: ReportedStatistics
    strained_regions: frozenset[str]
    changes: dict[str, RegionStatus]


class RegionCoordinator:
    """Decides on region statuses during one tenure of the coordinator's lease."""

    def __init__(self, tuning: CoordinatorTuning, table: RegionTable, now_ms: float) -> None:
        """Continue from ``table``, the newest that a majority knows. All waits start again at ``now_ms``."""
        self.tuning = tuning
        self.table = dict(table)
        self._state_since_ms = dict.fromkeys(table, now_ms)  # start of the current state or step, by region
        self._step_failures: dict[str, int] = {}  # failed steps in a row, by region

    def decide_changes(
        self,
        now_ms: float,
        backend_counts: Mapping[str, int],
        reports: ReportedStatistics,
        strained_regions: frozenset[str] = frozenset(),
    ) -> dict[str, RegionStatus]:
        """Return the status changes that are due, at most one for each region.

        Once the changes are in an order, pass them to :meth:`apply_changes`. ``backend_counts`` is the number of
        backends in service in each listed region. The current step of each of the ``strained_regions`` is prolonged.
        """
        decision_round = _DecisionRound(now_ms, backend_counts, reports, strained_regions, {})
        for region in sorted(backend_counts):
            status = self.table.get(region, RegionStatus())
            changed = status if status.has_operator_hold else self._next_status(region, status, decision_round)
            if changed != status:
                decision_round.changes[region] = changed
        for region in self.table:
            if region not in backend_counts:  # the change log has drained or removed it, which takes precedence
                decision_round.changes[region] = RegionStatus()
        for name in region_roles(backend_counts):
            self._restore_limits(regions_of_role(backend_counts, name), decision_round.changes)
        return decision_round.changes

    def apply_changes(self, now_ms: float, changes: RegionTable) -> None:
        """Apply to the table the ``changes`` that an order has announced."""
        for region, status in changes.items():
            before = self.table.get(region, RegionStatus())
            if (before.state, before.step) != (status.state, status.step):
                self._state_since_ms[region] = now_ms
            if status.state is RegionState.IN and before.state is RegionState.RETURNING:
                self._step_failures.pop(region, None)
            self.table[region] = status

    def may_leave(self, region: str, backend_counts: Mapping[str, int], changes: RegionTable | None = None) -> bool:
        """True if the limits allow ``region`` to leave, given the regions that are out after ``changes``."""
        table = {**self.table, **(changes or {})}
        return guards.may_leave(region, table, backend_counts, self.tuning.max_out_fraction)

    def _restore_limits(self, role_backend_counts: Mapping[str, int], changes: dict[str, RegionStatus]) -> None:
        """Put the region that has been out longest back in if the change log has left too few backends in service."""
        table = {**self.table, **changes}
        out_regions = [
            name for name in role_backend_counts if table.get(name, RegionStatus()).traffic_fraction == 0.0
        ]
        if out_regions and not guards.is_within_limits(table, role_backend_counts, self.tuning.max_out_fraction):
            longest_out = min(out_regions, key=lambda name: self._state_since_ms.get(name, 0.0))
            changes[longest_out] = RegionStatus(RegionState.IN, 0, table[longest_out].backoff_level)

    def _next_status(self, region: str, status: RegionStatus, decision_round: _DecisionRound) -> RegionStatus:
        """Return the status that is due for ``region``, or ``status`` itself if nothing changes."""
        elapsed_ms = decision_round.now_ms - self._state_since_ms.setdefault(region, decision_round.now_ms)
        if status.state is RegionState.LEAVING:
            return replace(status, state=RegionState.OUT)
        if status.state is RegionState.OUT:
            wait_ms = self.tuning.initial_wait_ms * 2.0 ** max(status.backoff_level - 1, 0)
            return replace(status, state=RegionState.RETURNING, step=0) if elapsed_ms >= wait_ms else status
        score = detection.pooled_score(region, decision_round.reports)
        is_region_failing = detection.is_failing(region, score, decision_round.reports, self.table)
        if status.state is RegionState.IN:
            return self._next_status_while_in(region, status, is_region_failing, elapsed_ms, decision_round)
        if is_region_failing and elapsed_ms >= self.tuning.step_ms / 2:
            return self._status_after_failed_step(region, status)
        if elapsed_ms >= self.tuning.step_ms and self._may_end_step(region, score.value, elapsed_ms, decision_round):
            return self._status_after_completed_step(region, status)
        return status

    def _next_status_while_in(
        self,
        region: str,
        status: RegionStatus,
        is_region_failing: bool,
        elapsed_ms: float,
        decision_round: _DecisionRound,
    ) -> RegionStatus:
        """Return the status that is due for a region that is in: leave it if it fails, or reset its backoff."""
        is_stable = elapsed_ms >= self.tuning.backoff_reset_ms
        if is_region_failing and self.may_leave(region, decision_round.backend_counts, decision_round.changes):
            backoff_level = status.backoff_level + 1 if status.backoff_level and not is_stable else 1
            return RegionStatus(RegionState.LEAVING, 0, min(backoff_level, MAX_BACKOFF_LEVEL))
        return replace(status, backoff_level=0) if status.backoff_level and is_stable else status

    def _may_end_step(self, region: str, score: float, elapsed_ms: float, decision_round: _DecisionRound) -> bool:
        """True if a step that has lasted ``step_ms`` may end: no strain, few failures and enough attempts."""
        traffic = detection.pooled_traffic(region, decision_round.reports)
        if traffic.max_utilization >= STRAINED_UTILIZATION or region in decision_round.strained_regions:
            return False
        if score > MAX_SCORE_TO_END_STEP:
            return False
        return traffic.attempts >= MIN_STEP_ATTEMPTS or elapsed_ms >= LOW_TRAFFIC_STEP_FACTOR * self.tuning.step_ms

    def _status_after_failed_step(self, region: str, status: RegionStatus) -> RegionStatus:
        """Go back one step, or end the return at the second failure in a row or at the first step."""
        failures = self._step_failures.get(region, 0) + 1
        if failures >= MAX_CONSECUTIVE_STEP_FAILURES or status.step == 0:
            self._step_failures.pop(region, None)
            return RegionStatus(RegionState.LEAVING, 0, min(status.backoff_level + 1, MAX_BACKOFF_LEVEL))
        self._step_failures[region] = failures
        return replace(status, step=status.step - 1)

    def _status_after_completed_step(self, region: str, status: RegionStatus) -> RegionStatus:
        """Go on to the next step; after the last one the region is in."""
        self._step_failures.pop(region, None)
        if status.step + 1 >= len(RECOVERY_FRACTIONS):
            return RegionStatus(RegionState.IN, 0, status.backoff_level)
        return replace(status, step=status.step + 1)
