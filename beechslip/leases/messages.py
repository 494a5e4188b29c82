"""Messages between proposers and acceptors of leases, and their encoding in the ``body`` of a peer message.

The schema is built as a descriptor, as in :mod:`beechslip.fleet.codec`::

    message Lease { uint32 kind = 1; string name = 2; uint64 round = 3; fixed64 incarnation = 4; uint32 seq = 5;
      repeated uint32 sets = 6; bool open = 7; uint64 highest = 8; double lease_ms = 9; bool settled = 10;
      string holder = 11; }
    message Act { string name = 1; uint64 token = 2; uint32 seq = 3; uint32 verb = 4; bytes body = 5; }
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from beechslip.fleet.codec import CodecError

MAX_ROUND = 1 << 53  # far above the time of day in ms (where rounds begin), and exact in any JSON reader
MAX_NAME_LENGTH = 32
MAX_MEMBER_SETS = 4  # bound on the declared sets that may be binding at once, while changes are under way


class Ballot(NamedTuple):
    """A ballot number of Paxos.

    It is unique: no member uses a round twice in one incarnation, and ``incarnation`` is drawn at random at each
    start. Ballots are ordered by round alone (acceptors promise only a higher round), so a round identifies one
    holder.
    """

    round: int
    incarnation: int
    member: str


class LeaseMessageKind(IntEnum):
    """The kind of a lease message; its number is sent on the wire."""

    PREPARE = 1
    PROMISE = 2
    PROPOSE = 3
    ACCEPT = 4
    REFUSE = 5
    RELEASE = 6


# Sent to acceptors; the other kinds are sent to proposers.
REQUEST_KINDS = frozenset({LeaseMessageKind.PREPARE, LeaseMessageKind.PROPOSE, LeaseMessageKind.RELEASE})


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A request of a proposer to an acceptor, or the reply to it.

    ``round`` and ``incarnation`` are those of the ballot; the member of the ballot is the proposer. ``sets`` are the
    sizes of the declared sets that are binding for the sender, the newest last. ``highest`` is the highest round that
    the acceptor knows of.
    """

    kind: LeaseMessageKind
    name: str
    round: int
    incarnation: int
    seq: int = 0  # number of the proposal within its ballot
    sets: tuple[int, ...] = ()
    open: bool = False  # in a promise: no lease of another member is in force at the acceptor
    highest: int = 0
    lease_ms: float = 0.0
    settled: bool = False  # the sets before the newest are no longer binding
    holder: str = ""  # in a refusal: the member whose lease is in force


class OutgoingMessage(NamedTuple):
    """A lease message and the member to send it to."""

    to: str
    message: LeaseMessage


class ActMessageKind(IntEnum):
    """The kind of an act message: the act itself, or the answer of the member that received it."""

    ACT = 1  # the act, to be carried out by the receiver
    TAKEN = 2
    REFUSED = 3  # here ``token`` is the highest token that the answering member knows of


@dataclass(frozen=True, slots=True)
class ActMessage:
    """An act of a fleet-wide task with its fencing token, or the answer to one. ``seq`` numbers the sender's acts."""

    name: str
    token: int
    seq: int
    verb: ActMessageKind = ActMessageKind.ACT
    body: bytes = b""


_Field = descriptor_pb2.FieldDescriptorProto
_REPEATED = frozenset({"sets"})
# Fields in the order of their numbers. The numbers are sent on the wire, the names are not.
_LEASE_FIELDS = (
    ("kind", _Field.TYPE_UINT32),
    ("name", _Field.TYPE_STRING),
    ("round", _Field.TYPE_UINT64),
    ("incarnation", _Field.TYPE_FIXED64),
    ("seq", _Field.TYPE_UINT32),
    ("sets", _Field.TYPE_UINT32),
    ("open", _Field.TYPE_BOOL),
    ("highest", _Field.TYPE_UINT64),
    ("lease_ms", _Field.TYPE_DOUBLE),
    ("settled", _Field.TYPE_BOOL),
    ("holder", _Field.TYPE_STRING),
)
_ACT_FIELDS = (
    ("name", _Field.TYPE_STRING),
    ("token", _Field.TYPE_UINT64),
    ("seq", _Field.TYPE_UINT32),
    ("verb", _Field.TYPE_UINT32),
    ("body", _Field.TYPE_BYTES),
)


