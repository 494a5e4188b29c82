"""The peer socket of a proxy, and the interface of the parts that use it: the only I/O among peers.

The name of a member is ``dN``, where N is its number in the settings. :class:`PeerSocket` knows the address of each
member as *this* proxy sees it. A datagram is accepted only from the address that its sender has in ``peers``. Others
are counted (``fleet.foreign``) and dropped, as are those that can't be decoded (``fleet.bad``).

Each part does no I/O of its own (:class:`PeerPart`). Every ``tick_ms`` all parts are ticked, and the messages that
they return are sent.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Protocol

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Address
from beechslip.counters import Counters
from beechslip.fleet.codec import CodecError, decode, encode
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage

log = logging.getLogger("beechslip.fleet")

READ_BYTES = 2048  # longer than any valid datagram


def member_name(number: int) -> str:
    """Return the name of the member that has ``number`` in the settings."""
    return f"d{number}"


class PeerPart(Protocol):
    """A state machine without I/O that uses the peer socket. Times are in ms by the steady clock of this machine."""

    kinds: frozenset[str]  # the kinds of message that it receives

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Do whatever is due by ``now_ms``. Return the messages to send."""
        ...

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle a message of one of ``kinds``. Return the messages to send because of it."""
        ...

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return the last messages to send, at a graceful shutdown."""
        ...


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket bound to ``listen``, which the parts send and receive through.

    ``peers`` are the addresses of the members in the order of their numbers; that of this member is at ``number``.
    """

    def __init__(
        self,
        fleet: str,
        number: int,
        listen: Address,
        peers: Sequence[Address],
        parts: Sequence[PeerPart],
        clock: Clock,
        counters: Counters,
        tick_ms: float = 50.0,
    ) -> None:
        """``fleet`` separates fleets that share a port. The socket is opened by :meth:`start`."""
        self.fleet = fleet
        self.me = member_name(number)
        self.listen = listen
        self.clock = clock
        self.counters = counters
        self._parts = tuple(parts)
        self._tick_ms = tick_ms
        self._transport: asyncio.DatagramTransport | None = None
        self._scheduled_tick: ScheduledCall | None = None
        self.set_peers(peers)

    def set_peers(self, peers: Sequence[Address]) -> None:
        """Replace the members and their addresses from now on."""
        self._addresses = {member_name(n): (p.host, p.port) for n, p in enumerate(peers)}
        self._names = {address: name for name, address in self._addresses.items()}

    def others(self) -> list[str]:
        """Return the names of the other members, in the order of their numbers."""
        return [name for name in self._addresses if name != self.me]

    async def start(self) -> None:
        """Open the socket and start ticking. Raise OSError if ``listen`` can't be bound."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.listen.host, self.listen.port)
        )
        self._transport = transport
        self._tick()

    def stop(self) -> None:
        """Stop ticking, send the parts' last messages and close the socket."""
        if self._scheduled_tick is not None:
            self._scheduled_tick.cancel()
        if self._transport is not None:
            for part in self._parts:
                self._send(part.stop(self.clock.steady_ms()))
            self._transport.close()
            self._transport = None

    def _tick(self) -> None:
        # The next tick is scheduled first, so that a part that fails does not stop all parts for good.
        self._scheduled_tick = self.clock.call_later(self._tick_ms, self._tick)
        for part in self._parts:
            try:
                self._send(part.tick(self.clock.steady_ms()))
            except Exception:
                self.counters.add("fault.fleet")
                log.exception("unexpected error in the tick of a fleet part")

    def send(self, sends: list[OutgoingDatagram]) -> None:
        """Send the messages that a part has to send between its ticks."""
        self._send(sends)

    def _send(self, sends: list[OutgoingDatagram]) -> None:
        for send in sends:
            address = self._addresses.get(send.to)
            if address is None or self._transport is None:
                self.counters.add("fleet.unknown")
                continue
            try:
                data = encode(send.message, self.fleet, self.clock.steady_ms())
            except CodecError as error:
                self.counters.add("fleet.unsendable")
                log.debug("peer message not sent: reason=%s", error)
                continue
            self._transport.sendto(data, address)
            self.counters.add("fleet.sent")
            self.counters.add("fleet.bytes", len(data))

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Check the sender, and pass the message to the parts that receive its kind."""
        now = self.clock.steady_ms()
        try:
            message = decode(data, self.fleet, now)
        except CodecError as error:
            self.counters.add("fleet.bad")
            log.debug("datagram dropped: address=%s reason=%s", addr, error)
            return
        if self._names.get((str(addr[0]), addr[1])) != message.sender or message.sender == self.me:
            self.counters.add("fleet.foreign")
            return
        self.counters.add("fleet.received")
        for part in self._parts:
            if message.kind not in part.kinds:
                continue
            try:
                self._send(part.receive(now, message))
            except Exception:
                self.counters.add("fault.fleet")
                log.exception("unexpected error while handling a peer message: sender=%s", message.sender)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send. Datagrams are not sent again here."""
        self.counters.add("fleet.send_failed")  # for example, no process listens on the port; losses are expected
