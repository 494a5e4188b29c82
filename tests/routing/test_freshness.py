"""The age limit of copies: purges, fresh time and grace time."""

from __future__ import annotations

import pytest

from beechslip.routing import interface as i
from tests.helpers import RouterDriver, attempts, final_actions


@pytest.mark.parametrize("purge", [i.Purge("/a", 1, 0.2), i.Purge("", 1, 0.2)])
def test_purge_limits_the_copy_age_of_every_attempt_until_it_has_propagated(purge: i.Purge) -> None:
    driver = RouterDriver()
    driver.handle_event(purge)
    purged_at = driver.now
    for _ in range(5):
        limit = attempts(driver.ask("/a"))[0].max_age
        assert 0.0 < limit < driver.now - purged_at + 0.2
        driver.now += 1.1
    driver.now += 3.0
    assert attempts(driver.ask("/a"))[0].max_age == 0.0
    assert (
        not driver.router.freshness.purges.object_purge_times and not driver.router.freshness.purges.group_purge_times
    )


def test_age_limit_is_never_rounded_to_0() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.0))
    assert attempts(driver.ask("/a"))[0].max_age >= 1e-6


def test_age_limit_never_exceeds_the_fresh_time_and_other_objects_keep_theirs() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.1))
    assert attempts(driver.ask("/b", "small", group=2))[0].max_age == 8.0
    assert attempts(driver.ask("/a", "small"))[0].max_age < 8.0


def test_purge_log_is_bounded_and_still_limits_the_age_of_dropped_objects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.freshness.MAX_PURGES", 10)
    driver = RouterDriver()
    for n in range(50):
        driver.handle_event(i.Purge(f"/p{n}", n, 0.1))
    assert len(driver.router.freshness.purges.object_purge_times) <= 10
    assert 0.0 < attempts(driver.ask("/p0", group=99))[0].max_age <= 0.2


def test_stale_copy_from_before_a_purge_is_not_requested() -> None:
    driver = RouterDriver()
    driver.handle_event(i.Purge("/a", 1, 0.1))
    driver.ask("/a", "small", left=2.5)
    driver.now += 1.0
    assert not attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))


def test_late_request_gets_a_stale_copy_within_the_grace_time_without_a_fill() -> None:
    driver = RouterDriver()
    driver.ask("/a", "small", left=2.5)
    driver.now += 1.0
    issued = attempts(driver.finish_attempt(("r1", 0), "miss", "source_lost"))[0]
    assert issued.source == issued.backend and issued.max_age == 28.0
    assert len(final_actions(driver.finish_attempt(("r1", 1), "miss"))) == 1
