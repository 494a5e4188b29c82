"""Attempts in flight: one task each, from the router's decision to the result that is posted to the engine."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.clock import Clock, ScheduledCall, to_ms, to_seconds
from beechslip.core import guards
from beechslip.core.guards import ALLOWED, GuardState
from beechslip.core.model import PROVEN_NOT_EXECUTED, AttemptRequest, AttemptResult, Backend, Result
from beechslip.core.requests import OpenRequest, RepeatForbidden
from beechslip.core.services import PreviousSend, SentRequestLog
from beechslip.counters import Counters
from beechslip.routing import interface
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.engine")


class InFlightAttempt:
    """An attempt that is under way, with its task and its alarm. Times are in ms of ``Clock.now_ms``."""

    __slots__ = ("alarm", "named_ms", "result", "sent_ms", "spec", "started", "stop_reason", "task")

    def __init__(self, spec: AttemptRequest, named_ms: float) -> None:
        """An attempt that the router named at ``named_ms``."""
        self.spec = spec
        self.named_ms = named_ms
        self.sent_ms = named_ms  # until its first byte, as a dial or a wait for a connection may pass
        self.started = False  # whether its first byte may have been sent
        self.stop_reason: Result | None = None
        self.result = AttemptResult("moot")  # a task that is cancelled before its first step runs none of its code
        self.task: asyncio.Task[None] | None = None
        self.alarm: ScheduledCall | None = None

    def stop(self, reason: Result) -> None:
        """Give the attempt up. Its result is still posted; a second call changes nothing."""
        if self.stop_reason is not None:
            return
        self.stop_reason = reason
        if self.task is not None:
            self.task.cancel()


@dataclass(slots=True)
class AttemptFinished:
    """Posted to the engine: an attempt has ended, and its connection has been given back."""

    attempt: InFlightAttempt
    result: AttemptResult


def to_outcome(
    spec: AttemptRequest, result: AttemptResult, elapsed_ms: float, request_ended: bool
) -> interface.Outcome:
    """The router's event for the end of an attempt. ``elapsed_ms``: on the wire, from first byte to last."""
    return interface.Outcome(
        request=spec.call.id,
        attempt=spec.number,
        backend=spec.backend.name,
        # The router has no result for a spoilt answer. Of its own, "cancelled" is the one after which the
        # request may have run while no backend is blamed: such answers come from all alike.
        result="cancelled" if result.result == "spoilt" else result.result,
        elapsed=to_seconds(elapsed_ms),
        finished=request_ended or result.result == "ok",
        note=result.note,
        report=result.report,
    )


