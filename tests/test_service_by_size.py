"""Tests of the log lines about requests, and of the shares by size that are read from them."""

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


def request_log_lines(caplog: pytest.LogCaptureFixture, level: int) -> list[str]:
    """Return the log lines of ten requests, two of which are tried twice, and of a client that departed.

    The two largest requests are shed, and the second of them is then refused again, for its deadline.
    """
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


def test_debug_log_has_line_with_size_and_reason_for_each_request(
    caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    lines = request_log_lines(caplog, logging.DEBUG)
    assert "r0 waveform refused after 0 of 900 ms, 100 KB, attempts 0, retry 250, shed " in lines[0]
    (tmp_path / "n0.log").write_text("\n".join([*lines[:5], "another line"]))
    (tmp_path / "n1.log").write_text("\n".join(lines[5:]))
    (class_shares,) = service_by_size.folder_shares(tmp_path)
    assert (class_shares.requests, round(class_shares.served, 3)) == (11, 0.727)
    # A class with under 400 requests uses its largest quarter: three of eleven, of which two were not served.
    assert round(class_shares.largest, 3) == 0.333 and class_shares.next_largest == 1.0
    assert class_shares.unserved == {"shed": 1, "deadline": 1}
    assert round(class_shares.ratios[0], 3) == 0.458


def test_info_log_has_lines_only_for_requests_not_served(caplog: pytest.LogCaptureFixture) -> None:
    assert len(request_log_lines(caplog, logging.INFO)) == 4 < MAX_LOG_LINES_PER_PERIOD


def test_shares_by_class_omits_classes_without_sizes() -> None:
    records = {str(n): service_by_size.RequestRecord("order", 0.0, ["served"]) for n in range(3)}
    assert service_by_size.shares_by_class(records.values()) == []


@pytest.mark.parametrize(
    ("text", "level"), [("", logging.INFO), ("debug", logging.DEBUG), ("warning", logging.WARNING)]
)
def test_log_level_is_read_from_environment(text: str, level: int) -> None:
    assert log_level({"EDGE_LOG": text}) == level
    with pytest.raises(ConfigError, match="EDGE_LOG"):
        log_level({"EDGE_LOG": "all"})


def report_entry(offered: float, served: float) -> list[object]:
    return [{"name": "waveform", "offered": offered, "served": served}, int(offered)]


@pytest.mark.parametrize(
    ("day", "largest", "is_met"),
    [("calm+brink", 54.0, False), ("calm+brink", 61.0, True), ("zone+brink", 44.0, False)],
)
def test_main_checks_report_against_requirement(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], day: str, largest: float, is_met: bool
) -> None:
    days = [
        {"name": day, "largest": [report_entry(100.0, largest), report_entry(0.0, 0.0), report_entry(1000.0, 900.0)]}
    ]
    (tmp_path / "report.json").write_text(json.dumps({"days": days}))
    assert service_by_size.main([str(tmp_path / "report.json")]) == (0 if is_met else 1)
    assert ("UNDER THE TERM" in capsys.readouterr().out) is not is_met
