"""The operators' newest terms, played at their extremes on real processes (rows of ``docs/terms-audit.md``)."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
import signal
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from beechslip.core.messages import PurgeReceived
from beechslip.platform.sockets import RetryingSocket
from beechslip.routing import interface as i
from lab.service_soak import ok_response
from lab.stand import OK, FakeBackend, InProcessProxy, fetch, read_message, run, until
from tests.connection_helpers import Gated, client, command, connections
from tests.test_program import ROOT, Program, program
from tests.test_record import stage, submit
from tests.test_rules import ERROR, Plan

FAULTS = ROOT / "lab" / "faults"
SLACK_MS = 150.0  # of the deadline passed to a server


class HangingBackend(FakeBackend):
    """Takes connections and requests, and answers nothing while it hangs; notes when each request came."""

    def __init__(self, name: str, **how: str) -> None:
        super().__init__(name, **how)
        self.hangs = False
        self.came: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                self.seen.append(await read_message(reader))
                self.came.append(time.monotonic())
                if self.hangs:
                    await reader.read()
                    return
                writer.write(ok_response(self.seen[-1][0]))  # equal bytes of other objects look like a second copy


class Faulty:
    """A proxy process whose system calls and clock fail as specified."""

    def __init__(self, world: Program, path: Path, faults: dict[str, Any]) -> None:
        self.world, self._path = world, path
        self.env = {"PYTHONPATH": str(FAULTS), "LAB_FAULTS": str(path)}
        self._path.write_text(json.dumps(faults))

    async def play(self, **faults: Any) -> None:
        """These faults hold from now on, and no others."""
        self._path.write_text(json.dumps(faults))
        assert self.world.process is not None
        self.world.process.send_signal(signal.SIGUSR2)
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def faulty(folder: Path, deadline_s: float = 0.0, early: dict[str, Any] | None = None) -> AsyncIterator[Faulty]:
    """A proxy before two caches that may hang, a hub and an archive; ``early``: faults from its start on."""
    async with program(folder, HangingBackend) as world:
        path = world.write_config()
        config = json.loads(path.read_text())
        for rule in config["settings"]["classes"]:
            rule["giveUp"] = deadline_s or rule["giveUp"]
        path.write_text(json.dumps(config))
        one = Faulty(world, folder / "faults.json", early or {})
        await world.start(EDGE_CONFIG=str(path), **one.env)
        await world.ready()
        yield one


async def timed(port: int, **how: Any) -> tuple[int, float]:
    """A request's status, and after how many ms it was answered."""
    began = time.monotonic()
    status, _, _ = await fetch(port, **how)
    return status, (time.monotonic() - began) * 1000.0


# The wall clock is stepped -------------------------------------------------------------------------------


@run
@pytest.mark.parametrize("step_ms", [-5_000, -3_600_000, 3_600_000])
async def test_a_backend_that_had_hung_is_retried_after_a_step_of_the_wall_clock(
    tmp_path: Path, step_ms: float
) -> None:
    async with faulty(tmp_path) as one:
        hung: Any = one.world.backends[0]
        port = one.world.port

        async def ask(number: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await fetch(port, f"/rpc/waveform/{number}", wait_ms=1500)

        tasks = [asyncio.create_task(ask(n)) for n in range(20)]
        await asyncio.gather(*tasks)
        hung.hangs = True
        until_ms = time.monotonic() + 3.0
        number = 20
        while time.monotonic() < until_ms:
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await one.play(clock_ms=step_ms)
        hung.hangs, back = False, time.monotonic()
        met = len([n for n in hung.seen if n[0].startswith("GET /data")])
        while len([n for n in hung.seen if n[0].startswith("GET /data")]) == met:
            assert time.monotonic() - back < 8.0
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)


# System calls fail for a moment ----------------------------------------------------------------------------


@run
@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO"])
async def test_a_request_is_answered_in_its_time_when_accept_fails_for_a_moment(tmp_path: Path, name: str) -> None:
    async with faulty(tmp_path) as one:
        await one.play(accept={"errno": name, "for_ms": 250})
        status, took_ms = await timed(one.world.port, wait_ms=800)
        assert status == 200 and took_ms < 500


# The deadline passed on ------------------------------------------------------------------------------------


@run
async def test_a_backend_gets_no_more_time_than_the_client_has_left(tmp_path: Path) -> None:
    async with faulty(tmp_path) as one:
        await one.play(connect_ms=350)
        began = time.monotonic()
        assert (await fetch(one.world.port, wait_ms=800))[0] == 200
        backend: Any = next(backend for backend in one.world.backends if backend.seen)
        left_ms = 800 - (backend.came[0] - began) * 1000.0
        assert float(backend.seen[0][1]["X-Patience"]) <= left_ms + SLACK_MS


# A purge is received before an attempt is written -----------------------------------------------------------------


