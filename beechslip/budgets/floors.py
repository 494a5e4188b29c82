"""The floors of one proxy while the declared members of the fleet, or of its zone, change. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from beechslip.budgets.limit import FleetLimit

MAX_DRIFT_FRACTION = 0.2  # the largest clock drift that a configuration file may state
_LONG_AGO_MS = -1e18


@dataclass(frozen=True, slots=True)
class DeclaredMembers:
    """How many members the fleet declares.

    ``members_before`` is the number before the change while the declared set changes, else 0. ``zone_members`` is how
    many of the members are in this proxy's zone (0: unknown).
    """

    members: int
    members_before: int = 0
    zone_members: int = 0


class MemberFloors:
    """The floors of member ``number``, which it may spend without a grant.

    A floor that shrinks does so at once. A floor that grows does so only after the loans that other members made of
    their larger floors have ended.
    """

    def __init__(self, number: int, declared: DeclaredMembers) -> None:
        """``declared``: the declared members at the start of the proxy. No change is under way for its floors."""
        self._number = number
        self.declared = declared
        self._previous = declared  # the declared members before the last change
        self._changed_ms = _LONG_AGO_MS

    def declare(self, now_ms: float, declared: DeclaredMembers) -> None:
        """Use other declared members from now on.

        While the set changes, the zone's floors are computed from the larger of its two numbers, as
        :meth:`FleetLimit.floor` does for the whole fleet.
        """
        if declared.members_before:
            zone_members = max(declared.zone_members, self.declared.zone_members)
            declared = DeclaredMembers(declared.members, declared.members_before, zone_members)
        if declared != self.declared:
            self._previous = self.declared
            self._changed_ms = now_ms
            self.declared = declared

    def zone_members(self, now_ms: float, limits: Iterable[FleetLimit]) -> int:
        """Return the number of proxies in this zone among which floors are divided now.

        ``limits`` are all limits that are divided.
        """
        current = self.declared.zone_members
        return max(current, self._previous.zone_members) if self._is_changing(now_ms, limits) else current

    def floor(self, now_ms: float, limit: FleetLimit, limits: Iterable[FleetLimit]) -> float:
        """Return this proxy's floor of ``limit``, in spendings. ``limits`` are all limits that are divided."""
        floor = limit.floor(self.declared.members, self.declared.members_before, self._number)
        if self._is_changing(now_ms, limits):
            floor = min(floor, limit.floor(self._previous.members, self._previous.members_before, self._number))
        return floor

    def _is_changing(self, now_ms: float, limits: Iterable[FleetLimit]) -> bool:
        """Return whether a part of a larger floor from before the last change may still be lent or occupied."""
        wait_ms = max((limit.loan_ms() + limit.occupancy_ms() for limit in limits), default=0.0)
        return now_ms < self._changed_ms + wait_ms * (1.0 + MAX_DRIFT_FRACTION)
