"""A fleet-wide limit that is divided among the proxies: its size, its kind and the times derived from it. No I/O.

There are three kinds, which differ in how long a spending occupies the limit:

- A **window** (a warming backend's allowance over ``fall``): a spending occupies the limit for the length of the
  window, ``base_occupancy_ms``.
- A **number in flight** (fills to a hub, connections): a spending occupies the limit until it has ended, and for
  ``base_occupancy_ms`` at most.
- A **rate** (retries, health checks): a token bucket.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

LimitKind = Literal["window", "flight", "rate"]
GRANT_TIMES_PER_LOAN = 3.0  # a loan lasts this many grant times, so a grant given late in it ends before it does


class LimitCost(NamedTuple):
    """What one act, such as an attempt, spends of the named limit. ``amount`` is in spendings."""

    limit: str
    amount: float


class FloorLoan(NamedTuple):
    """``amount`` of a member's floor is lent to the pool until ``until_ms`` or later."""

    amount: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class FleetLimit:
    """One limit of the whole fleet. What all proxies occupy together never exceeds it.

    ``amount``: spendings per window, in flight, or per second. ``base_occupancy_ms``: how long a spending occupies
    the limit at most, without travel time and clock drift. ``floor_share``: the fraction that is divided evenly into
    floors, which need no grant; grants are made from the rest, the pool. ``burst``: the size of a rate's token
    bucket, in spendings. ``grant_ms``: how long a grant lasts by the requester's clock. ``drift``: how fast or slow a
    clock runs at most, as a fraction. ``travel_ms``: how much later than it was made a spending, or its end, may
    reach the backend.
    """

    name: str
    kind: LimitKind
    amount: float
    base_occupancy_ms: float = 0.0
    floor_share: float = 0.5
    burst: float = 0.0
    grant_ms: float = 2000.0
    drift: float = 0.01
    travel_ms: float = 0.0
    max_cost: float = 1.0  # of one spending; a smaller floor could not absorb a spending that is written late
    zone_members: int = 0  # proxies of a zone, if the floors are divided among those; 0: among all declared members
    is_participant: bool = True  # whether this proxy is one of those among which the floors are divided

    def floor(self, members: int, members_before: int = 0, number: int = 0) -> float:
        """Return the floor of member ``number``, in spendings, when ``members`` are declared.

        While the declared set changes from ``members_before`` to ``members``, new members have no floor and the
        others have the smaller of the two floors, because some members may not know of the change yet.
        """
        is_new = bool(members_before) and number >= members_before
        if is_new or not self.is_participant:
            return 0.0
        dividing = self.zone_members or max(members, members_before)
        return self.amount * self.floor_share / max(dividing, 1)

    def is_floor_too_small(self, members: int) -> bool:
        """Return whether a floor holds less than one spending.

        Such a limit can't be divided safely (see ``Quota.confirm``).
        """
        floor = self.floor(members)
        if self.kind == "rate":
            floor = floor * self.burst / self.amount
        return floor < self.max_cost

    def pool(self) -> float:
        """Return the part that is not divided into floors, but granted by the allocator."""
        return self.amount * (1.0 - self.floor_share)

    def loan_ms(self) -> float:
        """Return how long a part of a floor stays lent.

        This is the time of three grants and the occupancy of what is spent of them, whichever clock measures it.
        """
        return (GRANT_TIMES_PER_LOAN * self.grant_ms + self.occupancy_ms()) * (1.0 + self.drift) ** 2

    def occupancy_ms(self) -> float:
        """Return how long a spending may occupy the limit, including its travel time, whichever clock measures it."""
        return (self.base_occupancy_ms + self.travel_ms) * (1.0 + self.drift)
