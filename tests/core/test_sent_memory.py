"""The memory of requests that may have run: its bound, and a property over random orders of tries."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any, cast

import pytest

from beechslip.core.requests import OpenRequest
from beechslip.core.sent_memory import ENTRY_BYTES, KEPT_MS, SentRequestMemory
from beechslip.routing.interface import Settings
from beechslip.routing.wire.settings import read_settings
from lab.stand import SETTINGS

PARSED: Settings = read_settings(SETTINGS)
KEYED = PARSED.classes["pick-submit"]
BINDING_MS = (KEYED.window + 2.0 * KEYED.deadline) * 1000.0


def test_only_classes_that_may_not_simply_be_repeated_are_known() -> None:
    def key(effect: str, request_id: str, token: str) -> int | None:
        request: Any = type("Request", (), {})()
        request.rule = replace(KEYED, effect=cast(Any, effect))
        request.client_request = type("ClientRequest", (), {"id": request_id, "idempotency_key": token})()
        return SentRequestMemory.key_of(cast(OpenRequest, request))

    assert key("safe", "a", "") is None
    assert key("keyed", "a", "t") == key("keyed", "b", "t") != key("keyed", "a", "u")
    assert key("unsafe", "a", "") == key("unsafe", "a", "t") != key("unsafe", "b", "")
    assert key("unsafe", "a", "") != key("keyed", "a", "a")


def test_an_entry_is_withdrawn_only_by_the_one_attempt_that_made_it() -> None:
    memory = SentRequestMemory(PARSED)
    first, second = object(), object()
    memory.record(1, first, 5.0)
    memory.attempt_ended(1, second, may_have_run=False)
    assert memory.first_sent_ms(1) == 5.0
    memory.attempt_ended(1, first, may_have_run=False)
    assert memory.first_sent_ms(1) is None
    memory.record(1, first, 6.0)
    memory.record(1, second, 7.0)
    memory.attempt_ended(1, first, may_have_run=False)  # the second attempt may have run
    assert memory.first_sent_ms(1) == 6.0


# Guards against a table that forgets what a repeat could still follow, or grows without end.
def test_a_full_table_keeps_what_a_repeat_could_follow_and_drops_older_entries() -> None:
    memory = SentRequestMemory(PARSED, 3 * ENTRY_BYTES)
    for key in range(3):
        memory.record(key, object(), 1_000.0 * key)
    assert memory.is_full(BINDING_MS)
    assert not memory.is_full(BINDING_MS + 1.0)
    memory.record(3, object(), BINDING_MS + 1.0)
    assert [memory.first_sent_ms(key) for key in range(4)] == [None, 1_000.0, 2_000.0, BINDING_MS + 1.0]
    memory.record(4, object(), 2_000.0 + KEPT_MS + 1.0)
    assert len(memory) == 2


@pytest.mark.parametrize("seed", range(20))
def test_the_first_send_is_known_whatever_the_order_of_attempts(seed: int) -> None:
    rng = random.Random(seed)
    memory = SentRequestMemory(PARSED)
    first_sent_ms: dict[int, float] = {}
    in_flight: list[tuple[int, object]] = []
    may_have_run: set[int] = set()
    for step in range(2_000):
        now_ms = float(step)
        if in_flight and rng.random() < 0.5:
            key, attempt = in_flight.pop(rng.randrange(len(in_flight)))
            has_run = rng.random() < 0.3
            memory.attempt_ended(key, attempt, may_have_run=has_run)
            may_have_run |= {key} if has_run else set()
        else:
            key, attempt = rng.randrange(40), object()
            memory.record(key, attempt, now_ms)
            first_sent_ms.setdefault(key, now_ms)
            in_flight.append((key, attempt))
        busy = {key for key, _ in in_flight}
        for key in list(first_sent_ms):
            known_ms = memory.first_sent_ms(key)
            if known_ms is None:
                assert key not in may_have_run and key not in busy
                del first_sent_ms[key]
            else:
                assert known_ms == first_sent_ms[key]
