"""One test on real sockets for each rule that the proxy keeps whatever the module decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from beechslip.clock import ManualClock
from beechslip.core.messages import ClientDisconnected, EndpointListUpdate, PurgeReceived, RequestReceived
from beechslip.core.model import ClientRequest, FinalResponse
from beechslip.routing import interface as i
from lab.stand import (
    COPY_FIELDS,
    HANG,
    OK,
    FakeBackend,
    InProcessProxy,
    read_message,
    run,
    until,
)

MISS = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


def boxes(*scripts: bytes) -> list[FakeBackend]:
    return [
        FakeBackend("a", *scripts),
        FakeBackend("b", *scripts),
        FakeBackend("hub", kind="parent", zone="north"),
        FakeBackend("archive", kind="origin", zone="north"),
    ]


class Plan:
    """A module that sends each request where its plan says, one attempt after another, then fails it."""

    def __init__(self, *stores: str, source: str = "", cancel_on_timer: bool = False) -> None:
        self.stores, self.source, self.left = stores, source, dict[str, list[str]]()
        self.heard: list[i.Event] = []
        self.cancel_on_timer = cancel_on_timer

    def start(self, now: float) -> list[i.Action]:
        return []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.heard.append(event)
        if isinstance(event, i.Request):
            self.left[event.request] = list(self.stores)
            return self.next(event.request, event.time_left)
        if isinstance(event, i.Outcome) and not event.finished:
            return self.next(event.request, 1.0)
        return []

    def next(self, request: str, wait: float) -> list[i.Action]:
        left = self.left[request]
        if not left:
            return [i.Fail(request)]
        store = left.pop(0)
        return [i.Attempt(request, store, self.source or store, wait)]


@run
async def test_bytes_tags_and_304s_are_carried_through() -> None:
    same = b"HTTP/1.1 304 Not Modified\r\n" + COPY_FIELDS + b"X-Result: local\r\n\r\n"
    async with InProcessProxy(*boxes(OK, same)) as stand:
        status, fields, body = await stand.ask()
        assert (status, fields["ETag"], body) == (200, '"4be0"', b"waves")
        status, fields, body = await stand.ask(If_None_Match='"4be0"')
        assert (status, fields["ETag"], body) == (304, '"4be0"', b"")
        asked = stand.ranked_caches()[0].seen
        assert asked[1][1]["X-Validator"] == "4be0" and asked[0][0] == "GET /data/waveform/7f3a/0 HTTP/1.1"
        assert not {"User-Agent", "Accept", "Accept-Encoding"} & set(asked[0][1])


@run
async def test_a_silent_backend_still_gives_one_final_answer_before_the_client_gives_up() -> None:
    async with InProcessProxy(*boxes(HANG), module=Plan("a")) as stand:
        asked = stand.ask(wait_ms=2000)
        await until(lambda: stand.backends[0].seen)
        stand.clock.advance(1999)
        assert (await asked)[0] == 504
        assert stand.counters["attempt.timeout"] == 1 and stand.counters["answered.failed"] == 1


@run
async def test_an_answer_just_before_the_client_gives_up_is_still_forwarded() -> None:
    # A third of some days' clients wait little longer than the sending takes.
    written = asyncio.Event()

    class Slow(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            await written.wait()
            writer.write(OK)

    async with InProcessProxy(Slow("a"), module=Plan("a")) as stand:
        asked = stand.ask(wait_ms=100)
        await until(lambda: stand.backends[0].seen)
        stand.clock.advance(90)
        written.set()
        assert (await asked)[0] == 200


@run
async def test_a_module_that_never_answers_does_not_lose_the_request() -> None:
    class Mute(Plan):
        def next(self, request: str, wait: float) -> list[i.Action]:
            return []

    async with InProcessProxy(*boxes(), module=Mute()) as stand:
        asked = stand.ask(wait_ms=2000)
        await until(lambda: stand.counters["taken"])
        stand.clock.advance(1999)
        assert (await asked)[0] == 504 and stand.counters["last_moment"] == 1


@run
async def test_a_module_that_raises_fails_the_request_and_not_the_program() -> None:
    class Broken(Plan):
        def next(self, request: str, wait: float) -> list[i.Action]:
            raise IndexError("out of reach")

    async with InProcessProxy(*boxes(), module=Broken()) as stand:
        assert [(await stand.ask())[0], (await stand.ask())[0]] == [500, 500]
        assert stand.counters["fault.module"] == 2


@run
async def test_a_given_up_attempt_is_closed_before_the_next_one_starts() -> None:
    # Guards against two attempts out at once: the first must be off the wire, not just forgotten.
    backends = [FakeBackend("a", HANG), FakeBackend("b")]
    async with InProcessProxy(*backends, module=Plan("a", "b")) as stand:
        asked = stand.ask()
        await until(lambda: backends[0].seen)
        next(iter(stand.engine._attempts.in_flight.values())).stop("cancelled")
        assert (await asked)[0] == 200
        await until(lambda: len(backends[0].log) == 3)
        assert backends[0].log == ["asked a", "closed a", "asked b"]


@run
async def test_a_second_attempt_while_one_is_in_flight_is_not_started() -> None:
    class Twice(Plan):
        def next(self, request: str, wait: float) -> list[i.Action]:
            both = len(self.left[request]) == 2
            return super().next(request, wait) + super().next(request, wait) if both else []

    async with InProcessProxy(*boxes(), module=Twice("a", "b")) as stand:
        assert (await stand.ask())[0] == 200
        assert [len(backend.seen) for backend in stand.backends[:2]] == [1, 0]
        assert stand.counters["attempt.moot"] == 1


@run
async def test_no_more_attempts_than_permitted() -> None:
    async with InProcessProxy(*boxes(ERROR), module=Plan(*"abababababab")) as stand:
        assert (await stand.ask())[0] == 502
        assert sum(len(backend.seen) for backend in stand.backends) == 8


@run
async def test_an_attempt_stopped_before_its_first_step_still_ends() -> None:
    # Its task runs none of its code then; unreported, the module would count it as out for good.
    async with InProcessProxy(*boxes(), module=(plan := Plan("a"))) as stand:
        response_sink: Any = type("Sink", (), {"answer": staticmethod(lambda final: None), "departed": False})()
        call = ClientRequest("1", "waveform", "7f3a", wait_ms=3000.0, arrived_ms=stand.clock.now_ms())
        stand.engine.step(RequestReceived(call, stand.client, response_sink))
        stand.engine.step(ClientDisconnected("1", response_sink))
        await until(lambda: any(isinstance(event, i.Outcome) for event in plan.heard))
        assert not stand.engine._attempts.in_flight and not stand.backends[0].seen


@run
@pytest.mark.parametrize("drained", ["a", "hub"])
async def test_nothing_new_goes_to_or_through_a_draining_backend(drained: str) -> None:
    # The drain arrives after the module has chosen and before the first byte: dialling takes time.
    plan = Plan("a", source="hub")
    async with InProcessProxy(*boxes(), module=plan) as stand:
        final: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()
        call = ClientRequest("1", "waveform", "7f3a", wait_ms=3000.0, arrived_ms=stand.clock.now_ms())
        response_sink: Any = type("Sink", (), {"answer": staticmethod(final.set_result), "departed": False})()
        stand.engine.step(RequestReceived(call, stand.client, response_sink))
        leaving = next(backend for backend in stand.backends if backend.name == drained).entry("draining")
        stand.engine.step(EndpointListUpdate("changes", (leaving,)))
        assert (await final).kind == "failed"
        assert not any(backend.seen for backend in stand.backends) and stand.counters["attempt.moot"] == 1


@run
async def test_purges_and_drain_notices_overtake_queued_requests() -> None:
    async with InProcessProxy(*boxes()) as stand:
        home, other = stand.ranked_caches()
        final: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()
        response_sink: Any = type("Sink", (), {"answer": staticmethod(final.set_result), "departed": False})()
        call = ClientRequest("1", "waveform", "7f3a", group=4, wait_ms=3000.0, arrived_ms=stand.clock.now_ms())
        stand.engine.post(RequestReceived(call, stand.client, response_sink))
        stand.engine.post(PurgeReceived("", 4, stand.clock.now_ms() - 200))
        stand.engine.post(EndpointListUpdate("changes", (home.entry("draining"),)))
        assert (await final).kind == "served"
        assert not home.seen and 1 <= int(other.seen[0][1]["X-Age-Cap"]) <= 200
        assert stand.counters["sent"] == 1  # the updates came first: no attempt had to be held back


@run
async def test_the_age_of_a_purge_is_taken_when_the_module_gets_it() -> None:
    plan = Plan()
    async with InProcessProxy(*boxes(), module=plan) as stand:
        stand.engine.post(PurgeReceived("7f3a", 0, stand.clock.now_ms() - 100))
        stand.clock.advance(400)
        await until(lambda: any(isinstance(event, i.Purge) for event in plan.heard))
        assert plan.heard[-1] == i.Purge("7f3a", 0, 0.5)


@run
async def test_a_write_goes_to_the_archive_once_with_its_key_and_body() -> None:
    async with InProcessProxy(*boxes()) as stand:
        status, _, _ = await stand.ask(target="/rpc/pick-submit/9c", method="PUT", body=b"pick", Req_Token="5c0f")
        seen = [(backend.name, *message) for backend in stand.backends for message in backend.seen]
        assert status == 200 and len(seen) == 1
        name, first, fields, body = seen[0]
        assert first.startswith("PUT /data/pick-submit/9c/0") and body == b"pick"
        assert fields["X-Op-Key"] == "5c0f" and (name == "archive" or fields["X-Next-Hop"] == "archive")


@run
async def test_a_keyed_repeat_is_not_written_after_its_window() -> None:
    # A backend that discards repeats for 6 s would run one that comes later.
    plan = Plan("a", "b")
    async with InProcessProxy(*boxes(HANG), module=plan) as stand:
        stand.engine.settings.classes["pick-submit"] = replace(
            stand.engine.settings.classes["pick-submit"], window=0.5
        )
        asked = stand.ask(target="/rpc/pick-submit/9c", method="PUT", body=b"pick")
        await until(lambda: stand.backends[0].seen)
        stand.clock.advance(600)
        next(iter(stand.engine._attempts.in_flight.values())).stop("cancelled")
        assert (await asked)[0] == 502 and not stand.backends[1].seen


@run
async def test_a_flood_of_refusals_is_counted_completely_and_logged_in_part(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", "beechslip.engine")
    async with InProcessProxy(module=Plan()) as stand:
        for n in range(50):
            response_sink: Any = type(
                "Answerer", (), {"answer": staticmethod(lambda final: None), "departed": False}
            )()
            call = ClientRequest(str(n), "waveform", "7f3a", wait_ms=3000.0, arrived_ms=stand.clock.now_ms())
            stand.engine.step(RequestReceived(call, stand.client, response_sink))
        lines = [line for line in caplog.messages if " failed after " in line]
        assert stand.counters["answered.failed"] == 50 and len(lines) == 20


@run
async def test_a_client_that_leaves_frees_its_attempt() -> None:
    async with InProcessProxy(*boxes(HANG), module=Plan("a")) as stand:
        asked = stand.ask()
        await until(lambda: stand.backends[0].seen)
        asked.cancel()
        await until(lambda: stand.backends[0].closed)
        await until(stand.engine.quiet.is_set)
        assert stand.counters["left"] == 1 and not stand.engine._attempts.in_flight
        assert any(isinstance(event, i.ClientGone) for event in stand.module.heard)


@run
async def test_a_refusal_carries_its_retry_after() -> None:
    class Full(Plan):
        def next(self, request: str, wait: float) -> list[i.Action]:
            return [i.Refuse(request, 0.25)]

    async with InProcessProxy(*boxes(), module=Full()) as stand:
        status, fields, _ = await stand.ask()
        assert (status, fields["Srv-Wait-Ms"]) == (503, "250")


@run
async def test_an_id_that_is_open_already_is_not_taken_twice() -> None:
    async with InProcessProxy(*boxes(HANG), module=Plan("a")) as stand:
        first = stand.ask(Req_Id="9b1f03aa5c7e2d41")
        await until(lambda: stand.backends[0].seen)
        assert (await stand.ask(Req_Id="9b1f03aa5c7e2d41"))[0] == 409
        first.cancel()


@run
@pytest.mark.parametrize("slow_start", [True, False])
async def test_a_backend_in_slow_start_gets_no_more_than_its_allowance(slow_start: bool) -> None:
    async with InProcessProxy(*boxes(HANG)) as stand:
        box, rules = stand.ranked_caches()[0], stand.settings
        # In 3 s it may be sent 2.5 times what it gives: as long as nothing is learned, 0.18 of one transfer.
        most = (
            rules.overload_multiple
            * rules.slow_start_share
            * rules.overload_window
            / rules.classes["waveform"].latency_objective
        )
        started_ms = stand.clock.now_ms() if slow_start else 0.0
        stand.engine.post(EndpointListUpdate("changes", (box.entry(started_ms=started_ms),)))
        asked = [stand.ask(target=f"/rpc/waveform/{n}") for n in range(20)]
        await until(lambda: sum(len(backend.seen) for backend in stand.backends) == len(asked))
        assert (len(box.seen) <= most) == slow_start
        for task in asked:
            task.cancel()


def test_the_set_clock_runs_alarms_in_order_as_it_passes_them() -> None:
    clock, rang = ManualClock(0.0), list[tuple[str, float]]()

    def bell(name: str) -> Callable[[], None]:
        return lambda: rang.append((name, clock.now_ms()))

    clock.call_later(20, bell("late"))
    clock.call_later(10, bell("early"))
    clock.call_later(15, bell("off")).cancel()
    clock.advance(30)
    assert rang == [("early", 10.0), ("late", 20.0)] and clock.now_ms() == 30.0
