"""The change log's reader against logs that end, repeat, skip, fall silent or can't be read, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import StreamReader

from beechslip.config import Address
from beechslip.core.messages import EndpointListUpdate, PurgeReceived
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.platform.changelog import ChangeLog
from lab.stand import HANG, RESET, FakeBackend, listening, read_message, run, until


class ScriptedLog(FakeBackend):
    """A change log whose script is one complete stream a connection."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.seen.append(await read_message(reader))
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        writer.write(head + (self.script.pop(0) if len(self.script) > 1 else self.script[0]))
        writer.close()


def purge(seq: int) -> bytes:
    return b'id: %d\ndata: {"seq":%d,"invalidate":{"object":"%d","time":1}}\n\n' % (seq, seq, seq)


def complete_list(seq: int, *names: str) -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:9", "status": "active"} for name in names]
    event = {"seq": seq, "fleet": {"index": 1, "snapshot": True, "endpoints": entries}}
    return f"id: {seq}\ndata: {json.dumps(event)}\n\n".encode()


def list_event(seq: int, snapshot: bool, **states: str) -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:9", "status": status} for name, status in states.items()]
    event = {"seq": seq, "fleet": {"index": 1, "snapshot": snapshot, "endpoints": entries}}
    return f"id: {seq}\ndata: {json.dumps(event)}\n\n".encode()


@contextlib.asynccontextmanager
async def following(log: FakeBackend) -> AsyncIterator[tuple[ChangeLog, list[Any]]]:
    """A change log reader that has reached 3, with three backends known, and what it posts."""
    got: list[Any] = []
    async with listening(log):
        host, port = log.address.split(":")
        known = [EndpointListUpdate("remembered", tuple(Backend(name, "127.0.0.1:9") for name in "abc"))]
        one = ChangeLog(Address(host, int(port)), 3, got.append, Counters(), known)
        task = asyncio.create_task(one.run())
        try:
            yield one, got
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


