"""The store in the SQL that SQLite and PostgreSQL share; parameters are named, as in ``:name``."""
from __future__ import annotations

from typing import Any, Protocol

from beechslip.store import Event, Instance, State, StoreError, Wanted

INSTANCES = """CREATE TABLE IF NOT EXISTS instances (
    name TEXT PRIMARY KEY, config TEXT NOT NULL, listen TEXT NOT NULL, wanted TEXT NOT NULL,
    state TEXT NOT NULL, pid BIGINT NOT NULL, restarts BIGINT NOT NULL)"""
EVENTS = """CREATE TABLE IF NOT EXISTS events (
    id {serial}, at_ms DOUBLE PRECISION NOT NULL, instance TEXT NOT NULL, kind TEXT NOT NULL,
    detail TEXT NOT NULL)"""
COLUMNS = "name, config, listen, wanted, state, pid, restarts"


class Database(Protocol):
    """A connection that commits each statement. ``serial`` is its type for a numbered key."""

    serial: str

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        """Rows of a statement; StoreError if it fails."""
        ...

    def close(self) -> None: ...


class SqlStore:
    """Owns the connection; ``close`` gives it back."""

    def __init__(self, database: Database) -> None:
        self._db = database
        database.run(INSTANCES)
        database.run(EVENTS.format(serial=database.serial))

    def add(self, instance: Instance) -> None:
        rows = self._db.run(
            f"INSERT INTO instances ({COLUMNS}) VALUES (:name, :config, :listen, :wanted, :state, :pid, "
            ":restarts) ON CONFLICT (name) DO NOTHING RETURNING name",
            name=instance.name, config=instance.config, listen=instance.listen, wanted=instance.wanted,
            state=instance.state, pid=instance.pid, restarts=instance.restarts)
        if not rows:
            raise StoreError(f"instance {instance.name} is declared already")

    def get(self, name: str) -> Instance | None:
        rows = self._db.run(f"SELECT {COLUMNS} FROM instances WHERE name = :name", name=name)
        return Instance(*rows[0]) if rows else None

    def instances(self) -> list[Instance]:
        return [Instance(*row) for row in self._db.run(f"SELECT {COLUMNS} FROM instances ORDER BY name")]

    def want(self, name: str, wanted: Wanted) -> None:
        if not self._db.run("UPDATE instances SET wanted = :wanted WHERE name = :name RETURNING name",
                            wanted=wanted, name=name):
            raise StoreError(f"no instance is called {name}")

    def report(self, name: str, state: State, pid: int, restarts: int) -> None:
        self._db.run("UPDATE instances SET state = :state, pid = :pid, restarts = :restarts "
                     "WHERE name = :name", state=state, pid=pid, restarts=restarts, name=name)

    def remove(self, name: str) -> None:
        self._db.run("DELETE FROM instances WHERE name = :name", name=name)

    def record(self, at_ms: float, instance: str, kind: str, detail: str = "") -> None:
        self._db.run("INSERT INTO events (at_ms, instance, kind, detail) "
                     "VALUES (:at_ms, :instance, :kind, :detail)",
                     at_ms=at_ms, instance=instance, kind=kind, detail=detail)

    def events(self, instance: str = "", limit: int = 100) -> list[Event]:
        where = "WHERE instance = :instance " if instance else ""
        named = {"instance": instance} if instance else {}
        rows = self._db.run(f"SELECT id, at_ms, instance, kind, detail FROM events {where}"
                            "ORDER BY id DESC LIMIT :most", most=limit, **named)
        return [Event(*row) for row in reversed(rows)]

    def close(self) -> None:
        self._db.close()
