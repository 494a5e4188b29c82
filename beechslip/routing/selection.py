"""Request collapsing: all requests for a copy go to one hashed cache and one parent hashed alike by all."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from beechslip.routing.admission import Admission
from beechslip.routing.context import Context
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.slow_start import SlowStart
from beechslip.routing.state import Backend, OpenRequest

MAX_CONSIDERED = 32  # caches that a decision looks at
SAMPLE_SIZE = 16  # caches of a larger station that stand for it


class Route(NamedTuple):
    """Where an attempt goes; no cache: nowhere, no source: only a look at what the cache holds."""

    cache: Backend | None
    source: Backend | None


class Selector:
    """Chooses the cache and the source of an attempt; it holds no state of its own."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, slow_start: SlowStart, admission: Admission
    ) -> None:
        """A selector over the listed backends, within their allowances and limits."""
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._admission = admission

    def choose_route(self, request: OpenRequest) -> Route:
        """The cache and the source of the next attempt, straight to a parent where no cache is left."""
        request.shed = False
        cache = self.choose_cache(request)
        source = self.choose_source(request)
        if cache is not None or source is None or not self._context.settings.direct:
            return Route(cache, source)
        if not self._is_zone_closed(request):
            return Route(None, source)
        # No cache is listed: straight to the parent, where the site permits it and the parent has room.
        request.shed = not (request.rule.write or self._admission.admits(request, [source]))
        origin = self._endpoints.origin
        direct = None if request.shed else source
        ready = origin is not None and origin.entry.state == "ready"
        if source is not origin and origin and ready and self._slow_start.allows(origin, request):
            source = origin
        return Route(direct, source)

    def choose_cache(self, request: OpenRequest) -> Backend | None:
        """The first usable cache in rank that is not full; ``None`` where load is to be shed."""
        first = None
        considered = 0
        for backend in self._endpoints.ranked_caches(request):
            if not self._is_usable(backend, request):
                continue
            first = first or backend
            considered += 1
            # A full cache passes the object on: one hot object can outgrow a cache's link.
            if self._admission.fullness([backend]) < 1.0:
                return self._admitted(request, backend)
            if considered >= MAX_CONSIDERED:
                break
        if first is not None:
            return self._admitted(request, first)
        return self._choose_suspect_cache(request)

    def choose_source(self, request: OpenRequest) -> Backend | None:
        """The parent on the hash, the next one, or the origin; a class that is never cached: the origin."""
        origin = self._endpoints.origin
        ready_origin = [origin] if origin and origin.entry.state == "ready" else []
        first = None
        for backend in self._ranked_sources(request, ready_origin):
            if not self._is_usable(backend, request):
                continue
            first = first or backend
            # An object's fills can outgrow one parent's link; what outgrows all must not crowd the origin.
            below_limit = backend.in_flight < backend.concurrency_limit
            if below_limit and (backend is not origin or backend is first):
                return backend
        if first is not None:
            return first
        ready = (b for b in self._ranked_sources(request, ready_origin) if b.entry.state == "ready")
        return next((b for b in ready if self._slow_start.allows(b, request)), None)

    def _choose_suspect_cache(self, request: OpenRequest) -> Backend | None:
        """When every cache looks bad the judgement says little: keep to the hash, within allowances."""
        if self._context.settings.direct and self._is_zone_closed(request):
            return None
        usable = [b for b in self._endpoints.ranked_caches(request) if self._slow_start.allows(b, request)]
        return min(usable, key=lambda b: (self._is_gone(b), b in request.avoided), default=None)

    def _admitted(self, request: OpenRequest, cache: Backend) -> Backend | None:
        request.shed = not self._admission.admits(request, self._sample(request, cache))
        return None if request.shed else cache

    def _sample(self, request: OpenRequest, cache: Backend) -> list[Backend]:
        """Caches that fit a request: all of a small station, a part of a large one that differs by copy."""
        caches = self._endpoints.caches
        if len(caches) > MAX_CONSIDERED:
            start = request.key % len(caches)
            caches = [caches[(start + n) % len(caches)] for n in range(SAMPLE_SIZE)]
        return [backend for backend in caches if self._is_usable(backend, request)] or [cache]

    def _ranked_sources(self, request: OpenRequest, origin: list[Backend]) -> Iterator[Backend]:
        parents = self._endpoints.ranked_parents(request)
        return chain(origin, parents) if request.rule.write else chain(parents, origin)

    def _is_usable(self, backend: Backend, request: OpenRequest) -> bool:
        """Ready, in good standing (or due for its trial), and within its slow-start allowance."""
        if backend.entry.state != "ready" or backend in request.avoided:
            return False
        if backend.ejected:
            due = (
                self._context.now >= backend.ejected_until
                and not backend.trial_in_flight
                and (backend.health_check_passed or not self._context.settings.can_health_check)
            )
            if not due or request.rule.effect != "safe":
                return False
        return self._slow_start.allows(backend, request)

    def _is_zone_closed(self, request: OpenRequest) -> bool:
        """Whether the zone has no cache for it: each is gone, warming up and full, or left by the fleet.

        Guards against a lost station that asks dead caches until the list tells of it, and against one that
        comes back and rejects, for as long as it warms up, what the parents had served while it was away.
        Harm: parents carry what their limits allow, at the cost of fills for others.
        """
        allows = self._slow_start.allows
        return all(self._is_gone(b) or not allows(b, request) for b in self._endpoints.caches)

    def _is_gone(self, backend: Backend) -> bool:
        """Ejected for refused connections or for errors of its own: no need to wait for the list."""
        return backend.ejected and (backend.connection_lost or backend.is_error_outlier)
