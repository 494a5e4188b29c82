"""Requests of classes that may run once, sent again under the same id or key after their client has left."""

from __future__ import annotations

import asyncio
import copy
from pathlib import Path
from typing import Any

import pytest

from lab.stand import HANG, SETTINGS, FakeBackend, InProcessProxy, fetch, run, until
from tests.connection_helpers import GatedBackend
from tests.test_program import ProxyProcess, proxy_process
from tests.test_rules import ScriptedRouter

REQUEST_ID = "9b1f03aa5c7e2d41"
ONCE_CLASS = "plot"
SPOILT = b"no response\r\n\r\n"


def settings_with_once_class() -> dict[str, Any]:
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    rule = next(rule for rule in settings["classes"] if rule["name"] == ONCE_CLASS)
    rule["effect"] = "once"
    return settings


async def send_and_leave(proxy: ProxyProcess, after_s: float) -> None:
    """Send a request of the class that may run once, and close the connection without an answer."""
    _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    fields = f"Host: x\r\nReq-Id: {REQUEST_ID}\r\nReq-Wait-Ms: 2000\r\n"
    writer.write(f"GET /rpc/{ONCE_CLASS}/7f3a HTTP/1.1\r\n{fields}\r\n".encode())
    await asyncio.sleep(after_s)
    writer.transport.abort()


def attempts_at(proxy: ProxyProcess) -> int:
    return sum(fields.get("X-Trace") == REQUEST_ID for backend in proxy.backends for _, fields, _ in backend.seen)


# Guards against an id that runs twice because it is forgotten as soon as its client has left.
@run
@pytest.mark.parametrize("delay_s", [0.0, 0.15, 0.6])
async def test_an_id_whose_client_has_left_is_not_sent_again(tmp_path: Path, delay_s: float) -> None:
    async with proxy_process(tmp_path) as proxy:
        proxy.settings = settings_with_once_class()
        for backend in proxy.backends:
            backend.script = [HANG]
        await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()
        await send_and_leave(proxy, after_s=0.1)
        assert attempts_at(proxy) == 1
        await asyncio.sleep(delay_s)
        status, _, _ = await fetch(proxy.port, f"/rpc/{ONCE_CLASS}/7f3a", wait_ms=900, Req_Id=REQUEST_ID)
        assert attempts_at(proxy) == 1 and status == 409


@run
async def test_an_id_is_sent_again_if_it_proved_not_to_have_run(tmp_path: Path) -> None:
    declined = b"HTTP/1.1 503 Service Unavailable\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n"
    async with proxy_process(tmp_path) as proxy:
        proxy.settings = settings_with_once_class()
        for backend in proxy.backends:
            backend.script = [declined]
        await proxy.start(EDGE_CONFIG=str(proxy.write_config()))
        await proxy.wait_until_ready()
        for expected in (1, 2):
            status, _, _ = await fetch(proxy.port, f"/rpc/{ONCE_CLASS}/7f3a", wait_ms=900, Req_Id=REQUEST_ID)
            assert status == 503 and attempts_at(proxy) >= expected


# Guards against a keyed write that lands twice: its window runs from the first send, whichever try that was for.
@run
async def test_a_key_is_not_sent_again_after_its_window_over_all_tries() -> None:
    silent, spoiling, third = FakeBackend("a", HANG), GatedBackend("b", SPOILT), FakeBackend("c")
    router = ScriptedRouter("a", "b", "c")
    async with InProcessProxy(silent, spoiling, third, module=router) as stand:

        def submit() -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
            return stand.ask(target="/rpc/pick-submit/9c", method="PUT", body=b"pick", wait_ms=3000, Req_Token="5c0f")

        first_try = submit()
        await until(lambda: silent.seen)
        first_try.cancel()
        await until(lambda: stand.counters["left"] and not stand.engine._requests)
        stand.clock.advance(4_000)
        router.backend_names = ("b", "c")
        second_try = submit()
        await until(lambda: spoiling.seen)  # within the window of 6 s
        stand.clock.advance(2_500)
        spoiling.gate.set()
        assert (await second_try)[0] == 502 and not third.seen
        assert (await submit())[0] == 502 and not third.seen and len(spoiling.seen) == 1
