"""Decaying sums, and what is computed from them: late fractions, and which fraction of requests may fill."""

from __future__ import annotations

import math

DECAY_TIME_S = 4.0  # s; spans tens of attempts at a quiet cache, and is short against a fault of 5 to 30 s
FILL_GROWTH_PER_S = 2.0  # growth in a second of timely fills, as a multiple of the tolerated late fraction
MIN_FILL_FRACTION = 0.03  # of requests, which may always fill; without any a recovery would go unnoticed


class DecayingSum:
    """A sum that decays exponentially with a time constant in seconds."""

    def __init__(self, time_constant: float = DECAY_TIME_S) -> None:
        """Start at 0; an amount that was added ``time_constant`` seconds ago counts 1/e."""
        self.total = 0.0
        self.updated_at = 0.0
        self.time_constant = time_constant

    def value_at(self, now: float) -> float:
        """Return the sum, decayed until ``now``."""
        return self.total * math.exp((self.updated_at - now) / self.time_constant)

    def add(self, now: float, amount: float) -> float:
        """Add an amount at ``now`` and return the new sum."""
        self.total = self.value_at(now) + amount
        self.updated_at = now
        return self.total


class WindowedMinimum:
    """The minimum of the values of the present and the previous window of time.

    While there is no value in either, it is that of the windows before.
    """

    def __init__(self, window: float) -> None:
        """Start without a value, with windows of ``window`` seconds."""
        self.value = math.inf
        self._window = window
        self._window_end = -math.inf
        self._previous = math.inf
        self._current = math.inf

    def add(self, now: float, value: float) -> None:
        """Include a value at ``now``."""
        if now >= self._window_end:
            self._previous = self._current if now < self._window_end + self._window else math.inf
            self._current = math.inf
            self._window_end = now + self._window
        self._current = min(self._current, value)
        self.value = min(self._previous, self._current)


class LatenessStats:
    """Decaying counts of timely and late answers, and the time of the last cut that they caused."""

    def __init__(self) -> None:
        """Start with no answers."""
        self.late = DecayingSum()
        self.timely = DecayingSum()
        self.cut_at = -math.inf

    def record(
        self, now: float, is_late: bool, tolerated: float, sent_at: float, weight: float = 1.0
    ) -> bool:
        """Count an answer by its weight; return True if a limit is to be cut.

        That is so when more than the ``tolerated`` fraction is late and this late answer belongs to an
        attempt sent after the last cut: attempts that were in flight at the cut do not show its effect.
        """
        if not is_late:
            self.timely.add(now, weight)
            return False
        self.late.add(now, weight)
        if not self.exceeds(now, tolerated, 0.0) or sent_at <= self.cut_at:
            return False
        self.cut_at = now
        return True

    def exceeds(self, now: float, tolerated: float, assumed_timely: float) -> bool:
        """Return whether the late fraction exceeds ``tolerated``.

        ``assumed_timely`` is a number of timely answers that are assumed in addition to those recorded.
        """
        late = self.late.value_at(now)
        return late > tolerated * (late + self.timely.value_at(now) + assumed_timely)


class FillThrottle:
    """The fraction of requests, ranked by density, that may fill; adjusted by how many fills are late."""

    def __init__(self, cut_factor: float) -> None:
        """Start at 1; each cut multiplies the fraction by ``cut_factor``."""
        self.fraction = 1.0
        self.lateness = LatenessStats()
        self._updated_at = 0.0
        self._cut_factor = cut_factor

    def record(
        self, now: float, is_late: bool, tolerated: float, sent_at: float, weight: float = 1.0
    ) -> None:
        """Count a fill sent at ``sent_at``: too many late ones cut the fraction, timely ones raise it."""
        if self.lateness.record(now, is_late, tolerated, sent_at, weight):
            self.fraction = max(self.fraction * self._cut_factor, MIN_FILL_FRACTION)
        elif not is_late:
            # The growth depends on time, not on the number of fills: a proxy of a large fleet sees few fills,
            # and its recovery would take minutes.
            elapsed = min(now - self._updated_at, 1.0)
            growth = FILL_GROWTH_PER_S * tolerated * elapsed * min(weight, 1.0)
            self.fraction = min(self.fraction + growth, 1.0)
        self._updated_at = now
