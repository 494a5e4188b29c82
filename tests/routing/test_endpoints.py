"""The endpoint list: draining, gone and restarted backends, refused and empty lists."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import CACHES, SETTINGS, RouterDriver, attempts, final_actions, first_backend_tried, make_endpoints


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_or_gone_backend_gets_no_new_attempts_even_as_a_source(state: str) -> None:
    driver = RouterDriver()
    driver.handle_event(i.EndpointList("changes", make_endpoints(c1={"state": state}, p1={"state": state})))
    issued = [attempts(driver.ask(f"/x{n}"))[0] for n in range(40)]
    assert not {"c1:80", "p1:80"} & {a.backend for a in issued} | {"p1:80"} & {a.source for a in issued}


def test_full_list_removes_missing_backends_and_a_refused_watch_keeps_the_list() -> None:
    driver = RouterDriver()
    driver.handle_event(i.EndpointList("all", tuple(e for e in make_endpoints() if e.backend != "c2:80")))
    driver.handle_event(i.EndpointList("refused"))
    assert {attempts(driver.ask(f"/x{n}"))[0].backend for n in range(40)} == set(CACHES) - {"c2:80"}


def test_refused_watch_is_retried_where_the_list_needs_a_subscription() -> None:
    driver = RouterDriver(replace(SETTINGS, list_on_request=True))
    assert isinstance(driver.actions[0], i.Watch)
    driver.handle_event(i.EndpointList("refused"))
    assert any(isinstance(a, i.Watch) for a in driver.advance_time(2.0))


def test_restart_in_the_list_resets_the_health_of_a_backend() -> None:
    driver = RouterDriver()
    home = first_backend_tried(driver, "/a")
    driver.finish_attempt(("r1", 0), "reset")
    driver.ask("/a")
    driver.finish_attempt(("r2", 0), "reset")
    driver.handle_event(i.EndpointList("changes", make_endpoints(**{home.split(":")[0]: {"started": driver.now}})))
    assert not driver.router.endpoints.backends[home].is_ejected


def test_empty_list_ends_requests_at_once_and_the_next_list_serves_again() -> None:
    driver = RouterDriver()
    driver.ask("/a")
    driver.handle_event(i.EndpointList("all", ()))
    assert len(final_actions(driver.ask("/b"))) == 1
    assert not final_actions(driver.finish_attempt(("r1", 0), "ok", "filled"))
    driver.handle_event(i.EndpointList("all", make_endpoints()))
    assert attempts(driver.ask("/c"))


def test_requests_are_answered_at_once_where_no_zone_is_stated() -> None:
    unstated = tuple(replace(e, zone="", cell=0) for e in make_endpoints())
    assert attempts(RouterDriver(replace(SETTINGS, zone=""), listed=unstated).ask())
    assert final_actions(RouterDriver(listed=unstated).ask())
