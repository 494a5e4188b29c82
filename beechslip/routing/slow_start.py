"""Slow start: how much a warming backend may be sent, divided among the proxies of the fleet."""

from __future__ import annotations

import math

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.placement import MASK_64, hash_to_unit
from beechslip.routing.state import Backend, OpenRequest
from beechslip.routing.tallies import DECAY_TIME_S, DecayingSum

# Defaults for values that the site does not state. They are cautious: a backend is assumed to start with
# less capacity and to warm up more slowly than any whose values are left unstated.
DEFAULT_START_FRACTION = 0.05  # fraction of full capacity at the start
DEFAULT_WARM_UP_TIME_S = 60.0  # s until full capacity is reached
DEFAULT_OVERLOAD_WINDOW_S = 2.0  # s over which load is summed
DEFAULT_OVERLOAD_MULTIPLE = 1.5  # of its present capacity, above which a backend collapses
DEFAULT_PROXY_COUNT = 100  # proxies that send to a backend
MIN_LINK_CAPACITY = 1.0  # transfers at full speed, the least that any backend's link carries
CAPACITY_SPAN_S = 16.0  # s; spans tens of answers at a proxy with little load, so that chance makes no peak
# Factor on an observed capacity. That is a mean, whose errors over all proxies are random, so more than the
# usual half of the overload multiple can be used.
MEAN_CAPACITY_FACTOR = 1.75

CACHE_ROLE = "cache"
PARENT_ROLE = "parent"


