"""The HTTP front: clients' requests in, one answer out for each."""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from aldershed.interface import Settings
from beechslip.clock import Clock
from beechslip.config import Address
from beechslip.core.model import Carrier, ClientLeft, Final, Taken
from beechslip.counters import Counters
from beechslip.platform.parse import MOST_BODY, BadRequest, parse_call

log = logging.getLogger("beechslip.front")

IDLE_S = 20.0  # clients close after 4 s
BODY_S = 10.0  # a body that takes longer is given up
CLOSE_S = 2.0  # for an answer that is being written when the front closes
BACKLOG = 512
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
    """A client's connection; what aiohttp itself answers, as it can't be read, is counted too."""

    __slots__ = ("counters",)
    counters: Counters

    def handle_error(self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None,
                     message: str | None = None) -> web.StreamResponse:
        self.counters.add("bad_request" if status < 500 else "fault.front")
        return super().handle_error(request, status, exc, message)


class _Server(web.Server):
    """aiohttp's low-level server with connections that count."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
                 counters: Counters) -> None:
        # A client that leaves cancels its handler, which frees its attempt.
        super().__init__(handler, handler_cancellation=True)
        self._counters = counters

    def __call__(self) -> web.RequestHandler:
        # None is aiohttp's way to have no access log, though its annotation has no room for it.
        connection = _Connection(self, loop=self._loop, access_log=None,  # type: ignore[arg-type]
                                 keepalive_timeout=IDLE_S)
        connection.counters = self._counters
        return connection


class HttpFront:
    """Owns the listening socket and the clients' connections."""

    def __init__(self, settings: Settings, clock: Clock, carrier: Carrier, post: Callable[[object], None],
                 counters: Counters) -> None:
        self._settings, self._clock, self._carrier = settings, clock, carrier
        self._post, self._counters = post, counters
        self._listener: asyncio.Server | None = None
        self.port = 0
        self._server = _Server(self._handle, counters)

    async def start(self, listen: Address) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, listen.host, listen.port, backlog=BACKLOG,
                                                  reuse_address=True)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/health":
            return web.Response(text="ok")
        try:
            body = await self._body(request)
            call = parse_call(request.method, request.raw_path, request.headers, body, self._clock.now_ms(),
                              self._settings)
        except BadRequest as error:
            self._counters.add("bad_request")
            log.info("bad request: %s", error.why)
            response = web.Response(status=error.status, text=error.why)
            response.force_close()
            return response
        answerer = HttpAnswerer()
        self._post(Taken(call, self._carrier, answerer))
        try:
            return to_response(await answerer.final)
        except asyncio.CancelledError:
            self._post(ClientLeft(call.id, answerer))
            raise

    async def _body(self, request: web.BaseRequest) -> bytes:
        """The body, within its limit: a longer or slower one is refused before it fills the memory."""
        if request.content_length is not None and request.content_length > MOST_BODY:
            raise BadRequest(413, "the body is too long")
        if not request.body_exists:
            return b""
        body = bytearray()
        try:
            async with asyncio.timeout(BODY_S):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > MOST_BODY:
                        raise BadRequest(413, "the body is too long")
        except TimeoutError:
            raise BadRequest(408, "the body took too long") from None
        except (web.RequestPayloadError, ConnectionError, ValueError) as error:
            raise BadRequest(400, f"the body can't be read: {error}") from None
        return bytes(body)
