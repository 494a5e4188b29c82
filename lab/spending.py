"""Checks what the fleet spent of each limit, by the requests that the fake backends received.

Nothing that a proxy reports about itself is used, except which of its retries failed.

The only tolerance is ``travel_ms`` of the settings: requests that were sent within the limit may arrive closer
together by that time.
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

AmountChanges = Sequence[tuple[float, float]]  # times (ms) and the amounts allowed from then on, in order


class Spending(NamedTuple):
    """A use of ``cost`` from ``began_ms`` to ``ended_ms`` by the lab's clock."""

    began_ms: float
    ended_ms: float
    cost: float


class _EventKind(IntEnum):
    """What happens to a limit. Of events at the same time, those of a lower kind come first."""

    BOUND = -1
    RELEASE = 0
    SPEND = 1


class _LimitEvent(NamedTuple):
    """An event of a limit; ``value`` is the new bound, or the cost."""

    at_ms: float
    kind: _EventKind
    value: float


class SpendingReport(NamedTuple):
    """The violations, and the most of each limit that was in use at once, as a fraction of the limit."""

    violations: list[Violation]
    max_used: dict[str, float]


def collect_spendings(
    backends: Sequence[BusyBackend], plan: BudgetPlan, day_offset_ms: float
) -> dict[str, list[Spending]]:
    """Return all uses of each limit, by limit.

    ``day_offset_ms`` is the time of day minus the time by the lab's clock.
    """
    spent: defaultdict[str, list[Spending]] = defaultdict(list)
    spent[RETRIES] = _failed_retries(backends)
    listed = {backend.name for backend in backends}
    for backend in backends:
        for met in backend.received_requests:
            if met.is_probe:
                spent[HEALTH_CHECKS].append(Spending(met.time_ms, met.time_ms, 1.0))
                continue
            for name in dict.fromkeys((backend.name, met.source)):
                if name not in listed:
                    continue
                for cost in plan.backend_costs(name, met.time_ms + day_offset_ms):
                    spent[cost.limit].append(Spending(met.time_ms, met.finished_ms or met.time_ms, cost.amount))
        for began_ms, ended_ms in backend.connection_spans:
            spent[f"{CONNECTIONS}:{backend.name}"].append(Spending(began_ms, ended_ms, 1.0))
    return dict(spent)


def _failed_retries(backends: Sequence[BusyBackend]) -> list[Spending]:
    """Return the attempts that were not the first of their request and were not served."""
    attempts = [met for backend in backends for met in backend.received_requests if not met.is_probe]
    seen: set[str] = set()
    failed: list[Spending] = []
    for met in sorted(attempts, key=lambda met: met.time_ms):
        if met.trace_id in seen and not met.is_served:
            failed.append(Spending(met.time_ms, met.time_ms, 1.0))
        seen.add(met.trace_id)
    return failed


def check_limit(limit: FleetLimit, spent: Iterable[Spending], bounds: AmountChanges = ()) -> BudgetChecker:
    """Return a checker of ``limit`` that has processed all uses in ``spent``.

    ``bounds`` has the amounts allowed, if that is not ``limit.amount`` all the time.
    """
    checker = BudgetChecker(limit)
    events = [_LimitEvent(at_ms, _EventKind.BOUND, amount) for at_ms, amount in bounds]
    for spending in spent:
        events.append(_LimitEvent(spending.began_ms, _EventKind.SPEND, spending.cost))
        if limit.kind == "flight":
            ended_ms = max(spending.ended_ms, spending.began_ms)
            events.append(_LimitEvent(ended_ms, _EventKind.RELEASE, spending.cost))
    for event in sorted(events):
        if event.kind is _EventKind.BOUND:
            checker.bound = event.value
        elif event.kind is _EventKind.SPEND:
            checker.spend(event.at_ms, "the fleet", event.value)
        else:
            checker.release()
    return checker


def check_spending(
    backends: Sequence[BusyBackend],
    plan: BudgetPlan,
    day_offset_ms: float,
    bounds: Mapping[str, AmountChanges],
    grace_ms: float,
) -> SpendingReport:
    """Check all limits that were used; ``bounds`` has the amounts allowed by limit.

    Requests that a backend in slow start received within ``grace_ms`` of its start are not counted, as not all
    proxies knew of the start.
    """
    report = SpendingReport([], {})
    spent = collect_spendings(backends, plan, day_offset_ms)
    for name, limit in _all_limits(plan, day_offset_ms).items():
        if not spent.get(name):
            continue
        if name.startswith(f"{SLOW_START}:"):
            since_ms = float(name.rpartition("@")[2]) - day_offset_ms + grace_ms
            spent[name] = [spending for spending in spent[name] if spending.began_ms >= since_ms]
        checker = check_limit(limit, spent[name], bounds.get(name, ()))
        report.max_used[name] = round(checker.max_used_fraction(), 3)
        report.violations.extend(Violation(v.rule, v.time_ms, f"{name}: {v.text}") for v in checker.violations)
    return report


def _all_limits(plan: BudgetPlan, day_offset_ms: float) -> dict[str, FleetLimit]:
    """Return the limits of now and those of each backend's slow start, by name."""
    failed = {limit.name: limit for limit in plan.limits(day_offset_ms)}
    for backend in plan.backends.values():
        failed |= {limit.name: limit for limit in plan.limits(backend.started_ms + 1.0)}
    return failed
