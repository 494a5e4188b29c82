"""One proxy: builds its parts from the configuration, runs them, and shuts them down."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from beechslip.clock import Clock, ScheduledCall, SystemClock, to_ms
from beechslip.config import RECORD_FILE, Config, ConfigError, read_if_enabled
from beechslip.core.engine import Engine
from beechslip.core.messages import EndpointListUpdate, PurgeReceived, SettingsChanged
from beechslip.counters import Counters
from beechslip.descriptor_budget import DescriptorBudget
from beechslip.fleet.settings import read_fleet, refuse_old_settings_file
from beechslip.memory_budget import MemoryBudget
from beechslip.platform.backends import BackendClient
from beechslip.platform.changelog import ChangeLogReader
from beechslip.platform.claim_table import ClaimTable
from beechslip.platform.front import HttpFront
from beechslip.platform.ops import OpsFront
from beechslip.platform.process_memory import HeapTrimmer, resident_bytes
from beechslip.platform.watch_events import parse_known_events
from beechslip.reload import ConfigReloader, fleet_file_path
from beechslip.resource_allowance import BoundedResources, ResourceAllowance
from beechslip.routing import Router
from beechslip.shutdown import kill_delay_s, shut_down

if TYPE_CHECKING:
    # Imported at run time only if the operators' files turn these features on, because they need protobuf,
    # dnspython or database drivers.
    from beechslip.dns.front import DnsFront
    from beechslip.peering import Peering
    from beechslip.store.sent_requests import StoredSentRequestLog

log = logging.getLogger("beechslip")

MEMORY_CHECK_INTERVAL_MS = 250.0  # interval between checks for holders that keep a full room from others


@dataclass(frozen=True, slots=True)
class InitialUpdates:
    """The updates from the change log events that the configuration file already contains."""

    last_seq: int  # the sequence number of the last of these events
    updates: list[EndpointListUpdate | PurgeReceived]


@dataclass(frozen=True, slots=True)
class ProxyParts:
    """The parts of one proxy, as built and not yet started. An optional part that is off is None."""

    client: BackendClient
    engine: Engine
    front: HttpFront
    ops: OpsFront
    dns: DnsFront | None
    peering: Peering | None
    sent_request_log: StoredSentRequestLog | None


class Proxy:
    """One proxy. ``run`` starts its parts, serves until ``stopping`` is set, and closes the parts again."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """Prepare the proxy. ``clock`` is the system clock by default; tests pass another one."""
        self.config = config  # as read at the start; the reloader holds the current one
        self.clock = clock or SystemClock()
        self.counters = Counters()
        floor_bytes = resident_bytes()
        self.descriptors = DescriptorBudget(config.max_sockets)
        max_connections = self.descriptors.clients + self.descriptors.backends
        self.memory = MemoryBudget(config.memory_mb, floor_bytes, max_connections, self.counters)
        self._heap_trimmer = HeapTrimmer(floor_bytes)
        self.stopping = asyncio.Event()
        self._memory_alarm: ScheduledCall | None = None
        self._reloader = ConfigReloader(config, self.clock, self.counters)
        self._allowance: ResourceAllowance | None = None  # None if no other process of this proxy can run

    def reload(self, environ: Mapping[str, str] | None = None) -> None:
        """Read the configuration file again; see ``ConfigReloader.reload``."""
        self._reloader.reload(environ)

    def log_counters(self) -> None:
        """Log what the parts of the memory budget hold, and the counters."""
        allowance = f" {self._allowance.describe()}" if self._allowance is not None else ""
        log.info("memory resident_kb=%d %s%s", resident_bytes() >> 10, self.memory.describe(), allowance)
        log.info("%s", self.counters.format_line())

    async def run(self) -> None:
        """Serve until ``stopping`` is set, then shut down. Raises ConfigError if a configuration file is invalid.

        Everything that was started is closed at the end, even if a part fails. The error of that part is raised.
        """
        parts = self._build_parts()
        initial_updates = self._read_initial_updates()
        self._register_settings_listeners(parts)
        async with AsyncExitStack() as stack:
            tasks = [asyncio.create_task(parts.engine.run())]
            self._register_cleanup(stack, parts, tasks)
            self._start_allowance(stack, parts)
            await self._start_parts(parts, initial_updates, tasks)
            if not await self._wait_for_endpoints(parts.engine, tasks):
                return
            await self._serve(parts, tasks)

    # Construction ---------------------------------------------------------------------------------

    def _build_parts(self) -> ProxyParts:
        config = self.config
        settings = config.settings
        client = BackendClient(settings, self.descriptors, self.clock, self.counters, self.memory)
        sent_request_log = self._open_sent_request_log()
        refuse_old_settings_file(os.environ)

        def post(message: object) -> None:
            engine.post(message)  # ``engine`` is assigned below, after the parts that post to it

        peering = self._build_peering(client, post)
        engine = Engine(
            settings,
            Router(settings, config.seed),
            self.clock,
            client if peering is None else peering.health_checker,
            self.counters,
            None if peering is None else peering.budgets,
            None if peering is None else peering.regions,
            sent_request_log,
            self.memory.sent_requests.limit_bytes,
        )
        front = HttpFront(settings, self.clock, client, engine.post, self.counters, self.descriptors, self.memory)
        ops = self._build_ops(front, peering)
        dns = self._build_dns(engine, front)
        return ProxyParts(client, engine, front, ops, dns, peering, sent_request_log)

    def _open_sent_request_log(self) -> StoredSentRequestLog | None:
        """Open the sent-request log if the operators' file turns it on; it is off in deploy/record.toml."""
        path_name = os.environ.get("EDGE_RECORD")
        path = Path(path_name) if path_name else RECORD_FILE
        if read_if_enabled(path) is None:
            return None
        from beechslip.store.sent_requests import open_sent_request_log

        return open_sent_request_log(path, self.clock, self.counters)

    def _build_peering(self, client: BackendClient, post: Callable[[object], None]) -> Peering | None:
        """Build the features that proxies share (docs/ops/fleet.md); off on the platform in deploy/fleet.toml."""
        fleet = read_fleet(fleet_file_path(), self.config)
        if fleet is None:
            return None
        from beechslip.peering_builder import build_peering

        return build_peering(fleet, self.config, client, self.clock, self.counters, post)

    def _build_ops(self, front: HttpFront, peering: Peering | None) -> OpsFront:
        def drain() -> bool:
            front.divert_clients()
            return True

        def activate() -> bool:
            front.readmit_clients()
            return True

        operator_pages: dict[str, Callable[[], Mapping[str, object]]] = {"/counters": self.counters.counts}
        if peering is not None:
            operator_pages |= peering.operator_pages()
        operator_commands = None if peering is None else peering.operator_commands()
        return OpsFront(
            self.clock,
            self.counters,
            lambda: front.ready,
            drain,
            activate,
            operator_pages,
            operator_commands,
            self.memory,
        )

    def _build_dns(self, engine: Engine, front: HttpFront) -> DnsFront | None:
        if self.config.dns is None:
            return None
        from beechslip.dns.front import DnsFront

        def may_answer() -> bool:
            # While it is draining, the proxy gives resolvers no backends either, so that they use another proxy.
            return engine.listed.is_set() and not front.is_diverting

        return DnsFront(self.config.dns, self.config.settings, self.clock, may_answer, engine.post, self.counters)

    def _read_initial_updates(self) -> InitialUpdates:
        """Read the change log events in the configuration file, up to the first that can't be read.

        One unreadable event must not prevent the start: the change log is asked for all events after the last one
        that was read. Raises ConfigError if an event can't be read and no change log is configured.
        """
        last_seq, updates, error_text = parse_known_events(self.config.known_events)
        if error_text:
            if self.config.changelog_address is None:
                raise ConfigError(f"invalid event in 'known', and no change log is configured: {error_text}")
            self.counters.add("changelog.unreadable")
            log.warning(
                "unreadable event in 'known' after sequence number %d, requesting it from the change log: %s",
                last_seq,
                error_text,
            )
        return InitialUpdates(last_seq, updates)

    def _register_settings_listeners(self, parts: ProxyParts) -> None:
        """Have the reloader pass new settings to the parts that use them, in this order."""
        engine, peering = parts.engine, parts.peering
        listeners = self._reloader.listeners
        self._reloader.peering = peering
        if parts.dns is not None:
            listeners.append(parts.dns.retune)
        if peering is not None and peering.budgets is not None:
            listeners.append(peering.budgets.retune)
        if peering is not None and peering.regions is not None:
            listeners.append(peering.regions.retune)
        listeners.append(parts.client.retune)
        listeners.append(parts.front.retune)
        listeners.append(lambda settings: engine.post(SettingsChanged(settings)))

    # Running --------------------------------------------------------------------------------------

    def _start_allowance(self, stack: AsyncExitStack, parts: ProxyParts) -> None:
        """Keep to this process's allowance, if other processes of this proxy may run beside it."""
        if self.config.listening_fd is None:
            return
        client, front = parts.client, parts.front
        resources = BoundedResources(
            self.memory,
            self.descriptors,
            lambda: front.connection_count + client.connection_count,
            client.bound_changed,
        )
        predecessor_ms = to_ms(kill_delay_s(self._reloader.settings))
        table = ClaimTable(self.config.listening_fd)
        self._allowance = ResourceAllowance(table, resources, self.config.memory_mb, self.clock, predecessor_ms)
        stack.callback(self._allowance.close)
        self._allowance.start()

    def _register_cleanup(self, stack: AsyncExitStack, parts: ProxyParts, tasks: list[asyncio.Task[None]]) -> None:
        """Register the closing of all parts.

        The stack calls the last entry first, so that the fronts close before the parts that they use.
        """
        stack.callback(self.log_counters)
        stack.callback(self._stop_relieving_memory)
        if parts.sent_request_log is not None:
            stack.callback(parts.sent_request_log.close)
        stack.push_async_callback(parts.client.close)
        stack.push_async_callback(_cancel_tasks, tasks)
        if parts.peering is not None:
            stack.push_async_callback(parts.peering.stop)
        if parts.dns is not None:
            stack.push_async_callback(parts.dns.close)
        stack.push_async_callback(parts.ops.close)
        stack.push_async_callback(parts.front.close)

    async def _start_parts(
        self, parts: ProxyParts, initial_updates: InitialUpdates, tasks: list[asyncio.Task[None]]
    ) -> None:
        """Start all parts but the HTTP front, and add the change log reader to ``tasks``."""
        if self.config.ops_address is not None:
            # This comes first, so that operators' requests are answered from the start.
            await parts.ops.start(self.config.ops_address)
        if parts.dns is not None:
            await parts.dns.start()
        if parts.peering is not None:
            await parts.peering.start()
        for update in initial_updates.updates:
            parts.engine.post(update)
        if self.config.changelog_address is not None:
            tasks.append(asyncio.create_task(self._build_change_log_reader(parts.engine, initial_updates).run()))

    def _build_change_log_reader(self, engine: Engine, initial_updates: InitialUpdates) -> ChangeLogReader:
        """Build the change log reader. A SIGHUP since the start may have changed the address."""
        address = self._reloader.config.changelog_address or self.config.changelog_address
        assert address is not None
        drain_grace_s = self._reloader.settings.drain_grace
        change_log = ChangeLogReader(
            address,
            initial_updates.last_seq,
            engine.post,
            self.counters,
            initial_updates.updates,
            drain_grace_s,
            self.memory,
        )
        self._reloader.change_log = change_log
        self._reloader.listeners.append(change_log.retune)
        return change_log

    async def _wait_for_endpoints(self, engine: Engine, tasks: Sequence[asyncio.Task[None]]) -> bool:
        """Wait for the endpoint list. Returns False if the proxy is to stop before the list is known.

        /health must not answer before the list is known, or the first requests would find no backend.
        """
        listed = asyncio.create_task(engine.listed.wait())
        try:
            await self._run_until_stopping([*tasks, listed])
        finally:
            await _cancel_tasks([listed])
        if self.stopping.is_set():
            log.info("%s, process %d, is shutting down before it serves", self.config.name, os.getpid())
            return False
        return True

    def _stop_relieving_memory(self) -> None:
        if self._memory_alarm is not None:
            self._memory_alarm.cancel()

    def _relieve_memory(self) -> None:
        now_ms = self.clock.now_ms()
        self.memory.relieve(now_ms)
        self._heap_trimmer.trim_if_due(now_ms)
        self._memory_alarm = self.clock.call_later(MEMORY_CHECK_INTERVAL_MS, self._relieve_memory)

    async def _serve(self, parts: ProxyParts, tasks: Sequence[asyncio.Task[None]]) -> None:
        """Serve clients until the proxy is to stop, then shut down gracefully."""
        config, engine, front = self.config, parts.engine, parts.front
        settings = self._reloader.settings
        if parts.peering is not None and parts.peering.budgets is not None:
            await parts.peering.budgets.ready()
        await front.start(config.listen, config.listening_fd)
        self._relieve_memory()
        if self._allowance is not None:
            self._allowance.begin_serving()
        log.info(
            "%s, process %d, listens on %s; %d proxies, longest deadline %g s",
            config.name,
            os.getpid(),
            config.listen,
            settings.proxies,
            max((rule.deadline for rule in settings.classes.values()), default=0.0),
        )
        await self._run_until_stopping(tasks)
        log.info("%s, process %d, is shutting down", config.name, os.getpid())
        if config.listening_fd is not None:
            front.stop_accepting()
            parts.client.stop_keeping_idle()
        if self._allowance is not None:
            self._allowance.begin_stopping()
        await shut_down(engine, front, self._reloader.settings)
        log.info("%s, process %d, has answered all requests, and exits", config.name, os.getpid())

    async def _run_until_stopping(self, tasks: Sequence[asyncio.Task[Any]]) -> None:
        """Wait until ``stopping`` is set or one of the tasks ends. The error of a task that failed is raised."""
        stop_waiter = asyncio.create_task(self.stopping.wait())
        try:
            done, _ = await asyncio.wait([stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel_tasks([stop_waiter])
        for task in done - {stop_waiter}:
            task.result()


async def _cancel_tasks(tasks: Sequence[asyncio.Task[Any]]) -> None:
    """Cancel the tasks, the last one first, and wait until they have ended."""
    for task in reversed(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
