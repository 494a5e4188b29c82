"""One proxy: its parts put together, from the configuration to the last response."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from beechslip.clock import Clock, SystemClock
from beechslip.config import RECORD_FILE, Config, ConfigError, read_enabled
from beechslip.core.engine import Engine
from beechslip.core.messages import EndpointListUpdate, PurgeReceived, SettingsChanged
from beechslip.counters import Counters
from beechslip.fleet.settings import read_fleet, refuse_old_settings_file
from beechslip.platform.backends import BackendClient
from beechslip.platform.changelog import ChangeLogReader
from beechslip.platform.front import HttpFront
from beechslip.platform.ops import OpsFront
from beechslip.platform.watch_events import parse_known_events
from beechslip.reload import ConfigReloader, fleet_file
from beechslip.routing import Router
from beechslip.shutdown import shut_down

if TYPE_CHECKING:
    # Imported only where the operators' files turn them on: protobuf, dnspython and drivers stay out.
    from beechslip.dns.front import DnsFront
    from beechslip.peering import Peering
    from beechslip.store.sent_requests import StoredSentRequestLog

log = logging.getLogger("beechslip")


@dataclass(frozen=True, slots=True)
class KnownEvents:
    """The change log's events that the configuration file holds already."""

    last: int  # the number of the last one
    updates: list[EndpointListUpdate | PurgeReceived]


@dataclass(frozen=True, slots=True)
class Components:
    """The parts of one proxy, before any of them is started; None where one is off."""

    client: BackendClient
    engine: Engine
    front: HttpFront
    ops: OpsFront
    dns: DnsFront | None
    peering: Peering | None
    sent_log: StoredSentRequestLog | None