# Guards against a process that was stopped while it waited for events: its clients' time had run on.
@run
@pytest.mark.parametrize("stopped_s", [0.25, 0.6, 1.5])
async def test_a_stopped_process_passes_on_no_more_time_than_the_client_has_left(
    tmp_path: Path, stopped_s: float
) -> None:
    async with faulty(tmp_path) as one, client(one.world.port) as there:
        there.send(command(wait_ms=4000))
        await there.reader.readuntil(b"waveform/7f3a")
        process = one.world.process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        there.send(command("/rpc/waveform/8a4b", wait_ms=4000))
        await asyncio.sleep(stopped_s)
        process.send_signal(signal.SIGCONT)
        backends = one.world.backends
        target = "/data/waveform/8a4b/0"
        await until(lambda: any(target in first for backend in backends for first, _, _ in backend.seen))
        (patience_ms,) = (
            float(fields["X-Patience"])
            for backend in backends
            for first, fields, _ in backend.seen
            if target in first
        )
        assert patience_ms <= 4000.0 - stopped_s * 1000.0 + SLACK_MS


@run
@pytest.mark.parametrize("purge", [PurgeReceived("7f3a", 0, 0.0), PurgeReceived("", 17, 0.0)])
async def test_an_attempt_that_waits_for_its_connection_respects_a_purge_received_meanwhile(
    purge: PurgeReceived,
) -> None:
    async with InProcessProxy(
        FakeBackend("a"), FakeBackend("b"), FakeBackend("hub", kind="parent", zone="north")
    ) as stand:
        dialled, dial = stand.client._pool._dial, asyncio.Event()

        async def late(key: Any) -> Any:
            await dial.wait()
            return await dialled(key)

        stand.client._pool._dial = late  # type: ignore[method-assign]
        asked = stand.ask(X_Set="17")
        await until(lambda: stand.counters["sent"])
        stand.clock.advance(200)
        stand.engine.post(replace(purge, time_ms=stand.clock.now_ms()))
        await until(lambda: stand.counters["purges"])
        stand.clock.advance(1_100)
        dial.set()
        assert (await asked)[0] == 200
        (message,) = (backend.seen[0] for backend in stand.backends if backend.seen)
        assert 0 < float(message[1]["X-Age-Cap"]) <= 1_100


# SIGKILL comes as early as the page allows -------------------------------------------------------------------


@run
@pytest.mark.parametrize("deadline_s", [0.3, 1.0, 6.0])
async def test_all_is_answered_before_the_earliest_sigkill_while_backends_hang(
    tmp_path: Path, deadline_s: float
) -> None:
    async with faulty(tmp_path, deadline_s) as one:
        for backend in one.world.backends:
            backend.hangs = True  # type: ignore[attr-defined]
        process, port = one.world.process, one.world.port
        assert process is not None
        unanswered: list[str] = []

        async def client(number: int) -> None:
            """Goes on sending on its open connection to the end."""
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while True:
                asked = time.monotonic()
                writer.write(
                    f"GET /rpc/waveform/{number} HTTP/1.1\r\nHost: x\r\nReq-Id: {secrets.token_hex(8)}\r\n"
                    f"Req-Wait-Ms: {int(deadline_s * 1000)}\r\n\r\n".encode()
                )
                try:
                    await read_message(reader)
                except (asyncio.IncompleteReadError, ConnectionError):
                    if time.monotonic() - asked > 0.05:  # a request that crosses a close within 50 ms is sent again
                        unanswered.append(f"{number}: sent {asked - began:.3f} s after SIGTERM")
                    return
                await asyncio.sleep(random.uniform(0.0, 0.1))

        began = time.monotonic()
        clients = [asyncio.create_task(client(n)) for n in range(12)]
        await asyncio.sleep(0.1)
        began = time.monotonic()
        for name in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(name)
        clients += [asyncio.create_task(client(n)) for n in range(12, 18)]
        ending = asyncio.create_task(process.communicate())
        kill_s = min(deadline_s, 3.0) + 0.7
        await asyncio.wait([ending], timeout=kill_s - (time.monotonic() - began))
        killed = process.returncode is None
        if killed:
            process.kill()
        await ending
        await asyncio.wait(clients, timeout=1.0)
        assert not unanswered
        assert not killed and process.returncode == 0


# A client has gone ------------------------------------------------------------------------------------------


@run
async def test_a_client_that_closes_behind_more_than_is_read_of_it_gets_no_further_attempt() -> None:
    async with InProcessProxy(backend := Gated("a"), module=Plan("a")) as stand:
        async with client(stand.port) as one:
            one.send(b"".join(command(f"/rpc/waveform/{n:0200}") for n in range(4_000)))
            await until(lambda: backend.seen)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.1)
        backend.gate.set()
        await asyncio.sleep(0.3)
        assert len(backend.seen) == 1


