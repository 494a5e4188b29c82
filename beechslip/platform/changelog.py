"""The change log's reader. It watches the event stream, and calls again if that ends, breaks or falls silent."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from beechslip.config import Address
from beechslip.core.messages import EndpointListUpdate, PurgeReceived
from beechslip.core.model import Backend
from beechslip.counters import Counters
from beechslip.memory_budget import MemoryBudget, MemoryCharge, unlimited_budget
from beechslip.platform import watch_calls
from beechslip.platform.endpoint_list import ReadyBackendNames
from beechslip.platform.event_stream import EventStream, open_event_stream
from beechslip.platform.responses import UnusableResponseError
from beechslip.platform.watch_calls import OnBytes, WatchCalls
from beechslip.platform.watch_events import (
    MAX_EVENT_SIZE,
    BadEventError,
    ChangeLogUpdate,
    EventStreamParser,
    ServerSentEvent,
    parse_server_sent_event,
)
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.changelog")

# A doubtful list is applied after this fraction of the drain grace, whatever arrives until then.
DOUBTFUL_LIST_GRACE_FRACTION = 0.6
DEFAULT_DRAIN_GRACE_S = 0.5  # used if the settings give no grace
MAX_EVENT_ID_DIGITS = 18  # an event's id with more digits is not read as a number


class ChangeLogReader:
    """Watches the change log from a sequence number on and posts its updates.

    Each event is posted once, in order. There is one exception: if an event is requested again, its purges and drains
    are posted at once, because they are binding from the first notification on.
    """

    def __init__(
        self,
        address: Address,
        last_seq: int,
        post: Callable[[ChangeLogUpdate], None],
        counters: Counters,
        known: Iterable[ChangeLogUpdate] = (),
        drain_grace_s: float = 0.0,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a reader. ``last_seq`` is the sequence number reached by the updates ``known``.

        ``drain_grace_s`` is the number of seconds after which a drain is binding; 0 selects the default. Events
        larger than the room ``events`` of ``memory`` are unreadable.
        """
        self._room = (memory or unlimited_budget(counters)).events
        self.last_seq = last_seq
        self.drain_grace_s = drain_grace_s
        self._address = address
        self._post = post
        self._counters = counters
        # Updates that were posted early, of events that are still to be applied: backends out of service, with the
        # event's number, and purges.
        self._early_draining: dict[str, int] = {}
        self._early_purges: set[tuple[int, PurgeReceived]] = set()
        self._ready_backends = ReadyBackendNames()
        for update in known:
            self._record_endpoints(update)
        self._doubtful_list_timer: asyncio.TimerHandle | None = None  # runs until a doubtful list is applied
        self._address_changed = asyncio.Event()
        self._has_called = False
        # The number after which the stream was last requested again, because of an unreadable event, a gap or a
        # doubtful list.
        self._requested_again_after = 0

    def set_address(self, address: Address) -> None:
        """Continue at another address, from the sequence number reached."""
        if address != self._address:
            self._address = address
            self._address_changed.set()

    def retune(self, settings: Settings) -> None:
        """Use new settings from now on."""
        self.drain_grace_s = settings.drain_grace

    async def run(self) -> None:
        """Watch the change log until cancelled."""
        try:
            await self._watch_until_cancelled()
        finally:
            if self._doubtful_list_timer is not None:
                self._doubtful_list_timer.cancel()

    async def _watch_until_cancelled(self) -> None:
        calls = WatchCalls(
            lambda on_bytes: self._watch_once(calls.connected, on_bytes), self._count_call, self._handle_failure
        )
        while True:
            self._address_changed.clear()
            # A log that has moved sends nothing more at its old address, but keeps its connections there open for a
            # while.
            await calls.run_until(self._address_changed)

    def _count_call(self) -> None:
        """Count each call but the first."""
        if self._has_called:
            self._counters.add("changelog.reconnects")
        self._has_called = True

    def _handle_failure(self, error: BaseException) -> None:
        if isinstance(error, (OSError, TimeoutError, UnusableResponseError, BadEventError)):
            log.info("change log connection failed: error=%r", error)
            return
        # An unexpected response must not end the proxy.
        self._counters.add("fault.changelog")
        log.error("change log connection failed unexpectedly", exc_info=error)

    async def _watch_once(self, on_connected: Callable[[], None], on_bytes: OnBytes) -> None:
        """Make one call and handle its events until the stream ends, fails or is silent for too long."""
        parser = EventStreamParser(min(MAX_EVENT_SIZE, self._room.limit_bytes))
        charge = MemoryCharge(self._room)
        try:
            async with asyncio.timeout(watch_calls.CALL_TIMEOUT_S) as timeout:
                stream = await open_event_stream(self._address, self.last_seq, watch_calls.CALL_TIMEOUT_S)
                on_connected()
                try:
                    async for chunk in stream.chunks():
                        timeout.reschedule(asyncio.get_running_loop().time() + watch_calls.CALL_TIMEOUT_S)
                        on_bytes()
                        self._handle_chunk(parser, chunk)
                        charge.set(parser.held_bytes, 0.0)
                except asyncio.CancelledError:
                    self._handle_rest(parser, stream)
                    raise
                finally:
                    stream.close()
        finally:
            charge.set(0, 0.0)

    def _handle_chunk(self, parser: EventStreamParser, chunk: bytes) -> None:
        for event in parser.feed(chunk):
            self._handle_event(event)

    def _handle_rest(self, parser: EventStreamParser, stream: EventStream) -> None:
        """Handle what has been received already: events received before the address changed count as notified."""
        with contextlib.suppress(Exception):
            self._handle_chunk(parser, stream.take_received())

    def _handle_event(self, received: ServerSentEvent) -> None:
        """Apply a received event. An unreadable one is requested again once, then skipped.

        This guards against requesting the same unreadable event for ever, so that no later event would be applied.
        Raises BadEventError if the stream is to be requested again.
        """
        try:
            seq, updates = parse_server_sent_event(received)
        except BadEventError as error:
            if not self._mark_requested_again():
                raise
            self._skip_event(received, error)
            return
        if seq > self.last_seq + 1 and not self._mark_requested_again():
            self._post_purges_and_drains(seq, updates)
            raise BadEventError(f"gap in the events: {seq} follows {self.last_seq}")
        if seq > self.last_seq and self._ready_backends.is_doubtful(updates) and not self._mark_requested_again():
            self._counters.add("changelog.doubtful")
            self._post_purges_and_drains(seq, updates)
            delay_s = DOUBTFUL_LIST_GRACE_FRACTION * (self.drain_grace_s or DEFAULT_DRAIN_GRACE_S)
            self._doubtful_list_timer = asyncio.get_running_loop().call_later(delay_s, self.apply_event, seq, updates)
            raise BadEventError(f"the endpoint list of event {seq} omits most backends")
        self.apply_event(seq, updates)

    def _skip_event(self, received: ServerSentEvent, error: BadEventError) -> None:
        self._counters.add("changelog.unreadable")
        log.warning("change log event skipped: last_seq=%d error=%s", self.last_seq, error)
        if received.id.isascii() and received.id.isdigit() and len(received.id) <= MAX_EVENT_ID_DIGITS:
            self.last_seq = max(self.last_seq, int(received.id))

    def _mark_requested_again(self) -> bool:
        """Mark the events after the last number as requested again. Return True if they already were."""
        was_requested_again = self._requested_again_after == self.last_seq + 1
        self._requested_again_after = self.last_seq + 1
        return was_requested_again

    def _post_purges_and_drains(self, seq: int, updates: Sequence[ChangeLogUpdate]) -> None:
        """Post the purges and drains of an event that is requested again.

        The change log may end right then, and its notifications are binding all the same.
        """
        for update in updates:
            if isinstance(update, PurgeReceived):
                self._early_purges.add((seq, update))
                self._post(update)
                continue
            ending_backends = tuple(backend for backend in update.backends if backend.state != "ready")
            if ending_backends:
                self._early_draining |= {backend.name: seq for backend in ending_backends}
                self._post(EndpointListUpdate("changes", ending_backends))

    def apply_event(self, seq: int, updates: Sequence[ChangeLogUpdate]) -> None:
        """Post an event's updates unless they were applied before. The stream may repeat events after a reconnect."""
        if seq <= self.last_seq:
            return
        self.last_seq = seq
        self._early_draining = {
            name: event_seq for name, event_seq in self._early_draining.items() if event_seq > seq
        }
        posted_purges = {purge for event_seq, purge in self._early_purges if event_seq == seq}
        self._early_purges = {(event_seq, purge) for event_seq, purge in self._early_purges if event_seq > seq}
        for update in updates:
            if update in posted_purges:
                continue
            if isinstance(update, EndpointListUpdate) and self._early_draining:
                update = EndpointListUpdate(update.kind, tuple(map(self._keep_early_draining, update.backends)))
            self._record_endpoints(update)
            self._post(update)

    def _keep_early_draining(self, backend: Backend) -> Backend:
        """Return the backend, as draining if a later event that was posted early says so."""
        if backend.state == "ready" and backend.name in self._early_draining:
            return replace(backend, state="draining")
        return backend

    def _record_endpoints(self, update: ChangeLogUpdate) -> None:
        if isinstance(update, EndpointListUpdate):
            self._ready_backends.apply(update)
