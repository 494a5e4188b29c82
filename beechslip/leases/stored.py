"""The same leases over a store of record, for installations that have one: conditional writes, no clocks compared.

A row a lease: holder, token, beat (heartbeat number), and how long it lasts. A holder raises its beat; a contender
that has seen one (token, beat) for that time or its own longest, and the drift, by its own clock, may take the row by
a write that requires both unchanged, and raises the token. The holder's timer starts before its write is sent, and
counts only once its answer is here:

- a write whose answer was lost counts as not done. The row is read anew, and if it is this holder's it is
  extended like any other, with a timer started then;
- a store that can't be reached, or is full, extends nothing: the lease ends by the holder's own clock.

Tokens live in the store, so they rise for good. :class:`Leases` is what tasks need of either kind.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from beechslip.leases.paxos import LeaseTuning
from beechslip.store import SqlConnection, StoreError

CREATE_TABLE = """CREATE TABLE IF NOT EXISTS leases (
    name TEXT PRIMARY KEY, holder TEXT NOT NULL, token BIGINT NOT NULL, beat BIGINT NOT NULL,
    lasts_ms DOUBLE PRECISION NOT NULL DEFAULT 0)"""
CHECK_COLUMN = "SELECT lasts_ms FROM leases LIMIT 0"
ADD_COLUMN = (
    "ALTER TABLE leases ADD COLUMN lasts_ms DOUBLE PRECISION NOT NULL DEFAULT 0"  # an earlier version's lacks it
)
SELECT_ALL = "SELECT name, holder, token, beat, lasts_ms FROM leases"
INSERT = (
    "INSERT INTO leases (name, holder, token, beat, lasts_ms) VALUES (:name, :holder, :token, :beat, :lasts_ms) "
    "ON CONFLICT (name) DO NOTHING RETURNING token"
)
UPDATE = (
    "UPDATE leases SET holder = :holder, token = :token, beat = :beat, lasts_ms = :lasts_ms "
    "WHERE name = :name AND token = :was_token AND beat = :was_beat RETURNING token"
)
RELEASE = (
    "UPDATE leases SET holder = :free WHERE name = :name AND holder = :holder AND token = :token RETURNING token"
)
NOBODY = ""  # the holder in the row of a lease that was released

RENEWALS_PER_LEASE = 3.0  # a holder extends after the lease time divided by this,
RENEWAL_JITTER = (0.9, 1.0)  # times a random factor within these bounds


class Leases(Protocol):
    """Named leases, of the fleet's proxies themselves or of a store of record."""

    me: str
    now_ms: float

    def want(self, name: str, now_ms: float) -> None:
        """Contend for ``name`` from now on."""
        ...

    def held(self, name: str, now_ms: float) -> int | None:
        """The guard: the fencing token, if the lease is held for another margin."""
        ...

    def observe_token(self, name: str, token: int) -> None:
        """Another member has seen ``token``: a lease under a lower one ends, and the next is above it."""
        ...


class _Version(NamedTuple):
    """What identifies one state of a row: a holder changes ``beat`` with each extension."""

    holder: str
    token: int
    beat: int


@dataclass(slots=True)
class _Lease:
    seen: _Version | None = None  # the row as last read
    since_ms: float = 0.0  # when this version was first seen
    token: int = 0
    deadline_ms: float = 0.0  # 0: not held
    next_ms: float = 0.0  # when to look at the row again
    least_token: int = 0  # a token that another member has seen


