"""Duties over real UDP sockets on loopback, and the codec against bad, cut and foreign datagrams."""
from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from stand import run

from beechslip.clock import ManualClock
from beechslip.counters import Counters
from beechslip.duties.codec import MOST_BYTES, CodecError, decode, encode
from beechslip.duties.membership import Membership, Message, Report, State, Update
from beechslip.duties.node import DutyNode
from beechslip.duties.peers import Peers

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
