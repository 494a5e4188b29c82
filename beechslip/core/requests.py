"""Open requests: clients' requests that have had no final response yet."""

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

# The router's deadline is this long before the client gives up, so that the final response is still written in time
# (writing takes under 1 ms). A wider margin would abandon responses that have nearly arrived: some clients wait
# little longer than the transfer takes.
ROUTER_DEADLINE_MARGIN_MS = 8.0
ENGINE_DEADLINE_MARGIN_MS = 4.0  # the engine ends requests that the router left open this long before clients give up
MAX_MARGIN_FRACTION = 0.25  # the router's margin is at most this fraction of the client's wait, for short waits
DEFAULT_MAX_ATTEMPTS = 1_000  # used if the settings give no limit


class OpenRequest:
    """A request without a final response yet, and the state that its further attempts depend on. Times are in ms."""

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
        """Create the open request for a received request, under the ``settings`` that hold now.

        It keeps the rule that its class has now: that is the rule its client expects, even if SIGHUP brings new
        settings before it ends.
        """
        self.client_request: ClientRequest = received.client_request
        self.executor: AttemptExecutor = received.executor
        self.response_sink: ResponseSink = received.response_sink
        margin_ms = min(ROUTER_DEADLINE_MARGIN_MS, self.client_request.wait_ms * MAX_MARGIN_FRACTION)
        self.deadline_ms = self.client_request.arrived_ms + self.client_request.wait_ms - margin_ms
        self.attempts_requested = 0  # by the router, which numbers the attempts the same way
        self.attempts_sent = 0  # those whose first byte may have been sent: only they count towards the limit
        self.rule: ClassRule | None = settings.classes.get(received.client_request.class_name)
        if self.rule is not None and self.rule.effect == "keyed" and not self.client_request.idempotency_key:
            self.rule = replace(self.rule, effect="unsafe")  # without a key no backend can discard a repeat
        self.max_attempts = settings.max_attempts or DEFAULT_MAX_ATTEMPTS
        self.attempt: InFlightAttempt | None = None  # the attempt in flight
        self.first_possible_run_ms: float | None = None  # when the first attempt that may have run was sent
        self.is_recorded = False  # in the sent-request log, if a store is configured
        self.alarm: ScheduledCall | None = None

    @property
    def expires_ms(self) -> float:
        """The time at which the engine ends the request if the router has not ended it."""
        return max(
            self.client_request.arrived_ms + self.client_request.wait_ms - ENGINE_DEADLINE_MARGIN_MS, self.deadline_ms
        )

    def is_refusal_safe(self) -> bool:
        """Return True if the client may be promised that a retry does no harm.

        This is clause 4.5 of ``docs/terms-audit.md``.
        """
        may_have_run = self.first_possible_run_ms is not None or (
            self.attempt is not None and self.attempt.may_have_been_sent
        )
        if not may_have_run or self.rule is None or self.rule.effect == "safe":
            return True
        return self.rule.effect == "keyed" and self.rule.group == "all"


def to_request_event(request: OpenRequest, now_ms: float) -> interface.Request:
    """Return the router's event for a request that was received."""
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
    """The open requests by id. The event ``idle`` is set while there are none."""

    def __init__(self) -> None:
        """Create an empty table, with ``idle`` set."""
        self.by_id: dict[str, OpenRequest] = {}
        self.idle = asyncio.Event()
        self.idle.set()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self.by_id)

    def holds(self, request: OpenRequest) -> bool:
        """Return True if this very request is still open; another request with the same id does not count."""
        return self.by_id.get(request.client_request.id) is request

    def add(self, request: OpenRequest) -> None:
        """Add a request, whose id must not be in the table yet."""
        self.by_id[request.client_request.id] = request
        self.idle.clear()

    def remove(self, request: OpenRequest) -> None:
        """Remove a request that has ended, and cancel its alarm."""
        del self.by_id[request.client_request.id]
        if request.alarm is not None:
            request.alarm.cancel()
        if not self.by_id:
            self.idle.set()


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """Posted to the engine when a request is still open at the last moment at which its client can be answered."""

    request: OpenRequest


@dataclass(frozen=True, slots=True)
class RepeatForbidden:
    """Posted to the engine when a keyed request must not be sent, as an earlier process or another proxy has sent it.

    Its backends no longer discard repeats of it, or it is unknown whether they do.
    """

    request: OpenRequest
