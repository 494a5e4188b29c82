"""What a region node reads of the leases, its times, and the types of what it hands to its caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from beechslip.regions.messages import RegionMessage

LEASE = "steward"  # the lease's name in datagrams, settings and the history


Outgoing = list[tuple[str, RegionMessage]]
"""Messages to send, each with the member that it goes to."""

HistoryNote = Callable[..., None]
"""Takes the kind of a history event and its facts as keywords."""


class LeaseView(Protocol):
    """What is read of the leases; :class:`beechslip.leases.node.LeaseNode` provides it."""

    def held_token(self, name: str, now_ms: float) -> int | None:
        """The token of the lease ``name`` while this proxy holds it, else ``None``."""

    def holder(self, name: str, now_ms: float) -> str:
        """The member that holds the lease as far as this proxy knows; "" if none does."""


def no_history(kind: str, **facts: object) -> None:
    """Drop a history event."""


@dataclass(frozen=True, slots=True)
class RegionTiming:
    """Times in ms, from the table ``regions`` of the fleet file.

    ``report_interval_ms`` lies between reports; a report older than ``report_expiry_ms`` is not counted; a member
    that has just started is not counted as knowing the newest order for ``recovery_ms``; without a coordinator for
    ``order_expiry_ms`` an order is dropped.
    """

    report_interval_ms: float = 250.0
    report_expiry_ms: float = 1500.0
    recovery_ms: float = 6000.0
    order_expiry_ms: float = 30_000.0
