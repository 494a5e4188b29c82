"""Tests of the leases: in virtual time, by a search over all interleavings, and of each class by itself."""

from __future__ import annotations

import contextlib
import dataclasses
from pathlib import Path
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechslip.clock import ManualClock
from beechslip.config import Address, Config, ConfigError
from beechslip.counters import Counters
from beechslip.fleet.codec import MAX_DATAGRAM_BYTES, CodecError, encode
from beechslip.fleet.messages import PeerMessage
from beechslip.fleet.settings import FleetConfig, read_fleet
from beechslip.leases.census import Census
from beechslip.leases.fence import MAX_TASKS, Fence
from beechslip.leases.messages import (
    MAX_NAME_LENGTH,
    MAX_ROUND,
    ActMessage,
    ActMessageKind,
    LeaseMessage,
    LeaseMessageKind,
    decode_act,
    decode_lease,
    encode_act,
    encode_lease,
)
from beechslip.leases.node import LeaseNode
from beechslip.leases.part import LeasePart
from beechslip.leases.paxos import Acceptor, LeaseTuning, Proposer
from beechslip.leases.quorum import is_quorum, merge_sets
from beechslip.leases.tasks import TaskRunner
from beechslip.peering_builder import build_peering
from beechslip.platform.backends import BackendClient
from beechslip.routing.wire.settings import read_settings
from lab.check import check_leases
from lab.injected_faults import inject, registered
from lab.search import Bounds, Search
from lab.stand import SETTINGS
from lab.virtual import VirtualFleet, run_seed
from lab.virtual_plan import LEASE_TUNING, NetworkConditions, RunPlan, draw_plan

TUNING = LeaseTuning(1000.0, 1000.0, 100.0, 0.01)

# Virtual time and the search ---------------------------------------------------------------------------------


def test_runs_in_virtual_time_have_no_two_holders_and_no_falling_token() -> None:
    outcomes = [run_seed(seed) for seed in range(120)]
    assert [(o.seed, o.violations) for o in outcomes if o.violations] == []
    # The runs must have done something.
    assert sum(o.handovers for o in outcomes) > 200 and sum(o.acts for o in outcomes) > 10_000


# One seed for each injected fault that finds it. Only the search finds any-promise: the order of events that it needs
# is too rare for a seed.
@pytest.mark.parametrize(
    ("fault", "seed", "rule"),
    [
        ("no-quiet", 4, "two-holders"),
        ("timer-at-answer", 16, "two-holders"),
        ("majority-of-living", 0, "two-holders"),
        ("no-guard", 0, "act-unheld"),
        ("no-fence", 0, "stale-act"),
        ("one-set", 69, "two-holders"),
        ("low-tokens", 4, "token-falls"),
    ],
)
def test_a_run_in_virtual_time_finds_the_injected_fault(fault: str, seed: int, rule: str) -> None:
    assert any(v.startswith(rule) for v in run_seed(seed, fault).violations)
    assert run_seed(seed).violations == ()  # without the fault nothing is found


def test_a_run_finds_two_holders_if_a_member_set_grows_without_naming_the_previous_one() -> None:
    fleet = VirtualFleet(dataclasses.replace(draw_plan(63), names_earlier_set=False), 63)
    assert any(v.rule == "two-holders" for v in fleet.run().violations)
    assert run_seed(63).violations == ()


def test_a_run_is_reproduced_exactly_by_its_seed() -> None:
    assert run_seed(7) == run_seed(7)


def test_search_finds_at_most_one_holder_in_every_interleaving_within_bounds() -> None:
    found = Search(Bounds(units=1, restarts=0)).run()
    assert found.is_complete and not found.violation and found.states > 50_000


@pytest.mark.parametrize("fault", ["no-quiet", "timer-at-answer", "any-promise"])
def test_search_finds_the_injected_fault(fault: str) -> None:
    with inject(fault):
        found = Search(Bounds(units=1, restarts=int(fault != "timer-at-answer"))).run(deep=True)
    assert "two holders" in found.violation


def test_another_member_takes_the_lease_of_a_dead_holder_within_five_lease_times() -> None:
    plan = RunPlan(5, ("t0",), 12_000.0, NetworkConditions(), [(4_000.0, "holder", [(0.0, "kill")])])
    fleet = VirtualFleet(plan, 1)
    fleet.keeps_events = True
    fleet.run()
    taken_at_ms = [e["t"] for e in fleet.events if e["kind"] == "hold" and e["t"] > 4_000]
    assert taken_at_ms and taken_at_ms[0] - 4_000 < 5 * LEASE_TUNING.lease_ms
    assert {e["member"] for e in fleet.events if e["kind"] == "hold" and e["t"] > 4_000} != {
        e["member"] for e in fleet.events if e["kind"] == "hold" and e["t"] < 4_000
    }


