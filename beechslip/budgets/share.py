"""What one doorman may spend of a whole: its floor by right, and more for a time by a grant. Pure.

Three kinds of whole, told apart by how long a spending occupies it (``tail_ms``):

- a **window** (a cold depot's allowance over ``fall``): a spending occupies it for the window's length;
- a **number in flight** (fills to a hub): until the attempt has ended, and for ``tail_ms`` at most;
- a **rate** (retries, probes): a token bucket, whose tokens accrue at the share of the rate, up to the share of the
  burst; a larger share brings no tokens with it, so that none is spent twice.

A grant ends by this doorman's own clock, in a time that began before it asked. A doorman that starts knows nothing
of what its earlier life has spent, so it spends nothing for ``tail_ms`` (and a bucket begins empty).

Invariant, whatever is lost, late, repeated or stopped: what all doormans occupy at any instant is at most the whole.
It is the sum of what each :class:`Share` may spend, and of what the keeper (:mod:`.keeper`) holds back while a grant
may still be spent from or a spending of it may still occupy the whole.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Literal

Kind = Literal["window", "flight", "rate"]


@dataclass(frozen=True, slots=True)
class Whole:
    """``amount``: spendings a window, in flight, or a second. ``floor_share``: the part of it that is divided evenly
    by right; the rest is granted. ``burst`` is a rate's (spendings), included in what it may come to over a time."""

    name: str
    kind: Kind
    amount: float
    tail_ms: float = 0.0
    floor_share: float = 0.5
    burst: float = 0.0
    grant_ms: float = 2000.0
    drift: float = 0.01

    def floor(self, members: int, before: int = 0, number: int = 0) -> float:
        """Each member's by right. While the declared set changes from ``before`` to ``members``, those who are new
        have none and the others have the lesser of the two: some may not have heard yet."""
        if before and number >= before:
            return 0.0
        return self.amount * self.floor_share / max(members, before)

    def pool(self) -> float:
        return self.amount * (1.0 - self.floor_share)


@dataclass
class Share:
    """One doorman's part. ``now_ms`` is steady time; ``floor`` as :meth:`Whole.floor` tells it."""

    whole: Whole
    now_ms: float
    floor: float
    granted: float = 0.0
    until_ms: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._from_ms = self.now_ms + self.whole.tail_ms * (1.0 + self.whole.drift)  # what an earlier life has spent
        self._spent: deque[float] = deque()  # window: when; at most the whole's amount of them
        self._flying = 0
        self._tokens, self._at_ms = 0.0, self.now_ms
        self._seq = 0
        self._asked_ms: dict[int, float] = {}  # by number of an ask still open: when it was made
        self._met = 0.0  # demand since it was last told: tries, spent or refused
        self._taken_seq = 0

    # Grants ------------------------------------------------------------------------------------------------

    def share(self, now_ms: float) -> float:
        """The floor, and the grant while it lasts."""
        return self.floor + (self.granted if now_ms < self.until_ms else 0.0)

    def ask(self, now_ms: float) -> tuple[int, float]:
        """A number for an ask made now, and the demand to ask by: the time of a grant runs from here."""
        self._seq += 1
        self._asked_ms[self._seq] = now_ms
        while len(self._asked_ms) > 4:  # older ones are given up: their answers count no more
            del self._asked_ms[min(self._asked_ms)]
        demand, self._met = self._met, 0.0
        return self._seq, demand

    def grant(self, now_ms: float, seq: int, amount: float) -> bool:
        """An answer to ask ``seq``. One heard twice, late, out of order or never asked for changes nothing."""
        asked = self._asked_ms.pop(seq, None)
        if asked is None or seq <= self._taken_seq or now_ms >= asked + self.whole.grant_ms:
            return False
        self._settle(now_ms)
        self._taken_seq, self.granted, self.until_ms = seq, amount, asked + self.whole.grant_ms
        return True

    # Spending ----------------------------------------------------------------------------------------------

    def spend(self, now_ms: float) -> bool:
        """Whether one more may be spent now; it is, if so."""
        self._met += 1.0
        self._settle(now_ms)
        whole, allowed = self.whole, False
        if now_ms < self._from_ms:
            allowed = False
        elif whole.kind == "rate":
            allowed = self._tokens >= 1.0
            self._tokens -= float(allowed)
        elif whole.kind == "window":
            allowed = len(self._spent) + 1 <= self.share(now_ms)
            if allowed:
                self._spent.append(now_ms)
        else:
            allowed = self._flying + 1 <= self.share(now_ms)
            self._flying += int(allowed)
        self.counts["spent" if allowed else "refused"] = self.counts.get("spent" if allowed else "refused", 0) + 1
        return allowed

    def done(self) -> None:
        """What was in flight has ended, ``tail_ms`` after it began at the latest."""
        self._flying = max(0, self._flying - 1)

    def in_use(self, now_ms: float) -> float:
        """What this doorman occupies now (a rate: tokens that it could spend at once)."""
        self._settle(now_ms)
        used = {"window": float(len(self._spent)), "flight": float(self._flying), "rate": self._tokens}
        return used[self.whole.kind]

    def _settle(self, now_ms: float) -> None:
        """Bring window and bucket up to ``now_ms``; a grant that ended meanwhile counts up to its end."""
        whole = self.whole
        if whole.kind == "window":
            held = whole.tail_ms * (1.0 + whole.drift)
            while self._spent and now_ms - self._spent[0] >= held:
                self._spent.popleft()
        elif whole.kind == "rate":
            for until in sorted({min(max(self.until_ms, self._at_ms), now_ms), now_ms}):
                share = self.floor + (self.granted if until <= self.until_ms else 0.0)
                # Slow clocks may call a second what is a little more: what accrues is a little less for it.
                earned = share * (until - self._at_ms) / 1000.0 / (1.0 + whole.drift)
                self._tokens = min(whole.burst * share / whole.amount, self._tokens + earned)
                self._at_ms = until
            cap = whole.burst * self.share(now_ms) / whole.amount
            self._tokens = min(self._tokens, cap)
