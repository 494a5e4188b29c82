"""Seeded plays of slow readers: each seed draws limits, readers, hostile clients and what happens meanwhile.

Started by ``python -m lab readers --seeds 50``; the same seed draws the same plan.
"""

from __future__ import annotations

import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from lab.processes import ROOT
from lab.slow_reader_play import Event, Pattern, SlowReaderPlan, SlowReaderResult, run_slow_readers

# Pairs of the limits that the operators' pages name.
LIMITS = ((32, 256), (48, 256), (48, 1_024), (64, 512), (64, 1_024), (96, 1_024), (192, 1_024))
MOST_CLIENTS_FRACTION = 1 / 3  # of the descriptors, by the protocol page
MOST_HOSTILE_FRACTION = 1 / 10  # of the descriptors
PATTERNS: tuple[Pattern, ...] = ("steady", "steady", "bursts", "quick")
PACES_BYTES_PER_S = (250_000.0, 500_000.0, 1_000_000.0)
HOSTILE_KINDS = ("", "", "objects-unread", "objects-dripped", "large-unread", "mixed")
EVENTS: tuple[Event, ...] = ("", "", "reloads", "stop")
MOST_AHEAD = 3
OBJECT_S = 0.24  # of the largest object at 1 MB a second
REQUESTS_PER_S = 300  # of all readers together at most
PLAY_S = 5.0


@dataclass
class SlowReaderFindings:
    """What the run of one seed has shown."""

    plan: SlowReaderPlan
    result: SlowReaderResult
    violations: list[str] = field(default_factory=list)

    @property
    def served(self) -> int:
        """The number of responses that were read whole."""
        return self.result.answers["200"]

    @property
    def details(self) -> str:
        """The plan, and all that the play has shown."""
        return f"{self.plan}; {self.result.describe()}"


def draw_plan(seed: int, seconds: float = PLAY_S) -> SlowReaderPlan:
    """Return the plan of a seed."""
    rng = random.Random(f"slow readers {seed}")
    memory_mb, descriptors = rng.choice(LIMITS)
    readers = rng.randrange(10, int(descriptors * MOST_CLIENTS_FRACTION))
    bytes_per_s = rng.choice(PACES_BYTES_PER_S)
    ahead = rng.choice((1, 1, MOST_AHEAD))
    hostile = rng.choice(HOSTILE_KINDS)
    return SlowReaderPlan(
        memory_mb,
        descriptors,
        readers,
        bytes_per_s=bytes_per_s,
        interval_s=max(readers * ahead / REQUESTS_PER_S, ahead * OBJECT_S * 1e6 / bytes_per_s),
        pattern=rng.choice(PATTERNS),
        begins_together=rng.random() < 0.3,
        requests_ahead=ahead,
        small_readers=rng.choice((0, 4)),
        hostile=hostile,
        hostile_connections=rng.randrange(4, int(descriptors * MOST_HOSTILE_FRACTION)) if hostile else 0,
        event=rng.choice(EVENTS),
        seconds=seconds,
        seed=seed,
    )


def find_violations(plan: SlowReaderPlan, result: SlowReaderResult) -> list[str]:
    """Return what must not be: responses cut off, requests without an answer, too much memory, a dead process."""
    found = []
    if result.cut:
        found.append(f"{result.cut} responses cut off")
    if result.unanswered:
        found.append(f"{result.unanswered} requests unanswered")
    if result.small_answers["unanswered"]:
        found.append(f"{result.small_answers['unanswered']} requests of small objects unanswered")
    if result.peak_mb > plan.memory_mb:
        found.append(f"held {result.peak_mb:.1f} MB of {plan.memory_mb}")
    if not result.is_alive:
        found.append("the process ended")
    if not result.answers["200"]:
        found.append("nothing was served")
    return found


def run_slow_reader_soak(seed: int, seconds: float = PLAY_S, root: Path = ROOT) -> SlowReaderFindings:
    """Run the play of one seed, and return what it has shown."""
    plan = draw_plan(seed, seconds)
    with tempfile.TemporaryDirectory() as folder:
        result = run_slow_readers(plan, Path(folder), root)
    return SlowReaderFindings(plan, result, find_violations(plan, result))
