"""An agent's access to the store.

Calls that may block run in worker threads. Errors that must not stop the agent are logged.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from beechslip.clock import Clock
from beechslip.store import Fence, Store, StoreError

log = logging.getLogger("beechslip.agent")

T = TypeVar("T")


class StoreAccess:
    """Access of one agent to its store. It does not close the store; the caller that opened it does."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Use ``store``; ``clock`` gives the time of day of recorded events."""
        self.store = store
        self._clock = clock

    async def call(self, function: Callable[..., T], *arguments: Any) -> T:
        """Return the result of a function that may block, which runs in a worker thread.

        Raises what the function raises.
        """
        return await asyncio.to_thread(function, *arguments)

    async def try_await(self, work: Coroutine[Any, Any, T]) -> T | None:
        """Return the result of ``work``, or log the error and return ``None`` if the store fails.

        The store may become reachable again, and running processes do not need it.
        """
        try:
            return await work
        except StoreError as error:
            log.error("store error: %s", error)
            return None

    async def record_event(self, instance: str, kind: str, detail: str = "", fence: Fence | None = None) -> bool:
        """Log an event of an instance and write it to the store; return True if it was written."""
        log.info("instance %s: %s %s", instance, kind, detail)
        written = await self.try_await(
            self.call(self.store.record_event, self._clock.wall_ms(), instance, kind, detail, fence)
        )
        return bool(written)
