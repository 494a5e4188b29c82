"""Health checks that wait for a token of the fleet-wide rate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from beechslip.core.model import AttemptResult, Backend

RETRY_DELAY_S = 0.05  # before a refused check asks again


class GatedHealthChecker(Protocol):
    """A health checker that asks for permission before its first byte.

    If that is refused, it returns the result "moot".
    """

    async def health_check(self, backend: Backend, may_start: Callable[[], bool]) -> AttemptResult:
        """Check ``backend`` if ``may_start`` allows the first byte."""
        ...

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Use the backends of another endpoint list."""
        ...


class HealthCheckGate(Protocol):
    """What allows a health check, such as :class:`beechslip.budgets.part.BudgetPart`."""

    def may_health_check(self) -> bool:
        """Return whether a health check may start now. If so, it counts as started."""
        ...


class BudgetedHealthChecker:
    """A ``HealthChecker`` for the engine whose checks wait until they get a token.

    The wait has no time limit, because the floor of the rate always supplies another token.
    """

    def __init__(self, inner: GatedHealthChecker, gate: HealthCheckGate) -> None:
        """``inner`` makes the health checks when ``gate`` allows them."""
        self._inner = inner
        self._gate = gate

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Use the backends of another endpoint list."""
        self._inner.update_backends(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Check ``backend`` once a token is available, and return the result."""
        while True:
            ended = await self._inner.health_check(backend, self._gate.may_health_check)
            if ended.result != "moot":
                return ended
            await asyncio.sleep(RETRY_DELAY_S)
