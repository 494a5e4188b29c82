"""Checkers of histories: what must hold at every instant, whatever the faults were.

A history is a list of events (dicts, as :class:`beechslip.platform.history.HistoryFile` writes them, or as the
virtual fleet notes them) on one clock. A checker reads them in the order of time and names each violation. It
counts as a checker only because :mod:`lab.mutants` breaks the program in known ways and it is shown to find
each (``tests/test_leases.py``, ``tests/test_lab.py``).

A holder of a lease may act from when a majority has accepted (``hold``) until ``until``, unless it has let go
(``released``, ``lost``). ``checked`` is the time by which a holder asked its guard.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Event = Mapping[str, Any]
MOST_KEPT = 50
SLACK_MS = 0.01  # rounding of times that are converted from clock to clock in virtual time


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, when (ms, on the history's clock), and how."""

    rule: str
    t: float
    text: str


@dataclass(slots=True)
class _Tenure:
    holder: tuple[str, int]  # member and life
    token: int
    until: float
    valid: float


@dataclass
class LeaseChecker:
    """Feed it events by rising time. Rules: ``two-holders``, ``token-falls`` (of one holder to the next),
    ``act-unheld`` (an act begun outside of its holder's tenure), ``stale-act`` (a member accepts a lower token
    than before, or one token of two holders). ``tokens`` off: the whole fleet may forget all tokens."""

    tokens: bool = True
    violations: list[Violation] = field(default_factory=list)
    tenures: dict[str, _Tenure] = field(default_factory=dict)  # by lease: the latest
    _taken: dict[tuple[str, int, str], tuple[int, str]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def feed(self, event: Event) -> None:
        """Take in the next event; what it breaks is added to ``violations``."""
        kind = event["kind"]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "hold":
            self._hold(event)
        elif kind in ("released", "lost"):
            last = self.tenures.get(event["name"])
            if last and last.holder == (event["member"], event["life"]):
                last.until = min(last.until, event["t"])
                last.valid = min(last.valid, event["t"])
        elif kind == "begin":
            last = self.tenures.get(event["name"])
            mine = last is not None and last.holder == (event["member"], event["life"])
            if last is None or not mine or event["checked"] > last.valid + SLACK_MS:
                self._found(
                    "act-unheld",
                    event,
                    f"{event['member']} begins an act of {event['name']} under "
                    f"{event['token']}, held by {last.holder[0] if last else 'nobody'}",
                )
        elif kind == "took":
            self._took(event)

    def _hold(self, event: Event) -> None:
        name, holder = event["name"], (event["member"], event["life"])
        last = self.tenures.get(name)
        if last is not None and last.holder != holder:
            self.counts["handovers"] = self.counts.get("handovers", 0) + 1
            if event["t"] < last.until - SLACK_MS:
                self._found(
                    "two-holders",
                    event,
                    f"{holder[0]} holds {name} (token {event['token']}) while "
                    f"{last.holder[0]} does (token {last.token}) for {last.until - event['t']:.1f} ms more",
                )
            if self.tokens and event["token"] <= last.token:
                self._found(
                    "token-falls",
                    event,
                    f"{name}: {event['token']} of {holder[0]} follows {last.token} of {last.holder[0]}",
                )
        self.tenures[name] = _Tenure(holder, event["token"], event["until"], event["valid"])

    def _took(self, event: Event) -> None:
        key = (event["member"], event["life"], event["name"])
        token, whose = self._taken.get(key, (0, ""))
        if event["token"] < token or (event["token"] == token and event["holder"] != whose):
            self._found(
                "stale-act",
                event,
                f"{event['member']} takes {event['name']} under {event['token']} of "
                f"{event['holder']} after {token} of {whose}",
            )
        self._taken[key] = (event["token"], event["holder"])

    def _found(self, rule: str, event: Event, text: str) -> None:
        if len(self.violations) < MOST_KEPT:
            self.violations.append(Violation(rule, event["t"], text))


def check_leases(events: Iterable[Event], tokens: bool = True) -> LeaseChecker:
    """All of a history, sorted by its clock."""
    checker = LeaseChecker(tokens)
    for event in sorted(events, key=lambda e: e["t"]):
        checker.feed(event)
    return checker


def probe_gaps(events: Iterable[Event], began: float, ended: float) -> dict[str, float]:
    """By backend: the longest time (ms) within [began, ended] that nobody started a probe of it. A backend that
    nobody ever probed is none of these; whoever asks knows which there are."""
    times: dict[str, list[float]] = {}
    for event in events:
        if event["kind"] == "probe":
            times.setdefault(event["name"], []).append(event["t"])
    gaps = {}
    for name, probed in times.items():
        edges = [began, *sorted(t for t in probed if began <= t <= ended), ended]
        gaps[name] = max(b - a for a, b in itertools.pairwise(edges))
    return gaps
