"""Has requests wait until there is memory for their responses, before they are routed.

A request that waits has been received and has reached no backend; its client's time runs. It goes on in the order of
arrival, and is refused when its time is over. Requests whose responses are expected to be small wait for nobody.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.clock import Clock, ScheduledCall
from beechslip.core.model import ClientRequest
from beechslip.memory_budget import MemoryCharge, MemoryRoom
from beechslip.platform.fair_turns import FairTurns
from beechslip.response_sizes import ResponseSizes

REFUSE_BEFORE_MS = 8.0  # before the client gives up, so that the refusal is written in time


@dataclass(frozen=True, slots=True)
class Continuation:
    """What follows a wait: ``begin`` routes the request, ``refuse`` answers it. One of them is called, once."""

    begin: Callable[[], None]
    refuse: Callable[[], None]


class _WaitingRequest:
    """A request that waits for memory."""

    __slots__ = ("_alarm", "_continuation", "_has_ended", "_reservation", "_space")

    def __init__(self, space: ResponseSpace, reservation: MemoryCharge, continuation: Continuation) -> None:
        self._reservation = reservation
        self._space = space
        self._continuation = continuation
        self._alarm: ScheduledCall | None = None
        self._has_ended = False

    def set_alarm(self, alarm: ScheduledCall) -> None:
        self._alarm = alarm

    def granted(self) -> None:
        self.end()
        self._continuation.begin()

    def refuse(self) -> None:
        if not self._has_ended:
            self.end()
            self._continuation.refuse()

    def take_turn(self) -> bool:
        """Refuse the request, whose time is over. Return False, as no more is to be done."""
        self.refuse()
        return False

    def end(self) -> None:
        """End the wait, in one way or another."""
        self._has_ended = True
        self._reservation.cancel_wait(self.granted)
        if self._alarm is not None:
            self._alarm.cancel()
        self._space.wait_ended(self)


class ResponseSpace:
    """Owns the requests that wait for memory, and what is known of the sizes of responses."""

    def __init__(self, room: MemoryRoom, clock: Clock, turns: FairTurns) -> None:
        """Create the owner of requests that wait for space in ``room``, the one of expected responses.

        Those whose time is over are refused in ``turns``.
        """
        self._room = room
        self.sizes = ResponseSizes()
        self.nobody_waits = asyncio.Event()  # set while no request waits
        self.nobody_waits.set()
        self._clock = clock
        self._turns = turns
        self._waiting: dict[_WaitingRequest, None] = {}

    def begin(
        self, request: ClientRequest, charge: MemoryCharge, continuation: Continuation
    ) -> Callable[[], None] | None:
        """Begin a request once there is space for its response, which will be charged to ``charge``.

        ``charge`` gets a reservation of what is expected. Return a call that ends the wait, for the case that the
        client leaves; None if the request does not wait.
        """
        expected_bytes = 0  # a write is answered with hardly more than a head
        if not request.write:
            expected_bytes = self.sizes.expected_bytes(
                request.class_name, request.object, request.part, request.size_kb
            )
        reservation = MemoryCharge(self._room)
        # One that a backend does not use is given up while others wait: its response is charged as it comes.
        reservation.hand_over(lambda: reservation.set(0, self._clock.now_ms()), self._clock.now_ms())
        charge.reservation = reservation
        waiting = _WaitingRequest(self, reservation, continuation)
        if reservation.acquire(expected_bytes, self._clock.now_ms, waiting.granted):
            continuation.begin()
            return None
        self._waiting[waiting] = None
        self.nobody_waits.clear()
        time_left_ms = request.arrived_ms + request.wait_ms - REFUSE_BEFORE_MS - self._clock.now_ms()
        if time_left_ms <= 0.0:
            waiting.refuse()
            return None
        # Many that came together must not keep all others from their turn when their time is over.
        waiting.set_alarm(self._clock.call_later(time_left_ms, lambda: self._turns.add(waiting.take_turn)))
        return waiting.end

    def wait_ended(self, waiting: _WaitingRequest) -> None:
        """Forget a request that waits no longer."""
        self._waiting.pop(waiting, None)
        if not self._waiting:
            self.nobody_waits.set()

    def refuse_all(self) -> None:
        """Refuse all requests that wait, as this process is about to end."""
        for waiting in list(self._waiting):
            waiting.refuse()
