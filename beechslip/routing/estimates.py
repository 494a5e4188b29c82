"""Learned durations: how long a class or a copy takes to send, and when an answer counts as overdue."""

from __future__ import annotations

import math

from beechslip.routing import interface as i
from beechslip.routing.context import Context
from beechslip.routing.state import OpenRequest

MEAN_STEP = 0.02  # weight of one more request in a running mean: some fifty make the mean
DEFAULT_OBJECTIVE_S = 1.0  # s: the document's maximum wait, where a class states no latency objective
OVERDUE_FRACTION = 0.05  # of answers, later than what counts as overdue
OVERDUE_STEP = 0.05  # change of the factor by one late answer, as a fraction of it
MAX_OVERDUE_FACTOR = 4.0  # times half the latency objective
LEAST_STRETCH = 1.1  # times its transfer time that an answer takes at the least, with all ways and waits
MAX_COPIES = 20_000  # copies whose sending time is remembered where requests do not tell the size


class Estimates:
    """Owner of the transfer times by class and by copy, and of the overdue factors by class."""

    def __init__(self, context: Context) -> None:
        """Start with nothing learned."""
        self._context = context
        self.mean_transfer_time: dict[str, float] = {}  # s, by class
        self.copy_transfer_time: dict[int, float] = {}  # s, by copy, its quickest answer; sizes not told
        self.overdue_factor: dict[str, float] = {}  # by class, multiples of half the latency objective

    def open_request(self, event: i.Request, rule: i.ClassRule) -> OpenRequest:
        """A record for a new request, with its transfer time by its size, its copy or its class."""
        settings = self._context.settings
        sized = event.size_kb > 0 and settings.flow_kb_s > 0
        transfer_time = event.size_kb / settings.flow_kb_s if sized else 0.0
        if transfer_time:
            self.learn_transfer_time(rule, transfer_time)
        expected = transfer_time or self.class_transfer_time(rule)
        request = OpenRequest(event, rule, self._context.now, expected)
        if not transfer_time:
            request.transfer_time = self.copy_transfer_time.get(request.key, expected)
        return request

    def can_be_sent_in_time(self, request: OpenRequest) -> bool:
        """Whether the client waits long enough for the bytes, at full pace on a free link.

        Unknown sizes and requests that may need no bytes can always be.
        """
        event = request.event
        if (
            not event.size_kb
            or self._context.settings.flow_kb_s <= 0
            or event.conditional
            or request.rule.write
        ):
            return True
        return request.transfer_time * LEAST_STRETCH <= request.deadline - self._context.now

    def class_transfer_time(self, rule: i.ClassRule) -> float:
        """Mean transfer time of a class, s; before any is seen, as much as its objective would hold."""
        return self.mean_transfer_time.get(rule.name) or rule.latency_objective or DEFAULT_OBJECTIVE_S

    def learn_transfer_time(self, rule: i.ClassRule, seconds: float) -> None:
        """Take one more request of a class into its mean."""
        mean = self.mean_transfer_time.get(rule.name, seconds)
        self.mean_transfer_time[rule.name] = mean + (seconds - mean) * MEAN_STEP

    def learn_copy(self, request: OpenRequest, elapsed: float) -> None:
        """Where the size is not told, take the copy's quickest answer for its transfer time."""
        if request.event.size_kb:
            return
        request.transfer_time = min(self.copy_transfer_time.pop(request.key, math.inf), elapsed)
        self.copy_transfer_time[request.key] = request.transfer_time
        if len(self.copy_transfer_time) > MAX_COPIES:
            del self.copy_transfer_time[next(iter(self.copy_transfer_time))]
        self.learn_transfer_time(request.rule, request.transfer_time)

    def latency_objective(self, request: OpenRequest) -> float:
        """Seconds from arrival within which the answer counts as on time."""
        rule = request.rule
        if rule.latency_objective > 0:
            return rule.latency_objective + rule.latency_objective_stretch * request.transfer_time
        return DEFAULT_OBJECTIVE_S

    def patience(self, request: OpenRequest) -> float:
        """Seconds after which an answer is overdue.

        At half the latency objective a second attempt can be in time; what is usual is learned.
        """
        shortest = max(self.latency_objective(request) / 2.0, request.transfer_time)
        return shortest * self.overdue_factor.get(request.rule.name, 1.0)

    def learn_patience(self, request: OpenRequest, elapsed: float) -> None:
        """Move the class's overdue factor, so that ``OVERDUE_FRACTION`` of its answers exceed it."""
        late = 1.0 if elapsed > self.patience(request) else 0.0
        factor = self.overdue_factor.get(request.rule.name, 1.0)
        factor *= 1.0 + OVERDUE_STEP * (late - OVERDUE_FRACTION)
        self.overdue_factor[request.rule.name] = min(max(factor, 1.0), MAX_OVERDUE_FACTOR)
