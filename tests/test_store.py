"""Tests of the store, run with SQLite on a real file and with PostgreSQL on a fake server of its protocol."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from beechslip.cli import main
from beechslip.store import Instance, InstanceEvent, Store, StoreError, open_store
from tests.pg_stand import FakePostgresServer


def test_an_instance_is_stored_as_declared_and_reported(store: Store, url: str) -> None:
    store.add(Instance("n1", "/etc/n1; DROP TABLE instances", "127.0.0.1:7001"))
    store.add(Instance("n0", "/etc/n0"))
    store.report_status("n1", "healthy", 42, 3)
    store.set_wanted("n1", "drained")
    other = open_store(url)  # a second connection reads what the first wrote
    assert other.instances() == [
        Instance("n0", "/etc/n0"),
        Instance("n1", "/etc/n1; DROP TABLE instances", "127.0.0.1:7001", "drained", "healthy", 42, 3),
    ]
    other.close()
    store.remove("n0")
    assert store.get("n0") is None and store.get("n1") is not None


def test_a_duplicate_or_unknown_instance_name_raises_a_store_error(store: Store) -> None:
    store.add(Instance("n1", "a"))
    with pytest.raises(StoreError, match="already declared"):
        store.add(Instance("n1", "b"))
    with pytest.raises(StoreError, match="no instance"):
        store.set_wanted("n2", "drained")
    assert store.instances() == [Instance("n1", "a")]


def test_events_are_numbered_and_the_newest_are_listed_in_order(store: Store) -> None:
    for number in range(5):
        store.record_event(1_764_576_000_000.5 + number, f"n{number % 2}", "started", f"process {number}")
    assert store.events(limit=2) == [
        InstanceEvent(4, 1_764_576_000_003.5, "n1", "started", "process 3"),
        InstanceEvent(5, 1_764_576_000_004.5, "n0", "started", "process 4"),
    ]
    assert [event.id for event in store.events("n1")] == [2, 4]


@pytest.mark.parametrize("url", ["", "mysql://h/x", "sqlite://host/x", "sqlite:///", "postgresql:///x"])
def test_an_invalid_url_raises_a_store_error(url: str) -> None:
    with pytest.raises(StoreError):
        open_store(url)


def test_a_wrong_password_an_unreachable_server_and_a_bad_path_raise_store_errors(tmp_path: Path) -> None:
    server = FakePostgresServer()
    for url in (server.url("wrong"), "postgresql://127.0.0.1:1/x", f"sqlite:///{tmp_path}/none/store.db"):
        with pytest.raises(StoreError):
            open_store(url)
    server.close()


def test_importing_the_proxy_imports_no_database_or_dns_driver() -> None:
    code = "import sys, beechslip.proxy; print({'sqlite3', 'pg8000', 'dns'} & set(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout == "set()\n"


def test_the_command_line_declares_shows_drains_and_removes_instances(
    url: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def call(*words: str) -> tuple[int, str, str]:
        code = main(["--store", url, *words])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    config = str(tmp_path / "n1.json")
    assert call("instance", "add", "n1", "--config", config, "--listen", "127.0.0.1:7001") == (0, "", "")
    assert call("instance", "add", "n1", "--config", config)[0] == 1
    assert call("instance", "add", "n2", "--config", config, "--listen", "nowhere")[0] == 1
    assert call("instance", "list") == (0, "n1\trunning\tdeclared\t-\t127.0.0.1:7001\n", "")
    assert call("instance", "drain", "n1")[0] == 0
    assert f"config: {config}\n" in call("instance", "show", "n1")[1]
    assert "wanted: drained\n" in call("instance", "show", "n1")[1]
    assert call("instance", "remove", "n1")[0] == 0
    assert call("instance", "show", "n1") == (1, "", "beechslip: no instance is called n1\n")
    kinds = [line.split("\t")[3] for line in call("events", "--instance", "n1")[1].splitlines()]
    assert kinds == ["declared", "removed"]
