"""The store in a PostgreSQL database, accessed with pg8000."""

from __future__ import annotations

import contextlib
import struct
import threading
from typing import Any

import pg8000.native
from pg8000.exceptions import DatabaseError, Error

from beechslip.store import Store, StoreError
from beechslip.store.sql import SqlStore

SOCKET_TIMEOUT_S = 3
"""Timeout for connecting, and for each socket operation of the connection."""

CONNECTION_ERRORS = (Error, OSError, struct.error, ValueError, IndexError)
"""Exceptions that pg8000 raises if the connection breaks, at whichever byte."""


class PostgresDatabase:
    """A connection to a PostgreSQL server that is reopened after it has broken.

    A statement during which the connection breaks is not sent again, because it is unknown whether it was executed.
    Its caller gets StoreError.
    """

    serial = "BIGSERIAL PRIMARY KEY"

    def __init__(self, host: str, port: int, user: str, password: str, database: str) -> None:
        """Connect to the server. Raises StoreError if that fails."""
        self._host = host
        self._port = port
        self._user = user
        self._password = password or None
        self._database = database
        self._connection: Any = None
        self._lock = (
            threading.Lock()
        )  # the agent calls from several threads, and a connection can run one statement at a time
        self._connect()

    def _connect(self) -> None:
        try:
            self._connection = pg8000.native.Connection(
                self._user,
                host=self._host,
                port=self._port,
                password=self._password,
                database=self._database,
                timeout=SOCKET_TIMEOUT_S,
            )
        except CONNECTION_ERRORS as error:
            raise StoreError(f"{self._host}:{self._port}: {error}") from None

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Execute a statement and return its rows.

        Raises StoreError if the server rejects it or the connection breaks.
        """
        with self._lock:
            if self._connection is None:
                self._connect()
            try:
                return [tuple(row) for row in self._connection.run(sql, **values) or []]
            except DatabaseError as error:  # reported by the server; the connection is still usable
                raise StoreError(str(error)) from None
            except CONNECTION_ERRORS as error:
                self.close()
                raise StoreError(f"connection lost before the response: {error}") from None

    def close(self) -> None:
        """Close the connection; errors of a broken connection are ignored."""
        connection = self._connection
        self._connection = None
        with contextlib.suppress(*CONNECTION_ERRORS):
            if connection is not None:
                connection.close()


def open_postgres(host: str, port: int, user: str, password: str, database: str) -> Store:
    """Open the store in a database; with an empty ``password`` none is sent.

    Raises StoreError if the server cannot be reached.
    """
    return SqlStore(PostgresDatabase(host, port, user, password, database))
