"""Admission: as the caches fill, what earns least for its sending time is rejected first."""

from __future__ import annotations

from collections import deque

from beechslip.routing.concurrency import ConcurrencyLimits
from beechslip.routing.context import CLOCK_GRAIN_S, Context
from beechslip.routing.size_fairness import GuaranteedShares, SizeBands
from beechslip.routing.slow_start import SlowStart
from beechslip.routing.state import Backend, OpenRequest

SHED_FROM = 0.5  # fullness at which the requests of the least density are rejected first
SHED_ALL = 1.25  # fullness at which all are
OVERLOADED_FROM = 1.5  # transfers for each that a link carries at full pace, from which others are quicker
BUSY_LINK = 0.9  # fraction of a link in use, above which it counts as full
TEACHING_LINK = 0.4  # fraction of a link in use that teaches what it carries
CAPACITY_STEP = 0.05  # weight of one more report
PACED_FROM_S = 0.1  # transfer time of a hit that tells its cache's pace
PACE_STEP = 0.3  # weight of one more hit
BUSY_PACE = 2.0  # times the transfer time that hits take on a link that is shared by too many
FULL_PACE = 3.0  # times at which its cache is full
REPORT_LIFETIME_S = 1.0  # s for which a load report counts
RECENT_REQUESTS = 100  # requests whose density is remembered, for ranking the next


class Admission:
    """Owner of the recent densities: priority weight for each second of sending."""

    def __init__(self, context: Context, limits: ConcurrencyLimits, slow_start: SlowStart) -> None:
        """Start with no recent request."""
        self._context = context
        self._limits = limits
        self._slow_start = slow_start
        self._densities: deque[float] = deque(maxlen=RECENT_REQUESTS)
        self._bands = SizeBands()
        self._admitted_shares = GuaranteedShares()
        self._fill_shares = GuaranteedShares()

    def record_arrival(self, request: OpenRequest) -> None:
        """Count a request among the recent ones."""
        self._bands.classify(request)
        self._densities.append(self._density(request))

    def may_fill(self, request: OpenRequest, source: Backend | None) -> bool:
        """While fills come late, requests of low density only look: a copy that is there costs no link.

        Covers full links, a slow origin, mass purges. Harm: a look at a missing copy is rejected at once.
        """
        fraction = self._limits.fill_throttle(source).fraction
        by_density = fraction >= 1.0 or request.rule.write or self._rank(request) > 1.0 - fraction
        if request.fill_accepted is None:
            request.fill_accepted = self._fill_shares.decide(request, by_density)
        return by_density or request.fill_accepted

    def admits(self, request: OpenRequest, usable: list[Backend]) -> bool:
        """Whether the request ranks high enough for the fullness of the backends that it could use.

        Sizes vary so widely that the few largest requests hold most of the bytes: rejecting them early
        keeps the many in time. Harm: some that would just have fitted are rejected.
        """
        fullness = self.fullness(usable)
        threshold = (fullness - SHED_FROM) / (SHED_ALL - SHED_FROM)
        by_density = threshold <= 0.0 or self._rank(request) > threshold
        if request.admitted is None:
            request.admitted = self._admitted_shares.decide(request, by_density)
        return by_density or request.admitted

    def fullness(self, backends: list[Backend]) -> float:
        """By our own attempts over the learned limits, or by all that is reported over the links."""
        oldest = self._context.now - REPORT_LIFETIME_S
        reported = sum(b.reported_load for b in backends if b.reported_at > oldest) / len(backends)
        own = sum(b.in_flight for b in backends) / sum(b.concurrency_limit for b in backends)
        return max(reported / OVERLOADED_FROM, own)

    def record_load_report(self, cache: Backend, busy: float, in_progress: float) -> None:
        """Take a load report: the requests it holds over what its link carries, as stated or as seen.

        Args:
            cache: whose report it is.
            busy: fraction of its link in use.
            in_progress: requests in progress there.

        Guards against a jam at one cache beside idle ones. Harm: what only waits for fills is counted to what
        its link carries, so that a link that is full looks somewhat wider than it is.
        """
        if TEACHING_LINK < busy <= BUSY_LINK and self._slow_start.warmth(cache) >= 1.0:
            step = CAPACITY_STEP if cache.link_capacity else 1.0
            cache.link_capacity += (in_progress / busy - cache.link_capacity) * step
        capacity = self._link_capacity(cache)
        if capacity > 0:
            cache.reported_at = self._context.now
            cache.reported_load = (busy > BUSY_LINK) * in_progress / capacity

    def record_pace(self, cache: Backend, request: OpenRequest, elapsed: float) -> None:
        """Where no load report tells what a link carries, take the pace of a hit for one.

        Small hits are on time at a pace at which the largest never end. Harm: where all hits are small, a jam
        goes unseen.
        """
        too_small = not request.event.size_kb or request.transfer_time < PACED_FROM_S
        if too_small or self._link_capacity(cache) > 0:
            return
        cache.pace += (elapsed / request.transfer_time - cache.pace) * PACE_STEP
        cache.reported_at = self._context.now
        cache.reported_load = (cache.pace > BUSY_PACE) * cache.pace / FULL_PACE * OVERLOADED_FROM

    def _link_capacity(self, cache: Backend) -> float:
        """Transfers at full pace that a cache's link carries, as stated or as learned; 0: unknown."""
        weight = cache.entry.weight
        return weight if self._context.weights_are_capacities and weight > 0 else cache.link_capacity

    def _density(self, request: OpenRequest) -> float:
        return (request.rule.priority_weight or 1.0) / max(request.transfer_time, CLOCK_GRAIN_S)

    def _rank(self, request: OpenRequest) -> float:
        """Fraction of recent requests that earn no more for their sending time than this one."""
        own = self._density(request)
        return sum(1 for other in self._densities if other <= own) / len(self._densities)
