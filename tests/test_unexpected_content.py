"""Content where none belongs: in reads, in operators' calls, in responses that have none, and in our own messages."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import pytest

from beechslip.clock import ManualClock
from beechslip.config import Address
from beechslip.core.model import AttemptRequest, ClientRequest
from beechslip.counters import Counters
from beechslip.descriptor_budget import DescriptorBudget
from beechslip.memory_budget import unlimited_budget
from beechslip.platform.backends import BackendClient
from beechslip.platform.connection_pool import MIN_IDLE_MS
from beechslip.platform.event_stream import EventStream, open_event_stream
from beechslip.platform.ops import OpsFront
from beechslip.platform.responses import UnusableResponseError
from beechslip.routing.wire.settings import read_settings
from lab.stand import OK, SETTINGS, FakeBackend, InProcessProxy, fetch, listening, run, until
from lab.stream_server import serving
from tests.connection_helpers import client, connections, get_request_bytes

OK_HEAD = b"HTTP/1.1 200 OK\r\nX-Digest: 4be0\r\nX-Stamp: 1\r\n"
HIDDEN_WRITE = (
    b"PUT /data/pick-submit/f00d/0 HTTP/1.1\r\nHost: x\r\nX-Trace: 1\r\nX-Patience: 900\r\nX-Op-Key: 5c\r\n"
    b"Content-Length: 4\r\n\r\nEVIL"
)
CHUNKED_HIDDEN_WRITE = b"%x\r\n%b\r\n0\r\n\r\n" % (len(HIDDEN_WRITE), HIDDEN_WRITE)
SIZED = b"Content-Length: %d\r\n" % len(HIDDEN_WRITE)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EXPECTS_CONTINUE = b"Expect: 100-continue\r\n"


def with_fields(request: bytes, fields: bytes, content: bytes = b"") -> bytes:
    """Return a request without content with these fields and this content added to it."""
    return request.removesuffix(b"\r\n") + fields + b"\r\n" + content


# Guards against a body of a read that reaches a backend as a request of its own (review/6).
@run
@pytest.mark.parametrize(
    ("fields", "content"),
    [
        (SIZED, HIDDEN_WRITE),
        (CHUNKED, CHUNKED_HIDDEN_WRITE),
        (CHUNKED, b"0\r\n\r\n"),
        (EXPECTS_CONTINUE + SIZED, HIDDEN_WRITE),
        (SIZED, HIDDEN_WRITE[:9]),  # refused before the rest of the body has arrived
        (SIZED, b""),
    ],
)
@pytest.mark.parametrize("target", ["/rpc/plot/7f3a?slice=0", "/rpc/waveform/7f3a", "/health"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_a_read_with_content_is_refused_and_ends_its_connection(
    fields: bytes, content: bytes, target: str, version: bytes
) -> None:
    backend = FakeBackend("a")
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin")) as stand, client(stand.port) as raw:
        request = get_request_bytes(target).replace(b"HTTP/1.1", version)
        raw.send(with_fields(request, fields, content) + get_request_bytes())
        assert await raw.read_status() == 400 and await raw.is_closed_by_server()
        assert stand.counters["bad_request"] == stand.counters["bad_request.content"] == 1
        assert not backend.seen and not stand.counters["taken"]


@run
@pytest.mark.parametrize("fields", [b"Content-Length: 0\r\n", EXPECTS_CONTINUE + b"Content-Length: 0\r\n", b""])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_a_read_that_states_no_bytes_is_served(fields: bytes, version: bytes) -> None:
    backend = FakeBackend("a")
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin")) as stand, client(stand.port) as raw:
        raw.send(with_fields(get_request_bytes().replace(b"HTTP/1.1", version), fields))
        assert await raw.read_status() == 200
        ((line, received, body),) = backend.seen
        assert line.startswith("GET ") and not body
        assert not {"Content-Length", "Transfer-Encoding", "Expect"} & set(received)


@run
async def test_a_chunked_write_in_http_1_0_is_refused() -> None:
    backend = FakeBackend("a")
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin")) as stand, client(stand.port) as raw:
        request = get_request_bytes("/rpc/pick-submit/9c").replace(b"GET", b"PUT").replace(b"HTTP/1.1", b"HTTP/1.0")
        raw.send(with_fields(request, CHUNKED + b"Req-Token: 5c\r\n", CHUNKED_HIDDEN_WRITE))
        assert await raw.read_status() == 400 and await raw.is_closed_by_server()
        assert not backend.seen


# Guards against a body that is kept for a class of writes and passed on behind the head of a read.
@run
async def test_a_write_of_a_class_that_becomes_one_of_reads_while_it_arrives_hides_nothing() -> None:
    backend = FakeBackend("a")
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin")) as stand, client(stand.port) as raw:
        settings = stand.settings
        read_rule = replace(settings.classes["pick-submit"], write=False, effect="safe")
        request = get_request_bytes("/rpc/pick-submit/9c").replace(b"GET", b"PUT")
        raw.send(with_fields(request, SIZED + b"Req-Token: 5c\r\n", HIDDEN_WRITE[:-1]))
        await until(lambda: any(connection.has_partial_request for connection in connections(stand)))
        stand.front.retune(replace(settings, classes={**settings.classes, "pick-submit": read_rule}))
        raw.send(HIDDEN_WRITE[-1:])
        assert await raw.read_status() == 405 and await raw.is_closed_by_server()
        assert not backend.seen


async def execute(backend: FakeBackend, request: ClientRequest, count: int = 1) -> tuple[list[Any], Counters]:
    """Send a request ``count`` times to one backend with a real client; return the results and the counters."""
    counters, clock = Counters(), ManualClock()
    backend_client = BackendClient(read_settings(SETTINGS), DescriptorBudget(8), clock, counters)
    results = list[Any]()
    try:
        for number in range(count):
            attempt = AttemptRequest(request, number, backend.entry(), "", timeout_ms=900.0, timeout_at_ms=1e12)
            try:
                results.append((await backend_client.execute(attempt, lambda: True)).result)
            except ValueError as error:
                results.append(error)
            clock.advance(2 * MIN_IDLE_MS)  # a connection that has been idle for so long is used again
        assert not any(connection for connection in backend_client._pool._connections if connection._parser)
        assert len(backend_client._pool._connections) <= 1
    finally:
        await backend_client.close()
    return results, counters


# Guards against bytes behind a head that states no length, whatever has let them reach the backend client.
@run
async def test_a_read_that_has_content_is_never_written_and_gives_its_connection_back() -> None:
    backend = FakeBackend("a")
    async with listening(backend):
        request = ClientRequest("9b1f03aa5c7e2d41", "plot", "7f3a", wait_ms=900.0, body=HIDDEN_WRITE)
        results, counters = await execute(backend, request, count=5)
        assert all(isinstance(result, ValueError) for result in results)
        assert not backend.seen and backend.connections == 1 and counters["depot.dials"] == 1


@run
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 304 Not Modified\r\nX-Digest: 4be0\r\nX-Stamp: 1\r\nContent-Length: %d\r\n\r\n%b",
        b"HTTP/1.1 204 No Content\r\nContent-Length: %d\r\n\r\n%b",
        b"HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\nx%b",
        OK_HEAD + b"Content-Length: 0\r\nContent-Length: %d\r\n\r\n%b",
        OK_HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%b",
        OK_HEAD + b"Content-Length: 0\r\nX-Length: %d\r\n\r\n%b",
    ],
)
async def test_content_where_a_response_has_none_is_not_taken_for_the_next_response(response: bytes) -> None:
    backend = FakeBackend("a", response % (len(OK), OK), OK.replace(b"waves", b"other"))
    async with listening(backend):
        request = ClientRequest("9b1f03aa5c7e2d41", "plot", "7f3a", wait_ms=900.0, etag="4be0")
        results, _ = await execute(backend, request, count=2)
        assert results[1] == "ok" and backend.connections == 2


@contextlib.asynccontextmanager
async def operators_front() -> AsyncIterator[tuple[OpsFront, list[str]]]:
    """A front whose calls are noted in the list."""
    calls = list[str]()

    def note(name: str) -> bool:
        calls.append(name)
        return True

    counters = Counters()
    front = OpsFront(
        ManualClock(),
        counters,
        lambda: note("ready"),
        lambda: note("drain"),
        lambda: note("activate"),
        memory=unlimited_budget(counters),
    )
    await front.start(Address("127.0.0.1", 0))
    try:
        yield front, calls
    finally:
        await front.close()


@run
@pytest.mark.parametrize("fields", ["Content-Length", "Transfer-Encoding"])
async def test_content_of_an_operators_call_is_not_a_call_of_its_own(fields: str) -> None:
    hidden = b"POST /v1/doorman/activate HTTP/1.1\r\nHost: x\r\n\r\n"
    framing = b"Content-Length: %d\r\n\r\n%b" % (len(hidden), hidden)
    if fields == "Transfer-Encoding":
        framing = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden)
    async with operators_front() as (front, calls):
        drain = b"POST /v1/doorman/drain HTTP/1.1\r\nHost: x\r\n" + framing
        assert (await fetch(front.port, raw=drain))[0] == 200
        ready = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n" + framing
        assert (await fetch(front.port, raw=ready))[0] == 400
        assert calls == ["drain"]


@run
@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 9\r\nContent-Length: 90\r\n",
        b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 9x\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
    ],
)
async def test_a_change_log_whose_response_states_no_clear_length_is_not_read(fields: bytes) -> None:
    requests = list[bytes]()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n7\r\ndata: a\r\n0\r\n\r\n")

    async with serving(respond) as server:
        address = server.address.encode()
        host, _, port = server.address.partition(":")
        stream: EventStream = await open_event_stream(Address(host, int(port)), 3, 2.0)
        try:
            with pytest.raises(UnusableResponseError):
                async for _ in stream.chunks():
                    pass
        finally:
            stream.close()
    assert requests == [
        b"GET /changes HTTP/1.1\r\nHost: %b\r\nLast-Event-ID: 3\r\nAccept: text/event-stream\r\n\r\n" % address
    ]
