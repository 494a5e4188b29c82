"""The engine's data types: clients' requests, backends, attempts, attempt results and final responses.

All times are in milliseconds; points in time are on ``Clock.now_ms``. A front end passes each ``ClientRequest`` to
the engine together with an ``AttemptExecutor``, which carries out the request's attempts, and a ``ResponseSink``,
which takes its one final response.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Literal, Protocol

from beechslip.memory_budget import MemoryCharge
from beechslip.routing.interface import RefusalDetail

AttemptResultKind = Literal[
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss", "handed_out", "spoilt"
]
# Results that prove that no backend has run the request. "moot" means that the attempt was not made, or that it ended
# before its first byte was sent.
PROVEN_NOT_EXECUTED: frozenset[AttemptResultKind] = frozenset({"full", "connect_failed", "moot", "miss"})


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request, as read by a front end."""

    id: str
    class_name: str
    object: str
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    wait_ms: float = 0.0  # how long the client waits for the final response, counted from arrived_ms
    arrived_ms: float = 0.0
    write: bool = False
    body: bytes = b""
    idempotency_key: str = ""
    etag: str = ""  # of the copy that the client holds
    response_charge: MemoryCharge | None = field(default=None, compare=False, repr=False)  # the response's memory


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend as listed by the change log: a cache, a parent or the origin."""

    name: str
    address: str
    kind: str = ""
    zone: str = ""
    state: str = "ready"  # "ready", "draining" or "gone"
    weight: float = 0.0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """The request for one attempt, which an ``AttemptExecutor`` carries out.

    ``keep``, ``join``, ``renew`` and ``cached_only`` are those of ``beechslip.routing.interface.Attempt``.
    """

    client_request: ClientRequest
    number: int
    backend: Backend
    source: str  # the name of the backend that fills a miss; "" if there is to be no fill
    timeout_ms: float
    keep: int = 0
    max_age_ms: float = 0.0
    join: bool = False
    renew: bool = False
    cached_only: bool = False
    timeout_at_ms: float = math.inf  # the time on ``Clock.now_ms`` at which the attempt times out


@dataclass(frozen=True, slots=True)
class Payload:
    """The content of a backend's response: a body with its ETag, or the fact that the client's copy is current."""

    body: bytes = b""
    etag: str = ""
    is_not_modified: bool = False  # the client's copy is current, and ``body`` is empty


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a health check ended.

    The result ``spoilt`` means that the request has run but its response is unusable; this is not held against any
    backend. The result ``handed_out`` means that the client was directed to the backend and that this serves the
    request; the attempt counts as in flight for another ``hold_ms``, and the router learns nothing from it.

    ``ended_ms`` is the time at which the end was read from the connection, less the time for which this process had
    no memory to read on, or 0 if that is not known.
    """

    result: AttemptResultKind
    note: str = ""
    report: dict[str, float] = field(default_factory=dict)
    payload: Payload | None = None
    hold_ms: float = 0.0
    ended_ms: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final response to a client's request."""

    kind: Literal["served", "refused", "failed"]
    payload: Payload | None = None
    retry_after_ms: float = 0.0
    cause: Literal["", "deadline", "duplicate", "fault", "sent before"] = ""
    reason: str = ""  # why, as stated by the router or the engine; for the log and the counter ``ended.REASON``
    detail: RefusalDetail | None = None  # what the router's rejection was based on, for the log


class AttemptExecutor(Protocol):
    """Carries out attempts. If ``execute`` is cancelled, it gives its connection back before it ends."""

    async def execute(self, attempt_request: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Send the request to the backend and return how the attempt ended.

        Call ``may_start`` right before sending the first byte; if it returns False, nothing may be sent. Once it has
        returned True, the attempt counts as sent. It may be called again as long as no byte could be sent.
        """
        ...


class HealthChecker(Protocol):
    """Checks the health of backends, and drops what it holds on backends that are no longer listed."""

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Check one backend now and return the result."""
        ...

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Take all backends that are listed now, by name and including draining ones.

        ``backends`` is a live view, not a copy.
        """
        ...


class ResponseSink(Protocol):
    """Takes the one final response to a request. Its methods never raise and never block."""

    def answer(self, final_response: FinalResponse) -> None:
        """Send the response to the client."""
        ...

    @property
    def has_client_departed(self) -> bool:
        """True if the client is known to have closed its connection.

        The request then needs no response, and nothing more may be sent for it. The sink knows this before the
        engine has taken ``ClientDisconnected`` from its queue.
        """
        ...
