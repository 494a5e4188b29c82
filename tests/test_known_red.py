"""Tests of the known failures: an entry must not excuse any test besides the one that was seen to fail."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests import known_red
from tests.conftest import mark_known_failures


class FakeItem(SimpleNamespace):
    """A stand-in for a collected test, with the attributes that the hook uses."""

    def add_marker(self, marker: Any) -> None:
        self.markers.append(marker)


def marked_tests(known_failures: str, *node_ids: str) -> list[str]:
    """Return those of ``node_ids`` that are marked as expected failures by the list ``known_failures``."""
    items = [FakeItem(nodeid=node_id, markers=[]) for node_id in node_ids]
    mark_known_failures(cast(list[pytest.Item], items), known_red.parse_known_failures(known_failures))
    return [item.nodeid for item in items if item.markers]


def test_entry_excuses_only_its_own_parameters() -> None:
    known_failures = "# ids\n\ntests/a.py::test_x[1-] | pytest, seed 1 | too late | 30\n"
    ids = ("tests/a.py::test_x[1-]", "tests/a.py::test_x[2-]", "tests/a.py::test_x", "tests/a.py::test_x[1-]@g")
    assert marked_tests(known_failures, *ids) == ["tests/a.py::test_x[1-]", "tests/a.py::test_x[1-]@g"]


def test_entry_without_parameters_excuses_no_parametrized_test() -> None:
    ids = ("tests/a.py::test_x[1]", "tests/a.py::test_x[2]@g", "tests/a.py::test_x@g", "tests/a.py::test_x[a@b]")
    assert marked_tests("tests/a.py::test_x | pytest | too late | 30", *ids) == ["tests/a.py::test_x@g"]


@pytest.mark.parametrize(
    "line", ["tests/a.py::test_x", "tests/a.py::test_x, too late, 30", "a | b | c", "a | b |  | 30"]
)
def test_incomplete_entry_is_rejected(line: str) -> None:
    with pytest.raises(known_red.KnownFailuresError):
        known_red.parse_known_failures(line)


def test_known_failures_file_can_be_read() -> None:
    assert all("::" in entry.test_id for entry in known_red.read_known_failures().values())
