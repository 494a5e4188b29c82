"""Concurrency limits of backends and the throttles on fills."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from beechslip.routing.tallies import MIN_FILL_FRACTION
from tests.helpers import (
    CACHES,
    DIRECT_SETTINGS,
    HIT_NOTES_SETTINGS,
    PARENTS,
    SETTINGS,
    RouterDriver,
    attempts,
    final_actions,
    first_backend_tried,
    make_endpoints,
)


def test_short_deadlines_neither_eject_a_cache_nor_lower_any_limit() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "ok", "hit")
    for n in range(30):
        driver.ask("/a", name=f"h{n}", left=0.06, size=40.0)  # enough time for the transfer, but little more
        driver.advance_time(0.06)
        driver.finish_attempt((f"h{n}", 0), "timeout")
    backend = driver.router.endpoints.backends[home]
    assert (
        not backend.is_ejected
        and backend.concurrency_limit == math.inf
        and driver.router.limits.parent_fills.fraction == 1.0
    )


@pytest.mark.parametrize(("tells", "is_lowered"), [("hit", False), ("all", False), ("", True)])
def test_timeout_lowers_the_cache_limit_only_where_notes_do_not_tell_hits(tells: str, is_lowered: bool) -> None:
    # A slow origin must not make caches appear full that serve their own copies at once.
    driver = RouterDriver(replace(SETTINGS, tells=tells))
    home = first_backend_tried(driver, "/a")
    for n in range(30):
        driver.ask("/a", name=f"t{n}", left=2.0)
        driver.now += 2.0
        driver.finish_attempt((f"t{n}", 0), "timeout")
    assert (
        driver.router.endpoints.backends[home].concurrency_limit < math.inf
    ) == is_lowered and driver.router.limits.parent_fills.fraction < 1.0


def test_fill_throttle_recovers_within_two_seconds_of_timely_fills() -> None:
    # After congestion has ended, each further second of a low fill fraction costs a third of all requests.
    driver = RouterDriver(replace(SETTINGS, tells="hit"))
    driver.router.limits.parent_fills.fraction = MIN_FILL_FRACTION
    for _ in range(20):
        driver.now += 0.1
        driver.ask("/a", size=1.0)
        for key in list(driver.in_flight):
            driver.now += 0.01
            driver.finish_attempt(key, "ok", "filled")
    assert driver.router.limits.parent_fills.fraction == 1.0


def test_direct_requests_respect_the_concurrency_limit_of_the_parent() -> None:
    # Guards against a zone that has lost its caches and crowds the parents with its requests: zones with healthy
    # caches lost two requests in five.
    driver = RouterDriver(DIRECT_SETTINGS, listed=tuple(e for e in make_endpoints() if e.backend not in CACHES))
    for n in range(200):
        driver.ask(f"/x{n}", name=f"n{n}", left=2.0)
    driver.now += 2.0
    for key in list(driver.in_flight):
        driver.finish_attempt(key, "timeout")
    assert all(driver.router.endpoints.backends[p].concurrency_limit < math.inf for p in PARENTS)
    asked = [a for n in range(200) for a in driver.ask(f"/y{n}", size=100.0 + 50 * (n % 20))]
    assert 100 < len(attempts(asked)) < 180 and len(final_actions(asked)) == 200 - len(attempts(asked))


@pytest.mark.parametrize(("late", "is_cut"), [(1, False), (4, True)])
def test_concurrency_limit_is_cut_by_four_late_answers_in_forty(late: int, is_cut: bool) -> None:
    # Guards against a cache at half its speed whose neighbour had failed: 15 to 25 of 100 answers were late for
    # 10 s while another cache was idle. A third, the fraction that cuts fills, is never reached where most answers
    # are hits.
    driver = RouterDriver()
    for _ in range(40):
        driver.ask("/one", size=400.0)
    home = driver.router.endpoints.backends[next(iter(driver.in_flight.values())).backend]
    keys = list(driver.in_flight)
    for key in keys[late:]:
        driver.finish_attempt(key, "ok", "hit")
    driver.now += 3.0
    for key in keys[:late]:
        driver.finish_attempt(key, "ok", "hit")
    assert (home.concurrency_limit < 40) == is_cut


def test_origin_fills_have_a_throttle_of_their_own_that_is_cut_faster() -> None:
    driver = RouterDriver(HIT_NOTES_SETTINGS, listed=tuple(e for e in make_endpoints() if e.backend not in PARENTS))
    for n in range(4):
        driver.ask(f"/x{n}", size=40.0)
    driver.now += 1.5
    for key in list(driver.in_flight):
        driver.finish_attempt(key, "ok", "filled")  # sent together, so they cause only one cut
    assert (driver.router.limits.origin_fills.fraction, driver.router.limits.parent_fills.fraction) == (0.5, 1.0)
    driver.now += 0.1
    driver.ask("/y", size=4.0, name="y")
    driver.now += 1.5
    driver.finish_attempt(("y", 0), "ok", "filled")
    assert driver.router.limits.origin_fills.fraction == 0.25


def test_fill_throttle_recovers_over_time_even_with_few_fills() -> None:
    # A proxy of a large fleet sees about one fill a second. If recovery were counted in fills, it would take minutes.
    driver = RouterDriver()
    driver.router.limits.parent_fills.fraction = 0.03
    for n in range(12):
        driver.ask(f"/t{n}", size=100.0 - n)
        driver.now += 0.1
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok", "filled")
        driver.now += 0.9
    assert driver.router.limits.parent_fills.fraction > 0.9


def test_fills_that_fail_at_the_origin_count_as_late() -> None:
    # A slow origin that fails nearly all fills is overloaded further by new ones, even if those fail fast.
    driver = RouterDriver()
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.now += 0.2
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "full", "origin_failed")
    assert driver.router.limits.parent_fills.fraction < 0.5


def test_report_of_an_overloaded_zone_link_counts_as_a_late_fill() -> None:
    driver = RouterDriver()
    for n in range(40):
        driver.ask(f"/x{n}", name=f"n{n}")
        driver.now += 0.1
        for key in list(driver.in_flight):
            issued = driver.in_flight.pop(key)
            driver.handle_event(i.Outcome(*key, issued.backend, "ok", 0.1, True, "filled", report={"link": 9.0}))
    assert driver.router.limits.parent_fills.fraction < 0.5


# Guards against a link on which only the few largest answers are late and run out of time.
def test_late_answers_count_by_their_transfer_time() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.in_flight.clear()
    for n in range(3):
        driver.ask("/a", name=f"l{n}", size=8000.0)
    driver.now += 4.5
    for n in range(60):
        driver.ask("/a", name=f"s{n}", size=40.0)
        driver.finish_attempt((f"s{n}", 0), "ok", "hit")
    for n in range(3):
        driver.finish_attempt((f"l{n}", 0), "ok", "hit")
    assert driver.router.endpoints.backends[home].concurrency_limit < math.inf
