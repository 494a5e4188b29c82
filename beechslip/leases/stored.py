"""Leases in a store of record, for installations that have one: conditional writes, and no comparison of clocks.

There is one row for each lease, with its holder, token, beat (heartbeat number) and duration. A holder raises the
beat with each extension. A contender may take the row if, by its own clock, (token, beat) has not changed for the
duration in the row, or for its own longest lease time if that is longer, plus drift. It takes the row by a write that
requires both to be unchanged, and raises the token. The holder's timer starts before its write is sent, and the lease
counts as held only when the answer has arrived:

- A write whose answer was lost counts as not done. The row is read again, and if it is this holder's it is extended
  like any other, with a timer started then.
- If the store can't be reached, or is full, nothing is extended: the lease ends by the holder's own clock.

Tokens are kept in the store, so they rise even over restarts. :class:`LeaseProvider` is the interface that tasks use
for either kind of lease.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from beechslip.leases.paxos import LeaseTuning
from beechslip.store import SqlConnection, StoreError

CREATE_LEASES_TABLE = """CREATE TABLE IF NOT EXISTS leases (
    name TEXT PRIMARY KEY, holder TEXT NOT NULL, token BIGINT NOT NULL, beat BIGINT NOT NULL,
    lasts_ms DOUBLE PRECISION NOT NULL DEFAULT 0)"""
CHECK_DURATION_COLUMN = "SELECT lasts_ms FROM leases LIMIT 0"
ADD_DURATION_COLUMN = (
    "ALTER TABLE leases ADD COLUMN lasts_ms DOUBLE PRECISION NOT NULL DEFAULT 0"  # for a table of an earlier version
)
SELECT_LEASES = "SELECT name, holder, token, beat, lasts_ms FROM leases"
INSERT_LEASE = (
    "INSERT INTO leases (name, holder, token, beat, lasts_ms) VALUES (:name, :holder, :token, :beat, :lasts_ms) "
    "ON CONFLICT (name) DO NOTHING RETURNING token"
)
UPDATE_LEASE = (
    "UPDATE leases SET holder = :holder, token = :token, beat = :beat, lasts_ms = :lasts_ms "
    "WHERE name = :name AND token = :was_token AND beat = :was_beat RETURNING token"
)
RELEASE_LEASE = (
    "UPDATE leases SET holder = :free WHERE name = :name AND holder = :holder AND token = :token RETURNING token"
)
NOBODY = ""  # holder in the row of a released lease

RENEWALS_PER_LEASE = 3.0  # a holder extends after the lease time divided by this, times a random factor
RENEWAL_JITTER = (0.9, 1.0)  # bounds of this random factor


class LeaseProvider(Protocol):
    """Named leases, held among the proxies of the fleet or in a store of record."""

    me: str
    now_ms: float

    def want(self, name: str, now_ms: float) -> None:
        """Contend for the lease ``name`` from now on."""
        ...

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the fencing token if the lease is held for at least the margin, otherwise None.

        This is the check before each act.
        """
        ...

    def observe_token(self, name: str, token: int) -> None:
        """Record that another member has seen ``token``: end a lease with a lower one, and take the next above it."""
        ...


class _RowVersion(NamedTuple):
    """Identifies one state of a row: the holder changes ``beat`` with each extension."""

    holder: str
    token: int
    beat: int


@dataclass(slots=True)
class _LeaseState:
    row_version: _RowVersion | None = None  # the state of the row as last read
    unchanged_since_ms: float = 0.0  # when this state was first read
    token: int = 0
    deadline_ms: float = 0.0  # 0: not held
    next_check_ms: float = 0.0  # when to read the row again
    min_token: int = 0  # the highest token that another member has seen; the next token must be above it


