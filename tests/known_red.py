"""The list of known failures, ``KNOWN-RED.txt``: exact test ids, one line each."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "


class KnownRedError(ValueError):
    """A line of the list that is not ``test id | command and seed | what was seen | issue``."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that may fail for a fault that is not mended yet."""

    test_id: str  # with its parameters, without its xdist group
    command: str
    seen: str
    issue: str


def parse(text: str) -> dict[str, KnownFailure]:
    """The entries by test id; blank lines and lines that begin with # are skipped. KnownRedError on any other."""
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != 4 or not all(fields):
            raise KnownRedError(f"not 'test id | command and seed | what was seen | issue': {line}")
        entries[fields[0]] = KnownFailure(*fields)
    return entries


def read() -> dict[str, KnownFailure]:
    """The entries of the file; none where there is no file."""
    return parse(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def without_group(node_id: str) -> str:
    """A test's id as pytest prints it, without the xdist group that ``--dist loadgroup`` appends.

    A parameter may hold an ``@`` itself: a group stands behind the last bracket or has none in the name.
    """
    base, at, _ = node_id.rpartition("@")
    return base if at and ("[" not in node_id or base.endswith("]")) else node_id
