"""Lets tests whose limits are in real time run after all others, and beside few others.

Each test of such a lane locks the lane's file for itself, and all other tests share the files of all lanes. So tests
of different lanes run beside one another, and beside no other test.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

LANE_MARKER = "real_time_lane"
LANE_COUNT = 2
RUN_VARIABLE = "PYTEST_XDIST_TESTRUNUID"  # the same for all workers of a run; absent if there are none


def lane_marks(number: int) -> tuple[pytest.MarkDecorator, ...]:
    """Return the marks of the test with this number among those that are to run in lanes."""
    lane = number % LANE_COUNT
    return (getattr(pytest.mark, LANE_MARKER)(lane), pytest.mark.xdist_group(f"real-time-{lane}"))


def lane_of(item: pytest.Item) -> int | None:
    """Return the lane of a test, or None."""
    marker = item.get_closest_marker(LANE_MARKER)
    return None if marker is None else int(marker.args[0])


def order_lanes_last(items: list[pytest.Item]) -> None:
    """Move the tests in lanes behind all others."""
    items.sort(key=lambda item: lane_of(item) is not None)


@contextlib.contextmanager
def hold_lane(lane: int | None, run_id: str | None = os.environ.get(RUN_VARIABLE)) -> Iterator[None]:
    """Wait until a test of this lane, or one of none, may run, and keep others away within the block."""
    if run_id is None:
        yield
        return
    lanes = range(LANE_COUNT) if lane is None else (lane,)
    with contextlib.ExitStack() as stack:
        for number in lanes:
            path = Path(tempfile.gettempdir()) / f"beechslip-lane-{run_id}-{number}.lock"
            file = stack.enter_context(path.open("a"))
            fcntl.flock(file, fcntl.LOCK_SH if lane is None else fcntl.LOCK_EX)
        yield
