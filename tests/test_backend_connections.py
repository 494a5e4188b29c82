"""Connections to backends on real sockets: their pool, how they end, and responses that can't be trusted."""

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
from tests.test_rules import ScriptedRouter, default_backends


def set_effect(stand: InProcessProxy, name: str, **rule: Any) -> None:
    """Set this effect for all classes."""
    classes = {key: replace(old, effect=name, **rule) for key, old in stand.settings.classes.items()}
    stand.settings = stand.engine.settings = replace(stand.settings, classes=classes)


WRITE: dict[str, Any] = {"target": "/rpc/pick-submit/9c", "method": "PUT", "body": b"pick", "Req_Token": "5c"}


@run
async def test_connection_established_after_its_request_ended_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=ScriptedRouter("a")) as stand:
        original_connection_made = BackendConnection.connection_made

        def stop_after_connecting(connection: BackendConnection, transport: Any) -> None:
            original_connection_made(connection, transport)
            for attempt in stand.engine._attempts.in_flight.values():
                attempt.stop("cancelled")

        monkeypatch.setattr(BackendConnection, "connection_made", stop_after_connecting)
        assert (await stand.ask())[0] == 502
        assert stand.counters["attempt.moot"] == 1 and not backend.seen
        await until(lambda: backend.closed)
        assert not stand.client._pool._connections and not stand.client._pool._dials_in_progress


@run
async def test_connection_reset_before_first_byte_counts_as_connect_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("b"), module=(plan := ScriptedRouter("a", "b"))) as stand:
        set_effect(stand, "unsafe")
        original_dial = stand.client._pool._dial

        async def dial_and_reset(key: Any) -> BackendConnection:
            connection = await original_dial(key)
            if key[0] == "a":
                connection.abort()  # after the dial and before the first byte
            return connection

        monkeypatch.setattr(stand.client._pool, "_dial", dial_and_reset)
        assert (await stand.ask())[0] == 200
        results = [event.result for event in plan.received_events if isinstance(event, i.Outcome)]
        assert results == ["connect_failed", "ok"] and not stand.backends[0].seen


@run
@pytest.mark.parametrize("reason", ["cancelled", "timeout"])
async def test_attempt_cancelled_as_its_response_completes_uses_the_response(
    monkeypatch: pytest.MonkeyPatch, reason: Any
) -> None:
    async with InProcessProxy(FakeBackend("a"), module=ScriptedRouter("a")) as stand:
        set_effect(stand, "unsafe")
        original_data_received = BackendConnection.data_received

        def read_then_stop(connection: BackendConnection, data: bytes) -> None:
            original_data_received(connection, data)
            for attempt in stand.engine._attempts.in_flight.values():
                attempt.stop(reason)

        monkeypatch.setattr(BackendConnection, "data_received", read_then_stop)
        assert (await stand.ask())[2] == b"waves" and stand.counters["attempt.ok"] == 1


