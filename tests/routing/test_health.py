"""Ejection of outliers and silent backends, health checks, trials and the return to service."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import (
    CACHES,
    HITS_NOTED,
    ORIGIN,
    PARENTS,
    SETTINGS,
    Stage,
    answer_all,
    attempts,
    fills_until_ejected,
    home_of,
)


def test_cache_that_refuses_connections_is_ejected_and_restored_by_a_health_check_and_a_trial() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "connect_failed")
    stage.ask("/a")
    stage.end(("r2", 0), "connect_failed")
    assert home_of(stage, "/a") != home
    health_checks = [a for a in stage.wait(1.0) if isinstance(a, i.HealthCheck)]
    assert home in [p.backend for p in health_checks]
    stage.give(i.HealthCheckResult(home, "ok"))
    trial = attempts(stage.ask("/a", name="trial"))[0]
    assert trial.backend == home
    assert home_of(stage, "/a") != home  # only one trial at a time
    stage.end(("trial", 0), "ok", "hit")
    assert not stage.router.endpoints.backends[home].is_ejected


def test_failed_health_check_doubles_the_ejection_time() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "connect_failed")
    stage.ask("/a")
    stage.end(("r2", 0), "reset")
    first = stage.router.endpoints.backends[home].ejection_duration
    stage.wait(1.0)
    stage.give(i.HealthCheckResult(home, "timeout"))
    assert stage.router.endpoints.backends[home].ejection_duration == 2 * first


@pytest.mark.parametrize("health_checks", [True, False])
def test_silent_cache_is_ejected_and_its_requests_move_to_another(health_checks: bool) -> None:
    stage = Stage(replace(SETTINGS, can_health_check=health_checks))
    home = home_of(stage, "/a")
    for _ in range(4):
        stage.ask("/a")
    acts = stage.wait(0.5)
    if health_checks:
        assert [a.backend for a in acts if isinstance(a, i.HealthCheck)] == [home]
        # At a cache with few requests a slow source looks the same.
        assert not stage.router.endpoints.backends[home].is_ejected
        acts += stage.give(i.HealthCheckResult(home, "timeout"))
    cancels = [a for a in acts if isinstance(a, i.Cancel)]
    assert len(cancels) == 5 and stage.router.endpoints.backends[home].is_ejected
    assert attempts(stage.end(("r1", 0), "cancelled"))[0].backend != home


def test_slow_origin_ejects_a_cache_that_passes_health_checks_only_after_many_overdue_attempts() -> None:
    # Guards against the ejection of healthy caches that get few requests: with the origin slow for 4 s, 40 proxies
    # ejected 129 of 160.
    stage = Stage()
    home = home_of(stage, "/a")
    for _ in range(2, 10):
        assert not stage.router.endpoints.backends[home].is_ejected
        stage.ask("/a")
        for health_check in [a for a in stage.wait(1.0) if isinstance(a, i.HealthCheck)]:
            stage.give(i.HealthCheckResult(health_check.backend, "ok"))
    assert stage.router.endpoints.backends[home].is_ejected  # it hangs, whatever its health checks show


def test_failures_of_one_parent_through_several_caches_eject_only_the_parent() -> None:
    stage = Stage(replace(SETTINGS, tells=""))
    for n in range(60):
        issued = attempts(stage.ask(f"/x{n}", name=f"n{n}"))[0]
        for key in list(stage.in_flight):
            stage.end(key, "miss" if issued.source == "p0:80" and key[1] == 0 and n % 3 == 0 else "ok")
    assert stage.router.endpoints.backends["p0:80"].is_ejected
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in (*CACHES, "p1:80"))


def test_no_parent_is_ejected_if_all_fail_alike() -> None:
    stage = Stage()
    for n in range(60):
        stage.ask(f"/x{n}", name=f"n{n}")
        for key in list(stage.in_flight):
            stage.end(key, "miss", "source_lost")
    assert not any(stage.router.endpoints.backends[p].is_ejected for p in PARENTS)


def test_failing_parent_is_ejected_by_its_fills_however_many_hits_name_it_as_source() -> None:
    # Guards against counting hits in favour of the source: 35 of 40 proxies never ejected a parent that failed all
    # its fills for 5 s.
    stage = Stage(HITS_NOTED)
    fills_until_ejected(stage, set(), 40)
    found = fills_until_ejected(stage, {PARENTS[0]})
    assert list(found) == [PARENTS[0]] and found[PARENTS[0]] <= 6


def test_fills_come_from_the_origin_if_both_parents_fail() -> None:
    # Guards against a parent that returns errors beside one that is lost: 500 fills a second were sent to the lost
    # one until the list reported it as gone.
    stage = Stage(HITS_NOTED)
    fills_until_ejected(stage, set(), 40)
    fills_until_ejected(stage, {PARENTS[0]})
    for n in range(6):
        stage.ask(f"/w{n}", "report")
        stage.end(next(reversed(stage.in_flight)), "ok")
    assert set(fills_until_ejected(stage, set(PARENTS))) == set(PARENTS)
    assert attempts(stage.ask("/z"))[0].source == ORIGIN


@pytest.mark.parametrize(("back_for_s", "is_ejected_then"), [(0.5, False), (5.0, True)])
def test_parent_just_back_in_service_does_not_make_its_peer_an_outlier(
    back_for_s: float, is_ejected_then: bool
) -> None:
    # The returned parent has no failures from the time of the fault on record, but the other one has.
    router = Stage(HITS_NOTED).router
    returned_parent, serving_parent = (router.endpoints.backends[p] for p in PARENTS)
    router.endpoints.origin = None
    router.health.eject(returned_parent)
    router.context.now += 4.0
    router.health.restore(returned_parent)
    router.context.now += back_for_s
    returned_parent.successes.add(router.context.now, 10.0)
    serving_parent.failures.add(router.context.now, 8.0)
    router.health.record_failure(serving_parent)
    assert serving_parent.is_ejected == is_ejected_then


def test_cache_that_only_returns_errors_is_ejected_until_its_trials_succeed() -> None:
    stage = Stage(replace(SETTINGS, tells="hit"))
    stage.warm_up()
    failing = stage.router.endpoints.backends[CACHES[0]]
    assert answer_all(stage, {failing.name}, 100) <= 12 and failing.is_ejected
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES[1:])
    stage.wait(1.0)
    stage.give(i.HealthCheckResult(failing.name, "ok"))
    for succeeded_trials in range(4):
        # One successful answer may be chance.
        assert failing.is_ejected and failing.trials_required == 4 - succeeded_trials
        while not any(a.backend == failing.name for a in stage.in_flight.values()):
            stage.ask(f"/t{stage.count}")
        for key in list(stage.in_flight):
            stage.end(key, "ok")
    assert not failing.is_ejected


def test_no_cache_is_ejected_if_all_return_errors_alike() -> None:
    stage = Stage(replace(SETTINGS, tells="hit"))
    stage.warm_up()
    answer_all(stage, set(CACHES), 60)
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES)


def test_reset_connections_do_not_eject_a_cache_that_still_answers() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "ok", "hit")
    for n in range(10):
        stage.ask("/a", name=f"s{n}")
        retries = attempts(stage.end((f"s{n}", 0), "reset"))
        assert [attempt.backend for attempt in retries] == [home]  # the cache holds the copy
        stage.end((f"s{n}", 1), "ok", "hit")
    assert not stage.router.endpoints.backends[home].is_ejected


def test_reset_connections_do_not_count_as_a_restart() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "reset")
    stage.ask("/a")
    stage.end(("r2", 0), "reset")
    assert (
        stage.router.endpoints.backends[home].is_ejected
        and not stage.router.endpoints.backends[home].has_lost_connection
    )


def test_no_cache_is_ejected_if_all_become_slower_alike() -> None:
    # Each cache still answers, but later and later: none is silent, and the cause is shared.
    stage = Stage()
    for n in range(200):
        stage.ask(f"/x{n}", name=f"n{n}")
        stage.wait(0.05)
        for key in [k for k in stage.in_flight if stage.now - stage.sent_times[k] >= 0.05 + 0.01 * n]:
            stage.end(key, "ok", "hit")
        assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES)
