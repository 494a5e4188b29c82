"""Outcomes as evidence on the cache or on the source."""

from __future__ import annotations

from beechslip.routing import interface as i
from tests.helpers import HIT_NOTES_SETTINGS, RouterDriver, attempts


def test_a_full_answer_of_a_cache_with_a_free_link_is_laid_to_its_source() -> None:
    driver = RouterDriver(HIT_NOTES_SETTINGS)
    issued = attempts(driver.ask("/a", name="q"))[0]
    driver.in_flight.pop(("q", 0))
    full = i.Outcome("q", 0, issued.backend, "full", 0.03, report={"busy": 0.4, "held": 3.0})
    again = attempts(driver.handle_event(full))[0]
    assert again.backend == issued.backend and again.source != issued.source
