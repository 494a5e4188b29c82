"""Which requests are rejected, and which only look, as the caches fill."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from beechslip.routing.size_fairness import GUARANTEED, MAX_CREDIT
from tests.helpers import (
    PARENTS,
    SETTINGS,
    RouterDriver,
    attempts,
    final_actions,
    first_backend_tried,
    make_endpoints,
)


def test_a_cache_whose_answers_come_late_gets_fewer_and_the_lowest_density_is_rejected() -> None:
    driver = RouterDriver()
    for n in range(120):
        driver.ask(f"/x{n}", size=400.0)
    driver.now += 1.5
    for key in list(driver.in_flight)[:60]:
        driver.finish_attempt(key, "ok", "hit")
    big = final_actions([a for n in range(60) for a in driver.ask(f"/y{n}", size=20000.0)])
    assert len(big) >= 20 and all(isinstance(a, i.Refuse) for a in big)


@pytest.mark.parametrize(
    ("seen", "then", "passes_on"),
    [
        ({"held": 10.0, "busy": 0.6}, {"held": 40.0, "busy": 1.0}, True),  # 17 fit: it holds two for each
        ({"held": 30.0, "busy": 0.6}, {"held": 40.0, "busy": 1.0}, False),  # 50 fit
        ({"held": 10.0, "busy": 0.6}, {"held": 40.0, "busy": 0.5}, False),  # a free link: they wait for fills
        ({"held": 10.0, "busy": 0.1}, {"held": 40.0, "busy": 1.0}, False),  # too idle to teach what fits
    ],
)
def test_the_capacity_of_a_link_is_learned_where_sizes_are_not_stated(
    seen: dict[str, float], then: dict[str, float], passes_on: bool
) -> None:
    # One box held 79 requests at 790 ms while its neighbours held 20: nothing had been late for long enough.
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.in_flight.clear()
    for n, report in enumerate((seen, then)):
        driver.ask("/a", name=f"s{n}")
        issued = driver.in_flight.pop((f"s{n}", 0))
        driver.handle_event(i.Outcome(f"s{n}", 0, issued.backend, "ok", 0.1, True, "hit", report=report))
    assert (first_backend_tried(driver, "/a") != home) == passes_on
    driver.now += 2.0  # an old report says nothing
    assert first_backend_tried(driver, "/a") == home


@pytest.mark.parametrize(
    ("report", "passes_on"),
    [
        ({"held": 60.0, "busy": 1.0}, True),
        ({"held": 60.0, "busy": 0.3}, False),
        ({"held": 4.0, "busy": 1.0}, False),
    ],
)
def test_a_busy_cache_that_holds_more_than_its_link_carries_is_full(
    report: dict[str, float],
    passes_on: bool,
) -> None:
    # Where sizes are not stated, answers learned in a jam look on time; what waits for fills uses no link.
    listed = make_endpoints(**{f"c{n}": {"weight": 10.0} for n in range(4)})
    driver = RouterDriver(replace(SETTINGS, weights="nominal"), listed=listed)
    home = first_backend_tried(driver, "/a")
    driver.now += 0.1
    driver.in_flight.clear()
    driver.handle_event(i.Outcome("r1", 0, home, "ok", 0.1, True, "hit", report=report))
    assert (first_backend_tried(driver, "/a") != home) == passes_on
    driver.now += 2.0  # an old report says nothing
    assert first_backend_tried(driver, "/a") == home


def test_while_fills_come_late_the_lowest_density_only_looks_but_for_its_guaranteed_share() -> None:
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
    looks = [a for a in large if a.source == a.backend]
    assert len(large) == 40 and all(a.source in PARENTS for a in small)
    assert (1.0 - GUARANTEED) * len(large) <= len(looks) <= (1.0 - GUARANTEED) * len(large) + MAX_CREDIT
    assert [type(a) for a in final_actions(driver.finish_attempt((looks[-1].request, 0), "miss"))] == [i.Refuse]


# Guards against links without load reports on which small hits are on time and the largest never end.
@pytest.mark.parametrize(
    ("known_capacity", "size", "passes_on"), [(0.0, 800.0, True), (8.0, 800.0, False), (0.0, 40.0, False)]
)
def test_where_no_report_tells_what_a_link_carries_the_pace_of_hits_tells_a_full_one(
    known_capacity: float, size: float, passes_on: bool
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
    assert home in asked and (len(asked) > 1) == passes_on
    driver.now += 2.0  # an old pace says nothing
    assert first_backend_tried(driver, "/a") == home
