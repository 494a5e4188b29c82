"""Faults that can be injected into the region code. Each replaces a method; importing this module registers them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from beechslip.regions.applied_order import AppliedOrder
from beechslip.regions.coordinator import CoordinatorTuning, RegionCoordinator
from beechslip.regions.messages import CoordinatorOrder
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import LEASE
from lab.injected_faults import register_replacement

Method = Callable[..., Any]

GROUP = "regions"


def _older_order_applied(apply_order: Method) -> Method:
    """A proxy applies an order that arrives late, though it has already applied a newer one."""

    def replacement(self: AppliedOrder, now_ms: float, order: CoordinatorOrder) -> Any:
        if (order.token, order.epoch) != self.version:
            self.token = 0
            self.epoch = 0
        return apply_order(self, now_ms, order)

    return replacement


def _guard_ignored(may_leave: Method) -> Method:
    """Any region may be taken out, however many are out already."""
    return lambda self, region, sizes, changes=None: True


def _all_regions_may_be_out(init: Method) -> Method:
    """The fraction of backends that may be out is 1, whatever the settings say."""

    def replacement(self: RegionCoordinator, tuning: CoordinatorTuning, table: Any, now_ms: float) -> None:
        init(self, dataclasses.replace(tuning, max_out_fraction=1.0), table, now_ms)

    return replacement


def _newest_order_not_requested(coordinate: Method) -> Method:
    """A new coordinator does not ask for the newest order."""

    def replacement(self: RegionNode, now_ms: float) -> Any:
        token = self._leases.held_token(LEASE, now_ms)
        if token is not None and token != self._tenure_token:
            self._tenure_token = token
            self._coordinator = RegionCoordinator(self.tuning, self.applied_order.table(), now_ms)
        return coordinate(self, now_ms)

    return replacement


def _acknowledgements_not_awaited(acknowledged: Method) -> Method:
    """The next order does not wait until a majority has applied the last one."""
    return lambda self, reports: True


class _LeaseHeldForever:
    """A view of the leases by which this proxy holds each of them forever."""

    def __init__(self, leases: Any, token: int) -> None:
        """Hold each lease under ``token``; ``leases`` are the true ones."""
        self._leases = leases
        self._token = token

    def held_token(self, name: str, now_ms: float) -> int:
        """Return the token, whatever the time."""
        return self._token

    def holder(self, name: str, now_ms: float) -> str:
        """Return the true holder."""
        holder: str = self._leases.holder(name, now_ms)
        return holder


def _lease_ignored(tick: Method) -> Method:
    """A former coordinator continues as if it still held the lease."""

    def replacement(self: RegionNode, now_ms: float) -> Any:
        leases = self._leases
        token = self._tenure_token
        if self._coordinator is None or not token or leases.held_token(LEASE, now_ms) is not None:
            return tick(self, now_ms)
        self._leases = _LeaseHeldForever(leases, token)
        outgoing = tick(self, now_ms)
        self._leases = leases
        return outgoing

    return replacement


register_replacement(
    "takes-any-order",
    GROUP,
    "a proxy applies an older order that arrives late",
    AppliedOrder,
    "apply_if_newer",
    _older_order_applied,
)
register_replacement(
    "guard-of-all", GROUP, "all regions may be out at once", RegionCoordinator, "__init__", _all_regions_may_be_out
)
register_replacement(
    "no-region-guard",
    GROUP,
    "a region may be taken out however many are out already",
    RegionCoordinator,
    "may_leave",
    _guard_ignored,
)
register_replacement(
    "starts-from-nothing",
    GROUP,
    "a new coordinator does not ask for the newest order",
    RegionNode,
    "_run_coordinator_round",
    _newest_order_not_requested,
)
register_replacement(
    "orders-unheld", GROUP, "a former coordinator continues to make orders", RegionNode, "tick", _lease_ignored
)
register_replacement(
    "orders-unacknowledged",
    GROUP,
    "the next order does not wait for acknowledgements of the last",
    RegionNode,
    "_is_acknowledged_by_majority",
    _acknowledgements_not_awaited,
)
