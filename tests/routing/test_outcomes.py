"""Outcomes and whether they count against the cache or the source."""

from __future__ import annotations

from beechslip.routing import interface as i
from tests.helpers import HIT_NOTES_SETTINGS, RouterDriver, attempts


def test_full_from_a_cache_with_a_free_link_counts_against_its_source() -> None:
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    first = attempts(driver.ask("/a", name="q"))[0]
    driver.in_flight.pop(("q", 0))
    full = i.Outcome("q", 0, first.backend, "full", 0.03, report={"busy": 0.4, "held": 3.0})
    retry = attempts(driver.handle_event(full))[0]
    assert retry.backend == first.backend and retry.source != first.source
