"""A small stage for the module: settings, a list, and a stand-in for the world's answers."""

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


def entries(**changes: dict[str, Any]) -> tuple[i.Endpoint, ...]:
    """Four caches, two parents, one origin; a change is keyed by the backend's name without its port."""
    plain = [i.Endpoint(c, "small", "east") for c in CACHES]
    plain += [i.Endpoint(p, "parent", "hub") for p in PARENTS]
    plain += [i.Endpoint("far:80", "small", "west"), i.Endpoint(ORIGIN, "origin", "hub")]
    return tuple(replace(e, **changes.get(e.backend.split(":")[0], {})) for e in plain)


class Stage:
    """Drives one router and remembers every action and every attempt still out."""

    def __init__(self, settings: i.Settings = SETTINGS, now: float = 1000.0, listed: Any = None) -> None:
        self.router, self.now = Router(settings, 7), now
        self.actions: list[i.Action] = self.router.start(now)
        self.attempt_counts: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], i.Attempt] = {}
        self.sent_times: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, int]] = []
        self.count = 0
        self.give(i.EndpointList("all", entries() if listed is None else listed))

    def give(self, event: i.Event) -> list[i.Action]:
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
        self.count += 1
        return self.give(i.Request(name or f"r{self.count}", rule, obj, part, group, size, left))

    def end(self, key: tuple[str, int], result: str, note: str = "", finished: bool = False) -> list[i.Action]:
        attempt = self.in_flight.pop(key)
        return self.give(
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

    def wait(self, seconds: float) -> list[i.Action]:
        """Let time pass, with the timers that come due on the way."""
        until, new = self.now + seconds, list[i.Action]()
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            new += self.give(i.Timer(timer[1]))
        self.now = until
        return new

    def warm_up(self, seconds: float = 6.0) -> None:
        """Ordinary traffic that is answered at once, so that capacity is known."""
        for n in range(int(seconds * 20)):
            self.ask(f"/w{n}")
            for key in list(self.in_flight):
                self.now += 0.05
                self.end(key, "ok", "filled")


def attempts(actions: list[i.Action]) -> list[i.Attempt]:
    return [a for a in actions if isinstance(a, i.Attempt)]


def finals(actions: list[i.Action]) -> list[i.Action]:
    return [a for a in actions if isinstance(a, (i.Refuse, i.Fail))]


def home_of(stage: Stage, obj: str) -> str:
    issued = attempts(stage.ask(obj))[0]
    return issued.backend


def fills_until_ejected(stage: Stage, bad: set[str], most: int = 90) -> dict[str, int]:
    """Two of three requests are hits; for each parent ejected, how many fills it had spoilt by then."""
    spoilt, out = Counter[str](), dict[str, int]()
    for n in range(most):
        stage.now += 0.09  # as one of forty proxies, with a dozen requests a second
        stage.ask(f"/s{n}", size=40.0)
        while stage.in_flight:
            key, attempt = next(iter(stage.in_flight.items()))
            fails = attempt.source in bad and n % 3 == 0
            spoilt[attempt.source] += fails
            stage.now += 0.02
            stage.end(key, *(("error",) if fails else ("ok", "hit" if n % 3 else "filled")))
        for p in PARENTS:
            if stage.router.endpoints.backends[p].is_ejected:
                out.setdefault(p, spoilt[p])
    return out


HITS_NOTED = replace(SETTINGS, tells="hit", can_health_check=False)


def answer_all(stage: Stage, erring: set[str], count: int) -> int:
    """Requests answered at once, with an error wherever a cache errs; how many went to one of these."""
    met = 0
    for n in range(count):
        stage.now += 0.02
        stage.ask(f"/e{n}")
        while stage.in_flight:
            key, attempt = next(iter(stage.in_flight.items()))
            met += attempt.backend in erring
            stage.end(key, "error" if attempt.backend in erring else "ok")
    return met


DIRECT = replace(SETTINGS, direct=True, can_health_check=True)
