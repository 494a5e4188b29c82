"""Seeded upgrades: each seed draws limits, clients and the way it goes; the sums over all processes are checked.

Started by ``python -m lab upgrades --seeds 50``; the same seed draws the same plan.
"""

from __future__ import annotations

import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from lab.processes import ROOT
from lab.upgrade_play import UpgradePlan, UpgradeResult, run_upgrade

# Pairs of the limits that the operators' pages name. Below 48 MB two processes do not fit (KNOWN-RED.txt).
LIMITS = ((48, 256), (64, 256), (64, 1_024), (96, 512), (96, 1_024), (128, 1_024), (192, 256), (192, 1_024))
MOST_CLIENTS_FRACTION = 1 / 3  # of the descriptors, by the protocol page
HOSTILE_FRACTION = 0.1  # of the descriptors
SERVING_S = 2.0
SHORT_WORK_S, LONG_WORK_S = 0.2, 1.0
MOST_UPGRADES = 2
SHORTEST_PAUSE_S, LONGEST_PAUSE_S = 0.2, 5.0  # between two upgrades
# Three processes at once need more than the smallest limits: a second upgrade comes once the first is over.
LEAST_MB_FOR_THREE = 64
ENDED_AFTER_S = 4.5


@dataclass
class UpgradeFindings:
    """What the run of one seed has shown."""

    plan: UpgradePlan
    result: UpgradeResult
    violations: list[str] = field(default_factory=list)

    @property
    def served(self) -> int:
        """The number of requests served from the first upgrade on."""
        return sum(count for answer, count in self.result.over.items() if answer.endswith(" 200"))

    @property
    def details(self) -> str:
        """The plan."""
        return str(self.plan)


def draw_plan(seed: int) -> UpgradePlan:
    """Return the plan of a seed."""
    rng = random.Random(f"upgrade {seed}")
    memory_mb, descriptors = rng.choice(LIMITS)
    clients = int(descriptors * MOST_CLIENTS_FRACTION)
    readers = rng.randrange(clients // 4, clients // 2 + 1)
    writers = rng.randrange(clients // 8, clients // 3)
    slow_readers = rng.choice((0, 0, (clients - readers - writers) // 2))
    hostile = rng.choice(("", "", "mixed"))
    return UpgradePlan(
        memory_mb,
        descriptors,
        readers,
        writers,
        slow_readers=slow_readers,
        hostile=hostile,
        hostile_connections=int(descriptors * HOSTILE_FRACTION) if hostile else 0,
        upgrades=rng.randint(1, MOST_UPGRADES),
        between_upgrades_s=rng.uniform(
            SHORTEST_PAUSE_S if memory_mb >= LEAST_MB_FOR_THREE else ENDED_AFTER_S, LONGEST_PAUSE_S
        ),
        successor=rng.choice(("ready", "ready", "ready", "never ready", "killed")),
        reloads=rng.random() < 0.3,
        has_locks=True,
        serving_s=SERVING_S,
        work_s=rng.uniform(SHORT_WORK_S, LONG_WORK_S),
        seed=seed,
    )


def find_violations(plan: UpgradePlan, result: UpgradeResult) -> list[str]:
    """Return the limits that were passed, the requests without an answer, and the processes that ended."""
    usage = result.usage
    found = []
    most_mb = max(usage.alone_mb, usage.together_mb)
    if most_mb > plan.memory_mb:
        found.append(f"all processes held {most_mb:.1f} MB of {plan.memory_mb}")
    most_descriptors = max(usage.alone_descriptors, usage.together_descriptors)
    if most_descriptors > plan.descriptors:
        found.append(f"all processes held {most_descriptors} descriptors of {plan.descriptors}")
    if result.died:
        found.append(f"{result.died} processes ended by themselves")
    found += [f"{count} times {answer}" for answer, count in result.over.items() if answer.endswith("unanswered")]
    return found


def run_upgrade_soak(seed: int, root: Path = ROOT) -> UpgradeFindings:
    """Run the upgrade of one seed, and return what it has shown."""
    plan = draw_plan(seed)
    with tempfile.TemporaryDirectory() as folder:
        result = run_upgrade(plan, Path(folder), root)
    return UpgradeFindings(plan, result, find_violations(plan, result))
