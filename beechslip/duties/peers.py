"""The duty node on a real UDP socket and a :class:`~beechslip.clock.Clock`: the one I/O part of duties.

A member's name is its peer address, ``host:port`` (numeric IPv4: no name look-ups). :class:`Peers` owns the
socket and the node: every ``tick_ms`` it ticks the node, sends what it says, starts the duties it names
through ``work`` (an async call answering ``True`` for a good result) and hands reports that others made to
``heard``. Datagrams that can't be decoded are counted (``duties.bad``) and dropped.
"""
from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from beechslip.clock import Alarm, Clock
from beechslip.config import Address, ConfigError, parse_address
from beechslip.counters import Counters
from beechslip.duties.codec import CodecError, decode, encode
from beechslip.duties.membership import Report, Send
from beechslip.duties.node import DutyNode

log = logging.getLogger("beechslip.duties")


class Peers(asyncio.DatagramProtocol):
    """Runs ``node`` over UDP at ``node.me``'s address."""

    def __init__(self, node: DutyNode, fleet: str, clock: Clock, counters: Counters,
                 work: Callable[[str], Awaitable[bool]], heard: Callable[[Report], None],
                 tick_ms: float = 50.0) -> None:
        self.node, self.fleet, self.clock, self.counters = node, fleet, clock, counters
        self._work, self._heard, self._tick_ms = work, heard, tick_ms
        self._transport: asyncio.DatagramTransport | None = None
        self._alarm: Alarm | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._addresses: dict[str, tuple[str, int]] = {}

    async def start(self) -> None:
        me = parse_address(self.node.me)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(me.host, me.port))
        self._transport = transport
        self._tick()

    def stop(self) -> None:
        """Say goodbye, stop ticking and give the socket back; running duties are cancelled."""
        if self._transport is not None:
            for send in self.node.membership.leave():
                self._send(send)
            self._transport.close()
            self._transport = None
        if self._alarm is not None:
            self._alarm.cancel()
        for task in self._tasks:
            task.cancel()

    # The loop --------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        sends, start = self.node.tick(self.clock.now_ms())
        for send in sends:
            self._send(send)
        for duty in start:
            task = asyncio.get_running_loop().create_task(self._do(duty))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._alarm = self.clock.call_later(self._tick_ms, self._tick)

    async def _do(self, duty: str) -> None:
        ok = False
        try:
            ok = await self._work(duty)
        except Exception:
            self.counters.add("fault.duty")
            log.exception("duty %s", duty)
        finally:
            self.node.done(self.clock.now_ms(), duty, ok)
            self.counters.add("duties.done")

    def _send(self, send: Send) -> None:
        if self._transport is None:
            return
        address = self._addresses.get(send.to)
        if address is None:
            try:
                parsed: Address = parse_address(send.to)
            except ConfigError:
                self.counters.add("duties.bad_peer")
                return
            address = self._addresses[send.to] = (parsed.host, parsed.port)
            if len(self._addresses) > 4 * self.node.membership.tuning.most_members:
                self._addresses.clear()
        try:
            data = encode(send.message, self.fleet)
        except CodecError:
            self.counters.add("duties.unsendable")
            return
        self._transport.sendto(data, address)
        self.counters.add("duties.sent")

    # What comes in ---------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        try:
            message = decode(data, self.fleet)
        except CodecError as error:
            self.counters.add("duties.bad")
            log.debug("dropped a datagram from %s: %s", addr, error)
            return
        sends, fresh = self.node.receive(self.clock.now_ms(), message)
        for send in sends:
            self._send(send)
        for report in fresh:
            self._heard(report)
        self.counters.add("duties.received")

    def error_received(self, exc: Exception) -> None:
        self.counters.add("duties.send_failed")  # e.g. a port that nobody holds: lossy by design
