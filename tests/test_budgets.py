"""Tests of the budgets in virtual time and unit by unit: all proxies together never occupy more than a limit."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechslip.budgets.allocator import Allocator, QuotaRequest, max_min_fair_shares
from beechslip.budgets.floors import DeclaredMembers
from beechslip.budgets.leader import LEASE
from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.budgets.messages import AllocationRequest
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.quota import Quota
from lab.budget_checker import BudgetChecker
from lab.budget_trials import run_trial
from lab.injected_faults import registered

WINDOW = FleetLimit("w", "window", 20.0, 1000.0, 0.5, grant_ms=2000.0)
RATE = FleetLimit("r", "rate", 10.0, 0.0, 0.5, burst=10.0, grant_ms=2000.0)
FLIGHT = FleetLimit("f", "flight", 10.0, 500.0, 0.5, grant_ms=2000.0, travel_ms=100.0)

# Some faults show only if a grant is late, a proxy is cut off or two incarnations overlap just as the demand moves.
# These seeds were found to have that.
SEEDS_OF_RARE_FAULTS = {
    "ends-by-the-answer": (1600,),
    "no-stamp": (250,),
    "loan-from-the-word": (397,),
    "in-flight-not-counted": (52, 152, 176),
    "floors-of-all-at-once": (52, 200),
    "restart-spends-at-once": (144, 256),
    "restart-forgets-loans": (1239,),
}


def test_no_trial_spends_more_than_a_limit() -> None:
    outcomes = [run_trial(seed) for seed in range(60)]
    assert [(seed, found.violations) for seed, found in enumerate(outcomes) if found.violations] == []
    # The limits were nearly used up, so an excess would have been seen.
    assert max(outcome.max_used["window"] for outcome in outcomes) > 0.97
    assert max(outcome.max_used["flight"] for outcome in outcomes) > 0.9


# The fault any-ballot (a new leader accepts requests that were made to an earlier one) shows only if three rare
# things coincide, which no seed of 1,600 had. The rule that it breaks is tested by
# test_leader_answers_only_requests_that_name_its_ballot.
@pytest.mark.parametrize("fault", sorted(set(registered("budgets")) - {"any-ballot"}))
def test_trials_find_an_injected_fault(fault: str) -> None:
    assert any(run_trial(seed, fault).violations for seed in SEEDS_OF_RARE_FAULTS.get(fault, range(150)))


@given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 50), min_size=1), st.floats(0, 100))
def test_max_min_fair_shares_respect_demands_and_use_the_whole_pool(demands: dict[str, float], pool: float) -> None:
    shares = max_min_fair_shares(pool, demands)
    assert all(shares[name] <= demands[name] + 1e-6 for name in demands) and sum(shares.values()) <= pool + 1e-6
    assert sum(shares.values()) >= min(pool, sum(demands.values())) - 1e-6
    short = [name for name in demands if shares[name] < demands[name] - 1e-6]
    # One that gets less than its demand has the largest share.
    assert all(shares[name] >= max(shares.values()) - 1e-6 for name in short)


def test_max_min_fair_shares_give_a_large_demand_only_what_others_leave() -> None:
    assert max_min_fair_shares(10.0, {"greedy": 1e9, "b": 2.0, "c": 3.0}) == pytest.approx(
        {"greedy": 5.0, "b": 2.0, "c": 3.0}
    )
    assert max_min_fair_shares(9.0, {"a": 9.0, "b": 9.0}, {"a": 2.0}) == pytest.approx({"a": 6.0, "b": 3.0})


def test_allocator_answers_a_request_once_and_grants_nothing_that_is_still_reserved() -> None:
    allocator, reservation_ms = Allocator(WINDOW, 7, 0.0), (2000.0 + 1000.0) * 1.01
    # The only member gets all of the pool.
    assert allocator.allocate(reservation_ms, "d0", 1, 1, QuotaRequest(100.0)) == pytest.approx(10.0)
    assert allocator.allocate(reservation_ms, "d0", 1, 1, QuotaRequest(100.0)) is None  # a repeated request
    # Half would be fair, but all of the pool is reserved.
    assert allocator.allocate(reservation_ms + 10, "d1", 1, 1, QuotaRequest(100.0)) == pytest.approx(0.0)
    assert allocator.allocate(reservation_ms + 20, "d0", 1, 2, QuotaRequest(100.0)) == pytest.approx(5.0)
    # The first grant is still reserved.
    assert allocator.allocate(reservation_ms + 2000, "d1", 1, 2, QuotaRequest(100.0)) == pytest.approx(0.0)
    assert allocator.allocate(2 * reservation_ms + 1, "d1", 1, 3, QuotaRequest(100.0)) == pytest.approx(5.0)
    assert allocator.reserved_amount(2 * reservation_ms + 1) <= WINDOW.pool() + 1e-9


def test_allocator_frees_superseded_grants_except_what_the_member_occupies() -> None:
    allocator, now_ms = Allocator(WINDOW, 7, -1e6), 0.0
    assert allocator.allocate(now_ms, "d0", 1, 1, QuotaRequest(100.0)) == pytest.approx(10.0)
    # Four are requested, and half of what nobody requests is granted with them.
    assert allocator.allocate(now_ms, "d0", 1, 2, QuotaRequest(4.0)) == pytest.approx(7.0)
    # The member may not have received the second grant.
    assert allocator.reserved_amount(now_ms) == pytest.approx(10.0)
    allocator.allocate(now_ms, "d0", 1, 3, QuotaRequest(4.0, granted_amount=4.0, excess=7.0, grant_seq=2))
    assert allocator.reserved_amount(now_ms) == pytest.approx(7.0)  # it has, and it still occupies seven
    allocator.allocate(now_ms, "d0", 2, 1, QuotaRequest(1.0, grant_seq=9))
    # A request of another incarnation frees no grants of this one.
    assert allocator.reserved_amount(now_ms) == pytest.approx(7.0)
    assert allocator.allocate(now_ms, "d1", 1, 1, QuotaRequest(100.0)) == pytest.approx(3.0)


def test_new_allocator_renews_grants_in_force_and_grants_no_more() -> None:
    allocator = Allocator(WINDOW, 8, 0.0)
    assert allocator.allocate(10.0, "d0", 1, 1, QuotaRequest(9.0, granted_amount=6.0)) == pytest.approx(6.0)
    assert allocator.allocate(10.0, "d1", 1, 1, QuotaRequest(9.0)) == 0.0
    assert allocator.allocate(20.0, "d0", 1, 2, QuotaRequest(2.0, granted_amount=6.0)) == pytest.approx(2.0)


class FakeLeaseView:
    """A ``LeaseView`` with a settable holder and ballot round."""

    def __init__(self, me: str) -> None:
        self.me, self.holder, self.round = me, "", 0

    def held_token(self, name: str, now_ms: float) -> int | None:
        return self.round if self.holder == self.me and name == LEASE else None

    def holder_and_round(self, name: str, now_ms: float) -> tuple[str, int]:
        return self.holder, self.round


def test_leader_answers_only_requests_that_name_its_ballot() -> None:
    leases = FakeLeaseView("d0"), FakeLeaseView("d1")
    nodes = [BudgetNode(f"d{n}", leases[n], 5 + n, 0.0, 2) for n in (0, 1)]
    for node in nodes:
        node.set_limits(0.0, [WINDOW])
    for lease in leases:
        lease.holder, lease.round = "d0", 70
    assert nodes[0].tick(0.0) == []
    [(receiver, request)] = nodes[1].tick(0.0)  # nothing was spent, so part of the floor can be lent
    assert isinstance(request, AllocationRequest) and [entry.lent_amount for entry in request.entries.values()] == [
        pytest.approx(2.5, rel=1e-5)
    ]
    for node in nodes:  # drop the loans of an earlier incarnation and of this one
        node.quotas["w"]._loans.clear()
    assert all(nodes[1].spend(4000.0, [LimitCost("w", 1.0)]) for _ in range(5)) and not nodes[1].spend(
        4000.0, [LimitCost("w", 1.0)]
    )
    [(receiver, request)] = nodes[1].tick(4000.0)
    assert (
        receiver == "d0"
        and isinstance(request, AllocationRequest)
        and request.round == 70
        and request.entries.popitem()[1].demand > 5
    )
    [(_, request)] = nodes[1].tick(4500.0)
    old_request = (
        AllocationRequest(request.incarnation, request.seq, 69, 0, request.entries)
        if isinstance(request, AllocationRequest)
        else request
    )
    assert nodes[0].receive(4500.0, "d1", old_request) == [] and nodes[0].counts["unheld"] == 1
    [(grant_receiver, grant)] = nodes[0].receive(4500.0, "d1", request)
    assert (
        grant_receiver == "d1"
        and nodes[1].receive(4500.0, "d0", grant) == []
        and nodes[1].spend(4500.0, [LimitCost("w", 1.0)])
    )
    assert nodes[1].receive(4500.0, "d0", grant) == [] and nodes[1].counts == {"refused.w": 1, "taken": 1, "late": 1}
    leases[0].holder = "d1"
    assert nodes[0].receive(4600.0, "d1", request) == []
    assert nodes[0].state(4600.0)["keeping"] is False


def test_node_spends_of_several_limits_together_or_of_none() -> None:
    node = BudgetNode("d0", FakeLeaseView("d0"), 1, -1e6, 1)
    node.set_limits(0.0, [WINDOW, FLIGHT])
    # The floor of f is 5.
    assert (
        sum(node.spend(0.0, [LimitCost("w", 1.0), LimitCost("f", 1.0), LimitCost("odd", 1.0)]) for _ in range(9)) == 5
    )
    assert node.quotas["w"].amount_in_use(0.0) == 5 and node.counts == {"refused.f": 4}
    node.release(10.0, "f")
    node.confirm(10.0)
    assert not node.spend(11.0, [LimitCost("f", 1.0)])  # its end may not have reached the backend yet
    node.release(11.0, "f", is_ended_by_backend=True)
    assert node.spend(11.0, [LimitCost("f", 1.0)])  # the backend ended that one itself
    assert not node.spend(100.0, [LimitCost("f", 1.0)]) and node.spend(112.0, [LimitCost("f", 1.0)])
    node.set_limits(113.0, [FLIGHT])  # the limit w is gone, but kept while something occupies it
    assert "w" in node.quotas
    node.confirm(120.0)
    node.set_limits(2000.0, [FLIGHT])
    assert "w" not in node.quotas and node.capacity(2000.0, "w") is None


def test_quota_counts_a_late_write_from_its_confirmation() -> None:
    """The proxy is suspended for ten seconds between its check and its write.

    The late spending then takes room of the floor, as if it had been spent when it was written.
    """
    quota = Quota(WINDOW, -1e6, 2.0)
    assert quota.spend(0.0)
    quota.confirm(10_000.0)
    assert quota.spend(10_000.0) and not quota.spend(10_001.0)
    bucket = Quota(RATE, -1e6, 2.0)
    assert bucket.available_amount(-2000.0) <= 2.0 and bucket.available_amount(0.0) == 2.0 and bucket.spend(0.0)
    bucket.confirm(10_000.0)
    # Not the full two tokens, because one has just been written.
    assert bucket.available_amount(10_000.0) == pytest.approx(1.0)


def test_quota_waits_after_a_start_and_grants_end_by_its_own_clock() -> None:
    quota = Quota(WINDOW, 0.0, 2.0)
    # Only half of the floor is usable until what an earlier incarnation may have lent has come back.
    assert not quota.spend(1009.0) and quota.spend(1010.0) and not quota.spend(1012.0)
    quota.confirm(1011.0)
    assert WINDOW.loan_ms() == pytest.approx(7010 * 1.01**2)
    quota = Quota(WINDOW, -1e6, 2.0)
    assert quota.spend(1010.0) and quota.spend(1011.0) and not quota.spend(1012.0)
    quota.confirm(1011.0)
    quota.begin_request(1100.0, 1)
    assert not quota.accept_grant(3100.0, 1, 5.0)  # its time runs from before the request, and is over
    quota.begin_request(3200.0, 2)
    quota.begin_request(3300.0, 3)
    assert quota.accept_grant(3350.0, 3, 3.0) and not quota.accept_grant(3360.0, 2, 9.0)  # received out of order
    # A repeated answer, and one that was never requested.
    assert not quota.accept_grant(3370.0, 3, 3.0) and not quota.accept_grant(3380.0, 99, 9.0)
    assert sum(quota.spend(3400.0) for _ in range(9)) == 5 and quota.amount_in_use(3400.0) == 5
    quota.confirm(3400.0)
    assert quota.capacity(5299.0) == 5.0 and quota.capacity(5300.0) == 2.0
    assert quota.excess(3400.0) == 3.0 and quota.available_amount(5300.0) == 2.0


def test_rate_quota_starts_without_tokens_and_a_grant_adds_none() -> None:
    quota = Quota(RATE, 0.0, 1.0)
    assert not quota.spend(0.0) and not quota.spend(1000.0) and quota.spend(1010.1) and not quota.spend(1011.0)
    assert quota.lent_amount(0.0) == 0.0  # a floor that holds only one spending is not lent
    quota.begin_request(2000.0, 1)
    assert quota.accept_grant(2000.0, 1, 4.0)
    assert not quota.spend(2000.1)  # not yet a whole token, however large the quota
    assert sum(quota.spend(3000.0) for _ in range(9)) == 4 or quota.counts["spent"] <= 7
    # Tokens that accrued under the grant are limited to the floor's part.
    assert sum(quota.spend(60_000.0) for _ in range(20)) <= 5


def test_demand_grows_when_a_quota_is_exhausted_and_otherwise_follows_its_use() -> None:
    quota = Quota(WINDOW, -1e6, 4.0)
    assert [quota.spend(0.0) for _ in range(2)] == [True, True]
    assert quota.demand(0.0) == (0.0, 1.0)  # within its floor; of four, one is neither used nor kept back
    while quota.spend(1.0):
        pass
    assert quota.demand(500.0) == (pytest.approx(2 * 4.0 + 1.0 - 4.0), 0.0)
    assert quota.demand(600.0) == (pytest.approx(1.0), 0.0)  # no longer exhausted, but still in use


def test_quota_cannot_spend_what_it_lends_until_the_loan_ends() -> None:
    quota = Quota(WINDOW, -1e6, 4.0)
    assert quota.demand(0.0) == (0.0, 2.0) and quota.lend(0.0, 2.0) == 2.0
    assert sum(quota.spend(1.0) for _ in range(5)) == 2
    quota.confirm(1.0)
    assert quota.demand(500.0)[0] == pytest.approx(3.0)  # what is needed beyond the rest of its floor
    quota.lend(500.0, 0.5)  # less from now on, but the first loan still runs
    assert quota.lent_amount(7000.0) == 2.0 and quota.lent_amount(0.0 + WINDOW.loan_ms()) == 0.5
    assert quota.lent_amount(500.0 + WINDOW.loan_ms()) == 0.0


def test_allocator_counts_a_loan_from_the_grant_that_its_lender_uses() -> None:
    allocator, now_ms = Allocator(dataclasses.replace(WINDOW, floor_share=1.0), 7, -1e6), 0.0
    # The request names no grant, so the time of the loan is not known.
    assert (
        allocator.allocate(now_ms, "d0", 1, 1, QuotaRequest(0.0, lent_amount=2.0)) == 0.0
        and allocator.pool(now_ms) == 0.0
    )
    assert allocator.allocate(500.0, "d0", 1, 2, QuotaRequest(0.0, grant_seq=1, lent_amount=2.0)) == 0.0
    assert allocator.pool(500.0) == 2.0  # counted from 0 ms, when the grant that it names was given
    assert allocator.allocate(600.0, "d1", 1, 1, QuotaRequest(9.0)) == pytest.approx(2.0)
    reservation_ms, loan_end_ms = 3000.0 * 1.01 + 0.0, WINDOW.loan_ms() / 1.01
    assert (
        allocator.pool(loan_end_ms - reservation_ms - 1.0) == 2.0
        and allocator.pool(loan_end_ms - reservation_ms + 1.0) == 0.0
    )
    allocator.allocate(700.0, "d0", 1, 3, QuotaRequest(0.0, grant_seq=2, lent_amount=0.5))
    assert allocator.pool(700.0) == 2.0  # the larger loan counts until its end


def test_floors_do_not_exceed_their_share_while_the_declared_members_change() -> None:
    floors_of_unaware, floors_of_aware = [WINDOW.floor(5)] * 2, [WINDOW.floor(8, 5, n) for n in range(2, 8)]
    assert (
        sum(floors_of_unaware + floors_of_aware) <= WINDOW.amount * WINDOW.floor_share + 1e-9
        and floors_of_aware[-1] == 0.0
    )
    node = BudgetNode("d0", FakeLeaseView("d0"), 1, -1e6, 5, zone_members=3)
    node.declare(0.0, DeclaredMembers(8, 5, 2))
    assert node.declared.zone_members == 3  # the larger number of the zone while it changes
    node.set_limits(0.0, [WINDOW])
    assert node.floor(0.0, WINDOW) == WINDOW.floor(8)  # a floor that shrinks does so at once
    node.declare(0.0, DeclaredMembers(8, 0, 2))
    assert node.declared.zone_members == 2 and node.zone_members(0.0) == 3
    new_node = BudgetNode("d7", FakeLeaseView("d7"), 1, -1e6, 8, 5)
    new_node.set_limits(0.0, [WINDOW])
    new_node.declare(0.0, DeclaredMembers(8, 0, 2))
    wait_ms = (WINDOW.loan_ms() + WINDOW.occupancy_ms()) * 1.2
    assert new_node.floor(wait_ms - 1, WINDOW) == 0.0  # a floor that grows waits for the loans of larger ones
    assert new_node.floor(wait_ms + 1, WINDOW) == WINDOW.floor(8)


@pytest.mark.parametrize(
    ("limit", "times_ms", "releases", "expected_rules"),
    [
        (FleetLimit("w", "window", 2.0, 100.0), (0.0, 50.0, 99.0), 0, ["over-window"]),
        (FleetLimit("w", "window", 2.0, 100.0), (0.0, 50.0, 100.0), 0, []),
        (FleetLimit("f", "flight", 2.0, 100.0), (0.0, 50.0, 500.0), 0, ["over-flight"]),
        (FleetLimit("f", "flight", 2.0, 100.0), (0.0, 50.0, 500.0), 1, []),
        (FleetLimit("r", "rate", 10.0, burst=2.0), (0.0, 1.0, 2.0), 0, ["over-rate"]),
        (FleetLimit("r", "rate", 10.0, burst=2.0), (0.0, 1.0, 101.0), 0, []),
    ],
)
def test_budget_checker_reports_occupancy_over_the_limit(
    limit: FleetLimit, times_ms: tuple[float, ...], releases: int, expected_rules: list[str]
) -> None:
    checker = BudgetChecker(limit)
    for now_ms in times_ms[:2]:
        checker.spend(now_ms, "d0")
    for _ in range(releases):
        checker.release()
    checker.spend(times_ms[2], "d0")
    assert [violation.rule for violation in checker.violations] == expected_rules
