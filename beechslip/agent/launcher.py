"""Starts proxies as child processes on this machine, and reads their health check and counters over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys

import aiohttp
import orjson

from beechslip.agent.process import AddressCheckError, HealthStatus, ProxyAddresses, ProxyProcess
from beechslip.agent.regions import ops_addresses
from beechslip.config import Address, ConfigError, parse_address, read_config
from beechslip.platform.sockets import LOCAL_RESOURCE_ERRORS
from beechslip.process import AGENT_VARIABLE
from beechslip.store import Instance

log = logging.getLogger("beechslip.agent")

PROXY_CALL_TIMEOUT_S = 1.0
"""Timeout of a health check, of a connection attempt and of a request for counters."""

HTTP_OK = 200


def process_environment(instance: Instance) -> dict[str, str]:
    """Return the environment of the instance's process.

    It is the environment of this process, with the EDGE_* variables replaced by those of the instance.
    """
    variables = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    variables["EDGE_CONFIG"] = instance.config
    variables["EDGE_NAME"] = instance.name
    variables[AGENT_VARIABLE] = "1"
    if instance.listen:
        variables["EDGE_LISTEN"] = instance.listen
    return variables


def listen_address(instance: Instance) -> Address:
    """Return the address that the instance listens at.

    Raises ConfigError if neither the store nor the configuration file names a valid one.
    """
    if instance.listen:
        return parse_address(instance.listen)
    return read_config(process_environment(instance)).listen


def process_addresses(instance: Instance) -> ProxyAddresses:
    """Return the addresses that a process of the instance gets when it is started now.

    Raises ConfigError if neither the store nor the configuration file names a valid address for clients.
    """
    ops = ops_addresses([instance])
    return ProxyAddresses(listen_address(instance), ops[0][1] if ops else None)


def pinned_environment(instance: Instance, addresses: ProxyAddresses) -> dict[str, str]:
    """Return the environment of a process that keeps to ``addresses``, whatever its configuration file says then."""
    variables = process_environment(instance)
    variables["EDGE_LISTEN"] = str(addresses.listen)
    if addresses.ops is not None:
        variables["EDGE_OPS"] = str(addresses.ops)
    return variables


class LocalProcess:
    """A proxy that runs as a child process on this machine."""

    def __init__(self, process: asyncio.subprocess.Process, addresses: ProxyAddresses) -> None:
        """Wrap ``process``, which may have exited already; signals to an exited process are ignored."""
        self._process = process
        self._addresses = addresses

    @property
    def addresses(self) -> ProxyAddresses:
        """Addresses that the process was started with."""
        return self._addresses

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or ``None`` while the process runs; it is the negative signal number after a signal."""
        return self._process.returncode

    def _signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM, on which the proxy drains and exits."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL, which ends the proxy at once; accepted requests are lost."""
        self._signal(signal.SIGKILL)

    def reload(self) -> None:
        """Send SIGHUP, on which the proxy reads its configuration file again."""
        self._signal(signal.SIGHUP)

    async def wait(self) -> int:
        """Wait for the process to exit, and return its exit code."""
        return await self._process.wait()


class LocalLauncher:
    """Starts proxies on this machine. It keeps no state: the caller owns the processes that it starts."""

    async def start(self, instance: Instance) -> ProxyProcess:
        """Start a process of the instance.

        Its standard input is a pipe that closes when the agent exits, on which the proxy drains. Raises OSError if
        the start fails, and ConfigError if neither the store nor the configuration file names a valid address.
        """
        addresses = process_addresses(instance)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beechslip",
            stdin=asyncio.subprocess.PIPE,
            env=pinned_environment(instance, addresses),
        )
        return LocalProcess(process, addresses)

    async def is_address_free(self, instance: Instance, last_address: Address | None) -> bool:
        """True if a connection shows that no process accepts connections at the instance's address.

        ``last_address`` is checked if the configuration names no valid address now. Raises AddressCheckError if that
        can't be told.
        """
        try:
            address = listen_address(instance)
        except ConfigError as error:
            if last_address is None:
                raise AddressCheckError(f"its address is not known: {error}") from None
            address = last_address
        try:
            connecting = asyncio.open_connection(address.host, address.port)
            _, writer = await asyncio.wait_for(connecting, PROXY_CALL_TIMEOUT_S)
        except TimeoutError:
            return False  # a process listens there and is too busy to accept
        except OSError as error:
            return _is_free_after(error)
        writer.transport.abort()
        return False

    async def check_health(self, process: ProxyProcess) -> HealthStatus:
        """Ask ``GET /health`` at the address that the process was started with; status 200 means that it is ready."""
        try:
            async with _session() as session, session.get(f"http://{process.addresses.listen}/health") as response:
                return HealthStatus.READY if response.status == HTTP_OK else HealthStatus.NOT_READY
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _health_status_after(error, process.pid)

    async def counters(self, process: ProxyProcess) -> dict[str, int] | None:
        """Return the counters of a process, or ``None`` if it has no operators' address or does not respond there."""
        address = process.addresses.ops
        if address is None:
            return None
        try:
            async with _session() as session, session.get(f"http://{address}/counters") as response:
                page = orjson.loads(await response.read()) if response.status == HTTP_OK else None
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None
        if not isinstance(page, dict):
            return None
        return {str(name): value for name, value in page.items() if isinstance(value, int)}


def _is_free_after(error: OSError) -> bool:
    """True if a failed connection shows that nobody listens. Raises AddressCheckError if it shows nothing."""
    if error.errno in LOCAL_RESOURCE_ERRORS:
        raise AddressCheckError(f"its address could not be checked: {error}") from None
    was_accepted = isinstance(error, ConnectionError) and not isinstance(error, ConnectionRefusedError)
    return not was_accepted  # an address that does not exist is reported when the proxy starts


def _health_status_after(error: Exception, pid: int) -> HealthStatus:
    """Return what a health check that failed says about the process."""
    if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
        log.warning("health not checked: pid=%d error=%s", pid, error)
        return HealthStatus.UNKNOWN
    if isinstance(error, (aiohttp.ClientConnectorError, TimeoutError)):
        return HealthStatus.NO_RESPONSE
    # It accepted the connection and ended it, for example for want of room for another one.
    return HealthStatus.NOT_READY


def _session() -> aiohttp.ClientSession:
    """Return a session for one request, which ignores the proxy settings of the environment."""
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=PROXY_CALL_TIMEOUT_S), trust_env=False)
