"""Tests of endings while something is still pending: the overlap is forced, and what is pending must be settled.

``docs/design/endings.md`` lists the cases, with the tests in other files that force the rest.
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
from beechslip.descriptor_budget import DescriptorBudget
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
from tests.connection_helpers import GatedBackend, client, get_request_bytes, request_ids
from tests.test_program import ROOT, proxy_process

# Discovery ------------------------------------------------------------------------------------------


@run
async def test_new_settings_do_not_bring_a_draining_backend_back_into_use() -> None:
    async with InProcessProxy(*(backends := [FakeBackend("a"), FakeBackend("b")])) as stand:
        stand.engine.handle_message(EndpointListUpdate("changes", (backends[0].entry("draining"),)))
        stand.engine.handle_message(SettingsChanged(replace(stand.settings, max_attempts=3)))
        for n in range(8):
            assert (await stand.ask(target=f"/rpc/waveform/{n}"))[0] == 200
        assert not backends[0].seen and len(backends[1].seen) == 8


@run
async def test_idle_clients_that_use_up_the_descriptors_do_not_block_the_change_log(tmp_path: Path) -> None:
    descriptor_limit = 128
    async with proxy_process(tmp_path) as testbed:
        path = testbed.write_config()
        config = json.loads(path.read_text())
        config["limits"]["sockets"] = descriptor_limit
        path.write_text(json.dumps(config))
        process = await testbed.start(EDGE_CONFIG=str(path))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
        await testbed.wait_until_ready()
        await until(lambda: testbed.change_log.resumed_from)
        testbed.change_log.stop()
        await until(lambda: testbed.change_log.rejected)
        idle_connections = [
            await asyncio.open_connection("127.0.0.1", testbed.port) for _ in range(3 * descriptor_limit)
        ]
        try:
            assert (await fetch(testbed.port))[0] == 200
            stream_count = len(testbed.change_log.resumed_from)
            testbed.change_log.resume()
            await until(lambda: len(testbed.change_log.resumed_from) > stream_count)
            testbed.change_log.publish(
                2, fleet={"snapshot": False, "endpoints": [endpoint_entry(testbed.backends[0], "leaving")]}
            )
            while not testbed.backends[1].seen:
                assert (await fetch(testbed.port))[0] == 200
        finally:
            for _, writer in idle_connections:
                writer.transport.abort()
        assert (await testbed.terminate())[0] == 0


# Signals to the program -----------------------------------------------------------------------------


@run
@pytest.mark.parametrize("is_reloading", [False, True])
async def test_sigterm_serves_the_request_in_flight_and_refuses_waiting_and_half_read_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_reloading: bool
) -> None:
    monkeypatch.setattr(shutdown, "SERVE_AFTER_SIGTERM_S", 0.0)
    drained, drain = asyncio.Event(), HttpFront.drain
    monkeypatch.setattr(HttpFront, "drain", lambda front: (drain(front), drained.set()))
    async with proxy_process(tmp_path) as testbed:
        testbed.backends[:2] = [backend := GatedBackend("s")]
        async with listening(backend):
            env = {"EDGE_CONFIG": str(testbed.write_config())}
            proxy = Proxy(read_config(env))
            task = asyncio.create_task(proxy.run())
            await testbed.wait_until_ready()
            async with client(testbed.port) as busy, client(testbed.port) as slow, client(testbed.port) as silent:
                busy.send(get_request_bytes() + get_request_bytes())
                half_sent_request = get_request_bytes()
                slow.send(half_sent_request[:40])
                await until(lambda: backend.seen)
                if is_reloading:
                    testbed.change_log.address = f"127.0.0.1:{free_port()}"
                    testbed.write_config()
                    proxy.reload(env)
                proxy.stopping.set()
                await drained.wait()
                backend.gate.set()
                assert [await busy.read_status(), await busy.read_status()] == [200, 503]
                slow.send(half_sent_request[40:])
                assert await slow.read_status() == 503
                assert await silent.is_closed_by_server()
                await task


@run
async def test_sigterm_ends_a_program_that_still_waits_for_its_endpoint_list(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as testbed:
        await testbed.start(EDGE_CONFIG=str(testbed.write_config(has_known_events=False)))
        await until(lambda: testbed.change_log.resumed_from)
        exit_status, stderr = await testbed.terminate()
        assert exit_status == 0 and "before it serves" in stderr


@run
async def test_sighup_while_the_program_loads_causes_a_reload_once_it_has_loaded(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as testbed:
        path = testbed.write_config()
        text = path.read_bytes()
        path.unlink()
        os.mkfifo(path)
        process = await testbed.start(EDGE_CONFIG=str(path))
        loop = asyncio.get_running_loop()
        # This opens once the program reads its configuration.
        gate = await loop.run_in_executor(None, os.open, path, os.O_WRONLY)
        path.unlink()
        path.write_bytes(text)  # read again by the reload that the signal requests
        process.send_signal(signal.SIGHUP)
        os.write(gate, text)
        os.close(gate)
        await testbed.wait_until_ready()
        exit_status, stderr = await testbed.terminate()
        assert exit_status == 0 and "reloads=1" in stderr


@run
async def test_sighup_while_the_interpreter_starts_does_not_end_the_service_command(
    tmp_path: Path,
) -> None:
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(gate)!r}).read()\n")
    command_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    async with proxy_process(tmp_path) as testbed:
        env = testbed.env | {"EDGE_CONFIG": str(testbed.write_config()), "PYTHONPATH": str(tmp_path)}
        testbed.process = await asyncio.create_subprocess_exec(
            "sh", "-c", command_line, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        pipe = await asyncio.get_running_loop().run_in_executor(None, os.open, gate, os.O_WRONLY)
        testbed.process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await testbed.wait_until_ready()
        assert (await testbed.terminate())[0] == 0


@run
async def test_clients_that_retry_after_a_sigkill_are_served_by_the_next_process(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as testbed:
        path = str(testbed.write_config())
        first_process = await testbed.start(EDGE_CONFIG=path)
        await testbed.wait_until_ready()

        async def fetch_until_served() -> int:
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    return (await fetch(testbed.port))[0]
                await asyncio.sleep(0)

        first_process.kill()
        await first_process.wait()
        fetches = [asyncio.create_task(fetch_until_served()) for _ in range(8)]
        await testbed.start(EDGE_CONFIG=path)
        assert [await task for task in fetches] == [200] * 8
        assert (await testbed.terminate())[0] == 0


# A backend in slow start ----------------------------------------------------------------------------


class TimestampingBackend(FakeBackend):
    """A backend that records when requests arrive, on the test's clock."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        super().__init__(name)
        self.clock, self.request_times_ms = clock, list[float]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                await read_message(reader)
                self.request_times_ms.append(self.clock.now_ms())
                writer.write(OK)


