"""Tests with limits in real time run beside no other test, and last."""

from __future__ import annotations

import threading
import uuid

import pytest

from tests.exclusive_lanes import hold_lane


def is_kept_waiting(lane: int | None, run_id: str) -> bool:
    entered = threading.Event()

    def enter() -> None:
        with hold_lane(lane, run_id):
            entered.set()

    threading.Thread(target=enter, daemon=True).start()
    return not entered.wait(0.3)


@pytest.mark.parametrize(
    ("holder", "other", "waits"), [(None, None, False), (None, 0, True), (0, None, True), (0, 0, True), (0, 1, False)]
)
def test_a_lane_keeps_all_others_away_but_those_of_other_lanes(
    holder: int | None, other: int | None, waits: bool
) -> None:
    run_id = uuid.uuid4().hex
    with hold_lane(holder, run_id):
        assert is_kept_waiting(other, run_id) == waits
    assert not is_kept_waiting(other, run_id)