# Single classes ----------------------------------------------------------------------------------------------


def make_request(kind: LeaseMessageKind, round: int, **more: object) -> LeaseMessage:
    return LeaseMessage(kind, "x", round, 1, sets=(3,), **more)  # type: ignore[arg-type]


def test_acceptor_refuses_while_quiet_and_then_keeps_to_what_it_accepted() -> None:
    acceptor = Acceptor("x", TUNING, 1010.0, (3,), 50)

    def reply_kind(at: float, sender: str, message: LeaseMessage) -> LeaseMessageKind | None:
        reply = acceptor.handle_request(at, sender, message)
        return reply.kind if reply else None

    assert reply_kind(1009.0, "d0", make_request(LeaseMessageKind.PREPARE, 51)) is LeaseMessageKind.REFUSE  # quiet
    # The round is not above the highest round that it knows.
    assert reply_kind(1010.0, "d0", make_request(LeaseMessageKind.PREPARE, 50)) is LeaseMessageKind.REFUSE
    # The ballot was not promised in this incarnation.
    assert (
        reply_kind(1010.0, "d0", make_request(LeaseMessageKind.PROPOSE, 51, lease_ms=1000.0))
        is LeaseMessageKind.REFUSE
    )
    assert reply_kind(1010.0, "d0", make_request(LeaseMessageKind.PREPARE, 51)) is LeaseMessageKind.PROMISE
    # The lease time is above the longest one.
    assert (
        reply_kind(1010.0, "d0", make_request(LeaseMessageKind.PROPOSE, 51, lease_ms=1001.0))
        is LeaseMessageKind.REFUSE
    )
    assert (
        reply_kind(1011.0, "d0", make_request(LeaseMessageKind.PROPOSE, 51, lease_ms=1000.0))
        is LeaseMessageKind.ACCEPT
    )
    assert (
        reply_kind(2000.0, "d1", make_request(LeaseMessageKind.PREPARE, 99)) is LeaseMessageKind.REFUSE
        and acceptor.promised.member == "d0"  # type: ignore[union-attr]
    )
    # A shorter lease time does not shorten the lease, which lasts 1 % longer than requested.
    assert (
        reply_kind(2010.0, "d0", make_request(LeaseMessageKind.PROPOSE, 51, seq=1, lease_ms=1.0))
        is LeaseMessageKind.ACCEPT
    )
    assert acceptor.ballot_in_force(2020.0) is not None and acceptor.ballot_in_force(2021.1) is None
    assert reply_kind(2030.0, "d1", make_request(LeaseMessageKind.PREPARE, 99)) is LeaseMessageKind.PROMISE
    assert (
        reply_kind(2031.0, "d1", make_request(LeaseMessageKind.PROPOSE, 99, lease_ms=1000.0))
        is LeaseMessageKind.ACCEPT
    )
    # A late release of an earlier ballot changes nothing.
    assert (
        reply_kind(2032.0, "d0", make_request(LeaseMessageKind.RELEASE, 51)) is None
        and acceptor.ballot_in_force(2033.0) is not None
    )
    assert (
        reply_kind(2034.0, "d1", make_request(LeaseMessageKind.RELEASE, 99)) is None
        and acceptor.ballot_in_force(2035.0) is None
    )


def test_proposer_counts_the_lease_time_from_before_its_request_and_only_accepts_of_open_acceptors() -> None:
    proposer = Proposer("d0", 1, "x", TUNING, (3,), highest=5)
    assert {to for to, _ in proposer.start_attempt(100.0)} == {"d0", "d1", "d2"}
    promise = LeaseMessage(LeaseMessageKind.PROMISE, "x", 6, 1, sets=(3,), open=True)
    assert proposer.receive(150.0, "d0", promise) == [] and len(proposer.receive(160.0, "d1", promise)) == 2
    accept = LeaseMessage(LeaseMessageKind.ACCEPT, "x", 6, 1, seq=1, sets=(3,))
    proposer.receive(170.0, "d2", accept)  # it did not send an open promise
    proposer.receive(500.0, "d0", accept)
    assert proposer.held_token(500.0) is None
    proposer.receive(900.0, "d1", accept)
    # The lease counts as held until the margin before its deadline.
    assert proposer.held_token(900.0) == 6 and proposer.deadline_ms == 1160.0 and proposer.held_token(1060.0) is None
    late = Proposer("d0", 1, "x", TUNING, (3,))
    late.start_attempt(0.0)
    for name in ("d0", "d1"):
        late.receive(1.0, name, LeaseMessage(LeaseMessageKind.PROMISE, "x", 1, 1, sets=(3,), open=True))
    for name in ("d0", "d1"):
        late.receive(1002.0, name, LeaseMessage(LeaseMessageKind.ACCEPT, "x", 1, 1, seq=1, sets=(3,)))
    assert late.held_token(1002.0, 0.0) is None  # its timer was over before a majority had answered


