"""Access to the members of wire messages: required ones, and optional ones that default to "not stated"."""

from __future__ import annotations

from typing import Any, TypeAlias

Message: TypeAlias = dict[str, Any]


class WireError(Exception):
    """Input that does not conform to the wire format; the text names the message and the member."""


def required_member(message: Message, name: str, kinds: type | tuple[type, ...]) -> Any:
    """Return a member that must be present and of one of the given types; a boolean is not a number.

    Raises:
        WireError: the member is missing, null or of another type.
    """
    message_name = message.get("event_type", "entry")
    if message.get(name) is None:
        raise WireError(f"{message_name}: member '{name}' is missing")
    value = message[name]
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise WireError(f"{message_name}: member '{name}' has a value of the wrong type: {value!r:.80}")
    return value


def optional_number(source: Message, name: str) -> float:
    """Return an optional number; 0, which means "not stated", if it is absent or of another type."""
    return _as_number(source.get(name))


def optional_text(source: Message, name: str) -> str:
    """Return an optional string; empty if it is absent or of another type."""
    value = source.get(name)
    return value if isinstance(value, str) else ""


def optional_object(source: Message, name: str) -> Message:
    """Return an optional object; empty if it is absent or of another type."""
    value = source.get(name)
    return value if isinstance(value, dict) else {}


def optional_array(source: Message, name: str) -> list[Any]:
    """Return an optional array; empty if it is absent or of another type."""
    value = source.get(name)
    return value if isinstance(value, list) else []


def item_at(items: list[Any], position: float) -> Any:
    """Return the item at a position, or ``None`` outside the array, also for negative positions."""
    index = int(position)
    return items[index] if 0 <= index < len(items) else None


def number_at(items: list[Any], position: int) -> float:
    """Return the number at a position; 0 outside the array or for another type."""
    return _as_number(item_at(items, position))


def _as_number(value: Any) -> float:
    return float(value) if isinstance(value, (int, float)) and not isinstance(value, bool) else 0.0
