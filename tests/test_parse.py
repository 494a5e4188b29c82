"""Tables of cases for the platform's parsers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from beechslip.config import ConfigError, parse_address
from beechslip.core.messages import EndpointListUpdate, PurgeReceived
from beechslip.core.model import AttemptRequest, AttemptResult, Backend, ClientRequest, Payload
from beechslip.platform import watch_events
from beechslip.platform.backend_messages import attempt_headers, attempt_target, parse_backend_response
from beechslip.platform.client_requests import BadRequestError, check_fields, parse_client_request
from beechslip.platform.responses import BackendResponse, ResponseParser, UnusableResponseError
from beechslip.platform.watch_events import (
    BadEventError,
    EventStreamParser,
    ServerSentEvent,
    parse_change,
    parse_known_events,
)
from beechslip.routing.wire.settings import read_settings
from lab.stand import SETTINGS

RULES = read_settings(SETTINGS)
GOOD = {"Req-Id": "9b1f03aa5c7e2d41", "Req-Wait-Ms": "1500"}
CALL = ClientRequest("9b1f03aa5c7e2d41", "waveform", "7f3a", 3, 17, 412.5, 1500.0, 5.0, etag="4be0")


@pytest.mark.parametrize(
    ("method", "target", "fields", "want"),
    [
        ("GET", "/rpc/waveform/7f3a?slice=3", {"X-Set": "17", "Req-Kb": "412.5", "If-None-Match": '"4be0"'}, CALL),
        (
            "GET",
            "/rpc/waveform/7f3a",
            {"If-None-Match": 'W/"4be0"', "X-Set": "255"},
            replace(CALL, part=0, group=255, size_kb=0.0),
        ),
        ("GET", "/rpc/plot/a%20b?slice=0", {}, ClientRequest(CALL.id, "plot", "a b", wait_ms=1500.0, arrived_ms=5.0)),
        (
            "GET",
            "/rpc/plot/7f3a",
            {"If-None-Match": "*"},  # no tag of a copy: not passed on
            ClientRequest(CALL.id, "plot", "7f3a", wait_ms=1500.0, arrived_ms=5.0),
        ),
        (
            "PUT",
            "/rpc/pick-submit/7f3a",
            {"Req-Token": "5c0f"},
            ClientRequest(
                CALL.id, "pick-submit", "7f3a", wait_ms=1500.0, arrived_ms=5.0, write=True, idempotency_key="5c0f"
            ),
        ),
    ],
)
def test_a_request_is_read(method: str, target: str, fields: dict[str, str], want: ClientRequest) -> None:
    assert parse_client_request(method, target, GOOD | fields, b"", 5.0, RULES) == want


@pytest.mark.parametrize(
    ("method", "target", "fields", "status"),
    [
        ("GET", "/", {}, 404),
        ("GET", "/rpc/none/7f3a", {}, 404),
        ("GET", "/rpc/plot/", {}, 404),
        ("GET", "/rpc/plot/a/b", {}, 404),
        ("GET", "/rpc/plot/a%2Fb", {}, 404),
        ("GET", "/rpc/plot/%00", {}, 404),
        ("PUT", "/rpc/plot/7f3a", {}, 405),
        ("GET", "/rpc/pick-submit/7f3a", {}, 405),
        ("GET", "/rpc/plot/7f3a?slice=-1", {}, 400),
        ("GET", "/rpc/plot/7f3a?slice=x", {}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Id": "short"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Wait-Ms": "nan"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Wait-Ms": "-1"}, 400),
        ("GET", "/rpc/plot/7f3a", {"X-Set": "256"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Kb": "1e9"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Kb": "-4"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Kb": "999999999"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Wait-Ms": "60001"}, 400),
        ("GET", "/rpc/plot/7f3a", {"Req-Token": "a b"}, 400),
    ],
)
def test_a_bad_request_gets_its_status(method: str, target: str, fields: dict[str, str], status: int) -> None:
    with pytest.raises(BadRequestError) as caught:
        parse_client_request(method, target, GOOD | fields, b"", 0.0, RULES)
    assert caught.value.status == status


def test_a_wait_beyond_the_classs_deadline_is_bounded_by_it() -> None:
    call = parse_client_request("GET", "/rpc/plot/7f3a", GOOD | {"Req-Wait-Ms": "9000"}, b"", 0.0, RULES)
    assert call.wait_ms == 2500.0


@pytest.mark.parametrize(
    ("fields", "fine"),
    [
        ([(b"Host", b"x"), (b"Accept", b"a"), (b"accept", b"b"), (b"Content-Length", b"3")], True),
        ([(b"Transfer-Encoding", b"Chunked")], True),
        ([(b"Content-Length", b"3"), (b"Transfer-Encoding", b"chunked")], False),
        ([(b"transfer-encoding", b"chunked"), (b"content-length", b"0")], False),
        ([(b"Content-Length", b"3"), (b"content-length", b"3")], False),
        ([(b"Content-Length", b"-1")], False),
        ([(b"Content-Length", b"+3")], False),
        ([(b"Content-Length", b"3, 3")], False),
        ([(b"Content-Length", b"9" * 19)], False),
        ([(b"Transfer-Encoding", b"gzip, chunked")], False),
        ([(b"Transfer-Encoding", b"identity")], False),
        ([(b"Req-Id", b"a"), (b"req-id", b"b")], False),
        ([(b"Req-Token", b"a"), (b"Req-Token", b"a")], False),
    ],
)
def test_a_head_that_reads_in_two_ways_is_refused(fields: list[tuple[bytes, bytes]], fine: bool) -> None:
    if fine:
        return check_fields(fields)
    with pytest.raises(BadRequestError):
        check_fields(fields)


@pytest.mark.parametrize("missing", GOOD)
def test_a_request_needs_its_id_and_its_wait(missing: str) -> None:
    with pytest.raises(BadRequestError):
        fields = {name: value for name, value in GOOD.items() if name != missing}
        parse_client_request("GET", "/rpc/plot/7f3a", fields, b"", 0.0, RULES)


BACKEND = Backend("s-00c41f7a", "10.1.0.9:7001", "std-box", "east", "ready", 4.0, 2, 0.0)


@pytest.mark.parametrize(
    ("order", "want"),
    [
        (AttemptRequest(CALL, 0, BACKEND, "", 900.9), {"X-Patience": "900", "X-Validator": "4be0"}),
        (
            AttemptRequest(
                replace(CALL, etag="", idempotency_key="5c"), 0, BACKEND, "s-1", 0.2, 2, 0.4, True, True, True
            ),
            {
                "X-Patience": "1",
                "X-Op-Key": "5c",
                "X-Next-Hop": "s-1",
                "X-Admit": "2",
                "X-Age-Cap": "1",
                "X-Hints": "share+peek+swr",
            },
        ),
        (
            AttemptRequest(replace(CALL, etag=""), 0, BACKEND, "", 50.0, 0, 1999.9, True),
            {"X-Patience": "50", "X-Age-Cap": "1999", "X-Hints": "share"},
        ),
    ],
)
def test_an_attempt_is_written(order: AttemptRequest, want: dict[str, str]) -> None:
    assert attempt_headers(order, order.timeout_ms) == {"X-Trace": CALL.id} | want
    assert attempt_target(order) == "/data/waveform/7f3a/3"


STAMP = {"x-digest": "4b", "x-stamp": "1764576000123"}
CACHED = Payload(b"b", "4b")


# Guards against failed fills that are laid to the cache, as their notes were not read.
@pytest.mark.parametrize(
    ("status", "word", "result", "note"),
    [
        (200, "pulled_far", "ok", "filled_origin"),
        (503, "turned_away", "full", "source_refused"),
        (503, "no_place", "full", "no_place"),
        (500, "cut_off", "error", "source_lost"),
        (500, "not_there", "error", "source_lacks"),
        (500, "far_fault", "error", "origin_failed"),
    ],
)
def test_all_notes_are_read_where_the_site_tells_all(status: int, word: str, result: str, note: str) -> None:
    fields = STAMP | {"x-result": word, "x-declined": "1"}
    for tells, visible in (("all", note), ("hit", ""), ("", "")):
        found = parse_backend_response(status, fields, b"b", tells, "", False)
        assert (found.result, found.note) == (result, visible)


@pytest.mark.parametrize(
    ("status", "fields", "tells", "want"),
    [
        (
            200,
            STAMP | {"x-result": "local", "x-stats": "inflight:7;util:0.61;x1:2"},
            "hit",
            AttemptResult("ok", "hit", {"held": 7.0, "busy": 0.61, "link": 2.0}, CACHED),
        ),
        (
            200,
            STAMP | {"x-stats": "cpu:0.038;active:7.294;x1:0.395"},
            "hit",
            AttemptResult("ok", "", {"busy": 0.038, "held": 7.294, "link": 0.395}, CACHED),
        ),
        (200, STAMP | {"x-result": "pulled"}, "", AttemptResult("ok", "", {}, CACHED)),
        (
            200,
            STAMP | {"x-result": "rode", "x-stats": "junk;util:nan"},
            "all",
            AttemptResult("ok", "joined", {}, CACHED),
        ),
        (200, STAMP | {"x-result": "expired"}, "hit", AttemptResult("ok", "stale", {}, CACHED)),
        (
            200,
            STAMP | {"x-result": "hit"},
            "hit",
            AttemptResult("ok", "", {}, CACHED),
        ),  # the simulator's word, not ours
        (304, STAMP | {"x-digest": "4be0"}, "hit", AttemptResult("ok", "", {}, Payload(b"", "4be0", True))),
        (304, STAMP, "hit", AttemptResult("spoilt")),  # it names another copy than the client holds
        (200, {"x-digest": "4b"}, "hit", AttemptResult("spoilt")),
        (200, {"x-stamp": "12"}, "hit", AttemptResult("spoilt")),
        (200, STAMP | {"x-stamp": "soon"}, "hit", AttemptResult("spoilt")),
        (304, {}, "hit", AttemptResult("spoilt")),
        (404, {}, "hit", AttemptResult("miss")),
        (503, {"x-declined": "1"}, "hit", AttemptResult("full")),
        (503, {}, "hit", AttemptResult("error")),
        (504, {"x-declined": "1"}, "hit", AttemptResult("moot")),
        (504, {}, "hit", AttemptResult("error")),
        (500, {"x-declined": "1"}, "hit", AttemptResult("error")),
        (302, {}, "hit", AttemptResult("error")),
    ],
)
def test_a_backends_answer_is_read(status: int, fields: dict[str, str], tells: str, want: AttemptResult) -> None:
    assert parse_backend_response(status, fields, b"b", tells, "4be0", False) == want


def test_a_304_that_nobody_asked_for_is_an_error() -> None:
    assert parse_backend_response(304, STAMP, b"", "hit", "", False) == AttemptResult("error")


def test_a_write_leaves_no_copy_with_a_tag() -> None:
    assert parse_backend_response(200, {}, b"b", "hit", "", True) == AttemptResult("ok", payload=Payload(b"b"))


GOOD_ANSWER = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
@pytest.mark.parametrize(
    ("received", "status", "body", "reusable"),
    [
        (GOOD_ANSWER, 200, b"abc", True),
        (CHUNKED, 200, b"abc", True),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + GOOD_ANSWER, 200, b"abc", True),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, b"", True),
        (b"HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", 404, b"", True),
        (b"HTTP/1.1 500 Oh\r\n\r\n", 500, b"", False),
        (GOOD_ANSWER.replace(b"1.1", b"1.0"), 200, b"abc", False),
        (GOOD_ANSWER.replace(b"X-A: b", b"Connection: Close"), 200, b"abc", False),
    ],
)
def test_an_answer_reads_alike_however_it_is_cut(
    size: int, received: bytes, status: int, body: bytes, reusable: bool
) -> None:
    parser, answers = ResponseParser(10), list[BackendResponse | None]()
    for at in range(0, len(received), size):
        answers.append(parser.feed(received[at : at + size]))
    assert answers[:-1] == [None] * (len(answers) - 1) and answers[-1] is not None
    assert (answers[-1].status, answers[-1].body, answers[-1].reusable) == (status, body, reusable)


@pytest.mark.parametrize("more", [GOOD_ANSWER, b"\r\n", b"noise"])
def test_a_good_answer_with_more_behind_it_is_taken_and_its_connection_is_not_used_again(more: bytes) -> None:
    answer = ResponseParser(10).feed(GOOD_ANSWER + more)
    assert answer is not None and answer.body == b"abc" and not answer.reusable


@pytest.mark.parametrize(
    "received",
    [
        b"\x07\x1bnoise",
        b"ICY 200 OK\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 OK 200\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 4000,
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        CHUNKED.replace(b"2;x=y", b"zz"),
        CHUNKED.replace(b"2;x=y", b"-2"),
        CHUNKED.replace(b"2;x=y", b"fffffff"),
        CHUNKED.replace(b"ab\r\n", b"abcd"),
        CHUNKED.replace(b"2;x=y", b"2" * 99),
        b"HTTP/1.1 101 Go\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 17,
    ],
)
def test_a_response_that_cannot_be_proved_complete_is_unusable(received: bytes) -> None:
    with pytest.raises(UnusableResponseError):
        ResponseParser(10).feed(received)


LINE = {
    "name": "s-1",
    "address": "10.1.0.9:7001",
    "zone": "east",
    "type": "std",
    "group": 2,
    "status": "active",
    "weight": 4,
    "since_ms": 12,
}


@pytest.mark.parametrize(
    ("value", "want"),
    [
        (
            {"seq": 1, "fleet": {"index": 7, "snapshot": True, "endpoints": [LINE]}},
            EndpointListUpdate("all", (Backend("s-1", "10.1.0.9:7001", "std", "east", "ready", 4.0, 2, 12.0),)),
        ),
        (
            {"seq": 2, "fleet": {"snapshot": False, "endpoints": [{"name": "s-1", "status": "left"}]}},
            EndpointListUpdate("changes", (Backend("s-1", "", state="gone"),)),
        ),
        ({"seq": 3, "invalidate": {"object": "7f3a", "time": 99}}, PurgeReceived("7f3a", 0, 99.0)),
        ({"seq": 4, "invalidate": {"bucket": 0, "time": 99}}, PurgeReceived("", 0, 99.0)),
    ],
)
def test_an_event_is_read(value: dict[str, Any], want: EndpointListUpdate | PurgeReceived) -> None:
    assert parse_change(value) == (value["seq"], [want])


@pytest.mark.parametrize(
    "value",
    [
        1,
        {},
        {"seq": "1"},
        {"seq": 1, "fleet": {}},
        {"seq": 1, "fleet": {"endpoints": [{}]}},
        {"seq": 1, "fleet": {"endpoints": [LINE | {"status": "odd"}]}},
        {"seq": 1, "fleet": {"endpoints": [LINE | {"address": None}]}},
        {"seq": 1, "fleet": {"endpoints": [LINE | {"since_ms": "x"}]}},
        {"seq": 1, "invalidate": {"time": 1}},
    ],
)
def test_an_event_that_cannot_be_read_is_refused(value: Any) -> None:
    with pytest.raises(BadEventError):
        parse_change(value)


def test_known_gives_the_last_number_and_the_list_as_remembered() -> None:
    first = {"seq": 1, "fleet": {"snapshot": True, "endpoints": [LINE]}}
    second = {"seq": 2, "invalidate": {"bucket": 4, "time": 9}}
    last, updates, unread = parse_known_events({"seq": 3, "results": [first, second]})
    assert last == 3 and [type(one) for one in updates] == [EndpointListUpdate, PurgeReceived] and not unread
    assert isinstance(updates[0], EndpointListUpdate) and updates[0].kind == "remembered"


def test_known_is_read_up_to_what_can_not_be_and_the_rest_is_left_to_the_change_log() -> None:
    good = {"seq": 1, "fleet": {"snapshot": True, "endpoints": [LINE]}}
    bad = {"seq": 2, "fleet": {"endpoints": [{"name": 7}]}}
    later = {"seq": 3, "invalidate": {"bucket": 1}}
    last, updates, unread = parse_known_events({"seq": 9, "results": [good, bad, later]})
    assert last == 1 and len(updates) == 1 and "endpoint" in unread


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_the_event_stream_reads_alike_however_it_is_cut(size: int) -> None:
    stream = b': hello\n\nid: 4\r\ndata: {"seq":4}\r\n\r\n:\n\nid:5\ndata:a\ndata:b\n\nid: 6\n\ndata: cut'
    parser, events = EventStreamParser(), list[ServerSentEvent]()
    for at in range(0, len(stream), size):
        events += parser.feed(stream[at : at + size])
    assert events == [ServerSentEvent("4", '{"seq":4}'), ServerSentEvent("5", "a\nb")] and parser.comments == 2


def test_an_endless_line_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_events, "MAX_EVENT", 10)
    with pytest.raises(BadEventError):
        EventStreamParser().feed(b"data: " + b"x" * 10)


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "host:0", "host:65536", "host:x"])
def test_what_is_no_address_is_refused(text: str) -> None:
    with pytest.raises(ConfigError):
        parse_address(text)
