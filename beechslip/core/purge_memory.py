"""Recent purges, which are checked for attempts that the router has requested but that have not been sent yet."""

from __future__ import annotations

import math

from beechslip.core.messages import PurgeReceived
from beechslip.core.model import ClientRequest

MAX_REMEMBERED_PURGES = 4_096  # beyond it, the oldest counts as a purge of every object: safe, but it costs fills

_NO_GROUP = 0
_NO_OBJECT = ""


class PurgeMemory:
    """Records when the latest purge of each object and of each group was received, in ms of ``Clock.now_ms``.

    The table is bounded: when it exceeds ``MAX_REMEMBERED_PURGES``, the oldest purge is evicted and counts as a purge
    of all objects from then on.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._received_ms: dict[tuple[str, int], float] = {}  # by object without group, or by group without object
        self._last_evicted_ms = -math.inf  # when the latest of the evicted purges was received

    def add(self, purge: PurgeReceived, now_ms: float) -> None:
        """Record a purge that was received at ``now_ms``."""
        key = (purge.object, _NO_GROUP) if purge.object else (_NO_OBJECT, purge.group)
        self._received_ms.pop(key, None)  # an object or group that is purged again becomes the table's newest entry
        self._received_ms[key] = now_ms
        if len(self._received_ms) > MAX_REMEMBERED_PURGES:
            oldest = next(iter(self._received_ms))
            self._last_evicted_ms = self._received_ms.pop(oldest)

    def purged_since(self, client_request: ClientRequest, since_ms: float) -> bool:
        """Return True if a purge that counts for the request's object or group was received after ``since_ms``."""
        last_ms = max(
            self._received_ms.get((client_request.object, _NO_GROUP), -math.inf),
            self._received_ms.get((_NO_OBJECT, client_request.group), -math.inf),
            self._last_evicted_ms,
        )
        return last_ms > since_ms
