"""The HTTP front: receives clients' requests and sends one response to each."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import replace

from beechslip.clock import Clock, ScheduledCall, to_ms
from beechslip.config import Address
from beechslip.core.messages import ClientDisconnected, RequestReceived
from beechslip.core.model import AttemptExecutor, ClientRequest, FinalResponse
from beechslip.counters import Counters
from beechslip.descriptor_budget import DescriptorBudget
from beechslip.memory_budget import MemoryBudget, MemoryCharge, unlimited_budget
from beechslip.platform.client_requests import parse_client_request
from beechslip.platform.exchange import Exchange
from beechslip.platform.http_messages import HttpResponse, text_response
from beechslip.platform.request_assembler import WholeRequest
from beechslip.platform.request_form import BadRequestError
from beechslip.platform.request_head import RequestHead
from beechslip.platform.response_space import Continuation, ResponseSpace
from beechslip.platform.server import LOOP_CHECK_INTERVAL_MS, BoundedServer
from beechslip.platform.sockets import Listener, open_listening_socket
from beechslip.routing.interface import Settings

EXPIRY_CHECK_INTERVAL_MS = 250.0  # interval between checks of the connections' time limits
HEALTH_PATH = "/health"
CLOSE_TIMEOUT_S = 2.0  # time for responses that are being written when the front closes
PENDING_WORK_TIMEOUT_MS = 2_400.0  # for a request that is being read at the drain; longer ones are closed as expired
LISTEN_BACKLOG = 512  # connections that may wait in the kernel
# Diverted clients keep arriving on new connections for 0.3 s: the platform checks /health every 0.1 s and uses the
# last answer for another 0.2 s. 4 s after the operator's call, no client whose request arrived within the last 2 s
# may still be waiting here.
DIVERT_CLOSE_AFTER_MS = 400.0  # time after which connections are closed once they have been answered
DIVERT_REFUSE_AFTER_MS = 1_800.0  # time after which new requests are refused
LAST_REQUEST_WAIT_S = 0.02  # time for the request of a connection that was accepted at the very end
# HTTP statuses of failed requests by cause.
STATUS_BY_CAUSE = {"": 502, "deadline": 504, "duplicate": 409, "fault": 500, "sent before": 502}


class HttpResponseSink:
    """Takes the final response to one request. Implements the core's ``ResponseSink``."""

    def __init__(
        self,
        exchange: Exchange,
        respond: Callable[[Exchange, HttpResponse], None],
        record_size: Callable[[int], None],
    ) -> None:
        """Create a sink whose response is sent to the client by ``respond``; one with a body is told its size."""
        self._exchange = exchange
        self._respond = respond
        self._record_size = record_size

    def answer(self, final_response: FinalResponse) -> None:
        """Send the final response. Later calls are ignored."""
        payload = final_response.payload
        if payload is not None and not payload.is_not_modified:
            self._record_size(len(payload.body))
        self._respond(self._exchange, to_http_response(final_response))

    @property
    def has_client_departed(self) -> bool:
        """True if the client has closed its connection."""
        return self._exchange.has_client_departed


def to_http_response(final_response: FinalResponse) -> HttpResponse:
    """Convert a final response to an HTTP response."""
    payload = final_response.payload
    if final_response.kind == "served" and payload is not None:
        fields = {"ETag": f'"{payload.etag}"'} if payload.etag else {}
        if payload.is_not_modified:
            return HttpResponse(304, fields)
        return HttpResponse(200, fields, payload.body, "application/octet-stream")
    if final_response.kind == "refused":
        return HttpResponse(503, {"Srv-Wait-Ms": str(max(round(final_response.retry_after_ms), 0))})
    return HttpResponse(STATUS_BY_CAUSE[final_response.cause])


