"""The record of one proxy's transfers on the link of one backend."""

from __future__ import annotations

import math
from typing import NamedTuple

from beechslip.routing.link_pace import MIN_DELAY_S, LinkPace
from beechslip.routing.place_pool import PlacePool

SHORT_PLACES_FRACTION = 0.3  # places for short transfers alone, beside the limit and as a fraction of it


class FillKey(NamedTuple):
    """Identifies a fill in progress, which later requests for the copy join."""

    cache: str
    copy_key: int


class Link:
    """The transfers in progress on a link, their pace, and the limit on them. Times are in seconds."""

    __slots__ = (
        "_sent_at_sum",
        "_work_sum",
        "adjusted_at",
        "answered_at",
        "blocked_at",
        "fills",
        "pace",
        "places",
        "short_places",
        "slow_at",
    )

    def __init__(self) -> None:
        """Start with an idle link and no limit."""
        self.places = PlacePool()  # for transfers of any size
        self.short_places = PlacePool()  # for short transfers alone, which would wait long behind others
        self.fills: dict[FillKey, int] = {}  # attempts by the fill that they wait for
        self.answered_at = -math.inf  # when a transfer last completed
        self.slow_at = -math.inf  # when transfers were last slower than the target
        self.blocked_at = -math.inf  # when a request last found no place
        self.adjusted_at = 0.0
        self._sent_at_sum = 0.0  # of the transfers in progress
        self._work_sum = 0.0
        self.pace = LinkPace()

    @property
    def in_progress(self) -> int:
        """The number of transfers in progress."""
        return self.places.in_progress + self.short_places.in_progress

    @property
    def limit(self) -> float:
        """The places for transfers of any size; infinite if the link is not limited."""
        return self.places.places

    @limit.setter
    def limit(self, limit: float) -> None:
        self.places.places = limit
        self.short_places.places = SHORT_PLACES_FRACTION * limit

    def has_place(self, now: float, is_short: bool) -> bool:
        """Return whether the limit permits one more transfer now."""
        return self.places.has_place(now) or (is_short and self.short_places.has_place(now))

    def begin(self, now: float, work: float, is_short: bool) -> PlacePool:
        """Count a transfer of ``work`` seconds at full speed that begins; return the pool of its place."""
        pool = self.short_places if is_short and self.short_places.has_place(now) else self.places
        pool.in_progress += 1
        self._sent_at_sum += now
        self._work_sum += work + MIN_DELAY_S
        return pool

    def end(self, pool: PlacePool, sent_at: float, work: float) -> None:
        """Count a transfer that has ended, and free its place."""
        pool.in_progress -= 1
        self._sent_at_sum -= sent_at
        self._work_sum -= work + MIN_DELAY_S
        if not self.in_progress:
            self._sent_at_sum = self._work_sum = 0.0  # no rounding error is left

    def add_fill(self, key: FillKey) -> None:
        """Count an attempt that waits for a fill."""
        self.fills[key] = self.fills.get(key, 0) + 1

    def remove_fill(self, key: FillKey) -> None:
        """Count an attempt that waits for a fill no longer."""
        self.fills[key] -= 1
        if not self.fills[key]:
            del self.fills[key]

    def pace_in_progress(self, now: float) -> float:
        """Return the time that the transfers in progress have taken, as a multiple of their transfer time."""
        return (self.in_progress * now - self._sent_at_sum) / self._work_sum if self._work_sum > 0.0 else 1.0

    def has_answered_lately(self) -> bool:
        """Return whether a transfer has completed since those in progress began, in the mean."""
        return self.answered_at * self.in_progress > self._sent_at_sum
