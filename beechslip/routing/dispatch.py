"""Dispatch: opens requests, sends their attempts, and ends each with exactly one final answer."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.admission import AdmissionControl
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.freshness import FreshnessPolicy
from beechslip.routing.outcomes import NEVER_SENT_RESULTS, NOT_EXECUTED_RESULTS, OutcomeRecorder
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import MARGIN_TICKS, RetryPolicy
from beechslip.routing.selection import RouteSelector
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import AttemptInFlight, AttemptKey, Backend, OpenRequest


class RequestDispatcher:
    """Handles requests and outcomes, and maintains the request table."""

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointTable,
        requests: RequestTable,
        estimates: DurationEstimates,
        freshness: FreshnessPolicy,
        slow_start: SlowStartPolicy,
        admission: AdmissionControl,
        selector: RouteSelector,
        retries: RetryPolicy,
        overdue: OverdueMonitor,
        outcomes: OutcomeRecorder,
    ) -> None:
        """Create a dispatcher that uses the given components."""
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._estimates = estimates
        self._freshness = freshness
        self._slow_start = slow_start
        self._admission = admission
        self._selector = selector
        self._retries = retries
        self._overdue = overdue
        self._outcomes = outcomes

    def on_request(self, event: i.Request) -> None:
        """Open a request and send its first attempt.

        A request of an unknown class, or without the time to be answered, is rejected at once.
        """
        settings = self._context.settings
        rule = settings.classes.get(event.class_name)
        if rule is None or event.time_left <= MARGIN_TICKS * settings.tick:
            self._context.actions.append(
                i.Refuse(event.request, self._retries.retry_after(), "deadline" if rule else "unknown class")
            )
            return
        request = self._estimates.open_request(event, rule)
        if not self._estimates.can_be_sent_in_time(request):
            self._context.actions.append(i.Refuse(event.request, self._retries.retry_after(), "deadline"))
            return
        self._admission.record_arrival(request)
        self._requests.open[request.request_id] = request
        self._retries.record_new_request()
        self._send_next_attempt(request)

    def on_outcome(self, outcome: i.Outcome) -> None:
        """Record the end of an attempt; then close its request, retry it, or end it without a retry."""
        attempt = self._requests.in_flight.pop(AttemptKey(outcome.request, outcome.attempt), None)
        if attempt is None:
            return
        request = self._requests.open.get(outcome.request)
        self._outcomes.record(attempt, outcome, request)
        if request is None:
            return
        if outcome.finished or outcome.result == "ok":
            del self._requests.open[outcome.request]
            return
        if outcome.result not in NOT_EXECUTED_RESULTS:
            first = request.possibly_executed_since
            request.possibly_executed_since = (
                attempt.sent_at if first is None else min(first, attempt.sent_at)
            )
        request.has_reached_backend = request.has_reached_backend or outcome.result not in NEVER_SENT_RESULTS
        has_fill_failed = self._outcomes.avoid_failed_backend(request, attempt, outcome)
        if not self._retries.may_retry(request, has_fill_failed):
            self._serve_stale_or_end(request, self._no_retry_reason(request, outcome))
            return
        self._retries.spend_retry()
        self._send_next_attempt(request)

    def on_client_gone(self, request_id: str) -> None:
        """Close a request whose client has left; the outcome of its attempt is still recorded."""
        self._requests.open.pop(request_id, None)

    def on_shutdown(self) -> None:
        """End every request now.

        A request that is in flight or may have run is rejected only if a repeat is harmless; otherwise it is
        failed.
        """
        for key, attempt in self._requests.in_flight.items():
            request = self._requests.open.get(key.request_id)
            if request is not None and request.possibly_executed_since is None:
                request.possibly_executed_since = attempt.sent_at
        for request in list(self._requests.open.values()):
            request.has_made_last_attempt = True  # not even a last attempt at a stale copy
            self._serve_stale_or_end(request, "shutdown")

    def _send_next_attempt(self, request: OpenRequest) -> None:
        """Send the next attempt on the chosen route, or end the request if there is none."""
        cache, source = self._selector.choose_route(request)
        if cache is None or (source is None and request.rule.write):
            self._serve_stale_or_end(request, "shed" if request.is_shed else "no backend")
            return
        if cache in self._endpoints.cache_set and not self._admission.may_fill(request, source):
            request.refused_source = source
            source = None
            request.has_made_last_attempt = True
        self._send_attempt(request, cache, source)

    def _send_attempt(self, request: OpenRequest, cache: Backend, source: Backend | None) -> None:
        """Send an attempt to ``cache``.

        With no source it is cached-only, and a copy within its grace time may answer it.
        """
        rule = request.rule
        cacheable = not rule.write
        max_age = self._max_copy_age(request, source)
        key = self._record_attempt(request, cache, source)
        self._context.actions.append(
            i.Attempt(
                request=request.request_id,
                backend=cache.name,
                source=(source or cache).name,
                timeout=request.deadline - self._context.now,
                keep=1 if cacheable and cache in self._endpoints.cache_set else 0,
                max_age=max_age if cacheable else 0.0,
                join=cacheable and self._context.settings.joins,
                renew=cacheable and rule.fresh > 0 and source is not None,
            )
        )
        self._overdue.schedule_check(request, key)

    def _record_attempt(self, request: OpenRequest, cache: Backend, source: Backend | None) -> AttemptKey:
        """Record an attempt that is sent now; the first one to an ejected backend is its trial."""
        attempt = AttemptInFlight(request.attempts, self._context.now, cache, source, request.transfer_time)
        work = self._estimates.class_transfer_time(request.rule)
        for backend in (cache, source):
            if backend is None:
                continue
            self._slow_start.record_sent_work(backend, work)
            backend.in_flight += 1
            if backend.is_ejected and not backend.has_trial_in_flight:
                backend.has_trial_in_flight = True
                attempt.trial_backend = backend
        key = AttemptKey(request.request_id, request.attempts)
        self._requests.in_flight[key] = attempt
        attempt.retries_lost_answer = request.is_answer_lost
        request.is_answer_lost = False
        request.attempts += 1
        return key

    def _max_copy_age(self, request: OpenRequest, source: Backend | None) -> float:
        """Return the age limit of a copy in seconds (0: none).

        It is the fresh time, plus the grace time for a cached-only attempt.
        """
        rule = request.rule
        grace = 0.0 if source else rule.grace
        return self._freshness.oldest_allowed(request, rule.fresh + grace if rule.fresh else 0.0)

    def _no_retry_reason(self, request: OpenRequest, outcome: i.Outcome) -> i.EndReason:
        """Return why a request has no further attempt after this outcome."""
        if outcome.result == "timeout" or request.deadline - self._context.now <= self._context.settings.tick:
            return "deadline"
        return "not cached" if request.has_made_last_attempt else "retries"

    def _serve_stale_or_end(self, request: OpenRequest, reason: i.EndReason) -> None:
        """Try a stale copy if permitted; else reject the request if a repeat is harmless, or fail it."""
        cache = self._choose_stale_cache(request)
        if cache is not None:
            request.has_made_last_attempt = True
            self._send_attempt(request, cache, None)
            return
        del self._requests.open[request.request_id]
        if self._retries.is_harmless_to_repeat(request):
            detail = self._admission.refusal_detail(request)
            final: i.Action = i.Refuse(request.request_id, self._retries.retry_after(), reason, detail)
        else:
            final = i.Fail(request.request_id, reason)
        self._context.actions.append(final)

    def _choose_stale_cache(self, request: OpenRequest) -> Backend | None:
        """Return a cache that may answer with a stale copy, if that is permitted and not yet tried."""
        rule = request.rule
        if rule.grace <= 0 or rule.fresh <= 0 or request.has_made_last_attempt:
            return None
        if not self._retries.may_attempt(request):
            return None
        cache = self._selector.choose_cache(request)
        if cache is None:
            return None
        oldest = self._freshness.oldest_allowed(request, rule.fresh + rule.grace)
        return cache if oldest > rule.fresh else None
