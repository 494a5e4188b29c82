"""The DNS front's sockets: receive lookups over UDP and TCP, and send one response to each.

A lookup becomes a core request. :class:`beechslip.dns.lookup.Lookup` carries out its attempts and takes its final
response.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import cast

import dns.message
import dns.name
import dns.rcode

from beechslip.clock import Clock
from beechslip.config import DnsConfig
from beechslip.core.messages import ClientDisconnected, RequestReceived
from beechslip.core.model import ClientRequest
from beechslip.counters import Counters
from beechslip.dns import messages
from beechslip.dns.lookup import Lookup, SendResponse
from beechslip.dns.tcp_delivery import TcpDelivery, UnreadResponsesError
from beechslip.platform.sockets import Listener, open_listening_socket
from beechslip.routing.interface import Settings

log = logging.getLogger("beechslip.dns")

MAX_TCP_CONNECTIONS = 64
LISTEN_BACKLOG = 100  # connections that may wait in the kernel
TCP_IDLE_TIMEOUT_S = 10.0  # time without a complete query after which a connection is closed
MAX_PORT_ATTEMPTS = 20  # ports tried until one is free for both TCP and UDP, if any port will do
MAX_PENDING_LOOKUPS = 1024  # lookups that await a response


class DnsFront:
    """Owns the UDP socket, the listening TCP socket and its connections."""

    def __init__(
        self,
        config: DnsConfig,
        settings: Settings,
        clock: Clock,
        may_answer: Callable[[], bool],
        post: Callable[[object], None],
        counters: Counters,
    ) -> None:
        """Create a front that does not listen yet.

        ``may_answer`` returns True if backends are known and may be handed out. ``post`` passes messages to the
        engine.
        """
        self._config = config
        self._settings = settings
        self._clock = clock
        self._may_answer = may_answer
        self._post = post
        self._counters = counters
        self._zone = dns.name.from_text(config.zone)
        self._request_numbers = itertools.count()
        self._pending_lookups: set[tuple[object, int, str]] = set()
        self._udp_transport: asyncio.DatagramTransport | None = None
        self._tcp_listener: Listener | None = None
        self._tcp_tasks: set[asyncio.Task[None]] = set()
        self.port = config.listen.port

    async def start(self) -> None:
        """Listen for UDP and TCP at the same port. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        listen = self._config.listen
        for attempts_left in reversed(range(MAX_PORT_ATTEMPTS if listen.port == 0 else 1)):
            tcp = Listener(
                await open_listening_socket(listen, LISTEN_BACKLOG), self._create_tcp_protocol, self._counters
            )
            self.port = tcp.port
            try:
                self._udp_transport, _ = await loop.create_datagram_endpoint(
                    lambda: _UdpProtocol(self), local_addr=(listen.host, self.port)
                )
            except OSError:
                tcp.close()
                if not attempts_left:
                    raise
                continue  # any port will do, and this one is free for TCP only
            self._tcp_listener = tcp
            return

    def retune(self, settings: Settings) -> None:
        """Use new settings for all lookups from now on."""
        self._settings = settings

    async def close(self) -> None:
        """Close the sockets. Pending lookups on TCP connections are abandoned."""
        if self._udp_transport is not None:
            self._udp_transport.close()
        if self._tcp_listener is not None:
            self._tcp_listener.close()
        for task in list(self._tcp_tasks):
            task.cancel()
        await asyncio.gather(*self._tcp_tasks, return_exceptions=True)

    def handle_packet(
        self, wire: bytes, write: Callable[[bytes], None], peer: object, *, udp: bool
    ) -> tuple[str, Lookup] | None:
        """Respond to a packet, either now or once it is routed. ``write`` sends the bytes of the response.

        Return the id and the lookup of the request that was posted, if any, because its client may leave.
        """
        self._counters.add("dns.taken")
        try:
            query = messages.parse_packet(wire)
        except messages.PacketFormatError as error:
            self._count_response(dns.rcode.FORMERR)
            write(error.build_response())
            return None
        if query is None:
            self._counters.add("dns.dropped")
            return None
        max_size = messages.udp_size_limit(query) if udp else messages.MAX_TCP_MESSAGE_BYTES

        def send_response(response: dns.message.Message) -> None:
            self._count_response(response.rcode())
            write(messages.to_wire(response, max_size))

        try:
            return self._answer_query(query, max_size, send_response, peer)
        except Exception:
            # A packet that can be parsed but breaks an assumption must still get exactly one response.
            self._counters.add("fault.dns")
            log.exception("DNS lookup failed: peer=%s", peer)
            send_response(messages.build_response(query, dns.rcode.SERVFAIL))
            return None

    def _answer_query(
        self, query: dns.message.Message, max_size: int, send_response: SendResponse, peer: object
    ) -> tuple[str, Lookup] | None:
        rcode = messages.check_query(query)
        if rcode != dns.rcode.NOERROR:
            send_response(messages.build_response(query, rcode))
            return None
        question = messages.parse_question(query, self._zone, self._settings)
        match question.kind:
            case "refused":
                send_response(messages.build_response(query, dns.rcode.REFUSED))
            case "nxdomain":
                send_response(messages.negative_response(query, self._zone, dns.rcode.NXDOMAIN))
            case "nodata":
                send_response(messages.negative_response(query, self._zone, dns.rcode.NOERROR))
            case "apex":
                send_response(messages.apex_response(query, self._zone))
            case "route":
                return self._post_lookup(query, question, max_size, send_response, peer)
        return None

    def _post_lookup(
        self,
        query: dns.message.Message,
        question: messages.Question,
        max_size: int,
        send_response: SendResponse,
        peer: object,
    ) -> tuple[str, Lookup] | None:
        if not self._may_answer():
            send_response(messages.not_ready_response(query, "the list of boxes is not known yet"))
            return None
        if not messages.fits_backend_response(query, question, max_size):
            send_response(messages.truncate_response(messages.build_response(query)))
            return None
        key = (peer, query.id, str(query.question[0]))
        if key in self._pending_lookups:  # a retry of a pending lookup: one hand-out serves both
            self._counters.add("dns.repeated")
            return None
        if len(self._pending_lookups) >= MAX_PENDING_LOOKUPS:
            send_response(messages.failure_response(query, "too many lookups"))
            return None
        self._pending_lookups.add(key)
        lookup = Lookup(
            query, question, self._config.hold_ms, send_response, lambda: self._pending_lookups.discard(key)
        )
        client_request = ClientRequest(
            id=f"dns-{next(self._request_numbers)}",
            class_name=question.class_name,
            object=question.object,
            wait_ms=self._config.wait_ms,
            arrived_ms=self._clock.now_ms(),
        )
        self._post(RequestReceived(client_request, lookup, lookup))
        return client_request.id, lookup

    def _count_response(self, rcode: dns.rcode.Rcode) -> None:
        self._counters.add(f"dns.{dns.rcode.to_text(rcode).lower()}")

    def _create_tcp_protocol(self, _: object) -> asyncio.BaseProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), self._serve_tcp)

    async def _serve_tcp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tcp_tasks) >= MAX_TCP_CONNECTIONS:
            self._counters.add("dns.dropped")
            writer.close()
            return
        self._tcp_tasks.add(task)
        delivery = TcpDelivery(writer, self._clock)
        try:
            await self._answer_queries(reader, delivery)
            await delivery.wait_until_sent()
        except UnreadResponsesError:
            self._counters.add("dns.unread")
            writer.transport.abort()
        except ConnectionError:
            pass  # the client has left before it had all
        finally:
            self._tcp_tasks.discard(task)
            writer.close()

    async def _answer_queries(self, reader: asyncio.StreamReader, delivery: TcpDelivery) -> None:
        """Answer the queries of one connection until its client closes it or is silent for too long."""
        lookups: list[tuple[str, Lookup]] = []
        try:
            while True:
                async with asyncio.timeout(TCP_IDLE_TIMEOUT_S):
                    size = int.from_bytes(await reader.readexactly(2), "big")
                    wire = await reader.readexactly(size)
                posted = self.handle_packet(wire, delivery.write, delivery, udp=False)
                lookups = [entry for entry in [*lookups, posted] if entry is not None and not entry[1].is_answered]
                await delivery.wait_for_space()
        except (asyncio.IncompleteReadError, TimeoutError, ConnectionError):
            pass
        finally:
            for request_id, lookup in lookups:
                lookup.abandon()
                self._post(ClientDisconnected(request_id, lookup))  # has no effect on those that have been answered


class _UdpProtocol(asyncio.DatagramProtocol):
    def __init__(self, front: DnsFront) -> None:
        self._front = front
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        transport = self._transport
        assert transport is not None

        def write(wire: bytes) -> None:
            if not transport.is_closing():
                transport.sendto(wire, addr)

        self._front.handle_packet(data, write, addr, udp=True)
