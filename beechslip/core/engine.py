"""The engine: one task that owns the router, the open requests and their attempts.

Everything reaches it through its queue; what the router decides goes out through the protocols of ``model``.
It decides nothing itself. It keeps what must hold whatever the router does: one final response to each request
and in time, one attempt at a time, no more attempts than permitted, and nothing new to or through a backend
that drains.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Literal

from beechslip.clock import Clock, to_local_ms, to_ms, to_seconds
from beechslip.core.attempts import AttemptFinished, AttemptRunner, InFlightAttempt, to_outcome
from beechslip.core.endpoint_table import EndpointTable, to_list_event
from beechslip.core.guards import GuardState
from beechslip.core.health_checks import HealthCheckRunner
from beechslip.core.messages import (
    ClientDisconnected,
    EndpointListUpdate,
    PurgeReceived,
    RequestReceived,
    SettingsChanged,
    Shutdown,
)
from beechslip.core.model import AttemptResult, FinalResponse, HealthChecker
from beechslip.core.purge_memory import PurgeMemory
from beechslip.core.requests import OpenRequest, OpenRequestTable, RepeatForbidden, RequestExpired, to_request_event
from beechslip.core.responses import Responder
from beechslip.core.router_module import RouterModule
from beechslip.core.services import AttemptObserver, OptionalServices, QuotaGate, SentRequestLog
from beechslip.counters import Counters
from beechslip.routing import interface

log = logging.getLogger("beechslip.engine")

DEFAULT_MAX_OPEN_REQUESTS = 20_000  # where the settings give no number
LATE_FAILURE_MS = 1.0  # a failure this shortly before the deadline is put down to the deadline


class Engine:
    """Owns the router module. ``post`` is the one way in; ``run`` is to be one task."""

    def __init__(
        self,
        settings: interface.Settings,
        router: RouterModule,
        clock: Clock,
        health_checker: HealthChecker,
        counters: Counters,
        quota_gate: QuotaGate | None = None,
        observer: AttemptObserver | None = None,
        sent_log: SentRequestLog | None = None,
    ) -> None:
        """The last three are optional services: None where the operators' files leave them off."""
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self.services = OptionalServices(quota_gate, observer, sent_log)
        self.listed = asyncio.Event()  # set once a whole list has been applied
        self._router = router
        self._urgent: deque[object] = deque()
        self._ordinary: deque[object] = deque()
        self._posted = asyncio.Event()
        self._last_s = 0.0  # the router's time: seconds of the clock, never less than before
        self._requests = OpenRequestTable()
        self.quiet = self._requests.idle  # set while no request is open
        self._endpoints = EndpointTable(clock)
        self._purges = PurgeMemory()
        guard_state = GuardState(self._requests, self._endpoints.backends, self._purges, self.services)
        self._attempts = AttemptRunner(guard_state, clock, counters, self.post)
        self._health_checks = HealthCheckRunner(health_checker, self._endpoints.backends, clock, counters, self.post)
        self._responder = Responder(clock, counters)

    def post(self, message: object) -> None:
        """Queue a message. Purges, lists and settings overtake queued requests, as rules count from them."""
        urgent = isinstance(message, (EndpointListUpdate, PurgeReceived, SettingsChanged))
        queue = self._urgent if urgent else self._ordinary
        queue.append(message)
        self._posted.set()

    async def run(self) -> None:
        """Handle messages until cancelled; then cancel the attempts and health checks, and await them."""
        try:
            self._tell_router(None, None)
            while True:
                await self._posted.wait()
                self._posted.clear()
                while self._urgent or self._ordinary:
                    self.step((self._urgent or self._ordinary).popleft())
        finally:
            tasks = [*self._attempts.cancel_all(), *self._health_checks.cancel_all()]
            await asyncio.gather(*tasks, return_exceptions=True)

    def step(self, message: object) -> None:
        """Handle one message now, ahead of those that are queued."""
        try:
            match message:
                case RequestReceived():
                    self._on_request(message)
                case AttemptFinished():
                    self._on_attempt_finished(message.attempt, message.result)
                case ClientDisconnected():
                    self._on_client_disconnected(message)
                case EndpointListUpdate():
                    self._on_endpoint_list(message)
                case PurgeReceived():
                    self._on_purge(message)
                case Shutdown():
                    self._on_shutdown()
                case SettingsChanged():
                    self.settings = message.settings
                    self._tell_router(None, interface.SettingsChanged(message.settings))
                case (
                    interface.Timer() | interface.HealthCheckResult() | interface.Quotas() | interface.RegionShares()
                ):
                    self._tell_router(None, message)
                case RequestExpired():
                    self._end(message.request, "last_moment", "deadline")
                case RepeatForbidden():
                    self._end(message.request, "sent_before", "sent before")
        except Exception:
            # Guards against an engine task that dies of one bad message and leaves all requests unanswered.
            self.counters.add("fault.engine")
            log.exception("engine: %s", type(message).__name__)

    # The router module ----------------------------------------------------------------------------

    def _tell_router(self, request_id: str | None, event: interface.Event | None) -> None:
        """Have the router handle an event (None: its start), and carry out its actions.

        If it raises, the request concerned has failed; requests that it may have forgotten by that expire.
        """
        now_s = to_seconds(self.clock.now_ms())
        if now_s < self._last_s:
            now_s = self._last_s
        self._last_s = now_s
        try:
            actions = self._router.start(now_s) if event is None else self._router.handle(now_s, event)
        except Exception:
            self.counters.add("fault.module")
            log.exception("router: request %s", request_id)
            request = self._requests.by_id.get(request_id) if request_id else None
            if request is not None:
                self._close(request, FinalResponse("failed", cause="fault"))
                self._abandon(request)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.Attempt():
                self._start_attempt(action)
            case interface.SetTimer():
                event = interface.Timer(action.token)
                self.clock.call_later(to_ms(action.delay), lambda: self.post(event))
            case interface.Refuse():
                self._refuse(action)
            case interface.Fail():
                self._fail(action)
            case interface.Cancel():
                attempt = self._attempts.in_flight.get((action.request, action.attempt))
                if attempt is not None:
                    attempt.stop("cancelled")
            case interface.HealthCheck():
                self._health_checks.start(action.backend)
            case interface.Log():
                log.info("router: %s", action.text)

    def _start_attempt(self, action: interface.Attempt) -> None:
        request = self._requests.by_id.get(action.request)
        if request is None:
            # The request has ended and its number is not known here: what the router counts is enough.
            self.counters.add("attempt.late")
            return
        self._attempts.start(request, action, self.settings)

    def _refuse(self, action: interface.Refuse) -> None:
        """Refuse a request; it fails where it can't be promised that a retry does no harm."""
        request = self._requests.by_id.get(action.request)
        if request is None:
            return
        if request.refusal_is_safe():
            retry_after_ms = to_ms(action.retry_after)
            response = FinalResponse("refused", retry_after_ms=retry_after_ms, reason=action.reason)
            self._close(request, response)
        else:
            self._close(request, FinalResponse("failed", reason=action.reason))

    def _fail(self, action: interface.Fail) -> None:
        request = self._requests.by_id.get(action.request)
        if request is None:
            return
        late = self.clock.now_ms() >= request.deadline_ms - LATE_FAILURE_MS
        self._close(request, FinalResponse("failed", cause="deadline" if late else "", reason=action.reason))

    # Requests -------------------------------------------------------------------------------------

    def _on_request(self, received: RequestReceived) -> None:
        call = received.call
        request = OpenRequest(received, self.settings)
        self.counters.add("taken")
        if call.id in self._requests.by_id or (call.id, 0) in self._attempts.in_flight:
            # Two open requests of one id would share attempts, and one response would be lost.
            self._responder.respond(request, FinalResponse("failed", cause="duplicate"))
            return
        if len(self._requests.by_id) >= (self.settings.max_open_requests or DEFAULT_MAX_OPEN_REQUESTS):
            retry_after_ms = to_ms(self.settings.max_retry_after)
            response = FinalResponse("refused", retry_after_ms=retry_after_ms, reason="too many open requests")
            self._responder.respond(request, response)
            return
        self._requests.add(request)
        now_ms = self.clock.now_ms()
        request.alarm = self.clock.call_later(request.expires_ms - now_ms, lambda: self.post(RequestExpired(request)))
        self._tell_router(call.id, to_request_event(request, now_ms))

    def _on_client_disconnected(self, message: ClientDisconnected) -> None:
        request = self._requests.by_id.get(message.id)
        if request is None or request.response_sink is not message.response_sink:
            return
        self.counters.add("left")
        self._responder.log_client_gone(request)
        self._remove(request)
        self._abandon(request)

    def _end(self, request: OpenRequest, counter: str, cause: Literal["deadline", "sent before"]) -> None:
        """Fail a request that the router has left open, so that none goes unanswered."""
        if not self._requests.holds(request):
            return
        self.counters.add(counter)
        self._close(request, FinalResponse("failed", cause=cause))
        self._abandon(request)

    def _on_shutdown(self) -> None:
        """The router ends all that is open; what it leaves open fails."""
        self._tell_router(None, interface.Shutdown())
        for request in list(self._requests.by_id.values()):
            self._end(request, "last_moment", "deadline")

    def _close(self, request: OpenRequest, response: FinalResponse) -> None:
        """Give the one final response."""
        self._remove(request)
        self._responder.respond(request, response)
        if request.attempt is not None:
            request.attempt.stop("cancelled")

    def _remove(self, request: OpenRequest) -> None:
        self._requests.remove(request)
        never_ran = request.may_have_run_ms is None and request.attempt is None
        if request.recorded and never_ran and self.services.sent_log is not None:
            self.services.sent_log.forget(request.call.token)

    def _abandon(self, request: OpenRequest) -> None:
        """Stop the attempt of a request that has ended without the router's decision, and tell the router."""
        if request.attempt is not None:
            request.attempt.stop("cancelled")
        self._tell_router(None, interface.ClientGone(request.call.id))

    # Results of attempts --------------------------------------------------------------------------

    def _on_attempt_finished(self, attempt: InFlightAttempt, result: AttemptResult) -> None:
        spec = attempt.spec
        now_ms = self.clock.now_ms()
        request = self._attempts.finish(attempt, result)
        if result.result == "handed_out":
            if request is not None:
                self._close(request, FinalResponse("served"))
                self._tell_router(None, interface.ClientGone(spec.call.id))
            self._attempts.hold(attempt, result.hold_ms)
            return
        if request is not None and result.result == "ok":
            self._close(request, FinalResponse("served", result.payload))
        # On the wire, from first byte to last: waits in this process must not make a backend look slow.
        elapsed_ms = max((result.at_ms or now_ms) - attempt.sent_ms, 0.0)
        outcome = to_outcome(spec, result, elapsed_ms, request_ended=request is None)
        self._attempts.report(attempt, result, elapsed_ms)
        self._responder.log_attempt(spec, result, elapsed_ms)
        self._tell_router(spec.call.id, outcome)

    # Endpoint lists and purges --------------------------------------------------------------------

    def _on_endpoint_list(self, update: EndpointListUpdate) -> None:
        backends = self._endpoints.apply(update)
        self._health_checks.checker.follow(self._endpoints.backends)
        self._tell_router(None, to_list_event(update.kind, backends))
        if update.kind != "changes":
            self.listed.set()

    def _on_purge(self, purge: PurgeReceived) -> None:
        self.counters.add("purges")
        now_ms = self.clock.now_ms()
        self._purges.add(purge, now_ms)
        if self.services.observer is not None:
            self.services.observer.purged(purge)
        age_ms = now_ms - to_local_ms(self.clock, purge.time_ms)
        self._tell_router(None, interface.Purge(purge.object, purge.group, to_seconds(age_ms)))
