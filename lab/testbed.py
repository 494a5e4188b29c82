"""The processes and the network of a scenario: backends, change logs, relays and proxy processes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from lab.backends import BusyBackend
from lab.ports import free_port
from lab.processes import ProxyProcess
from lab.proxy_config import PROXY_LIMITS, fleet_toml, proxy_settings
from lab.relay import TcpRelay, UdpMesh
from lab.scenario import Scenario
from lab.stand import FakeBackend, FakeChangeLog, endpoint_entry, fetch, listening
from lab.stream_server import serving

CHANGE_LOG = "log"  # name of the change log among the relays of a proxy
READY_TIMEOUT_S = 30.0  # within this time of its start a proxy must be healthy
READY_POLL_INTERVAL_S = 0.05
PAGE_TIMEOUT_S = 3.0  # for reading a page for operators
FULL_DISK = "/dev/full"
FILE_LIMIT_BYTES = 4096
PORTS_PER_PROXY = 3  # for peers, clients and operators


class ProxyStartError(RuntimeError):
    """A proxy did not become healthy in time."""

    def __init__(self, proxy: ProxyProcess) -> None:
        """Report the proxy and the path of its log."""
        super().__init__(f"proxy {proxy.name} did not become healthy; see {proxy.folder / 'log.txt'}")


@dataclass(frozen=True, slots=True)
class BudgetChange:
    """Amounts that replaced those of the scenario's budgets, and the time at which the last file was written."""

    at_ms: float
    amounts: Mapping[str, float]


