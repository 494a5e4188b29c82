"""Estimated transfer times."""

from __future__ import annotations

from tests.helpers import Stage


def test_transfer_time_is_the_fastest_answer_of_a_copy_where_sizes_are_not_stated() -> None:
    stage = Stage()
    for obj, duration_s in (("/long", 3.0), ("/short", 0.02)) * 20:
        stage.ask(obj, size=0.0)
        stage.now += duration_s
        stage.end((f"r{stage.count}", 0), "ok", "filled")
    stage.ask("/long", size=0.0, name="long")
    stage.ask("/short", size=0.0, name="short")
    long, short = (stage.router.requests.open[name].transfer_time for name in ("long", "short"))
    assert long > 100 * short
