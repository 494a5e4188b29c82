"""Tests of the shared periodic duties under the failures that they are meant for.

They use a simulated fleet on a settable clock.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from beechslip.duties.assign import DutyAssignment, rank_members, rendezvous_weight
from beechslip.duties.node import DutyNode
from beechslip.duties.reports import ReportQueue
from beechslip.duties.sim import NetworkFaults, SimulatedFleet
from beechslip.duties.token_bucket import TokenBucket
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.dissemination import UpdateQueue
from beechslip.fleet.member import Member, overrides, suspicion_ms
from beechslip.fleet.membership import Membership
from beechslip.fleet.messages import DutyReport, MemberState, MemberUpdate, PeerMessage
from beechslip.fleet.tuning import MembershipTuning

INTERVAL_MS = DutyTuning().interval_ms
# The documented bound of the time until a death is detected.
DETECTION_BOUND_MS = 6 * MembershipTuning().period_ms + MembershipTuning().suspect_ms
MAX_GAP_MS = 2 * INTERVAL_MS + DETECTION_BOUND_MS


# Steady state ---------------------------------------------------------------------------------------------


def test_about_one_member_checks_each_backend_in_each_interval() -> None:
    fleet = SimulatedFleet(20, 40, seed=3)
    fleet.run_until(20_000)
    assert fleet.longest_gap_ms(5_000) <= INTERVAL_MS * 1.25
    assert fleet.duplicate_fraction(5_000) < 0.05
    # Without sharing, 20 members would make 20 times as many checks.
    assert fleet.duty_rate(5_000) < 1.2 * 1000 / INTERVAL_MS


def test_simulated_run_replays_exactly_from_its_seed() -> None:
    first, second = (
        SimulatedFleet(10, 10, seed=9, network=NetworkFaults(loss=0.2)),
        SimulatedFleet(10, 10, seed=9, network=NetworkFaults(loss=0.2)),
    )
    first.run_until(8_000)
    second.run_until(8_000)
    assert first.duty_starts == second.duty_starts and first.lost_count == second.lost_count > 0


# Deaths ---------------------------------------------------------------------------------------------------


def test_gap_after_half_the_members_die_together_is_bounded() -> None:
    fleet = SimulatedFleet(30, 60, seed=5)
    fleet.run_until(10_000)
    dying = fleet.names[::2]
    fleet.kill(dying)
    fleet.run_until(30_000)
    assert fleet.longest_gap_ms(10_000) <= MAX_GAP_MS
    alive = set(fleet.alive_names())
    for name in alive:
        assert (
            set(fleet.nodes[name].membership.alive_members()) == alive
        )  # all live members have detected every death
    assert fleet.duplicate_fraction(22_000) < 0.05


def test_takeover_by_standbys_shortens_the_gap_after_deaths() -> None:
    # The same deaths without standbys that step in early: duties then wait until the deaths are confirmed.
    slow_tuning = DutyTuning(takeover_ms=1e9, members_per_duty=1)
    fleet_without_takeover = SimulatedFleet(30, 60, seed=5, duty_tuning=slow_tuning)
    fleet_without_takeover.run_until(10_000)
    fleet_without_takeover.kill(fleet_without_takeover.names[::2])
    fleet_without_takeover.run_until(30_000)
    fleet_with_takeover = SimulatedFleet(30, 60, seed=5)
    fleet_with_takeover.run_until(10_000)
    fleet_with_takeover.kill(fleet_with_takeover.names[::2])
    fleet_with_takeover.run_until(30_000)
    assert fleet_with_takeover.longest_gap_ms(10_000) < fleet_without_takeover.longest_gap_ms(10_000)


def test_restarted_member_rejoins_with_a_new_incarnation_and_takes_its_duties() -> None:
    fleet = SimulatedFleet(12, 24, seed=2)
    fleet.run_until(5_000)
    fleet.kill(["d003"])
    fleet.run_until(15_000)
    assert all("d003" not in fleet.nodes[n].membership.alive_members() for n in fleet.alive_names())
    fleet.restart("d003")
    fleet.run_until(25_000)
    assert all("d003" in fleet.nodes[n].membership.alive_members() for n in fleet.alive_names())
    assert any(name == "d003" for at, name, _ in fleet.duty_starts if at > 20_000)
    assert fleet.duplicate_fraction(20_000) < 0.05


# Lost and late messages, partitions, pauses ---------------------------------------------------------------


def test_gap_and_duplicates_are_bounded_with_thirty_percent_loss_and_late_messages() -> None:
    # The tuning for lossy networks of docs/ops/duties.md: more helpers for indirect pings and longer suspicion.
    lossy = MembershipTuning(indirect=5, suspect_ms=3_000)
    fleet = SimulatedFleet(
        20, 40, seed=4, network=NetworkFaults(loss=0.3, late_fraction=0.1, late_ms=2_000), tuning=lossy
    )
    fleet.run_until(30_000)
    assert fleet.longest_gap_ms(5_000) <= 2 * INTERVAL_MS + 6 * lossy.period_ms + lossy.suspect_ms
    assert fleet.duplicate_fraction(5_000) < 0.2


def test_both_halves_of_a_partition_do_all_duties_until_it_heals() -> None:
    fleet = SimulatedFleet(20, 40, seed=6)
    fleet.run_until(5_000)
    fleet.cut({name: n % 2 for n, name in enumerate(fleet.names)})
    fleet.run_until(20_000)
    for side in (0, 1):
        members = fleet.names[side::2]
        checked = {duty for at, name, duty in fleet.duty_starts if at > 15_000 and name in members}
        assert checked == set(fleet.duties)  # each half checks every backend
    fleet.cut({})
    fleet.run_until(45_000)
    assert fleet.longest_gap_ms(5_000) <= MAX_GAP_MS
    assert fleet.duplicate_fraction(38_000) < 0.05  # after healing, all members have the same view


def test_resumed_member_refutes_its_death_and_duplicates_end() -> None:
    fleet = SimulatedFleet(12, 24, seed=8)
    fleet.run_until(5_000)
    before = fleet.nodes["d005"].membership.incarnation
    fleet.pause(["d005"])
    fleet.run_until(12_000)
    fleet.resume(["d005"])
    fleet.run_until(25_000)
    assert fleet.nodes["d005"].membership.incarnation > before
    assert all("d005" in fleet.nodes[n].membership.alive_members() for n in fleet.names)
    assert fleet.longest_gap_ms(5_000) <= MAX_GAP_MS
    assert fleet.duplicate_fraction(18_000) < 0.05


def test_one_of_two_members_that_both_own_a_duty_yields() -> None:
    # x considers y dead because of an old update, and y has never heard of x. Both consider themselves the owner of
    # every duty.
    duties = tuple(f"box{n}" for n in range(8))
    x_view = Membership("x", 0.0, ("y",))
    x_view._merge(MemberUpdate("y", 0, MemberState.DEAD), 0.0)
    node_x, node_y = DutyNode(x_view, duties), DutyNode(Membership("y", 0.0), duties)
    assert node_x.owned_duties() == node_y.owned_duties() == sorted(duties)
    for node in (node_x, node_y):
        _, started = node.tick(2_000.0)
        assert set(started) == set(duties)
        for duty in duties:
            node.record_done(2_010.0, duty, True)
    node_x.receive(2_200.0, PeerMessage("report", "y", 0, reports=tuple(node_y.latest_reports[d] for d in duties)))
    node_y.receive(2_200.0, PeerMessage("report", "x", 0, reports=tuple(node_x.latest_reports[d] for d in duties)))
    y_wins = [d for d in duties if rendezvous_weight(d, "y") > rendezvous_weight(d, "x")]
    assert y_wins and len(y_wins) < len(duties)
    for duty in duties:
        if duty in y_wins:
            assert node_x.leases[duty].holder == "y"  # x yields by a lease, although its view still holds y dead
        else:
            assert node_y.rank(duty) == 1  # y, which now knows x, is a standby
    _, later_starts_x = node_x.tick(4_500.0)
    _, later_starts_y = node_y.tick(4_500.0)
    assert not set(later_starts_x) & set(later_starts_y)  # no duty is done twice
    assert set(later_starts_x) | set(later_starts_y) == set(duties)


# Units ----------------------------------------------------------------------------------------------------


def test_assignment_moves_only_the_duties_of_a_removed_member() -> None:
    members = [f"m{n}" for n in range(10)]
    duties = [f"box{n}" for n in range(300)]
    before, after = DutyAssignment(duties, members), DutyAssignment(duties, members[1:])
    moved = sorted(d for d in duties if before.owner(d) != after.owner(d))
    assert moved == before.owned_by("m0")
    assert all(after.owner(d) == before.ranked_members(d)[1] for d in moved)  # to the first standby
    counts = [len(before.owned_by(m)) for m in members]
    assert max(counts) < 2.2 * 300 / 10
    assert rank_members("box1", members, 3) == rank_members("box1", list(reversed(members)), 3)


_updates_of_one_peer = st.lists(
    st.builds(MemberUpdate, st.just("peer"), st.integers(0, 4), st.sampled_from(list(MemberState))),
    min_size=1,
    max_size=12,
)


@given(_updates_of_one_peer, st.randoms(use_true_random=False))
def test_merged_member_state_does_not_depend_on_the_order_of_updates(
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


def test_overrides_follows_the_swim_precedence_of_updates() -> None:
    alive, suspect, dead = MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD
    assert overrides(MemberUpdate("p", 1, suspect), Member("p", 1, alive, 0))
    assert not overrides(MemberUpdate("p", 1, alive), Member("p", 1, suspect, 0))
    assert overrides(MemberUpdate("p", 2, alive), Member("p", 1, suspect, 0))
    assert overrides(MemberUpdate("p", 1, dead), Member("p", 1, suspect, 0))
    # An old update of a member that has restarted.
    assert not overrides(MemberUpdate("p", 1, dead), Member("p", 2, alive, 0))


def test_member_refutes_a_suspicion_of_itself() -> None:
    view = Membership("me", 0.0, ("a",))
    view.receive(10.0, PeerMessage("ping", "a", 1, updates=(MemberUpdate("me", 0, MemberState.SUSPECT),)))
    assert view.incarnation == 1 and view.counts["refuted"] == 1


def test_update_queue_sends_each_update_a_bounded_number_of_times_and_the_receivers_own_first() -> None:
    queue = UpdateQueue(retransmit_factor=1.0)
    first, second = MemberUpdate("a", 1, MemberState.ALIVE), MemberUpdate("b", 1, MemberState.SUSPECT)
    queue.add(first, 3)  # sent twice, as log2(4) is 2
    queue.add_once(second)
    queue.add_if_absent(MemberUpdate("b", 0, MemberState.DEAD))
    assert queue.take("b", 1) == (second,) and queue.take("c", 5) == (first,) and queue.take("c", 5) == (first,)
    assert not queue and queue.take("c", 5) == ()


def test_report_queue_sends_the_newest_first_and_ignores_older_reports_of_a_duty() -> None:
    reports = ReportQueue(copies=2, per_message=1)
    newer, older = DutyReport("x", "m", 20.0, True), DutyReport("y", "m", 10.0, True)
    for report in (older, newer, DutyReport("x", "n", 15.0, False)):
        reports.add(report)
    assert [reports.take() for _ in range(5)] == [(newer,), (newer,), (older,), (older,), ()]
    reports.add(newer)
    reports.retain({"y"})
    assert not reports


def test_token_bucket_gives_its_burst_then_its_rate_and_nothing_for_a_clock_that_went_back() -> None:
    bucket = TokenBucket(rate_per_s=10.0, burst=2.0, now_ms=1_000.0)
    assert [bucket.take() for _ in range(3)] == [True, True, False]
    bucket.refill(500.0)
    assert not bucket.take()
    bucket.refill(600.0)
    assert bucket.take() and not bucket.take()
    bucket.refill(10_000.0)
    assert [bucket.take() for _ in range(3)] == [True, True, False]


def test_suspicion_time_falls_with_the_number_of_accusers() -> None:
    tuning = MembershipTuning(suspect_ms=1_000.0, suspect_most_ms=4_000.0, accusers=3)
    times = [
        suspicion_ms(Member("p", 1, MemberState.SUSPECT, 0.0, frozenset("abcdef"[:accusers])), tuning)
        for accusers in range(1, 6)
    ]
    assert times[0] == 4_000.0 and times[1] == 2_500.0 and times[3] == times[4] == 1_000.0
    alone = MembershipTuning(suspect_ms=1_000.0, suspect_most_ms=4_000.0, accusers=0)
    assert suspicion_ms(Member("p", 1, MemberState.SUSPECT, 0.0), alone) == 1_000.0


def test_member_and_duty_tables_are_bounded() -> None:
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
        node.record_done(3_010.0, duty, True)
    node.set_duties(("a",))
    assert set(node.last_done_ms) == {"a"} and node._reports.duties() == {"a"}
