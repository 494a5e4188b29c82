"""The result of a scenario run."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Result:
    """The result of one run.

    ``failed`` lists the reasons why the run failed, and is empty if it passed. Times are of the test bench's clock,
    in ms.
    """

    name: str
    injected_fault: str
    failed: list[str]
    violations: list[str]
    counts: dict[str, int]
    answers: dict[str, int]
    latency_ms: dict[str, float]
    datagrams: dict[str, int]
    exits: dict[str, list[int | None]]
    counters: dict[str, dict[str, int]]
    events: list[dict[str, Any]]
    began_ms: float
    ended_ms: float
    used: dict[str, float] = field(default_factory=dict)  # by budget: the most in use at once, as a fraction
