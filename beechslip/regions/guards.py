"""Limits on the regions that may be out at once, for the coordinator's decisions and for operators' commands.

At most ``max_out_fraction`` of a role's backends may be out, and the last hub region may never be out. A region that
is returning counts as out until its recovery ramp has ended.
"""

from __future__ import annotations

from collections.abc import Mapping

from beechslip.regions.status import HUB_ROLE, RegionStatus, RegionTable, region_role, region_roles, regions_of_role

ROUNDING_TOLERANCE = 1e-9  # in backends; a fraction times a count may come out slightly below the whole number


def may_leave(region: str, table: RegionTable, backend_counts: Mapping[str, int], max_out_fraction: float) -> bool:
    """True if ``region`` may be out in addition to the regions of its role that are not fully in by ``table``."""
    role_backend_counts = regions_of_role(backend_counts, region_role(region))
    not_fully_in = {name for name in role_backend_counts if table.get(name, RegionStatus()).traffic_fraction < 1.0}
    not_fully_in.add(region)
    if sum(role_backend_counts[name] for name in not_fully_in) > max_out_fraction * sum(role_backend_counts.values()):
        return False
    return region_role(region) != HUB_ROLE or len(not_fully_in) < len(role_backend_counts)


def is_within_limits(table: RegionTable, backend_counts: Mapping[str, int], max_out_fraction: float) -> bool:
    """True if ``table`` is within the limits.

    The coordinator calls this after a change of ``backend_counts``; checkers call it, too. The only region of a role
    other than hub may be out if operators allow all of the role to be out (a fraction of 1).
    """
    for name in region_roles(backend_counts):
        role_backend_counts = regions_of_role(backend_counts, name)
        not_fully_in = [
            region for region in role_backend_counts if table.get(region, RegionStatus()).traffic_fraction < 1.0
        ]
        if (
            sum(role_backend_counts[region] for region in not_fully_in)
            > max_out_fraction * sum(role_backend_counts.values()) + ROUNDING_TOLERANCE
        ):
            return False
        if name == HUB_ROLE and not_fully_in and len(not_fully_in) >= len(role_backend_counts):
            return False
    return True
