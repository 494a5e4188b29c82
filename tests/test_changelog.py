"""The change log's reader on real sockets, with logs that end, repeat, skip events, fall silent or can't be read."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from beechslip.config import Address
from beechslip.core.messages import EndpointListUpdate, PurgeReceived
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.platform.changelog import ChangeLogReader
from beechslip.platform.event_stream import EventStream
from beechslip.platform.watch_calls import MAX_CALLS
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


def set_silence_timeout(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    monkeypatch.setattr("beechslip.platform.watch_calls.SILENCE_TIMEOUT_S", seconds)
    monkeypatch.setattr("beechslip.platform.watch_calls.CONNECT_TIMEOUT_S", seconds)


@run
async def test_reader_reconnects_to_silent_change_log(monkeypatch: pytest.MonkeyPatch) -> None:
    set_silence_timeout(monkeypatch, 0.01)
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
    set_silence_timeout(monkeypatch, 0.05)

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
    original_data_received = EventStream.data_received
    async with running_reader(ScriptedChangeLog("log", list_event(4, False, c="leaving"), b"")) as (reader, posted):

        def move_log_then_receive(stream: EventStream, data: bytes) -> None:
            # The log moves in the step in which the event is read. Nothing listens at the new address.
            reader.set_address(Address("127.0.0.1", 9))
            original_data_received(stream, data)

        monkeypatch.setattr(EventStream, "data_received", move_log_then_receive)
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


SILENCE_S = 0.1  # the reader's silence timeout in the tests of slow logs
SLOW_S = 3.5 * SILENCE_S  # time after which a slow log responds to a call


class SlowChangeLog(FakeBackend):
    """A change log that responds to each call only after it has waited for ``delays_s``, one entry for each call."""

    def __init__(self, *delays_s: float) -> None:
        super().__init__("log")
        self.delays_s = list(delays_s)  # the last entry is used for all further calls
        self.most_open = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.seen.append(await read_message(reader))
        self.connections += 1
        self.most_open = max(self.most_open, self.connections)
        delay_s = self.delays_s.pop(0) if len(self.delays_s) > 1 else self.delays_s[0]
        with contextlib.suppress(TimeoutError, ConnectionError):
            await asyncio.wait_for(reader.read(), delay_s)  # ends early if the reader leaves
            self.connections -= 1
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + purge_event(4))
        await reader.read()
        self.connections -= 1


@run
@pytest.mark.parametrize(
    "delays_s",
    [
        (SLOW_S,),
        (1000.0, SLOW_S),  # the connection of the first call is dead
        (1000.0, 1000.0, 1000.0, SLOW_S),
        (3.0 * SLOW_S, *[1000.0] * 50),  # slower than the time for which the later calls are kept
    ],
)
async def test_reader_hears_a_log_that_responds_later_than_its_silence_timeout(
    monkeypatch: pytest.MonkeyPatch, delays_s: tuple[float, ...]
) -> None:
    """Guards against a reader that gives each call up before its turn, and never hears a slow log."""
    set_silence_timeout(monkeypatch, SILENCE_S)
    async with running_reader(fake_log := SlowChangeLog(*delays_s)) as (_, posted):
        await until(lambda: posted)
        assert posted == [PurgeReceived("4", 0, 1.0)]
        await until(lambda: fake_log.connections == 1)  # the other calls have been ended
        assert fake_log.most_open <= MAX_CALLS


@run
async def test_reader_hears_a_log_whose_connections_come_up_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reader that gives each connection up before it comes up."""
    set_silence_timeout(monkeypatch, SILENCE_S)
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def connect_late(*arguments: Any) -> None:
        await asyncio.sleep(SLOW_S)
        await connect(*arguments)

    monkeypatch.setattr(loop, "sock_connect", connect_late)
    async with running_reader(fake_log := SlowChangeLog(0.0)) as (_, posted):
        await until(lambda: posted)
        await until(lambda: fake_log.connections == 1)
        assert fake_log.most_open <= MAX_CALLS


@run
async def test_reader_bounds_its_calls_to_a_log_that_never_responds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that pile up at a log that hangs, and against one that is kept for ever."""
    set_silence_timeout(monkeypatch, 0.02)
    monkeypatch.setattr("beechslip.platform.watch_calls.CALL_TIMEOUT_S", 0.3)
    async with running_reader(fake_log := SlowChangeLog(1000.0)) as (reader, _):
        await until(lambda: len(fake_log.seen) >= 10 * MAX_CALLS)
        assert fake_log.most_open <= MAX_CALLS + 1  # the log may see a call end only after the next has begun
        reader.set_address(Address("127.0.0.1", 9))
        await until(lambda: fake_log.connections == 0)


@run
async def test_reader_keeps_a_silent_stream_while_it_calls_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against losing a stream that a crowded log goes on with before it responds to another call."""
    set_silence_timeout(monkeypatch, SILENCE_S)

    class StallingChangeLog(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            if len(self.seen) == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + purge_event(4))
                await asyncio.sleep(SLOW_S)
                writer.write(purge_event(5))
            await reader.read()

    async with running_reader(fake_log := StallingChangeLog("log")) as (_, posted):
        await until(lambda: len(posted) == 2)
        assert [update.object for update in posted] == ["4", "5"]
        assert [fields["Last-Event-ID"] for _, fields, _ in fake_log.seen[:2]] == ["3", "4"]
