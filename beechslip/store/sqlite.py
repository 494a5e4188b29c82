"""The store in a SQLite file."""

from __future__ import annotations

import sqlite3
from typing import Any

from beechslip.store import Store, StoreError
from beechslip.store.sql import SqlStore

BUSY_TIMEOUT_S = 5.0
"""Time that a statement waits for another writer; the agent and the command line write to the same file."""


class SqliteDatabase:
    """A connection to a SQLite file that commits each statement."""

    serial = "INTEGER PRIMARY KEY AUTOINCREMENT"

    def __init__(self, path: str) -> None:
        """Open the file, and create it if it is missing. Raises StoreError if that fails."""
        try:
            # The agent calls from worker threads, one call at a time.
            self._connection = sqlite3.connect(
                path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
            )
            # WAL: readers and a writer do not wait for one another. FULL: committed data survives a power cut.
            self._connection.execute("PRAGMA journal_mode = WAL").fetchall()
            self._connection.execute("PRAGMA synchronous = FULL")
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Execute a statement and return its rows. Raises StoreError if it fails."""
        try:
            return self._connection.execute(sql, values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from None

    def close(self) -> None:
        """Close the file."""
        self._connection.close()


def open_sqlite(path: str) -> Store:
    """Open the store in the file at ``path``. Raises StoreError if it cannot be opened."""
    return SqlStore(SqliteDatabase(path))
