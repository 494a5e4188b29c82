"""Evaluation of outcomes: what an attempt's end shows about its cache, its source or neither."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.admission import BUSY_LINK_FRACTION, AdmissionControl
from beechslip.routing.concurrency import FILL_FAULT_NOTES, ConcurrencyLimits
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.health import BackendHealth, EjectionCause
from beechslip.routing.link_limits import LinkLimits
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.retries import RetryPolicy
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import AttemptInFlight, Backend, OpenRequest

NOT_EXECUTED_RESULTS = frozenset({"full", "connect_failed", "moot", "miss"})
NEVER_SENT_RESULTS = frozenset({"connect_failed", "moot"})
ANSWERED_RESULTS = frozenset({"ok", "miss", "full"})
CONNECTION_FAILURE_RESULTS = frozenset({"connect_failed", "reset"})
HIT_NOTES = frozenset({"hit", "stale"})
FILLED_NOTES = frozenset({"filled", "filled_origin"})
SOURCE_FAULT_NOTES = frozenset({"source_lost", "source_lacks"})
POSSIBLE_SOURCE_FAULT_RESULTS = frozenset({"miss", "full", "error"})  # if they carry no note


class OutcomeRecorder:
    """Passes each outcome to the components that use it. It has no state of its own."""

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        estimates: DurationEstimates,
        slow_start: SlowStartPolicy,
        limits: ConcurrencyLimits,
        admission: AdmissionControl,
        retries: RetryPolicy,
        health: BackendHealth,
        overdue: OverdueMonitor,
        links: LinkLimits,
    ) -> None:
        """Create a recorder that passes outcomes to the given components."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        self._slow_start = slow_start
        self._limits = limits
        self._admission = admission
        self._retries = retries
        self._health = health
        self._overdue = overdue
        self._links = links

    def record(self, attempt: AttemptInFlight, outcome: i.Outcome, request: OpenRequest | None) -> None:
        """Record how an attempt ended; ``request`` is ``None`` if the request has already ended."""
        cache = attempt.cache
        cache.in_flight -= 1
        if attempt.source is not None:
            attempt.source.in_flight -= 1
        self._end_transfers(attempt)
        self._record_transfer(attempt, outcome)
        if outcome.report and cache in self._endpoints.cache_set:
            report = outcome.report
            self._admission.record_load_report(cache, report.get("busy", 0.0), report.get("held", 0.0))
        self._limits.record_outcome(attempt, request, outcome)
        trial_backend = attempt.trial_backend
        attempt.trial_backend = None
        if trial_backend is not None:
            trial_backend.has_trial_in_flight = False
        self._record_for_cache(attempt, outcome, request, trial_backend)
        self._record_for_source(attempt.source, outcome, request, trial_backend)

    def _end_transfers(self, attempt: AttemptInFlight) -> None:
        """Count the transfers of an attempt on the links of its cache and its source as ended."""
        work = attempt.transfer_time
        if attempt.cache_pool is not None:
            attempt.cache.link.end(attempt.cache_pool, attempt.sent_at, work)
        source = attempt.source
        if source is None:
            return
        if attempt.source_pool is not None:
            source.link.end(attempt.source_pool, attempt.sent_at, work)
        if attempt.fill_key is not None:
            source.link.remove_fill(attempt.fill_key)

    def _record_transfer(self, attempt: AttemptInFlight, outcome: i.Outcome) -> None:
        """Record the pace of a transfer: of a hit for its cache's link, of a fill for its source's.

        Where notes do not tell hits, slow hits limit the source at first. Lookups then tell them apart.
        """
        if not attempt.is_size_known or attempt.is_joining or outcome.result not in ("ok", "timeout"):
            return
        backend, pool = attempt.cache, attempt.cache_pool
        if attempt.source is not None and outcome.note not in HIT_NOTES:
            backend, pool = attempt.source, attempt.source_pool
        is_complete = outcome.result == "ok"
        self._links.record_transfer(backend, pool, attempt.transfer_time, outcome.elapsed, is_complete)

    def avoid_failed_backend(
        self, request: OpenRequest, attempt: AttemptInFlight, outcome: i.Outcome
    ) -> bool:
        """Exclude the failed backend from the request's next attempts; return whether the fill failed."""
        result = outcome.result
        note = outcome.note
        cache = attempt.cache
        has_fill_failed = note in FILL_FAULT_NOTES or (not note and result in POSSIBLE_SOURCE_FAULT_RESULTS)
        # A connection reset at a cache that still answers is no reason to avoid it: it holds the copy.
        is_connection_broken = result == "connect_failed" or (
            result == "reset" and not self._health.has_answered_recently(cache)
        )
        # A "full" without a note, from a cache that reports a free link, is the answer of its source.
        is_link_free = outcome.report.get("busy", 1.0) <= BUSY_LINK_FRACTION and attempt.source is not None
        is_rejected = result == "full" and note != "source_refused" and not is_link_free
        if is_connection_broken or is_rejected or note == "no_place":
            request.avoided_backends.append(cache)
        elif has_fill_failed and attempt.source is not None:
            request.avoided_backends.append(attempt.source)
        return has_fill_failed

    def _record_for_cache(
        self,
        attempt: AttemptInFlight,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial_backend: Backend | None,
    ) -> None:
        cache = attempt.cache
        result = outcome.result
        if result in ANSWERED_RESULTS:
            self._health.record_answer(cache)
        if result == "ok":
            self._record_success(attempt, outcome, request, trial_backend)
        elif result in CONNECTION_FAILURE_RESULTS:
            is_refused = result == "connect_failed"
            self._health.record_connection_failure(cache, is_refused, trial_backend is cache)
        elif result in ("error", "timeout") and trial_backend is cache:
            self._health.eject(cache, EjectionCause.FAILED_TRIAL)
        if result == "error" and not outcome.note and cache in self._endpoints.cache_set:
            self._health.record_failure(cache)

    def _record_for_source(
        self,
        source: Backend | None,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial_backend: Backend | None,
    ) -> None:
        if source is None:
            return
        result = outcome.result
        note = outcome.note
        is_faulty = note in SOURCE_FAULT_NOTES or (not note and result in POSSIBLE_SOURCE_FAULT_RESULTS)
        if is_faulty and not (request and request.has_made_last_attempt):
            self._health.record_failure(source)
        elif trial_backend is source and result in ("timeout", "cancelled"):
            self._health.eject(source, EjectionCause.FAILED_TRIAL)

    def _record_success(
        self,
        attempt: AttemptInFlight,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial_backend: Backend | None,
    ) -> None:
        now = self._context.now
        cache = attempt.cache
        source = attempt.source
        cache.consecutive_connection_failures = 0
        if attempt.number and source is not None:
            self._retries.refund_retry()
        self._overdue.record_success(attempt)
        # The request's own transfer time is used: while large requests are rejected, the mean of the class
        # would overstate the capacity of the backend.
        work = attempt.transfer_time
        if request:
            self._estimates.update_overdue_factor(request, outcome.elapsed)
            self._estimates.record_copy_time(request, outcome.elapsed)
            work = request.transfer_time
            if outcome.note == "hit":
                self._admission.record_hit_time(cache, request, outcome.elapsed)
        is_filled = outcome.note in FILLED_NOTES
        tells = self._context.settings.tells
        cache.successes.add(now, 1.0)
        if source is not None and (is_filled or not tells):  # a hit says nothing about the source
            source.successes.add(now, 1.0)
        self._slow_start.record_served_work(cache, work)
        if source is not None:
            self._slow_start.record_served_work(source, work)
        if trial_backend is None:
            return
        if trial_backend is cache or is_filled or tells == "" or trial_backend is self._endpoints.origin:
            self._health.record_trial_success(trial_backend)
