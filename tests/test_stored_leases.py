"""Leases over a store of record: SQLite for real, PostgreSQL by its stand-in, with the store failing."""

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

T = LeaseTuning(1000.0, 1000.0, 100.0, 0.01, 50.0)


class Faulty:
    """A store that now and then can't be reached, or loses the answer of what it has committed."""

    def __init__(self, rows: SqlConnection, rng: random.Random) -> None:
        self.rows, self.rng, self.unreachable, self.lost = rows, rng, 0.0, 0.0

    def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
        if self.rng.random() < self.unreachable:
            raise StoreError("unreachable")
        done = self.rows.run(sql, **values)
        if self.rng.random() < self.lost:
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


def contend(rows: SqlConnection, seed: int, until_ms: float, calm: bool = False) -> LeaseChecker:
    """Three contenders with drifting clocks; each may stand still, or start anew with nothing."""
    rng, checker, now = random.Random(seed), LeaseChecker(), [0.0]
    store = Faulty(rows, rng)
    if not calm:
        store.unreachable, store.lost = rng.choice((0.0, 0.2)), rng.choice((0.0, 0.3))

    def start(name: str) -> StoredLeases:
        rate, incarnation = rng.uniform(0.995, 1.0), rng.getrandbits(40)

        def note(kind: str, **facts: Any) -> None:
            for key in ("until", "valid"):
                if key in facts:
                    facts[key] = now[0] + (facts[key] - now[0] * rate) / rate
            checker.feed({"t": now[0], "member": name, "life": incarnation, "kind": kind, **facts})

        one = StoredLeases(name, incarnation, store, lambda: now[0] * rate, T, random.Random(incarnation), note)
        one.want("x", one.now_ms)
        return one

    members = {name: start(name) for name in ("d0", "d1", "d2")}
    asleep = dict.fromkeys(members, 0.0)
    while now[0] < until_ms:
        now[0] += 50.0
        for name in members:
            if not calm and rng.random() < 0.01:
                asleep[name] = now[0] + rng.uniform(0, 3000)
            elif not calm and rng.random() < 0.005:
                members[name] = start(name)
            if now[0] >= asleep[name]:
                members[name].tick()
    return checker


def test_no_two_hold_at_once_while_the_store_fails(tmp_path: Path) -> None:
    handovers = 0
    for seed in range(30):
        database = SqliteDatabase(str(tmp_path / f"{seed}.db"))
        database.run("PRAGMA synchronous = OFF")
        checker = contend(database, seed, 20_000.0)
        database.close()
        assert checker.violations == [], seed
        handovers += checker.counts.get("handovers", 0)
    assert handovers > 30


def test_the_checker_finds_a_contender_that_does_not_wait(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    hasty = LeaseTuning(1000.0, 1000.0, 100.0, -0.6, 50.0)  # waits less than a lease time
    monkeypatch.setitem(globals(), "T", hasty)
    found = 0
    for seed in range(10):
        database = SqliteDatabase(str(tmp_path / f"{seed}.db"))
        database.run("PRAGMA synchronous = OFF")
        found += any(v.rule == "two-holders" for v in contend(database, seed, 20_000.0).violations)
        database.close()
    assert found > 0


def test_a_contender_waits_as_long_as_the_holder_says_whatever_its_own_time_is(rows: SqlConnection) -> None:
    now = [0.0]
    one = StoredLeases("d0", 1, rows, lambda: now[0], T)
    two = StoredLeases("d1", 1, rows, lambda: now[0], LeaseTuning(300.0, 300.0, 30.0, 0.01, 50.0))
    for each in (one, two):
        each.want("x", 0.0)
        each.tick()
    while two.held("x", now[0]) is None:
        now[0] += 50.0
        two.tick()
        assert now[0] < 2000.0 and not (one.held("x", now[0]) and two.held("x", now[0]))
    assert now[0] >= 1000.0


def test_one_holds_extends_lets_go_and_another_follows(rows: SqlConnection) -> None:
    now = [0.0]
    one, two = (StoredLeases(name, 1, rows, lambda: now[0], T) for name in ("d0", "d1"))
    for each in (one, two):
        each.want("x", 0.0)
        each.tick()
    assert one.held("x", now[0]) == 1 and two.held("x", now[0]) is None
    for _ in range(60):
        now[0] += 50.0
        one.tick()
        two.tick()
    assert one.held("x", now[0]) == 1 and two.counts["refused"] > 10
    one.release("x")
    assert one.held("x", now[0]) is None
    now[0] += 100.0
    two.tick()
    assert two.held("x", now[0]) == 2
    two.observe_token("x", 40)
    assert two.held("x", now[0]) is None
    for _ in range(40):
        now[0] += 50.0
        two.tick()
    assert (two.held("x", now[0]) or 0) > 40


def test_on_a_full_disk_nobody_takes_a_lease_and_a_holder_loses_it_by_its_own_clock(tmp_path: Path) -> None:
    database, now = SqliteDatabase(str(tmp_path / "full.db")), [0.0]
    database.run("CREATE TABLE filler (data TEXT)")
    database.run(f"PRAGMA max_page_count = {database.run('PRAGMA page_count')[0][0]}")
    one = StoredLeases("d0", 1, database, lambda: now[0], T)
    one.want("x", 0.0)
    one.tick()
    assert one.held("x", 0.0) is None and one.counts["store_failed"] == 1  # no room for the table of leases
    database.run("PRAGMA max_page_count = 1000")
    now[0] += 100.0
    one.tick()
    assert one.held("x", now[0]) == 1

    class Full:
        def run(self, sql: str, **values: Any) -> list[tuple[Any, ...]]:
            if sql.startswith("UPDATE"):
                raise StoreError("database or disk is full")
            return database.run(sql, **values)

    one.rows = Full()
    for _ in range(21):
        now[0] += 50.0
        one.tick()
    assert one.held("x", now[0]) is None and one.counts["lost"] == 1 and one.counts["store_failed"] > 1
    one.rows = database
    now[0] += 100.0
    one.tick()
    assert one.held("x", now[0]) == 1  # the row was its own all the while: the same tenure goes on
    database.close()
