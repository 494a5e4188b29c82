"""Budgets: what all proxies occupy is at most the limit, in virtual time and piece by piece."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechslip.budgets.allocator import Allocator, QuotaRequest, max_min
from beechslip.budgets.floors import DeclaredSet
from beechslip.budgets.leader import LEASE
from beechslip.budgets.limit import Cost, FleetLimit
from beechslip.budgets.messages import AllocationRequest
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.quota import Quota
from lab.budget_checker import BudgetChecker
from lab.budget_trials import run_trial
from lab.injected_faults import registered

WINDOW = FleetLimit("w", "window", 20.0, 1000.0, 0.5, grant_ms=2000.0)
RATE = FleetLimit("r", "rate", 10.0, 0.0, 0.5, burst=10.0, grant_ms=2000.0)
FLIGHT = FleetLimit("f", "flight", 10.0, 500.0, 0.5, grant_ms=2000.0, travel_ms=100.0)

# Faults that need a grant late, a proxy cut off or two incarnations just as the demand moves: seeds found to have it.
RARE = {
    "ends-by-the-answer": (1600,),
    "no-stamp": (250,),
    "loan-from-the-word": (397,),
    "in-flight-not-counted": (52, 152, 176),
    "floors-of-all-at-once": (52, 200),
    "restart-spends-at-once": (144, 256),
    "restart-forgets-loans": (1239,),
}


def test_no_seed_finds_more_spent_than_the_limit() -> None:
    outcomes = [run_trial(seed) for seed in range(60)]
    assert [(seed, found.violations) for seed, found in enumerate(outcomes) if found.violations] == []
    # The limits were nearly used up, so there was little room for a mistake to hide in.
    assert max(outcome.max_used["window"] for outcome in outcomes) > 0.97
    assert max(outcome.max_used["flight"] for outcome in outcomes) > 0.9


# A new leader that believes what was requested of an earlier one needs three rare things at once; no seed of 1,600
# had it. What it leaves out is met by test_a_node_requests_of_the_leader_and_only_under_its_ballot_is_it_answered.
@pytest.mark.parametrize("fault", sorted(set(registered("budgets")) - {"any-ballot"}))
def test_an_injected_fault_is_found(fault: str) -> None:
    assert any(run_trial(seed, fault).violations for seed in RARE.get(fault, range(150)))


@given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 50), min_size=1), st.floats(0, 100))
def test_max_min_gives_no_more_than_is_asked_or_there_and_leaves_nothing_over(
    demands: dict[str, float], pool: float
) -> None:
    shares = max_min(pool, demands)
    assert all(shares[n] <= demands[n] + 1e-6 for n in demands) and sum(shares.values()) <= pool + 1e-6
    assert sum(shares.values()) >= min(pool, sum(demands.values())) - 1e-6
    short = [n for n in demands if shares[n] < demands[n] - 1e-6]
    assert all(shares[n] >= max(shares.values()) - 1e-6 for n in short)  # who is short has as much as anyone


def test_one_that_asks_for_everything_takes_what_others_leave_and_no_more() -> None:
    assert max_min(10.0, {"greedy": 1e9, "b": 2.0, "c": 3.0}) == pytest.approx({"greedy": 5.0, "b": 2.0, "c": 3.0})
    assert max_min(9.0, {"a": 9.0, "b": 9.0}, {"a": 2.0}) == pytest.approx({"a": 6.0, "b": 3.0})


def test_an_allocator_answers_once_and_never_gives_again_what_may_still_be_spent() -> None:
    allocator, reservation_ms = Allocator(WINDOW, 7, 0.0), (2000.0 + 1000.0) * 1.01
    assert allocator.allocate(reservation_ms, "d0", 1, 1, QuotaRequest(100.0)) == pytest.approx(
        10.0
    )  # alone: all of the pool
    assert allocator.allocate(reservation_ms, "d0", 1, 1, QuotaRequest(100.0)) is None  # heard twice
    assert allocator.allocate(reservation_ms + 10, "d1", 1, 1, QuotaRequest(100.0)) == pytest.approx(
        0.0
    )  # half would be fair, but it is out
    assert allocator.allocate(reservation_ms + 20, "d0", 1, 2, QuotaRequest(100.0)) == pytest.approx(5.0)
    assert allocator.allocate(reservation_ms + 2000, "d1", 1, 2, QuotaRequest(100.0)) == pytest.approx(
        0.0
    )  # the first is still out
    assert allocator.allocate(2 * reservation_ms + 1, "d1", 1, 3, QuotaRequest(100.0)) == pytest.approx(5.0)
    assert allocator.reserved(2 * reservation_ms + 1) <= WINDOW.pool() + 1e-9


def test_the_owners_own_request_frees_earlier_grants_but_for_what_it_occupies() -> None:
    allocator, t = Allocator(WINDOW, 7, -1e6), 0.0
    assert allocator.allocate(t, "d0", 1, 1, QuotaRequest(100.0)) == pytest.approx(10.0)
    # Four are asked for, and half of what nobody asks for comes with them.
    assert allocator.allocate(t, "d0", 1, 2, QuotaRequest(4.0)) == pytest.approx(7.0)
    assert allocator.reserved(t) == pytest.approx(10.0)  # it may not have heard of the second
    allocator.allocate(t, "d0", 1, 3, QuotaRequest(4.0, granted=4.0, excess=7.0, grant_seq=2))
    assert allocator.reserved(t) == pytest.approx(7.0)  # it has, and seven are still felt
    allocator.allocate(t, "d0", 2, 1, QuotaRequest(1.0, grant_seq=9))
    assert allocator.reserved(t) == pytest.approx(7.0)  # another incarnation's request says nothing of this one's
    assert allocator.allocate(t, "d1", 1, 1, QuotaRequest(100.0)) == pytest.approx(3.0)


def test_a_new_allocator_renews_what_is_in_force_and_grants_no_more() -> None:
    allocator = Allocator(WINDOW, 8, 0.0)
    assert allocator.allocate(10.0, "d0", 1, 1, QuotaRequest(9.0, granted=6.0)) == pytest.approx(6.0)
    assert allocator.allocate(10.0, "d1", 1, 1, QuotaRequest(9.0)) == 0.0
    assert allocator.allocate(20.0, "d0", 1, 2, QuotaRequest(2.0, granted=6.0)) == pytest.approx(2.0)


class Lease:
    """The leases as a node sees them: who holds, under which round."""

    def __init__(self, me: str) -> None:
        self.me, self.holder, self.round = me, "", 0

    def held_token(self, name: str, now_ms: float) -> int | None:
        return self.round if self.holder == self.me and name == LEASE else None

    def holder_and_round(self, name: str, now_ms: float) -> tuple[str, int]:
        return self.holder, self.round


def test_a_node_requests_of_the_leader_and_only_under_its_ballot_is_it_answered() -> None:
    leases = Lease("d0"), Lease("d1")
    nodes = [BudgetNode(f"d{n}", leases[n], 5 + n, 0.0, 2) for n in (0, 1)]
    for node in nodes:
        node.set_limits(0.0, [WINDOW])
    for lease in leases:
        lease.holder, lease.round = "d0", 70
    assert nodes[0].tick(0.0) == []
    [(to, ask)] = nodes[1].tick(0.0)  # nothing was spent, and part of the floor can be lent
    assert isinstance(ask, AllocationRequest) and [a.lent for a in ask.entries.values()] == [
        pytest.approx(2.5, rel=1e-5)
    ]
    for node in nodes:  # no loan of an earlier incarnation, nor of this one
        node.quotas["w"]._loans.clear()
    assert all(nodes[1].spend(4000.0, [Cost("w", 1.0)]) for _ in range(5)) and not nodes[1].spend(
        4000.0, [Cost("w", 1.0)]
    )
    [(to, ask)] = nodes[1].tick(4000.0)
    assert (
        to == "d0" and isinstance(ask, AllocationRequest) and ask.round == 70 and ask.entries.popitem()[1].demand > 5
    )
    [(_, ask)] = nodes[1].tick(4500.0)
    old = (
        AllocationRequest(ask.incarnation, ask.seq, 69, 0, ask.entries) if isinstance(ask, AllocationRequest) else ask
    )
    assert nodes[0].receive(4500.0, "d1", old) == [] and nodes[0].counts["unheld"] == 1
    [(back, grant)] = nodes[0].receive(4500.0, "d1", ask)
    assert back == "d1" and nodes[1].receive(4500.0, "d0", grant) == [] and nodes[1].spend(4500.0, [Cost("w", 1.0)])
    assert nodes[1].receive(4500.0, "d0", grant) == [] and nodes[1].counts == {"refused.w": 1, "taken": 1, "late": 1}
    leases[0].holder = "d1"
    assert nodes[0].receive(4600.0, "d1", ask) == []
    assert nodes[0].state(4600.0)["keeping"] is False


def test_a_spending_of_several_limits_is_all_or_nothing() -> None:
    node = BudgetNode("d0", Lease("d0"), 1, -1e6, 1)
    node.set_limits(0.0, [WINDOW, FLIGHT])
    assert (
        sum(node.spend(0.0, [Cost("w", 1.0), Cost("f", 1.0), Cost("odd", 1.0)]) for _ in range(9)) == 5
    )  # f's floor
    assert node.quotas["w"].in_use(0.0) == 5 and node.counts == {"refused.f": 4}
    node.release(10.0, "f")
    node.confirm(10.0)
    assert not node.spend(11.0, [Cost("f", 1.0)])  # its end may not have got there yet
    node.release(11.0, "f", ended_by_backend=True)
    assert node.spend(11.0, [Cost("f", 1.0)])  # the other side has ended that one
    assert not node.spend(100.0, [Cost("f", 1.0)]) and node.spend(112.0, [Cost("f", 1.0)])
    node.set_limits(113.0, [FLIGHT])  # gone, and remembered while something of it is felt
    assert "w" in node.quotas
    node.confirm(120.0)
    node.set_limits(2000.0, [FLIGHT])
    assert "w" not in node.quotas and node.capacity(2000.0, "w") is None


def test_what_is_written_late_counts_from_then() -> None:
    """It stood still for ten seconds between its check and the write: the late one takes room of the floor."""
    quota = Quota(WINDOW, -1e6, 2.0)
    assert quota.spend(0.0)
    quota.confirm(10_000.0)
    assert quota.spend(10_000.0) and not quota.spend(10_001.0)
    bucket = Quota(RATE, -1e6, 2.0)
    assert bucket.available(-2000.0) <= 2.0 and bucket.available(0.0) == 2.0 and bucket.spend(0.0)
    bucket.confirm(10_000.0)
    assert bucket.available(10_000.0) == pytest.approx(1.0)  # not the full two: one has just gone out


def test_a_quota_waits_after_a_start_and_goes_by_its_own_clock() -> None:
    quota = Quota(WINDOW, 0.0, 2.0)
    assert not quota.spend(1009.0) and quota.spend(1010.0) and not quota.spend(1012.0)
    quota.confirm(1011.0)  # half of the floor, until what an earlier incarnation may have lent is back
    assert WINDOW.loan_ms() == pytest.approx(7010 * 1.01**2)
    quota = Quota(WINDOW, -1e6, 2.0)
    assert quota.spend(1010.0) and quota.spend(1011.0) and not quota.spend(1012.0)
    quota.confirm(1011.0)
    quota.begin_request(1100.0, 1)
    assert not quota.accept_grant(3100.0, 1, 5.0)  # its time, from before it was requested, is over
    quota.begin_request(3200.0, 2)
    quota.begin_request(3300.0, 3)
    assert quota.accept_grant(3350.0, 3, 3.0) and not quota.accept_grant(3360.0, 2, 9.0)  # out of order
    assert not quota.accept_grant(3370.0, 3, 3.0) and not quota.accept_grant(
        3380.0, 99, 9.0
    )  # twice, never requested
    assert sum(quota.spend(3400.0) for _ in range(9)) == 5 and quota.in_use(3400.0) == 5
    quota.confirm(3400.0)
    assert quota.capacity(5299.0) == 5.0 and quota.capacity(5300.0) == 2.0
    assert quota.excess(3400.0) == 3.0 and quota.available(5300.0) == 2.0


def test_a_bucket_begins_empty_and_a_grant_brings_no_tokens() -> None:
    quota = Quota(RATE, 0.0, 1.0)
    assert not quota.spend(0.0) and not quota.spend(1000.0) and quota.spend(1010.1) and not quota.spend(1011.0)
    assert quota.lent(0.0) == 0.0  # a floor that holds no more than one spending is not lent
    quota.begin_request(2000.0, 1)
    assert quota.accept_grant(2000.0, 1, 4.0)
    assert not quota.spend(2000.1)  # not yet a whole token, whatever the quota
    assert sum(quota.spend(3000.0) for _ in range(9)) == 4 or quota.counts["spent"] <= 7
    assert sum(quota.spend(60_000.0) for _ in range(20)) <= 5  # what had accrued under the grant is cut to the floor


def test_a_demand_grows_at_its_bound_and_follows_use_below_it() -> None:
    quota = Quota(WINDOW, -1e6, 4.0)
    assert [quota.spend(0.0) for _ in range(2)] == [True, True]
    assert quota.demand(0.0) == (0.0, 1.0)  # within its floor: one of four is neither used nor reserved
    while quota.spend(1.0):
        pass
    assert quota.demand(500.0) == (pytest.approx(2 * 4.0 + 1.0 - 4.0), 0.0)
    assert quota.demand(600.0) == (pytest.approx(1.0), 0.0)  # no longer at its bound, still in use


def test_what_is_lent_is_not_its_own_until_the_loan_is_over() -> None:
    quota = Quota(WINDOW, -1e6, 4.0)
    assert quota.demand(0.0) == (0.0, 2.0) and quota.lend(0.0, 2.0) == 2.0
    assert sum(quota.spend(1.0) for _ in range(5)) == 2
    quota.confirm(1.0)
    assert quota.demand(500.0)[0] == pytest.approx(3.0)  # what would do, above what is left of its own
    quota.lend(500.0, 0.5)  # less from now on, but the first loan stands
    assert quota.lent(7000.0) == 2.0 and quota.lent(0.0 + WINDOW.loan_ms()) == 0.5
    assert quota.lent(500.0 + WINDOW.loan_ms()) == 0.0


def test_a_loan_backs_grants_from_the_grant_that_its_lender_goes_by() -> None:
    allocator, t = Allocator(dataclasses.replace(WINDOW, floor_share=1.0), 7, -1e6), 0.0
    assert (
        allocator.allocate(t, "d0", 1, 1, QuotaRequest(0.0, lent=2.0)) == 0.0 and allocator.pool(t) == 0.0
    )  # lent since when?
    assert allocator.allocate(500.0, "d0", 1, 2, QuotaRequest(0.0, grant_seq=1, lent=2.0)) == 0.0
    assert allocator.pool(500.0) == 2.0  # since 0 ms at the least, when the grant that it names was given
    assert allocator.allocate(600.0, "d1", 1, 1, QuotaRequest(9.0)) == pytest.approx(2.0)
    reservation_ms, end = 3000.0 * 1.01 + 0.0, WINDOW.loan_ms() / 1.01
    assert allocator.pool(end - reservation_ms - 1.0) == 2.0 and allocator.pool(end - reservation_ms + 1.0) == 0.0
    allocator.allocate(700.0, "d0", 1, 3, QuotaRequest(0.0, grant_seq=2, lent=0.5))
    assert allocator.pool(700.0) == 2.0  # the larger loan stands until its end


def test_floors_stay_within_their_part_while_the_declared_set_changes() -> None:
    unaware, aware = [WINDOW.floor(5)] * 2, [WINDOW.floor(8, 5, n) for n in range(2, 8)]
    assert sum(unaware + aware) <= WINDOW.amount * WINDOW.floor_share + 1e-9 and aware[-1] == 0.0
    node = BudgetNode("d0", Lease("d0"), 1, -1e6, 5, zone_members=3)
    node.declare(0.0, DeclaredSet(8, 5, 2))
    assert node.declared.zone_members == 3  # the zone's larger number, while it changes
    node.set_limits(0.0, [WINDOW])
    assert node.floor(0.0, WINDOW) == WINDOW.floor(8)  # one that shrinks does so at once
    node.declare(0.0, DeclaredSet(8, 0, 2))
    assert node.declared.zone_members == 2 and node.zone_members(0.0) == 3
    new = BudgetNode("d7", Lease("d7"), 1, -1e6, 8, 5)
    new.set_limits(0.0, [WINDOW])
    new.declare(0.0, DeclaredSet(8, 0, 2))
    wait = (WINDOW.loan_ms() + WINDOW.occupancy_ms()) * 1.2
    assert new.floor(wait - 1, WINDOW) == 0.0  # one that grows waits for what is lent of larger ones
    assert new.floor(wait + 1, WINDOW) == WINDOW.floor(8)


@pytest.mark.parametrize(
    ("limit", "times", "ends", "rule"),
    [
        (FleetLimit("w", "window", 2.0, 100.0), (0.0, 50.0, 99.0), 0, ["over-window"]),
        (FleetLimit("w", "window", 2.0, 100.0), (0.0, 50.0, 100.0), 0, []),
        (FleetLimit("f", "flight", 2.0, 100.0), (0.0, 50.0, 500.0), 0, ["over-flight"]),
        (FleetLimit("f", "flight", 2.0, 100.0), (0.0, 50.0, 500.0), 1, []),
        (FleetLimit("r", "rate", 10.0, burst=2.0), (0.0, 1.0, 2.0), 0, ["over-rate"]),
        (FleetLimit("r", "rate", 10.0, burst=2.0), (0.0, 1.0, 101.0), 0, []),
    ],
)
def test_the_checker_counts_what_is_occupied(
    limit: FleetLimit, times: tuple[float, ...], ends: int, rule: list[str]
) -> None:
    checker = BudgetChecker(limit)
    for t in times[:2]:
        checker.spend(t, "d0")
    for _ in range(ends):
        checker.release()
    checker.spend(times[2], "d0")
    assert [v.rule for v in checker.violations] == rule
