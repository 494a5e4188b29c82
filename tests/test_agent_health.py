"""Tests of how an agent judges and checks its proxies: real processes on loopback, and the launcher by itself."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from beechslip.agent import launcher as launcher_module
from beechslip.agent.launcher import LocalLauncher, process_addresses
from beechslip.agent.process import AddressCheckError, HealthStatus, ProxyAddresses
from beechslip.config import Address
from beechslip.store import Instance, Store, open_store
from lab.stand import FakeBackend, HttpResponse, fetch, free_port, read_message, run, until
from lab.stream_server import serving
from tests.test_agent import SimulatedProcess
from tests.test_program import ProxyProcess, proxy_process

BACKEND_DELAY_S = 2.5  # longer than the health checks after which a proxy that does not respond is killed
OPEN_REQUESTS = 4
RESPONSE_200 = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RESPONSE_503 = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class SlowBackend(FakeBackend):
    """A backend that responds to requests for objects only after a delay."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if "/data/" in message[0]:
                    self.seen.append(message)
                    await asyncio.sleep(BACKEND_DELAY_S)
                writer.write(self.script[0])
        writer.close()


class SupervisedProxy:
    """A proxy that an agent process runs, declared without an address, so that its file names it."""

    def __init__(self, proxy: ProxyProcess, store: Store, config: Path) -> None:
        self.proxy, self.store, self.config = proxy, store, config
        self.ops_port = int(json.loads(config.read_text())["ops"].rpartition(":")[2])

    def instance(self) -> Instance:
        found = self.store.get("n3")
        assert found is not None
        return found

    def event_kinds(self) -> list[str]:
        return [event.kind for event in self.store.events("n3")]

    def replace_config(self, text: str) -> None:
        replacement = self.config.with_suffix(".new")
        replacement.write_text(text)
        replacement.rename(self.config)

    async def operator_call(self, path: str) -> None:
        assert (await fetch(self.ops_port, path, method="POST"))[0] == 200

    async def open_requests(self) -> list[asyncio.Task[HttpResponse]]:
        """Begin requests and wait until the backends work on all of them."""
        requests = [
            asyncio.create_task(fetch(self.proxy.port, f"/rpc/waveform/{number:x}?slice=0"))
            for number in range(OPEN_REQUESTS)
        ]
        await until(lambda: sum(len(backend.seen) for backend in self.proxy.backends) >= OPEN_REQUESTS)
        return requests


@contextlib.asynccontextmanager
async def supervised_proxy(folder: Path) -> AsyncIterator[SupervisedProxy]:
    """Run an agent with one healthy proxy; end both at the end of the block."""
    async with proxy_process(folder, SlowBackend) as proxy:
        config = proxy.write_config()
        contents = json.loads(config.read_text())
        config.write_text(json.dumps(contents | {"ops": f"127.0.0.1:{free_port()}"}))
        url = f"sqlite:///{folder}/store.db"
        store = open_store(url)
        store.add(Instance("n3", str(config)))
        supervised = SupervisedProxy(proxy, store, config)
        await proxy.start("--store", url, "agent")
        try:
            await until(lambda: supervised.instance().state == "healthy")
            yield supervised
        finally:
            await proxy.terminate()
            store.close()


@run
async def test_an_agent_does_not_kill_a_proxy_that_an_operator_drains(tmp_path: Path) -> None:
    """Guards against reset requests: the agent took a drained proxy's "no" on /health for a hang."""
    async with supervised_proxy(tmp_path) as supervised:
        pid = supervised.instance().pid
        requests = await supervised.open_requests()
        await supervised.operator_call("/v1/doorman/drain")
        assert [response[0] for response in await asyncio.gather(*requests)] == [200] * OPEN_REQUESTS
        assert supervised.instance().state == "not ready"
        assert (await fetch(supervised.proxy.port, "/health"))[0] == 503
        await supervised.operator_call("/v1/doorman/activate")
        await until(lambda: supervised.instance().state == "healthy")
        assert supervised.instance().pid == pid
        assert supervised.event_kinds() == ["started", "healthy", "not ready", "healthy"]


@run
async def test_an_agent_replaces_a_drained_proxy_that_hangs(tmp_path: Path) -> None:
    """Guards against the reverse: a drained proxy that stops responding is found and killed like any other."""
    async with supervised_proxy(tmp_path) as supervised:
        pid = supervised.instance().pid
        await supervised.operator_call("/v1/doorman/drain")
        await until(lambda: supervised.instance().state == "not ready")
        os.kill(pid, signal.SIGSTOP)
        await until(lambda: supervised.instance().state == "healthy")
        assert supervised.instance().pid != pid
        assert supervised.event_kinds()[2:] == ["not ready", "unhealthy", "exited", "restarted", "healthy"]


