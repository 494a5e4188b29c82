"""Estimated durations: transfer times by class and by copy, and when an answer is overdue."""

from __future__ import annotations

import math

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.state import OpenRequest

MEAN_UPDATE_WEIGHT = 0.02  # weight of a new request in a running mean, which thus covers about fifty
DEFAULT_OBJECTIVE_S = 1.0  # s, the document's maximum wait; used where a class states no latency objective
OVERDUE_FRACTION = 0.05  # fraction of the answers that are to be overdue
OVERDUE_FACTOR_STEP = 0.05  # relative change of the overdue factor by one late answer
MAX_OVERDUE_FACTOR = 4.0  # multiples of half the latency objective
MIN_TRANSFER_STRETCH = 1.1  # multiples of its transfer time that an answer takes at least, with all delays
MAX_COPIES = 20_000  # copies whose transfer time is kept where requests do not state a size


class DurationEstimates:
    """Owns the transfer times by class and by copy, and the overdue factors by class."""

    def __init__(self, context: RoutingContext) -> None:
        """Start without any observation."""
        self._context = context
        self.mean_transfer_time: dict[str, float] = {}  # s, by class
        # s, by copy: its fastest answer, where sizes are not stated.
        self.copy_transfer_time: dict[int, float] = {}
        self.overdue_factor: dict[str, float] = {}  # by class, multiples of half the latency objective

    def open_request(self, event: i.Request, rule: i.ClassRule) -> OpenRequest:
        """Return the record of a new request, with a transfer time by its size, its copy or its class."""
        flow_kb_s = self._context.settings.flow_kb_s
        transfer_time = event.size_kb / flow_kb_s if event.size_kb > 0 and flow_kb_s > 0 else 0.0
        if transfer_time:
            self.update_mean_transfer_time(rule, transfer_time)
        expected = transfer_time or self.class_transfer_time(rule)
        request = OpenRequest(event, rule, self._context.now, expected)
        if not transfer_time:
            request.transfer_time = self.copy_transfer_time.get(request.copy_key, expected)
        return request

    def is_size_known(self, request: OpenRequest) -> bool:
        """Return whether an answer to the request takes its transfer time on a free link of the stated rate.

        False for unknown sizes or rates, for writes, and for conditional requests, which may need no bytes.
        """
        event = request.event
        is_stated = event.size_kb > 0 and self._context.settings.flow_kb_s > 0
        return is_stated and not event.conditional and not request.rule.write

    def can_be_sent_in_time(self, request: OpenRequest) -> bool:
        """Return whether the client's time left suffices for the bytes at full speed on a free link.

        True where the size is not known.
        """
        if not self.is_size_known(request):
            return True
        return request.transfer_time * MIN_TRANSFER_STRETCH <= request.deadline - self._context.now

    def class_transfer_time(self, rule: i.ClassRule) -> float:
        """Return the mean transfer time of a class in seconds.

        Before the first observation it is the class's latency objective.
        """
        return self.mean_transfer_time.get(rule.name) or rule.latency_objective or DEFAULT_OBJECTIVE_S

    def update_mean_transfer_time(self, rule: i.ClassRule, seconds: float) -> None:
        """Include one more request in the mean transfer time of its class."""
        mean = self.mean_transfer_time.get(rule.name, seconds)
        self.mean_transfer_time[rule.name] = mean + (seconds - mean) * MEAN_UPDATE_WEIGHT

    def record_copy_time(self, request: OpenRequest, elapsed: float) -> None:
        """Where no size is stated, use the fastest answer of the copy as its transfer time."""
        if request.event.size_kb:
            return
        request.transfer_time = min(self.copy_transfer_time.pop(request.copy_key, math.inf), elapsed)
        self.copy_transfer_time[request.copy_key] = request.transfer_time
        if len(self.copy_transfer_time) > MAX_COPIES:
            del self.copy_transfer_time[next(iter(self.copy_transfer_time))]
        self.update_mean_transfer_time(request.rule, request.transfer_time)

    def latency_objective(self, request: OpenRequest) -> float:
        """Return the seconds from arrival within which an answer is on time."""
        rule = request.rule
        if rule.latency_objective > 0:
            return rule.latency_objective + rule.latency_objective_stretch * request.transfer_time
        return DEFAULT_OBJECTIVE_S

    def overdue_after(self, request: OpenRequest) -> float:
        """Return the seconds after which an answer is overdue.

        After half the latency objective a second attempt can still be on time. The overdue factor adjusts
        this to what is usual for the class.
        """
        shortest = max(self.latency_objective(request) / 2.0, request.transfer_time)
        return shortest * self.overdue_factor.get(request.rule.name, 1.0)

    def update_overdue_factor(self, request: OpenRequest, elapsed: float) -> None:
        """Adjust the class's overdue factor so that ``OVERDUE_FRACTION`` of its answers are overdue."""
        late = 1.0 if elapsed > self.overdue_after(request) else 0.0
        factor = self.overdue_factor.get(request.rule.name, 1.0)
        factor *= 1.0 + OVERDUE_FACTOR_STEP * (late - OVERDUE_FRACTION)
        self.overdue_factor[request.rule.name] = min(max(factor, 1.0), MAX_OVERDUE_FACTOR)
