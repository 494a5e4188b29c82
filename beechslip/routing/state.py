"""Records of one proxy: backends, open requests, attempts in flight."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from typing import NamedTuple

from beechslip.routing import interface as i
from beechslip.routing.placement import stable_hash
from beechslip.routing.tallies import Lateness, Tally


class AttemptKey(NamedTuple):
    """Names one attempt: the request's identifier and the attempt's number, from 0."""

    request_id: str
    number: int


class Backend:
    """What this proxy knows of one backend: its entry, its load from here, its health. Times in s."""

    def __init__(self, entry: i.Endpoint, now: float) -> None:
        """A backend first listed at ``now``, in good standing."""
        self.name = entry.backend
        self.salt = stable_hash(entry.backend)
        self.entry = entry
        self.started_at = entry.started
        self.in_service_since = now
        # Load. A concurrency limit counts attempts; infinity until late answers teach one.
        self.in_flight = 0
        self.concurrency_limit = math.inf
        self.lateness = Lateness()
        self.reported_load = 0.0  # requests of its last report over those that its link carries
        self.reported_at = 0.0
        self.pace = 1.0  # time of its recent hits over their transfer time
        self.link_capacity = 0.0  # transfers at full pace that its link is seen to carry; 0: unknown
        self.unanswered = Lateness()  # overdue answers: late are those that never came
        self.successes = Tally()
        # Slow start: (time, transfer seconds) sent within the window, and the window's draw.
        self.window: deque[tuple[float, float]] = deque()
        self.window_work = 0.0
        self.window_drawn_at = -math.inf
        self.window_draw = 1.0
        self.reset_health()

    def reset_health(self) -> None:
        """Forget all faults: at the start, and when the list tells of a restart."""
        self.consecutive_connection_failures = 0
        self.consecutive_overdue = 0
        self.trials_required = 0
        self.last_heard_at = -math.inf
        self.ejected = False
        self.ejected_until = 0.0
        self.backoff = 0.0  # s, of the last ejection
        self.health_check_passed = False
        self.trial_in_flight = False
        self.connection_lost = False
        self.is_error_outlier = False  # it gave errors where the others did not
        self.failures = Tally()


class AttemptInFlight:
    """One attempt that has not ended."""

    __slots__ = (
        "cache",
        "cancelling",
        "counted_late",
        "number",
        "overdue_checks",
        "resends_lost_answer",
        "sent_at",
        "source",
        "streaming",
        "transfer_time",
        "trial",
    )

    def __init__(
        self, number: int, sent_at: float, cache: Backend, source: Backend | None, transfer_time: float
    ) -> None:
        """An attempt at ``cache``, filled from ``source`` (``None``: a look); times in s."""
        self.number = number
        self.sent_at = sent_at
        self.cache = cache
        self.source = source
        self.transfer_time = transfer_time
        self.streaming = False
        self.cancelling = False
        self.resends_lost_answer = False
        self.counted_late = False  # as a fill
        self.trial: Backend | None = None  # the ejected backend that this attempt tries
        self.overdue_checks = 0


class SizeBand(Enum):
    """Bands of a class by size, the largest requests first."""

    LARGEST = 0
    NEXT_LARGEST = 1
    REST = 2


class OpenRequest:
    """A request that awaits its final answer."""

    __slots__ = (
        "admitted",
        "arrived_at",
        "attempts",
        "avoided",
        "band",
        "deadline",
        "event",
        "fill_accepted",
        "first_unproven_at",
        "key",
        "last_look_made",
        "reached_backend",
        "request_id",
        "resend_lost_answer",
        "rule",
        "shed",
        "source_key",
        "transfer_time",
    )

    def __init__(self, event: i.Request, rule: i.ClassRule, now: float, transfer_time: float) -> None:
        """A request that arrives at ``now`` and is expected to take ``transfer_time`` s to send."""
        self.event = event
        self.request_id = event.request
        self.rule = rule
        self.arrived_at = now
        self.transfer_time = transfer_time
        name = event.object or event.request
        self.key = stable_hash(f"{name}\n{event.part}")  # a copy is of one part: parts spread out
        self.source_key = stable_hash(name)  # an object's fills meet at one parent
        self.deadline = now + event.time_left
        self.attempts = 0
        self.avoided: list[Backend] = []  # caches and sources that failed this request
        self.first_unproven_at: float | None = None  # send time of the first attempt that may have run
        self.last_look_made = False  # a look without a fill was sent, after which there is no other attempt
        self.resend_lost_answer = False  # the next attempt may go to the same cache
        self.reached_backend = False
        self.shed = False  # the last choice of a route rejected it for load
        self.band = SizeBand.REST
        self.admitted: bool | None = None  # whatever its density; None: not decided yet
        self.fill_accepted: bool | None = None  # the same of a fill
