"""Checks of a run against what its backends met: the limits of budgets, and the rules of region failover."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from beechslip.budgets.plan import BudgetPlan
from beechslip.budgets.settings import AMOUNT_KEYS, BudgetsConfig
from beechslip.routing.wire.settings import read_settings
from lab.backends import BusyBackend
from lab.budget_checker import settled_ms
from lab.check import Violation
from lab.processes import steady_ms
from lab.region_checker import RegionChecker
from lab.spending import check_spending
from lab.testbed import Testbed

SETTLED_MS = 1500.0  # after the start: all know the list, and no proxy is in its first moments
PUBLISHED_MS = 300.0  # by then every proxy has what was written to the change log or its file
BEFORE_FAULT_MS = 200.0  # requests so shortly before the first fault may be met after it
DRIFT = 0.01  # of the proxies' clocks at most
DEFAULT_MOST_OUT = 0.5


@dataclass
class RegionFindings:
    """Violations, and how many orders, changeovers and regions out at once there were."""

    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


@dataclass
class BudgetFindings:
    """Violations, and by budget the most in use at once, as a part of it."""

    violations: list[Violation] = field(default_factory=list)
    used: dict[str, float] = field(default_factory=dict)


def check_regions(
    testbed: Testbed, events: list[dict[str, Any]], began_ms: float, first_fault_ms: float
) -> RegionFindings:
    """Orders and changeovers in the proxies' histories; nothing if the scenario has no regions."""
    table = testbed.scenario.tables.get("regions", {})
    if not table.get("enabled"):
        return RegionFindings()
    most_out = float(table.get("most_out", DEFAULT_MOST_OUT))
    checker = RegionChecker(testbed.scenario.members, _region_sizes(testbed), most_out)
    checker.play(sorted(events, key=lambda event: event["t"]))
    split = _split_fills(testbed, began_ms + SETTLED_MS, first_fault_ms - BEFORE_FAULT_MS)
    if split:
        text = f"fills of {split[:3]} met at two places before any fault"
        checker.violations.append(Violation("met-twice", first_fault_ms, text))
    counts = {"orders": checker.orders, "changeovers": checker.changeovers, "away": checker.max_away}
    return RegionFindings(checker.violations, counts)


def _region_sizes(testbed: Testbed) -> dict[str, int]:
    """By region, how many backends it has."""
    plan = BudgetPlan(BudgetsConfig(1, 1, 1, 1, 0, {}), read_settings(testbed.settings(0)))
    sizes: dict[str, int] = {}
    for backend in testbed.backends:
        role = plan.role(backend.entry())
        if role != "origin":
            region = f"{role}:{backend.zone}"
            sizes[region] = sizes.get(region, 0) + 1
    return sizes


def _split_fills(testbed: Testbed, after_ms: float, before_ms: float) -> list[str]:
    """The objects that were filled from several sources between two times."""
    sources: dict[str, set[str]] = {}
    for backend in testbed.backends:
        for met in backend.received_requests if isinstance(backend, BusyBackend) else ():
            if met.source and not met.is_probe and after_ms < met.time_ms < before_ms:
                sources.setdefault(met.target, set()).add(met.source)
    return sorted(target for target, names in sources.items() if len(names) > 1)


def check_budgets(testbed: Testbed) -> BudgetFindings:
    """What the backends met of each budget, where there are any; violations only where budgets are enabled."""
    table = testbed.scenario.tables.get("budgets", {})
    backends = [backend for backend in testbed.backends if isinstance(backend, BusyBackend)]
    if not table or not backends:
        return BudgetFindings()
    day_ms = time.time() * 1000.0 - steady_ms()
    plan = BudgetPlan(_budgets_config(table), read_settings(testbed.settings(0)))
    plan.update_backends(backend.entry(started_ms=backend.started_ms) for backend in backends)
    bounds = _changed_bounds(testbed, plan, day_ms)
    violations, used = check_spending(backends, plan, day_ms, bounds, PUBLISHED_MS)
    return BudgetFindings(violations if table.get("enabled") else [], used)


def _budgets_config(table: Mapping[str, Any]) -> BudgetsConfig:
    return BudgetsConfig(
        float(table.get("grant_ms", 2000)),
        float(table.get("floor_share", 0.25)),
        float(table.get("travel_ms", 100)),
        float(table.get("mean_ms", 100)),
        DRIFT,
        {key: float(table.get(key, 0.0)) for key in AMOUNT_KEYS},
    )


def _changed_bounds(testbed: Testbed, plan: BudgetPlan, day_ms: float) -> dict[str, list[tuple[float, float]]]:
    """By budget: from when (ms) the amount holds that a change of the files gave it."""
    change = testbed.budget_change
    if change is None:
        return {}
    amounts = dict(plan.config.amounts) | dict(change.amounts)
    changed = BudgetPlan(dataclasses.replace(plan.config, amounts=amounts), plan.settings)
    changed.update_backends(plan.backends.values())
    originals = {budget.name: budget for budget in plan.limits(day_ms)}
    bounds: dict[str, list[tuple[float, float]]] = {}
    for budget in changed.limits(day_ms):
        original = originals.get(budget.name, budget)
        wait_ms = settled_ms(original) + PUBLISHED_MS if budget.amount < original.amount else -1.0
        bounds[budget.name] = [(change.at_ms + wait_ms, budget.amount)]
    return bounds
