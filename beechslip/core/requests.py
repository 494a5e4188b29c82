"""Open requests: those that await their final response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from beechslip.clock import Alarm, to_seconds
from beechslip.core.messages import RequestReceived
from beechslip.core.model import AttemptExecutor, ClientRequest, ResponseSink
from beechslip.routing import interface
from beechslip.routing.interface import ClassRule, Settings

if TYPE_CHECKING:
    from beechslip.core.attempts import InFlightAttempt

# The router gives up this long before the client does, so that its last response is still written in time (which
# takes under 1 ms). A wider margin would give up responses that are nearly there: some clients wait little longer
# than the sending takes.
ROUTER_DEADLINE_MARGIN_MS = 8.0
ENGINE_DEADLINE_MARGIN_MS = 4.0  # what the router leaves open the engine ends this long before the client gives up
MAX_MARGIN_FRACTION = 0.25  # of the client's wait: a short wait has a smaller margin
DEFAULT_MAX_ATTEMPTS = 1_000  # where the settings give no cap


class OpenRequest:
    """A request that awaits its final response, and what its further attempts depend on. Times are in ms."""

    __slots__ = (
        "alarm",
        "attempt",
        "attempts_requested",
        "attempts_sent",
        "client_request",
        "deadline_ms",
        "executor",
        "first_possible_run_ms",
        "is_recorded",
        "max_attempts",
        "response_sink",
        "rule",
    )

    def __init__(self, received: RequestReceived, settings: Settings) -> None:
        """A request that was received while ``settings`` hold.

        It keeps the rule of its class: clients hold it to that, whatever SIGHUP brings meanwhile.
        """
        self.client_request: ClientRequest = received.client_request
        self.executor: AttemptExecutor = received.executor
        self.response_sink: ResponseSink = received.response_sink
        margin_ms = min(ROUTER_DEADLINE_MARGIN_MS, self.client_request.wait_ms * MAX_MARGIN_FRACTION)
        self.deadline_ms = self.client_request.arrived_ms + self.client_request.wait_ms - margin_ms
        self.attempts_requested = 0  # by the router, which numbers them so
        self.attempts_sent = 0  # of these, the ones of which a byte was written: only they count towards the cap
        self.rule: ClassRule | None = settings.classes.get(received.client_request.class_name)
        if self.rule is not None and self.rule.effect == "keyed" and not self.client_request.idempotency_key:
            self.rule = replace(self.rule, effect="unsafe")  # without a key no backend can discard a repeat
        self.max_attempts = settings.max_attempts or DEFAULT_MAX_ATTEMPTS
        self.attempt: InFlightAttempt | None = None  # the one in flight
        self.first_possible_run_ms: float | None = None  # when the first attempt that may have run was sent
        self.is_recorded = False  # in the log of sent requests, where a store is configured
        self.alarm: Alarm | None = None

    @property
    def expires_ms(self) -> float:
        """When the engine ends the request if the router has not."""
        return max(
            self.client_request.arrived_ms + self.client_request.wait_ms - ENGINE_DEADLINE_MARGIN_MS, self.deadline_ms
        )

    def refusal_is_safe(self) -> bool:
        """Whether the client may be promised that a retry does no harm (``docs/terms-audit.md`` 4.5)."""
        may_have_run = self.first_possible_run_ms is not None or (
            self.attempt is not None and self.attempt.may_have_been_sent
        )
        if not may_have_run or self.rule is None or self.rule.effect == "safe":
            return True
        return self.rule.effect == "keyed" and self.rule.group == "all"


def to_request_event(request: OpenRequest, now_ms: float) -> interface.Request:
    """The router's event for a request that has come."""
    client_request = request.client_request
    return interface.Request(
        request=client_request.id,
        class_name=client_request.class_name,
        object=client_request.object,
        part=client_request.part,
        group=client_request.group,
        size_kb=client_request.size_kb,
        time_left=to_seconds(request.deadline_ms - now_ms),
        conditional=bool(client_request.etag),
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
        return self.by_id.get(request.client_request.id) is request

    def add(self, request: OpenRequest) -> None:
        """Hold a request until ``remove``; its id must not be in the table."""
        self.by_id[request.client_request.id] = request
        self.idle.clear()

    def remove(self, request: OpenRequest) -> None:
        """Take out a request that has ended, and cancel its alarm."""
        del self.by_id[request.client_request.id]
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
