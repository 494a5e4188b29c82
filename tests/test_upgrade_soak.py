"""Short seeded soaks of upgrades; the long soak is started manually (docs/design/lab.md)."""

from __future__ import annotations

import pytest

from lab.upgrade_play import UpgradeResult
from lab.upgrade_soak import draw_plan, find_violations, run_upgrade_soak

SEEDS = [pytest.param(seed, marks=pytest.mark.xdist_group(f"upgrade-soak-{seed % 2}")) for seed in range(1, 7)]


# Guards against a way through an upgrade on which the processes pass a limit together, or a client is not heard.
@pytest.mark.parametrize("seed", SEEDS)
def test_processes_keep_to_their_limits_over_the_upgrade_of_a_seed(seed: int) -> None:
    findings = run_upgrade_soak(seed)
    assert not findings.violations, findings.plan
    assert findings.served


def test_each_violation_is_found() -> None:
    plan, result = draw_plan(1), UpgradeResult()
    assert draw_plan(1) == plan and not find_violations(plan, result)
    result.usage.together_mb = plan.memory_mb + 0.1
    result.usage.alone_descriptors = plan.descriptors + 1
    result.died = 1
    result.over["read unanswered"] = 2
    assert [text.split()[-1] for text in find_violations(plan, result)] == [
        str(plan.memory_mb),
        str(plan.descriptors),
        "themselves",
        "unanswered",
    ]