@run
async def test_a_client_that_disconnects_while_the_first_byte_can_not_be_written_gets_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=Plan("a")) as stand:
        full = asyncio.Event()

        def send(sock: RetryingSocket, data: bytes, flags: int = 0) -> int:
            if data.startswith(b"GET /data"):
                full.set()
                raise BlockingIOError
            return socket.socket.send(sock, data, flags)

        monkeypatch.setattr(RetryingSocket, "send", send)
        async with client(stand.port) as one:
            one.send(command())
            await full.wait()
            (connection,) = connections(stand)
        await until(lambda: connection.closed_by_client)
        monkeypatch.undo()
        await until(lambda: not stand.engine._requests)
        await asyncio.sleep(0.05)
        assert not backend.seen


# More system calls ------------------------------------------------------------------------------------------


@run
@pytest.mark.parametrize(
    ("call", "name"),
    [
        ("connect", "EADDRNOTAVAIL"),
        ("connect", "ENETUNREACH"),
        ("connect", "ECONNABORTED"),
        ("connect", "ENOBUFS"),
        ("socket", "ENFILE"),
        ("socket", "EMFILE"),
        ("send", "ENOBUFS"),
        ("recv", "ENOMEM"),
    ],
)
async def test_a_request_is_served_when_a_call_fails_for_a_moment(tmp_path: Path, call: str, name: str) -> None:
    async with faulty(tmp_path) as one:
        await one.play(**{call: {"errno": name, "for_ms": 250}})
        status, took_ms = await timed(one.world.port, wait_ms=800)
        assert status == 200 and took_ms < 700
        for n in range(12):  # no backend is blamed for it
            assert (await fetch(one.world.port, f"/rpc/waveform/{n}"))[0] == 200
        assert one.world.backends[0].seen and one.world.backends[1].seen


@run
async def test_reads_and_writes_may_be_short(tmp_path: Path) -> None:
    async with faulty(tmp_path) as one:
        await one.play(short=3)
        assert (await fetch(one.world.port))[2] == b"GET /data/waveform/7f3a/0 HTTP/1.1"


@run
async def test_a_proxy_starts_when_descriptors_are_short_for_a_moment(tmp_path: Path) -> None:
    async with faulty(tmp_path, early={"socket": {"errno": "ENFILE", "for_ms": 600}}) as one:
        assert (await fetch(one.world.port))[0] == 200


@run
async def test_a_new_configuration_is_taken_up_though_its_file_can_not_be_opened_for_a_moment(tmp_path: Path) -> None:
    async with faulty(tmp_path) as one:
        config = json.loads((tmp_path / "config.json").read_text())
        config["settings"]["classes"].append(config["settings"]["classes"][0] | {"name": "spectrum"})
        for name in ("goesThrough", "maxAge", "staleFor"):
            config["settings"]["specifics"][name].append(config["settings"]["specifics"][name][0])
        (tmp_path / "config.json").write_text(json.dumps(config))
        await one.play(open={"errno": "ENFILE", "for_ms": 400})
        assert one.world.process is not None
        one.world.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.0)  # clients name the new class 1.2 s after SIGHUP
        assert (await fetch(one.world.port, "/rpc/spectrum/1"))[0] == 200


# What the engine keeps whatever the module says ---------------------------------------------------------------


@run
@pytest.mark.parametrize(("token", "status", "executed"), [("5c", 503, 2), ("", 502, 1)])
async def test_a_keyed_request_without_a_key_is_not_repeated_and_not_refused_once_it_may_have_run(
    token: str, status: int, executed: int
) -> None:
    class Refuses(Plan):
        def next(self, request: str, wait: float) -> list[i.Action]:
            return super().next(request, wait) if self.left[request] else [i.Refuse(request)]

    async with InProcessProxy(FakeBackend("a", ERROR), FakeBackend("b", ERROR), module=Refuses("a", "b")) as stand:
        answer = await stand.ask(target="/rpc/pick-submit/9c", method="PUT", body=b"pick", Req_Token=token)
        assert (answer[0], sum(len(backend.seen) for backend in stand.backends)) == (status, executed)


@run
async def test_a_client_that_expects_100_continue_gets_it() -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=Plan("a")) as stand, client(stand.port) as one:
        one.send(
            command("/rpc/pick-submit/9c").replace(b"GET", b"PUT", 1)[:-2]
            + b"Req-Token: 5c\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
        )
        assert (await one.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        one.send(b"pick")
        assert await one.status() == 200 and backend.seen[0][2] == b"pick"


@run
async def test_the_log_of_requests_outlives_a_step_of_the_wall_clock(tmp_path: Path) -> None:
    async with stage(f"sqlite:///{tmp_path}/store.db", OK) as (stand, _):
        assert (await submit(stand))[0] == 200
        stand.clock.advance(8_000)
        stand.clock.step_ms = 7_200_000.0
        record: Any = stand.engine.services.sent_log
        record._pruned_ms = -1e9  # it is time to forget old rows
        assert (await submit(stand, "6d"))[0] == 200
        assert (await submit(stand))[0] == 502  # its window is over


# Discovery --------------------------------------------------------------------------------------------------
