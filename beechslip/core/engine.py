"""The engine: one task that owns the router, the open requests and their attempts.

All input reaches the engine as messages in its queue; it carries out the router's decisions through the protocols in
``beechslip.core.model``. The engine makes no routing decisions itself. It enforces what must hold whatever the router
does: each request gets one final response, in time; a request has one attempt at a time, and no more attempts than
permitted; and nothing new goes to or through a draining backend.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Literal

from beechslip.clock import Clock, to_local_ms, to_ms, to_seconds
from beechslip.core.attempts import AttemptFinished, AttemptRunner, InFlightAttempt, to_outcome_event
from beechslip.core.endpoint_table import EndpointTable, to_endpoint_list_event
from beechslip.core.guards import ALLOWED, GuardState, check_keyed_repeat
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
from beechslip.core.sent_memory import DEFAULT_ROOM_BYTES, SentRequestMemory
from beechslip.core.services import AttemptObserver, OptionalServices, QuotaGate, SentRequestLog
from beechslip.counters import Counters
from beechslip.routing import interface

log = logging.getLogger("beechslip.engine")

DEFAULT_MAX_OPEN_REQUESTS = 20_000  # used if the settings give no limit
LATE_FAILURE_MARGIN_MS = 1.0  # from this long before the deadline on, a failure is attributed to the deadline


class Engine:
    """Owns the router module. Messages come in through ``post``; ``run``, which must be one task, handles them."""

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
        sent_memory_bytes: int = DEFAULT_ROOM_BYTES,
    ) -> None:
        """Create an engine without open requests.

        ``quota_gate``, ``observer`` and ``sent_log`` are the optional services; a service that the operators' files
        leave off is None. ``sent_memory_bytes`` is what the memory of requests that may run once or are keyed takes.
        """
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self.services = OptionalServices(quota_gate, observer, sent_log)
        self.listed = asyncio.Event()  # set once a complete endpoint list has been applied
        self._router = router
        self._urgent_queue: deque[object] = deque()
        self._ordinary_queue: deque[object] = deque()
        self._message_posted = asyncio.Event()
        self._last_router_time_s = 0.0  # the time last passed to the router, in seconds; it never decreases
        self._requests = OpenRequestTable()
        self.no_requests_open = self._requests.idle  # set while no request is open
        self._endpoints = EndpointTable(clock)
        self._purges = PurgeMemory()
        guard_state = GuardState(self._requests, self._endpoints.backends, self._purges, self.services)
        self._sent_memory = SentRequestMemory(settings, sent_memory_bytes)
        self._attempts = AttemptRunner(guard_state, self._sent_memory, clock, counters, self.post)
        self._health_checks = HealthCheckRunner(health_checker, self._endpoints.backends, clock, counters, self.post)
        self._responder = Responder(clock, counters)

    def post(self, message: object) -> None:
        """Queue a message.

        Endpoint lists, purges and settings are handled before all other queued messages, requests included, because
        rules apply from the moment at which they arrive.
        """
        is_urgent = isinstance(message, (EndpointListUpdate, PurgeReceived, SettingsChanged))
        queue = self._urgent_queue if is_urgent else self._ordinary_queue
        queue.append(message)
        self._message_posted.set()

    async def run(self) -> None:
        """Handle messages until cancelled; then cancel all attempts and health checks and wait for them to end."""
        try:
            self._notify_router(None, None)
            while True:
                await self._message_posted.wait()
                self._message_posted.clear()
                while self._urgent_queue or self._ordinary_queue:
                    self.handle_message((self._urgent_queue or self._ordinary_queue).popleft())
        finally:
            tasks = [*self._attempts.cancel_all(), *self._health_checks.cancel_all()]
            await asyncio.gather(*tasks, return_exceptions=True)

    def handle_message(self, message: object) -> None:
        """Handle one message now, before those that are queued."""
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
                    self._sent_memory.retune(message.settings)
                    self._notify_router(None, interface.SettingsChanged(message.settings))
                case (
                    interface.Timer()
                    | interface.FirstByte()
                    | interface.HealthCheckResult()
                    | interface.Quotas()
                    | interface.RegionShares()
                ):
                    self._notify_router(None, message)
                case RequestExpired():
                    self._fail_open_request(message.request, "last_moment", "deadline")
                case RepeatForbidden():
                    self._fail_open_request(message.request, "sent_before", "sent before")
        except Exception:
            # One bad message must not end the engine's task: all requests would go unanswered.
            self.counters.add("fault.engine")
            log.exception("engine failed to handle a message: type=%s", type(message).__name__)

    # The router module ----------------------------------------------------------------------------

    def _notify_router(self, request_id: str | None, event: interface.Event | None) -> None:
        """Pass an event to the router, or start the router if ``event`` is None, and execute the actions it returns.

        If the router raises an exception, the request ``request_id`` fails. Other requests that the router may have
        lost track of because of the exception end when they expire.
        """
        now_s = to_seconds(self.clock.now_ms())
        if now_s < self._last_router_time_s:
            now_s = self._last_router_time_s
        self._last_router_time_s = now_s
        try:
            actions = self._router.start(now_s) if event is None else self._router.handle(now_s, event)
        except Exception:
            self.counters.add("fault.module")
            log.exception("router failed to handle an event: request=%s", request_id)
            request = self._requests.by_id.get(request_id) if request_id else None
            if request is not None:
                self._finish_request(request, FinalResponse("failed", cause="fault"))
                self._stop_attempt_and_notify_router(request)
            return
        for action in actions:
            self._execute_action(action)

    def _execute_action(self, action: interface.Action) -> None:
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
            # The request has ended, so the attempt's number is not known here, and no result can be posted. The
            # router counts its attempts itself.
            self.counters.add("attempt.late")
            return
        self._attempts.start(request, action, self.settings)

    def _refuse(self, action: interface.Refuse) -> None:
        """Refuse a request, or fail it if there is no guarantee that a retry does no harm."""
        request = self._requests.by_id.get(action.request)
        if request is None:
            return
        if request.is_refusal_safe():
            retry_after_ms = to_ms(action.retry_after)
            response = FinalResponse(
                "refused", retry_after_ms=retry_after_ms, reason=action.reason, detail=action.detail
            )
            self._finish_request(request, response)
        else:
            self._finish_request(request, FinalResponse("failed", reason=action.reason))

    def _fail(self, action: interface.Fail) -> None:
        request = self._requests.by_id.get(action.request)
        if request is None:
            return
        is_late = self.clock.now_ms() >= request.deadline_ms - LATE_FAILURE_MARGIN_MS
        self._finish_request(
            request, FinalResponse("failed", cause="deadline" if is_late else "", reason=action.reason)
        )

    # Requests -------------------------------------------------------------------------------------

    def _on_request(self, received: RequestReceived) -> None:
        client_request = received.client_request
        request = OpenRequest(received, self.settings)
        self.counters.add("taken")
        if client_request.id in self._requests.by_id or (client_request.id, 0) in self._attempts.in_flight:
            # Two open requests with the same id would share attempts, and one of the responses would be lost.
            self._responder.respond(request, FinalResponse("failed", cause="duplicate"))
            return
        if len(self._requests.by_id) >= (self.settings.max_open_requests or DEFAULT_MAX_OPEN_REQUESTS):
            retry_after_ms = to_ms(self.settings.max_retry_after)
            response = FinalResponse("refused", retry_after_ms=retry_after_ms, reason="too many open requests")
            self._responder.respond(request, response)
            return
        now_ms = self.clock.now_ms()
        rejection = self._check_sent_before(request, now_ms)
        if rejection is not None:
            self._responder.respond(request, rejection)
            return
        self._requests.add(request)
        request.alarm = self.clock.call_later(request.expires_ms - now_ms, lambda: self.post(RequestExpired(request)))
        self._notify_router(client_request.id, to_request_event(request, now_ms))

    def _check_sent_before(self, request: OpenRequest, now_ms: float) -> FinalResponse | None:
        """Return the response to a request that must not be sent, because it was sent before and may have run.

        The window of a keyed request runs from its first send, whoever its client was then.
        """
        key = self._sent_memory.key_of(request)
        if key is None or request.rule is None:
            return None
        first_sent_ms = self._sent_memory.first_sent_ms(key)
        if first_sent_ms is None:
            if not self._sent_memory.is_full(now_ms):
                return None
            retry_after_ms = to_ms(self.settings.max_retry_after)
            return FinalResponse("refused", retry_after_ms=retry_after_ms, reason="sent requests not remembered")
        if request.rule.effect != "keyed":
            self.counters.add("sent_before")
            return FinalResponse("failed", cause="duplicate", reason="sent before")
        request.first_possible_run_ms = first_sent_ms
        if check_keyed_repeat(request.rule, first_sent_ms, now_ms) is ALLOWED:
            return None
        self.counters.add("sent_before")
        return FinalResponse("failed", cause="sent before", reason="sent before")

    def _on_client_disconnected(self, message: ClientDisconnected) -> None:
        request = self._requests.by_id.get(message.id)
        if request is None or request.response_sink is not message.response_sink:
            return
        self.counters.add("left")
        self._responder.log_client_gone(request)
        self._remove(request)
        self._stop_attempt_and_notify_router(request)

    def _fail_open_request(
        self, request: OpenRequest, counter: str, cause: Literal["deadline", "sent before"]
    ) -> None:
        """Fail a request that the router has left open, so that no request goes unanswered.

        Do nothing if the request has ended already.
        """
        if not self._requests.holds(request):
            return
        self.counters.add(counter)
        self._finish_request(request, FinalResponse("failed", cause=cause))
        self._stop_attempt_and_notify_router(request)

    def _on_shutdown(self) -> None:
        """Let the router end all open requests, and fail those that it leaves open."""
        self._notify_router(None, interface.Shutdown())
        for request in list(self._requests.by_id.values()):
            self._fail_open_request(request, "last_moment", "deadline")

    def _finish_request(self, request: OpenRequest, response: FinalResponse) -> None:
        """Remove a request, send its one final response, and cancel its attempt in flight."""
        self._remove(request)
        self._responder.respond(request, response)
        if request.attempt is not None:
            request.attempt.stop("cancelled")

    def _remove(self, request: OpenRequest) -> None:
        self._requests.remove(request)
        has_never_run = request.first_possible_run_ms is None and request.attempt is None
        if request.is_recorded and has_never_run and self.services.sent_log is not None:
            self.services.sent_log.forget(request.client_request.idempotency_key)

    def _stop_attempt_and_notify_router(self, request: OpenRequest) -> None:
        """Cancel the attempt of a request that has ended without a decision of the router, and notify the router."""
        if request.attempt is not None:
            request.attempt.stop("cancelled")
        self._notify_router(None, interface.ClientGone(request.client_request.id))

    # Results of attempts --------------------------------------------------------------------------

    def _on_attempt_finished(self, attempt: InFlightAttempt, result: AttemptResult) -> None:
        attempt_request = attempt.attempt_request
        now_ms = self.clock.now_ms()
        request = self._attempts.finish(attempt, result)
        if result.result == "handed_out":
            if request is not None:
                self._finish_request(request, FinalResponse("served"))
                self._notify_router(None, interface.ClientGone(attempt_request.client_request.id))
            self._attempts.keep_in_flight(attempt, result.hold_ms)
            return
        if request is not None and result.result == "ok":
            self._finish_request(request, FinalResponse("served", result.payload))
        # Only the time on the wire, from first byte to last: waits in this process must not make a backend look slow.
        elapsed_ms = max((result.ended_ms or now_ms) - attempt.sent_ms, 0.0)
        outcome = to_outcome_event(attempt_request, result, elapsed_ms, has_request_ended=request is None)
        self._attempts.notify_services(attempt, result, elapsed_ms)
        self._responder.log_attempt(attempt_request, result, elapsed_ms)
        self._notify_router(attempt_request.client_request.id, outcome)

    # Endpoint lists and purges --------------------------------------------------------------------

    def _on_endpoint_list(self, update: EndpointListUpdate) -> None:
        backends = self._endpoints.apply(update)
        self._health_checks.checker.update_backends(self._endpoints.backends)
        self._notify_router(None, to_endpoint_list_event(update.kind, backends))
        if update.kind != "changes":
            self.listed.set()

    def _on_purge(self, purge: PurgeReceived) -> None:
        self.counters.add("purges")
        now_ms = self.clock.now_ms()
        self._purges.add(purge, now_ms)
        if self.services.observer is not None:
            self.services.observer.purge_received(purge)
        age_ms = now_ms - to_local_ms(self.clock, purge.time_ms)
        self._notify_router(None, interface.Purge(purge.object, purge.group, to_seconds(age_ms)))