class Proxy:
    """Owns the parts; ``run`` starts them, serves until ``stopping`` is set, and closes them in turn."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """``clock``: the system's, unless a test gives another."""
        self.config = config  # as at the start; the one in force is the reloader's
        self.clock = clock or SystemClock()
        self.counters = Counters()
        self.stopping = asyncio.Event()
        self._reloader = ConfigReloader(config, self.clock, self.counters)

    def reload(self, environ: Mapping[str, str] | None = None) -> None:
        """Read the configuration file again, as ``ConfigReloader.reload`` does."""
        self._reloader.reload(environ)

    async def run(self) -> None:
        """Serve until ``stopping`` is set, then shut down. ConfigError where the files can't be used.

        All that was started is closed at the end, also where a part fails; that part's error is raised.
        """
        components = self._build()
        known = self._known_events()
        self._listen_to_settings(components)
        async with AsyncExitStack() as stack:
            tasks = [asyncio.create_task(components.engine.run())]
            self._close_at_end(stack, components, tasks)
            await self._start(components, known, tasks)
            if not await self._wait_for_endpoints(components.engine, tasks):
                return
            await self._serve(components, tasks)

    # Construction ---------------------------------------------------------------------------------

    def _build(self) -> Components:
        config = self.config
        settings = config.settings
        client = BackendClient(settings, config.sockets, self.clock, self.counters)
        sent_log = self._open_sent_log()
        refuse_old_settings_file(os.environ)

        def post(message: object) -> None:
            engine.post(message)  # the engine is built after the parts that post to it

        peering = self._build_peering(client, post)
        engine = Engine(
            settings,
            Router(settings, config.seed),
            self.clock,
            client if peering is None else peering.health_checker,
            self.counters,
            None if peering is None else peering.budgets,
            None if peering is None else peering.regions,
            sent_log,
        )
        front = HttpFront(settings, self.clock, client, engine.post, self.counters, config.sockets)
        ops = self._build_ops(front, peering)
        dns = self._build_dns(engine, front)
        return Components(client, engine, front, ops, dns, peering, sent_log)

    def _open_sent_log(self) -> StoredSentRequestLog | None:
        """The log of sent requests, where the operators' file names a store for it; off in deploy/record.toml."""
        named = os.environ.get("EDGE_RECORD")
        path = Path(named) if named else RECORD_FILE
        if read_enabled(path) is None:
            return None
        from beechslip.store.sent_requests import open_sent_request_log

        return open_sent_request_log(path, self.clock, self.counters)

    def _build_peering(self, client: BackendClient, post: Callable[[object], None]) -> Peering | None:
        """What proxies do together (docs/ops/fleet.md); off in deploy/fleet.toml on the platform."""
        fleet = read_fleet(fleet_file(), self.config)
        if fleet is None:
            return None
        from beechslip.peering_builder import build

        return build(fleet, self.config, client, self.clock, self.counters, post)

    def _build_ops(self, front: HttpFront, peering: Peering | None) -> OpsFront:
        def drain() -> bool:
            front.divert_clients()
            return True

        def activate() -> bool:
            front.readmit_clients()
            return True

        pages: dict[str, Callable[[], Mapping[str, object]]] = {"/counters": self.counters.all}
        if peering is not None:
            pages |= peering.pages()
        calls = None if peering is None else peering.calls()
        return OpsFront(self.clock, self.counters, lambda: front.ready, drain, activate, pages, calls)

    def _build_dns(self, engine: Engine, front: HttpFront) -> DnsFront | None:
        if self.config.dns is None:
            return None
        from beechslip.dns.front import DnsFront

        def may_answer() -> bool:
            # A draining proxy hands out no backend either: its resolvers go to another proxy.
            return engine.listed.is_set() and not front.is_diverting

        return DnsFront(self.config.dns, self.config.settings, self.clock, may_answer, engine.post, self.counters)

    def _known_events(self) -> KnownEvents:
        """The events in the configuration file, up to the first that can't be read.

        Guards against a start that fails for one event: the change log is asked for what follows the last one
        read. ConfigError where there is no change log.
        """
        last, updates, unreadable = parse_known_events(self.config.known)
        if unreadable:
            if self.config.changelog is None:
                raise ConfigError(f"known: {unreadable}")
            self.counters.add("changelog.unreadable")
            log.warning("known after %d can't be read, the change log is asked: %s", last, unreadable)
        return KnownEvents(last, updates)

    def _listen_to_settings(self, components: Components) -> None:
        """Bring new settings to the parts that go by them, in this order."""
        engine, peering = components.engine, components.peering
        listeners = self._reloader.listeners
        self._reloader.peering = peering
        if components.dns is not None:
            listeners.append(components.dns.retune)
        if peering is not None and peering.budgets is not None:
            listeners.append(peering.budgets.retune)
        if peering is not None and peering.regions is not None:
            listeners.append(peering.regions.retune)
        listeners.append(components.client.retune)
        listeners.append(components.front.retune)
        listeners.append(lambda settings: engine.post(SettingsChanged(settings)))

    # Running --------------------------------------------------------------------------------------

    def _close_at_end(self, stack: AsyncExitStack, components: Components, tasks: list[asyncio.Task[None]]) -> None:
        """Have the stack close everything: the last entry first, so that the fronts go before what they use."""
        stack.callback(lambda: log.info("%s", self.counters.line()))
        if components.sent_log is not None:
            stack.callback(components.sent_log.close)
        stack.push_async_callback(components.client.close)
        stack.push_async_callback(_cancel, tasks)
        if components.peering is not None:
            stack.push_async_callback(components.peering.stop)
        if components.dns is not None:
            stack.push_async_callback(components.dns.close)
        stack.push_async_callback(components.ops.close)
        stack.push_async_callback(components.front.close)

    async def _start(self, components: Components, known: KnownEvents, tasks: list[asyncio.Task[None]]) -> None:
        """Start all but the HTTP front; the change log's reader joins ``tasks``."""
        if self.config.ops is not None:
            await components.ops.start(self.config.ops)  # before all else: a call has an answer from the start on
        if components.dns is not None:
            await components.dns.start()
        if components.peering is not None:
            await components.peering.start()
        for update in known.updates:
            components.engine.post(update)
        if self.config.changelog is not None:
            tasks.append(asyncio.create_task(self._change_log(components.engine, known).run()))

    def _change_log(self, engine: Engine, known: KnownEvents) -> ChangeLogReader:
        """The reader of the change log, at the address in force: SIGHUP may have named another one by now."""
        address = self._reloader.config.changelog or self.config.changelog
        assert address is not None
        drain_grace_s = self._reloader.settings.drain_grace
        change_log = ChangeLogReader(address, known.last, engine.post, self.counters, known.updates, drain_grace_s)
        self._reloader.change_log = change_log
        self._reloader.listeners.append(change_log.retune)
        return change_log

    async def _wait_for_endpoints(self, engine: Engine, tasks: Sequence[asyncio.Task[None]]) -> bool:
        """Wait for the endpoint list; False where the proxy is to stop before that.

        The list is known before /health answers, or the first requests would find no backend.
        """
        listed = asyncio.create_task(engine.listed.wait())
        try:
            await self._run_until_stopping([*tasks, listed])
        finally:
            await _cancel([listed])
        if self.stopping.is_set():
            log.info("%s, process %d, is shutting down before it serves", self.config.name, os.getpid())
            return False
        return True

    async def _serve(self, components: Components, tasks: Sequence[asyncio.Task[None]]) -> None:
        """Serve clients until the proxy is to stop, and shut down gracefully."""
        config, engine, front = self.config, components.engine, components.front
        settings = self._reloader.settings
        if components.peering is not None and components.peering.budgets is not None:
            await components.peering.budgets.ready()
        await front.start(config.listen, config.fd)
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
        if config.fd is not None:
            front.stop_accepting()
        await shut_down(engine, front, self._reloader.settings)
        log.info("%s, process %d, has answered all requests, and exits", config.name, os.getpid())

    async def _run_until_stopping(self, tasks: Sequence[asyncio.Task[Any]]) -> None:
        """Wait until ``stopping`` is set or one of the tasks ends; if that failed, its error is raised."""
        stop = asyncio.create_task(self.stopping.wait())
        try:
            done, _ = await asyncio.wait([stop, *tasks], return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel([stop])
        for task in done - {stop}:
            task.result()


async def _cancel(tasks: Sequence[asyncio.Task[Any]]) -> None:
    """Cancel the tasks, the last one first, and wait for their end."""
    for task in reversed(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
