"""What the fleet really spent of each limit, as the stand-in backends met it, against the limit. Nothing that a proxy
says of itself is believed here, but for which of its retries were in vain.

Slack is the settings' ``travel_ms`` alone: what was sent within the bound may bunch by that on its way.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from beechslip.budgets.limit import FleetLimit
from beechslip.budgets.plan import CONNECTIONS, HEALTH_CHECKS, RETRIES, SLOW_START, BudgetPlan
from lab.backends import BusyBackend
from lab.budget_checker import BudgetChecker
from lab.check import Violation

Bounds = Sequence[tuple[float, float]]  # from when (ms) which amount holds, in order


class Spending(NamedTuple):
    """``cost`` was occupied from ``began_ms`` to ``ended_ms`` by the lab's clock."""

    began_ms: float
    ended_ms: float
    cost: float


class _Kind(IntEnum):
    """What happens to a limit; of events at one time the lower goes first."""

    BOUND = -1
    RELEASE = 0
    SPEND = 1


class _Event(NamedTuple):
    """``value``: the new bound, or the cost."""

    at_ms: float
    kind: _Kind
    value: float


class SpendingReport(NamedTuple):
    """What was violated, and the most of each limit that was in use at once, as a fraction of it."""

    violations: list[Violation]
    max_used: dict[str, float]


def spendings(backends: Sequence[BusyBackend], plan: BudgetPlan, day_ms: float) -> dict[str, list[Spending]]:
    """By limit, all that was spent of it. ``day_ms``: the time of day less the lab's clock."""
    spent: defaultdict[str, list[Spending]] = defaultdict(list)
    spent[RETRIES] = _retries_in_vain(backends)
    listed = {backend.name for backend in backends}
    for backend in backends:
        for met in backend.received_requests:
            if met.is_probe:
                spent[HEALTH_CHECKS].append(Spending(met.time_ms, met.time_ms, 1.0))
                continue
            for name in dict.fromkeys((backend.name, met.source)):
                if name not in listed:
                    continue
                for cost in plan.backend_costs(name, met.time_ms + day_ms):
                    spent[cost.limit].append(Spending(met.time_ms, met.finished_ms or met.time_ms, cost.amount))
        for began, ended in backend.connection_spans:
            spent[f"{CONNECTIONS}:{backend.name}"].append(Spending(began, ended, 1.0))
    return dict(spent)


def _retries_in_vain(backends: Sequence[BusyBackend]) -> list[Spending]:
    """Attempts after a request's first that were not served."""
    attempts = [met for backend in backends for met in backend.received_requests if not met.is_probe]
    seen: set[str] = set()
    found: list[Spending] = []
    for met in sorted(attempts, key=lambda met: met.time_ms):
        if met.trace_id in seen and not met.is_served:
            found.append(Spending(met.time_ms, met.time_ms, 1.0))
        seen.add(met.trace_id)
    return found


def check_limit(limit: FleetLimit, spent: Iterable[Spending], bounds: Bounds = ()) -> BudgetChecker:
    """The checker of ``limit`` after all that was ``spent``; ``bounds`` where it is not always ``limit.amount``."""
    checker = BudgetChecker(limit)
    events = [_Event(at_ms, _Kind.BOUND, amount) for at_ms, amount in bounds]
    for spending in spent:
        events.append(_Event(spending.began_ms, _Kind.SPEND, spending.cost))
        if limit.kind == "flight":
            ended_ms = max(spending.ended_ms, spending.began_ms)
            events.append(_Event(ended_ms, _Kind.RELEASE, spending.cost))
    for event in sorted(events):
        if event.kind is _Kind.BOUND:
            checker.bound = event.value
        elif event.kind is _Kind.SPEND:
            checker.spend(event.at_ms, "the fleet", event.value)
        else:
            checker.release()
    return checker


def check_spending(
    backends: Sequence[BusyBackend],
    plan: BudgetPlan,
    day_ms: float,
    bounds: Mapping[str, Bounds],
    grace_ms: float,
) -> SpendingReport:
    """Check all limits that were spent of; ``bounds`` by limit. What a backend in slow start met within ``grace_ms``
    of its start is not counted: not all proxies knew of it."""
    report = SpendingReport([], {})
    spent = spendings(backends, plan, day_ms)
    for name, limit in _all_limits(plan, day_ms).items():
        if not spent.get(name):
            continue
        if name.startswith(f"{SLOW_START}:"):
            since_ms = float(name.rpartition("@")[2]) - day_ms + grace_ms
            spent[name] = [spending for spending in spent[name] if spending.began_ms >= since_ms]
        checker = check_limit(limit, spent[name], bounds.get(name, ()))
        report.max_used[name] = round(checker.max_used_fraction(), 3)
        report.violations.extend(Violation(v.rule, v.time_ms, f"{name}: {v.text}") for v in checker.violations)
    return report


def _all_limits(plan: BudgetPlan, day_ms: float) -> dict[str, FleetLimit]:
    """Those of now, and those of each backend's slow start."""
    found = {limit.name: limit for limit in plan.limits(day_ms)}
    for backend in plan.backends.values():
        found |= {limit.name: limit for limit in plan.limits(backend.started_ms + 1.0)}
    return found
