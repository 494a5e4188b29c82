"""Fixtures that several tests share: a store of each kind."""
from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from beechslip.store import Store, open_store
from tests.pg_stand import PgStand


@pytest.fixture(params=["sqlite", "postgresql"])
def url(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[str]:
    if request.param == "sqlite":
        yield f"sqlite:///{tmp_path}/store.db"
        return
    server = PgStand()
    yield server.url()
    server.close()


@pytest.fixture
def store(url: str) -> Iterator[Store]:
    opened = open_store(url)
    yield opened
    opened.close()
