"""Upgrades of real processes: all processes of one proxy together keep to its limits, and clients are served."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.upgrade_play import UpgradePlan, UpgradeResult, run_upgrade

SERVING_S = 2.0
WORK_S = 0.5
# Of the answers: the least share served, beside what is refused by a process that has been told to end.
LEAST_SERVED = 0.8


def plan(memory_mb: int, descriptors: int, readers: int, writers: int, **more: object) -> UpgradePlan:
    return UpgradePlan(memory_mb, descriptors, readers, writers, serving_s=SERVING_S, work_s=WORK_S, **more)  # type: ignore[arg-type]


def check_limits(plan: UpgradePlan, found: UpgradeResult) -> None:
    assert found.usage.alone_mb <= plan.memory_mb and found.usage.alone_descriptors <= plan.descriptors
    assert found.usage.together_mb <= plan.memory_mb
    assert found.usage.together_descriptors <= plan.descriptors
    assert found.died == 0
    if not plan.hostile:  # clients that never read their responses may keep a process until it is killed
        assert all(code == 0 or plan.successor != "ready" for code in found.exit_codes)


def served_share(found: UpgradeResult) -> float:
    served = sum(count for answer, count in found.over.items() if answer.endswith(" 200"))
    return served / max(found.over.total(), 1)


def unanswered(found: UpgradeResult) -> int:
    return sum(count for answer, count in found.over.items() if answer.endswith("unanswered"))


# Guards against two processes that each keep to the limits and pass them together (review/9).
@pytest.mark.xdist_group("upgrades")
@pytest.mark.parametrize(
    "plan",
    [
        plan(32, 256, 40, 40),
        plan(48, 256, 40, 40),
        plan(64, 256, 84, 0),
        plan(64, 256, 40, 40),
        plan(64, 1024, 165, 165),
        plan(96, 1024, 165, 165),
        plan(192, 1024, 165, 165),
    ],
    ids=lambda plan: f"{plan.memory_mb}-{plan.descriptors}-{plan.readers}-{plan.writers}",
)
def test_both_processes_of_an_upgrade_keep_to_the_limits_and_serve(tmp_path: Path, plan: UpgradePlan) -> None:
    found = run_upgrade(plan, tmp_path)
    check_limits(plan, found)
    assert unanswered(found) == 0
    assert served_share(found) >= LEAST_SERVED


RELATED_PLANS = {
    "hostile clients": plan(64, 1024, 40, 40, hostile="mixed", hostile_connections=120),
    "hostile clients, 48 MB": plan(48, 256, 20, 20, hostile="mixed", hostile_connections=60),
    "slow readers": plan(64, 1024, 40, 40, slow_readers=60),
    "a successor never says yes": plan(64, 1024, 120, 120, successor="never ready"),
    "a successor ends early": plan(64, 1024, 120, 120, successor="killed", upgrades=3, between_upgrades_s=0.5),
    "a successor with a lower limit": plan(96, 1024, 120, 120, successor_memory_mb=64),
    "two upgrades in a second": plan(96, 1024, 120, 120, upgrades=2, between_upgrades_s=0.5),
    "three upgrades": plan(64, 1024, 120, 120, upgrades=3, between_upgrades_s=4.0),
    "new settings meanwhile": plan(64, 1024, 120, 120, reloads=True),
    "a stop without a successor": plan(64, 1024, 120, 120, upgrades=0, stops=True),
    "a socket without locks": plan(96, 1024, 120, 120, has_locks=False),
    "3,200 backends": plan(96, 1024, 60, 60, listed_backends=3_200),
}


# Guards against the same on related ways to begin, go through and end an upgrade.
@pytest.mark.xdist_group("related-upgrades")
@pytest.mark.parametrize("name", RELATED_PLANS)
def test_processes_keep_to_the_limits_however_an_upgrade_goes(tmp_path: Path, name: str) -> None:
    plan = RELATED_PLANS[name]
    found = run_upgrade(plan, tmp_path)
    check_limits(plan, found)
    if not plan.stops:
        assert unanswered(found) == 0
        assert served_share(found) >= LEAST_SERVED
