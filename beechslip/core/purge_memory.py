"""Recent purges, for attempts that the router has named and that have not been sent yet."""

from __future__ import annotations

import math

from beechslip.core.messages import PurgeReceived
from beechslip.core.model import ClientRequest

MAX_REMEMBERED_PURGES = 4_096  # beyond it the oldest counts for every object: safe, but it costs fills

_NO_GROUP = 0
_NO_OBJECT = ""


class PurgeMemory:
    """When each object and each group was last purged, in ms of ``Clock.now_ms``.

    Bounded: once ``MAX_REMEMBERED_PURGES`` is exceeded the oldest purge counts for all objects.
    """

    def __init__(self) -> None:
        """Start with no purge remembered."""
        self._received_ms: dict[tuple[str, int], float] = {}  # by object with no group, or by group with no object
        self._last_evicted_ms = -math.inf  # when the last purge that is no longer in the table was received

    def add(self, purge: PurgeReceived, now_ms: float) -> None:
        """Remember a purge that was received now."""
        key = (purge.object, _NO_GROUP) if purge.object else (_NO_OBJECT, purge.group)
        self._received_ms.pop(key, None)  # a purge received again becomes the youngest of the table
        self._received_ms[key] = now_ms
        if len(self._received_ms) > MAX_REMEMBERED_PURGES:
            oldest = next(iter(self._received_ms))
            self._last_evicted_ms = self._received_ms.pop(oldest)

    def purged_since(self, client_request: ClientRequest, since_ms: float) -> bool:
        """Whether a purge of the request's object or group was received after ``since_ms``."""
        last_ms = max(
            self._received_ms.get((client_request.object, _NO_GROUP), -math.inf),
            self._received_ms.get((_NO_OBJECT, client_request.group), -math.inf),
            self._last_evicted_ms,
        )
        return last_ms > since_ms
