"""Tests that stores written by an earlier version stay readable.

That version is the last one before packages and types were renamed (``tests/data/README.md``).
"""

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


def copy_database(name: str, folder: Path) -> Path:
    """Copy a stored database into ``folder``, and return the path of the copy."""
    return Path(shutil.copy(DATA / f"{name}-8de5251.db", folder))


@pytest.fixture
def earlier_store(tmp_path: Path) -> Iterator[Store]:
    store = open_store(f"sqlite:///{copy_database('store', tmp_path)}")
    yield store
    store.close()


def test_instances_and_events_of_the_earlier_version_are_readable(earlier_store: Store) -> None:
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


def test_orders_of_the_earlier_version_are_readable_and_their_steps_continue(earlier_store: Store) -> None:
    order_store = OrderStore(earlier_store.connection)
    restart, drain = order_store.newest(10)
    assert (restart.kind, restart.who, restart.state, restart.at_most) == ("restart", "ops", "running", 2)
    assert (restart.by_zone, restart.least_healthy, restart.least_served) == (0.5, 0.9, 0.8)
    assert [(step.instance, step.state, step.holder) for step in restart.steps] == [
        ("n1", "taken", "a0/7"),
        ("n2", "waiting", ""),
    ]
    assert (drain.kind, drain.state, drain.steps[0].instance) == ("drain", "waiting", "n1")
    assert order_store.set_step_result(restart.steps[0], "a0/7", "done", "served 0.99", None)
    assert order_store.get(restart.id).steps[0].state == "done"  # type: ignore[union-attr]


def test_a_lease_row_of_the_earlier_version_is_respected_until_it_expires(earlier_store: Store) -> None:
    now_ms = [50_000.0]
    leases = StoredLeases("a1", 9, earlier_store.connection, lambda: now_ms[0])
    leases.want("orders", now_ms[0])
    leases.tick()
    assert earlier_store.connection.run("SELECT holder, token FROM leases") == [("a0/7", 1)]
    for _ in range(20):
        now_ms[0] += 1_000.0
        leases.tick()
    assert earlier_store.connection.run("SELECT holder, token FROM leases") == [("a1/9", 2)]


def test_requests_logged_by_the_earlier_version_count_as_sent(tmp_path: Path) -> None:
    database = copy_database("sent", tmp_path)
    settings = tmp_path / "record.toml"
    settings.write_text(f'enabled = true\nstore = "sqlite:///{database}"\nwait_ms = 5000\n')

    async def check_tokens() -> list[object]:
        sent_log = open_sent_request_log(settings, SystemClock(), Counters())
        assert sent_log is not None
        found: list[object] = [await sent_log.record_send(token) for token in ("5c01", "5c02", "5c03")]
        sent_log.close()
        return found

    sent, forgotten, new = asyncio.run(check_tokens())
    assert isinstance(sent, PreviousSend) and forgotten is True and new is True
