"""Single runs of :class:`lab.virtual_regions.RegionFleet`, with or without an injected fault, and their outcome."""

from __future__ import annotations

from dataclasses import dataclass

import lab.region_faults  # noqa: F401 - registers the faults
from lab.injected_faults import inject
from lab.virtual_regions import RegionFleet


@dataclass(frozen=True, slots=True)
class RegionOutcome:
    """Counts of one run, and a line for each violation of the lease checker's and the region checker's rules."""

    steps: int
    orders: int
    changeovers: int
    max_away: int
    violations: tuple[str, ...]


def run_trial(seed: int, fault: str = "") -> RegionOutcome:
    """Run ``seed`` with the injected fault of that name; "" for none. UnknownFaultError if there is none of it."""
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
