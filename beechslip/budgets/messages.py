"""Messages between proxies and the budgets' allocator, packed into the ``body`` of a peer datagram.

A request contains the incarnation, the request's sequence number, the round of the ballot under which it is made, the
number of proxies in the requester's zone, and one entry for each limit. Its answer contains the allocator's token,
the requester's incarnation and sequence number, and one entry for each limit. A limit is sent as the CRC-32 of its
name. If the ids of two limits clash, one of the two gets no grants and has only its floors (:mod:`.node`). The
encoding is big-endian without padding.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from beechslip.budgets.allocator import QuotaRequest
from beechslip.fleet.codec import CodecError

_HEADER = struct.Struct("!cQIQH")  # kind, incarnation, seq, round or token, zone members
_REQUEST_ENTRY = struct.Struct("!IffdIf")  # limit, demand, excess, granted, grant seq, lent
_GRANT_ENTRY = struct.Struct("!Id")  # limit, amount
_REQUEST_KIND = b"?"
_GRANT_KIND = b"!"
MAX_ENTRIES = 5  # per datagram; this many fit into 256 bytes with the envelope
# Amounts are sent as floats, which have 24 bits of precision.
ROUND_UP_FACTOR = 1.0 + 1e-6  # keeps what is occupied from being rounded down
ROUND_DOWN_FACTOR = 1.0 - 1e-6  # keeps what is lent from being rounded up


def limit_id(name: str) -> int:
    """Return the wire id of limit ``name``, which stands for it in messages."""
    return zlib.crc32(name.encode())


@dataclass(frozen=True, slots=True)
class AllocationRequest:
    """Request ``seq`` of an incarnation to the allocator whose lease has ballot ``round``.

    The keys of ``entries`` are those of :func:`limit_id`. ``zone_members``: proxies in the requester's zone (0:
    unknown).
    """

    incarnation: int
    seq: int
    round: int
    zone_members: int
    entries: Mapping[int, QuotaRequest]


@dataclass(frozen=True, slots=True)
class AllocationGrant:
    """The answer to request ``seq`` of an incarnation, given under the lease's ``token``.

    ``entries`` are the amounts granted, by :func:`limit_id`.
    """

    incarnation: int
    seq: int
    token: int
    entries: Mapping[int, float]


BudgetMessage: TypeAlias = AllocationRequest | AllocationGrant


def encode_budget(message: BudgetMessage) -> bytes:
    """Return the bytes of a message, which may have at most ``MAX_ENTRIES`` entries."""
    if isinstance(message, AllocationGrant):
        head = _HEADER.pack(_GRANT_KIND, message.incarnation, message.seq, message.token, 0)
        return head + b"".join(_GRANT_ENTRY.pack(limit, amount) for limit, amount in message.entries.items())
    head = _HEADER.pack(_REQUEST_KIND, message.incarnation, message.seq, message.round, message.zone_members)
    return head + b"".join(_pack_request(limit, entry) for limit, entry in message.entries.items())


def _pack_request(limit: int, entry: QuotaRequest) -> bytes:
    excess = entry.excess * ROUND_UP_FACTOR
    lent_amount = entry.lent_amount * ROUND_DOWN_FACTOR
    return _REQUEST_ENTRY.pack(limit, entry.demand, excess, entry.granted_amount, entry.grant_seq, lent_amount)


def decode_budget(data: bytes) -> BudgetMessage:
    """Return the message in ``data``.

    Raises CodecError for data that no proxy of the fleet would send.
    """
    kind = data[:1]
    if len(data) < _HEADER.size or kind not in (_REQUEST_KIND, _GRANT_KIND):
        raise CodecError("not a budget message: unknown kind or incomplete header")
    _, incarnation, seq, round_or_token, zone_members = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    entry_size = _REQUEST_ENTRY.size if kind == _REQUEST_KIND else _GRANT_ENTRY.size
    if not body or len(body) % entry_size or len(body) > MAX_ENTRIES * _REQUEST_ENTRY.size:
        raise CodecError("invalid entries: expected one or more complete entries, up to the maximum number")
    if kind == _REQUEST_KIND:
        return AllocationRequest(incarnation, seq, round_or_token, zone_members, _unpack_requests(body))
    amounts: dict[int, float] = dict(_GRANT_ENTRY.iter_unpack(body))
    _check_amounts(*amounts.values())
    return AllocationGrant(incarnation, seq, round_or_token, amounts)


def _unpack_requests(body: bytes) -> dict[int, QuotaRequest]:
    entries: dict[int, QuotaRequest] = {}
    for limit, demand, excess, granted, grant_seq, lent in _REQUEST_ENTRY.iter_unpack(body):
        entries[limit] = QuotaRequest(demand, granted, excess, grant_seq, lent)
    for entry in entries.values():
        _check_amounts(entry.demand, entry.granted_amount, entry.excess, entry.lent_amount)
    return entries


def _check_amounts(*amounts: float) -> None:
    """Raise CodecError unless all amounts are finite and at least 0."""
    if not all(math.isfinite(amount) and amount >= 0.0 for amount in amounts):
        raise CodecError("invalid amount: expected finite numbers of at least 0")
