"""Every table of the module keyed by request, copy, class or backend has a bound or an end.

The soak day of the fleet test prices memory that grows over 45 minutes; these tests drive tens of
thousands of distinct requests and copies through one router and look at the size of each table after.
"""

from __future__ import annotations

import pytest
from helpers import RouterDriver, attempts, make_endpoints

from beechslip.routing import interface as i


def _serve(driver: RouterDriver, count: int, size: float = 400.0, result: str = "ok") -> None:
    """``count`` requests, each for a copy of its own, each attempt answered ``result`` 10 ms later."""
    for n in range(count):
        driver.ask(f"/copy{n}", size=size, group=n)
        while driver.in_flight:
            key = next(iter(driver.in_flight))
            driver.now += 0.01
            driver.finish_attempt(key, result, "filled")
        driver.advance_time(0.0)


def test_tables_by_request_end_with_the_request() -> None:
    driver = RouterDriver()
    _serve(driver, 3_000)
    router = driver.router
    assert not router.requests.open and not router.requests.in_flight
    driver.advance_time(60.0)  # timers of ended attempts end when they come due
    assert not router.timers.pending


def test_tables_by_request_end_also_when_every_attempt_fails() -> None:
    driver = RouterDriver()
    _serve(driver, 500, result="error")
    driver.advance_time(30.0)
    assert not driver.router.requests.open and not driver.router.requests.in_flight


def test_remembered_sending_times_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.estimates.MAX_COPIES", 100)
    driver = RouterDriver()
    _serve(driver, 1_000, size=0.0)  # sizes not stated: the router learns each copy's sending time
    assert 0 < len(driver.router.estimates.copy_transfer_time) <= 100


def test_tables_by_class_and_backend_stay_within_the_settings_and_the_list() -> None:
    driver = RouterDriver()
    _serve(driver, 1_000)
    for rule in ("small", "order", "big"):
        driver.ask("/x", rule=rule)
    router = driver.router
    assert set(router.estimates.mean_transfer_time) <= set(driver.router.context.settings.classes)
    assert set(router.estimates.overdue_factor) <= set(driver.router.context.settings.classes)
    listed = make_endpoints()
    assert set(router.endpoints.backends) == {entry.backend for entry in listed}
    # A new list that drops backends drops their records.
    driver.handle_event(i.EndpointList("all", listed[:3]))
    assert set(router.endpoints.backends) == {entry.backend for entry in listed[:3]}
    assert all(a.backend in router.endpoints.backends for a in attempts(driver.ask("/y")))
