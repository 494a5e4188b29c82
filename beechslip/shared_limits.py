"""What each process of a proxy may hold while several of them run, over an upgrade. Pure.

The limits on memory and descriptors hold for all processes of a proxy together. Each process states a claim, which
the others can read (``platform/claim_table.py``), and holds no more than that:

- One that serves alone leaves what a successor needs to start, because that loads its program before anyone knows.
- One that starts claims just that, until it serves.
- One that is to end claims what it still holds, less and less.
- The newest one takes what all of them leave, as they leave it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from beechslip.descriptor_budget import OWN_DESCRIPTORS
from beechslip.memory_budget import BYTES_PER_MB, CONNECTION_BYTES
from beechslip.platform.claim_table import Claim

LEAST_DYNAMIC_BYTES = 2 * BYTES_PER_MB  # beyond its start, for the least sizes of the rooms
HEAP_OVERHEAD = 0.25  # memory taken for a byte that is charged, beyond that byte
STOPPING_MARGIN_BYTES = 512 * 1024
STOPPING_MARGIN_DESCRIPTORS = 4


class Phase(Enum):
    """Where a process is in its life."""

    STARTING = auto()
    SERVING = auto()
    STOPPING = auto()


@dataclass(frozen=True, slots=True)
class Limits:
    """What all processes may hold together.

    ``memory_bytes`` is without the pages that they share, and ``startup_bytes`` the private memory of one that has
    started and serves nobody yet.
    """

    memory_bytes: int
    descriptors: int
    startup_bytes: int

    @property
    def startup(self) -> Claim:
        """The claim of a process that starts."""
        return Claim(self.startup_bytes + LEAST_DYNAMIC_BYTES, OWN_DESCRIPTORS)


def assumed_predecessor(limits: Limits, remaining: float) -> Claim:
    """Return what a predecessor may still hold that can't be known.

    ``remaining`` is the part of its longest time to end that is left, 1 as it is told to end. It had the whole then,
    and is taken to give it back evenly.
    """
    startup = limits.startup
    return Claim(
        int((limits.memory_bytes - startup.memory_bytes) * remaining),
        int((limits.descriptors - startup.descriptors) * remaining),
    )


def next_claim(phase: Phase, limits: Limits, own: Claim, used: Claim, others: Sequence[Claim]) -> Claim:
    """Return what a process may hold from now on.

    ``own`` is its current claim, ``used`` what it holds, and ``others`` the claims of all other processes.
    """
    if phase is Phase.STARTING:
        return own
    if phase is Phase.STOPPING:
        return Claim(
            min(own.memory_bytes, used.memory_bytes + STOPPING_MARGIN_BYTES),
            min(own.descriptors, used.descriptors + STOPPING_MARGIN_DESCRIPTORS),
        )
    least = limits.startup
    has_successor = any(other.generation > own.generation for other in others)
    reserve = Claim(0, 0) if has_successor else _reserve_for_successor(limits, has_predecessor=bool(others))
    memory_bytes = limits.memory_bytes - reserve.memory_bytes - sum(other.memory_bytes for other in others)
    descriptors = limits.descriptors - reserve.descriptors - sum(other.descriptors for other in others)
    if has_successor:  # which takes what is left
        memory_bytes = min(memory_bytes, own.memory_bytes)
        descriptors = min(descriptors, own.descriptors)
    return Claim(max(memory_bytes, least.memory_bytes), max(descriptors, least.descriptors))


def _reserve_for_successor(limits: Limits, *, has_predecessor: bool) -> Claim:
    """Return what is left for a process that may start at any time.

    Memory is left only where the limit has space for the starts of all of them.
    """
    startup = limits.startup
    processes = 3 if has_predecessor else 2
    fits = limits.memory_bytes >= processes * startup.memory_bytes
    return startup if fits else Claim(0, startup.descriptors)


def chargeable_bytes(claim: Claim, limits: Limits, connections: int) -> int:
    """Return how many bytes a process with this claim may charge to its memory budget."""
    dynamic_bytes = claim.memory_bytes - limits.startup_bytes - connections * CONNECTION_BYTES
    return max(int(dynamic_bytes / (1.0 + HEAP_OVERHEAD)), 0)
