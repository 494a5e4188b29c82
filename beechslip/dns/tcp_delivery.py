"""Delivers the responses of one DNS connection over TCP, and ends a client that takes nothing of them."""

from __future__ import annotations

import asyncio

from beechslip.clock import Clock
from beechslip.reader_progress import ReaderProgress

CHECK_INTERVAL_S = 0.25


class UnreadResponsesError(Exception):
    """The client has taken nothing of what it is owed for too long (``ReaderProgress``)."""


class TcpDelivery:
    """What was written to a connection and has not been taken by the kernel for its client yet."""

    def __init__(self, writer: asyncio.StreamWriter, clock: Clock) -> None:
        """Create the delivery of a connection to which nothing has been written."""
        self._writer = writer
        self._clock = clock
        self._progress = ReaderProgress()
        self._written_bytes = 0

    @property
    def _unsent_bytes(self) -> int:
        return self._writer.transport.get_write_buffer_size()

    def write(self, wire: bytes) -> None:
        """Send a response, with its length before it. No effect if the connection is closing."""
        if self._writer.is_closing():
            return
        if not self._unsent_bytes:
            self._progress.begin(self._clock.now_ms())
        message = len(wire).to_bytes(2, "big") + wire
        self._written_bytes += len(message)
        self._writer.write(message)

    async def wait_for_space(self) -> None:
        """Return once little enough is unsent for another response.

        Raises:
            UnreadResponsesError: the client may be ended, as it takes nothing.
            ConnectionError: the connection has ended.
        """
        while not await self._is_drained():
            now_ms = self._clock.now_ms()
            self._progress.observe(now_ms, self._written_bytes - self._unsent_bytes, has_taken_all=False)
            if self._progress.may_be_ended(now_ms, is_wanted=False):
                raise UnreadResponsesError

    async def wait_until_sent(self) -> None:
        """Return once all is sent. Raises as ``wait_for_space`` does."""
        self._writer.transport.set_write_buffer_limits(0)
        await self.wait_for_space()

    async def _is_drained(self) -> bool:
        """Wait for a while until the transport takes more. Return whether it does."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._writer.drain()
        except TimeoutError:
            return False
        return True
