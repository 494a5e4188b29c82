"""Runs budgets in virtual time: the proxies' own :class:`BudgetNode` on the lease fleet of :mod:`lab.virtual`.

Each member uses three limits (a window, a number in flight, a rate) as far as they allow and its changing demand
requires. A use takes effect at the backend up to ``travel_ms`` after it is made, and so does its end. A suspended
member may have checked a limit and not yet written the use; it writes it when it continues. In a third of the runs
the limits become smaller or larger by a file that members read seconds apart.

Each effect is passed to a checker with its true time. At every instant the use must be within the limit. After a
change the larger limit applies until :func:`lab.budget_checker.settled_ms` after the last member has read the file.
"""

from __future__ import annotations

import dataclasses
import random
import zlib
from functools import partial
from typing import Any

from beechslip.budgets.floors import DeclaredMembers
from beechslip.budgets.leader import LEASE
from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.budgets.messages import AllocationGrant, AllocationRequest, decode_budget, encode_budget
from beechslip.budgets.node import BudgetNode
from beechslip.fleet.codec import decode, encode
from beechslip.fleet.messages import PeerMessage
from lab.budget_checker import BudgetChecker, settled_ms
from lab.virtual import FLEET_NAME, VirtualFleet
from lab.virtual_plan import RunPlan, draw_plan

LIMITS = (
    FleetLimit("window", "window", 60.0, 800.0, 0.4, grant_ms=1000.0, travel_ms=30.0),
    FleetLimit("flight", "flight", 36.0, 500.0, 0.4, grant_ms=1000.0, travel_ms=30.0),
    FleetLimit("rate", "rate", 40.0, 0.0, 0.5, burst=24.0, grant_ms=1000.0, travel_ms=30.0),
)
WINDOW_USE_COST = 0.25  # of most uses of the window, so that hardly any of the limit is lost by rounding
NO_DRILL_MS = 1e12  # between drills; longer than any run
AMOUNT_FACTORS = (0.7, 1.5)  # by one of which the limits are multiplied in a third of the runs
UNWRITTEN_PROBABILITY = 0.7  # that a suspended member has checked a limit and not yet written
DEMAND_PERIOD_MS = 1500.0  # how long a member stays busy, quiet or silent
BUSY_DEMAND = 12  # uses of each limit that a busy member wants per tick
DEMANDS = (0, 1, BUSY_DEMAND)
MIN_IN_FLIGHT_MS = 5.0


