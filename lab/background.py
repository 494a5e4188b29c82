"""Tasks that run concurrently with a scenario, and their owner, which awaits or cancels them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Own tasks from their start until they finish or are cancelled by :meth:`cancel`."""

    def __init__(self) -> None:
        """Create an owner without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that runs ``coroutine``."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Await the tasks that run now, but not those that they start. Raises the exception of a failed task."""
        for task in list(self._tasks):
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
