"""The messages about regions between proxies, and their binary form in the ``body`` of a peer datagram.

A report is sent to the coordinator. It contains the sender's statistics, and it acknowledges the newest order that
the sender has applied. An order is sent to all members. It contains a token, an epoch and the whole table, so that a
member that has missed some orders catches up with any later one. A request carries an operator's command to the
coordinator, and a response returns the outcome. A region is identified by the CRC-32 of its name. All numbers are
big-endian, without padding.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TypeAlias

from beechslip.fleet.codec import CodecError
from beechslip.regions.failure_evidence import MAX_SCORE, RegionStatistics
from beechslip.regions.status import MAX_BACKOFF_LEVEL, RECOVERY_FRACTIONS, RegionState, RegionStatus

REPORT_TAG = b"r"
ORDER_TAG = b"o"
REQUEST_TAG = b"a"
RESPONSE_TAG = b"s"

_REPORT_HEADER = struct.Struct("!cQIQIBB")  # tag, incarnation, sequence number, token, epoch, flags, count of entries
_STATISTICS_ENTRY = struct.Struct("!IHHBB")  # region, attempts, failures, utilization, score
_ORDER_HEADER = struct.Struct("!cQIB")  # tag, token, epoch, count of entries
_STATUS_ENTRY = struct.Struct("!IB")  # region, packed state, step and backoff level
_REQUEST_LAYOUT = struct.Struct("!cQIBI")  # tag, number, region, command, operator
_RESPONSE_LAYOUT = struct.Struct("!cIBQ")  # tag, region, outcome, number

MAX_REPORT_REGIONS = 15  # entries that fit into a datagram
MAX_ORDER_REGIONS = 32

LOCAL_FAULT_FLAG = 1
RECOVERED_FLAG = 2

ATTEMPTS_SCALE = 16.0  # attempts and failures are sent in units of a sixteenth
UTILIZATION_SCALE = 200  # utilization is sent in units of half a percent
SCORE_SCALE = 10  # the score is sent in units of 0.1

# One byte holds the state (2 bits), the step (3 bits) and the backoff level (3 bits) of a region.
STATE_MASK = 3
STEP_MASK = 7
STEP_SHIFT = 2
BACKOFF_SHIFT = 5


class OperatorCommand(IntEnum):
    """An operator's command for a region. The values are written to datagrams."""

    OUT = 1
    RETURN = 2
    HOLD = 3
    FREE = 4  # ends an operator hold


class CommandOutcome(IntEnum):
    """The outcome of an operator's command. The values are written to datagrams."""

    DONE = 1
    REFUSED_GUARD = 2  # more backends would be out than the limits allow
    REFUSED_OTHER = 3  # the region is held by another operator
    NOT_COORDINATOR = 4
    UNKNOWN = 5  # no such region
    BUSY = 6  # a majority has not acknowledged the last order yet; a retry may succeed


@dataclass(frozen=True, slots=True)
class RegionReport:
    """The statistics of a member by region id, and the version (``token``, ``epoch``) of its newest applied order.

    ``seq`` increases with each report of one ``incarnation``. ``has_recovered`` is false while a member that has just
    started does not count as knowing the newest order.
    """

    incarnation: int
    seq: int
    token: int
    epoch: int
    has_local_fault: bool = False
    has_recovered: bool = True
    statistics: Mapping[int, RegionStatistics] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CoordinatorOrder:
    """The whole table, by region id, with its version (``token``, ``epoch``).

    An order with epoch 0 asks the receiver for its newest order.
    """

    token: int
    epoch: int
    statuses: Mapping[int, RegionStatus] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A command of ``operator`` for the region with id ``region``. Repeats with the same ``number`` count once."""

    number: int
    region: int
    command: OperatorCommand
    operator: int


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """The coordinator's response to the request with the same ``number``."""

    region: int
    outcome: CommandOutcome
    number: int


RegionMessage: TypeAlias = RegionReport | CoordinatorOrder | OperatorRequest | OperatorResponse


def region_id(name: str) -> int:
    """Return the number that identifies a region in datagrams: the CRC-32 of its name."""
    return zlib.crc32(name.encode())


def encode_region_message(message: RegionMessage) -> bytes:
    """Return the binary form of ``message``. Statistics above the range of their field are clamped to it."""
    if isinstance(message, RegionReport):
        return _encode_report(message)
    if isinstance(message, CoordinatorOrder):
        return _encode_order(message)
    if isinstance(message, OperatorRequest):
        return _REQUEST_LAYOUT.pack(
            REQUEST_TAG, message.number, message.region, int(message.command), message.operator
        )
    return _RESPONSE_LAYOUT.pack(RESPONSE_TAG, message.region, int(message.outcome), message.number)


