"""The status of a region for the whole fleet: its state, its step of the recovery ramp and an operator hold.

A region is named ``cache:ZONE`` (the caches of a station) or ``hub:ZONE`` (the parents of a hub zone). The part
before the colon is its role. The coordinator, the messages and the proxies that apply an order share these types.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

# The fraction of a region's objects that is routed to it, for each step of the recovery ramp.
RECOVERY_FRACTIONS = (0.0625, 0.125, 0.25, 0.5, 1.0)

# The wait before a return stops doubling at this level; three bits of a datagram hold the level.
MAX_BACKOFF_LEVEL = 6

HUB_ROLE = "hub"
CACHE_ROLE = "cache"


class RegionState(IntEnum):
    """The state of a region for the whole fleet. The values are written to datagrams and to the history."""

    IN = 0  # gets all of its traffic
    LEAVING = 1  # gets no traffic; the coordinator's next order makes it OUT
    OUT = 2  # gets no traffic
    RETURNING = 3  # gets the traffic of its step of the recovery ramp


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """The status of one region in an order.

    ``step`` is an index into :data:`RECOVERY_FRACTIONS` while the region returns. ``backoff_level`` determines the
    wait before a return: the initial wait at level 1, and twice the previous level's wait from there on. It is 0
    for a region that has not been left recently. With ``has_operator_hold`` the coordinator does not change the
    status by itself.
    """

    state: RegionState = RegionState.IN
    step: int = 0
    backoff_level: int = 0
    has_operator_hold: bool = False

    @property
    def traffic_fraction(self) -> float:
        """The fraction (0 to 1) of the region's objects that is routed to it."""
        if self.state is RegionState.IN:
            return 1.0
        if self.state is RegionState.RETURNING:
            return RECOVERY_FRACTIONS[min(self.step, len(RECOVERY_FRACTIONS) - 1)]
        return 0.0


RegionTable = Mapping[str, RegionStatus]
"""The status of each region, by its name."""


def region_role(region: str) -> str:
    """Return the part of a region's name before the colon: ``hub`` or ``cache``."""
    return region.partition(":")[0]


def region_roles(backend_counts: Mapping[str, int]) -> list[str]:
    """Return the roles of the regions in ``backend_counts``, in alphabetical order."""
    return sorted({region_role(name) for name in backend_counts})


def regions_of_role(backend_counts: Mapping[str, int], wanted_role: str) -> dict[str, int]:
    """Return the backends in service (``backend_counts``) of the regions with the role ``wanted_role``."""
    return {name: count for name, count in backend_counts.items() if region_role(name) == wanted_role}
