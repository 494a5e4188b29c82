"""Helpers for tests of the router: settings, an endpoint list, and a driver that simulates clients and backends."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from beechslip.routing import Router
from beechslip.routing import interface as i

CLASSES = {
    "big": i.ClassRule(
        "big", latency_objective=0.4, latency_objective_stretch=2.0, deadline=6.0, priority_weight=2.0, effect="safe"
    ),
    "small": i.ClassRule(
        "small", latency_objective=0.4, deadline=2.5, priority_weight=1.0, effect="safe", fresh=8.0, grace=20.0
    ),
    "order": i.ClassRule(
        "order", latency_objective=0.6, deadline=3.0, priority_weight=3.0, effect="unsafe", write=True
    ),
    "report": i.ClassRule(
        "report",
        latency_objective=0.6,
        deadline=3.0,
        priority_weight=3.0,
        effect="keyed",
        group="all",
        window=2.0,
        write=True,
    ),
}
SETTINGS = i.Settings(
    me=0,
    proxies=3,
    zone="east",
    proxies_in_zone=1,
    classes=CLASSES,
    parent_kind="parent",
    origin_kind="origin",
    tick=0.002,
    max_attempts=8,
    can_cancel=True,
    can_health_check=True,
    hedging=True,
    retry_after=True,
    max_retry_after=1.0,
    connect_timeout=0.4,
    slow_start_share=0.2,
    slow_start_time=16.0,
    overload_multiple=2.5,
    overload_window=1.0,
    parent_slow_start_share=0.07,
    parent_slow_start_time=19.0,
    parent_overload_multiple=2.0,
    purge_propagation=6.0,
    flow_kb_s=4000.0,
    joins=True,
    siblings="any",
    tells="all",
)
CACHES = tuple(f"c{n}:80" for n in range(4))
PARENTS = ("p0:80", "p1:80")
ORIGIN = "o:80"


def make_endpoints(**changes: dict[str, Any]) -> tuple[i.Endpoint, ...]:
    """Return four caches of the proxy's zone, two parents, a cache of another zone and the origin.

    ``changes`` replaces fields of an endpoint; its key is the name of the backend without the port.
    """
    plain = [i.Endpoint(c, "small", "east") for c in CACHES]
    plain += [i.Endpoint(p, "parent", "hub") for p in PARENTS]
    plain += [i.Endpoint("far:80", "small", "west"), i.Endpoint(ORIGIN, "origin", "hub")]
    return tuple(replace(e, **changes.get(e.backend.split(":")[0], {})) for e in plain)


class RouterDriver:
    """Passes events to one router, and records its actions, its timers and the attempts in flight."""

    def __init__(self, settings: i.Settings = SETTINGS, now: float = 1000.0, listed: Any = None) -> None:
        self.router, self.now = Router(settings, 7), now
        self.actions: list[i.Action] = self.router.start(now)
        self.attempt_counts: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], i.Attempt] = {}
        self.sent_times: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, int]] = []
        self.request_count = 0
        self.handle_event(i.EndpointList("all", make_endpoints() if listed is None else listed))

    def handle_event(self, event: i.Event) -> list[i.Action]:
        """Pass an event to the router and return its actions; attempts and timers among them are recorded."""
        new = self.router.handle(self.now, event)
        for action in new:
            if isinstance(action, i.Attempt):
                number = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = number + 1
                self.in_flight[action.request, number] = action
                self.sent_times[action.request, number] = self.now
            elif isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.actions += new
        return new

    def ask(
        self,
        obj: str = "/a",
        rule: str = "big",
        part: int = 0,
        left: float = 6.0,
        group: int = 1,
        size: float = 400.0,
        name: str = "",
    ) -> list[i.Action]:
        """Send a client request with ``left`` seconds until its deadline, and return the router's actions."""
        self.request_count += 1
        return self.handle_event(i.Request(name or f"r{self.request_count}", rule, obj, part, group, size, left))

    def finish_attempt(
        self, key: tuple[str, int], result: str, note: str = "", finished: bool = False
    ) -> list[i.Action]:
        """End an attempt in flight with ``result``, and return the router's actions.

        ``key`` is the request's id and the number of the attempt.
        """
        attempt = self.in_flight.pop(key)
        return self.handle_event(
            i.Outcome(
                key[0],
                key[1],
                attempt.backend,
                result,
                self.now - self.sent_times[key],
                finished or result == "ok",
                note,
            )
        )

    def advance_time(self, seconds: float) -> list[i.Action]:
        """Advance the time by ``seconds``, and deliver each timer that becomes due. Returns the resulting actions."""
        until, new = self.now + seconds, list[i.Action]()
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            new += self.handle_event(i.Timer(timer[1]))
        self.now = until
        return new

    def warm_up(self, seconds: float = 6.0) -> None:
        """Send 20 requests per second that are answered after 50 ms each, so that the router learns capacities."""
        for n in range(int(seconds * 20)):
            self.ask(f"/w{n}")
            for key in list(self.in_flight):
                self.now += 0.05
                self.finish_attempt(key, "ok", "filled")


def attempts(actions: list[i.Action]) -> list[i.Attempt]:
    return [a for a in actions if isinstance(a, i.Attempt)]


def final_actions(actions: list[i.Action]) -> list[i.Action]:
    """Return the actions that reject a request or fail it."""
    return [a for a in actions if isinstance(a, (i.Refuse, i.Fail))]


def first_backend_tried(driver: RouterDriver, obj: str) -> str:
    """Send a request for ``obj`` and return the backend of its first attempt."""
    sent = attempts(driver.ask(obj))[0]
    return sent.backend


def fills_until_ejected(driver: RouterDriver, failing_parents: set[str], request_count: int = 90) -> dict[str, int]:
    """Return, by ejected parent, how many fills had failed when it was ejected.

    Two of three requests are hits. The third needs a fill, which fails if its parent is in ``failing_parents``.
    """
    failed_fills, at_ejection = Counter[str](), dict[str, int]()
    for n in range(request_count):
        driver.now += 0.09  # the load of one of forty proxies: about a dozen requests per second
        driver.ask(f"/s{n}", size=40.0)
        while driver.in_flight:
            key, attempt = next(iter(driver.in_flight.items()))
            is_failing = attempt.source in failing_parents and n % 3 == 0
            failed_fills[attempt.source] += is_failing
            driver.now += 0.02
            driver.finish_attempt(key, *(("error",) if is_failing else ("ok", "hit" if n % 3 else "filled")))
        for p in PARENTS:
            if driver.router.endpoints.backends[p].is_ejected:
                at_ejection.setdefault(p, failed_fills[p])
    return at_ejection


HIT_NOTES_SETTINGS = replace(SETTINGS, tells="hit", can_health_check=False)


def answer_requests(driver: RouterDriver, failing_caches: set[str], request_count: int) -> int:
    """Answer ``request_count`` requests, and return the number of attempts to the caches in ``failing_caches``.

    Attempts to these caches end with an error, all others with success.
    """
    error_count = 0
    for n in range(request_count):
        driver.now += 0.02
        driver.ask(f"/e{n}")
        while driver.in_flight:
            key, attempt = next(iter(driver.in_flight.items()))
            error_count += attempt.backend in failing_caches
            driver.finish_attempt(key, "error" if attempt.backend in failing_caches else "ok")
    return error_count


DIRECT_SETTINGS = replace(SETTINGS, direct=True, can_health_check=True)