class BudgetFleet(VirtualFleet):
    """One seeded run. ``checkers`` has the checker of each limit.

    ``scale`` has, by member, the factor by which the member's file multiplies the amounts.
    """

    def __init__(self, seed: int, plan: RunPlan | None = None, base_limits: tuple[FleetLimit, ...] = LIMITS) -> None:
        """Draw the plan from ``seed`` unless it is given; ``base_limits`` are the limits before a change."""
        is_drawn = plan is None
        plan = plan or dataclasses.replace(
            draw_plan(seed), lease_names=(LEASE,), drill_every_ms=NO_DRILL_MS, use_codec=False
        )
        self.base_limits = base_limits
        self.checkers = {limit.name: BudgetChecker(limit) for limit in base_limits}
        self.nodes: dict[str, BudgetNode] = {}
        self.scale: dict[str, float] = {}
        self._unwritten: dict[str, list[str]] = {}  # by suspended member: limits checked and not written
        self.seed = seed
        self.use_codec = seed % 10 == 0
        self.budget_datagrams = 0
        self.budget_bytes = 0
        super().__init__(plan, seed)
        if is_drawn and seed % 3 == 0:
            self._schedule_rescale(plan)

    def _schedule_rescale(self, plan: RunPlan) -> None:
        """Let all members, also those declared later, read other amounts, each within two seconds."""
        rng = random.Random(f"scale {self.seed}")
        scale = rng.choice(AMOUNT_FACTORS)
        begin_ms = rng.uniform(3_000, 7_000)
        declared = [int(target[0][1:]) + 1 for _, kind, target in plan.faults if kind == "declare"]
        for number in range(max([plan.size, *declared])):
            self._call_at(
                begin_ms + rng.uniform(0, 2_000), partial(self._apply_fault, "scale", (f"d{number}", scale))
            )

    def limits(self, name: str) -> list[FleetLimit]:
        """Return the limits as they are in the file of member ``name``."""
        scale = self.scale.get(name, 1.0)
        return [_scaled(limit, scale) for limit in self.base_limits]

    def _boot(self, name: str) -> None:
        super()._boot(name)
        member = self.members[name]
        declared = self._declared_set(name)
        self._unwritten.pop(name, None)
        node = self.nodes[name] = BudgetNode(
            name,
            member.node,
            self._incarnations[name],
            self._local_ms(member),
            declared.members,
            declared.members_before,
        )
        node.set_limits(self._local_ms(member), self.limits(name))

    def _declared_set(self, name: str) -> DeclaredMembers:
        sets = self.declared[name]
        return DeclaredMembers(sets[-1], sets[0] if len(sets) > 1 else 0)

    def _apply_fault(self, kind: str, target: Any) -> None:
        if kind == "scale":
            self._rescale(*target)
            return
        if kind == "stop" and target in self.members and not self.members[target].is_stopped:
            self._unwritten[target] = self._check_without_writing(target)
        super()._apply_fault(kind, target)
        if kind == "declare" and target[0] in self.members:
            self.nodes[target[0]].declare(self._local_ms(self.members[target[0]]), self._declared_set(target[0]))

    def _check_without_writing(self, name: str) -> list[str]:
        """Let a member that is being suspended use some limits, and return those limits for the later write."""
        node = self.nodes[name]
        local_ms = self._local_ms(self.members[name])
        return [
            limit.name
            for limit in self.base_limits
            if self.rng.random() < UNWRITTEN_PROBABILITY and node.spend(local_ms, [LimitCost(limit.name, 1.0)])
        ]

    def _rescale(self, name: str, scale: float) -> None:
        """Change the amounts in a member's file. A suspended member reads the file when it continues."""
        member = self.members.get(name)
        if member is not None and member.is_stopped:
            member.waiting_calls.append(partial(self._rescale, name, scale))
            return
        self.scale[name] = scale
        if member is not None:
            self.nodes[name].set_limits(self._local_ms(member), self.limits(name))
        for limit in self.base_limits:
            checker = self.checkers[limit.name]
            if scale > 1.0:
                checker.bound = limit.amount * scale
                checker.limit = dataclasses.replace(limit, burst=limit.burst * scale)
            elif set(self.declared) <= set(self.scale):
                self._call_at(self.now + settled_ms(limit), partial(self._reduce_bound, checker, limit, scale))

    @staticmethod
    def _reduce_bound(checker: BudgetChecker, limit: FleetLimit, scale: float) -> None:
        checker.bound = limit.amount * scale
        if limit.kind == "rate":  # tokens saved up before may still be spent from the larger bucket
            checker.limit = dataclasses.replace(limit, burst=limit.burst * scale)

    def _resume(self, target: str) -> None:
        """Continue a suspended member in the middle of its step: it writes what it had checked."""
        member = self.members.get(target)
        if member is not None and member.is_stopped:
            for limit in self._unwritten.pop(target, ()):
                self._record_use(target, limit)
            self.nodes[target].confirm(self._local_ms(member))
        super()._resume(target)

    def demand(self, name: str) -> int:
        """Return the number of uses of each limit that a member wants per tick.

        Each member is busy, quiet or silent for a while. In a quarter of the runs all members are busy all the time,
        so that the limits are used up and an error cannot go unnoticed.
        """
        if self.seed % 4 == 0:
            return BUSY_DEMAND
        period = self.now // DEMAND_PERIOD_MS
        return DEMANDS[zlib.crc32(f"{name} {self.seed} {period}".encode()) % len(DEMANDS)]

    def _run_member(self, name: str, member: Any) -> None:
        super()._run_member(name, member)
        node = self.nodes[name]
        local_ms = self._local_ms(member)
        self._send_budgets(name, node.tick(local_ms))
        wanted = self.demand(name)
        for limit in self.base_limits:
            cost = WINDOW_USE_COST if limit.kind == "window" else 1.0
            for _ in range(int(wanted / cost)):
                if not node.spend(local_ms, [LimitCost(limit.name, cost)]):
                    break
                node.confirm(local_ms)
                self._record_use(name, limit.name, cost)

    def _record_use(self, name: str, limit: str, cost: float = 1.0) -> None:
        """Schedule the effects of a use at the checker.

        The use takes effect a little later. An attempt in flight either ends at the backend, whatever happens to the
        member that made it, or is given up by the member, so that its end takes effect at the backend a little later.
        """
        checker = self.checkers[limit]
        travel_ms = checker.limit.travel_ms
        began_ms = self.now + self.rng.uniform(0.0, travel_ms)
        self._call_at(began_ms, lambda: checker.spend(self.now, name, cost))
        if checker.limit.kind != "flight":
            return
        ended_ms = began_ms + self.rng.uniform(MIN_IN_FLIGHT_MS, checker.limit.base_occupancy_ms - travel_ms)
        is_given_up = self.rng.random() < 0.5
        effect_delay_ms = self.rng.uniform(0.0, travel_ms) if is_given_up else 0.0
        self._call_at(ended_ms + effect_delay_ms, checker.release)
        report_delay_ms = 0.0 if is_given_up else self.rng.uniform(0.0, travel_ms)
        release = partial(self._release, name, self._incarnations[name], limit, not is_given_up)
        self._call_at(ended_ms + report_delay_ms, release)

    def _release(self, name: str, incarnation: int, limit: str, ended_by_backend: bool) -> None:
        """Tell a member that an attempt of its incarnation has ended, or, if suspended, when it continues."""
        member = self.members.get(name)
        if member is None or self._incarnations[name] != incarnation:
            return
        if member.is_stopped:
            member.waiting_calls.append(partial(self._release, name, incarnation, limit, ended_by_backend))
        else:
            self.nodes[name].release(self._local_ms(member), limit, ended_by_backend)

    def _pass_through_codec(self, sender: str, message: Any) -> Any:
        """Return ``message``; budget messages are encoded and decoded elsewhere, with their own codec."""
        if isinstance(message, (AllocationRequest, AllocationGrant)):
            return message
        return super()._pass_through_codec(sender, message)

    def _send_budgets(self, sender: str, out: Any) -> None:
        """Send and count a node's messages. With ``use_codec`` each encoded message must be decodable."""
        for _, message in out:
            data = encode(PeerMessage("budget", sender, 0, body=encode_budget(message)), FLEET_NAME)
            self.budget_datagrams += 1
            self.budget_bytes += len(data)
            if self.use_codec:
                decode_budget(decode(data, FLEET_NAME).body)
        self._send(sender, out)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        member = self.members.get(to)
        is_budget = isinstance(message, (AllocationRequest, AllocationGrant))
        if is_budget and member is not None and not member.is_stopped:
            self._send_budgets(to, self.nodes[to].receive(self._local_ms(member), sender, message))
        else:
            super()._deliver(sender, to, message)


def _scaled(limit: FleetLimit, scale: float) -> FleetLimit:
    return dataclasses.replace(limit, amount=limit.amount * scale, burst=limit.burst * scale)