def decode_region_message(data: bytes) -> RegionMessage:
    """Return the message in ``data``; raise CodecError if ``data`` is not a valid message."""
    try:
        return _DECODERS[data[:1]](data)
    except (KeyError, struct.error, ValueError, IndexError) as error:
        raise CodecError(f"invalid region message: {error!r:.60}") from None


def _encode_report(report: RegionReport) -> bytes:
    flags = LOCAL_FAULT_FLAG * report.has_local_fault | RECOVERED_FLAG * report.has_recovered
    header = _REPORT_HEADER.pack(
        REPORT_TAG,
        report.incarnation,
        report.seq,
        report.token,
        report.epoch,
        flags,
        len(report.statistics),
    )
    entries = (
        _STATISTICS_ENTRY.pack(
            region,
            _clamped_count(statistics.attempts),
            _clamped_count(statistics.failures),
            int(min(statistics.utilization, 1.0) * UTILIZATION_SCALE),
            int(min(statistics.score, MAX_SCORE) * SCORE_SCALE),
        )
        for region, statistics in report.statistics.items()
    )
    return header + b"".join(entries)


def _clamped_count(count: float) -> int:
    """Return ``count`` in units of a sixteenth, clamped to 16 bits."""
    return min(round(count * ATTEMPTS_SCALE), 0xFFFF)


def _encode_order(order: CoordinatorOrder) -> bytes:
    header = _ORDER_HEADER.pack(ORDER_TAG, order.token, order.epoch, len(order.statuses))
    packed = b"".join(
        _STATUS_ENTRY.pack(region, status.state | status.step << STEP_SHIFT | status.backoff_level << BACKOFF_SHIFT)
        for region, status in order.statuses.items()
    )
    return header + packed + bytes(int(status.has_operator_hold) for status in order.statuses.values())


def _decode_report(data: bytes) -> RegionReport:
    _, incarnation, seq, token, epoch, flags, count = _REPORT_HEADER.unpack_from(data)
    entries = data[_REPORT_HEADER.size :]
    if count > MAX_REPORT_REGIONS or len(entries) != count * _STATISTICS_ENTRY.size:
        raise ValueError(f"report has {count} entries but {len(entries)} bytes")
    statistics = {
        region: RegionStatistics(
            attempts / ATTEMPTS_SCALE,
            min(failures, attempts) / ATTEMPTS_SCALE,
            utilization / UTILIZATION_SCALE,
            score / SCORE_SCALE,
        )
        for region, attempts, failures, utilization, score in _STATISTICS_ENTRY.iter_unpack(entries)
    }
    has_local_fault = bool(flags & LOCAL_FAULT_FLAG)
    has_recovered = bool(flags & RECOVERED_FLAG)
    return RegionReport(incarnation, seq, token, epoch, has_local_fault, has_recovered, statistics)


def _decode_order(data: bytes) -> CoordinatorOrder:
    _, token, epoch, count = _ORDER_HEADER.unpack_from(data)
    entries = data[_ORDER_HEADER.size :]
    if count > MAX_ORDER_REGIONS or len(entries) != count * (_STATUS_ENTRY.size + 1):
        raise ValueError(f"order has {count} entries but {len(entries)} bytes")
    packed_size = count * _STATUS_ENTRY.size
    packed = _STATUS_ENTRY.iter_unpack(entries[:packed_size])
    holds = entries[packed_size:]
    statuses = {region: _unpack_status(bits, bool(hold)) for (region, bits), hold in zip(packed, holds, strict=True)}
    return CoordinatorOrder(token, epoch, statuses)


def _unpack_status(bits: int, has_operator_hold: bool) -> RegionStatus:
    """Return the status in one packed byte; raise ValueError if the step or the backoff level is out of range."""
    step = bits >> STEP_SHIFT & STEP_MASK
    backoff_level = bits >> BACKOFF_SHIFT
    if step >= len(RECOVERY_FRACTIONS) or backoff_level > MAX_BACKOFF_LEVEL:
        raise ValueError(f"step {step} or backoff level {backoff_level} out of range")
    return RegionStatus(RegionState(bits & STATE_MASK), step, backoff_level, has_operator_hold)


def _decode_request(data: bytes) -> OperatorRequest:
    _, number, region, command, operator = _REQUEST_LAYOUT.unpack(data)
    return OperatorRequest(number, region, OperatorCommand(command), operator)


def _decode_response(data: bytes) -> OperatorResponse:
    _, region, outcome, number = _RESPONSE_LAYOUT.unpack(data)
    return OperatorResponse(region, CommandOutcome(outcome), number)


_DECODERS: dict[bytes, Callable[[bytes], RegionMessage]] = {
    REPORT_TAG: _decode_report,
    ORDER_TAG: _decode_order,
    REQUEST_TAG: _decode_request,
    RESPONSE_TAG: _decode_response,
}
