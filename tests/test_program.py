"""The program as it is started in service, spoken to over sockets."""

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

ROOT = Path(__file__).resolve().parent.parent


class Program:
    """The world round one proxy, and the proxy as a process."""

    def __init__(self, folder: Path, kind: type[FakeBackend] = FakeBackend) -> None:
        self.folder, self.port, self.log = folder, free_port(), FakeChangeLog()
        self.backends = [
            kind("a"),
            kind("b"),
            kind("hub", kind="parent", zone="north"),
            kind("archive", kind="origin", zone="north"),
        ]
        self.process: asyncio.subprocess.Process | None = None
        self.env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}

    def write_config(self, known: bool = True) -> Path:
        fleet = {"index": 1, "snapshot": True, "endpoints": [endpoint_entry(backend) for backend in self.backends]}
        path = self.folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n3",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": self.log.address,
                    "known": {"seq": int(known), "results": [{"seq": 1, "fleet": fleet}] if known else []},
                    "settings": SETTINGS,
                }
            )
        )
        return path

    async def start(self, *words: str, **variables: str) -> asyncio.subprocess.Process:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beechslip",
            *words,
            cwd=ROOT,
            env=self.env | variables,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        return self.process

    async def ready(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await fetch(self.port, "/health"))[0] == 200:
                    return
            await asyncio.sleep(0.02)

    async def end(self) -> tuple[int | None, str]:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        _, said = await self.process.communicate()
        return self.process.returncode, said.decode()


@contextlib.asynccontextmanager
async def program(folder: Path, kind: type[FakeBackend] = FakeBackend) -> AsyncIterator[Program]:
    one = Program(folder, kind)
    server = await asyncio.start_server(one.log.serve, "127.0.0.1", 0)
    one.log.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with listening(*one.backends):
        try:
            yield one
        finally:
            if one.process is not None and one.process.returncode is None:
                one.process.kill()
                await one.process.communicate()  # read, as a full pipe would keep its end from being seen
            server.close()


@run
async def test_it_serves_follows_the_change_log_and_ends_with_its_counters(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        await one.start(EDGE_CONFIG=str(one.write_config()))
        await one.ready()
        assert (await fetch(one.port))[2] == b"waves"
        assert (await fetch(one.port, "/rpc/pick-submit/9c", "PUT", b"pick", Req_Token="5c"))[0] == 200
        assert (await fetch(one.port, "/rpc/none/9c"))[0] == 404
        first = next(backend for backend in one.backends if backend.seen)
        one.log.publish(2, fleet={"snapshot": False, "endpoints": [endpoint_entry(first, "leaving")]})
        other = one.backends[1 - one.backends.index(first)]
        while not other.seen:
            assert (await fetch(one.port))[2] == b"waves"
        count = len(first.seen)
        assert (await fetch(one.port))[2] == b"waves" and len(first.seen) == count
        code, said = await one.end()
        assert code == 0 and one.log.resumed_from[0] == "1"
        counters = dict(word.split("=") for word in said.splitlines()[-1].split() if "=" in word)
        assert counters["bad_request"] == "1" and counters["answered.served"] == counters["taken"]


@run
async def test_sigterm_lets_it_take_and_answer_what_still_comes(tmp_path: Path) -> None:
    released = asyncio.Event()

    class Slow(FakeBackend):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.seen.append(await read_message(reader))
            await released.wait()
            writer.write(OK)

    async with program(tmp_path) as one:
        one.backends[:2] = []
        one.backends += [Slow("s")]
        async with listening(one.backends[-1]):
            process = await one.start(EDGE_CONFIG=str(one.write_config()))
            await one.ready()
            before = asyncio.create_task(fetch(one.port))
            await until(lambda: one.backends[-1].seen)
            process.send_signal(signal.SIGTERM)
            after = asyncio.create_task(fetch(one.port))
            await until(lambda: len(one.backends[-1].seen) == 2)
            assert process.returncode is None
            released.set()
            assert [(await before)[2], (await after)[2]] == [b"waves", b"waves"]
            assert (await process.communicate())[1] and process.returncode == 0


@run
async def test_it_does_not_end_before_all_is_answered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "LINGER_S", 0.0)
    monkeypatch.setattr(front, "CLOSE_S", 0.2)
    async with program(tmp_path) as one:
        for backend in one.backends:
            backend.script = [HANG]
        this = Proxy(read_config({"EDGE_CONFIG": str(one.write_config())}))
        task = asyncio.create_task(this.run())
        await one.ready()
        asked = asyncio.create_task(fetch(one.port, wait_ms=1000))
        await until(lambda: any(backend.seen for backend in one.backends))
        this.stopping.set()
        assert (await asked)[0] in (503, 504)  # its own deadline ends it, not the program's end
        await task


@run
@pytest.mark.parametrize("unreadable", [False, True])
async def test_health_waits_for_the_list(tmp_path: Path, unreadable: bool) -> None:
    async with program(tmp_path) as one:
        path = one.write_config(known=False)
        if unreadable:  # an event that can't be read ends no start: the log is asked for it
            contents = json.loads(path.read_text())
            bad = {"seq": 1, "fleet": {"snapshot": True, "endpoints": [{}]}}
            contents["known"] = {"seq": 1, "results": [bad]}
            path.write_text(json.dumps(contents))
        await one.start(EDGE_CONFIG=str(path))
        await until(lambda: one.log.resumed_from)
        assert one.log.resumed_from == ["0"]
        with pytest.raises(OSError):
            await fetch(one.port, "/health")
        one.log.publish(
            1, fleet={"snapshot": True, "endpoints": [endpoint_entry(backend) for backend in one.backends]}
        )
        await one.ready()
        assert (await fetch(one.port))[0] == 200
        code, said = await one.end()
        assert code == 0 and ("changelog.unreadable=1" in said) == unreadable


