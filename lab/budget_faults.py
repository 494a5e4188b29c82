"""Faults that can be injected into the budget code. Each replaces a method; importing this module registers them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from beechslip.budgets.allocator import Allocator, QuotaRequest
from beechslip.budgets.leader import AllocationLeader
from beechslip.budgets.limit import FleetLimit, FloorLoan
from beechslip.budgets.messages import AllocationRequest
from beechslip.budgets.quota import Quota
from lab.injected_faults import register_replacement

GROUP = "budgets"
Method = Callable[..., Any]
SUSPECTED_AFTER_MS = 600.0
HIGHEST_ROUND = 1 << 52  # above that of any leader in a run


def _new_allocator_does_not_wait(original: Method) -> Method:
    """A new allocator grants at once, though grants of an earlier one may still be valid."""

    def init(self: Allocator, limit: FleetLimit, token: int, now_ms: float) -> None:
        original(self, limit, token, now_ms)
        self.earlier_grants_end_ms = now_ms

    return init


def _granted_again_on_suspicion(original: Method) -> Method:
    """The allocator grants the amount of a member again that it has not heard from for a while."""

    def expire(self: Allocator, now_ms: float) -> None:
        for name, demand in list(self._demands.items()):
            if now_ms - demand.at_ms > SUSPECTED_AFTER_MS:
                self._reservations.pop(name, None)
        original(self, now_ms)

    return expire


def _spendings_not_held_back(original: Method) -> Method:
    """The allocator does not reserve what was spent of a grant beyond the end of the grant."""
    return lambda self: self.limit.grant_ms * (1.0 + self.limit.drift)


def _loan_from_arrival(original: Method) -> Method:
    """A loan counts from when the allocator hears of it, however late that is, and not by the lender's time."""

    def record_loan(self: Allocator, now_ms: float, member: str, incarnation: int, request: QuotaRequest) -> None:
        if request.lent_amount:
            self._loans[member] = [FloorLoan(request.lent_amount, now_ms + self.limit.loan_ms())]

    return record_loan


def _grant_runs_from_answer(original: Method) -> Method:
    """The time of a grant runs from the response instead of the request."""

    def accept_grant(self: Quota, now_ms: float, seq: int, amount: float) -> Any:
        if seq in self._requested_ms:
            self._requested_ms[seq] = now_ms
        return original(self, now_ms, seq, amount)

    return accept_grant


def _restart_spends_at_once(original: Method) -> Method:
    """A restarted member uses its floor at once, instead of waiting until its earlier uses have ended."""

    def init(
        self: Quota, limit: FleetLimit, now_ms: float, floor: float, usable_from_ms: float | None = None
    ) -> None:
        original(self, limit, now_ms, floor, now_ms)

    return init


def _restart_forgets_loans(original: Method) -> Method:
    """A restarted member uses its whole floor, whatever its earlier incarnation has lent."""

    def init(
        self: Quota, limit: FleetLimit, now_ms: float, floor: float, usable_from_ms: float | None = None
    ) -> None:
        original(self, limit, now_ms, floor, usable_from_ms)
        self._loans = []

    return init


def _floors_of_all_at_once(original: Method) -> Method:
    """New members have floors at once, while the others may not have heard of the new declared set."""

    def floor(self: FleetLimit, members: int, members_before: int = 0, number: int = 0) -> Any:
        return original(self, members)

    return floor


def _floors_of_the_living(original: Method) -> Method:
    """The floors are divided among the members that seem alive, here two fewer than are declared."""

    def floor(self: FleetLimit, members: int, members_before: int = 0, number: int = 0) -> Any:
        return original(self, max(1, members - 2), max(0, members_before - 2), number)

    return floor


def _excess_not_counted(original: Method) -> Method:
    """A member with a smaller grant reports that it uses no more than that."""
    return lambda self, now_ms: 0.0


