"""One proxy's quota of a fleet-wide limit: its floor, and more for a limited time by a grant. No I/O.

A rate's bucket accrues tokens at the quota's part of the rate, up to its part of the burst. When the quota grows, no
tokens are added to the bucket at once, so that none is spent twice.

A grant ends by this proxy's own clock, and its time runs from before the grant was requested. With each request the
proxy lends to the pool what it does not need of its floor, for :meth:`FleetLimit.loan_ms` by its own clock, counted
from before it sends the request. It always keeps ``KEPT_FLOOR_FRACTION`` of the floor. A proxy that starts does not
know what its earlier incarnation has spent and lent. So it spends nothing for ``base_occupancy_ms`` (and a bucket
begins empty), and no more than ``KEPT_FLOOR_FRACTION`` of its floor until what may have been lent has come back.

A proxy may be suspended between :meth:`Quota.spend` and the write that it allows. :meth:`Quota.confirm`, called after
the write, moves what was spent to the time by which it has been written. Later spendings then count it. A write that
comes minutes late fits into the floor, which holds at least one spending (:meth:`FleetLimit.floor`).

Invariant: what all proxies occupy at any instant is at most the limit. It holds whatever messages are lost, late or
repeated, and whichever proxies stop.
The limit covers the sum of what each :class:`Quota` may spend and of what the allocator (:mod:`.allocator`) holds
back while a grant may still be spent from or a spending of it may still occupy the limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from beechslip.budgets.limit import FleetLimit, FloorLoan

KEPT_FLOOR_FRACTION = 0.5  # at least this fraction of a floor, and at least one spending, is never lent
PEAK_DECAY_PER_REQUEST = 0.8  # the recent peak falls by this factor, so that a short lull does not end the demand
LENDABLE_DECAY_PER_REQUEST = 0.985  # while the allocator answers, what is lent falls by no more than this factor
DEMAND_HEADROOM_FACTOR = 1.25  # more is requested than was used, so that a quota is not always exhausted
EXHAUSTED_GROWTH_FACTOR = 2.0  # a quota that was exhausted requests its capacity times this factor
LONG_PEAK_DECAY_PER_LOAN = 0.5  # the long-term peak falls to this fraction of it in the time of a loan
MAX_OPEN_REQUESTS = 4  # older ones are given up, and their answers are ignored


class QuotaDemand(NamedTuple):
    """What a quota needs and could lend.

    ``amount`` is needed beyond the part of the floor that is not lent. ``lendable_amount`` is how much of the floor
    can be lent.
    """

    amount: float
    lendable_amount: float


@dataclass(slots=True)
class QuotaGrant:
    """The grant in force: request ``seq`` was answered with ``amount``, usable until ``until_ms`` (steady ms)."""

    seq: int = 0
    amount: float = 0.0
    until_ms: float = 0.0


@dataclass(slots=True)
class _OccupyingSpending:
    """A spending that occupies the quota.

    ``at_ms`` is when it was spent (in a window) or when it was released (in flight).
    """

    at_ms: float
    cost: float


class Quota:
    """One proxy's part of one limit. Times are steady ms; costs and amounts are in spendings.

    ``counts`` has the numbers of spendings that were allowed (``spent``) and refused (``refused``).
    """

    def __init__(self, limit: FleetLimit, now_ms: float, floor: float, usable_from_ms: float | None = None) -> None:
        """``floor`` is what :meth:`FleetLimit.floor` returns.

        Nothing is spent before ``usable_from_ms`` (by default the limit's occupancy time from now), because an
        earlier incarnation's spendings may still occupy the limit.
        """
        self.limit = limit
        self.floor = floor
        self.usable_from_ms = now_ms + limit.occupancy_ms() if usable_from_ms is None else usable_from_ms
        self.current_grant = QuotaGrant()
        self.counts = {"spent": 0, "refused": 0}
        # What an earlier incarnation may have lent. That incarnation ended one occupancy time before
        # ``usable_from_ms``.
        ended_ms = self.usable_from_ms - limit.occupancy_ms()
        self._loans = [FloorLoan(floor - self._unlendable_floor(floor), ended_ms + limit.loan_ms())]
        self._spendings: deque[_OccupyingSpending] = deque()  # in a window, or whose end is on its way
        self._spendings_cost = 0.0
        self._in_flight = 0
        self._tokens = 0.0
        self._tokens_at_ms = now_ms
        self._unconfirmed: list[_OccupyingSpending] = []  # spent, but perhaps not yet written
        self._unconfirmed_tokens = 0
        self._requested_ms: dict[int, float] = {}  # by seq of an open request: when it was made
        # The next four are measured since the last request.
        self._max_in_use = 0.0
        self._attempted_cost = 0.0
        self._was_exhausted = False
        self._measured_from_ms = now_ms
        self._recent_peak = 0.0
        self._long_peak = 0.0
        self._last_lendable = 0.0

    # Grants ------------------------------------------------------------------------------------------------

    def granted_amount(self, now_ms: float) -> float:
        """Return what is granted beyond the floor, 0 once the grant has ended."""
        return self.current_grant.amount if now_ms < self.current_grant.until_ms else 0.0

    def lent_amount(self, now_ms: float) -> float:
        """Return how much of the floor is lent."""
        running = (loan.amount for loan in self._loans if now_ms < loan.until_ms)
        return min(self.floor, max(running, default=0.0))

    def own_floor(self, now_ms: float) -> float:
        """Return the part of the floor that is not lent."""
        return self.floor - self.lent_amount(now_ms)

    def capacity(self, now_ms: float) -> float:
        """Return what may be occupied in all: the floor without what is lent, and the grant while it lasts."""
        return self.own_floor(now_ms) + self.granted_amount(now_ms)

    def demand(self, now_ms: float) -> QuotaDemand:
        """Return what this quota needs now and what it could lend, and start the next measurement.

        The need is somewhat more than was used since the last call, or twice the capacity if the quota was exhausted.
        """
        limit = self.limit
        elapsed_ms = max(now_ms - self._measured_from_ms, 1.0)
        if limit.kind == "rate":
            used = self._attempted_cost * 1000.0 / elapsed_ms
        else:
            used = max(self._max_in_use, self.amount_in_use(now_ms))
        used = max(used, self._recent_peak * PEAK_DECAY_PER_REQUEST)
        self._recent_peak = used
        self._long_peak = max(used, self._long_peak * LONG_PEAK_DECAY_PER_LOAN ** (elapsed_ms / limit.loan_ms()))
        was_exhausted = self._was_exhausted
        wanted = (
            EXHAUSTED_GROWTH_FACTOR * self.capacity(now_ms) + limit.max_cost
            if was_exhausted
            else DEMAND_HEADROOM_FACTOR * used
        )
        wanted = min(wanted, limit.amount)
        self._restart_measurement(now_ms)
        lendable_amount = self._lendable_amount(
            now_ms, max(self._long_peak, wanted) if was_exhausted else self._long_peak
        )
        return QuotaDemand(max(0.0, wanted - self.own_floor(now_ms)), lendable_amount)

    def _restart_measurement(self, now_ms: float) -> None:
        """Start to measure the use for the next call of :meth:`demand`."""
        self._max_in_use = 0.0
        self._attempted_cost = 0.0
        self._was_exhausted = False
        self._measured_from_ms = now_ms

    def _lendable_amount(self, now_ms: float, needed: float) -> float:
        """Return how much of the floor exceeds ``needed``.

        What has been lent is reduced slowly from request to request. Until its loan ends, a part that is no longer
        offered neither backs grants nor can be spent here.
        """
        lendable_amount = max(0.0, self.floor - max(self._unlendable_floor(self.floor), needed + self.limit.max_cost))
        if now_ms < self.current_grant.until_ms:
            lendable_amount = max(lendable_amount, min(self._last_lendable, self.floor) * LENDABLE_DECAY_PER_REQUEST)
        self._last_lendable = lendable_amount
        return lendable_amount

    def _unlendable_floor(self, floor: float) -> float:
        """Return the part of ``floor`` that is never lent: a fraction of it, and at least one spending."""
        limit = self.limit
        one_spending = limit.max_cost
        if limit.kind == "rate" and limit.burst:
            one_spending = limit.max_cost * limit.amount / limit.burst
        return min(floor, max(KEPT_FLOOR_FRACTION * floor, one_spending))

    def lend(self, now_ms: float, amount: float) -> float:
        """Lend ``amount`` of the floor from now on, and return it. A larger loan that still runs stays as it is."""
        self._advance_to(now_ms)
        self._loans = [loan for loan in self._loans if now_ms < loan.until_ms and loan.amount > amount]
        if amount:
            self._loans.append(FloorLoan(amount, now_ms + self.limit.loan_ms()))
        return amount

    def begin_request(self, now_ms: float, seq: int) -> None:
        """Record that request ``seq`` is made now. The time of its grant runs from here."""
        self._requested_ms[seq] = now_ms
        while len(self._requested_ms) > MAX_OPEN_REQUESTS:
            del self._requested_ms[min(self._requested_ms)]

    def accept_grant(self, now_ms: float, seq: int, amount: float) -> bool:
        """Accept the answer to request ``seq``, and return whether it was used.

        An answer that is repeated, late, out of order or was never requested changes nothing.
        """
        requested_ms = self._requested_ms.pop(seq, None)
        if requested_ms is None or seq <= self.current_grant.seq:
            return False
        until_ms = requested_ms + self.limit.grant_ms
        if now_ms >= until_ms:
            return False
        self._advance_to(now_ms)
        self.current_grant = QuotaGrant(seq, amount, until_ms)
        return True

    def resize(self, now_ms: float, limit: FleetLimit, floor: float) -> None:
        """Use another limit or floor from now on. Grants and loans continue."""
        self._advance_to(now_ms)
        self.limit = limit
        self.floor = floor

    # Spending ----------------------------------------------------------------------------------------------

    def available_amount(self, now_ms: float) -> float:
        """Return what may still be spent now (below 0 after a quota has shrunk)."""
        self._advance_to(now_ms)
        if now_ms < self.usable_from_ms:
            return 0.0
        if self.limit.kind == "rate":
            return self._tokens
        return self.capacity(now_ms) - self._occupied_amount()

    def spend(self, now_ms: float, cost: float = 1.0) -> bool:
        """Spend ``cost`` if it may be spent now, and return whether it was.

        Call :meth:`confirm` once the spending has been written.
        """
        is_allowed = self.available_amount(now_ms) >= cost
        self._attempted_cost += cost
        if not is_allowed:
            self._was_exhausted = True
            self.counts["refused"] += 1
            return False
        self.counts["spent"] += 1
        if self.limit.kind == "rate":
            self._tokens -= cost
            self._unconfirmed_tokens += 1
        elif self.limit.kind == "flight":
            self._in_flight += 1
        else:
            spending = _OccupyingSpending(now_ms, cost)
            self._spendings.append(spending)
            self._spendings_cost += cost
            self._unconfirmed.append(spending)
        self._max_in_use = max(self._max_in_use, self._occupied_amount())
        self._was_exhausted = self._was_exhausted or self.available_amount(now_ms) < cost
        return True

    def confirm(self, now_ms: float) -> None:
        """Record that all that was spent has been written by now.

        The time counts from now even if this proxy was suspended for long before the write.
        """
        for spending in self._unconfirmed:
            spending.at_ms = now_ms
        self._unconfirmed.clear()
        if self._unconfirmed_tokens:
            self._advance_to(now_ms)
            self._tokens = min(self._tokens, self._bucket_size(now_ms) - self._unconfirmed_tokens)
            self._unconfirmed_tokens = 0

    def release(self, now_ms: float, is_ended_by_backend: bool = False) -> None:
        """Record that one spending in flight has ended, at most ``base_occupancy_ms`` after it began.

        Unless the backend ended it itself, the end is still on its way to the backend, so the spending counts
        ``travel_ms`` longer.
        """
        if not self._in_flight:
            return
        self._in_flight -= 1
        if self.limit.travel_ms and not is_ended_by_backend:
            self._spendings.append(_OccupyingSpending(now_ms, 1.0))
            self._spendings_cost += 1.0

    def refund(self, now_ms: float) -> None:
        """Give one token back, because its spending turned out not to be of the kind that the rate bounds."""
        self._advance_to(now_ms)
        self._tokens = min(self._tokens + 1.0, self._bucket_size(now_ms))

    def amount_in_use(self, now_ms: float) -> float:
        """Return what this proxy occupies now (of a rate: what it may spend per second)."""
        self._advance_to(now_ms)
        return self.capacity(now_ms) if self.limit.kind == "rate" else self._occupied_amount()

    def excess(self, now_ms: float) -> float:
        """Return what is occupied beyond the part of the floor that is not lent, 0 for a rate."""
        if self.limit.kind == "rate":
            return 0.0
        return max(0.0, self.amount_in_use(now_ms) - self.own_floor(now_ms))

    def is_idle(self, now_ms: float) -> bool:
        """Return whether nothing is occupied, granted or lent, so that the quota may be dropped.

        Never true for a rate.
        """
        self._advance_to(now_ms)
        if self.limit.kind == "rate" or self._occupied_amount():
            return False
        return not self.granted_amount(now_ms) and not self.lent_amount(now_ms)

    def _occupied_amount(self) -> float:
        return self._spendings_cost + self._in_flight

    def _bucket_size(self, now_ms: float) -> float:
        """Return the size of a rate's token bucket, which is the quota's part of the burst."""
        return self.limit.burst * self.capacity(now_ms) / self.limit.amount

    def _advance_to(self, now_ms: float) -> None:
        """Update the window or the token bucket to ``now_ms``."""
        if self.limit.kind == "rate":
            self._accrue_tokens(now_ms)
        else:
            self._expire_spendings(now_ms)

    def _accrue_tokens(self, now_ms: float) -> None:
        """Add the tokens of the time since the last call. A grant that ended meanwhile counts up to its end."""
        limit = self.limit
        grant = self.current_grant
        own = self.own_floor(self._tokens_at_ms)  # floor whose loan ends meanwhile counts from the next call
        grant_end_ms = min(max(grant.until_ms, self._tokens_at_ms), now_ms)
        for until_ms in sorted({grant_end_ms, now_ms}):
            capacity = own + (grant.amount if until_ms <= grant.until_ms else 0.0)
            # By a slower clock less time may have passed, so a little less accrues than this clock says.
            earned = capacity * (until_ms - self._tokens_at_ms) / 1000.0 / (1.0 + limit.drift)
            self._tokens = min(limit.burst * capacity / limit.amount, self._tokens + earned)
            self._tokens_at_ms = until_ms
        self._tokens = min(self._tokens, self._bucket_size(now_ms))

    def _expire_spendings(self, now_ms: float) -> None:
        """Drop the spendings that no longer occupy the limit, but none while one may not have been written."""
        limit = self.limit
        lasting_ms = limit.occupancy_ms() if limit.kind == "window" else limit.travel_ms * (1.0 + limit.drift)
        while self._spendings and now_ms - self._spendings[0].at_ms >= lasting_ms and not self._unconfirmed:
            self._spendings_cost -= self._spendings.popleft().cost
        if not self._spendings:
            self._spendings_cost = 0.0  # drops accumulated rounding errors
