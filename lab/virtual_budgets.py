"""Budgets in virtual time: shares and keepers on the lease fleet of :mod:`lab.virtual`, with all of its faults.

Each member spends of three wholes (a window, a number in flight, a rate) as fast as it is allowed, with a demand that
moves; whoever holds the lease ``budget`` keeps all three. Each spending, with its true time, goes to a checker:
what is occupied is at most the whole at every instant. Planted faults are methods replaced in :data:`PLANTS`.
"""
from __future__ import annotations

import contextlib
import dataclasses
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from beechslip.budgets.keeper import Keeper
from beechslip.budgets.share import Share, Whole
from lab.check import MOST_KEPT, Violation
from lab.virtual import VirtualFleet, schedule

LEASE_NAME = "budget"
WHOLES = (Whole("window", "window", 60.0, 800.0, 0.5, grant_ms=1000.0),
          Whole("flight", "flight", 30.0, 500.0, 0.3, grant_ms=1000.0),
          Whole("rate", "rate", 40.0, 0.0, 0.5, burst=20.0, grant_ms=1000.0))


@dataclass
class BudgetChecker:
    """Feed it what is spent and what ends, by rising time; rules ``over-window``, ``over-flight``, ``over-rate``."""

    whole: Whole
    violations: list[Violation] = field(default_factory=list)
    spent: int = 0
    most: float = 0.0  # the most that was occupied at once (a rate: the least left of its bucket, from the burst)

    def __post_init__(self) -> None:
        self._window: deque[float] = deque()
        self._flying = 0
        self._level, self._at = self.whole.burst, 0.0

    def spend(self, t: float, member: str) -> None:
        whole = self.whole
        self.spent += 1
        if whole.kind == "window":
            self._window.append(t)
            while t - self._window[0] >= whole.tail_ms:
                self._window.popleft()
            used = float(len(self._window))
        elif whole.kind == "flight":
            self._flying += 1
            used = float(self._flying)
        else:
            self._level = min(whole.burst, self._level + (t - self._at) / 1000.0 * whole.amount) - 1.0
            self._at = t
            used = whole.burst - self._level
        self.most = max(self.most, used)
        bound = whole.burst if whole.kind == "rate" else whole.amount
        if used > bound + 1e-6 and len(self.violations) < MOST_KEPT:
            self.violations.append(Violation(f"over-{whole.kind}", t, f"{member} makes it {used:.1f} of {bound:g}"))

    def done(self) -> None:
        self._flying -= 1


@dataclass(frozen=True, slots=True)
class Ask:
    whole: str
    life: int
    seq: int
    demand: float


@dataclass(frozen=True, slots=True)
class Grant:
    whole: str
    life: int
    seq: int
    amount: float


class BudgetFleet(VirtualFleet):
    """One seeded run; ``checkers`` by whole."""

    def __init__(self, seed: int) -> None:
        plan = dataclasses.replace(schedule(seed), names=(LEASE_NAME,), drill_every_ms=1e12, wire=False)
        self.checkers = {w.name: BudgetChecker(w) for w in WHOLES}
        self.shares: dict[str, dict[str, Share]] = {}
        self.keepers: dict[str, dict[str, Keeper]] = {}
        self._ask_ms: dict[str, float] = {}
        super().__init__(plan, seed)

    def _boot(self, name: str) -> None:
        super()._boot(name)
        one = self.members[name]
        sets = self.declared[name]
        before = sets[0] if len(sets) > 1 else 0
        self.keepers[name] = {}
        self.shares[name] = {w.name: Share(w, self._local(one), w.floor(sets[-1], before, int(name[1:])))
                             for w in WHOLES}
        self._ask_ms[name] = self._local(one)

    def _fault(self, what: str, whom: Any) -> None:
        super()._fault(what, whom)
        if what == "declare" and whom[0] in self.shares and whom[0] in self.members:
            sets = self.declared[whom[0]]
            before = sets[0] if len(sets) > 1 else 0
            for share in self.shares[whom[0]].values():
                share.floor = share.whole.floor(sets[-1], before, int(whom[0][1:]))

    def _turn(self, name: str, one: Any) -> None:
        super()._turn(name, one)
        local = self._local(one)
        if local >= self._ask_ms[name]:
            self._ask_ms[name] = local + 300.0
            keeper = one.node.holder(LEASE_NAME, local)
            if keeper:
                asks = [Ask(w, self._lives[name], *share.ask(local)) for w, share in self.shares[name].items()]
                for ask in asks:
                    if keeper == name:
                        self._budget(name, name, ask)
                    else:
                        self._pass(name, keeper, ask)
        # Demand moves: a member is busy for some seconds, then hardly at all.
        busy = (int(name[1:]) + int(self.now / 3000.0)) % 3 == 0
        for whole, share in self.shares[name].items():
            for _ in range(12 if busy else 1):
                if share.spend(local):
                    self.checkers[whole].spend(self.now, name)
                    if share.whole.kind == "flight":
                        self._at(self.now + self.rng.uniform(5.0, 0.98 * share.whole.tail_ms),
                                 partial(self._ended, name, self._lives[name], share))

    def _ended(self, name: str, life: int, share: Share) -> None:
        """An attempt ends at the depot by its own time, whatever has become of who made it."""
        self.checkers["flight"].done()
        if name in self.members and self._lives[name] == life:
            share.done()

    def _pass(self, sender: str, to: str, message: Ask | Grant) -> None:
        out: list[Any] = [(to, message)]
        self._send(sender, out)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        one = self.members.get(to)
        if isinstance(message, (Ask, Grant)) and one is not None and not one.stopped:
            self._budget(sender, to, message)
        else:
            super()._deliver(sender, to, message)

    def _budget(self, sender: str, to: str, message: Ask | Grant) -> None:
        one = self.members[to]
        local = self._local(one)
        if isinstance(message, Grant):
            if message.life == self._lives[to]:
                self.shares[to][message.whole].grant(local, message.seq, message.amount)
            return
        token = one.node.held(LEASE_NAME, local)
        if token is None:
            return
        keeper = self.keepers[to].get(message.whole)
        if keeper is None or keeper.token != token:
            whole = next(w for w in WHOLES if w.name == message.whole)
            keeper = self.keepers[to][message.whole] = Keeper(whole, token, local)
        amount = keeper.ask(local, sender, message.life, message.seq, message.demand)
        if amount is not None:
            grant = Grant(message.whole, message.life, message.seq, amount)
            if sender == to:
                self._budget(to, to, grant)
            else:
                self._pass(to, sender, grant)


