"""The sent-request log: a persistent log of the keyed requests that were sent.

After a restart, a proxy reads from it which requests may have been executed; so does another proxy that shares the
store. Neither sends such a request again except as its class allows.

A request is logged before its first byte is sent. The row has the client's token, the boot id of the machine and the
time of its steady clock. The time since the request was sent is known only on that machine and in that boot.
Elsewhere it is unknown, and the request is not sent again.

Only keyed requests wait for the store, for at most ``wait_ms``. A request that cannot be logged in that time is not
sent, and its client gets an error. Bounds: at most ``MAX_PENDING`` calls are pending at once, and rows are deleted
after ``keep_s``. Rows of this boot expire by its steady clock. Rows of other boots expire by the time of day, but
only after this process has run for ``keep_s``, and with a margin for a wall clock that was stepped by an hour.
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
from beechslip.fleet.settings import SettingsTable
from beechslip.store import STORE_SCHEMES, SqlConnection, Store, StoreError, open_store

log = logging.getLogger("beechslip.record")

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
CREATE_SENT_TABLE = """CREATE TABLE IF NOT EXISTS sent (op_key TEXT PRIMARY KEY, boot TEXT NOT NULL,
    steady_ms DOUBLE PRECISION NOT NULL, at_ms DOUBLE PRECISION NOT NULL)"""

MAX_PENDING = 64
"""Maximum number of pending calls to the store; a request beyond it is not sent."""

PRUNE_INTERVAL_MS = 60_000.0

WALL_CLOCK_MARGIN_MS = 3_600_000.0
"""Largest expected step of a wall clock; rows of other boots are kept longer by this time."""

DEFAULT_WAIT_MS = 100.0
MAX_WAIT_MS = 10_000.0
DEFAULT_KEEP_S = 3600.0
MAX_KEEP_S = 1e7


@dataclass(frozen=True, slots=True)
class SentRequestConfig:
    """Settings of the log: the URL of the store, the wait of a request for it, and how long rows are kept."""

    store: str
    wait_ms: float
    keep_s: float


@dataclass(frozen=True, slots=True)
class _LoggedSend:
    """When a request was first sent: the boot id, and the steady time in that boot, in ms."""

    boot: str
    steady_ms: float


def read_sent_request_config(path: Path) -> SentRequestConfig | None:
    """Read the settings file at ``path``; return ``None`` if it is absent or not ``enabled``.

    Raises ConfigError, which names the key, if a value is invalid.
    """
    values = read_if_enabled(path)
    if values is None:
        return None
    table = SettingsTable(path.name, values, ("enabled", "store", "wait_ms", "keep_s"))
    if not table.string("store"):
        raise table.make_error("store", "is missing: expected the URL of a store of record")
    return SentRequestConfig(
        table.string("store"),
        table.number("wait_ms", DEFAULT_WAIT_MS, most=MAX_WAIT_MS),
        table.number("keep_s", DEFAULT_KEEP_S, most=MAX_KEEP_S),
    )


class StoredSentRequestLog:
    """The engine's ``SentRequestLog``, kept in a store.

    It owns the store and one thread; :meth:`close` ends both.
    """

    def __init__(
        self,
        config: SentRequestConfig,
        clock: Clock,
        counters: Counters,
        open_: Callable[[str], Store] = open_store,
    ) -> None:
        """Create the log. The store is opened with ``open_`` at the first request, or at the next if that fails."""
        self._config = config
        self._clock = clock
        self._counters = counters
        self._open_store = open_
        self._thread = ThreadPoolExecutor(1, "record")
        self._store: Store | None = None
        self._pending = 0
        self._started_ms = clock.steady_ms()
        self._pruned_ms = self._started_ms
        self._boot_id = _read_boot_id()

    async def record_send(self, token: str) -> PreviousSend | bool:
        """Log a request before its first byte is sent; see :class:`beechslip.core.services.SentRequestLog`."""
        if self._pending >= MAX_PENDING:
            self._counters.add("record.full")
            return False
        call = self._run_in_thread(self._insert, token, self._clock.steady_ms(), self._clock.wall_ms())
        try:
            previous = await asyncio.wait_for(asyncio.shield(call), self._config.wait_ms / 1000.0)
        except (StoreError, TimeoutError) as error:
            self._counters.add("record.failed")
            log.error(
                "request not sent, because it could not be written to the sent-request log: %s",
                str(error) or "the store took too long",
            )
            return False
        if previous is None:
            return True
        if not previous.boot or previous.boot != self._boot_id:
            return PreviousSend(float("-inf"))
        elapsed_ms = max(self._clock.steady_ms() - previous.steady_ms, 0.0)
        return PreviousSend(self._clock.now_ms() - elapsed_ms)

    def forget(self, token: str) -> None:
        """Delete the row of a request of which no attempt can have been executed.

        The call does not wait, and does nothing if too many calls are pending.
        """
        if self._pending < MAX_PENDING:
            self._run_in_thread(self._delete, token)

    def close(self) -> None:
        """End the thread and close the store; pending calls that have not begun are cancelled."""
        self._thread.shutdown(wait=False, cancel_futures=True)
        if self._store is not None:
            self._store.close()

    def _run_in_thread(self, function: Callable[..., Any], *arguments: Any) -> asyncio.Future[Any]:
        """Call ``function`` in the thread; the call counts as pending until it has ended."""
        self._pending += 1
        call = asyncio.get_running_loop().run_in_executor(self._thread, function, *arguments)
        call.add_done_callback(self._call_finished)
        return call

    def _call_finished(self, call: asyncio.Future[Any]) -> None:
        self._pending -= 1
        if not call.cancelled():
            call.exception()  # mark as retrieved: a caller that stopped waiting has already logged its timeout

    # Called in the thread ----------------------------------------------------------------------------------

    def _connect(self) -> SqlConnection:
        if self._store is None:
            self._store = self._open_store(self._config.store)
            self._store.connection.run(CREATE_SENT_TABLE)
        return self._store.connection

    def _insert(self, token: str, steady_ms: float, at_ms: float) -> _LoggedSend | None:
        """Log the request and return ``None``, or return its row if it was logged before."""
        connection = self._connect()
        inserted = connection.run(
            "INSERT INTO sent (op_key, boot, steady_ms, at_ms) VALUES (:op_key, :boot, :steady_ms, :at_ms) "
            "ON CONFLICT (op_key) DO NOTHING RETURNING op_key",
            op_key=token,
            boot=self._boot_id,
            steady_ms=steady_ms,
            at_ms=at_ms,
        )
        if inserted:
            if steady_ms - self._pruned_ms >= PRUNE_INTERVAL_MS:
                self._pruned_ms = steady_ms
                self._prune(connection, steady_ms, at_ms)
            return None
        found = connection.run("SELECT boot, steady_ms FROM sent WHERE op_key = :op_key", op_key=token)
        if not found:  # deleted between the two statements
            return _LoggedSend("", 0.0)
        boot, sent_ms = found[0]
        return _LoggedSend(str(boot), float(sent_ms))

    def _prune(self, connection: SqlConnection, steady_ms: float, at_ms: float) -> None:
        keep_ms = 1000.0 * self._config.keep_s
        connection.run(
            "DELETE FROM sent WHERE boot = :boot AND steady_ms < :before",
            boot=self._boot_id,
            before=steady_ms - keep_ms,
        )
        if steady_ms - self._started_ms >= keep_ms:
            connection.run(
                "DELETE FROM sent WHERE boot <> :boot AND at_ms < :before",
                boot=self._boot_id,
                before=at_ms - keep_ms - WALL_CLOCK_MARGIN_MS,
            )

    def _delete(self, token: str) -> None:
        try:
            self._connect().run("DELETE FROM sent WHERE op_key = :op_key", op_key=token)
        except StoreError as error:
            self._counters.add("record.failed")
            log.error("request could not be deleted from the sent-request log: %s", error)


def _read_boot_id() -> str:
    """Return the machine's boot id, or "" if it cannot be read: then no request's elapsed time is known."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def open_sent_request_log(path: Path, clock: Clock, counters: Counters) -> StoredSentRequestLog | None:
    """Return the log that the file at ``path`` enables, or ``None`` if it does not enable one.

    The store is not opened yet, because an unreachable store may become reachable again. Raises ConfigError if the
    file is invalid.
    """
    config = read_sent_request_config(path)
    if config is None:
        return None
    if config.store.partition(":")[0] not in STORE_SCHEMES:
        raise ConfigError(f"{path.name}: invalid store URL: expected a sqlite or postgresql URL")
    return StoredSentRequestLog(config, clock, counters)
