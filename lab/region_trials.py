"""Single runs of :class:`lab.virtual_regions.RegionFleet`, with or without an injected fault."""

from __future__ import annotations

from dataclasses import dataclass

import lab.region_faults  # noqa: F401 - registers the faults
from lab.injected_faults import inject
from lab.virtual_regions import RegionFleet


@dataclass(frozen=True, slots=True)
class RegionOutcome:
    """The result of one run.

    ``max_away`` is the most regions that did not get their full traffic at once. ``violations`` has a line for each
    violation of the lease checker's and the region checker's rules.
    """

    steps: int
    orders: int
    changeovers: int
    max_away: int
    violations: tuple[str, ...]


def run_trial(seed: int, fault: str = "") -> RegionOutcome:
    """Run ``seed`` with the injected fault named ``fault``, or without one if the name is empty.

    Raises UnknownFaultError if there is no fault of that name.
    """
    with inject(fault):
        fleet = RegionFleet(seed)
        leases = fleet.run()
    found = [*leases.violations, *fleet.regions.violations]
    return RegionOutcome(
        fleet.steps,
        fleet.regions.orders,
        fleet.regions.changeovers,
        fleet.regions.max_away,
        tuple(f"{violation.rule} at {violation.time_ms:.0f} ms: {violation.text}" for violation in found),
    )
