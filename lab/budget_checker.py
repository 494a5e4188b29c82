"""Checks the actual use of a fleet-wide limit, by true time, against the limit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from beechslip.budgets.limit import FleetLimit
from lab.check import MAX_VIOLATIONS, Violation

TOLERANCE = 1e-6  # relative and absolute: sums of floats are rounded
RATE_WINDOW_MS = 1000.0  # the use of a rate is stated over this period


def settled_ms(limit: FleetLimit) -> float:
    """Return the time (ms) from the last proxy's reading of a smaller limit until no use can exceed it."""
    granted_ms = (limit.grant_ms + limit.occupancy_ms()) * (1.0 + limit.drift)
    return granted_ms + limit.travel_ms + limit.loan_ms()


@dataclass
class BudgetChecker:
    """Checks the uses of one limit, which must be passed to it in order of time.

    Its rules are ``over-window``, ``over-flight`` and ``over-rate``. ``bound`` is the amount that is allowed now; the
    caller may change it. ``max_used`` is the most that was in use at once, or for a rate the most that was taken out
    of its bucket. A rate is allowed some more for the travel time, as uses may arrive closer together than they were
    sent.
    """

    limit: FleetLimit
    violations: list[Violation] = field(default_factory=list)
    spent: float = 0.0
    max_used: float = 0.0

    def __post_init__(self) -> None:
        """Begin with nothing in use and, for a rate, with a full bucket."""
        self.bound = self.limit.amount
        self._window: deque[tuple[float, float]] = deque()  # when, cost
        self._used = 0.0
        self._level = self.bucket_size()
        self._level_at_ms = 0.0

    def bucket_size(self) -> float:
        """Return the size of a rate's bucket: its burst, and what may arrive together because of the travel time."""
        return self.limit.burst + self.bound * self.limit.travel_ms / 1000.0

    def used(self, t: float) -> float:
        """Return the amount in use at ``t`` (ms); for a rate, what was spent in the last second."""
        if self.limit.kind != "flight":
            length_ms = self.limit.base_occupancy_ms if self.limit.kind == "window" else RATE_WINDOW_MS
            while self._window and t - self._window[0][0] >= length_ms:
                self._used -= self._window.popleft()[1]
        return self._used

    def max_used_fraction(self) -> float:
        """Return the most that was in use at once, as a fraction of the limit that is allowed now."""
        return self.max_used / (self.bucket_size() if self.limit.kind == "rate" else self.bound)

    def spend(self, t: float, member: str, cost: float = 1.0) -> None:
        """Count a use of ``cost`` by ``member``, which takes effect at ``t`` (ms)."""
        self.spent += cost
        self._used += cost
        if self.limit.kind != "flight":
            self._window.append((t, cost))
        used = self.used(t)
        bound = self.bound
        if self.limit.kind == "rate":
            bound = self.bucket_size()
            refilled = self._level + (t - self._level_at_ms) / 1000.0 * self.bound
            self._level = min(bound, refilled) - cost
            self._level_at_ms = t
            used = bound - self._level
        self.max_used = max(self.max_used, used)
        if used > bound * (1 + TOLERANCE) + TOLERANCE and len(self.violations) < MAX_VIOLATIONS:
            rule = f"over-{self.limit.kind}"
            self.violations.append(
                Violation(rule, t, f"{member} raises the use to {used:.2f}, above the limit of {bound:g}")
            )

    def release(self) -> None:
        """Count the end of one attempt that was in flight."""
        self._used -= 1.0
