"""Decides how far the responses to requests in progress may exceed the memory for responses. Pure.

While backends work on some responses, and send them, others are held until their clients have read them. By
Little's law the bytes in both stages are in the ratio of the times that a response spends there. So if backends take
as long as clients, twice the memory can be in progress without many responses that wait for memory; if they take
longer, more.
"""

from __future__ import annotations

LEAST_FACTOR = 2.0  # some backends are always slower than the mean
MOST_FACTOR = 8.0  # bounds what waits if the clients slow down suddenly
SMOOTHING = 0.25  # the weight of the latest sample


class ResponseOverlap:
    """Samples how much is with backends and how much with clients, and derives the factor from it."""

    __slots__ = ("_delivered_bytes", "_with_backends_bytes")

    def __init__(self) -> None:
        """Create an overlap without samples."""
        self._with_backends_bytes = 0.0  # a smoothed mean
        self._delivered_bytes = 0.0  # a smoothed mean

    def add_sample(self, with_backends_bytes: float, delivered_bytes: float) -> None:
        """Note what backends work on or send now, and what is held for clients. What waits for memory is neither."""
        self._with_backends_bytes += SMOOTHING * (with_backends_bytes - self._with_backends_bytes)
        self._delivered_bytes += SMOOTHING * (delivered_bytes - self._delivered_bytes)

    @property
    def factor(self) -> float:
        """How many times the memory for responses may be in progress."""
        if self._with_backends_bytes >= (MOST_FACTOR - 1.0) * self._delivered_bytes:
            return MOST_FACTOR if self._with_backends_bytes else LEAST_FACTOR
        return max(1.0 + self._with_backends_bytes / self._delivered_bytes, LEAST_FACTOR)
