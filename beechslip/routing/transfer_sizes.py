"""The transfer times of recent reads, and which transfers are short beside those that occupy the links."""

from __future__ import annotations

from beechslip.routing.tallies import DecayingSum

SIZE_SPAN_S = 10.0  # s; spans some tens of requests of a proxy with little traffic
MAX_SHORT_FRACTION = 0.055  # of the mean transfer on a link, up to which a transfer is short


class TransferSizes:
    """The transfer times of recent reads whose sizes are stated. Times are in seconds."""

    def __init__(self) -> None:
        """Start without any read."""
        self.max_short = 0.0  # transfer time below which a transfer is short
        self._work = DecayingSum(SIZE_SPAN_S)
        self._squared_work = DecayingSum(SIZE_SPAN_S)

    def record(self, now: float, work: float) -> None:
        """Include a read with a transfer time of ``work`` at full speed."""
        total = self._work.add(now, work)
        self.max_short = MAX_SHORT_FRACTION * self._squared_work.add(now, work * work) / total

    def is_short(self, work: float) -> bool:
        """Return whether a transfer delays others little, while it would wait long for them.

        It is compared with the mean transfer that is found on a link at a random moment, to which each one
        contributes in proportion to its duration.
        """
        return work < self.max_short
