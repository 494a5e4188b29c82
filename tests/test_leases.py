"""Leases: two holders never act at once, in virtual time, over all interleavings, and piece by piece."""

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
from beechslip.fleet.codec import MOST_BYTES, CodecError, encode
from beechslip.fleet.messages import Message
from beechslip.fleet.settings import FleetConfig, read_fleet
from beechslip.leases.census import Census
from beechslip.leases.fence import MOST_NAMES, Fence
from beechslip.leases.messages import (
    MOST_NAME,
    MOST_ROUND,
    ActMessage,
    Kind,
    LeaseMessage,
    Verb,
    decode_act,
    decode_lease,
    encode_act,
    encode_lease,
)
from beechslip.leases.node import LeaseNode
from beechslip.leases.part import LeasePart
from beechslip.leases.paxos import Acceptor, LeaseTuning, Proposer
from beechslip.leases.quorum import adjoin, majority
from beechslip.leases.tasks import TaskRunner
from beechslip.peering_builder import build
from beechslip.platform.backends import BackendClient
from beechslip.routing.wire.settings import read_settings
from lab.check import check_leases
from lab.injected_faults import inject, registered
from lab.search import Bounds, Search
from lab.stand import SETTINGS
from lab.virtual import VirtualFleet, run_seed
from lab.virtual_plan import LEASE_TUNING, NetworkConditions, RunPlan, draw_plan

T = LeaseTuning(1000.0, 1000.0, 100.0, 0.01)

# Virtual time and the search ---------------------------------------------------------------------------------


def test_no_seed_finds_two_holders_or_a_falling_token() -> None:
    outcomes = [run_seed(seed) for seed in range(120)]
    assert [(o.seed, o.violations) for o in outcomes if o.violations] == []
    assert sum(o.handovers for o in outcomes) > 200 and sum(o.acts for o in outcomes) > 10_000  # not idle


# One seed that each injected fault is found by; any-promise needs an order too rare for seeds: the search has it.
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
def test_an_injected_fault_is_found_in_virtual_time(fault: str, seed: int, rule: str) -> None:
    assert any(v.startswith(rule) for v in run_seed(seed, fault).violations)
    assert run_seed(seed).violations == ()  # and it was the fault


def test_a_set_that_grows_without_naming_the_one_before_is_found() -> None:
    fleet = VirtualFleet(dataclasses.replace(draw_plan(63), names_earlier_set=False), 63)
    assert any(v.rule == "two-holders" for v in fleet.run().violations)
    assert run_seed(63).violations == ()


def test_a_run_replays_exactly_from_its_seed() -> None:
    assert run_seed(7) == run_seed(7)


def test_every_interleaving_within_bounds_has_one_holder() -> None:
    found = Search(Bounds(units=1, restarts=0)).run()
    assert found.is_complete and not found.violation and found.states > 50_000


@pytest.mark.parametrize("fault", ["no-quiet", "timer-at-answer", "any-promise"])
def test_the_search_finds_injected_faults(fault: str) -> None:
    with inject(fault):
        found = Search(Bounds(units=1, restarts=int(fault != "timer-at-answer"))).run(deep=True)
    assert "two holders" in found.violation


def test_a_dead_holder_is_followed_within_many_times_the_stated_bound() -> None:
    plan = RunPlan(5, ("t0",), 12_000.0, NetworkConditions(), [(4_000.0, "holder", [(0.0, "kill")])])
    fleet = VirtualFleet(plan, 1)
    fleet.keeps_events = True
    fleet.run()
    took = [e["t"] for e in fleet.events if e["kind"] == "hold" and e["t"] > 4_000]
    assert took and took[0] - 4_000 < 5 * LEASE_TUNING.lease_ms
    assert {e["member"] for e in fleet.events if e["kind"] == "hold" and e["t"] > 4_000} != {
        e["member"] for e in fleet.events if e["kind"] == "hold" and e["t"] < 4_000
    }


# The parts ---------------------------------------------------------------------------------------------------


def request(kind: Kind, round: int, **more: object) -> LeaseMessage:
    return LeaseMessage(kind, "x", round, 1, sets=(3,), **more)  # type: ignore[arg-type]


