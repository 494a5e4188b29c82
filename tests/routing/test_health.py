"""Ejection of outliers and silent backends, health checks, trials and the return to service."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from beechslip.routing.health import EjectionCause
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


def test_cache_that_refuses_connections_is_ejected_and_restored_by_a_health_check_and_a_trial() -> None:
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
    assert first_backend_tried(driver, "/a") != home  # only one trial at a time
    driver.finish_attempt(("trial", 0), "ok", "hit")
    assert not driver.router.endpoints.backends[home].is_ejected


def test_failed_health_check_doubles_the_ejection_time() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "connect_failed")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "reset")
    first = driver.router.endpoints.backends[home].ejection_duration
    driver.advance_time(1.0)
    driver.handle_event(i.HealthCheckResult(home, "timeout"))
    assert driver.router.endpoints.backends[home].ejection_duration == 2 * first


@pytest.mark.parametrize("health_checks", [True, False])
def test_silent_cache_is_ejected_and_its_requests_move_to_another(health_checks: bool) -> None:
    driver = RouterDriver(replace(SETTINGS, can_health_check=health_checks))
    home = first_backend_tried(driver, "/a")
    for _ in range(4):
        driver.ask("/a")
    acts = driver.advance_time(0.5)
    if health_checks:
        assert [a.backend for a in acts if isinstance(a, i.HealthCheck)] == [home]
        # At a cache with few requests a slow source looks the same.
        assert not driver.router.endpoints.backends[home].is_ejected
        acts += driver.handle_event(i.HealthCheckResult(home, "timeout"))
    cancels = [a for a in acts if isinstance(a, i.Cancel)]
    assert len(cancels) == 5 and driver.router.endpoints.backends[home].is_ejected
    assert attempts(driver.finish_attempt(("r1", 0), "cancelled"))[0].backend != home


def test_slow_origin_ejects_a_cache_that_passes_health_checks_only_after_many_overdue_attempts() -> None:
    # Guards against the ejection of healthy caches that get few requests: with the origin slow for 4 s, 40 proxies
    # ejected 129 of 160.
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    for _ in range(2, 10):
        assert not driver.router.endpoints.backends[home].is_ejected
        driver.ask("/a")
        for health_check in [a for a in driver.advance_time(1.0) if isinstance(a, i.HealthCheck)]:
            driver.handle_event(i.HealthCheckResult(health_check.backend, "ok"))
    assert driver.router.endpoints.backends[home].is_ejected  # it hangs, whatever its health checks show


def test_failures_of_one_parent_through_several_caches_eject_only_the_parent() -> None:
    driver = RouterDriver(replace(SETTINGS, tells=""))
    for n in range(60):
        issued = attempts(driver.ask(f"/x{n}", name=f"n{n}"))[0]
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "miss" if issued.source == "p0:80" and key[1] == 0 and n % 3 == 0 else "ok")
    assert driver.router.endpoints.backends["p0:80"].is_ejected
    assert not any(driver.router.endpoints.backends[c].is_ejected for c in (*CACHES, "p1:80"))


def test_no_parent_is_ejected_if_all_fail_alike() -> None:
    driver = RouterDriver()
    for n in range(60):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "miss", "source_lost")
    assert not any(driver.router.endpoints.backends[p].is_ejected for p in PARENTS)


def test_failing_parent_is_ejected_by_its_fills_however_many_hits_name_it_as_source() -> None:
    # Guards against counting hits in favour of the source: 35 of 40 proxies never ejected a parent that failed all
    # its fills for 5 s.
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    fills_until_ejected(driver, set(), 40)
    found = fills_until_ejected(driver, {PARENTS[0]})
    assert list(found) == [PARENTS[0]] and found[PARENTS[0]] <= 6


def test_fills_come_from_the_origin_if_both_parents_fail() -> None:
    # Guards against a parent that returns errors beside one that is lost: 500 fills a second were sent to the lost
    # one until the list reported it as gone.
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    fills_until_ejected(driver, set(), 40)
    fills_until_ejected(driver, {PARENTS[0]})
    for n in range(6):
        driver.ask(f"/w{n}", "report")
        driver.finish_attempt(next(reversed(driver.in_flight)), "ok")
    assert set(fills_until_ejected(driver, set(PARENTS))) == set(PARENTS)
    assert attempts(driver.ask("/z"))[0].source == ORIGIN


@pytest.mark.parametrize(("back_for_s", "is_ejected_then"), [(0.5, False), (5.0, True)])
def test_parent_just_back_in_service_does_not_make_its_peer_an_outlier(
    back_for_s: float, is_ejected_then: bool
) -> None:
    # The returned parent has no failures from the time of the fault on record, but the other one has.
    router = RouterDriver(HIT_NOTES_SETTINGS).router
    returned_parent, serving_parent = (router.endpoints.backends[p] for p in PARENTS)
    router.endpoints.origin = None
    router.health.eject(returned_parent, EjectionCause.SILENT)
    router.context.now += 4.0
    router.health.restore(returned_parent)
    router.context.now += back_for_s
    returned_parent.successes.add(router.context.now, 10.0)
    serving_parent.failures.add(router.context.now, 8.0)
    router.health.record_failure(serving_parent)
    assert serving_parent.is_ejected == is_ejected_then


def test_cache_that_only_returns_errors_is_ejected_until_its_trials_succeed() -> None:
    driver = RouterDriver(replace(SETTINGS, tells="hit"))
    driver.warm_up()
    failing = driver.router.endpoints.backends[CACHES[0]]
    assert answer_requests(driver, {failing.name}, 100) <= 12 and failing.is_ejected
    assert not any(driver.router.endpoints.backends[c].is_ejected for c in CACHES[1:])
    driver.advance_time(1.0)
    driver.handle_event(i.HealthCheckResult(failing.name, "ok"))
    for succeeded_trials in range(4):
        # One successful answer may be chance.
        assert failing.is_ejected and failing.trials_required == 4 - succeeded_trials
        while not any(a.backend == failing.name for a in driver.in_flight.values()):
            driver.ask(f"/t{driver.request_count}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok")
    assert not failing.is_ejected


def test_no_cache_is_ejected_if_all_return_errors_alike() -> None:
    driver = RouterDriver(replace(SETTINGS, tells="hit"))
    driver.warm_up()
    answer_requests(driver, set(CACHES), 60)
    assert not any(driver.router.endpoints.backends[c].is_ejected for c in CACHES)


def test_reset_connections_do_not_eject_a_cache_that_still_answers() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "ok", "hit")
    for n in range(10):
        driver.ask("/a", name=f"s{n}")
        retries = attempts(driver.finish_attempt((f"s{n}", 0), "reset"))
        assert [attempt.backend for attempt in retries] == [home]  # the cache holds the copy
        driver.finish_attempt((f"s{n}", 1), "ok", "hit")
    assert not driver.router.endpoints.backends[home].is_ejected


def test_reset_connections_do_not_count_as_a_restart() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "reset")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "reset")
    assert (
        driver.router.endpoints.backends[home].is_ejected
        and not driver.router.endpoints.backends[home].has_lost_connection
    )


def test_no_cache_is_ejected_if_all_become_slower_alike() -> None:
    # Each cache still answers, but later and later: none is silent, and the cause is shared.
    driver = RouterDriver()
    for n in range(200):
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.advance_time(0.05)
        for key in [k for k in driver.in_flight if driver.now - driver.sent_times[k] >= 0.05 + 0.01 * n]:
            driver.finish_attempt(key, "ok", "hit")
        assert not any(driver.router.endpoints.backends[c].is_ejected for c in CACHES)
