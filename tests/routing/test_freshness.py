"""The age limit of copies: purges, fresh time and grace time."""

from __future__ import annotations

import pytest

from beechslip.routing import interface as i
from tests.helpers import Stage, attempts, finals


@pytest.mark.parametrize("purge", [i.Purge("/a", 1, 0.2), i.Purge("", 1, 0.2)])
def test_purge_limits_the_copy_age_of_every_attempt_until_it_has_propagated(purge: i.Purge) -> None:
    stage = Stage()
    stage.give(purge)
    purged_at = stage.now
    for _ in range(5):
        limit = attempts(stage.ask("/a"))[0].max_age
        assert 0.0 < limit < stage.now - purged_at + 0.2
        stage.now += 1.1
    stage.now += 3.0
    assert attempts(stage.ask("/a"))[0].max_age == 0.0
    assert (
        not stage.router.freshness.purges.object_purge_times and not stage.router.freshness.purges.group_purge_times
    )


def test_age_limit_is_never_rounded_to_0() -> None:
    stage = Stage()
    stage.give(i.Purge("/a", 1, 0.0))
    assert attempts(stage.ask("/a"))[0].max_age >= 1e-6


def test_age_limit_never_exceeds_the_fresh_time_and_other_objects_keep_theirs() -> None:
    stage = Stage()
    stage.give(i.Purge("/a", 1, 0.1))
    assert attempts(stage.ask("/b", "small", group=2))[0].max_age == 8.0
    assert attempts(stage.ask("/a", "small"))[0].max_age < 8.0


def test_purge_log_is_bounded_and_still_limits_the_age_of_dropped_objects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beechslip.routing.freshness.MAX_PURGES", 10)
    stage = Stage()
    for n in range(50):
        stage.give(i.Purge(f"/p{n}", n, 0.1))
    assert len(stage.router.freshness.purges.object_purge_times) <= 10
    assert 0.0 < attempts(stage.ask("/p0", group=99))[0].max_age <= 0.2


def test_stale_copy_from_before_a_purge_is_not_requested() -> None:
    stage = Stage()
    stage.give(i.Purge("/a", 1, 0.1))
    stage.ask("/a", "small", left=2.5)
    stage.now += 1.0
    assert not attempts(stage.end(("r1", 0), "miss", "source_lost"))


def test_late_request_gets_a_stale_copy_within_the_grace_time_without_a_fill() -> None:
    stage = Stage()
    stage.ask("/a", "small", left=2.5)
    stage.now += 1.0
    issued = attempts(stage.end(("r1", 0), "miss", "source_lost"))[0]
    assert issued.source == issued.backend and issued.max_age == 28.0
    assert len(finals(stage.end(("r1", 1), "miss"))) == 1
