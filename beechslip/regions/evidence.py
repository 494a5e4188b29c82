"""What one doorman has seen of each region of late, in few bytes: attempts, bad ones, load reports. Pure.

A region is ``cache:ZONE`` (a station's caches) or ``hub:ZONE`` (a hub zone's parents). Sums forget by half in
``HALF_MS``, and begin anew when the fleet's order for the region changes. ``score`` is a CUSUM (E. Page, "Continuous
Inspection Schemes", 1954): a bad attempt adds the logarithm of how much likelier it is at a rate of ``P1`` than at
``P0``, a good one takes its own away, and it never falls below 0; so what was well before a failure does not hide it.
An answer is late against the region's *own* usual time, which is learned from timely ones: a far hub is slow from the
start, and is not taken for a slow one.

A fill that errs or times out is its source's fault, unless all sources that the depot was asked to fill from of late
have failed: then it is the depot's, too. A doorman that has no answer from nearly everywhere blames its own link
(:meth:`Evidence.own_fault`): its word is not counted.
"""
from __future__ import annotations

import math
from dataclasses import dataclass

HALF_MS = 1500.0
P0, P1 = 0.02, 0.4  # rates of bad attempts: nothing unusual, and a region that fails
BAD, GOOD = math.log(P1 / P0), math.log((1.0 - P0) / (1.0 - P1))
MOST_SCORE = 25.0
LATE, LEAST_MS = 4.0, 150.0  # an answer is late after so many times the usual time, and never within LEAST_MS
BUSY_LEARN = 0.2  # weight of one more word on the load
LEARN = 0.05  # weight of one more timely answer in the usual time
MOST_REGIONS = 32
BROKEN = frozenset({"connect_failed", "reset"})  # the depot's own
SHARED = frozenset({"timeout", "error"})  # the depot's or its source's


@dataclass(frozen=True, slots=True)
class Seen:
    """Of one region: attempts, those that failed or came late, the mean share of its links in use (0 to 1), score."""

    tried: float = 0.0
    bad: float = 0.0
    busy: float = 0.0
    score: float = 0.0


@dataclass(slots=True)
class _Sums:
    at_ms: float
    tried: float = 0.0
    bad: float = 0.0
    busy: float = 0.0
    usual_ms: float = 0.0
    score: float = 0.0
    mute: float = 0.0  # of the bad ones, those without an answer

    def fade(self, now_ms: float) -> None:
        kept = 0.5 ** ((now_ms - self.at_ms) / HALF_MS)
        self.mute *= kept
        self.tried, self.bad, self.score, self.at_ms = self.tried * kept, self.bad * kept, self.score * kept, now_ms

    def count(self, bad: bool) -> None:
        self.tried += 1.0
        self.bad += bad
        self.score = min(max(self.score + (BAD if bad else -GOOD), 0.0), MOST_SCORE)


class Evidence:
    """Told of each attempt's end; ``seen`` is what goes round."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}
        self._ways: dict[tuple[str, str], tuple[float, bool]] = {}  # by depot's region and source's: the last end

    def follow(self, regions: frozenset[str]) -> None:
        """Nothing is kept of regions that are no longer listed."""
        self._sums = {name: sums for name, sums in self._sums.items() if name in regions}
        self._ways = {way: end for way, end in self._ways.items() if set(way) <= regions | {""}}

    def anew(self, regions: frozenset[str]) -> None:
        """Nothing that was seen of these before counts any more; their usual times stay."""
        for name in regions & self._sums.keys():
            sums = self._sums[name]
            sums.tried = sums.bad = sums.score = sums.mute = 0.0

    def loaded(self, now_ms: float, region: str, share: float) -> None:
        """How full its depots say their links are, or a cold one's allowance is (1: full)."""
        sums = self._of(now_ms, region)
        if sums is not None:
            sums.busy += (min(share, 1.0) - sums.busy) * BUSY_LEARN

    def answered(self, now_ms: float, region: str, elapsed_ms: float) -> None:
        sums = self._of(now_ms, region)
        if sums is None:
            return
        late = sums.usual_ms > 0 and elapsed_ms > max(LATE * sums.usual_ms, LEAST_MS)
        sums.count(late)
        if not late:
            sums.usual_ms += (elapsed_ms - sums.usual_ms) * (LEARN if sums.usual_ms else 1.0)

    def failed(self, now_ms: float, region: str, mute: bool = True) -> None:
        """``mute``: without any answer."""
        sums = self._of(now_ms, region)
        if sums is not None:
            sums.count(True)
            sums.mute += mute

    def filled(self, now_ms: float, depot: str, source: str) -> None:
        """A fill at ``depot`` from ``source`` (both regions; "" for the origin) has come."""
        self._ways[depot, source] = (now_ms, True)

    def unfilled(self, now_ms: float, depot: str, source: str, mute: bool) -> None:
        """It has not: the source's fault, and the depot's if none of its sources does better."""
        self._ways[depot, source] = (now_ms, False)
        if source:
            self.failed(now_ms, source, mute)
        ends = [good for (via, _), (at, good) in self._ways.items() if via == depot and now_ms - at < 2 * HALF_MS]
        if not source or (len(ends) > 1 and not any(ends)):
            self.failed(now_ms, depot, mute)

    def seen(self, now_ms: float) -> dict[str, Seen]:
        """By region with anything to tell of."""
        for sums in self._sums.values():
            sums.fade(now_ms)
        return {name: Seen(s.tried, s.bad, s.busy, s.score) for name, s in self._sums.items() if s.tried >= 0.05}

    def own_fault(self, now_ms: float) -> bool:
        """Hardly any answer comes, from whatever region: it is this doorman's link."""
        for sums in self._sums.values():
            sums.fade(now_ms)
        tried = [s for s in self._sums.values() if s.tried >= 1.0]
        return len(tried) >= 3 and sum(s.mute > 0.5 * s.tried for s in tried) * 3 > 2 * len(tried)

    def _of(self, now_ms: float, region: str) -> _Sums | None:
        sums = self._sums.get(region)
        if sums is None:
            if len(self._sums) >= MOST_REGIONS:
                return None
            sums = self._sums[region] = _Sums(now_ms)
        sums.fade(now_ms)
        return sums

