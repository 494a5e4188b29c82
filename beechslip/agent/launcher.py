"""Starts doormans as processes of this program, and asks their /health."""
from __future__ import annotations

import asyncio
import os
import sys

import aiohttp

from beechslip.agent.agent import Process
from beechslip.config import ConfigError, read_config
from beechslip.doorman import KEPT
from beechslip.store import Instance

HEALTH_S = 1.0


def environment(instance: Instance) -> dict[str, str]:
    """What the doorman is told by its environment."""
    told = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    told |= {"EDGE_CONFIG": instance.config, "EDGE_NAME": instance.name, KEPT: "1"}
    if instance.listen:
        told["EDGE_LISTEN"] = instance.listen
    return told


class LocalLauncher:
    """Processes on this machine."""

    async def start(self, instance: Instance) -> Process:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "beechslip", stdin=asyncio.subprocess.PIPE, env=environment(instance))

    async def healthy(self, instance: Instance) -> bool:
        try:
            listen = instance.listen or str(read_config(environment(instance)).listen)
            timeout = aiohttp.ClientTimeout(total=HEALTH_S)
            async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session, \
                    session.get(f"http://{listen}/health") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError, ConfigError):
            return False
