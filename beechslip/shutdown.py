"""Graceful shutdown: how long after SIGTERM the proxy still accepts and answers requests."""

from __future__ import annotations

import asyncio
import logging

from beechslip.core.engine import Engine
from beechslip.core.messages import Shutdown
from beechslip.platform.front import HttpFront
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip")

# After SIGTERM new connections arrive for up to 0.4 s, and requests on open connections for another 0.2 s. Some
# clients send requests until the process ends.
SERVE_AFTER_SIGTERM_S = 0.65
# SIGKILL may follow SIGTERM after the longest deadline of a class, counted as at most 3 s, plus 0.7 s. Requests that
# arrived more than 0.7 s after SIGTERM must be answered by then, too.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
END_REQUESTS_BEFORE_KILL_S = 0.15  # how long before SIGKILL the open requests are ended
END_WRITES_BEFORE_KILL_S = 0.05  # how long before SIGKILL all responses are written


def kill_delay_s(settings: Settings) -> float:
    """Return the time from SIGTERM to the earliest possible SIGKILL, in seconds."""
    longest_s = max((rule.deadline for rule in settings.classes.values()), default=MAX_COUNTED_DEADLINE_S)
    return min(longest_s or MAX_COUNTED_DEADLINE_S, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S


async def shut_down(engine: Engine, front: HttpFront, settings: Settings) -> None:
    """Serve for another ``SERVE_AFTER_SIGTERM_S``, then refuse new requests and answer the open ones before SIGKILL.

    ``settings``: the current ones, whose longest deadline decides when SIGKILL may come.
    """
    kill_time_s = asyncio.get_running_loop().time() + kill_delay_s(settings)
    await asyncio.sleep(SERVE_AFTER_SIGTERM_S)
    front.drain()
    await _answer_all(engine, front, kill_time_s)


async def _answer_all(engine: Engine, front: HttpFront, kill_time_s: float) -> None:
    """Wait until all requests are answered and all responses written.

    ``kill_time_s`` is the time of the event loop at which SIGKILL may come.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(kill_time_s - END_REQUESTS_BEFORE_KILL_S):
            # A request that waits for memory is open in the engine once it has some.
            while not (front.nobody_waits.is_set() and engine.no_requests_open.is_set()):
                await front.nobody_waits.wait()
                await asyncio.sleep(0)
                await engine.no_requests_open.wait()
    except TimeoutError:
        log.info("requests still open shortly before SIGKILL may come: ending them")
        front.refuse_waiting()
        engine.post(Shutdown())
        await engine.no_requests_open.wait()
    await front.finish_pending_work(
        max(kill_time_s - END_WRITES_BEFORE_KILL_S - loop.time(), END_WRITES_BEFORE_KILL_S) * 1000.0
    )
