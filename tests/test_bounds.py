"""Every table of the router that is keyed by request, copy, class or backend is bounded or is emptied.

The soak day of the fleet test penalizes memory that grows over 45 minutes. These tests send many distinct requests
and copies through one router, up to thousands in each, and check the size of the tables afterwards.
"""

from __future__ import annotations

import pytest
from helpers import RouterDriver, attempts, make_endpoints

from beechslip.routing import interface as i


def _serve_requests(driver: RouterDriver, count: int, size: float = 400.0, result: str = "ok") -> None:
    """Send ``count`` requests for distinct copies, and end each attempt with ``result`` 10 ms later."""
    for n in range(count):
        driver.ask(f"/copy{n}", size=size, group=n)
        while driver.in_flight:
            key = next(iter(driver.in_flight))
            driver.now += 0.01
            driver.finish_attempt(key, result, "filled")
        driver.advance_time(0.0)


def test_tables_by_request_are_empty_after_all_requests_ended() -> None:
    driver = RouterDriver()
    _serve_requests(driver, 3_000)
    router = driver.router
    assert not router.requests.open and not router.requests.in_flight
    driver.advance_time(60.0)  # timers of ended attempts are removed when they fire
    assert not router.timers.pending


def test_tables_by_request_are_empty_after_every_attempt_failed() -> None:
    driver = RouterDriver()
    _serve_requests(driver, 500, result="error")
    driver.advance_time(30.0)
    assert not driver.router.requests.open and not driver.router.requests.in_flight


def test_number_of_stored_transfer_times_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.estimates.MAX_COPIES", 100)
    driver = RouterDriver()
    _serve_requests(driver, 1_000, size=0.0)  # sizes not stated: the router stores the transfer time of each copy
    assert 0 < len(driver.router.estimates.copy_transfer_time) <= 100


def test_tables_by_class_and_backend_hold_only_known_classes_and_backends() -> None:
    driver = RouterDriver()
    _serve_requests(driver, 1_000)
    for rule in ("small", "order", "big"):
        driver.ask("/x", rule=rule)
    router = driver.router
    assert set(router.estimates.mean_transfer_time) <= set(driver.router.context.settings.classes)
    assert set(router.estimates.overdue_factor) <= set(driver.router.context.settings.classes)
    listed = make_endpoints()
    assert set(router.endpoints.backends) == {entry.backend for entry in listed}
    # A full list removes the records of backends that it does not contain.
    driver.handle_event(i.EndpointList("all", listed[:3]))
    assert set(router.endpoints.backends) == {entry.backend for entry in listed[:3]}
    assert all(a.backend in router.endpoints.backends for a in attempts(driver.ask("/y")))
