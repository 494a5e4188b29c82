"""The leader's side of the budgets: answers requests for quotas while this proxy holds the lease. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from beechslip.budgets.allocator import Allocator
from beechslip.budgets.limit import FleetLimit
from beechslip.budgets.messages import AllocationGrant, AllocationRequest

LEASE = "budgets"  # the lease whose holder allocates

Note = Callable[..., None]  # called with the kind of an event of the history, and its fields
Count = Callable[[str, int], None]


class LeaseView(Protocol):
    """What is needed of the leases: :class:`beechslip.leases.node.LeaseNode`."""

    def held_token(self, name: str, now_ms: float) -> int | None:
        """The token of lease ``name`` while this proxy holds it, else ``None``."""
        ...

    def holder_and_round(self, name: str, now_ms: float) -> tuple[str, int]:
        """The holder of lease ``name`` as this proxy's acceptor knows it ("": none), and its ballot's round."""
        ...


class _Tenure(NamedTuple):
    """The token that this proxy holds the lease under, and since when at the latest."""

    token: int
    since_ms: float


class AllocationLeader:
    """One :class:`Allocator` a limit that was requested in this tenure, and one entry a member in each.

    ``count`` is called with the name of a counter and an amount, ``note`` with events of the history.
    """

    def __init__(self, leases: LeaseView, count: Count, note: Note) -> None:
        """No limits are known until :meth:`set_limits`."""
        self._leases = leases
        self._count = count
        self._note = note
        self._limits: Mapping[str, FleetLimit] = {}
        self._names: Mapping[int, str] = {}
        self._allocators: dict[str, Allocator] = {}
        self._tenure = _Tenure(0, 0.0)

    def set_limits(self, now_ms: float, limits: Mapping[str, FleetLimit], names: Mapping[int, str]) -> None:
        """The limits from now on by name, and their names by wire number."""
        self._limits = limits
        self._names = names
        for name, allocator in list(self._allocators.items()):
            if name in limits:
                allocator.limit = limits[name]
            elif not allocator.reserved(now_ms):  # else it may come back, and what was granted would be forgotten
                del self._allocators[name]

    def token(self, now_ms: float) -> int | None:
        """The token while this proxy holds the lease; every earlier leader's last check was before the tenure."""
        token = self._leases.held_token(LEASE, now_ms)
        if token is not None and token != self._tenure.token:
            self._tenure = _Tenure(token, now_ms)
        return token

    def allocate(self, now_ms: float, sender: str, request: AllocationRequest) -> AllocationGrant | None:
        """The answer to a request, if this proxy holds the lease and the request names a ballot of this tenure."""
        token = self.token(now_ms)
        if token is None or request.round < token:
            self._count("unheld", 1)
            return None
        weight = 1.0 / request.zone_members if request.zone_members else 1.0
        amounts: dict[int, float] = {}
        for number, entry in request.entries.items():
            name = self._names.get(number)
            if name is None:
                self._count("unknown", 1)
                continue
            allocator = self._allocator(name, token)
            amount = allocator.allocate(now_ms, sender, request.incarnation, request.seq, entry, weight)
            if amount is not None:
                amounts[number] = amount
                self._note("grant", whole=name, to=sender, amount=amount, token=token)
        self._count("granted", len(amounts))
        return AllocationGrant(request.incarnation, request.seq, token, amounts) if amounts else None

    def _allocator(self, name: str, token: int) -> Allocator:
        """The allocator of limit ``name`` in this tenure."""
        allocator = self._allocators.get(name)
        if allocator is None or allocator.token != token:
            allocator = self._allocators[name] = Allocator(self._limits[name], token, self._tenure.since_ms)
        return allocator

    def reserved(self, now_ms: float, name: str) -> float | None:
        """What is reserved of limit ``name`` over all members; ``None``: nothing was requested here."""
        allocator = self._allocators.get(name)
        return allocator.reserved(now_ms) if allocator else None
