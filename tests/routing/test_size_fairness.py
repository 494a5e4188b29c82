"""Guaranteed minimum shares of the largest requests of a class."""

from __future__ import annotations

import random

import pytest

from beechslip.routing import interface as i
from beechslip.routing.size_fairness import (
    GUARANTEED_FRACTION,
    MAX_CREDIT,
    MAX_DEFICIT,
    ServedShares,
    SizeBandClassifier,
)
from beechslip.routing.state import OpenRequest, SizeBand
from tests.helpers import CLASSES, RouterDriver, final_actions


def request(transfer_time: float, name: str = "big") -> OpenRequest:
    return OpenRequest(i.Request("r", name, time_left=6.0), CLASSES[name], 0.0, transfer_time)


def test_size_bands_are_relative_to_the_class() -> None:
    bands = SizeBandClassifier()
    for n in range(100):
        bands.classify(request(1.0 + 0.01 * n))
        bands.classify(request(0.01 + 0.0001 * n, "small"))
    bands_found = []
    for size, name in ((1.99, "big"), (1.8, "big"), (1.5, "big"), (0.0199, "small"), (0.011, "small")):
        bands.classify(one := request(size, name))
        bands_found.append(one.band)
    largest, next_largest, rest = SizeBand.LARGEST, SizeBand.NEXT_LARGEST, SizeBand.REST
    assert bands_found == [largest, next_largest, rest, largest, rest]


def banded_request(band: SizeBand) -> OpenRequest:
    one = request(1.0)
    one.band = band
    return one


def play_request(shares: ServedShares, one: OpenRequest, is_accepted: bool, is_completed: bool = True) -> bool:
    """Take a request from its arrival to its end and return whether it was served."""
    shares.record_arrival(one)
    is_sent = is_accepted or shares.is_owed(one)
    if is_sent:
        shares.record_sent(one)
    shares.record_end(one, is_sent and is_completed)
    return is_sent and is_completed


@pytest.mark.parametrize("served_of_rest", [0.3, 0.6, 0.9, 1.0])
def test_each_band_gets_its_guaranteed_part_under_lasting_overload(served_of_rest: float) -> None:
    rng, shares = random.Random(2), ServedShares()
    served: dict[SizeBand, list[bool]] = {band: [] for band in SizeBand}
    for _ in range(4000):
        one = banded_request(rng.choices(tuple(SizeBand), (0.1, 0.2, 0.7))[0])
        by_density = one.band is SizeBand.REST and rng.random() < served_of_rest
        served[one.band].append(play_request(shares, one, by_density))
    total_share = sum(map(sum, served.values())) / 4000
    for band in (SizeBand.LARGEST, SizeBand.NEXT_LARGEST):
        share = sum(served[band]) / len(served[band])
        assert share >= 0.95 * GUARANTEED_FRACTION * total_share
    assert total_share > 0.7 * served_of_rest


# Guards against guarantees that multiply over the stages, or that an attempt which runs out of time uses up (1e1777).
def test_band_whose_requests_were_sent_and_not_served_gets_its_guaranteed_part_of_those_served() -> None:
    rng, shares = random.Random(5), ServedShares()
    served: dict[SizeBand, list[bool]] = {band: [] for band in SizeBand}
    for _ in range(4000):
        one = banded_request(rng.choices(tuple(SizeBand), (0.1, 0.2, 0.7))[0])
        by_density = one.band is SizeBand.REST and rng.random() < 0.6
        is_completed = one.band is SizeBand.REST or rng.random() < 0.7
        served[one.band].append(play_request(shares, one, by_density, is_completed))
    total_share = sum(map(sum, served.values())) / 4000
    for band in (SizeBand.LARGEST, SizeBand.NEXT_LARGEST):
        assert sum(served[band]) / len(served[band]) >= 0.95 * GUARANTEED_FRACTION * total_share


def test_band_ahead_of_its_share_is_accepted_again_after_bounded_rejections() -> None:
    shares = ServedShares()
    for _ in range(50):  # without overload the band gets ahead of its share, up to its credit
        play_request(shares, banded_request(SizeBand.LARGEST), True)
    tries = 1
    while not play_request(shares, banded_request(SizeBand.LARGEST), False):
        tries += 1
    assert MAX_CREDIT < tries <= 2 * (MAX_CREDIT + MAX_DEFICIT) / GUARANTEED_FRACTION


def test_largest_requests_are_not_all_rejected_while_the_caches_are_full() -> None:
    driver, rng = RouterDriver(), random.Random(3)
    for backend in driver.router.endpoints.backends.values():
        backend.link_capacity = 8.0  # the load is taken from reports
    for n in range(120):
        driver.ask(f"/x{n}", size=400.0)
    driver.now += 1.5
    for key in list(driver.in_flight)[:60]:
        driver.finish_attempt(key, "ok", "hit")
    rejected = {True: 0, False: 0}
    for n in range(400):
        large = rng.random() < 0.1
        ended = final_actions(driver.ask(f"/y{n}", size=8000.0 if large else rng.uniform(50.0, 400.0)))
        rejected[large] += len(ended)
        for key in list(driver.in_flight)[:2]:
            driver.finish_attempt(key, "ok", "hit")
    assert 0 < rejected[True] < 40
