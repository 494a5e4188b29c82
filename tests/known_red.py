"""Reads the list of known failures, ``KNOWN-RED.txt``, which has one line for each exact test id."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "


class KnownFailuresError(ValueError):
    """A line of the list is not of the form ``test id | command and seed | what was seen | issue``."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that may fail because of a bug that is not fixed yet."""

    test_id: str  # with the parameters of the test, without the xdist group
    command: str
    seen: str
    issue: str


def parse_known_failures(text: str) -> dict[str, KnownFailure]:
    """Return the entries by test id. Blank lines and lines that begin with # are skipped.

    Raises KnownFailuresError for any other line that is not an entry.
    """
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
        if len(fields) != 4 or not all(fields):
            raise KnownFailuresError(
                f"invalid entry: expected 'test id | command and seed | what was seen | issue', not {line}"
            )
        entries[fields[0]] = KnownFailure(*fields)
    return entries


def read_known_failures() -> dict[str, KnownFailure]:
    """Return the entries of the file; none if the file does not exist."""
    return parse_known_failures(KNOWN_FAILURES_FILE.read_text()) if KNOWN_FAILURES_FILE.exists() else {}


def without_xdist_group(node_id: str) -> str:
    """Return a test id without the xdist group, ``@GROUP``, that ``--dist loadgroup`` appends.

    A parameter may contain an ``@``, too. An ``@`` begins a group only if it follows the closing bracket of the
    parameters, or if the id has no parameters.
    """
    base, at, _ = node_id.rpartition("@")
    return base if at and ("[" not in node_id or base.endswith("]")) else node_id
