"""Route selection: all requests for a copy are sent to one cache, and its fills come from one parent.

Both are found by rendezvous hashing. Every proxy finds the same parent for an object, so that requests for it
are collapsed.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from beechslip.routing.admission import AdmissionControl
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.link_limits import LinkLimits
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import Backend, OpenRequest

MAX_CACHES_CONSIDERED = 32  # usable caches that one decision considers at most
CACHE_SAMPLE_SIZE = 16  # caches that represent a zone with more than ``MAX_CACHES_CONSIDERED``

LIMIT_RATIO_TO_LEAVE_HOME = 8.0  # of another backend's link limit to that of the first choice


class Route(NamedTuple):
    """The backends of an attempt.

    Without a cache there is nowhere to send it. Without a source it is a cached-only attempt, which only a
    copy that the cache holds can answer.
    """

    cache: Backend | None
    source: Backend | None


class RouteSelector:
    """Chooses the cache and the source of an attempt. It has no state of its own."""

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        slow_start: SlowStartPolicy,
        admission: AdmissionControl,
        links: LinkLimits,
    ) -> None:
        """Create a selector over the listed backends, bound by their slow-start allowances and limits."""
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._admission = admission
        self._links = links

    def choose_route(self, request: OpenRequest) -> Route:
        """Choose the cache and the source of the next attempt.

        Where the zone has no cache left, the attempt goes directly to a parent, if the site permits that.
        """
        request.is_shed = False
        cache = self.choose_cache(request)
        source = self.choose_source(request)
        if cache is not None or source is None or not self._context.settings.direct:
            return Route(cache, source)
        if not self._is_zone_unavailable(request):
            return Route(None, source)
        # No cache is available: send directly to the parent, provided that it has room.
        request.is_shed = not (request.rule.write or self._admission.admits(request, [source]))
        origin = self._endpoints.origin
        direct = None if request.is_shed else source
        is_origin_ready = origin is not None and origin.entry.state == "ready"
        if (
            source is not origin
            and origin
            and is_origin_ready
            and self._slow_start.allows_attempt(origin, request)
        ):
            source = origin
        return Route(direct, source)

    def choose_cache(self, request: OpenRequest) -> Backend | None:
        """Return the first usable cache in rank that is not full, or else the first usable one.

        Returns ``None`` if the request is rejected for load or no cache is available.
        """
        first_usable = None
        considered = 0
        for backend in self._endpoints.ranked_caches(request):
            if not self._is_usable(backend, request):
                continue
            first_usable = first_usable or backend
            considered += 1
            # The next cache takes over from a full one: one hot object can exceed the capacity of a link.
            has_room = self._has_room(backend, first_usable, request)
            if has_room and self._admission.utilization([backend]) < 1.0:
                return self._cache_if_admitted(request, backend)
            if considered >= MAX_CACHES_CONSIDERED:
                break
        if first_usable is not None:
            return self._cache_if_admitted(request, first_usable)
        return self._choose_fallback_cache(request)

    def choose_source(self, request: OpenRequest) -> Backend | None:
        """Return the first usable source: the hashed parent, the next one, or at last the origin.

        For a class that is never cached the origin comes first.
        """
        origin = self._endpoints.origin
        ready_origin = [origin] if origin and origin.entry.state == "ready" else []
        first_usable = None
        for backend in self._ranked_sources(request, ready_origin):
            if not self._is_usable(backend, request):
                continue
            first_usable = first_usable or backend
            # The fills of an object can exceed one parent's link. Those that exceed the limits of all parents
            # must not overload the origin.
            is_below_limit = backend.in_flight < backend.concurrency_limit
            has_room = self._has_room(backend, first_usable, request)
            if has_room and is_below_limit and (backend is not origin or backend is first_usable):
                return backend
        if first_usable is not None:
            return first_usable
        ready = (b for b in self._ranked_sources(request, ready_origin) if b.entry.state == "ready")
        return next((b for b in ready if self._slow_start.allows_attempt(b, request)), None)

    def _has_room(self, backend: Backend, home: Backend, request: OpenRequest) -> bool:
        """Return whether a backend has a place for a request on its link.

        One that is not the first choice must also be far less limited: when all links are full, requests
        would otherwise be scattered over caches without their copies.
        """
        if backend is not home and backend.link.limit < LIMIT_RATIO_TO_LEAVE_HOME * home.link.limit:
            return False
        return self._links.has_place(backend, self._links.is_short(request))

    def _choose_fallback_cache(self, request: OpenRequest) -> Backend | None:
        """Choose a cache although none is usable.

        When every cache appears faulty, their health states say little, so the choice follows the hash order
        within the slow-start allowances.
        """
        if self._context.settings.direct and self._is_zone_unavailable(request):
            return None
        usable = [
            b for b in self._endpoints.ranked_caches(request) if self._slow_start.allows_attempt(b, request)
        ]
        return min(
            usable, key=lambda b: (self._is_known_down(b), b in request.avoided_backends), default=None
        )

    def _cache_if_admitted(self, request: OpenRequest, cache: Backend) -> Backend | None:
        """Return ``cache`` if the request is admitted; else mark the request as shed."""
        request.is_shed = not self._admission.admits(request, self._sample_caches(request, cache))
        return None if request.is_shed else cache

    def _sample_caches(self, request: OpenRequest, cache: Backend) -> list[Backend]:
        """Return the zone's usable caches; in a large zone, those of a sample that depends on the copy."""
        caches = self._endpoints.caches
        if len(caches) > MAX_CACHES_CONSIDERED:
            start = request.copy_key % len(caches)
            caches = [caches[(start + n) % len(caches)] for n in range(CACHE_SAMPLE_SIZE)]
        return [backend for backend in caches if self._is_usable(backend, request)] or [cache]

    def _ranked_sources(self, request: OpenRequest, origin: list[Backend]) -> Iterator[Backend]:
        parents = self._endpoints.ranked_parents(request)
        return chain(origin, parents) if request.rule.write else chain(parents, origin)

    def _is_usable(self, backend: Backend, request: OpenRequest) -> bool:
        """Return whether a backend is ready, in service or due for a trial, and within its allowance.

        Backends that have already failed this request are excluded.
        """
        if backend.entry.state != "ready" or backend in request.avoided_backends:
            return False
        if backend.is_ejected:
            is_trial_due = (
                self._context.now >= backend.ejected_until
                and not backend.has_trial_in_flight
                and (backend.has_passed_health_check or not self._context.settings.can_health_check)
            )
            if not is_trial_due or request.rule.effect != "safe":
                return False
        return self._slow_start.allows_attempt(backend, request)

    def _is_zone_unavailable(self, request: OpenRequest) -> bool:
        """Return whether the zone has no cache for the request.

        That is so if each cache is known to be down, has used up its slow-start allowance or its quota, or
        is excluded by the fleet's region shares. Without this check a zone that has lost its caches would
        send to them until the endpoint list reports the loss; and a zone whose caches come back would reject,
        for as long as they warm up, what the parents served in the meantime. The cost is that parents carry
        as much as their limits allow, at the expense of fills for others.
        """
        allows_attempt = self._slow_start.allows_attempt
        return all(self._is_known_down(b) or not allows_attempt(b, request) for b in self._endpoints.caches)

    def _is_known_down(self, backend: Backend) -> bool:
        """Return whether a backend is ejected for refused connections or for errors of its own.

        There is no need to wait for the endpoint list to report it as gone.
        """
        return backend.is_ejected and (backend.has_lost_connection or backend.is_error_outlier)
