"""Rendezvous order of backends: equality with a plain reference, keys that move, and cost."""

from __future__ import annotations

import math
import random
import sys

import pytest

from beechslip.routing import Router
from beechslip.routing import interface as i
from beechslip.routing.placement import RendezvousOrder, hash_to_unit, stable_hash
from tests.helpers import SETTINGS


def reference_order(key: int, salts: list[int], weights: list[float]) -> list[int]:
    """Return the positions sorted by scores that are computed one by one."""
    return sorted(range(len(salts)), key=lambda n: math.log(hash_to_unit(key, salts[n])) / weights[n], reverse=True)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("weighted", [False, True])
def test_rendezvous_order_equals_the_reference(seed: int, weighted: bool) -> None:
    rng = random.Random(seed)
    salts = [stable_hash(f"s{n}") for n in range(rng.choice([1, 2, 5, 40, 300]))]
    weights = [rng.choice([1.0, 2.5, 4.0]) if weighted else 1.0 for _ in salts]
    order = RendezvousOrder(salts, weights)
    for key in (rng.getrandbits(64) for _ in range(50)):
        assert list(order.ranked_positions(key)) == reference_order(key, salts, weights)


def test_rendezvous_order_of_no_members_is_empty() -> None:
    assert list(RendezvousOrder((), ()).ranked_positions(7)) == []


def test_removal_of_a_backend_moves_only_its_own_keys() -> None:
    salts = [stable_hash(f"s{n}") for n in range(40)]
    before, after = RendezvousOrder(salts, [1.0] * 40), RendezvousOrder(salts[:-1], [1.0] * 39)
    for key in map(stable_hash, map(str, range(2_000))):
        home = next(before.ranked_positions(key))
        assert home == 39 or next(after.ranked_positions(key)) == home


def count_calls(router: Router, event: i.Event, now: float) -> int:
    """Return how many Python functions the handling of an event calls, which is equal on every machine."""
    count = 0

    def counted(frame: object, what: str, _: object) -> None:
        nonlocal count
        count += what == "call"

    sys.setprofile(counted)
    try:
        router.handle(now, event)
    finally:
        sys.setprofile(None)
    return count


def mean_call_counts(backends: int, zones: int) -> tuple[float, float]:
    """Return the mean number of calls for a request and for a changed entry of the endpoint list."""
    entries = [i.Endpoint(f"c{n}", "small", f"z{n % zones}") for n in range(backends)]
    entries += [i.Endpoint(f"p{n}", "parent", "hub") for n in range(4)] + [i.Endpoint("o", "origin", "hub")]
    router = Router(i.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__} | {"zone": "z0"}), 1)
    router.handle(1000.0, i.EndpointList("all", tuple(entries)))
    calls_per_request = [
        count_calls(router, i.Request(f"r{n}", "big", f"/{n}", size_kb=400.0, time_left=6.0), 1000.0 + n)
        for n in range(100)
    ]
    calls_per_change = [count_calls(router, i.EndpointList("changes", (entry,)), 1200.0) for entry in entries[:200]]
    return sum(calls_per_request) / len(calls_per_request), sum(calls_per_change) / len(calls_per_change)


def test_cost_of_a_request_and_of_a_list_change_with_sixteen_times_the_backends_is_bounded() -> None:
    few, many = mean_call_counts(200, 10), mean_call_counts(3_200, 10)
    assert many[0] <= 1.4 * few[0] and many[1] <= 16.0 * few[1]
