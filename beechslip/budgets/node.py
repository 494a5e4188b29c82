"""All limits of one proxy: its quotas of them, what it requests of the leader, and the leader's side. Pure.

:class:`BudgetNode` is driven by :meth:`~BudgetNode.tick` and :meth:`~BudgetNode.receive`, like the other parts, and
asked by :meth:`~BudgetNode.spend` right before each act. Safety is the quotas' and the allocator's; what is decided
here is when to request and for what:

- a quota that is used up, or has a grant, is requested for each quarter of a grant's time, so that three requests may
  be lost before it ends; one that only lends, each half;
- a request goes to whoever this proxy's acceptor knows to hold the lease, under that ballot's round.

Bounds: one quota a limit that is spent from, one allocator a limit and one entry a member in it. Limits are those of
the last :meth:`~BudgetNode.set_limits`; quotas outlive them only while something of them may still be felt.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from beechslip.budgets.allocator import QuotaRequest
from beechslip.budgets.floors import DeclaredSet, Floors
from beechslip.budgets.leader import LEASE, AllocationLeader, LeaseView, Note
from beechslip.budgets.limit import Cost, FleetLimit
from beechslip.budgets.messages import MAX_ENTRIES, AllocationGrant, AllocationRequest, BudgetMessage, limit_id
from beechslip.budgets.quota import Quota

REQUESTS_PER_GRANT = 4  # rounds of requests in the time of a grant
LENDING_ROUNDS = 2  # one that only lends is in each second round
Outgoing = list[tuple[str, BudgetMessage]]  # messages by the member that they go to


def _ignore(kind: str, **fields: object) -> None:
    """Note no event."""


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
        note: Note = _ignore,
    ) -> None:
        """``started_ms``: when this incarnation began. The members are as in :class:`DeclaredSet`. ``note`` is
        called with the kind and the fields of what happens."""
        self.me = me
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.limits: dict[str, FleetLimit] = {}
        self.quotas: dict[str, Quota] = {}
        self.counts: dict[str, int] = {}
        self.leader_name = ""  # whom it requested of last
        self.token = 0  # the highest that has granted
        self.leader = AllocationLeader(leases, self._count, note)
        self._note = note
        self._leases = leases
        self._floors = Floors(int(me[1:]), DeclaredSet(members, members_before, zone_members))
        self._names: dict[int, str] = {}  # of the limits, by wire number
        self._seq = 0
        self._next_request_ms = started_ms
        self._request_rounds = 0
        self._unconfirmed: list[Cost] = []

    # What is divided ---------------------------------------------------------------------------------------

    @property
    def declared(self) -> DeclaredSet:
        """The declared set that the floors go by."""
        return self._floors.declared

    def set_limits(self, now_ms: float, limits: Iterable[FleetLimit]) -> None:
        """Go by these limits from now on. One that is known keeps what is spent and granted of it; one whose name
        clashes with another's on the wire is left to the floors."""
        self.limits = {limit.name: limit for limit in limits}
        self._names = {}
        for name in sorted(self.limits):
            self._names.setdefault(limit_id(name), name)
        for name, quota in list(self.quotas.items()):
            limit = self.limits.get(name)
            if limit is not None:
                quota.resize(now_ms, limit, self.floor(now_ms, limit))
            elif quota.is_idle(now_ms) or quota.limit.kind == "rate":
                del self.quotas[name]
        self.leader.set_limits(now_ms, self.limits, self._names)

    def declare(self, now_ms: float, declared: DeclaredSet) -> None:
        """Go by another declared set, or another number of proxies in this zone (:class:`Floors`)."""
        self._floors.declare(now_ms, declared)
        for quota in self.quotas.values():
            quota.resize(now_ms, quota.limit, self.floor(now_ms, quota.limit))

    def zone_members(self, now_ms: float) -> int:
        """Proxies of this zone that floors are divided among now."""
        return self._floors.zone_members(now_ms, self.limits.values())

    def floor(self, now_ms: float, limit: FleetLimit) -> float:
        """What this proxy has of ``limit`` by right."""
        return self._floors.floor(now_ms, limit, self.limits.values())

    def _quota(self, now_ms: float, name: str) -> Quota | None:
        """The quota of limit ``name``, made if it is new; ``None``: no such limit."""
        quota = self.quotas.get(name)
        limit = self.limits.get(name)
        if quota is None and limit is not None:
            usable_from_ms = self.started_ms + limit.occupancy_ms()
            quota = self.quotas[name] = Quota(limit, now_ms, self.floor(now_ms, limit), usable_from_ms)
        return quota

    # Spending ----------------------------------------------------------------------------------------------

    def spend(self, now_ms: float, costs: Sequence[Cost]) -> bool:
        """Whether all of it may be spent now; it is, if so, and if not none of it. What is no limit is not bounded.
        :meth:`confirm` right after the act, in the same step of the program."""
        asked = [(quota, cost) for cost in costs if (quota := self._quota(now_ms, cost.limit)) is not None]
        short = [(quota, cost) for quota, cost in asked if quota.available(now_ms) < cost.amount]
        for quota, cost in short:
            quota.spend(now_ms, cost.amount)  # counted there as refused, and as demand
            self._count(f"refused.{cost.limit.partition(':')[0]}")
        if short:
            return False
        for quota, cost in asked:
            quota.spend(now_ms, cost.amount)
            self._unconfirmed.append(cost)
        return True

    def confirm(self, now_ms: float) -> None:
        """What was spent has been written by ``now_ms``."""
        for cost in self._unconfirmed:
            quota = self.quotas.get(cost.limit)
            if quota is not None:
                quota.confirm(now_ms)
            self._note("spend", whole=cost.limit, cost=cost.amount)
        self._unconfirmed.clear()

    def release(self, now_ms: float, name: str, ended_by_backend: bool = False) -> None:
        """One that was in flight of limit ``name`` has ended (:meth:`Quota.release`)."""
        quota = self.quotas.get(name)
        if quota is not None and quota.limit.kind == "flight":
            quota.release(now_ms, ended_by_backend)
            self._note("done", whole=name)

    def refund(self, now_ms: float, name: str) -> None:
        """Give one token of rate ``name`` back (:meth:`Quota.refund`)."""
        quota = self.quotas.get(name)
        if quota is not None:
            quota.refund(now_ms)
            self._note("refund", whole=name)

    def quiet_period_ms(self, now_ms: float) -> float:
        """How much longer an earlier incarnation's fills and connections may be felt: none are made meanwhile. (Of
        warming backends' windows nothing is spent either; a proxy can serve without them.)"""
        flights = (limit for limit in self.limits.values() if limit.kind == "flight")
        return max((self.started_ms + limit.occupancy_ms() - now_ms for limit in flights), default=0.0)

    def capacity(self, now_ms: float, name: str) -> float | None:
        """What this proxy may occupy of limit ``name`` (a rate: spend a second); ``None``: no such limit."""
        limit = self.limits.get(name)
        if limit is None:
            return None
        if now_ms < self.started_ms + limit.occupancy_ms():
            return 0.0
        quota = self._quota(now_ms, name)
        return quota.capacity(now_ms) if quota else 0.0

    def available(self, now_ms: float, name: str) -> float:
        """What may still be spent of limit ``name`` now; 0: no such limit."""
        quota = self._quota(now_ms, name)
        return quota.available(now_ms) if quota else 0.0

    # Requests and answers ----------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> Outgoing:
        """The requests that are due; call it every few ms."""
        self.leader.token(now_ms)
        if now_ms < self._next_request_ms or not self.limits:
            return []
        shortest_grant_ms = min(limit.grant_ms for limit in self.limits.values())
        self._next_request_ms = now_ms + shortest_grant_ms / REQUESTS_PER_GRANT
        self._request_rounds += 1
        self._update_quotas(now_ms)
        leader, ballot_round = self._leases.holder_and_round(LEASE, now_ms)
        self.leader_name = leader
        entries = self._request_entries(now_ms)
        if not leader:
            return []
        out: Outgoing = []
        numbers = sorted(entries)
        for first in range(0, len(numbers), MAX_ENTRIES):
            part = {number: entries[number] for number in numbers[first : first + MAX_ENTRIES]}
            request = self._begin_request(now_ms, ballot_round, part)
            if leader == self.me:
                self._accept(now_ms, self.leader.allocate(now_ms, self.me, request))
            else:
                out.append((leader, request))
        return out

    def _update_quotas(self, now_ms: float) -> None:
        """Forget quotas of limits that are gone, and make all others: who needs nothing of one lends its floor."""
        for name, quota in list(self.quotas.items()):
            if name not in self.limits and quota.is_idle(now_ms):
                del self.quotas[name]
        for name, limit in self.limits.items():
            if limit.participates:
                self._quota(now_ms, name)

    def _request_entries(self, now_ms: float) -> dict[int, QuotaRequest]:
        """What is to be requested in this round, by wire number of the limit."""
        is_lending_round = self._request_rounds % LENDING_ROUNDS == 1
        entries: dict[int, QuotaRequest] = {}
        for name, quota in self.quotas.items():
            number = limit_id(name)
            if self._names.get(number) != name:
                continue
            entry = _request_entry(now_ms, quota)
            if entry.demand or entry.granted or entry.excess or (entry.lent and is_lending_round):
                entries[number] = entry
        return entries

    def _begin_request(self, now_ms: float, ballot_round: int, entries: dict[int, QuotaRequest]) -> AllocationRequest:
        """The next request: the time of its grants, and of what it lends, runs from now."""
        self._seq += 1
        for number, entry in entries.items():
            quota = self.quotas[self._names[number]]
            quota.begin_request(now_ms, self._seq)
            quota.lend(now_ms, entry.lent)
        return AllocationRequest(self.incarnation, self._seq, ballot_round, self.declared.zone_members, entries)

    def receive(self, now_ms: float, sender: str, message: BudgetMessage) -> Outgoing:
        """Take a member's message; what it is answered."""
        if isinstance(message, AllocationGrant):
            self._accept(now_ms, message)
            return []
        grant = self.leader.allocate(now_ms, sender, message)
        return [(sender, grant)] if grant is not None else []

    def _accept(self, now_ms: float, grant: AllocationGrant | None) -> None:
        if grant is None or grant.incarnation != self.incarnation or grant.token < self.token:
            return
        self.token = grant.token
        for number, amount in grant.entries.items():
            quota = self.quotas.get(self._names.get(number, ""))
            if quota is not None:
                self._count("taken" if quota.accept_grant(now_ms, grant.seq, amount) else "late")

    def state(self, now_ms: float) -> dict[str, object]:
        """For operators (``GET /budgets``): by limit its amount, floor, grant, what is in use, spent and refused; and
        on the leader what is reserved."""
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
            "lent": quota.lent(now_ms) if quota else 0.0,
            "granted": quota.granted(now_ms) if quota else 0.0,
            "in_use": quota.in_use(now_ms) if quota else 0.0,
            "spent": quota.counts["spent"] if quota else 0,
            "refused": quota.counts["refused"] if quota else 0,
            "booked": self.leader.reserved(now_ms, name) if is_leader else None,
        }

    def _count(self, name: str, amount: int = 1) -> None:
        if amount:
            self.counts[name] = self.counts.get(name, 0) + amount


def _request_entry(now_ms: float, quota: Quota) -> QuotaRequest:
    demand = quota.demand(now_ms)
    return QuotaRequest(
        demand.amount, quota.granted(now_ms), quota.excess(now_ms), quota.grant_now.seq, demand.lendable
    )