def test_an_acceptor_keeps_quiet_and_then_honours_what_it_accepted() -> None:
    acceptor = Acceptor("x", T, 1010.0, (3,), 50)

    def says(at: float, sender: str, message: LeaseMessage) -> Kind | None:
        reply = acceptor.answer(at, sender, message)
        return reply.kind if reply else None

    assert says(1009.0, "d0", request(Kind.PREPARE, 51)) is Kind.REFUSE  # quiet
    assert says(1010.0, "d0", request(Kind.PREPARE, 50)) is Kind.REFUSE  # no higher than what it knows
    assert (
        says(1010.0, "d0", request(Kind.PROPOSE, 51, lease_ms=1000.0)) is Kind.REFUSE
    )  # not promised in this incarnation
    assert says(1010.0, "d0", request(Kind.PREPARE, 51)) is Kind.PROMISE
    assert says(1010.0, "d0", request(Kind.PROPOSE, 51, lease_ms=1001.0)) is Kind.REFUSE  # over the longest
    assert says(1011.0, "d0", request(Kind.PROPOSE, 51, lease_ms=1000.0)) is Kind.ACCEPT
    assert says(2000.0, "d1", request(Kind.PREPARE, 99)) is Kind.REFUSE and acceptor.promised.member == "d0"  # type: ignore[union-attr]
    assert (
        says(2010.0, "d0", request(Kind.PROPOSE, 51, seq=1, lease_ms=1.0)) is Kind.ACCEPT
    )  # never shorter than before
    assert acceptor.in_force(2020.0) is not None and acceptor.in_force(2021.1) is None  # 1 % more than was asked
    assert says(2030.0, "d1", request(Kind.PREPARE, 99)) is Kind.PROMISE
    assert says(2031.0, "d1", request(Kind.PROPOSE, 99, lease_ms=1000.0)) is Kind.ACCEPT
    assert (
        says(2032.0, "d0", request(Kind.RELEASE, 51)) is None and acceptor.in_force(2033.0) is not None
    )  # a late one
    assert says(2034.0, "d1", request(Kind.RELEASE, 99)) is None and acceptor.in_force(2035.0) is None


def test_a_holder_counts_from_before_it_asked_and_only_who_had_opened() -> None:
    p = Proposer("d0", 1, "x", T, (3,), highest=5)
    assert {to for to, _ in p.begin(100.0)} == {"d0", "d1", "d2"}
    promise = LeaseMessage(Kind.PROMISE, "x", 6, 1, sets=(3,), open=True)
    assert p.receive(150.0, "d0", promise) == [] and len(p.receive(160.0, "d1", promise)) == 2
    accept = LeaseMessage(Kind.ACCEPT, "x", 6, 1, seq=1, sets=(3,))
    p.receive(170.0, "d2", accept)  # never opened
    p.receive(500.0, "d0", accept)
    assert p.held(500.0) is None
    p.receive(900.0, "d1", accept)
    assert p.held(900.0) == 6 and p.deadline_ms == 1160.0 and p.held(1060.0) is None  # less the margin
    late = Proposer("d0", 1, "x", T, (3,))
    late.begin(0.0)
    for name in ("d0", "d1"):
        late.receive(1.0, name, LeaseMessage(Kind.PROMISE, "x", 1, 1, sets=(3,), open=True))
    for name in ("d0", "d1"):
        late.receive(1002.0, name, LeaseMessage(Kind.ACCEPT, "x", 1, 1, seq=1, sets=(3,)))
    assert late.held(1002.0, 0.0) is None  # its own timer was over before they had all answered


def test_quorums_are_majorities_of_each_set_that_binds() -> None:
    assert majority((5,), {"d0", "d1", "d2"}) and not majority((5,), {"d0", "d1"})
    assert not majority((5, 8), {"d3", "d4", "d5", "d6", "d7"}) and majority((5, 8), {"d2", "d3", "d4", "d5", "d6"})
    assert not majority((4,), {"d0", "d1"})
    assert adjoin((5,), (8,)) == (8, 5) and adjoin((8,), (5, 8)) == (5, 8) and adjoin((8,), (8,)) == (8,)
    moved = Proposer("d0", 1, "x", T, (5,))
    moved.bind((8,))
    assert moved.sets == (5, 8)


def test_a_fence_refuses_lower_tokens_and_a_token_of_two() -> None:
    fence = Fence()
    assert fence.take("x", 5, "d1") and fence.take("x", 5, "d1") and fence.take("x", 7, "d2")
    assert not fence.take("x", 6, "d1") and not fence.take("x", 7, "d3") and fence.take("y", 1, "d3")
    for n in range(2 * MOST_NAMES):
        fence.take(f"n{n}", 1, "d1")
    assert len(fence.highest) == MOST_NAMES


def test_a_receiver_that_knows_a_higher_token_ends_a_holder_that_began_too_low() -> None:
    now = 5000.0
    node = LeaseNode("d0", (1,), ("census",), 0.0, 1, 3, T)
    runner = TaskRunner(node, [Census("d0", lambda: ["d1"], lambda: ("1", 2), 1000.0)], lambda *_, **__: None)
    node.tick(now)
    node.tick(now + 200)
    assert node.held("census", now + 200) == 4
    runner.receive(now + 200, "d1", ActMessage("census", 900, 1, Verb.REFUSED))
    assert node.held("census", now + 200) is None
    for n in range(40):
        node.tick(now + 250 + 50 * n)
    assert (node.proposers["census"].token or 0) > 900 and node.counts["census.lost"] == 1


