"""The pace of one proxy's transfers on a link: their duration over that on a free link at the full rate."""

from __future__ import annotations

from beechslip.routing.tallies import DecayingSum

RECENT_SPAN_S = 0.5  # s over which the recent pace is averaged
MIN_DELAY_S = (
    0.01  # s that an answer takes at least beside its transfer; so short transfers do not appear slow
)


class LinkPace:
    """The recent pace on a link. Times are in seconds."""

    __slots__ = ("_elapsed", "_work")

    def __init__(self) -> None:
        """Start without any transfer."""
        self._elapsed = DecayingSum(RECENT_SPAN_S)
        self._work = DecayingSum(RECENT_SPAN_S)

    def add(self, now: float, work: float, elapsed: float, delay: float) -> None:
        """Include a transfer that has ended.

        Args:
            now: its end.
            work: its transfer time at the full rate.
            elapsed: its duration.
            delay: what an answer takes beside its transfer, whatever the load.
        """
        self._elapsed.add(now, elapsed)
        self._work.add(now, work + max(delay, MIN_DELAY_S))

    def recent(self, now: float) -> float:
        """Return the mean pace of recent transfers, weighted by their work; without any it is 1."""
        work = self._work.value_at(now)
        return self._elapsed.value_at(now) / work if work > 0.0 else 1.0
