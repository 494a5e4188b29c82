"""The clock: times in milliseconds as floating-point numbers, from an object that tests can replace.

Durations (deadlines, windows, waits) are differences of ``now_ms``, which does not change when the machine's wall
clock is stepped. The wall clock itself is used only for the dates of records, and to convert times that another
machine has recorded (``to_local_ms``).

The routing package uses seconds. Only ``to_seconds`` and ``to_ms`` convert between the two units.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

MS_PER_S = 1000.0


def to_seconds(ms: float) -> float:
    """Convert milliseconds to the seconds of the routing package."""
    return ms / MS_PER_S


def to_ms(seconds: float) -> float:
    """Convert the seconds of the routing package to milliseconds."""
    return seconds * MS_PER_S


class ScheduledCall(Protocol):
    """A call that a clock makes at a later time."""

    def cancel(self) -> None:
        """Cancel the call. This has no effect once the call has been made."""
        ...


class Clock(Protocol):
    """A source of the current time on three time scales, and a scheduler of calls."""

    def now_ms(self) -> float:
        """Return the Unix time in ms at this clock's start plus the time elapsed since. It is never stepped."""
        ...

    def wall_ms(self) -> float:
        """Return the wall clock's Unix time in ms, which may be stepped forward or back at any time."""
        ...

    def steady_ms(self) -> float:
        """Return the ms since a fixed moment on this machine. The values of two machines can't be compared."""
        ...

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Make the call once ``now_ms`` has advanced by ``delay_ms``, or as soon as possible if that is below 0."""
        ...


def to_local_ms(clock: Clock, dated_ms: float) -> float:
    """Convert ``dated_ms``, a Unix time in ms that another machine recorded, to the scale of ``Clock.now_ms``.

    The result is never in the future. If the wall clock has been stepped since this clock's start, either of the two
    may be right, so the result is the more recent of the two readings. A purge or start time that is too recent only
    costs fills and capacity. One that is too old could let a purged copy be served, or a backend that has just
    started be fully loaded.
    """
    now_ms = clock.now_ms()
    return min(dated_ms + max(now_ms - clock.wall_ms(), 0.0), now_ms)


class SystemClock:
    """The clock of the operating system. It makes scheduled calls from the running event loop."""

    def __init__(self) -> None:
        """Set the start of ``now_ms`` from the current wall clock time."""
        self._start_ms = (time.time() - time.monotonic()) * MS_PER_S

    def now_ms(self) -> float:
        """Return the Unix time in ms at this clock's start plus the time elapsed since."""
        return self._start_ms + time.monotonic() * MS_PER_S

    def wall_ms(self) -> float:
        """Return the wall clock's Unix time in ms."""
        return time.time() * MS_PER_S

    def steady_ms(self) -> float:
        """Return the ms since the machine was booted, including those in which it was suspended."""
        # A lease must also expire while the machine is suspended. A monotonic clock need not count that time, but
        # CLOCK_BOOTTIME does.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Make the call from the running event loop after ``delay_ms``."""
        return asyncio.get_running_loop().call_later(max(delay_ms, 0.0) / MS_PER_S, call)


class _ManualCall:
    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class ManualClock:
    """A clock for tests that changes only in ``advance``, which also makes the scheduled calls that are due."""

    def __init__(self, now_ms: float = 1_764_576_000_000.0) -> None:
        """Start at ``now_ms``, with the wall clock showing the same time."""
        self._now = now_ms
        self.step_ms = 0.0  # the sum of all steps of the wall clock
        self._pending: list[tuple[float, int, _ManualCall]] = []
        self._call_numbers = itertools.count()

    def now_ms(self) -> float:
        """Return the time to which the clock has been advanced."""
        return self._now

    def wall_ms(self) -> float:
        """Return ``now_ms`` plus ``step_ms``."""
        return self._now + self.step_ms

    def steady_ms(self) -> float:
        """Return the same time as ``now_ms``."""
        return self._now

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Make the call in the ``advance`` that reaches its time; calls for the same time in scheduling order."""
        pending_call = _ManualCall(call)
        heapq.heappush(self._pending, (self._now + max(delay_ms, 0.0), next(self._call_numbers), pending_call))
        return pending_call

    def advance(self, ms: float) -> None:
        """Advance the clock by ``ms``, and make each scheduled call at the time for which it is due."""
        end = self._now + ms
        while self._pending and self._pending[0][0] <= end:
            self._now, _, pending_call = heapq.heappop(self._pending)
            if pending_call.call is not None:
                pending_call.call()
        self._now = end
