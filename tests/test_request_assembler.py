"""The assembler of clients' requests: what is whole, what is refused, and how much is kept meanwhile."""

from __future__ import annotations

import pytest

from beechslip.platform.request_assembler import (
    MAX_HEAD_BYTES,
    MAX_TRAILER_BYTES,
    BadStreamError,
    RequestAssembler,
    WholeRequest,
)
from beechslip.platform.request_form import MAX_REQUEST_BODY_BYTES, BadRequestError
from beechslip.platform.request_head import RequestHead, parse_head

MANY_STEPS = 1 << 20
GET = b"GET /rpc/plot/7f HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\n\r\n"
SIZED = b"PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nwaves"
CHUNKED = b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nwa\r\n3\r\nves\r\n0\r\nX-Sum: 1\r\n\r\n"
CHUNKED_HEAD = b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def keep_all(_: RequestHead) -> bool:
    return True


def assemble(assembler: RequestAssembler, data: bytes, size: int = 1 << 20) -> list[WholeRequest]:
    """Feed ``data`` in pieces of ``size`` bytes, and return the whole requests."""
    requests = list[WholeRequest]()
    for start in range(0, len(data), size):
        assembler.feed(memoryview(data)[start : start + size])
        complete, has_more_work = assembler.advance(MANY_STEPS, float(start))
        assert not has_more_work
        requests += complete
    return requests


@pytest.mark.parametrize("size", [1, 2, 7, 64, 1 << 20])
def test_requests_are_the_same_in_pieces_of_any_size(size: int) -> None:
    assembler = RequestAssembler(keep_all)
    requests = assemble(assembler, b"\r\n" + GET + SIZED + CHUNKED + GET, size)
    assert [request.head().method for request in requests] == ["GET", "PUT", "PUT", "GET"]
    assert [request.body for request in requests] == [b"", b"waves", b"waves", b""]
    assert not assembler.has_partial_request and not assembler.held_bytes


def test_time_of_a_request_is_that_of_its_last_byte() -> None:
    assembler = RequestAssembler(keep_all)
    assembler.feed(SIZED[:-1])
    assert assembler.advance(MANY_STEPS, 1.0) == ([], False)
    assembler.feed(SIZED[-1:] + GET[:10])
    ((request,), _) = assembler.advance(MANY_STEPS, 2.0)
    assert request.received_ms == 2.0 and assembler.has_partial_request


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\nContent-Length: 1\r\n\r\n", 400),
        (b"GET /" + b"x" * MAX_HEAD_BYTES, 400),
        (GET[:-2] + b"A: b\r\n" * MAX_HEAD_BYTES, 400),
        (b"PUT /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_REQUEST_BODY_BYTES + 1), 413),
        (b"PUT /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
        (b"PUT /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (CHUNKED_HEAD + b"%x\r\n" % (MAX_REQUEST_BODY_BYTES + 1), 413),
        (CHUNKED_HEAD + b"1\r\nx\r\n" * (MAX_REQUEST_BODY_BYTES + 1), 413),
        (CHUNKED_HEAD + b"zz\r\n", 400),
        (CHUNKED_HEAD + b"1\r\nxx\r\n", 400),
        (CHUNKED_HEAD + b"1" * 100, 400),
        (CHUNKED_HEAD + b"0\r\n" + b"A: b\r\n" * MAX_TRAILER_BYTES, 400),
        (CHUNKED_HEAD + b"0\r\n" + b"t" * (MAX_TRAILER_BYTES + 1), 400),
    ],
)
def test_what_is_no_request_or_too_large_is_refused_at_once_and_requests_before_it_are_kept(
    data: bytes, status: int
) -> None:
    assembler = RequestAssembler(keep_all)
    assembler.feed(GET + data)
    with pytest.raises(BadStreamError) as caught:
        assembler.advance(MANY_STEPS, 0.0)
    assert caught.value.error.status == status
    assert [request.raw_head for request in caught.value.complete_requests] == [GET]


# Guards against a partial request that is kept several times, parsed and raw.
@pytest.mark.parametrize(
    "data",
    [
        GET[:-2] + b"X-Pad: " + b"p" * 8_000,
        b"PUT /a HTTP/1.1\r\nContent-Length: 48000\r\n\r\n" + bytes(47_999),
        CHUNKED_HEAD + b"1\r\nx\r\n" * 10_000,
    ],
)
def test_a_partial_request_is_kept_once_as_its_bytes(data: bytes) -> None:
    assembler = RequestAssembler(keep_all)
    assert not assemble(assembler, data, 4_096)
    assert assembler.held_bytes <= len(data)


def test_a_body_that_is_not_kept_is_counted_and_its_request_marked() -> None:
    assembler = RequestAssembler(lambda _: False)
    requests = assemble(assembler, SIZED + CHUNKED + GET, 16)
    assert [(request.body, request.is_dropped) for request in requests] == [(b"", True), (b"", True), (b"", False)]


def test_a_head_that_can_not_be_served_is_refused_before_its_body() -> None:
    def reject(_: RequestHead) -> bool:
        raise BadRequestError(404, "unknown resource")

    assembler = RequestAssembler(reject)
    assembler.feed(SIZED[:-5])
    with pytest.raises(BadStreamError) as caught:
        assembler.advance(MANY_STEPS, 0.0)
    assert caught.value.error.status == 404


@pytest.mark.parametrize("data", [GET * 500, CHUNKED_HEAD + b"1\r\nx\r\n" * 3_000 + b"0\r\n\r\n" + GET])
def test_work_is_done_in_turns(data: bytes) -> None:
    assembler = RequestAssembler(keep_all)
    assembler.feed(data)
    requests, turns, has_more_work = list[WholeRequest](), 0, True
    while has_more_work:
        complete, has_more_work = assembler.advance(32, 0.0)
        assert len(complete) <= 32
        requests += complete
        turns += 1
    assert len(requests) == data.count(b"HTTP/1.1") and turns > 50


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.1\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
        b"GET /\x01 HTTP/1.1\r\n\r\n",
        b"GET / HTTP/2.0\r\n\r\n",
        b"PUT / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        b"PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"GET / HTTP/1.1\r\nReq-Id: a\r\nreq-id: b\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 129 + b"\r\n",
    ],
)
def test_ambiguous_heads_are_refused(head: bytes) -> None:
    with pytest.raises(BadRequestError) as caught:
        parse_head(head)
    assert caught.value.status == 400


def test_a_head_keeps_only_the_fields_that_are_used() -> None:
    head = parse_head(
        b"PUT /rpc/a/b?slice=3 HTTP/1.1\r\nHost: x\r\nreq-id: 9b\r\nCookie: c\r\nContent-Length: 3\r\n"
        b"EXPECT: 100-Continue\r\nConnection: close\r\n\r\n"
    )
    assert head.fields == {"Req-Id": "9b", "Expect": "100-Continue"}
    assert (head.path, head.query, head.content_length) == ("/rpc/a/b", "slice=3", 3)
    assert head.expects_continue and not head.keeps_connection