class SlowStartPolicy:
    """Limits what backends are sent; owns the observed capacities, the quotas and the region shares."""

    def __init__(
        self, context: RoutingContext, endpoints: EndpointTable, estimates: DurationEstimates
    ) -> None:
        """Create the policy with no observed capacity and no quotas."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        self.quotas = i.Quotas()
        self.region_shares: dict[str, float] = {}  # by backend, the fraction of the objects that it may serve
        # By role, the highest mean rate of the warm backends, in transfer seconds per second.
        self.observed_capacity = {CACHE_ROLE: 0.0, PARENT_ROLE: 0.0}
        self.served_work = {
            CACHE_ROLE: DecayingSum(CAPACITY_SPAN_S),
            PARENT_ROLE: DecayingSum(CAPACITY_SPAN_S),
        }
        self.observing_since = 0.0  # s, the time at which this instance started

    def apply_region_shares(self, shares: dict[str, float]) -> None:
        """Apply the fleet's region shares; a backend whose share was 0 and is raised counts as healthy again.

        So it returns to service at all proxies at the same time.
        """
        previous = self.region_shares
        for name, backend in self._endpoints.backends.items():
            if shares.get(name, 1.0) > 0.0 == previous.get(name):
                backend.reset_health()
        self.region_shares = shares

    def warm_fraction(self, backend: Backend) -> float:
        """Return the fraction of its full capacity that a backend has now, as a lower bound."""
        if backend.started_at <= 0 or backend is self._endpoints.origin:
            return 1.0
        settings = self._context.settings
        if backend in self._endpoints.parent_set:
            start = settings.parent_slow_start_share or DEFAULT_START_FRACTION
            span = settings.parent_slow_start_time or DEFAULT_WARM_UP_TIME_S
        else:
            start = settings.slow_start_share or DEFAULT_START_FRACTION
            span = settings.slow_start_time or DEFAULT_WARM_UP_TIME_S
        age = max(self._context.now - backend.started_at, 0.0)
        return 1.0 if age >= span else start + (1.0 - start) * age / span

    def allows_attempt(self, backend: Backend, request: OpenRequest) -> bool:
        """Return whether the region shares, the quota and the slow-start budget permit one more attempt."""
        if self.region_shares:
            key = request.source_key if backend in self._endpoints.parent_set else request.copy_key
            if hash_to_unit(key, ~backend.salt & MASK_64) >= self.region_shares.get(backend.name, 1.0):
                return False
        if backend.in_flight + 1.0 > self.quotas.fills.get(backend.name, math.inf):
            return False
        warm_fraction = self.warm_fraction(backend)
        return warm_fraction >= 1.0 or self._has_budget_for(backend, request, warm_fraction)

    def record_sent_work(self, backend: Backend, work: float) -> None:
        """Count an attempt of ``work`` transfer seconds towards the budget of a warming backend."""
        if self.warm_fraction(backend) < 1.0:
            backend.slow_start_window.append((self._context.now, work))
            backend.slow_start_window_work += work

    def quota(self, backend: Backend, is_parent: bool) -> float:
        """Return this proxy's part of a warm backend's capacity, in transfers at full speed.

        It is the assigned quota, or else a part of the stated link capacity, or else based on the capacity
        that this proxy has observed.
        """
        if backend.name in self.quotas.cold:
            return self.quotas.cold[backend.name]
        settings = self._context.settings
        proxies = settings.proxies if is_parent else settings.proxies_in_zone
        proxies = max(proxies, 0) or DEFAULT_PROXY_COUNT
        weight = backend.entry.weight
        stated_part = weight / proxies if self._context.weights_are_capacities and weight > 0 else 0.0
        observed_rate = self.observed_capacity[PARENT_ROLE if is_parent else CACHE_ROLE]
        return stated_part or max(observed_rate * MEAN_CAPACITY_FACTOR, MIN_LINK_CAPACITY / proxies)

    def record_served_work(self, backend: Backend, work: float) -> None:
        """Count ``work`` transfer seconds that a backend served; only warm backends show their capacity."""
        if backend is self._endpoints.origin or self.warm_fraction(backend) < 1.0:
            return
        role = PARENT_ROLE if backend in self._endpoints.parent_set else CACHE_ROLE
        now = self._context.now
        observed_for = max(min(now - self.observing_since, CAPACITY_SPAN_S), DECAY_TIME_S)
        peers = len(self._endpoints.parents if role == PARENT_ROLE else self._endpoints.caches) or 1
        rate = self.served_work[role].add(now, work) / observed_for / peers
        self.observed_capacity[role] = max(rate, self.observed_capacity[role])

    def _has_budget_for(self, backend: Backend, request: OpenRequest, warm_fraction: float) -> bool:
        """Return whether the budget of a warming backend has room for the request in the current window.

        The budget uses half of the overload multiple (times ``MEAN_CAPACITY_FACTOR`` for an observed mean);
        the rest covers wrong estimates. Objects return to the backend in a fixed order as it warms up, so
        that an object which is not back yet keeps one other home. The cost is that the backend is idle while
        no capacity has been observed, and that its objects are filled at other backends too.
        """
        settings = self._context.settings
        now = self._context.now
        is_parent = backend in self._endpoints.parent_set
        multiple = settings.parent_overload_multiple if is_parent else settings.overload_multiple
        share = warm_fraction * ((multiple or DEFAULT_OVERLOAD_MULTIPLE) / 2.0)
        span = settings.overload_window or DEFAULT_OVERLOAD_WINDOW_S
        while backend.slow_start_window and backend.slow_start_window[0][0] <= now - span:
            backend.slow_start_window_work -= backend.slow_start_window.popleft()[1]
        budget = share * self.quota(backend, is_parent) * span
        work = self._estimates.class_transfer_time(request.rule)
        if now - backend.slow_start_drawn_at >= span:
            backend.slow_start_drawn_at = now
            backend.slow_start_draw = self._context.random.random()
        if hash_to_unit(request.copy_key, ~backend.salt & MASK_64) >= share:
            return False
        if budget < work:  # less than one attempt per proxy: a random draw keeps the sum over all proxies
            return not backend.slow_start_window and backend.slow_start_draw < budget / work
        return backend.slow_start_window_work + work <= budget
