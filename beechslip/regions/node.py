"""The region state machine of one proxy: its reports, the order that it applies, and its tenure as coordinator.

The state machine does no I/O; :meth:`RegionNode.tick` and :meth:`RegionNode.receive` drive it. Orders are totally
ordered by (token, epoch). A proxy applies an order only if it is newer than its last one, and acknowledges it in its
next report. The holder of the lease ``LEASE`` is the coordinator:

- It begins a tenure by collecting reports from a majority of the declared members, itself included. It continues
  from the newest order that any of them has applied. A member that has just started counts only once it has applied
  an order, or after ``recovery_ms``.
- It makes an order only while it holds the lease, and only once a majority has acknowledged the last order. The new
  order has the next epoch.
- It repeats the order to each member until the member has acknowledged it.

A proxy without a coordinator for ``order_expiry_ms`` drops its order, and routes as if all regions were in.
"""

from __future__ import annotations

from collections.abc import Mapping

from beechslip.regions import operator_commands
from beechslip.regions.applied_order import AppliedOrder, table_for_history
from beechslip.regions.coordinator import CoordinatorTuning, RegionCoordinator
from beechslip.regions.detection import ReportedStatistics
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
    HistoryWriter,
    LeaseView,
    OutgoingMessages,
    RegionTiming,
    discard_history_event,
)
from beechslip.regions.report_log import NO_ORDER_VERSION, ReportLog, order_version
from beechslip.regions.status import RegionStatus, RegionTable

HEARTBEAT_INTERVAL_REPORTS = 8  # the coordinator sends its order to all members again after this many of its reports
MAX_KEPT_RESPONSES = 16  # responses to operators' commands, kept until they are fetched


