"""Requests whose transfer takes longer than the time that their client has left."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from beechslip.routing import interface as i
from tests.helpers import SETTINGS, RouterDriver, attempts, final_actions


# Guards against transfers that cannot end in time and take link capacity from those that can.
@pytest.mark.parametrize(
    ("size", "left", "changes", "sent"),
    [
        (4000.0, 0.9, {}, False),  # takes one second at full speed
        (4000.0, 1.2, {}, True),
        (0.0, 0.9, {}, True),  # the size is not stated
        (4000.0, 0.9, {"conditional": True}, True),  # may need no bytes
        (4000.0, 0.9, {"class_name": "order"}, True),
    ],
)
def test_request_whose_transfer_exceeds_the_time_left_is_rejected_at_once(
    size: float, left: float, changes: dict[str, Any], sent: bool
) -> None:
    driver = RouterDriver()
    event = replace(i.Request("r1", "big", "/a", size_kb=size, time_left=left), **changes)
    actions = driver.handle_event(event)
    assert bool(attempts(actions)) == sent
    assert [action.reason for action in final_actions(actions)] == ([] if sent else ["deadline"])


def test_request_is_not_retried_if_its_transfer_exceeds_the_time_left() -> None:
    driver = RouterDriver()
    driver.ask("/a", size=4000.0, left=2.0)
    driver.now += 1.0
    assert [type(action) for action in final_actions(driver.finish_attempt(("r1", 0), "full"))] == [i.Refuse]


def test_request_of_any_size_is_sent_if_the_transfer_rate_is_unknown() -> None:
    driver = RouterDriver(replace(SETTINGS, flow_kb_s=0.0))
    assert attempts(driver.ask("/a", size=4000.0, left=0.9))
