"""Paths that end something, each with the crossing forced: what is still pending in that instant is settled.

``docs/design/endings.md`` lists the paths, with the tests elsewhere that force the rest.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import tomllib
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from beechslip import shutdown
from beechslip.clock import ManualClock
from beechslip.config import read_config
from beechslip.core.engine import Engine
from beechslip.core.messages import EndpointListUpdate, RequestReceived, SettingsChanged
from beechslip.core.model import ClientRequest, FinalResponse
from beechslip.counters import Counters
from beechslip.platform.backends import BackendClient
from beechslip.platform.front import HttpFront
from beechslip.proxy import Proxy
from beechslip.routing import Router
from beechslip.routing.wire.settings import read_settings
from lab.stand import (
    OK,
    SETTINGS,
    FakeBackend,
    InProcessProxy,
    endpoint_entry,
    fetch,
    free_port,
    listening,
    read_message,
    run,
    until,
)
from tests.connection_helpers import Gated, client, command, request_ids
from tests.test_program import ROOT, program

# Discovery ------------------------------------------------------------------------------------------


@run
async def test_new_settings_bring_no_draining_backend_back() -> None:
    async with InProcessProxy(*(backends := [FakeBackend("a"), FakeBackend("b")])) as stand:
        stand.engine.step(EndpointListUpdate("changes", (backends[0].entry("draining"),)))
        stand.engine.step(SettingsChanged(replace(stand.settings, max_attempts=3)))
        for n in range(8):
            assert (await stand.ask(target=f"/rpc/waveform/{n}"))[0] == 200
        assert not backends[0].seen and len(backends[1].seen) == 8


@run
async def test_idle_clients_that_fill_the_descriptors_do_not_keep_discovery_away(tmp_path: Path) -> None:
    most = 128
    async with program(tmp_path) as one:
        path = one.write_config()
        config = json.loads(path.read_text())
        config["limits"]["sockets"] = most
        path.write_text(json.dumps(config))
        process = await one.start(EDGE_CONFIG=str(path))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (most, most))
        await one.ready()
        await until(lambda: one.log.resumed_from)
        one.log.stop()
        await until(lambda: one.log.rejected)
        idle = [await asyncio.open_connection("127.0.0.1", one.port) for _ in range(3 * most)]
        try:
            assert (await fetch(one.port))[0] == 200
            asked = len(one.log.resumed_from)
            one.log.resume()
            await until(lambda: len(one.log.resumed_from) > asked)
            one.log.publish(2, fleet={"snapshot": False, "endpoints": [endpoint_entry(one.backends[0], "leaving")]})
            while not one.backends[1].seen:
                assert (await fetch(one.port))[0] == 200
        finally:
            for _, writer in idle:
                writer.transport.abort()
        assert (await one.end())[0] == 0


# The program ends -----------------------------------------------------------------------------------


@run
@pytest.mark.parametrize("reloading", [False, True])
async def test_sigterm_with_requests_in_flight_waiting_and_half_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, reloading: bool
) -> None:
    monkeypatch.setattr(shutdown, "LINGER_S", 0.0)
    drained, drain = asyncio.Event(), HttpFront.drain
    monkeypatch.setattr(HttpFront, "drain", lambda front: (drain(front), drained.set()))
    async with program(tmp_path) as one:
        one.backends[:2] = [backend := Gated("s")]
        async with listening(backend):
            env = {"EDGE_CONFIG": str(one.write_config())}
            this = Proxy(read_config(env))
            task = asyncio.create_task(this.run())
            await one.ready()
            async with client(one.port) as busy, client(one.port) as slow, client(one.port) as silent:
                busy.send(command() + command())
                half = command()
                slow.send(half[:40])
                await until(lambda: backend.seen)
                if reloading:
                    one.log.address = f"127.0.0.1:{free_port()}"
                    one.write_config()
                    this.reload(env)
                this.stopping.set()
                await drained.wait()
                backend.gate.set()
                assert [await busy.status(), await busy.status()] == [200, 503]
                slow.send(half[40:])
                assert await slow.status() == 503
                assert await silent.ended()
                await task


@run
async def test_sigterm_ends_a_program_that_still_waits_for_its_list(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        await one.start(EDGE_CONFIG=str(one.write_config(known=False)))
        await until(lambda: one.log.resumed_from)
        code, said = await one.end()
        assert code == 0 and "before it serves" in said


@run
async def test_sighup_while_the_program_loads_is_heard_once_it_has(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        path = one.write_config()
        text = path.read_bytes()
        path.unlink()
        os.mkfifo(path)
        process = await one.start(EDGE_CONFIG=str(path))
        loop = asyncio.get_running_loop()
        gate = await loop.run_in_executor(None, os.open, path, os.O_WRONLY)  # it is reading its configuration now
        path.unlink()
        path.write_bytes(text)  # what it reads once more, as it is signalled to
        process.send_signal(signal.SIGHUP)
        os.write(gate, text)
        os.close(gate)
        await one.ready()
        code, said = await one.end()
        assert code == 0 and "reloads=1" in said


@run
async def test_sighup_while_the_interpreter_starts_does_not_end_the_command_that_runs_in_service(
    tmp_path: Path,
) -> None:
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(gate)!r}).read()\n")
    command_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    async with program(tmp_path) as one:
        env = one.env | {"EDGE_CONFIG": str(one.write_config()), "PYTHONPATH": str(tmp_path)}
        one.process = await asyncio.create_subprocess_exec(
            "sh", "-c", command_line, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        pipe = await asyncio.get_running_loop().run_in_executor(None, os.open, gate, os.O_WRONLY)
        one.process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await one.ready()
        assert (await one.end())[0] == 0


@run
async def test_clients_that_come_again_are_served_by_the_process_after_a_sigkill(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        path = str(one.write_config())
        first = await one.start(EDGE_CONFIG=path)
        await one.ready()

        async def again() -> int:
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    return (await fetch(one.port))[0]
                await asyncio.sleep(0)

        first.kill()
        await first.wait()
        asked = [asyncio.create_task(again()) for _ in range(8)]
        await one.start(EDGE_CONFIG=path)
        assert [await task for task in asked] == [200] * 8
        assert (await one.end())[0] == 0


# A backend in slow start -------------------------------------------------------------------------------------


class Metered(FakeBackend):
    """Notes by the test's clock when it is asked."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        super().__init__(name)
        self.clock, self.met = clock, list[float]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                await read_message(reader)
                self.met.append(self.clock.now_ms())
                writer.write(OK)


