"""Link limits: the transfers of one proxy on a backend's link, by the pace of those that end."""

from __future__ import annotations

import math
from typing import Any

import pytest

from beechslip.routing.link import SHORT_PLACES_FRACTION
from beechslip.routing.link_limits import MIN_LIMIT
from beechslip.routing.state import Backend
from tests.helpers import CACHES, RouterDriver

WORK_S = 0.2  # transfer time at the full rate
SHORT_WORK_S = 0.04
TARGET_PACE = 1.3


def overloaded(driver: RouterDriver, in_progress: int = 6) -> Backend:
    """Return a cache on whose link ``in_progress`` transfers go on, after some that were three times as slow."""
    cache = driver.router.endpoints.backends[CACHES[0]]
    driver.router.links.target_pace = TARGET_PACE
    for _ in range(in_progress):
        cache.link.begin(driver.now, WORK_S, is_short=False)
    end_transfers(driver, cache, 4, 3.0)
    return cache


def end_transfers(driver: RouterDriver, cache: Backend, count: int, pace: float, seconds: float = 0.1) -> None:
    """End ``count`` transfers, one after another in ``seconds`` each, beside those that go on."""
    for _ in range(count):
        driver.advance_time(seconds)
        driver.router.context.now = driver.now
        driver.router.links.record_transfer(cache, cache.link.places, WORK_S, WORK_S * pace, is_complete=True)


def test_slow_transfers_limit_a_link_below_those_in_progress() -> None:
    driver = RouterDriver()
    cache = overloaded(driver)
    assert 1.0 <= cache.link.limit < 6.0 and not driver.router.links.has_place(cache, is_short=False)


def test_limit_is_cut_while_transfers_are_slow_and_grows_while_they_are_not() -> None:
    driver = RouterDriver()
    cache = overloaded(driver)
    end_transfers(driver, cache, 40, 3.0)
    lowest = cache.link.limit
    assert lowest == max(MIN_LIMIT, 1.0 / driver.router.context.settings.proxies)
    end_transfers(driver, cache, 40, 1.0)
    assert lowest + 1.0 < cache.link.limit < math.inf


def test_limit_is_lifted_when_nothing_is_slow_or_blocked_any_more() -> None:
    driver = RouterDriver()
    cache = overloaded(driver)
    driver.router.context.now = driver.now = driver.now + 5.0
    assert driver.router.links.has_place(cache, is_short=False) and cache.link.limit == math.inf


def test_below_one_transfer_a_pause_follows_each() -> None:
    driver = RouterDriver()
    cache = overloaded(driver, in_progress=1)
    end_transfers(driver, cache, 40, 3.0)
    cache.link.end(cache.link.places, driver.now, WORK_S)
    pause = cache.link.places.resumes_at - driver.now
    assert not driver.router.links.has_place(cache, is_short=False)
    assert pause == pytest.approx(WORK_S * TARGET_PACE * (1.0 / cache.link.limit - 1.0))
    driver.router.context.now = driver.now + pause
    assert driver.router.links.has_place(cache, is_short=False)


# Guards against short requests that wait behind long ones until they are refused (1e1777).
def test_short_transfer_has_a_place_beside_long_ones_that_fill_the_link() -> None:
    driver = RouterDriver()
    links = driver.router.links
    cache = overloaded(driver)
    assert not links.has_place(cache, is_short=False) and links.has_place(cache, is_short=True)
    pool = cache.link.begin(driver.now, SHORT_WORK_S, is_short=True)
    assert pool is cache.link.short_places and not links.has_place(cache, is_short=True)


def test_short_transfers_have_on_average_only_their_part_of_the_limit() -> None:
    driver = RouterDriver()
    cache = overloaded(driver, in_progress=2)
    cache.link.limit = 1.0
    pool = cache.link.begin(driver.now, SHORT_WORK_S, is_short=True)
    cache.link.end(pool, driver.now, SHORT_WORK_S)
    pool.pause_after(driver.now, SHORT_WORK_S)
    assert pool.resumes_at - driver.now == pytest.approx(SHORT_WORK_S * (1.0 / SHORT_PLACES_FRACTION - 1.0))
    assert not driver.router.links.has_place(cache, is_short=True)


def test_short_transfer_beyond_the_places_for_short_ones_takes_one_for_all() -> None:
    link = RouterDriver().router.endpoints.backends[CACHES[0]].link
    link.limit = 1.0
    pools = [link.begin(0.0, SHORT_WORK_S, is_short=True) for _ in range(2)]
    assert pools == [link.short_places, link.places] and not link.has_place(0.0, is_short=False)


def test_link_of_a_silent_backend_is_not_limited_so_that_overdue_checks_find_it() -> None:
    driver = RouterDriver()
    cache = overloaded(driver)
    for _ in range(6):
        cache.link.end(cache.link.places, driver.now - 0.4, WORK_S)
        cache.link.begin(driver.now + 0.01, WORK_S, is_short=False)
    driver.router.context.now = driver.now = driver.now + 2.0  # no transfer has ended since
    assert driver.router.links.has_place(cache, is_short=False)


# Guards against limits that take backends which are slower than stated for overloaded ones.
def test_transfers_that_are_alone_and_slow_on_all_links_are_no_overload() -> None:
    driver = RouterDriver()
    driver.router.links.target_pace = TARGET_PACE
    caches = [driver.router.endpoints.backends[name] for name in CACHES]
    for _ in range(20):
        for cache in caches:
            end_transfers(driver, cache, 1, 1.8)
    assert all(cache.link.limit == math.inf for cache in caches)


def test_one_link_that_is_slower_than_the_others_is_limited() -> None:
    driver = RouterDriver()
    driver.router.links.target_pace = TARGET_PACE
    caches = [driver.router.endpoints.backends[name] for name in CACHES]
    for _ in range(20):
        for number, cache in enumerate(caches):
            end_transfers(driver, cache, 1, 1.0 if number else 1.8)
    assert [cache.link.limit < math.inf for cache in caches] == [True, False, False, False]


# Guards against load that passes for the delay of a link which a proxy never sees free, as one of many proxies.
def test_load_on_one_link_is_not_taken_for_its_delay() -> None:
    driver = RouterDriver()
    links = driver.router.links
    links.target_pace = TARGET_PACE
    free, loaded = (driver.router.endpoints.backends[name] for name in CACHES[:2])
    for _ in range(5):
        driver.router.context.now = driver.now = driver.now + 0.1
        links.record_transfer(free, free.link.places, SHORT_WORK_S, SHORT_WORK_S + 0.002, is_complete=True)
        links.record_transfer(loaded, loaded.link.places, SHORT_WORK_S, 3.0 * SHORT_WORK_S, is_complete=True)
    assert loaded.link.limit < free.link.limit == math.inf


@pytest.mark.parametrize(
    ("request_options", "is_limited"),
    [({"size": 800.0}, True), ({"size": 0.0}, False), ({"size": 800.0, "rule": "report"}, False)],
)
def test_only_reads_of_known_sizes_show_the_pace(request_options: dict[str, Any], is_limited: bool) -> None:
    driver = RouterDriver()
    for n in range(20):
        driver.ask(f"/l{n}", left=3.0, size=8000.0)  # the largest requests, which set the target
        driver.ask(f"/q{n}", left=3.0, name=f"q{n}", **request_options)
    for key in [key for key in driver.in_flight if key[0].startswith("q")]:
        driver.now += 0.05
        driver.finish_attempt(key, "ok", "hit")
    limits = [backend.link.limit for backend in driver.router.endpoints.backends.values()]
    assert any(limit < math.inf for limit in limits) == is_limited
