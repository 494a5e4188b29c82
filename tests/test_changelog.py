"""The change log's reader on real sockets, with logs that end, repeat, skip events, fall silent or can't be read."""

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
from beechslip.platform.changelog import ChangeLogReader
from lab.stand import HANG, RESET, FakeBackend, listening, read_message, run, until


class ScriptedChangeLog(FakeBackend):
    """A change log whose script holds one complete stream per connection."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.seen.append(await read_message(reader))
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        writer.write(head + (self.script.pop(0) if len(self.script) > 1 else self.script[0]))
        writer.close()


def purge_event(seq: int) -> bytes:
    return b'id: %d\ndata: {"seq":%d,"invalidate":{"object":"%d","time":1}}\n\n' % (seq, seq, seq)


def complete_list_event(seq: int, *names: str) -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:9", "status": "active"} for name in names]
    event = {"seq": seq, "fleet": {"index": 1, "snapshot": True, "endpoints": entries}}
    return f"id: {seq}\ndata: {json.dumps(event)}\n\n".encode()


def list_event(seq: int, snapshot: bool, **states: str) -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:9", "status": status} for name, status in states.items()]
    event = {"seq": seq, "fleet": {"index": 1, "snapshot": snapshot, "endpoints": entries}}
    return f"id: {seq}\ndata: {json.dumps(event)}\n\n".encode()


@contextlib.asynccontextmanager
async def running_reader(fake_log: FakeBackend) -> AsyncIterator[tuple[ChangeLogReader, list[Any]]]:
    """Run a change log reader that has reached 3 and knows three backends. Yield it and what it posts."""
    posted: list[Any] = []
    async with listening(fake_log):
        host, port = fake_log.address.split(":")
        known = [EndpointListUpdate("remembered", tuple(Backend(name, "127.0.0.1:9") for name in "abc"))]
        reader = ChangeLogReader(Address(host, int(port)), 3, posted.append, Counters(), known)
        task = asyncio.create_task(reader.run())
        try:
            yield reader, posted
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


@run
async def test_reader_resumes_after_stream_ends_and_posts_each_event_once() -> None:
    def event(seq: int) -> bytes:
        return b'id: %d\ndata: {"seq":%d,"invalidate":{"bucket":%d,"time":9}}\n\n' % (seq, seq, seq)

    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    fake_log = FakeBackend("log", head + event(4) + event(5) + RESET, head + event(5) + event(6))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fake_log.seen.append(await read_message(reader))
        writer.write(fake_log.script.pop(0) if fake_log.script else head)
        if fake_log.script:
            writer.close()

    fake_log.serve = serve  # type: ignore[method-assign]
    posted: list[Any] = []
    async with listening(fake_log):
        host, port = fake_log.address.split(":")
        task = asyncio.create_task(ChangeLogReader(Address(host, int(port)), 3, posted.append, Counters()).run())
        await until(lambda: len(posted) == 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [update.group for update in posted] == [4, 5, 6]
    assert [fields["Last-Event-ID"] for _, fields, _ in fake_log.seen] == ["3", "5"]


@run
async def test_reader_reconnects_to_silent_change_log(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.platform.changelog.SILENCE_TIMEOUT_S", 0.01)
    fake_log = FakeBackend("log", HANG)
    async with listening(fake_log):
        host, port = fake_log.address.split(":")
        task = asyncio.create_task(ChangeLogReader(Address(host, int(port)), 3, lambda _: None, Counters()).run())
        await until(lambda: len(fake_log.seen) > 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@run
@pytest.mark.parametrize(
    ("streams", "expected", "requested_after"),
    [
        # The stream breaks off partway through an event.
        (
            [purge_event(4) + purge_event(5)[:30], purge_event(5)],
            "45",
            ["3", "4"],
        ),
        ([purge_event(4) * 2 + purge_event(5), b""], "45", ["3", "5"]),  # the stream sends events twice
        # A gap: events are requested again, and the updates after it are binding at once.
        (
            [purge_event(5), purge_event(4) + purge_event(5)],
            "54",
            ["3", "3"],
        ),
        ([purge_event(5), purge_event(5) + purge_event(6)], "56", ["3", "3"]),  # a gap that remains is accepted
        ([b"id: 4\ndata: {\n\n" + purge_event(5)] * 2, "5", ["3", "3"]),  # unreadable twice: the event is skipped
    ],
)
async def test_reader_posts_each_event_once_from_broken_repeating_or_gapped_streams(
    streams: list[bytes], expected: str, requested_after: list[str]
) -> None:
    fake_log, posted = ScriptedChangeLog("log", *streams, b""), list[Any]()
    async with listening(fake_log):
        host, port = fake_log.address.split(":")
        task = asyncio.create_task(ChangeLogReader(Address(host, int(port)), 3, posted.append, Counters()).run())
        await until(lambda: len(fake_log.seen) > len(streams))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert "".join(update.object for update in posted) == expected
    assert [fields["Last-Event-ID"] for _, fields, _ in fake_log.seen][:2] == requested_after


@run
@pytest.mark.parametrize(
    ("streams", "expected"),
    [
        # Shortened once: never applied.
        (
            [complete_list_event(4, "a"), complete_list_event(4, *"abcd") + purge_event(5)],
            ["abcd", "5"],
        ),
        # Repeated: accepted.
        (
            [complete_list_event(4, "a"), complete_list_event(4, "a") + purge_event(5)],
            ["a", "5"],
        ),
        # Can't be requested again: applied before the drain grace is over.
        (
            [complete_list_event(4, "a"), b""],
            ["a"],
        ),
        ([complete_list_event(4, *"abd"), b""], ["abd"]),  # most backends are still listed
        # The stream sends the list twice.
        (
            [complete_list_event(4, *"abcd") * 2 + purge_event(5), b""],
            ["abcd", "5"],
        ),
    ],
)
async def test_reader_requests_complete_list_again_that_omits_most_backends(
    streams: list[bytes], expected: list[str]
) -> None:
    fake_log, posted, counters = ScriptedChangeLog("log", *streams, b""), list[Any](), Counters()
    known = [EndpointListUpdate("remembered", tuple(Backend(name, "127.0.0.1:9") for name in "abcd"))]
    async with listening(fake_log):
        host, port = fake_log.address.split(":")
        task = asyncio.create_task(ChangeLogReader(Address(host, int(port)), 3, posted.append, counters, known).run())
        await until(lambda: len(posted) == len(expected))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [
        "".join(d.name for d in update.backends) if isinstance(update, EndpointListUpdate) else update.object
        for update in posted
    ] == expected
    assert ("changelog.doubtful" in counters.format_line()) == (streams[0] == complete_list_event(4, "a"))


@run
@pytest.mark.parametrize(
    "event",
    [
        list_event(9, True, a="active", b="active", c="leaving"),  # a complete list after a gap
        list_event(9, False, c="leaving"),  # a list of changes after a gap
        list_event(4, True, c="leaving"),  # a complete list that omits most backends
    ],
)
async def test_drain_in_event_requested_again_is_posted_although_the_log_ends(event: bytes) -> None:
    async with running_reader(ScriptedChangeLog("log", event, b"")) as (_, posted):
        await until(lambda: posted)
        assert posted[0] == EndpointListUpdate("changes", (Backend("c", "127.0.0.1:9", state="draining"),))


@run
async def test_older_event_does_not_undo_drain_of_a_later_event() -> None:
    repeated = list_event(4, False, c="active") + list_event(5, False, c="leaving") + list_event(6, False, c="active")
    async with running_reader(ScriptedChangeLog("log", list_event(5, False, c="leaving"), repeated, b"")) as (
        _,
        posted,
    ):
        await until(lambda: len(posted) == 4)
        assert [update.backends[0].state for update in posted] == ["draining", "draining", "draining", "ready"]


@run
@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"])
async def test_reader_reconnects_if_stream_is_silent_from_the_start_and_posts_missed_drain(
    monkeypatch: pytest.MonkeyPatch, head: bytes
) -> None:
    monkeypatch.setattr("beechslip.platform.changelog.SILENCE_TIMEOUT_S", 0.05)

    class SilentChangeLog(ScriptedChangeLog):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if self.seen:
                await super().serve(reader, writer)
                return
            self.seen.append(await read_message(reader))
            writer.write(head)
            await reader.read()  # open until the reader leaves

    async with running_reader(fake_log := SilentChangeLog("log", list_event(4, False, c="leaving"))) as (_, posted):
        await until(lambda: posted)
        assert posted[0].backends[0].state == "draining"
        assert [fields["Last-Event-ID"] for _, fields, _ in fake_log.seen[:2]] == ["3", "3"]


@run
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
async def test_reader_parses_bytewise_events_with_any_line_end(end: bytes) -> None:
    event = b'\xef\xbb\xbf: hello\nid:4\nevent: x\ndata:{"seq":4,\ndata:"invalidate":{"object":"4","time":1}}\n\n'

    class BytewiseChangeLog(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for byte in event.replace(b"\n", end):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            await reader.read()

    async with running_reader(BytewiseChangeLog("log")) as (_, posted):
        await until(lambda: posted)
        assert [update.object for update in posted] == ["4"]


@run
async def test_reader_continues_after_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_unexpected_error(_: object) -> Any:
        raise RuntimeError("unexpected response")

    async with running_reader(fake_log := ScriptedChangeLog("log", list_event(4, False, c="leaving"))) as (_, posted):
        with monkeypatch.context() as patched:
            patched.setattr("beechslip.platform.changelog.parse_server_sent_event", raise_unexpected_error)
            await until(lambda: len(fake_log.seen) > 1)
        await until(lambda: posted)


@run
async def test_events_received_as_the_log_moves_are_posted(monkeypatch: pytest.MonkeyPatch) -> None:
    original_feed_data = StreamReader.feed_data
    async with running_reader(ScriptedChangeLog("log", list_event(4, False, c="leaving"), b"")) as (reader, posted):

        def move_log_then_feed(stream: StreamReader, data: bytes, *more: Any) -> Any:
            # The log moves in the step in which the event is read. Nothing listens at the new address.
            reader.set_address(Address("127.0.0.1", 9))
            return original_feed_data(stream, data, *more)

        monkeypatch.setattr(StreamReader, "feed_data", move_log_then_feed)
        await until(lambda: posted)
        assert posted[0].backends[0].state == "draining"


@run
@pytest.mark.parametrize("number", [4, 9])
async def test_purge_in_event_requested_again_is_posted_although_the_log_ends(number: int) -> None:
    event = {"seq": number, "invalidate": {"object": "7f3a", "time": 1}}
    if number == 4:  # with a complete list that omits most backends
        event["fleet"] = {"index": 1, "snapshot": True, "endpoints": []}
    event_bytes = f"id: {number}\ndata: {json.dumps(event)}\n\n".encode()
    async with running_reader(ScriptedChangeLog("log", event_bytes, b"")) as (_, posted):
        await until(lambda: posted)
        assert posted[0] == PurgeReceived("7f3a", 0, 1.0)
