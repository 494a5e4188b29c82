"""Runs of agents in virtual time: seeded plays with all faults, and sweeps over every numbered write.

See :mod:`lab.agent_fleet` for the faults and :mod:`lab.agent_checker` for the rules. One seed, one run.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from beechslip.agent.supervisor import DRAIN_TIMEOUT_MS
from beechslip.orders.model import Order, OrderKind
from lab import order_faults  # noqa: F401 (registers the faults that play() can inject)
from lab.agent_fleet import AgentFleet, WriteFault
from lab.injected_faults import inject

SIZE = 6
KINDS: tuple[OrderKind, ...] = ("drain", "restart", "retune", "inspect", "restart")
FREEZE_PROBABILITIES = (0.0, 0.002, 0.01)
FAULTS = ("kill", "boot", "freeze", "away", "full", "proxy", "write")
WRITE_FAULTS = (WriteFault.FULL, WriteFault.IO, WriteFault.LOST)


class SweepResult(NamedTuple):
    """The fleet's writes, the order as it ended, and violations of the rules."""

    writes: int
    order: Order
    violations: tuple[str, ...]


class PlayResult(NamedTuple):
    """The fleet's writes, orders and steps (``step STATE``) by how they ended, and violations of the rules."""

    writes: int
    states: Mapping[str, int]
    violations: tuple[str, ...]


def sweep(kind: OrderKind, write: int = 0, fault: WriteFault | None = None) -> SweepResult:
    """A start of four instances under two agents and an order over all of them.

    The fleet's write number ``write`` fails as ``fault`` says; 0: none does.
    """
    return asyncio.run(_sweep(kind, write, fault))


async def _sweep(kind: OrderKind, write: int, fault: WriteFault | None) -> SweepResult:
    fleet = AgentFleet(0, size=4, agents=2)
    if write and fault is not None:
        fleet.write_faults[write] = fault
    await fleet.settle()
    number = fleet.create_order(kind, at_most=1)
    order = await fleet.run_order(number)
    violations = tuple(f"{v.rule}: {v.text}" for v in fleet.checker.violations)
    await fleet.close()
    return SweepResult(fleet.writes, order, violations)


def play(seed: int, fault: str = "") -> PlayResult:
    """One seeded run, with the injected fault of that name in the program; "": none."""
    with inject(fault):
        return asyncio.run(_play(seed))


async def _play(seed: int) -> PlayResult:
    fleet = AgentFleet(seed, SIZE)
    rng = random.Random(f"faults {seed}")
    if rng.random() < 0.5:
        fleet.ignoring_sigterm.add(f"n{rng.randrange(SIZE)}")
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
            _count(await fleet.run_order(number), states)
    await fleet.close()
    violations = tuple(f"{v.rule} at {v.time_ms:.0f} ms: {v.text}" for v in fleet.checker.violations)
    return PlayResult(fleet.writes, dict(states), violations)


async def _create_orders(fleet: AgentFleet, rng: random.Random) -> list[int]:
    """One to three orders over some of the instances; their numbers."""
    names = [f"n{number}" for number in range(SIZE)]
    numbers = []
    for _ in range(rng.randrange(1, 4)):
        kind = rng.choice(KINDS)
        chosen = rng.sample(names, rng.randrange(1, SIZE + 1))
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
            fleet.boot(name)
        case "freeze" if agent is not None:
            fleet.freeze(agent, rng.uniform(1_000.0, DRAIN_TIMEOUT_MS))
        case "away" if agent is not None:
            agent.connection.unreachable = not agent.connection.unreachable
        case "full":
            fleet.full = not fleet.full
        case "proxy":
            running = [process for process in fleet.processes if process.alive]
            if running:
                rng.choice(running).end(-9)
        case "write":
            fault = rng.choice(WRITE_FAULTS)
            fleet.write_faults[fleet.writes + rng.randrange(1, 30)] = fault


def _end_faults(fleet: AgentFleet, rng: random.Random) -> None:
    """The store is in order from now on, and most of the dead agents come back."""
    fleet.freeze_probability = 0.0
    fleet.full = False
    for agent in fleet.agents.values():
        if agent is not None:
            agent.connection.unreachable = False
    for name, agent in fleet.agents.items():
        if agent is None and rng.random() < 0.7:
            fleet.boot(name)


def _count(order: Order, states: Counter[str]) -> None:
    states[order.state] += 1
    if order.state == "done":
        states.update(f"step {step.state}" for step in order.steps)