@run
@pytest.mark.parametrize(("response", "status"), [(b"", 502), (OK[:-2], 502), (OK, 200), (OK + b"noise", 200)])
async def test_connection_reset_before_within_or_after_response_never_repeats_the_request(
    response: bytes, status: int
) -> None:
    class ResettingBackend(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            writer.write(response)
            if status == 200:
                await until(lambda: stand.counters["answered.served"])
            writer.transport.abort()

    async with InProcessProxy(backend := ResettingBackend("a"), module=ScriptedRouter("a", "a")) as stand:
        set_effect(stand, "unsafe")
        assert (await stand.ask())[0] == status
        assert len(backend.seen) == 1  # a request that may have been executed is not sent again


@run
async def test_incomplete_response_times_out_at_the_clients_deadline() -> None:
    async with InProcessProxy(backend := FakeBackend("a", OK[:-3]), module=ScriptedRouter("a")) as stand:
        pending_response = stand.ask(wait_ms=1000)
        await until(lambda: backend.seen)
        stand.clock.advance(999)
        assert (await pending_response)[0] == 504
        await until(lambda: backend.closed)


@run
@pytest.mark.parametrize(("elapsed_ms", "delay_ms", "status"), [(400, 0, 200), (490, 0, 502), (0, 3000, 504)])
async def test_keyed_write_is_repeated_only_within_its_repeat_window_and_the_clients_time(
    monkeypatch: pytest.MonkeyPatch, elapsed_ms: float, delay_ms: float, status: int
) -> None:
    class ResponseLosingBackend(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            stand.clock.advance(elapsed_ms)
            writer.transport.abort()

    async with InProcessProxy(
        ResponseLosingBackend("a"), second_backend := FakeBackend("b"), module=ScriptedRouter("a", "b")
    ) as stand:
        set_effect(stand, "keyed", group="all", window=60.0 if delay_ms else 0.5)
        original_dial = stand.client._pool._dial

        async def dial_late(key: Any) -> BackendConnection:
            connection = await original_dial(key)
            if key[0] == "b":
                stand.clock._now += delay_ms  # the event loop was stalled: no alarm has run yet
            return connection

        monkeypatch.setattr(stand.client._pool, "_dial", dial_late)
        response = await stand.ask(**WRITE, wait_ms=2900)
        assert (response[0], len(second_backend.seen)) == (status, int(status == 200))


@run
async def test_dropped_idle_connection_is_not_retried() -> None:
    # aiohttp's client would retry without notice. Neither the cap on attempts nor the rules on effects would know of
    # that attempt.
    async with InProcessProxy(*default_backends(OK, RESET, OK), module=ScriptedRouter("a")) as stand:
        assert (await stand.ask())[0] == 200
        stand.clock.advance(100)  # so that the connection has been idle for long enough
        assert (await stand.ask())[0] == 502
        assert len(stand.backends[0].seen) == 2 and stand.backends[0].connections == 1
        assert stand.counters["attempt.reset"] == 1


@run
async def test_refused_connection_counts_as_connect_failure() -> None:
    async with InProcessProxy(*default_backends(), module=ScriptedRouter("a", "b")) as stand:
        unreachable_backend = replace(stand.backends[0].entry(), address="127.0.0.1:1")
        stand.engine.post(EndpointListUpdate("changes", (unreachable_backend,)))
        assert (await stand.ask())[0] == 200
        results = [event.result for event in stand.module.received_events if isinstance(event, i.Outcome)]
        assert results == ["connect_failed", "ok"]


@run
@pytest.mark.parametrize("extra_bytes", [OK.replace(b"waves", b"other"), b"noise"])
async def test_bytes_received_on_idle_connection_are_not_used_as_the_next_response(extra_bytes: bytes) -> None:
    backend = FakeBackend("a")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        backend.connections += 1
        await read_message(reader)
        writer.write(OK)
        if backend.connections == 1:
            await until(lambda: stand.counters["answered.served"])
            writer.write(extra_bytes)  # after its response was delivered, while no request is pending

    backend.serve = serve  # type: ignore[method-assign]
    async with InProcessProxy(backend, module=ScriptedRouter("a")) as stand:
        assert (await stand.ask())[2] == b"waves"
        await until(lambda: stand.counters["depot.unasked"])
        stand.clock.advance(100)
        assert (await stand.ask())[2] == b"waves" and backend.connections == 2


@run
async def test_late_second_copy_is_not_used_as_response_for_another_object() -> None:
    async with InProcessProxy(FakeBackend("a", OK), module=ScriptedRouter("a")) as stand:
        assert (await stand.ask())[0] == 200
        stand.clock.advance(100)
        assert (await stand.ask(target="/rpc/waveform/other"))[0] == 502  # the same tag and bytes as before
        assert stand.counters["attempt.spoilt"] == 1 and stand.backends[0].connections == 1


@run
async def test_unusable_response_counts_as_executed_but_not_against_the_backend() -> None:
    plan = ScriptedRouter("a", "a")
    async with InProcessProxy(FakeBackend("a", b"HTTP/1.1 2x0 OK\r\n\r\n", OK), module=plan) as stand:
        assert (await stand.ask())[2] == b"waves" and stand.backends[0].connections == 2
        assert [event.result for event in plan.received_events if isinstance(event, i.Outcome)] == ["cancelled", "ok"]


@run
async def test_truncated_response_is_retried_and_never_reaches_the_client() -> None:
    truncated_response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwa"

    class TruncatingBackend(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(truncated_response)
            writer.close()

    async with InProcessProxy(TruncatingBackend("a"), FakeBackend("b"), module=ScriptedRouter("a", "b")) as stand:
        assert (await stand.ask())[2] == b"waves" and stand.counters["attempt.reset"] == 1


@run
async def test_response_above_size_limit_fails_the_attempt() -> None:
    large_response = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300000
    async with InProcessProxy(*default_backends(large_response), module=ScriptedRouter("a")) as stand:
        assert (await stand.ask())[0] == 502 and stand.counters["attempt.spoilt"] == 1


@run
@pytest.mark.parametrize(
    ("response", "status", "body"),
    [
        (b"HTTP/1.1 302 Found\r\nLocation: /data/waveform/other/0\r\nContent-Length: 0\r\n\r\n", 502, b""),
        (OK.replace(b"X-Digest", b"Content-Encoding: gzip\r\nSet-Cookie: a=b\r\nX-Digest"), 200, b"waves"),
    ],
)
async def test_backend_client_adds_nothing_to_requests_and_responses(
    response: bytes, status: int, body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It follows no redirect, decodes no content, sends no cookie back, uses no proxy and does not quote the name
    # again.
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:1")
    async with InProcessProxy(*default_backends(response), module=ScriptedRouter("a")) as stand:
        for _ in range(2):
            received = await stand.ask(target="/rpc/waveform/a%7Eb%2B")
            assert (received[0], received[2]) == (status, body)
        for first, fields, _ in stand.backends[0].seen:
            assert first == "GET /data/waveform/a~b%2B/0 HTTP/1.1"
            assert set(fields) == {"Host", "X-Trace", "X-Patience"}


@run
async def test_pool_bounds_connections_and_a_full_pool_is_not_a_backend_failure() -> None:
    async with InProcessProxy(
        FakeBackend("a", HANG), module=(plan := ScriptedRouter("a")), sockets=8
    ) as stand:  # three connections
        pending_responses = [stand.ask(wait_ms=2000) for _ in range(4)]
        await until(lambda: stand.counters["depot.waits"] == 1 and len(stand.backends[0].seen) == 3)
        stand.clock.advance(1999)
        assert {(await task)[0] for task in pending_responses} == {504} and stand.backends[0].connections == 3
        await until(lambda: not stand.engine._attempts.in_flight)
        results = [event.result for event in plan.received_events if isinstance(event, i.Outcome)]
        assert sorted(results) == ["moot", "timeout", "timeout", "timeout"]


@run
async def test_idle_connection_is_closed_for_another_backend_and_when_its_backend_is_removed() -> None:
    async with InProcessProxy(
        FakeBackend("a"), FakeBackend("b"), module=ScriptedRouter("a"), sockets=3
    ) as stand:  # one connection
        assert (await stand.ask())[0] == 200
        stand.module.backend_names = ("b",)
        assert (await stand.ask())[0] == 200
        await until(lambda: stand.backends[0].closed)  # closed to make room
        stand.engine.post(EndpointListUpdate("changes", (stand.backends[1].entry("gone"),)))
        await until(lambda: stand.backends[1].closed)  # another backend may take its address


@run
async def test_health_check_reads_load_report_and_times_out_without_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.platform.backends.HEALTH_CHECK_TIMEOUT_MS", 1.0)
    async with InProcessProxy(FakeBackend("a", HANG), module=ScriptedRouter()) as stand:
        assert await stand.client.health_check(stand.backends[0].entry()) == AttemptResult("timeout")
        monkeypatch.setattr("beechslip.platform.backends.HEALTH_CHECK_TIMEOUT_MS", 5000.0)
        stand.backends[0].script = [OK]
        assert (await stand.client.health_check(stand.backends[0].entry())).report == {"held": 7.0, "busy": 0.61}
        assert stand.backends[0].seen[-1][0] == "GET /load HTTP/1.1"
