"""The checks that an attempt must pass whatever the router decides. Each check is a function, called a guard.

``START_GUARDS`` are checked when the router requests an attempt. ``SEND_GUARDS`` are checked right before the
attempt's first byte, because dialling and waiting for a connection take time, and again if that byte could not be
sent at once. Clause numbers are those of ``docs/terms-audit.md``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, TypeAlias

from beechslip.clock import to_ms
from beechslip.core.model import Backend
from beechslip.core.purge_memory import PurgeMemory
from beechslip.core.requests import DEFAULT_MAX_ATTEMPTS, OpenRequest, OpenRequestTable
from beechslip.core.services import OptionalServices
from beechslip.routing.interface import ClassRule, Settings

if TYPE_CHECKING:
    from beechslip.core.attempts import InFlightAttempt

# A repeat of a keyed request is sent only if more than this is left of its repeat window; sent later, it could reach
# the backend after the window.
REPEAT_WINDOW_MARGIN_MS = 20.0


class GuardVerdict(Enum):
    """What a guard decides about an attempt; every verdict but ``ALLOWED`` forbids it."""

    ALLOWED = auto()
    ATTEMPTS_EXHAUSTED = auto()
    ATTEMPT_IN_FLIGHT = auto()
    ATTEMPT_STOPPED = auto()
    REQUEST_ENDED = auto()
    CLIENT_DEPARTED = auto()
    PURGED_SINCE = auto()
    BACKEND_NOT_READY = auto()
    SOURCE_NOT_READY = auto()
    REPEAT_NOT_DISCARDED = auto()
    REPEAT_WINDOW_OVER = auto()
    DEADLINE_PASSED = auto()
    QUOTA_EXHAUSTED = auto()


# A global, because each attempt looks this member up about twenty times, and looking up members of enums is slow.
ALLOWED = GuardVerdict.ALLOWED

# The verdicts that are counted, with the names of their counters.
VERDICT_COUNTERS = {GuardVerdict.CLIENT_DEPARTED: "departed", GuardVerdict.PURGED_SINCE: "purged_before_sending"}


@dataclass(frozen=True, slots=True)
class GuardState:
    """What the send guards read: the engine's own tables, not copies."""

    requests: OpenRequestTable
    backends: Mapping[str, Backend]
    purges: PurgeMemory
    services: OptionalServices


StartGuard: TypeAlias = Callable[[OpenRequest, Settings], GuardVerdict]
SendGuard: TypeAlias = Callable[[GuardState, OpenRequest, "InFlightAttempt", float], GuardVerdict]

# Start guards: when the router requests an attempt --------------------------------------------------


def attempts_remain(request: OpenRequest, settings: Settings) -> GuardVerdict:
    """Forbid an attempt beyond the request's attempt limit (clause 4.10).

    The limit is the lower of those in the settings at the request's arrival and in the present settings.
    """
    limit = min(request.max_attempts, settings.max_attempts or DEFAULT_MAX_ATTEMPTS)
    return GuardVerdict.ATTEMPTS_EXHAUSTED if request.attempts_sent >= limit else ALLOWED


def no_attempt_in_flight(request: OpenRequest, settings: Settings) -> GuardVerdict:
    """Forbid a second attempt in flight for a request, unless the settings allow hedging (clause 4.6)."""
    is_forbidden = request.attempt is not None and not settings.hedging
    return GuardVerdict.ATTEMPT_IN_FLIGHT if is_forbidden else ALLOWED


# Send guards: right before the first byte -----------------------------------------------------------


