"""The oldest copy that may answer: purges, fresh time and grace."""

from __future__ import annotations

import pytest

from beechslip.routing import interface as i
from tests.helpers import RouterDriver, attempts, final_actions


@pytest.mark.parametrize("purge", [i.Purge("/a", 1, 0.2), i.Purge("", 1, 0.2)])
def test_after_a_purge_every_attempt_has_an_age_limit_until_all_copies_are_dropped(purge: i.Purge) -> None:
    driver = RouterDriver()
    driver.handle_event(purge)
    purged_at = driver.now
    for _ in range(5):
        limit = attempts(driver.ask("/a"))[0].max_age
        assert 0.0 < limit < driver.now - purged_at + 0.2
        driver.now += 1.1
    driver.now += 3.0
    assert attempts(driver.ask("/a"))[0].max_age == 0.0
    assert not driver.router.freshness.purges.objects and not driver.router.freshness.purges.groups


def test_an_age_limit_is_never_rounded_to_no_limit() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.0))
    assert attempts(driver.ask("/a"))[0].max_age >= 1e-6


def test_a_limit_never_exceeds_the_fresh_time_and_others_are_untouched() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.1))
    assert attempts(driver.ask("/b", "small", group=2))[0].max_age == 8.0
    assert attempts(driver.ask("/a", "small"))[0].max_age < 8.0


def test_purge_memory_is_bounded_and_stays_on_the_safe_side(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.freshness.MAX_PURGES", 10)
    driver = RouterDriver()
    for n in range(50):
        driver.handle_event(i.Purge(f"/p{n}", n, 0.1))
    assert len(driver.router.freshness.purges.objects) <= 10
    assert 0.0 < attempts(driver.ask("/p0", group=99))[0].max_age <= 0.2


def test_a_stale_copy_is_never_older_than_a_purge() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.1))
    driver.ask("/a", "small", left=2.5)
    driver.now += 1.0
    assert not attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))


def test_a_long_wait_is_served_stale_within_the_grace_without_a_fill() -> None:
    driver = RouterDriver()
    driver.ask("/a", "small", left=2.5)
    driver.now += 1.0
    issued = attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))[0]
    assert issued.source == issued.backend and issued.max_age == 28.0
    assert len(final_actions(driver.finish_attempt(("r1", 1), "miss"))) == 1
