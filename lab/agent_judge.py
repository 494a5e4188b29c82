"""Checks the reports of orders over real proxies against the proxies' own logs.

A proxy writes two lines with its name and process: one when it listens, and one when it has answered all requests and
exits; or a single one if it is told to end before it serves. From these lines the lab knows which processes each
instance had and which of them exited cleanly. Rules:

- ``report-untrue``: an instance is reported as done although its last process did not exit cleanly (unless the report
  says that nobody saw how it ended), or as failed although its process exited cleanly; or a drained instance still
  answers;
- ``not-ended``: an order has not ended in the time given, which is many times what it takes;
- ``unanswered``: a request got no answer from a proxy that was not killed, stopped, drained or restarted just then.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from beechslip.orders.model import Order, Step
from beechslip.orders.step_run import EXIT_NOT_OBSERVED

LIFECYCLE_LINE = re.compile(r"(\S+) beechslip (\S+), process (\d+), (listens|has answered|is shutting down before)")
SIGTERM_LINE = re.compile(r"(\S+) beechslip (\S+), process (\d+), (is shutting down)")
LISTENS = "listens"
HAS_ANSWERED = "has answered"
NEVER_SERVES = "is shutting down before"

ENDED_PROCESS = re.compile(r"process (\d+) (?:ended|killed)")
ENDED_BEFORE_SERVING = "ended with -15"
"""Text in a step's detail: SIGTERM came before the process had installed its handlers, so it logged no lines."""

NOT_RUNNING = "was not running"
"""Text in a step's detail: there was no process to end."""

DAY_S = 86_400.0
AFTER_END_S = 2.0
"""A request may be found unanswered up to this long after a process has logged its end."""

AROUND_END_S = 10.0
"""Length of the whole period in which requests may be found unanswered; most of it is before the logged end."""

