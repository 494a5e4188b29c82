"""Records kept by one proxy: backends, open requests and attempts in flight."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from typing import NamedTuple

from beechslip.routing import interface as i
from beechslip.routing.link import FillKey, Link
from beechslip.routing.place_pool import PlacePool
from beechslip.routing.placement import stable_hash
from beechslip.routing.tallies import DecayingSum, LatenessStats


class AttemptKey(NamedTuple):
    """Identifies an attempt by its request's identifier and its number, which starts at 0."""

    request_id: str
    number: int


class Backend:
    """What this proxy knows of one backend: its list entry, its load and its health. Times are in seconds."""

    def __init__(self, entry: i.Endpoint, now: float) -> None:
        """Create the record of a backend that is first listed at ``now``, with no fault known."""
        self.name = entry.backend
        self.salt = stable_hash(entry.backend)
        self.entry = entry
        self.started_at = entry.started
        self.in_service_since = now
        # Load. The concurrency limit is a number of attempts; it is infinite until late answers set one.
        self.in_flight = 0
        self.concurrency_limit = math.inf
        self.lateness = LatenessStats()
        self.reported_load = 0.0  # requests in its last load report, as a multiple of what its link carries
        self.reported_at = 0.0
        self.hit_time_ratio = 1.0  # duration of its recent hits, as a multiple of their transfer time
        self.link_capacity = 0.0  # learned: transfers at full speed that its link carries; 0: unknown
        self.lost_answers = LatenessStats()  # of overdue answers; "late" counts those that never came
        self.successes = DecayingSum()
        # Slow start: the (time, transfer seconds) of what was sent within the window, their sum, and the
        # random number that was drawn for the window.
        self.slow_start_window: deque[tuple[float, float]] = deque()
        self.slow_start_window_work = 0.0
        self.slow_start_drawn_at = -math.inf
        self.slow_start_draw = 1.0
        self.link = Link()  # transfers of this proxy on its link
        self.reset_health()

    def reset_health(self) -> None:
        """Forget all faults, as for a backend that has just started or has returned to service."""
        self.consecutive_connection_failures = 0
        self.consecutive_overdue = 0
        self.trials_required = 0
        self.last_heard_at = -math.inf
        self.is_ejected = False
        self.ejected_until = 0.0
        self.ejection_duration = 0.0  # s, duration of the last ejection
        self.has_passed_health_check = False
        self.has_trial_in_flight = False
        self.has_lost_connection = False
        self.is_error_outlier = False  # it returned errors where its peers did not
        self.failures = DecayingSum()


class AttemptInFlight:
    """One attempt that has not ended."""

    __slots__ = (
        "cache",
        "cache_pool",
        "fill_key",
        "is_cancelling",
        "is_counted_late",
        "is_joining",
        "is_lookup",
        "is_size_known",
        "is_streaming",
        "number",
        "overdue_checks",
        "retries_lost_answer",
        "sent_at",
        "source",
        "source_pool",
        "transfer_time",
        "trial_backend",
    )

    def __init__(
        self, number: int, sent_at: float, cache: Backend, source: Backend | None, transfer_time: float
    ) -> None:
        """Create an attempt at ``cache``; times are in seconds.

        A miss is filled from ``source``. With no source the attempt is cached-only: only a copy that the
        cache already holds can answer it.
        """
        self.number = number
        self.sent_at = sent_at
        self.cache = cache
        self.source = source
        self.transfer_time = transfer_time
        self.cache_pool: PlacePool | None = None  # of its place on the link of its cache
        self.source_pool: PlacePool | None = None  # of its place on the link of its source, if it takes one
        self.is_streaming = False
        self.is_cancelling = False
        self.retries_lost_answer = False  # repeats an attempt whose answer is presumed lost
        self.fill_key: FillKey | None = None  # where requests join fills: the one that it waits for
        self.is_joining = False  # the fill was in progress when the attempt was sent
        self.is_size_known = (
            False  # its answer takes ``transfer_time`` on a free link, if the rate is as stated
        )
        self.is_lookup = False  # cached-only, and a miss may be followed by a fill
        self.is_counted_late = False  # already counted as a late fill
        self.trial_backend: Backend | None = None  # the ejected backend for which this attempt is the trial
        self.overdue_checks = 0


class SizeBand(Enum):
    """The bands by size into which the requests of a class are divided, the largest requests first."""

    LARGEST = 0
    NEXT_LARGEST = 1
    REST = 2


class OpenRequest:
    """A request that has not had its final answer."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "avoided_backends",
        "band",
        "copy_key",
        "deadline",
        "event",
        "has_made_last_attempt",
        "has_reached_backend",
        "is_answer_lost",
        "is_charged",
        "is_shed",
        "missing_at",
        "possibly_executed_since",
        "refused_source",
        "request_id",
        "rule",
        "source_key",
        "transfer_time",
        "waiting_for",
        "waits_until",
    )

    def __init__(self, event: i.Request, rule: i.ClassRule, now: float, transfer_time: float) -> None:
        """Create the record of a request that arrives at ``now``; sending takes ``transfer_time`` s."""
        self.event = event
        self.request_id = event.request
        self.rule = rule
        self.arrived_at = now
        self.transfer_time = transfer_time
        name = event.object or event.request
        # Each part is a copy of its own, so the parts of an object are spread over the caches.
        self.copy_key = stable_hash(f"{name}\n{event.part}")
        self.source_key = stable_hash(name)  # one parent supplies all fills of an object
        self.deadline = now + event.time_left
        self.attempts = 0
        self.avoided_backends: list[Backend] = []  # caches and sources at which it has failed
        self.possibly_executed_since: float | None = None  # send time of the first attempt that may have run
        self.has_made_last_attempt = False  # a cached-only attempt was sent; no other may follow
        self.is_answer_lost = False  # presumed: the next attempt may go to the same cache
        self.has_reached_backend = False
        self.is_shed = False  # rejected for load when a route was last chosen
        self.band = SizeBand.REST
        self.is_charged = False  # counted as accepted in the served shares of its band
        self.missing_at: Backend | None = None  # the cache that a lookup has shown not to have the copy
        self.waiting_for: Backend | None = None  # the backend on whose link it waits for a place
        self.waits_until = 0.0  # end of that wait
        self.refused_source: Backend | None = None  # the source from which it was not permitted to fill
