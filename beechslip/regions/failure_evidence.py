"""What one proxy has recently observed of each region: attempts, failures, utilization and a CUSUM score.

This module only computes; it sends no messages and reads no clock.

The sums halve every ``EVIDENCE_HALF_LIFE_MS`` and are reset when the fleet's order for the region changes. The score
is a CUSUM (E. Page, "Continuous Inspection Schemes", 1954). A failed attempt adds the logarithm of how much more
likely it is at ``FAULT_FAILURE_RATE`` than at ``NORMAL_FAILURE_RATE``. A successful attempt subtracts its own weight.
The score never falls below 0, so that earlier successes do not hide a failure.

Whether a response is late is judged by the region's *own* usual response time, which is learned from timely ones. A
distant hub, which is slow from the start, is therefore no outlier. Response times have long tails, which grow under
load, so a late response counts less than a failure (``LATE_WEIGHT``): more than a third of the responses must be late
to have the effect of a fifth that fail.

A region is failing when most of its backends are. Each backend has a score, and the worst half do not count, because
the router of each proxy ejects a single outlier by itself.

A fill that ends with an error or a timeout is attributed to its source. It is attributed to the backend as well if
all sources from which the backend's region has recently filled have failed.

If most regions hardly respond, the proxy's own link is at fault (:meth:`FailureEvidence.has_local_fault`), and its
report is not counted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

EVIDENCE_HALF_LIFE_MS = 1500.0

NORMAL_FAILURE_RATE = 0.02  # of attempts at a region without a fault
FAULT_FAILURE_RATE = 0.4  # of attempts at a failing region
NORMAL_LATE_RATE = 0.15  # of responses of a region without a fault on a busy day
FAULT_LATE_RATE = 0.6  # of responses of a region that has slowed down

FAILURE_WEIGHT = math.log(FAULT_FAILURE_RATE / NORMAL_FAILURE_RATE)
LATE_WEIGHT = math.log(FAULT_LATE_RATE / NORMAL_LATE_RATE)
SUCCESS_WEIGHT = math.log((1.0 - NORMAL_LATE_RATE) / (1.0 - FAULT_LATE_RATE))  # subtracted from the score
MAX_SCORE = 25.0  # of a backend and of a region; one byte of a datagram holds it in units of 0.1

LATE_FACTOR = 4.0  # a response is late after this many times the usual response time
MIN_LATE_MS = 150.0  # a response within this time (ms) is never late
UTILIZATION_SMOOTHING = 0.2  # weight of a new utilization in the moving average
USUAL_TIME_SMOOTHING = 0.05  # weight of a new timely response in the moving average

MAX_REGIONS = 32
MAX_SCORED_BACKENDS = 64  # in one region
MIN_REPORTED_ATTEMPTS = 0.05  # a region with fewer decayed attempts is left out of reports

FILL_COMPARISON_MS = 2 * EVIDENCE_HALF_LIFE_MS  # sources are compared by their last fills within this time (ms)
MIN_REGIONS_FOR_LOCAL_FAULT = 3  # with attempts, needed to attribute the fault to the proxy's own link

BACKEND_FAILURE_RESULTS = frozenset({"connect_failed", "reset"})  # attributed to the backend itself
AMBIGUOUS_FAILURE_RESULTS = frozenset({"timeout", "error"})  # attributed to the backend or to its source


@dataclass(frozen=True, slots=True)
class RegionStatistics:
    """Decayed statistics of one region.

    ``failures`` counts the ``attempts`` that failed or whose response was late. ``utilization`` (0 to 1) is that of
    the region's links, and ``score`` is its CUSUM score.
    """

    attempts: float = 0.0
    failures: float = 0.0
    utilization: float = 0.0
    score: float = 0.0


@dataclass(slots=True)
class _RegionSums:
    """The decaying sums of one region, valid at ``updated_ms``."""

    updated_ms: float
    attempts: float = 0.0
    failures: float = 0.0
    utilization: float = 0.0
    usual_response_ms: float = 0.0
    failures_without_response: float = 0.0
    scores: dict[str, float] = field(default_factory=dict)  # by backend

    def decay_to(self, now_ms: float) -> None:
        """Decay the sums from ``updated_ms`` to ``now_ms``."""
        factor = 0.5 ** ((now_ms - self.updated_ms) / EVIDENCE_HALF_LIFE_MS)
        self.failures_without_response *= factor
        self.attempts *= factor
        self.failures *= factor
        self.updated_ms = now_ms
        self.scores = {backend: score * factor for backend, score in self.scores.items() if score > 0.0}

    def count_attempt(self, backend: str, failure_weight: float) -> None:
        """Count an attempt at ``backend``; a ``failure_weight`` of 0 is a success."""
        self.attempts += 1.0
        self.failures += failure_weight > 0.0
        if backend in self.scores or (failure_weight > 0.0 and len(self.scores) < MAX_SCORED_BACKENDS):
            score = self.scores.get(backend, 0.0) + (failure_weight or -SUCCESS_WEIGHT)
            self.scores[backend] = min(max(score, 0.0), MAX_SCORE)

    def region_score(self, backends: int) -> float:
        """Return the score of a region with ``backends`` backends: the sum of the scores without the worst half."""
        return min(sum(sorted(self.scores.values(), reverse=True)[backends // 2 :]), MAX_SCORE)


@dataclass(frozen=True, slots=True)
class _FillResult:
    """The result of the last fill of one region's backends from one source region."""

    ended_at_ms: float
    has_succeeded: bool


