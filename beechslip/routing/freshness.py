"""Freshness: the age limit on the copy that answers an attempt, by class and by recent purges.

A purge limits the age of copies until every backend has dropped the older ones by itself.
"""

from __future__ import annotations

import math
from collections import deque

from beechslip.routing import interface as i
from beechslip.routing.context import CLOCK_RESOLUTION_S, RoutingContext
from beechslip.routing.state import OpenRequest

DEFAULT_PROPAGATION_S = 60.0  # s until a purge has reached every backend, if the site does not state it
PROPAGATION_MARGIN_S = 1.0  # s, leaves time for a few more renewals
MAX_PURGES = 50_000  # the oldest beyond it become one limit for all objects, which is safe but costs fills


class PurgeLog:
    """The time of the last purge of each object and group, in seconds of the router's clock."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.object_purge_times: dict[str, float] = {}
        self.group_purge_times: dict[int, float] = {}
        self.recent_purges: deque[tuple[float, str, int]] = deque()
        self.all_purged_at = -math.inf  # time of the latest purge that was turned into one of all objects

    def add(self, now: float, purge: i.Purge, retention: float) -> None:
        """Record a purge, and drop those older than ``retention`` seconds."""
        at = now - purge.age
        if purge.object:
            at = self.object_purge_times[purge.object] = max(
                at, self.object_purge_times.get(purge.object, at)
            )
        else:
            at = self.group_purge_times[purge.group] = max(at, self.group_purge_times.get(purge.group, at))
        self.recent_purges.append((at, purge.object, purge.group))
        self.drop_old_purges(now, retention)

    def last_purge_time(self, now: float, name: str, group: int, retention: float) -> float:
        """Return when an object was last purged, by itself, with its group or with all; -inf if never."""
        self.drop_old_purges(now, retention)
        return max(
            self.object_purge_times.get(name, -math.inf),
            self.group_purge_times.get(group, -math.inf),
            self.all_purged_at,
        )

    def drop_old_purges(self, now: float, retention: float) -> None:
        """Drop purges older than ``retention`` seconds.

        Beyond ``MAX_PURGES`` the oldest purges are turned into one purge of all objects.
        """
        while self.recent_purges:
            at, name, group = self.recent_purges[0]
            is_old = at <= now - retention
            if not is_old and len(self.recent_purges) <= MAX_PURGES:
                return
            self.recent_purges.popleft()
            if not is_old:
                self.all_purged_at = max(self.all_purged_at, at)
            if name and self.object_purge_times.get(name) == at:
                del self.object_purge_times[name]
            elif not name and self.group_purge_times.get(group) == at:
                del self.group_purge_times[group]


class FreshnessPolicy:
    """Owns the purge log and computes how old a copy may be."""

    def __init__(self, context: RoutingContext) -> None:
        """Create the policy with no recorded purge."""
        self._context = context
        self.purges = PurgeLog()

    def record_purge(self, purge: i.Purge) -> None:
        """Limit the age of copies for all later attempts for what was purged."""
        self.purges.add(self._context.now, purge, self._purge_retention())

    def oldest_allowed(self, request: OpenRequest, limit: float) -> float:
        """Return the age limit of an attempt in seconds.

        It is the smaller of ``limit`` (0: none) and the time since the last purge. A limit that follows from
        a purge is never 0, because that would mean no limit.
        """
        now = self._context.now
        retention = self._purge_retention()
        event = request.event
        purged_at = self.purges.last_purge_time(now, event.object, event.group, retention)
        if now - purged_at > retention:
            return limit
        since_purge = max(math.floor((now - purged_at) / CLOCK_RESOLUTION_S - 1.0), 1.0) * CLOCK_RESOLUTION_S
        return min(since_purge, limit) if limit else since_purge

    def _purge_retention(self) -> float:
        """Return the seconds for which a purge limits the age of copies."""
        propagation = self._context.settings.purge_propagation or DEFAULT_PROPAGATION_S
        return propagation + PROPAGATION_MARGIN_S
