"""The coordinator's decisions on regions, piece by piece and in virtual time."""

from __future__ import annotations

from typing import Any

import pytest

from beechslip.regions.coordinator import CoordinatorTuning, RegionCoordinator
from beechslip.regions.detection import PooledScore, Reports, pooled_score
from beechslip.regions.failure_evidence import RegionStatistics
from beechslip.regions.guards import within_guards
from beechslip.regions.status import RECOVERY_FRACTIONS, RegionState, RegionStatus
from lab.injected_faults import registered
from lab.region_trials import run_trial
from lab.virtual_regions import RegionFleet
from tests.region_helpers import SIZES, TUNING

GOOD = RegionStatistics(10, 0, 0.2, 0.0)
BAD = RegionStatistics(4, 4, 0.2, 12.0)
OUT = RegionStatus(RegionState.OUT, 0, 1)


# In virtual time ---------------------------------------------------------------------------------------------------


def test_no_seed_finds_a_violation() -> None:
    outcomes = [run_trial(seed) for seed in range(60)]
    assert [(seed, outcome.violations) for seed, outcome in enumerate(outcomes) if outcome.violations] == []
    assert sum(outcome.max_away > 0 for outcome in outcomes) > 20
    assert sum(outcome.orders for outcome in outcomes) > 150


@pytest.mark.parametrize("fault", sorted(registered("regions")))
def test_an_injected_fault_is_found(fault: str) -> None:
    seeds = [785, 1497, 1573] if fault == "no-region-guard" else range(200)
    assert any(run_trial(seed, fault).violations for seed in seeds)


def test_a_seed_replays_exactly() -> None:
    def events(seed: int) -> list[Any]:
        fleet = RegionFleet(seed)
        fleet.keeps_events = True
        fleet.run()
        return fleet.events

    assert events(7) == events(7)


# Leaving -----------------------------------------------------------------------------------------------------------


def make_reports(bad: int = 0, good: int = 5, region: str = "hub:a", others: RegionStatistics = GOOD) -> Reports:
    """``bad`` proxies for which ``region`` fails, ``good`` for which it does not; other hubs are as ``others``."""
    rest = {name: others for name in SIZES if name.startswith("hub") and name != region}
    return {f"d{n}": {region: BAD if n < bad else GOOD, **rest} for n in range(bad + good)}


@pytest.mark.parametrize(
    ("reports", "leaves"),
    [
        (make_reports(4), True),
        (make_reports(2), True),
        (make_reports(1), False),
        (make_reports(0), False),
        (make_reports(4, others=BAD), False),  # all alike: the fault lies behind them
        ({"d0": {"hub:a": BAD}}, False),
        ({"d0": {"hub:a": BAD}, "d1": {"hub:a": RegionStatistics(9, 1, 0, 1.0)}}, False),
    ],
)
def test_a_region_is_left_if_several_proxies_have_met_failures(reports: Reports, leaves: bool) -> None:
    changes = RegionCoordinator(TUNING, {}, 0.0).decide(1000.0, SIZES, reports)
    assert (changes.get("hub:a", RegionStatus()).state is RegionState.LEAVING) is leaves


def test_no_proxy_counts_for_more_than_all_others_together() -> None:
    one = pooled_score("hub:a", make_reports(1))
    two = pooled_score("hub:a", make_reports(2))
    assert one.value < two.value / 2
    assert pooled_score("hub:a", {}) == PooledScore(0.0, 0)


def test_guards_prevent_leaving_a_second_hub_and_the_last_one() -> None:
    coordinator = RegionCoordinator(TUNING, {}, 0.0)
    coordinator.apply(0.0, {"hub:a": OUT})
    reports = {f"d{n}": {"hub:a": BAD, "hub:b": BAD, "hub:c": GOOD} for n in range(4)}
    assert "hub:b" not in coordinator.decide(10.0, SIZES, reports)
    unlimited = RegionCoordinator(CoordinatorTuning(max_out_fraction=1.0), {"hub:a": OUT, "hub:b": OUT}, 0.0)
    assert unlimited.may_leave("hub:c", SIZES) is False
    assert not within_guards({name: RegionStatus(RegionState.OUT) for name in SIZES}, SIZES, 1.0)


