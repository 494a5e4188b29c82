"""Who divides the pool: the holder of the budget's lease, by max-min fair shares of what was asked. Pure.

A grant is booked from when it is given until nobody can spend from it or feel what was spent: ``grant_ms`` and the
whole's tail, by this machine's clock and with the drift. It is not given again before, whatever is heard or suspected
of its holder. A new keeper knows nothing of what an earlier one gave, and waits that long before its first grant.
An ask is answered once; what it asks for is forgotten with its grant.
"""
from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from beechslip.budgets.share import Whole

HYSTERESIS = 0.1  # of a share: a smaller change is not followed, so that shares do not flutter with demand
LEAST = 0.05  # of the pool's even part: what is asked for by one that has met no demand


def max_min(pool: float, demands: Mapping[str, float],
            weights: Mapping[str, float] | None = None) -> dict[str, float]:
    """Max-min fair shares by progressive filling: nobody gets more than it asks, and what one leaves the others
    divide by their weights (default 1)."""
    left, shares = pool, dict.fromkeys(demands, 0.0)
    open_, weigh = {n for n, d in demands.items() if d > 0}, weights or {}
    while open_ and left > 1e-9:
        total = sum(weigh.get(n, 1.0) for n in open_)
        level = min(min((demands[n] - shares[n]) / weigh.get(n, 1.0) for n in open_), left / total)
        for name in open_:
            shares[name] += level * weigh.get(name, 1.0)
        left -= level * total
        open_ = {n for n in open_ if demands[n] - shares[n] > 1e-9}
    return shares


@dataclass(slots=True)
class _Booked:
    amount: float
    until_ms: float


@dataclass
class Keeper:
    """One tenure of one keeper; make a new one with each token. ``now_ms``: when the lease was taken."""

    whole: Whole
    token: int
    now_ms: float
    weights: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.from_ms = self.now_ms + self._held_ms()
        self._booked: dict[str, list[_Booked]] = {}
        self._demand: dict[str, tuple[float, float]] = {}  # by member: what it asked, when
        self._answered: dict[tuple[str, int], int] = {}  # by member and its life: the last ask answered
        self._last: dict[str, float] = {}

    def _held_ms(self) -> float:
        return (self.whole.grant_ms + self.whole.tail_ms) * (1.0 + self.whole.drift)

    def ask(self, now_ms: float, member: str, life: int, seq: int, demand: float) -> float | None:
        """What ``member`` is granted for ask ``seq`` of its ``life``; ``None``: no answer (too early, or answered
        before). The caller asks its lease right before."""
        if now_ms < self.from_ms or seq <= self._answered.get((member, life), 0):
            return None
        self._answered = {key: kept for key, kept in self._answered.items() if key[0] != member}
        self._answered[member, life] = seq
        self._clear(now_ms)
        even = self.whole.pool() / max(1, len(self._demand) + 1)
        self._demand[member] = (max(demand, LEAST * even), now_ms)
        fair = max_min(self.whole.pool(), {n: d for n, (d, _) in self._demand.items()}, self.weights)[member]
        last = self._last.get(member, 0.0)
        if abs(fair - last) < HYSTERESIS * last:
            fair = last
        # Its own earlier grants end for it with this one; they stay booked, as it may not hear of this one.
        others = sum(max(b.amount for b in booked) for name, booked in self._booked.items() if name != member)
        amount = max(0.0, min(fair, self.whole.pool() - others))
        self._last[member] = amount
        self._booked.setdefault(member, []).append(_Booked(amount, now_ms + self._held_ms()))
        return amount

    def granted(self, now_ms: float) -> float:
        """What is booked now, over all members."""
        self._clear(now_ms)
        return sum(max(b.amount for b in booked) for booked in self._booked.values())

    def _clear(self, now_ms: float) -> None:
        for name in list(self._booked):
            left = [b for b in self._booked[name] if now_ms < b.until_ms]
            # One that is no larger than a later one adds nothing.
            self._booked[name] = [b for k, b in enumerate(left) if all(b.amount > c.amount for c in left[k + 1:])]
            if not self._booked[name]:
                del self._booked[name]
                self._last.pop(name, None)
        self._demand = {n: (d, t) for n, (d, t) in self._demand.items() if now_ms - t < self.whole.grant_ms}
