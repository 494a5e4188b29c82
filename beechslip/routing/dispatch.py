"""Dispatch: opens requests, sends their attempts, and gives each its one final answer."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.admission import Admission
from beechslip.routing.context import Context
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import Estimates
from beechslip.routing.freshness import Freshness
from beechslip.routing.outcomes import NEVER_SENT, PROVEN_NOT_EXECUTED, OutcomeEvidence
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import SAFETY_TICKS, RetryPolicy
from beechslip.routing.selection import Selector
from beechslip.routing.slow_start import SlowStart
from beechslip.routing.state import AttemptInFlight, AttemptKey, Backend, OpenRequest


class Dispatcher:
    """Takes requests and outcomes, and changes the request table."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointTable,
        requests: RequestTable,
        estimates: Estimates,
        freshness: Freshness,
        slow_start: SlowStart,
        admission: Admission,
        selector: Selector,
        retries: RetryPolicy,
        overdue: OverdueMonitor,
        evidence: OutcomeEvidence,
    ) -> None:
        """A dispatcher that asks the given components."""
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
        self._evidence = evidence

    def on_request(self, event: i.Request) -> None:
        """Open a request and send its first attempt; one without a rule or the time is rejected at once."""
        settings = self._context.settings
        rule = settings.classes.get(event.class_name)
        if rule is None or event.time_left <= SAFETY_TICKS * settings.tick:
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
        self._retries.earn()
        self._send(request)

    def on_outcome(self, outcome: i.Outcome) -> None:
        """Learn from the end of an attempt; then close its request, retry it, or give it up."""
        attempt = self._requests.in_flight.pop(AttemptKey(outcome.request, outcome.attempt), None)
        if attempt is None:
            return
        request = self._requests.open.get(outcome.request)
        self._evidence.learn(attempt, outcome, request)
        if request is None:
            return
        if outcome.finished or outcome.result == "ok":
            del self._requests.open[outcome.request]
            return
        if outcome.result not in PROVEN_NOT_EXECUTED:
            first = request.first_unproven_at
            request.first_unproven_at = attempt.sent_at if first is None else min(first, attempt.sent_at)
        request.reached_backend = request.reached_backend or outcome.result not in NEVER_SENT
        fill_failed = self._evidence.blame_for_request(request, attempt, outcome)
        if not self._retries.may_retry(request, fill_failed):
            self._give_up(request, self._reason_without_retry(request, outcome))
            return
        self._retries.spend()
        self._send(request)

    def on_client_gone(self, request_id: str) -> None:
        """Forget a request whose client has left; its attempts in flight still teach by their outcomes."""
        self._requests.open.pop(request_id, None)

    def on_shutdown(self) -> None:
        """End every request now.

        What is in flight, or may have run, is rejected only where a repeat is harmless, else failed.
        """
        for key, attempt in self._requests.in_flight.items():
            request = self._requests.open.get(key.request_id)
            if request is not None and request.first_unproven_at is None:
                request.first_unproven_at = attempt.sent_at
        for request in list(self._requests.open.values()):
            request.last_look_made = True  # no last attempt either
            self._give_up(request, "shutdown")

    def _send(self, request: OpenRequest) -> None:
        """Make the next attempt on the ordinary path, or end the request if there is no way."""
        cache, source = self._selector.choose_route(request)
        if cache is None or (source is None and request.rule.write):
            self._give_up(request, "shed" if request.shed else "no backend")
            return
        if cache in self._endpoints.cache_set and not self._admission.may_fill(request, source):
            source = None
            request.last_look_made = True
        self._send_attempt(request, cache, source)

    def _send_attempt(self, request: OpenRequest, cache: Backend, source: Backend | None) -> None:
        """Send it; with no source it only looks, at a copy in its grace if there is one."""
        rule = request.rule
        cacheable = not rule.write
        max_age = self._age_limit(request, source)
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
        self._overdue.watch(request, key)

    def _record_attempt(self, request: OpenRequest, cache: Backend, source: Backend | None) -> AttemptKey:
        """Enter an attempt that is sent now; the first at an ejected backend is its trial."""
        attempt = AttemptInFlight(request.attempts, self._context.now, cache, source, request.transfer_time)
        work = self._estimates.class_transfer_time(request.rule)
        for backend in (cache, source):
            if backend is None:
                continue
            self._slow_start.charge(backend, work)
            backend.in_flight += 1
            if backend.ejected and not backend.trial_in_flight:
                backend.trial_in_flight = True
                attempt.trial = backend
        key = AttemptKey(request.request_id, request.attempts)
        self._requests.in_flight[key] = attempt
        attempt.resends_lost_answer = request.resend_lost_answer
        request.resend_lost_answer = False
        request.attempts += 1
        return key

    def _age_limit(self, request: OpenRequest, source: Backend | None) -> float:
        """The oldest copy that may answer, s (0: any): the fresh time, with the grace for a mere look."""
        rule = request.rule
        grace = 0.0 if source else rule.grace
        return self._freshness.oldest_allowed(request, rule.fresh + grace if rule.fresh else 0.0)

    def _reason_without_retry(self, request: OpenRequest, outcome: i.Outcome) -> i.EndReason:
        """Why a request has no further attempt after this outcome."""
        if outcome.result == "timeout" or request.deadline - self._context.now <= self._context.settings.tick:
            return "deadline"
        return "not cached" if request.last_look_made else "retries"

    def _give_up(self, request: OpenRequest, reason: i.EndReason) -> None:
        """End a request at once: a permitted stale copy, else rejected if that is harmless, else failed."""
        cache = self._choose_stale_copy(request)
        if cache is not None:
            request.last_look_made = True
            self._send_attempt(request, cache, None)
            return
        del self._requests.open[request.request_id]
        if self._retries.is_harmless_to_repeat(request):
            final: i.Action = i.Refuse(request.request_id, self._retries.retry_after(), reason)
        else:
            final = i.Fail(request.request_id, reason)
        self._context.actions.append(final)

    def _choose_stale_copy(self, request: OpenRequest) -> Backend | None:
        """A cache that may answer with a copy in its grace, if one is permitted and not yet tried."""
        rule = request.rule
        if rule.grace <= 0 or rule.fresh <= 0 or request.last_look_made:
            return None
        if not self._retries.may_attempt(request):
            return None
        cache = self._selector.choose_cache(request)
        if cache is None:
            return None
        oldest = self._freshness.oldest_allowed(request, rule.fresh + rule.grace)
        return cache if oldest > rule.fresh else None
