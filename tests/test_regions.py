"""Tests of the coordinator's decisions on regions, one by one and in virtual time."""

from __future__ import annotations

from typing import Any

import pytest

from beechslip.regions.coordinator import CoordinatorTuning, RegionCoordinator
from beechslip.regions.detection import PooledScore, ReportedStatistics, pooled_score
from beechslip.regions.failure_evidence import RegionStatistics
from beechslip.regions.guards import is_within_limits
from beechslip.regions.status import RECOVERY_FRACTIONS, RegionState, RegionStatus
from lab.injected_faults import registered
from lab.region_trials import run_trial
from lab.virtual_regions import RegionFleet
from tests.region_helpers import BACKEND_COUNTS, TUNING

GOOD_STATISTICS = RegionStatistics(10, 0, 0.2, 0.0)
BAD_STATISTICS = RegionStatistics(4, 4, 0.2, 12.0)
OUT_STATUS = RegionStatus(RegionState.OUT, 0, 1)


# In virtual time ---------------------------------------------------------------------------------------------------


def test_region_trials_find_no_violation() -> None:
    outcomes = [run_trial(seed) for seed in range(60)]
    assert [(seed, outcome.violations) for seed, outcome in enumerate(outcomes) if outcome.violations] == []
    assert sum(outcome.max_away > 0 for outcome in outcomes) > 20
    assert sum(outcome.orders for outcome in outcomes) > 150


@pytest.mark.parametrize("fault", sorted(registered("regions")))
def test_region_trials_find_each_injected_fault(fault: str) -> None:
    seeds = [785, 1497, 1573] if fault == "no-region-guard" else range(200)
    assert any(run_trial(seed, fault).violations for seed in seeds)


def test_region_trial_replays_exactly_from_its_seed() -> None:
    def events(seed: int) -> list[Any]:
        fleet = RegionFleet(seed)
        fleet.keeps_events = True
        fleet.run()
        return fleet.events

    assert events(7) == events(7)


# Leaving -----------------------------------------------------------------------------------------------------------


def make_reports(
    bad: int = 0, good: int = 5, region: str = "hub:a", others: RegionStatistics = GOOD_STATISTICS
) -> ReportedStatistics:
    """Return the statistics of ``bad`` proxies for which ``region`` fails and of ``good`` for which it does not.

    All of them report ``others`` for the other hubs.
    """
    rest = {name: others for name in BACKEND_COUNTS if name.startswith("hub") and name != region}
    return {f"d{n}": {region: BAD_STATISTICS if n < bad else GOOD_STATISTICS, **rest} for n in range(bad + good)}


@pytest.mark.parametrize(
    ("reports", "is_left"),
    [
        (make_reports(4), True),
        (make_reports(2), True),
        (make_reports(1), False),
        (make_reports(0), False),
        (make_reports(4, others=BAD_STATISTICS), False),  # all hubs fail alike, so the fault lies behind them
        ({"d0": {"hub:a": BAD_STATISTICS}}, False),
        ({"d0": {"hub:a": BAD_STATISTICS}, "d1": {"hub:a": RegionStatistics(9, 1, 0, 1.0)}}, False),
    ],
)
def test_coordinator_leaves_a_region_if_several_proxies_report_failures(
    reports: ReportedStatistics, is_left: bool
) -> None:
    changes = RegionCoordinator(TUNING, {}, 0.0).decide_changes(1000.0, BACKEND_COUNTS, reports)
    assert (changes.get("hub:a", RegionStatus()).state is RegionState.LEAVING) is is_left


def test_pooled_score_counts_no_proxy_for_more_than_all_others_together() -> None:
    one = pooled_score("hub:a", make_reports(1))
    two = pooled_score("hub:a", make_reports(2))
    assert one.value < two.value / 2
    assert pooled_score("hub:a", {}) == PooledScore(0.0, 0)


def test_limits_prevent_leaving_a_second_hub_and_the_last_hub() -> None:
    coordinator = RegionCoordinator(TUNING, {}, 0.0)
    coordinator.apply_changes(0.0, {"hub:a": OUT_STATUS})
    reports = {
        f"d{n}": {"hub:a": BAD_STATISTICS, "hub:b": BAD_STATISTICS, "hub:c": GOOD_STATISTICS} for n in range(4)
    }
    assert "hub:b" not in coordinator.decide_changes(10.0, BACKEND_COUNTS, reports)
    unlimited = RegionCoordinator(
        CoordinatorTuning(max_out_fraction=1.0), {"hub:a": OUT_STATUS, "hub:b": OUT_STATUS}, 0.0
    )
    assert unlimited.may_leave("hub:c", BACKEND_COUNTS) is False
    assert not is_within_limits({name: RegionStatus(RegionState.OUT) for name in BACKEND_COUNTS}, BACKEND_COUNTS, 1.0)


