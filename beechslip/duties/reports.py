"""Reports of duties that wait to be piggybacked on membership messages (gossip dissemination)."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from beechslip.fleet.messages import DutyReport


class _QueuedReport(NamedTuple):
    report: DutyReport
    sends_left: int  # how many times it is still to be sent


class ReportQueue:
    """The newest report of each duty, until it has been sent ``copies`` times."""

    def __init__(self, copies: int, per_message: int) -> None:
        """``per_message`` is the most reports that :meth:`take` returns at once."""
        self._copies = copies
        self._per_message = per_message
        self._queue: dict[str, _QueuedReport] = {}

    def __bool__(self) -> bool:
        """Return whether any report is to be sent."""
        return bool(self._queue)

    def duties(self) -> set[str]:
        """Return the duties with a report to be sent."""
        return set(self._queue)

    def add(self, report: DutyReport) -> None:
        """Queue ``report`` unless one that is at least as new is queued for its duty."""
        queued = self._queue.get(report.duty)
        if queued is None or queued.report.at_ms < report.at_ms:
            self._queue[report.duty] = _QueuedReport(report, self._copies)

    def retain(self, duties: Container[str]) -> None:
        """Drop the reports of all duties other than ``duties``."""
        for duty in [duty for duty in self._queue if duty not in duties]:
            del self._queue[duty]

    def take(self) -> tuple[DutyReport, ...]:
        """Return the newest reports for one message, and count them as sent once."""
        newest = sorted(self._queue.items(), key=lambda item: -item[1].report.at_ms)
        chosen = newest[: self._per_message]
        for duty, queued in chosen:
            if queued.sends_left <= 1:
                del self._queue[duty]
            else:
                self._queue[duty] = queued._replace(sends_left=queued.sends_left - 1)
        return tuple(queued.report for _, queued in chosen)
