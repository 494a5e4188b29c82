"""Backend health: ejection of outliers, health checks, trial requests and the return to service."""

from __future__ import annotations

import math
from enum import Enum

from beechslip.routing import interface as i
from beechslip.routing.cancellation import AttemptCancellation
from beechslip.routing.context import CLOCK_RESOLUTION_S, RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.state import Backend
from beechslip.routing.tallies import DECAY_TIME_S
from beechslip.routing.timers import HealthCheckDue, TimerTable

MAX_CONNECTION_FAILURES = 2  # in a row; a single one may be chance, and waiting for a third costs a request
RECENT_ANSWER_S = 0.3  # s after an answer in which a backend counts as running despite broken connections
OVERDUE_PER_HEALTH_CHECK = 3  # overdue attempts in a row at a silent backend that cause a health check
MAX_OVERDUE_WITH_CHECKS = 9  # overdue attempts in a row that eject, whatever the health checks show
FIRST_EJECTION_S = 0.5  # s, duration of the first ejection; each further one lasts twice as long
MAX_EJECTION_S = 8.0  # s, the longest ejection; a fault may last 30 s
EJECTION_JITTER = (0.9, 1.1)  # range of a random factor, so that not all proxies try a backend at once
# Successful trials required where one proves little: after ejection as an error outlier, and for a parent
# where notes are missing and a hit looks like a fill.
REPEATED_TRIALS = 4
OUTLIER_FACTOR = 2.0  # an outlier fails this many times as often as its peers; else the cause may be shared
OUTLIER_DEVIATIONS = 3.0  # standard deviations added to that, because few attempts prove little
ASSUMED_PEER_FAILURES = 0.5  # failures of the peers, assumed in addition to those recorded
ASSUMED_PEER_ANSWERS = 4.0  # answers of the peers, assumed in addition to those recorded
MIN_OUTLIER_FAILURES = 2.0  # failures that may occur by chance
CACHE_FAILURE_ALLOWANCE = 3.0  # errors that any cache may return by chance; most answers need no source


class EjectionCause(Enum):
    """Why a backend is ejected, as the log states it."""

    CONNECTION_FAILURES = "connections refused or reset"
    SILENT = "overdue attempts without any answer"
    FAILED_HEALTH_CHECK = "failed health check"
    FAILED_TRIAL = "failed trial"
    ERROR_OUTLIER = "more failures than its peers"


