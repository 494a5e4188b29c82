"""Tests of a proxy's evidence on regions: failures, late responses, failed fills and local faults."""

from __future__ import annotations

import pytest

from beechslip.regions.failure_evidence import MAX_REGIONS, FailureEvidence


def test_evidence_tells_a_slowed_region_from_a_distant_one() -> None:
    evidence = FailureEvidence()
    for n in range(100):
        evidence.record_response(n * 20.0, "hub:far", 400.0)
        evidence.record_response(n * 20.0, "hub:near", 40.0 if n < 90 else 400.0)
    statistics = evidence.statistics(2000.0)
    assert statistics["hub:far"].failures == 0
    assert statistics["hub:near"].failures > 5
    assert statistics["hub:near"].score > 10


def test_score_is_not_lowered_by_earlier_successes() -> None:
    evidence = FailureEvidence()
    for n in range(500):
        evidence.record_response(n * 2.0, "hub:a", 40.0)
    for _ in range(3):
        evidence.record_failure(1000.0, "hub:a")
    assert evidence.statistics(1000.0)["hub:a"].score == pytest.approx(9.0, abs=0.1)
    evidence.reset_regions(frozenset({"hub:a", "hub:odd"}))
    assert "hub:a" not in evidence.statistics(1000.0)
    for n in range(1000):  # one attempt in a hundred fails, so the score decays
        now_ms = 2000.0 + n * 10
        if n % 100 == 0:
            evidence.record_failure(now_ms, "hub:a")
        else:
            evidence.record_response(now_ms, "hub:a", 40.0)
    assert evidence.statistics(12_000.0)["hub:a"].score == 0.0


def test_score_stays_zero_while_only_a_minority_of_backends_fails() -> None:
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
    assert evidence.statistics(500.0)["cache:s"].score > 20  # three of four backends fail


def test_failed_fill_counts_against_the_cache_only_if_all_sources_fail() -> None:
    evidence = FailureEvidence()
    evidence.record_fill(0.0, "cache:s", "hub:c")
    evidence.record_failed_fill(0.0, "cache:s", "hub:a", False)
    evidence.record_failed_fill(0.0, "cache:s", "hub:b", False)
    assert set(evidence.statistics(0.0)) == {"hub:a", "hub:b"}
    evidence.record_failed_fill(10.0, "cache:s", "hub:c", False)
    assert evidence.statistics(10.0)["cache:s"].failures == 1
    assert not evidence.has_local_fault(10.0)  # there were responses, so the proxy's own link works
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
