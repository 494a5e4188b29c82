"""All limits of one proxy: its quotas, its requests to the leader, and its own work as the leader. No I/O.

:class:`BudgetNode` is driven by :meth:`~BudgetNode.tick` and :meth:`~BudgetNode.receive`, like the other parts behind
the peer socket. :meth:`~BudgetNode.spend` is called right before each act that a limit bounds. The quotas and the
allocator make sure that no limit is exceeded. This module decides when to request a quota, and for what:

- A quota that is used up or has a grant is requested every quarter of the grant's time, so that three requests may be
  lost before the grant ends. A quota that only lends is requested every half of that time.
- A request is sent to the member that, as this proxy's acceptor knows, holds the lease, and names the round of that
  ballot.

Bounds: one quota for each limit that is spent from, one allocator for each limit, and one entry for each member in an
allocator. The limits are those of the last :meth:`~BudgetNode.set_limits`. A quota is kept after its limit has gone
only while something of it may still be occupied, granted or lent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from beechslip.budgets.allocator import QuotaRequest
from beechslip.budgets.floors import DeclaredMembers, MemberFloors
from beechslip.budgets.leader import LEASE, AllocationLeader, LeaseView, Note
from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.budgets.messages import MAX_ENTRIES, AllocationGrant, AllocationRequest, BudgetMessage, limit_id
from beechslip.budgets.quota import Quota

REQUEST_ROUNDS_PER_GRANT = 4  # rounds of requests during the time of a grant
ROUNDS_PER_LENDING_REQUEST = 2  # a quota that only lends is requested in every second round
OutgoingMessages = list[tuple[str, BudgetMessage]]  # pairs of the receiving member and the message


def _ignore_event(kind: str, **fields: object) -> None:
    """Do nothing with an event for the history."""


class BudgetNode:
    """The budgets of member ``me``. Times are steady ms, costs and amounts are in spendings."""

    def __init__(
        self,
        me: str,
        leases: LeaseView,
        incarnation: int,
        started_ms: float,
        members: int,
        members_before: int = 0,
        zone_members: int = 0,
        note: Note = _ignore_event,
    ) -> None:
        """``started_ms`` is when this incarnation began.

        The numbers of members are as in :class:`DeclaredMembers`. ``note`` is called with the kind and the fields of
        each event for the history.
        """
        self.me = me
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.limits: dict[str, FleetLimit] = {}
        self.quotas: dict[str, Quota] = {}
        self.counts: dict[str, int] = {}
        self.leader_name = ""  # the member that the last request was meant for
        self.token = 0  # the highest token under which a grant was received
        self.leader = AllocationLeader(leases, self._count, note)
        self._note = note
        self._leases = leases
        self._floors = MemberFloors(int(me[1:]), DeclaredMembers(members, members_before, zone_members))
        self._names_by_id: dict[int, str] = {}  # names of the limits by wire id
        self._last_seq = 0
        self._next_request_ms = started_ms
        self._request_rounds = 0
        self._unconfirmed_costs: list[LimitCost] = []

    # Limits and floors -------------------------------------------------------------------------------------

    @property
    def declared(self) -> DeclaredMembers:
        """The declared members from which the floors are computed."""
        return self._floors.declared

    def set_limits(self, now_ms: float, limits: Iterable[FleetLimit]) -> None:
        """Use these limits from now on.

        A limit that is already known keeps what is spent and granted of it. If the wire ids of two names clash,
        the one that sorts later gets no grants and has only its floor.
        """
        self.limits = {limit.name: limit for limit in limits}
        self._names_by_id = {}
        for name in sorted(self.limits):
            self._names_by_id.setdefault(limit_id(name), name)
        for name, quota in list(self.quotas.items()):
            limit = self.limits.get(name)
            if limit is not None:
                quota.resize(now_ms, limit, self.floor(now_ms, limit))
            elif quota.is_idle(now_ms) or quota.limit.kind == "rate":
                del self.quotas[name]
        self.leader.set_limits(now_ms, self.limits, self._names_by_id)

    def declare(self, now_ms: float, declared: DeclaredMembers) -> None:
        """Use other declared members, or another number of proxies in this zone (see :class:`MemberFloors`)."""
        self._floors.declare(now_ms, declared)
        for quota in self.quotas.values():
            quota.resize(now_ms, quota.limit, self.floor(now_ms, quota.limit))

    def zone_members(self, now_ms: float) -> int:
        """Return the number of proxies in this zone among which floors are divided now."""
        return self._floors.zone_members(now_ms, self.limits.values())

    def floor(self, now_ms: float, limit: FleetLimit) -> float:
        """Return this proxy's floor of ``limit``, which it may spend without a grant."""
        return self._floors.floor(now_ms, limit, self.limits.values())

    def _quota(self, now_ms: float, name: str) -> Quota | None:
        """Return the quota of limit ``name``, created if needed, or ``None`` if there is no such limit."""
        quota = self.quotas.get(name)
        limit = self.limits.get(name)
        if quota is None and limit is not None:
            usable_from_ms = self.started_ms + limit.occupancy_ms()
            quota = self.quotas[name] = Quota(limit, now_ms, self.floor(now_ms, limit), usable_from_ms)
        return quota

    # Spending ----------------------------------------------------------------------------------------------

    def spend(self, now_ms: float, costs: Sequence[LimitCost]) -> bool:
        """Spend all of ``costs`` if all of them may be spent now, else none, and return whether they were spent.

        A cost whose limit does not exist is not bounded. Call :meth:`confirm` right after the act, in the same step
        of the event loop.
        """
        affected = [(quota, cost) for cost in costs if (quota := self._quota(now_ms, cost.limit)) is not None]
        refused = [(quota, cost) for quota, cost in affected if quota.available_amount(now_ms) < cost.amount]
        for quota, cost in refused:
            quota.spend(now_ms, cost.amount)  # fails, and counts there as refused and as demand
            self._count(f"refused.{cost.limit.partition(':')[0]}")
        if refused:
            return False
        for quota, cost in affected:
            quota.spend(now_ms, cost.amount)
            self._unconfirmed_costs.append(cost)
        return True

    def confirm(self, now_ms: float) -> None:
        """Record that what was spent has been written by ``now_ms``."""
        for cost in self._unconfirmed_costs:
            quota = self.quotas.get(cost.limit)
            if quota is not None:
                quota.confirm(now_ms)
            self._note("spend", whole=cost.limit, cost=cost.amount)
        self._unconfirmed_costs.clear()

    def release(self, now_ms: float, name: str, is_ended_by_backend: bool = False) -> None:
        """Record that one spending in flight of limit ``name`` has ended (see :meth:`Quota.release`)."""
        quota = self.quotas.get(name)
        if quota is not None and quota.limit.kind == "flight":
            quota.release(now_ms, is_ended_by_backend)
            self._note("done", whole=name)

    def refund(self, now_ms: float, name: str) -> None:
        """Give one token of rate ``name`` back (see :meth:`Quota.refund`)."""
        quota = self.quotas.get(name)
        if quota is not None:
            quota.refund(now_ms)
            self._note("refund", whole=name)

    def quiet_period_ms(self, now_ms: float) -> float:
        """Return how much longer fills and connections of an earlier incarnation may still occupy a limit.

        None are made meanwhile. (Nothing is spent of the windows of warming backends either, but a proxy can serve
        without those.)
        """
        flights = (limit for limit in self.limits.values() if limit.kind == "flight")
        return max((self.started_ms + limit.occupancy_ms() - now_ms for limit in flights), default=0.0)

    def capacity(self, now_ms: float, name: str) -> float | None:
        """Return what this proxy may occupy of limit ``name`` (of a rate: spend per second).

        Returns ``None`` if there is no such limit.
        """
        limit = self.limits.get(name)
        if limit is None:
            return None
        if now_ms < self.started_ms + limit.occupancy_ms():
            return 0.0
        quota = self._quota(now_ms, name)
        return quota.capacity(now_ms) if quota else 0.0

    def available_amount(self, now_ms: float, name: str) -> float:
        """Return what may still be spent of limit ``name`` now, 0 if there is no such limit."""
        quota = self._quota(now_ms, name)
        return quota.available_amount(now_ms) if quota else 0.0

    # Requests and answers ----------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> OutgoingMessages:
        """Return the requests that are due. To be called every few ms."""
        self.leader.token(now_ms)
        if now_ms < self._next_request_ms or not self.limits:
            return []
        shortest_grant_ms = min(limit.grant_ms for limit in self.limits.values())
        self._next_request_ms = now_ms + shortest_grant_ms / REQUEST_ROUNDS_PER_GRANT
        self._request_rounds += 1
        self._update_quotas(now_ms)
        leader, ballot_round = self._leases.holder_and_round(LEASE, now_ms)
        self.leader_name = leader
        entries = self._request_entries(now_ms)
        if not leader:
            return []
        outgoing: OutgoingMessages = []
        wire_ids = sorted(entries)
        for first in range(0, len(wire_ids), MAX_ENTRIES):
            batch = {wire_id: entries[wire_id] for wire_id in wire_ids[first : first + MAX_ENTRIES]}
            request = self._begin_request(now_ms, ballot_round, batch)
            if leader == self.me:
                self._accept(now_ms, self.leader.allocate(now_ms, self.me, request))
            else:
                outgoing.append((leader, request))
        return outgoing

    def _update_quotas(self, now_ms: float) -> None:
        """Drop idle quotas of limits that are gone, and create the quotas of all other limits.

        A quota is created even for a limit that this proxy does not spend, so that its floor can be lent.
        """
        for name, quota in list(self.quotas.items()):
            if name not in self.limits and quota.is_idle(now_ms):
                del self.quotas[name]
        for name, limit in self.limits.items():
            if limit.is_participant:
                self._quota(now_ms, name)

    def _request_entries(self, now_ms: float) -> dict[int, QuotaRequest]:
        """Return what to request in this round, by wire id of the limit."""
        is_lending_round = self._request_rounds % ROUNDS_PER_LENDING_REQUEST == 1
        entries: dict[int, QuotaRequest] = {}
        for name, quota in self.quotas.items():
            wire_id = limit_id(name)
            if self._names_by_id.get(wire_id) != name:
                continue
            entry = _request_entry(now_ms, quota)
            if entry.demand or entry.granted_amount or entry.excess or (entry.lent_amount and is_lending_round):
                entries[wire_id] = entry
        return entries

    def _begin_request(self, now_ms: float, ballot_round: int, entries: dict[int, QuotaRequest]) -> AllocationRequest:
        """Create the next request. The time of its grants, and of what it lends, runs from now."""
        self._last_seq += 1
        for wire_id, entry in entries.items():
            quota = self.quotas[self._names_by_id[wire_id]]
            quota.begin_request(now_ms, self._last_seq)
            quota.lend(now_ms, entry.lent_amount)
        return AllocationRequest(self.incarnation, self._last_seq, ballot_round, self.declared.zone_members, entries)

    def receive(self, now_ms: float, sender: str, message: BudgetMessage) -> OutgoingMessages:
        """Handle a member's message, and return the answers to it."""
        if isinstance(message, AllocationGrant):
            self._accept(now_ms, message)
            return []
        grant = self.leader.allocate(now_ms, sender, message)
        return [(sender, grant)] if grant is not None else []

    def _accept(self, now_ms: float, grant: AllocationGrant | None) -> None:
        if grant is None or grant.incarnation != self.incarnation or grant.token < self.token:
            return
        self.token = grant.token
        for wire_id, amount in grant.entries.items():
            quota = self.quotas.get(self._names_by_id.get(wire_id, ""))
            if quota is not None:
                self._count("taken" if quota.accept_grant(now_ms, grant.seq, amount) else "late")

    def state(self, now_ms: float) -> dict[str, object]:
        """Return the state for operators (``GET /budgets``).

        It contains, for each limit, its amount, floor, loan and grant, and what is in use, spent and refused. On the
        leader it also contains what is reserved.
        """
        is_leader = self.leader.token(now_ms) is not None
        rows = {name: self._limit_state(now_ms, name, is_leader) for name in sorted(self.limits)}
        return {
            "member": self.me,
            "keeper": self.leader_name,
            "token": self.token,
            "keeping": is_leader,
            "wholes": rows,
        }

    def _limit_state(self, now_ms: float, name: str, is_leader: bool) -> Mapping[str, object]:
        limit = self.limits[name]
        quota = self.quotas.get(name)
        return {
            "kind": limit.kind,
            "whole": limit.amount,
            "floor": self.floor(now_ms, limit),
            "lent": quota.lent_amount(now_ms) if quota else 0.0,
            "granted": quota.granted_amount(now_ms) if quota else 0.0,
            "in_use": quota.amount_in_use(now_ms) if quota else 0.0,
            "spent": quota.counts["spent"] if quota else 0,
            "refused": quota.counts["refused"] if quota else 0,
            "booked": self.leader.reserved_amount(now_ms, name) if is_leader else None,
        }

    def _count(self, name: str, amount: int = 1) -> None:
        if amount:
            self.counts[name] = self.counts.get(name, 0) + amount


def _request_entry(now_ms: float, quota: Quota) -> QuotaRequest:
    demand = quota.demand(now_ms)
    return QuotaRequest(
        demand.amount,
        quota.granted_amount(now_ms),
        quota.excess(now_ms),
        quota.current_grant.seq,
        demand.lendable_amount,
    )
