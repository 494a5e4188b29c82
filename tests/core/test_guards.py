"""Tests of the engine's guards: what each allows and what each forbids."""

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
REQUESTED_MS = NOW_MS - 100.0
WINDOW_MS = 2_000.0
RULE = ClassRule("plot", effect="safe", window=WINDOW_MS / 1000.0)
SETTINGS = Settings(classes={"plot": RULE}, max_attempts=3)


class FakeResponseSink:
    """A response sink whose client may have departed; it takes no response."""

    has_client_departed = False


@dataclass
class FakeQuotaGate:
    """A quota gate with room or without; counts the calls of ``spend``."""

    has_room: bool
    spent: int = 0

    def spend(self, attempt_request: AttemptRequest, is_retry: bool) -> bool:
        self.spent += 1
        return self.has_room


@dataclass
class GuardCase:
    """An attempt that every guard allows, with its request and the guards' state, for a test to change."""

    state: GuardState
    request: OpenRequest
    attempt: InFlightAttempt

    def verdict(self) -> GuardVerdict:
        return check_send_guards(self.state, self.request, self.attempt, NOW_MS)


def allowed_case() -> GuardCase:
    response_sink: Any = FakeResponseSink()
    executor: Any = None
    client_request = ClientRequest(
        "1", "plot", "7f3a", group=4, wait_ms=1_000.0, arrived_ms=NOW_MS - 500.0, idempotency_key="5c"
    )
    backends = {name: Backend(name, f"{name}:80") for name in ("cache", "hub")}
    state = GuardState(OpenRequestTable(), backends, PurgeMemory(), OptionalServices())
    request = OpenRequest(RequestReceived(client_request, executor, response_sink), SETTINGS)
    state.requests.add(request)
    attempt_request = AttemptRequest(client_request, 0, backends["cache"], "hub", timeout_ms=400.0)
    attempt = InFlightAttempt(attempt_request, REQUESTED_MS)
    request.attempt = attempt
    return GuardCase(state, request, attempt)


def change_listing(case: GuardCase, name: str, **changes: Any) -> None:
    backends: Any = case.state.backends
    backends[name] = replace(backends[name], **changes)


def remove_listing(case: GuardCase, name: str) -> None:
    backends: Any = case.state.backends
    del backends[name]


def add_purge(case: GuardCase, purged: PurgeReceived, received_ms: float = REQUESTED_MS + 1.0) -> None:
    case.state.purges.add(purged, received_ms)


def purge_object_of_write(case: GuardCase) -> None:
    add_purge(case, PurgeReceived("7f3a", 0, 0.0))
    write = replace(case.request.client_request, write=True)
    case.request.client_request = write


def make_repeat(case: GuardCase, effect: str, group: str = "all", ago_ms: float = 100.0) -> None:
    case.request.rule = replace(RULE, effect=effect, group=group)
    case.request.first_possible_run_ms = NOW_MS - ago_ms


def set_time_left(case: GuardCase, left_ms: float) -> None:
    case.request.deadline_ms = NOW_MS + left_ms


def set_quota_gate(case: GuardCase, has_room: bool, may_have_been_sent: bool = False) -> None:
    gate: Any = FakeQuotaGate(has_room)
    case.state.services.quota_gate = gate
    case.attempt.may_have_been_sent = may_have_been_sent


