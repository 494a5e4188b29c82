"""Where operators call: readiness, sending clients away, and the upgrade on an inherited socket."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import dns.asyncquery
import dns.message
import dns.rcode
import pytest

from beechslip.config import ConfigError, read_config
from lab.stand import HANG, SETTINGS, FakeBackend, InProcessProxy, fetch, read_message, run, until
from tests.test_program import ROOT, Program, endpoint_entry, free_port, program

READY = ("/v1/readyz", "GET")
DRAIN, ACTIVATE = ("/v1/doorman/drain", "POST"), ("/v1/doorman/activate", "POST")


_ids = itertools.count(1 << 62)


async def call(port: int, path: str, method: str) -> int:
    return (await fetch(port, path, method))[0]


async def asked_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
    """One request on a connection that stays open."""
    writer.write(
        b"GET /rpc/waveform/7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Wait-Ms: 900\r\n\r\n" % next(_ids)
    )
    return await read_message(reader)


@run
async def test_clients_are_diverted_and_readmitted() -> None:
    boxes = [FakeBackend("a"), FakeBackend("archive", kind="origin", zone="north")]
    async with InProcessProxy(*boxes) as stand:
        idle, early, late = [await asyncio.open_connection("127.0.0.1", stand.port) for _ in range(3)]
        for one in (idle, early, late):
            assert (await asked_on(*one))[0].split()[1] == "200"
        stand.front.divert_clients()
        assert (await fetch(stand.port, "/health"))[0] == 503 and not stand.front.ready
        # The front still sends new connections for a while: they are served, and may stay so long.
        answer = await asked_on(*early)
        assert answer[0].split()[1] == "200" and answer[1].get("Connection") != "close"
        assert (await stand.ask())[0] == 200
        boxes[0].script = [HANG]
        asked = asyncio.create_task(asked_on(*late))
        await until(lambda: stand.engine._requests)
        stand.clock.advance(500)
        for reader, _ in (idle, early):
            assert await reader.read() == b""  # nobody is held idle
        stand.clock.advance(500)  # what was open has its answer, and then its connection ends
        assert (await asked)[1]["Connection"] == "close" and await late[0].read() == b""
        stand.clock.advance(1000)
        status, fields, _ = await stand.ask()
        assert status == 503 and fields["Connection"] == "close" and "Srv-Wait-Ms" in fields
        stand.front.readmit_clients()
        boxes[0].script = [b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"]
        assert (await fetch(stand.port, "/health"))[0] == 200 and stand.front.ready
        for _, writer in (idle, early, late):
            writer.close()


@run
async def test_operators_are_answered_before_and_after_it_takes_clients(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        ops, names = free_port(), free_port()
        (tmp_path / "dns.toml").write_text(f'enabled = true\nzone = "z."\nlisten = "127.0.0.1:{names}"\n')
        await one.start(
            EDGE_CONFIG=str(one.write_config(known=False)),
            EDGE_OPS=f"127.0.0.1:{ops}",
            EDGE_DNS=str(tmp_path / "dns.toml"),
        )
        await until(lambda: one.log.resumed_from)
        silent = [await asyncio.open_connection("127.0.0.1", ops) for _ in range(40)]
        assert await call(ops, *READY) == 503  # no backends yet
        one.log.publish(
            1, fleet={"snapshot": True, "endpoints": [endpoint_entry(backend) for backend in one.backends]}
        )
        while await call(ops, *READY) != 200:
            await asyncio.sleep(0.01)
        assert (await fetch(one.port, "/health"))[0] == 200
        query = dns.message.make_query("7f3a.waveform.z.", "SRV")

        async def looked_up() -> dns.rcode.Rcode:
            return (await dns.asyncquery.udp(query, "127.0.0.1", port=names, timeout=10)).rcode()

        assert await looked_up() == dns.rcode.NOERROR
        assert [await call(ops, *what) for what in (DRAIN, READY)] == [200, 503]
        assert (await fetch(one.port, "/health"))[0] == 503
        assert await looked_up() == dns.rcode.SERVFAIL  # a drained proxy hands out no box either
        assert [await call(ops, *what) for what in (ACTIVATE, READY)] == [200, 200]
        assert (await fetch(one.port, "/health"))[0] == 200 and await looked_up() == dns.rcode.NOERROR
        assert [await call(ops, "/v1/readyz", "POST"), await call(ops, "/v1/none", "GET")] == [405, 404]
        for _, writer in silent:
            writer.close()
        assert (await one.end())[0] == 0


@run
async def test_an_upgrade_takes_over_on_the_inherited_socket_and_rejects_nobody(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        with socket.create_server(("127.0.0.1", one.port)) as inherited:
            path = one.write_config()

            async def start() -> tuple[asyncio.subprocess.Process, int]:
                ops = free_port()
                env = one.env | {
                    "EDGE_CONFIG": str(path),
                    "EDGE_FD": str(inherited.fileno()),
                    "EDGE_OPS": f"127.0.0.1:{ops}",
                }
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "beechslip",
                    cwd=ROOT,
                    env=env,
                    pass_fds=[inherited.fileno()],
                    stderr=asyncio.subprocess.DEVNULL,
                )
                while True:
                    try:
                        if await call(ops, *READY) == 200:
                            return process, ops
                    except (OSError, asyncio.IncompleteReadError):
                        assert process.returncode is None
                    await asyncio.sleep(0.02)

            old, _ = await start()
            client_streams = await asyncio.open_connection("127.0.0.1", one.port)
            assert (await asked_on(*client_streams))[2] == b"waves"
            new, _ = await start()
            try:
                old.send_signal(signal.SIGTERM)
                # Its own clients are served; new ones reach the next process, if not this one.
                assert (await asked_on(*client_streams))[2] == b"waves"
                while old.returncode is None:
                    assert (await fetch(one.port))[2] == b"waves"
                    await asyncio.sleep(0.01)
                assert old.returncode == 0
                assert (await fetch(one.port))[2] == b"waves" and new.returncode is None
            finally:
                new.kill()
                await asyncio.gather(new.wait(), old.wait())
                client_streams[1].close()


@run
async def test_a_proxy_that_hands_over_ends_connections_as_they_are_answered() -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("archive", kind="origin", zone="north")) as stand:
        reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
        await asked_on(reader, writer)
        stand.front.hand_over()
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", stand.port)
        assert (await asked_on(reader, writer))[1]["Connection"] == "close" and await reader.read() == b""
        writer.close()


@pytest.mark.parametrize(
    ("environ", "ops", "fd"),
    [
        ({}, "127.0.0.1:8", None),
        ({"EDGE_OPS": "127.0.0.1:9"}, "127.0.0.1:9", None),
        ({"EDGE_FD": "7"}, "127.0.0.1:8", 7),
        ({"EDGE_FD": "-1"}, None, None),
        ({"EDGE_FD": "x"}, None, None),
        ({"EDGE_OPS": "x"}, None, None),
    ],
)
def test_the_second_address_and_the_inherited_socket_are_read(
    tmp_path: Path, environ: dict[str, str], ops: str | None, fd: int | None
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "ops": "127.0.0.1:8", "settings": SETTINGS}))
    env = {"EDGE_CONFIG": str(path)} | environ
    if ops is None:
        with pytest.raises(ConfigError):
            read_config(env)
        return
    config = read_config(env)
    assert (str(config.ops), config.fd) == (ops, fd)


def test_a_program_without_a_second_address_has_none(tmp_path: Path) -> None:
    assert read_config({"EDGE_CONFIG": str(Program(tmp_path).write_config())}).ops is None
