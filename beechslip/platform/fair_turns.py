"""Fair turns: work that many clients cause is done in turns, in rounds that leave time for everything else. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

STEPS_PER_TURN = 32  # work in one turn; a small request is 4 steps, a chunk of a body is 1
TURNS_PER_ROUND = 64
ROUND_MS = 2.0  # a round ends when it has taken this long
PAUSE_MS = 3.0  # until the next round, if a round ended so

TakeTurn = Callable[[], bool]  # works for one turn, and returns True if more work is left


class FairTurns:
    """The queue of those who wait for their next turn."""

    def __init__(self, now_ms: Callable[[], float], schedule: Callable[[float, Callable[[], None]], object]) -> None:
        """Create an empty queue.

        ``schedule`` makes a call after a delay in ms; 0 means in the next step of the event loop.
        """
        self._now_ms = now_ms
        self._schedule = schedule
        self._waiting: deque[TakeTurn] = deque()
        self._is_scheduled = False

    def add(self, take_turn: TakeTurn) -> None:
        """Queue for a turn behind those that wait already. One who waits must not be added again."""
        self._waiting.append(take_turn)
        self._schedule_round(0.0)

    def _schedule_round(self, delay_ms: float) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._schedule(delay_ms, self._run_round)

    def _run_round(self) -> None:
        end_ms = self._now_ms() + ROUND_MS
        is_overrun = False
        for _ in range(min(TURNS_PER_ROUND, len(self._waiting))):
            take_turn = self._waiting.popleft()
            if take_turn():
                self._waiting.append(take_turn)
            is_overrun = self._now_ms() >= end_ms
            if is_overrun:
                break
        self._is_scheduled = False
        if self._waiting:
            self._schedule_round(PAUSE_MS if is_overrun else 0.0)
