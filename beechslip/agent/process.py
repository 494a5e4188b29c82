"""Interfaces through which the agent starts, checks, signals and awaits proxy processes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from beechslip.config import Address
from beechslip.store import Instance


class HealthStatus(StrEnum):
    """The result of one health check.

    A proxy that responds is alive, whatever it says: it may be drained by an operator, or have no room for another
    connection. Only a missing response can mean that the process hangs.
    """

    READY = "ready"  # it takes clients
    NOT_READY = "not ready"  # it responds, but not that it takes clients
    NO_RESPONSE = "no response"  # nobody listens at its address, or no response came in time
    UNKNOWN = "unknown"  # the check could not be made, for a reason that is not the proxy's


class AddressCheckError(Exception):
    """It can't be told whether an instance's address is free: it is not known, or the check could not be made."""


@dataclass(frozen=True, slots=True)
class ProxyAddresses:
    """Where a process serves clients and operators, from its start to its end; ``ops`` is ``None`` for nowhere."""

    listen: Address
    ops: Address | None = None


class ProxyProcess(Protocol):
    """A process of a proxy that was started."""

    @property
    def pid(self) -> int:
        """Process id."""
        ...

    @property
    def addresses(self) -> ProxyAddresses:
        """Addresses of the process. A configuration file that is replaced later does not change them."""
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
        """Start a process of the instance.

        Raises OSError if that fails, and ConfigError if the instance's configuration names no valid address.
        """
        ...

    async def check_health(self, process: ProxyProcess) -> HealthStatus:
        """Make one health check of a process."""
        ...

    async def is_address_free(self, instance: Instance, last_address: Address | None) -> bool:
        """True if no process accepts connections at the instance's address.

        A process that a previous agent started may still be listening there. ``last_address`` is the address of the
        last process that the caller ran; it is checked if the configuration names no valid address now. Raises
        AddressCheckError if that can't be told.
        """
        ...

    async def counters(self, process: ProxyProcess) -> dict[str, int] | None:
        """Return the counters of a process, or ``None`` if it has no operators' address or does not respond there."""
        ...
