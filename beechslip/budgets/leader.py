"""The leader's side of the budgets: answers requests for quotas while this proxy holds the lease. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from beechslip.budgets.allocator import Allocator
from beechslip.budgets.limit import FleetLimit
from beechslip.budgets.messages import AllocationGrant, AllocationRequest

LEASE = "budgets"  # the lease whose holder runs the allocators

Note = Callable[..., None]  # called with the kind and the fields of an event for the history
Count = Callable[[str, int], None]  # called with the name of a counter and the amount to add


class LeaseView(Protocol):
    """What the budgets need to know of the leases, from :class:`beechslip.leases.node.LeaseNode`."""

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the token of lease ``name`` while this proxy holds it, else ``None``."""
        ...

    def holder_and_round(self, name: str, now_ms: float) -> tuple[str, int]:
        """Return the holder of lease ``name`` and the round of its ballot, as this proxy's acceptor knows them.

        The holder is "" if there is none.
        """
        ...


class _Tenure(NamedTuple):
    """The token under which this proxy holds the lease, and the latest time at which it can have taken it."""

    token: int
    since_ms: float


class AllocationLeader:
    """Answers quota requests with one :class:`Allocator` for each limit that was requested in this tenure.

    An allocator has one entry for each member. ``count`` is called with the name of a counter and an amount, ``note``
    with each event for the history.
    """

    def __init__(self, leases: LeaseView, count: Count, note: Note) -> None:
        """No limits are known until :meth:`set_limits` is called."""
        self._leases = leases
        self._count = count
        self._note = note
        self._limits: Mapping[str, FleetLimit] = {}
        self._names_by_id: Mapping[int, str] = {}
        self._allocators: dict[str, Allocator] = {}
        self._tenure = _Tenure(0, 0.0)

    def set_limits(self, now_ms: float, limits: Mapping[str, FleetLimit], names: Mapping[int, str]) -> None:
        """Use these limits from now on. ``limits`` are by name, ``names`` are their names by wire id."""
        self._limits = limits
        self._names_by_id = names
        for name, allocator in list(self._allocators.items()):
            if name in limits:
                allocator.limit = limits[name]
            elif not allocator.reserved_amount(now_ms):
                # An allocator with reservations is kept: if its limit came back, its grants would be unknown.
                del self._allocators[name]

    def token(self, now_ms: float) -> int | None:
        """Return the token while this proxy holds the lease, else ``None``.

        Every earlier leader last checked its lease before this tenure began.
        """
        token = self._leases.held_token(LEASE, now_ms)
        if token is not None and token != self._tenure.token:
            self._tenure = _Tenure(token, now_ms)
        return token

    def allocate(self, now_ms: float, sender: str, request: AllocationRequest) -> AllocationGrant | None:
        """Return the answer to a request, or ``None`` if this proxy may not give one.

        It may if it holds the lease and the request names a ballot of this tenure.
        """
        token = self.token(now_ms)
        if token is None or request.round < token:
            self._count("unheld", 1)
            return None
        weight = 1.0 / request.zone_members if request.zone_members else 1.0
        amounts: dict[int, float] = {}
        for wire_id, entry in request.entries.items():
            name = self._names_by_id.get(wire_id)
            if name is None:
                self._count("unknown", 1)
                continue
            allocator = self._allocator(name, token)
            amount = allocator.allocate(now_ms, sender, request.incarnation, request.seq, entry, weight)
            if amount is not None:
                amounts[wire_id] = amount
                self._note("grant", whole=name, to=sender, amount=amount, token=token)
        self._count("granted", len(amounts))
        return AllocationGrant(request.incarnation, request.seq, token, amounts) if amounts else None

    def _allocator(self, name: str, token: int) -> Allocator:
        """Return the allocator of limit ``name`` in this tenure."""
        allocator = self._allocators.get(name)
        if allocator is None or allocator.token != token:
            allocator = self._allocators[name] = Allocator(self._limits[name], token, self._tenure.since_ms)
        return allocator

    def reserved_amount(self, now_ms: float, name: str) -> float | None:
        """Return what is reserved of limit ``name`` over all members, or ``None`` if nothing was requested here."""
        allocator = self._allocators.get(name)
        return allocator.reserved_amount(now_ms) if allocator else None
