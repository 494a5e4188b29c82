"""The depot client: carries out attempts and probes over a bounded pool of kept-alive connections.

The pool is aiohttp's, with everything off that would send what the rules don't know of: its silent second
try on a dropped connection, redirects, cookies, proxies, headers of its own. The connection of an attempt
that is given up is closed, not pooled, before ``carry`` ends.
"""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from aldershed.interface import Settings
from beechslip.clock import to_ms
from beechslip.core.model import Depot, Ended, Order
from beechslip.platform.parse import MOST_ANSWER, depot_headers, depot_target, parse_answer

log = logging.getLogger("beechslip.depots")

DIAL_MS, IDLE_MS = 400.0, 30_000.0  # where the settings don't say
IDLE_EARLY = 0.8  # idle connections are dropped at this share of the depot's limit, so none is lost to a race
PROBE_MS = 300.0
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotStarted(Exception):
    """The guard forbade the first byte: nothing was sent."""


class _Passage:
    """What one attempt's task shares with the connector: the guard, and how far it has come."""

    __slots__ = ("connected", "may_start")

    def __init__(self, may_start: Callable[[], bool]) -> None:
        self.may_start, self.connected = may_start, False


_passage: ContextVar[_Passage | None] = ContextVar("passage", default=None)


class GuardedConnector(aiohttp.TCPConnector):
    """Asks the guard once a connection is at hand, right before the request is written to it."""

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Connection:
        connection = await super().connect(req, traces, timeout)
        passage = _passage.get()
        if passage is not None:
            if not passage.may_start():
                connection.release()
                raise NotStarted
            passage.connected = True
        return connection


class DepotClient:
    """Owns the connections to depots; ``close`` gives them back."""

    def __init__(self, settings: Settings, sockets: int) -> None:
        self._tells = settings.tells
        self._probe_path = "/load" if settings.reports else "/healthz"
        dial_ms = to_ms(settings.connect_wait) or DIAL_MS
        idle_ms = to_ms(settings.conn_idle) or IDLE_MS
        # Clients take a third of the descriptors; another third here leaves one for all else.
        connector = GuardedConnector(limit=max(sockets // 3, 1), use_dns_cache=False,
                                     keepalive_timeout=idle_ms * IDLE_EARLY / 1000)
        self._dial = aiohttp.ClientTimeout(total=None, connect=dial_ms / 1000)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False, auto_decompress=False,
            skip_auto_headers=SKIPPED, requote_redirect_url=False, raise_for_status=False,
        )
        # aiohttp sends an idempotent request again on a dropped kept-alive connection: a second attempt
        # that neither the cap nor the module knows of.
        self._session._retry_connection = False

    async def close(self) -> None:
        await self._session.close()

    async def _ask(self, method: str, address: str, target: str, headers: dict[str, str], body: bytes,
                   passage: _Passage, asked_tag: str) -> Ended:
        _passage.set(passage)
        url = URL(f"http://{address}{target}", encoded=True)
        try:
            async with self._session.request(method, url, headers=headers, data=body or None,
                                             allow_redirects=False, timeout=self._dial) as response:
                data = bytearray()
                async for chunk in response.content.iter_any():
                    data += chunk
                    if len(data) > MOST_ANSWER:
                        response.close()
                        return Ended("error")
                return parse_answer(response.status, response.headers, bytes(data), self._tells, asked_tag)
        except NotStarted:
            return Ended("moot")
        except (aiohttp.ClientError, OSError) as error:
            # A connection that never came up proves that nothing ran; one lost after that does not.
            if not passage.connected:
                return Ended("connect_failed")
            garbled = isinstance(error, (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)) \
                and not isinstance(error.__cause__, OSError)
            log.info("depot %s%s: %r", address, target, error)
            return Ended("error" if garbled and isinstance(error, aiohttp.ClientResponseError) else "reset")
        except ValueError as error:
            log.warning("depot %s%s: %r", address, target, error)
            return Ended("error")

    async def carry(self, order: Order, may_start: Callable[[], bool]) -> Ended:
        call = order.call
        method, headers = "PUT" if call.write else "GET", depot_headers(order, order.timeout_ms)
        return await self._ask(method, order.depot.address, depot_target(order), headers, call.body,
                               _Passage(may_start), call.tag)

    async def probe(self, depot: Depot) -> Ended:
        try:
            async with asyncio.timeout(PROBE_MS / 1000):
                return await self._ask("GET", depot.address, self._probe_path, {}, b"",
                                       _Passage(lambda: True), "")
        except TimeoutError:
            return Ended("timeout")
