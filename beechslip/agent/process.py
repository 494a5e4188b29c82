"""Interfaces through which the agent starts, checks, signals and awaits proxy processes."""

from __future__ import annotations

from typing import Protocol

from beechslip.store import Instance


class ProxyProcess(Protocol):
    """A process of a proxy that was started."""

    @property
    def pid(self) -> int:
        """Process id."""
        ...

    @property
    def returncode(self) -> int | None:
        """Exit code, or ``None`` while the process runs; it is the negative signal number after a signal."""
        ...

    def terminate(self) -> None:
        """Send SIGTERM, on which the proxy drains and exits."""
        ...

    def kill(self) -> None:
        """Send SIGKILL, which ends the proxy at once; accepted requests are lost."""
        ...

    def reload(self) -> None:
        """Send SIGHUP, on which the proxy reads its configuration file again."""
        ...

    async def wait(self) -> int:
        """Wait for the process to exit, and return its exit code."""
        ...


class ProxyLauncher(Protocol):
    """Starts proxies, and checks their health, address and counters."""

    async def start(self, instance: Instance) -> ProxyProcess:
        """Start a process of the instance. Raises OSError if that fails."""
        ...

    async def is_healthy(self, instance: Instance) -> bool:
        """True if the instance passes its health check."""
        ...

    async def is_address_free(self, instance: Instance) -> bool:
        """True if no process listens at the instance's address.

        A process that a previous agent started may still be listening there.
        """
        ...

    async def counters(self, instance: Instance) -> dict[str, int] | None:
        """Return the instance's counters, or ``None`` if it has no operators' address or does not respond there."""
        ...
