"""The health checks that the router requests: each runs in a task of its own."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from beechslip.clock import Clock, to_seconds
from beechslip.core.model import AttemptResult, Backend, HealthChecker
from beechslip.counters import Counters
from beechslip.routing import interface

log = logging.getLogger("beechslip.engine")


class HealthCheckRunner:
    """Runs health checks and posts their results to the engine. Increments the counters ``probe.RESULT``."""

    def __init__(
        self,
        checker: HealthChecker,
        backends: Mapping[str, Backend],
        clock: Clock,
        counters: Counters,
        post: Callable[[object], None],
    ) -> None:
        """Create a runner without running health checks.

        ``backends`` is a live view of the listed backends; ``post`` puts a message into the engine's queue.
        """
        self.checker = checker
        self._backends = backends
        self._clock = clock
        self._counters = counters
        self._post = post
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str) -> None:
        """Start a health check of one backend; its result is posted to the engine's queue."""
        task = asyncio.get_running_loop().create_task(self._run(name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> list[asyncio.Task[None]]:
        """Cancel all running health checks and return their tasks, for the caller to await."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def _run(self, name: str) -> None:
        backend = self._backends.get(name)
        started_ms = self._clock.now_ms()
        try:
            result = await self.checker.health_check(backend) if backend else AttemptResult("connect_failed")
        except Exception:
            log.exception("health check failed with an exception: backend=%s", name)
            result = AttemptResult("error")
        self._counters.add(f"probe.{result.result}")
        elapsed_s = to_seconds(self._clock.now_ms() - started_ms)
        self._post(interface.HealthCheckResult(name, result.result, elapsed_s, result.report))
