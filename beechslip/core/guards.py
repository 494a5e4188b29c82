"""The checks that an attempt must pass whatever the router decides, each a function of its own.

``START_GUARDS`` are asked when the router names an attempt, ``SEND_GUARDS`` right before its first byte, as
dialling and waiting for a connection take time, and again where that byte could not be sent at once. The clauses are
those of ``docs/terms-audit.md``.
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

# A keyed repeat is written at least this long before its window ends, or the backend would get it after that.
REPEAT_WINDOW_MARGIN_MS = 20.0


class GuardVerdict(Enum):
    """What a guard says of an attempt; all but ``ALLOWED`` forbid it."""

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


ALLOWED = (
    GuardVerdict.ALLOWED
)  # as a global: each attempt looks it up some twenty times, and members of enums are slow

# Verdicts that are counted, and under which name.
VERDICT_COUNTERS = {GuardVerdict.CLIENT_DEPARTED: "departed", GuardVerdict.PURGED_SINCE: "purged_before_sending"}


@dataclass(frozen=True, slots=True)
class GuardState:
    """What the send guards look at: the engine's own tables, not copies."""

    requests: OpenRequestTable
    backends: Mapping[str, Backend]
    purges: PurgeMemory
    services: OptionalServices


StartGuard: TypeAlias = Callable[[OpenRequest, Settings], GuardVerdict]
SendGuard: TypeAlias = Callable[[GuardState, OpenRequest, "InFlightAttempt", float], GuardVerdict]

# When the router names an attempt ------------------------------------------------------------------


def attempts_remain(request: OpenRequest, settings: Settings) -> GuardVerdict:
    """No more attempts are sent than the settings allow, those at its arrival and those now (clause 4.10)."""
    cap = min(request.max_attempts, settings.max_attempts or DEFAULT_MAX_ATTEMPTS)
    return GuardVerdict.ATTEMPTS_EXHAUSTED if request.attempts_sent >= cap else ALLOWED


def no_attempt_in_flight(request: OpenRequest, settings: Settings) -> GuardVerdict:
    """A request has one attempt at a time, unless the settings allow hedging (clause 4.6)."""
    in_flight = request.attempt is not None and not settings.hedging
    return GuardVerdict.ATTEMPT_IN_FLIGHT if in_flight else ALLOWED


# Right before the first byte -----------------------------------------------------------------------


def attempt_is_wanted(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Nothing is sent for an attempt that was given up (clause 3.28)."""
    return ALLOWED if attempt.stop_reason is None else GuardVerdict.ATTEMPT_STOPPED


def request_is_open(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Nothing is sent for a request that has had its final response (clause 4.2)."""
    return ALLOWED if state.requests.by_id.get(request.client_request.id) is request else GuardVerdict.REQUEST_ENDED


def client_is_present(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Nothing is sent for a client that has closed its connection (clauses 1.19, 1.20 and 2.4)."""
    return GuardVerdict.CLIENT_DEPARTED if request.response_sink.has_client_departed else ALLOWED


def no_purge_since(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """A purge since the attempt was named outdates its age limit (clause 3.30).

    The router names the attempt anew, with a limit that holds.
    """
    if request.client_request.write:
        return ALLOWED
    purged = state.purges.purged_since(request.client_request, attempt.requested_ms)
    return GuardVerdict.PURGED_SINCE if purged else ALLOWED


def backend_is_ready(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """Nothing new goes to a backend that drains, has gone, or has another address now (clauses 3.14, 3.29, 4.7)."""
    named = attempt.spec.backend
    listed = state.backends.get(named.name)
    if listed is None or listed.state != "ready" or listed.address != named.address:
        return GuardVerdict.BACKEND_NOT_READY
    return ALLOWED


def source_is_ready(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Nothing new is filled from a backend that drains or has gone (clause 4.7)."""
    name = attempt.spec.source
    if not name:
        return ALLOWED
    source = state.backends.get(name)
    return ALLOWED if source is not None and source.state == "ready" else GuardVerdict.SOURCE_NOT_READY


def repeat_is_discarded(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """What may have run is sent again only where, and while, all backends discard it (clauses 4.3 and 4.4)."""
    rule = request.rule
    if request.first_possible_run_ms is None or rule is None or rule.effect == "safe":
        return ALLOWED
    if rule.effect != "keyed":
        return GuardVerdict.REPEAT_NOT_DISCARDED
    return check_keyed_repeat(rule, request.first_possible_run_ms, now_ms)


def before_deadline(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """Nothing is sent that could not be answered in time (clause 4.1)."""
    return ALLOWED if now_ms < request.deadline_ms else GuardVerdict.DEADLINE_PASSED


def quota_is_left(state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float) -> GuardVerdict:
    """The fleet's quotas have room for the attempt (clause 4.8); this spends of them, once for each attempt."""
    gate = state.services.quota_gate
    if attempt.may_have_been_sent or gate is None or gate.spend(attempt.spec, request.attempts_sent > 0):
        return ALLOWED
    return GuardVerdict.QUOTA_EXHAUSTED


def check_keyed_repeat(rule: ClassRule, first_possible_run_ms: float, now_ms: float) -> GuardVerdict:
    """Whether every backend still discards a repeat of a keyed request that may have run (clause 4.4)."""
    if rule.group != "all":
        return GuardVerdict.REPEAT_NOT_DISCARDED
    if now_ms >= first_possible_run_ms + to_ms(rule.window) - REPEAT_WINDOW_MARGIN_MS:
        return GuardVerdict.REPEAT_WINDOW_OVER
    return ALLOWED


START_GUARDS: tuple[StartGuard, ...] = (attempts_remain, no_attempt_in_flight)

# In this order: the first that forbids an attempt is the one that is counted, and the quota is spent last.
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
    """The first verdict of the naming guards that forbids an attempt, or ``ALLOWED``."""
    for guard in START_GUARDS:
        verdict = guard(request, settings)
        if verdict is not ALLOWED:
            return verdict
    return ALLOWED


def check_send_guards(
    state: GuardState, request: OpenRequest, attempt: InFlightAttempt, now_ms: float
) -> GuardVerdict:
    """The first verdict of the send guards that forbids the first byte, or ``ALLOWED``."""
    for guard in SEND_GUARDS:
        verdict = guard(state, request, attempt, now_ms)
        if verdict is not ALLOWED:
            return verdict
    return ALLOWED
