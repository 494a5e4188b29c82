"""Judges orders over real proxies by what the proxies' own logs say of each process.

A proxy writes two lines with its name and process: when it listens, and when it has answered all and ends. That is
the truth that the lab knows: which processes each instance had, and which of them ended in order. Rules:

- ``report-untrue``: an instance is called done whose last process did not end in order (unless the report says that
  nobody saw how), or one is blamed whose process did; or a drained one that still answers;
- ``not-ended``: an order that has not ended in the time given, many times what it takes;
- ``unanswered``: a request to a proxy that was not killed, stopped, drained or restarted just then got no answer.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from beechslip.orders.model import Order, Step
from beechslip.orders.step_run import EXIT_NOT_OBSERVED

LIFECYCLE_LINE = re.compile(r"(\S+) beechslip (\S+), process (\d+), (listens|has answered)")
SIGTERM_LINE = re.compile(r"(\S+) beechslip (\S+), process (\d+), (is shutting down)")
LISTENS = "listens"

ENDED_PROCESS = re.compile(r"process (\d+) (?:ended|killed)")
ENDED_BEFORE_SERVING = "ended with -15"
"""In a step's detail: SIGTERM came before the process had begun to serve, so it has no lines of its own."""

NOT_RUNNING = "was not running"

DAY_S = 86_400.0
BEFORE_END_S = 2.0
AROUND_END_S = 10.0
SHOWN_REQUESTS = 3


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """What a proxy logged of itself; ``at`` is the time of day as it stands in the log."""

    at: str
    instance: str
    pid: int
    event: str

    @property
    def is_end(self) -> bool:
        """Whether the process has answered all and ends."""
        return self.event != LISTENS


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that got no answer: to which instance, and at which second of the day."""

    instance: str
    second_of_day: float


@dataclass
class Outcome:
    """The result of a case; ``violations`` by rule and text.

    ``worst`` is the least fraction of requests served in any second while the order ran; ``rejected`` has the reasons
    of orders that were rejected.
    """

    orders: list[Order]
    violations: list[str] = field(default_factory=list)
    took_s: float = 0.0
    answers: dict[str, int] = field(default_factory=dict)
    worst: float = 1.0
    rejected: list[str] = field(default_factory=list)


def second_of_day(text: str) -> float:
    """The seconds since midnight of a time as logs have it, such as ``12:00:01,250``."""
    hours, minutes, seconds = text.replace(",", ".").split(":")
    return 3600.0 * int(hours) + 60.0 * int(minutes) + float(seconds)


def read_lines(folder: Path, form: re.Pattern[str] = LIFECYCLE_LINE) -> list[LogLine]:
    """The lines of a form in the logs of all agents, whose proxies write there too, by time of day."""
    found = []
    for path in sorted(folder.glob("a*.log")):
        text = path.read_text(errors="replace")
        found += [LogLine(m[1], m[2], int(m[3]), m[4]) for m in form.finditer(text)]
    return sorted(found)


class Judge:
    """Adds violations to an outcome. ``answering``: by instance, whether it answers its health check at the end."""

    def __init__(self, outcome: Outcome, lines: Sequence[LogLine], answering: Mapping[str, bool]) -> None:
        """``lines`` are the lifecycle lines of all proxies."""
        self._outcome = outcome
        self._lines = lines
        self._answering = answering
        self._ended_in_order = {line.pid for line in lines if line.is_end}

    def judge(self, unanswered: Sequence[UnansweredRequest]) -> None:
        """Judge all orders, and the requests that got no answer."""
        for order in self._outcome.orders:
            self._judge_order(order)
        self._judge_requests(unanswered)

    def _violation(self, text: str) -> None:
        self._outcome.violations.append(text)

    def _judge_order(self, order: Order) -> None:
        if order.state == "refused":
            self._outcome.rejected.append(order.why)
            return
        if order.state != "done":
            self._violation(f"not-ended: {order} is {order.state}: {order.why}")
        is_last = order is self._outcome.orders[-1]
        for step in order.steps:
            pids = [x.pid for x in self._lines if x.instance == step.instance and not x.is_end]
            named = [int(pid) for pid in ENDED_PROCESS.findall(step.detail)]
            self._judge_named(order, step, pids, named)
            if order.kind == "drain" and is_last and step.state == "done":
                self._judge_drained(order, step, pids, named)
            if order.kind == "restart" and step.state == "done" and len(set(pids)) < 2:
                self._violation(f"report-untrue: {order}: {step.instance} is said to be restarted, and had {pids}")

    def _judge_named(self, order: Order, step: Step, pids: list[int], named: list[int]) -> None:
        """The processes that a step's detail names must be the instance's, and have ended as it says."""
        blamed = step.state == "died"
        for pid in named:
            in_order = pid in self._ended_in_order
            if pid not in pids:
                if ENDED_BEFORE_SERVING not in step.detail:
                    self._violation(f"report-untrue: {order}: {step.instance} {step.detail}: it had {pids}")
            elif in_order is blamed:
                how = "ended in order" if in_order else "did not end in order"
                self._violation(
                    f"report-untrue: {order}: {step.instance} {step.state}, {step.detail}, but process {pid} {how}"
                )

    def _judge_drained(self, order: Order, step: Step, pids: list[int], named: list[int]) -> None:
        """An instance that is said to be drained does not answer, and its last process has ended in order."""
        if self._answering[step.instance]:
            self._violation(f"report-untrue: {order}: {step.instance} is done and answers")
        unseen = EXIT_NOT_OBSERVED in step.detail or NOT_RUNNING in step.detail
        # The process that the step ended may never have served: then the last that did is an earlier one.
        never_served = ENDED_BEFORE_SERVING in step.detail and bool(named) and named[-1] not in pids
        if pids and pids[-1] not in self._ended_in_order and not unseen and not never_served:
            self._violation(f"report-untrue: {order}: {step.instance} is done, but {pids[-1]} did not end in order")

    def _judge_requests(self, unanswered: Sequence[UnansweredRequest]) -> None:
        """A proxy that ends closes its address on connections that it has not accepted: clients go elsewhere."""
        ends = [(line.instance, second_of_day(line.at)) for line in self._lines if line.is_end]
        lost = [
            (request.instance, request.second_of_day)
            for request in unanswered
            if not any(
                request.instance == instance and (end - request.second_of_day + BEFORE_END_S) % DAY_S <= AROUND_END_S
                for instance, end in ends
            )
        ]
        if lost:
            self._violation(
                f"unanswered: {len(lost)} requests to proxies that nothing was done to: {lost[:SHOWN_REQUESTS]}"
            )
