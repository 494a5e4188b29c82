"""Budgets in virtual time: the proxies' own :class:`BudgetNode` on the lease fleet of :mod:`lab.virtual`.

Each member spends of three limits (a window, a number in flight, a rate) as fast as it is allowed, with a demand that
moves. A spending is felt up to ``travel_ms`` later than it is made, and so is its end. A member that is stopped may
have checked and not yet written, and does so when it goes on. In a third of the runs the limits become smaller or
larger by a file that members read seconds apart. What is felt goes to a checker by its true time: at every instant at
most the limit (after a change: the larger of the two until the stated time, :func:`lab.budget_checker.settled_ms`,
after the last has read it).
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
from lab.virtual import FLEET, VirtualFleet
from lab.virtual_plan import Plan, schedule

LIMITS = (
    FleetLimit("window", "window", 60.0, 800.0, 0.4, grant_ms=1000.0, travel_ms=30.0),
    FleetLimit("flight", "flight", 36.0, 500.0, 0.4, grant_ms=1000.0, travel_ms=30.0),
    FleetLimit("rate", "rate", 40.0, 0.0, 0.5, burst=24.0, grant_ms=1000.0, travel_ms=30.0),
)
WINDOW_COST = 0.25  # of most of what is spent of the window, so that hardly any of it is lost to whole numbers
NEVER_MS = 1e12  # no drill is due in a run
SCALES = (0.7, 1.5)  # by which the limits change in a third of the runs
UNWRITTEN_PROBABILITY = 0.7  # that a member which is stopped has checked, of each limit, and not yet written
DEMAND_TURN_MS = 1500.0  # how long a member stays busy, quiet or silent
BUSY_DEMAND = 12  # spendings that a busy member wants of each limit in a turn
DEMANDS = (0, 1, BUSY_DEMAND)
MIN_FLIGHT_MS = 5.0


class BudgetFleet(VirtualFleet):
    """One seeded run; ``checkers`` by limit. ``scale`` is what the members' files multiply the amounts by."""

    def __init__(self, seed: int, plan: Plan | None = None, base: tuple[FleetLimit, ...] = LIMITS) -> None:
        """Without ``plan`` the faults are drawn from ``seed``; ``base`` are the limits before a change."""
        is_drawn = plan is None
        plan = plan or dataclasses.replace(schedule(seed), names=(LEASE,), drill_every_ms=NEVER_MS, wire=False)
        self.base = base
        self.checkers = {limit.name: BudgetChecker(limit) for limit in base}
        self.nodes: dict[str, BudgetNode] = {}
        self.scale: dict[str, float] = {}
        self._unwritten: dict[str, list[str]] = {}  # by suspended member: limits it has checked and not written
        self.seed = seed
        self.wire = seed % 10 == 0
        self.budget_datagrams = 0
        self.budget_bytes = 0
        super().__init__(plan, seed)
        if is_drawn and seed % 3 == 0:
            self._schedule_rescale(plan)

    def _schedule_rescale(self, plan: Plan) -> None:
        """All members, also those declared later, read of other amounts within two seconds."""
        rng = random.Random(f"scale {self.seed}")
        scale = rng.choice(SCALES)
        begin = rng.uniform(3_000, 7_000)
        declared = [int(whom[0][1:]) + 1 for _, what, whom in plan.faults if what == "declare"]
        for number in range(max([plan.size, *declared])):
            self._at(begin + rng.uniform(0, 2_000), partial(self._fault, "scale", (f"d{number}", scale)))

    def limits(self, name: str) -> list[FleetLimit]:
        """The limits as the file of member ``name`` has them."""
        scale = self.scale.get(name, 1.0)
        return [_scaled(limit, scale) for limit in self.base]

    def _boot(self, name: str) -> None:
        super()._boot(name)
        member = self.members[name]
        declared = self._declared_set(name)
        self._unwritten.pop(name, None)
        node = self.nodes[name] = BudgetNode(
            name, member.node, self._lives[name], self._local(member), declared.members, declared.members_before
        )
        node.set_limits(self._local(member), self.limits(name))

    def _declared_set(self, name: str) -> DeclaredMembers:
        sets = self.declared[name]
        return DeclaredMembers(sets[-1], sets[0] if len(sets) > 1 else 0)

    def _fault(self, what: str, whom: Any) -> None:
        if what == "scale":
            self._rescale(*whom)
            return
        if what == "stop" and whom in self.members and not self.members[whom].stopped:
            self._unwritten[whom] = self._check_without_writing(whom)
        super()._fault(what, whom)
        if what == "declare" and whom[0] in self.members:
            self.nodes[whom[0]].declare(self._local(self.members[whom[0]]), self._declared_set(whom[0]))

    def _check_without_writing(self, name: str) -> list[str]:
        """The limits that a member has spent of when it is stopped right before the write."""
        node = self.nodes[name]
        local = self._local(self.members[name])
        return [
            limit.name
            for limit in self.base
            if self.rng.random() < UNWRITTEN_PROBABILITY and node.spend(local, [LimitCost(limit.name, 1.0)])
        ]

    def _rescale(self, name: str, scale: float) -> None:
        """The member's file names other amounts; one that is stopped reads it when it goes on."""
        member = self.members.get(name)
        if member is not None and member.stopped:
            member.waiting.append(partial(self._rescale, name, scale))
            return
        self.scale[name] = scale
        if member is not None:
            self.nodes[name].set_limits(self._local(member), self.limits(name))
        for limit in self.base:
            checker = self.checkers[limit.name]
            if scale > 1.0:
                checker.bound = limit.amount * scale
                checker.limit = dataclasses.replace(limit, burst=limit.burst * scale)
            elif set(self.declared) <= set(self.scale):
                self._at(self.now + settled_ms(limit), partial(self._tighten, checker, limit, scale))

    @staticmethod
    def _tighten(checker: BudgetChecker, limit: FleetLimit, scale: float) -> None:
        checker.bound = limit.amount * scale
        if limit.kind == "rate":  # what was saved up before may still be out of the larger bucket
            checker.limit = dataclasses.replace(limit, burst=limit.burst * scale)

    def _go(self, whom: str) -> None:
        """It goes on in the middle of its step: what it had checked is written now."""
        member = self.members.get(whom)
        if member is not None and member.stopped:
            for limit in self._unwritten.pop(whom, ()):
                self._felt(whom, limit)
            self.nodes[whom].confirm(self._local(member))
        super()._go(whom)

    def demand(self, name: str) -> int:
        """Attempts to spend of each limit in a turn: each member is busy, quiet or silent for a while. In a quarter
        of the runs all want all there is, so that the limit is used up and a mistake has no room to hide in."""
        if self.seed % 4 == 0:
            return BUSY_DEMAND
        turn = self.now // DEMAND_TURN_MS
        return DEMANDS[zlib.crc32(f"{name} {self.seed} {turn}".encode()) % len(DEMANDS)]

    def _turn(self, name: str, one: Any) -> None:
        super()._turn(name, one)
        node = self.nodes[name]
        local = self._local(one)
        self._pass_on(name, node.tick(local))
        wanted = self.demand(name)
        for limit in self.base:
            cost = WINDOW_COST if limit.kind == "window" else 1.0
            for _ in range(int(wanted / cost)):
                if not node.spend(local, [LimitCost(limit.name, cost)]):
                    break
                node.confirm(local)
                self._felt(name, limit.name, cost)

    def _felt(self, name: str, limit: str, cost: float = 1.0) -> None:
        """What was spent is felt a little later. An attempt ends at the backend by its own time, whatever became of
        who made it, or is given up here and felt to end a little later."""
        checker = self.checkers[limit]
        travel_ms = checker.limit.travel_ms
        began = self.now + self.rng.uniform(0.0, travel_ms)
        self._at(began, lambda: checker.spend(self.now, name, cost))
        if checker.limit.kind != "flight":
            return
        ended = began + self.rng.uniform(MIN_FLIGHT_MS, checker.limit.base_occupancy_ms - travel_ms)
        is_given_up = self.rng.random() < 0.5
        felt_after_ms = self.rng.uniform(0.0, travel_ms) if is_given_up else 0.0
        self._at(ended + felt_after_ms, checker.release)
        known_after_ms = 0.0 if is_given_up else self.rng.uniform(0.0, travel_ms)
        release = partial(self._release, name, self._lives[name], limit, not is_given_up)
        self._at(ended + known_after_ms, release)

    def _release(self, name: str, incarnation: int, limit: str, ended_by_backend: bool) -> None:
        """The member hears that an attempt of its incarnation has ended; one that is stopped when it goes on."""
        member = self.members.get(name)
        if member is None or self._lives[name] != incarnation:
            return
        if member.stopped:
            member.waiting.append(partial(self._release, name, incarnation, limit, ended_by_backend))
        else:
            self.nodes[name].release(self._local(member), limit, ended_by_backend)

    def _through(self, sender: str, message: Any) -> Any:
        """Budget messages have been through their own codec."""
        if isinstance(message, (AllocationRequest, AllocationGrant)):
            return message
        return super()._through(sender, message)

    def _pass_on(self, sender: str, out: Any) -> None:
        """Send a node's messages, and count them; with ``wire`` each must be readable as it was encoded."""
        for _, message in out:
            data = encode(PeerMessage("budget", sender, 0, body=encode_budget(message)), FLEET)
            self.budget_datagrams += 1
            self.budget_bytes += len(data)
            if self.wire:
                decode_budget(decode(data, FLEET).body)
        self._send(sender, out)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        member = self.members.get(to)
        is_budget = isinstance(message, (AllocationRequest, AllocationGrant))
        if is_budget and member is not None and not member.stopped:
            self._pass_on(to, self.nodes[to].receive(self._local(member), sender, message))
        else:
            super()._deliver(sender, to, message)


def _scaled(limit: FleetLimit, scale: float) -> FleetLimit:
    return dataclasses.replace(limit, amount=limit.amount * scale, burst=limit.burst * scale)
