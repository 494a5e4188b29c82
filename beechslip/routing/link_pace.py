"""The pace of one proxy's transfers on a link: their duration over that on a free link at the full rate."""

from __future__ import annotations

import math

from beechslip.routing.tallies import DecayingSum

RECENT_SPAN_S = 0.5  # s over which the recent pace is averaged
MIN_DELAY_S = (
    0.01  # s that an answer takes at least beside its transfer; so short transfers do not appear slow
)
MAX_SHORT_TRANSFER_S = 0.05  # s of transfer time up to which the duration shows the delay


class LinkPace:
    """The recent pace on a link, without the delays that do not depend on its load. Times are in seconds."""

    __slots__ = ("_elapsed", "_shortest_delay", "_work")

    def __init__(self) -> None:
        """Start without any transfer."""
        self._shortest_delay = math.inf
        self._elapsed = DecayingSum(RECENT_SPAN_S)
        self._work = DecayingSum(RECENT_SPAN_S)

    def add(self, now: float, work: float, elapsed: float, is_alone: bool) -> None:
        """Include a transfer that has ended.

        Args:
            now: its end.
            work: its transfer time at the full rate.
            elapsed: its duration with all delays.
            is_alone: no other transfer of this proxy is in progress; only then it may show the delay.
        """
        if is_alone and work <= MAX_SHORT_TRANSFER_S:
            self._shortest_delay = min(self._shortest_delay, elapsed - work)
        delay = self._shortest_delay if self._shortest_delay < math.inf else MIN_DELAY_S
        self._elapsed.add(now, elapsed)
        self._work.add(now, work + max(delay, MIN_DELAY_S))

    def recent(self, now: float) -> float:
        """Return the mean pace of recent transfers, weighted by their work; without any it is 1."""
        work = self._work.value_at(now)
        return self._elapsed.value_at(now) / work if work > 0.0 else 1.0