def _build_message_classes() -> tuple[Any, Any]:
    """Return the generated protobuf classes of Lease and Act."""
    file = descriptor_pb2.FileDescriptorProto(
        name="beechslip/leases.proto", package="beechslip.leases", syntax="proto3"
    )
    for title, fields in (("Lease", _LEASE_FIELDS), ("Act", _ACT_FIELDS)):
        proto = file.message_type.add(name=title)
        for number, (name, field_type) in enumerate(fields, 1):
            label = _Field.LABEL_REPEATED if name in _REPEATED else _Field.LABEL_OPTIONAL
            proto.field.add(name=name, number=number, type=field_type, label=label)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    lease_class, act_class = (
        message_factory.GetMessageClass(pool.FindMessageTypeByName(f"beechslip.leases.{title}"))
        for title in ("Lease", "Act")
    )
    return lease_class, act_class


_Lease, _Act = _build_message_classes()


def encode_lease(message: LeaseMessage) -> bytes:
    """Return the message as a protobuf body. Only a name of at most ``MAX_NAME_LENGTH`` can be decoded again."""
    data: bytes = _Lease(
        kind=int(message.kind),
        name=message.name,
        round=message.round,
        incarnation=message.incarnation,
        seq=message.seq,
        sets=message.sets,
        open=message.open,
        highest=message.highest,
        lease_ms=message.lease_ms,
        settled=message.settled,
        holder=message.holder,
    ).SerializeToString()
    return data


def _parse_named_message(message_class: Any, data: bytes) -> Any:
    """Parse ``data`` as a ``message_class``. Raise CodecError if it fails, or if the name is missing or too long."""
    parsed = message_class()
    try:
        parsed.ParseFromString(data)
    except DecodeError as error:
        raise CodecError(f"not a protobuf message: {error}") from None
    if not parsed.name or len(parsed.name) > MAX_NAME_LENGTH:
        raise CodecError("invalid name: missing or too long")
    return parsed


def decode_lease(data: bytes) -> LeaseMessage:
    """Decode a lease message. Raise CodecError for anything that no proposer or acceptor of this program sends."""
    parsed = _parse_named_message(_Lease, data)
    if not 0 < parsed.round < MAX_ROUND or not 0 <= parsed.highest < MAX_ROUND:
        raise CodecError(
            "invalid round: expected one from 1 to below the maximum, and a highest round of at least 0 below it"
        )
    if not math.isfinite(parsed.lease_ms) or parsed.lease_ms < 0 or len(parsed.sets) > MAX_MEMBER_SETS:
        raise CodecError(
            "invalid lease time or member sets: expected a finite time of at least 0, and at most the maximum of sets"
        )
    try:
        kind = LeaseMessageKind(parsed.kind)
    except ValueError:
        raise CodecError(f"unknown kind of lease message: {parsed.kind}") from None
    return LeaseMessage(
        kind,
        parsed.name,
        int(parsed.round),
        int(parsed.incarnation),
        int(parsed.seq),
        tuple(parsed.sets),
        bool(parsed.open),
        int(parsed.highest),
        float(parsed.lease_ms),
        bool(parsed.settled),
        parsed.holder,
    )


def encode_act(message: ActMessage) -> bytes:
    """Return the act or answer as a protobuf body."""
    data: bytes = _Act(
        name=message.name, token=message.token, seq=message.seq, verb=int(message.verb), body=message.body
    ).SerializeToString()
    return data


def decode_act(data: bytes) -> ActMessage:
    """Decode an act or an answer. Raise CodecError if ``data`` is neither."""
    parsed = _parse_named_message(_Act, data)
    if not 0 < parsed.token < MAX_ROUND:
        raise CodecError("invalid fencing token: expected one from 1 to below the maximum round")
    try:
        verb = ActMessageKind(parsed.verb)
    except ValueError:
        raise CodecError(f"unknown kind of act message: {parsed.verb}") from None
    return ActMessage(parsed.name, int(parsed.token), int(parsed.seq), verb, bytes(parsed.body))
