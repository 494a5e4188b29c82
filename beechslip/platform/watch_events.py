"""Parse the change log's events: server-sent events from bytes, and the updates that they carry."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from beechslip.core.messages import EndpointListUpdate, PurgeReceived
from beechslip.core.model import Backend

MAX_EVENT_SIZE = 4_000_000  # bytes of a line, and characters of an event's data
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

# The statuses of endpoints, each with the core's name for that state.
STATE_BY_STATUS = {"active": "ready", "leaving": "draining", "left": "gone"}

_LINE_END = re.compile(rb"\r\n|\n|\r")

ChangeLogUpdate = EndpointListUpdate | PurgeReceived


class BadEventError(Exception):
    """An event of the change log that is unreadable, or a stream that can't be continued."""


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One server-sent event as it was received."""

    id: str
    data: str


class ChangeEvent(NamedTuple):
    """One event of the change log: its sequence number, and the updates that it carries, in order."""

    seq: int
    updates: list[ChangeLogUpdate]


class KnownEvents(NamedTuple):
    """The events that the configuration contains, up to the first unreadable one."""

    last_seq: int  # the sequence number up to which they were read
    updates: list[ChangeLogUpdate]
    error: str  # why reading stopped; "" if all were read


class EventStreamParser:
    """Incremental parser of ``text/event-stream`` (WHATWG HTML, 9.2). Lines end with LF, CR or both.

    Comments yield no event but are counted in ``comments``.
    """

    def __init__(self, max_event_size: int | None = None) -> None:
        """Create a parser for one stream, from its first byte on.

        ``max_event_size`` is the most bytes of a line, and characters of an event's data; MAX_EVENT_SIZE by default.
        """
        self.comments = 0
        self._max_event_size = MAX_EVENT_SIZE if max_event_size is None else max_event_size
        self._partial_line = bytearray()  # the last line, which is still incomplete
        self._id = ""
        self._data = list[str]()
        self._data_size = 0  # characters of the current event's data
        self._is_at_start = True
        self._is_after_cr = False

    def feed(self, chunk: bytes) -> list[ServerSentEvent]:
        """Return the events that these bytes complete. Raises BadEventError if one is too large."""
        if not chunk:
            return []
        if self._is_after_cr and chunk.startswith(b"\n"):  # the second half of a line end
            chunk = chunk[1:]
        self._is_after_cr = chunk.endswith(b"\r")
        first, *others = _LINE_END.split(chunk)
        self._partial_line += first
        if len(self._partial_line) > self._max_event_size:
            raise BadEventError("a line of the event stream is too long")
        if not others:
            return []
        lines = [bytes(self._partial_line), *others[:-1]]
        self._partial_line = bytearray(others[-1])
        events = []
        for line in lines:
            event = self._read_line(line)
            if event is not None:
                events.append(event)
        return events

    @property
    def held_bytes(self) -> int:
        """The bytes that are kept of the current event."""
        return len(self._partial_line) + self._data_size

    def _read_line(self, raw: bytes) -> ServerSentEvent | None:
        """Return the event that the line completes, or ``None``."""
        if self._is_at_start:
            self._is_at_start = False
            raw = raw.removeprefix(BYTE_ORDER_MARK)
        line = raw.decode("utf-8", "replace")
        if not line:
            return self._end_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not name:
            self.comments += 1
        elif name == "id":
            self._id = value
        elif name == "data":
            self._data_size += len(value)
            if self._data_size > self._max_event_size:
                raise BadEventError("the data of an event is too long")
            self._data.append(value)
        return None

    def _end_event(self) -> ServerSentEvent | None:
        event = ServerSentEvent(self._id, "\n".join(self._data)) if self._data else None
        self._data = []
        self._data_size = 0
        return event


def parse_endpoint(entry: Any) -> Backend:
    """Return a backend from its entry in the endpoint list. Raises BadEventError."""
    if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
        raise BadEventError("an endpoint has no name: expected a string 'name'")
    state = STATE_BY_STATUS.get(str(entry.get("status")))
    address = entry.get("address")
    if state is None or (not isinstance(address, str) and state != "gone"):
        raise BadEventError(
            f"endpoint {entry['name']!r:.60} has an invalid status or address: "
            "expected active, leaving or left, and an address unless it has left"
        )
    return Backend(
        name=entry["name"],
        address=str(address or ""),
        kind=str(entry.get("type", "")),
        zone=str(entry.get("zone", "")),
        state=state,
        weight=_parse_number(entry, "weight"),
        cell=int(_parse_number(entry, "group")),
        started_ms=_parse_number(entry, "since_ms"),
    )


def _parse_number(entry: Mapping[str, Any], name: str) -> float:
    value = entry.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise BadEventError(f"invalid value of {name}: expected a finite number")
    return float(value)


def parse_change_event(value: Any, known: bool = False) -> ChangeEvent:
    """Return an event of the change log from its JSON value. ``known`` means that it is from the configuration.

    Raises BadEventError.
    """
    if not isinstance(value, dict) or not isinstance(value.get("seq"), int):
        raise BadEventError("an event has no sequence number: expected an integer 'seq'")
    updates: list[ChangeLogUpdate] = []
    fleet = value.get("fleet")
    purge = value.get("invalidate")
    if isinstance(fleet, dict):
        updates.append(_parse_endpoint_list(fleet, known))
    if isinstance(purge, dict):
        updates.append(_parse_purge(purge))
    return ChangeEvent(value["seq"], updates)


def _parse_endpoint_list(fleet: Mapping[str, Any], known: bool) -> EndpointListUpdate:
    endpoints = fleet.get("endpoints")
    if not isinstance(endpoints, list):
        raise BadEventError("an endpoint list without endpoints: expected a list 'endpoints'")
    backends = tuple(parse_endpoint(entry) for entry in endpoints)
    if fleet.get("snapshot") is not True:
        return EndpointListUpdate("changes", backends)
    return EndpointListUpdate("remembered" if known else "all", backends)


def _parse_purge(purge: Mapping[str, Any]) -> PurgeReceived:
    name = purge.get("object") or ""
    if not isinstance(name, str) or not (name or "bucket" in purge):
        raise BadEventError("a purge of nothing: expected 'object' or 'bucket'")
    return PurgeReceived(name, int(_parse_number(purge, "bucket")), _parse_number(purge, "time"))


def parse_server_sent_event(event: ServerSentEvent) -> ChangeEvent:
    """Return an event of the change log as it was received. Raises BadEventError."""
    try:
        return parse_change_event(orjson.loads(event.data))
    except ValueError as error:
        raise BadEventError(str(error)) from None


def parse_known_events(known: Mapping[str, Any]) -> KnownEvents:
    """Return the events of ``{"seq":LAST,"results":[...]}`` in the configuration, in order.

    Reading stops at the first unreadable event. That event and later ones are requested from the change log.
    """
    results = known.get("results")
    updates = list[ChangeLogUpdate]()
    last_seq = 0
    for value in results if isinstance(results, list) else []:
        try:
            event = parse_change_event(value, known=True)
        except BadEventError as error:
            return KnownEvents(last_seq, updates, str(error))
        last_seq = max(last_seq, event.seq)
        updates += event.updates
    seq = known.get("seq")
    return KnownEvents(max(last_seq, seq if isinstance(seq, int) else 0), updates, "")
