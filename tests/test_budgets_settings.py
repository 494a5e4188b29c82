"""Tests of the budgets' settings, messages, limits and costs, and of the quotas in the routing module."""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechslip.budgets.allocator import QuotaRequest
from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.budgets.messages import (
    MAX_ENTRIES,
    AllocationGrant,
    AllocationRequest,
    decode_budget,
    encode_budget,
    limit_id,
)
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.plan import BudgetPlan, slow_start_name
from beechslip.budgets.settings import read_budgets
from beechslip.config import Address, Config, ConfigError
from beechslip.core.model import AttemptRequest, Backend, ClientRequest
from beechslip.fleet.codec import MAX_DATAGRAM_BYTES, CodecError, encode
from beechslip.fleet.messages import PeerMessage
from beechslip.fleet.settings import read_fleet
from beechslip.leases.settings import read_leases
from beechslip.peering import read_checked_budgets
from beechslip.routing import interface as i
from tests.helpers import SETTINGS, RouterDriver
from tests.test_budgets import FakeLeaseView


def test_decoded_messages_equal_encoded_ones_and_fit_a_datagram() -> None:
    entries_by_limit = {n: QuotaRequest(1.5, 2.25, 3.0, 1 << 31, 0.1) for n in range(MAX_ENTRIES)}
    request = AllocationRequest((1 << 63) - 1, 1 << 31, 1 << 52, 40, entries_by_limit)
    decoded = decode_budget(encode_budget(request))
    assert isinstance(decoded, AllocationRequest) and (
        decoded.incarnation,
        decoded.seq,
        decoded.round,
        decoded.zone_members,
    ) == (
        request.incarnation,
        request.seq,
        1 << 52,
        40,
    )
    assert all(
        entry.granted_amount == 2.25
        and entry.grant_seq == 1 << 31
        and 3.0 <= entry.excess < 3.001
        and 0.0999 < entry.lent_amount < 0.1
        for entry in decoded.entries.values()
    )
    grant = AllocationGrant(7, 8, 1 << 52, dict.fromkeys(range(MAX_ENTRIES), 0.1))
    assert decode_budget(encode_budget(grant)) == grant
    for message in (request, grant):
        data = encode(PeerMessage("budget", "d511", 0, body=encode_budget(message)), "a-fleet-of-this-length")
        assert len(data) <= MAX_DATAGRAM_BYTES


def test_encoded_messages_equal_the_released_bytes() -> None:
    fills = limit_id("fills:hub")
    request = AllocationRequest(0x0102030405060708, 9, 70, 3, {fills: QuotaRequest(1.5, 2.25, 3.0, 8, 0.5)})
    assert encode_budget(request).hex() == (
        "3f01020304050607080000000900000000000000460003a3202b253fc000004040000d4002000000000000000000083effffef"
    )
    grant = AllocationGrant(0x0102030405060708, 9, 70, {fills: 2.25})
    assert encode_budget(grant).hex() == "2101020304050607080000000900000000000000460000a3202b254002000000000000"


def test_node_state_for_operators_keeps_its_keys() -> None:
    leases = FakeLeaseView("d0")
    leases.holder, leases.round = "d0", 5
    node = BudgetNode("d0", leases, 1, -1e6, 2)
    node.set_limits(0.0, [FleetLimit("w", "window", 20.0, 1000.0)])
    node.tick(0.0)
    node.spend(1.0, [LimitCost("w", 1.0)])
    limit_state = {"kind": "window", "whole": 20.0, "floor": 5.0, "lent": 2.5, "granted": 0.0}
    limit_state |= {"in_use": 1.0, "spent": 1, "refused": 0, "booked": 0.0}
    expected_state = {"member": "d0", "keeper": "d0", "token": 5, "keeping": True, "wholes": {"w": limit_state}}
    assert node.state(1.0) == expected_state


@given(st.binary(max_size=260))
def test_decode_budget_returns_a_message_or_raises_a_codec_error(data: bytes) -> None:
    with contextlib.suppress(CodecError):
        decode_budget(data)


def test_decode_budget_rejects_negative_and_non_finite_amounts() -> None:
    for amount in (float("nan"), float("inf"), -1.0):
        with pytest.raises(CodecError):
            decode_budget(encode_budget(AllocationGrant(1, 1, 1, {1: amount})))
        with pytest.raises(CodecError):
            decode_budget(encode_budget(AllocationRequest(1, 1, 1, 0, {1: QuotaRequest(amount)})))


def _read_budgets_file(
    tmp_path: Path, budgets: str, leases: str = "[leases]\nenabled = true\n", peers: int = 5
) -> Any:
    path = tmp_path / "fleet.toml"
    peer_list = ", ".join(f'"127.0.0.1:{7000 + n}"' for n in range(peers))
    path.write_text(
        f'enabled = true\nname = "t"\npeers = [{peer_list}]\n{leases}[budgets]\nenabled = true\n{budgets}\n'
    )
    fleet = read_fleet(path, Config("d0", Address("127.0.0.1", 1), 1, SETTINGS))
    assert fleet is not None
    return read_checked_budgets(fleet, read_leases(fleet), SETTINGS)


