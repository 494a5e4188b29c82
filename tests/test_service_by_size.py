"""The request lines of the log, and the shares by size that are read from them."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from unittest.mock import Mock

import pytest

from beechslip.clock import ManualClock
from beechslip.config import ConfigError, log_level
from beechslip.core.messages import RequestReceived
from beechslip.core.model import ClientRequest, FinalResponse
from beechslip.core.requests import OpenRequest
from beechslip.core.responses import MAX_LOG_LINES_PER_PERIOD, Responder
from beechslip.counters import Counters
from beechslip.routing.wire.settings import read_settings
from bench import service_by_size
from lab.stand import SETTINGS


def open_request(number: int, size_kb: float) -> OpenRequest:
    now_ms = ManualClock().now_ms()
    call = ClientRequest(f"r{number}", "waveform", "object", size_kb=size_kb, wait_ms=900.0, arrived_ms=now_ms)
    return OpenRequest(RequestReceived(call, Mock(), Mock()), read_settings(SETTINGS))


def write_lines(caplog: pytest.LogCaptureFixture, level: int) -> list[str]:
    """The lines about ten requests, of which the two largest are shed, one of them twice."""
    responder = Responder(ManualClock(), Counters())
    with caplog.at_level(level, "beechslip"):
        for number in range(10):
            kind = (
                FinalResponse("refused", retry_after_ms=250.0, reason="shed")
                if number < 2
                else FinalResponse("served")
            )
            responder.respond(open_request(number, 100.0 - number), kind)
        responder.respond(open_request(1, 99.0), FinalResponse("refused", reason="deadline"))
        responder.respond(open_request(9, 91.0), FinalResponse("failed", cause="duplicate"))
        responder.log_client_gone(open_request(10, 1.0))
    return [f"2026-12-03 {record.name} {record.getMessage()}" for record in caplog.records]


def test_every_request_has_a_line_with_its_size_and_reason(caplog: pytest.LogCaptureFixture, tmp_path: Path) -> None:
    lines = write_lines(caplog, logging.DEBUG)
    assert "r0 waveform refused after 0 of 900 ms, 100 KB, attempts 0, retry 250, shed " in lines[0]
    (tmp_path / "n0.log").write_text("\n".join([*lines[:5], "another line"]))
    (tmp_path / "n1.log").write_text("\n".join(lines[5:]))
    (found,) = service_by_size.folder_shares(tmp_path)
    assert (found.requests, round(found.served, 3)) == (11, 0.727)
    # Under 400 requests the largest quarter counts: three of eleven, of which two were not served.
    assert round(found.largest, 3) == 0.333 and found.next_largest == 1.0
    assert found.unserved == {"shed": 1, "deadline": 1}
    assert round(found.ratios[0], 3) == 0.458


def test_at_the_usual_level_only_what_is_not_served_has_a_line(caplog: pytest.LogCaptureFixture) -> None:
    assert len(write_lines(caplog, logging.INFO)) == 4 < MAX_LOG_LINES_PER_PERIOD


def test_classes_without_sizes_have_no_shares() -> None:
    records = {str(n): service_by_size.RequestRecord("order", 0.0, ["served"]) for n in range(3)}
    assert service_by_size.shares(records.values()) == []


@pytest.mark.parametrize(
    ("text", "level"), [("", logging.INFO), ("debug", logging.DEBUG), ("warning", logging.WARNING)]
)
def test_the_level_is_read_from_the_environment(text: str, level: int) -> None:
    assert log_level({"EDGE_LOG": text}) == level
    with pytest.raises(ConfigError, match="EDGE_LOG"):
        log_level({"EDGE_LOG": "all"})


def entry(offered: float, served: float) -> list[object]:
    return [{"name": "waveform", "offered": offered, "served": served}, int(offered)]


@pytest.mark.parametrize(
    ("day", "largest", "kept"), [("calm+brink", 54.0, False), ("calm+brink", 61.0, True), ("zone+brink", 44.0, False)]
)
def test_a_report_of_the_bench_is_held_to_the_term(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], day: str, largest: float, kept: bool
) -> None:
    days = [{"name": day, "largest": [entry(100.0, largest), entry(0.0, 0.0), entry(1000.0, 900.0)]}]
    (tmp_path / "report.json").write_text(json.dumps({"days": days}))
    assert service_by_size.main([str(tmp_path / "report.json")]) == (0 if kept else 1)
    assert ("UNDER THE TERM" in capsys.readouterr().out) is not kept