class BackendHealth:
    """Sets the health fields of the backend records. Only this class ejects and restores backends."""

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        timers: TimerTable,
        cancellation: AttemptCancellation,
    ) -> None:
        """Create the health tracking for the listed backends."""
        self._context = context
        self._endpoints = endpoints
        self._timers = timers
        self._cancellation = cancellation

    def has_answered_recently(self, backend: Backend) -> bool:
        """Return whether a backend has answered within the last ``RECENT_ANSWER_S`` seconds."""
        return self._context.now - backend.last_heard_at <= RECENT_ANSWER_S

    def record_answer(self, backend: Backend) -> None:
        """Record that a backend has answered, whatever the answer was."""
        backend.last_heard_at = self._context.now
        backend.consecutive_overdue = 0

    def record_connection_failure(self, cache: Backend, is_refused: bool, is_trial: bool) -> None:
        """Count a refused or reset connection; eject the cache on a failed trial or the second one in a row.

        Resets can affect the connections to all caches alike, both idle and new ones. A cache that still
        answers is running and is not ejected: otherwise all caches would be ejected and then return in slow
        start, with most requests rejected.
        """
        if not is_trial and self.has_answered_recently(cache):
            return
        cache.consecutive_connection_failures += 1
        # A reset alone is no sign of a restart.
        cache.has_lost_connection = cache.has_lost_connection or is_refused
        if cache.consecutive_connection_failures >= MAX_CONNECTION_FAILURES or is_trial:
            self.eject(cache, EjectionCause.CONNECTION_FAILURES)

    def record_overdue(self, cache: Backend, is_trial: bool) -> None:
        """Count an overdue attempt at a cache that has not answered since the attempt was sent.

        Every ``OVERDUE_PER_HEALTH_CHECK`` of them cause a health check; too many in a row eject the cache.
        """
        cache.consecutive_overdue += 1
        has_health_checks = self._context.settings.can_health_check
        max_overdue = MAX_OVERDUE_WITH_CHECKS if has_health_checks else OVERDUE_PER_HEALTH_CHECK
        if is_trial or cache.consecutive_overdue >= max_overdue:
            self.eject(cache, EjectionCause.SILENT)
        elif cache.consecutive_overdue % OVERDUE_PER_HEALTH_CHECK == 0:
            self._context.actions.append(i.HealthCheck(cache.name))

    def record_trial_success(self, backend: Backend) -> None:
        """Record a trial request that succeeded; the last one required restores the backend."""
        backend.trials_required -= 1
        if backend.trials_required <= 0:
            self.restore(backend)

    def record_health_check(self, event: i.HealthCheckResult) -> None:
        """Record the result of a health check; a failed one ejects the backend.

        A passed one shows that the process runs, which permits one trial request and no more.
        """
        backend = self._endpoints.backends.get(event.backend)
        if backend is None:
            return
        if event.result == "ok":
            backend.has_passed_health_check = backend.is_ejected
            backend.last_heard_at = self._context.now
            return
        backend.has_lost_connection = True
        backend.ejected_until = min(backend.ejected_until, self._context.now)
        self.eject(backend, EjectionCause.FAILED_HEALTH_CHECK)

    def on_health_check_due(self, name: str) -> None:
        """Request a health check if the backend's ejection time is over and no check has been passed."""
        backend = self._endpoints.backends.get(name)
        if backend is None or not backend.is_ejected or backend.has_passed_health_check:
            return
        if self._context.now >= backend.ejected_until - CLOCK_RESOLUTION_S:
            self._context.actions.append(i.HealthCheck(name))

    def record_failure(self, backend: Backend) -> None:
        """Count a failure of a source or a cache, and eject it if it fails far more often than its peers.

        If the peers fail as often, the cause is shared, most likely the origin, and an ejection would only
        move the load. Failures caused by one bad cache are spread evenly over the parents, and those of one
        parent over the caches, so the two can be told apart. This guards against a backend that answers at
        once but with an error, and so appears quick and alive. The cost is that a cache which holds the
        failing objects is idle for a while.
        """
        backend.failures.add(self._context.now, 1.0)
        if backend is self._endpoints.origin:
            return
        is_cache = backend in self._endpoints.cache_set
        if backend.is_ejected:
            if not is_cache:
                self.eject(backend, EjectionCause.ERROR_OUTLIER)
            return
        if self._is_outlier(backend, is_cache):
            backend.is_error_outlier = True
            self.eject(backend, EjectionCause.ERROR_OUTLIER)

    def eject(self, backend: Backend, cause: EjectionCause) -> None:
        """Eject a backend for a time that doubles with each ejection; the origin is never ejected.

        Meanwhile its objects go to the next backend in rank. When a cache that was in service is ejected, the
        attempts that wait there are cancelled where that is permitted.
        """
        now = self._context.now
        if backend is self._endpoints.origin or (backend.is_ejected and now < backend.ejected_until):
            return
        backend.ejection_duration = min(
            max(2.0 * backend.ejection_duration, FIRST_EJECTION_S), MAX_EJECTION_S
        )
        backend.ejected_until = now + backend.ejection_duration * self._context.random.uniform(
            *EJECTION_JITTER
        )
        is_first = not backend.is_ejected
        backend.is_ejected = True
        self._log(f"ejected {backend.name} for {backend.ejected_until - now:.2f} s: {cause.value}")
        backend.has_passed_health_check = False
        is_parent_without_notes = backend in self._endpoints.parent_set and not self._context.settings.tells
        backend.trials_required = (
            REPEATED_TRIALS if backend.is_error_outlier or is_parent_without_notes else 1
        )
        if self._context.settings.can_health_check:
            self._timers.start(backend.ejected_until - now, HealthCheckDue(backend.name))
        if is_first and backend in self._endpoints.cache_set:
            self._cancellation.cancel_at(backend)

    def restore(self, backend: Backend) -> None:
        """Return a backend to service.

        If connections to it were lost it has most likely restarted, and starts slowly again.
        """
        now = self._context.now
        has_restarted = backend.has_lost_connection
        if backend.is_ejected:
            self._log(f"restored {backend.name}{', in slow start' if has_restarted else ''}")
        backend.reset_health()
        if has_restarted:
            backend.started_at = max(backend.started_at, now)
        backend.last_heard_at = now
        backend.in_service_since = now

    def _log(self, text: str) -> None:
        self._context.actions.append(i.Log(text))

    def _is_outlier(self, backend: Backend, is_cache: bool) -> bool:
        """Return whether a backend fails more often than its peers in service, beyond chance."""
        now = self._context.now
        peers = self._peers_in_service(backend, is_cache)
        failures = backend.failures.value_at(now)
        successes = backend.successes.value_at(now)
        peer_failures = sum(p.failures.value_at(now) for p in peers)
        peer_answers = peer_failures + sum(p.successes.value_at(now) for p in peers)
        scaled_peer_failures = (failures + successes) * (peer_failures + ASSUMED_PEER_FAILURES)
        expected = scaled_peer_failures / (peer_answers + ASSUMED_PEER_ANSWERS)
        allowance = CACHE_FAILURE_ALLOWANCE * is_cache
        max_failures = OUTLIER_FACTOR * expected + OUTLIER_DEVIATIONS * math.sqrt(expected) + allowance
        return failures > max(max_failures, MIN_OUTLIER_FAILURES) and bool(peers)

    def _peers_in_service(self, backend: Backend, is_cache: bool) -> list[Backend]:
        """Return the peers that were in service for the whole time over which the backend is judged.

        Compared with a peer that was out of service during a fault, a backend that served meanwhile would
        look bad.
        """
        endpoints = self._endpoints
        peers = endpoints.caches if is_cache else [*endpoints.parents, *filter(None, [endpoints.origin])]
        since = max(backend.in_service_since, self._context.now - DECAY_TIME_S)
        return [
            p
            for p in peers
            if p is not backend
            and p.entry.state == "ready"
            and not p.is_ejected
            and p.in_service_since <= since
        ]
