"""The ways to divide a fleet-wide limit, weighed by figures on the same seeds: today's static division, budgets as
built, escrow moved pairwise, and single units as leases.

    .venv/bin/python -m bench.ways [--seeds 8] [--out bench/results]

*Escrow* (the demarcation protocol of Barbara and Garcia-Molina; bounded counters): each proxy begins with its even
part; who is short asks three others, and each gives half of what it has free. What is given leaves the giver before
it is sent and is sent again until it is acknowledged, so that it is never there twice. Nobody can know what a dead
proxy had or whether a transfer reached it: both are lost for good, and one that starts again begins with nothing.
*Units as leases*: one PaxosLease a unit, ten members, counted in datagrams. Writes ``ways.md``.
"""

from __future__ import annotations

import argparse
import itertools
import random
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from beechslip.budgets.limit import Cost, FleetLimit
from beechslip.budgets.quota import Quota
from beechslip.leases.paxos import LeaseTuning
from bench.budget_measures import DEATH_MS, END_MS, LATE_MS, NO_DRILL_MS, TICK_MS, Day, death_faults
from bench.text import page
from lab.virtual import VirtualFleet
from lab.virtual_plan import NetworkConditions, RunPlan

SIZE = 10
REQUEST_INTERVAL_MS = 500.0
RESEND_MS = 200.0  # until a transfer is acknowledged
ASKED_MEMBERS = 3  # by one that is short
WAYS = ("static", "lent", "pool", "escrow")
LOSSES = (0.0, 0.1)
AFTER_MS = 10_000.0  # from the deaths
LAST_MS = 10_000.0  # of the day, when all have been back for 15 s
LEASE_COUNTS = (1, 10, 40)
LEASE_RUN_MS = 30_000.0


class DayKind(NamedTuple):
    """What happens on a day: the fraction that dies, and whether one proxy has five times the others' traffic."""

    dying: float
    is_unequal: bool


DAYS = {"unequal": DayKind(0.0, True), "three die": DayKind(0.3, False), "seven die": DayKind(0.7, False)}


@dataclass(frozen=True, slots=True)
class Transfer:
    """``amount`` of a limit moves to the receiver; ``number`` is the giver's."""

    limit: str
    amount: float
    number: int


@dataclass(frozen=True, slots=True)
class TransferAck:
    """Transfer ``number`` of the receiver of this has arrived."""

    limit: str
    number: int


@dataclass(frozen=True, slots=True)
class TransferRequest:
    """The sender is short of a limit."""

    limit: str


EscrowMessage = Transfer | TransferAck | TransferRequest
Outgoing = list[tuple[str, EscrowMessage]]


@dataclass(slots=True)
class _PendingTransfer:
    """A transfer that is not acknowledged yet, and when it was sent last."""

    to: str
    transfer: Transfer
    sent_ms: float


