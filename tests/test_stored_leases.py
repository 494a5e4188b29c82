"""Tests of leases in a store of record that fails at times: a real SQLite, and a stand-in for PostgreSQL."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from beechslip.leases.paxos import LeaseTuning
from beechslip.leases.stored import SqlConnection, StoredLeases
from beechslip.store import StoreError
from beechslip.store.postgres import PostgresDatabase
from beechslip.store.sqlite import SqliteDatabase
from lab.check import LeaseChecker
from tests.pg_stand import PASSWORD, FakePostgresServer

TUNING = LeaseTuning(1000.0, 1000.0, 100.0, 0.01, 50.0)


class FaultyStore:
    """A store that at times can't be reached, or commits a statement and loses its answer."""

    def __init__(self, rows: SqlConnection, rng: random.Random) -> None:
        self.rows, self.rng, self.unreachable_rate, self.lost_answer_rate = rows, rng, 0.0, 0.0

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        if self.rng.random() < self.unreachable_rate:
            raise StoreError("unreachable")
        done = self.rows.run(sql, **values)
        if self.rng.random() < self.lost_answer_rate:
            raise StoreError("the answer is lost")
        return done


@pytest.fixture(params=["sqlite", "postgresql"])
def rows(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[SqlConnection]:
    if request.param == "sqlite":
        database = SqliteDatabase(str(tmp_path / "store.db"))
        yield database
        database.close()
        return
    server = FakePostgresServer()
    host, _, port = server.url().split("@")[1].split("/")[0].partition(":")
    postgres = PostgresDatabase(host, int(port), "u", PASSWORD, "d")
    yield postgres
    postgres.close()
    server.close()


def run_contenders(rows: SqlConnection, seed: int, until_ms: float, is_fault_free: bool = False) -> LeaseChecker:
    """Run three contenders with drifting clocks. Unless ``is_fault_free``, each may pause, or restart empty."""
    rng, checker, now = random.Random(seed), LeaseChecker(), [0.0]
    store = FaultyStore(rows, rng)
    if not is_fault_free:
        store.unreachable_rate, store.lost_answer_rate = rng.choice((0.0, 0.2)), rng.choice((0.0, 0.3))

    def start(name: str) -> StoredLeases:
        rate, incarnation = rng.uniform(0.995, 1.0), rng.getrandbits(40)

        def note(kind: str, **facts: Any) -> None:
            for key in ("until", "valid"):
                if key in facts:
                    facts[key] = now[0] + (facts[key] - now[0] * rate) / rate
            checker.feed({"t": now[0], "member": name, "life": incarnation, "kind": kind, **facts})

        leases = StoredLeases(
            name, incarnation, store, lambda: now[0] * rate, TUNING, random.Random(incarnation), note
        )
        leases.want("x", leases.now_ms)
        return leases

    members = {name: start(name) for name in ("d0", "d1", "d2")}
    asleep_until_ms = dict.fromkeys(members, 0.0)
    while now[0] < until_ms:
        now[0] += 50.0
        for name in members:
            if not is_fault_free and rng.random() < 0.01:
                asleep_until_ms[name] = now[0] + rng.uniform(0, 3000)
            elif not is_fault_free and rng.random() < 0.005:
                members[name] = start(name)
            if now[0] >= asleep_until_ms[name]:
                members[name].tick()
    return checker


def test_stored_leases_have_one_holder_while_the_store_fails(tmp_path: Path) -> None:
    handovers = 0
    for seed in range(30):
        database = SqliteDatabase(str(tmp_path / f"{seed}.db"))
        database.run("PRAGMA synchronous = OFF")
        checker = run_contenders(database, seed, 20_000.0)
        database.close()
        assert checker.violations == [], seed
        handovers += checker.counts.get("handovers", 0)
    assert handovers > 30


def test_lease_checker_finds_a_contender_that_waits_too_briefly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The negative drift makes a contender wait less than a lease time.
    short_wait_tuning = LeaseTuning(1000.0, 1000.0, 100.0, -0.6, 50.0)
    monkeypatch.setitem(globals(), "TUNING", short_wait_tuning)
    found = 0
    for seed in range(10):
        database = SqliteDatabase(str(tmp_path / f"{seed}.db"))
        database.run("PRAGMA synchronous = OFF")
        found += any(v.rule == "two-holders" for v in run_contenders(database, seed, 20_000.0).violations)
        database.close()
    assert found > 0


def test_contender_waits_for_the_duration_in_the_row_whatever_its_own_lease_time_is(rows: SqlConnection) -> None:
    now = [0.0]
    first = StoredLeases("d0", 1, rows, lambda: now[0], TUNING)
    second = StoredLeases("d1", 1, rows, lambda: now[0], LeaseTuning(300.0, 300.0, 30.0, 0.01, 50.0))
    for leases in (first, second):
        leases.want("x", 0.0)
        leases.tick()
    while second.held_token("x", now[0]) is None:
        now[0] += 50.0
        second.tick()
        assert now[0] < 2000.0 and not (first.held_token("x", now[0]) and second.held_token("x", now[0]))
    assert now[0] >= 1000.0


def test_lease_is_held_extended_released_and_taken_by_another_with_a_higher_token(rows: SqlConnection) -> None:
    now = [0.0]
    first, second = (StoredLeases(name, 1, rows, lambda: now[0], TUNING) for name in ("d0", "d1"))
    for leases in (first, second):
        leases.want("x", 0.0)
        leases.tick()
    assert first.held_token("x", now[0]) == 1 and second.held_token("x", now[0]) is None
    for _ in range(60):
        now[0] += 50.0
        first.tick()
        second.tick()
    assert first.held_token("x", now[0]) == 1 and second.counts["refused"] > 10
    first.release("x")
    assert first.held_token("x", now[0]) is None
    now[0] += 100.0
    second.tick()
    assert second.held_token("x", now[0]) == 2
    second.observe_token("x", 40)
    assert second.held_token("x", now[0]) is None
    for _ in range(40):
        now[0] += 50.0
        second.tick()
    assert (second.held_token("x", now[0]) or 0) > 40


def test_on_a_full_disk_no_lease_is_taken_and_a_held_one_ends_by_the_clock_of_its_holder(tmp_path: Path) -> None:
    database, now = SqliteDatabase(str(tmp_path / "full.db")), [0.0]
    database.run("CREATE TABLE filler (data TEXT)")
    database.run(f"PRAGMA max_page_count = {database.run('PRAGMA page_count')[0][0]}")
    first = StoredLeases("d0", 1, database, lambda: now[0], TUNING)
    first.want("x", 0.0)
    first.tick()
    # There is no space for the table of leases.
    assert first.held_token("x", 0.0) is None and first.counts["store_failed"] == 1
    database.run("PRAGMA max_page_count = 1000")
    now[0] += 100.0
    first.tick()
    assert first.held_token("x", now[0]) == 1

    class FullStore:
        def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
            if sql.startswith("UPDATE"):
                raise StoreError("database or disk is full")
            return database.run(sql, **values)

    first.connection = FullStore()
    for _ in range(21):
        now[0] += 50.0
        first.tick()
    assert first.held_token("x", now[0]) is None and first.counts["lost"] == 1 and first.counts["store_failed"] > 1
    first.connection = database
    now[0] += 100.0
    first.tick()
    assert first.held_token("x", now[0]) == 1  # the row still names this holder: it keeps its token
    database.close()
