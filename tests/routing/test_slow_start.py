"""Slow start: what a warming backend is sent by one proxy and by a fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import ORIGIN, SETTINGS, RouterDriver, attempts, final_actions, make_endpoints


@pytest.mark.parametrize(("backend", "fraction", "multiple"), [("c0", 0.2, 2.5), ("p0", 0.07, 2.0)])
def test_backend_in_slow_start_gets_no_more_than_its_present_fraction(
    backend: str, fraction: float, multiple: float
) -> None:
    driver = RouterDriver()
    driver.warm_up()
    capacity = max(driver.router.slow_start.observed_capacity.values())
    driver.handle_event(i.EndpointList("changes", make_endpoints(**{backend: {"started": driver.now}})))
    work = 0.0
    for n in range(300):
        issued = attempts(driver.ask(f"/cold{n}"))
        work += sum(0.1 for a in issued if f"{backend}:80" in (a.backend, a.source))
    assert work <= fraction * multiple * capacity
    for name in {name for name, _ in driver.in_flight}:
        driver.handle_event(i.ClientGone(name))
    for key in list(driver.in_flight):
        driver.finish_attempt(key, "cancelled", finished=True)
    driver.now += 25.0
    late = [attempts(driver.ask(f"/warm{n}"))[0] for n in range(60)]
    assert any(f"{backend}:80" in (a.backend, a.source) for a in late)


def test_new_instance_rejects_requests_rather_than_overload_warming_caches() -> None:
    listed = make_endpoints(**{f"c{n}": {"started": 999.9} for n in range(4)})
    driver = RouterDriver(listed=listed)
    new = [a for n in range(200) for a in driver.ask(f"/x{n}")]
    assert sum(0.1 for _ in attempts(new)) <= 4 * 0.5 * 0.2 * 2.5 + 0.1
    assert all(isinstance(a, i.Refuse) for a in final_actions(new))


def test_small_requests_alone_do_not_raise_the_observed_capacity() -> None:
    # While large requests are rejected, the mean of the class overstates what a warm backend has served.
    driver = RouterDriver()
    for n in range(400):
        driver.router.estimates.update_mean_transfer_time(SETTINGS.classes["big"], 1.0)
        driver.ask(f"/w{n}", size=40.0)
        driver.now += 0.05
        driver.finish_attempt((f"r{driver.request_count}", 0), "ok", "hit")
    assert driver.router.slow_start.observed_capacity["cache"] <= 0.01 / 0.05


def test_stated_weight_limits_the_quota_of_a_warming_cache() -> None:
    settings = replace(SETTINGS, weights="nominal", proxies_in_zone=2)
    listed = make_endpoints(**{f"c{n}": {"weight": 4.0, "started": 0.0 if n else 999.0} for n in range(4)})
    driver = RouterDriver(settings, listed=listed)
    driver.router.slow_start.observed_capacity["cache"] = 50.0
    issued = [a for n in range(400) for a in attempts(driver.ask(f"/x{n}")) if a.backend == "c0:80"]
    assert len(issued) * 0.1 <= (0.2 + 0.8 / 16) * 2.5 / 2 * 4.0 / 2 + 0.1


def stages_of_a_fleet(count: int, stated: int, listed: tuple[i.Endpoint, ...], now: float) -> list[RouterDriver]:
    settings = replace(SETTINGS, proxies=stated, proxies_in_zone=stated, classes={"big": SETTINGS.classes["big"]})
    drivers = [RouterDriver(settings, now=now, listed=listed) for _ in range(count)]
    for number, driver in enumerate(drivers):
        driver.router.context.random.seed(number)
    return drivers


@pytest.mark.parametrize(
    ("warming", "fraction", "warm_up_s", "multiple"),
    [
        ("c0", 0.2, 16.0, 2.5),
        ("p0", 0.07, 19.0, 2.0),
    ],
)
def test_large_fleet_in_total_respects_the_capacity_of_a_warming_backend(
    warming: str,
    fraction: float,
    warm_up_s: float,
    multiple: float,
) -> None:
    # Guards against a minimum for each proxy, which would add up over the fleet: here 120 new routers each have more
    # requests than they may send. The link carries one transfer at full speed, the least that any backend can.
    drivers = stages_of_a_fleet(120, 120, make_endpoints(**{warming: {"started": 1000.0}}), 1000.0)
    issued: list[tuple[float, float]] = []
    for step in range(40):
        now = 1000.0 + step * 0.1
        for number, driver in enumerate(drivers):
            driver.now = now
            for n in range(2):
                new = attempts(driver.ask(f"/x{(number * 7 + step * 3 + n) % 97}", size=1200.0))
                issued += [(now, 0.3) for a in new if f"{warming}:80" in (a.backend, a.source)]
            driver.in_flight.clear()
    for start, _ in issued:
        present = fraction + (1.0 - fraction) * (start - 1000.0) / warm_up_s
        assert sum(work for at, work in issued if start <= at < start + 1.0) <= multiple * present + 0.3
    assert issued  # it does get requests


def test_warming_backend_gets_requests_even_if_the_budget_of_each_proxy_is_below_one() -> None:
    drivers = stages_of_a_fleet(100, 100, make_endpoints(c0={"started": 1000.0}), 1000.0)
    served = 0
    for step in range(160):
        for number, driver in enumerate(drivers):
            driver.now = 1000.0 + step * 0.1
            issued = attempts(driver.ask(f"/x{(step + number) % 37}", size=1200.0))
            served += sum(a.backend == "c0:80" for a in issued)
            driver.in_flight.clear()
    assert served >= 10


@pytest.mark.parametrize("stated", [0, -5, 10**9])
def test_invalid_or_huge_proxy_counts_give_a_cautious_quota(stated: int) -> None:
    driver = stages_of_a_fleet(1, stated, make_endpoints(c0={"started": 1000.0}), 1000.0)[0]
    issued = [a for n in range(100) for a in attempts(driver.ask(f"/x{n}")) if a.backend == "c0:80"]
    assert len(issued) <= 1


def test_start_time_in_the_future_counts_as_slow_start() -> None:
    driver = RouterDriver(listed=make_endpoints(c0={"started": 5000.0}))
    issued = [a for n in range(200) for a in attempts(driver.ask(f"/x{n}")) if a.backend == "c0:80"]
    assert len(issued) <= 3


def test_objects_of_a_lost_parent_do_not_overload_another_in_slow_start() -> None:
    driver = RouterDriver()
    driver.warm_up()
    driver.handle_event(i.EndpointList("changes", make_endpoints(p0={"state": "gone"}, p1={"started": driver.now})))
    sources = Counter(attempts(driver.ask(f"/x{n}"))[0].source for n in range(100))
    assert sources["p1:80"] * 0.1 <= 0.07 * 2.0 * max(driver.router.slow_start.observed_capacity.values())
    assert sources[ORIGIN] > sources["p1:80"]


def test_simultaneous_restart_of_caches_moves_no_object_more_than_twice() -> None:
    # Caches in slow start get their objects back one by one as they warm up, and an object that is back stays.
    driver = RouterDriver()
    driver.warm_up()
    driver.handle_event(
        i.EndpointList("changes", make_endpoints(c0={"started": driver.now}, c1={"started": driver.now}))
    )
    moves: Counter[str] = Counter()
    homes: dict[str, str] = {}
    for _ in range(20):
        driver.now += 1.0
        for n in range(12):
            issued = attempts(driver.ask(f"/x{n}", size=4.0))
            for attempt in issued:
                moves[f"/x{n}"] += homes.get(f"/x{n}", attempt.backend) != attempt.backend
                homes[f"/x{n}"] = attempt.backend
            for key in list(driver.in_flight):
                driver.finish_attempt(key, "ok", "hit")
    assert max(moves.values()) <= 2  # at most by way of the other warming cache, and then home
