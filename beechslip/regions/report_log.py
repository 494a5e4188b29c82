"""The newest report of each member that a coordinator has received."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from beechslip.regions.messages import CoordinatorOrder, RegionReport

NO_ORDER_VERSION = (0, 0)  # the version of a member that has not applied any order


def order_version(message: RegionReport | CoordinatorOrder) -> tuple[int, int]:
    """Return the version (token and epoch) of an order, or of the order that a report acknowledges."""
    return message.token, message.epoch


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """A report and the steady-clock time (ms) at which it was received."""

    received_ms: float
    report: RegionReport


class ReportLog:
    """The newest report of each member and the time at which it was received. Times are steady-clock ms."""

    def __init__(self) -> None:
        """Create a log without reports."""
        self._reports: dict[str, _ReceivedReport] = {}

    def record(self, now_ms: float, sender: str, report: RegionReport) -> None:
        """Keep ``report`` if it is the newest of ``sender``; ignore duplicate and overtaken reports."""
        received = self._reports.get(sender)
        if received is not None:
            last = received.report
            if last.incarnation == report.incarnation and last.seq >= report.seq:
                return
        self._reports[sender] = _ReceivedReport(now_ms, report)

    def clear(self) -> None:
        """Remove all reports."""
        self._reports.clear()

    def unexpired_reports(self, now_ms: float, members: Collection[str], expiry_ms: float) -> dict[str, RegionReport]:
        """Return the newest report of each of the ``members`` whose report is younger than ``expiry_ms``."""
        return {
            member: received.report
            for member, received in self._reports.items()
            if member in members and now_ms - received.received_ms < expiry_ms
        }
