"""The process of one proxy: its start, its signal handlers and its exit code."""

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
from beechslip.platform.process_memory import return_freed_memory, trim_heap
from beechslip.platform.sockets import LOCAL_RESOURCE_ERRORS
from beechslip.proxy import Proxy

log = logging.getLogger("beechslip")

# The proxy creates almost no reference cycles. The default, a search for them after every 700 new objects, would
# waste CPU time.
GC_THRESHOLD = (20_000, 20, 20)
# An operation of the start that the system refuses temporarily (a file can't be opened, no socket is available) is
# tried again.
START_RETRIES = 200
START_RETRY_DELAY_S = 0.05
AGENT_VARIABLE = "BEECHSLIP_KEPT"  # set by an agent, which keeps the other end of standard input open

EXIT_CONFIG_ERROR = 2

ResultT = TypeVar("ResultT")


class _AgentPipe(asyncio.Protocol):
    """Watches standard input, a pipe from the agent, whose end means that the agent process has ended."""

    def __init__(self, stopping: asyncio.Event) -> None:
        self._stopping = stopping

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the proxy, because its agent has ended."""
        self._stopping.set()


def _call_with_retries(
    function: Callable[[], ResultT], transient: type[Exception], retries: int = START_RETRIES
) -> ResultT:
    """Call ``function`` and return its result, with up to ``retries`` more calls after transient errors.

    ``transient`` is the type of these errors; an OSError must also be in ``LOCAL_RESOURCE_ERRORS``.
    """
    while True:
        try:
            return function()
        except transient as error:
            if retries <= 0 or (isinstance(error, OSError) and error.errno not in LOCAL_RESOURCE_ERRORS):
                raise
            retries -= 1
            time.sleep(START_RETRY_DELAY_S)


def _handle_signals(proxy: Proxy) -> None:
    """Install the signal handlers on the running loop: stop, reload, and log the counters."""
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, proxy.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload)
    loop.add_signal_handler(signal.SIGUSR1, proxy.log_counters)
    # __main__ blocked these while the program was loading. A signal that arrived since then is handled now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP, signal.SIGUSR1])


def _block_signals() -> None:
    """Block the signals, because the loop removes their handlers as it closes.

    A signal that arrives after that would otherwise have its default effect and kill the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT])


async def _run_proxy(config: Config) -> None:
    proxy = Proxy(config)
    if os.environ.get(AGENT_VARIABLE):
        # A proxy that outlived its agent would keep the address that the proxy of the next agent needs.
        await asyncio.get_running_loop().connect_read_pipe(lambda: _AgentPipe(proxy.stopping), sys.stdin)
    _handle_signals(proxy)
    try:
        await proxy.run()
    finally:
        _block_signals()


def main() -> int:
    """Run one proxy, configured by environment variables, and return the exit code of the process."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    try:
        log.setLevel(log_level(os.environ))
        config = _call_with_retries(read_config, ConfigUnreadableError)
    except ConfigError as error:
        log.error("configuration error: %s", error)
        return EXIT_CONFIG_ERROR
    return_freed_memory()
    trim_heap()  # of what loading the program took for a while
    gc.set_threshold(*GC_THRESHOLD)
    gc.freeze()  # excludes the objects that were loaded at the start from garbage collection
    with contextlib.suppress(KeyboardInterrupt):
        try:
            with asyncio.Runner(loop_factory=lambda: _call_with_retries(asyncio.new_event_loop, OSError)) as runner:
                runner.run(_run_proxy(config))
        except ConfigError as error:
            log.error("configuration error: %s", error)
            return EXIT_CONFIG_ERROR
    return 0
