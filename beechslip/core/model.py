"""The core's data: clients' requests, backends, attempts, their results, and final responses.

Times are milliseconds, of ``Clock.now_ms`` where they are moments. A front hands in a ``ClientRequest`` with an
``AttemptExecutor`` that carries out its attempts and a ``ResponseSink`` that takes its one final response.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Literal, Protocol

AttemptResultKind = Literal[
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss", "handed_out", "spoilt"
]
# Results that prove that no backend has run the request. "moot": it was not attempted, or not to its first byte.
PROVEN_NOT_EXECUTED: frozenset[AttemptResultKind] = frozenset({"full", "connect_failed", "moot", "miss"})


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request, as a front has read it."""

    id: str
    class_name: str
    object: str
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    wait_ms: float = 0.0  # the client waits this long, counted from arrived_ms
    arrived_ms: float = 0.0
    write: bool = False
    body: bytes = b""
    idempotency_key: str = ""  # idempotency key
    etag: str = ""  # of the copy that the client holds


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend, parent or origin as the change log names it."""

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
    """One attempt to be carried out."""

    client_request: ClientRequest
    number: int
    backend: Backend
    source: str  # the id of what fills a miss; "" for no fill
    timeout_ms: float
    keep: int = 0
    max_age_ms: float = 0.0
    join: bool = False
    renew: bool = False
    cached_only: bool = False
    timeout_at_ms: float = math.inf  # when the attempt is given up (of ``Clock.now_ms``)


@dataclass(frozen=True, slots=True)
class Payload:
    """What a backend answered: the bytes with their tag, or that the client's copy is current."""

    body: bytes = b""
    etag: str = ""
    is_not_modified: bool = False  # the client's copy is current


@dataclass(slots=True)
class AttemptResult:
    """How an attempt or a health check ended.

    ``spoilt``: the request has run, but what came of it can't be used; that speaks against no backend.
    ``ended_ms``: when the end was read off the wire; 0 where that is not known.

    ``handed_out``: the client was sent to the backend and the request is served by that; the attempt
    counts as in flight for ``hold_ms`` more, and the router learns nothing from it.
    """

    result: AttemptResultKind
    note: str = ""
    report: dict[str, float] = field(default_factory=dict)
    payload: Payload | None = None
    hold_ms: float = 0.0
    ended_ms: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final response to a request."""

    kind: Literal["served", "refused", "failed"]
    payload: Payload | None = None
    retry_after_ms: float = 0.0
    cause: Literal["", "deadline", "duplicate", "fault", "sent before"] = ""
    reason: str = ""  # the router's, for the log


class AttemptExecutor(Protocol):
    """Carries out attempts. A cancelled one has given back its connection once ``execute`` has ended."""

    async def execute(self, spec: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Ask ``may_start`` right before the first byte; False means that nothing may be sent.

        The attempt counts as sent from a True on. It may be asked again while no byte could be sent.
        """
        ...


class HealthChecker(Protocol):
    """Checks the health of a backend, and keeps nothing of those that are no longer listed."""

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Check one backend now."""
        ...

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Take note of all that are listed now, by name, draining ones included: a live view, not a copy."""
        ...


class ResponseSink(Protocol):
    """Takes the one final response to a request; never raises and never blocks."""

    def answer(self, response: FinalResponse) -> None:
        """Send the response to the client."""
        ...

    @property
    def has_client_departed(self) -> bool:
        """Whether its client is known to have gone: nothing is owed, and nothing more may be sent for it.

        Known here before ``ClientDisconnected`` has come through the engine's queue.
        """
        ...
