"""Starts proxies as child processes on this machine, and reads their health check and counters over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

import aiohttp
import orjson

from beechslip.agent.process import HealthStatus, ProxyProcess
from beechslip.agent.regions import ops_addresses
from beechslip.config import Address, ConfigError, parse_address, read_config
from beechslip.process import AGENT_VARIABLE
from beechslip.store import Instance

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


class LocalProcess:
    """A proxy that runs as a child process on this machine."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap ``process``, which may have exited already; signals to an exited process are ignored."""
        self._process = process

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
        """Start a process of the instance. Raises OSError if that fails.

        Its standard input is a pipe that closes when the agent exits, on which the proxy drains.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "beechslip", stdin=asyncio.subprocess.PIPE, env=process_environment(instance)
        )
        return LocalProcess(process)

    async def is_address_free(self, instance: Instance) -> bool:
        """True if no process accepts connections at the instance's address."""
        try:
            address = listen_address(instance)
            connecting = asyncio.open_connection(address.host, address.port)
            _, writer = await asyncio.wait_for(connecting, PROXY_CALL_TIMEOUT_S)
        except TimeoutError:
            return False  # a process listens there and is too busy to accept
        except (OSError, ConfigError):
            return True  # an error in the configuration file is reported when the proxy starts
        writer.transport.abort()
        return False

    async def check_health(self, instance: Instance) -> HealthStatus:
        """Ask ``GET /health`` at the instance's address; status 200 means that it is ready."""
        try:
            listen = instance.listen or str(read_config(process_environment(instance)).listen)
            async with _session() as session, session.get(f"http://{listen}/health") as response:
                return HealthStatus.READY if response.status == HTTP_OK else HealthStatus.NOT_READY
        except (aiohttp.ClientError, OSError, TimeoutError, ConfigError) as error:
            return _health_status_after(error)

    async def counters(self, instance: Instance) -> dict[str, int] | None:
        """Return the instance's counters, or ``None`` if it has no operators' address or does not respond there."""
        addresses = ops_addresses([instance])
        if not addresses:
            return None
        _, address = addresses[0]
        try:
            async with _session() as session, session.get(f"http://{address}/counters") as response:
                page = orjson.loads(await response.read()) if response.status == HTTP_OK else None
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None
        if not isinstance(page, dict):
            return None
        return {str(name): value for name, value in page.items() if isinstance(value, int)}


def _health_status_after(error: Exception) -> HealthStatus:
    """Return what a health check that failed says about the process."""
    if isinstance(error, (aiohttp.ClientConnectorError, TimeoutError, ConfigError)):
        return HealthStatus.NO_RESPONSE
    # It accepted the connection and ended it, for example for want of room for another one.
    return HealthStatus.NOT_READY


def _session() -> aiohttp.ClientSession:
    """Return a session for one request, which ignores the proxy settings of the environment."""
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=PROXY_CALL_TIMEOUT_S), trust_env=False)
