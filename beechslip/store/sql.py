"""The store, in the SQL that SQLite and PostgreSQL have in common. Parameters are named, as in ``:name``.

Bounds: there is one row for each instance. The agent that runs the orders prunes events by age and count
(:meth:`SqlStore.prune_events`).
"""

from __future__ import annotations

from typing import Any, Protocol

from beechslip.store import Fence, Instance, InstanceEvent, InstanceState, SqlConnection, StoreError, WantedState

CREATE_INSTANCES_TABLE = """CREATE TABLE IF NOT EXISTS instances (
    name TEXT PRIMARY KEY, config TEXT NOT NULL, listen TEXT NOT NULL, wanted TEXT NOT NULL,
    state TEXT NOT NULL, pid BIGINT NOT NULL, restarts BIGINT NOT NULL)"""
ADDED_COLUMNS = (
    ("zone", "TEXT NOT NULL DEFAULT ''"),
    ("home", "TEXT NOT NULL DEFAULT ''"),
    ("served", "DOUBLE PRECISION NOT NULL DEFAULT 1"),
)
"""Columns that the table of an earlier version does not have, with their types."""

CREATE_EVENTS_TABLE = """CREATE TABLE IF NOT EXISTS events (
    id {serial}, at_ms DOUBLE PRECISION NOT NULL, instance TEXT NOT NULL, kind TEXT NOT NULL,
    detail TEXT NOT NULL)"""
INSTANCE_COLUMNS = "name, config, listen, wanted, state, pid, restarts, zone, home, served"


class ClosableSqlConnection(SqlConnection, Protocol):
    """A connection that its owner, the store, can close."""

    def close(self) -> None:
        """Close the connection."""
        ...


def fence_condition(fence: Fence | None) -> tuple[str, dict[str, Any]]:
    """Return an SQL condition that is true only while the fence's holder holds its lease, and its parameters."""
    if fence is None:
        return "1 = 1", {}
    where = (
        "EXISTS (SELECT 1 FROM leases WHERE leases.name = :f_lease AND leases.holder = :f_holder "
        "AND leases.token = :f_token)"
    )
    return where, {"f_lease": fence.lease, "f_holder": fence.holder, "f_token": fence.token}


class SqlStore:
    """A store on a connection, which it owns and closes. Raises StoreError if a statement fails."""

    def __init__(self, database: ClosableSqlConnection) -> None:
        """Create missing tables, and add the columns that tables of an earlier version do not have."""
        self._db = database
        database.run(CREATE_INSTANCES_TABLE)
        for name, sql_type in ADDED_COLUMNS:
            try:
                database.run(f"SELECT {name} FROM instances LIMIT 0")
            except StoreError:
                database.run(f"ALTER TABLE instances ADD COLUMN {name} {sql_type}")
        database.run(CREATE_EVENTS_TABLE.format(serial=database.serial))

    @property
    def connection(self) -> SqlConnection:
        """The connection, which the lease and order tables also use."""
        return self._db

    def add(self, instance: Instance) -> None:
        """Declare an instance. Raises StoreError if the name is already declared."""
        rows = self._db.run(
            f"INSERT INTO instances ({INSTANCE_COLUMNS}) VALUES (:name, :config, :listen, :wanted, :state, :pid, "
            ":restarts, :zone, :home, :served) ON CONFLICT (name) DO NOTHING RETURNING name",
            name=instance.name,
            config=instance.config,
            listen=instance.listen,
            wanted=instance.wanted,
            state=instance.state,
            pid=instance.pid,
            restarts=instance.restarts,
            zone=instance.zone,
            home=instance.home,
            served=instance.served,
        )
        if not rows:
            raise StoreError(f"instance {instance.name} is already declared")

    def get(self, name: str) -> Instance | None:
        """Return the instance of that name, or ``None`` if there is none."""
        rows = self._db.run(f"SELECT {INSTANCE_COLUMNS} FROM instances WHERE name = :name", name=name)
        return Instance(*rows[0]) if rows else None

    def instances(self) -> list[Instance]:
        """Return all declared instances, sorted by name."""
        return [Instance(*row) for row in self._db.run(f"SELECT {INSTANCE_COLUMNS} FROM instances ORDER BY name")]

    def set_wanted(self, name: str, wanted: WantedState, fence: Fence | None = None) -> None:
        """Set the wanted state of an instance.

        Raises StoreError if no instance has that name, or if another holder has the lease of ``fence``.
        """
        where, values = fence_condition(fence)
        if not self._db.run(
            f"UPDATE instances SET wanted = :wanted WHERE name = :name AND {where} RETURNING name",
            wanted=wanted,
            name=name,
            **values,
        ):
            raise StoreError(
                f"no instance is called {name}" if fence is None else f"lease {fence.lease} is no longer held"
            )

    def report_status(
        self,
        name: str,
        state: InstanceState,
        pid: int,
        restarts: int,
        served: float = 1.0,
        fence: Fence | None = None,
    ) -> bool:
        """Write an instance's status; return True if it was written.

        With a ``fence`` it is written only while the lease is held.
        """
        where, values = fence_condition(fence)
        return bool(
            self._db.run(
                "UPDATE instances SET state = :state, pid = :pid, restarts = :restarts, served = :served "
                f"WHERE name = :name AND {where} RETURNING name",
                state=state,
                pid=pid,
                restarts=restarts,
                served=served,
                name=name,
                **values,
            )
        )

    def remove(self, name: str, fence: Fence | None = None) -> bool:
        """Delete an instance; return True if it was there and the lease of ``fence`` is held."""
        where, values = fence_condition(fence)
        return bool(
            self._db.run(f"DELETE FROM instances WHERE name = :name AND {where} RETURNING name", name=name, **values)
        )

    def record_event(
        self, at_ms: float, instance: str, kind: str, detail: str = "", fence: Fence | None = None
    ) -> bool:
        """Write an event at time of day ``at_ms``; return False if the lease of ``fence`` is lost."""
        where, values = fence_condition(fence)
        return bool(
            self._db.run(
                "INSERT INTO events (at_ms, instance, kind, detail) SELECT CAST(:at_ms AS DOUBLE PRECISION), "
                "CAST(:instance AS TEXT), CAST(:kind AS TEXT), CAST(:detail AS TEXT) "
                f"WHERE {where} RETURNING id",
                at_ms=at_ms,
                instance=instance,
                kind=kind,
                detail=detail,
                **values,
            )
        )

    def prune_events(self, before_ms: float, max_count: int) -> None:
        """Delete events older than time of day ``before_ms``, and all but the newest ``max_count`` events."""
        self._db.run(
            "DELETE FROM events WHERE at_ms < :before OR id <= (SELECT MAX(id) FROM events) - :most",
            before=before_ms,
            most=max_count,
        )

    def events(self, instance: str = "", limit: int = 100) -> list[InstanceEvent]:
        """Return the newest ``limit`` events, oldest first, of one instance if ``instance`` is not empty."""
        where = "WHERE instance = :instance " if instance else ""
        named = {"instance": instance} if instance else {}
        rows = self._db.run(
            f"SELECT id, at_ms, instance, kind, detail FROM events {where}ORDER BY id DESC LIMIT :most",
            most=limit,
            **named,
        )
        return [InstanceEvent(*row) for row in reversed(rows)]

    def close(self) -> None:
        """Close the connection. No other method may be called afterwards."""
        self._db.close()
