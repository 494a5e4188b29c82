"""Requests whose bytes can't be sent in the time that their client has left."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from beechslip.routing import interface as i
from tests.helpers import SETTINGS, RouterDriver, attempts, final_actions


# Guards against transfers that can't end in their client's time, and take a link from those that can.
@pytest.mark.parametrize(
    ("size", "left", "changes", "sent"),
    [
        (4000.0, 0.9, {}, False),  # a second at full pace
        (4000.0, 1.2, {}, True),
        (0.0, 0.9, {}, True),  # a size that is not told
        (4000.0, 0.9, {"conditional": True}, True),  # perhaps no bytes
        (4000.0, 0.9, {"class_name": "order"}, True),
    ],
)
def test_a_request_that_can_not_be_sent_in_time_is_rejected_at_once(
    size: float, left: float, changes: dict[str, Any], sent: bool
) -> None:
    driver = RouterDriver()
    event = replace(i.Request("r1", "big", "/a", size_kb=size, time_left=left), **changes)
    actions = driver.handle_event(event)
    assert bool(attempts(actions)) == sent
    assert [action.reason for action in final_actions(actions)] == ([] if sent else ["deadline"])


def test_a_request_has_no_further_attempt_that_can_not_be_sent_in_time() -> None:
    driver = RouterDriver()
    driver.ask("/a", size=4000.0, left=2.0)
    driver.now += 1.0
    assert [type(action) for action in final_actions(driver.finish_attempt(("r1", 0), "full"))] == [i.Refuse]


def test_without_a_known_pace_every_size_is_sent() -> None:
    driver = RouterDriver(replace(SETTINGS, flow_kb_s=0.0))
    assert attempts(driver.ask("/a", size=4000.0, left=0.9))