def test_quorum_is_a_majority_of_each_binding_set() -> None:
    assert is_quorum((5,), {"d0", "d1", "d2"}) and not is_quorum((5,), {"d0", "d1"})
    assert not is_quorum((5, 8), {"d3", "d4", "d5", "d6", "d7"}) and is_quorum((5, 8), {"d2", "d3", "d4", "d5", "d6"})
    assert not is_quorum((4,), {"d0", "d1"})
    assert merge_sets((5,), (8,)) == (8, 5) and merge_sets((8,), (5, 8)) == (5, 8) and merge_sets((8,), (8,)) == (8,)
    growing = Proposer("d0", 1, "x", TUNING, (5,))
    growing.add_sets((8,))
    assert growing.sets == (5, 8)


def test_fence_refuses_lower_tokens_and_the_same_token_of_a_second_holder() -> None:
    fence = Fence()
    assert fence.accept("x", 5, "d1") and fence.accept("x", 5, "d1") and fence.accept("x", 7, "d2")
    assert not fence.accept("x", 6, "d1") and not fence.accept("x", 7, "d3") and fence.accept("y", 1, "d3")
    for n in range(2 * MAX_TASKS):
        fence.accept(f"n{n}", 1, "d1")
    assert len(fence.highest) == MAX_TASKS


def test_holder_loses_the_lease_if_a_receiver_knows_a_higher_token() -> None:
    now = 5000.0
    node = LeaseNode("d0", (1,), ("census",), 0.0, 1, 3, TUNING)
    runner = TaskRunner(node, [Census("d0", lambda: ["d1"], lambda: ("1", 2), 1000.0)], lambda *_, **__: None)
    node.tick(now)
    node.tick(now + 200)
    assert node.held_token("census", now + 200) == 4
    runner.receive(now + 200, "d1", ActMessage("census", 900, 1, ActMessageKind.REFUSED))
    assert node.held_token("census", now + 200) is None
    for n in range(40):
        node.tick(now + 250 + 50 * n)
    assert (node.proposers["census"].token or 0) > 900 and node.counts["census.lost"] == 1


def test_census_collects_all_answers_and_is_published_in_chunks() -> None:
    names = [f"d{n}" for n in range(25)]
    members = {
        name: Census(
            name,
            lambda name=name: [n for n in names if n != name],  # type: ignore[misc]
            lambda name=name: ("0.1.0", int(name[1:])),
            1000.0,
            100.0,
        )
        for name in names
    }  # type: ignore[misc]
    now = 0.0
    for _ in range(20):
        now += 50.0
        for to, act in members["d3"].step(now, 9):
            assert (
                len(encode(PeerMessage("act", "d3", 0, body=encode_act(act)), "caroni-feeds")) <= MAX_DATAGRAM_BYTES
            )
            if to != "d7":  # d7 is dead
                body = members[to].execute(now, "d3", decode_act(encode_act(act)))
                members["d3"].handle_answer(now, to, ActMessage("census", 9, act.seq, ActMessageKind.TAKEN, body))
    for name in set(names) - {"d7"}:
        member = members[name]
        assert (
            set(member.published_entries) == set(range(25)) - {7} and member.missing_count == 0 and member.token == 9
        )
        assert member.published_entries[20] == ("0.1.0", 20)
    assert members["d7"].published_entries == {}


def test_lease_checker_accepts_valid_histories_and_names_the_violated_rule() -> None:
    def hold(t: float, who: str, token: int, until: float) -> dict[str, object]:
        return {
            "t": t,
            "member": who,
            "life": 1,
            "kind": "hold",
            "name": "x",
            "token": token,
            "until": until,
            "valid": until - 10,
        }

    first, second = hold(0, "d0", 1, 100), hold(90, "d1", 2, 200)
    assert [v.rule for v in check_leases([first, second]).violations] == ["two-holders"]
    released = {"t": 80, "member": "d0", "life": 1, "kind": "released", "name": "x", "token": 1}
    assert check_leases([second, released, first]).violations == []
    assert [v.rule for v in check_leases([first, hold(150, "d1", 1, 300)]).violations] == ["token-falls"]