def test_a_census_counts_all_that_answer_and_is_published_in_chunks() -> None:
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
            assert len(encode(Message("act", "d3", 0, body=encode_act(act)), "caroni-feeds")) <= MOST_BYTES
            if to != "d7":  # d7 is dead
                body = members[to].take(now, "d3", decode_act(encode_act(act)))
                members["d3"].answer(now, to, ActMessage("census", 9, act.seq, Verb.TAKEN, body))
    for name in set(names) - {"d7"}:
        one = members[name]
        assert set(one.published) == set(range(25)) - {7} and one.missing == 0 and one.token == 9
        assert one.published[20] == ("0.1.0", 20)
    assert members["d7"].published == {}


def test_checkers_pass_what_is_right_and_name_what_is_not() -> None:
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
    let_go = {"t": 80, "member": "d0", "life": 1, "kind": "released", "name": "x", "token": 1}
    assert check_leases([second, let_go, first]).violations == []
    assert [v.rule for v in check_leases([first, hold(150, "d1", 1, 300)]).violations] == ["token-falls"]


# Bad input ---------------------------------------------------------------------------------------------------

_name = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=MOST_NAME)
_lease = st.builds(
    LeaseMessage,
    st.sampled_from(Kind),
    _name,
    st.integers(1, MOST_ROUND - 1),
    st.integers(0, 2**63 - 1),
    st.integers(0, 2**31),
    st.lists(st.integers(1, 500), max_size=4).map(tuple),
    st.booleans(),
    st.integers(0, MOST_ROUND - 1),
    st.floats(0, 1e6),
    st.booleans(),
    _name,
)


@given(_lease)
def test_a_lease_message_goes_through_its_bytes_within_the_bound(message: LeaseMessage) -> None:
    body = encode_lease(message)
    assert decode_lease(body) == message
    assert len(encode(Message("lease", "d199", 0, body=body), "caroni-feeds")) <= MOST_BYTES


@given(st.binary(max_size=200))
def test_any_body_is_read_or_counted_and_changes_nothing(data: bytes) -> None:
    for decode in (decode_lease, decode_act):
        with contextlib.suppress(CodecError):  # anything else (a crash) fails the test
            decode(data)
    clock, counters = ManualClock(), Counters()
    node = LeaseNode("d0", (3,), ("x",), clock.steady_ms(), 1, tuning=T)
    part = LeasePart(node, TaskRunner(node, [], lambda *_, **__: None), None, clock, counters)
    part.receive(clock.steady_ms(), Message("lease", "d1", 0, body=data))
    part.receive(clock.steady_ms(), Message("act", "d1", 0, body=data))
    assert node.held("x", clock.steady_ms()) is None and set(node.proposers) == {"x"}


def test_every_injected_fault_says_what_it_is_and_is_reverted() -> None:
    before = {n: (Proposer.__dict__["held"], Acceptor.__dict__["answer"]) for n in registered("leases")}
    for name, fault in registered("leases").items():
        with inject(name):
            assert fault.description
        assert (Proposer.__dict__["held"], Acceptor.__dict__["answer"]) == before[name]


# A reload ----------------------------------------------------------------------------------------------------

HEAD = 'enabled = true\nnumber = 0\npeers = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]\n'


def _fleet(folder: Path, text: str) -> FleetConfig:
    path = folder / "fleet.toml"
    path.write_text(HEAD + text)
    fleet = read_fleet(path, Config("n", Address("127.0.0.1", 9), 0, read_settings(SETTINGS)))
    assert fleet is not None
    return fleet


def test_a_reload_moves_to_another_set_by_both_and_refuses_what_binds_from_a_start(tmp_path: Path) -> None:
    lease = "[leases]\nenabled = true\ndrills = ['x']\n"
    clock, config = ManualClock(), Config("n", Address("127.0.0.1", 9), 0, read_settings(SETTINGS))
    nobody = cast(BackendClient, None)
    peering = build(_fleet(tmp_path, lease + "members = 3\n"), config, nobody, clock, Counters(), print)
    assert peering.leases is not None
    node = peering.leases.node
    for text, named in ((lease + "longest_ms = 9000\n", "longest_ms"), (lease + "drift = 0.1\n", "drift")):
        with pytest.raises(ConfigError, match=named):
            peering.reload(_fleet(tmp_path, text), config.settings)
    with pytest.raises(ConfigError, match="number"):
        peering.reload(dataclasses.replace(_fleet(tmp_path, lease), number=1), config.settings)
    assert node.proposers["x"].sets == node.acceptors["x"].sets == (3,)
    peering.reload(_fleet(tmp_path, lease + "members = 4\n"), config.settings)
    assert node.proposers["x"].sets == node.acceptors["x"].sets == (3, 4)
    for members in (2, 1):
        peering.reload(_fleet(tmp_path, lease + f"members = {members}\n"), config.settings)
    with pytest.raises(ConfigError, match="under way"):
        peering.reload(_fleet(tmp_path, lease + "members = 3\n"), config.settings)
    page = peering.leases.state()
    assert page["member"] == "d0" and page["leases"]["x"]["sets"] == [3, 4, 2, 1]  # type: ignore[index]