@run
async def test_sighup_moves_to_the_new_change_log_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        process = await one.start(EDGE_CONFIG=str(one.write_config()))
        await one.ready()

        async def said(what: bytes) -> None:
            while what not in await process.stderr.readline():  # type: ignore[union-attr]
                assert process.returncode is None

        new, old = FakeChangeLog(), one.log
        server = await asyncio.start_server(new.serve, "127.0.0.1", 0)
        new.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        await said(b"is not used")
        old.publish(2, fleet={"snapshot": False, "endpoints": [endpoint_entry(one.backends[0], "leaving")]})
        await said(b"a 127.0.0.1")
        one.log = new
        one.write_config()
        process.send_signal(signal.SIGHUP)
        new.publish(3, fleet={"snapshot": False, "endpoints": [endpoint_entry(one.backends[1], "leaving")]})
        await said(b"b 127.0.0.1")
        assert (old.resumed_from, new.resumed_from) == (["1"], ["2"])  # from the number reached
        code, last = await one.end()
        assert code == 0 and "reloads=1" in last
        server.close()


@run
async def test_counters_are_printed_on_request(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        process = await one.start(EDGE_CONFIG=str(one.write_config()))
        await one.ready()
        await fetch(one.port)
        process.send_signal(signal.SIGUSR1)
        assert process.stderr is not None
        said = b""
        while b"counters " not in said:
            said = await process.stderr.readline()
        assert b" taken=1" in said and process.returncode is None


@run
@pytest.mark.parametrize("text", [None, "{", "[]", '{"settings":{}}', '{"settings":{},"listen":"x:y"}'])
async def test_a_bad_configuration_is_reported(tmp_path: Path, text: str | None) -> None:
    one, path = Program(tmp_path), tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = await one.start(EDGE_CONFIG=str(path))
    assert (await process.communicate())[1].count(b"\n") == 1 and process.returncode == 2


@run
async def test_the_dns_front_listens_where_its_file_says(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        port = free_port()
        (tmp_path / "dns.toml").write_text(f'enabled = true\nzone = "z."\nlisten = "127.0.0.1:{port}"\n')
        await one.start(EDGE_CONFIG=str(one.write_config()), EDGE_DNS=str(tmp_path / "dns.toml"))
        await one.ready()
        query = dns.message.make_query("7f3a.waveform.z.", "SRV")
        answer = await dns.asyncquery.udp(query, "127.0.0.1", port=port, timeout=10)
        record: Any = answer.answer[0][0]
        assert f"127.0.0.1:{record.port}" in [backend.address for backend in one.backends[:2]]


@run
async def test_the_agent_runs_restarts_and_shuts_down_a_declared_instance(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        url = f"sqlite:///{tmp_path}/store.db"
        config = one.write_config()
        adding = await one.start("--store", url, "instance", "add", "n3", "--config", str(config))
        assert (await adding.communicate(), adding.returncode) == ((b"", b""), 0)
        await one.start("--store", url, "agent")
        store = open_store(url)

        async def reach(state: str, restarts: int) -> int:
            while True:
                found = store.get("n3")
                if found is not None and (found.state, found.restarts) == (state, restarts):
                    return found.pid
                await asyncio.sleep(0.02)

        pid = await reach("healthy", 0)
        assert (await fetch(one.port))[2] == b"waves"
        os.kill(pid, signal.SIGKILL)
        assert await reach("healthy", 1) != pid
        assert (await fetch(one.port))[2] == b"waves"
        store.want("n3", "drained")
        await reach("drained", 1)
        assert (await one.end())[0] == 0
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
async def test_a_proxy_does_not_outlive_an_agent_that_is_killed(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        url = f"sqlite:///{tmp_path}/store.db"
        store = open_store(url)
        store.add(Instance("n3", str(one.write_config())))
        agent = await one.start("--store", url, "agent")
        await one.ready()
        agent.kill()
        await agent.wait()
        with pytest.raises(OSError):
            while True:
                await fetch(one.port, "/health")
        store.close()


@run
async def test_three_proxies_with_shared_duties_divide_the_health_checks_among_them(tmp_path: Path) -> None:
    async with program(tmp_path) as first:
        ports = [free_port() for _ in range(3)]
        peers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        proxies = [first]
        for n in range(1, 3):
            other = Program(tmp_path / f"n{n}")
            other.folder.mkdir()
            other.backends, other.log = first.backends, first.log
            proxies.append(other)
        for n, one in enumerate(proxies):
            one.port = ports[n]
            fleet = one.folder / f"fleet{n}.toml"
            fleet.write_text(
                f'enabled = true\nname = "test"\nnumber = {n}\npeers = {json.dumps(peers)}\n'
                "[membership]\nperiod_ms = 200\n[duties]\nenabled = true\ninterval_ms = 400\n"
            )
            await one.start(EDGE_CONFIG=str(one.write_config()), EDGE_FLEET=str(fleet))
        for one in proxies:
            await one.ready()
        await asyncio.sleep(4.0)  # real processes on the system clock: a bounded wait, not a poll
        counts = []
        for one in proxies:
            code, said = await one.end()
            assert code == 0
            counts.append(dict(word.split("=") for word in said.splitlines()[-1].split() if "=" in word))
        done = [int(c.get("duties.done", 0)) for c in counts]
        assert all(int(c.get("fleet.received", 0)) > 0 for c in counts)
        assert all(int(c.get("probe.heard", 0)) > 0 for c in counts)  # others' probes reach each module
        boxes = len(first.backends)
        # Each box about once an interval in all, where every proxy probing every box would be three times.
        assert sum(done) < 2 * boxes * 4.0 / 0.4
        assert sum(done) > 0.5 * boxes * 4.0 / 0.4
