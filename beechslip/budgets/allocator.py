"""The allocator of one limit's pool: computes max-min fair quotas and reserves what it grants. No I/O.

The holder of the budgets lease runs it and grants quotas from the demands that the members request.

A grant stays reserved from when it is given until nobody can spend from it any more and nothing that was spent from
it still occupies the limit: for ``grant_ms`` and the limit's occupancy time, measured by this machine's clock and
lengthened by the clock drift. Until then its amount is not granted again, whatever is heard of its owner, even if the
owner is suspected. Only the owner's own request frees it sooner. The request names the grant that the owner uses now
(the owner can no longer accept an earlier grant of that incarnation) and states what the owner still occupies.

A new allocator does not know what an earlier one granted. Until those grants have certainly ended, it grants a member
only what the member says it has in force (:attr:`QuotaRequest.granted_amount`), which leaves the sum unchanged. It
also requires that the request names the new allocator's own ballot. Such a request was made after the earlier
allocator's last check of its lease, when the grant that it names was still reserved there
(``docs/design/budgets.md``).

The pool also contains what members lend of their floors. The allocator does not know when a loan began, because the
request may arrive late. But the request names the grant that the lender uses, so it was made after that grant was
given. The loan therefore lasts at least as long as if it had begun when that grant was given, and it only backs
grants that end before it does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from beechslip.budgets.limit import FleetLimit, FloorLoan

# A relative change of a quota smaller than this is not followed, so that quotas do not oscillate with the demand.
QUOTA_HYSTERESIS_FRACTION = 0.1
# This fraction of what nobody requests is added to the grants. The rest is kept for the next request.
SPARE_GRANTED_FRACTION = 0.5
ANSWERS_KEPT_PER_MEMBER = 8  # a request is answered within a few rounds of requests, or given up
MIN_DEMAND_FRACTION = 0.05  # of an even share of the pool: assumed for a member that has had no demand
MIN_WEIGHT_SUM = 1e-12  # lower bound of the remaining weights, so that rounding never causes a division by 0
MIN_SHARE_SUM = 1e-9  # the same for the sum of the fair shares


def max_min_fair_shares(
    pool: float, demands: Mapping[str, float], weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return the max-min fair share of ``pool`` for each name in ``demands``, by progressive filling.

    Nobody gets more than it demands. What one leaves unused is divided among the others in proportion to their
    ``weights`` (1 for a name that has none). Takes O(n log n) time.
    """
    weight_of = weights or {}
    remaining_pool = pool
    total_weight = sum(weight_of.get(name, 1.0) for name in demands)
    shares = dict.fromkeys(demands, 0.0)
    for name in sorted(demands, key=lambda n: demands[n] / weight_of.get(n, 1.0)):
        weight = weight_of.get(name, 1.0)
        shares[name] = max(0.0, min(demands[name], remaining_pool * weight / total_weight))
        remaining_pool -= shares[name]
        total_weight = max(total_weight - weight, MIN_WEIGHT_SUM)
    return shares


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A member's request for a quota of one limit. All amounts are in spendings.

    ``demand`` and ``granted_amount`` (the grant in force) do not include the member's floor. ``excess`` is what the
    member occupies beyond the part of its floor that it has not lent. ``grant_seq`` is the sequence number of the
    request whose grant the member uses (0: none). ``lent_amount`` is how much of its floor the member lends from this
    request on.
    """

    demand: float
    granted_amount: float = 0.0
    excess: float = 0.0
    grant_seq: int = 0
    lent_amount: float = 0.0


@dataclass(slots=True)
class _Reservation:
    """``amount`` is reserved until ``until_ms`` for an incarnation of a member, granted for its request ``seq``."""

    incarnation: int
    seq: int
    amount: float
    until_ms: float


class _MemberDemand(NamedTuple):
    """The amount that a member requested last, when it did, and its weight."""

    amount: float
    at_ms: float
    weight: float


class _AnsweredRequest(NamedTuple):
    """Request ``seq`` of an incarnation was answered at ``at_ms``."""

    incarnation: int
    seq: int
    at_ms: float


class Allocator:
    """The reservations of one limit during one lease tenure.

    Create a new allocator for each ``token``. Times are steady ms.
    """

    def __init__(self, limit: FleetLimit, token: int, now_ms: float) -> None:
        """Start a tenure. ``now_ms`` is when the lease was taken, or later."""
        self.limit = limit
        self.token = token
        # Every grant of an earlier allocator has ended by then.
        self.earlier_grants_end_ms = now_ms + self._reservation_ms()
        # The keys of the following tables are member names.
        self._reservations: dict[str, list[_Reservation]] = {}
        self._demands: dict[str, _MemberDemand] = {}
        self._last_answered: dict[str, tuple[int, int]] = {}  # incarnation and seq of the last request answered
        self._last_amounts: dict[str, float] = {}
        self._answers: dict[str, deque[_AnsweredRequest]] = {}
        self._loans: dict[str, list[FloorLoan]] = {}

    def _reservation_ms(self) -> float:
        """Return how long a grant given now stays reserved."""
        return self.limit.grant_ms * (1.0 + self.limit.drift) + self.limit.occupancy_ms()

    def allocate(
        self, now_ms: float, member: str, incarnation: int, seq: int, request: QuotaRequest, weight: float = 1.0
    ) -> float | None:
        """Return the amount granted to ``member`` for request ``seq``, or ``None`` if it was answered before.

        The caller checks right before the call that it holds the lease and that the request names its ballot.
        """
        known_incarnation, last_seq = self._last_answered.get(member, (incarnation, 0))
        if known_incarnation == incarnation and seq <= last_seq:
            return None
        self._last_answered[member] = (incarnation, seq)
        self._expire(now_ms)
        self._free_superseded(now_ms, member, incarnation, request)
        self._record_loan(now_ms, member, incarnation, request)
        pool = self.pool(now_ms)
        # The member's own earlier grants are not subtracted, because this grant replaces them for it. They stay
        # reserved, because the answer with this grant may be lost.
        reserved_by_others = sum(
            _largest_amount(reserved) for name, reserved in self._reservations.items() if name != member
        )
        if now_ms < self.earlier_grants_end_ms:
            # Grants of an earlier allocator may still be in force, so continue those and grant no more.
            amount = min(request.granted_amount, max(request.demand, 0.0), max(0.0, pool - reserved_by_others))
        else:
            amount = max(
                0.0, min(self._fair_amount(now_ms, member, request, weight, pool), pool - reserved_by_others)
            )
        self._last_amounts[member] = amount
        answers = self._answers.setdefault(member, deque(maxlen=ANSWERS_KEPT_PER_MEMBER))
        answers.append(_AnsweredRequest(incarnation, seq, now_ms))
        reservation = _Reservation(incarnation, seq, amount, now_ms + self._reservation_ms())
        self._reservations.setdefault(member, []).append(reservation)
        return amount

    def _fair_amount(self, now_ms: float, member: str, request: QuotaRequest, weight: float, pool: float) -> float:
        """Return the max-min fair share of ``member``, plus its part of what nobody requests.

        Returns the amount granted last if the change is small.
        """
        even_share = pool / max(1, len(self._demands) + 1)
        wanted = request.demand if request.lent_amount else max(request.demand, MIN_DEMAND_FRACTION * even_share)
        self._demands[member] = _MemberDemand(wanted, now_ms, weight)
        fair_shares = max_min_fair_shares(
            pool,
            {name: demand.amount for name, demand in self._demands.items()},
            {name: demand.weight for name, demand in self._demands.items()},
        )
        share_sum = sum(fair_shares.values())
        spare = pool - share_sum
        amount = fair_shares[member] + spare * SPARE_GRANTED_FRACTION * fair_shares[member] / max(
            share_sum, MIN_SHARE_SUM
        )
        last_amount = self._last_amounts.get(member, 0.0)
        return last_amount if abs(amount - last_amount) < QUOTA_HYSTERESIS_FRACTION * last_amount else amount

    def _free_superseded(self, now_ms: float, member: str, incarnation: int, request: QuotaRequest) -> None:
        """Free the grants before the one that the member uses, except for what it still occupies of them."""
        reserved = self._reservations.get(member)
        if not reserved or not request.grant_seq:
            return
        kept = [
            reservation
            for reservation in reserved
            if reservation.incarnation != incarnation or reservation.seq >= request.grant_seq
        ]
        if len(kept) < len(reserved):
            until_ms = now_ms + self._reservation_ms()
            kept.append(_Reservation(incarnation, request.grant_seq, request.excess, until_ms))
            self._reservations[member] = kept

    def _record_loan(self, now_ms: float, member: str, incarnation: int, request: QuotaRequest) -> None:
        """Record the member's loan as starting when the grant that it uses was given.

        The member lends from its request on, and it made the request after that grant, so the loan does not end
        before the recorded time.
        """
        loans = [loan for loan in self._loans.pop(member, []) if now_ms < loan.until_ms]
        began_ms = next(
            (
                answer.at_ms
                for answer in self._answers.get(member, ())
                if answer.incarnation == incarnation and answer.seq == request.grant_seq
            ),
            None,
        )
        if began_ms is not None and request.lent_amount:
            loans = [loan for loan in loans if loan.amount > request.lent_amount]
            until_ms = began_ms + self.limit.loan_ms() / (1.0 + self.limit.drift)
            loans.append(FloorLoan(request.lent_amount, until_ms))
        if loans:
            self._loans[member] = loans

    def pool(self, now_ms: float) -> float:
        """Return what may be granted now.

        This is the limit's own pool, plus the loans that last longer than a grant given now stays reserved.
        """
        end_ms = now_ms + self._reservation_ms()
        return self.limit.pool() + sum(
            max((loan.amount for loan in loans if loan.until_ms >= end_ms), default=0.0)
            for loans in self._loans.values()
        )

    def reserved_amount(self, now_ms: float) -> float:
        """Return what is reserved now, summed over all members."""
        self._expire(now_ms)
        return sum(_largest_amount(reserved) for reserved in self._reservations.values())

    def _expire(self, now_ms: float) -> None:
        """Drop reservations and demands that have expired."""
        for name in list(self._reservations):
            kept = _without_redundant(
                [reservation for reservation in self._reservations[name] if now_ms < reservation.until_ms]
            )
            if kept:
                self._reservations[name] = kept
            else:
                del self._reservations[name]
                self._last_amounts.pop(name, None)
        self._demands = {
            name: demand for name, demand in self._demands.items() if now_ms - demand.at_ms < self.limit.grant_ms
        }


def _without_redundant(reserved: list[_Reservation]) -> list[_Reservation]:
    """Return the reservations without those that a later one covers.

    A later one covers an earlier one that is not larger and does not end after it.
    """
    return [
        earlier
        for index, earlier in enumerate(reserved)
        if all(earlier.amount > later.amount or earlier.until_ms > later.until_ms for later in reserved[index + 1 :])
    ]


def _largest_amount(reserved: list[_Reservation]) -> float:
    """Return the most that a member may spend.

    It uses one grant at a time. It spends nothing while the spendings of an earlier incarnation of it may still
    occupy the limit.
    """
    return max(reservation.amount for reservation in reserved)
