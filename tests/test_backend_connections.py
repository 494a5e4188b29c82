"""Connections to backends: their pool, their ends, and responses that can't be trusted, on real sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import AttemptResult
from beechslip.platform.connection import BackendConnection
from beechslip.routing import interface as i
from lab.stand import (
    HANG,
    OK,
    RESET,
    FakeBackend,
    InProcessProxy,
    read_message,
    run,
    until,
)
from tests.test_rules import Plan, boxes


def effect(stand: InProcessProxy, name: str, **rule: Any) -> None:
    """Give all classes this effect."""
    classes = {key: replace(old, effect=name, **rule) for key, old in stand.settings.classes.items()}
    stand.settings = stand.engine.settings = replace(stand.settings, classes=classes)


WRITE: dict[str, Any] = {"target": "/rpc/pick-submit/9c", "method": "PUT", "body": b"pick", "Req_Token": "5c"}


@run
async def test_a_connection_that_comes_up_after_its_request_is_over_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=Plan("a")) as stand:
        made = BackendConnection.connection_made

        def over(link: BackendConnection, transport: Any) -> None:
            made(link, transport)
            for attempt in stand.engine._attempts.in_flight.values():
                attempt.stop("cancelled")

        monkeypatch.setattr(BackendConnection, "connection_made", over)
        assert (await stand.ask())[0] == 502
        assert stand.counters["attempt.moot"] == 1 and not backend.seen
        await until(lambda: backend.closed)
        assert not stand.client._pool._connections and not stand.client._pool._dialling


@run
async def test_a_connection_that_is_reset_before_its_first_byte_proves_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("b"), module=(plan := Plan("a", "b"))) as stand:
        effect(stand, "unsafe")
        dial = stand.client._pool._dial

        async def reset(key: Any) -> BackendConnection:
            link = await dial(key)
            if key[0] == "a":
                link.abort()  # between the dial's end and the first byte
            return link

        monkeypatch.setattr(stand.client._pool, "_dial", reset)
        assert (await stand.ask())[0] == 200
        results = [event.result for event in plan.heard if isinstance(event, i.Outcome)]
        assert results == ["connect_failed", "ok"] and not stand.backends[0].seen


@run
@pytest.mark.parametrize("reason", ["cancelled", "timeout"])
async def test_an_attempt_cancelled_in_the_moment_in_which_its_response_is_complete_has_been_answered(
    monkeypatch: pytest.MonkeyPatch, reason: Any
) -> None:
    async with InProcessProxy(FakeBackend("a"), module=Plan("a")) as stand:
        effect(stand, "unsafe")
        read = BackendConnection.data_received

        def crossing(link: BackendConnection, data: bytes) -> None:
            read(link, data)
            for attempt in stand.engine._attempts.in_flight.values():
                attempt.stop(reason)

        monkeypatch.setattr(BackendConnection, "data_received", crossing)
        assert (await stand.ask())[2] == b"waves" and stand.counters["attempt.ok"] == 1


@run
@pytest.mark.parametrize(("answer", "status"), [(b"", 502), (OK[:-2], 502), (OK, 200), (OK + b"noise", 200)])
async def test_a_reset_before_within_and_after_an_answer(answer: bytes, status: int) -> None:
    class Resets(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            writer.write(answer)
            if status == 200:
                await until(lambda: stand.counters["answered.served"])
            writer.transport.abort()

    async with InProcessProxy(backend := Resets("a"), module=Plan("a", "a")) as stand:
        effect(stand, "unsafe")
        assert (await stand.ask())[0] == status
        assert len(backend.seen) == 1  # what may have run is not sent again


@run
async def test_an_answer_that_never_ends_is_given_up_in_time() -> None:
    async with InProcessProxy(backend := FakeBackend("a", OK[:-3]), module=Plan("a")) as stand:
        asked = stand.ask(wait_ms=1000)
        await until(lambda: backend.seen)
        stand.clock.advance(999)
        assert (await asked)[0] == 504
        await until(lambda: backend.closed)


@run
@pytest.mark.parametrize(("past_ms", "late_ms", "status"), [(400, 0, 200), (490, 0, 502), (0, 3000, 504)])
async def test_a_keyed_write_whose_answer_is_lost_is_repeated_inside_its_window_and_its_clients_time_alone(
    monkeypatch: pytest.MonkeyPatch, past_ms: float, late_ms: float, status: int
) -> None:
    class Loses(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            stand.clock.advance(past_ms)
            writer.transport.abort()

    async with InProcessProxy(Loses("a"), repeat := FakeBackend("b"), module=Plan("a", "b")) as stand:
        effect(stand, "keyed", group="all", window=60.0 if late_ms else 0.5)
        dial = stand.client._pool._dial

        async def late(key: Any) -> BackendConnection:
            link = await dial(key)
            if key[0] == "b":
                stand.clock._now += late_ms  # the loop stood still: no alarm has rung yet
            return link

        monkeypatch.setattr(stand.client._pool, "_dial", late)
        answer = await stand.ask(**WRITE, wait_ms=2900)
        assert (answer[0], len(repeat.seen)) == (status, int(status == 200))


@run
async def test_aiohttp_does_not_retry_on_a_dropped_idle_connection() -> None:
    # Its client would, in silence: an attempt that neither the cap nor the rule on effects knows of.
    async with InProcessProxy(*boxes(OK, RESET, OK), module=Plan("a")) as stand:
        assert (await stand.ask())[0] == 200
        stand.clock.advance(100)  # so that the connection has rested
        assert (await stand.ask())[0] == 502
        assert len(stand.backends[0].seen) == 2 and stand.backends[0].connections == 1
        assert stand.counters["attempt.reset"] == 1


@run
async def test_a_refused_connection_proves_that_nothing_ran() -> None:
    async with InProcessProxy(*boxes(), module=Plan("a", "b")) as stand:
        gone = replace(stand.backends[0].entry(), address="127.0.0.1:1")
        stand.engine.post(EndpointListUpdate("changes", (gone,)))
        assert (await stand.ask())[0] == 200
        results = [event.result for event in stand.module.heard if isinstance(event, i.Outcome)]
        assert results == ["connect_failed", "ok"]


@run
@pytest.mark.parametrize("more", [OK.replace(b"waves", b"other"), b"noise"])
async def test_what_an_idle_connection_brings_is_not_the_next_requests_answer(more: bytes) -> None:
    backend = FakeBackend("a")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        backend.connections += 1
        await read_message(reader)
        writer.write(OK)
        if backend.connections == 1:
            await until(lambda: stand.counters["answered.served"])
            writer.write(more)  # once its answer is through and nobody has asked

    backend.serve = serve  # type: ignore[method-assign]
    async with InProcessProxy(backend, module=Plan("a")) as stand:
        assert (await stand.ask())[2] == b"waves"
        await until(lambda: stand.counters["depot.unasked"])
        stand.clock.advance(100)
        assert (await stand.ask())[2] == b"waves" and backend.connections == 2


@run
async def test_a_second_copy_that_comes_late_is_not_taken_for_another_objects_answer() -> None:
    async with InProcessProxy(FakeBackend("a", OK), module=Plan("a")) as stand:
        assert (await stand.ask())[0] == 200
        stand.clock.advance(100)
        assert (await stand.ask(target="/rpc/waveform/other"))[0] == 502  # the same tag and bytes once more
        assert stand.counters["attempt.spoilt"] == 1 and stand.backends[0].connections == 1


@run
async def test_an_unusable_response_counts_as_executed_and_against_no_backend() -> None:
    plan = Plan("a", "a")
    async with InProcessProxy(FakeBackend("a", b"HTTP/1.1 2x0 OK\r\n\r\n", OK), module=plan) as stand:
        assert (await stand.ask())[2] == b"waves" and stand.backends[0].connections == 2
        assert [event.result for event in plan.heard if isinstance(event, i.Outcome)] == ["cancelled", "ok"]


@run
async def test_a_broken_answer_is_retried_and_never_reaches_the_client() -> None:
    cut = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwa"

    class Cutting(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(cut)
            writer.close()

    async with InProcessProxy(Cutting("a"), FakeBackend("b"), module=Plan("a", "b")) as stand:
        assert (await stand.ask())[2] == b"waves" and stand.counters["attempt.reset"] == 1


@run
async def test_an_answer_that_is_too_large_fails_the_attempt() -> None:
    big = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300000
    async with InProcessProxy(*boxes(big), module=Plan("a")) as stand:
        assert (await stand.ask())[0] == 502 and stand.counters["attempt.spoilt"] == 1


@run
@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        (b"HTTP/1.1 302 Found\r\nLocation: /data/waveform/other/0\r\nContent-Length: 0\r\n\r\n", 502, b""),
        (OK.replace(b"X-Digest", b"Content-Encoding: gzip\r\nSet-Cookie: a=b\r\nX-Digest"), 200, b"waves"),
    ],
)
async def test_the_client_adds_nothing_of_its_own(
    answer: bytes, status: int, body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No redirect followed, nothing unpacked, no cookie sent back, no proxy used, no name quoted anew.
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:1")
    async with InProcessProxy(*boxes(answer), module=Plan("a")) as stand:
        for _ in range(2):
            got = await stand.ask(target="/rpc/waveform/a%7Eb%2B")
            assert (got[0], got[2]) == (status, body)
        for first, fields, _ in stand.backends[0].seen:
            assert first == "GET /data/waveform/a~b%2B/0 HTTP/1.1"
            assert set(fields) == {"Host", "X-Trace", "X-Patience"}


@run
async def test_connections_to_backends_are_bounded_and_a_full_pool_is_no_backend_failure() -> None:
    async with InProcessProxy(FakeBackend("a", HANG), module=(plan := Plan("a")), sockets=8) as stand:  # three links
        asked = [stand.ask(wait_ms=2000) for _ in range(4)]
        await until(lambda: stand.counters["depot.waits"] == 1 and len(stand.backends[0].seen) == 3)
        stand.clock.advance(1999)
        assert {(await task)[0] for task in asked} == {504} and stand.backends[0].connections == 3
        await until(lambda: not stand.engine._attempts.in_flight)
        results = [event.result for event in plan.heard if isinstance(event, i.Outcome)]
        assert sorted(results) == ["moot", "timeout", "timeout", "timeout"]


@run
async def test_a_connection_is_given_up_for_another_backend_and_with_its_own() -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("b"), module=Plan("a"), sockets=3) as stand:  # one link
        assert (await stand.ask())[0] == 200
        stand.module.stores = ("b",)
        assert (await stand.ask())[0] == 200
        await until(lambda: stand.backends[0].closed)  # to make way
        stand.engine.post(EndpointListUpdate("changes", (stand.backends[1].entry("gone"),)))
        await until(lambda: stand.backends[1].closed)  # another one may take its address


@run
async def test_a_health_check_reads_the_load_and_a_silent_one_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.platform.backends.HEALTH_CHECK_TIMEOUT_MS", 1.0)
    async with InProcessProxy(FakeBackend("a", HANG), module=Plan()) as stand:
        assert await stand.client.health_check(stand.backends[0].entry()) == AttemptResult("timeout")
        monkeypatch.setattr("beechslip.platform.backends.HEALTH_CHECK_TIMEOUT_MS", 5000.0)
        stand.backends[0].script = [OK]
        assert (await stand.client.health_check(stand.backends[0].entry())).report == {"held": 7.0, "busy": 0.61}
        assert stand.backends[0].seen[-1][0] == "GET /load HTTP/1.1"