SEND_GUARD_CASES: list[tuple[Callable[[GuardCase], object], GuardVerdict]] = [
    (lambda case: None, GuardVerdict.ALLOWED),
    (lambda case: case.attempt.stop("cancelled"), GuardVerdict.ATTEMPT_STOPPED),
    (lambda case: case.state.requests.remove(case.request), GuardVerdict.REQUEST_ENDED),
    (lambda case: case.state.requests.by_id.update({"1": allowed_case().request}), GuardVerdict.REQUEST_ENDED),
    (lambda case: setattr(case.request.response_sink, "has_client_departed", True), GuardVerdict.CLIENT_DEPARTED),
    (lambda case: add_purge(case, PurgeReceived("7f3a", 0, 0.0)), GuardVerdict.PURGED_SINCE),
    (lambda case: add_purge(case, PurgeReceived("", 4, 0.0)), GuardVerdict.PURGED_SINCE),
    (lambda case: add_purge(case, PurgeReceived("", 5, 0.0)), GuardVerdict.ALLOWED),
    (lambda case: add_purge(case, PurgeReceived("7f3a", 0, 0.0), REQUESTED_MS), GuardVerdict.ALLOWED),
    (purge_object_of_write, GuardVerdict.ALLOWED),
    (lambda case: change_listing(case, "cache", state="draining"), GuardVerdict.BACKEND_NOT_READY),
    (lambda case: change_listing(case, "cache", address="cache:81"), GuardVerdict.BACKEND_NOT_READY),
    (lambda case: remove_listing(case, "cache"), GuardVerdict.BACKEND_NOT_READY),
    (lambda case: change_listing(case, "hub", state="draining"), GuardVerdict.SOURCE_NOT_READY),
    (lambda case: remove_listing(case, "hub"), GuardVerdict.SOURCE_NOT_READY),
    (lambda case: make_repeat(case, "safe"), GuardVerdict.ALLOWED),
    (lambda case: make_repeat(case, "unsafe"), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda case: make_repeat(case, ""), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda case: make_repeat(case, "keyed", "zone"), GuardVerdict.REPEAT_NOT_DISCARDED),
    (lambda case: make_repeat(case, "keyed"), GuardVerdict.ALLOWED),
    (lambda case: make_repeat(case, "keyed", ago_ms=WINDOW_MS - REPEAT_WINDOW_MARGIN_MS - 1.0), GuardVerdict.ALLOWED),
    (
        lambda case: make_repeat(case, "keyed", ago_ms=WINDOW_MS - REPEAT_WINDOW_MARGIN_MS),
        GuardVerdict.REPEAT_WINDOW_OVER,
    ),
    (lambda case: set_time_left(case, 1.0), GuardVerdict.ALLOWED),
    (lambda case: set_time_left(case, 0.0), GuardVerdict.DEADLINE_PASSED),
    (lambda case: set_quota_gate(case, True), GuardVerdict.ALLOWED),
    (lambda case: set_quota_gate(case, False), GuardVerdict.QUOTA_EXHAUSTED),
    (lambda case: set_quota_gate(case, False, may_have_been_sent=True), GuardVerdict.ALLOWED),
]


@pytest.mark.parametrize(("change", "verdict"), SEND_GUARD_CASES)
def test_only_the_expected_send_guard_forbids_the_first_byte(
    change: Callable[[GuardCase], object], verdict: GuardVerdict
) -> None:
    case = allowed_case()
    change(case)
    assert case.verdict() is verdict
    verdicts = {guard(case.state, case.request, case.attempt, NOW_MS) for guard in SEND_GUARDS}
    assert verdicts - {GuardVerdict.ALLOWED} == {verdict} - {GuardVerdict.ALLOWED}  # no other guard forbids it


def test_quota_is_spent_only_on_an_attempt_that_all_other_guards_allow() -> None:
    case = allowed_case()
    set_quota_gate(case, True)
    gate: Any = case.state.services.quota_gate
    set_time_left(case, 0.0)
    assert (case.verdict(), gate.spent) == (GuardVerdict.DEADLINE_PASSED, 0)
    set_time_left(case, 1.0)
    assert (case.verdict(), gate.spent) == (GuardVerdict.ALLOWED, 1)


@pytest.mark.parametrize(
    ("sent", "has_attempt_in_flight", "settings", "verdict"),
    [
        (2, False, SETTINGS, GuardVerdict.ALLOWED),
        (3, False, SETTINGS, GuardVerdict.ATTEMPTS_EXHAUSTED),
        # A request keeps the limit that the settings had at its arrival.
        (3, False, replace(SETTINGS, max_attempts=8), GuardVerdict.ATTEMPTS_EXHAUSTED),
        (2, False, replace(SETTINGS, max_attempts=2), GuardVerdict.ATTEMPTS_EXHAUSTED),
        (2, False, replace(SETTINGS, max_attempts=0), GuardVerdict.ALLOWED),
        (0, True, SETTINGS, GuardVerdict.ATTEMPT_IN_FLIGHT),
        (0, True, replace(SETTINGS, hedging=True), GuardVerdict.ALLOWED),
    ],
)
def test_start_guards_enforce_the_attempt_limit_and_a_single_attempt_in_flight(
    sent: int, has_attempt_in_flight: bool, settings: Settings, verdict: GuardVerdict
) -> None:
    case = allowed_case()
    case.request.attempts_sent = sent
    if not has_attempt_in_flight:
        case.request.attempt = None
    assert check_start_guards(case.request, settings) is verdict


def test_purge_memory_counts_an_evicted_purge_for_all_objects() -> None:
    case = allowed_case()
    for number in range(MAX_REMEMBERED_PURGES):
        add_purge(case, PurgeReceived(f"other-{number}", 0, 0.0))
    assert case.verdict() is GuardVerdict.ALLOWED
    add_purge(case, PurgeReceived("one-more", 0, 0.0))
    assert case.verdict() is GuardVerdict.PURGED_SINCE
