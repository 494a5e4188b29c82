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


def test_a_cache_that_refuses_connections_is_ejected_and_restored_by_health_check_and_trial() -> None:
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
    assert home_of(stage, "/a") != home  # one trial at a time
    stage.end(("trial", 0), "ok", "hit")
    assert not stage.router.endpoints.backends[home].is_ejected


def test_a_failed_health_check_lengthens_the_backoff() -> None:
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
def test_a_silent_cache_is_ejected_and_its_requests_move_on(health_checks: bool) -> None:
    stage = Stage(replace(SETTINGS, can_health_check=health_checks))
    home = home_of(stage, "/a")
    for _ in range(4):
        stage.ask("/a")
    acts = stage.wait(0.5)
    if health_checks:
        assert [a.backend for a in acts if isinstance(a, i.HealthCheck)] == [home]
        assert not stage.router.endpoints.backends[home].is_ejected  # one met seldom looks so when its source is slow
        acts += stage.give(i.HealthCheckResult(home, "timeout"))
    cancels = [a for a in acts if isinstance(a, i.Cancel)]
    assert len(cancels) == 5 and stage.router.endpoints.backends[home].is_ejected
    assert attempts(stage.end(("r1", 0), "cancelled"))[0].backend != home


def test_a_slow_origin_does_not_eject_caches_that_pass_health_checks_until_they_are_proved_silent() -> None:
    # With the origin slow for 4 s, 40 proxies ejected 129 of 160 sound caches that they met seldom.
    stage = Stage()
    home = home_of(stage, "/a")
    for _ in range(2, 10):
        assert not stage.router.endpoints.backends[home].is_ejected
        stage.ask("/a")
        for health_check in [a for a in stage.wait(1.0) if isinstance(a, i.HealthCheck)]:
            stage.give(i.HealthCheckResult(health_check.backend, "ok"))
    assert stage.router.endpoints.backends[home].is_ejected  # it hangs, whatever its health checks say


def test_failures_of_one_parent_through_several_caches_are_the_parents() -> None:
    stage = Stage(replace(SETTINGS, tells=""))
    for n in range(60):
        issued = attempts(stage.ask(f"/x{n}", name=f"n{n}"))[0]
        for key in list(stage.in_flight):
            stage.end(key, "miss" if issued.source == "p0:80" and key[1] == 0 and n % 3 == 0 else "ok")
    assert stage.router.endpoints.backends["p0:80"].is_ejected
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in (*CACHES, "p1:80"))


def test_when_all_parents_fail_alike_none_is_ejected() -> None:
    stage = Stage()
    for n in range(60):
        stage.ask(f"/x{n}", name=f"n{n}")
        for key in list(stage.in_flight):
            stage.end(key, "miss", "source_lost")
    assert not any(stage.router.endpoints.backends[p].is_ejected for p in PARENTS)


def test_an_outlying_parent_is_found_by_its_fills_however_many_hits_name_it_as_source() -> None:
    # Of 40 proxies 35 never ejected a parent that failed all its fills for 5 s: their hits spoke for it.
    stage = Stage(HITS_NOTED)
    fills_until_ejected(stage, set(), 40)
    found = fills_until_ejected(stage, {PARENTS[0]})
    assert list(found) == [PARENTS[0]] and found[PARENTS[0]] <= 6


def test_where_both_parents_fail_and_the_origin_does_not_fills_come_from_the_origin() -> None:
    # One erring, the other lost: 500 fills a second were sent to the lost one until the list named it gone.
    stage = Stage(HITS_NOTED)
    fills_until_ejected(stage, set(), 40)
    fills_until_ejected(stage, {PARENTS[0]})
    for n in range(6):
        stage.ask(f"/w{n}", "report")
        stage.end(next(reversed(stage.in_flight)), "ok")
    assert set(fills_until_ejected(stage, set(PARENTS))) == set(PARENTS)
    assert attempts(stage.ask("/z"))[0].source == ORIGIN


@pytest.mark.parametrize(("back_for", "out"), [(0.5, False), (5.0, True)])
def test_a_parent_back_from_its_fault_does_not_make_another_an_outlier(back_for: float, out: bool) -> None:
    # Its record is new: what the other went through in the meantime is no fault of its own.
    router = Stage(HITS_NOTED).router
    away, there = (router.endpoints.backends[p] for p in PARENTS)
    router.endpoints.origin = None
    router.health.eject(away)
    router.context.now += 4.0
    router.health.restore(away)
    router.context.now += back_for
    away.successes.add(router.context.now, 10.0)
    there.failures.add(router.context.now, 8.0)
    router.health.record_failure(there)
    assert there.is_ejected == out


def test_a_cache_that_answers_with_errors_alone_is_ejected_until_its_trials_succeed() -> None:
    stage = Stage(replace(SETTINGS, tells="hit"))
    stage.warm_up()
    bad = stage.router.endpoints.backends[CACHES[0]]
    assert answer_all(stage, {bad.name}, 100) <= 12 and bad.is_ejected
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES[1:])
    stage.wait(1.0)
    stage.give(i.HealthCheckResult(bad.name, "ok"))
    for good in range(4):
        assert bad.is_ejected and bad.trials_required == 4 - good  # one good answer may be chance
        while not any(a.backend == bad.name for a in stage.in_flight.values()):
            stage.ask(f"/t{stage.count}")
        for key in list(stage.in_flight):
            stage.end(key, "ok")
    assert not bad.is_ejected


def test_when_all_caches_err_alike_none_is_ejected() -> None:
    stage = Stage(replace(SETTINGS, tells="hit"))
    stage.warm_up()
    answer_all(stage, set(CACHES), 60)
    assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES)


def test_broken_connections_do_not_eject_a_backend_that_answers_meanwhile() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "ok", "hit")
    for n in range(10):
        stage.ask("/a", name=f"s{n}")
        again = attempts(stage.end((f"s{n}", 0), "reset"))
        assert [attempt.backend for attempt in again] == [home]  # the copy is at home
        stage.end((f"s{n}", 1), "ok", "hit")
    assert not stage.router.endpoints.backends[home].is_ejected


def test_resets_alone_are_no_restart_that_calls_for_slow_start() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "reset")
    stage.ask("/a")
    stage.end(("r2", 0), "reset")
    assert (
        stage.router.endpoints.backends[home].is_ejected
        and not stage.router.endpoints.backends[home].has_lost_connection
    )


def test_when_all_caches_grow_slower_alike_none_is_ejected() -> None:
    # Each goes on answering, later and later: nobody is silent, and the cause is shared.
    stage = Stage()
    for n in range(200):
        stage.ask(f"/x{n}", name=f"n{n}")
        stage.wait(0.05)
        for key in [k for k in stage.in_flight if stage.now - stage.sent_times[k] >= 0.05 + 0.01 * n]:
            stage.end(key, "ok", "hit")
        assert not any(stage.router.endpoints.backends[c].is_ejected for c in CACHES)
