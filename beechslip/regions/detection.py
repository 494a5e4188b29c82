"""The test by which the coordinator detects a failing region from the statistics that all proxies report.

The pooled score of a region is the sum of the proxies' CUSUM scores, each reduced by ``SCORE_SHRINKAGE`` (Y. Mei,
"Efficient scalable schemes for monitoring a large number of data streams", 2010). The highest score counts for no
more than all the others together. A region is failing if both of these hold:

- Its pooled score exceeds ln(1 / ``FALSE_ALARM_PROBABILITY``) plus twice the lower median of the pooled scores of the
  role's other regions. A fault that affects all of them alike has its cause outside these regions.
- At least two proxies report failures.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from beechslip.regions.failure_evidence import FAILURE_WEIGHT, RegionStatistics
from beechslip.regions.status import RegionState, RegionStatus, RegionTable, region_role

ReportedStatistics = Mapping[str, Mapping[str, RegionStatistics]]
"""The statistics in the last report of each member: by member, then by region."""

FALSE_ALARM_PROBABILITY = 1e-6  # in one test of a region without a fault
SCORE_SHRINKAGE = 0.5 * FAILURE_WEIGHT  # subtracted from the score of each proxy
BASELINE_FACTOR = 2.0  # the median of the role's other regions, times this factor, is added to the threshold
MIN_CONTRIBUTING_PROXIES = 2  # with failures; all of them if fewer proxies report

FAILURE_THRESHOLD = math.log(1.0 / FALSE_ALARM_PROBABILITY)


@dataclass(frozen=True, slots=True)
class PooledScore:
    """The pooled score of one region and the number of proxies that contribute to it."""

    value: float
    contributing_proxies: int


@dataclass(frozen=True, slots=True)
class PooledTraffic:
    """The attempts at one region in all reports, and the highest link utilization (0 to 1) in any of them."""

    attempts: float
    max_utilization: float


def pooled_traffic(region: str, reports: ReportedStatistics) -> PooledTraffic:
    """Return the attempts at ``region`` and its highest link utilization; zeros if no report contains it."""
    region_statistics = [report[region] for report in reports.values() if region in report]
    attempts = sum(statistics.attempts for statistics in region_statistics)
    return PooledTraffic(attempts, max((statistics.utilization for statistics in region_statistics), default=0.0))


def pooled_score(region: str, reports: ReportedStatistics) -> PooledScore:
    """Return the sum of the reduced scores of ``region``.

    The highest of them is limited to the sum of the others, or to ``SCORE_SHRINKAGE`` if that is more.
    """
    scores = sorted(
        max(report[region].score - SCORE_SHRINKAGE, 0.0) for report in reports.values() if region in report
    )
    if not scores:
        return PooledScore(0.0, 0)
    others = sum(scores[:-1])
    value = others + min(scores[-1], max(others, SCORE_SHRINKAGE))
    return PooledScore(value, sum(score > 0 for score in scores))


def baseline_score(region: str, reports: ReportedStatistics, table: RegionTable) -> float:
    """Return the lower median pooled score of the role's other regions that are in; 0 if there are none."""
    names = sorted({name for statistics in reports.values() for name in statistics})
    others = sorted(
        pooled_score(name, reports).value
        for name in names
        if name != region
        and region_role(name) == region_role(region)
        and table.get(name, RegionStatus()).state is RegionState.IN
    )
    return others[(len(others) - 1) // 2] if others else 0.0


def is_failing(region: str, score: PooledScore, reports: ReportedStatistics, table: RegionTable) -> bool:
    """True if ``score`` of ``region`` is high enough to leave the region or to go back a step of its ramp."""
    if score.contributing_proxies < min(MIN_CONTRIBUTING_PROXIES, len(reports)):
        return False
    return score.value > FAILURE_THRESHOLD + BASELINE_FACTOR * baseline_score(region, reports, table)