@dataclass
class StoredLeases:
    """The leases of one holder (``me`` in its incarnation) in a store, read and written through ``connection``.

    Calls block as long as the store does. ``note`` is called with each event: hold, lost, released.
    ``counts`` counts held, lost, released, refused and store_failed.
    """

    me: str
    incarnation: int
    connection: SqlConnection
    clock: Callable[[], float]
    tuning: LeaseTuning = field(default_factory=LeaseTuning)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    note: Callable[..., None] = lambda kind, **facts: None

    def __post_init__(self) -> None:
        """Start with no lease. The table is created by the first :meth:`tick` that has a lease to look at."""
        self.now_ms = self.clock()
        self.counts: dict[str, int] = {}
        self._leases: dict[str, _LeaseState] = {}
        self._is_table_ready = False

    @property
    def holder(self) -> str:
        """The name of this holder in the rows: the member and its incarnation."""
        return f"{self.me}/{self.incarnation}"

    def want(self, name: str, now_ms: float) -> None:
        """Contend for the lease ``name`` from the next :meth:`tick` at ``now_ms`` or later."""
        self._leases.setdefault(name, _LeaseState(next_check_ms=now_ms))

    def held_token(self, name: str, now_ms: float) -> int | None:
        """Return the fencing token if the lease is held for at least the margin, otherwise None.

        This is the check before each act.
        """
        lease = self._leases.get(name)
        return lease.token if lease and now_ms < lease.deadline_ms - self.tuning.margin_ms else None

    def last_holder(self, name: str) -> str:
        """Return the holder in the row as last read; "" if there is none, or the row has not been read yet."""
        lease = self._leases.get(name)
        return lease.row_version.holder if lease is not None and lease.row_version is not None else NOBODY

    def observe_token(self, name: str, token: int) -> None:
        """Record that another member has seen ``token``: end a lease with a lower one, and take the next above it."""
        lease = self._leases.get(name)
        if lease is None:
            return
        lease.min_token = max(lease.min_token, token)
        if lease.token < token and lease.deadline_ms:
            self._end_tenure(name, lease, "lost")

    def release(self, name: str) -> None:
        """Stop contending for the lease and end a tenure, before the store is written.

        On StoreError the row is left to expire.
        """
        lease = self._leases.pop(name, None)
        if lease is None or not lease.deadline_ms:
            return
        token = lease.token
        self._end_tenure(name, lease, "released")
        self.connection.run(RELEASE_LEASE, free=NOBODY, name=name, holder=self.holder, token=token)

    def tick(self) -> None:
        """Extend, take or check each lease that is due. A failure of the store is counted and not raised."""
        now_ms = self.now_ms = self.clock()
        due = self._due_leases(now_ms)
        if not due:
            return
        try:
            if not self._is_table_ready:
                self.prepare_table()
            # One statement reads all leases: with one for each, a slow store could make held leases expire.
            rows = self.connection.run(SELECT_LEASES)
        except StoreError:
            self._count("store_failed")
            return
        read_ms = self.clock()  # taken after the answer: the rows were read before this time
        by_name = {str(row[0]): row[1:] for row in rows}
        for name, lease in due:
            try:
                self._step_lease(name, lease, by_name.get(name), read_ms)
            except StoreError:
                self._count("store_failed")

    def _due_leases(self, now_ms: float) -> list[tuple[str, _LeaseState]]:
        """Return the leases to look at now. End the tenures whose deadline has passed."""
        due = []
        for name, lease in list(self._leases.items()):
            if lease.deadline_ms and now_ms >= lease.deadline_ms:
                self._end_tenure(name, lease, "lost")
            if now_ms >= lease.next_check_ms:
                lease.next_check_ms = now_ms + self.tuning.resend_ms
                due.append((name, lease))
        return due

    def prepare_table(self) -> None:
        """Create the table, or add the column that an earlier version's table lacks. Raise StoreError on failure."""
        self.connection.run(CREATE_LEASES_TABLE)
        try:
            self.connection.run(CHECK_DURATION_COLUMN)
        except StoreError:
            self.connection.run(ADD_DURATION_COLUMN)
        self._is_table_ready = True

    def _step_lease(self, name: str, lease: _LeaseState, row: Sequence[Any] | None, read_ms: float) -> None:
        """Write the row if it is free, expired or this holder's own."""
        start_ms = self.clock()  # the timer starts before the write
        if row is None:
            self._write_row(name, lease, _RowVersion(self.holder, 1, 0), start_ms, INSERT_LEASE, {})
            return
        seen = _RowVersion(str(row[0]), int(row[1]), int(row[2]))
        if seen != lease.row_version:
            lease.row_version = seen
            lease.unchanged_since_ms = read_ms
        is_own = seen.holder == self.holder and seen.token > lease.min_token
        if not is_own and seen.holder != NOBODY and not self._is_expired(lease, read_ms, float(row[3])):
            self._count("refused")
            return
        token = seen.token if is_own else max(seen.token, lease.min_token) + 1
        new_version = _RowVersion(self.holder, token, seen.beat + 1)
        self._write_row(
            name, lease, new_version, start_ms, UPDATE_LEASE, {"was_token": seen.token, "was_beat": seen.beat}
        )

    def _is_expired(self, lease: _LeaseState, read_ms: float, lasts_ms: float) -> bool:
        """True if the row has been unchanged, by this clock and with drift, for as long as its holder may hold it."""
        longest_ms = max(self.tuning.longest_ms, lasts_ms)
        return read_ms - lease.unchanged_since_ms >= longest_ms * (1.0 + self.tuning.drift)

    def _write_row(
        self,
        name: str,
        lease: _LeaseState,
        new_version: _RowVersion,
        start_ms: float,
        sql: str,
        condition: dict[str, Any],
    ) -> None:
        """Write ``new_version``. The lease is held if the condition was met.

        ``start_ms`` is a time before the write: the timer of the lease starts then.
        """
        written = self.connection.run(
            sql,
            name=name,
            holder=new_version.holder,
            token=new_version.token,
            beat=new_version.beat,
            lasts_ms=self.tuning.lease_ms,
            **condition,
        )
        if not written:
            return
        lease.row_version = new_version
        lease.unchanged_since_ms = start_ms
        deadline_ms = start_ms + self.tuning.lease_ms
        if self.clock() >= deadline_ms:
            return
        if not lease.deadline_ms:
            self._count("held")
        lease.token = new_version.token
        lease.deadline_ms = deadline_ms
        lease.next_check_ms = start_ms + self.tuning.lease_ms / RENEWALS_PER_LEASE * self.rng.uniform(*RENEWAL_JITTER)
        valid_ms = deadline_ms - self.tuning.margin_ms
        self.note("hold", name=name, token=new_version.token, until=deadline_ms, valid=valid_ms)

    def _end_tenure(self, name: str, lease: _LeaseState, event: str) -> None:
        self.note(event, name=name, token=lease.token)
        self._count(event)
        lease.token = 0
        lease.deadline_ms = 0.0

    def _count(self, counter: str) -> None:
        self.counts[counter] = self.counts.get(counter, 0) + 1
