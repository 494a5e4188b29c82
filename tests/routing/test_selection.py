"""Which cache and which source an attempt goes to."""

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


def test_requests_for_a_copy_are_collapsed_at_one_cache_and_one_parent() -> None:
    driver = RouterDriver()
    issued = [attempts(driver.ask("/hot"))[0] for _ in range(5)]
    assert len({(a.backend, a.source) for a in issued}) == 1
    assert all(a.join and a.keep for a in issued)
    assert issued[0].backend in CACHES and issued[0].source in PARENTS


def test_parent_is_the_same_from_every_zone_and_for_all_parts_of_an_object() -> None:
    east, west = RouterDriver(), RouterDriver(replace(SETTINGS, zone="west"))
    for n in range(20):
        picks = {attempts(s.ask(f"/x{n}", part=p))[0].source for s in (east, west) for p in range(3)}
        assert len(picks) == 1


def test_objects_spread_over_caches_and_parents() -> None:
    driver = RouterDriver()
    issued = [attempts(driver.ask(f"/x{n}"))[0] for n in range(40)]
    assert {a.backend for a in issued} == set(CACHES)
    assert {a.source for a in issued} == set(PARENTS)


def test_without_parents_the_origin_fills() -> None:
    listed = tuple(e for e in make_endpoints() if e.kind != "parent")
    assert attempts(RouterDriver(listed=listed).ask())[0].source == ORIGIN


def test_classes_never_cached_pass_through_unjoined() -> None:
    issued = attempts(RouterDriver().ask(rule="order"))[0]
    assert not issued.join and not issued.keep and not issued.renew
    assert issued.source == ORIGIN


def test_adding_a_cache_moves_only_the_objects_it_takes() -> None:
    before = RouterDriver(listed=tuple(e for e in make_endpoints() if e.backend != CACHES[0]))
    after = RouterDriver()
    for n in range(40):
        old, new = attempts(before.ask(f"/x{n}"))[0].backend, attempts(after.ask(f"/x{n}"))[0].backend
        assert new in (old, CACHES[0])


@pytest.mark.parametrize(
    "listed", [(), make_endpoints()[4:], tuple(e for e in make_endpoints() if e.kind == "origin")]
)
def test_no_usable_cache_is_answered_at_once(listed: tuple[i.Endpoint, ...]) -> None:
    new = RouterDriver(listed=listed).ask()
    assert len(final_actions(new)) == 1 and not attempts(new)


def test_no_parent_and_no_origin_still_looks_into_the_cache_but_never_for_a_write() -> None:
    listed = make_endpoints()[:4]
    issued = attempts(RouterDriver(listed=listed).ask())[0]
    assert issued.source == issued.backend
    assert len(final_actions(RouterDriver(listed=listed).ask(rule="order"))) == 1


def test_straight_to_a_parent_only_where_allowed_and_no_cache_is_listed() -> None:
    listed = make_endpoints()[4:]
    issued = attempts(RouterDriver(replace(SETTINGS, direct=True), listed=listed).ask())[0]
    assert issued.backend in PARENTS and issued.source == ORIGIN and issued.keep == 0


@pytest.mark.parametrize(("result", "straight"), [("connect_failed", True), ("reset", False)])
def test_a_station_whose_caches_all_refuse_connections_goes_straight_to_a_parent(result: str, straight: bool) -> None:
    # Until the list named a lost station gone its requests went to dead caches, 430 a second.
    driver = RouterDriver(DIRECT_SETTINGS)
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key, attempt in list(driver.in_flight.items()):
            if attempt.backend in CACHES:
                driver.finish_attempt(key, result)
    issued = attempts(driver.ask("/a"))
    assert [a.backend in PARENTS for a in issued] == [straight] and (not straight or issued[0].source == ORIGIN)
    back = next(p for p in (driver.advance_time(1.0)) if isinstance(p, i.HealthCheck))
    driver.handle_event(i.HealthCheckResult(back.backend, "ok"))
    assert back.backend in {a.backend for n in range(60) for a in attempts(driver.ask(f"/y{n}"))}  # its trial


def test_a_station_left_with_a_cache_that_only_errs_goes_straight_to_a_parent() -> None:
    # Its sound caches lost, seven proxies sent one bad cache 130 requests a second that all ended in errors.
    driver = RouterDriver(replace(DIRECT_SETTINGS, tells="hit"))
    driver.warm_up()
    bad = driver.router.endpoints.backends[CACHES[0]]
    answer_requests(driver, {bad.name}, 100)
    assert bad.ejected and bad.is_error_outlier
    driver.now += 0.4
    for n in range(60):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key, attempt in list(driver.in_flight.items()):
            driver.finish_attempt(key, "connect_failed" if attempt.backend in CACHES[1:] else "ok")
    warming = tuple(replace(e, started=driver.now) for e in make_endpoints() if e.backend in CACHES[2:])
    for back in ((), warming):  # the lost ones may come back in slow start, with no allowance yet
        driver.handle_event(i.EndpointList("changes", back))
        met = [a for n in range(40) for a in attempts(driver.ask(f"/y{n}"))]
        straight = [a for a in met if a.backend in PARENTS and a.source == ORIGIN]
        assert len(met) == 40 and len(straight) >= 36 and bad.name not in {a.backend for a in met}


@pytest.mark.parametrize("direct", [True, False])
def test_what_a_warming_station_may_not_take_goes_straight_to_a_parent(direct: bool) -> None:
    warming = {c.split(":")[0]: {"started": 1000.0} for c in CACHES}
    driver = RouterDriver(replace(DIRECT_SETTINGS, direct=direct), listed=make_endpoints(**warming))
    issued = [attempts(driver.ask(f"/x{n}", size=2000.0)) for n in range(60)]
    to = Counter(a.backend for some in issued for a in some)
    assert sum(to[c] for c in CACHES) < 30
    assert all(issued) == direct and (sum(to[p] for p in PARENTS) > 20) == direct


def test_when_every_cache_is_ejected_requests_still_go_somewhere() -> None:
    driver = RouterDriver()
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "reset")
    assert all(driver.router.endpoints.backends[c].ejected for c in CACHES)
    assert attempts(driver.ask("/a"))
