"""Regions of one proxy behind the peer socket: evidence of its attempts, orders for its router, operators' calls."""

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
from beechslip.regions.failure_evidence import BACKEND_FAILURES, FILL_FAILURES
from beechslip.regions.messages import CommandOutcome, OperatorResponse, decode_region, encode_region
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import Outgoing
from beechslip.regions.operator_commands import (
    HTTP_RESPONSES,
    RETRYABLE_OUTCOMES,
    CommandCall,
    CommandParameterError,
    parse_call,
)
from beechslip.regions.status import CACHE_ROLE, HUB_ROLE, RegionTable
from beechslip.routing.interface import RegionShares, Settings

log = logging.getLogger("beechslip.regions")

MESSAGE_KIND = "region"  # of peer datagrams
COMMAND_TIMEOUT_MS = 2000.0  # an operator's call waits so long for the coordinator's response
COMMAND_RETRY_MS = 20.0  # between looks for the response, and between retries
FULL_LINK_FILLS = 4.0  # fills on a station's link over those it carries at full pace, as in the router
FILL_NOTES = frozenset({"filled", "joined"})  # notes of a response that a fill has delayed
READY_STATE = "ready"  # of a backend in service


class RegionPart:
    """Connects a :class:`RegionNode` to the engine, the router and the peer socket.

    Counts ``region.taken``, ``region.orders``, ``region.forgotten`` and, for datagrams that cannot be decoded,
    ``region.bad``.
    """

    kinds = frozenset({MESSAGE_KIND})

    def __init__(
        self, node: RegionNode, settings: Settings, clock: Clock, counters: Counters, post: Callable[[object], None]
    ) -> None:
        """Start without backends; ``post`` passes an event to the router."""
        self.node = node
        # Whether a backend that is warming up has used its allowance at this proxy.
        self.warmup_exhausted: Callable[[str], bool] = lambda backend: False
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._post = post
        self._backends: dict[str, Backend] = {}
        self._posted: dict[str, float] = {}  # the fractions by backend that the router was given last
        self._counted: dict[str, int] = {}  # the node's counts that are in the counters already
        self._last_purge_ms: float | None = None
        self._out: set[str] = set()  # regions without any traffic
        self._returned_ms: dict[str, float] = {}  # by region that may have missed a purge while it was out

    # Behind the peer socket --------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Do what is due; the datagrams to send. An exhausted warm-up counts as a full link and prolongs a step."""
        for name, backend in self._backends.items():
            if self.warmup_exhausted(name) and (region := self.region_of(backend)):
                self.node.evidence.record_load(now_ms, region, 1.0)
        sends = self._sends(self.node.tick(now_ms))
        self._publish(now_ms)
        return sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Take a datagram; an order takes effect at once, not at the next tick."""
        try:
            region_message = decode_region(message.body)
        except CodecError:
            self._counters.add("region.bad")
            return []
        sends = self._sends(self.node.receive(now_ms, message.sender, region_message))
        self._publish(now_ms)
        return sends

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Nothing to send at the end of the program: the lease's own part gives up the lease."""
        return []

    def state(self) -> dict[str, object]:
        """The operators' page ``/regions``."""
        return self.node.state(self._clock.steady_ms())

    def _sends(self, outgoing: Outgoing) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage(MESSAGE_KIND, self.node.me, 0, body=encode_region(message)))
            for to, message in outgoing
        ]

    # Orders for the router ---------------------------------------------------------------------------------

    def region_of(self, backend: Backend | None) -> str:
        """The region of a backend; "" for the origin and for a backend that is not listed."""
        if backend is None or (self._settings.origin_kind and backend.kind == self._settings.origin_kind):
            return ""
        is_hub = bool(self._settings.parent_kind) and backend.kind == self._settings.parent_kind
        return f"{HUB_ROLE if is_hub else CACHE_ROLE}:{backend.zone}"

    def follow(self, backends: Iterable[Backend]) -> None:
        """Take a new endpoint list."""
        self._backends = {backend.name: backend for backend in backends}
        sizes: dict[str, int] = {}
        for backend in self._backends.values():
            name = self.region_of(backend)
            if name and backend.state == READY_STATE:
                sizes[name] = sizes.get(name, 0) + 1
        self.node.set_regions(sizes)
        self._publish(self._clock.steady_ms())

    def retune(self, settings: Settings) -> None:
        """Take new settings: other kinds may be hubs or the origin."""
        self._settings = settings
        self.follow(self._backends.values())

    def _publish(self, now_ms: float) -> None:
        """Pass what has changed to the router, the log and the counters."""
        table = self.node.order.table()
        self._note_returns(now_ms, table)
        fractions = {
            backend.name: table[name].traffic_fraction
            for backend in self._backends.values()
            if (name := self.region_of(backend)) in table and table[name].traffic_fraction < 1.0
        }
        if fractions != self._posted:
            self._log_order(table)
            self._posted = fractions
            self._post(RegionShares(fractions))
        self._publish_counts()

    def _note_returns(self, now_ms: float, table: RegionTable) -> None:
        """Note regions that come back: their copies may be older than a purge that they have missed."""
        out = {name for name, status in table.items() if status.traffic_fraction == 0.0}
        if self._last_purge_ms is not None:
            for name in self._out - out:
                self._returned_ms[name] = now_ms
        self._out = out

    def _log_order(self, table: RegionTable) -> None:
        reduced = " ".join(
            f"{name}={status.state.name.lower()}/{status.traffic_fraction:g}"
            for name, status in sorted(table.items())
            if status.traffic_fraction < 1.0
        )
        log.info("region order applied: token %d, epoch %d, reduced %s", *self.node.order.version, reduced or "none")

    def _publish_counts(self) -> None:
        for event, count in self.node.counts.items():
            new = count - self._counted.get(event, 0)
            if new > 0:
                self._counters.add(f"region.{event}", new)
                self._counted[event] = count

    # Evidence ----------------------------------------------------------------------------------------------

    def purged(self, purge: PurgeReceived) -> None:
        """Note that a purge was received; a region that is out may miss it."""
        self._last_purge_ms = self._clock.steady_ms()

    def oldest_ms(self, *backends: str) -> float:
        """The greatest age (ms) that a copy from any of these may have; infinite without a limit.

        A region that was out may have missed a purge; from it only copies made since its return are served.
        """
        returns = [
            self._returned_ms[name]
            for backend in backends
            if (name := self.region_of(self._backends.get(backend))) in self._returned_ms
        ]
        return max(self._clock.steady_ms() - max(returns), 1.0) if returns else float("inf")

    def ended(self, request: AttemptRequest, attempt: AttemptResult, elapsed_ms: float) -> None:
        """Record the end of an attempt as evidence on the region of its backend and on that of its source."""
        now_ms = self._clock.steady_ms()
        evidence = self.node.evidence
        backend = request.backend.name
        region = self.region_of(self._backends.get(backend))
        source_region = self.region_of(self._backends.get(request.source)) if request.source else ""
        result = attempt.result
        if result in FILL_FAILURES and request.source and region:
            no_response = result == "timeout"
            evidence.record_failed_fill(now_ms, region, source_region, no_response, backend, request.source)
        elif (result in BACKEND_FAILURES or result in FILL_FAILURES) and region:
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
        link = report.get("link", 0.0) / FULL_LINK_FILLS
        self.node.evidence.record_load(now_ms, region, max(report.get("busy", 0.0), link))

    # Operators ---------------------------------------------------------------------------------------------

    async def execute_command(
        self, parameters: Mapping[str, str], send: Callable[[list[OutgoingDatagram]], None]
    ) -> tuple[int, str]:
        """An operator's call with ``region``, ``word``, ``who`` and ``number``: HTTP status and text.

        Retries through ``send`` until the coordinator has decided, for at most ``COMMAND_TIMEOUT_MS``.
        """
        try:
            call = parse_call(parameters)
        except CommandParameterError as error:
            return 400, str(error)
        for _ in range(int(COMMAND_TIMEOUT_MS / COMMAND_RETRY_MS)):
            response = await self._attempt_command(call, send)
            if response is not None and response.outcome not in RETRYABLE_OUTCOMES:
                return HTTP_RESPONSES[response.outcome]
            self.node.discard_response(call.number)
        return HTTP_RESPONSES[CommandOutcome.NOT_COORDINATOR]

    async def _attempt_command(
        self, call: CommandCall, send: Callable[[list[OutgoingDatagram]], None]
    ) -> OperatorResponse | None:
        """Submit the command unless its response has come already, and wait once; the response if there is one."""
        if self.node.response(call.number) is None:
            outgoing = self.node.submit(
                self._clock.steady_ms(), call.number, call.region, call.command, call.operator
            )
            send(self._sends(outgoing))
        await asyncio.sleep(COMMAND_RETRY_MS / 1000.0)
        return self.node.response(call.number)
