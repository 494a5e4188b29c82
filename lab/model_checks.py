"""Checks budgets and region failover in a run of processes, by the requests that its backends received."""

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

STARTUP_MS = 1500.0  # after the start; by then all proxies know the endpoint list and none is just starting
PUBLICATION_MS = 300.0  # by then every proxy has read a change to the change log or its file
FAULT_MARGIN_MS = 200.0  # requests sent so shortly before the first fault may be received after it
MAX_CLOCK_DRIFT = 0.01  # upper bound for the drift of the proxies' clocks, as a fraction
DEFAULT_MAX_OUT_FRACTION = 0.5


@dataclass
class RegionFindings:
    """Violations, and the numbers of orders, of changeovers and of regions that were out at once."""

    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)


@dataclass
class BudgetFindings:
    """Violations, and for each budget the most that was in use at once, as a fraction of the budget."""

    violations: list[Violation] = field(default_factory=list)
    used: dict[str, float] = field(default_factory=dict)


def check_regions(
    testbed: Testbed, events: list[dict[str, Any]], began_ms: float, first_fault_ms: float
) -> RegionFindings:
    """Check the orders and changeovers in the proxies' histories.

    The findings are empty if regions are not enabled in the scenario.
    """
    table = testbed.scenario.tables.get("regions", {})
    if not table.get("enabled"):
        return RegionFindings()
    max_out_fraction = float(table.get("most_out", DEFAULT_MAX_OUT_FRACTION))
    checker = RegionChecker(testbed.scenario.members, _region_sizes(testbed), max_out_fraction)
    checker.check_history(sorted(events, key=lambda event: event["t"]))
    doubly_filled = _doubly_filled_objects(testbed, began_ms + STARTUP_MS, first_fault_ms - FAULT_MARGIN_MS)
    if doubly_filled:
        text = f"fills of {doubly_filled[:3]} went to two sources before any fault"
        checker.violations.append(Violation("met-twice", first_fault_ms, text))
    counts = {"orders": checker.orders, "changeovers": checker.changeovers, "away": checker.max_away}
    return RegionFindings(checker.violations, counts)


def _region_sizes(testbed: Testbed) -> dict[str, int]:
    """Return the number of backends by region."""
    plan = BudgetPlan(BudgetsConfig(1, 1, 1, 1, 0, {}), read_settings(testbed.settings(0)))
    sizes: dict[str, int] = {}
    for backend in testbed.backends:
        role = plan.role(backend.entry())
        if role != "origin":
            region = f"{role}:{backend.zone}"
            sizes[region] = sizes.get(region, 0) + 1
    return sizes


def _doubly_filled_objects(testbed: Testbed, after_ms: float, before_ms: float) -> list[str]:
    """Return the objects that were filled from several sources between two times (ms)."""
    sources: dict[str, set[str]] = {}
    for backend in testbed.backends:
        for met in backend.received_requests if isinstance(backend, BusyBackend) else ():
            if met.source and not met.is_probe and after_ms < met.time_ms < before_ms:
                sources.setdefault(met.target, set()).add(met.source)
    return sorted(target for target, names in sources.items() if len(names) > 1)


def check_budgets(testbed: Testbed) -> BudgetFindings:
    """Check the use of each budget by the requests that the backends received.

    Violations are reported only if budgets are enabled in the scenario; the use is also measured without them. The
    findings are empty if the scenario has no budgets or no backend that records its requests.
    """
    table = testbed.scenario.tables.get("budgets", {})
    backends = [backend for backend in testbed.backends if isinstance(backend, BusyBackend)]
    if not table or not backends:
        return BudgetFindings()
    day_offset_ms = time.time() * 1000.0 - steady_ms()
    plan = BudgetPlan(_budgets_config(table), read_settings(testbed.settings(0)))
    plan.update_backends(backend.entry(started_ms=backend.started_ms) for backend in backends)
    bounds = _changed_bounds(testbed, plan, day_offset_ms)
    violations, used = check_spending(backends, plan, day_offset_ms, bounds, PUBLICATION_MS)
    return BudgetFindings(violations if table.get("enabled") else [], used)


def _budgets_config(table: Mapping[str, Any]) -> BudgetsConfig:
    return BudgetsConfig(
        float(table.get("grant_ms", 2000)),
        float(table.get("floor_share", 0.25)),
        float(table.get("travel_ms", 100)),
        float(table.get("mean_ms", 100)),
        MAX_CLOCK_DRIFT,
        {key: float(table.get(key, 0.0)) for key in AMOUNT_KEYS},
    )


def _changed_bounds(testbed: Testbed, plan: BudgetPlan, day_offset_ms: float) -> dict[str, list[tuple[float, float]]]:
    """Return, by budget, the amount after a change of the files and the time (ms) from which it is checked."""
    change = testbed.budget_change
    if change is None:
        return {}
    amounts = dict(plan.config.amounts) | dict(change.amounts)
    changed = BudgetPlan(dataclasses.replace(plan.config, amounts=amounts), plan.settings)
    changed.update_backends(plan.backends.values())
    originals = {budget.name: budget for budget in plan.limits(day_offset_ms)}
    bounds: dict[str, list[tuple[float, float]]] = {}
    for budget in changed.limits(day_offset_ms):
        original = originals.get(budget.name, budget)
        wait_ms = settled_ms(original) + PUBLICATION_MS if budget.amount < original.amount else -1.0
        bounds[budget.name] = [(change.at_ms + wait_ms, budget.amount)]
    return bounds