class RegionNode:
    """The state machine of one proxy. Times are steady-clock ms and are passed in by the caller.

    ``event_counts`` has the numbers of orders made (``orders``), applied (``taken``) and dropped (``forgotten``).
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
        note: HistoryWriter = discard_history_event,
    ) -> None:
        """Create the node of ``me``, one of the declared ``members``; ``note`` writes history events."""
        self.me = me
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.members = members
        self.note = note
        self.tuning = tuning or CoordinatorTuning()
        self.timing = timing or RegionTiming()
        self.evidence = FailureEvidence()
        self.backend_counts: dict[str, int] = {}  # backends in service, by listed region
        self.strained_regions: frozenset[str] = frozenset()  # their step is prolonged while this is the coordinator
        self.applied_order = AppliedOrder(started_ms)
        self.event_counts: dict[str, int] = {}
        self._leases = leases
        self._reports = ReportLog()
        self._next_report_ms = started_ms
        self._seq = 0
        self._coordinator: RegionCoordinator | None = None
        self._tenure_token = 0  # the lease token of this proxy's current or last tenure
        self._last_done_requests: dict[int, OperatorRequest] = {}  # the last command that was done, by region id
        self._responses: dict[int, OperatorResponse] = {}  # to commands submitted at this proxy, by number

    # The applied order -------------------------------------------------------------------------------------

    def set_regions(self, backend_counts: Mapping[str, int]) -> None:
        """Set the regions in the change log, with the number of backends in service of each."""
        self.backend_counts = dict(backend_counts)
        self.applied_order.set_regions(backend_counts)
        self.evidence.set_regions(backend_counts)

    def has_recovered(self, now_ms: float) -> bool:
        """True if this member counts as knowing the newest order that it ever applied."""
        return self.applied_order.epoch > 0 or now_ms >= self.started_ms + self.timing.recovery_ms

    def _apply_order(self, now_ms: float, order: CoordinatorOrder, sender: str) -> None:
        """Apply ``order`` if it is newer than the last; drop earlier evidence on the regions that it changes."""
        changed = self.applied_order.apply_if_newer(now_ms, order)
        if changed is None:
            return
        self.evidence.reset_regions(changed)
        self._count_event("taken")
        table = self.applied_order.table()
        self.note(
            "changeover",
            token=order.token,
            epoch=order.epoch,
            steward=sender,
            away=sorted(name for name, status in table.items() if status.traffic_fraction < 1.0),
            places=table_for_history({name: status for name, status in table.items() if status != RegionStatus()}),
        )

    def _drop_expired_order(self, now_ms: float) -> None:
        """Drop the order if there has been no coordinator for ``order_expiry_ms``.

        This proxy may be in a minority, and the order may have been superseded long ago.
        """
        if not self.applied_order.is_expired(now_ms, self.timing.order_expiry_ms) or self._leases.holder(
            LEASE, now_ms
        ):
            return
        self.applied_order.clear_table()
        self._count_event("forgotten")
        self.note("forgotten", token=self.applied_order.token, epoch=self.applied_order.epoch)

    # Time and messages -------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> OutgoingMessages:
        """Do what is due at ``now_ms`` and return the messages to send."""
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
        return self._run_coordinator_round(now_ms)

    def receive(self, now_ms: float, sender: str, message: RegionMessage) -> OutgoingMessages:
        """Handle a message from ``sender`` and return the messages to send in response."""
        if isinstance(message, RegionReport):
            self._reports.record(now_ms, sender, message)
            return (
                [(sender, CoordinatorOrder(*NO_ORDER_VERSION))]
                if order_version(message) > self.applied_order.version
                else []
            )
        if isinstance(message, CoordinatorOrder):
            return self._receive_order(now_ms, sender, message)
        if isinstance(message, OperatorRequest):
            return [(sender, self._execute_command(now_ms, message))]
        recent = list(self._responses.items())[-(MAX_KEPT_RESPONSES - 1) :]
        self._responses = {**dict(recent), message.number: message}
        return []

    def _receive_order(self, now_ms: float, sender: str, order: CoordinatorOrder) -> OutgoingMessages:
        """Apply an order, or return this proxy's own order to a sender that asks for it with epoch 0."""
        if order.epoch:
            self._apply_order(now_ms, order, sender)
            return []
        # The sender has missed an order and asks for the newest order that this proxy has applied.
        return [(sender, self.applied_order.to_message())] if self.applied_order.epoch else []

    def _make_report(self, now_ms: float) -> RegionReport:
        """Return the next report of this proxy."""
        self._seq += 1
        statistics = list(self.evidence.statistics(now_ms).items())[:MAX_REPORT_REGIONS]
        return RegionReport(
            self.incarnation,
            self._seq,
            self.applied_order.token,
            self.applied_order.epoch,
            self.evidence.has_local_fault(now_ms),
            self.has_recovered(now_ms),
            {region_id(name): region for name, region in statistics},
        )

    # The coordinator's tenure ------------------------------------------------------------------------------

    def _current_reports(self, now_ms: float) -> dict[str, RegionReport]:
        """Return the newest report of each declared member whose report has not expired."""
        return self._reports.unexpired_reports(now_ms, self.members, self.timing.report_expiry_ms)

    def _is_majority(self, count: int) -> bool:
        """True if ``count`` members are a majority of the declared members."""
        return 2 * count > len(self.members)

    def _run_coordinator_round(self, now_ms: float) -> OutgoingMessages:
        """Begin the tenure of the lease holder, or make the order that is due and repeat the newest one."""
        token = self._leases.held_token(LEASE, now_ms)
        if token is None:
            return []
        if token != self._tenure_token:
            self._begin_tenure(now_ms, token)
            return []
        reports = self._current_reports(now_ms)
        if self._coordinator is None and self._knows_newest_order(reports):
            self._coordinator = RegionCoordinator(self.tuning, self.applied_order.table(), now_ms)
        if self._coordinator is not None and self._is_acknowledged_by_majority(reports):
            usable_statistics = self._usable_statistics(reports)
            # Without such a majority most members have a fault of their own, and no region is at fault.
            if self._is_majority(len(usable_statistics)):
                changes = self._coordinator.decide_changes(
                    now_ms, self.backend_counts, usable_statistics, self.strained_regions
                )
                if changes or token != self.applied_order.token:
                    self._make_order(now_ms, changes)
        return self._repeat_order(reports)

    def _begin_tenure(self, now_ms: float, token: int) -> None:
        """Drop all reports, because only later ones show which order is the newest that a majority knows."""
        self._tenure_token = token
        self._coordinator = None
        self._reports.clear()
        self._reports.record(now_ms, self.me, self._make_report(now_ms))

    def _knows_newest_order(self, reports: Mapping[str, RegionReport]) -> bool:
        """True if a majority of recovered members has reported and no report acknowledges a newer order."""
        newest = max((order_version(report) for report in reports.values()), default=NO_ORDER_VERSION)
        recovered_members = sum(report.has_recovered for report in reports.values())
        return self._is_majority(recovered_members) and newest <= self.applied_order.version

    def _is_acknowledged_by_majority(self, reports: Mapping[str, RegionReport]) -> bool:
        """True if a majority has applied the newest order."""
        return self._is_majority(
            sum(order_version(report) >= self.applied_order.version for report in reports.values())
        )

    def _usable_statistics(self, reports: Mapping[str, RegionReport]) -> ReportedStatistics:
        """Return the statistics of each member that has no local fault and has applied the newest order."""
        return {
            member: {
                self.applied_order.region_names[number]: statistics
                for number, statistics in report.statistics.items()
                if number in self.applied_order.region_names
            }
            for member, report in reports.items()
            if not report.has_local_fault and order_version(report) == self.applied_order.version
        }

    def _make_order(self, now_ms: float, changes: RegionTable) -> None:
        """Make and apply an order with ``changes`` if this proxy still holds the lease of its tenure."""
        token = self._leases.held_token(LEASE, now_ms)
        if token is None or token != self._tenure_token or self._coordinator is None:
            return
        self._coordinator.apply_changes(now_ms, changes)
        table = self._coordinator.table
        statuses = {region_id(name): status for name, status in table.items() if status != RegionStatus()}
        epoch = self.applied_order.epoch + 1
        self.note("order", token=token, epoch=epoch, changes=table_for_history(changes))
        self._count_event("orders")
        self._apply_order(now_ms, CoordinatorOrder(token, epoch, statuses), self.me)
        self._reports.record(now_ms, self.me, self._make_report(now_ms))

    def _repeat_order(self, reports: Mapping[str, RegionReport]) -> OutgoingMessages:
        """Return the newest order for each member that has not acknowledged it.

        Every ``HEARTBEAT_INTERVAL_REPORTS`` reports it goes to all members as a heartbeat. Before the first order,
        members without a report are asked for theirs.
        """
        others = [member for member in self.members if member != self.me]
        if not self.applied_order.epoch:
            return [(member, CoordinatorOrder(*NO_ORDER_VERSION)) for member in others if member not in reports]
        order = self.applied_order.to_message()
        is_heartbeat_due = self._seq % HEARTBEAT_INTERVAL_REPORTS == 0
        return [
            (member, order)
            for member in others
            if is_heartbeat_due
            or member not in reports
            or order_version(reports[member]) < self.applied_order.version
        ]

    # Operators ---------------------------------------------------------------------------------------------

    def submit_command(
        self, now_ms: float, number: int, region: str, command: OperatorCommand, operator: int
    ) -> OutgoingMessages:
        """Pass an operator's command to the coordinator; :meth:`command_response` returns the response."""
        request = OperatorRequest(number, region_id(region), command, operator)
        holder = self._leases.holder(LEASE, now_ms)
        if holder and holder != self.me:
            return [(holder, request)]
        self._responses[number] = self._execute_command(now_ms, request)
        return []

    def command_response(self, number: int) -> OperatorResponse | None:
        """Return the response to the command with ``number``, or ``None`` if there is none yet."""
        return self._responses.get(number)

    def discard_command_response(self, number: int) -> None:
        """Drop the response to the command with ``number``, so that the command can be retried."""
        self._responses.pop(number, None)

    def _execute_command(self, now_ms: float, request: OperatorRequest) -> OperatorResponse:
        """Make an order with the command if this proxy is the coordinator, and return the outcome."""
        outcome = self._command_outcome(now_ms, request)
        return OperatorResponse(request.region, outcome, request.number)

    def _command_outcome(self, now_ms: float, request: OperatorRequest) -> CommandOutcome:
        """Carry out the command if it is allowed, and return its outcome."""
        name = self.applied_order.region_names.get(request.region)
        if name is None:
            return CommandOutcome.UNKNOWN
        if self._coordinator is None or self._leases.held_token(LEASE, now_ms) != self._tenure_token:
            return CommandOutcome.NOT_COORDINATOR
        last_done = self._last_done_requests.get(request.region)
        if last_done is not None and last_done.number == request.number:
            return CommandOutcome.DONE  # a repeated request
        if not self._is_acknowledged_by_majority(self._current_reports(now_ms)):
            return CommandOutcome.BUSY
        status = self._coordinator.table.get(name, RegionStatus())
        if last_done is not None and last_done.operator != request.operator and status.has_operator_hold:
            return CommandOutcome.REFUSED_OTHER
        is_leaving = request.command is OperatorCommand.OUT and status.traffic_fraction == 1.0
        if is_leaving and not self._coordinator.may_leave(name, self.backend_counts):
            return CommandOutcome.REFUSED_GUARD
        self._last_done_requests[request.region] = request
        self._make_order(now_ms, {name: operator_commands.status_after_command(request.command, status)})
        return CommandOutcome.DONE

    def state(self, now_ms: float) -> dict[str, object]:
        """Return the operators' page ``/regions`` as a JSON object."""
        return {
            "member": self.me,
            "steward": self._leases.holder(LEASE, now_ms),
            "token": self.applied_order.token,
            "epoch": self.applied_order.epoch,
            "stewarding": self._coordinator is not None,
            "own_fault": self.evidence.has_local_fault(now_ms),
            "regions": self._region_entries(self.evidence.statistics(now_ms)),
        }

    def _region_entries(self, statistics: Mapping[str, RegionStatistics]) -> dict[str, object]:
        """Return the page's entry of each listed region."""
        no_statistics = RegionStatistics()
        return {
            name: operator_commands.region_entry(
                status, self.backend_counts[name], statistics.get(name, no_statistics)
            )
            for name, status in sorted(self.applied_order.table().items())
        }

    def _count_event(self, event: str) -> None:
        self.event_counts[event] = self.event_counts.get(event, 0) + 1
