"""Fair turns: connections with much input to work on take turns, with a bounded amount of work in each loop step."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

STEPS_PER_TURN = 32  # work for one connection at a time; a small request is 4 steps, a chunk of a body is 1
STEPS_PER_LOOP_STEP = 256  # work for all connections that wait for a turn, in one step of the event loop


class TurnTaker(Protocol):
    """A connection whose input may take more than one turn."""

    def take_turn(self) -> bool:
        """Work for at most STEPS_PER_TURN. Return True if more work is left."""
        ...


class FairTurns:
    """The queue of connections that wait for their next turn."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        """Create an empty queue. ``call_soon`` makes a call in the next step of the event loop."""
        self._call_soon = call_soon
        self._waiting: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def add(self, taker: TurnTaker) -> None:
        """Give a connection a turn after those that wait already. It must not be waiting."""
        self._waiting.append(taker)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._is_scheduled = False
        for _ in range(min(STEPS_PER_LOOP_STEP // STEPS_PER_TURN, len(self._waiting))):
            taker = self._waiting.popleft()
            if taker.take_turn():
                self._waiting.append(taker)
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._give_turns)
