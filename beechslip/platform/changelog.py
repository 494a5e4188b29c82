"""The reader of the change log: follows the event stream and reconnects when it ends or falls silent."""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import aiohttp

from beechslip.config import Address
from beechslip.core.model import Listing, Purged
from beechslip.counters import Counters
from beechslip.platform.parse import BadEvent, EventParser, parse_event

log = logging.getLogger("beechslip.changelog")

SILENCE_S = 2.5  # a comment comes each second
AGAIN_S = 0.1
DIAL_S = 1.0


class ChangeLog:
    """Follows the change log from a number on and posts what it tells. Each event is told once."""

    def __init__(self, address: Address, last: int, post: Callable[[Listing | Purged], None],
                 counters: Counters) -> None:
        self._url = f"http://{address}/changes"
        self.last, self._post, self._counters = last, post, counters

    async def run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, connect=DIAL_S, sock_read=SILENCE_S)
        async with aiohttp.ClientSession(timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(),
                                         trust_env=False, auto_decompress=False) as session:
            while True:
                try:
                    await self._follow(session)
                except (aiohttp.ClientError, OSError, TimeoutError, BadEvent) as error:
                    log.info("change log: %r", error)
                self._counters.add("changelog.reconnects")
                await asyncio.sleep(AGAIN_S)

    async def _follow(self, session: aiohttp.ClientSession) -> None:
        parser = EventParser()
        headers = {"Last-Event-ID": str(self.last), "Accept": "text/event-stream"}
        async with session.get(self._url, headers=headers, allow_redirects=False) as response:
            if response.status != 200:
                raise BadEvent(f"status {response.status}")
            async for chunk in response.content.iter_any():
                for event in parser.feed(chunk):
                    self.take(*parse_event(event))

    def take(self, seq: int, news: list[Listing | Purged]) -> None:
        """Post an event's news, unless it was told before: the stream may repeat some on a reconnect."""
        if seq <= self.last:
            return
        self.last = seq
        for one in news:
            self._post(one)
