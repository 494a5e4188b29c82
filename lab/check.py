"""Checkers of histories: rules that must hold at every instant, whatever faults were injected.

A history is a list of events with times of one clock. The events are dicts, as written by
:class:`beechslip.platform.history.HistoryFile` or recorded by the virtual fleet. A checker reads them in order of
time and reports each violation. The tests show that a checker finds what it should: :mod:`lab.mutants` breaks the
program in known ways, and the checkers must report each (``tests/test_leases.py``, ``tests/test_lab.py``).

The holder of a lease may act from the time at which a majority has accepted (event ``hold``) until ``until``, unless
it has given the lease up (``released``, ``lost``). ``checked`` is the time at which the holder checked its lease
before an act.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Event = Mapping[str, Any]
MAX_VIOLATIONS = 50
ROUNDING_SLACK_MS = 0.01  # rounding error of times that are converted between clocks in virtual time


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; ``time_ms`` is by the clock of the history."""

    rule: str
    time_ms: float
    text: str


@dataclass(slots=True)
class _Tenure:
    """The time from a holder's acquisition of a lease to its end."""

    holder: tuple[str, int]  # member and incarnation
    token: int
    until_ms: float
    valid_until_ms: float  # last time at which the holder may begin an act


@dataclass
class LeaseChecker:
    """Check the lease events of a history, fed in order of time.

    Rules:

    - ``two-holders``: two members hold a lease at the same time;
    - ``token-falls``: the token of a holder is not above that of the previous holder;
    - ``act-unheld``: an act begins outside of its holder's tenure;
    - ``stale-act``: a member accepts a lower token than before, or the same token from two holders.

    ``must_tokens_rise`` is false where the whole fleet may forget all tokens.
    """

    must_tokens_rise: bool = True
    violations: list[Violation] = field(default_factory=list)
    tenures: dict[str, _Tenure] = field(default_factory=dict)  # the latest tenure by lease
    # By member, incarnation and lease: the last accepted token and its holder.
    _accepted: dict[tuple[str, int, str], tuple[int, str]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)  # of events by kind, and of "handovers"

    def feed(self, event: Event) -> None:
        """Process the next event; violations are appended to ``violations``."""
        kind = event["kind"]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "hold":
            self._check_hold(event)
        elif kind in ("released", "lost"):
            last = self.tenures.get(event["name"])
            if last and last.holder == (event["member"], event["life"]):
                last.until_ms = min(last.until_ms, event["t"])
                last.valid_until_ms = min(last.valid_until_ms, event["t"])
        elif kind == "begin":
            last = self.tenures.get(event["name"])
            is_holder = last is not None and last.holder == (event["member"], event["life"])
            if last is None or not is_holder or event["checked"] > last.valid_until_ms + ROUNDING_SLACK_MS:
                self._add_violation(
                    "act-unheld",
                    event,
                    f"{event['member']} begins an act under lease {event['name']} with "
                    f"token {event['token']}; the lease is held by {last.holder[0] if last else 'nobody'}",
                )
        elif kind == "took":
            self._check_accepted_token(event)

    def _check_hold(self, event: Event) -> None:
        name, holder = event["name"], (event["member"], event["life"])
        last = self.tenures.get(name)
        if last is not None and last.holder != holder:
            self.counts["handovers"] = self.counts.get("handovers", 0) + 1
            if event["t"] < last.until_ms - ROUNDING_SLACK_MS:
                self._add_violation(
                    "two-holders",
                    event,
                    f"{holder[0]} holds {name} (token {event['token']}) while "
                    f"{last.holder[0]} holds it (token {last.token}) for {last.until_ms - event['t']:.1f} ms more",
                )
            if self.must_tokens_rise and event["token"] <= last.token:
                self._add_violation(
                    "token-falls",
                    event,
                    f"{name}: token {event['token']} of {holder[0]} follows token {last.token} of {last.holder[0]}",
                )
        self.tenures[name] = _Tenure(holder, event["token"], event["until"], event["valid"])

    def _check_accepted_token(self, event: Event) -> None:
        key = (event["member"], event["life"], event["name"])
        token, token_holder = self._accepted.get(key, (0, ""))
        if event["token"] < token or (event["token"] == token and event["holder"] != token_holder):
            self._add_violation(
                "stale-act",
                event,
                f"{event['member']} accepts an act under lease {event['name']} with token {event['token']} of "
                f"{event['holder']} after token {token} of {token_holder}",
            )
        self._accepted[key] = (event["token"], event["holder"])

    def _add_violation(self, rule: str, event: Event, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, event["t"], text))


def check_leases(events: Iterable[Event], must_tokens_rise: bool = True) -> LeaseChecker:
    """Return a checker that has processed a whole history; ``events`` may be in any order."""
    checker = LeaseChecker(must_tokens_rise)
    for event in sorted(events, key=lambda event: event["t"]):
        checker.feed(event)
    return checker


def longest_probe_gaps_ms(events: Iterable[Event], began_ms: float, ended_ms: float) -> dict[str, float]:
    """Return by backend the longest time in ms, from ``began_ms`` to ``ended_ms``, without the start of a probe.

    Backends that were never probed are not in the result; the caller knows which backends exist.
    """
    times_by_backend: dict[str, list[float]] = {}
    for event in events:
        if event["kind"] == "probe":
            times_by_backend.setdefault(event["name"], []).append(event["t"])
    longest_gaps_ms = {}
    for name, probe_times_ms in times_by_backend.items():
        boundaries_ms = [
            began_ms,
            *sorted(time_ms for time_ms in probe_times_ms if began_ms <= time_ms <= ended_ms),
            ended_ms,
        ]
        longest_gaps_ms[name] = max(later - earlier for earlier, later in itertools.pairwise(boundaries_ms))
    return longest_gaps_ms
