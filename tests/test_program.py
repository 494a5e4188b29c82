"""Tests of whole proxy processes over sockets, started as in production."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import dns.asyncquery
import dns.message
import pytest

from beechslip import shutdown
from beechslip.config import read_config
from beechslip.platform import front
from beechslip.proxy import Proxy
from beechslip.store import Instance, open_store
from lab.stand import (
    HANG,
    OK,
    SETTINGS,
    FakeBackend,
    FakeChangeLog,
    endpoint_entry,
    fetch,
    free_port,
    listening,
    read_message,
    run,
    until,
)
from lab.stream_server import serving

ROOT = Path(__file__).resolve().parent.parent


class ProxyProcess:
    """A proxy process, and the backends and the change log that it uses."""

    def __init__(self, folder: Path, backend_type: type[FakeBackend] = FakeBackend) -> None:
        self.folder, self.port, self.change_log = folder, free_port(), FakeChangeLog()
        self.backends = [
            backend_type("a"),
            backend_type("b"),
            backend_type("hub", kind="parent", zone="north"),
            backend_type("archive", kind="origin", zone="north"),
        ]
        self.settings = SETTINGS
        self.process: asyncio.subprocess.Process | None = None
        self.env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}

    def write_config(self, has_known_events: bool = True) -> Path:
        fleet = {"index": 1, "snapshot": True, "endpoints": [endpoint_entry(backend) for backend in self.backends]}
        path = self.folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n3",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": self.change_log.address,
                    "known": {
                        "seq": int(has_known_events),
                        "results": [{"seq": 1, "fleet": fleet}] if has_known_events else [],
                    },
                    "settings": self.settings,
                }
            )
        )
        return path

    async def start(self, *arguments: str, **environment: str) -> asyncio.subprocess.Process:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beechslip",
            *arguments,
            cwd=ROOT,
            env=self.env | environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        return self.process

    async def wait_until_ready(self) -> None:
        """Wait until /health responds with 200."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await fetch(self.port, "/health"))[0] == 200:
                    return
            await asyncio.sleep(0.02)

    async def terminate(self) -> tuple[int | None, str]:
        """Send SIGTERM and return the exit code and the text on standard error."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        _, stderr_bytes = await self.process.communicate()
        return self.process.returncode, stderr_bytes.decode()


@contextlib.asynccontextmanager
async def proxy_process(folder: Path, backend_type: type[FakeBackend] = FakeBackend) -> AsyncIterator[ProxyProcess]:
    """Run the backends and the change log of a ``ProxyProcess``, which the caller starts; kill it at the end."""
    proxy = ProxyProcess(folder, backend_type)
    async with serving(proxy.change_log.serve) as log_server, listening(*proxy.backends):
        proxy.change_log.address = log_server.address
        try:
            yield proxy
        finally:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.process.kill()
                await proxy.process.communicate()  # reads the pipes: a full one would hide the end of the process


@run
async def test_proxy_serves_follows_the_change_log_and_logs_its_counters_at_exit(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()
        assert (await fetch(proxy.port))[2] == b"waves"
        assert (await fetch(proxy.port, "/rpc/pick-submit/9c", "PUT", b"pick", Req_Token="5c"))[0] == 200
        assert (await fetch(proxy.port, "/rpc/none/9c"))[0] == 404
        leaving = next(backend for backend in proxy.backends if backend.seen)
        proxy.change_log.publish(2, fleet={"snapshot": False, "endpoints": [endpoint_entry(leaving, "leaving")]})
        other = proxy.backends[1 - proxy.backends.index(leaving)]
        while not other.seen:
            assert (await fetch(proxy.port))[2] == b"waves"
        seen_before = len(leaving.seen)
        assert (await fetch(proxy.port))[2] == b"waves" and len(leaving.seen) == seen_before
        code, stderr_text = await proxy.terminate()
        assert code == 0 and proxy.change_log.resumed_from[0] == "1"
        counters = dict(word.split("=") for word in stderr_text.splitlines()[-1].split() if "=" in word)
        assert counters["bad_request"] == "1" and counters["answered.served"] == counters["taken"]


@run
async def test_proxy_answers_requests_that_arrive_after_sigterm(tmp_path: Path) -> None:
    release = asyncio.Event()

    class BlockingBackend(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            await release.wait()
            writer.write(OK)

    async with proxy_process(tmp_path) as proxy:
        proxy.backends[:2] = []
        proxy.backends += [BlockingBackend("s")]
        async with listening(proxy.backends[-1]):
            process = await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
            await proxy.wait_until_ready()
            before_sigterm = asyncio.create_task(fetch(proxy.port))
            await until(lambda: proxy.backends[-1].seen)
            process.send_signal(signal.SIGTERM)
            after_sigterm = asyncio.create_task(fetch(proxy.port))
            await until(lambda: len(proxy.backends[-1].seen) == 2)
            assert process.returncode is None
            release.set()
            assert [(await before_sigterm)[2], (await after_sigterm)[2]] == [b"waves", b"waves"]
            assert (await process.communicate())[1] and process.returncode == 0


@run
async def test_proxy_answers_all_requests_before_it_exits(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "SERVE_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(front, "CLOSE_TIMEOUT_S", 0.2)
    async with proxy_process(tmp_path) as proxy:
        for backend in proxy.backends:
            backend.script = [HANG]
        in_process = Proxy(read_config({"EDGE_CONFIG": str(proxy.write_config())}))
        task = asyncio.create_task(in_process.run())
        await proxy.wait_until_ready()
        response = asyncio.create_task(fetch(proxy.port, wait_ms=1000))
        await until(lambda: any(backend.seen for backend in proxy.backends))
        in_process.stopping.set()
        assert (await response)[0] in (503, 504)  # ended by the deadline of the request, not by the exit of the proxy
        await task


@run
@pytest.mark.parametrize("unreadable", [False, True])
async def test_health_responds_only_once_the_endpoint_list_is_known(tmp_path: Path, unreadable: bool) -> None:
    async with proxy_process(tmp_path) as proxy:
        path = proxy.write_config(has_known_events=False)
        if unreadable:  # one unreadable event must not prevent the start: it is requested from the change log
            contents = json.loads(path.read_text())
            bad = {"seq": 1, "fleet": {"snapshot": True, "endpoints": [{}]}}
            contents["known"] = {"seq": 1, "results": [bad]}
            path.write_text(json.dumps(contents))
        await proxy.start(EDGE_CONFIG=str(path))
        await until(lambda: proxy.change_log.resumed_from)
        assert proxy.change_log.resumed_from == ["0"]
        with pytest.raises(OSError):
            await fetch(proxy.port, "/health")
        proxy.change_log.publish(
            1, fleet={"snapshot": True, "endpoints": [endpoint_entry(backend) for backend in proxy.backends]}
        )
        await proxy.wait_until_ready()
        assert (await fetch(proxy.port))[0] == 200
        code, stderr_text = await proxy.terminate()
        assert code == 0 and ("changelog.unreadable=1" in stderr_text) == unreadable


@run
async def test_sighup_switches_to_the_new_change_log_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    new_log = FakeChangeLog()
    async with proxy_process(tmp_path) as proxy, serving(new_log.serve) as new_log_server:
        process = await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()

        async def wait_for_log(text: bytes) -> None:
            while text not in await process.stderr.readline():  # type: ignore[union-attr]
                assert process.returncode is None

        old_log, new_log.address = proxy.change_log, new_log_server.address
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        await wait_for_log(b"new configuration rejected")
        old_log.publish(2, fleet={"snapshot": False, "endpoints": [endpoint_entry(proxy.backends[0], "leaving")]})
        await wait_for_log(b"a 127.0.0.1")
        proxy.change_log = new_log
        proxy.write_config()
        process.send_signal(signal.SIGHUP)
        new_log.publish(3, fleet={"snapshot": False, "endpoints": [endpoint_entry(proxy.backends[1], "leaving")]})
        await wait_for_log(b"b 127.0.0.1")
        # The new change log is read from the last event of the old one on.
        assert (old_log.resumed_from, new_log.resumed_from) == (["1"], ["2"])
        code, stderr_text = await proxy.terminate()
        assert code == 0 and "reloads=1" in stderr_text


@run
async def test_sigusr1_logs_the_counters(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        process = await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()
        await fetch(proxy.port)
        process.send_signal(signal.SIGUSR1)
        assert process.stderr is not None
        line_read = b""
        while b"counters " not in line_read:
            line_read = await process.stderr.readline()
        assert b" taken=1" in line_read and process.returncode is None


@run
@pytest.mark.parametrize("text", [None, "{", "[]", '{"settings":{}}', '{"settings":{},"listen":"x:y"}'])
async def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text: str | None) -> None:
    proxy, path = ProxyProcess(tmp_path), tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = await proxy.start(EDGE_CONFIG=str(path))
    assert (await process.communicate())[1].count(b"\n") == 1 and process.returncode == 2


@run
async def test_dns_front_listens_on_the_address_in_its_file(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        port = free_port()
        (tmp_path / "dns.toml").write_text(f'enabled = true\nzone = "z."\nlisten = "127.0.0.1:{port}"\n')
        await proxy.start(EDGE_CONFIG=str(proxy.write_config()), EDGE_DNS=str(tmp_path / "dns.toml"))
        await proxy.wait_until_ready()
        query = dns.message.make_query("7f3a.waveform.z.", "SRV")
        answer = await dns.asyncquery.udp(query, "127.0.0.1", port=port, timeout=10)
        record: Any = answer.answer[0][0]
        assert f"127.0.0.1:{record.port}" in [backend.address for backend in proxy.backends[:2]]


@run
async def test_agent_starts_restarts_and_drains_a_declared_instance(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        url = f"sqlite:///{tmp_path}/store.db"
        config = proxy.write_config()
        add_command = await proxy.start("--store", url, "instance", "add", "n3", "--config", str(config))
        assert (await add_command.communicate(), add_command.returncode) == ((b"", b""), 0)
        await proxy.start("--store", url, "agent")
        store = open_store(url)

        async def wait_for_state(state: str, restarts: int) -> int:
            while True:
                instance = store.get("n3")
                if instance is not None and (instance.state, instance.restarts) == (state, restarts):
                    return instance.pid
                await asyncio.sleep(0.02)

        pid = await wait_for_state("healthy", 0)
        assert (await fetch(proxy.port))[2] == b"waves"
        os.kill(pid, signal.SIGKILL)
        assert await wait_for_state("healthy", 1) != pid
        assert (await fetch(proxy.port))[2] == b"waves"
        store.set_wanted("n3", "drained")
        await wait_for_state("drained", 1)
        assert (await proxy.terminate())[0] == 0
        assert [event.kind for event in store.events("n3")] == [
            "declared",
            "started",
            "healthy",
            "exited",
            "restarted",
            "healthy",
            "draining",
            "drained",
        ]
        store.close()


@run
async def test_proxy_exits_when_its_agent_is_killed(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        url = f"sqlite:///{tmp_path}/store.db"
        store = open_store(url)
        store.add(Instance("n3", str(proxy.write_config())))
        agent = await proxy.start("--store", url, "agent")
        await proxy.wait_until_ready()
        agent.kill()
        await agent.wait()
        with pytest.raises(OSError):
            while True:
                await fetch(proxy.port, "/health")
        store.close()


@run
async def test_three_proxies_with_duties_share_the_health_checks(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as first:
        ports = [free_port() for _ in range(3)]
        peers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        proxies = [first]
        for n in range(1, 3):
            other = ProxyProcess(tmp_path / f"n{n}")
            other.folder.mkdir()
            other.backends, other.change_log = first.backends, first.change_log
            proxies.append(other)
        for n, proxy in enumerate(proxies):
            proxy.port = ports[n]
            fleet = proxy.folder / f"fleet{n}.toml"
            fleet.write_text(
                f'enabled = true\nname = "test"\nnumber = {n}\npeers = {json.dumps(peers)}\n'
                "[membership]\nperiod_ms = 200\n[duties]\nenabled = true\ninterval_ms = 400\n"
            )
            await proxy.start(EDGE_CONFIG=str(proxy.write_config()), EDGE_FLEET=str(fleet))
        for proxy in proxies:
            await proxy.wait_until_ready()
        # These are real processes on the system clock, counted over a fixed time. There is no condition to poll for.
        await asyncio.sleep(4.0)
        counters_by_proxy = []
        for proxy in proxies:
            code, stderr_text = await proxy.terminate()
            assert code == 0
            counters_by_proxy.append(
                dict(word.split("=") for word in stderr_text.splitlines()[-1].split() if "=" in word)
            )
        checks_done = [int(counters.get("duties.done", 0)) for counters in counters_by_proxy]
        assert all(int(counters.get("fleet.received", 0)) > 0 for counters in counters_by_proxy)
        # Each router receives results of health checks that other proxies made.
        assert all(int(counters.get("probe.heard", 0)) > 0 for counters in counters_by_proxy)
        backend_count = len(first.backends)
        # All proxies together check each backend about once per interval. Without sharing it would be three times.
        assert sum(checks_done) < 2 * backend_count * 4.0 / 0.4
        assert sum(checks_done) > 0.5 * backend_count * 4.0 / 0.4