def test_change_log_puts_back_or_removes_a_region_that_is_out() -> None:
    coordinator = RegionCoordinator(TUNING, {}, 0.0)
    coordinator.apply_changes(0.0, {"hub:a": OUT_STATUS})
    # One of the three hubs is drained, so too few would be in service while hub:a is out.
    assert coordinator.decide_changes(20.0, {"hub:a": 2, "hub:b": 1}, {})["hub:a"].state is RegionState.IN
    # hub:a itself is removed.
    assert coordinator.decide_changes(20.0, {"hub:b": 1, "hub:c": 1}, {})["hub:a"] == RegionStatus()


# Returning ---------------------------------------------------------------------------------------------------------


class Recovery:
    """A coordinator with one region ``hub:a`` and a clock that advances with each decision."""

    def __init__(self, status: RegionStatus) -> None:
        """Start at time 0 with ``status`` for the region."""
        self.coordinator = RegionCoordinator(TUNING, {"hub:a": status}, 0.0)
        self.now_ms = 0.0

    def status_after(
        self, elapsed_ms: float, reports: ReportedStatistics, strained_regions: frozenset[str] = frozenset()
    ) -> RegionStatus:
        """Advance the clock by ``elapsed_ms``, let the coordinator decide and return the region's status."""
        self.now_ms += elapsed_ms
        changes = self.coordinator.decide_changes(self.now_ms, BACKEND_COUNTS, reports, strained_regions)
        self.coordinator.apply_changes(self.now_ms, changes)
        return changes.get("hub:a", self.coordinator.table["hub:a"])

    def set_status(self, status: RegionStatus) -> None:
        """Give the region ``status`` now."""
        self.coordinator.apply_changes(self.now_ms, {"hub:a": status})


def test_return_follows_steps_that_strain_prolongs_and_failures_take_back() -> None:
    recovery = Recovery(RegionStatus(RegionState.OUT, 0, 2))
    healthy = make_reports(0)
    failing = make_reports(3)
    # The second wait is twice the first.
    assert recovery.status_after(1900, healthy).state is RegionState.OUT
    assert recovery.status_after(101, healthy) == RegionStatus(RegionState.RETURNING, 0, 2)
    assert recovery.status_after(101, healthy).step == 1
    assert recovery.status_after(50, healthy).step == 1
    assert recovery.status_after(51, healthy).step == 2
    # Strain, nearly full links and some failures each prolong a step.
    assert recovery.status_after(101, healthy, frozenset({"hub:a"})).step == 2
    assert recovery.status_after(101, {"d0": {"hub:a": RegionStatistics(10, 0, 0.95, 0)}}).step == 2
    some = {name: {"hub:a": RegionStatistics(10, 3, 0.1, 8.0)} for name in ("d0", "d1")}
    assert recovery.status_after(101, some).step == 2
    # More failures take the return back a step; the second time in a row they end it and double the wait.
    assert recovery.status_after(101, failing).step == 1
    assert recovery.status_after(101, failing) == RegionStatus(RegionState.LEAVING, 0, 3)
    assert recovery.status_after(1, healthy).state is RegionState.OUT
    assert recovery.status_after(3999, healthy).state is RegionState.OUT
    recovery.status_after(2, healthy)
    for _ in RECOVERY_FRACTIONS:
        recovery.status_after(101, healthy)
    assert recovery.coordinator.table["hub:a"] == RegionStatus(RegionState.IN, 0, 3)
    # A failure soon after the return doubles the wait again; after a long time without one the backoff is reset.
    assert recovery.status_after(4000, failing) == RegionStatus(RegionState.LEAVING, 0, 4)
    recovery.set_status(RegionStatus(RegionState.IN, 0, 4))
    assert recovery.status_after(5001, healthy) == RegionStatus()


def test_region_with_an_operator_hold_stays_out() -> None:
    recovery = Recovery(RegionStatus())
    recovery.set_status(RegionStatus(RegionState.OUT, 0, 1, has_operator_hold=True))
    assert recovery.status_after(9999, make_reports(0)).state is RegionState.OUT