class Escrow:
    """What one proxy has of the limits; the interface that :class:`bench.budget_measures.Day` drives."""

    def __init__(
        self, me: str, others: list[str], limits: tuple[FleetLimit, ...], now: float, is_first: bool, seed: int
    ) -> None:
        """``is_first``: the fleet begins, so that it has its even part; else it starts again with nothing."""
        self.me = me
        self.others = others
        self.rng = random.Random(f"{me} {seed} {now}")
        part = 1.0 / (len(others) + 1) if is_first else 0.0
        usable_from_ms = now if is_first else None
        self.quotas = {limit.name: Quota(limit, now, limit.amount * part, usable_from_ms) for limit in limits}
        for quota in self.quotas.values():
            quota._loans = []
        self._short: set[str] = set()
        self._pending: dict[int, _PendingTransfer] = {}
        self._received: set[tuple[str, int]] = set()
        self._numbers = itertools.count(self.rng.getrandbits(40))
        self._requested_ms = now

    def spend(self, now: float, costs: Sequence[Cost]) -> bool:
        """As :meth:`beechslip.budgets.node.BudgetNode.spend`, of one cost."""
        (cost,) = costs
        is_allowed = self.quotas[cost.limit].spend(now, cost.amount)
        if not is_allowed:
            self._short.add(cost.limit)
        return is_allowed

    def confirm(self, now: float) -> None:
        """What was spent has been written."""
        for quota in self.quotas.values():
            quota.confirm(now)

    def release(self, now: float, name: str, ended_by_backend: bool = False) -> None:
        """One that was in flight has ended."""
        self.quotas[name].release(now, ended_by_backend)

    def tick(self, now: float) -> Outgoing:
        """Transfers that are due again, and the requests for what was short."""
        out: Outgoing = []
        for pending in self._pending.values():
            if now - pending.sent_ms >= RESEND_MS:
                pending.sent_ms = now
                out.append((pending.to, pending.transfer))
        if now - self._requested_ms >= REQUEST_INTERVAL_MS:
            self._requested_ms = now
            for name in sorted(self._short):
                out += [(to, TransferRequest(name)) for to in self.rng.sample(self.others, ASKED_MEMBERS)]
            self._short.clear()
        return out

    def receive(self, now: float, sender: str, message: EscrowMessage) -> Outgoing:
        """Take a message; what it is answered."""
        if isinstance(message, TransferAck):
            self._pending.pop(message.number, None)
            return []
        if isinstance(message, TransferRequest):
            return self._give(now, sender, message.limit)
        if (sender, message.number) not in self._received:
            self._received.add((sender, message.number))
            self.quotas[message.limit].floor += message.amount
        return [(sender, TransferAck(message.limit, message.number))]

    def _give(self, now: float, to: str, limit: str) -> Outgoing:
        """Half of what is free, unless this proxy is short itself; rates are not moved."""
        quota = self.quotas[limit]
        free = quota.available(now)
        if quota.limit.kind == "rate" or limit in self._short or free // 2 < 1.0:
            return []
        amount = free // 2
        quota.floor -= amount
        transfer = Transfer(limit, amount, next(self._numbers))
        self._pending[transfer.number] = _PendingTransfer(to, transfer, now)
        return [(to, transfer)]


class EscrowDay(Day):
    """Transfers go over the same network; there is no lease in it."""

    def _boot(self, name: str) -> None:
        super()._boot(name)
        others = [f"d{n}" for n in range(self.plan.size) if f"d{n}" != name]
        local = self._local_ms(self.members[name])
        self.nodes[name] = Escrow(name, others, self.base_limits, local, self.now == 0.0, self.seed)  # type: ignore[assignment]

    def _pass_through_codec(self, sender: str, message: Any) -> Any:
        return message if isinstance(message, EscrowMessage) else super()._pass_through_codec(sender, message)

    def _send_budgets(self, sender: str, out: Any) -> None:
        self.budget_datagrams += len(out)
        self._send(sender, out)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        member = self.members.get(to)
        if not isinstance(message, EscrowMessage):
            super()._deliver(sender, to, message)
        elif member is not None and not member.is_stopped:
            self._send_budgets(to, self.nodes[to].receive(self._local_ms(member), sender, message))  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class WayResult:
    """A day under one way: the fractions of the requests served (of all, and of the busy proxy), the fractions of the
    fills in use after the deaths and at the end, datagrams a request, and violations."""

    served: float
    busy_served: float
    used_after: float
    used_at_end: float
    datagrams: float
    violations: float


