"""Each guard of the engine: what it allows and what it forbids."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from beechslip.core.attempts import InFlightAttempt
from beechslip.core.guards import (
    REPEAT_WINDOW_MARGIN_MS,
    SEND_GUARDS,
    GuardState,
    GuardVerdict,
    check_send_guards,
    check_start_guards,
)
from beechslip.core.messages import PurgeReceived, RequestReceived
from beechslip.core.model import AttemptRequest, Backend, ClientRequest
from beechslip.core.purge_memory import MAX_REMEMBERED_PURGES, PurgeMemory
from beechslip.core.requests import OpenRequest, OpenRequestTable
from beechslip.core.services import OptionalServices
from beechslip.routing.interface import ClassRule, Settings

NOW_MS = 10_000.0
NAMED_MS = NOW_MS - 100.0
WINDOW_MS = 2_000.0
RULE = ClassRule("plot", effect="safe", window=WINDOW_MS / 1000.0)
SETTINGS = Settings(classes={"plot": RULE}, max_attempts=3)


class Sink:
    """A client that may have departed, and that needs no answer."""

    has_client_departed = False


@dataclass
class Gate:
    """A quota with room or without; notes what is spent."""

    room: bool
    spent: int = 0

    def spend(self, spec: AttemptRequest, is_retry: bool) -> bool:
        self.spent += 1
        return self.room


@dataclass
class Case:
    """An attempt that every guard allows, for a test to spoil."""

    state: GuardState
    request: OpenRequest
    attempt: InFlightAttempt

    def verdict(self) -> GuardVerdict:
        return check_send_guards(self.state, self.request, self.attempt, NOW_MS)


def case() -> Case:
    sink: Any = Sink()
    executor: Any = None
    client_request = ClientRequest(
        "1", "plot", "7f3a", group=4, wait_ms=1_000.0, arrived_ms=NOW_MS - 500.0, idempotency_key="5c"
    )
    backends = {name: Backend(name, f"{name}:80") for name in ("cache", "hub")}
    state = GuardState(OpenRequestTable(), backends, PurgeMemory(), OptionalServices())
    request = OpenRequest(RequestReceived(client_request, executor, sink), SETTINGS)
    state.requests.add(request)
    spec = AttemptRequest(client_request, 0, backends["cache"], "hub", timeout_ms=400.0)
    attempt = InFlightAttempt(spec, NAMED_MS)
    request.attempt = attempt
    return Case(state, request, attempt)


def list_as(one: Case, name: str, **changes: Any) -> None:
    backends: Any = one.state.backends
    backends[name] = replace(backends[name], **changes)


def delist(one: Case, name: str) -> None:
    backends: Any = one.state.backends
    del backends[name]


def purge(one: Case, purged: PurgeReceived, received_ms: float = NAMED_MS + 1.0) -> None:
    one.state.purges.add(purged, received_ms)


def purge_as_write(one: Case) -> None:
    purge(one, PurgeReceived("7f3a", 0, 0.0))
    write = replace(one.request.client_request, write=True)
    one.request.client_request = write


def repeat(one: Case, effect: str, group: str = "all", ago_ms: float = 100.0) -> None:
    one.request.rule = replace(RULE, effect=effect, group=group)
    one.request.first_possible_run_ms = NOW_MS - ago_ms


def expire(one: Case, left_ms: float) -> None:
    one.request.deadline_ms = NOW_MS + left_ms


def set_gate(one: Case, room: bool, may_have_been_sent: bool = False) -> None:
    gate: Any = Gate(room)
    one.state.services.quota_gate = gate
    one.attempt.may_have_been_sent = may_have_been_sent


SPOILT: list[tuple[Callable[[Case], object], GuardVerdict]] = [
    (lambda one: None, GuardVerdict.ALLOWED),
    (lambda one: one.attempt.stop("cancelled"), GuardVerdict.ATTEMPT_STOPPED),
    (lambda one: one.state.requests.remove(one.request), GuardVerdict.REQUEST_ENDED),
    (lambda one: one.state.requests.by_id.update({"1": case().request}), GuardVerdict.REQUEST_ENDED),
    (lambda one: setattr(one.request.response_sink, "has_client_departed", True), GuardVerdict.CLIENT_DEPARTED),
    (lambda one: purge(one, PurgeReceived("7f3a", 0, 0.0)), GuardVerdict.PURGED_SINCE),
    (lambda one: purge(one, PurgeReceived("", 4, 0.0)), GuardVerdict.PURGED_SINCE),
    (lambda one: purge(one, PurgeReceived("", 5, 0.0)), GuardVerdict.ALLOWED),
    (lambda one: purge(one, PurgeReceived("7f3a", 0, 0.0), NAMED_MS), GuardVerdict.ALLOWED),
    (purge_as_write, GuardVerdict.ALLOWED),
    (lambda one: list_as(one, "cache", state="draining"), GuardVerdict.BACKEND_NOT_READY),
    (lambda one: list_as(one, "cache", address="cache:81"), GuardVerdict.BACKEND_NOT_READY),
    (lambda one: delist(one, "cache"), GuardVerdict.BACKEND_NOT_READY),
    (lambda one: list_as(one, "hub", state="draining"), GuardVerdict.SOURCE_NOT_READY),
    (lambda one: delist(one, "hub"), GuardVerdict.SOURCE_NOT_READY),
    (lambda one: repeat(one, "safe"), GuardVerdict.ALLOWED),
    (lambda one: repeat(one, "unsafe"), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda one: repeat(one, ""), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda one: repeat(one, "keyed", "zone"), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda one: repeat(one, "keyed"), GuardVerdict.ALLOWED),
    (lambda one: repeat(one, "keyed", ago_ms=WINDOW_MS - REPEAT_WINDOW_MARGIN_MS - 1.0), GuardVerdict.ALLOWED),
    (lambda one: repeat(one, "keyed", ago_ms=WINDOW_MS - REPEAT_WINDOW_MARGIN_MS), GuardVerdict.REPEAT_WINDOW_OVER),
    (lambda one: expire(one, 1.0), GuardVerdict.ALLOWED),
    (lambda one: expire(one, 0.0), GuardVerdict.DEADLINE_PASSED),
    (lambda one: set_gate(one, True), GuardVerdict.ALLOWED),
    (lambda one: set_gate(one, False), GuardVerdict.QUOTA_EXHAUSTED),
    (lambda one: set_gate(one, False, may_have_been_sent=True), GuardVerdict.ALLOWED),
]


@pytest.mark.parametrize(("spoil", "verdict"), SPOILT)
def test_right_before_the_first_byte(spoil: Callable[[Case], object], verdict: GuardVerdict) -> None:
    one = case()
    spoil(one)
    assert one.verdict() is verdict
    found = {guard(one.state, one.request, one.attempt, NOW_MS) for guard in SEND_GUARDS}
    assert found - {GuardVerdict.ALLOWED} == {verdict} - {GuardVerdict.ALLOWED}  # no other guard forbids it


def test_a_quota_is_spent_only_by_an_attempt_that_all_other_guards_allow() -> None:
    one = case()
    set_gate(one, True)
    gate: Any = one.state.services.quota_gate
    expire(one, 0.0)
    assert (one.verdict(), gate.spent) == (GuardVerdict.DEADLINE_PASSED, 0)
    expire(one, 1.0)
    assert (one.verdict(), gate.spent) == (GuardVerdict.ALLOWED, 1)


@pytest.mark.parametrize(
    ("sent", "in_flight", "settings", "verdict"),
    [
        (2, False, SETTINGS, GuardVerdict.ALLOWED),
        (3, False, SETTINGS, GuardVerdict.ATTEMPTS_EXHAUSTED),
        (
            3,
            False,
            replace(SETTINGS, max_attempts=8),
            GuardVerdict.ATTEMPTS_EXHAUSTED,
        ),  # it keeps the cap of its arrival
        (2, False, replace(SETTINGS, max_attempts=2), GuardVerdict.ATTEMPTS_EXHAUSTED),
        (2, False, replace(SETTINGS, max_attempts=0), GuardVerdict.ALLOWED),
        (0, True, SETTINGS, GuardVerdict.ATTEMPT_IN_FLIGHT),
        (0, True, replace(SETTINGS, hedging=True), GuardVerdict.ALLOWED),
    ],
)
def test_when_the_router_names_an_attempt(
    sent: int, in_flight: bool, settings: Settings, verdict: GuardVerdict
) -> None:
    one = case()
    one.request.attempts_sent = sent
    if not in_flight:
        one.request.attempt = None
    assert check_start_guards(one.request, settings) is verdict


def test_beyond_the_bound_the_oldest_purge_counts_for_all_objects() -> None:
    one = case()
    for number in range(MAX_REMEMBERED_PURGES):
        purge(one, PurgeReceived(f"other-{number}", 0, 0.0))
    assert one.verdict() is GuardVerdict.ALLOWED
    purge(one, PurgeReceived("one-more", 0, 0.0))
    assert one.verdict() is GuardVerdict.PURGED_SINCE
