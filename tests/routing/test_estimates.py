"""Estimated transfer times."""

from __future__ import annotations

from tests.helpers import RouterDriver


def test_transfer_time_is_the_fastest_answer_of_a_copy_where_sizes_are_not_stated() -> None:
    driver = RouterDriver()
    for obj, duration_s in (("/long", 3.0), ("/short", 0.02)) * 20:
        driver.ask(obj, size=0.0)
        driver.now += duration_s
        driver.finish_attempt((f"r{driver.request_count}", 0), "ok", "filled")
    driver.ask("/long", size=0.0, name="long")
    driver.ask("/short", size=0.0, name="short")
    long, short = (driver.router.requests.open[name].transfer_time for name in ("long", "short"))
    assert long > 100 * short
