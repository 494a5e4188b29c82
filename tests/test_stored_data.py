"""Stores written by the version before packages and types were renamed stay readable (``tests/data/README.md``)."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from beechslip.clock import SystemClock
from beechslip.core.services import PreviousSend
from beechslip.counters import Counters
from beechslip.leases.stored import StoredLeases
from beechslip.orders.order_store import OrderStore
from beechslip.store import Instance, Store, open_store
from beechslip.store.sent_requests import open_sent_request_log

DATA = Path(__file__).parent / "data"


def copied(name: str, folder: Path) -> Path:
    return Path(shutil.copy(DATA / f"{name}-8de5251.db", folder))


@pytest.fixture
def earlier_store(tmp_path: Path) -> Iterator[Store]:
    store = open_store(f"sqlite:///{copied('store', tmp_path)}")
    yield store
    store.close()


def test_instances_and_events_of_the_earlier_version_are_read(earlier_store: Store) -> None:
    assert earlier_store.instances() == [
        Instance(
            "n1",
            "/etc/beechslip/n1.json",
            "127.0.0.1:7001",
            state="healthy",
            pid=4711,
            restarts=2,
            zone="z0",
            home="a0",
            served=0.97,
        ),
        Instance("n2", "/etc/beechslip/n2.json", wanted="drained", zone="z1"),
    ]
    assert [(event.instance, event.kind, event.detail) for event in earlier_store.events()] == [
        ("n1", "start", "pid 4711"),
        ("n2", "drain", ""),
    ]


def test_orders_of_the_earlier_version_are_read_and_their_steps_go_on(earlier_store: Store) -> None:
    rows = OrderStore(earlier_store.rows)
    restart, drain = rows.newest(10)
    assert (restart.kind, restart.who, restart.state, restart.at_most) == ("restart", "ops", "running", 2)
    assert (restart.by_zone, restart.least_healthy, restart.least_served) == (0.5, 0.9, 0.8)
    assert [(step.instance, step.state, step.holder) for step in restart.steps] == [
        ("n1", "taken", "a0/7"),
        ("n2", "waiting", ""),
    ]
    assert (drain.kind, drain.state, drain.steps[0].instance) == ("drain", "waiting", "n1")
    assert rows.set_result(restart.steps[0], "a0/7", "done", "served 0.99", None)
    assert rows.get(restart.id).steps[0].state == "done"  # type: ignore[union-attr]


def test_a_lease_row_of_the_earlier_version_is_respected_until_it_expires(earlier_store: Store) -> None:
    now_ms = [50_000.0]
    leases = StoredLeases("a1", 9, earlier_store.rows, lambda: now_ms[0])
    leases.want("orders", now_ms[0])
    leases.tick()
    assert earlier_store.rows.run("SELECT holder, token FROM leases") == [("a0/7", 1)]
    for _ in range(20):
        now_ms[0] += 1_000.0
        leases.tick()
    assert earlier_store.rows.run("SELECT holder, token FROM leases") == [("a1/9", 2)]


def test_requests_that_the_earlier_version_sent_are_known(tmp_path: Path) -> None:
    database = copied("sent", tmp_path)
    settings = tmp_path / "record.toml"
    settings.write_text(f'enabled = true\nstore = "sqlite:///{database}"\nwait_ms = 5000\n')

    async def ask() -> list[object]:
        record = open_sent_request_log(settings, SystemClock(), Counters())
        assert record is not None
        found: list[object] = [await record.record_send(token) for token in ("5c01", "5c02", "5c03")]
        record.close()
        return found

    sent, forgotten, new = asyncio.run(ask())
    assert isinstance(sent, PreviousSend) and forgotten is True and new is True
