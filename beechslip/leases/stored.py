"""The same leases over a store of record, for installations that have one: conditional writes, no clocks compared.

A row a lease: holder, token, beat. A holder raises its beat; a contender that has seen one (token, beat) for the
lease time and the drift, by its own clock, may take the row by a write that requires both unchanged, and raises
the token. The holder's timer starts before its write is sent, and counts only once its answer is here:

- a write whose answer was lost counts as not done. The row is read anew, and if it is this holder's it is
  extended like any other, with a timer started then;
- a store that can't be reached, or is full, extends nothing: the lease ends by the holder's own clock.

Tokens live in the store, so they rise for good. :class:`Leases` is what tasks need of either kind.
"""
from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from beechslip.leases.paxos import LeaseTuning
from beechslip.store import StoreError

ROWS = """CREATE TABLE IF NOT EXISTS leases (
    name TEXT PRIMARY KEY, holder TEXT NOT NULL, token BIGINT NOT NULL, beat BIGINT NOT NULL)"""


class Leases(Protocol):
    """Named leases, of the fleet's doormans themselves or of a store of record."""

    me: str
    now_ms: float

    def want(self, name: str, now_ms: float) -> None: ...

    def held(self, name: str, now_ms: float) -> int | None:
        """The guard: the fencing token, if the lease is held for another margin."""
        ...

    def outbid(self, name: str, token: int) -> None:
        """A taker knows of ``token``: a lease under a lower one is worth nothing."""
        ...


class Rows(Protocol):
    """A connection that commits each statement (:class:`beechslip.store.sql.Database`)."""

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Rows of a statement; StoreError if it fails, or if nobody can tell."""
        ...


@dataclass(slots=True)
class _Lease:
    seen: tuple[str, int, int] | None = None  # holder, token, beat as last read
    since_ms: float = 0.0  # when this was first seen so
    token: int = 0
    deadline_ms: float = 0.0
    next_ms: float = 0.0
    least: int = 0  # a token that a taker knows of


@dataclass
class StoredLeases:
    """The leases of one holder, ``me`` with its life, in the store behind ``rows``. Calls block as it does."""

    me: str
    life: int
    rows: Rows
    clock: Callable[[], float]
    tuning: LeaseTuning = field(default_factory=LeaseTuning)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    note: Callable[..., None] = lambda kind, **facts: None

    def __post_init__(self) -> None:
        self.now_ms = self.clock()
        self.counts: dict[str, int] = {}
        self._leases: dict[str, _Lease] = {}
        self._ready = False

    @property
    def holder(self) -> str:
        return f"{self.me}/{self.life}"

    def want(self, name: str, now_ms: float) -> None:
        self._leases.setdefault(name, _Lease(next_ms=now_ms))

    def held(self, name: str, now_ms: float) -> int | None:
        lease = self._leases.get(name)
        return lease.token if lease and now_ms < lease.deadline_ms - self.tuning.margin_ms else None

    def outbid(self, name: str, token: int) -> None:
        lease = self._leases.get(name)
        if lease is not None:
            lease.least = max(lease.least, token)
            if lease.token < token and lease.deadline_ms:
                self._lose(name, lease, "lost")

    def release(self, name: str) -> None:
        """Hold it no longer, from before the store is told; StoreError leaves it to its time there."""
        lease = self._leases.pop(name, None)
        if lease is None or not lease.deadline_ms:
            return
        token = lease.token
        self._lose(name, lease, "released")
        self.rows.run("UPDATE leases SET holder = :free WHERE name = :name AND holder = :holder AND token = :token "
                      "RETURNING token", free="", name=name, holder=self.holder, token=token)

    def tick(self) -> None:
        """Extend, take or look at each lease that is due. Never raises: a store that fails is counted."""
        for name, lease in self._leases.items():
            now = self.now_ms = self.clock()
            if lease.deadline_ms and now >= lease.deadline_ms:
                self._lose(name, lease, "lost")
            if now < lease.next_ms:
                continue
            lease.next_ms = now + self.tuning.resend_ms
            try:
                if not self._ready:
                    self.rows.run(ROWS)
                    self._ready = True
                self._step(name, lease)
            except StoreError:
                self._count("store_failed")

    def _step(self, name: str, lease: _Lease) -> None:
        rows = self.rows.run("SELECT holder, token, beat FROM leases WHERE name = :name", name=name)
        now = self.clock()  # after the answer: what it says was so before
        if not rows:
            self._write(name, lease, 1, 0, now, "INSERT INTO leases (name, holder, token, beat) "
                        "VALUES (:name, :holder, :token, :beat) ON CONFLICT (name) DO NOTHING RETURNING token", {})
            return
        seen = (str(rows[0][0]), int(rows[0][1]), int(rows[0][2]))
        if seen != lease.seen:
            lease.seen, lease.since_ms = seen, now
        holder, token, beat = seen
        mine = holder == self.holder and token > lease.least
        stale = now - lease.since_ms >= self.tuning.longest_ms * (1.0 + self.tuning.drift)
        if not mine and holder and not stale:
            self._count("refused")
            return
        after = token if mine else max(token, lease.least) + 1
        self._write(name, lease, after, beat + 1, now,
                    "UPDATE leases SET holder = :holder, token = :token, beat = :beat "
                    "WHERE name = :name AND token = :was_token AND beat = :was_beat RETURNING token",
                    {"was_token": token, "was_beat": beat})

    def _write(self, name: str, lease: _Lease, token: int, beat: int, now: float, sql: str,
               where: dict[str, Any]) -> None:
        """``now`` was before the write: the timer runs from there."""
        done = self.rows.run(sql, name=name, holder=self.holder, token=token, beat=beat, **where)
        if not done:
            return
        lease.seen, lease.since_ms = (self.holder, token, beat), now
        deadline = now + self.tuning.lease_ms
        if self.clock() >= deadline:
            return
        if not lease.deadline_ms:
            self._count("held")
        lease.token, lease.deadline_ms = token, deadline
        lease.next_ms = now + self.tuning.lease_ms / 3.0 * self.rng.uniform(0.9, 1.0)
        self.note("hold", name=name, token=token, until=deadline, valid=deadline - self.tuning.margin_ms)

    def _lose(self, name: str, lease: _Lease, how: str) -> None:
        self.note(how, name=name, token=lease.token)
        self._count(how)
        lease.token, lease.deadline_ms = 0, 0.0

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
