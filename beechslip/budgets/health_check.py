"""Health checks that wait for a token of the fleet's rate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from beechslip.core.model import AttemptResult, Backend

RETRY_S = 0.05  # until a refused check asks again


class GatedHealthChecker(Protocol):
    """A health checker that asks before its first byte, and answers "moot" if that is refused."""

    async def health_check(self, backend: Backend, may_start: Callable[[], bool]) -> AttemptResult:
        """Check ``backend``, if ``may_start`` allows the first byte."""
        ...

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Go by another endpoint list."""
        ...


class HealthCheckGate(Protocol):
    """What allows a health check: :class:`beechslip.budgets.part.BudgetPart`."""

    def may_health_check(self) -> bool:
        """Whether one may start now; it counts as started, if so."""
        ...


class BudgetedHealthChecker:
    """The engine's ``HealthChecker``: a check waits for its token, however long; the floor's rate brings one."""

    def __init__(self, inner: GatedHealthChecker, gate: HealthCheckGate) -> None:
        """Checks are made by ``inner`` when ``gate`` allows them."""
        self._inner = inner
        self._gate = gate

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Go by another endpoint list."""
        self._inner.update_backends(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """The result of a check of ``backend``, made once a token is there."""
        while True:
            ended = await self._inner.health_check(backend, self._gate.may_health_check)
            if ended.result != "moot":
                return ended
            await asyncio.sleep(RETRY_S)
