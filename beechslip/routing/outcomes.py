"""Outcomes of attempts, read as evidence: on the cache, on the source, or on neither."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.admission import BUSY_LINK, Admission
from beechslip.routing.concurrency import FILL_FAULTS, ConcurrencyLimits
from beechslip.routing.context import Context
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import Estimates
from beechslip.routing.health import Health
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.retries import RetryPolicy
from beechslip.routing.slow_start import SlowStart
from beechslip.routing.state import AttemptInFlight, Backend, OpenRequest

PROVEN_NOT_EXECUTED = frozenset({"full", "connect_failed", "moot", "miss"})
NEVER_SENT = frozenset({"connect_failed", "moot"})
ANSWERED = frozenset({"ok", "miss", "full"})
BROKEN_CONNECTION = frozenset({"connect_failed", "reset"})
FILLED = frozenset({"filled", "filled_origin"})
SOURCE_FAULTS = frozenset({"source_lost", "source_lacks"})
PERHAPS_SOURCE_FAULT = frozenset({"miss", "full", "error"})  # without a note


class OutcomeEvidence:
    """Hands each outcome to the components that learn from it; it holds no state of its own."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointTable,
        estimates: Estimates,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        admission: Admission,
        retries: RetryPolicy,
        health: Health,
        overdue: OverdueMonitor,
    ) -> None:
        """Evidence for the given components."""
        self._context = context
        self._endpoints = endpoints
        self._estimates = estimates
        self._slow_start = slow_start
        self._limits = limits
        self._admission = admission
        self._retries = retries
        self._health = health
        self._overdue = overdue

    def learn(self, attempt: AttemptInFlight, outcome: i.Outcome, request: OpenRequest | None) -> None:
        """Learn from how an attempt ended; ``request`` is ``None`` where it has ended before."""
        cache = attempt.cache
        cache.in_flight -= 1
        if attempt.source is not None:
            attempt.source.in_flight -= 1
        if outcome.report and cache in self._endpoints.cache_set:
            report = outcome.report
            self._admission.record_load_report(cache, report.get("busy", 0.0), report.get("held", 0.0))
        self._limits.learn(attempt, request, outcome)
        trial = attempt.trial
        attempt.trial = None
        if trial is not None:
            trial.trial_in_flight = False
        self._learn_of_cache(attempt, outcome, request, trial)
        self._learn_of_source(attempt.source, outcome, request, trial)

    def blame_for_request(self, request: OpenRequest, attempt: AttemptInFlight, outcome: i.Outcome) -> bool:
        """Have the request's next attempt avoid what failed this one; returns whether the fill failed."""
        result = outcome.result
        note = outcome.note
        cache = attempt.cache
        fill_failed = note in FILL_FAULTS or (not note and result in PERHAPS_SOURCE_FAULT)
        # A connection that broke at a backend that runs says nothing of it: the copy is at home.
        broken = result == "connect_failed" or (result == "reset" and not self._health.is_alive(cache))
        # A "full" without a note, of a cache that reports a free link, is the word of its source.
        link_free = outcome.report.get("busy", 1.0) <= BUSY_LINK and attempt.source is not None
        rejected = result == "full" and note != "source_refused" and not link_free
        if broken or rejected or note == "no_place":
            request.avoided.append(cache)
        elif fill_failed and attempt.source is not None:
            request.avoided.append(attempt.source)
        return fill_failed

    def _learn_of_cache(
        self,
        attempt: AttemptInFlight,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial: Backend | None,
    ) -> None:
        cache = attempt.cache
        result = outcome.result
        if result in ANSWERED:
            self._health.record_answer(cache)
        if result == "ok":
            self._learn_from_success(attempt, outcome, request, trial)
        elif result in BROKEN_CONNECTION:
            refused = result == "connect_failed"
            self._health.record_connection_failure(cache, refused, trial is cache)
        elif result in ("error", "timeout") and trial is cache:
            self._health.eject(cache)
        if result == "error" and not outcome.note and cache in self._endpoints.cache_set:
            self._health.record_failure(cache)

    def _learn_of_source(
        self,
        source: Backend | None,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial: Backend | None,
    ) -> None:
        if source is None:
            return
        result = outcome.result
        note = outcome.note
        faulty = note in SOURCE_FAULTS or (not note and result in PERHAPS_SOURCE_FAULT)
        if faulty and not (request and request.last_look_made):
            self._health.record_failure(source)
        elif trial is source and result in ("timeout", "cancelled"):
            self._health.eject(source)

    def _learn_from_success(
        self,
        attempt: AttemptInFlight,
        outcome: i.Outcome,
        request: OpenRequest | None,
        trial: Backend | None,
    ) -> None:
        now = self._context.now
        cache = attempt.cache
        source = attempt.source
        cache.consecutive_connection_failures = 0
        if attempt.number and source is not None:
            self._retries.refund()
        self._overdue.learn_from_answer(attempt)
        # By own size: with the large rejected, the class's mean would make a backend look too strong.
        work = attempt.transfer_time
        if request:
            self._estimates.learn_patience(request, outcome.elapsed)
            self._estimates.learn_copy(request, outcome.elapsed)
            work = request.transfer_time
            if outcome.note == "hit":
                self._admission.record_pace(cache, request, outcome.elapsed)
        filled = outcome.note in FILLED
        tells = self._context.settings.tells
        cache.successes.add(now, 1.0)
        if source is not None and (filled or not tells):  # a hit says nothing of it
            source.successes.add(now, 1.0)
        self._slow_start.learn_capacity(cache, work)
        if source is not None:
            self._slow_start.learn_capacity(source, work)
        if trial is None:
            return
        if trial is cache or filled or tells == "" or trial is self._endpoints.origin:
            self._health.record_trial_success(trial)
