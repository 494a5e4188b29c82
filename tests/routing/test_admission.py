"""Admission control: which requests are rejected or limited to cached copies as the caches become busy."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from beechslip.routing.size_fairness import GUARANTEED_FRACTION, MAX_CREDIT
from tests.helpers import (
    PARENTS,
    SETTINGS,
    RouterDriver,
    attempts,
    final_actions,
    first_backend_tried,
    make_endpoints,
)


def test_late_answers_of_caches_reject_requests_of_low_density() -> None:
    driver = RouterDriver()
    for n in range(120):
        driver.ask(f"/x{n}", size=400.0)
    driver.now += 1.5
    for key in list(driver.in_flight)[:60]:
        driver.finish_attempt(key, "ok", "hit")
    answers = final_actions([a for n in range(60) for a in driver.ask(f"/y{n}", size=20000.0)])
    assert len(answers) >= 20 and all(isinstance(a, i.Refuse) for a in answers)


@pytest.mark.parametrize(
    ("first_report", "second_report", "is_full"),
    [
        # The link carries 17 transfers, and more than two requests for each of them are in progress.
        ({"held": 10.0, "busy": 0.6}, {"held": 40.0, "busy": 1.0}, True),
        # The link carries 50 transfers.
        ({"held": 30.0, "busy": 0.6}, {"held": 40.0, "busy": 1.0}, False),
        # The link is not busy: the requests wait for fills.
        ({"held": 10.0, "busy": 0.6}, {"held": 40.0, "busy": 0.5}, False),
        # The link was too idle to show its capacity.
        ({"held": 10.0, "busy": 0.1}, {"held": 40.0, "busy": 1.0}, False),
    ],
)
def test_link_capacity_is_learned_from_load_reports_where_it_is_not_stated(
    first_report: dict[str, float], second_report: dict[str, float], is_full: bool
) -> None:
    # Guards against one cache with 79 requests of 790 ms while its neighbours had 20 each: no answer had been late
    # for long enough to limit it.
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.in_flight.clear()
    for n, report in enumerate((first_report, second_report)):
        driver.ask("/a", name=f"s{n}")
        issued = driver.in_flight.pop((f"s{n}", 0))
        driver.handle_event(i.Outcome(f"s{n}", 0, issued.backend, "ok", 0.1, True, "hit", report=report))
    assert (first_backend_tried(driver, "/a") != home) == is_full
    driver.now += 2.0  # the report has expired
    assert first_backend_tried(driver, "/a") == home


@pytest.mark.parametrize(
    ("report", "is_full"),
    [
        ({"held": 60.0, "busy": 1.0}, True),
        ({"held": 60.0, "busy": 0.3}, False),
        ({"held": 4.0, "busy": 1.0}, False),
    ],
)
def test_cache_is_full_if_busy_with_more_requests_than_its_link_carries(
    report: dict[str, float],
    is_full: bool,
) -> None:
    # Where sizes are not stated, transfer times learned during congestion make answers look on time. Requests that
    # wait for fills use no link.
    listed = make_endpoints(**{f"c{n}": {"weight": 10.0} for n in range(4)})
    driver = RouterDriver(replace(SETTINGS, weights="nominal"), listed=listed)
    home = first_backend_tried(driver, "/a")
    driver.now += 0.1
    driver.in_flight.clear()
    driver.handle_event(i.Outcome("r1", 0, home, "ok", 0.1, True, "hit", report=report))
    assert (first_backend_tried(driver, "/a") != home) == is_full
    driver.now += 2.0  # the report has expired
    assert first_backend_tried(driver, "/a") == home


def test_late_fills_limit_low_density_requests_to_cached_only_except_their_guaranteed_share() -> None:
    driver = RouterDriver()
    for _ in range(12):
        for n in range(6):
            driver.ask(f"/x{n}")
        driver.now += 1.5
        for key in list(driver.in_flight):
            driver.finish_attempt(key, "ok", "filled")
    large, small = list[i.Attempt](), list[i.Attempt]()
    for n in range(400):
        is_large = n % 10 == 0
        asked = small if not is_large else large
        asked += attempts(driver.ask(f"/y{n}", size=9000.0 if is_large else 4.0))
    cached_only = [a for a in large if a.source == a.backend]
    assert len(large) == 40 and all(a.source in PARENTS for a in small)
    assert (
        (1.0 - GUARANTEED_FRACTION) * len(large)
        <= len(cached_only)
        <= (1.0 - GUARANTEED_FRACTION) * len(large) + MAX_CREDIT
    )
    assert [type(a) for a in final_actions(driver.finish_attempt((cached_only[-1].request, 0), "miss"))] == [i.Refuse]


# Guards against links without load reports on which small hits are on time while the largest hits never end.
@pytest.mark.parametrize(
    ("known_capacity", "size", "is_full"), [(0.0, 800.0, True), (8.0, 800.0, False), (0.0, 40.0, False)]
)
def test_slow_hits_mark_a_cache_as_full_where_its_link_capacity_is_unknown(
    known_capacity: float, size: float, is_full: bool
) -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.in_flight.clear()
    driver.router.endpoints.backends[home].link_capacity = known_capacity
    asked = set()
    for n in range(12):
        asked.add(attempts(driver.ask("/a", name=f"h{n}", size=size))[0].backend)
        driver.now += 4.0 * size / SETTINGS.flow_kb_s
        driver.finish_attempt((f"h{n}", 0), "ok", "hit")
    assert home in asked and (len(asked) > 1) == is_full
    driver.now += 2.0  # the measured hit time has expired
    assert first_backend_tried(driver, "/a") == home