class AttemptRunner:
    """Owns the attempts in flight. Counts ``sent``, ``attempt.RESULT``, ``unrecorded`` and ``fault.carrier``."""

    def __init__(self, state: GuardState, clock: Clock, counters: Counters, post: Callable[[object], None]) -> None:
        """``state``: the tables that the guards look at; ``post``: the engine's queue."""
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}  # by request id and number of the attempt
        self._state = state
        self._services = state.services
        self._clock = clock
        self._counters = counters
        self._post = post

    def start(self, request: OpenRequest, action: interface.Attempt, settings: Settings) -> None:
        """Begin an attempt as the router names it; one that a guard forbids ends as not attempted."""
        number = request.attempts_named
        request.attempts_named += 1
        backend = self._state.backends.get(action.backend)
        if backend is None or guards.may_name(request, settings) is not ALLOWED:
            self._reject(request, number, backend or Backend(action.backend, ""))
            return
        now_ms = self._clock.now_ms()
        spec = self._spec(request, number, backend, action, now_ms)
        attempt = InFlightAttempt(spec, now_ms)
        request.attempt = self.in_flight[action.request, number] = attempt
        attempt.alarm = self._clock.call_later(spec.timeout_ms, lambda: attempt.stop("timeout"))
        attempt.task = asyncio.get_running_loop().create_task(self._run(request, attempt))
        # Not posted by the task itself: cancelled before its first step it would end unnoticed, and the router
        # would count the attempt as in flight for good.
        attempt.task.add_done_callback(lambda _: self._post(AttemptFinished(attempt, attempt.result)))
        self._counters.add("sent")

    def finish(self, attempt: InFlightAttempt, result: AttemptResult) -> OpenRequest | None:
        """Take an attempt out of flight; returns its request if that is open still."""
        spec = attempt.spec
        self.in_flight.pop((spec.call.id, spec.number), None)
        if attempt.alarm is not None:
            attempt.alarm.cancel()
        self._counters.add(f"attempt.{result.result}")
        request = self._state.requests.by_id.get(spec.call.id)
        if request is None or request.call is not spec.call:
            return None
        if request.attempt is attempt:
            request.attempt = None
        if result.result not in PROVEN_NOT_EXECUTED and request.may_have_run_ms is None:
            request.may_have_run_ms = attempt.sent_ms
        return request

    def hold(self, attempt: InFlightAttempt, hold_ms: float) -> None:
        """Count an attempt that has ended as in flight for ``hold_ms`` more; the router learns nothing from it."""
        # "moot" is the result from which the router learns nothing.
        message = AttemptFinished(attempt, AttemptResult("moot"))
        self.in_flight[attempt.spec.call.id, attempt.spec.number] = attempt
        self._clock.call_later(hold_ms, lambda: self._post(message))

    def report(self, attempt: InFlightAttempt, result: AttemptResult, elapsed_ms: float) -> None:
        """Let the optional services see how an attempt ended."""
        gate, observer = self._services.quota_gate, self._services.observer
        if attempt.started and gate is not None:
            gate.ended(attempt.spec, result)
        if observer is not None and (attempt.started or result.result == "connect_failed"):
            observer.ended(attempt.spec, result, elapsed_ms)

    def cancel_all(self) -> list[asyncio.Task[None]]:
        """Cancel all that is in flight; returns the tasks, for the caller to await."""
        tasks = [attempt.task for attempt in self.in_flight.values() if attempt.task]
        for task in tasks:
            task.cancel()
        return tasks

    def _reject(self, request: OpenRequest, number: int, backend: Backend) -> None:
        spec = AttemptRequest(request.call, number, backend, "", 0.0)
        attempt = InFlightAttempt(spec, self._clock.now_ms())
        self._post(AttemptFinished(attempt, AttemptResult("moot")))

    def _spec(
        self, request: OpenRequest, number: int, backend: Backend, action: interface.Attempt, now_ms: float
    ) -> AttemptRequest:
        """What is to be carried out, with the limits of the optional services."""
        time_left_ms = request.deadline_ms - now_ms
        timeout_ms = min(to_ms(action.timeout) or time_left_ms, time_left_ms)
        if self._services.quota_gate is not None:
            timeout_ms = min(timeout_ms, self._services.quota_gate.longest_ms(action.backend, action.source))
        return AttemptRequest(
            call=request.call,
            number=number,
            backend=backend,
            source="" if action.source == action.backend else action.source,
            timeout_ms=timeout_ms,
            keep=action.keep,
            max_age_ms=self._max_age_ms(request, action),
            join=action.join,
            renew=action.renew,
            cached_only=action.cached_only,
            ends_ms=now_ms + timeout_ms,
        )

    def _max_age_ms(self, request: OpenRequest, action: interface.Attempt) -> float:
        """How old a copy may be by the router's and the observer's limits (0: no limit)."""
        max_age_ms = to_ms(action.max_age)
        if self._services.observer is None or request.call.write:
            return max_age_ms
        limit_ms = self._services.observer.oldest_ms(action.backend, action.source)
        return min(max_age_ms or limit_ms, limit_ms) if limit_ms < math.inf else max_age_ms

    def _may_send(self, request: OpenRequest, attempt: InFlightAttempt) -> bool:
        """Asked by the executor right before the first byte, and again where that could not be sent at once.

        The attempt counts as sent once.
        """
        now_ms = self._clock.now_ms()
        verdict = guards.may_send(self._state, request, attempt, now_ms)
        if verdict is not ALLOWED:
            if (counter := guards.VERDICT_COUNTERS.get(verdict)) is not None:
                self._counters.add(counter)
            return False
        if not attempt.started:
            request.attempts_sent += 1
        attempt.started = True
        attempt.sent_ms = now_ms
        return True

    async def _run(self, request: OpenRequest, attempt: InFlightAttempt) -> None:
        try:
            sent_log = self._services.sent_log
            if sent_log is not None and not await self._record(sent_log, request):
                return
            attempt.result = await request.executor.execute(attempt.spec, lambda: self._may_send(request, attempt))
        except asyncio.CancelledError:
            # What never came to its first byte proves that nothing ran, and says nothing of the backend.
            attempt.result = AttemptResult((attempt.stop_reason or "cancelled") if attempt.started else "moot")
        except Exception:
            # Guards against a request that hangs because the result of its attempt was never posted.
            self._counters.add("fault.carrier")
            log.exception("attempt %s/%d", attempt.spec.call.id, attempt.spec.number)
            attempt.result = AttemptResult("error")

    async def _record(self, sent_log: SentRequestLog, request: OpenRequest) -> bool:
        """Whether the request may be sent by the log of sent requests; what could not be recorded may not."""
        rule, token = request.rule, request.call.token
        if request.recorded or not token or rule is None or rule.effect != "keyed":
            return True
        found = await sent_log.note(token)
        request.recorded = found is not False
        if isinstance(found, PreviousSend):
            first_ms = request.may_have_run_ms
            first_ms = found.sent_ms if first_ms is None else min(first_ms, found.sent_ms)
            request.may_have_run_ms = first_ms
            if guards.keyed_repeat(rule, first_ms, self._clock.now_ms()) is not ALLOWED:
                self._post(RepeatForbidden(request))
                return False
        elif found is False:
            self._counters.add("unrecorded")
        return request.recorded
