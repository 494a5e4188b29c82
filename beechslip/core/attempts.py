"""Attempts in flight: each runs in a task of its own, and its result is posted to the engine."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.clock import Clock, ScheduledCall, to_ms, to_seconds
from beechslip.core import guards
from beechslip.core.guards import ALLOWED, GuardState
from beechslip.core.model import PROVEN_NOT_EXECUTED, AttemptRequest, AttemptResult, AttemptResultKind, Backend
from beechslip.core.requests import OpenRequest, RepeatForbidden
from beechslip.core.sent_memory import SentRequestMemory
from beechslip.core.services import PreviousSend, SentRequestLog
from beechslip.counters import Counters
from beechslip.routing import interface
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.engine")


class InFlightAttempt:
    """An attempt in flight, with its task and its timeout alarm. Times are in ms of ``Clock.now_ms``."""

    __slots__ = (
        "alarm",
        "attempt_request",
        "may_have_been_sent",
        "requested_ms",
        "result",
        "sent_key",
        "sent_ms",
        "stop_reason",
        "task",
    )

    def __init__(self, attempt_request: AttemptRequest, requested_ms: float) -> None:
        """Create the attempt that the router requested at ``requested_ms``."""
        self.attempt_request = attempt_request
        self.requested_ms = requested_ms
        self.sent_ms = requested_ms  # updated at the first byte: dialling or waiting for a connection may take time
        self.may_have_been_sent = False  # whether its first byte may have been sent
        self.sent_key: int | None = None  # under which the sent request is remembered
        self.stop_reason: AttemptResultKind | None = None
        # This result stands if the task is cancelled before its first step, as none of its code runs then.
        self.result = AttemptResult("moot")
        self.task: asyncio.Task[None] | None = None
        self.alarm: ScheduledCall | None = None

    def stop(self, reason: AttemptResultKind) -> None:
        """Cancel the attempt for ``reason``. Its result is still posted; a second call has no effect."""
        if self.stop_reason is not None:
            return
        self.stop_reason = reason
        if self.task is not None:
            self.task.cancel()


@dataclass(slots=True)
class AttemptFinished:
    """Posted to the engine when an attempt has ended and its connection has been given back."""

    attempt: InFlightAttempt
    result: AttemptResult


def to_outcome_event(
    attempt_request: AttemptRequest, result: AttemptResult, elapsed_ms: float, has_request_ended: bool
) -> interface.Outcome:
    """Return the router's event for the end of an attempt.

    ``elapsed_ms`` is the time on the wire, from the first byte sent to the last byte received.
    """
    return interface.Outcome(
        request=attempt_request.client_request.id,
        attempt=attempt_request.number,
        backend=attempt_request.backend.name,
        # The router has no result for an unusable response. "cancelled" is the one of its results after which the
        # request may have run and no backend is blamed: all backends alike send unusable responses.
        result="cancelled" if result.result == "spoilt" else result.result,
        elapsed=to_seconds(elapsed_ms),
        finished=has_request_ended or result.result == "ok",
        note=result.note,
        report=result.report,
    )


class AttemptRunner:
    """Starts attempts and owns those in flight.

    Increments the counters ``sent``, ``attempt.RESULT``, ``unrecorded`` and ``fault.carrier``, and those of
    ``guards.VERDICT_COUNTERS``.
    """

    def __init__(
        self,
        state: GuardState,
        sent_memory: SentRequestMemory,
        clock: Clock,
        counters: Counters,
        post: Callable[[object], None],
    ) -> None:
        """Create a runner without attempts.

        ``state`` holds the tables that the guards read; ``post`` puts a message into the engine's queue.
        """
        self._sent_memory = sent_memory
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}  # by request id and attempt number
        self._state = state
        self._services = state.services
        self._clock = clock
        self._counters = counters
        self._post = post

    def start(self, request: OpenRequest, action: interface.Attempt, settings: Settings) -> None:
        """Start the attempt that the router requests; one that a guard forbids ends with the result "moot"."""
        number = request.attempts_requested
        request.attempts_requested += 1
        backend = self._state.backends.get(action.backend)
        if backend is None or guards.check_start_guards(request, settings) is not ALLOWED:
            self._reject(request, number, backend or Backend(action.backend, ""))
            return
        now_ms = self._clock.now_ms()
        attempt_request = self._build_attempt_request(request, number, backend, action, now_ms)
        attempt = InFlightAttempt(attempt_request, now_ms)
        request.attempt = self.in_flight[action.request, number] = attempt
        attempt.alarm = self._clock.call_later(attempt_request.timeout_ms, lambda: attempt.stop("timeout"))
        attempt.task = asyncio.get_running_loop().create_task(self._run(request, attempt))
        # The task does not post its result itself: if it were cancelled before its first step, it would end without
        # posting one, and the router would count the attempt as in flight for good.
        attempt.task.add_done_callback(lambda _: self._post(AttemptFinished(attempt, attempt.result)))
        self._counters.add("sent")

    def finish(self, attempt: InFlightAttempt, result: AttemptResult) -> OpenRequest | None:
        """Remove an attempt from those in flight and return its request, or None if that is no longer open."""
        attempt_request = attempt.attempt_request
        self.in_flight.pop((attempt_request.client_request.id, attempt_request.number), None)
        if attempt.alarm is not None:
            attempt.alarm.cancel()
        self._counters.add(f"attempt.{result.result}")
        if attempt.sent_key is not None:
            may_have_run = result.result not in PROVEN_NOT_EXECUTED
            self._sent_memory.attempt_ended(attempt.sent_key, attempt, may_have_run=may_have_run)
        request = self._state.requests.by_id.get(attempt_request.client_request.id)
        if request is None or request.client_request is not attempt_request.client_request:
            return None
        if request.attempt is attempt:
            request.attempt = None
        if result.result not in PROVEN_NOT_EXECUTED and request.first_possible_run_ms is None:
            request.first_possible_run_ms = attempt.sent_ms
        return request

    def keep_in_flight(self, attempt: InFlightAttempt, hold_ms: float) -> None:
        """Count an attempt that has ended as in flight for another ``hold_ms``; the router learns nothing from it."""
        # "moot" is the result from which the router learns nothing.
        message = AttemptFinished(attempt, AttemptResult("moot"))
        self.in_flight[attempt.attempt_request.client_request.id, attempt.attempt_request.number] = attempt
        self._clock.call_later(hold_ms, lambda: self._post(message))

    def notify_services(self, attempt: InFlightAttempt, result: AttemptResult, elapsed_ms: float) -> None:
        """Pass the result of an attempt to the optional services."""
        gate, observer = self._services.quota_gate, self._services.observer
        if attempt.may_have_been_sent and gate is not None:
            gate.attempt_ended(attempt.attempt_request, result)
        if observer is not None and (attempt.may_have_been_sent or result.result == "connect_failed"):
            observer.attempt_ended(attempt.attempt_request, result, elapsed_ms)

    def cancel_all(self) -> list[asyncio.Task[None]]:
        """Cancel all attempts in flight and return their tasks, for the caller to await."""
        tasks = [attempt.task for attempt in self.in_flight.values() if attempt.task]
        for task in tasks:
            task.cancel()
        return tasks

    def _reject(self, request: OpenRequest, number: int, backend: Backend) -> None:
        attempt_request = AttemptRequest(request.client_request, number, backend, "", 0.0)
        attempt = InFlightAttempt(attempt_request, self._clock.now_ms())
        self._post(AttemptFinished(attempt, AttemptResult("moot")))

    def _build_attempt_request(
        self, request: OpenRequest, number: int, backend: Backend, action: interface.Attempt, now_ms: float
    ) -> AttemptRequest:
        """Return the request for an attempt, with the limits of the optional services applied."""
        time_left_ms = request.deadline_ms - now_ms
        timeout_ms = min(to_ms(action.timeout) or time_left_ms, time_left_ms)
        if self._services.quota_gate is not None:
            timeout_ms = min(
                timeout_ms, self._services.quota_gate.max_attempt_duration_ms(action.backend, action.source)
            )
        return AttemptRequest(
            client_request=request.client_request,
            number=number,
            backend=backend,
            source="" if action.source == action.backend else action.source,
            timeout_ms=timeout_ms,
            keep=action.keep,
            max_age_ms=self._max_age_ms(request, action),
            join=action.join,
            renew=action.renew,
            cached_only=action.cached_only,
            timeout_at_ms=now_ms + timeout_ms,
        )

    def _max_age_ms(self, request: OpenRequest, action: interface.Attempt) -> float:
        """Return the greatest age of a copy that the router and the observer both allow (0: no limit)."""
        max_age_ms = to_ms(action.max_age)
        if self._services.observer is None or request.client_request.write:
            return max_age_ms
        limit_ms = self._services.observer.max_copy_age_ms(action.backend, action.source)
        return min(max_age_ms or limit_ms, limit_ms) if limit_ms < math.inf else max_age_ms

    def _may_send(self, request: OpenRequest, attempt: InFlightAttempt) -> bool:
        """Check the send guards, and mark the attempt as sent if they allow it.

        The executor calls this right before the first byte, and again if that byte could not be sent at once. The
        attempt is counted as sent only once.
        """
        now_ms = self._clock.now_ms()
        verdict = guards.check_send_guards(self._state, request, attempt, now_ms)
        if verdict is not ALLOWED:
            if (counter := guards.VERDICT_COUNTERS.get(verdict)) is not None:
                self._counters.add(counter)
            return False
        if not attempt.may_have_been_sent:
            request.attempts_sent += 1
            attempt.sent_key = self._sent_memory.key_of(request)
            if attempt.sent_key is not None:
                self._sent_memory.record(attempt.sent_key, attempt, now_ms)
        attempt.may_have_been_sent = True
        attempt.sent_ms = now_ms
        return True

    def _report_memory_waits(self, attempt_request: AttemptRequest) -> None:
        """Tell the router if the response has begun and waits for this process's memory: no other attempt helps."""
        request = attempt_request.client_request
        if request.response_charge is not None:
            first_byte = interface.FirstByte(request.id, attempt_request.number, attempt_request.backend.name)
            request.response_charge.on_wait = lambda: self._post(first_byte)

    async def _run(self, request: OpenRequest, attempt: InFlightAttempt) -> None:
        try:
            self._report_memory_waits(attempt.attempt_request)
            sent_log = self._services.sent_log
            if sent_log is not None and not await self._record_send(sent_log, request):
                return
            attempt.result = await request.executor.execute(
                attempt.attempt_request, lambda: self._may_send(request, attempt)
            )
        except asyncio.CancelledError:
            # An attempt whose first byte was not sent has certainly not run, and says nothing about the backend.
            attempt.result = AttemptResult(
                (attempt.stop_reason or "cancelled") if attempt.may_have_been_sent else "moot"
            )
        except Exception:
            # The engine must get a result, or the request would hang; and not the initial "moot", which would mean
            # that no backend has run the request.
            self._counters.add("fault.carrier")
            log.exception(
                "attempt failed with an exception: request=%s attempt=%d",
                attempt.attempt_request.client_request.id,
                attempt.attempt_request.number,
            )
            attempt.result = AttemptResult("error")

    async def _record_send(self, sent_log: SentRequestLog, request: OpenRequest) -> bool:
        """Record a keyed request in the sent-request log and return whether it may be sent.

        A keyed request that could not be recorded may not be sent, nor one that the log holds already if its
        backends may no longer discard a repeat. Requests of other classes need no record.
        """
        rule, idempotency_key = request.rule, request.client_request.idempotency_key
        if request.is_recorded or not idempotency_key or rule is None or rule.effect != "keyed":
            return True
        recorded = await sent_log.record_send(idempotency_key)
        request.is_recorded = recorded is not False
        if isinstance(recorded, PreviousSend):
            first_ms = request.first_possible_run_ms
            first_ms = recorded.sent_ms if first_ms is None else min(first_ms, recorded.sent_ms)
            request.first_possible_run_ms = first_ms
            if guards.check_keyed_repeat(rule, first_ms, self._clock.now_ms()) is not ALLOWED:
                self._post(RepeatForbidden(request))
                return False
        elif recorded is False:
            self._counters.add("unrecorded")
        return request.is_recorded