def attempt_is_wanted(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Forbid sending for an attempt that was stopped (clause 3.28)."""
    return ALLOWED if attempt.stop_reason is None else GuardVerdict.ATTEMPT_STOPPED


def request_is_open(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Forbid sending for a request that has had its final response (clause 4.2)."""
    return ALLOWED if state.requests.by_id.get(request.client_request.id) is request else GuardVerdict.REQUEST_ENDED


def client_is_present(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Forbid sending for a client that has closed its connection (clauses 1.19, 1.20 and 2.4)."""
    return GuardVerdict.CLIENT_DEPARTED if request.response_sink.has_client_departed else ALLOWED


def no_purge_since(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Forbid sending if a purge has arrived since the router requested the attempt (clause 3.30).

    The purge makes the attempt's age limit for copies outdated. The router then requests a new attempt with a valid
    limit. Writes are not affected.
    """
    if request.client_request.write:
        return ALLOWED
    is_purged = state.purges.purged_since(request.client_request, attempt.requested_ms)
    return GuardVerdict.PURGED_SINCE if is_purged else ALLOWED


def backend_is_ready(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Forbid sending to a backend that is draining, gone, or listed at another address (clauses 3.14, 3.29, 4.7)."""
    requested = attempt.attempt_request.backend
    listed = state.backends.get(requested.name)
    if listed is None or listed.state != "ready" or listed.address != requested.address:
        return GuardVerdict.BACKEND_NOT_READY
    return ALLOWED


def source_is_ready(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Forbid a fill from a source that is draining or gone (clause 4.7)."""
    name = attempt.attempt_request.source
    if not name:
        return ALLOWED
    source = state.backends.get(name)
    return ALLOWED if source is not None and source.state == "ready" else GuardVerdict.SOURCE_NOT_READY


def repeat_is_discarded(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Forbid a repeat of a request that may have run, unless it does no harm (clauses 4.3 and 4.4).

    A repeat does no harm if the class is safe, or if it is keyed and all backends still discard the repeat.
    """
    rule = request.rule
    if request.first_possible_run_ms is None or rule is None or rule.effect == "safe":
        return ALLOWED
    if rule.effect != "keyed":
        return GuardVerdict.REPEAT_NOT_DISCARDED
    return check_keyed_repeat(rule, request.first_possible_run_ms, now_ms)


def before_deadline(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Forbid sending after the request's deadline, as the response could not be in time (clause 4.1)."""
    return ALLOWED if now_ms < request.deadline_ms else GuardVerdict.DEADLINE_PASSED


def quota_is_left(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Forbid an attempt for which the fleet-wide quotas have no room (clause 4.8).

    If they have room, this spends quota, only once for each attempt.
    """
    gate = state.services.quota_gate
    if attempt.may_have_been_sent or gate is None or gate.spend(attempt.attempt_request, request.attempts_sent > 0):
        return ALLOWED
    return GuardVerdict.QUOTA_EXHAUSTED


def check_keyed_repeat(rule: ClassRule, first_possible_run_ms: float, now_ms: float) -> GuardVerdict:
    """Forbid a repeat of a keyed request that may have run, unless every backend still discards it (clause 4.4).

    ``first_possible_run_ms`` is when the first attempt that may have run was sent.
    """
    if rule.group != "all":
        return GuardVerdict.REPEAT_NOT_DISCARDED
    if now_ms >= first_possible_run_ms + to_ms(rule.window) - REPEAT_WINDOW_MARGIN_MS:
        return GuardVerdict.REPEAT_WINDOW_OVER
    return ALLOWED


START_GUARDS: tuple[StartGuard, ...] = (attempts_remain, no_attempt_in_flight)

# The order matters: only the first guard that forbids an attempt is counted, and quota must be spent last.
SEND_GUARDS: tuple[SendGuard, ...] = (
    attempt_is_wanted,
    request_is_open,
    client_is_present,
    no_purge_since,
    backend_is_ready,
    source_is_ready,
    repeat_is_discarded,
    before_deadline,
    quota_is_left,
)


def check_start_guards(request: OpenRequest, settings: Settings) -> GuardVerdict:
    """Return the first verdict of the start guards that forbids an attempt, or ``ALLOWED``."""
    for guard in START_GUARDS:
        verdict = guard(request, settings)
        if verdict is not ALLOWED:
            return verdict
    return ALLOWED


def check_send_guards(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Return the first verdict of the send guards that forbids the first byte, or ``ALLOWED``."""
    for guard in SEND_GUARDS:
        verdict = guard(state, request, attempt, now_ms)
        if verdict is not ALLOWED:
            return verdict
    return ALLOWED
