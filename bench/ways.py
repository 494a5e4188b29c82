"""Compare ways to divide a fleet-wide limit, on the same seeds.

Compared are today's static division, budgets as implemented, escrow transfers between pairs of proxies, and a lease
for each single unit.

    .venv/bin/python -m bench.ways [--seeds 8] [--out bench/results]

*Escrow* is the demarcation protocol of Barbara and Garcia-Molina (bounded counters). Each proxy begins with its even
share. A proxy that is short asks three others, and each of them gives half of what it has free. The giver deducts the
amount before it sends the transfer, and resends the transfer until it is acknowledged, so that no amount exists
twice. The cost is that nobody can know what a dead proxy had or whether a transfer reached it. Both amounts are lost
for good, and a proxy that restarts begins with nothing. *Units as leases* is one PaxosLease for each unit, with ten
members. Its cost is counted in datagrams. Writes ``ways.md``.
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

from beechslip.budgets.limit import FleetLimit, LimitCost
from beechslip.budgets.quota import Quota
from beechslip.leases.paxos import LeaseTuning
from bench.budget_measures import (
    DEATHS_AT_MS,
    MAX_LATENESS_MS,
    NO_DRILL_MS,
    RUN_END_MS,
    TICK_MS,
    LoadedFleet,
    death_faults,
)
from bench.text import format_page
from lab.virtual import VirtualFleet
from lab.virtual_plan import NetworkConditions, RunPlan

FLEET_SIZE = 10
REQUEST_INTERVAL_MS = 500.0
RESEND_INTERVAL_MS = 200.0  # of a transfer that is not acknowledged
ASKED_MEMBER_COUNT = 3  # members that a proxy asks when it is short
DIVISIONS = ("static", "lent", "pool", "escrow")
LOSS_RATES = (0.0, 0.1)
SAMPLE_AFTER_DEATHS_MS = 10_000.0
END_SAMPLE_MS = 10_000.0  # length of the sample at the end, by when all members have been back for 15 s
LEASE_COUNTS = (1, 10, 40)
LEASE_RUN_MS = 30_000.0


class LoadScenario(NamedTuple):
    """What happens in a run: the fraction of members that die, and whether one has five times the others' traffic."""

    dying_fraction: float
    is_unequal: bool


LOAD_SCENARIOS = {
    "unequal": LoadScenario(0.0, True),
    "three die": LoadScenario(0.3, False),
    "seven die": LoadScenario(0.7, False),
}


@dataclass(frozen=True, slots=True)
class Transfer:
    """Moves ``amount`` of a limit to the receiver; the giver chooses ``number``."""

    limit: str
    amount: float
    number: int


@dataclass(frozen=True, slots=True)
class TransferAck:
    """Acknowledges transfer ``number``, which the receiver of this message gave."""

    limit: str
    number: int


@dataclass(frozen=True, slots=True)
class TransferRequest:
    """Says that the sender is short of a limit and asks for a transfer."""

    limit: str


EscrowMessage = Transfer | TransferAck | TransferRequest
Outgoing = list[tuple[str, EscrowMessage]]


@dataclass(slots=True)
class _PendingTransfer:
    """A transfer that is not yet acknowledged, and the time at which it was last sent."""

    to: str
    transfer: Transfer
    sent_ms: float


class Escrow:
    """The amounts of the limits that one proxy has.

    Has the interface that :class:`bench.budget_measures.LoadedFleet` uses.
    """

    def __init__(
        self, me: str, others: list[str], limits: tuple[FleetLimit, ...], now: float, is_first: bool, seed: int
    ) -> None:
        """Begin with the even share of each limit if ``is_first`` (the fleet starts), else with nothing."""
        self.me = me
        self.others = others
        self.rng = random.Random(f"{me} {seed} {now}")
        initial_share = 1.0 / (len(others) + 1) if is_first else 0.0
        usable_from_ms = now if is_first else None
        self.quotas = {
            limit.name: Quota(limit, now, limit.amount * initial_share, usable_from_ms) for limit in limits
        }
        for quota in self.quotas.values():
            quota._loans = []
        self._short: set[str] = set()
        self._pending: dict[int, _PendingTransfer] = {}
        self._received: set[tuple[str, int]] = set()
        self._numbers = itertools.count(self.rng.getrandbits(40))
        self._requested_ms = now

    def spend(self, now: float, costs: Sequence[LimitCost]) -> bool:
        """Spend one cost, like :meth:`beechslip.budgets.node.BudgetNode.spend`; return whether it is allowed."""
        (cost,) = costs
        is_allowed = self.quotas[cost.limit].spend(now, cost.amount)
        if not is_allowed:
            self._short.add(cost.limit)
        return is_allowed

    def confirm(self, now: float) -> None:
        """Confirm that the requests whose costs were spent have been written."""
        for quota in self.quotas.values():
            quota.confirm(now)

    def release(self, now: float, name: str, ended_by_backend: bool = False) -> None:
        """Record that an attempt in flight has ended."""
        self.quotas[name].release(now, ended_by_backend)

    def tick(self, now: float) -> Outgoing:
        """Return the transfers to resend, and the requests for limits that were short."""
        out: Outgoing = []
        for pending in self._pending.values():
            if now - pending.sent_ms >= RESEND_INTERVAL_MS:
                pending.sent_ms = now
                out.append((pending.to, pending.transfer))
        if now - self._requested_ms >= REQUEST_INTERVAL_MS:
            self._requested_ms = now
            for name in sorted(self._short):
                out += [(to, TransferRequest(name)) for to in self.rng.sample(self.others, ASKED_MEMBER_COUNT)]
            self._short.clear()
        return out

    def receive(self, now: float, sender: str, message: EscrowMessage) -> Outgoing:
        """Process a message and return the replies."""
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
        """Give half of what is free, unless this proxy is short itself. Rates are not transferred."""
        quota = self.quotas[limit]
        free = quota.available_amount(now)
        if quota.limit.kind == "rate" or limit in self._short or free // 2 < 1.0:
            return []
        amount = free // 2
        quota.floor -= amount
        transfer = Transfer(limit, amount, next(self._numbers))
        self._pending[transfer.number] = _PendingTransfer(to, transfer, now)
        return [(to, transfer)]


