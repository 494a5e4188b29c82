"""The operators' HTTP front: readiness, drain and activate, and status pages, at an address of its own."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from urllib.parse import parse_qsl

import orjson

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Address
from beechslip.counters import Counters
from beechslip.memory_budget import MemoryBudget, unlimited_budget
from beechslip.platform.exchange import Exchange
from beechslip.platform.http_messages import HttpResponse, text_response
from beechslip.platform.request_assembler import WholeRequest
from beechslip.platform.request_form import BadRequestError
from beechslip.platform.request_head import RequestHead
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


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


class OpsFront:
    """Owns the operators' address. Each connection serves one call. Implements ``RequestHandler``."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        ready: OperatorAction,
        drain: OperatorAction,
        activate: OperatorAction,
        pages: Mapping[str, StatusPage] | None = None,
        calls: Mapping[str, OperatorCall] | None = None,
        memory: MemoryBudget | None = None,
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
        self._server = BoundedServer(
            self,
            clock,
            counters,
            memory or unlimited_budget(counters),
            lambda: MAX_CONNECTIONS,
            REQUEST_READ_TIMEOUT_MS,
        )
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._listener: Listener | None = None
        self._expiry_alarm: ScheduledCall | None = None
        self.port = 0

    async def start(self, listen: Address) -> None:
        """Listen at the address. Raises OSError if it is not available."""
        sock = await open_listening_socket(listen, LISTEN_BACKLOG)
        self._listener = Listener(sock, self._server.create_connection, self._counters)
        self.port = self._listener.port
        self._close_expired_connections()

    def _close_expired_connections(self) -> None:
        self._server.close_expired()
        self._expiry_alarm = self._clock.call_later(EXPIRY_CHECK_INTERVAL_MS, self._close_expired_connections)

    # Calls ----------------------------------------------------------------------------------------

    def check_head(self, head: RequestHead) -> None:
        """Accept content of a POST, and ignore it; see ``RequestHandler``. A GET has none (``request_form``)."""

    def refusal(self) -> HttpResponse:
        """Return the response to a call that is refused unread; see ``RequestHandler``."""
        return text_response(503, "no")

    def rejection(self, error: BadRequestError) -> HttpResponse:
        """Return the response to a call that can't be parsed; see ``RequestHandler``."""
        return self._server.rejection(error)

    def handle_request(self, request: WholeRequest, exchange: Exchange) -> None:
        """Begin a call, and respond when it is done; see ``RequestHandler``."""
        task = asyncio.get_running_loop().create_task(self._run_call(request.head(), exchange))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)
        exchange.on_departure = lambda: _cancel(task)

    async def _run_call(self, head: RequestHead, exchange: Exchange) -> None:
        try:
            status, text = await self._respond(head)
        except Exception:
            self._counters.add("fault.front")
            log.exception("operator call failed: target=%.200s", head.target)
            status, text = 500, "the call failed"
        self._counters.add(f"ops.{status}")
        response = text_response(status, text)
        response.closes_connection = True
        exchange.respond(response)

    async def _respond(self, head: RequestHead) -> tuple[int, str]:
        """Return the status and text of the response."""
        path = head.path
        call = self._calls.get(path)
        if call is not None and head.method == "POST":
            status, text = await call(dict(parse_qsl(head.query, keep_blank_values=True)))
            log.info("operator call: target=%s status=%d text=%s", head.target, status, text)
            return status, text
        page = self._pages.get(path)
        if page is not None and head.method == "GET":
            return 200, orjson.dumps(page()).decode()
        action = self._actions.get((head.method, path))
        if action is not None:
            status, text = (200, "yes") if action() else (503, "no")
            if head.method == "POST":
                log.info("operator call: path=%s result=%s", path, text)
            return status, text
        if page is not None or any(action_path == path for _, action_path in self._actions):
            return 405, "not a method of this call"
        return 404, "no such call"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._expiry_alarm is not None:
            self._expiry_alarm.cancel()
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)
