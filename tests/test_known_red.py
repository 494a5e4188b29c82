"""Guards against known failures that excuse more tests than the ones that were seen to fail."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests import known_red
from tests.conftest import mark_known_failures


class Item(SimpleNamespace):
    """What the hook uses of a collected test."""

    def add_marker(self, marker: Any) -> None:
        self.markers.append(marker)


def marked(listed: str, *node_ids: str) -> list[str]:
    items = [Item(nodeid=node_id, markers=[]) for node_id in node_ids]
    mark_known_failures(cast(list[pytest.Item], items), known_red.parse(listed))
    return [item.nodeid for item in items if item.markers]


def test_an_entry_excuses_its_own_parameters_alone() -> None:
    listed = "# ids\n\ntests/a.py::test_x[1-] | pytest, seed 1 | too late | 30\n"
    ids = ("tests/a.py::test_x[1-]", "tests/a.py::test_x[2-]", "tests/a.py::test_x", "tests/a.py::test_x[1-]@g")
    assert marked(listed, *ids) == ["tests/a.py::test_x[1-]", "tests/a.py::test_x[1-]@g"]


def test_a_function_without_parameters_excuses_no_parametrized_test() -> None:
    ids = ("tests/a.py::test_x[1]", "tests/a.py::test_x[2]@g", "tests/a.py::test_x@g", "tests/a.py::test_x[a@b]")
    assert marked("tests/a.py::test_x | pytest | too late | 30", *ids) == ["tests/a.py::test_x@g"]


@pytest.mark.parametrize(
    "line", ["tests/a.py::test_x", "tests/a.py::test_x, too late, 30", "a | b | c", "a | b |  | 30"]
)
def test_an_entry_without_command_or_issue_is_refused(line: str) -> None:
    with pytest.raises(known_red.KnownRedError):
        known_red.parse(line)


def test_the_list_at_the_root_can_be_read() -> None:
    assert all("::" in entry.test_id for entry in known_red.read().values())
