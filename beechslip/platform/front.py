"""The HTTP front: clients' requests in, one response out for each."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Address
from beechslip.core.messages import ClientDisconnected, RequestReceived
from beechslip.core.model import AttemptExecutor, FinalResponse
from beechslip.counters import Counters
from beechslip.platform.client_connection import ClientConnection
from beechslip.platform.client_requests import MAX_REQUEST_BODY, BadRequestError, check_fields, parse_client_request
from beechslip.platform.server import LOOP_BEAT_MS, BoundedServer
from beechslip.platform.sockets import Listener, listening_socket
from beechslip.routing.interface import Settings

SWEEP_MS = 250.0  # milliseconds between two checks of the connections' time limits
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSE_S = 2.0  # seconds for a response that is being written when the front closes
SETTLE_MS = 2_400.0  # for a request that is being read at the drain: no sweep lets one take longer
BACKLOG = 512  # connections that may wait in the kernel
# Clients that are diverted keep coming on new connections for 0.3 s: the platform checks /health every 0.1 s and goes
# by the last answer for 0.2 s more. 4 s after the call nobody may wait here with a request of the last 2 s.
DIVERTED_MS = 400.0  # after this connections are closed once answered
DIVERT_REFUSE_MS = 1_800.0  # after this new requests are refused
LAST_REQUEST_S = 0.02  # seconds for the request of a connection that was accepted at the very end
# The HTTP status of a failure by its cause.
STATUS_BY_CAUSE = {"": 502, "deadline": 504, "duplicate": 409, "fault": 500, "sent before": 502}


class HttpResponseSink:
    """Waits for the final response to one request; the core's ``ResponseSink``."""

    def __init__(self, connection: ClientConnection) -> None:
        """``connection``: the one that the request came on."""
        self._connection = connection
        self.final: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()

    def answer(self, final: FinalResponse) -> None:
        """Take the final response; all after the first one are ignored."""
        if not self.final.done():
            self.final.set_result(final)

    @property
    def departed(self) -> bool:
        """Whether the client has closed its connection."""
        return self._connection.client_gone


def to_response(final: FinalResponse) -> web.Response:
    """The wire form of a final response."""
    payload = final.payload
    if final.kind == "served" and payload is not None:
        headers = {"ETag": f'"{payload.tag}"'} if payload.tag else {}
        if payload.same:
            return web.Response(status=304, headers=headers)
        return web.Response(body=payload.body, headers=headers, content_type="application/octet-stream")
    if final.kind == "refused":
        return web.Response(status=503, headers={"Srv-Wait-Ms": str(max(round(final.retry_after_ms), 0))})
    return web.Response(status=STATUS_BY_CAUSE[final.cause])


