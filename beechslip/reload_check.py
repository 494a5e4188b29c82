"""Checks a configuration file that is read again while the proxy runs. This module does no I/O.

The check is stricter than at a start, which replaces missing or invalid values by defaults: a proxy that serves must
not lose a class, a rule or its change log because the file is half written or wrong in one place. Which keys of the
settings there are, and which of them may be absent, follows the operators' page on the wire. A key that the page does
not name is disregarded.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any

SETTINGS_LISTED_BY_CLASS = ("goesThrough", "maxAge", "staleFor")
"""Each of these settings is a list with one value per class, in the order of the classes."""

FILE = "the file"
"""Name of the part of the file outside its settings, where every key that the previous file had is required."""

SETTINGS = "settings"

REQUIRED_KEYS: Mapping[str, frozenset[str]] = {
    SETTINGS: frozenset(
        [
            "balancers",
            "caps",
            "classes",
            "clientHabits",
            "costs",
            "dcs",
            "discovery",
            "family",
            "goal",
            "loadReport",
            "me",
            "models",
            "myZone",
            "orgs",
            "overShareWorth",
            "round",
            "safety",
            "specifics",
            "stages",
            "tier",
            "weights",
            "worthBy",
        ]
    ),
    "caps": frozenset(
        [
            "cancel",
            "cpuUsPerRequest",
            "cpuUsPerS",
            "dialTimeout",
            "idleClose",
            "maxAttempts",
            "maxRetryAfter",
            "mostHeld",
            "multiplex",
            "peers",
            "probes",
            "retryAfter",
            "secondCopies",
        ]
    ),
    "classes": frozenset(["credit", "effect", "giveUp", "group", "lateWorth", "name", "onTime", "stream", "window"]),
    "clientHabits": frozenset({"marksRetry"}),
    "costs": frozenset(
        ["connection", "crossZone", "discovery", "handshake", "lateFail", "moves", "origin", "peer", "probe", "waste"]
    ),
    "goal": frozenset(["whole", "worstClass", "worstTenant", "worstWindow"]),
    "loadReport": frozenset({"columns", "how"}),
    "orgs": frozenset({"fraction", "name", "quotaPerS"}),
    "safety": frozenset(["answerSlack", "askEvery", "coldShare", "drainGrace", "fall", "fallMultiple", "warmWithin"]),
    "specifics": frozenset(
        [
            "agedWorth",
            "attachedTo",
            "clientKbPerS",
            "goesThrough",
            "goneEverywhere",
            "heedWithin",
            "inletCost",
            "instancesByZone",
            "maxAge",
            "originFall",
            "originLimitFactor",
            "parentBreaksAt",
            "parentKind",
            "parentStartsAt",
            "passThroughOk",
            "pipeKbPerS",
            "reportX0",
            "reportX1",
            "segmented",
            "sharesFills",
            "siblings",
            "sourceKind",
            "staleFor",
            "tells",
            "upperCold",
        ]
    ),
}
"""Keys of the settings and of each of their tables that a file may not lack if the previous file had them."""

OPTIONAL_KEYS: Mapping[str, frozenset[str]] = {
    "classes": frozenset({"aimStretch"}),
    "costs": frozenset({"fleet"}),
}
"""Keys of the settings' tables that may be absent; a value that is there is checked."""


class IncompleteFileError(Exception):
    """The file lacks something, or has an invalid value."""


def check_reread_file(before: Mapping[str, Any], now: Any) -> None:
    """Check the contents ``now`` of a file against those that the proxy runs on.

    Raises IncompleteFileError if a required key of the previous file is missing or has a value of another JSON type,
    or if the classes are invalid.
    """
    _check_value(before, now, FILE, FILE)
    _check_classes(now[SETTINGS])


def _json_type(value: Any) -> type:
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)


def _check_value(before: Any, now: Any, where: str, table: str) -> None:
    """Check a value; ``where`` describes it in errors, and ``table`` has the keys of the objects in it."""
    if before is not None and _json_type(before) is not _json_type(now):
        raise IncompleteFileError(f"{where} has another JSON type than before the reload")
    if isinstance(before, Mapping):
        _check_object(before, now, where, table, required=frozenset(before))
    elif isinstance(before, list) and before and all(isinstance(entry, Mapping) for entry in before):
        _check_elements(before, now, where, table)


def _check_elements(before: Sequence[Mapping[str, Any]], now: Sequence[Any], where: str, table: str) -> None:
    """Check the objects of a list; each must have the keys that all objects of the previous list had in common."""
    keys: dict[str, Any] = {}
    for entry in reversed(before):
        keys |= entry
    common = frozenset(keys).intersection(*before)
    for entry in now:
        if not isinstance(entry, Mapping):
            raise IncompleteFileError(f"an element of {where} has another JSON type than before the reload")
        _check_object(keys, entry, f"an element of {where}", table, common)


def _check_object(
    before: Mapping[str, Any], now: Mapping[str, Any], where: str, table: str, required: frozenset[str]
) -> None:
    """Check that the keys in ``required`` are present, unless they may be absent, and check the values."""
    for name, value in before.items():
        if name in now:
            if _is_known(table, name):
                _check_value(value, now[name], name, _table_at(table, name))
        elif name in required and _is_required(table, name):
            raise IncompleteFileError(f"{where} has no {name!r}, but had it before the reload")


def _is_required(table: str, name: str) -> bool:
    return table == FILE or name in REQUIRED_KEYS.get(table, ())


def _is_known(table: str, name: str) -> bool:
    return _is_required(table, name) or name in OPTIONAL_KEYS.get(table, ())


def _table_at(table: str, name: str) -> str:
    """Return the table of the objects in the value at ``name`` of an object in ``table``."""
    if table == FILE and name != SETTINGS:
        return FILE
    return name


def _is_positive_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 < value < math.inf


def _check_classes(settings: Mapping[str, Any]) -> None:
    """Raise IncompleteFileError if the classes, their deadlines or the limit on attempts are missing or invalid."""
    classes, specifics, caps = settings.get("classes"), settings.get("specifics"), settings.get("caps")
    if not classes or not isinstance(classes, list):
        raise IncompleteFileError("invalid classes: expected a list with at least one class")
    names = [entry.get("name") for entry in classes]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise IncompleteFileError("invalid classes: each needs a name that no other class has")
    for entry in classes:
        if not _is_positive_number(entry.get("giveUp")):
            raise IncompleteFileError(f"invalid giveUp of class {entry['name']!r}: expected a number above 0")
    if not _is_positive_number(caps.get("maxAttempts") if isinstance(caps, dict) else None):
        raise IncompleteFileError("invalid maxAttempts: expected a number above 0")
    for name in SETTINGS_LISTED_BY_CLASS:
        values = specifics.get(name) if isinstance(specifics, dict) else None
        if values is not None and (not isinstance(values, list) or len(values) != len(classes)):
            raise IncompleteFileError(f"invalid {name!r}: expected a list with one value per class")
