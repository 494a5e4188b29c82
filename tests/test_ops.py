"""The operators' front: readiness, diverting clients, and the upgrade on an inherited socket."""

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
from tests.test_program import ROOT, ProxyProcess, endpoint_entry, free_port, proxy_process

READY = ("/v1/readyz", "GET")
DRAIN, ACTIVATE = ("/v1/doorman/drain", "POST"), ("/v1/doorman/activate", "POST")


_request_numbers = itertools.count(1 << 62)


async def fetch_status(port: int, path: str, method: str) -> int:
    return (await fetch(port, path, method))[0]


async def request_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
    """Send one request on a connection that stays open, and return the response."""
    writer.write(
        b"GET /rpc/waveform/7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Wait-Ms: 900\r\n\r\n"
        % next(_request_numbers)
    )
    return await read_message(reader)


@run
async def test_front_diverts_and_readmits_clients() -> None:
    backends = [FakeBackend("a"), FakeBackend("archive", kind="origin", zone="north")]
    async with InProcessProxy(*backends) as stand:
        idle_client, early_client, late_client = [
            await asyncio.open_connection("127.0.0.1", stand.port) for _ in range(3)
        ]
        for client_streams in (idle_client, early_client, late_client):
            assert (await request_on(*client_streams))[0].split()[1] == "200"
        stand.front.divert_clients()
        assert (await fetch(stand.port, "/health"))[0] == 503 and not stand.front.ready
        # The platform still sends new connections for a while. They are served and may stay open during that time.
        response = await request_on(*early_client)
        assert response[0].split()[1] == "200" and response[1].get("Connection") != "close"
        assert (await stand.ask())[0] == 200
        backends[0].script = [HANG]
        pending_response = asyncio.create_task(request_on(*late_client))
        await until(lambda: stand.engine._requests)
        stand.clock.advance(500)
        for reader, _ in (idle_client, early_client):
            assert await reader.read() == b""  # idle connections are closed
        stand.clock.advance(500)  # the pending request gets its response, and then its connection is closed
        assert (await pending_response)[1]["Connection"] == "close" and await late_client[0].read() == b""
        stand.clock.advance(1000)
        status, fields, _ = await stand.ask()
        assert status == 503 and fields["Connection"] == "close" and "Srv-Wait-Ms" in fields
        stand.front.readmit_clients()
        backends[0].script = [b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"]
        assert (await fetch(stand.port, "/health"))[0] == 200 and stand.front.ready
        for _, writer in (idle_client, early_client, late_client):
            writer.close()


@run
async def test_operator_calls_are_answered_before_and_after_clients_are_accepted(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        ops_port, dns_port = free_port(), free_port()
        (tmp_path / "dns.toml").write_text(f'enabled = true\nzone = "z."\nlisten = "127.0.0.1:{dns_port}"\n')
        await proxy.start(
            EDGE_CONFIG=str(proxy.write_config(has_known_events=False)),
            EDGE_OPS=f"127.0.0.1:{ops_port}",
            EDGE_DNS=str(tmp_path / "dns.toml"),
        )
        await until(lambda: proxy.change_log.resumed_from)
        silent_connections = [await asyncio.open_connection("127.0.0.1", ops_port) for _ in range(40)]
        assert await fetch_status(ops_port, *READY) == 503  # no backends are known yet
        proxy.change_log.publish(
            1, fleet={"snapshot": True, "endpoints": [endpoint_entry(backend) for backend in proxy.backends]}
        )
        while await fetch_status(ops_port, *READY) != 200:
            await asyncio.sleep(0.01)
        assert (await fetch(proxy.port, "/health"))[0] == 200
        query = dns.message.make_query("7f3a.waveform.z.", "SRV")

        async def lookup_rcode() -> dns.rcode.Rcode:
            return (await dns.asyncquery.udp(query, "127.0.0.1", port=dns_port, timeout=10)).rcode()

        assert await lookup_rcode() == dns.rcode.NOERROR
        assert [await fetch_status(ops_port, *operator_call) for operator_call in (DRAIN, READY)] == [200, 503]
        assert (await fetch(proxy.port, "/health"))[0] == 503
        assert await lookup_rcode() == dns.rcode.SERVFAIL  # a drained proxy hands out no box either
        assert [await fetch_status(ops_port, *operator_call) for operator_call in (ACTIVATE, READY)] == [200, 200]
        assert (await fetch(proxy.port, "/health"))[0] == 200 and await lookup_rcode() == dns.rcode.NOERROR
        assert [
            await fetch_status(ops_port, "/v1/readyz", "POST"),
            await fetch_status(ops_port, "/v1/none", "GET"),
        ] == [405, 404]
        for _, writer in silent_connections:
            writer.close()
        assert (await proxy.terminate())[0] == 0


@run
async def test_upgrade_on_inherited_socket_rejects_no_client(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as proxy:
        with socket.create_server(("127.0.0.1", proxy.port)) as inherited_socket:
            path = proxy.write_config()

            async def start_process() -> tuple[asyncio.subprocess.Process, int]:
                ops_port = free_port()
                env = proxy.env | {
                    "EDGE_CONFIG": str(path),
                    "EDGE_FD": str(inherited_socket.fileno()),
                    "EDGE_OPS": f"127.0.0.1:{ops_port}",
                }
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "beechslip",
                    cwd=ROOT,
                    env=env,
                    pass_fds=[inherited_socket.fileno()],
                    stderr=asyncio.subprocess.DEVNULL,
                )
                while True:
                    try:
                        if await fetch_status(ops_port, *READY) == 200:
                            return process, ops_port
                    except (OSError, asyncio.IncompleteReadError):
                        assert process.returncode is None
                    await asyncio.sleep(0.02)

            old_process, _ = await start_process()
            client_streams = await asyncio.open_connection("127.0.0.1", proxy.port)
            assert (await request_on(*client_streams))[2] == b"waves"
            new_process, _ = await start_process()
            try:
                old_process.send_signal(signal.SIGTERM)
                # Its own clients are served. New ones reach the next process, if not this proxy.
                assert (await request_on(*client_streams))[2] == b"waves"
                while old_process.returncode is None:
                    assert (await fetch(proxy.port))[2] == b"waves"
                    await asyncio.sleep(0.01)
                assert old_process.returncode == 0
                assert (await fetch(proxy.port))[2] == b"waves" and new_process.returncode is None
            finally:
                new_process.kill()
                await asyncio.gather(new_process.wait(), old_process.wait())
                client_streams[1].close()


@run
async def test_front_that_stopped_accepting_closes_connections_once_answered() -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("archive", kind="origin", zone="north")) as stand:
        reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
        await request_on(reader, writer)
        stand.front.stop_accepting()
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", stand.port)
        assert (await request_on(reader, writer))[1]["Connection"] == "close" and await reader.read() == b""
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
def test_read_config_reads_operators_address_and_inherited_socket(
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
    assert (str(config.ops_address), config.listening_fd) == (ops, fd)


def test_read_config_without_operators_address_has_none(tmp_path: Path) -> None:
    assert read_config({"EDGE_CONFIG": str(ProxyProcess(tmp_path).write_config())}).ops_address is None
