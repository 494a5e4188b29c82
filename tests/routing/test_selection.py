"""Selection of the cache and the source of an attempt."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import (
    CACHES,
    DIRECT_SETTINGS,
    ORIGIN,
    PARENTS,
    SETTINGS,
    RouterDriver,
    answer_requests,
    attempts,
    final_actions,
    make_endpoints,
)


def test_requests_for_a_copy_go_to_one_cache_and_one_parent() -> None:
    driver = RouterDriver()
    issued = [attempts(driver.ask("/hot"))[0] for _ in range(5)]
    assert len({(a.backend, a.source) for a in issued}) == 1
    assert all(a.join and a.keep for a in issued)
    assert issued[0].backend in CACHES and issued[0].source in PARENTS


def test_parent_of_an_object_is_the_same_in_all_zones_and_for_all_parts() -> None:
    east, west = RouterDriver(), RouterDriver(replace(SETTINGS, zone="west"))
    for n in range(20):
        picks = {attempts(s.ask(f"/x{n}", part=p))[0].source for s in (east, west) for p in range(3)}
        assert len(picks) == 1


def test_objects_are_spread_over_caches_and_parents() -> None:
    driver = RouterDriver()
    issued = [attempts(driver.ask(f"/x{n}"))[0] for n in range(40)]
    assert {a.backend for a in issued} == set(CACHES)
    assert {a.source for a in issued} == set(PARENTS)


def test_origin_fills_if_there_are_no_parents() -> None:
    listed = tuple(e for e in make_endpoints() if e.kind != "parent")
    assert attempts(RouterDriver(listed=listed).ask())[0].source == ORIGIN


def test_class_that_is_never_cached_is_filled_by_the_origin_without_joining() -> None:
    issued = attempts(RouterDriver().ask(rule="order"))[0]
    assert not issued.join and not issued.keep and not issued.renew
    assert issued.source == ORIGIN


def test_added_cache_moves_only_the_objects_that_it_takes() -> None:
    before = RouterDriver(listed=tuple(e for e in make_endpoints() if e.backend != CACHES[0]))
    after = RouterDriver()
    for n in range(40):
        old, new = attempts(before.ask(f"/x{n}"))[0].backend, attempts(after.ask(f"/x{n}"))[0].backend
        assert new in (old, CACHES[0])


@pytest.mark.parametrize(
    "listed", [(), make_endpoints()[4:], tuple(e for e in make_endpoints() if e.kind == "origin")]
)
def test_request_is_answered_at_once_if_no_cache_is_usable(listed: tuple[i.Endpoint, ...]) -> None:
    new = RouterDriver(listed=listed).ask()
    assert len(final_actions(new)) == 1 and not attempts(new)


def test_without_any_source_reads_are_cached_only_and_writes_are_rejected() -> None:
    listed = make_endpoints()[:4]
    issued = attempts(RouterDriver(listed=listed).ask())[0]
    assert issued.source == issued.backend
    assert len(final_actions(RouterDriver(listed=listed).ask(rule="order"))) == 1


def test_request_goes_directly_to_a_parent_if_permitted_and_no_cache_is_listed() -> None:
    listed = make_endpoints()[4:]
    issued = attempts(RouterDriver(replace(SETTINGS, direct=True), listed=listed).ask())[0]
    assert issued.backend in PARENTS and issued.source == ORIGIN and issued.keep == 0


@pytest.mark.parametrize(("result", "is_direct"), [("connect_failed", True), ("reset", False)])
def test_zone_whose_caches_all_refuse_connections_sends_directly_to_a_parent(result: str, is_direct: bool) -> None:
    # Guards against a lost zone whose requests went to dead caches, 430 a second, until the endpoint list reported
    # them as gone.
    driver = RouterDriver(DIRECT_SETTINGS)
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key, attempt in list(driver.in_flight.items()):
            if attempt.backend in CACHES:
                driver.finish_attempt(key, result)
    issued = attempts(driver.ask("/a"))
    assert [a.backend in PARENTS for a in issued] == [is_direct] and (not is_direct or issued[0].source == ORIGIN)
    back = next(p for p in (driver.advance_time(1.0)) if isinstance(p, i.HealthCheck))
    driver.handle_event(i.HealthCheckResult(back.backend, "ok"))
    assert back.backend in {a.backend for n in range(60) for a in attempts(driver.ask(f"/y{n}"))}  # its trial


def test_zone_left_with_a_cache_that_only_returns_errors_sends_directly_to_a_parent() -> None:
    # Guards against a zone that has lost its healthy caches: seven proxies sent the remaining faulty cache 130
    # requests a second, which all ended in errors.
    driver = RouterDriver(replace(DIRECT_SETTINGS, tells="hit"))
    driver.warm_up()
    failing = driver.router.endpoints.backends[CACHES[0]]
    answer_requests(driver, {failing.name}, 100)
    assert failing.is_ejected and failing.is_error_outlier
    driver.now += 0.4
    for n in range(60):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key, attempt in list(driver.in_flight.items()):
            driver.finish_attempt(key, "connect_failed" if attempt.backend in CACHES[1:] else "ok")
    warming = tuple(replace(e, started=driver.now) for e in make_endpoints() if e.backend in CACHES[2:])
    for back in ((), warming):  # the lost caches may come back in slow start, with no allowance yet
        driver.handle_event(i.EndpointList("changes", back))
        sent = [a for n in range(40) for a in attempts(driver.ask(f"/y{n}"))]
        direct = [a for a in sent if a.backend in PARENTS and a.source == ORIGIN]
        assert len(sent) == 40 and len(direct) >= 36 and failing.name not in {a.backend for a in sent}


@pytest.mark.parametrize("direct", [True, False])
def test_excess_over_the_slow_start_of_a_zone_goes_directly_to_a_parent(direct: bool) -> None:
    warming = {c.split(":")[0]: {"started": 1000.0} for c in CACHES}
    driver = RouterDriver(replace(DIRECT_SETTINGS, direct=direct), listed=make_endpoints(**warming))
    issued = [attempts(driver.ask(f"/x{n}", size=2000.0)) for n in range(60)]
    to = Counter(a.backend for some in issued for a in some)
    assert sum(to[c] for c in CACHES) < 30
    assert all(issued) == direct and (sum(to[p] for p in PARENTS) > 20) == direct


def test_request_is_still_sent_if_every_cache_is_ejected() -> None:
    driver = RouterDriver()
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "reset")
    assert all(driver.router.endpoints.backends[c].is_ejected for c in CACHES)
    assert attempts(driver.ask("/a"))
