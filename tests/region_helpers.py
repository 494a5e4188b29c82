"""Helpers that run a fleet of region nodes in memory."""

from __future__ import annotations

from beechslip.regions.coordinator import CoordinatorTuning
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import LEASE

BACKEND_COUNTS = {"hub:a": 1, "hub:b": 1, "hub:c": 1, "cache:s": 2}
TUNING = CoordinatorTuning(initial_wait_ms=1000.0, step_ms=100.0, backoff_reset_ms=5000.0)
STARTED_MS = -1e6  # so long before the test that every node counts as recovered


class FakeLeaseView:
    """The view that one member has of the coordinator's lease, set by the test."""

    def __init__(self, me: str) -> None:
        """Create the view of member ``me``, without a holder of the lease."""
        self.me = me
        self.holder_name = ""
        self.token = 0

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the token if this member is the holder, else ``None``."""
        return self.token if self.holder_name == self.me and name == LEASE else None

    def holder(self, name: str, now_ms: float) -> str:
        """Return the member that the test has made the holder, or ""."""
        return self.holder_name


def make_nodes(count: int = 3) -> tuple[list[RegionNode], list[FakeLeaseView]]:
    """Return nodes ``d0``, ``d1``, ... that are all declared members, and their views of the lease."""
    members = tuple(f"d{n}" for n in range(count))
    leases = [FakeLeaseView(name) for name in members]
    nodes = [
        RegionNode(name, lease, incarnation, STARTED_MS, members, TUNING)
        for incarnation, (name, lease) in enumerate(zip(members, leases, strict=True), start=1)
    ]
    for node in nodes:
        node.set_regions(BACKEND_COUNTS)
    return nodes, leases


def grant_lease(leases: list[FakeLeaseView], holder: str, token: int) -> None:
    """Make ``holder`` the holder of the lease with ``token`` in all views."""
    for lease in leases:
        lease.holder_name = holder
        lease.token = token


def tick_and_deliver(nodes: list[RegionNode], now_ms: float, disconnected: frozenset[str] = frozenset()) -> None:
    """Tick all nodes except ``disconnected`` and deliver all messages, also those sent in response."""
    pending = [
        (node.me, to, message) for node in nodes if node.me not in disconnected for to, message in node.tick(now_ms)
    ]
    for _ in range(200):
        if not pending:
            return
        sender, to, message = pending.pop(0)
        if to not in disconnected:
            responses = nodes[int(to[1:])].receive(now_ms, sender, message)
            pending += [(to, receiver, response) for receiver, response in responses]
