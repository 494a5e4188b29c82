"""Graceful shutdown: what is still answered after SIGTERM, and until when."""

from __future__ import annotations

import asyncio
import logging

from beechslip.core.engine import Engine
from beechslip.core.messages import Shutdown
from beechslip.platform.front import HttpFront
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip")

# After SIGTERM new connections keep coming for up to 0.4 s and requests on open ones for 0.2 s more; some clients go
# on to the end.
LINGER_S = 0.65
# SIGKILL may come the longest deadline, counted as 3 s at the most, and 0.7 s after SIGTERM, and what came more than
# 0.7 s after SIGTERM must be answered by then.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_AFTER_S = 0.7
FINAL_RESPONSES_S = 0.15  # this long before SIGKILL all that is open is ended
FINAL_BYTES_S = 0.05  # this long before SIGKILL all is written


def grace_s(settings: Settings) -> float:
    """How long after SIGTERM the process may go on, by the settings in force."""
    longest_s = max((rule.deadline for rule in settings.classes.values()), default=MAX_COUNTED_DEADLINE_S)
    return min(longest_s or MAX_COUNTED_DEADLINE_S, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_S


async def shut_down(engine: Engine, front: HttpFront, settings: Settings) -> None:
    """Go on serving for ``LINGER_S``, then take nothing new and answer all that was taken before SIGKILL may come."""
    kill_s = asyncio.get_running_loop().time() + grace_s(settings)
    await asyncio.sleep(LINGER_S)
    front.drain()
    await _answer_all(engine, front, kill_s)


async def _answer_all(engine: Engine, front: HttpFront, kill_s: float) -> None:
    """Wait until all is answered and written; ``kill_s``: loop time at which SIGKILL may come."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(kill_s - FINAL_RESPONSES_S):
            await engine.no_requests_open.wait()
    except TimeoutError:
        log.info("some requests are open still: they are ended before SIGKILL may come")
        engine.post(Shutdown())
        await engine.no_requests_open.wait()
    await front.finish_pending_work(max(kill_s - FINAL_BYTES_S - loop.time(), FINAL_BYTES_S) * 1000.0)
