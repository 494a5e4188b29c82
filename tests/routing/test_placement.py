"""The order of backends for a key: equal to the plain reference; one that leaves moves its own keys alone."""

from __future__ import annotations

import math
import random
import sys

import pytest

from beechslip.routing import Router
from beechslip.routing import interface as i
from beechslip.routing.placement import RendezvousOrder, hash_to_unit, stable_hash
from tests.helpers import SETTINGS


def reference(key: int, salts: list[int], weights: list[float]) -> list[int]:
    """All scores one by one, sorted."""
    return sorted(range(len(salts)), key=lambda n: math.log(hash_to_unit(key, salts[n])) / weights[n], reverse=True)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("weighted", [False, True])
def test_it_equals_the_reference_whatever_the_stores(seed: int, weighted: bool) -> None:
    rng = random.Random(seed)
    salts = [stable_hash(f"s{n}") for n in range(rng.choice([1, 2, 5, 40, 300]))]
    weights = [rng.choice([1.0, 2.5, 4.0]) if weighted else 1.0 for _ in salts]
    order = RendezvousOrder(salts, weights)
    for key in (rng.getrandbits(64) for _ in range(50)):
        assert list(order.ranked_positions(key)) == reference(key, salts, weights)


def test_of_no_store_there_is_no_order() -> None:
    assert list(RendezvousOrder((), ()).ranked_positions(7)) == []


def test_a_store_that_leaves_moves_its_own_keys_alone() -> None:
    salts = [stable_hash(f"s{n}") for n in range(40)]
    before, after = RendezvousOrder(salts, [1.0] * 40), RendezvousOrder(salts[:-1], [1.0] * 39)
    for key in map(stable_hash, map(str, range(2_000))):
        home = next(before.ranked_positions(key))
        assert home == 39 or next(after.ranked_positions(key)) == home


def steps(router: Router, event: i.Event, now: float) -> int:
    """Calls of Python functions that an event costs: the same on every machine."""
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


def mean_steps(backends: int, zones: int) -> tuple[float, float]:
    """Of a request, and of one changed entry of the list."""
    entries = [i.Endpoint(f"c{n}", "small", f"z{n % zones}") for n in range(backends)]
    entries += [i.Endpoint(f"p{n}", "parent", "hub") for n in range(4)] + [i.Endpoint("o", "origin", "hub")]
    router = Router(i.Settings(**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__} | {"zone": "z0"}), 1)
    router.handle(1000.0, i.EndpointList("all", tuple(entries)))
    asked = [
        steps(router, i.Request(f"r{n}", "big", f"/{n}", size_kb=400.0, time_left=6.0), 1000.0 + n)
        for n in range(100)
    ]
    changed = [steps(router, i.EndpointList("changes", (entry,)), 1200.0) for entry in entries[:200]]
    return sum(asked) / len(asked), sum(changed) / len(changed)


def test_a_request_and_a_change_cost_no_more_before_sixteen_times_the_stores() -> None:
    few, many = mean_steps(200, 10), mean_steps(3_200, 10)
    assert many[0] <= 1.4 * few[0] and many[1] <= 16.0 * few[1]
