"""Duties over real UDP sockets on loopback, and the codec against bad, cut and foreign datagrams."""

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
from beechslip.fleet.codec import MOST_BYTES, CodecError, decode, encode
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import Message, Report, State, Update
from beechslip.fleet.peers import Peers, member_name
from beechslip.fleet.settings import FLEET_FILE, read_fleet, refuse_old
from beechslip.leases.settings import read_leases
from beechslip.routing import interface as i
from beechslip.routing.wire.settings import read_settings
from lab.stand import SETTINGS, run, until

FLEET = "test-fleet"


def _address() -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", holder.getsockname()[1])


class _Shared:
    """What a duty part needs of a shared health checker: duties that are done at once, reports that are stored."""

    def __init__(self, node: DutyNode) -> None:
        self.node, self.done, self.reports = node, list[str](), list[Report]()

    async def perform(self, duty: str) -> bool:
        self.done.append(duty)
        return True

    def on_report(self, report: Report) -> None:
        self.reports.append(report)


def _peers(
    number: int, addresses: list[Address], duties: tuple[str, ...], clock: ManualClock
) -> tuple[Peers, _Shared]:
    names = tuple(member_name(n) for n in range(len(addresses)))
    node = DutyNode(Membership(names[number], clock.steady_ms(), names, incarnation=1), duties)
    shared, counters = _Shared(node), Counters()
    part = DutyPart(cast(SharedHealthChecker, shared), clock, counters)
    return Peers(FLEET, number, addresses[number], addresses, [part], clock, counters), shared


async def _pass(clock: ManualClock, ms: float, step: float = 50.0) -> None:
    """Let ``ms`` pass on the clock, giving the loop a turn at each step so that datagrams arrive."""
    for _ in range(int(ms / step)):
        clock.advance(step)
        for _ in range(5):
            await asyncio.sleep(0)


@run
async def test_members_on_loopback_divide_health_checks_and_take_over_from_one_that_stops() -> None:
    clock, addresses = ManualClock(), [_address() for _ in range(4)]
    duties = tuple(f"box{n}" for n in range(12))
    peers, shared = zip(*(_peers(n, addresses, duties, clock) for n in range(4)), strict=True)
    try:
        for one in peers:
            await one.start()
        await _pass(clock, 10_000)
        assert all(one.counters["fleet.received"] > 0 for one in peers)
        recent = sum(len(one.done) for one in shared)
        await _pass(clock, 6_000)
        per_backend = (sum(len(one.done) for one in shared) - recent) / len(duties) / 6.0
        assert per_backend < 0.8  # about one health check an interval (2 s), not one per member: 4 members
        assert all(one.reports for one in shared)  # each received reports of health checks that others made
        peers[0].stop()
        before = [len(one.done) for one in shared]
        await _pass(clock, 8_000)
        assert {d for one, was in zip(shared[1:], before[1:], strict=True) for d in one.done[was:]} == set(duties)
        assert all(one.node.membership.state_of("d0") is State.DEAD for one in shared[1:])
    finally:
        for one in peers:
            one.stop()


@run
async def test_bad_and_foreign_datagrams_are_counted_and_dropped() -> None:
    clock, addresses = ManualClock(), [_address(), _address()]
    peer, _ = _peers(0, addresses, ("a",), clock)
    await peer.start()
    sender, member = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    member.bind((addresses[1].host, addresses[1].port))
    good = encode(Message("ping", "d1", 1), FLEET)
    old = good.replace(b"\x08\x02", b"\x08\x01", 1)  # the version is the first field
    try:
        for data in (b"", b"\xff" * 40, good[:-3], old, encode(Message("ping", "d1", 1), "other"), b"x" * 600):
            member.sendto(data, (addresses[0].host, addresses[0].port))
        sender.sendto(good, (addresses[0].host, addresses[0].port))  # not from the member's address
        member.sendto(encode(Message("ping", "d0", 1), FLEET), (addresses[0].host, addresses[0].port))
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
    st.lists(st.builds(Update, _names, st.integers(0, 2**50), st.sampled_from(list(State))), max_size=6),
    st.lists(st.builds(Report, _names, _names, st.floats(0, 2e12), st.booleans(), st.booleans()), max_size=6),
)
def test_what_is_encoded_decodes_to_itself_within_the_bound(
    sender: str, seq: int, updates: list[Update], reports: list[Report]
) -> None:
    message = Message("ack", sender, seq, "", tuple(updates), tuple(reports))
    data = encode(message, FLEET)
    assert len(data) <= MOST_BYTES
    back = decode(data, FLEET)
    assert (back.kind, back.sender, back.seq) == ("ack", sender, seq)
    assert back.updates == message.updates[: len(back.updates)]
    assert back.reports == message.reports[: len(back.reports)]


