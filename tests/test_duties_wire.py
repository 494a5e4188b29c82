"""Tests of the duties over real UDP sockets on loopback, and of the codec and the settings.

The codec must reject bad, truncated and foreign datagrams.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechslip.clock import ManualClock
from beechslip.config import Address, Config, ConfigError
from beechslip.core.model import AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.duties.node import DutyNode
from beechslip.duties.settings import read_duties
from beechslip.duties.shared import DutyPart, SharedHealthChecker
from beechslip.fleet.codec import MAX_DATAGRAM_BYTES, CodecError, decode, encode
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import DutyReport, MemberState, MemberUpdate, PeerMessage
from beechslip.fleet.peers import PeerSocket, member_name
from beechslip.fleet.settings import FLEET_FILE, read_fleet, refuse_old_settings_file
from beechslip.leases.settings import read_leases
from beechslip.routing import interface as i
from beechslip.routing.wire.settings import read_settings
from lab.stand import SETTINGS, run, until

FLEET = "test-fleet"


def _free_address() -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", holder.getsockname()[1])


class _FakeSharedChecker:
    """A stand-in for a shared health checker: does duties at once and stores reports."""

    def __init__(self, node: DutyNode) -> None:
        self.node, self.done_duties, self.reports = node, list[str](), list[DutyReport]()

    async def perform_duty(self, duty: str) -> bool:
        self.done_duties.append(duty)
        return True

    def on_report(self, report: DutyReport) -> None:
        self.reports.append(report)


def _build_peers(
    number: int, addresses: list[Address], duties: tuple[str, ...], clock: ManualClock
) -> tuple[PeerSocket, _FakeSharedChecker]:
    names = tuple(member_name(n) for n in range(len(addresses)))
    node = DutyNode(Membership(names[number], clock.steady_ms(), names, incarnation=1), duties)
    checker, counters = _FakeSharedChecker(node), Counters()
    part = DutyPart(cast(SharedHealthChecker, checker), clock, counters)
    return PeerSocket(FLEET, number, addresses[number], addresses, [part], clock, counters), checker


async def _advance_clock(clock: ManualClock, ms: float, step_ms: float = 50.0) -> None:
    """Advance the clock by ``ms``, and let the event loop run at each step so that datagrams arrive."""
    for _ in range(int(ms / step_ms)):
        clock.advance(step_ms)
        for _ in range(5):
            await asyncio.sleep(0)


@run
async def test_members_divide_health_checks_and_take_over_from_a_stopped_member() -> None:
    clock, addresses = ManualClock(), [_free_address() for _ in range(4)]
    duties = tuple(f"box{n}" for n in range(12))
    peers, checkers = zip(*(_build_peers(n, addresses, duties, clock) for n in range(4)), strict=True)
    try:
        for member in peers:
            await member.start()
        await _advance_clock(clock, 10_000)
        assert all(member.counters["fleet.received"] > 0 for member in peers)
        count_before_window = sum(len(checker.done_duties) for checker in checkers)
        await _advance_clock(clock, 6_000)
        per_backend = (
            (sum(len(checker.done_duties) for checker in checkers) - count_before_window) / len(duties) / 6.0
        )
        assert per_backend < 0.8  # about one health check in each interval of 2 s, not one for each of the 4 members
        assert all(checker.reports for checker in checkers)  # each received reports of health checks that others made
        peers[0].stop()
        counts_before = [len(checker.done_duties) for checker in checkers]
        await _advance_clock(clock, 8_000)
        assert {
            duty
            for checker, count_before in zip(checkers[1:], counts_before[1:], strict=True)
            for duty in checker.done_duties[count_before:]
        } == set(duties)
        assert all(checker.node.membership.state_of("d0") is MemberState.DEAD for checker in checkers[1:])
    finally:
        for member in peers:
            member.stop()


@run
async def test_bad_and_foreign_datagrams_are_counted_and_dropped() -> None:
    clock, addresses = ManualClock(), [_free_address(), _free_address()]
    peer, _ = _build_peers(0, addresses, ("a",), clock)
    await peer.start()
    sender, member = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    member.bind((addresses[1].host, addresses[1].port))
    good = encode(PeerMessage("ping", "d1", 1), FLEET)
    old = good.replace(b"\x08\x02", b"\x08\x01", 1)  # the version is the first field of a datagram
    try:
        for data in (b"", b"\xff" * 40, good[:-3], old, encode(PeerMessage("ping", "d1", 1), "other"), b"x" * 600):
            member.sendto(data, (addresses[0].host, addresses[0].port))
        sender.sendto(good, (addresses[0].host, addresses[0].port))  # sent from an address of no member
        member.sendto(encode(PeerMessage("ping", "d0", 1), FLEET), (addresses[0].host, addresses[0].port))
        await until(lambda: peer.counters["fleet.bad"] >= 6 and peer.counters["fleet.foreign"] >= 2)
        assert peer.counters["fleet.received"] == 0
        member.sendto(good, (addresses[0].host, addresses[0].port))
        await until(lambda: peer.counters["fleet.received"] == 1)
    finally:
        sender.close()
        member.close()
        peer.stop()


_names = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=20)


@given(
    _names,
    st.integers(0, 2**40),
    st.lists(st.builds(MemberUpdate, _names, st.integers(0, 2**50), st.sampled_from(list(MemberState))), max_size=6),
    st.lists(st.builds(DutyReport, _names, _names, st.floats(0, 2e12), st.booleans(), st.booleans()), max_size=6),
)
def test_decoded_message_equals_the_encoded_one_within_the_size_bound(
    sender: str, seq: int, updates: list[MemberUpdate], reports: list[DutyReport]
) -> None:
    message = PeerMessage("ack", sender, seq, "", tuple(updates), tuple(reports))
    data = encode(message, FLEET)
    assert len(data) <= MAX_DATAGRAM_BYTES
    back = decode(data, FLEET)
    assert (back.kind, back.sender, back.seq) == ("ack", sender, seq)
    assert back.updates == message.updates[: len(back.updates)]
    assert back.reports == message.reports[: len(back.reports)]


@given(st.binary(max_size=300))
def test_decode_returns_a_message_or_raises_a_codec_error(data: bytes) -> None:
    with contextlib.suppress(CodecError):  # any other exception fails the test
        decode(data, FLEET)


def test_encode_rejects_a_message_without_reports_over_the_size_bound() -> None:
    with pytest.raises(CodecError):
        encode(PeerMessage("ping", "x" * 300, 1), FLEET)


CONFIG = Config(
    "n",
    Address("127.0.0.1", 1),
    0,
    read_settings(SETTINGS),
    file_contents={"peers": ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"], "peer_listen": "127.0.0.1:7000"},
)


def test_shipped_fleet_file_is_off_and_valid_when_enabled(tmp_path: Path) -> None:
    assert read_fleet(FLEET_FILE, CONFIG) is None
    enabled_file = tmp_path / "on.toml"
    enabled_file.write_text(FLEET_FILE.read_text().replace("enabled = false", "enabled = true"))
    fleet = read_fleet(enabled_file, CONFIG)
    assert fleet is not None and fleet.listen == Address("127.0.0.1", 7000) and len(fleet.peers) == 3
    duties, leases = read_duties(fleet), read_leases(fleet)
    assert duties is not None and duties.members_per_duty == 3 and leases is not None and leases.sets == (3,)


@pytest.mark.parametrize(
    ("values_text", "expected_match"),
    [
        ('listen = "nowhere"', "listen"),
        ('peers = "x"', "peers"),
        ("number = 9", "number"),
        ("odd = 1", "odd"),
        ('peers = ["127.0.0.1:1", "127.0.0.1:1"]', "twice"),
        ("tick_ms = true", "tick_ms"),
        ("[duties]\nenabled = true\ninterval_ms = 0", "duties: interval_ms"),
        ("[duties]\nenabled = 1", "enabled"),
        ("[duties]\nenabled = true\nstandbys = -1", "standbys"),
        ("[membership]\nindirect = 99", "indirect"),
        ("[leases]\nenabled = true\nmargin_ms = 3000", "margin_ms"),
        ("leases = 1", "leases must be a table"),
        ("[leases]\nenabled = true\nlongest_ms = 100", "longest_ms"),
        ("[census]\nenabled = true", "lease"),
        ("[leases]\nenabled = true\nmembers = 7", "no majority"),
        ("[leases]\nenabled = true\nbefore = 6", "before"),
        ("[leases]\nenabled = true\ndrift = 0.5", "drift"),
        ("[leases]\nenabled = true\nlease_ms = 301", "margin_ms"),
        ('[leases]\nenabled = true\ndrills = ["census"]', "drills"),
        ("[leases]\nenabled = true\nlease_ms = 500\nmargin_ms = 240", "lease_ms"),
    ],
)
def test_invalid_fleet_file_is_rejected_by_name(tmp_path: Path, values_text: str, expected_match: str) -> None:
    bad_file = tmp_path / "bad.toml"
    bad_file.write_text(f"enabled = true\n{values_text}\n")
    with pytest.raises(ConfigError, match=expected_match):
        fleet = read_fleet(bad_file, CONFIG)
        assert fleet is not None
        read_duties(fleet)
        read_leases(fleet)


def test_former_duties_file_is_rejected_with_what_to_do(tmp_path: Path) -> None:
    refuse_old_settings_file({}, tmp_path / "duties.toml")
    with pytest.raises(ConfigError, match="EDGE_FLEET"):
        refuse_old_settings_file({"EDGE_DUTIES": "x"}, tmp_path / "duties.toml")
    (tmp_path / "duties.toml").write_text("enabled = false\n")
    with pytest.raises(ConfigError, match=r"duties\.toml is no longer read"):
        refuse_old_settings_file({}, tmp_path / "duties.toml")


class _FakeHealthChecker:
    """A stand-in for a health checker: records the health checks requested and returns ``ok``."""

    def __init__(self) -> None:
        self.checked: list[str] = []

    async def health_check(self, backend: Backend) -> AttemptResult:
        self.checked.append(backend.name)
        return AttemptResult("ok")

    def update_backends(self, backends: object) -> None:
        pass


@run
async def test_fresh_report_of_another_member_answers_a_health_check_and_reaches_the_module() -> None:
    clock, posted, inner = ManualClock(), list[object](), _FakeHealthChecker()
    node = DutyNode(Membership("me", clock.now_ms(), ("other",)), ())
    shared = SharedHealthChecker(inner, node, clock, Counters(), posted.append)
    backends = [Backend(f"box{n}", f"127.0.0.1:{9000 + n}") for n in range(6)]
    shared.update_backends({backend.name: backend for backend in backends})
    theirs = next(backend for backend in backends if node.rank(backend.name) != 0)
    mine = next(backend for backend in backends if node.rank(backend.name) == 0)
    now = clock.now_ms()
    node.receive(
        now,
        PeerMessage(
            "report",
            "other",
            0,
            reports=(DutyReport(theirs.name, "other", now, True), DutyReport(mine.name, "other", now, True)),
        ),
    )
    assert (await shared.health_check(theirs)).result == "ok"
    assert inner.checked == []  # answered by the report
    assert (await shared.health_check(mine)).result == "ok"
    assert inner.checked == [mine.name]  # an owner makes the check itself
    clock.advance(node.tuning.interval_ms + 1)
    await shared.health_check(theirs)
    assert inner.checked == [mine.name, theirs.name]  # the report has become stale
    shared.on_report(DutyReport(theirs.name, "other", now, False))
    assert posted == [i.HealthCheckResult(theirs.name, "error")]


@run
async def test_stop_cancels_running_health_checks_and_wait_closed_awaits_them() -> None:
    clock, ended = ManualClock(), list[str]()
    node = DutyNode(Membership("me", clock.steady_ms(), ()), ("box0", "box1"))

    class Hanging(_FakeSharedChecker):
        async def perform_duty(self, duty: str) -> bool:
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(0)
                ended.append(duty)
            return True

    part = DutyPart(cast(SharedHealthChecker, Hanging(node)), clock, Counters())
    while len(part._tasks) < 2:
        clock.advance(100.0)
        part.tick(clock.steady_ms())
        await asyncio.sleep(0)
    part.stop(clock.steady_ms())
    await part.wait_closed()
    assert sorted(ended) == ["box0", "box1"] and not part._tasks
