"""The types that a region node shares with its caller: leases, timing, messages to send and history events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from beechslip.regions.messages import RegionMessage

LEASE = "steward"  # the coordinator's lease, by its name in datagrams, settings and the history


OutgoingMessages = list[tuple[str, RegionMessage]]
"""Messages to send, each with the member that receives it."""

HistoryWriter = Callable[..., None]
"""Writes a history event: takes its kind, and its fields as keyword arguments."""


class LeaseView(Protocol):
    """Read access to the leases, as :class:`beechslip.leases.node.LeaseNode` provides it."""

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the token of the lease ``name`` if this proxy holds it, else ``None``."""

    def holder(self, name: str, now_ms: float) -> str:
        """Return the member that holds the lease ``name`` as far as this proxy knows; "" if none does."""


def discard_history_event(kind: str, **facts: object) -> None:
    """Write no history event."""


@dataclass(frozen=True, slots=True)
class RegionTiming:
    """Times in ms, from the table ``regions`` of the fleet file.

    A report is sent every ``report_interval_ms``, and a report older than ``report_expiry_ms`` is not counted. For
    ``recovery_ms`` after its start a member does not count as knowing the newest order. After ``order_expiry_ms``
    without a coordinator an order is dropped.
    """

    report_interval_ms: float = 250.0
    report_expiry_ms: float = 1500.0
    recovery_ms: float = 6000.0
    order_expiry_ms: float = 30_000.0
