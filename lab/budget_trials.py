"""Single runs of :class:`lab.virtual_budgets.BudgetFleet`, with or without an injected fault."""

from __future__ import annotations

from dataclasses import dataclass

import lab.budget_faults  # noqa: F401 - registers the faults
from lab.injected_faults import inject
from lab.virtual_budgets import BudgetFleet


@dataclass(frozen=True, slots=True)
class BudgetOutcome:
    """The result of one run.

    ``max_used`` has the most of each limit that was in use at once, as a fraction of the limit. ``violations`` has a
    line for each violation of the lease checker's and the budget checkers' rules.
    """

    steps: int
    max_used: dict[str, float]
    violations: tuple[str, ...]


def run_trial(seed: int, fault: str = "") -> BudgetOutcome:
    """Run ``seed`` with the injected fault named ``fault``, or without one if the name is empty.

    Raises UnknownFaultError if there is no fault of that name.
    """
    with inject(fault):
        fleet = BudgetFleet(seed)
        leases = fleet.run()
    found = list(leases.violations)
    for checker in fleet.checkers.values():
        found += checker.violations
    return BudgetOutcome(
        fleet.steps,
        {name: checker.max_used_fraction() for name, checker in fleet.checkers.items()},
        tuple(f"{violation.rule} at {violation.time_ms:.0f} ms: {violation.text}" for violation in found),
    )