@given(st.binary(max_size=300))
def test_any_bytes_decode_or_raise_a_codec_error(data: bytes) -> None:
    with contextlib.suppress(CodecError):  # anything else (a crash) fails the test
        decode(data, FLEET)


def test_a_bare_message_over_the_bound_is_refused() -> None:
    with pytest.raises(CodecError):
        encode(Message("ping", "x" * 300, 1), FLEET)


CONFIG = Config(
    "n",
    Address("127.0.0.1", 1),
    0,
    read_settings(SETTINGS),
    file_contents={"peers": ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"], "peer_listen": "127.0.0.1:7000"},
)


def test_the_shipped_file_is_off_and_what_it_holds_can_be_used(tmp_path: Path) -> None:
    assert read_fleet(FLEET_FILE, CONFIG) is None
    on = tmp_path / "on.toml"
    on.write_text(FLEET_FILE.read_text().replace("enabled = false", "enabled = true"))
    fleet = read_fleet(on, CONFIG)
    assert fleet is not None and fleet.listen == Address("127.0.0.1", 7000) and len(fleet.peers) == 3
    duties, leases = read_duties(fleet), read_leases(fleet)
    assert duties is not None and duties.k == 3 and leases is not None and leases.sets == (3,)


@pytest.mark.parametrize(
    ("values_text", "named"),
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
def test_a_wrong_fleet_file_is_refused_by_name(tmp_path: Path, values_text: str, named: str) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text(f"enabled = true\n{values_text}\n")
    with pytest.raises(ConfigError, match=named):
        fleet = read_fleet(bad, CONFIG)
        assert fleet is not None
        read_duties(fleet)
        read_leases(fleet)


def test_the_file_that_came_before_is_refused_with_what_to_do(tmp_path: Path) -> None:
    refuse_old({}, tmp_path / "duties.toml")
    with pytest.raises(ConfigError, match="EDGE_FLEET"):
        refuse_old({"EDGE_DUTIES": "x"}, tmp_path / "duties.toml")
    (tmp_path / "duties.toml").write_text("enabled = false\n")
    with pytest.raises(ConfigError, match=r"duties\.toml is no longer read"):
        refuse_old({}, tmp_path / "duties.toml")


class _Inner:
    """A health checker stand-in: counts the health checks requested and answers ``ok``."""

    def __init__(self) -> None:
        self.checked: list[str] = []

    async def health_check(self, backend: Backend) -> AttemptResult:
        self.checked.append(backend.name)
        return AttemptResult("ok")

    def follow(self, backends: object) -> None:
        pass


@run
async def test_a_fresh_report_of_another_answers_the_modules_health_check_and_reaches_it() -> None:
    clock, posted, inner = ManualClock(), list[object](), _Inner()
    node = DutyNode(Membership("me", clock.now_ms(), ("other",)), ())
    shared = SharedHealthChecker(inner, node, clock, Counters(), posted.append)
    backends = [Backend(f"box{n}", f"127.0.0.1:{9000 + n}") for n in range(6)]
    shared.follow({backend.name: backend for backend in backends})
    theirs = next(d for d in backends if node.rank(d.name) != 0)
    mine = next(d for d in backends if node.rank(d.name) == 0)
    now = clock.now_ms()
    node.receive(
        now,
        Message(
            "report",
            "other",
            0,
            reports=(Report(theirs.name, "other", now, True), Report(mine.name, "other", now, True)),
        ),
    )
    assert (await shared.health_check(theirs)).result == "ok"
    assert inner.checked == []  # answered by the report
    assert (await shared.health_check(mine)).result == "ok"
    assert inner.checked == [mine.name]  # an owner checks itself
    clock.advance(node.tuning.interval_ms + 1)
    await shared.health_check(theirs)
    assert inner.checked == [mine.name, theirs.name]  # the report went stale
    shared.on_report(Report(theirs.name, "other", now, False))
    assert posted == [i.HealthCheckResult(theirs.name, "error")]


@run
async def test_health_checks_that_run_at_the_end_are_cancelled_and_awaited() -> None:
    clock, ended = ManualClock(), list[str]()
    node = DutyNode(Membership("me", clock.steady_ms(), ()), ("box0", "box1"))

    class Hanging(_Shared):
        async def perform(self, duty: str) -> bool:
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
