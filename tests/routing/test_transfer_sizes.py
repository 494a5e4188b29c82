"""Which transfers are short beside those that occupy the links."""

from __future__ import annotations

import pytest

from beechslip.routing.transfer_sizes import MAX_SHORT_FRACTION, TransferSizes


def test_no_transfer_is_short_while_no_size_is_known() -> None:
    assert not TransferSizes().is_short(0.001)


def test_no_transfer_is_short_where_all_are_alike() -> None:
    sizes = TransferSizes()
    for _ in range(20):
        sizes.record(0.0, 0.2)
    assert not sizes.is_short(0.2) and not sizes.is_short(0.19)


@pytest.mark.parametrize(("work", "is_short"), [(0.05, True), (0.12, False), (1.0, False)])
def test_transfer_is_compared_with_one_found_on_a_link_at_a_random_moment(work: float, is_short: bool) -> None:
    sizes = TransferSizes()
    for _ in range(10):
        sizes.record(0.0, 0.02)
        sizes.record(0.0, 1.0)
    found = (0.02**2 + 1.0**2) / (0.02 + 1.0)
    assert (work < MAX_SHORT_FRACTION * found) == sizes.is_short(work) == is_short
    assert sizes.is_short(0.02)
