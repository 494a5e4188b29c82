"""Loopback relays between the processes of the test bench, with faults that are set while they run.

:class:`UdpMesh` has a socket for each directed pair of proxies. A datagram that *i* sends to its address for *j* is
delivered to *j* from *j*'s address for *i*, as the protocol requires. :class:`TcpRelay` is between a proxy and one
backend or the change log. The mesh draws its losses from a seeded generator.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from dataclasses import dataclass, field
from typing import Any

MAX_DELAYED_DATAGRAMS = 20_000  # datagrams that may be delayed at once; further ones are lost
SILENCE = "silence"
RESET = "reset"
SILENCE_POLL_INTERVAL_S = 0.02
CHUNK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class DatagramFaults:
    """Fractions of datagrams that are lost, repeated and late; times in ms. Late datagrams arrive out of order."""

    loss_ratio: float = 0.0
    repeat_ratio: float = 0.0
    late_ratio: float = 0.0
    max_late_ms: float = 3000.0
    delay_ms: float = 0.0


class _PairSocket(asyncio.DatagramProtocol):
    """The socket that receives what ``sender`` sends to its address for ``receiver``."""

    def __init__(self, mesh: UdpMesh, sender: int, receiver: int) -> None:
        """Forward datagrams through ``mesh``."""
        self.mesh = mesh
        self.sender = sender
        self.receiver = receiver

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forward a datagram that comes from the sender's own port; drop others."""
        if addr[1] == self.mesh.listen[self.sender]:
            self.mesh.forward(self.sender, self.receiver, data)


@dataclass
class UdpMesh:
    """The network between the proxies; ``listen`` has their own ports in the order of their numbers."""

    listen: list[int]
    rng: random.Random
    datagram_faults: DatagramFaults = field(default_factory=DatagramFaults)
    cut_pairs: set[tuple[int, int]] = field(default_factory=set)  # (sender, receiver) pairs whose datagrams are lost

    def __post_init__(self) -> None:
        """Create a mesh without sockets and with all counts at 0."""
        self.sockets: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.delivered = 0
        self.delivered_bytes = 0
        self.lost = 0
        self.delayed = 0  # datagrams that are yet to be delivered

    async def start(self) -> None:
        """Open a socket for each directed pair of proxies."""
        size = len(self.listen)
        for sender in range(size):
            for receiver in range(size):
                if sender != receiver:
                    await self._open_socket(sender, receiver)

    async def _open_socket(self, sender: int, receiver: int) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _PairSocket(self, sender, receiver), local_addr=("127.0.0.1", 0)
        )
        self.sockets[sender, receiver] = transport

    def peers(self, number: int) -> list[str]:
        """Return the members' addresses for the configuration of proxy ``number``."""
        return [f"127.0.0.1:{self._port(number, other)}" for other in range(len(self.listen))]

    def _port(self, number: int, other: int) -> int:
        if number == other:
            return self.listen[number]
        port: int = self.sockets[number, other].get_extra_info("sockname")[1]
        return port

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Pass a datagram on as cuts and weather have it: now, later, twice or never."""
        datagram_faults = self.datagram_faults
        rng = self.rng
        if (sender, receiver) in self.cut_pairs:
            self.lost += 1
            return
        for _ in range(2 if rng.random() < datagram_faults.repeat_ratio else 1):
            if rng.random() < datagram_faults.loss_ratio or self.delayed >= MAX_DELAYED_DATAGRAMS:
                self.lost += 1
                continue
            delay_ms = datagram_faults.delay_ms
            if rng.random() < datagram_faults.late_ratio:
                delay_ms += rng.uniform(0, datagram_faults.max_late_ms)
            if delay_ms <= 0:
                self._deliver(sender, receiver, data)
            else:
                self.delayed += 1
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000.0, self._deliver_delayed, sender, receiver, data)

    def _deliver_delayed(self, sender: int, receiver: int, data: bytes) -> None:
        self.delayed -= 1
        self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.sockets[receiver, sender]
        if not transport.is_closing():
            self.delivered += 1
            self.delivered_bytes += len(data)
            transport.sendto(data, ("127.0.0.1", self.listen[receiver]))

    def partition(self, groups: list[list[int]]) -> None:
        """Cut the fleet into ``groups``; a member of no group is isolated."""
        group_of = {number: group for group, members in enumerate(groups) for number in members}
        size = len(self.listen)
        for sender in range(size):
            for receiver in range(size):
                # A member of no group gets a group of its own, with a negative number.
                are_separate = group_of.get(sender, -1 - sender) != group_of.get(receiver, -1 - receiver)
                if sender != receiver and are_separate:
                    self.cut_pairs.add((sender, receiver))

    def close(self) -> None:
        """Close all sockets."""
        for transport in self.sockets.values():
            transport.close()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset instead of an orderly close."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class TcpRelay:
    """A relay to one loopback port.

    Values of ``fault``: "" (relays everything); "silence" (accepts connections and bytes, and relays nothing);
    "reset" (resets open and new connections); a number (relays that many bytes a second in each direction).
    """

    def __init__(self, target: int) -> None:
        """Create a relay to the port ``target``; it relays once it is started."""
        self.target = target
        self.fault = ""
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a port that the system chooses, and set ``port`` to it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_fault(self, fault: str) -> None:
        """Set the fault from now on. Raises ValueError if it is none of those that the class lists."""
        if fault not in ("", SILENCE, RESET) and not (fault.isascii() and fault.isdigit() and int(fault)):
            raise ValueError(
                f"invalid relay fault {fault!r}: expected '', 'silence', 'reset' or a number of bytes per second"
            )
        self.fault = fault
        if fault == RESET:
            for writer in list(self._open):
                _reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        self._open.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self.fault == RESET:
                _reset_connection(writer)
                return
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self._open.add(target_writer)
            await self._relay_both_ways(reader, target_writer, target_reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # a stream server would report a cancelled handler as an error, so the handler returns instead
        finally:
            self._tasks.discard(task)
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._open.discard(open_writer)
                    open_writer.close()

    async def _relay_both_ways(
        self,
        client_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        """Relay bytes in both directions until one of them ends."""
        directions = [
            asyncio.ensure_future(self._relay_one_way(client_reader, target_writer)),
            asyncio.ensure_future(self._relay_one_way(target_reader, client_writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _relay_one_way(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self.fault == SILENCE:
                    await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
                if self.fault.isdigit():
                    await asyncio.sleep(len(data) / int(self.fault))
                writer.write(data)
                await writer.drain()

    async def close(self) -> None:
        """Close the server and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
