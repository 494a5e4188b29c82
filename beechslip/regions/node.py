"""One proxy's part in the fleet's decisions on regions: its reports, the order it applies, the coordinator's tenure.

Pure, driven by :meth:`RegionNode.tick` and :meth:`RegionNode.receive`. Orders are totally ordered by (token, epoch):
a proxy applies only a newer one, and its next report acknowledges it. The holder of the lease ``LEASE`` coordinates.
It

- begins a tenure by hearing from a majority of the declared members, itself among them, and goes on from the newest
  order that any of them has applied; a member that has just started counts only once it has applied an order, or
  after ``recovery_ms``;
- makes an order only under the lease and only once a majority has acknowledged the last one, with the next epoch;
- repeats the order to each member until it has acknowledged it.

A proxy that hears of no coordinator for ``order_expiry_ms`` drops its order: for its own routing all regions are in.
"""

from __future__ import annotations

from collections.abc import Mapping

from beechslip.regions import operator_commands
from beechslip.regions.applied_order import AppliedOrder, history_table
from beechslip.regions.coordinator import CoordinatorTuning, RegionCoordinator
from beechslip.regions.detection import Reports
from beechslip.regions.failure_evidence import FailureEvidence, RegionStatistics
from beechslip.regions.messages import (
    MAX_REPORT_REGIONS,
    CommandOutcome,
    CoordinatorOrder,
    OperatorCommand,
    OperatorRequest,
    OperatorResponse,
    RegionMessage,
    RegionReport,
    region_id,
)
from beechslip.regions.node_types import (
    LEASE,
    HistoryNote,
    LeaseView,
    Outgoing,
    RegionTiming,
    no_history,
)
from beechslip.regions.report_log import NO_ORDER, ReportLog, version_of
from beechslip.regions.status import RegionStatus, RegionTable

HEARTBEAT_REPORTS = 8  # an order goes to all members again after so many of the coordinator's own reports
MAX_RESPONSES = 16  # responses to operators that are kept until they are fetched


