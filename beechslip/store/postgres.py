"""The store in a PostgreSQL database, by pg8000."""
from __future__ import annotations

from typing import Any

import pg8000.native
from pg8000.exceptions import Error

from beechslip.store import Store, StoreError
from beechslip.store.sql import SqlStore

TIMEOUT_S = 10


class PostgresDatabase:
    serial = "BIGSERIAL PRIMARY KEY"

    def __init__(self, host: str, port: int, user: str, password: str, database: str) -> None:
        try:
            self._connection = pg8000.native.Connection(
                user, host=host, port=port, password=password or None, database=database, timeout=TIMEOUT_S)
        except (Error, OSError) as error:
            raise StoreError(f"{host}:{port}: {error}") from None

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        try:
            return [tuple(row) for row in self._connection.run(sql, **values) or []]
        except (Error, OSError) as error:
            raise StoreError(str(error)) from None

    def close(self) -> None:
        try:
            self._connection.close()
        except (Error, OSError) as error:
            raise StoreError(str(error)) from None


def open_postgres(host: str, port: int, user: str, password: str, database: str) -> Store:
    return SqlStore(PostgresDatabase(host, port, user, password, database))
