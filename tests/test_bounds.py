"""Every table of the router that is keyed by request, copy, class or backend is bounded or is emptied.

The soak day of the fleet test penalizes memory that grows over 45 minutes. These tests send many distinct requests
and copies through one router, up to thousands in each, and check the size of the tables afterwards.
"""

from __future__ import annotations

import pytest
from helpers import Stage, attempts, entries

from beechslip.routing import interface as i


def _serve_requests(stage: Stage, count: int, size: float = 400.0, result: str = "ok") -> None:
    """Send ``count`` requests for distinct copies, and end each attempt with ``result`` 10 ms later."""
    for n in range(count):
        stage.ask(f"/copy{n}", size=size, group=n)
        while stage.in_flight:
            key = next(iter(stage.in_flight))
            stage.now += 0.01
            stage.end(key, result, "filled")
        stage.wait(0.0)


def test_tables_by_request_are_empty_after_all_requests_ended() -> None:
    stage = Stage()
    _serve_requests(stage, 3_000)
    router = stage.router
    assert not router.requests.open and not router.requests.in_flight
    stage.wait(60.0)  # timers of ended attempts are removed when they fire
    assert not router.timers.pending


def test_tables_by_request_are_empty_after_every_attempt_failed() -> None:
    stage = Stage()
    _serve_requests(stage, 500, result="error")
    stage.wait(30.0)
    assert not stage.router.requests.open and not stage.router.requests.in_flight


def test_number_of_stored_transfer_times_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.estimates.MAX_COPIES", 100)
    stage = Stage()
    _serve_requests(stage, 1_000, size=0.0)  # sizes not stated: the router stores the transfer time of each copy
    assert 0 < len(stage.router.estimates.copy_transfer_time) <= 100


def test_tables_by_class_and_backend_hold_only_known_classes_and_backends() -> None:
    stage = Stage()
    _serve_requests(stage, 1_000)
    for rule in ("small", "order", "big"):
        stage.ask("/x", rule=rule)
    router = stage.router
    assert set(router.estimates.mean_transfer_time) <= set(stage.router.context.settings.classes)
    assert set(router.estimates.overdue_factor) <= set(stage.router.context.settings.classes)
    listed = entries()
    assert set(router.endpoints.backends) == {entry.backend for entry in listed}
    # A full list removes the records of backends that it does not contain.
    stage.give(i.EndpointList("all", listed[:3]))
    assert set(router.endpoints.backends) == {entry.backend for entry in listed[:3]}
    assert all(a.backend in router.endpoints.backends for a in attempts(stage.ask("/y")))
