"""The one peer socket of a proxy, and the parts that speak through it: the only I/O of the fleet packages.

A member's name is ``dN``, N being its number in the settings; :class:`Peers` knows each member's address as
*this* proxy sees it. A datagram counts only if it comes from the address that its sender has in ``peers``;
others are counted (``fleet.foreign``) and dropped, as are those that can't be read (``fleet.bad``).

Each part is pure (:class:`Part`); every ``tick_ms`` all parts are ticked and the messages they return are sent.
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
from beechslip.fleet.messages import Message, Send

log = logging.getLogger("beechslip.fleet")

READ_BYTES = 2048  # more than any datagram that is one of ours


def member_name(number: int) -> str:
    """The name of the member that has ``number`` in the settings."""
    return f"d{number}"


class Part(Protocol):
    """A pure state machine behind the socket. Times are steady ms of this machine."""

    kinds: frozenset[str]  # the kinds of message it reads

    def tick(self, now_ms: float) -> list[Send]:
        """Whatever is due by ``now_ms``; the messages to send."""
        ...

    def receive(self, now_ms: float, message: Message) -> list[Send]:
        """Handle a message of one of ``kinds``; the messages to send on account of it."""
        ...

    def stop(self, now_ms: float) -> list[Send]:
        """The last messages, at a graceful shutdown."""
        ...


class Peers(asyncio.DatagramProtocol):
    """Owns the socket, bound to ``listen``; ``peers`` are the members' addresses in the order of their
    numbers, this one's own at ``number``."""

    def __init__(
        self,
        fleet: str,
        number: int,
        listen: Address,
        peers: Sequence[Address],
        parts: Sequence[Part],
        clock: Clock,
        counters: Counters,
        tick_ms: float = 50.0,
    ) -> None:
        """``fleet`` keeps fleets that share a port apart; the socket is opened by :meth:`start`."""
        self.fleet = fleet
        self.me = member_name(number)
        self.listen = listen
        self.clock = clock
        self.counters = counters
        self._parts = tuple(parts)
        self._tick_ms = tick_ms
        self._transport: asyncio.DatagramTransport | None = None
        self._alarm: ScheduledCall | None = None
        self.move(peers)

    def move(self, peers: Sequence[Address]) -> None:
        """Other members, or other addresses of theirs, from now on."""
        self._addresses = {member_name(n): (p.host, p.port) for n, p in enumerate(peers)}
        self._names = {address: name for name, address in self._addresses.items()}

    def others(self) -> list[str]:
        """The other members, in the order of their numbers."""
        return [name for name in self._addresses if name != self.me]

    async def start(self) -> None:
        """Open the socket and tick from now on; OSError if ``listen`` can't be bound."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.listen.host, self.listen.port)
        )
        self._transport = transport
        self._tick()

    def stop(self) -> None:
        """Stop ticking, send the parts' last messages and close the socket."""
        if self._alarm is not None:
            self._alarm.cancel()
        if self._transport is not None:
            for part in self._parts:
                self._send(part.stop(self.clock.steady_ms()))
            self._transport.close()
            self._transport = None

    def _tick(self) -> None:
        # The next tick is set first: a part that fails must not silence the others for good.
        self._alarm = self.clock.call_later(self._tick_ms, self._tick)
        for part in self._parts:
            try:
                self._send(part.tick(self.clock.steady_ms()))
            except Exception:
                self.counters.add("fault.fleet")
                log.exception("a part of the fleet failed")

    def say(self, sends: list[Send]) -> None:
        """Send what a part has to send between its ticks."""
        self._send(sends)

    def _send(self, sends: list[Send]) -> None:
        for send in sends:
            address = self._addresses.get(send.to)
            if address is None or self._transport is None:
                self.counters.add("fleet.unknown")
                continue
            try:
                data = encode(send.message, self.fleet, self.clock.steady_ms())
            except CodecError as error:
                self.counters.add("fleet.unsendable")
                log.debug("not sent: %s", error)
                continue
            self._transport.sendto(data, address)
            self.counters.add("fleet.sent")
            self.counters.add("fleet.bytes", len(data))

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Check the sender and hand the message to the parts that read its kind."""
        now = self.clock.steady_ms()
        try:
            message = decode(data, self.fleet, now)
        except CodecError as error:
            self.counters.add("fleet.bad")
            log.debug("dropped a datagram from %s: %s", addr, error)
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
                log.exception("a message of %s", message.sender)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send; datagrams are not sent again here."""
        self.counters.add("fleet.send_failed")  # e.g. a port that nobody listens on: lossy by design
