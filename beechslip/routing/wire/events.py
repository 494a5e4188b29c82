"""Conversion of wire messages to events and endpoint lists."""

from __future__ import annotations

from collections.abc import Callable

from beechslip.routing import interface as i
from beechslip.routing.wire.fields import (
    Message,
    WireError,
    optional_number,
    optional_object,
    optional_text,
    required_member,
)

ENDPOINT_STATES = {"on": "ready", "fading": "draining", "off": "gone"}
LIST_KINDS: dict[str, i.ListKind] = {
    "changes": "changes",
    "all": "all",
    "remembered": "remembered",
    "refused": "refused",
}
RESULTS = {
    "pass": "ok",
    "fault": "error",
    "no_room": "full",
    "too_slow": "timeout",
    "no_route": "connect_failed",
    "cut": "reset",
    "undone": "cancelled",
    "stale_send": "moot",
    "none_here": "miss",
}
NOTES = (
    "",
    "hit",
    "filled",
    "filled_origin",
    "joined",
    "stale",
    "source_refused",
    "source_lost",
    "source_lacks",
    "no_place",
    "origin_failed",
)
REPORT_FIELDS = {
    "active": "held",
    "cpu": "busy",
    "x0": "hit_share",
    "x1": "link",
}  # for a parent, "link" counts its fetches


def read_entries(message: Message) -> tuple[i.Endpoint, ...]:
    """Return the backends of one numbered list.

    Raises:
        WireError: an entry is malformed, or its condition is unknown.
    """
    return tuple(_read_entry(entry) for entry in required_member(message, "membersList", list))


def read_list_kind(message: Message) -> i.ListKind:
    """Return the kind of an endpoint list.

    Raises:
        WireError: the kind is missing or unknown.
    """
    kind = LIST_KINDS.get(required_member(message, "kind", str))
    if kind is None:
        raise WireError(
            f"PEERS_KNOWN: unknown kind {message['kind']!r:.40}: expected changes, all, remembered or refused"
        )
    return kind


def _read_entry(entry: object) -> i.Endpoint:
    if not isinstance(entry, dict):
        raise WireError("LIST: an entry of 'membersList' is not an object: expected a JSON object")
    state = ENDPOINT_STATES.get(required_member(entry, "condition", str))
    if state is None:
        raise WireError(f"LIST: unknown condition {entry['condition']!r:.40}: expected on, fading or off")
    return i.Endpoint(
        backend=required_member(entry, "store", str),
        kind=optional_text(entry, "sku"),
        zone=optional_text(entry, "locality"),
        state=state,
        weight=optional_number(entry, "share"),
        cell=int(optional_number(entry, "unitGroup")),
        started=optional_number(entry, "onlineSince"),
    )


def _read_result(message: Message) -> str:
    result = RESULTS.get(required_member(message, "stateCode", str))
    if result is None:
        raise WireError(
            f"{message['event_type']}: unknown stateCode {message['stateCode']!r:.40}: expected pass, fault, "
            "no_room, too_slow, no_route, cut, undone, stale_send or none_here"
        )
    return result


def _read_report(message: Message) -> dict[str, float]:
    pressure = optional_object(message, "pressure")
    return {REPORT_FIELDS.get(name, name): optional_number(pressure, name) for name in pressure}


def _read_request(message: Message) -> i.Event:
    return i.Request(
        request=required_member(message, "txn", str),
        class_name=required_member(message, "qos", str),
        object=optional_text(message, "file"),
        part=int(optional_number(message, "chunk")),
        group=int(optional_number(message, "setNo")),
        size_kb=optional_number(message, "lengthKb"),
        time_left=optional_number(message, "timeLeft"),
        repeat=message.get("repeat") is True,
    )


def _read_outcome(message: Message) -> i.Event:
    note = int(optional_number(message, "detail"))
    return i.Outcome(
        request=required_member(message, "txn", str),
        attempt=int(required_member(message, "n", int)),
        backend=required_member(message, "store", str),
        result=_read_result(message),
        elapsed=optional_number(message, "latency"),
        finished=message.get("doneFlag") is True,
        note=NOTES[note] if 0 <= note < len(NOTES) else "",
        waited=optional_number(message, "upstreamWait"),
        report=_read_report(message),
    )


def _read_health_check(message: Message) -> i.Event:
    return i.HealthCheckResult(
        backend=required_member(message, "store", str),
        result=_read_result(message),
        elapsed=optional_number(message, "latency"),
        report=_read_report(message),
    )


def _read_purge(message: Message) -> i.Event:
    return i.Purge(
        object=optional_text(message, "file"),
        group=int(optional_number(message, "setNo")),
        age=optional_number(message, "copyAge"),
    )


def _read_first_byte(message: Message) -> i.Event:
    return i.FirstByte(
        request=required_member(message, "txn", str),
        attempt=int(required_member(message, "n", int)),
        backend=required_member(message, "store", str),
    )


def _read_peer_message(message: Message) -> i.Event:
    return i.PeerMessage(
        sender=int(required_member(message, "sender", int)), body=optional_text(message, "raw").encode()
    )


def _read_client_gone(message: Message) -> i.Event:
    return i.ClientGone(required_member(message, "txn", str))


def _read_timer(message: Message) -> i.Event:
    return i.Timer(int(required_member(message, "keyBack", int)))


EVENT_READERS: dict[str, Callable[[Message], i.Event]] = {
    "CALL": _read_request,
    "CLOSED_ATTEMPT": _read_outcome,
    "PROBE_DONE": _read_health_check,
    "EXPIRED_NOW": _read_purge,
    "HEAD_RECEIVED": _read_first_byte,
    "NOTE_FROM": _read_peer_message,
    "GONE": _read_client_gone,
    "REMINDER": _read_timer,
}
"""The readers of messages that concern a single instance, by event type on the wire."""
