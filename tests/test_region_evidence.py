"""What one proxy observes of each region, and how a fault is told from a slow or distant region."""

from __future__ import annotations

import pytest

from beechslip.regions.failure_evidence import MAX_REGIONS, FailureEvidence


def test_a_slow_region_is_distinguished_from_a_distant_one() -> None:
    evidence = FailureEvidence()
    for n in range(100):
        evidence.record_response(n * 20.0, "hub:far", 400.0)
        evidence.record_response(n * 20.0, "hub:near", 40.0 if n < 90 else 400.0)
    statistics = evidence.statistics(2000.0)
    assert statistics["hub:far"].failures == 0
    assert statistics["hub:near"].failures > 5
    assert statistics["hub:near"].score > 10


def test_earlier_successes_do_not_hide_failures() -> None:
    evidence = FailureEvidence()
    for n in range(500):
        evidence.record_response(n * 2.0, "hub:a", 40.0)
    for _ in range(3):
        evidence.record_failure(1000.0, "hub:a")
    assert evidence.statistics(1000.0)["hub:a"].score == pytest.approx(9.0, abs=0.1)
    evidence.reset_regions(frozenset({"hub:a", "hub:odd"}))
    assert "hub:a" not in evidence.statistics(1000.0)
    for n in range(1000):  # rare errors decay: one in a hundred
        now_ms = 2000.0 + n * 10
        if n % 100 == 0:
            evidence.record_failure(now_ms, "hub:a")
        else:
            evidence.record_response(now_ms, "hub:a", 40.0)
    assert evidence.statistics(12_000.0)["hub:a"].score == 0.0


def test_a_minority_of_outliers_is_no_failing_region() -> None:
    evidence = FailureEvidence()
    evidence.set_regions({"cache:s": 4, "hub:a": 1})
    for n in range(40):
        evidence.record_failure(10.0 * n, "cache:s", True, "s-0")
        for backend in (1, 2, 3):
            evidence.record_response(10.0 * n, "cache:s", 40.0, f"s-{backend}")
        evidence.record_failure(10.0 * n, "hub:a", True, "a-0")
    assert evidence.statistics(400.0)["cache:s"].score == 0.0
    assert evidence.statistics(400.0)["hub:a"].score > 20
    for backend in (1, 2):
        assert evidence.statistics(500.0)["cache:s"].score == 0.0
        for n in range(40, 50):
            evidence.record_failure(10.0 * n, "cache:s", True, f"s-{backend}")
    assert evidence.statistics(500.0)["cache:s"].score > 20  # three of four fail


def test_a_cache_is_blamed_only_if_no_source_does_better() -> None:
    evidence = FailureEvidence()
    evidence.record_fill(0.0, "cache:s", "hub:c")
    evidence.record_failed_fill(0.0, "cache:s", "hub:a", False)
    evidence.record_failed_fill(0.0, "cache:s", "hub:b", False)
    assert set(evidence.statistics(0.0)) == {"hub:a", "hub:b"}
    evidence.record_failed_fill(10.0, "cache:s", "hub:c", False)
    assert evidence.statistics(10.0)["cache:s"].failures == 1
    assert not evidence.has_local_fault(10.0)  # responses came, so the link is sound
    for region in ("hub:a", "hub:b", "hub:c", "cache:s"):
        evidence.record_failure(5000.0, region)
    assert evidence.has_local_fault(5000.0)
    evidence.record_utilization(5000.0, "hub:a", 7.0)
    assert evidence.statistics(5000.0)["hub:a"].utilization == pytest.approx(0.2)
    evidence.set_regions({"hub:a": 2})
    assert set(evidence.statistics(5000.0)) == {"hub:a"}
    for n in range(100):
        evidence.record_failure(5000.0, f"hub:{n}")
    assert MAX_REGIONS == 32
    assert len(evidence.statistics(5000.0)) <= MAX_REGIONS