def cut_short(text: str) -> str:
    return text[: len(text) // 2]


def with_another_address(text: str) -> str:
    contents: dict[str, Any] = json.loads(text)
    return json.dumps(contents | {"listen": f"127.0.0.1:{free_port()}", "ops": f"127.0.0.1:{free_port()}"})


@run
@pytest.mark.parametrize("replacement", [cut_short, with_another_address])
async def test_an_agent_does_not_kill_a_proxy_whose_file_is_replaced(
    tmp_path: Path, replacement: Callable[[str], str]
) -> None:
    """Guards against reset requests: the agent read the address to check from the file as it was then."""
    async with supervised_proxy(tmp_path) as supervised:
        before = supervised.instance()
        requests = await supervised.open_requests()
        supervised.replace_config(replacement(supervised.config.read_text()))
        assert [response[0] for response in await asyncio.gather(*requests)] == [200] * OPEN_REQUESTS
        assert supervised.instance() == before and supervised.event_kinds() == ["started", "healthy"]


@contextlib.asynccontextmanager
async def responder(response: bytes | None) -> AsyncIterator[Address]:
    """Respond to each connection with ``response`` and close it; ``None`` never responds."""
    done = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if response is None:
            await done.wait()
        else:
            writer.write(response)
        writer.close()

    async with serving(serve) as server:
        try:
            yield Address("127.0.0.1", server.port)
        finally:
            done.set()


def process_at(address: Address) -> SimulatedProcess:
    process = SimulatedProcess(1, True)
    process.addresses = ProxyAddresses(address)
    return process


@contextlib.contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Let the system refuse every new descriptor to this process."""
    lowest_free = os.dup(0)
    os.close(lowest_free)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@run
@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (RESPONSE_200, HealthStatus.READY),
        (RESPONSE_503, HealthStatus.NOT_READY),
        (b"", HealthStatus.NOT_READY),  # closed unread: a proxy that has no room for another connection
        (None, HealthStatus.NO_RESPONSE),
    ],
)
async def test_only_a_missing_response_counts_as_a_failed_health_check(
    monkeypatch: pytest.MonkeyPatch, response: bytes | None, expected: HealthStatus
) -> None:
    """Guards against killing a proxy that responds, with "no" or by closing the connection."""
    monkeypatch.setattr(launcher_module, "PROXY_CALL_TIMEOUT_S", 0.2)
    async with responder(response) as address:
        assert await LocalLauncher().check_health(process_at(address)) is expected


@run
async def test_a_health_check_where_nobody_listens_has_no_response() -> None:
    """Guards against a proxy that lost its listener and is never replaced."""
    process = process_at(Address("127.0.0.1", free_port()))
    assert await LocalLauncher().check_health(process) is HealthStatus.NO_RESPONSE


@run
async def test_a_health_check_that_could_not_be_made_says_nothing_about_the_proxy() -> None:
    """Guards against an agent without free descriptors that kills all its proxies."""
    async with responder(RESPONSE_200) as address:
        with no_free_descriptor():
            status = await LocalLauncher().check_health(process_at(address))
        assert status is HealthStatus.UNKNOWN


@run
async def test_an_address_that_can_not_be_checked_does_not_count_as_free(tmp_path: Path) -> None:
    """Guards against a second proxy beside a running one, and a drain reported as done while a proxy still serves."""
    config = tmp_path / "n3.json"
    instance = Instance("n3", str(config))
    config.write_text("{")
    local_launcher = LocalLauncher()
    with pytest.raises(AddressCheckError):
        await local_launcher.is_address_free(instance, None)
    assert await local_launcher.is_address_free(instance, Address("127.0.0.1", free_port()))
    async with responder(RESPONSE_200) as address:
        assert not await local_launcher.is_address_free(instance, address)


@run
async def test_an_agent_without_free_descriptors_takes_no_address_for_free() -> None:
    """Guards against a second proxy beside a running one whose address the agent could not connect to."""
    instance = Instance("n3", "n3.json", f"127.0.0.1:{free_port()}")
    with no_free_descriptor(), pytest.raises(AddressCheckError):
        await LocalLauncher().is_address_free(instance, None)


def test_a_process_gets_the_addresses_that_the_agent_checks(tmp_path: Path) -> None:
    """Guards against a file that is replaced between the agent's read and the read of the process it starts."""
    config = ProxyProcess(tmp_path).write_config()
    addresses = process_addresses(Instance("n3", str(config)))
    environment = launcher_module.pinned_environment(Instance("n3", str(config)), addresses)
    assert environment["EDGE_LISTEN"] == str(addresses.listen) and "EDGE_OPS" not in environment
    config.write_text(json.dumps(json.loads(config.read_text()) | {"ops": "127.0.0.1:9"}))
    addresses = process_addresses(Instance("n3", str(config), "127.0.0.1:8"))
    assert addresses == ProxyAddresses(Address("127.0.0.1", 8), Address("127.0.0.1", 9))
    assert launcher_module.pinned_environment(Instance("n3", str(config)), addresses)["EDGE_OPS"] == "127.0.0.1:9"
