"""A fleet of region nodes in memory, for tests."""

from __future__ import annotations

from beechslip.regions.coordinator import CoordinatorTuning
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import LEASE

SIZES = {"hub:a": 1, "hub:b": 1, "hub:c": 1, "cache:s": 2}
TUNING = CoordinatorTuning(initial_wait_ms=1000.0, step_ms=100.0, backoff_reset_ms=5000.0)
STARTED_MS = -1e6  # long enough before a test that every node counts as recovered


class FakeLease:
    """One member's view of the coordinator's lease, set by a test."""

    def __init__(self, me: str) -> None:
        """Start without a holder."""
        self.me = me
        self.name = ""
        self.token = 0

    def held_token(self, name: str, now_ms: float) -> int | None:
        """The token if this member is the holder."""
        return self.token if self.name == self.me and name == LEASE else None

    def holder(self, name: str, now_ms: float) -> str:
        """The member that the test has made the holder."""
        return self.name


def make_nodes(size: int = 3) -> tuple[list[RegionNode], list[FakeLease]]:
    """Nodes ``d0``, ``d1``, ... that have all declared each other, with their views of the lease."""
    members = tuple(f"d{n}" for n in range(size))
    leases = [FakeLease(name) for name in members]
    nodes = [
        RegionNode(name, lease, incarnation, STARTED_MS, members, TUNING)
        for incarnation, (name, lease) in enumerate(zip(members, leases, strict=True), start=1)
    ]
    for node in nodes:
        node.set_regions(SIZES)
    return nodes, leases


def grant(leases: list[FakeLease], holder: str, token: int) -> None:
    """Make ``holder`` hold the lease under ``token``, in every view."""
    for lease in leases:
        lease.name = holder
        lease.token = token


def exchange(nodes: list[RegionNode], now_ms: float, cut: frozenset[str] = frozenset()) -> None:
    """Tick all nodes but ``cut``, and pass on what they send until nothing more is sent."""
    waiting = [(node.me, to, message) for node in nodes if node.me not in cut for to, message in node.tick(now_ms)]
    for _ in range(200):
        if not waiting:
            return
        sender, to, message = waiting.pop(0)
        if to not in cut:
            responses = nodes[int(to[1:])].receive(now_ms, sender, message)
            waiting += [(to, receiver, response) for receiver, response in responses]