def _grant_brings_tokens(original: Method) -> Method:
    """A grant adds tokens to the bucket of a rate."""

    def accept_grant(self: Quota, now_ms: float, seq: int, amount: float) -> Any:
        accepted = original(self, now_ms, seq, amount)
        if accepted:
            self._tokens += self.limit.burst * amount / self.limit.amount
        return accepted

    return accept_grant


def _late_write_not_confirmed(original: Method) -> Method:
    """A use that was checked before a suspension and is written after it counts from the check."""

    def confirm(self: Quota, now_ms: float) -> None:
        self._unconfirmed.clear()
        self._unconfirmed_tokens = 0

    return confirm


def _limit_for_each(original: Method) -> Method:
    """Each member uses the whole fleet-wide limit by itself."""
    return lambda self, now_ms: self.limit.amount


def _lent_is_spent(original: Method) -> Method:
    """A member goes on using the amount that it has lent."""
    return lambda self, now_ms: 0.0


def _earlier_ballot_accepted(original: Method) -> Method:
    """A new leader accepts requests that were meant for an earlier one."""

    def allocate(self: AllocationLeader, now_ms: float, sender: str, request: AllocationRequest) -> Any:
        return original(self, now_ms, sender, dataclasses.replace(request, round=HIGHEST_ROUND))

    return allocate


register_replacement(
    "new-keeper-does-not-wait",
    GROUP,
    "a new leader grants before older grants have ended",
    Allocator,
    "__init__",
    _new_allocator_does_not_wait,
)
register_replacement(
    "given-again-on-suspicion",
    GROUP,
    "the grant of a silent member is granted again",
    Allocator,
    "_expire",
    _granted_again_on_suspicion,
)
register_replacement(
    "ends-by-the-answer",
    GROUP,
    "the time of a grant runs from its answer",
    Quota,
    "accept_grant",
    _grant_runs_from_answer,
)
register_replacement(
    "restart-spends-at-once",
    GROUP,
    "a restarted member spends its floor at once",
    Quota,
    "__init__",
    _restart_spends_at_once,
)
register_replacement(
    "floors-of-all-at-once",
    GROUP,
    "floors of new members count before the others may have heard of them",
    FleetLimit,
    "floor",
    _floors_of_all_at_once,
)
register_replacement(
    "floors-of-the-living",
    GROUP,
    "floors are divided among the members that seem alive",
    FleetLimit,
    "floor",
    _floors_of_the_living,
)
register_replacement(
    "spendings-not-held-back",
    GROUP,
    "the spent part of a grant is free again when the grant ends",
    Allocator,
    "_reservation_ms",
    _spendings_not_held_back,
)
register_replacement(
    "in-flight-not-counted",
    GROUP,
    "a member with a smaller grant reports nothing over it",
    Quota,
    "excess",
    _excess_not_counted,
)
register_replacement(
    "grant-brings-tokens", GROUP, "a grant adds tokens to the bucket", Quota, "accept_grant", _grant_brings_tokens
)
register_replacement(
    "no-stamp",
    GROUP,
    "a use that was checked before a pause still counts from the check",
    Quota,
    "confirm",
    _late_write_not_confirmed,
)
register_replacement(
    "whole-for-each", GROUP, "each member spends the fleet-wide limit by itself", Quota, "capacity", _limit_for_each
)
register_replacement(
    "loan-from-the-word",
    GROUP,
    "a loan counts from when the leader hears of it",
    Allocator,
    "_record_loan",
    _loan_from_arrival,
)
register_replacement(
    "lends-and-spends",
    GROUP,
    "a member goes on spending the amount that it has lent",
    Quota,
    "lent_amount",
    _lent_is_spent,
)
register_replacement(
    "restart-forgets-loans",
    GROUP,
    "a restarted member forgets what it has lent",
    Quota,
    "__init__",
    _restart_forgets_loans,
)
register_replacement(
    "any-ballot",
    GROUP,
    "a new leader accepts requests meant for an earlier one",
    AllocationLeader,
    "allocate",
    _earlier_ballot_accepted,
)
