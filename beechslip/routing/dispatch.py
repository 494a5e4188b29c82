"""Dispatch: opens requests, sends their attempts, and ends each with exactly one final answer."""

from __future__ import annotations

from beechslip.routing import interface as i
from beechslip.routing.admission import AdmissionControl
from beechslip.routing.context import RoutingContext
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.freshness import FreshnessPolicy
from beechslip.routing.link import FillKey
from beechslip.routing.link_limits import LinkLimits
from beechslip.routing.outcomes import NEVER_SENT_RESULTS, NOT_EXECUTED_RESULTS, OutcomeRecorder
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import MARGIN_TICKS, RetryPolicy
from beechslip.routing.selection import RouteSelector
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import AttemptInFlight, AttemptKey, Backend, OpenRequest
from beechslip.routing.waiting import WaitingRequests


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
        links: LinkLimits,
        waiting: WaitingRequests,
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
        self._links = links
        self._waiting = waiting
        self._shares = admission.shares

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
        self._links.record_arrival(request)
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
        if request is not None:
            self._continue_request(attempt, outcome, request)

    def on_wait_ends(self, request_id: str) -> None:
        """End a request that still waits for a place on a link, if it could not be sent in time any more."""
        request = self._requests.open.get(request_id)
        if request is not None and self._waiting.has_expired(request):
            self._waiting.remove(request)
            self._serve_stale_or_end(request, "deadline" if request.attempts else "shed")

    def send_waiting(self) -> None:
        """Send the requests that wait for links, as far as these have places or have left service."""
        for backend in self._waiting.backends():
            is_listed = self._endpoints.backends.get(backend.name) is backend
            while (request := self._waiting.take_next(backend, is_listed)) is not None:
                self._send_next_attempt(request)
            self._waiting.schedule_resumption(backend)

    def _continue_request(self, attempt: AttemptInFlight, outcome: i.Outcome, request: OpenRequest) -> None:
        """Close an open request after an attempt, send its next one, or end it."""
        if outcome.finished or outcome.result == "ok":
            self._close(request, outcome.result == "ok")
            return
        if attempt.is_lookup and outcome.result == "miss":
            request.missing_at = attempt.cache
            request.has_reached_backend = True
            self._send_next_attempt(request)
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
        request = self._requests.open.get(request_id)
        if request is not None:
            self._close(request, False)

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
        if request.rule.write or cache not in self._endpoints.cache_set:
            self._send_attempt(request, cache, source)
        else:
            self._send_read(request, cache, source)

    def _send_read(self, request: OpenRequest, cache: Backend, source: Backend | None) -> None:
        """Send a read to a cache, with a fill if it may have one, or let it wait for a place on a link.

        While the source's link is limited, a lookup is sent first, so that only known misses take its places.
        The link limit then decides on fills, in place of the fill throttle: a fill waits for a place.
        """
        is_missing = request.missing_at is cache
        is_short = self._links.is_short(request)
        if not is_missing and not self._links.has_place(cache, is_short):
            self._wait_or_end(request, cache)
            return
        if source is not None and self._links.is_limited(source):
            if not is_missing and self._retries.may_look_up(request):
                self._send_attempt(request, cache, None, is_lookup=True)
                return
            is_joining = FillKey(cache.name, request.copy_key) in source.link.fills
            if not is_joining and not self._links.has_place(source, is_short):
                request.refused_source = source
                self._wait_or_end(request, source)
                return
        elif source is not None and not self._admission.may_fill(request, source):
            request.refused_source = source
            request.has_made_last_attempt = True
            source = None
        self._send_attempt(request, cache, source)
        if source is not None:
            for joining in self._waiting.take_joining(source, request):
                self._send_next_attempt(joining)

    def _wait_or_end(self, request: OpenRequest, backend: Backend) -> None:
        """Let a request wait for a place on a backend's link; end it if it can't."""
        if not self._waiting.add(request, backend):
            self._serve_stale_or_end(request, "deadline" if request.attempts else "shed")

    def _send_attempt(
        self, request: OpenRequest, cache: Backend, source: Backend | None, is_lookup: bool = False
    ) -> None:
        """Send an attempt to ``cache``.

        With no source it is cached-only. A copy within its grace time may then answer it, unless it is a
        lookup, which a fill may follow.
        """
        rule = request.rule
        cacheable = not rule.write
        max_age = self._max_copy_age(request, source is not None or is_lookup)
        key = self._record_attempt(request, cache, source)
        self._requests.in_flight[key].is_lookup = is_lookup
        if source is not None:
            self._shares.record_sent(request)
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
        self._begin_transfers(request, attempt)
        key = AttemptKey(request.request_id, request.attempts)
        self._requests.in_flight[key] = attempt
        attempt.retries_lost_answer = request.is_answer_lost
        request.is_answer_lost = False
        request.attempts += 1
        return key

    def _begin_transfers(self, request: OpenRequest, attempt: AttemptInFlight) -> None:
        """Count the transfers of an attempt on the links of its cache and its source.

        An attempt that joins a fill in progress adds no transfer to the source's link.
        """
        now = self._context.now
        attempt.is_size_known = self._estimates.is_size_known(request)
        is_short = self._links.is_short(request)
        attempt.cache_pool = attempt.cache.link.begin(now, attempt.transfer_time, is_short)
        source = attempt.source
        if source is None:
            return
        if (
            self._context.settings.joins
            and not request.rule.write
            and attempt.cache in self._endpoints.cache_set
        ):
            attempt.fill_key = FillKey(attempt.cache.name, request.copy_key)
            attempt.is_joining = attempt.fill_key in source.link.fills
            source.link.add_fill(attempt.fill_key)
        if not attempt.is_joining:
            attempt.source_pool = source.link.begin(now, attempt.transfer_time, is_short)

    def _max_copy_age(self, request: OpenRequest, is_fresh_only: bool) -> float:
        """Return the age limit of a copy in seconds (0: none): the fresh time, and the grace time beyond."""
        rule = request.rule
        grace = 0.0 if is_fresh_only else rule.grace
        return self._freshness.oldest_allowed(request, rule.fresh + grace if rule.fresh else 0.0)

    def _close(self, request: OpenRequest, is_served: bool) -> None:
        """Remove a request that has ended from all tables."""
        self._waiting.remove(request)
        self._shares.record_end(request, is_served)
        del self._requests.open[request.request_id]

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
        self._close(request, False)
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