# Invalid input -----------------------------------------------------------------------------------------------

_names = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=MAX_NAME_LENGTH)
_lease_messages = st.builds(
    LeaseMessage,
    st.sampled_from(LeaseMessageKind),
    _names,
    st.integers(1, MAX_ROUND - 1),
    st.integers(0, 2**63 - 1),
    st.integers(0, 2**31),
    st.lists(st.integers(1, 500), max_size=4).map(tuple),
    st.booleans(),
    st.integers(0, MAX_ROUND - 1),
    st.floats(0, 1e6),
    st.booleans(),
    _names,
)


@given(_lease_messages)
def test_lease_message_is_decoded_as_encoded_and_fits_a_datagram(message: LeaseMessage) -> None:
    body = encode_lease(message)
    assert decode_lease(body) == message
    assert len(encode(PeerMessage("lease", "d199", 0, body=body), "caroni-feeds")) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=200))
def test_any_body_is_decoded_or_counted_and_changes_nothing(data: bytes) -> None:
    for decode in (decode_lease, decode_act):
        with contextlib.suppress(CodecError):  # any other exception fails the test
            decode(data)
    clock, counters = ManualClock(), Counters()
    node = LeaseNode("d0", (3,), ("x",), clock.steady_ms(), 1, tuning=TUNING)
    part = LeasePart(node, TaskRunner(node, [], lambda *_, **__: None), None, clock, counters)
    part.receive(clock.steady_ms(), PeerMessage("lease", "d1", 0, body=data))
    part.receive(clock.steady_ms(), PeerMessage("act", "d1", 0, body=data))
    assert node.held_token("x", clock.steady_ms()) is None and set(node.proposers) == {"x"}


def test_every_injected_fault_has_a_description_and_is_reverted() -> None:
    before = {n: (Proposer.__dict__["held_token"], Acceptor.__dict__["handle_request"]) for n in registered("leases")}
    for name, fault in registered("leases").items():
        with inject(name):
            assert fault.description
        assert (Proposer.__dict__["held_token"], Acceptor.__dict__["handle_request"]) == before[name]


# A reload ----------------------------------------------------------------------------------------------------

FLEET_HEADER = 'enabled = true\nnumber = 0\npeers = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]\n'


def _read_fleet_file(folder: Path, text: str) -> FleetConfig:
    path = folder / "fleet.toml"
    path.write_text(FLEET_HEADER + text)
    fleet = read_fleet(path, Config("n", Address("127.0.0.1", 9), 0, read_settings(SETTINGS)))
    assert fleet is not None
    return fleet


def test_reload_changes_the_member_set_by_way_of_both_and_refuses_settings_fixed_at_start(tmp_path: Path) -> None:
    lease = "[leases]\nenabled = true\ndrills = ['x']\n"
    clock, config = ManualClock(), Config("n", Address("127.0.0.1", 9), 0, read_settings(SETTINGS))
    no_client = cast(BackendClient, None)
    peering = build_peering(
        _read_fleet_file(tmp_path, lease + "members = 3\n"), config, no_client, clock, Counters(), print
    )
    assert peering.leases is not None
    node = peering.leases.node
    for text, named in ((lease + "longest_ms = 9000\n", "longest_ms"), (lease + "drift = 0.1\n", "drift")):
        with pytest.raises(ConfigError, match=named):
            peering.reload(_read_fleet_file(tmp_path, text), config.settings)
    with pytest.raises(ConfigError, match="number"):
        peering.reload(dataclasses.replace(_read_fleet_file(tmp_path, lease), number=1), config.settings)
    assert node.proposers["x"].sets == node.acceptors["x"].sets == (3,)
    peering.reload(_read_fleet_file(tmp_path, lease + "members = 4\n"), config.settings)
    assert node.proposers["x"].sets == node.acceptors["x"].sets == (3, 4)
    for members in (2, 1):
        peering.reload(_read_fleet_file(tmp_path, lease + f"members = {members}\n"), config.settings)
    with pytest.raises(ConfigError, match="under way"):
        peering.reload(_read_fleet_file(tmp_path, lease + "members = 3\n"), config.settings)
    page = peering.leases.state()
    assert page["member"] == "d0" and page["leases"]["x"]["sets"] == [3, 4, 2, 1]  # type: ignore[index]
