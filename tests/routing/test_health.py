"""Ejection of outliers and silent backends, health checks, trials and the return to service."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import (
    CACHES,
    HIT_NOTES_SETTINGS,
    ORIGIN,
    PARENTS,
    SETTINGS,
    RouterDriver,
    answer_requests,
    attempts,
    fills_until_ejected,
    first_backend_tried,
)


def test_a_cache_that_refuses_connections_is_ejected_and_restored_by_health_check_and_trial() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "connect_failed")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "connect_failed")
    assert first_backend_tried(driver, "/a") != home
    health_checks = [a for a in driver.advance_time(1.0) if isinstance(a, i.HealthCheck)]
    assert home in [p.backend for p in health_checks]
    driver.handle_event(i.HealthCheckResult(home, "ok"))
    trial = attempts(driver.ask("/a", name="trial"))[0]
    assert trial.backend == home
    assert first_backend_tried(driver, "/a") != home  # one trial at a time
    driver.finish_attempt(("trial", 0), "ok", "hit")
    assert not driver.router.endpoints.backends[home].ejected


def test_a_failed_health_check_lengthens_the_backoff() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "connect_failed")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "reset")
    first = driver.router.endpoints.backends[home].backoff
    driver.advance_time(1.0)
    driver.handle_event(i.HealthCheckResult(home, "timeout"))
    assert driver.router.endpoints.backends[home].backoff == 2 * first


@pytest.mark.parametrize("health_checks", [True, False])
def test_a_silent_cache_is_ejected_and_its_requests_move_on(health_checks: bool) -> None:
    driver = RouterDriver(replace(SETTINGS, can_health_check=health_checks))
    home = first_backend_tried(driver, "/a")
    for _ in range(4):
        driver.ask("/a")
    acts = driver.advance_time(0.5)
    if health_checks:
        assert [a.backend for a in acts if isinstance(a, i.HealthCheck)] == [home]
        assert not driver.router.endpoints.backends[home].ejected  # one met seldom looks so when its source is slow
        acts += driver.handle_event(i.HealthCheckResult(home, "timeout"))
    cancels = [a for a in acts if isinstance(a, i.Cancel)]
    assert len(cancels) == 5 and driver.router.endpoints.backends[home].ejected
    assert attempts(driver.finish_attempt(("r1", 0), "cancelled"))[0].backend != home


def test_a_slow_origin_does_not_eject_caches_that_pass_health_checks_until_they_are_proved_silent() -> None:
    # With the origin slow for 4 s, 40 proxies ejected 129 of 160 sound caches that they met seldom.
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    for _ in range(2, 10):
        assert not driver.router.endpoints.backends[home].ejected
        driver.ask("/a")
        for health_check in [a for a in driver.advance_time(1.0) if isinstance(a, i.HealthCheck)]:
            driver.handle_event(i.HealthCheckResult(health_check.backend, "ok"))
    assert driver.router.endpoints.backends[home].ejected  # it hangs, whatever its health checks say


def test_failures_of_one_parent_through_several_caches_are_the_parents() -> None:
    driver = RouterDriver(replace(SETTINGS, tells=""))
    for n in range(60):
        issued = attempts(driver.ask(f"/x{n}", name=f"n{n}"))[0]
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "miss" if issued.source == "p0:80" and key[1] == 0 and n % 3 == 0 else "ok")
    assert driver.router.endpoints.backends["p0:80"].ejected
    assert not any(driver.router.endpoints.backends[c].ejected for c in (*CACHES, "p1:80"))


def test_when_all_parents_fail_alike_none_is_ejected() -> None:
    driver = RouterDriver()
    for n in range(60):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "miss", "source_lost")
    assert not any(driver.router.endpoints.backends[p].ejected for p in PARENTS)


def test_an_outlying_parent_is_found_by_its_fills_however_many_hits_name_it_as_source() -> None:
    # Of 40 proxies 35 never ejected a parent that failed all its fills for 5 s: their hits spoke for it.
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    fills_until_ejected(driver, set(), 40)
    found = fills_until_ejected(driver, {PARENTS[0]})
    assert list(found) == [PARENTS[0]] and found[PARENTS[0]] <= 6


def test_where_both_parents_fail_and_the_origin_does_not_fills_come_from_the_origin() -> None:
    # One erring, the other lost: 500 fills a second were sent to the lost one until the list named it gone.
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    fills_until_ejected(driver, set(), 40)
    fills_until_ejected(driver, {PARENTS[0]})
    for n in range(6):
        driver.ask(f"/w{n}", "report")
        driver.finish_attempt(next(reversed(driver.in_flight)), "ok")
    assert set(fills_until_ejected(driver, set(PARENTS))) == set(PARENTS)
    assert attempts(driver.ask("/z"))[0].source == ORIGIN


@pytest.mark.parametrize(("back_for", "out"), [(0.5, False), (5.0, True)])
def test_a_parent_back_from_its_fault_does_not_make_another_an_outlier(back_for: float, out: bool) -> None:
    # Its record is new: what the other went through in the meantime is no fault of its own.
    router = RouterDriver(HIT_NOTES_SETTINGS).router
    away, there = (router.endpoints.backends[p] for p in PARENTS)
    router.endpoints.origin = None
    router.health.eject(away)
    router.context.now += 4.0
    router.health.restore(away)
    router.context.now += back_for
    away.successes.add(router.context.now, 10.0)
    there.failures.add(router.context.now, 8.0)
    router.health.record_failure(there)
    assert there.ejected == out


def test_a_cache_that_answers_with_errors_alone_is_ejected_until_its_trials_succeed() -> None:
    driver = RouterDriver(replace(SETTINGS, tells="hit"))
    driver.warm_up()
    bad = driver.router.endpoints.backends[CACHES[0]]
    assert answer_requests(driver, {bad.name}, 100) <= 12 and bad.ejected
    assert not any(driver.router.endpoints.backends[c].ejected for c in CACHES[1:])
    driver.advance_time(1.0)
    driver.handle_event(i.HealthCheckResult(bad.name, "ok"))
    for good in range(4):
        assert bad.ejected and bad.trials_required == 4 - good  # one good answer may be chance
        while not any(a.backend == bad.name for a in driver.in_flight.values()):
            driver.ask(f"/t{driver.request_count}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok")
    assert not bad.ejected


def test_when_all_caches_err_alike_none_is_ejected() -> None:
    driver = RouterDriver(replace(SETTINGS, tells="hit"))
    driver.warm_up()
    answer_requests(driver, set(CACHES), 60)
    assert not any(driver.router.endpoints.backends[c].ejected for c in CACHES)


def test_broken_connections_do_not_eject_a_backend_that_answers_meanwhile() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "ok", "hit")
    for n in range(10):
        driver.ask("/a", name=f"s{n}")
        again = attempts(driver.finish_attempt((f"s{n}", 0), "reset"))
        assert [attempt.backend for attempt in again] == [home]  # the copy is at home
        driver.finish_attempt((f"s{n}", 1), "ok", "hit")
    assert not driver.router.endpoints.backends[home].ejected


def test_resets_alone_are_no_restart_that_calls_for_slow_start() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "reset")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "reset")
    assert (
        driver.router.endpoints.backends[home].ejected and not driver.router.endpoints.backends[home].connection_lost
    )


def test_when_all_caches_grow_slower_alike_none_is_ejected() -> None:
    # Each goes on answering, later and later: nobody is silent, and the cause is shared.
    driver = RouterDriver()
    for n in range(200):
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.advance_time(0.05)
        for key in [k for k in driver.in_flight if driver.now - driver.sent_times[k] >= 0.05 + 0.01 * n]:
            driver.finish_attempt(key, "ok", "hit")
        assert not any(driver.router.endpoints.backends[c].ejected for c in CACHES)
