"""Reports of duties that wait to be piggybacked on membership messages (infection-style dissemination)."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from beechslip.fleet.messages import DutyReport


class _Queued(NamedTuple):
    report: DutyReport
    left: int  # transmissions left


class ReportQueue:
    """The newest report of each duty, until it has been sent ``copies`` times."""

    def __init__(self, copies: int, per_message: int) -> None:
        """``per_message`` is the most that :meth:`take` returns at once."""
        self._copies = copies
        self._per_message = per_message
        self._queue: dict[str, _Queued] = {}

    def __bool__(self) -> bool:
        """Whether anything is to be sent."""
        return bool(self._queue)

    def duties(self) -> set[str]:
        """The duties with a report to be sent."""
        return set(self._queue)

    def add(self, report: DutyReport) -> None:
        """Queue ``report`` unless one at least as new is queued for its duty."""
        queued = self._queue.get(report.duty)
        if queued is None or queued.report.at_ms < report.at_ms:
            self._queue[report.duty] = _Queued(report, self._copies)

    def retain(self, duties: Container[str]) -> None:
        """Drop the reports of all other duties."""
        for duty in [duty for duty in self._queue if duty not in duties]:
            del self._queue[duty]

    def take(self) -> tuple[DutyReport, ...]:
        """The newest reports for one message."""
        newest = sorted(self._queue.items(), key=lambda item: -item[1].report.at_ms)
        chosen = newest[: self._per_message]
        for duty, queued in chosen:
            if queued.left <= 1:
                del self._queue[duty]
            else:
                self._queue[duty] = queued._replace(left=queued.left - 1)
        return tuple(queued.report for _, queued in chosen)
