"""The operators' HTTP front: readiness, drain and activate, and status pages, at an address of its own."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping

import orjson
from aiohttp import web

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Address
from beechslip.counters import Counters
from beechslip.platform.server import BoundedServer
from beechslip.platform.sockets import Listener, open_listening_socket

log = logging.getLogger("beechslip.ops")

LISTEN_BACKLOG = 100  # connections that may wait in the kernel
MAX_CONNECTIONS = 24  # some callers connect and never complete a call
REQUEST_READ_TIMEOUT_MS = 8_000.0  # until a call is complete; operators may take more time than clients
EXPIRY_CHECK_INTERVAL_MS = 1_000.0  # interval between checks of the connections' time limits
CLOSE_TIMEOUT_S = 0.2  # time for responses that are being written when the front closes

OperatorAction = Callable[[], bool]  # a call without arguments; True is answered with "yes"
StatusPage = Callable[[], Mapping[str, object]]  # returns the JSON object that the page shows
# A call with the arguments of its query. It returns the status and text of its response.
OperatorCall = Callable[[Mapping[str, str]], Awaitable[tuple[int, str]]]


class OpsFront:
    """Owns the operators' address. Each connection serves one call."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        ready: OperatorAction,
        drain: OperatorAction,
        activate: OperatorAction,
        pages: Mapping[str, StatusPage] | None = None,
        calls: Mapping[str, OperatorCall] | None = None,
    ) -> None:
        """Create a front that does not listen yet. ``pages`` are served for GET and ``calls`` for POST, by path."""
        self._pages = pages or {}
        self._calls = calls or {}
        self._actions: Mapping[tuple[str, str], OperatorAction] = {
            ("GET", "/v1/readyz"): ready,
            ("POST", "/v1/doorman/drain"): drain,
            ("POST", "/v1/doorman/activate"): activate,
        }
        self._clock = clock
        self._counters = counters
        self._server = BoundedServer(self._handle_request, clock, counters, MAX_CONNECTIONS, REQUEST_READ_TIMEOUT_MS)
        self._listener: Listener | None = None
        self._expiry_alarm: ScheduledCall | None = None
        self.port = 0

    async def start(self, listen: Address) -> None:
        """Listen at the address. Raises OSError if it is not available."""
        self._listener = Listener(await open_listening_socket(listen, LISTEN_BACKLOG), self._server, self._counters)
        self.port = self._listener.port
        self._close_expired_connections()

    def _close_expired_connections(self) -> None:
        self._server.close_expired()
        self._expiry_alarm = self._clock.call_later(EXPIRY_CHECK_INTERVAL_MS, self._close_expired_connections)

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        status, text = await self._respond(request)
        self._counters.add(f"ops.{status}")
        response = web.Response(status=status, text=text)
        response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> tuple[int, str]:
        """Return the status and text of the response."""
        call = self._calls.get(request.path)
        if call is not None and request.method == "POST":
            status, text = await call(dict(request.query))
            log.info("operator call: target=%s status=%d text=%s", request.rel_url, status, text)
            return status, text
        page = self._pages.get(request.path)
        if page is not None and request.method == "GET":
            return 200, orjson.dumps(page()).decode()
        action = self._actions.get((request.method, request.path))
        if action is not None:
            status, text = (200, "yes") if action() else (503, "no")
            if request.method == "POST":
                log.info("operator call: path=%s result=%s", request.path, text)
            return status, text
        if page is not None or any(path == request.path for _, path in self._actions):
            return 405, "not a method of this call"
        return 404, "no such call"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._expiry_alarm is not None:
            self._expiry_alarm.cancel()
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)
