"""Decides when a client that is owed bytes of a response may be ended. Pure: all times are arguments, in ms.

This is the only place that says so. A reader's time is counted from when it last took bytes, never from when its
response began: one that takes bytes is served to the end, however long that takes. A reader is ended only

- if it has been taking less than ``LEAST_BYTES`` in each ``STALL_MS``, and others need its memory or its descriptor;
- if it has taken nothing at all for ``UNREAD_TIMEOUT_MS``, whether or not anyone needs what it holds.
"""

from __future__ import annotations

STALL_MS = 1_000.0
LEAST_BYTES = 16_384
UNREAD_TIMEOUT_MS = 5_000.0


class ReaderProgress:
    """When the client of one connection last took bytes of its response."""

    __slots__ = ("_counted_bytes", "_counted_ms", "_is_counted", "_taken_bytes", "_taken_ms")

    def __init__(self) -> None:
        """Create the progress of a client that is owed nothing yet."""
        self.begin(0.0)

    def begin(self, now_ms: float) -> None:
        """Note that a response is owed from now on."""
        self._taken_ms = self._counted_ms = now_ms
        self._taken_bytes = self._counted_bytes = 0
        self._is_counted = False

    def observe(self, now_ms: float, taken_bytes: int, *, has_taken_all: bool) -> None:
        """Note how many bytes the client has taken over the life of its connection.

        ``has_taken_all`` if it has taken all that it could: then it waits for this process.
        """
        is_first = not self._is_counted
        self._is_counted = True
        if is_first or has_taken_all or taken_bytes > self._taken_bytes:
            self._taken_ms = now_ms
            self._taken_bytes = taken_bytes
        if is_first or has_taken_all or taken_bytes >= self._counted_bytes + LEAST_BYTES:
            self._counted_ms = now_ms
            self._counted_bytes = taken_bytes

    def may_be_ended(self, now_ms: float, *, is_wanted: bool) -> bool:
        """Return True if the client may be ended. ``is_wanted``: others need its memory or its descriptor."""
        if is_wanted and now_ms - self._counted_ms >= STALL_MS:
            return True
        return now_ms - self._taken_ms >= UNREAD_TIMEOUT_MS
