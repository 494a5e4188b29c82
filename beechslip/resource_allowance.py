"""This process's part of the limits that hold for all processes of its proxy: states it, and keeps to it.

Owns the process's claim. Without an inherited socket no other process can run, and there is no allowance to keep.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.clock import Clock, ScheduledCall
from beechslip.descriptor_budget import OWN_DESCRIPTORS, DescriptorBudget
from beechslip.memory_budget import BYTES_PER_MB, MemoryBudget
from beechslip.platform.claim_table import Claim, ClaimTable, ClaimTableError
from beechslip.platform.process_memory import private_bytes, shared_bytes, trim_heap
from beechslip.shared_limits import Limits, Phase, assumed_predecessor, chargeable_bytes, next_claim

log = logging.getLogger("beechslip.allowance")

ALONE_INTERVAL_MS = 250.0  # between updates while no other process is known
SHARED_INTERVAL_MS = 25.0  # between updates while there are others, or this one is to end


@dataclass(frozen=True, slots=True)
class BoundedResources:
    """What an allowance bounds, and how much of it is in use. ``changed`` is called when the bounds have changed."""

    memory: MemoryBudget
    descriptors: DescriptorBudget
    connections: Callable[[], int]
    changed: Callable[[], None]


class ResourceAllowance:
    """Keeps this process to its claim, from before it serves until it ends."""

    def __init__(
        self, table: ClaimTable, resources: BoundedResources, memory_mb: float, clock: Clock, predecessor_ms: float
    ) -> None:
        """Create the allowance of a process that starts.

        If the table can't be used, a predecessor is taken to be there for ``predecessor_ms`` from when this process
        serves, and to hold less and less.
        """
        self._table = table
        self._resources = resources
        self._memory_bytes = int(memory_mb * BYTES_PER_MB)
        self._clock = clock
        self._predecessor_ms = predecessor_ms
        self._phase = Phase.STARTING
        self._limits = self._measure_limits()
        self._claim = self._limits.startup
        self._serving_since_ms = 0.0
        self._is_alone = False
        self._has_table = True
        self._alarm: ScheduledCall | None = None
        self._apply(self._claim)

    def start(self) -> None:
        """State the first claim, and go on to update it."""
        self._update_regularly()

    def begin_serving(self) -> None:
        """Take what the other processes leave, from now on."""
        trim_heap()  # what this process holds now is what a successor will need to start
        self._limits = self._measure_limits()
        self._claim = self._limits.startup
        self._serving_since_ms = self._clock.now_ms()
        self._phase = Phase.SERVING
        self._update_regularly()

    def begin_stopping(self) -> None:
        """Give back what is not in use any more, from now on."""
        self._phase = Phase.STOPPING
        self._update_regularly()

    def close(self) -> None:
        """Stop updating. The claim is released when the process ends."""
        if self._alarm is not None:
            self._alarm.cancel()

    def describe(self) -> str:
        """Return the claim, and whether others are known, for the log."""
        others = "none" if self._is_alone else "some" if self._has_table else "unknown"
        return (
            f"claim_kb={self._claim.memory_bytes >> 10} claim_descriptors={self._claim.descriptors} others={others}"
        )

    def _measure_limits(self) -> Limits:
        own_bytes = private_bytes()
        return Limits(self._memory_bytes - shared_bytes(), self._resources.descriptors.limit, own_bytes)

    def _update_regularly(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._update()
        is_alone = self._is_alone and self._phase is not Phase.STOPPING
        self._alarm = self._clock.call_later(
            ALONE_INTERVAL_MS if is_alone else SHARED_INTERVAL_MS, self._update_regularly
        )

    def _update(self) -> None:
        if self._phase is Phase.STOPPING:
            trim_heap()
        try:
            if self._has_table:
                self._update_in_table()
                return
        except ClaimTableError as error:
            if error.is_busy:
                return  # the current claim holds until the next update
            self._has_table = False
            log.warning("what other processes hold can't be known: %s", error)
        remaining = 1.0
        if self._phase is not Phase.STARTING:
            remaining -= (self._clock.now_ms() - self._serving_since_ms) / self._predecessor_ms
        self._is_alone = remaining <= 0.0
        self._set_claim([] if self._is_alone else [assumed_predecessor(self._limits, remaining)])

    def _update_in_table(self) -> None:
        if not self._table.has_joined:
            self._table.join(self._claim)
        with self._table.change():
            others = self._table.others()
            if self._is_alone == bool(others):
                log.info("other processes of this proxy: %d", len(others))
            self._is_alone = not others
            self._set_claim(others)
            self._table.state(self._claim)

    def _set_claim(self, others: list[Claim]) -> None:
        own = Claim(self._claim.memory_bytes, self._claim.descriptors, self._table.generation)
        self._claim = next_claim(self._phase, self._limits, own, self._used(), others)
        self._apply(self._claim)

    def _used(self) -> Claim:
        return Claim(private_bytes(), OWN_DESCRIPTORS + self._resources.connections())

    def _apply(self, claim: Claim) -> None:
        resources = self._resources
        resources.memory.set_total_limit(chargeable_bytes(claim, self._limits, resources.connections()))
        resources.descriptors.set_allowance(claim.descriptors)
        resources.changed()
