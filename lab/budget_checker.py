"""Checks what is felt of a fleet-wide limit, by true time, against the limit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from beechslip.budgets.limit import FleetLimit
from lab.check import MAX_VIOLATIONS, Violation

TOLERANCE = 1e-6  # relative and absolute: sums of floats are rounded
RATE_WINDOW_MS = 1000.0  # a rate's use is shown over this


def settled_ms(limit: FleetLimit) -> float:
    """How long after the last proxy has read of a smaller limit nothing above it is felt any more."""
    granted_ms = (limit.grant_ms + limit.occupancy_ms()) * (1.0 + limit.drift)
    return granted_ms + limit.travel_ms + limit.loan_ms()


@dataclass
class BudgetChecker:
    """Feed it what is spent and what ends, by rising time; its rules are ``over-window``, ``over-flight`` and
    ``over-rate``. ``bound`` is the amount that holds now; it may be set. ``max_used``: the most that was occupied at
    once (a rate: the most out of its bucket). A rate has a slack for travel: spendings that bunch by it.
    """

    limit: FleetLimit
    violations: list[Violation] = field(default_factory=list)
    spent: float = 0.0
    max_used: float = 0.0

    def __post_init__(self) -> None:
        """Nothing is occupied yet; a rate's bucket is full."""
        self.bound = self.limit.amount
        self._window: deque[tuple[float, float]] = deque()  # when, cost
        self._used = 0.0
        self._level = self.bucket_size()
        self._level_at_ms = 0.0

    def bucket_size(self) -> float:
        """A rate's bucket: its burst, and what may bunch on the way."""
        return self.limit.burst + self.bound * self.limit.travel_ms / 1000.0

    def used(self, t: float) -> float:
        """What is occupied at ``t`` (ms); a rate: spendings of the last second."""
        if self.limit.kind != "flight":
            length_ms = self.limit.base_occupancy_ms if self.limit.kind == "window" else RATE_WINDOW_MS
            while self._window and t - self._window[0][0] >= length_ms:
                self._used -= self._window.popleft()[1]
        return self._used

    def max_used_fraction(self) -> float:
        """The most that was occupied at once, as a fraction of the limit that holds now."""
        return self.max_used / (self.bucket_size() if self.limit.kind == "rate" else self.bound)

    def spend(self, t: float, member: str, cost: float = 1.0) -> None:
        """``cost`` of ``member`` is felt at ``t`` (ms)."""
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
            self.violations.append(Violation(rule, t, f"{member} makes it {used:.2f} of {bound:g}"))

    def release(self) -> None:
        """One that was in flight has ended."""
        self._used -= 1.0
