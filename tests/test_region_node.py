"""Tests of orders, acknowledgements and operators' commands between region nodes, and of their datagrams."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from beechslip.fleet.codec import MAX_DATAGRAM_BYTES, CodecError, encode
from beechslip.fleet.messages import PeerMessage
from beechslip.regions.failure_evidence import RegionStatistics
from beechslip.regions.messages import (
    MAX_ORDER_REGIONS,
    MAX_REPORT_REGIONS,
    CommandOutcome,
    CoordinatorOrder,
    OperatorCommand,
    OperatorRequest,
    OperatorResponse,
    RegionReport,
    decode_region_message,
    encode_region_message,
    region_id,
)
from beechslip.regions.node import RegionNode
from beechslip.regions.status import RegionState, RegionStatus
from tests.region_helpers import grant_lease, make_nodes, tick_and_deliver


def record_failed_attempts(nodes: list[RegionNode], now_ms: float, region: str) -> None:
    """Record four failed attempts at ``region`` at each of the ``nodes``."""
    for node in nodes:
        for _ in range(4):
            node.evidence.record_failure(now_ms, region)


def test_coordinator_needs_a_majority_and_its_successor_continues_from_its_order() -> None:
    nodes, leases = make_nodes()
    grant_lease(leases, "d0", 10)
    for k in range(6):
        tick_and_deliver(nodes, 250.0 * k)
    assert {node.applied_order.version for node in nodes} == {(10, 1)}
    record_failed_attempts(nodes, 1500.0, "hub:a")
    for k in range(6, 12):
        tick_and_deliver(nodes, 250.0 * k, frozenset({"d2"}))
    assert nodes[1].applied_order.table()["hub:a"].state is RegionState.OUT
    assert nodes[2].applied_order.epoch == 1  # d2 has missed the order
    grant_lease(leases, "d2", 20)
    for k in range(12, 16):
        tick_and_deliver(nodes, 250.0 * k)
    for node in nodes:  # the successor has applied the missed order before it made its own
        assert node.applied_order.token == 20
        assert node.applied_order.epoch >= 4
    assert {node.applied_order.table()["hub:a"].traffic_fraction for node in nodes} == {0.0}
    assert nodes[0].receive(4000.0, "d1", CoordinatorOrder(10, 99)) == []  # an order of the former coordinator
    assert nodes[0].applied_order.token == 20
    epoch_before = nodes[2].applied_order.epoch
    record_failed_attempts(nodes, 4000.0, "cache:s")
    for k in range(24, 30):
        tick_and_deliver(nodes, 250.0 * k, frozenset({"d0", "d1"}))
    assert nodes[2].applied_order.epoch == epoch_before  # no order is made in a minority
    for lease in leases:
        lease.holder_name = ""
    tick_and_deliver(nodes, 60_000.0)
    for node in nodes:
        assert node.applied_order.table()["hub:a"] == RegionStatus()
        assert node.event_counts["forgotten"] == 1


def test_command_is_refused_without_a_coordinator() -> None:
    nodes, _ = make_nodes()
    assert nodes[0].submit_command(0.0, 1, "hub:a", OperatorCommand.OUT, 7) == []
    assert nodes[0].command_response(1) == OperatorResponse(region_id("hub:a"), CommandOutcome.NOT_COORDINATOR, 1)


def test_operators_command_is_done_once_or_refused_with_a_reason() -> None:
    nodes, leases = make_nodes()
    grant_lease(leases, "d0", 10)
    for k in range(4):
        tick_and_deliver(nodes, 250.0 * k)

    def outcome(number: int, region: str, command: OperatorCommand, operator: int) -> CommandOutcome:
        """Submit the command at d1, deliver all messages and return the outcome."""
        now_ms = 1000.0 * number
        [(to, request)] = nodes[1].submit_command(now_ms, number, region, command, operator)
        [(_, response)] = nodes[0].receive(now_ms, "d1", request)
        # Retry while the coordinator's last order is not acknowledged yet.
        while isinstance(response, OperatorResponse) and response.outcome is CommandOutcome.BUSY:
            now_ms += 50.0
            tick_and_deliver(nodes, now_ms)
            [(_, response)] = nodes[0].receive(now_ms, "d1", request)
        nodes[1].receive(now_ms, to, response)
        received = nodes[1].command_response(number)
        assert received is not None
        for k in (1, 2, 3):
            tick_and_deliver(nodes, now_ms + 260.0 * k)
        return received.outcome

    assert outcome(2, "hub:a", OperatorCommand.OUT, 7) is CommandOutcome.DONE
    assert nodes[2].applied_order.table()["hub:a"].has_operator_hold
    assert outcome(3, "hub:a", OperatorCommand.RETURN, 8) is CommandOutcome.REFUSED_OTHER
    assert outcome(4, "hub:b", OperatorCommand.OUT, 8) is CommandOutcome.REFUSED_GUARD
    assert outcome(5, "hub:x", OperatorCommand.OUT, 8) is CommandOutcome.UNKNOWN
    assert outcome(6, "hub:a", OperatorCommand.FREE, 7) is CommandOutcome.DONE
    assert not nodes[2].applied_order.table()["hub:a"].has_operator_hold
    assert outcome(7, "hub:a", OperatorCommand.RETURN, 8) is CommandOutcome.DONE
    assert outcome(7, "hub:a", OperatorCommand.RETURN, 8) is CommandOutcome.DONE  # a repeated request


@given(st.binary(max_size=260))
def test_decoding_any_bytes_returns_a_message_or_raises_codec_error(data: bytes) -> None:
    for tag in (b"", b"r", b"o", b"a", b"s"):
        with contextlib.suppress(CodecError):
            decode_region_message(tag + data)


def test_encoded_messages_decode_to_themselves_and_fit_into_a_datagram() -> None:
    statistics = {n: RegionStatistics(12.5, 3.0, 0.5, 9.0) for n in range(MAX_REPORT_REGIONS)}
    statuses = {n: RegionStatus(RegionState(n % 4), n % 5, n % 7, n % 2 == 0) for n in range(MAX_ORDER_REGIONS)}
    for message in (
        RegionReport(1 << 62, 1 << 31, 1 << 52, 1 << 31, True, False, statistics),
        CoordinatorOrder(1 << 52, 7, statuses),
        OperatorRequest(1 << 60, 5, OperatorCommand.HOLD, 3),
        OperatorResponse(5, CommandOutcome.DONE, 1 << 60),
    ):
        data = encode_region_message(message)
        assert decode_region_message(data) == message
        assert len(encode(PeerMessage("region", "d511", 0, body=data), "caroni-feeds")) <= MAX_DATAGRAM_BYTES


def test_binary_form_of_messages_is_stable() -> None:
    """The binary form may not change, because members of other versions read these bytes."""
    report = RegionReport(1, 2, 3, 4, True, False, {5: RegionStatistics(1.0, 0.5, 0.5, 2.0)})
    assert encode_region_message(report).hex() == (
        "72000000000000000100000002000000000000000300000004" + "0101" + "00000005001000086414"
    )
    order = CoordinatorOrder(3, 4, {5: RegionStatus(RegionState.RETURNING, 2, 1, True)})
    assert encode_region_message(order).hex() == "6f000000000000000300000004" + "01" + "000000052b" + "01"
    request = OperatorRequest(9, 5, OperatorCommand.HOLD, 7)
    assert encode_region_message(request).hex() == "610000000000000009" + "00000005" + "03" + "00000007"
    response = OperatorResponse(5, CommandOutcome.BUSY, 9)
    assert encode_region_message(response).hex() == "7300000005" + "06" + "0000000000000009"