@pytest.mark.parametrize(
    ("budgets", "leases", "expected_match"),
    [
        ("", "", "leases is off"),
        ("odd = 1", "[leases]\nenabled = true\n", "odd"),
        ("floor_share = 1.2", "[leases]\nenabled = true\n", "floor_share is 1.2: the floors would sum"),
        ("grant_ms = 100", "[leases]\nenabled = true\n", "grant_ms"),
        ("origin_fills = 4", "[leases]\nenabled = true\n", "fills:origin: a floor of 1 of 4 over 5"),
        ("retries_per_s = 1", "[leases]\nenabled = true\n", "retries"),
        ("hub_bears = 0.1", "[leases]\nenabled = true\n", "cold:hub"),
        ("hub_fills = -1", "[leases]\nenabled = true\n", "hub_fills"),
    ],
)
def test_read_checked_budgets_rejects_unsafe_limits_by_name(
    tmp_path: Path, budgets: str, leases: str, expected_match: str
) -> None:
    with pytest.raises(ConfigError, match=expected_match) as error:
        _read_budgets_file(tmp_path, budgets, leases)
    assert "fleet.toml: budgets" in str(error.value)
    assert _read_budgets_file(tmp_path, "origin_fills = 20").amounts["origin_fills"] == 20
    # Budgets are off unless the table enables them, as in the shipped file.
    assert read_budgets(type("F", (), {"file": "f", "tables": {"budgets": {}}})(), None) is None


def test_attempt_costs_depend_on_role_and_warmth() -> None:
    config = _budgets_config()
    plan, now_ms = BudgetPlan(config, SETTINGS), 1_000_000.0
    warming_hub = Backend("h", "a", "parent", "hub", started_ms=now_ms)
    plan.update_backends(
        [
            warming_hub,
            Backend("o", "a", "origin", "hub"),
            Backend("c", "a", "small", "east", started_ms=now_ms - 8e3),
            Backend("w", "a", "small", "east", started_ms=now_ms - 60_000),
        ]
    )
    assert {limit.name: limit.kind for limit in plan.limits(now_ms)} == {
        "retries": "rate",
        "fills:h": "flight",
        "fills:o": "flight",
        f"cold:h@{now_ms:.0f}": "window",
        f"cold:c@{now_ms - 8e3:.0f}": "window",
    }

    def costs(backend: str, source: str, is_retry: bool = False) -> dict[str, float]:
        return dict(
            plan.attempt_costs(
                AttemptRequest(ClientRequest("r", "big", "x"), 0, plan.backends[backend], source, 1.0),
                is_retry,
                now_ms,
            )
        )

    assert costs("w", "") == {} and costs("w", "o", True) == {"retries": 1.0, "fills:o": 1.0}
    # 20 transfers x 1 s x half of 2.0 x 0.07 warm = 1.4 s of sending. A request of 100 ms is a fourteenth of that.
    assert costs("w", "h")[slow_start_name(warming_hub)] == pytest.approx(0.1 / 1.4)
    assert costs("c", "")["cold:c@992000"] == pytest.approx(0.1 / (40 * 1.25 * 0.6))
    assert plan.slow_start_limits(now_ms)["c"] == ("cold:c@992000", 40.0) and "w" not in plan.slow_start_limits(
        now_ms
    )


def _budgets_config() -> Any:
    from beechslip.budgets.settings import AMOUNT_KEYS, BudgetsConfig

    amounts = dict.fromkeys(AMOUNT_KEYS, 0.0) | {
        "retries_per_s": 10.0,
        "retry_burst": 20.0,
        "origin_fills": 20.0,
        "hub_fills": 40.0,
        "hub_bears": 20.0,
        "cache_bears": 40.0,
    }
    return BudgetsConfig(2000.0, 0.25, 100.0, 100.0, 0.01, amounts)


def test_router_follows_its_quotas_until_they_are_withdrawn() -> None:
    driver = RouterDriver()
    source = next(
        a.source for a in driver.handle_event(i.Request("r0", "big", "x", time_left=6.0)) if isinstance(a, i.Attempt)
    )
    driver.handle_event(i.Quotas(fills={source: 1.0}))  # one is already in flight
    other = next(
        a.source for a in driver.handle_event(i.Request("r1", "big", "x", time_left=6.0)) if isinstance(a, i.Attempt)
    )
    assert other != source
    driver.handle_event(i.Quotas())
    assert any(
        isinstance(a, i.Attempt) and a.source == source
        for a in driver.handle_event(i.Request("r2", "big", "x", time_left=6.0))
    )
    driver.handle_event(i.Quotas(retries=0.0))
    driver.handle_event(i.Outcome("r2", 0, next(iter(driver.router.endpoints.caches)).name, "connect_failed"))
    assert any(isinstance(a, i.Refuse) and a.request == "r2" for a in driver.actions)  # no retry is left


def test_router_uses_the_posted_slow_start_quota_of_a_cache() -> None:
    from tests.helpers import CACHES

    driver = RouterDriver()
    cache = driver.router.endpoints.backends[CACHES[0]]
    before = driver.router.slow_start.quota(cache, False)
    driver.handle_event(i.Quotas(cold={CACHES[0]: 12.5}))
    assert driver.router.slow_start.quota(cache, False) == 12.5
    driver.handle_event(i.Quotas())
    assert driver.router.slow_start.quota(cache, False) == before
