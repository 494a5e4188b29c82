"""Checks the health of instances by their health check and their counters."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal

from beechslip.agent.process import HealthStatus, ProxyLauncher
from beechslip.agent.store_access import StoreAccess
from beechslip.agent.supervised import SupervisedInstance
from beechslip.store import Fence, Instance

START_TIMEOUT_MS = 15_000.0
"""Time for a started proxy to respond; health checks without a response count only after it."""

MAX_FAILED_HEALTH_CHECKS = 3
"""Number of consecutive health checks without a response after which a proxy is killed, to be restarted."""

SERVED_SMOOTHING_WEIGHT = 0.5
"""Weight of the newest reading in the smoothed fraction of served requests."""

SERVED_COUNTERS = ("answered.served",)
UNSERVED_COUNTERS = ("answered.refused", "answered.failed")


class HealthChecker:
    """Checks running processes, and kills those that do not respond to too many checks in a row."""

    def __init__(self, access: StoreAccess, launcher: ProxyLauncher) -> None:
        """Record events with ``access``, and make the checks with ``launcher``."""
        self._access = access
        self._launcher = launcher

    async def check(
        self, instance: Instance, supervised: SupervisedInstance, now_ms: float, fence: Fence | None
    ) -> None:
        """Check the health of an instance whose process is running; ``now_ms`` is time of the agent's clock."""
        assert supervised.process is not None
        match await self._launcher.check_health(supervised.process):
            case HealthStatus.READY:
                await self._handle_response(instance, supervised, "healthy", fence)
            case HealthStatus.NOT_READY:
                await self._handle_response(instance, supervised, "not ready", fence)
            case HealthStatus.NO_RESPONSE:
                if supervised.state != "starting" or now_ms - supervised.started_ms >= START_TIMEOUT_MS:
                    await self._handle_missing_response(instance, supervised, fence)
            case HealthStatus.UNKNOWN:
                pass  # it says nothing about the process

    async def _handle_response(
        self,
        instance: Instance,
        supervised: SupervisedInstance,
        state: Literal["healthy", "not ready"],
        fence: Fence | None,
    ) -> None:
        """Handle a response of the process, which is alive; it is "not ready" for example if it is drained."""
        if supervised.state != state:
            await self._access.record_event(instance.name, state, "", fence)
        supervised.state = state
        supervised.failed_health_checks = 0
        await self._update_served_fraction(supervised)

    async def _handle_missing_response(
        self, instance: Instance, supervised: SupervisedInstance, fence: Fence | None
    ) -> None:
        supervised.failed_health_checks += 1
        supervised.state = "unhealthy"
        failed = supervised.failed_health_checks
        if failed < MAX_FAILED_HEALTH_CHECKS:
            return
        if await self._access.record_event(instance.name, "unhealthy", f"{failed} checks failed: ended", fence):
            await supervised.kill()

    async def _update_served_fraction(self, supervised: SupervisedInstance) -> None:
        """Update the smoothed fraction of served requests from the counters since the last reading."""
        assert supervised.process is not None
        counters = await self._launcher.counters(supervised.process)
        if counters is not None and supervised.counters is not None:
            served = _increase(supervised.counters, counters, SERVED_COUNTERS)
            total = served + _increase(supervised.counters, counters, UNSERVED_COUNTERS)
            if total > 0:
                supervised.served += (served / total - supervised.served) * SERVED_SMOOTHING_WEIGHT
        supervised.counters = counters


def _increase(before: Mapping[str, int], after: Mapping[str, int], names: tuple[str, ...]) -> int:
    return sum(after.get(name, 0) - before.get(name, 0) for name in names)
