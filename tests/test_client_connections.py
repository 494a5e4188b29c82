"""Clients' connections: what is pending when one ends, limits, pipelining and bad input, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import pytest

from beechslip.core.messages import ClientDisconnected
from beechslip.platform.client_connection import ClientConnection
from beechslip.platform.server import READ_MS
from beechslip.routing import interface as i
from lab.stand import (
    HANG,
    OK,
    FakeBackend,
    InProcessProxy,
    fetch,
    read_message,
    run,
    until,
)
from tests.connection_helpers import Gated, after_reading, client, command, connections
from tests.test_rules import ERROR, Plan, boxes


@run
@pytest.mark.parametrize(
    ("ending", "status"),
    [("sweep", 200), ("idle", 200), ("evict", 200), ("drain", 503), ("handing over", 200), ("diverted", 200)],
)
async def test_a_request_received_in_the_moment_of_a_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, ending: str, status: int
) -> None:
    async with InProcessProxy(FakeBackend("a"), module=Plan("a")) as stand:
        server = stand.front._server

        def evict(_: ClientConnection) -> None:
            server._max_connections = 1
            server.admit(connections(stand)[-1])

        acts: dict[str, Callable[[ClientConnection], object]] = {
            "sweep": lambda _: stand.clock.advance(READ_MS + 300),
            "idle": lambda _: server.close_idle(),
            "evict": evict,
            "drain": lambda _: stand.front.drain(),
            "handing over": lambda _: stand.front.hand_over(),
            "diverted": lambda _: (stand.front.divert_clients(), stand.clock.advance(700)),
        }
        async with client(stand.port) as one, client(stand.port):
            await until(lambda: len(connections(stand)) == 2)
            after_reading(monkeypatch, acts[ending])
            one.send(command())
            assert await one.status() == status
            assert stand.counters["answered.served"] == (status == 200)


@run
async def test_a_request_read_before_its_connections_end_and_handled_after_it_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=Plan("a")) as stand:
        async with client(stand.port) as one:
            after_reading(monkeypatch, lambda connection: connection.force_close())
            one.send(command())
            assert await one.ended()
        await until(lambda: not connections(stand))
        assert not backend.seen and stand.counters["taken"] == 0


@run
@pytest.mark.parametrize("ending", ["drain", "handing over", "diverted"])
async def test_pipelined_requests_are_answered_before_the_connection_ends(ending: str) -> None:
    async with InProcessProxy(backend := Gated("a"), module=Plan("a")) as stand, client(stand.port) as one:
        one.send(command() + command() + command()[:30])
        await until(lambda: backend.seen)
        if ending == "diverted":
            stand.front.divert_clients()
            stand.clock.advance(700)
        else:
            (stand.front.drain if ending == "drain" else stand.front.hand_over)()
        settling = asyncio.create_task(stand.front.settle())
        backend.gate.set()
        refused = 503 if ending == "drain" else 200
        assert [await one.status(), await one.status()] == [200, refused]
        assert not settling.done()
        one.send(command()[30:])
        assert await one.status() == refused and await one.ended()
        await settling


@run
@pytest.mark.parametrize("together", [True, False])
async def test_commands_at_once_and_byte_by_byte_are_each_answered_in_their_order(together: bool) -> None:
    answers = [OK.replace(b"waves", b"wave%d" % n) for n in range(3)]
    async with InProcessProxy(FakeBackend("a", *answers), module=Plan("a")) as stand, client(stand.port) as one:
        said = b"".join(command(f"/rpc/waveform/{n}") for n in range(3))
        if together:
            one.send(said)
        else:
            for n in range(len(said)):
                one.send(said[n : n + 1])
                await asyncio.sleep(0)
        assert [(await read_message(one.reader))[2] for _ in range(3)] == [b"wave0", b"wave1", b"wave2"]
        (connection,) = connections(stand)
        await until(lambda: not connection.has_pending_request)
        assert not connection.partly_read and not connection.has_more_input  # nothing holds up an end


@run
async def test_the_time_of_a_command_that_queued_runs_from_its_own_last_byte() -> None:
    async with InProcessProxy(backend := Gated("a"), module=(plan := Plan("a"))) as stand, client(stand.port) as one:
        one.send(command() + command(wait_ms=2000))
        await until(lambda: backend.seen)
        stand.clock.advance(1500)
        one.send(command())  # bytes that are not the second one's
        await until(lambda: connections(stand)[0].last_read_ms == stand.clock.now_ms())
        backend.gate.set()
        assert [await one.status(), await one.status()] == [200, 200]
        left = [round(event.time_left, 1) for event in plan.heard if isinstance(event, i.Request)]
        assert left[:2] == [6.0, 0.5]


@run
async def test_an_answer_that_nobody_reads_gives_its_descriptor_back() -> None:
    big = OK.replace(b"5\r\n", b"200000\r\n").replace(b"waves", b"w" * 200_000)
    async with InProcessProxy(FakeBackend("a", big), module=Plan("a")) as stand, client(stand.port) as one:
        one.reader._transport.pause_reading()  # type: ignore[attr-defined]
        one.send(b"".join(command(f"/rpc/waveform/{n}") for n in range(60)))
        await until(lambda: connections(stand) and connections(stand)[0].writing_paused)
        (connection,) = connections(stand)
        stand.clock.advance(8_000)
        await until(lambda: connection.raw_transport is None)


@run
@pytest.mark.parametrize("further", [False, True])
async def test_a_disconnected_client_gets_no_attempt_however_late_the_engine_learns_of_it(further: bool) -> None:
    first, second = Gated("a", ERROR), FakeBackend("b")
    async with InProcessProxy(first, second, module=Plan("a", "b") if further else Plan("b")) as stand:
        postponed: list[object] = []
        dial, dialled = asyncio.Event(), stand.client._pool._dial

        async def late(key: Any) -> Any:
            await dial.wait()
            return await dialled(key)

        post = stand.front._post
        stand.front._post = lambda message: (  # type: ignore[method-assign]
            postponed.append(message) if isinstance(message, ClientDisconnected) else post(message)
        )
        if not further:
            stand.client._pool._dial = late  # type: ignore[method-assign]
        async with client(stand.port) as one:
            one.send(command())
            await until(lambda: first.seen if further else stand.counters["taken"])
            (connection,) = connections(stand)
        await until(lambda: connection.closed_by_client and postponed)
        first.gate.set()
        dial.set()
        await until(lambda: stand.counters["departed"])
        for message in postponed:
            post(message)
        await until(lambda: not stand.engine._requests)
        assert not second.seen


@run
async def test_the_end_of_a_client_with_many_pipelined_requests_is_noticed_at_once() -> None:
    # Past aiohttp's queue its transport would no longer be read, and the end not be seen.
    async with InProcessProxy(backend := Gated("a"), module=Plan("a")) as stand:
        async with client(stand.port) as one:
            one.send(b"".join(command() for _ in range(80)))
            await until(lambda: backend.seen)
        await until(lambda: stand.counters["left"])
        assert len(backend.seen) == 1 and not stand.engine._requests


@run
@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /rpc/plot/7f3a HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 9000 + b"\r\n", 400),
        (b"PUT /rpc/pick-submit/7f HTTP/1.1\r\nHost: x\r\nContent-Length: 48001\r\n\r\n", 413),
        (b"PUT /rpc/pick-submit/7f HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (
            b"PUT /rpc/pick-submit/7f HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nPUT /rpc/pick-submit/8 HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
            b"Req-Wait-Ms: 900\r\n\r\n",
            400,
        ),
        (b"PUT /rpc/pick-submit/7f HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
    ],
)
async def test_bad_input_gets_a_4xx_and_the_program_goes_on(raw: bytes, status: int) -> None:
    async with InProcessProxy(*boxes()) as stand:
        assert (await fetch(stand.port, raw=raw))[0] == status
        assert (await stand.ask())[0] == 200 and stand.counters["bad_request"] == 1
        assert stand.counters["taken"] == 1  # and nothing of it was passed on


@run
@pytest.mark.parametrize(
    ("request_bytes", "ms", "count"),
    [
        (b"", 2500, "closed.partial"),
        (b"GET /rpc/plot/7f HTTP/1.1\r\nHo", 2500, "closed.partial"),
        (
            b"PUT /rpc/pick-submit/7f HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 900\r\n"
            b"Content-Length: 9\r\n\r\nab",
            2500,
            "closed.partial",
        ),
        (b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 5300, "closed.idle"),
    ],
)
async def test_a_connection_without_a_request_or_idle_is_closed(request_bytes: bytes, ms: float, count: str) -> None:
    async with InProcessProxy(*boxes()) as stand:
        reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
        writer.write(request_bytes)
        if count == "closed.idle":
            await reader.readuntil(b"ok")
        await until(lambda: stand.front._server._open)
        stand.clock.advance(ms - 700)
        assert not reader.at_eof() and stand.counters[count] == 0
        stand.clock.advance(700)
        with contextlib.suppress(ConnectionResetError):  # closed with bytes unread
            assert await reader.read() == b""
        assert stand.counters[count] == 1
        writer.transport.abort()


@run
async def test_over_the_bound_the_longest_idle_connection_is_evicted_and_never_an_open_request() -> None:
    async with InProcessProxy(*boxes(HANG), sockets=6) as stand:  # enough for three clients
        asked = stand.ask(Req_Id="9b1f03aa5c7e2d41")
        await until(lambda: stand.counters["taken"])
        idle = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
        for _ in range(4):
            stand.clock.advance(10)
            idle.append(await asyncio.open_connection("127.0.0.1", stand.port))
            await until(lambda: len(stand.front._server._open) + stand.counters["closed.room"] > len(idle))
        assert [await reader.read() for reader, _ in idle[:2]] == [b"", b""]
        assert stand.counters["closed.room"] == 2 and len(stand.front._server._open) == 3
        assert not asked.done()
        asked.cancel()
        for _, writer in idle:
            writer.transport.abort()


@run
async def test_a_draining_front_refuses_new_requests_and_answers_open_ones() -> None:
    async with InProcessProxy(*boxes(HANG), module=Plan("a")) as stand:
        asked = stand.ask(wait_ms=2000)
        await until(lambda: stand.counters["taken"])
        reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
        await until(lambda: len(stand.front._server._open) == 2)
        stand.front.drain()
        writer.write(b"GET /rpc/plot/7f HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d42\r\nReq-Wait-Ms: 900\r\n\r\n")
        assert (await read_message(reader))[0].split()[1] == "503"
        stand.clock.advance(1999)
        assert (await asked)[0] == 504 and stand.counters["taken"] == 1
        writer.transport.abort()
