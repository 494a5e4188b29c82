"""A number of places for the transfers of one proxy on a link, which may be below one."""

from __future__ import annotations

import math


class PlacePool:
    """The transfers that hold a place, and the pause after each while there is less than one place.

    Times are in seconds.
    """

    __slots__ = ("in_progress", "places", "resumes_at")

    def __init__(self) -> None:
        """Start with no transfer and an unlimited number of places."""
        self.in_progress = 0
        self.places = math.inf  # transfers in progress, in the mean
        self.resumes_at = 0.0  # end of the pause

    def has_place(self, now: float) -> bool:
        """Return whether one more transfer may begin now."""
        if self.places < 1.0:
            return self.in_progress == 0 and now >= self.resumes_at
        return self.in_progress + 1.0 <= self.places

    def pause_after(self, now: float, target_time: float) -> None:
        """Begin the pause after a transfer, if there is less than one place.

        Args:
            now: the end of the transfer.
            target_time: the duration that it has at the target pace.
        """
        if self.places < 1.0:
            self.resumes_at = now + target_time * (1.0 / self.places - 1.0)
