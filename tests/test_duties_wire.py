"""Duties over real UDP sockets on loopback, and the codec against bad, cut and foreign datagrams."""
from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from stand import run

from aldershed import interface as i
from beechslip.clock import ManualClock
from beechslip.config import ConfigError
from beechslip.core.model import Depot, Ended
from beechslip.counters import Counters
from beechslip.duties.codec import MOST_BYTES, CodecError, decode, encode
from beechslip.duties.membership import Membership, Message, Report, State, Update
from beechslip.duties.node import DutyNode
from beechslip.duties.peers import Peers
from beechslip.duties.settings import read_duties
from beechslip.duties.shared import SharedProber

FLEET = "test-fleet"


def _free_ports(count: int) -> list[int]:
    holders = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for holder in holders:
        holder.bind(("127.0.0.1", 0))
    ports = [holder.getsockname()[1] for holder in holders]
    for holder in holders:
        holder.close()
    return ports


async def _pass(clock: ManualClock, ms: float, step: float = 50.0) -> None:
    """Let ``ms`` pass on the clock, giving the loop a turn at each step so that datagrams arrive."""
    for _ in range(int(ms / step)):
        clock.advance(step)
        for _ in range(5):
            await asyncio.sleep(0)


@run
async def test_members_on_loopback_share_probes_and_take_over_from_one_that_stops() -> None:
    clock = ManualClock()
    names = [f"127.0.0.1:{port}" for port in _free_ports(4)]
    duties = tuple(f"box{n}" for n in range(12))
    done: dict[str, list[str]] = {name: [] for name in names}
    heard: dict[str, list[Report]] = {name: [] for name in names}
    peers: dict[str, Peers] = {}
    for name in names:
        async def work(duty: str, name: str = name) -> bool:
            done[name].append(duty)
            return True
        view = Membership(name, clock.now_ms(), tuple(names), incarnation=1)
        peers[name] = Peers(DutyNode(view, duties), FLEET, clock, Counters(), work, heard[name].append)
        await peers[name].start()
    try:
        await _pass(clock, 10_000)
        assert all(peers[n].counters["duties.received"] > 0 for n in names)
        recent = {n: len(done[n]) for n in names}
        await _pass(clock, 6_000)
        per_box = sum(len(done[n]) - recent[n] for n in names) / len(duties) / 6.0
        assert per_box < 0.8  # about one probe an interval (2 s), not one per member: 4 members
        assert all(heard[n] for n in names)  # each heard of probes that others made
        gone = names[0]
        peers[gone].stop()
        before = {n: len(done[n]) for n in names[1:]}
        await _pass(clock, 8_000)
        taken = {d for n in names[1:] for d in done[n][before[n]:]}
        assert taken == set(duties)  # the stopped member's boxes too
        assert all(peers[n].node.membership.state_of(gone) is State.DEAD for n in names[1:])
    finally:
        for name in names:
            peers[name].stop()


@run
async def test_bad_and_foreign_datagrams_are_counted_and_dropped() -> None:
    clock = ManualClock()
    (port,) = _free_ports(1)
    name = f"127.0.0.1:{port}"
    counters = Counters()

    async def work(duty: str) -> bool:
        return True
    peer = Peers(DutyNode(Membership(name, clock.now_ms()), ("a",)), FLEET, clock, counters, work, print)
    await peer.start()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        good = encode(Message("ping", "127.0.0.1:9", 1), FLEET)
        for data in (b"", b"\xff" * 40, good[:-3], encode(Message("ping", "x:9", 1), "other"), b"x" * 600):
            sender.sendto(data, ("127.0.0.1", port))
        for _ in range(50):
            await asyncio.sleep(0.001)  # real datagrams need real time to arrive; bounded
            if counters["duties.bad"] >= 4:
                break
        assert counters["duties.bad"] >= 4
    finally:
        sender.close()
        peer.stop()


_names = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=20)


@given(_names, st.integers(0, 2**40), st.lists(st.builds(Update, _names, st.integers(0, 2**50),
                                                         st.sampled_from(list(State))), max_size=6),
       st.lists(st.builds(Report, _names, _names, st.floats(0, 2e12), st.booleans(), st.booleans()),
                max_size=6))
def test_what_is_encoded_decodes_to_itself_within_the_bound(sender: str, seq: int, updates: list[Update],
                                                            reports: list[Report]) -> None:
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


def test_the_shipped_file_is_off_and_a_wrong_one_is_refused_by_name(tmp_path: Path) -> None:
    assert read_duties() is None  # deploy/duties.toml as shipped
    good = tmp_path / "duties.toml"
    good.write_text('enabled = true\nfleet = "f"\nlisten = "127.0.0.1:7946"\nseeds = ["127.0.0.1:7947"]\n'
                    "standbys = 1\nindirect = 5\nsuspect_ms = 3000\n")
    read = read_duties(good)
    assert read is not None and read.duty.k == 2 and read.tuning.indirect == 5
    assert read.tuning.suspect_ms == 3000.0 and read.seeds == ("127.0.0.1:7947",)
    for wrong, named in (('listen = "nowhere"', "address"), ("interval_ms = 0", "interval_ms"),
                         ("standbys = -1", "standbys"), ('seeds = "x"', "seeds")):
        bad = tmp_path / "bad.toml"
        bad.write_text(f'enabled = true\nlisten = "127.0.0.1:7946"\n{wrong}\n'.replace(
            'listen = "127.0.0.1:7946"\nlisten', "listen"))
        with pytest.raises(ConfigError, match=named):
            read_duties(bad)


class _Inner:
    """A prober stand-in: counts the probes it is asked for and answers ``ok``."""

    def __init__(self) -> None:
        self.probed: list[str] = []

    async def probe(self, depot: Depot) -> Ended:
        self.probed.append(depot.name)
        return Ended("ok")

    def follow(self, depots: object) -> None:
        pass


@run
async def test_a_fresh_report_of_another_answers_the_modules_probe_and_reaches_it() -> None:
    clock, posted, inner = ManualClock(), list[object](), _Inner()
    node = DutyNode(Membership("me", clock.now_ms(), ("other",)), ())
    shared = SharedProber(inner, node, clock, Counters(), posted.append)
    depots = [Depot(f"box{n}", f"127.0.0.1:{9000 + n}") for n in range(6)]
    shared.follow(depots)
    theirs = next(d for d in depots if node.rank(d.name) != 0)
    mine = next(d for d in depots if node.rank(d.name) == 0)
    now = clock.now_ms()
    node.receive(now, Message("report", "other", 0, reports=(Report(theirs.name, "other", now, True),
                                                              Report(mine.name, "other", now, True))))
    assert (await shared.probe(theirs)).result == "ok" and inner.probed == []  # answered by the report
    assert (await shared.probe(mine)).result == "ok" and inner.probed == [mine.name]  # an owner probes
    clock.advance(node.tuning.interval_ms + 1)
    await shared.probe(theirs)
    assert inner.probed == [mine.name, theirs.name]  # the report went stale
    shared.heard(Report(theirs.name, "other", now, False))
    assert posted == [i.ProbeResult(theirs.name, "error")]
