"""A persistent log of the keyed requests that were sent.

A proxy that starts again, or another one that shares the store, knows from it which requests may have run, and sends
none again outside what its class allows.

A request is logged before its first byte, by its client's token, with the boot id of the machine and its steady
clock: the time since can be told only on the machine, and in the boot, that it was first sent in. For all others it
is unknown, and they are not sent again.

Only keyed requests wait for the store, and for ``wait_ms`` at most: one that can't be logged in that time is not
sent, and its client gets an error. Bounds: ``MAX_PENDING`` calls at once. Rows are deleted after ``keep_s``: those of
this boot by its steady clock; those of others by the time of day, once this process has run for as long, and with a
margin for a wall clock that was stepped by an hour.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechslip.clock import Clock
from beechslip.config import ConfigError, read_if_enabled
from beechslip.core.services import PreviousSend
from beechslip.counters import Counters
from beechslip.fleet.settings import Table
from beechslip.store import STORE_SCHEMES, Rows, Store, StoreError, open_store

log = logging.getLogger("beechslip.record")

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
SENT_TABLE = """CREATE TABLE IF NOT EXISTS sent (op_key TEXT PRIMARY KEY, boot TEXT NOT NULL,
    steady_ms DOUBLE PRECISION NOT NULL, at_ms DOUBLE PRECISION NOT NULL)"""

MAX_PENDING = 64
"""Calls to the store at once; a request beyond them is not sent."""

PRUNE_INTERVAL_MS = 60_000.0

WALL_CLOCK_MARGIN_MS = 3_600_000.0
"""Largest expected step of a wall clock: rows of other boots are kept so much longer."""

DEFAULT_WAIT_MS = 100.0
MAX_WAIT_MS = 10_000.0
DEFAULT_KEEP_S = 3600.0
MAX_KEEP_S = 1e7


@dataclass(frozen=True, slots=True)
class SentRequestConfig:
    """Settings of the log: the store's URL, how long a request waits for it, and how long rows are kept."""

    store: str
    wait_ms: float
    keep_s: float


@dataclass(frozen=True, slots=True)
class _LoggedSend:
    """When a request was first sent: the boot, and its steady clock in ms."""

    boot: str
    steady_ms: float


def read_sent_request_config(path: Path) -> SentRequestConfig | None:
    """The operators' file; ``None`` where it is absent or not ``enabled``; ConfigError names a wrong key."""
    values = read_if_enabled(path)
    if values is None:
        return None
    table = Table(path.name, values, ("enabled", "store", "wait_ms", "keep_s"))
    if not table.text("store"):
        raise table.fail("store", "is missing: the URL of a store of record")
    return SentRequestConfig(
        table.text("store"),
        table.number("wait_ms", DEFAULT_WAIT_MS, most=MAX_WAIT_MS),
        table.number("keep_s", DEFAULT_KEEP_S, most=MAX_KEEP_S),
    )


