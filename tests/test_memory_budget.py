"""The memory budget: rooms, what happens when one is full, and turns for connections with much input."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import pytest

from beechslip.clock import ManualClock
from beechslip.counters import Counters
from beechslip.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryCharge, MemoryRoom, RoomPlan
from beechslip.platform.fair_turns import PAUSE_MS, ROUND_MS, TURNS_PER_ROUND, FairTurns

FLOOR_BYTES = 24 * BYTES_PER_MB


def create_room(limit_bytes: int, patience_ms: float = 1_000.0) -> MemoryRoom:
    return MemoryRoom(RoomPlan("test", 0.5, 0, patience_ms), limit_bytes, Counters())


@pytest.mark.parametrize("limit_mb", [48, 64, 96, 192, 2048])
def test_rooms_together_leave_a_reserve_below_the_limit(limit_mb: int) -> None:
    budget = MemoryBudget(limit_mb, FLOOR_BYTES, 896, Counters())
    assert sum(room.limit_bytes for room in budget.rooms) + FLOOR_BYTES < 0.95 * limit_mb * BYTES_PER_MB


def test_a_room_has_space_for_some_requests_and_responses_at_any_limit() -> None:
    budget = MemoryBudget(1, FLOOR_BYTES, 896, Counters())
    assert all(room.limit_bytes >= 256 * 1024 for room in budget.rooms)


def test_a_room_counts_what_its_holders_keep_and_resumes_waiters_in_order() -> None:
    room = create_room(100_000)
    first, second = MemoryCharge(room), MemoryCharge(room)
    resumed: list[str] = []
    waiters: list[Callable[[], None]] = [lambda: resumed.append("a"), lambda: resumed.append("b")]
    first.set(60_000, 0.0)
    second.set(50_000, 0.0)
    assert room.is_full and room.free_bytes == 0 and room.peak_bytes == 110_000
    for waiter in waiters:
        room.wait(waiter)
    second.set(30_000, 1.0)
    assert not resumed  # there is not enough space for a read yet
    second.set(20_000, 1.0)
    assert resumed == ["a"]
    room.cancel_wait(waiters[1])
    first.set(0, 2.0)
    assert resumed == ["a"] and room.held_bytes == 20_000


# Guards against bodies that each hold a part of a full room, so that none of them can end.
def test_a_room_is_reserved_for_whole_bodies_in_the_order_of_those_who_wait() -> None:
    room = create_room(100)
    charges = [MemoryCharge(room) for _ in range(4)]
    resumed: list[int] = []

    def wait_for(number: int, needed_bytes: int) -> None:
        def resume() -> None:
            resumed.append(number)
            assert charges[number].reserve(needed_bytes, 0.0)

        room.wait(resume, needed_bytes)

    assert charges[0].reserve(70, 0.0) and not charges[1].reserve(40, 0.0)
    wait_for(1, 40)
    wait_for(2, 20)  # it would fit, but comes later
    wait_for(3, 60)
    charges[0].set(61, 0.0)
    assert not resumed
    charges[0].set(0, 0.0)
    assert resumed == [1, 2] and room.held_bytes == 60
    charges[1].set(0, 0.0)
    assert resumed == [1, 2, 3] and room.held_bytes == 80


# Guards against slow senders that keep a full room from quick ones.
def test_a_full_room_ends_its_oldest_holders_but_only_those_that_are_slow_and_can_be_ended() -> None:
    room = create_room(100)
    ended: list[str] = []
    kept = MemoryCharge(room)

    def create_charge(name: str) -> MemoryCharge:
        def end() -> None:
            ended.append(name)
            charge.set(0, 0.0)

        charge = MemoryCharge(room, end)
        return charge

    slow, quick = create_charge("slow"), create_charge("quick")
    kept.set(60, 0.0)
    slow.set(30, 0.0)
    quick.set(30, 900.0)
    room.end_oldest(999.0)
    assert not ended
    room.end_oldest(1_000.0)
    assert ended == ["slow"] and not room.is_full
    kept.set(100, 1_000.0)
    room.end_oldest(1_899.0)
    assert ended == ["slow"]
    room.end_oldest(1_900.0)
    assert ended == ["slow", "quick"]
    room.end_oldest(9_999.0)
    assert room.is_full  # what is left must be kept


class CountingTaker:
    """A client with a number of turns' work, each of which takes some time."""

    def __init__(self, clock: ManualClock, turns: int, turn_ms: float = 0.01) -> None:
        self.clock, self.turns, self.turn_ms = clock, turns, turn_ms
        self.taken = 0

    def take_turn(self) -> bool:
        self.taken += 1
        self.clock.advance(self.turn_ms)
        return self.taken < self.turns


# Guards against one connection, or hundreds of them, that keep the event loop from all others.
@pytest.mark.parametrize("turn_ms", [0.01, 0.5])
def test_clients_take_turns_in_rounds_that_leave_time_for_others(turn_ms: float) -> None:
    clock = ManualClock()
    scheduled: deque[tuple[float, Callable[[], None]]] = deque()
    turns = FairTurns(clock.now_ms, lambda delay_ms, call: scheduled.append((delay_ms, call)))
    takers = [CountingTaker(clock, count, turn_ms) for count in (300, 3, *(1 for _ in range(100)))]
    for taker in takers:
        turns.add(taker.take_turn)
    rounds = 0
    while scheduled:
        assert len(scheduled) == 1
        _, run_round = scheduled.popleft()
        before_ms, before = clock.now_ms(), sum(taker.taken for taker in takers)
        run_round()
        rounds += 1
        taken_ms = clock.now_ms() - before_ms
        assert taken_ms < ROUND_MS + turn_ms + 1e-6
        assert sum(taker.taken for taker in takers) - before <= TURNS_PER_ROUND
        if scheduled:
            assert scheduled[0][0] == (PAUSE_MS if taken_ms >= ROUND_MS else 0.0)
        if takers[0].taken >= 5:
            assert all(taker.taken == taker.turns for taker in takers[1:])
    assert [taker.taken for taker in takers] == [taker.turns for taker in takers]
