"""The operators' newest terms, tested at their limits on real processes (rows of ``docs/terms-audit.md``)."""

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
from tests.connection_helpers import GatedBackend, client, connections, get_request_bytes
from tests.test_program import ROOT, ProxyProcess, proxy_process
from tests.test_record import proxy_with_sent_log, submit_keyed_request
from tests.test_rules import ERROR_RESPONSE, ScriptedRouter

FAULTS = ROOT / "lab" / "faults"
SLACK_MS = 150.0  # tolerance for the deadline that is passed to a server


class HangingBackend(FakeBackend):
    """Accepts connections and requests, answers nothing while it hangs, and records when each request came."""

    def __init__(self, name: str, **how: str) -> None:
        super().__init__(name, **how)
        self.is_hanging = False
        self.request_times: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                self.seen.append(await read_message(reader))
                self.request_times.append(time.monotonic())
                if self.is_hanging:
                    await reader.read()
                    return
                writer.write(
                    ok_response(self.seen[-1][0])
                )  # equal bytes for two objects would look like a second copy


class FaultyProxy:
    """A proxy process whose system calls and clock fail as specified in a file."""

    def __init__(self, proxy_program: ProxyProcess, path: Path, faults: dict[str, Any]) -> None:
        self.proxy_process, self._path = proxy_program, path
        self.env = {"PYTHONPATH": str(FAULTS), "LAB_FAULTS": str(path)}
        self._path.write_text(json.dumps(faults))

    async def set_faults(self, **faults: Any) -> None:
        """Replace the faults that are in effect."""
        self._path.write_text(json.dumps(faults))
        assert self.proxy_process.process is not None
        self.proxy_process.process.send_signal(signal.SIGUSR2)
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def start_faulty_proxy(
    folder: Path, deadline_s: float = 0.0, early: dict[str, Any] | None = None
) -> AsyncIterator[FaultyProxy]:
    """Start a proxy with two caches that may hang, a hub and an archive; ``early`` are faults from its start on."""
    async with proxy_process(folder, HangingBackend) as proxy_program:
        path = proxy_program.write_config()
        config = json.loads(path.read_text())
        for rule in config["settings"]["classes"]:
            rule["giveUp"] = deadline_s or rule["giveUp"]
        path.write_text(json.dumps(config))
        proxy = FaultyProxy(proxy_program, folder / "faults.json", early or {})
        await proxy_program.start(EDGE_CONFIG=str(path), **proxy.env)
        await proxy_program.wait_until_ready()
        yield proxy


async def fetch_timed(port: int, **how: Any) -> tuple[int, float]:
    """Send a request; return its status and after how many ms it was answered."""
    began = time.monotonic()
    status, _, _ = await fetch(port, **how)
    return status, (time.monotonic() - began) * 1000.0


# Steps of the wall clock -------------------------------------------------------------------------------


@run
@pytest.mark.parametrize("step_ms", [-5_000, -3_600_000, 3_600_000])
async def test_backend_that_was_hanging_is_used_again_after_a_step_of_the_wall_clock(
    tmp_path: Path, step_ms: float
) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        hung_backend: Any = proxy.proxy_process.backends[0]
        port = proxy.proxy_process.port

        async def ask(number: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await fetch(port, f"/rpc/waveform/{number}", wait_ms=1500)

        tasks = [asyncio.create_task(ask(n)) for n in range(20)]
        await asyncio.gather(*tasks)
        hung_backend.is_hanging = True
        until_s = time.monotonic() + 3.0
        number = 20
        while time.monotonic() < until_s:
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await proxy.set_faults(clock_ms=step_ms)
        hung_backend.is_hanging, recovered_at = False, time.monotonic()
        requests_before = len([n for n in hung_backend.seen if n[0].startswith("GET /data")])
        while len([n for n in hung_backend.seen if n[0].startswith("GET /data")]) == requests_before:
            assert time.monotonic() - recovered_at < 8.0
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)


# System calls that fail briefly ----------------------------------------------------------------------------


@run
@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO"])
async def test_request_is_answered_in_time_if_accept_fails_briefly(tmp_path: Path, name: str) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        await proxy.set_faults(accept={"errno": name, "for_ms": 250})
        status, took_ms = await fetch_timed(proxy.proxy_process.port, wait_ms=800)
        assert status == 200 and took_ms < 500


# The deadline passed to backends ------------------------------------------------------------------------------------