@run
async def test_the_change_log_is_watched_on_after_it_ends_and_each_event_posted_once() -> None:
    def event(seq: int) -> bytes:
        return b'id: %d\ndata: {"seq":%d,"invalidate":{"bucket":%d,"time":9}}\n\n' % (seq, seq, seq)

    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    log = FakeBackend("log", head + event(4) + event(5) + RESET, head + event(5) + event(6))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        log.seen.append(await read_message(reader))
        writer.write(log.script.pop(0) if log.script else head)
        if log.script:
            writer.close()

    log.serve = serve  # type: ignore[method-assign]
    posted: list[Any] = []
    async with listening(log):
        host, port = log.address.split(":")
        task = asyncio.create_task(ChangeLog(Address(host, int(port)), 3, posted.append, Counters()).run())
        await until(lambda: len(posted) == 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [one.group for one in posted] == [4, 5, 6]
    assert [fields["Last-Event-ID"] for _, fields, _ in log.seen] == ["3", "5"]


@run
async def test_a_silent_change_log_is_reconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.platform.changelog.SILENCE_S", 0.01)
    log = FakeBackend("log", HANG)
    async with listening(log):
        host, port = log.address.split(":")
        task = asyncio.create_task(ChangeLog(Address(host, int(port)), 3, lambda _: None, Counters()).run())
        await until(lambda: len(log.seen) > 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@run
@pytest.mark.parametrize(
    ("streams", "expected", "asked"),
    [
        ([purge(4) + purge(5)[:30], purge(5)], "45", ["3", "4"]),  # breaks off partway through an event
        ([purge(4) * 2 + purge(5), b""], "45", ["3", "5"]),  # writes events twice
        (
            [purge(5), purge(4) + purge(5)],
            "54",
            ["3", "3"],
        ),  # a gap: requested again, and its updates are binding at once
        ([purge(5), purge(5) + purge(6)], "56", ["3", "3"]),  # a gap that stays is no gap
        ([b"id: 4\ndata: {\n\n" + purge(5)] * 2, "5", ["3", "3"]),  # can't be read, twice: passed over
    ],
)
async def test_each_event_is_posted_once_and_at_once_whatever_the_stream_does(
    streams: list[bytes], expected: str, asked: list[str]
) -> None:
    log, got = ScriptedLog("log", *streams, b""), list[Any]()
    async with listening(log):
        host, port = log.address.split(":")
        task = asyncio.create_task(ChangeLog(Address(host, int(port)), 3, got.append, Counters()).run())
        await until(lambda: len(log.seen) > len(streams))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert "".join(one.object for one in got) == expected
    assert [fields["Last-Event-ID"] for _, fields, _ in log.seen][:2] == asked


@run
@pytest.mark.parametrize(
    ("streams", "expected"),
    [
        ([complete_list(4, "a"), complete_list(4, *"abcd") + purge(5)], ["abcd", "5"]),  # shrunken once: never taken
        ([complete_list(4, "a"), complete_list(4, "a") + purge(5)], ["a", "5"]),  # repeated: it is so
        ([complete_list(4, "a"), b""], ["a"]),  # can't be asked for again: taken before the drain's grace is over
        ([complete_list(4, *"abd"), b""], ["abd"]),  # most are still there
        ([complete_list(4, *"abcd") * 2 + purge(5), b""], ["abcd", "5"]),  # repeated
    ],
)
async def test_a_complete_list_that_omits_most_backends_is_requested_again(
    streams: list[bytes], expected: list[str]
) -> None:
    log, got, counters = ScriptedLog("log", *streams, b""), list[Any](), Counters()
    known = [EndpointListUpdate("remembered", tuple(Backend(name, "127.0.0.1:9") for name in "abcd"))]
    async with listening(log):
        host, port = log.address.split(":")
        task = asyncio.create_task(ChangeLog(Address(host, int(port)), 3, got.append, counters, known).run())
        await until(lambda: len(got) == len(expected))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [
        "".join(d.name for d in one.backends) if isinstance(one, EndpointListUpdate) else one.object for one in got
    ] == expected
    assert ("changelog.doubtful" in counters.line()) == (streams[0] == complete_list(4, "a"))


@run
@pytest.mark.parametrize(
    "event",
    [
        list_event(9, True, a="active", b="active", c="leaving"),  # a complete list after a gap
        list_event(9, False, c="leaving"),  # a change after one
        list_event(4, True, c="leaving"),  # a complete list that omits most
    ],
)
async def test_a_drain_in_an_event_that_is_requested_again_is_binding_though_the_log_ends_then(event: bytes) -> None:
    async with following(ScriptedLog("log", event, b"")) as (_, got):
        await until(lambda: got)
        assert got[0] == EndpointListUpdate("changes", (Backend("c", "127.0.0.1:9", state="draining"),))


@run
async def test_an_older_event_does_not_undo_a_drain_of_a_later_one() -> None:
    repeated = list_event(4, False, c="active") + list_event(5, False, c="leaving") + list_event(6, False, c="active")
    async with following(ScriptedLog("log", list_event(5, False, c="leaving"), repeated, b"")) as (_, got):
        await until(lambda: len(got) == 4)
        assert [one.backends[0].state for one in got] == ["draining", "draining", "draining", "ready"]


@run
@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"])
async def test_a_watch_that_is_silent_from_its_first_second_is_reconnected_and_the_drain_of_the_gap_posted(
    monkeypatch: pytest.MonkeyPatch, head: bytes
) -> None:
    monkeypatch.setattr("beechslip.platform.changelog.SILENCE_S", 0.05)

    class Silent(ScriptedLog):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if self.seen:
                await super().serve(reader, writer)
                return
            self.seen.append(await read_message(reader))
            writer.write(head)
            await reader.read()  # open, until it is left

    async with following(log := Silent("log", list_event(4, False, c="leaving"))) as (_, got):
        await until(lambda: got)
        assert got[0].backends[0].state == "draining"
        assert [fields["Last-Event-ID"] for _, fields, _ in log.seen[:2]] == ["3", "3"]


@run
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
async def test_events_are_read_in_all_their_forms_and_pieces(end: bytes) -> None:
    event = b'\xef\xbb\xbf: hello\nid:4\nevent: x\ndata:{"seq":4,\ndata:"invalidate":{"object":"4","time":1}}\n\n'

    class Pieces(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for byte in event.replace(b"\n", end):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            await reader.read()

    async with following(Pieces("log")) as (_, got):
        await until(lambda: got)
        assert [one.object for one in got] == ["4"]


@run
async def test_an_answer_of_the_change_log_that_nobody_thought_of_ends_no_proxy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(_: object) -> Any:
        raise RuntimeError("unthought of")

    async with following(log := ScriptedLog("log", list_event(4, False, c="leaving"))) as (_, got):
        with monkeypatch.context() as patched:
            patched.setattr("beechslip.platform.changelog.parse_event", broken)
            await until(lambda: len(log.seen) > 1)
        await until(lambda: got)


@run
async def test_events_received_when_the_log_moves_are_posted(monkeypatch: pytest.MonkeyPatch) -> None:
    feed = StreamReader.feed_data
    async with following(ScriptedLog("log", list_event(4, False, c="leaving"), b"")) as (one, got):

        def crossing(stream: StreamReader, data: bytes, *more: Any) -> Any:
            one.set_address(Address("127.0.0.1", 9))  # in the step in which the event is read; nobody is there
            return feed(stream, data, *more)

        monkeypatch.setattr(StreamReader, "feed_data", crossing)
        await until(lambda: got)
        assert got[0].backends[0].state == "draining"


@run
@pytest.mark.parametrize("number", [4, 9])
async def test_a_purge_in_an_event_that_is_requested_again_is_binding_though_the_log_ends_then(number: int) -> None:
    event = {"seq": number, "invalidate": {"object": "7f3a", "time": 1}}
    if number == 4:  # with a complete list that omits most backends
        event["fleet"] = {"index": 1, "snapshot": True, "endpoints": []}
    event_bytes = f"id: {number}\ndata: {json.dumps(event)}\n\n".encode()
    async with following(ScriptedLog("log", event_bytes, b"")) as (_, got):
        await until(lambda: got)
        assert got[0] == PurgeReceived("7f3a", 0, 1.0)
