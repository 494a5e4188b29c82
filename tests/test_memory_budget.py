"""The memory budget: rooms, what happens when one is full, and turns for connections with much input."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import pytest

from beechslip.counters import Counters
from beechslip.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryCharge, MemoryRoom, RoomPlan
from beechslip.platform.fair_turns import STEPS_PER_LOOP_STEP, STEPS_PER_TURN, FairTurns

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
    """A connection with a number of turns' work."""

    def __init__(self, turns: int) -> None:
        self.turns = turns
        self.taken = 0

    def take_turn(self) -> bool:
        self.taken += 1
        return self.taken < self.turns


# Guards against one connection, or hundreds of them, that keep the event loop from all others.
def test_connections_take_turns_within_a_bound_for_each_step() -> None:
    scheduled: deque[Callable[[], None]] = deque()
    turns = FairTurns(scheduled.append)
    takers = [CountingTaker(100), CountingTaker(3), *(CountingTaker(1) for _ in range(20))]
    for taker in takers:
        turns.add(taker)
    turns_per_step = STEPS_PER_LOOP_STEP // STEPS_PER_TURN
    steps = 0
    while scheduled:
        assert len(scheduled) == 1
        before = sum(taker.taken for taker in takers)
        scheduled.popleft()()
        steps += 1
        assert sum(taker.taken for taker in takers) - before <= turns_per_step
        if steps == 6:
            assert all(taker.taken for taker in takers) and takers[1].taken == 3
    assert [taker.taken for taker in takers] == [taker.turns for taker in takers]
