"""Inject the faults of a scenario into its testbed, and undo them.

There is one method for each action of the scenario files; ``docs/design/lab.md`` lists the actions.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from lab.backends import BusyBackend
from lab.background import BackgroundTasks
from lab.check import check_leases
from lab.fault_log import ALL_MEMBERS, NETWORK, FaultLog
from lab.load import LoadGenerator
from lab.processes import ProxyProcess, steady_ms
from lab.relay import DatagramFaults
from lab.scenario import ScheduledFault
from lab.stand import fetch
from lab.testbed import CHANGE_LOG, BudgetChange, Testbed

HOLDER_TIMEOUT_S = 3.0  # how long a fault waits until a lease has a holder, or until the holder is in an act
HOLDER_POLL_INTERVAL_S = 0.01
OPERATOR_TIMEOUT_S = 5.0  # how long an operator's order waits for its response
NETWORK_ACTIONS = ("cut", "heal", "weather")
ENVIRONMENT_ACTIONS = ("load", "cold", "zone", "purge")

FaultAction = Callable[[ProxyProcess, ScheduledFault], Coroutine[Any, Any, None]]


class FaultRunner:
    """Inject faults, and record each in the fault log."""

    def __init__(self, testbed: Testbed, load: LoadGenerator, log: FaultLog, tasks: BackgroundTasks) -> None:
        """Inject faults into ``testbed``; ``tasks`` owns the tasks that undo them."""
        self.testbed = testbed
        self.operator_answers: list[str] = []
        self._load = load
        self._log = log
        self._tasks = tasks
        self._actions: dict[str, FaultAction] = {
            "kill": self._kill_proxy,
            "restart": self._restart_proxy,
            "term": self._terminate_proxy,
            "start": self._start_proxy,
            "stop": self._stop_proxy,
            "go": self._continue_proxy,
            "deaf": self._cut_incoming,
            "mute": self._cut_outgoing,
            "oneway": self._cut_to_sides,
            "declare": self._declare_size,
            "amounts": self._change_amounts,
            "depot": self._set_backend_relay_fault,
            "log": self._set_change_log_relay_fault,
            "say": self._start_operator_order,
        }
        self._reversals: dict[str, FaultAction] = {
            "kill": self._start_proxy,
            "term": self._start_proxy,
            "stop": self._continue_proxy,
            "oneway": self._restore_outgoing,
            "deaf": self._restore_incoming,
            "mute": self._restore_outgoing,
            "depot": self._clear_backend_relay_fault,
            "log": self._clear_change_log_relay_fault,
        }

    async def run(self, fault: ScheduledFault) -> None:
        """Inject one fault into its targets, one after the other; a background task undoes it."""
        if fault.action in NETWORK_ACTIONS:
            self._change_network(fault)
            return
        if fault.action in ENVIRONMENT_ACTIONS:
            self._log.note(ALL_MEMBERS, fault.action)
            self._change_environment(fault)
            return
        for proxy in await self._select_proxies(fault):
            self._log.note(proxy.name, fault.action)
            await self._actions[fault.action](proxy, fault)
            if fault.undo_after_s:
                self._tasks.spawn(self._undo(proxy, fault))
            if fault.interval_s:
                await asyncio.sleep(fault.interval_s)

    async def _undo(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        await asyncio.sleep(fault.undo_after_s)
        self._log.note(proxy.name, f"{fault.action} ends")
        reversal = self._reversals.get(fault.action)
        if reversal is not None:
            await reversal(proxy, fault)

    async def _run_later(self, seconds: float, fault: ScheduledFault) -> None:
        await asyncio.sleep(seconds)
        await self.run(fault)

    # Targets

    async def _select_proxies(self, fault: ScheduledFault) -> list[ProxyProcess]:
        chosen: list[ProxyProcess] = []
        for target in fault.targets:
            if target == ALL_MEMBERS:
                chosen += self.testbed.proxies[: self.testbed.scenario.members]
            elif target.startswith(("holder:", "others:")):
                chosen += await self._select_holder_or_others(target, fault.is_mid_act)
            else:
                chosen.append(self.testbed.proxies[int(target[1:])])
        return chosen

    async def _select_holder_or_others(self, target: str, is_mid_act: bool) -> list[ProxyProcess]:
        kind, _, lease = target.partition(":")
        holder = await self._wait_for_holder(lease, is_mid_act)
        if holder is None:
            return []
        if kind == "holder":
            return [holder]
        return [proxy for proxy in self.testbed.proxies if proxy.is_alive and proxy is not holder]

    async def _wait_for_holder(self, lease: str, is_mid_act: bool) -> ProxyProcess | None:
        """Return the holder of ``lease``, or None if there is none in time.

        With ``is_mid_act``, wait until the holder is between its lease check and the effect of its act.
        """
        for _ in range(int(HOLDER_TIMEOUT_S / HOLDER_POLL_INTERVAL_S)):
            events = sorted(self.testbed.history(), key=lambda event: event["t"])
            tenure = check_leases(events).tenures.get(lease)
            if tenure is not None and tenure.until_ms > steady_ms():
                holder = self.testbed.proxies[int(tenure.holder[0][1:])]
                if holder.is_alive and (not is_mid_act or _is_acting(events, holder.name, lease)):
                    return holder
            await asyncio.sleep(HOLDER_POLL_INTERVAL_S)
        return None

    # Network between the proxies

    def _change_network(self, fault: ScheduledFault) -> None:
        self._log.note(NETWORK, fault.action)
        mesh = self.testbed.mesh
        if fault.action == "weather":
            mesh.datagram_faults = fault.datagram_faults
        else:
            mesh.cut_pairs.clear()
            if fault.action == "cut":
                mesh.partition([list(side) for side in fault.sides])
            else:
                mesh.datagram_faults = DatagramFaults()
        if fault.undo_after_s:
            self._tasks.spawn(
                self._run_later(fault.undo_after_s, dataclasses.replace(fault, action="heal", undo_after_s=0.0))
            )

    async def _cut_incoming(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        number = proxy.number
        self.testbed.mesh.cut_pairs |= {(other, number) for other in range(self.testbed.size) if other != number}

    async def _cut_outgoing(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        number = proxy.number
        self.testbed.mesh.cut_pairs |= {(number, other) for other in range(self.testbed.size) if other != number}

    async def _cut_to_sides(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        number = proxy.number
        others = [other for side in fault.sides for other in side if other != number]
        self.testbed.mesh.cut_pairs |= {(number, other) for other in others}

    async def _restore_incoming(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        mesh = self.testbed.mesh
        mesh.cut_pairs = {(sender, receiver) for sender, receiver in mesh.cut_pairs if receiver != proxy.number}

    async def _restore_outgoing(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        mesh = self.testbed.mesh
        mesh.cut_pairs = {(sender, receiver) for sender, receiver in mesh.cut_pairs if sender != proxy.number}

    # Load, backends and change log

    def _change_environment(self, fault: ScheduledFault) -> None:
        if fault.action == "load":
            self._load.weights = fault.weights
        elif fault.action == "zone":
            self._set_backend_fault(fault)
        elif fault.action == "purge":
            purge = {"bucket": fault.numeric_argument, "time": int(time.time() * 1000.0)}
            self.testbed.publish(lambda number: {"invalidate": purge})
        else:
            self._restart_backend(fault.backend)

    def _set_backend_fault(self, fault: ScheduledFault) -> None:
        for backend in self.testbed.backends:
            if isinstance(backend, BusyBackend) and fault.backend in (backend.name, backend.zone):
                backend.set_fault(fault.mode)
        if fault.undo_after_s:
            self._tasks.spawn(
                self._run_later(fault.undo_after_s, dataclasses.replace(fault, undo_after_s=0.0, mode=""))
            )

    def _restart_backend(self, name: str) -> None:
        """Publish that a backend has restarted with an empty cache."""
        testbed = self.testbed
        backend = next(backend for backend in testbed.backends if backend.name == name)
        assert isinstance(backend, BusyBackend)
        started_ms = backend.started_ms = time.time() * 1000.0

        def event(number: int) -> dict[str, Any]:
            endpoint = testbed.endpoint(number, backend) | {"since_ms": started_ms}
            return {"fleet": {"index": testbed.last_seq, "snapshot": False, "endpoints": [endpoint]}}

        testbed.publish(event)

    async def _set_backend_relay_fault(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self.testbed.set_relay_fault(proxy.number, self._backend_names(fault), fault.mode)

    async def _clear_backend_relay_fault(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self.testbed.set_relay_fault(proxy.number, self._backend_names(fault), "")

    def _backend_names(self, fault: ScheduledFault) -> set[str]:
        """Return the names of the backends that a fault is for: one backend, those of a zone, or all."""
        backends = self.testbed.backends
        return {backend.name for backend in backends if fault.backend in ("", backend.name, backend.zone)}

    async def _set_change_log_relay_fault(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self.testbed.set_relay_fault(proxy.number, {CHANGE_LOG}, fault.mode)

    async def _clear_change_log_relay_fault(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self.testbed.set_relay_fault(proxy.number, {CHANGE_LOG}, "")

    # Single proxies

    async def _kill_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        await proxy.end(signal.SIGKILL)

    async def _restart_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        await proxy.end(signal.SIGKILL)
        await proxy.start()

    async def _terminate_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        await proxy.end(signal.SIGTERM)

    async def _start_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        await proxy.start()

    async def _stop_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        proxy.send_signal(signal.SIGSTOP)

    async def _continue_proxy(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        proxy.send_signal(signal.SIGCONT)

    async def _declare_size(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        declared = fault.numeric_argument or self.testbed.scenario.members
        proxy.fleet_toml = self.testbed.fleet_toml(proxy.number, declared)
        proxy.write_config_files()
        proxy.send_signal(signal.SIGHUP)

    async def _change_amounts(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self.testbed.budget_change = BudgetChange(steady_ms(), fault.amounts)
        await self._declare_size(proxy, fault)

    async def _start_operator_order(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        self._tasks.spawn(self._send_operator_order(proxy, fault))

    async def _send_operator_order(self, proxy: ProxyProcess, fault: ScheduledFault) -> None:
        """Send an operator's order for a region to one proxy, and record the response in the fault log."""
        number = self.testbed.rng.getrandbits(40) + 1
        target = f"/regions?region={fault.backend}&word={fault.mode}&who={fault.numeric_argument}&number={number}"
        answer = "no response"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            status, _, text = await asyncio.wait_for(fetch(proxy.ops_port, target, "POST"), OPERATOR_TIMEOUT_S)
            answer = f"{status} {text.decode(errors='replace')}"
        self.operator_answers.append(answer)
        self._log.note(proxy.name, f"said {fault.mode} {fault.backend}: {answer}")


def _is_acting(events: list[dict[str, Any]], member: str, lease: str) -> bool:
    """True if ``member`` has begun an act under ``lease`` that has no effect yet; ``events`` are in order of time."""
    own = [event for event in events if event["member"] == member and event.get("name") == lease]
    kinds = [event["kind"] for event in own if event["kind"] in ("begin", "effect")]
    return kinds[-1:] == ["begin"]
