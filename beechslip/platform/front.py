"""The HTTP front: clients' requests in, one answer out for each."""
from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from aldershed.interface import Settings
from beechslip.clock import Alarm, Clock
from beechslip.config import Address
from beechslip.core.model import Carrier, ClientLeft, Final, Taken
from beechslip.counters import Counters
from beechslip.platform.parse import MOST_BODY, BadRequest, check_fields, parse_call

log = logging.getLogger("beechslip.front")

# A client that sends nothing, or half a request, is owed an end within 3 s of connecting; 60 MB within 6 s.
READ_MS = 2_200.0  # from connecting, or from a later request's first byte, until the request is whole
IDLE_MS = 5_000.0  # after an answer; clients close after 4 s, and some keep their connection for good
SWEEP_MS = 250.0
KEEPALIVE_S = 86_400.0  # aiohttp's own timer is of no use here: the sweep ends idle connections
CLOSE_S = 2.0  # for an answer that is being written when the front closes
BACKLOG = 512  # connections that may wait in the kernel
ACCEPTED = 8  # and of these are taken at once: more would outrun the bound on descriptors
LOGGED = 10  # lines a second about bad requests: in a flood each would cost CPU that the others need
STATUS = {"": 502, "deadline": 504, "duplicate": 409, "fault": 500}


class HttpAnswerer:
    """Waits for the final answer to one request."""

    def __init__(self) -> None:
        self.final: asyncio.Future[Final] = asyncio.get_running_loop().create_future()

    def answer(self, final: Final) -> None:
        if not self.final.done():
            self.final.set_result(final)


def to_response(final: Final) -> web.Response:
    """The wire form of a final answer."""
    payload = final.payload
    if final.kind == "served" and payload is not None:
        headers = {"ETag": f'"{payload.tag}"'} if payload.tag else {}
        if payload.same:
            return web.Response(status=304, headers=headers)
        return web.Response(body=payload.body, headers=headers, content_type="application/octet-stream")
    if final.kind == "refused":
        return web.Response(status=503, headers={"Srv-Wait-Ms": str(max(round(final.retry_after_ms), 0))})
    return web.Response(status=STATUS[final.cause])


class _Connection(web.RequestHandler):
    """A client's connection, with what the bound and the time limits go by."""

    __slots__ = ("answering", "house", "partial", "read_ms", "since_ms")

    house: _Server

    def settle(self, house: _Server) -> _Connection:
        self.house = house
        self.since_ms = self.read_ms = house.clock.now_ms()  # since when it has been as it is; its last bytes
        self.partial, self.answering = True, False  # a new one owes a request
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.house.make_room(self)

    def data_received(self, data: bytes) -> None:
        self.read_ms = self.house.clock.now_ms()
        if not self.partial and not self.answering:
            self.partial, self.since_ms = True, self.read_ms
            self.house.changed(self)
        super().data_received(data)

    def answered(self) -> None:
        """A request on it has its answer."""
        self.partial = self.answering = False
        self.since_ms = self.house.clock.now_ms()
        self.house.changed(self)

    def handle_error(self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None,
                     message: str | None = None) -> web.StreamResponse:
        if status >= 500:
            self.house.counters.add("fault.front")
            return super().handle_error(request, status, exc, message)
        # aiohttp would log each of these with its traceback.
        return self.house.turn_down(BadRequest(status, message or "it can't be read"))


