"""The process of one proxy: its start, its signals, and its exit code."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TypeVar

from beechslip.config import Config, ConfigError, ConfigUnreadableError, log_level, read_config
from beechslip.platform.sockets import LOCAL_RESOURCE_ERRORS
from beechslip.proxy import Proxy

log = logging.getLogger("beechslip")

# Almost nothing here is cyclic; looking for cycles after every 700 objects, the default, is CPU for nothing.
GC_THRESHOLD = (20_000, 20, 20)
# What the system refuses for a moment (a file that can't be opened, a socket that can't be had) is tried again.
START_RETRIES = 200
START_RETRY_S = 0.05
AGENT_VARIABLE = "BEECHSLIP_KEPT"  # set by an agent, which holds the other end of standard input

EXIT_CONFIG_ERROR = 2

T = TypeVar("T")


class _AgentPipe(asyncio.Protocol):
    """Standard input as the agent's sign of life: its end is the agent's end."""

    def __init__(self, stopping: asyncio.Event) -> None:
        self._stopping = stopping

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the proxy, as its agent has gone."""
        self._stopping.set()


def _retry(call: Callable[[], T], transient: type[Exception], retries: int = START_RETRIES) -> T:
    """The call's result; made again while it fails for a moment."""
    while True:
        try:
            return call()
        except transient as error:
            if retries <= 0 or (isinstance(error, OSError) and error.errno not in LOCAL_RESOURCE_ERRORS):
                raise
            retries -= 1
            time.sleep(START_RETRY_S)


def _handle_signals(proxy: Proxy) -> None:
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, proxy.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("%s", proxy.counters.line()))
    # __main__ blocked these while the program was loading: what came since then is handled now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP, signal.SIGUSR1])


def _block_signals() -> None:
    """The loop removes its handlers as it closes: a signal that comes then would end the process by itself."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT])


async def _run(config: Config) -> None:
    proxy = Proxy(config)
    if os.environ.get(AGENT_VARIABLE):
        # Guards against a proxy that outlives its agent and holds the address against the next one's.
        await asyncio.get_running_loop().connect_read_pipe(lambda: _AgentPipe(proxy.stopping), sys.stdin)
    _handle_signals(proxy)
    try:
        await proxy.run()
    finally:
        _block_signals()


def main() -> int:
    """Run one proxy as the environment describes it; returns the exit code."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    try:
        log.setLevel(log_level(os.environ))
        config = _retry(read_config, ConfigUnreadableError)
    except ConfigError as error:
        log.error("%s", error)
        return EXIT_CONFIG_ERROR
    gc.set_threshold(*GC_THRESHOLD)
    gc.freeze()  # what was loaded at the start is never looked through again
    with contextlib.suppress(KeyboardInterrupt):
        try:
            with asyncio.Runner(loop_factory=lambda: _retry(asyncio.new_event_loop, OSError)) as runner:
                runner.run(_run(config))
        except ConfigError as error:
            log.error("%s", error)
            return EXIT_CONFIG_ERROR
    return 0