@run
@pytest.mark.parametrize("count", [1, 2, 5, 20, 30])
async def test_a_backend_in_slow_start_gets_no_more_than_its_capacity_from_many_processes_together(
    count: int,
) -> None:
    """Each is due less than one request, and sees the warm one bear a few; then one comes back under a burst."""
    facts = SETTINGS["specifics"] | {"instancesByZone": [0, count]}
    settings = read_settings(SETTINGS | {"balancers": count, "specifics": facts})
    clock, rng = ManualClock(), Random(count)
    starting, warm = Metered("a", clock), Metered("b", clock)
    answered: list[FinalResponse] = []
    response_sink: Any = SimpleNamespace(answer=answered.append, departed=False)
    sizes = [3200.0 * rng.lognormvariate(-0.7, 1.2) for _ in range(300)]
    weights = [1.0 / (n + 1) for n in range(300)]
    async with listening(starting, warm):
        parts = []
        for n in range(count):
            client = BackendClient(settings, 90, clock, Counters())
            engine = Engine(settings, Router(settings, n), clock, client, Counters())
            engine.step(EndpointListUpdate("all", (starting.entry(), warm.entry())))
            parts.append((engine, client, asyncio.create_task(engine.run())))

        async def play(seconds: float, rate: float) -> None:
            end = clock.now_ms() + seconds * 1000.0
            while (wait := rng.expovariate(rate) * 1000.0) + clock.now_ms() < end:
                clock.advance(wait)
                engine, client, _ = rng.choice(parts)
                which, done = rng.choices(range(300), weights)[0], len(answered)
                engine.post(
                    RequestReceived(
                        ClientRequest(
                            f"{next(request_ids):016x}",
                            "waveform",
                            f"{which}",
                            size_kb=sizes[which],
                            wait_ms=6000.0,
                            arrived_ms=clock.now_ms(),
                        ),
                        client,
                        response_sink,
                    )
                )
                await until(lambda: len(answered) > done)  # noqa: B023

        rate = 0.3 * count
        await play(20.0, rate)
        began = clock.now_ms()
        for engine, _, _ in parts:
            engine.post(EndpointListUpdate("changes", (starting.entry(started_ms=began),)))
        starting.met.clear()
        await play(settings.slow_start_time, 3.0 * rate)
        for _, client, task in parts:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await client.close()
    bears = rate / 2.0 / 0.8  # requests a second when warm: it had been loaded to eight tenths
    for start in starting.met:
        now = (
            settings.slow_start_share
            + (1.0 - settings.slow_start_share) * (start - began) / 1000.0 / settings.slow_start_time
        )
        budget = settings.overload_multiple * bears * min(now, 1.0) * settings.overload_window
        met = sum(start <= at < start + settings.overload_window * 1000.0 for at in starting.met)
        assert met <= budget + 2.0 * budget**0.5 + 2.0
    assert starting.met  # it is not starved either