class EscrowFleet(LoadedFleet):
    """A fleet that divides the limits by escrow; transfers use the simulated network, and no lease is involved."""

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
class DivisionResult:
    """Results of one run with one division.

    ``served`` and ``busy_served`` are the fractions of the requests served, of all and of the busy proxy.
    ``used_after`` and ``used_at_end`` are the fractions in use of the limit of fills in flight, after the deaths and
    at the end. ``datagrams`` is per request.
    """

    served: float
    busy_served: float
    used_after: float
    used_at_end: float
    datagrams: float
    violations: float


def measure_run(scenario: str, division: str, loss: float, seed: int) -> DivisionResult:
    """Run a scenario of ``LOAD_SCENARIOS`` with a division of ``DIVISIONS``, as in :mod:`bench.budget_measures`."""
    load_scenario = LOAD_SCENARIOS[scenario]
    faults = death_faults(random.Random(f"ways {scenario} {seed}"), FLEET_SIZE, load_scenario.dying_fraction)
    weights = {f"d{n}": 5.0 if load_scenario.is_unequal and n == 0 else 1.0 for n in range(FLEET_SIZE)}
    fleet_type = EscrowFleet if division == "escrow" else LoadedFleet
    fleet = fleet_type(
        FLEET_SIZE, seed, division, NetworkConditions(loss, 0.0, loss, MAX_LATENESS_MS), RUN_END_MS, faults, weights
    )
    fleet.run()
    total_requests = fleet.total_requests()
    busy = fleet.requests["d0"]
    return DivisionResult(
        served=total_requests.served / total_requests.made,
        busy_served=busy.served / max(1, busy.made),
        used_after=fleet.mean_in_use("flight", DEATHS_AT_MS + SAMPLE_AFTER_DEATHS_MS),
        used_at_end=float(np.mean([used["flight"] for t, used in fleet.samples if t > RUN_END_MS - END_SAMPLE_MS])),
        datagrams=fleet.sent / total_requests.made,
        violations=float(fleet.violations()),
    )


def lease_datagrams(count: int, seed: int = 1) -> float:
    """Return the datagrams per second of ten members that hold ``count`` leases between them."""
    plan = RunPlan(
        FLEET_SIZE,
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


def divisions_section(pool: ProcessPoolExecutor, seeds: list[int]) -> list[str]:
    """Return the table of each division in each scenario, with and without loss."""
    lines = [
        "Ten proxies, virtual time, days as in `budgets.md`; means over the seeds. Fraction of the limit in use: "
        "fills in flight, 10 s after the deaths and in the last 10 s, when all have been back for 15 s.",
        "",
        "| day | loss | way | served | the busy served | in use after 10 s | at the end | datagrams/request "
        "| above the limit |",
        "| --- | ---: | --- |" + " ---: |" * 6,
    ]
    cases = [
        (scenario, division, loss) for scenario in LOAD_SCENARIOS for division in DIVISIONS for loss in LOSS_RATES
    ]
    runs = [(*case, seed) for case in cases for seed in seeds]
    results = iter(list(pool.map(measure_run, *zip(*runs, strict=True))))
    for scenario, division, loss in cases:
        case_results = [next(results) for _ in seeds]
        served = np.mean([result.served for result in case_results])
        busy = np.mean([result.busy_served for result in case_results])
        after = np.mean([result.used_after for result in case_results])
        end = np.mean([result.used_at_end for result in case_results])
        datagrams = np.mean([result.datagrams for result in case_results])
        violations = np.mean([result.violations for result in case_results])
        lines.append(
            f"| {scenario} | {loss:.0%} | {division} | {served:.2f} | {busy:.2f} | {after:.2f} | {end:.2f} "
            f"| {datagrams:.3f} | {violations:g} |"
        )
        print(lines[-1], flush=True)
    return lines


def leases_section(pool: ProcessPoolExecutor) -> list[str]:
    """Return the table of the cost of a lease for each single unit."""
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
    """Measure all divisions and write the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    lines = ["# Ways to divide a fleet-wide limit", "", f"`python -m bench.ways --seeds {args.seeds}`", ""]
    with ProcessPoolExecutor(args.workers) as pool:
        lines += divisions_section(pool, list(range(1, args.seeds + 1)))
        lines += leases_section(pool)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / "ways.md").write_text(format_page(lines))


if __name__ == "__main__":
    main()