@run
async def test_backend_gets_no_more_time_than_the_client_has_left(tmp_path: Path) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        await proxy.set_faults(connect_ms=350)
        began = time.monotonic()
        assert (await fetch(proxy.proxy_process.port, wait_ms=800))[0] == 200
        backend: Any = next(backend for backend in proxy.proxy_process.backends if backend.seen)
        left_ms = 800 - (backend.request_times[0] - began) * 1000.0
        assert float(backend.seen[0][1]["X-Patience"]) <= left_ms + SLACK_MS


# Time and purges before an attempt is written -----------------------------------------------------------------


# Guards against a process that was stopped while it waited for events and ignores that its clients' time went on.
@run
@pytest.mark.parametrize("stopped_s", [0.25, 0.6, 1.5])
async def test_stopped_process_forwards_no_more_time_than_the_client_has_left(
    tmp_path: Path, stopped_s: float
) -> None:
    async with start_faulty_proxy(tmp_path) as proxy, client(proxy.proxy_process.port) as raw_client:
        raw_client.send(get_request_bytes(wait_ms=4000))
        await raw_client.reader.readuntil(b"waveform/7f3a")
        process = proxy.proxy_process.process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        raw_client.send(get_request_bytes("/rpc/waveform/8a4b", wait_ms=4000))
        await asyncio.sleep(stopped_s)
        process.send_signal(signal.SIGCONT)
        backends = proxy.proxy_process.backends
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
async def test_attempt_waiting_for_its_connection_respects_a_purge_received_meanwhile(
    purge: PurgeReceived,
) -> None:
    async with InProcessProxy(
        FakeBackend("a"), FakeBackend("b"), FakeBackend("hub", kind="parent", zone="north")
    ) as stand:
        original_dial, may_dial = stand.client._pool._dial, asyncio.Event()

        async def delayed_dial(key: Any) -> Any:
            await may_dial.wait()
            return await original_dial(key)

        stand.client._pool._dial = delayed_dial  # type: ignore[method-assign]
        asked = stand.ask(X_Set="17")
        await until(lambda: stand.counters["sent"])
        stand.clock.advance(200)
        stand.engine.post(replace(purge, time_ms=stand.clock.now_ms()))
        await until(lambda: stand.counters["purges"])
        stand.clock.advance(1_100)
        may_dial.set()
        assert (await asked)[0] == 200
        (message,) = (backend.seen[0] for backend in stand.backends if backend.seen)
        assert 0 < float(message[1]["X-Age-Cap"]) <= 1_100


# SIGKILL as early as the documents allow -------------------------------------------------------------------


@run
@pytest.mark.parametrize("deadline_s", [0.3, 1.0, 6.0])
async def test_all_requests_are_answered_before_the_earliest_sigkill_while_backends_hang(
    tmp_path: Path, deadline_s: float
) -> None:
    async with start_faulty_proxy(tmp_path, deadline_s) as proxy:
        for backend in proxy.proxy_process.backends:
            backend.is_hanging = True  # type: ignore[attr-defined]
        process, port = proxy.proxy_process.process, proxy.proxy_process.port
        assert process is not None
        unanswered: list[str] = []

        async def client(number: int) -> None:
            """Send requests on an open connection until it ends."""
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
                    if time.monotonic() - asked > 0.05:  # a request sent up to 50 ms before a close is repeated
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
        exit_task = asyncio.create_task(process.communicate())
        kill_s = min(deadline_s, 3.0) + 0.7
        await asyncio.wait([exit_task], timeout=kill_s - (time.monotonic() - began))
        was_killed = process.returncode is None
        if was_killed:
            process.kill()
        await exit_task
        await asyncio.wait(clients, timeout=1.0)
        assert not unanswered
        assert not was_killed and process.returncode == 0


# Departed clients ------------------------------------------------------------------------------------------


@run
async def test_client_that_closes_with_unread_requests_gets_no_further_attempt() -> None:
    async with InProcessProxy(backend := GatedBackend("a"), module=ScriptedRouter("a")) as stand:
        async with client(stand.port) as raw_client:
            raw_client.send(b"".join(get_request_bytes(f"/rpc/waveform/{n:0200}") for n in range(4_000)))
            await until(lambda: backend.seen)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.1)
        backend.gate.set()
        await asyncio.sleep(0.3)
        assert len(backend.seen) == 1


