"""A file of the fleet's events, as one JSON object per line, for the lab's checkers and for investigations.

Each line has ``t`` (steady ms of this machine), ``member``, ``life`` (the member's incarnation), ``kind`` and the
event's own fields. A line is written by one call, and nothing waits for it. If the disk is full, lines are
lost and counted by ``history.lost``, with no other effect.
"""

from __future__ import annotations

import os

import orjson

from beechslip.clock import Clock
from beechslip.counters import Counters

CLOSED_FD = -1  # used instead of a file descriptor


class HistoryFile:
    """Owns the history file. Without a path, it does nothing."""

    def __init__(self, path: str, member: str, incarnation: int, clock: Clock, counters: Counters) -> None:
        """Open the file at ``path`` for appending. Raises OSError."""
        self._member_fields = {"member": member, "life": incarnation}
        self._clock = clock
        self._counters = counters
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else CLOSED_FD

    def note(self, kind: str, **fields: object) -> None:
        """Append an event. Its fields must be serialisable as JSON."""
        if self._fd == CLOSED_FD:
            return
        event = {"t": self._clock.steady_ms(), **self._member_fields, "kind": kind, **fields}
        line = orjson.dumps(event) + b"\n"
        try:
            if os.write(self._fd, line) < len(line):
                self._counters.add("history.lost")
        except OSError:
            self._counters.add("history.lost")

    def close(self) -> None:
        """Close the file. Later events are dropped."""
        if self._fd != CLOSED_FD:
            os.close(self._fd)
            self._fd = CLOSED_FD
