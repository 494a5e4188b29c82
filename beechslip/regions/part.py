"""Connects the region node of one proxy to the peer socket, the engine, the router and operators' calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping

from beechslip.clock import Clock
from beechslip.core.messages import PurgeReceived
from beechslip.core.model import AttemptRequest, AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.fleet.codec import CodecError
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage
from beechslip.regions.failure_evidence import AMBIGUOUS_FAILURE_RESULTS, BACKEND_FAILURE_RESULTS
from beechslip.regions.messages import CommandOutcome, OperatorResponse, decode_region_message, encode_region_message
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import OutgoingMessages
from beechslip.regions.operator_commands import (
    HTTP_RESPONSES,
    RETRYABLE_OUTCOMES,
    CommandParameterError,
    OperatorCall,
    parse_operator_call,
)
from beechslip.regions.status import CACHE_ROLE, HUB_ROLE, RegionTable
from beechslip.routing.interface import RegionShares, Settings

log = logging.getLogger("beechslip.regions")

MESSAGE_KIND = "region"  # kind of the peer datagrams of regions
COMMAND_TIMEOUT_MS = 2000.0  # an operator's call waits this long for the coordinator's response
COMMAND_RETRY_INTERVAL_MS = 20.0  # between checks for the response, and between retries
FULL_LINK_LOAD = 4.0  # load report of a full link: its fills over those it carries at full speed, as in the router
FILL_NOTES = frozenset({"filled", "joined"})  # notes of responses that waited for a fill
READY_STATE = "ready"  # state of a backend in service


class RegionPart:
    """Connects a :class:`RegionNode` to the engine, the router and the peer socket.

    It increments the counters ``region.taken``, ``region.orders`` and ``region.forgotten``, and ``region.bad`` for
    datagrams that cannot be decoded.
    """

    kinds = frozenset({MESSAGE_KIND})

    def __init__(
        self,
        node: RegionNode,
        settings: Settings,
        clock: Clock,
        counters: Counters,
        post_event: Callable[[object], None],
    ) -> None:
        """Create the part without backends; ``post_event`` passes an event to the router."""
        self.node = node
        # Returns True if the backend is warming up and has used up its allowance at this proxy.
        self.is_warmup_exhausted: Callable[[str], bool] = lambda backend: False
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._post_event = post_event
        self._backends: dict[str, Backend] = {}
        self._posted_fractions: dict[str, float] = {}  # by backend, as last posted to the router
        self._published_counts: dict[str, int] = {}  # the node's event counts that the counters contain already
        self._last_purge_ms: float | None = None
        self._out_regions: set[str] = set()  # regions that get no traffic
        self._returned_ms: dict[str, float] = {}  # return times of regions that may have missed a purge while out

    # Peer datagrams ----------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Do what is due and return the datagrams to send.

        A backend that has used up its warm-up allowance counts as a full link, which prolongs a step.
        """
        for name, backend in self._backends.items():
            if self.is_warmup_exhausted(name) and (region := self.region_of(backend)):
                self.node.evidence.record_utilization(now_ms, region, 1.0)
        datagrams = self._to_datagrams(self.node.tick(now_ms))
        self._publish_changes(now_ms)
        return datagrams

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle a datagram; an order takes effect immediately, not at the next tick."""
        try:
            region_message = decode_region_message(message.body)
        except CodecError:
            self._counters.add("region.bad")
            return []
        datagrams = self._to_datagrams(self.node.receive(now_ms, message.sender, region_message))
        self._publish_changes(now_ms)
        return datagrams

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return no datagrams at the end of the program, because the lease's own part releases the lease."""
        return []

    def state(self) -> dict[str, object]:
        """Return the operators' page ``/regions``."""
        return self.node.state(self._clock.steady_ms())

    def _to_datagrams(self, outgoing: OutgoingMessages) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage(MESSAGE_KIND, self.node.me, 0, body=encode_region_message(message)))
            for to, message in outgoing
        ]

    # Orders for the router ---------------------------------------------------------------------------------

    def region_of(self, backend: Backend | None) -> str:
        """Return the region of a backend; "" for the origin and for a backend that is not listed."""
        if backend is None or (self._settings.origin_kind and backend.kind == self._settings.origin_kind):
            return ""
        is_hub = bool(self._settings.parent_kind) and backend.kind == self._settings.parent_kind
        return f"{HUB_ROLE if is_hub else CACHE_ROLE}:{backend.zone}"

    def update_backends(self, backends: Iterable[Backend]) -> None:
        """Replace the endpoint list."""
        self._backends = {backend.name: backend for backend in backends}
        backend_counts: dict[str, int] = {}
        for backend in self._backends.values():
            name = self.region_of(backend)
            if name and backend.state == READY_STATE:
                backend_counts[name] = backend_counts.get(name, 0) + 1
        self.node.set_regions(backend_counts)
        self._publish_changes(self._clock.steady_ms())

    def retune(self, settings: Settings) -> None:
        """Replace the settings, which may change the kinds of hubs and of the origin."""
        self._settings = settings
        self.update_backends(self._backends.values())

    def _publish_changes(self, now_ms: float) -> None:
        """Pass changes to the router, the log and the counters."""
        table = self.node.applied_order.table()
        self._record_returns(now_ms, table)
        fractions = {
            backend.name: table[name].traffic_fraction
            for backend in self._backends.values()
            if (name := self.region_of(backend)) in table and table[name].traffic_fraction < 1.0
        }
        if fractions != self._posted_fractions:
            self._log_order(table)
            self._posted_fractions = fractions
            self._post_event(RegionShares(fractions))
        self._publish_counts()

    def _record_returns(self, now_ms: float, table: RegionTable) -> None:
        """Record the regions that return, as their copies may be older than a purge that they have missed."""
        out_regions = {name for name, status in table.items() if status.traffic_fraction == 0.0}
        if self._last_purge_ms is not None:
            for name in self._out_regions - out_regions:
                self._returned_ms[name] = now_ms
        self._out_regions = out_regions

    def _log_order(self, table: RegionTable) -> None:
        """Log the version of the applied order and the regions that get less than all of their traffic."""
        reduced_regions = " ".join(
            f"{name}={status.state.name.lower()}/{status.traffic_fraction:g}"
            for name, status in sorted(table.items())
            if status.traffic_fraction < 1.0
        )
        log.info(
            "region order applied: token=%d epoch=%d reduced=%s",
            *self.node.applied_order.version,
            reduced_regions or "none",
        )

    def _publish_counts(self) -> None:
        """Add the events since the last call to the counters."""
        for event, count in self.node.event_counts.items():
            new_events = count - self._published_counts.get(event, 0)
            if new_events > 0:
                self._counters.add(f"region.{event}", new_events)
                self._published_counts[event] = count

    # Evidence ----------------------------------------------------------------------------------------------

    def purge_received(self, purge: PurgeReceived) -> None:
        """Record that a purge was received, which a region that is out may miss."""
        self._last_purge_ms = self._clock.steady_ms()

    def max_copy_age_ms(self, *backends: str) -> float:
        """Return the maximum age (ms) of copies from any of these backends; infinite without a limit.

        A region that was out may have missed a purge, so only copies made since its return are served from it.
        """
        return_times_ms = [
            self._returned_ms[name]
            for backend in backends
            if (name := self.region_of(self._backends.get(backend))) in self._returned_ms
        ]
        return max(self._clock.steady_ms() - max(return_times_ms), 1.0) if return_times_ms else float("inf")

    def attempt_ended(self, request: AttemptRequest, attempt: AttemptResult, elapsed_ms: float) -> None:
        """Record the result of an attempt as evidence on the regions of its backend and its source."""
        now_ms = self._clock.steady_ms()
        evidence = self.node.evidence
        backend = request.backend.name
        region = self.region_of(self._backends.get(backend))
        source_region = self.region_of(self._backends.get(request.source)) if request.source else ""
        result = attempt.result
        if result in AMBIGUOUS_FAILURE_RESULTS and request.source and region:
            no_response = result == "timeout"
            evidence.record_failed_fill(now_ms, region, source_region, no_response, backend, request.source)
        elif (result in BACKEND_FAILURE_RESULTS or result in AMBIGUOUS_FAILURE_RESULTS) and region:
            evidence.record_failure(now_ms, region, result != "error", backend)
        elif result == "ok":
            if request.source and region:
                evidence.record_fill(now_ms, region, source_region)
            if attempt.note in FILL_NOTES and source_region:
                evidence.record_response(now_ms, source_region, elapsed_ms, request.source)
            elif region:
                evidence.record_response(now_ms, region, elapsed_ms, backend)
            if region and attempt.report:
                self._record_load_report(now_ms, region, attempt.report)

    def _record_load_report(self, now_ms: float, region: str, report: Mapping[str, float]) -> None:
        """Record the higher of the reported utilization and link load as the utilization of ``region``."""
        link_load = report.get("link", 0.0) / FULL_LINK_LOAD
        self.node.evidence.record_utilization(now_ms, region, max(report.get("busy", 0.0), link_load))

    # Operators ---------------------------------------------------------------------------------------------

    async def execute_command(
        self, parameters: Mapping[str, str], send: Callable[[list[OutgoingDatagram]], None]
    ) -> tuple[int, str]:
        """Execute an operator's call and return the HTTP status and the text of the response.

        ``parameters`` are ``region``, ``word``, ``who`` and ``number``. The command is retried through ``send`` until
        the coordinator has decided, for at most ``COMMAND_TIMEOUT_MS``.
        """
        try:
            call = parse_operator_call(parameters)
        except CommandParameterError as error:
            return 400, str(error)
        for _ in range(int(COMMAND_TIMEOUT_MS / COMMAND_RETRY_INTERVAL_MS)):
            response = await self._attempt_command(call, send)
            if response is not None and response.outcome not in RETRYABLE_OUTCOMES:
                return HTTP_RESPONSES[response.outcome]
            self.node.discard_command_response(call.number)
        return HTTP_RESPONSES[CommandOutcome.NOT_COORDINATOR]

    async def _attempt_command(
        self, call: OperatorCall, send: Callable[[list[OutgoingDatagram]], None]
    ) -> OperatorResponse | None:
        """Submit the command unless it has a response already, wait once, and return the response if there is one."""
        if self.node.command_response(call.number) is None:
            outgoing = self.node.submit_command(
                self._clock.steady_ms(), call.number, call.region, call.command, call.operator
            )
            send(self._to_datagrams(outgoing))
        await asyncio.sleep(COMMAND_RETRY_INTERVAL_MS / 1000.0)
        return self.node.command_response(call.number)
