"""Runs agents in virtual time: seeded runs with all faults, and runs in which one write, given by its number, fails.

See :mod:`lab.agent_fleet` for the faults and :mod:`lab.agent_checker` for the rules. All random draws come from the
seed.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from beechslip.agent.supervisor import DRAIN_TIMEOUT_MS
from beechslip.orders.model import Order, OrderKind
from lab import order_faults  # noqa: F401 (registers the faults that run_seed() can inject)
from lab.agent_fleet import AgentFleet, WriteFault
from lab.injected_faults import inject

FLEET_SIZE = 6
ORDER_KINDS: tuple[OrderKind, ...] = ("drain", "restart", "retune", "inspect", "restart")
FREEZE_PROBABILITIES = (0.0, 0.002, 0.01)
FAULTS = ("kill", "boot", "freeze", "away", "full", "proxy", "write")
WRITE_FAULTS = (WriteFault.FULL, WriteFault.IO, WriteFault.LOST)


class WriteFaultResult(NamedTuple):
    """The number of the fleet's writes, the order as it ended, and the violations of the rules."""

    writes: int
    order: Order
    violations: tuple[str, ...]


class RunResult(NamedTuple):
    """The number of the fleet's writes, the counts of states, and the violations of the rules.

    ``states`` counts the orders by their final state, and the steps by theirs under ``step STATE``.
    """

    writes: int
    states: Mapping[str, int]
    violations: tuple[str, ...]


def run_with_write_fault(kind: OrderKind, write: int = 0, fault: WriteFault | None = None) -> WriteFaultResult:
    """Start four instances under two agents and run an order over all of them.

    The fleet's write with the number ``write`` fails as ``fault`` says. With 0, none does.
    """
    return asyncio.run(_run_with_write_fault(kind, write, fault))


async def _run_with_write_fault(kind: OrderKind, write: int, fault: WriteFault | None) -> WriteFaultResult:
    fleet = AgentFleet(0, size=4, agents=2)
    if write and fault is not None:
        fleet.write_faults[write] = fault
    await fleet.settle()
    number = fleet.create_order(kind, at_most=1)
    order = await fleet.run_order(number)
    violations = tuple(f"{v.rule}: {v.text}" for v in fleet.checker.violations)
    await fleet.close()
    return WriteFaultResult(fleet.writes, order, violations)


def run_seed(seed: int, fault: str = "") -> RunResult:
    """Run ``seed`` with the injected fault named ``fault``, or without one if the name is empty."""
    with inject(fault):
        return asyncio.run(_run_seed(seed))


async def _run_seed(seed: int) -> RunResult:
    fleet = AgentFleet(seed, FLEET_SIZE)
    rng = random.Random(f"faults {seed}")
    if rng.random() < 0.5:
        fleet.ignoring_sigterm.add(f"n{rng.randrange(FLEET_SIZE)}")
    await fleet.settle()
    fleet.freeze_probability = rng.choice(FREEZE_PROBABILITIES)
    numbers = await _create_orders(fleet, rng)
    for _ in range(rng.randrange(0, 8)):
        _inject_random_fault(fleet, rng)
        await fleet.tick(rng.randrange(1, 20))
    _end_faults(fleet, rng)
    states = Counter({"writes": fleet.writes})
    if any(agent is not None for agent in fleet.agents.values()):
        for number in numbers:
            _count_states(await fleet.run_order(number), states)
    await fleet.close()
    violations = tuple(f"{v.rule} at {v.time_ms:.0f} ms: {v.text}" for v in fleet.checker.violations)
    return RunResult(fleet.writes, dict(states), violations)


async def _create_orders(fleet: AgentFleet, rng: random.Random) -> list[int]:
    """Create one to three orders over some of the instances and return their numbers."""
    names = [f"n{number}" for number in range(FLEET_SIZE)]
    numbers = []
    for _ in range(rng.randrange(1, 4)):
        kind = rng.choice(ORDER_KINDS)
        chosen = rng.sample(names, rng.randrange(1, FLEET_SIZE + 1))
        numbers.append(fleet.create_order(kind, chosen, rng.randrange(1, 4)))
        await fleet.tick(rng.randrange(0, 8))
    return numbers


def _inject_random_fault(fleet: AgentFleet, rng: random.Random) -> None:
    name = rng.choice(sorted(fleet.agents))
    agent = fleet.agents[name]
    match rng.choice(FAULTS):
        case "kill":
            fleet.kill_agent(name)
        case "boot" if agent is None:
            fleet.boot_agent(name)
        case "freeze" if agent is not None:
            fleet.freeze(agent, rng.uniform(1_000.0, DRAIN_TIMEOUT_MS))
        case "away" if agent is not None:
            agent.connection.is_unreachable = not agent.connection.is_unreachable
        case "full":
            fleet.is_disk_full = not fleet.is_disk_full
        case "proxy":
            running = [process for process in fleet.processes if process.is_alive]
            if running:
                rng.choice(running).end(-9)
        case "write":
            fault = rng.choice(WRITE_FAULTS)
            fleet.write_faults[fleet.writes + rng.randrange(1, 30)] = fault


def _end_faults(fleet: AgentFleet, rng: random.Random) -> None:
    """End all faults of the store, and start most of the killed agents again."""
    fleet.freeze_probability = 0.0
    fleet.is_disk_full = False
    for agent in fleet.agents.values():
        if agent is not None:
            agent.connection.is_unreachable = False
    for name, agent in fleet.agents.items():
        if agent is None and rng.random() < 0.7:
            fleet.boot_agent(name)


def _count_states(order: Order, states: Counter[str]) -> None:
    states[order.state] += 1
    if order.state == "done":
        states.update(f"step {step.state}" for step in order.steps)
