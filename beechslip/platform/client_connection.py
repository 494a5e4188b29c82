"""A client's HTTP connection: its requests, one at a time, and the state on which bounds and limits depend."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import Protocol

from beechslip.clock import Clock
from beechslip.counters import Counters
from beechslip.memory_budget import RESUME_BYTES, MemoryBudget, MemoryCharge
from beechslip.platform.exchange import Exchange, RequestHandler
from beechslip.platform.fair_turns import STEPS_PER_TURN, FairTurns
from beechslip.platform.http_messages import CONTINUE_RESPONSE, HttpResponse, response_messages
from beechslip.platform.request_assembler import BadStreamError, RequestAssembler, WholeRequest
from beechslip.platform.request_form import MAX_REQUEST_BODY_BYTES, BadRequestError
from beechslip.platform.request_head import RequestHead
from beechslip.platform.request_queue import RequestQueue
from beechslip.platform.response_delivery import ResponseDelivery
from beechslip.platform.sockets import OPEN_TCP_STATES, RetryingSocket, tcp_state

log = logging.getLogger("beechslip.front")

# A read within this many milliseconds of the previous one is taken for a part of the same burst of waiting bytes.
SAME_BURST_MS = 20.0
# A connection with input that has been unread for this long may have been closed by its client without a sign here.
MAX_UNREAD_MS = 50.0
REFUSALS_PER_WRITE = 64
JOINED_BODY_BYTES = 16_384  # bodies up to this size are written together with their heads
# Reads are this long at least, also while memory is short, so that small requests are read at once.
MIN_READ_BYTES = 2_048
PARTIAL_PATIENCE_MS = 1_000.0  # for the rest of a request, while others wait for the memory that it holds


class ConnectionOwner(Protocol):
    """What a connection needs from the server that owns it."""

    clock: Clock
    counters: Counters
    handler: RequestHandler
    memory: MemoryBudget
    turns: FairTurns
    read_buffer: memoryview  # shared by all connections, as each read is taken over at once

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection."""

    def connection_state_changed(self, connection: ClientConnection) -> None:
        """Note that the connection's ``state_since_ms`` has changed."""

    def request_done(self) -> None:
        """Note that a request on a connection has received its response."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection's descriptor has been released."""

    def loop_stall_ms(self) -> float:
        """Return how long the event loop was stalled, if it has just resumed; 0 while it runs."""
        ...


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection."""

    __slots__ = (
        "_assembler",
        "_delivery",
        "_handled_bytes",
        "_has_request_begun",
        "_is_begin_scheduled",
        "_is_kernel_state_known",
        "_is_reading_paused",
        "_is_waiting_for_room",
        "_is_waiting_for_turn",
        "_keeps_connection",
        "_owner",
        "_partial_charge",
        "_previous_read_ms",
        "_queue",
        "_read_delay_ms",
        "_read_size",
        "_request_begun_ms",
        "_reserved_bytes",
        "_sends_body",
        "_sock",
        "_unread_since_ms",
        "_whole_charge",
        "exchange",
        "is_awaiting_request",
        "is_closed_by_client",
        "is_lingering",
        "last_read_ms",
        "raw_transport",
        "state_since_ms",
        "writing_paused",
    )

    def __init__(self, owner: ConnectionOwner, sock: RetryingSocket | None) -> None:
        """Create the protocol of a connection that has been accepted on ``sock``."""
        self._owner = owner
        self._sock = sock
        self.last_read_ms = owner.clock.now_ms()  # when the last bytes were received
        self.state_since_ms = self.last_read_ms  # when it became idle, or a request on it became incomplete
        self.is_awaiting_request = True  # a new connection is expected to send a request
        self.exchange: Exchange | None = None  # of the request that is being handled
        self.raw_transport: asyncio.Transport | None = None
        self.is_closed_by_client = False
        self.is_lingering = False  # the last response has been sent, and what the client still sends is dropped
        self.writing_paused = False  # bytes of a response are waiting to be sent
        self._assembler = RequestAssembler(self._keeps_body)
        self._queue = RequestQueue()  # behind the request that is being handled
        self._handled_bytes = 0  # memory of the request that is being handled
        self._keeps_connection = True  # whether the client of the current request keeps the connection
        self._sends_body = True  # whether the response to the current request has a body
        self._partial_charge = MemoryCharge(owner.memory.requests, self.end_partial_request)
        self._partial_charge.may_end = self._may_end_partial_request
        self._whole_charge = MemoryCharge(owner.memory.requests)
        self._delivery = ResponseDelivery(sock, owner.memory.responses, owner.clock, self._end_unread)
        self._request_begun_ms = self.last_read_ms  # when the first bytes of the current request were received
        self._has_request_begun = False  # bytes of an unanswered request have been received
        self._is_begin_scheduled = False
        self._is_waiting_for_turn = False
        self._is_waiting_for_room = False
        self._reserved_bytes = 0  # for the body that is being received
        self._is_reading_paused = False
        self._read_size = 0  # bytes that the last read could take
        self._unread_since_ms: float | None = None  # since when input may have been unread
        self._is_kernel_state_known = False
        self._previous_read_ms = 0.0  # when bytes were last read
        self._read_delay_ms = 0.0  # how long those bytes had waited to be read

    # State ----------------------------------------------------------------------------------------

    @property
    def is_handling_request(self) -> bool:
        """True if a complete request is being handled."""
        return self.exchange is not None

    @property
    def has_pending_request(self) -> bool:
        """True if a request has been received completely and awaits its response.

        This guards against closing the connection between the request's last byte and the step that handles it: the
        client has sent the request on a connection that was open.
        """
        return self.exchange is not None or bool(self._queue)

    @property
    def has_client_departed(self) -> bool:
        """True if the client has closed or reset the connection, even if the end has not been read yet.

        This guards against an attempt for a client whose close is still waiting in the kernel. That happens if the
        close is behind bytes that are not being read for the moment, or if the event loop was busy.
        """
        if self.is_closed_by_client:
            return True
        return self._is_kernel_state_known and tcp_state(self.raw_transport) not in OPEN_TCP_STATES

    @property
    def is_awaiting_first_byte(self) -> bool:
        """True if a request is expected and none of its bytes have been received."""
        return self.is_awaiting_request and not self._has_request_begun

    @property
    def has_partial_request(self) -> bool:
        """True if a part of a request has been received and no request is pending."""
        return self.is_awaiting_request and self._has_request_begun and not self.has_pending_request

    @property
    def is_held_up(self) -> bool:
        """True if the rest of a partial request is not read for want of memory."""
        return self._is_waiting_for_room

    @property
    def has_more_input(self) -> bool:
        """True if the client has sent more bytes after the request that is being handled."""
        return bool(self._queue) or self._assembler.has_partial_request

    @property
    def _is_dropping_input(self) -> bool:
        """True if the last response is sent, or waits to be sent."""
        return self.is_lingering or self._queue.last_response is not None

    @property
    def has_unsent_bytes(self) -> bool:
        """True if bytes of a response are waiting in the transport's buffer."""
        return self.raw_transport is not None and self.raw_transport.get_write_buffer_size() > 0

    @property
    def has_undelivered_bytes(self) -> bool:
        """True if the client has not acknowledged all bytes of its responses: it reads them, and asks then."""
        return self.has_unsent_bytes or self._delivery.is_owed

    @property
    def has_unread_bytes(self) -> bool:
        """True if bytes of the client have arrived and not been read yet."""
        return self._sock is not None and self._sock.has_unread_bytes()

    @property
    def has_pending_work(self) -> bool:
        """True if a request or a response on the connection is incomplete."""
        return self.has_pending_request or self.has_partial_request or self.has_unsent_bytes

    # Transport's callbacks ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its server; see ``asyncio.BaseProtocol``."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)
        self.raw_transport = transport
        self._is_kernel_state_known = tcp_state(transport) in OPEN_TCP_STATES
        self._owner.admit(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; see ``asyncio.BufferedProtocol``."""
        buffer = self._owner.read_buffer
        self._read_size = len(buffer)
        if not self._reserved_bytes:
            self._read_size = max(min(self._owner.memory.requests.free_bytes // 4, len(buffer)), MIN_READ_BYTES)
        return buffer[: self._read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read; see ``asyncio.BufferedProtocol``."""
        if nbytes < self._read_size:
            self._unread_since_ms = None
        elif self._unread_since_ms is None:
            self._unread_since_ms = self._owner.clock.now_ms()
        self.data_received(self._owner.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle received bytes. They may not be kept after this call."""
        if self._is_dropping_input:
            return
        self._record_received_bytes()
        self._assembler.feed(data)
        if self._advance() and not self._is_waiting_for_turn:
            self._is_waiting_for_turn = True
            self._owner.turns.add(self.take_turn)
        self._update_reading()

    def pause_writing(self) -> None:
        """Begin no request while a response is unread; see ``asyncio.BaseProtocol``."""
        self.writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with the next request; see ``asyncio.BaseProtocol``."""
        self.writing_paused = False
        self._delivery.all_sent()
        self._update_reading()
        self._schedule_begin()

    def eof_received(self) -> None:
        """Note that the client has closed the connection. What it has asked for is dropped at once.

        Unsent bytes delay ``connection_lost``.
        """
        self._client_departed()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note that the connection has ended; see ``asyncio.BaseProtocol``."""
        self.raw_transport = None
        self._client_departed()
        self._owner.memory.requests.cancel_wait(self._room_is_free)
        now_ms = self._owner.clock.now_ms()
        for charge in (self._partial_charge, self._whole_charge):
            charge.close(now_ms)
        self._delivery.close()
        self._owner.connection_closed(self)

    # Receiving requests ---------------------------------------------------------------------------

    def _record_received_bytes(self) -> None:
        self.last_read_ms = self._earliest_arrival_ms()
        if self._assembler.has_partial_request and self._is_kernel_state_known and self._sock is not None:
            # Reads may be short, so that the rest of a request may have arrived long before it is read.
            arrived_ms = self._owner.clock.now_ms() - self._sock.ms_since_last_arrival()
            self.last_read_ms = max(min(arrived_ms, self.last_read_ms), self._request_begun_ms)
        else:
            self._request_begun_ms = self.last_read_ms
        self._has_request_begun = True
        if not self.is_awaiting_request and not self.is_handling_request:
            self.is_awaiting_request = True
            self.state_since_ms = self.last_read_ms
            self._owner.connection_state_changed(self)

    def _earliest_arrival_ms(self) -> float:
        """Return the earliest time at which the bytes just read may have been received.

        The client's time runs from then. This guards against granting too much time after failed reads or a stall of
        the event loop.
        """
        now_ms = self._owner.clock.now_ms()
        failing_ms = self._sock.take_read_delay_ms() if self._sock is not None else 0.0
        blocked_ms = max(failing_ms, self._owner.loop_stall_ms())
        if now_ms - self._previous_read_ms < SAME_BURST_MS:
            # One read may take only a part of a burst, and all parts have waited equally long.
            blocked_ms = max(blocked_ms, self._read_delay_ms)
        self._previous_read_ms = now_ms
        self._read_delay_ms = blocked_ms
        return now_ms - blocked_ms

    def take_turn(self) -> bool:
        """Go on with input that was more than one turn's work. Return True if more work is left."""
        has_more_work = not (self._is_dropping_input or self.is_closed_by_client) and self._advance()
        if not has_more_work:
            self._is_waiting_for_turn = False
            self._update_reading()
        return has_more_work

    def _advance(self) -> bool:
        """Work on received bytes for a turn. Return True if there is more work."""
        has_more_work = False
        try:
            requests, has_more_work = self._assembler.advance(STEPS_PER_TURN, self.last_read_ms)
        except BadStreamError as bad_stream:
            requests = bad_stream.complete_requests
            self._end_input(self._owner.handler.rejection(bad_stream.error))
        for request in requests:
            self._enqueue(request)
        if self.has_pending_request:
            self._schedule_begin()
        self._update_charges()
        return has_more_work

    def _keeps_body(self, head: RequestHead) -> bool:
        """Return True if the body that begins is to be kept. Raises BadRequestError if it need not be received."""
        self._owner.handler.check_head(head)
        if self.has_pending_request:
            body_bytes = MAX_REQUEST_BODY_BYTES if head.is_chunked else head.content_length
            return self._may_wait(body_bytes)
        if head.expects_continue and self.raw_transport is not None:
            self._write(CONTINUE_RESPONSE)  # the client may wait for this before it sends the body
        return True

    def _may_wait(self, nbytes: int) -> bool:
        """Return True if there is memory for a request behind another."""
        return self._queue.has_room_for(nbytes) and not self._owner.memory.requests.is_full

    def _enqueue(self, request: WholeRequest) -> None:
        """Keep a request until its turn. One beyond the bound is not kept: it is refused when its turn comes."""
        is_first = not self.has_pending_request
        if request.is_dropped or not (is_first or self._may_wait(request.held_bytes)):
            self._queue.refusals_owed += 1
        else:
            self._queue.append(request)

    def _end_input(self, response: HttpResponse) -> None:
        """Answer what the client has sent last with ``response``, and end the connection with it."""
        self._assembler.clear()
        response.closes_connection = True
        self._queue.last_response = response

    def _may_end_partial_request(self, now_ms: float) -> bool:
        """Return True if the request may be refused for its memory: its client has kept the rest back for too long.

        What has arrived and was not read yet is this process's delay. One that waits for more memory reads nothing.
        """
        if now_ms - self._partial_charge.since_ms < PARTIAL_PATIENCE_MS:
            return False
        return self._is_waiting_for_room or not self.has_unread_bytes

    def end_partial_request(self) -> None:
        """Refuse a request that has been received in part, because its memory is needed."""
        self._end_input(self._owner.handler.refusal())
        self._owner.memory.requests.cancel_wait(self._room_is_free)
        self._is_waiting_for_room = False
        self._partial_charge.set(0, self._owner.clock.now_ms())
        self._schedule_begin()

    def _update_charges(self) -> None:
        now_ms = self._owner.clock.now_ms()
        if not self._assembler.expected_body_bytes:
            self._reserved_bytes = 0
        self._partial_charge.set(max(self._assembler.held_bytes, self._reserved_bytes), now_ms)
        self._whole_charge.set(self._queue.held_bytes + self._handled_bytes, now_ms)

    # Reading and pausing --------------------------------------------------------------------------

    def _update_reading(self) -> None:
        """Read from the transport, or pause: for a turn, for memory, or until responses have been read."""
        transport = self.raw_transport
        if transport is None or transport.is_closing():
            return
        if not self._is_waiting_for_room and (needed_bytes := self._missing_room()):
            self._is_waiting_for_room = True
            self._owner.memory.requests.wait(self._room_is_free, needed_bytes, self._partial_charge)
        pauses = (
            self._is_waiting_for_turn
            or (self._is_waiting_for_room and not self._is_dropping_input)
            or (self.writing_paused and bool(self._queue))
        )
        if pauses == self._is_reading_paused:
            return
        self._is_reading_paused = pauses
        if pauses:
            if self._unread_since_ms is None:
                self._unread_since_ms = self._owner.clock.now_ms()
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _missing_room(self) -> int:
        """Return how many bytes must be free before more of a partial request is read; 0 if none.

        The whole of a body is reserved before it is read, so that those that have begun can end.
        """
        if self._reserved_bytes:
            return 0
        expected_bytes = self._assembler.expected_body_bytes
        if not expected_bytes:
            is_held_up = self._partial_charge.amount > MIN_READ_BYTES and self._owner.memory.requests.is_full
            return RESUME_BYTES if is_held_up else 0
        if self._partial_charge.reserve(expected_bytes, self._owner.clock.now_ms()):
            self._reserved_bytes = expected_bytes
            return 0
        return expected_bytes

    def _room_is_free(self) -> None:
        self._is_waiting_for_room = False
        self._partial_charge.since_ms = self._owner.clock.now_ms()  # nothing was read before
        self._update_reading()

    def _may_have_left_unseen(self) -> bool:
        """Return True if input has been unread for so long that the client's end may be behind it."""
        if self._unread_since_ms is None or self._sock is None:
            return False
        if self._owner.clock.now_ms() - self._unread_since_ms <= MAX_UNREAD_MS:
            return False
        if self._sock.has_unread_bytes():
            return True
        self._unread_since_ms = None
        return False

    # Handling requests ----------------------------------------------------------------------------

    def _schedule_begin(self) -> None:
        """Begin requests in the next step of the event loop: a close may be read, or come about, in this one."""
        if not self._is_begin_scheduled:
            self._is_begin_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_requests)

    def _begin_requests(self) -> None:
        self._is_begin_scheduled = False
        if self._begin_next():
            self._defer_begin()

    def _defer_begin(self) -> None:
        """Begin the next request, behind another of the same connection, when it is this connection's turn."""
        if not self._is_begin_scheduled:
            self._is_begin_scheduled = True
            self._owner.turns.add(self._take_begin_turn)

    def _take_begin_turn(self) -> bool:
        self._is_begin_scheduled = self._begin_next()
        return self._is_begin_scheduled

    def _begin_next(self) -> bool:
        """Begin the next request, or send what is owed behind the last one. Return True if more can be done."""
        if not self._can_send_response():
            return False
        if self._queue.has_request:
            self._begin_request(self._queue.pop())
        elif self._queue.refusals_owed:
            self._send_refusals()
        elif self._queue.last_response is not None:
            self._send_last_response(self._queue.last_response)
        return bool(self._queue) and self._can_send_response()

    def _can_send_response(self) -> bool:
        return (
            self.exchange is None
            and not self.writing_paused
            and not self.is_closed_by_client
            and self.raw_transport is not None
            and not self.raw_transport.is_closing()
        )

    def _begin_request(self, request: WholeRequest) -> None:
        self._handled_bytes = request.held_bytes
        self._read_delay_ms = 0.0
        self.exchange = exchange = Exchange(self)
        try:
            head = request.head()
            self._keeps_connection = head.keeps_connection
            self._sends_body = head.method != "HEAD"
            if self._may_have_left_unseen():
                self._owner.counters.add("refused.unread")
                exchange.respond(self._owner.handler.refusal())
            else:
                self._owner.handler.handle_request(request, exchange)
        except BadRequestError as error:
            self._end_with(self._owner.handler.rejection(error))
        except Exception:
            self._owner.counters.add("fault.front")
            log.exception("request could not be handled")
            self._end_with(HttpResponse(500))

    def _end_with(self, response: HttpResponse) -> None:
        """Answer the current request with ``response``, and end the connection with it."""
        if self.exchange is not None:
            self.exchange.release_memory(self._owner.clock.now_ms())
        self.exchange = None
        self._handled_bytes = 0
        self._queue.clear()
        self._end_input(response)
        self._update_charges()
        self._schedule_begin()

    def send_response(self, response: HttpResponse) -> None:
        """Send the response to the request that is being handled; see ``Exchange.respond``."""
        exchange, self.exchange = self.exchange, None
        self._handled_bytes = 0
        response.closes_connection = response.closes_connection or not self._keeps_connection
        self._write_response(response, exchange.response_charge if exchange is not None else None)
        if response.closes_connection:
            self._queue.clear()
            self.force_close()
        self._update_charges()
        self._request_done()
        if self._queue:
            self._defer_begin()

    def _write(self, data: bytes) -> None:
        if self.raw_transport is not None:
            self._delivery.add(len(data))
            self.raw_transport.write(data)

    def _write_response(self, response: HttpResponse, charge: MemoryCharge | None = None) -> None:
        """Write a response, whose memory is charged to ``charge`` if it has been reserved."""
        head, body = response_messages(response, self._owner.clock.wall_ms(), is_for_head=not self._sends_body)
        if len(body) <= JOINED_BODY_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)
        self._keep_unsent(charge)

    def _keep_unsent(self, charge: MemoryCharge | None = None) -> None:
        """Keep charged what waits to be sent."""
        if self.writing_paused and self.raw_transport is not None:
            self._delivery.keep(charge)
        else:
            self._delivery.all_sent(charge)

    def may_be_ended(self, now_ms: float, *, is_wanted: bool) -> bool:
        """Return True if the client is owed nothing, or has not taken bytes for too long; see ``ReaderProgress``."""
        return self._delivery.may_be_ended(now_ms, is_wanted=is_wanted)

    def _end_unread(self) -> None:
        """Close the connection of a client that does not read its response, because its memory is needed."""
        self._delivery.all_sent()
        self._owner.counters.add("closed.memory")
        if self.raw_transport is not None:
            self.raw_transport.abort()

    def _send_refusals(self) -> None:
        """Refuse requests that were not kept."""
        count = self._queue.take_refusals(REFUSALS_PER_WRITE)
        refusal = self._owner.handler.refusal()
        self._owner.counters.add("refused.ahead", count)
        self._write(b"".join(response_messages(refusal, self._owner.clock.wall_ms())) * count)
        self._keep_unsent()
        self._request_done()

    def _send_last_response(self, response: HttpResponse) -> None:
        """Send the response that ends the connection, and drop what the client still sends until it closes too.

        Closing at once would reset the connection if bytes are unread, and the response could be lost with that.
        """
        self._queue.last_response = None
        self.is_lingering = True
        self._sends_body = True
        self._write_response(response)
        self._request_done()
        if self.raw_transport is not None:
            with contextlib.suppress(OSError):  # the client has reset the connection
                self.raw_transport.write_eof()
        self._update_reading()

    def _request_done(self) -> None:
        """Note that the current request has its response. Bytes received after it begin the next request."""
        self._read_delay_ms = 0.0
        self.is_awaiting_request = self._has_request_begun = self.has_more_input
        self.state_since_ms = self._owner.clock.now_ms()
        self._owner.connection_state_changed(self)
        self._owner.request_done()

    # The end --------------------------------------------------------------------------------------

    def _client_departed(self) -> None:
        """Drop what the client has asked for."""
        if self.is_closed_by_client:
            return
        self.is_closed_by_client = True
        self._queue.clear()
        self._assembler.clear()
        self._handled_bytes = 0
        self._update_charges()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.client_departed(self._owner.clock.now_ms())
        self._owner.request_done()

    def force_close(self) -> None:
        """Close the connection. Bytes that wait to be sent are still sent."""
        if self.raw_transport is not None:
            self.raw_transport.close()
