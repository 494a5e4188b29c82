"""Wire format of peer messages: Protocol Buffers (proto3), one message in each datagram, with a version.

The schema is built as a ``FileDescriptorProto`` here rather than compiled from a ``.proto`` file, so that no
generated module or compiler is needed; it reads as::

    syntax = "proto3";
    package beechslip.fleet;
    message Update { string member = 1; uint64 incarnation = 2; uint32 state = 3; string by = 4; }
    message Report { string duty = 1; string prober = 2; double age_ms = 3; bool ok = 4; bool owner = 5; }
    message Envelope {
      uint32 version = 1; string fleet = 2; string kind = 3; string sender = 4; uint64 seq = 5;
      string target = 6; repeated Update updates = 7; repeated Report reports = 8; bytes body = 9;
    }

The time of a report is sent as its age, so that no time of one machine is compared with a time of another. ``fleet``
separates two fleets that share a port. :func:`decode` raises :class:`CodecError` for anything that is not a complete
envelope of this version and fleet, within the bounds below. The caller counts and drops such a datagram.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from beechslip.fleet.messages import ACK, PING, PING_REQ, REPORT, DutyReport, MemberState, MemberUpdate, PeerMessage

PROTOCOL_VERSION = 2
MAX_DATAGRAM_BYTES = 256  # the platform's bound on a datagram between proxies; a longer one invalidates a run
MAX_NAME_LENGTH = 128
MEMBERSHIP_KINDS = frozenset({PING, ACK, PING_REQ, REPORT})
MESSAGE_KINDS = MEMBERSHIP_KINDS | {"lease", "act", "budget", "region"}


class CodecError(ValueError):
    """The data is not a valid message, or a message can't be encoded. The text gives the reason."""


_Field = descriptor_pb2.FieldDescriptorProto
_UPDATE_FIELDS = (
    ("member", 1, _Field.TYPE_STRING),
    ("incarnation", 2, _Field.TYPE_UINT64),
    ("state", 3, _Field.TYPE_UINT32),
    ("by", 4, _Field.TYPE_STRING),
)
_REPORT_FIELDS = (
    ("duty", 1, _Field.TYPE_STRING),
    ("prober", 2, _Field.TYPE_STRING),
    ("age_ms", 3, _Field.TYPE_DOUBLE),
    ("ok", 4, _Field.TYPE_BOOL),
    ("owner", 5, _Field.TYPE_BOOL),
)
_ENVELOPE_FIELDS = (
    ("version", 1, _Field.TYPE_UINT32),
    ("fleet", 2, _Field.TYPE_STRING),
    ("kind", 3, _Field.TYPE_STRING),
    ("sender", 4, _Field.TYPE_STRING),
    ("seq", 5, _Field.TYPE_UINT64),
    ("target", 6, _Field.TYPE_STRING),
    ("updates", 7, _Field.TYPE_MESSAGE),
    ("reports", 8, _Field.TYPE_MESSAGE),
    ("body", 9, _Field.TYPE_BYTES),
)
# The repeated fields and their types.
_REPEATED = {"updates": "beechslip.fleet.Update", "reports": "beechslip.fleet.Report"}


def _envelope_class() -> type:
    """Return the generated protobuf class of the envelope."""
    file = descriptor_pb2.FileDescriptorProto(
        name="beechslip/fleet.proto", package="beechslip.fleet", syntax="proto3"
    )
    for title, fields in (("Update", _UPDATE_FIELDS), ("Report", _REPORT_FIELDS), ("Envelope", _ENVELOPE_FIELDS)):
        proto = file.message_type.add(name=title)
        for name, number, field_type in fields:
            label = _Field.LABEL_REPEATED if name in _REPEATED else _Field.LABEL_OPTIONAL
            proto.field.add(name=name, number=number, type=field_type, label=label, type_name=_REPEATED.get(name))
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    message_class: type = message_factory.GetMessageClass(pool.FindMessageTypeByName("beechslip.fleet.Envelope"))
    return message_class


Envelope = _envelope_class()


def encode(message: PeerMessage, fleet: str, now_ms: float = 0.0, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
    """Encode ``message`` as a datagram of at most ``max_bytes`` bytes.

    Piggybacked updates and reports are dropped from the end until it fits. Raise :class:`CodecError` if even the
    envelope without them does not fit, which means that names are too long.
    """
    updates = list(message.updates)
    reports = list(message.reports)
    while True:
        data = _serialize_envelope(message, updates, reports, fleet, now_ms)
        if len(data) <= max_bytes:
            return data
        if not (updates or reports):
            raise CodecError(
                f"message too long: {len(data)} bytes without updates and reports, expected at most {max_bytes}"
            )
        (reports if len(reports) >= len(updates) else updates).pop()


def _serialize_envelope(
    message: PeerMessage, updates: Iterable[MemberUpdate], reports: Iterable[DutyReport], fleet: str, now_ms: float
) -> bytes:
    envelope = Envelope(
        version=PROTOCOL_VERSION,
        fleet=fleet,
        kind=message.kind,
        sender=message.sender,
        seq=message.seq,
        target=message.target,
        body=message.body,
    )
    for update in updates:
        envelope.updates.add(
            member=update.member, incarnation=update.incarnation, state=int(update.state), by=update.by
        )
    for report in reports:
        envelope.reports.add(
            duty=report.duty,
            prober=report.prober,
            age_ms=now_ms - report.at_ms,
            ok=report.ok,
            owner=report.owner,
        )
    data: bytes = envelope.SerializeToString()
    return data


def decode(data: bytes, fleet: str, now_ms: float = 0.0, max_bytes: int = MAX_DATAGRAM_BYTES) -> PeerMessage:
    """Decode a datagram. Raise :class:`CodecError` if it is not a complete, bounded envelope of ``fleet``."""
    if len(data) > max_bytes:
        raise CodecError(f"datagram too long: {len(data)} bytes, expected at most {max_bytes}")
    envelope = Envelope()
    try:
        envelope.ParseFromString(data)
    except DecodeError as error:
        raise CodecError(f"not a protobuf message: {error}") from None
    _check_envelope(envelope, fleet)
    try:
        updates = tuple(
            MemberUpdate(u.member, int(u.incarnation), MemberState(u.state), u.by) for u in envelope.updates
        )
    except ValueError:
        raise CodecError("unknown member state in an update") from None
    if any(not math.isfinite(report.age_ms) for report in envelope.reports):
        raise CodecError("invalid age of a report: expected a finite number")
    reports = tuple(
        DutyReport(r.duty, r.prober, now_ms - float(r.age_ms), bool(r.ok), bool(r.owner)) for r in envelope.reports
    )
    return PeerMessage(
        envelope.kind, envelope.sender, int(envelope.seq), envelope.target, updates, reports, bytes(envelope.body)
    )


def _check_envelope(envelope: Any, fleet: str) -> None:
    """Raise CodecError unless the version, the fleet, the kind and the lengths of the names are valid."""
    if envelope.version != PROTOCOL_VERSION:
        raise CodecError(f"unsupported protocol version {envelope.version}: expected {PROTOCOL_VERSION}")
    if envelope.fleet != fleet:
        raise CodecError("message of another fleet")
    if envelope.kind not in MESSAGE_KINDS:
        raise CodecError(f"unknown kind of message: {envelope.kind[:20]!r}")
    names = [envelope.sender, envelope.target]
    for update in envelope.updates:
        names += [update.member, update.by]
    for report in envelope.reports:
        names += [report.duty, report.prober]
    if not envelope.sender or any(len(name) > MAX_NAME_LENGTH for name in names):
        raise CodecError("invalid name: missing or too long")