class HttpFront:
    """Owns the listening socket and, through its server, the clients' connections. Implements ``RequestHandler``."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        executor: AttemptExecutor,
        post: Callable[[object], None],
        counters: Counters,
        descriptors: DescriptorBudget,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a front that does not listen yet.

        ``post`` passes messages to the engine. ``descriptors`` bounds the clients' connections.
        Without ``memory`` what the clients send and leave unread is not limited in sum.
        """
        self._memory = memory or unlimited_budget(counters)
        self._settings = settings
        self._clock = clock
        self._executor = executor
        self._post = post
        self._counters = counters
        self._listener: Listener | None = None
        self._expiry_alarm: ScheduledCall | None = None
        self._loop_check_alarm: ScheduledCall | None = None
        self._is_draining = False
        self._has_stopped_accepting = False
        self._diverting_since_ms: float | None = None
        self.port = 0
        self._descriptors = descriptors
        # Normal clients need at most a third of the descriptors. Connections that others hold beyond that are closed
        # in time.
        self._server = BoundedServer(self, clock, counters, self._memory, lambda: descriptors.clients)
        self._response_space = ResponseSpace(self._memory.expected_responses, clock, self._server.turns)

    @property
    def ready(self) -> bool:
        """True if clients should connect: the front listens, is not draining and does not divert clients."""
        return self._listener is not None and not self._is_draining and not self.is_diverting

    async def start(self, listen: Address, fd: int | None = None) -> None:
        """Listen at the address, or on the platform's socket ``fd``, which the next process inherits as well.

        Raises OSError if the address is not available.
        """
        # Binding the address again would make an upgrade fail: it is in use while the platform holds its socket.
        sock = await open_listening_socket(listen, LISTEN_BACKLOG) if fd is None else socket.socket(fileno=fd)
        if fd is not None:
            sock.listen(LISTEN_BACKLOG)
        self._listener = Listener(
            sock, self._server.create_connection, self._counters, self._may_accept, is_inherited=fd is not None
        )
        self.port = self._listener.port
        self._close_expired_connections()
        self._record_loop_run()

    def _may_accept(self) -> bool:
        """False while other processes of this proxy hold what a further connection needs: it waits in the kernel."""
        if not self._descriptors.is_restricted:
            return True
        return self._server.has_place(self._listener.starting_count if self._listener is not None else 0)

    @property
    def connection_count(self) -> int:
        """The number of clients' connections whose descriptors are in use."""
        return self._server.connection_count

    def divert_clients(self) -> None:
        """Tell clients to leave because an operator drains this proxy: /health returns 503 until ``readmit_clients``.

        Some requests still arrive and are served. Connections are closed once no new ones are expected.
        """
        if self._diverting_since_ms is None:
            self._diverting_since_ms = self._clock.now_ms()

    def readmit_clients(self) -> None:
        """Undo ``divert_clients``."""
        self._diverting_since_ms = None

    @property
    def is_diverting(self) -> bool:
        """True if an operator has drained this proxy."""
        return self._diverting_since_ms is not None

    def retune(self, settings: Settings) -> None:
        """Use new settings for all requests from now on."""
        self._settings = settings

    def _diverting_for_ms(self) -> float:
        return -1.0 if self._diverting_since_ms is None else self._clock.now_ms() - self._diverting_since_ms

    def stop_accepting(self) -> None:
        """Stop accepting connections, because the next process accepts from the same socket.

        Connections are closed once they have been answered. This guards against rejecting clients whose connections
        this process would accept without time to answer them.
        """
        self._has_stopped_accepting = True
        if self._listener is not None:
            self._listener.close()

    def _close_expired_connections(self) -> None:
        self._server.close_expired()
        if self._diverting_for_ms() >= DIVERT_CLOSE_AFTER_MS:
            self._server.close_idle()
        self._expiry_alarm = self._clock.call_later(EXPIRY_CHECK_INTERVAL_MS, self._close_expired_connections)

    def _record_loop_run(self) -> None:
        self._server.record_loop_run()
        self._loop_check_alarm = self._clock.call_later(LOOP_CHECK_INTERVAL_MS, self._record_loop_run)

    def drain(self) -> None:
        """Begin the graceful shutdown: refuse new requests, and keep only connections with pending ones.

        The front keeps listening until the end: every connection that the kernel has accepted must get a response,
        even if it is only a refusal.
        """
        self._is_draining = True
        self._server.close_idle()

    async def finish_pending_work(self, within_ms: float = PENDING_WORK_TIMEOUT_MS) -> None:
        """Wait until no request is pending or partly read and no response is partly sent, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_ms / 1000.0):
                while True:
                    await self._server.wait_while_any(lambda connection: connection.has_pending_work)
                    if self._listener is None:
                        return
                    await self._listener.accept_all()
                    if not self._server.any_connection(
                        lambda connection: connection.has_pending_work or connection.is_awaiting_first_byte
                    ):
                        return
                    await asyncio.sleep(LAST_REQUEST_WAIT_S)
                    self._server.close_idle(unfinished=True)

    async def close(self) -> None:
        """Stop listening and close all connections.

        Responses that are being written get up to twice CLOSE_TIMEOUT_S.
        """
        for alarm in (self._expiry_alarm, self._loop_check_alarm):
            if alarm is not None:
                alarm.cancel()
        if self._listener is not None:
            self._listener.close()
        self._server.close_idle(unfinished=True)
        await self._server.shutdown(CLOSE_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._server.wait_while_any(lambda connection: connection.has_unsent_bytes)

    # Requests -------------------------------------------------------------------------------------

    def check_head(self, head: RequestHead) -> None:
        """Reject a request with an invalid head before its body is received; see ``RequestHandler``."""
        if head.path != HEALTH_PATH:
            parse_client_request(head.method, head.target, head.fields, b"", 0.0, self._settings)

    def handle_request(self, request: WholeRequest, exchange: Exchange) -> None:
        """Answer a request for the health page, and pass any other to the engine; see ``RequestHandler``."""
        head = request.head()
        if head.path == HEALTH_PATH:
            self._respond(exchange, text_response(503, "drained") if self.is_diverting else text_response(200, "ok"))
            return
        client_request = parse_client_request(
            head.method, head.target, head.fields, request.body, request.received_ms, self._settings
        )
        refusing = self._is_draining or self._diverting_for_ms() >= DIVERT_REFUSE_AFTER_MS
        if refusing or exchange.has_client_departed:
            # If the connection ended before the request was handled, executing the request would be useless, as
            # nobody awaits its response.
            self._respond(exchange, self.refusal())
            return
        exchange.response_charge = charge = MemoryCharge(self._memory.responses)
        client_request = replace(client_request, response_charge=charge)
        waiting = Continuation(
            lambda: self._begin_request(client_request, exchange), lambda: self._refuse_for_memory(exchange)
        )
        end_wait = self._response_space.begin(client_request, charge, waiting)
        if end_wait is not None:
            exchange.on_departure = end_wait

    def _begin_request(self, request: ClientRequest, exchange: Exchange) -> None:
        """Pass a request to the engine, now that there is memory for its response."""
        sizes = self._response_space.sizes
        response_sink = HttpResponseSink(
            exchange,
            self._respond,
            lambda size: sizes.record(request.class_name, request.object, request.part, size, request.size_kb),
        )
        exchange.on_departure = lambda: self._post(ClientDisconnected(request.id, response_sink))
        self._post(RequestReceived(request, self._executor, response_sink))

    def _refuse_for_memory(self, exchange: Exchange) -> None:
        self._counters.add("refused.memory")
        retry_after_ms = to_ms(self._settings.max_retry_after)
        self._respond(exchange, to_http_response(FinalResponse("refused", retry_after_ms=retry_after_ms)))

    @property
    def nobody_waits(self) -> asyncio.Event:
        """Set while no request waits for memory for its response."""
        return self._response_space.nobody_waits

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for memory for their responses, as this process is about to end."""
        self._response_space.refuse_all()

    def refusal(self) -> HttpResponse:
        """Return the response to a request that is refused unread; see ``RequestHandler``."""
        return to_http_response(FinalResponse("refused"))

    def rejection(self, error: BadRequestError) -> HttpResponse:
        """Return the response to a request that can't be served; see ``RequestHandler``."""
        return self._server.rejection(error)

    def _respond(self, exchange: Exchange, response: HttpResponse) -> None:
        closing = (
            self._has_stopped_accepting or self._is_draining or self._diverting_for_ms() >= DIVERT_CLOSE_AFTER_MS
        )
        # Input that the client has sent after the request must be answered too, before the connection is closed.
        response.closes_connection = closing and not exchange.has_more_input
        exchange.respond(response)