class RegionNode:
    """The state machine of one proxy. Times are steady-clock ms, passed in by the caller.

    ``counts`` counts orders made (``orders``), applied (``taken``) and dropped (``forgotten``).
    """

    def __init__(
        self,
        me: str,
        leases: LeaseView,
        incarnation: int,
        started_ms: float,
        members: tuple[str, ...],
        tuning: CoordinatorTuning | None = None,
        timing: RegionTiming | None = None,
        note: HistoryNote = no_history,
    ) -> None:
        """Start member ``me`` of the declared ``members`` at ``started_ms``; ``note`` writes history events."""
        self.me = me
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.members = members
        self.note = note
        self.tuning = tuning or CoordinatorTuning()
        self.timing = timing or RegionTiming()
        self.evidence = FailureEvidence()
        self.sizes: dict[str, int] = {}  # by listed region: its backends in service
        self.strained: frozenset[str] = frozenset()
        self.order = AppliedOrder(started_ms)
        self.counts: dict[str, int] = {}
        self._leases = leases
        self._reports = ReportLog()
        self._next_report_ms = started_ms
        self._seq = 0
        self._coordinator: RegionCoordinator | None = None
        self._tenure_token = 0  # of the lease, for which this proxy coordinates or prepares to
        self._standing_requests: dict[int, OperatorRequest] = {}  # by region id: the last command that was done
        self._responses: dict[int, OperatorResponse] = {}  # to operators' own requests, by number

    # The order that the proxy applies ----------------------------------------------------------------------

    def set_regions(self, sizes: Mapping[str, int]) -> None:
        """Take the regions that the change log names, with their backends in service."""
        self.sizes = dict(sizes)
        self.order.set_regions(sizes)
        self.evidence.set_regions(sizes)

    def recovered(self, now_ms: float) -> bool:
        """Whether this member counts as knowing the newest order that it ever applied."""
        return self.order.epoch > 0 or now_ms >= self.started_ms + self.timing.recovery_ms

    def _apply_order(self, now_ms: float, order: CoordinatorOrder, sender: str) -> None:
        """Apply ``order`` if it is newer than the last; what was observed of regions before it counts no more."""
        changed = self.order.apply(now_ms, order)
        if changed is None:
            return
        self.evidence.reset(changed)
        self._count("taken")
        table = self.order.table()
        self.note(
            "changeover",
            token=order.token,
            epoch=order.epoch,
            steward=sender,
            away=sorted(name for name, status in table.items() if status.traffic_fraction < 1.0),
            places=history_table({name: status for name, status in table.items() if status != RegionStatus()}),
        )

    def _drop_expired_order(self, now_ms: float) -> None:
        """Without a coordinator, and perhaps in a minority, an old order may have been superseded for long."""
        if not self.order.is_expired(now_ms, self.timing.order_expiry_ms) or self._leases.holder(LEASE, now_ms):
            return
        self.order.clear_table()
        self._count("forgotten")
        self.note("forgotten", token=self.order.token, epoch=self.order.epoch)

    # Time and messages -------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> Outgoing:
        """Do what is due at ``now_ms``; the messages to send."""
        self._drop_expired_order(now_ms)
        if now_ms < self._next_report_ms:
            return []
        self._next_report_ms = now_ms + self.timing.report_interval_ms
        holder = self._leases.holder(LEASE, now_ms)
        report = self._make_report(now_ms)
        if self._leases.held_token(LEASE, now_ms) is None:
            self._coordinator = None
            return [(holder, report)] if holder and holder != self.me else []
        self._reports.record(now_ms, self.me, report)
        return self._coordinate(now_ms)

    def receive(self, now_ms: float, sender: str, message: RegionMessage) -> Outgoing:
        """Take a message from ``sender``; the messages to send in response."""
        if isinstance(message, RegionReport):
            self._reports.record(now_ms, sender, message)
            return [(sender, CoordinatorOrder(*NO_ORDER))] if version_of(message) > self.order.version else []
        if isinstance(message, CoordinatorOrder):
            return self._receive_order(now_ms, sender, message)
        if isinstance(message, OperatorRequest):
            return [(sender, self._execute(now_ms, message))]
        recent = list(self._responses.items())[-(MAX_RESPONSES - 1) :]
        self._responses = {**dict(recent), message.number: message}
        return []

    def _receive_order(self, now_ms: float, sender: str, order: CoordinatorOrder) -> Outgoing:
        if order.epoch:
            self._apply_order(now_ms, order, sender)
            return []
        # The sender has missed an order and asks for the newest that this proxy has.
        return [(sender, self.order.message())] if self.order.epoch else []

    def _make_report(self, now_ms: float) -> RegionReport:
        self._seq += 1
        statistics = list(self.evidence.statistics(now_ms).items())[:MAX_REPORT_REGIONS]
        return RegionReport(
            self.incarnation,
            self._seq,
            self.order.token,
            self.order.epoch,
            self.evidence.local_fault(now_ms),
            self.recovered(now_ms),
            {region_id(name): region for name, region in statistics},
        )

    # The coordinator's tenure ------------------------------------------------------------------------------

    def _current_reports(self, now_ms: float) -> dict[str, RegionReport]:
        """By declared member, its last report if that has not expired."""
        return self._reports.current(now_ms, self.members, self.timing.report_expiry_ms)

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.members)

    def _coordinate(self, now_ms: float) -> Outgoing:
        """One round of the lease holder: begin the tenure, or make the order that is due and repeat the newest."""
        token = self._leases.held_token(LEASE, now_ms)
        if token is None:
            return []
        if token != self._tenure_token:
            self._begin_tenure(now_ms, token)
            return []
        reports = self._current_reports(now_ms)
        if self._coordinator is None and self._knows_newest_order(reports):
            self._coordinator = RegionCoordinator(self.tuning, self.order.table(), now_ms)
        if self._coordinator is not None and self._acknowledged(reports):
            usable = self._usable_statistics(reports)
            if self._is_majority(len(usable)):  # else most have failures everywhere: no region is at fault
                changes = self._coordinator.decide(now_ms, self.sizes, usable, self.strained)
                if changes or token != self.order.token:
                    self._make_order(now_ms, changes)
        return self._repeat_order(reports)

    def _begin_tenure(self, now_ms: float, token: int) -> None:
        """Forget all reports: only later ones tell the newest order that a majority knows."""
        self._tenure_token = token
        self._coordinator = None
        self._reports.clear()
        self._reports.record(now_ms, self.me, self._make_report(now_ms))

    def _knows_newest_order(self, reports: Mapping[str, RegionReport]) -> bool:
        """Whether a majority of recovered members has reported, and none of the reports names a newer order."""
        newest = max((version_of(report) for report in reports.values()), default=NO_ORDER)
        recovered = sum(report.recovered for report in reports.values())
        return self._is_majority(recovered) and newest <= self.order.version

    def _acknowledged(self, reports: Mapping[str, RegionReport]) -> bool:
        """Whether a majority has applied the newest order."""
        return self._is_majority(sum(version_of(report) >= self.order.version for report in reports.values()))

    def _usable_statistics(self, reports: Mapping[str, RegionReport]) -> Reports:
        """By member without a fault of its own, its statistics since it applied the newest order."""
        return {
            member: {
                self.order.names[number]: statistics
                for number, statistics in report.statistics.items()
                if number in self.order.names
            }
            for member, report in reports.items()
            if not report.local_fault and version_of(report) == self.order.version
        }

    def _make_order(self, now_ms: float, changes: RegionTable) -> None:
        """Make and apply an order with ``changes``, if this proxy still holds the lease of its tenure."""
        token = self._leases.held_token(LEASE, now_ms)
        if token is None or token != self._tenure_token or self._coordinator is None:
            return
        self._coordinator.apply(now_ms, changes)
        table = self._coordinator.table
        statuses = {region_id(name): status for name, status in table.items() if status != RegionStatus()}
        epoch = self.order.epoch + 1
        self.note("order", token=token, epoch=epoch, changes=history_table(changes))
        self._count("orders")
        self._apply_order(now_ms, CoordinatorOrder(token, epoch, statuses), self.me)
        self._reports.record(now_ms, self.me, self._make_report(now_ms))

    def _repeat_order(self, reports: Mapping[str, RegionReport]) -> Outgoing:
        """The newest order to each member that has not acknowledged it, and as a heartbeat to all now and then."""
        others = [member for member in self.members if member != self.me]
        if not self.order.epoch:
            return [(member, CoordinatorOrder(*NO_ORDER)) for member in others if member not in reports]
        order = self.order.message()
        heartbeat = self._seq % HEARTBEAT_REPORTS == 0
        return [
            (member, order)
            for member in others
            if heartbeat or member not in reports or version_of(reports[member]) < self.order.version
        ]

    # Operators ---------------------------------------------------------------------------------------------

    def submit(self, now_ms: float, number: int, region: str, command: OperatorCommand, operator: int) -> Outgoing:
        """Pass an operator's command to the coordinator; :meth:`response` has its response once it has come."""
        request = OperatorRequest(number, region_id(region), command, operator)
        holder = self._leases.holder(LEASE, now_ms)
        if holder and holder != self.me:
            return [(holder, request)]
        self._responses[number] = self._execute(now_ms, request)
        return []

    def response(self, number: int) -> OperatorResponse | None:
        """The response to the command with ``number``; ``None`` as long as there is none."""
        return self._responses.get(number)

    def discard_response(self, number: int) -> None:
        """Drop the response to the command with ``number``, for a retry."""
        self._responses.pop(number, None)

    def _execute(self, now_ms: float, request: OperatorRequest) -> OperatorResponse:
        """As the coordinator: make an order of the command, or say why not."""
        outcome = self._command_outcome(now_ms, request)
        return OperatorResponse(request.region, outcome, request.number)

    def _command_outcome(self, now_ms: float, request: OperatorRequest) -> CommandOutcome:
        name = self.order.names.get(request.region)
        if name is None:
            return CommandOutcome.UNKNOWN
        if self._coordinator is None or self._leases.held_token(LEASE, now_ms) != self._tenure_token:
            return CommandOutcome.NOT_COORDINATOR
        standing = self._standing_requests.get(request.region)
        if standing is not None and standing.number == request.number:
            return CommandOutcome.DONE  # a repeat
        if not self._acknowledged(self._current_reports(now_ms)):
            return CommandOutcome.BUSY
        status = self._coordinator.table.get(name, RegionStatus())
        if standing is not None and standing.operator != request.operator and status.operator_hold:
            return CommandOutcome.REFUSED_OTHER
        leaves = request.command is OperatorCommand.OUT and status.traffic_fraction == 1.0
        if leaves and not self._coordinator.may_leave(name, self.sizes):
            return CommandOutcome.REFUSED_GUARD
        self._standing_requests[request.region] = request
        self._make_order(now_ms, {name: operator_commands.status_after(request.command, status)})
        return CommandOutcome.DONE

    def state(self, now_ms: float) -> dict[str, object]:
        """The operators' page ``/regions``, as a JSON object."""
        return {
            "member": self.me,
            "steward": self._leases.holder(LEASE, now_ms),
            "token": self.order.token,
            "epoch": self.order.epoch,
            "stewarding": self._coordinator is not None,
            "own_fault": self.evidence.local_fault(now_ms),
            "regions": self._region_pages(self.evidence.statistics(now_ms)),
        }

    def _region_pages(self, statistics: Mapping[str, RegionStatistics]) -> dict[str, object]:
        none = RegionStatistics()
        return {
            name: operator_commands.region_page(status, self.sizes[name], statistics.get(name, none))
            for name, status in sorted(self.order.table().items())
        }

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1
