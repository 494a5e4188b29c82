"""The endpoint list: draining, gone and restarted backends, refused and empty lists."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beechslip.routing import interface as i
from tests.helpers import CACHES, SETTINGS, Stage, attempts, entries, finals, home_of


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_or_gone_backend_gets_no_new_attempts_even_as_a_source(state: str) -> None:
    stage = Stage()
    stage.give(i.EndpointList("changes", entries(c1={"state": state}, p1={"state": state})))
    issued = [attempts(stage.ask(f"/x{n}"))[0] for n in range(40)]
    assert not {"c1:80", "p1:80"} & {a.backend for a in issued} | {"p1:80"} & {a.source for a in issued}


def test_full_list_removes_missing_backends_and_a_refused_watch_keeps_the_list() -> None:
    stage = Stage()
    stage.give(i.EndpointList("all", tuple(e for e in entries() if e.backend != "c2:80")))
    stage.give(i.EndpointList("refused"))
    assert {attempts(stage.ask(f"/x{n}"))[0].backend for n in range(40)} == set(CACHES) - {"c2:80"}


def test_refused_watch_is_retried_where_the_list_needs_a_subscription() -> None:
    stage = Stage(replace(SETTINGS, list_on_request=True))
    assert isinstance(stage.actions[0], i.Watch)
    stage.give(i.EndpointList("refused"))
    assert any(isinstance(a, i.Watch) for a in stage.wait(2.0))


def test_restart_in_the_list_resets_the_health_of_a_backend() -> None:
    stage = Stage()
    home = home_of(stage, "/a")
    stage.end(("r1", 0), "reset")
    stage.ask("/a")
    stage.end(("r2", 0), "reset")
    stage.give(i.EndpointList("changes", entries(**{home.split(":")[0]: {"started": stage.now}})))
    assert not stage.router.endpoints.backends[home].is_ejected


def test_empty_list_ends_requests_at_once_and_the_next_list_serves_again() -> None:
    stage = Stage()
    stage.ask("/a")
    stage.give(i.EndpointList("all", ()))
    assert len(finals(stage.ask("/b"))) == 1
    assert not finals(stage.end(("r1", 0), "ok", "filled"))
    stage.give(i.EndpointList("all", entries()))
    assert attempts(stage.ask("/c"))


def test_requests_are_answered_at_once_where_no_zone_is_stated() -> None:
    unstated = tuple(replace(e, zone="", cell=0) for e in entries())
    assert attempts(Stage(replace(SETTINGS, zone=""), listed=unstated).ask())
    assert finals(Stage(listed=unstated).ask())
