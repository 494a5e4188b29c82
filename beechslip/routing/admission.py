"""Admission control: as caches become busy, requests with the least weight per transfer second are rejected.

The density of a request is its priority weight divided by its transfer time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from beechslip.routing import interface as i
from beechslip.routing.concurrency import ConcurrencyLimits
from beechslip.routing.context import CLOCK_RESOLUTION_S, RoutingContext
from beechslip.routing.size_fairness import ServedShares, SizeBandClassifier
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import Backend, OpenRequest

SHEDDING_STARTS_AT = 0.5  # utilization above which the requests of the lowest density are rejected
SHEDDING_COMPLETE_AT = 1.25  # utilization at which all are rejected, except for the guaranteed shares
# Transfers in progress, as a multiple of those that the link carries at full speed. Above this ratio another
# cache is faster.
OVERLOADED_LINK_RATIO = 1.5
BUSY_LINK_FRACTION = 0.9  # fraction of a link in use above which the link counts as full
MIN_LEARNING_LINK_FRACTION = 0.4  # fraction of a link in use above which its capacity can be estimated
CAPACITY_UPDATE_WEIGHT = 0.05  # weight of a new load report in the estimated link capacity
MIN_TIMED_HIT_S = 0.1  # s, the shortest transfer time of a hit whose duration is used as a load report
HIT_TIME_UPDATE_WEIGHT = 0.3  # weight of a new hit in a cache's hit time ratio
BUSY_HIT_TIME_RATIO = 2.0  # hit time over transfer time above which too many transfers share the link
FULL_HIT_TIME_RATIO = 3.0  # hit time over transfer time at which the cache counts as full
REPORT_LIFETIME_S = 1.0  # s for which a load report is used
RECENT_REQUEST_COUNT = 100  # recent requests against whose densities a new request is ranked


class AdmissionControl:
    """Decides which requests are admitted and which of them may be filled; owns the recent densities."""

    def __init__(
        self, context: RoutingContext, limits: ConcurrencyLimits, slow_start: SlowStartPolicy
    ) -> None:
        """Create the admission control with no recent requests."""
        self._context = context
        self._limits = limits
        self._slow_start = slow_start
        self._recent_densities: deque[float] = deque(maxlen=RECENT_REQUEST_COUNT)
        self._band_classifier = SizeBandClassifier()
        self.shares = ServedShares()

    def record_arrival(self, request: OpenRequest) -> None:
        """Add a new request to the recent ones and set its size band."""
        self._band_classifier.classify(request)
        self.shares.record_arrival(request)
        self._recent_densities.append(self._density(request))

    def may_fill(self, request: OpenRequest, source: Backend | None) -> bool:
        """Return whether a miss of this request may be filled from ``source``.

        While fills are late, requests of low density get cached-only attempts: to serve a copy that the cache
        holds takes no capacity of the links between the tiers. Fills are late when links are full, when the
        origin is slow, and after mass purges. The cost is that a cached-only attempt for a missing copy is
        rejected at once.
        """
        fraction = self._limits.fill_throttle(source).fraction
        is_accepted_by_density = (
            fraction >= 1.0 or request.rule.write or self._density_rank(request) > 1.0 - fraction
        )
        return is_accepted_by_density or self.shares.is_owed(request)

    def admits(self, request: OpenRequest, usable: list[Backend]) -> bool:
        """Return whether the request's density is high enough for the utilization of its usable backends.

        Sizes vary so widely that a few large requests hold most of the bytes. Rejecting them early keeps the
        many others on time. The cost is that some requests are rejected that would just have fitted.
        """
        utilization = self.utilization(usable)
        threshold = (utilization - SHEDDING_STARTS_AT) / (SHEDDING_COMPLETE_AT - SHEDDING_STARTS_AT)
        is_accepted_by_density = threshold <= 0.0 or self._density_rank(request) > threshold
        return is_accepted_by_density or request.attempts > 0 or self.shares.is_owed(request)

    def refusal_detail(self, request: OpenRequest) -> i.RefusalDetail:
        """Return what a rejection of the request is based on, for the log."""
        source = request.refused_source
        detail = i.RefusalDetail(request.band.name.lower(), self.shares.deficit(request))
        if source is None:
            return detail
        return replace(
            detail,
            source=source.name,
            source_in_flight=source.in_flight,
            source_limit=source.concurrency_limit,
            fill_fraction=self._limits.fill_throttle(source).fraction,
        )

    def utilization(self, backends: list[Backend]) -> float:
        """Return the utilization of ``backends`` as a fraction, where 1.0 means full.

        It is the larger of two values: this proxy's attempts in flight over the concurrency limits, and the
        recently reported load over what the links carry.
        """
        oldest_report_at = self._context.now - REPORT_LIFETIME_S
        reported = sum(b.reported_load for b in backends if b.reported_at > oldest_report_at) / len(backends)
        own = sum(b.in_flight for b in backends) / sum(b.concurrency_limit for b in backends)
        return max(reported / OVERLOADED_LINK_RATIO, own)

    def record_load_report(self, cache: Backend, busy: float, in_progress: float) -> None:
        """Record a load report: the cache's requests in progress over the stated or learned link capacity.

        Args:
            cache: the cache that sent the report.
            busy: the fraction of its link in use.
            in_progress: the number of requests in progress at the cache.

        This guards against congestion at one cache while others are idle. The cost is that requests which
        only wait for fills are counted when the link capacity is learned, so a full link appears somewhat
        wider than it is.
        """
        if (
            MIN_LEARNING_LINK_FRACTION < busy <= BUSY_LINK_FRACTION
            and self._slow_start.warm_fraction(cache) >= 1.0
        ):
            step = CAPACITY_UPDATE_WEIGHT if cache.link_capacity else 1.0
            cache.link_capacity += (in_progress / busy - cache.link_capacity) * step
        capacity = self._link_capacity(cache)
        if capacity > 0:
            cache.reported_at = self._context.now
            cache.reported_load = (busy > BUSY_LINK_FRACTION) * in_progress / capacity

    def record_hit_time(self, cache: Backend, request: OpenRequest, elapsed: float) -> None:
        """Use the duration of a hit as a load report where the link capacity is unknown.

        The latency objectives alone would not show congestion: at a transfer rate at which small hits are
        still on time, the largest hits never end. The cost is that congestion goes unnoticed where all hits
        are small.
        """
        is_too_small = not request.event.size_kb or request.transfer_time < MIN_TIMED_HIT_S
        if is_too_small or self._link_capacity(cache) > 0:
            return
        cache.hit_time_ratio += (
            elapsed / request.transfer_time - cache.hit_time_ratio
        ) * HIT_TIME_UPDATE_WEIGHT
        cache.reported_at = self._context.now
        cache.reported_load = (
            (cache.hit_time_ratio > BUSY_HIT_TIME_RATIO)
            * cache.hit_time_ratio
            / FULL_HIT_TIME_RATIO
            * OVERLOADED_LINK_RATIO
        )

    def _link_capacity(self, cache: Backend) -> float:
        """Return how many transfers at full speed a cache's link carries, stated or learned; 0 if unknown."""
        weight = cache.entry.weight
        return weight if self._context.weights_are_capacities and weight > 0 else cache.link_capacity

    def _density(self, request: OpenRequest) -> float:
        """Return the priority weight per second of transfer time."""
        return (request.rule.priority_weight or 1.0) / max(request.transfer_time, CLOCK_RESOLUTION_S)

    def _density_rank(self, request: OpenRequest) -> float:
        """Return the fraction of recent requests whose density is no higher than this request's."""
        own = self._density(request)
        return sum(1 for other in self._recent_densities if other <= own) / len(self._recent_densities)