class _Server(web.Server):
    """aiohttp's low-level server; owns the clients' connections, their bound and their time limits."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], clock: Clock,
                 counters: Counters, most: int) -> None:
        # A client that leaves cancels its handler, which frees its attempt.
        super().__init__(handler, handler_cancellation=True)
        self.clock, self.counters, self._most = clock, counters, most
        self._open: dict[_Connection, None] = {}  # by since_ms, the longest as they are first
        self._logged_ms, self._logged = 0.0, 0

    def __call__(self) -> web.RequestHandler:
        # None is aiohttp's way to have no access log, though its annotation has no room for it. Lingering
        # would read on for 10 s from a client that is refused while it sends 60 MB.
        return _Connection(self, loop=self._loop, access_log=None,  # type: ignore[arg-type]
                           keepalive_timeout=KEEPALIVE_S, lingering_time=0.0).settle(self)

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        self._open.pop(handler, None)  # type: ignore[call-overload]
        super().connection_lost(handler, exc)

    def make_room(self, new: _Connection) -> None:
        """Count a new connection; over the bound the longest idle one goes, never one with an open request.

        Guards against clients that keep a connection for good: without descriptors nobody else gets in.
        """
        self._open[new] = None
        if len(self._open) <= self._most:
            return
        self._end(next((one for one in self._open if not one.answering), new), "closed.room")

    def changed(self, one: _Connection) -> None:
        """It is idle, or partway through a request, from now on."""
        if one in self._open:
            del self._open[one]
            self._open[one] = None

    def sweep(self) -> None:
        """End connections that have been idle, silent or partway through a request for too long."""
        now = self.clock.now_ms()
        for one in list(self._open):
            if not one.answering and now - one.since_ms > (READ_MS if one.partial else IDLE_MS):
                self._end(one, "closed.partial" if one.partial else "closed.idle")

    def end_idle(self) -> None:
        for one in list(self._open):
            if not one.answering and not one.partial:
                self._end(one, "closed.idle")

    def _end(self, one: _Connection, count: str) -> None:
        self.counters.add(count)
        del self._open[one]
        one.force_close()

    def turn_down(self, bad: BadRequest) -> web.Response:
        """The answer to what can't be served; counted always, logged now and then."""
        self.counters.add("bad_request")
        now = self.clock.now_ms()
        if now - self._logged_ms >= 1000.0:
            self._logged_ms, self._logged = now, 0
        self._logged += 1
        if self._logged <= LOGGED:
            log.info("bad request: %.200s", bad.why.replace("\n", " "))
        response = web.Response(status=bad.status)
        response.force_close()
        return response


class HttpFront:
    """Owns the listening socket and, through its server, the clients' connections."""

    def __init__(self, settings: Settings, clock: Clock, carrier: Carrier, post: Callable[[object], None],
                 counters: Counters, sockets: int = 1024) -> None:
        self._settings, self._clock, self._carrier = settings, clock, carrier
        self._post = post
        self._listener: asyncio.Server | None = None
        self._sweeping: Alarm | None = None
        self._draining = False
        self.port = 0
        # Usual clients hold a third of the descriptors at the most; what the others hold besides has its end.
        self._server = _Server(self._handle, clock, counters, max(sockets // 2, 1))

    async def start(self, listen: Address) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.create_server((listen.host, listen.port), backlog=BACKLOG)
        sock.setblocking(False)
        self._listener = await loop.create_server(self._server, sock=sock, backlog=ACCEPTED)
        sock.listen(BACKLOG)  # asyncio takes one figure for what may wait and for what it accepts at once
        self.port = sock.getsockname()[1]
        self._sweep()

    def _sweep(self) -> None:
        self._server.sweep()
        self._sweeping = self._clock.call_later(SWEEP_MS, self._sweep)

    def drain(self) -> None:
        """Take no more: what still comes is refused, and only open requests keep their connection."""
        self._draining = True
        if self._listener is not None:
            self._listener.close()
        self._server.end_idle()

    async def close(self) -> None:
        if self._sweeping is not None:
            self._sweeping.cancel()
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection: Any = request.protocol
        try:
            return await self._answer(request, connection)
        finally:
            connection.answered()

    async def _answer(self, request: web.BaseRequest, connection: _Connection) -> web.StreamResponse:
        if request.path == "/health":
            return web.Response(text="ok")
        try:
            check_fields(request.raw_headers)
            if (request.content_length or 0) > MOST_BODY:
                raise BadRequest(413, "the body is too long")
            body = b""
            if request.body_exists:
                # What is wrong with the head is told before the body is read.
                parse_call(request.method, request.raw_path, request.headers, b"", 0.0, self._settings)
                body = await self._body(request)
            # The client's time runs from its last byte, not from when this task got to it.
            call = parse_call(request.method, request.raw_path, request.headers, body, connection.read_ms,
                              self._settings)
        except BadRequest as error:
            return self._server.turn_down(error)
        if self._draining:
            response = to_response(Final("refused"))
            response.force_close()
            return response
        connection.answering = True
        answerer = HttpAnswerer()
        self._post(Taken(call, self._carrier, answerer))
        try:
            return to_response(await answerer.final)
        except asyncio.CancelledError:
            self._post(ClientLeft(call.id, answerer))
            raise

    async def _body(self, request: web.BaseRequest) -> bytes:
        """The body, within its limit: a longer one is refused before it fills the memory.

        A slow one is ended by the sweep, with its connection.
        """
        body = bytearray()
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > MOST_BODY:
                    raise BadRequest(413, "the body is too long")
        except (web.RequestPayloadError, ConnectionError, ValueError) as error:
            raise BadRequest(400, f"the body can't be read: {error}") from None
        return bytes(body)