MAX_SHOWN_REQUESTS = 3


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """A line that a proxy logged about its own process; ``at`` is the time of day as written in the log."""

    at: str
    instance: str
    pid: int
    event: str

    @property
    def is_end(self) -> bool:
        """True if the line says that the process has answered all requests and exits."""
        return self.event == HAS_ANSWERED


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that got no answer: its instance, and the second of the day at which that was known."""

    instance: str
    second_of_day: float


@dataclass
class CaseOutcome:
    """The result of a case. Each violation is a text that begins with the name of the rule.

    ``min_served_fraction`` is the least fraction of requests served in any second while the orders ran. ``rejected``
    has the reasons for which orders were rejected. ``answers`` counts the requests by their answer.
    """

    orders: list[Order]
    violations: list[str] = field(default_factory=list)
    took_s: float = 0.0
    answers: dict[str, int] = field(default_factory=dict)
    min_served_fraction: float = 1.0
    rejected: list[str] = field(default_factory=list)


def second_of_day(text: str) -> float:
    """Return the seconds since midnight of a time as it is written in logs, such as ``12:00:01,250``."""
    hours, minutes, seconds = text.replace(",", ".").split(":")
    return 3600.0 * int(hours) + 60.0 * int(minutes) + float(seconds)


def read_lines(folder: Path, pattern: re.Pattern[str] = LIFECYCLE_LINE) -> list[LogLine]:
    """Return the lines that match ``pattern`` in the logs of all agents, by time of day.

    Proxies write to the log of their agent.
    """
    found = []
    for path in sorted(folder.glob("a*.log")):
        text = path.read_text(errors="replace")
        found += [LogLine(m[1], m[2], int(m[3]), m[4]) for m in pattern.finditer(text)]
    return sorted(found)


class OrderReportChecker:
    """Adds the violations of this module's rules to an outcome."""

    def __init__(self, outcome: CaseOutcome, lines: Sequence[LogLine], answering: Mapping[str, bool]) -> None:
        """Check ``outcome`` against ``lines``, the lifecycle lines of all proxies.

        ``answering`` tells for each instance whether it answers its health check at the end.
        """
        self._outcome = outcome
        self._lines = lines
        self._answering = answering
        self._cleanly_ended_pids = {line.pid for line in lines if line.is_end}
        self._never_serving = {(line.instance, line.pid) for line in lines if line.event == NEVER_SERVES}

    def check(self, unanswered: Sequence[UnansweredRequest]) -> None:
        """Check all orders, and the requests that got no answer."""
        for order in self._outcome.orders:
            self._check_order(order)
        self._check_requests(unanswered)

    def _violation(self, text: str) -> None:
        self._outcome.violations.append(text)

    def _check_order(self, order: Order) -> None:
        if order.state == "refused":
            self._outcome.rejected.append(order.why)
            return
        if order.state != "done":
            self._violation(f"not-ended: {order} is {order.state}: {order.why}")
        is_last = order is self._outcome.orders[-1]
        for step in order.steps:
            pids = [x.pid for x in self._lines if x.instance == step.instance and x.event == LISTENS]
            named = [int(pid) for pid in ENDED_PROCESS.findall(step.detail)]
            self._check_named_processes(order, step, pids, named)
            if order.kind == "drain" and is_last and step.state == "done":
                self._check_drained(order, step, pids, named)
            if order.kind == "restart" and step.state == "done" and len(set(pids)) < 2:
                self._violation(
                    f"report-untrue: {order}: {step.instance} is reported as restarted, but its processes were {pids}"
                )

    def _check_named_processes(self, order: Order, step: Step, pids: list[int], named: list[int]) -> None:
        """Check that the processes named in a step's detail belong to the instance and ended as it says."""
        is_blamed = step.state == "died"
        for pid in named:
            ended_cleanly = pid in self._cleanly_ended_pids
            if pid not in pids:
                is_known_as_ended = (step.instance, pid) in self._never_serving and not is_blamed
                if ENDED_BEFORE_SERVING not in step.detail and not is_known_as_ended:
                    self._violation(
                        f"report-untrue: {order}: {step.instance} {step.detail}, but its processes were {pids}"
                    )
            elif ended_cleanly is is_blamed:
                how = "exited cleanly" if ended_cleanly else "did not exit cleanly"
                self._violation(
                    f"report-untrue: {order}: {step.instance} {step.state}, {step.detail}, but process {pid} {how}"
                )

    def _check_drained(self, order: Order, step: Step, pids: list[int], named: list[int]) -> None:
        """Check that an instance reported as drained does not answer and that its last process exited cleanly."""
        if self._answering[step.instance]:
            self._violation(f"report-untrue: {order}: {step.instance} is reported as drained, but answers")
        is_unseen = EXIT_NOT_OBSERVED in step.detail or NOT_RUNNING in step.detail
        # If the process that the step ended has never served, the last process in the log is an earlier one.
        has_never_served = bool(named) and named[-1] not in pids and self._has_never_served(step, named[-1])
        if pids and pids[-1] not in self._cleanly_ended_pids and not is_unseen and not has_never_served:
            self._violation(
                f"report-untrue: {order}: {step.instance} is done, but process {pids[-1]} did not exit cleanly"
            )

    def _has_never_served(self, step: Step, pid: int) -> bool:
        """Return True if a process that never listened can be one of the step's instance that was told to end."""
        return ENDED_BEFORE_SERVING in step.detail or (step.instance, pid) in self._never_serving

    def _check_requests(self, unanswered: Sequence[UnansweredRequest]) -> None:
        """Report unanswered requests to proxies that were not just ending.

        A proxy that exits drops the connections that it has not accepted yet, and their clients go to another proxy.
        """
        ends = [(line.instance, second_of_day(line.at)) for line in self._lines if line.is_end]
        lost = [
            (request.instance, request.second_of_day)
            for request in unanswered
            if not any(
                request.instance == instance and (end - request.second_of_day + AFTER_END_S) % DAY_S <= AROUND_END_S
                for instance, end in ends
            )
        ]
        if lost:
            self._violation(
                f"unanswered: {len(lost)} requests to proxies without a fault or an end: {lost[:MAX_SHOWN_REQUESTS]}"
            )