def test_the_change_log_takes_back_or_forgets_a_region_that_is_out() -> None:
    coordinator = RegionCoordinator(TUNING, {}, 0.0)
    coordinator.apply(0.0, {"hub:a": OUT})
    # One of the three hubs is drained: too few are left while hub:a is out.
    assert coordinator.decide(20.0, {"hub:a": 2, "hub:b": 1}, {})["hub:a"].state is RegionState.IN
    # hub:a itself is removed.
    assert coordinator.decide(20.0, {"hub:b": 1, "hub:c": 1}, {})["hub:a"] == RegionStatus()


# Returning ---------------------------------------------------------------------------------------------------------


class Recovery:
    """A coordinator whose region ``hub:a`` is out, and a clock that moves on with each decision."""

    def __init__(self, status: RegionStatus) -> None:
        self.coordinator = RegionCoordinator(TUNING, {"hub:a": status}, 0.0)
        self.now_ms = 0.0

    def after(self, elapsed_ms: float, reports: Reports, strained: frozenset[str] = frozenset()) -> RegionStatus:
        """The region's status once ``elapsed_ms`` have passed and the coordinator has decided."""
        self.now_ms += elapsed_ms
        changes = self.coordinator.decide(self.now_ms, SIZES, reports, strained)
        self.coordinator.apply(self.now_ms, changes)
        return changes.get("hub:a", self.coordinator.table["hub:a"])

    def set_status(self, status: RegionStatus) -> None:
        self.coordinator.apply(self.now_ms, {"hub:a": status})


def test_a_return_goes_by_steps_that_strain_prolongs_and_failures_take_back() -> None:
    recovery = Recovery(RegionStatus(RegionState.OUT, 0, 2))
    sound = make_reports(0)
    failing = make_reports(3)
    # The second wait is twice the first.
    assert recovery.after(1900, sound).state is RegionState.OUT
    assert recovery.after(101, sound) == RegionStatus(RegionState.RETURNING, 0, 2)
    assert recovery.after(101, sound).step == 1
    assert recovery.after(50, sound).step == 1
    assert recovery.after(51, sound).step == 2
    # Strain, nearly full links, and some failures each prolong a step.
    assert recovery.after(101, sound, frozenset({"hub:a"})).step == 2
    assert recovery.after(101, {"d0": {"hub:a": RegionStatistics(10, 0, 0.95, 0)}}).step == 2
    some = {name: {"hub:a": RegionStatistics(10, 3, 0.1, 8.0)} for name in ("d0", "d1")}
    assert recovery.after(101, some).step == 2
    # More failures take back a step, and the second time in a row they end the return with twice the wait.
    assert recovery.after(101, failing).step == 1
    assert recovery.after(101, failing) == RegionStatus(RegionState.LEAVING, 0, 3)
    assert recovery.after(1, sound).state is RegionState.OUT
    assert recovery.after(3999, sound).state is RegionState.OUT
    recovery.after(2, sound)
    for _ in RECOVERY_FRACTIONS:
        recovery.after(101, sound)
    assert recovery.coordinator.table["hub:a"] == RegionStatus(RegionState.IN, 0, 3)
    # A failure soon after doubles the wait again; after a long time without one the backoff is reset.
    assert recovery.after(4000, failing) == RegionStatus(RegionState.LEAVING, 0, 4)
    recovery.set_status(RegionStatus(RegionState.IN, 0, 4))
    assert recovery.after(5001, sound) == RegionStatus()


def test_a_region_that_an_operator_holds_stays_out() -> None:
    recovery = Recovery(RegionStatus())
    recovery.set_status(RegionStatus(RegionState.OUT, 0, 1, operator_hold=True))
    assert recovery.after(9999, make_reports(0)).state is RegionState.OUT