class Testbed:
    """Own all servers, relays and processes of a run. :meth:`close` ends them, also after an error."""

    __test__ = False  # pytest would take it for a test class because of its name

    def __init__(self, scenario: Scenario, folder: Path, injected_fault: str = "") -> None:
        """Prepare a run with its files in ``folder``; :meth:`open` starts it."""
        self.scenario = scenario
        self.folder = folder
        self.injected_fault = injected_fault
        self.size = scenario.members + scenario.spare
        self.rng = random.Random(scenario.seed)
        self.zones = scenario.zones or (0,) * self.size
        self.backends = self._make_backends()
        # One per proxy, because the addresses of the backends' relays differ by proxy.
        self.logs = [FakeChangeLog() for _ in range(self.size)]
        self.last_seq = 1  # last sequence number of the change log
        self.budget_change: BudgetChange | None = None
        self.relays: dict[tuple[int, str], TcpRelay] = {}  # by proxy number and backend name or CHANGE_LOG
        self.proxies: list[ProxyProcess] = []
        self._stack = contextlib.AsyncExitStack()

    def _make_backends(self) -> list[FakeBackend]:
        if not self.scenario.work_ms:
            return [
                FakeBackend("a"),
                FakeBackend("b"),
                FakeBackend("hub", kind="parent", zone="north"),
                FakeBackend("archive", kind="origin", zone="north"),
            ]
        idle_s = self.settings(0)["caps"]["idleClose"]
        hubs = self.scenario.hubs
        backend_specs = [
            (f"hub{index + 1}" if index else "hub", "parent", f"hub-{index + 1}" if hubs else "north")
            for index in range(hubs or 2)
        ]
        backend_specs.append(("archive", "origin", "north"))
        for zone in range(max(self.zones) + 1):
            backend_specs += [(chr(ord("a") + 2 * zone + index), "std-box", f"edge-{zone + 1}") for index in (0, 1)]
        backends = [
            BusyBackend(name, kind, zone, self.scenario.work_ms, idle_s) for name, kind, zone in backend_specs
        ]
        for backend in backends:
            backend.sources = {source.name: source for source in backends if source.kind != "std-box"}
        return list(backends)

    async def open(self) -> None:
        """Start everything, and return when all members are healthy. Raises ProxyStartError if one is not in time."""
        self.folder.mkdir(parents=True, exist_ok=True)
        await self._stack.enter_async_context(listening(*self.backends))
        ports = [free_port() for _ in range(PORTS_PER_PROXY * self.size)]
        peer_ports = ports[: self.size]
        client_ports = ports[self.size : 2 * self.size]
        ops_ports = ports[2 * self.size :]
        self.mesh = UdpMesh(peer_ports, random.Random(self.rng.random()))
        self._stack.callback(self.mesh.close)
        await self.mesh.start()
        for number in range(self.size):
            await self._start_relays(number)
            self._add_proxy(number, client_ports[number], ops_ports[number])
        members = self.proxies[: self.scenario.members]
        for proxy in members:
            await proxy.start()
        await asyncio.gather(*(self._wait_until_healthy(proxy) for proxy in members))

    async def close(self) -> None:
        """End everything that :meth:`open` has started."""
        await self._stack.aclose()

    async def _start_relays(self, number: int) -> None:
        log_server = await self._stack.enter_async_context(serving(self.logs[number].serve))
        targets = {CHANGE_LOG: log_server.port}
        targets |= {backend.name: int(backend.address.split(":")[1]) for backend in self.backends}
        for name, port in targets.items():
            relay = self.relays[number, name] = TcpRelay(port)
            self._stack.push_async_callback(relay.close)
            await relay.start()

    def _add_proxy(self, number: int, client_port: int, ops_port: int) -> None:
        folder = self.folder / f"d{number}"
        config = self._config(number, client_port)
        text = self.fleet_toml(number, self.scenario.members)
        proxy = ProxyProcess(number, folder, config, text, self.injected_fault, ops_port)
        disk_fault = self.scenario.disk_faults.get(number, "")
        proxy.stderr = FULL_DISK if disk_fault == "log-full" else ""
        proxy.file_limit = FILE_LIMIT_BYTES if disk_fault == "file-limit" else 0
        self.proxies.append(proxy)
        self._stack.push_async_callback(proxy.end)

    async def _wait_until_healthy(self, proxy: ProxyProcess) -> None:
        for _ in range(int(READY_TIMEOUT_S / READY_POLL_INTERVAL_S)):
            if not proxy.is_alive:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await fetch(proxy.port, "/health"))[0] == 200:
                    proxy.last_answered_start = proxy.start_count
                    return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise ProxyStartError(proxy)

    def settings(self, number: int) -> dict[str, Any]:
        """Return the routing settings of a proxy."""
        return proxy_settings(self.scenario, number, self.zones)

    def _config(self, number: int, port: int) -> dict[str, Any]:
        endpoints = [self.endpoint(number, backend) for backend in self.backends]
        fleet = {"index": 1, "snapshot": True, "endpoints": endpoints}
        return {
            "name": f"d{number}",
            "listen": f"127.0.0.1:{port}",
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": dict(PROXY_LIMITS),
            "peer_listen": f"127.0.0.1:{self.mesh.listen[number]}",
            "peers": self.mesh.peers(number),
            "changelog": f"127.0.0.1:{self.relays[number, CHANGE_LOG].port}",
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
            "settings": self.settings(number),
        }

    def fleet_toml(self, number: int, declared: int) -> str:
        """Return the text of a member's ``fleet.toml`` with ``declared`` members."""
        history = self.folder / f"d{number}" / "history.jsonl"
        amounts = self.budget_change.amounts if self.budget_change is not None else {}
        return fleet_toml(self.scenario, history, declared, amounts)

    def endpoint(self, number: int, backend: FakeBackend) -> dict[str, Any]:
        """Return the endpoint list entry of a backend, with the address at which proxy ``number`` reaches it."""
        return endpoint_entry(backend) | {"address": f"127.0.0.1:{self.relays[number, backend.name].port}"}

    def publish(self, event_for: Callable[[int], dict[str, Any]]) -> None:
        """Send a change log event to every proxy, also to those that restart; the event may differ by proxy."""
        self.last_seq += 1
        for number, proxy in enumerate(self.proxies):
            event = event_for(number)
            self.logs[number].publish(self.last_seq, **event)
            known = proxy.config["known"]
            known["seq"] = self.last_seq
            known["results"].append({"seq": self.last_seq, **event})

    def set_relay_fault(self, number: int, names: set[str], fault: str) -> None:
        """Set a fault (see :class:`TcpRelay`) on a proxy's relays to ``names``."""
        for (proxy_number, name), relay in self.relays.items():
            if proxy_number == number and name in names:
                relay.set_fault(fault)

    def history(self) -> list[dict[str, Any]]:
        """Return all events that the proxies have written to their histories so far."""
        return [event for proxy in self.proxies for event in proxy.read_events()]

    def regions_away(self) -> dict[str, Any]:
        """Return by proxy the regions that it avoids by its last order; proxies that avoid none are left out."""
        last = {event["member"]: event["away"] for event in self.history() if event["kind"] == "changeover"}
        return {name: away for name, away in last.items() if away}

    async def read_page(self, proxy: ProxyProcess, path: str) -> Mapping[str, Any]:
        """Return a page for operators of a proxy, or {} if it can't be read."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, orjson.JSONDecodeError):
            _, _, body = await asyncio.wait_for(fetch(proxy.ops_port, path), PAGE_TIMEOUT_S)
            page: Mapping[str, Any] = orjson.loads(body)
            return page
        return {}