@dataclass
class StoredLeases:
    """The leases of one holder, ``me`` with its incarnation, in the store behind ``rows``. Calls block as it does.

    ``note`` is called with each event: hold, lost, released; ``counts`` counts held, lost, released, refused and
    store_failed.
    """

    me: str
    incarnation: int
    rows: SqlConnection
    clock: Callable[[], float]
    tuning: LeaseTuning = field(default_factory=LeaseTuning)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    note: Callable[..., None] = lambda kind, **facts: None

    def __post_init__(self) -> None:
        """Hold and want nothing; the table is made with the first :meth:`tick` that has a lease to look at."""
        self.now_ms = self.clock()
        self.counts: dict[str, int] = {}
        self._leases: dict[str, _Lease] = {}
        self._table_ready = False

    @property
    def holder(self) -> str:
        """This holder as rows name it: the member and its incarnation."""
        return f"{self.me}/{self.incarnation}"

    def want(self, name: str, now_ms: float) -> None:
        """Contend for ``name`` from the next :meth:`tick` at ``now_ms`` or later."""
        self._leases.setdefault(name, _Lease(next_ms=now_ms))

    def held(self, name: str, now_ms: float) -> int | None:
        """The guard: the fencing token, if the lease is held for another margin."""
        lease = self._leases.get(name)
        return lease.token if lease and now_ms < lease.deadline_ms - self.tuning.margin_ms else None

    def last_holder(self, name: str) -> str:
        """Who holds it by the row as it was last read; "" if nobody, or it was not read yet."""
        lease = self._leases.get(name)
        return lease.seen.holder if lease is not None and lease.seen is not None else NOBODY

    def observe_token(self, name: str, token: int) -> None:
        """Another member has seen ``token``: a lease under a lower one ends, and the next is above it."""
        lease = self._leases.get(name)
        if lease is None:
            return
        lease.least_token = max(lease.least_token, token)
        if lease.token < token and lease.deadline_ms:
            self._end_tenure(name, lease, "lost")

    def release(self, name: str) -> None:
        """Hold and want it no longer, from before the store is written; on StoreError the row is left to expire."""
        lease = self._leases.pop(name, None)
        if lease is None or not lease.deadline_ms:
            return
        token = lease.token
        self._end_tenure(name, lease, "released")
        self.rows.run(RELEASE, free=NOBODY, name=name, holder=self.holder, token=token)

    def tick(self) -> None:
        """Extend, take or look at each lease that is due. Never raises: a store that fails is counted."""
        now_ms = self.now_ms = self.clock()
        due = self._due(now_ms)
        if not due:
            return
        try:
            if not self._table_ready:
                self.prepare_table()
            # One statement for all, however many: a slow store must not cost a lease for each that is looked at.
            rows = self.rows.run(SELECT_ALL)
        except StoreError:
            self._count("store_failed")
            return
        read_ms = self.clock()  # after the answer: what it says was so before
        by_name = {str(row[0]): row[1:] for row in rows}
        for name, lease in due:
            try:
                self._step(name, lease, by_name.get(name), read_ms)
            except StoreError:
                self._count("store_failed")

    def _due(self, now_ms: float) -> list[tuple[str, _Lease]]:
        """The leases to look at now; those whose deadline has passed end here."""
        due = []
        for name, lease in list(self._leases.items()):
            if lease.deadline_ms and now_ms >= lease.deadline_ms:
                self._end_tenure(name, lease, "lost")
            if now_ms >= lease.next_ms:
                lease.next_ms = now_ms + self.tuning.resend_ms
                due.append((name, lease))
        return due

    def prepare_table(self) -> None:
        """Create the table, or add the column that an earlier version's lacks; StoreError if it can't be."""
        self.rows.run(CREATE_TABLE)
        try:
            self.rows.run(CHECK_COLUMN)
        except StoreError:
            self.rows.run(ADD_COLUMN)
        self._table_ready = True

    def _step(self, name: str, lease: _Lease, row: Sequence[Any] | None, read_ms: float) -> None:
        """Write the row if it is free, expired or this holder's own."""
        start_ms = self.clock()  # before the write: its timer runs from here
        if row is None:
            self._write(name, lease, _Version(self.holder, 1, 0), start_ms, INSERT, {})
            return
        seen = _Version(str(row[0]), int(row[1]), int(row[2]))
        if seen != lease.seen:
            lease.seen = seen
            lease.since_ms = read_ms
        own = seen.holder == self.holder and seen.token > lease.least_token
        if not own and seen.holder != NOBODY and not self._expired(lease, read_ms, float(row[3])):
            self._count("refused")
            return
        token = seen.token if own else max(seen.token, lease.least_token) + 1
        wanted = _Version(self.holder, token, seen.beat + 1)
        self._write(name, lease, wanted, start_ms, UPDATE, {"was_token": seen.token, "was_beat": seen.beat})

    def _expired(self, lease: _Lease, read_ms: float, lasts_ms: float) -> bool:
        """Whether the row has been unchanged for as long as its holder may hold, by this clock with the drift."""
        longest_ms = max(self.tuning.longest_ms, lasts_ms)
        return read_ms - lease.since_ms >= longest_ms * (1.0 + self.tuning.drift)

    def _write(
        self, name: str, lease: _Lease, wanted: _Version, start_ms: float, sql: str, condition: dict[str, Any]
    ) -> None:
        """Write ``wanted``; held if the condition was met. ``start_ms`` was before the write: the timer's start."""
        written = self.rows.run(
            sql,
            name=name,
            holder=wanted.holder,
            token=wanted.token,
            beat=wanted.beat,
            lasts_ms=self.tuning.lease_ms,
            **condition,
        )
        if not written:
            return
        lease.seen = wanted
        lease.since_ms = start_ms
        deadline_ms = start_ms + self.tuning.lease_ms
        if self.clock() >= deadline_ms:
            return
        if not lease.deadline_ms:
            self._count("held")
        lease.token = wanted.token
        lease.deadline_ms = deadline_ms
        lease.next_ms = start_ms + self.tuning.lease_ms / RENEWALS_PER_LEASE * self.rng.uniform(*RENEWAL_JITTER)
        valid_ms = deadline_ms - self.tuning.margin_ms
        self.note("hold", name=name, token=wanted.token, until=deadline_ms, valid=valid_ms)

    def _end_tenure(self, name: str, lease: _Lease, how: str) -> None:
        self.note(how, name=name, token=lease.token)
        self._count(how)
        lease.token = 0
        lease.deadline_ms = 0.0

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
