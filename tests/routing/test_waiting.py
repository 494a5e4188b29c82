"""Requests that wait until the link of a cache or of a source has a place for their transfer."""

from __future__ import annotations

import math

from beechslip.routing import interface as i
from beechslip.routing.state import OpenRequest, SizeBand
from beechslip.routing.waiting import MAX_WAITING
from tests.helpers import CACHES, ORIGIN, PARENTS, RouterDriver, attempts, final_actions


def limit_links(driver: RouterDriver, names: tuple[str, ...], limit: float = 1.0) -> None:
    """Limit the links of backends, as after slow transfers."""
    driver.router.links.target_pace = 1.3
    for name in names:
        link = driver.router.endpoints.backends[name].link
        link.limit, link.slow_at, link.adjusted_at = limit, driver.now, driver.now
        link.answered_at = driver.now


def driver_with_full_caches() -> RouterDriver:
    """Return a driver whose caches each have one transfer in progress, which is their limit."""
    driver = RouterDriver()
    limit_links(driver, CACHES)
    for name in CACHES:
        driver.router.endpoints.backends[name].link.begin(driver.now, 0.1, is_short=False)
    return driver


def free_place(driver: RouterDriver) -> list[i.Action]:
    """End the transfers in progress on the caches' links, and return what the router does then."""
    for name in CACHES:
        link = driver.router.endpoints.backends[name].link
        link.end(link.places, driver.now, 0.1)
    return driver.handle_event(i.HealthCheckResult("unknown:80", "ok"))


# Guards against requests that are refused after some milliseconds with nearly all of their time left (1e1777).
def test_read_waits_for_a_place_and_is_sent_when_there_is_one() -> None:
    driver = driver_with_full_caches()
    assert driver.ask("/a", left=2.0) and not driver.in_flight and not final_actions(driver.actions)
    driver.advance_time(0.3)
    assert [attempt.request for attempt in attempts(free_place(driver))] == ["r1"]


def test_wait_ends_with_one_rejection_while_the_client_still_waits() -> None:
    driver = driver_with_full_caches()
    driver.ask("/a", left=2.0, size=400.0)
    for _ in range(8):
        driver.advance_time(0.1)
        limit_links(driver, CACHES)
    assert [action.reason for action in final_actions(driver.actions)] == ["shed"]
    assert not attempts(free_place(driver)) and not driver.router.requests.open


def test_number_of_waiting_requests_is_bounded() -> None:
    driver = driver_with_full_caches()
    for _ in range(MAX_WAITING):
        assert not final_actions(driver.ask("/a", left=2.0))
    assert [type(action) for action in final_actions(driver.ask("/a", left=2.0))] == [i.Refuse]


def test_client_that_leaves_ends_the_wait() -> None:
    driver = driver_with_full_caches()
    driver.ask("/a", left=2.0)
    driver.handle_event(i.ClientGone("r1"))
    assert not attempts(free_place(driver)) and not driver.router.waiting.backends()


def test_shutdown_ends_waiting_requests() -> None:
    driver = driver_with_full_caches()
    driver.ask("/a", left=2.0)
    assert [type(action) for action in final_actions(driver.handle_event(i.Shutdown()))] == [i.Refuse]
    assert not driver.router.waiting.backends()


def test_writes_do_not_wait() -> None:
    driver = driver_with_full_caches()
    limit_links(driver, (*PARENTS, ORIGIN), limit=0.1)
    assert attempts(driver.ask("/a", "report", left=2.0))


def test_band_that_is_owed_goes_first_and_then_the_shortest_transfer() -> None:
    driver = driver_with_full_caches()
    waiting = driver.router.waiting
    cache = driver.router.endpoints.backends[CACHES[0]]
    for name, size in (("long", 1600.0), ("short", 40.0), ("largest", 4000.0)):
        driver.ask("/a", name=name, size=size, left=6.0)
    requests = driver.router.requests.open
    moved = [requests[name] for name in ("long", "short", "largest")]
    for request in moved:
        waiting.remove(request)
        waiting.add(request, cache)
        request.band = SizeBand.REST
    requests["largest"].band = SizeBand.LARGEST
    driver.router.admission.shares.record_arrival(requests["largest"])
    cache.link.limit = math.inf
    order: list[OpenRequest | None] = [waiting.take_next(cache, True) for _ in range(4)]
    assert [request and request.request_id for request in order] == ["largest", "short", "long", None]