class FailureEvidence:
    """Computes statistics for each region from the results of one proxy's attempts. Times are steady-clock ms."""

    def __init__(self) -> None:
        """Create empty evidence without regions."""
        self._sums: dict[str, _RegionSums] = {}
        self._fills: dict[tuple[str, str], _FillResult] = {}  # by the regions of backend and source
        self._backend_counts: Mapping[str, int] = {}

    def set_regions(self, backend_counts: Mapping[str, int]) -> None:
        """Set the number of backends in service in each listed region, and drop the evidence on all other regions."""
        self._backend_counts = dict(backend_counts)
        listed = frozenset(backend_counts)
        self._sums = {name: sums for name, sums in self._sums.items() if name in listed}
        self._fills = {pair: fill for pair, fill in self._fills.items() if set(pair) <= listed | {""}}

    def reset_regions(self, regions: frozenset[str]) -> None:
        """Drop the attempts and scores of ``regions``; their usual response times are kept."""
        for name in regions & self._sums.keys():
            sums = self._sums[name]
            sums.attempts = 0.0
            sums.failures = 0.0
            sums.failures_without_response = 0.0
            sums.scores.clear()

    def record_utilization(self, now_ms: float, region: str, utilization: float) -> None:
        """Record how full a link is, or which fraction of a warming-up backend's allowance is used (1: all of it)."""
        sums = self._get_decayed_sums(now_ms, region)
        if sums is not None:
            sums.utilization += (min(utilization, 1.0) - sums.utilization) * UTILIZATION_SMOOTHING

    def record_response(self, now_ms: float, region: str, elapsed_ms: float, backend: str = "") -> None:
        """Record a response after ``elapsed_ms``: a success, or if it is late a failure with a smaller weight."""
        sums = self._get_decayed_sums(now_ms, region)
        if sums is None:
            return
        is_late = sums.usual_response_ms > 0 and elapsed_ms > max(LATE_FACTOR * sums.usual_response_ms, MIN_LATE_MS)
        sums.count_attempt(backend, LATE_WEIGHT if is_late else 0.0)
        if not is_late:
            smoothing = USUAL_TIME_SMOOTHING if sums.usual_response_ms else 1.0
            sums.usual_response_ms += (elapsed_ms - sums.usual_response_ms) * smoothing

    def record_failure(self, now_ms: float, region: str, no_response: bool = True, backend: str = "") -> None:
        """Record a failed attempt.

        ``no_response`` is true if there was no response at all, which may be the fault of the proxy's own link.
        """
        sums = self._get_decayed_sums(now_ms, region)
        if sums is not None:
            sums.count_attempt(backend, FAILURE_WEIGHT)
            sums.failures_without_response += no_response

    def record_fill(self, now_ms: float, region: str, source_region: str) -> None:
        """Record a successful fill in ``region`` from ``source_region`` ("" for the origin)."""
        self._fills[region, source_region] = _FillResult(now_ms, True)

    def record_failed_fill(
        self,
        now_ms: float,
        region: str,
        source_region: str,
        no_response: bool,
        backend: str = "",
        source: str = "",
    ) -> None:
        """Record a failed fill.

        ``backend`` of ``region`` was to be filled from ``source`` of ``source_region`` ("" for the origin). The
        failure is attributed to the source. It is attributed to the backend as well if ``region`` has recently filled
        from two or more source regions and the last fill from each of them failed. A failed fill from the origin is
        attributed to the backend alone.
        """
        self._fills[region, source_region] = _FillResult(now_ms, False)
        if source_region:
            self.record_failure(now_ms, source_region, no_response, source)
        recent = [
            fill.has_succeeded
            for (filled, _), fill in self._fills.items()
            if filled == region and now_ms - fill.ended_at_ms < FILL_COMPARISON_MS
        ]
        if not source_region or (len(recent) > 1 and not any(recent)):
            self.record_failure(now_ms, region, no_response, backend)

    def statistics(self, now_ms: float) -> dict[str, RegionStatistics]:
        """Return the statistics at ``now_ms`` of each region with recent attempts."""
        self._decay_all(now_ms)
        return {
            name: RegionStatistics(
                sums.attempts, sums.failures, sums.utilization, sums.region_score(self._backend_counts.get(name, 1))
            )
            for name, sums in self._sums.items()
            if sums.attempts >= MIN_REPORTED_ATTEMPTS
        }

    def has_local_fault(self, now_ms: float) -> bool:
        """True if over two thirds of the regions hardly respond, so that this proxy's own link is at fault."""
        self._decay_all(now_ms)
        active = [sums for sums in self._sums.values() if sums.attempts >= 1.0]
        silent = sum(sums.failures_without_response > 0.5 * sums.attempts for sums in active)
        return len(active) >= MIN_REGIONS_FOR_LOCAL_FAULT and silent * 3 > 2 * len(active)

    def _decay_all(self, now_ms: float) -> None:
        """Decay the sums of all regions to ``now_ms``."""
        for sums in self._sums.values():
            sums.decay_to(now_ms)

    def _get_decayed_sums(self, now_ms: float, region: str) -> _RegionSums | None:
        """Return the sums of ``region`` at ``now_ms``; ``None`` if it is new and ``MAX_REGIONS`` is reached."""
        sums = self._sums.get(region)
        if sums is None:
            if len(self._sums) >= MAX_REGIONS:
                return None
            sums = self._sums[region] = _RegionSums(now_ms)
        sums.decay_to(now_ms)
        return sums
