"""The log lines about final responses."""

from __future__ import annotations

import logging

import pytest

from beechslip.clock import ManualClock
from beechslip.core.messages import RequestReceived
from beechslip.core.model import ClientRequest, FinalResponse
from beechslip.core.requests import OpenRequest
from beechslip.core.responses import Responder
from beechslip.counters import Counters
from beechslip.routing.interface import RefusalDetail, Settings
from bench.service_by_size import read_logs


class IgnoringSink:
    has_client_departed = False

    def answer(self, response: FinalResponse) -> None:
        pass


def test_line_about_a_rejection_says_what_it_was_based_on(caplog: pytest.LogCaptureFixture) -> None:
    client_request = ClientRequest(
        id="5180166dc2774427",
        class_name="plot",
        object="7f3a",
        part=0,
        group=0,
        size_kb=556.0,
        wait_ms=690.0,
        arrived_ms=0,
    )
    request = OpenRequest(RequestReceived(client_request, None, IgnoringSink()), Settings())  # type: ignore[arg-type]
    detail = RefusalDetail("largest", -0.5, "p0", 3, 2.5, 0.25)
    with caplog.at_level(logging.DEBUG, "beechslip.engine"):
        Responder(ManualClock(), Counters()).respond(
            request, FinalResponse("refused", reason="not cached", detail=detail)
        )
    (line,) = caplog.messages
    assert line.endswith("not cached ; band=largest deficit=-0.5 source=p0 in_flight=3 limit=2.5 fill_fraction=0.25")
    assert read_logs([f"beechslip.engine {line}"])["5180166dc2774427"].ends == ["not cached"]