def _hasty(self: Keeper) -> None:
    _begin(self)
    self.from_ms = self.now_ms


def _suspicious(self: Keeper, now_ms: float) -> None:
    """What was given to one not heard of for a while is given again."""
    for name, (_, heard) in list(self._demand.items()):
        if now_ms - heard > 400.0:
            self._booked.pop(name, None)
    _clear(self, now_ms)


def _by_the_keeper(self: Share, now_ms: float, seq: int, amount: float) -> bool:
    """The time of a grant runs from its answer."""
    if seq in self._asked_ms:
        self._asked_ms[seq] = now_ms
    return _grant(self, now_ms, seq, amount)


def _no_quiet(self: Share) -> None:
    _start(self)
    self._from_ms = self.now_ms


def _living(self: Whole, members: int, before: int = 0, number: int = 0) -> float:
    """Floors of those that are new, too, while the others may not have heard."""
    return self.amount * self.floor_share / members


def _no_tail(self: Keeper) -> float:
    """What was spent of a grant is not held back once the grant has ended."""
    return self.whole.grant_ms * (1.0 + self.whole.drift)


def _full_bucket(self: Share, now_ms: float, seq: int, amount: float) -> bool:
    """A grant brings its burst of tokens with it."""
    taken = _grant(self, now_ms, seq, amount)
    if taken:
        self._tokens += self.whole.burst * amount / self.whole.amount
    return taken


_begin, _clear, _grant, _start = Keeper.__post_init__, Keeper._clear, Share.grant, Share.__post_init__
PLANTS: dict[str, tuple[type, str, Any]] = {
    "new-keeper-does-not-wait": (Keeper, "__post_init__", _hasty),
    "given-again-on-suspicion": (Keeper, "_clear", _suspicious),
    "ends-by-the-answer": (Share, "grant", _by_the_keeper),
    "restart-spends-at-once": (Share, "__post_init__", _no_quiet),
    "floors-of-all-at-once": (Whole, "floor", _living),
    "spendings-not-held-back": (Keeper, "_held_ms", _no_tail),
    "grant-brings-tokens": (Share, "grant", _full_bucket),
}


@contextlib.contextmanager
def broken(plant: str) -> Iterator[None]:
    if not plant:
        yield
        return
    owner, name, method = PLANTS[plant]
    whole = owner.__dict__[name]
    setattr(owner, name, method)
    try:
        yield
    finally:
        setattr(owner, name, whole)


def play(seed: int, plant: str = "") -> tuple[int, dict[str, int], tuple[str, ...]]:
    """One run: steps, spendings by whole, violations."""
    with broken(plant):
        fleet = BudgetFleet(seed)
        leases = fleet.run()
    found = [*leases.violations, *(v for c in fleet.checkers.values() for v in c.violations)]
    return (fleet.steps, {n: c.spent for n, c in fleet.checkers.items()},
            tuple(f"{v.rule} at {v.t:.0f} ms: {v.text}" for v in found))


def used(seed: int) -> dict[str, float]:
    """The most of each whole that was occupied at once."""
    fleet = BudgetFleet(seed)
    fleet.run()
    return {name: checker.most for name, checker in fleet.checkers.items()}