def measure_day(day: str, way: str, loss: float, seed: int) -> WayResult:
    """Run a day of ``DAYS`` under a way of ``WAYS``, as in :mod:`bench.budget_measures`."""
    kind = DAYS[day]
    faults = death_faults(random.Random(f"ways {day} {seed}"), SIZE, kind.dying)
    weights = {f"d{n}": 5.0 if kind.is_unequal and n == 0 else 1.0 for n in range(SIZE)}
    fleet_type = EscrowDay if way == "escrow" else Day
    fleet = fleet_type(SIZE, seed, way, NetworkConditions(loss, 0.0, loss, LATE_MS), END_MS, faults, weights)
    fleet.run()
    total = fleet.total()
    busy = fleet.requests["d0"]
    return WayResult(
        served=total.served / total.made,
        busy_served=busy.served / max(1, busy.made),
        used_after=fleet.mean_in_use("flight", DEATH_MS + AFTER_MS),
        used_at_end=float(np.mean([used["flight"] for t, used in fleet.samples if t > END_MS - LAST_MS])),
        datagrams=fleet.sent / total.made,
        violations=float(fleet.violations()),
    )


def lease_datagrams(count: int, seed: int = 1) -> float:
    """Datagrams a second of ten members that hold ``count`` leases between them."""
    plan = RunPlan(
        SIZE,
        tuple(f"u{n}" for n in range(count)),
        LEASE_RUN_MS,
        NetworkConditions(),
        [],
        tuning=LeaseTuning(),
        tick_ms=TICK_MS,
        drill_every_ms=NO_DRILL_MS,
    )
    fleet = VirtualFleet(plan, seed)
    fleet.run()
    return fleet.sent / (LEASE_RUN_MS / 1000.0)


def ways_section(pool: ProcessPoolExecutor, seeds: list[int]) -> list[str]:
    """Each way on each day, with and without loss."""
    lines = [
        "Ten proxies, virtual time, days as in `budgets.md`; means over the seeds. Fraction of the limit in use: "
        "fills in flight, 10 s after the deaths and in the last 10 s, when all have been back for 15 s.",
        "",
        "| day | loss | way | served | the busy served | in use after 10 s | at the end | datagrams/request "
        "| above the limit |",
        "| --- | ---: | --- |" + " ---: |" * 6,
    ]
    cases = [(day, way, loss) for day in DAYS for way in WAYS for loss in LOSSES]
    days = [(*case, seed) for case in cases for seed in seeds]
    results = iter(list(pool.map(measure_day, *zip(*days, strict=True))))
    for day, way, loss in cases:
        found = [next(results) for _ in seeds]
        served = np.mean([result.served for result in found])
        busy = np.mean([result.busy_served for result in found])
        after = np.mean([result.used_after for result in found])
        end = np.mean([result.used_at_end for result in found])
        datagrams = np.mean([result.datagrams for result in found])
        violations = np.mean([result.violations for result in found])
        lines.append(
            f"| {day} | {loss:.0%} | {way} | {served:.2f} | {busy:.2f} | {after:.2f} | {end:.2f} "
            f"| {datagrams:.3f} | {violations:g} |"
        )
        print(lines[-1], flush=True)
    return lines


def leases_section(pool: ProcessPoolExecutor) -> list[str]:
    """What single units as leases cost."""
    lines = [
        "",
        "## Single units as leases",
        "",
        "Ten members, settings as shipped, nothing lost; all want all.",
        "",
        "| leases | datagrams a second | of one lease |",
        "| ---: | ---: | ---: |",
    ]
    datagrams = list(pool.map(lease_datagrams, LEASE_COUNTS))
    for count, rate in zip(LEASE_COUNTS, datagrams, strict=True):
        lines.append(f"| {count} | {rate:.0f} | {rate / datagrams[0]:.1f} |")
        print(lines[-1])
    return lines


def main() -> None:
    """Measure all ways and write the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    lines = ["# Ways to divide a fleet-wide limit", "", f"`python -m bench.ways --seeds {args.seeds}`", ""]
    with ProcessPoolExecutor(args.workers) as pool:
        lines += ways_section(pool, list(range(1, args.seeds + 1)))
        lines += leases_section(pool)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "ways.md").write_text(page(lines))


if __name__ == "__main__":
    main()