@run
async def test_client_that_disconnects_before_the_first_byte_is_written_gets_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with InProcessProxy(backend := FakeBackend("a"), module=ScriptedRouter("a")) as stand:
        full = asyncio.Event()

        def send(sock: RetryingSocket, data: bytes, flags: int = 0) -> int:
            if data.startswith(b"GET /data"):
                full.set()
                raise BlockingIOError
            return socket.socket.send(sock, data, flags)

        monkeypatch.setattr(RetryingSocket, "send", send)
        async with client(stand.port) as raw_client:
            raw_client.send(get_request_bytes())
            await full.wait()
            (connection,) = connections(stand)
        await until(lambda: connection.is_closed_by_client)
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
async def test_request_is_served_if_a_system_call_fails_briefly(tmp_path: Path, call: str, name: str) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        await proxy.set_faults(**{call: {"errno": name, "for_ms": 250}})
        status, took_ms = await fetch_timed(proxy.proxy_process.port, wait_ms=800)
        assert status == 200 and took_ms < 700
        for n in range(12):  # the failure does not count against a backend
            assert (await fetch(proxy.proxy_process.port, f"/rpc/waveform/{n}"))[0] == 200
        assert proxy.proxy_process.backends[0].seen and proxy.proxy_process.backends[1].seen


@run
async def test_short_reads_and_writes_are_completed(tmp_path: Path) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        await proxy.set_faults(short=3)
        assert (await fetch(proxy.proxy_process.port))[2] == b"GET /data/waveform/7f3a/0 HTTP/1.1"


@run
async def test_proxy_starts_if_descriptors_are_briefly_exhausted(tmp_path: Path) -> None:
    async with start_faulty_proxy(tmp_path, early={"socket": {"errno": "ENFILE", "for_ms": 600}}) as proxy:
        assert (await fetch(proxy.proxy_process.port))[0] == 200


@run
async def test_new_configuration_is_loaded_although_its_file_briefly_cannot_be_opened(tmp_path: Path) -> None:
    async with start_faulty_proxy(tmp_path) as proxy:
        config = json.loads((tmp_path / "config.json").read_text())
        config["settings"]["classes"].append(config["settings"]["classes"][0] | {"name": "spectrum"})
        for name in ("goesThrough", "maxAge", "staleFor"):
            config["settings"]["specifics"][name].append(config["settings"]["specifics"][name][0])
        (tmp_path / "config.json").write_text(json.dumps(config))
        await proxy.set_faults(open={"errno": "ENFILE", "for_ms": 400})
        assert proxy.proxy_process.process is not None
        proxy.proxy_process.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.0)  # clients use the new class from 1.2 s after SIGHUP
        assert (await fetch(proxy.proxy_process.port, "/rpc/spectrum/1"))[0] == 200


# What the engine enforces whatever the router module decides ---------------------------------------------------


@run
@pytest.mark.parametrize(("token", "status", "executed"), [("5c", 503, 2), ("", 502, 1)])
async def test_keyed_request_without_a_key_is_neither_repeated_nor_rejected_after_it_may_have_run(
    token: str, status: int, executed: int
) -> None:
    class RejectingRouter(ScriptedRouter):
        def next_actions(self, request: str, wait: float) -> list[i.Action]:
            return super().next_actions(request, wait) if self.remaining_backends[request] else [i.Refuse(request)]

    async with InProcessProxy(
        FakeBackend("a", ERROR_RESPONSE), FakeBackend("b", ERROR_RESPONSE), module=RejectingRouter("a", "b")
    ) as stand:
        answer = await stand.ask(target="/rpc/pick-submit/9c", method="PUT", body=b"pick", Req_Token=token)
        assert (answer[0], sum(len(backend.seen) for backend in stand.backends)) == (status, executed)


@run
async def test_client_that_expects_100_continue_gets_it() -> None:
    async with (
        InProcessProxy(backend := FakeBackend("a"), module=ScriptedRouter("a")) as stand,
        client(stand.port) as raw_client,
    ):
        raw_client.send(
            get_request_bytes("/rpc/pick-submit/9c").replace(b"GET", b"PUT", 1)[:-2]
            + b"Req-Token: 5c\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
        )
        assert (await raw_client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        raw_client.send(b"pick")
        assert await raw_client.read_status() == 200 and backend.seen[0][2] == b"pick"


@run
async def test_sent_request_log_survives_a_step_of_the_wall_clock(tmp_path: Path) -> None:
    async with proxy_with_sent_log(f"sqlite:///{tmp_path}/store.db", OK) as (stand, _):
        assert (await submit_keyed_request(stand))[0] == 200
        stand.clock.advance(8_000)
        stand.clock.step_ms = 7_200_000.0
        record: Any = stand.engine.services.sent_log
        record._pruned_ms = -1e9  # old rows are due for removal
        assert (await submit_keyed_request(stand, "6d"))[0] == 200
        assert (await submit_keyed_request(stand))[0] == 502  # its repeat window is over


# Discovery --------------------------------------------------------------------------------------------------
