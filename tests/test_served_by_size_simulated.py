"""Tests of simulated proxies under overload and faults: the share served of the largest requests of a class."""

from __future__ import annotations

import pytest

from bench.service_by_size import shares_by_class
from lab.link_plays import QUIET_PLAYS, link_plays
from lab.link_simulation import LinkSimulation

SEEDS = (11, 12, 21)
WAITS_MS = (900, 1_600, 4_000)
MIN_RATIO, MIN_QUIET_RATIO = 0.6, 0.75  # of the share served of the largest and the next fifth to that of the class


# Guards against fills and hits of the largest requests that are refused, or that begin and run out of time (1e1777).
@pytest.mark.parametrize("wait_ms", WAITS_MS)
@pytest.mark.parametrize("name", link_plays(1.0))
def test_the_largest_requests_are_served_nearly_as_often_as_their_class(name: str, wait_ms: int) -> None:
    plan = link_plays(wait_ms / 1000.0)[name]
    shares = {seed: shares_by_class(LinkSimulation(plan, seed).run().values()) for seed in SEEDS}
    min_ratio = MIN_QUIET_RATIO if name in QUIET_PLAYS else MIN_RATIO
    failed = [
        (seed, class_shares)
        for seed, all_shares in shares.items()
        for class_shares in all_shares
        if min(class_shares.ratios) < min_ratio
    ]
    assert not failed, failed
