"""The operators' HTTP front: readiness, drain and activate, status pages, at an address of its own."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping

import orjson
from aiohttp import web

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Address
from beechslip.counters import Counters
from beechslip.platform.server import BoundedServer
from beechslip.platform.sockets import Listener, listening_socket

log = logging.getLogger("beechslip.ops")

BACKLOG = 100  # connections that may wait in the kernel
MAX_CONNECTIONS = 24  # some callers connect and complete no call
READ_MS = 8_000.0  # until a call is complete: operators may take their time, unlike clients
SWEEP_MS = 1_000.0  # milliseconds between two checks of the connections' time limits
CLOSE_S = 0.2  # seconds for responses that are being written when the front closes

Operation = Callable[[], bool]  # a call without arguments; whether it succeeded
Page = Callable[[], Mapping[str, object]]  # the JSON object that a page shows
# A call with its query's arguments; the status and text of its response.
OperatorCall = Callable[[Mapping[str, str]], Awaitable[tuple[int, str]]]


class OpsFront:
    """Owns the second address; each connection serves one call."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        ready: Operation,
        drain: Operation,
        activate: Operation,
        pages: Mapping[str, Page] | None = None,
        calls: Mapping[str, OperatorCall] | None = None,
    ) -> None:
        """``pages`` are served for GET and ``calls`` for POST, both by path."""
        self._pages = pages or {}
        self._calls = calls or {}
        self._operations: Mapping[tuple[str, str], Operation] = {
            ("GET", "/v1/readyz"): ready,
            ("POST", "/v1/doorman/drain"): drain,
            ("POST", "/v1/doorman/activate"): activate,
        }
        self._clock = clock
        self._counters = counters
        self._server = BoundedServer(self._handle, clock, counters, MAX_CONNECTIONS, READ_MS)
        self._listener: Listener | None = None
        self._sweep_alarm: ScheduledCall | None = None
        self.port = 0

    async def start(self, listen: Address) -> None:
        """Listen at the address; raises OSError where it can't be had."""
        self._listener = Listener(await listening_socket(listen, BACKLOG), self._server, self._counters)
        self.port = self._listener.port
        self._sweep()

    def _sweep(self) -> None:
        self._server.sweep()
        self._sweep_alarm = self._clock.call_later(SWEEP_MS, self._sweep)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        status, text = await self._respond(request)
        self._counters.add(f"ops.{status}")
        response = web.Response(status=status, text=text)
        response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> tuple[int, str]:
        """The status and text of the response."""
        call = self._calls.get(request.path)
        if call is not None and request.method == "POST":
            status, text = await call(dict(request.query))
            log.info("operator call %s: %d %s", request.rel_url, status, text)
            return status, text
        page = self._pages.get(request.path)
        if page is not None and request.method == "GET":
            return 200, orjson.dumps(page()).decode()
        operation = self._operations.get((request.method, request.path))
        if operation is not None:
            status, text = (200, "yes") if operation() else (503, "no")
            if request.method == "POST":
                log.info("operator call %s: %s", request.path, text)
            return status, text
        if page is not None or any(path == request.path for _, path in self._operations):
            return 405, "not a method of this call"
        return 404, "no such call"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweep_alarm is not None:
            self._sweep_alarm.cancel()
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_S)
