"""The calls by which the change log's reader waits for events.

A log that is slow or crowded responds to calls in turn. A call that is given up and made anew loses its turn, and may
never be heard. On the other hand, a call on a connection that has died without a sign never gets a response. So a
silent call is kept, and after a while another one is made beside it. The first that receives bytes ends the others.
The same holds for a call whose connection comes up late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

# Seconds without received bytes after which another call is made. The log sends a comment each second. Events that a
# stopped log would have sent count as notified after 4 s.
SILENCE_TIMEOUT_S = 1.8
# Seconds without a connection after which another call is made; not longer than SILENCE_TIMEOUT_S.
CONNECT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 30.0  # seconds without received bytes after which a call is given up
RECONNECT_DELAY_S = 0.1  # delay between the end of a call and the next one
# Calls that are open at the same time. All but the oldest are kept for four silence timeouts: events count as
# notified after 7 s, and a log that responds by then is heard even if the oldest call's connection is dead.
MAX_CALLS = 5

OnBytes = Callable[[], None]  # a call invokes it whenever it has received bytes
Watch = Callable[[OnBytes], Coroutine[Any, Any, None]]  # makes one call, until its stream ends


class WatchCalls:
    """Owns the open calls: it begins them, and ends all of them before :meth:`run_until` returns."""

    def __init__(
        self, watch: Watch, on_begin: Callable[[], None], on_failure: Callable[[BaseException], None]
    ) -> None:
        """Make calls with ``watch``.

        ``on_begin`` is invoked before each call, and ``on_failure`` with the exception of each call that fails.
        """
        self._watch = watch
        self._on_begin = on_begin
        self._on_failure = on_failure
        self._calls: list[asyncio.Task[None]] = []  # the oldest first
        self._next_call_s = 0.0  # event loop time at which the next call is due

    async def run_until(self, stopping: asyncio.Event) -> None:
        """Keep calls open until ``stopping`` is set, beginning with one now."""
        loop = asyncio.get_running_loop()
        self._next_call_s = loop.time()
        stop_task = asyncio.ensure_future(stopping.wait())
        try:
            while not stopping.is_set():
                if loop.time() >= self._next_call_s:
                    self._begin_call()
                delay_s = max(self._next_call_s - loop.time(), 0.0)
                await asyncio.wait({stop_task, *self._calls}, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED)
                self._remove_ended_calls()
        finally:
            tasks = [stop_task, *self._calls]
            self._calls = []
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _begin_call(self) -> None:
        """Begin a call. At the bound, end the second oldest: the oldest is kept for a log that is slower still."""
        if len(self._calls) >= MAX_CALLS:
            self._calls[1].cancel()
        self._on_begin()
        self._calls.append(asyncio.ensure_future(self._watch(self._bytes_received)))
        self._next_call_s = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S

    def connected(self) -> None:
        """Wait longer for a response, because the connection of a call has come up."""
        self._next_call_s = asyncio.get_running_loop().time() + SILENCE_TIMEOUT_S

    def _bytes_received(self) -> None:
        """End the other calls, because the one that invokes this is heard."""
        self.connected()
        for call in self._calls:
            if call is not asyncio.current_task():
                call.cancel()

    def _remove_ended_calls(self) -> None:
        ended_calls = [call for call in self._calls if call.done()]
        self._calls = [call for call in self._calls if not call.done()]
        for call in ended_calls:
            if call.cancelled():
                continue
            self._next_call_s = min(self._next_call_s, asyncio.get_running_loop().time() + RECONNECT_DELAY_S)
            error = call.exception()
            if error is not None:
                self._on_failure(error)
