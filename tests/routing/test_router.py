"""Whole runs of the router, and limits on the size of the decision modules."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tomllib
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from beechslip.routing import Router
from beechslip.routing import interface as i
from tests.helpers import SETTINGS, RouterDriver, final_actions, make_endpoints

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(("rule", "left"), [("nobody", 3.0), ("big", 0.0), ("big", -1.0), ("order", 0.0)])
def test_request_of_an_unknown_class_or_without_time_is_rejected_at_once(rule: str, left: float) -> None:
    new = RouterDriver().ask(rule=rule, left=left)
    assert [type(a) for a in new] == [i.Refuse]


def test_timeout_at_the_deadline_gives_one_final_answer() -> None:
    driver = RouterDriver()
    driver.ask(left=0.5)
    driver.now += 0.5
    assert len(final_actions(driver.finish_attempt(("r1", 0), "timeout"))) == 1
    assert final_actions(driver.advance_time(10.0)) == []


def test_events_for_unknown_requests_are_ignored() -> None:
    driver = RouterDriver()
    driver.ask()
    driver.handle_event(i.ClientGone("r1"))
    assert driver.finish_attempt(("r1", 0), "timeout", finished=True) == []
    for event in (
        i.ClientGone("zz"),
        i.Timer(10**9),
        i.Outcome("zz", 3, "c0:80", "ok"),
        i.HealthCheckResult("zz", "ok"),
        i.FirstByte("zz", 0, "c0:80"),
        i.PeerMessage(2, b"x"),
    ):
        assert driver.handle_event(event) == []


def finish_all_attempts(driver: RouterDriver) -> list[i.Refuse | i.Fail]:
    """Let all waits end and all attempts time out, and return the final answers."""
    answers = final_actions(driver.advance_time(7.0))  # of requests that wait for a place on a link
    while driver.in_flight:
        answers += final_actions(driver.finish_attempt(min(driver.in_flight), "timeout"))
    return [answer for answer in answers if isinstance(answer, (i.Refuse, i.Fail))]


def run_random_events(seed: int) -> list[str]:
    """Send random events, check the invariants, and return all actions as text."""
    rng, driver = random.Random(seed), RouterDriver(replace(SETTINGS, hedging=False))
    results = [*["ok"] * 6, "error", "full", "timeout", "connect_failed", "reset", "miss", "cancelled", "moot"]
    notes = ["", "hit", "filled", "source_refused", "source_lost", "no_place", "origin_failed"]
    ended: Counter[str] = Counter()
    deadline: dict[str, float] = {}
    not_ready: set[str] = set()
    for n in range(1500):
        name, mark = f"q{n}", len(driver.actions)
        draw = rng.random()
        if draw < 0.45:
            left = rng.choice([0.0, 0.3, 2.0, 6.0])
            deadline[name] = driver.now + left
            rule = rng.choice([*SETTINGS.classes, "odd"])
            driver.ask(
                f"/x{rng.randrange(40)}",
                rule,
                rng.randrange(3),
                left,
                rng.randrange(4),
                rng.choice([0.0, 40.0, 4000.0]),
                name,
            )
        elif draw < 0.85 and driver.in_flight:
            key = rng.choice(sorted(driver.in_flight))
            result = rng.choice(results) if driver.now < deadline[key[0]] else "timeout"
            before = ended[key[0]]
            driver.finish_attempt(key, result, rng.choice(notes))
            ended[key[0]] += result == "ok" and not before
        elif draw < 0.9:
            driver.handle_event(i.Purge(f"/x{rng.randrange(40)}", rng.randrange(4), rng.random()))
        elif draw < 0.95:
            name_of_backend = rng.choice(["c0", "c1", "p0", "p1"])
            state = rng.choice(["ready", "draining", "gone"])
            (not_ready.discard if state == "ready" else not_ready.add)(f"{name_of_backend}:80")
            change = make_endpoints(**{name_of_backend: {"state": state, "started": rng.choice([0.0, driver.now])}})
            driver.handle_event(
                i.EndpointList("changes", tuple(e for e in change if e.backend == f"{name_of_backend}:80"))
            )
        else:
            driver.advance_time(rng.random())
        for action in driver.actions[mark:]:
            if isinstance(action, i.Attempt):
                assert not {action.backend, action.source} & not_ready
                assert not ended[action.request] and 0.0 < action.timeout <= deadline[action.request] + 1e-9
                assert sum(1 for key in driver.in_flight if key[0] == action.request) <= 1
            if isinstance(action, (i.Refuse, i.Fail)):
                ended[action.request] += 1
                assert ended[action.request] == 1
    for answer in finish_all_attempts(driver):
        ended[answer.request] += 1
    assert set(deadline) == set(ended) and set(ended.values()) == {1}
    assert not driver.router.requests.open and not driver.router.requests.in_flight
    return [repr(action) for action in driver.actions]


@pytest.mark.parametrize("seed", range(6))
def test_random_events_keep_the_invariants(seed: int) -> None:
    run_random_events(seed)


def test_equal_events_give_equal_actions_under_any_hash_seed() -> None:
    code = (
        "import hashlib\n"
        "from tests.routing.test_router import run_random_events\n"
        "print(hashlib.sha256(repr(run_random_events(3)).encode()).hexdigest())\n"
    )
    digests = set()
    for hash_seed in ("0", "1", "77"):
        path = str(ROOT)
        env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        process = subprocess.run([sys.executable, "-c", code], env=env, check=True, capture_output=True)
        digests.add(process.stdout)
    assert len(digests) == 1


def test_empty_settings_do_not_raise() -> None:
    router = Router(i.Settings(), 1)
    router.handle(1.0, i.EndpointList("all", make_endpoints()))
    assert isinstance(router.handle(1.0, i.Request("r", "big", "/a", time_left=1.0))[0], i.Refuse)
    bare = Router(i.Settings(classes={"x": i.ClassRule("x")}, zone="east"), 1)
    bare.handle(1.0, i.EndpointList("all", make_endpoints(c0={"started": 0.9})))
    for n in range(50):
        assert bare.handle(1.0, i.Request(f"r{n}", "x", f"/{n}", time_left=1.0))


def test_decision_modules_are_short_and_all_listed_in_the_deploy_policy() -> None:
    """Check the line limits of each decision module; there is no limit on their total."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    for name in policy:
        lines = (ROOT / name).read_text().splitlines()
        assert sum(1 for line in lines if line.strip()) <= 300, name
        assert max(map(len, lines)) <= 110 and lines[0].startswith('"""'), name
    others = {"__init__.py", "adapter.py", "interface.py"}  # exports, wire format and types
    assert {Path(name).name for name in policy} == {
        p.name for p in (ROOT / "beechslip" / "routing").glob("*.py")
    } - others
    assert (
        "beechslip/routing/interface.py" in (ROOT / "beechslip" / "routing" / "router.py").read_text().splitlines()[0]
    )