@run
@pytest.mark.parametrize("count", [1, 2, 5, 20, 30])
async def test_many_proxies_together_do_not_send_a_backend_in_slow_start_more_than_its_capacity(
    count: int,
) -> None:
    """One of two backends restarts, and a burst of requests follows.

    In the slow start each proxy's share of the backend's capacity is less than one request, and each proxy has seen
    the warm backend take only a few requests.
    """
    specifics = SETTINGS["specifics"] | {"instancesByZone": [0, count]}
    settings = read_settings(SETTINGS | {"balancers": count, "specifics": specifics})
    clock, rng = ManualClock(), Random(count)
    restarted, warm = TimestampingBackend("a", clock), TimestampingBackend("b", clock)
    responses: list[FinalResponse] = []
    response_sink: Any = SimpleNamespace(answer=responses.append, has_client_departed=False)
    sizes = [3200.0 * rng.lognormvariate(-0.7, 1.2) for _ in range(300)]
    weights = [1.0 / (n + 1) for n in range(300)]
    async with listening(restarted, warm):
        proxies = []
        for n in range(count):
            client = BackendClient(settings, DescriptorBudget(90), clock, Counters())
            engine = Engine(settings, Router(settings, n), clock, client, Counters())
            engine.handle_message(EndpointListUpdate("all", (restarted.entry(), warm.entry())))
            proxies.append((engine, client, asyncio.create_task(engine.run())))

        async def send_requests(seconds: float, rate: float) -> None:
            end_ms = clock.now_ms() + seconds * 1000.0
            while (delay_ms := rng.expovariate(rate) * 1000.0) + clock.now_ms() < end_ms:
                clock.advance(delay_ms)
                engine, client, _ = rng.choice(proxies)
                object_number, response_count = rng.choices(range(300), weights)[0], len(responses)
                engine.post(
                    RequestReceived(
                        ClientRequest(
                            f"{next(request_ids):016x}",
                            "waveform",
                            f"{object_number}",
                            size_kb=sizes[object_number],
                            wait_ms=6000.0,
                            arrived_ms=clock.now_ms(),
                        ),
                        client,
                        response_sink,
                    )
                )
                await until(lambda: len(responses) > response_count)  # noqa: B023

        rate = 0.3 * count
        await send_requests(20.0, rate)
        restarted_ms = clock.now_ms()
        for engine, _, _ in proxies:
            engine.post(EndpointListUpdate("changes", (restarted.entry(started_ms=restarted_ms),)))
        restarted.request_times_ms.clear()
        await send_requests(settings.slow_start_time, 3.0 * rate)
        for _, client, task in proxies:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await client.close()
    warm_rate = rate / 2.0 / 0.8  # requests per second when warm: the load before the restart was eight tenths of it
    for window_start_ms in restarted.request_times_ms:
        capacity_fraction = (
            settings.slow_start_share
            + (1.0 - settings.slow_start_share) * (window_start_ms - restarted_ms) / 1000.0 / settings.slow_start_time
        )
        max_requests = settings.overload_multiple * warm_rate * min(capacity_fraction, 1.0) * settings.overload_window
        request_count = sum(
            window_start_ms <= received_ms < window_start_ms + settings.overload_window * 1000.0
            for received_ms in restarted.request_times_ms
        )
        assert request_count <= max_requests + 2.0 * max_requests**0.5 + 2.0
    assert restarted.request_times_ms  # the backend is not starved either
