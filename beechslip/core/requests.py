"""Open requests: those that await their final response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from beechslip.clock import ScheduledCall, to_seconds
from beechslip.core.messages import RequestReceived
from beechslip.core.model import AttemptExecutor, ClientRequest, ResponseSink
from beechslip.routing import interface
from beechslip.routing.interface import ClassRule, Settings

if TYPE_CHECKING:
    from beechslip.core.attempts import InFlightAttempt

# The router gives up this long before the client does, so that its last response is still written in time (which
# takes under 1 ms). A wider margin would give up responses that are nearly there: some clients wait little longer
# than the sending takes.
ROUTER_MARGIN_MS = 8.0
ENGINE_MARGIN_MS = 4.0  # what the router leaves open the engine ends this long before the client gives up
MAX_MARGIN_PART = 0.25  # of the client's wait: a short wait has a smaller margin
UNLIMITED_ATTEMPTS = 1_000  # where the settings give no cap


class OpenRequest:
    """A request that awaits its final response, and what its further attempts depend on. Times are in ms."""

    __slots__ = (
        "alarm",
        "attempt",
        "attempts_named",
        "attempts_sent",
        "call",
        "deadline_ms",
        "executor",
        "max_attempts",
        "may_have_run_ms",
        "recorded",
        "response_sink",
        "rule",
    )

    def __init__(self, received: RequestReceived, settings: Settings) -> None:
        """A request that was received while ``settings`` hold.

        It keeps the rule of its class: clients hold it to that, whatever SIGHUP brings meanwhile.
        """
        self.call: ClientRequest = received.call
        self.executor: AttemptExecutor = received.executor
        self.response_sink: ResponseSink = received.response_sink
        margin_ms = min(ROUTER_MARGIN_MS, self.call.wait_ms * MAX_MARGIN_PART)
        self.deadline_ms = self.call.arrived_ms + self.call.wait_ms - margin_ms
        self.attempts_named = 0  # by the router, which numbers them so
        self.attempts_sent = 0  # of these, the ones of which a byte was written: only they count towards the cap
        self.rule: ClassRule | None = settings.classes.get(received.call.class_name)
        if self.rule is not None and self.rule.effect == "keyed" and not self.call.token:
            self.rule = replace(self.rule, effect="unsafe")  # without a key no backend can discard a repeat
        self.max_attempts = settings.max_attempts or UNLIMITED_ATTEMPTS
        self.attempt: InFlightAttempt | None = None  # the one in flight
        self.may_have_run_ms: float | None = None  # when the first attempt that may have run was sent
        self.recorded = False  # in the log of sent requests, where a store is configured
        self.alarm: ScheduledCall | None = None

    @property
    def expires_ms(self) -> float:
        """When the engine ends the request if the router has not."""
        return max(self.call.arrived_ms + self.call.wait_ms - ENGINE_MARGIN_MS, self.deadline_ms)

    def refusal_is_safe(self) -> bool:
        """Whether the client may be promised that a retry does no harm (``docs/terms-audit.md`` 4.5)."""
        may_have_run = self.may_have_run_ms is not None or (self.attempt is not None and self.attempt.started)
        if not may_have_run or self.rule is None or self.rule.effect == "safe":
            return True
        return self.rule.effect == "keyed" and self.rule.group == "all"


def to_request_event(request: OpenRequest, now_ms: float) -> interface.Request:
    """The router's event for a request that has come."""
    call = request.call
    return interface.Request(
        request=call.id,
        class_name=call.class_name,
        object=call.object,
        part=call.part,
        group=call.group,
        size_kb=call.size_kb,
        time_left=to_seconds(request.deadline_ms - now_ms),
        conditional=bool(call.tag),
    )


class OpenRequestTable:
    """The open requests by id. ``idle`` is set while there are none."""

    def __init__(self) -> None:
        """Start empty, and idle."""
        self.by_id: dict[str, OpenRequest] = {}
        self.idle = asyncio.Event()
        self.idle.set()

    def __len__(self) -> int:
        """How many requests are open."""
        return len(self.by_id)

    def holds(self, request: OpenRequest) -> bool:
        """Whether this very request is open still, not merely one of the same id."""
        return self.by_id.get(request.call.id) is request

    def add(self, request: OpenRequest) -> None:
        """Hold a request until ``remove``; its id must not be in the table."""
        self.by_id[request.call.id] = request
        self.idle.clear()

    def remove(self, request: OpenRequest) -> None:
        """Take out a request that has ended, and cancel its alarm."""
        del self.by_id[request.call.id]
        if request.alarm is not None:
            request.alarm.cancel()
        if not self.by_id:
            self.idle.set()


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """Posted to the engine: a request is open at the last moment at which its client can be answered."""

    request: OpenRequest


@dataclass(frozen=True, slots=True)
class RepeatForbidden:
    """Posted to the engine: a keyed request was sent before, by an earlier process or another proxy.

    Its backends no longer discard repeats, or nobody can tell: it may not be sent any more.
    """

    request: OpenRequest
