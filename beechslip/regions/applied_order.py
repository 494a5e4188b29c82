"""The newest order of the coordinator that a proxy has applied: its version and its table of region statuses."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from beechslip.regions.messages import CoordinatorOrder, region_id
from beechslip.regions.report_log import order_version
from beechslip.regions.status import RegionStatus, RegionTable


def table_for_history(table: RegionTable) -> dict[str, list[int]]:
    """Return the state and the step of each region, in the form that history events use."""
    return {name: [int(status.state), status.step] for name, status in table.items()}


class AppliedOrder:
    """The token, epoch and table of the newest order that was applied. Times are steady-clock ms.

    ``region_names`` maps the id of each listed region to its name. An order may contain other regions; they are
    ignored until they are listed.
    """

    def __init__(self, started_ms: float) -> None:
        """Create the state before the first order, in which all regions are in."""
        self.token = 0
        self.epoch = 0
        self.region_names: dict[int, str] = {}
        self._statuses: dict[int, RegionStatus] = {}
        self._last_received_ms = started_ms  # time at which this order or a newer one was last received

    @property
    def version(self) -> tuple[int, int]:
        """The token and epoch of the order, by which orders are compared; (0, 0) before the first order."""
        return self.token, self.epoch

    def set_regions(self, names: Iterable[str]) -> None:
        """Set the listed regions to those in the change log."""
        self.region_names = {region_id(name): name for name in names}

    def table(self) -> dict[str, RegionStatus]:
        """Return the status of each listed region."""
        return {name: self._statuses.get(number, RegionStatus()) for number, name in self.region_names.items()}

    def to_message(self) -> CoordinatorOrder:
        """Return the order as a message, to send to members that have missed it."""
        return CoordinatorOrder(self.token, self.epoch, self._statuses)

    def apply_if_newer(self, now_ms: float, order: CoordinatorOrder) -> frozenset[str] | None:
        """Apply ``order`` if it is newer than the applied one.

        Return the listed regions whose traffic fraction changes, or ``None`` if ``order`` is not newer.
        """
        version = order_version(order)
        if version >= self.version:
            self._last_received_ms = max(self._last_received_ms, now_ms)
        if version <= self.version:
            return None
        before = self._statuses
        self._statuses = dict(order.statuses)
        self.token = order.token
        self.epoch = order.epoch
        return self._changed_regions(before)

    def is_expired(self, now_ms: float, expiry_ms: float) -> bool:
        """True if the table is not empty and its order was last received at least ``expiry_ms`` ago."""
        return bool(self._statuses) and now_ms - self._last_received_ms >= expiry_ms

    def clear_table(self) -> None:
        """Treat all regions as in. The version is kept, so that no older order is applied afterwards."""
        self._statuses = {}

    def _changed_regions(self, before: Mapping[int, RegionStatus]) -> frozenset[str]:
        """Return the listed regions whose traffic fraction differs from that in the statuses ``before``."""
        default = RegionStatus()
        return frozenset(
            name
            for number, name in self.region_names.items()
            if before.get(number, default).traffic_fraction != self._statuses.get(number, default).traffic_fraction
        )
