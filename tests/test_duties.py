"""Shared periodic duties under the failures they are for, on the fleet stand-in's settable clock."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from beechslip.duties.assign import Assignment, ranking, weight
from beechslip.duties.node import DutyNode
from beechslip.duties.reports import ReportQueue
from beechslip.duties.sim import Fleet, Net
from beechslip.duties.token_bucket import TokenBucket
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.dissemination import UpdateQueue
from beechslip.fleet.member import Member, overrides, suspicion_ms
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import DutyReport, MemberState, MemberUpdate, PeerMessage
from beechslip.fleet.tuning import MembershipTuning

INTERVAL = DutyTuning().interval_ms
DETECT = 6 * MembershipTuning().period_ms + MembershipTuning().suspect_ms  # stated failure-detection bound
BOUND = 2 * INTERVAL + DETECT


# Steady state ---------------------------------------------------------------------------------------------


def test_every_backend_is_checked_each_interval_by_about_one_member() -> None:
    fleet = Fleet(20, 40, seed=3)
    fleet.run_until(20_000)
    assert fleet.longest_gap(5_000) <= INTERVAL * 1.25
    assert fleet.duplicate_fraction(5_000) < 0.05
    assert fleet.duty_rate(5_000) < 1.2 * 1000 / INTERVAL  # baseline: 20 members, 20 times as much


def test_a_run_replays_exactly_from_its_seed() -> None:
    one, two = Fleet(10, 10, seed=9, net=Net(loss=0.2)), Fleet(10, 10, seed=9, net=Net(loss=0.2))
    one.run_until(8_000)
    two.run_until(8_000)
    assert one.starts == two.starts and one.lost == two.lost > 0


# Deaths ---------------------------------------------------------------------------------------------------


def test_half_the_members_die_together_and_no_backend_waits_past_the_bound() -> None:
    fleet = Fleet(30, 60, seed=5)
    fleet.run_until(10_000)
    dying = fleet.names[::2]
    fleet.kill(dying)
    fleet.run_until(30_000)
    assert fleet.longest_gap(10_000) <= BOUND
    alive = set(fleet.alive_names())
    for name in alive:
        assert set(fleet.nodes[name].membership.alive_members()) == alive  # every death found and agreed
    assert fleet.duplicate_fraction(22_000) < 0.05


def test_without_takeover_by_standbys_the_gap_would_be_longer() -> None:
    # The same deaths with standbys that never step in early: coverage then waits for confirmed deaths.
    slow = DutyTuning(takeover_ms=1e9, k=1)
    fleet = Fleet(30, 60, seed=5, duty_tuning=slow)
    fleet.run_until(10_000)
    fleet.kill(fleet.names[::2])
    fleet.run_until(30_000)
    quick = Fleet(30, 60, seed=5)
    quick.run_until(10_000)
    quick.kill(quick.names[::2])
    quick.run_until(30_000)
    assert quick.longest_gap(10_000) < fleet.longest_gap(10_000)


def test_a_restarted_member_comes_back_with_a_new_incarnation_and_takes_its_duties() -> None:
    fleet = Fleet(12, 24, seed=2)
    fleet.run_until(5_000)
    fleet.kill(["d003"])
    fleet.run_until(15_000)
    assert all("d003" not in fleet.nodes[n].membership.alive_members() for n in fleet.alive_names())
    fleet.restart("d003")
    fleet.run_until(25_000)
    assert all("d003" in fleet.nodes[n].membership.alive_members() for n in fleet.alive_names())
    assert any(name == "d003" for at, name, _ in fleet.starts if at > 20_000)
    assert fleet.duplicate_fraction(20_000) < 0.05


# Lost and late messages, cuts, pauses ---------------------------------------------------------------------


def test_thirty_percent_loss_and_late_messages_keep_coverage_and_duplicates_within_a_fifth() -> None:
    # The lossy-network tuning of docs/ops/duties.md: more helpers for indirect pings, longer suspicion.
    lossy = MembershipTuning(indirect=5, suspect_ms=3_000)
    fleet = Fleet(20, 40, seed=4, net=Net(loss=0.3, late_fraction=0.1, late_ms=2_000), tuning=lossy)
    fleet.run_until(30_000)
    assert fleet.longest_gap(5_000) <= 2 * INTERVAL + 6 * lossy.period_ms + lossy.suspect_ms
    assert fleet.duplicate_fraction(5_000) < 0.2


def test_a_cut_in_two_halves_covers_both_sides_and_heals() -> None:
    fleet = Fleet(20, 40, seed=6)
    fleet.run_until(5_000)
    fleet.cut({name: n % 2 for n, name in enumerate(fleet.names)})
    fleet.run_until(20_000)
    for side in (0, 1):
        members = fleet.names[side::2]
        checked = {duty for at, name, duty in fleet.starts if at > 15_000 and name in members}
        assert checked == set(fleet.duties)  # each half alone looks after every backend
    fleet.cut({})
    fleet.run_until(45_000)
    assert fleet.longest_gap(5_000) <= BOUND
    assert fleet.duplicate_fraction(38_000) < 0.05  # healed: one view again


def test_a_paused_member_comes_back_refutes_its_death_and_duplicates_fade() -> None:
    fleet = Fleet(12, 24, seed=8)
    fleet.run_until(5_000)
    before = fleet.nodes["d005"].membership.incarnation
    fleet.pause(["d005"])
    fleet.run_until(12_000)
    fleet.resume(["d005"])
    fleet.run_until(25_000)
    assert fleet.nodes["d005"].membership.incarnation > before
    assert all("d005" in fleet.nodes[n].membership.alive_members() for n in fleet.names)
    assert fleet.longest_gap(5_000) <= BOUND
    assert fleet.duplicate_fraction(18_000) < 0.05


def test_two_members_that_both_own_a_duty_find_out_and_one_yields() -> None:
    # x takes y for dead (an old update); y has never heard of x: both take themselves for the owner of every duty.
    duties = tuple(f"box{n}" for n in range(8))
    x_view = Membership("x", 0.0, ("y",))
    x_view._merge(MemberUpdate("y", 0, MemberState.DEAD), 0.0)
    one, two = DutyNode(x_view, duties), DutyNode(Membership("y", 0.0), duties)
    assert one.owned() == two.owned() == sorted(duties)
    for node in (one, two):
        _, started = node.tick(2_000.0)
        assert set(started) == set(duties)
        for duty in duties:
            node.done(2_010.0, duty, True)
    one.receive(2_200.0, PeerMessage("report", "y", 0, reports=tuple(two.latest_reports[d] for d in duties)))
    two.receive(2_200.0, PeerMessage("report", "x", 0, reports=tuple(one.latest_reports[d] for d in duties)))
    y_wins = [d for d in duties if weight(d, "y") > weight(d, "x")]
    assert y_wins and len(y_wins) < len(duties)
    for duty in duties:
        if duty in y_wins:
            assert one.leases[duty].holder == "y"  # x yields by lease, though its view still holds y dead
        else:
            assert two.rank(duty) == 1  # y, now knowing x, stands by
    _, later_one = one.tick(4_500.0)
    _, later_two = two.tick(4_500.0)
    assert not set(later_one) & set(later_two)  # no duty is done twice
    assert set(later_one) | set(later_two) == set(duties)


# Pieces ---------------------------------------------------------------------------------------------------


def test_rendezvous_moves_only_the_dead_members_duties() -> None:
    members = [f"m{n}" for n in range(10)]
    duties = [f"box{n}" for n in range(300)]
    before, after = Assignment(duties, members), Assignment(duties, members[1:])
    moved = sorted(d for d in duties if before.owner(d) != after.owner(d))
    assert moved == before.owned_by("m0")
    assert all(after.owner(d) == before.ranked(d)[1] for d in moved)  # to the first standby
    counts = [len(before.owned_by(m)) for m in members]
    assert max(counts) < 2.2 * 300 / 10
    assert ranking("box1", members, 3) == ranking("box1", list(reversed(members)), 3)


_updates = st.lists(
    st.builds(MemberUpdate, st.just("peer"), st.integers(0, 4), st.sampled_from(list(MemberState))),
    min_size=1,
    max_size=12,
)


@given(_updates, st.randoms(use_true_random=False))
def test_the_state_reached_does_not_depend_on_the_order_updates_come_in(
    updates: list[MemberUpdate], rng: random.Random
) -> None:
    def merged(order: list[MemberUpdate]) -> tuple[int, MemberState] | None:
        view = Membership("me", 0.0, ("peer",))
        for update in order:
            view._merge(update, 0.0)
        member = view.members.get("peer")
        return (member.incarnation, member.state) if member else None

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert merged(updates) == merged(shuffled)


def test_swim_precedence() -> None:
    alive, suspect, dead = MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD
    assert overrides(MemberUpdate("p", 1, suspect), Member("p", 1, alive, 0))
    assert not overrides(MemberUpdate("p", 1, alive), Member("p", 1, suspect, 0))
    assert overrides(MemberUpdate("p", 2, alive), Member("p", 1, suspect, 0))
    assert overrides(MemberUpdate("p", 1, dead), Member("p", 1, suspect, 0))
    assert not overrides(MemberUpdate("p", 1, dead), Member("p", 2, alive, 0))  # an old update of a restarted one


def test_a_member_that_hears_itself_suspected_refutes() -> None:
    view = Membership("me", 0.0, ("a",))
    view.receive(10.0, PeerMessage("ping", "a", 1, updates=(MemberUpdate("me", 0, MemberState.SUSPECT),)))
    assert view.incarnation == 1 and view.counts["refuted"] == 1


def test_updates_go_out_a_bounded_number_of_times_the_receivers_own_first() -> None:
    queue = UpdateQueue(retransmit_factor=1.0)
    first, second = MemberUpdate("a", 1, MemberState.ALIVE), MemberUpdate("b", 1, MemberState.SUSPECT)
    queue.add(first, 3)  # log2(4): twice
    queue.add_once(second)
    queue.add_if_absent(MemberUpdate("b", 0, MemberState.DEAD))
    assert queue.take("b", 1) == (second,) and queue.take("c", 5) == (first,) and queue.take("c", 5) == (first,)
    assert not queue and queue.take("c", 5) == ()


def test_the_newest_reports_go_first_and_an_older_one_replaces_nothing() -> None:
    reports = ReportQueue(copies=2, per_message=1)
    newer, older = DutyReport("x", "m", 20.0, True), DutyReport("y", "m", 10.0, True)
    for report in (older, newer, DutyReport("x", "n", 15.0, False)):
        reports.add(report)
    assert [reports.take() for _ in range(5)] == [(newer,), (newer,), (older,), (older,), ()]
    reports.add(newer)
    reports.retain({"y"})
    assert not reports


def test_a_bucket_gives_its_burst_and_then_its_rate_and_no_token_for_a_clock_that_went_back() -> None:
    bucket = TokenBucket(rate_per_s=10.0, burst=2.0, now_ms=1_000.0)
    assert [bucket.take() for _ in range(3)] == [True, True, False]
    bucket.refill(500.0)
    assert not bucket.take()
    bucket.refill(600.0)
    assert bucket.take() and not bucket.take()
    bucket.refill(10_000.0)
    assert [bucket.take() for _ in range(3)] == [True, True, False]


def test_a_suspicion_ends_sooner_the_more_members_accuse() -> None:
    tuning = MembershipTuning(suspect_ms=1_000.0, suspect_most_ms=4_000.0, accusers=3)
    times = [
        suspicion_ms(Member("p", 1, MemberState.SUSPECT, 0.0, frozenset("abcdef"[:accusers])), tuning)
        for accusers in range(1, 6)
    ]
    assert times[0] == 4_000.0 and times[1] == 2_500.0 and times[3] == times[4] == 1_000.0
    alone = MembershipTuning(suspect_ms=1_000.0, suspect_most_ms=4_000.0, accusers=0)
    assert suspicion_ms(Member("p", 1, MemberState.SUSPECT, 0.0), alone) == 1_000.0


def test_tables_are_bounded() -> None:
    view = Membership("me", 0.0, tuning=MembershipTuning(max_members=5, forget_ms=1_000))
    for n in range(20):
        view.receive(1.0, PeerMessage("ack", f"p{n}", 0))
    assert len(view.members) == 5 and view.counts["members_over_bound"] == 15
    for name in list(view.members):
        view._merge(MemberUpdate(name, 0, MemberState.DEAD), 2.0)
    view.tick(5_000.0)
    assert not view.members
    node = DutyNode(Membership("me", 0.0), ("a", "b", "c"))
    node.tick(3_000.0)
    for duty in ("a", "b", "c"):
        node.done(3_010.0, duty, True)
    node.set_duties(("a",))
    assert set(node.last_done_ms) == {"a"} and node._reports.duties() == {"a"}