class StoredSentRequestLog:
    """The engine's ``SentRequestLog`` in a store. Owns the store and one thread; :meth:`close` ends both."""

    def __init__(
        self,
        config: SentRequestConfig,
        clock: Clock,
        counters: Counters,
        open_: Callable[[str], Store] = open_store,
    ) -> None:
        """The store is opened by ``open_`` at the first request, and after a failure at the next."""
        self._config = config
        self._clock = clock
        self._counters = counters
        self._open = open_
        self._thread = ThreadPoolExecutor(1, "record")
        self._store: Store | None = None
        self._pending = 0
        self._started_ms = clock.steady_ms()
        self._pruned_ms = self._started_ms
        self._boot = _read_boot_id()

    async def note(self, token: str) -> PreviousSend | bool:
        """Log a request before its first byte; see :class:`beechslip.core.model.SentRequestLog`."""
        if self._pending >= MAX_PENDING:
            self._counters.add("record.full")
            return False
        call = self._submit(self._insert, token, self._clock.steady_ms(), self._clock.wall_ms())
        try:
            previous = await asyncio.wait_for(asyncio.shield(call), self._config.wait_ms / 1000.0)
        except (StoreError, TimeoutError) as error:
            self._counters.add("record.failed")
            log.error("request not logged, and not sent: %s", str(error) or "the store takes too long")
            return False
        if previous is None:
            return True
        if not previous.boot or previous.boot != self._boot:
            return PreviousSend(float("-inf"))
        elapsed_ms = max(self._clock.steady_ms() - previous.steady_ms, 0.0)
        return PreviousSend(self._clock.now_ms() - elapsed_ms)

    def forget(self, token: str) -> None:
        """Delete a request of which no attempt can have run. Never waits; dropped if too many calls are pending."""
        if self._pending < MAX_PENDING:
            self._submit(self._delete, token)

    def close(self) -> None:
        """End the thread and close the store; calls that have not begun are dropped."""
        self._thread.shutdown(wait=False, cancel_futures=True)
        if self._store is not None:
            self._store.close()

    def _submit(self, function: Callable[..., Any], *arguments: Any) -> asyncio.Future[Any]:
        """Call ``function`` in the thread; counts as pending until it has ended."""
        self._pending += 1
        call = asyncio.get_running_loop().run_in_executor(self._thread, function, *arguments)
        call.add_done_callback(self._finished)
        return call

    def _finished(self, call: asyncio.Future[Any]) -> None:
        self._pending -= 1
        if not call.cancelled():
            call.exception()  # retrieved: a caller that no longer waits has logged its timeout already

    # In the thread -----------------------------------------------------------------------------------------

    def _rows(self) -> Rows:
        if self._store is None:
            self._store = self._open(self._config.store)
            self._store.rows.run(SENT_TABLE)
        return self._store.rows

    def _insert(self, token: str, steady_ms: float, at_ms: float) -> _LoggedSend | None:
        """``None`` once the request is logged, else what was logged of it before."""
        rows = self._rows()
        inserted = rows.run(
            "INSERT INTO sent (op_key, boot, steady_ms, at_ms) VALUES (:op_key, :boot, :steady_ms, :at_ms) "
            "ON CONFLICT (op_key) DO NOTHING RETURNING op_key",
            op_key=token,
            boot=self._boot,
            steady_ms=steady_ms,
            at_ms=at_ms,
        )
        if inserted:
            if steady_ms - self._pruned_ms >= PRUNE_INTERVAL_MS:
                self._pruned_ms = steady_ms
                self._prune(rows, steady_ms, at_ms)
            return None
        found = rows.run("SELECT boot, steady_ms FROM sent WHERE op_key = :op_key", op_key=token)
        if not found:  # deleted between the two statements
            return _LoggedSend("", 0.0)
        boot, sent_ms = found[0]
        return _LoggedSend(str(boot), float(sent_ms))

    def _prune(self, rows: Rows, steady_ms: float, at_ms: float) -> None:
        keep_ms = 1000.0 * self._config.keep_s
        rows.run(
            "DELETE FROM sent WHERE boot = :boot AND steady_ms < :before", boot=self._boot, before=steady_ms - keep_ms
        )
        if steady_ms - self._started_ms >= keep_ms:
            rows.run(
                "DELETE FROM sent WHERE boot <> :boot AND at_ms < :before",
                boot=self._boot,
                before=at_ms - keep_ms - WALL_CLOCK_MARGIN_MS,
            )

    def _delete(self, token: str) -> None:
        try:
            self._rows().run("DELETE FROM sent WHERE op_key = :op_key", op_key=token)
        except StoreError as error:
            self._counters.add("record.failed")
            log.error("request stays logged: %s", error)


def _read_boot_id() -> str:
    """The machine's boot id; "" where it can't be read: then no request's time since is known."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def open_sent_request_log(path: Path, clock: Clock, counters: Counters) -> StoredSentRequestLog | None:
    """The log that the file at ``path`` turns on; ``None`` if it does not; ConfigError if the file is wrong.

    The store is not opened yet: one that is away now may come back.
    """
    config = read_sent_request_config(path)
    if config is None:
        return None
    if config.store.partition(":")[0] not in STORE_SCHEMES:
        raise ConfigError(f"{path.name}: store is no store's URL")
    return StoredSentRequestLog(config, clock, counters)