# Guards against short requests that wait behind long ones until they are refused (1e1777).
def test_short_request_does_not_wait_for_long_transfers() -> None:
    driver = driver_with_full_caches()
    for n in range(10):
        assert not attempts(driver.ask("/a", left=6.0, size=3200.0, name=f"long{n}"))
    assert [attempt.request for attempt in attempts(driver.ask("/a", left=6.0, size=32.0, name="short"))] == ["short"]


def test_waiting_short_request_gets_a_place_for_short_ones_before_a_long_one_that_is_owed() -> None:
    driver = driver_with_full_caches()
    waiting = driver.router.waiting
    cache = driver.router.endpoints.backends[CACHES[0]]
    for name, size in (("largest", 4000.0), ("short", 40.0)):
        driver.ask("/a", name=name, size=size, left=6.0)
    largest, short = (driver.router.requests.open[name] for name in ("largest", "short"))
    for request in (largest, short):
        waiting.remove(request)
        waiting.add(request, cache)
    cache.link.short_places.in_progress = 0
    largest.band = SizeBand.LARGEST
    driver.router.admission.shares.record_arrival(largest)
    assert waiting.take_next(cache, True) is short and waiting.take_next(cache, True) is None


def test_limited_source_is_asked_only_after_a_lookup_has_missed() -> None:
    driver = RouterDriver()
    limit_links(driver, (*PARENTS, ORIGIN))
    lookup = attempts(driver.ask("/a", left=2.0))[0]
    assert lookup.source == lookup.backend
    fill = attempts(driver.finish_attempt(("r1", 0), "miss"))[0]
    assert fill.backend == lookup.backend and fill.source in PARENTS
    driver.finish_attempt(("r1", 1), "ok", "filled")
    assert not driver.router.requests.open


def test_request_for_the_copy_of_a_fill_in_progress_joins_it_without_a_place() -> None:
    driver = RouterDriver()
    limit_links(driver, (*PARENTS, ORIGIN))
    driver.ask("/a", left=2.0)
    driver.ask("/a", left=2.0)
    driver.finish_attempt(("r1", 0), "miss")
    joining = attempts(driver.finish_attempt(("r2", 0), "miss"))
    assert [attempt.source for attempt in joining] == [driver.in_flight["r1", 1].source]


def test_one_timer_is_set_for_the_end_of_a_pause_whatever_happens_meanwhile() -> None:
    driver = RouterDriver()
    limit_links(driver, CACHES, limit=0.2)
    for name in CACHES:
        driver.router.endpoints.backends[name].link.places.resumes_at = driver.now + 0.3
    driver.ask("/a", left=2.0)
    timers = len(driver.timers)
    for _ in range(10):
        driver.now += 0.01
        driver.handle_event(i.HealthCheckResult("unknown:80", "ok"))
    assert len(driver.timers) == timers
    assert attempts(driver.advance_time(0.3))


# Guards against fills that are refused after some milliseconds with nearly all of their time left (1e1777).
def test_fill_from_a_limited_source_waits_although_the_fill_throttle_would_refuse_it() -> None:
    driver = RouterDriver()
    limit_links(driver, (*PARENTS, ORIGIN), limit=0.1)
    for name in (*PARENTS, ORIGIN):
        backend = driver.router.endpoints.backends[name]
        driver.router.limits.fill_throttle(backend).fraction = 0.0
        backend.link.places.resumes_at = driver.now + 0.2
    driver.ask("/a", left=2.0)
    assert not final_actions(driver.finish_attempt(("r1", 0), "miss"))
    assert [attempt.source in PARENTS for attempt in attempts(driver.advance_time(0.3))] == [True]
