"""When another attempt is made, and what a request that gets none is answered."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import SETTINGS, RouterDriver, attempts, final_actions


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_that_may_have_run_is_failed_never_retried_or_rejected(result: str) -> None:
    driver = RouterDriver()
    driver.ask(rule="order")
    new = driver.finish_attempt(("r1", 0), result)
    assert [type(a) for a in final_actions(new)] == [i.Fail] and not attempts(new)


@pytest.mark.parametrize("result", ["full", "connect_failed", "miss"])
def test_unsafe_proven_not_executed_may_be_retried(result: str) -> None:
    driver = RouterDriver()
    driver.ask(rule="order")
    assert len(attempts(driver.finish_attempt(("r1", 0), result))) == 1


def test_keyed_is_retried_only_within_its_window() -> None:
    driver = RouterDriver()
    driver.ask(rule="report", left=3.0)
    driver.now += 0.2
    assert len(attempts(driver.finish_attempt(("r1", 0), "reset"))) == 1
    driver.now += 1.9
    new = driver.finish_attempt(("r1", 1), "reset")
    assert not attempts(new) and len(final_actions(new)) == 1


@pytest.mark.parametrize("group", ["zone", "cell", ""])
def test_keyed_in_a_narrow_group_is_failed_when_it_may_have_run(group: str) -> None:
    rule = replace(SETTINGS.classes["report"], group=group)
    driver = RouterDriver(replace(SETTINGS, classes={"report": rule}))
    driver.ask(rule="report")
    assert [type(a) for a in final_actions(driver.finish_attempt(("r1", 0), "reset"))] == [i.Fail]


def test_no_two_attempts_of_a_request_are_in_flight_together() -> None:
    driver = RouterDriver(replace(SETTINGS, hedging=False))
    for n in range(20):
        driver.ask(f"/x{n}")
    for _ in range(30):
        driver.advance_time(0.2)
        assert max(Counter(name for name, _ in driver.in_flight).values()) == 1


def test_a_long_wait_on_a_failed_fill_is_rejected_at_once_with_retry_after() -> None:
    driver = RouterDriver()
    driver.ask("/a", "big")
    driver.now += 2.0
    new = final_actions(driver.finish_attempt(("r1", 0), "miss", "origin_failed"))
    assert isinstance(new[0], i.Refuse) and 0.0 < new[0].retry_after <= 1.0


def test_a_short_wait_tries_another_source() -> None:
    driver = RouterDriver()
    first = attempts(driver.ask("/a"))[0]
    second = attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))[0]
    assert (second.backend, second.source) != (first.backend, first.source) and second.source != first.source


@pytest.mark.parametrize(("result", "ended"), [("connect_failed", True), ("moot", True), ("reset", False)])
def test_a_request_that_no_backend_has_seen_is_ended_before_half_of_its_time(result: str, ended: bool) -> None:
    driver = RouterDriver()
    driver.ask("/a", left=2.0, name="r")
    driver.now += 0.95
    assert bool(final_actions(driver.finish_attempt(("r", 0), result))) == ended


def test_attempts_and_retries_are_bounded_when_everything_fails() -> None:
    driver = RouterDriver()
    for n in range(300):
        driver.ask(f"/x{n}", name=f"n{n}")
        while driver.in_flight:
            driver.finish_attempt(next(iter(driver.in_flight)), "error", "origin_failed")
    assert max(driver.attempt_counts.values()) <= 4
    assert sum(driver.attempt_counts.values()) <= 300 + 300 * 0.1 + 10


@pytest.mark.parametrize(("result", "after"), [("reset", 0.001), ("reset", 0.3), ("error", 0.001)])
def test_retries_that_are_served_use_up_no_budget(result: str, after: float) -> None:
    # Resets or a bad cache that struck 15 of 100 attempts used up a budget of 10: the rest was rejected.
    driver, struck = RouterDriver(), 0
    for n in range(400):
        driver.now += 0.02
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.now += after
        if n % 5 == 0:
            struck += 1
            driver.finish_attempt((f"n{n}", 0), result)
            for backend in driver.router.endpoints.backends.values():
                backend.reset_health()
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok", "hit")
    assert sum(count - 1 for count in driver.attempt_counts.values()) == struck


# Guards against clients that are all told one instant, and return in one burst.
def test_clients_are_told_to_return_at_different_moments() -> None:
    driver = RouterDriver()
    for backend in driver.router.endpoints.backends.values():
        driver.router.health.eject(backend)
    waits = [driver.router.retries.retry_after() for _ in range(50)]
    soonest = min(b.ejected_until for b in driver.router.endpoints.backends.values() if b.ejected) - driver.now
    assert len(set(waits)) == 50 and min(waits) >= soonest and max(waits) - min(waits) > 0.2 * soonest