class HttpFront:
    """Owns the listening socket and, through its server, the clients' connections."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        executor: AttemptExecutor,
        post: Callable[[object], None],
        counters: Counters,
        sockets: int = 1024,
    ) -> None:
        """``post`` hands messages to the engine; ``sockets``: the descriptors that the process may use."""
        self._settings = settings
        self._clock = clock
        self._executor = executor
        self._post = post
        self._counters = counters
        self._listener: Listener | None = None
        self._sweep_alarm: ScheduledCall | None = None
        self._beat_alarm: ScheduledCall | None = None
        self._draining = False
        self._handing_over = False
        self._diverting_since_ms: float | None = None
        self.port = 0
        # Usual clients need a third of the descriptors at the most; what others hold beyond is closed in time.
        self._server = BoundedServer(self._handle, clock, counters, max(sockets // 2, 1))

    @property
    def ready(self) -> bool:
        """Whether clients are to come: it listens, and neither drains nor diverts them."""
        return self._listener is not None and not self._draining and not self.diverting

    async def start(self, listen: Address, fd: int | None = None) -> None:
        """Listen at the address, or on the platform's socket ``fd``, which its next process inherits as well.

        Raises OSError where the address can't be had.
        """
        # Guards against an upgrade that fails: the address is in use while the platform holds its socket.
        sock = await listening_socket(listen, BACKLOG) if fd is None else socket.socket(fileno=fd)
        if fd is not None:
            sock.listen(BACKLOG)
        self._listener = Listener(sock, self._server, self._counters)
        self.port = self._listener.port
        self._sweep()
        self._beat()

    def divert_clients(self) -> None:
        """An operator drains this proxy: /health says no, and clients are to leave, until ``readmit_clients``.

        Requests that still arrive are served, as some always do; connections are closed once no new ones are due.
        """
        if self._diverting_since_ms is None:
            self._diverting_since_ms = self._clock.now_ms()

    def readmit_clients(self) -> None:
        """Undo ``divert_clients``."""
        self._diverting_since_ms = None

    @property
    def diverting(self) -> bool:
        """Whether an operator has drained this proxy."""
        return self._diverting_since_ms is not None

    def retune(self, settings: Settings) -> None:
        """Use new settings for requests from now on."""
        self._settings = settings

    def _diverting_for_ms(self) -> float:
        return -1.0 if self._diverting_since_ms is None else self._clock.now_ms() - self._diverting_since_ms

    def hand_over(self) -> None:
        """The next process accepts from the same socket: stop accepting, and close connections once answered.

        Guards against rejecting clients unheard: those that this process accepts and has no time for.
        """
        self._handing_over = True
        if self._listener is not None:
            self._listener.close()

    def _sweep(self) -> None:
        self._server.sweep()
        if self._diverting_for_ms() >= DIVERTED_MS:
            self._server.close_idle()
        self._sweep_alarm = self._clock.call_later(SWEEP_MS, self._sweep)

    def _beat(self) -> None:
        self._server.record_loop_beat()
        self._beat_alarm = self._clock.call_later(LOOP_BEAT_MS, self._beat)

    def drain(self) -> None:
        """Begin the graceful shutdown: refuse new requests, and keep only connections with open ones.

        It goes on listening to the end: what the kernel has accepted must get a response, if only a refusal.
        """
        self._draining = True
        self._server.close_idle()

    async def settle(self, within_ms: float = SETTLE_MS) -> None:
        """Until no request is pending or partly read and no response partly sent, or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_ms / 1000.0):
                while True:
                    await self._server.wait_while_any(lambda one: one.has_pending_work)
                    if self._listener is None:
                        return
                    await self._listener.accept_all()
                    if not self._server.any_connection(lambda one: one.has_pending_work or one.is_new):
                        return
                    await asyncio.sleep(LAST_REQUEST_S)
                    self._server.close_idle(unfinished=True)

    async def close(self) -> None:
        """Stop listening and close all connections; responses that are being written get up to twice CLOSE_S."""
        for alarm in (self._sweep_alarm, self._beat_alarm):
            if alarm is not None:
                alarm.cancel()
        if self._listener is not None:
            self._listener.close()
        self._server.close_idle(unfinished=True)  # aiohttp would wait for each as for one with a request
        await self._server.shutdown(CLOSE_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_S):
                await self._server.wait_while_any(lambda one: one.has_unsent_bytes)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection: Any = request.protocol
        try:
            response = await self._answer(request, connection)
        finally:
            connection.request_done()
        # What its client has sent behind the request must be answered too, before the connection is closed.
        closing = self._handing_over or self._draining or self._diverting_for_ms() >= DIVERTED_MS
        if closing and not connection.has_more_input:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest, connection: ClientConnection) -> web.StreamResponse:
        if request.path == "/health":
            if not self.diverting:
                return web.Response(text="ok")
            return web.Response(status=503, text="drained")
        try:
            body = await self._read_body(request)
            connection.request_complete(body=request.body_exists)
            # The client's time runs from its last byte, not from when this task got to it.
            call = parse_client_request(
                request.method,
                request.raw_path,
                request.headers,
                body,
                connection.request_received_ms,
                self._settings,
            )
        except BadRequestError as error:
            return self._server.reject(error)
        refusing = self._draining or self._diverting_for_ms() >= DIVERT_REFUSE_MS
        if refusing or connection.client_gone or request.transport is None:
            # Handled after its connection has ended, a request would be executed in vain: nobody awaits its response.
            return to_response(FinalResponse("refused"))
        response_sink = HttpResponseSink(connection)
        self._post(RequestReceived(call, self._executor, response_sink))
        try:
            return to_response(await response_sink.final)
        except asyncio.CancelledError:
            self._post(ClientDisconnected(call.id, response_sink))
            raise

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """The body of a request whose head is valid; raises BadRequestError."""
        check_fields(request.raw_headers)
        if (request.content_length or 0) > MAX_REQUEST_BODY:
            raise BadRequestError(413, "the body is too long")
        if not request.body_exists:
            return b""
        # An invalid head is reported before the body is read.
        parse_client_request(request.method, request.raw_path, request.headers, b"", 0.0, self._settings)
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(CONTINUE)  # its client may wait for this before it sends the body
        return await self._receive_body(request)

    async def _receive_body(self, request: web.BaseRequest) -> bytes:
        """The body, within its limit: a longer one is rejected before it fills the memory.

        A slow one is ended by the sweep, with its connection.
        """
        body = bytearray()
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > MAX_REQUEST_BODY:
                    raise BadRequestError(413, "the body is too long")
        except (web.RequestPayloadError, ConnectionError, ValueError) as error:
            raise BadRequestError(400, f"the body can't be read: {error}") from None
        return bytes(body)
