"""Simulated proxy processes in virtual time, as an agent sees them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from beechslip.agent.process import ProxyAddresses
from beechslip.clock import ManualClock
from beechslip.config import Address

DRAIN_MS = 600.0
"""Time that a simulated proxy takes to answer the requests that it has accepted."""

SIMULATED_ADDRESSES = ProxyAddresses(Address("127.0.0.1", 1))
"""Addresses of every simulated proxy; nobody connects to them."""

READY_MS = 500.0
"""Age from which a simulated proxy answers its health check."""


class SimulatedProxy:
    """A process of an instance. ``signals`` has the names of the signals that it received, in order."""

    def __init__(
        self,
        clock: ManualClock,
        instance: str,
        agent: str,
        pid: int,
        ignores_sigterm: bool,
        on_sigterm: Callable[[SimulatedProxy], None],
    ) -> None:
        """Start the process for ``agent``, a lease holder; ``on_sigterm`` is called before a SIGTERM takes effect."""
        self.instance = instance
        self.agent = agent
        self.pid = pid
        self.returncode: int | None = None
        self.started_ms = clock.now_ms()
        self.ended_ms = 0.0
        self.signals: list[str] = []
        self.addresses = SIMULATED_ADDRESSES
        self._clock = clock
        self._ignores_sigterm = ignores_sigterm
        self._on_sigterm = on_sigterm
        self._ended = asyncio.Event()

    @property
    def is_alive(self) -> bool:
        """True if the process has not ended."""
        return self.returncode is None

    @property
    def is_ready(self) -> bool:
        """True if the process would answer its health check now."""
        return self.is_alive and self._clock.now_ms() - self.started_ms >= READY_MS

    def end(self, code: int) -> None:
        """End with the exit code ``code`` now, unless the process has ended already."""
        if self.returncode is None:
            self.returncode = code
            self.ended_ms = self._clock.now_ms()
            self._ended.set()

    def drain(self) -> None:
        """Exit with code 0 after ``DRAIN_MS``, as a proxy does when its agent is gone."""
        self._clock.call_later(DRAIN_MS, lambda: self.end(0))

    def terminate(self) -> None:
        """Receive SIGTERM: drain, unless the process ignores the signal."""
        self.signals.append("TERM")
        self._on_sigterm(self)
        if not self._ignores_sigterm:
            self.drain()

    def kill(self) -> None:
        """Receive SIGKILL: end at once."""
        self.signals.append("KILL")
        self.end(-signal.SIGKILL)

    def reload(self) -> None:
        """Receive SIGHUP, which is only recorded."""
        self.signals.append("HUP")

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        await self._ended.wait()
        assert self.returncode is not None
        return self.returncode
