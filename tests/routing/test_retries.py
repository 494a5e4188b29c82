"""When another attempt is made, and the final answer of a request that gets none."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from beechslip.routing.health import EjectionCause
from tests.helpers import SETTINGS, RouterDriver, attempts, final_actions


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_request_that_may_have_run_is_failed_and_not_retried(result: str) -> None:
    driver = RouterDriver()
    driver.ask(rule="order")
    new = driver.finish_attempt(("r1", 0), result)
    assert [type(a) for a in final_actions(new)] == [i.Fail] and not attempts(new)


@pytest.mark.parametrize("result", ["full", "connect_failed", "miss"])
def test_unsafe_request_that_was_not_executed_is_retried(result: str) -> None:
    driver = RouterDriver()
    driver.ask(rule="order")
    assert len(attempts(driver.finish_attempt(("r1", 0), result))) == 1


def test_keyed_request_is_retried_only_within_its_repeat_window() -> None:
    driver = RouterDriver()
    driver.ask(rule="report", left=3.0)
    driver.now += 0.2
    assert len(attempts(driver.finish_attempt(("r1", 0), "reset"))) == 1
    driver.now += 1.9
    new = driver.finish_attempt(("r1", 1), "reset")
    assert not attempts(new) and len(final_actions(new)) == 1


@pytest.mark.parametrize("group", ["zone", "cell", ""])
def test_keyed_request_that_may_have_run_is_failed_if_not_all_backends_discard_repeats(group: str) -> None:
    rule = replace(SETTINGS.classes["report"], group=group)
    driver = RouterDriver(replace(SETTINGS, classes={"report": rule}))
    driver.ask(rule="report")
    assert [type(a) for a in final_actions(driver.finish_attempt(("r1", 0), "reset"))] == [i.Fail]


def test_request_never_has_two_attempts_in_flight() -> None:
    driver = RouterDriver(replace(SETTINGS, hedging=False))
    for n in range(20):
        driver.ask(f"/x{n}")
    for _ in range(30):
        driver.advance_time(0.2)
        assert max(Counter(name for name, _ in driver.in_flight).values()) == 1


def test_failed_fill_after_the_latency_objective_is_rejected_with_retry_after() -> None:
    driver = RouterDriver()
    driver.ask("/a", "big")
    driver.now += 2.0
    new = final_actions(driver.finish_attempt(("r1", 0), "miss", "origin_failed"))
    assert isinstance(new[0], i.Refuse) and 0.0 < new[0].retry_after <= 1.0


def test_early_failed_fill_is_retried_at_another_source() -> None:
    driver = RouterDriver()
    first = attempts(driver.ask("/a"))[0]
    second = attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))[0]
    assert (second.backend, second.source) != (first.backend, first.source) and second.source != first.source


@pytest.mark.parametrize(("result", "ended"), [("connect_failed", True), ("moot", True), ("reset", False)])
def test_request_that_reached_no_backend_ends_before_half_of_its_time(result: str, ended: bool) -> None:
    driver = RouterDriver()
    driver.ask("/a", left=2.0, name="r")
    driver.now += 0.95
    assert bool(final_actions(driver.finish_attempt(("r", 0), result))) == ended


def test_attempts_and_retries_are_bounded_if_all_attempts_fail() -> None:
    driver = RouterDriver()
    for n in range(300):
        driver.ask(f"/x{n}", name=f"n{n}")
        while driver.in_flight:
            driver.finish_attempt(next(iter(driver.in_flight)), "error", "origin_failed")
    assert max(driver.attempt_counts.values()) <= 4
    assert sum(driver.attempt_counts.values()) <= 300 + 300 * 0.1 + 10


@pytest.mark.parametrize(("result", "after_s"), [("reset", 0.001), ("reset", 0.3), ("error", 0.001)])
def test_successful_retries_use_no_budget(result: str, after_s: float) -> None:
    # Guards against a budget that successful retries use up: with resets or a bad cache at 15 of 100 attempts, a
    # budget of 10 was spent and all further failures were rejected.
    driver, failed_attempts = RouterDriver(), 0
    for n in range(400):
        driver.now += 0.02
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.now += after_s
        if n % 5 == 0:
            failed_attempts += 1
            driver.finish_attempt((f"n{n}", 0), result)
            for backend in driver.router.endpoints.backends.values():
                backend.reset_health()
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok", "hit")
    assert sum(count - 1 for count in driver.attempt_counts.values()) == failed_attempts


# Guards against clients that are all given the same time and return in one burst.
def test_retry_after_differs_between_clients() -> None:
    driver = RouterDriver()
    for backend in driver.router.endpoints.backends.values():
        driver.router.health.eject(backend, EjectionCause.SILENT)
    waits = [driver.router.retries.retry_after() for _ in range(50)]
    soonest = min(b.ejected_until for b in driver.router.endpoints.backends.values() if b.is_ejected) - driver.now
    assert len(set(waits)) == 50 and min(waits) >= soonest and max(waits) - min(waits) > 0.2 * soonest
