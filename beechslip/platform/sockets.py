"""TCP sockets that retry system calls which fail temporarily: listen, accept, connect, send and receive."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from beechslip.config import Address
from beechslip.counters import Counters

log = logging.getLogger("beechslip.sockets")

# These errors mean that this machine lacks a resource. They are temporary, and say nothing about the other side.
LOCAL_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
MAX_ACCEPTS_PER_STEP = 8  # connections accepted in one event loop step; more would exceed the bound on descriptors
ACCEPT_RETRY_S = 0.005  # delay after a failed accept, whatever the cause; asyncio's own servers pause for a second
LISTEN_RETRY_S = 0.05  # delay between two attempts to listen
LISTEN_TIMEOUT_S = 10.0  # time after which attempts to listen are given up
# TCP states (Linux, tcp_states.h) in which the other side has not closed: ESTABLISHED, FIN_WAIT1, FIN_WAIT2.
OPEN_TCP_STATES = frozenset({1, 4, 5})
UNKNOWN_TCP_STATE = 0
# The field tcpi_last_data_recv of ``struct tcp_info`` (Linux, tcp.h), in ms.
TCP_LAST_DATA_RECEIVED = struct.Struct("=I")
TCP_LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = TCP_LAST_DATA_RECEIVED_OFFSET + TCP_LAST_DATA_RECEIVED.size
# What was sent and not acknowledged: tcpi_unacked (segments), tcpi_bytes_acked and tcpi_notsent_bytes.
TCP_SEND_STATE = struct.Struct("=24xI92xQ16xI")


def tcp_state(transport: asyncio.BaseTransport | None) -> int:
    """Return the kernel's state of a connection, or UNKNOWN_TCP_STATE if it can't be read."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return UNKNOWN_TCP_STATE
    try:
        return int(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
    except (OSError, AttributeError, IndexError):
        return UNKNOWN_TCP_STATE


@dataclass(frozen=True, slots=True)
class SendState:
    """What the other side of a connection has acknowledged. ``has_undelivered_bytes``: the kernel holds more."""

    acknowledged_bytes: int
    has_undelivered_bytes: bool


class RetryingSocket(socket.socket):
    """A socket that reports a temporary lack of kernel memory as "would block", so that its transport retries.

    With a plain socket, the transport would close the connection.
    """

    # The time (``time.monotonic``) since which received bytes may have been waiting here.
    unread_since: float | None = None
    # Called with the number of bytes that the kernel has taken.
    on_sent: Callable[[int], None] | None = None

    def take_read_delay_ms(self) -> float:
        """Return how long the bytes just read may have waited because calls failed, and reset the measurement."""
        since = self.unread_since
        self.unread_since = None
        return 0.0 if since is None else (time.monotonic() - since) * 1000.0

    def send(self, data: Any, flags: int = 0, /) -> int:
        """Send as ``socket.socket.send`` does, but raise BlockingIOError also if the kernel lacks memory."""
        try:
            sent = super().send(data, flags)
        except OSError as error:
            raise _as_would_block(error) from None
        if self.on_sent is not None:
            self.on_sent(sent)
        return sent

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive as ``socket.socket.recv`` does, but raise BlockingIOError also if the kernel lacks memory."""
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self._note_failed_read(error) from None

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0, /) -> int:
        """Receive as ``socket.socket.recv_into`` does, but raise BlockingIOError also if the kernel lacks memory."""
        try:
            return super().recv_into(buffer, size, flags)
        except OSError as error:
            raise self._note_failed_read(error) from None

    def ms_since_last_arrival(self) -> float:
        """Return how long ago the kernel received the last bytes, read or unread, in ms; 0 if it does not tell."""
        try:
            info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            return float(TCP_LAST_DATA_RECEIVED.unpack_from(info, TCP_LAST_DATA_RECEIVED_OFFSET)[0])
        except (OSError, AttributeError, struct.error):
            return 0.0

    def send_state(self) -> SendState | None:
        """Return what of the sent bytes has been acknowledged, or None if the kernel does not tell."""
        try:
            info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_SEND_STATE.size)
            unacknowledged, acknowledged_bytes, waiting_bytes = TCP_SEND_STATE.unpack_from(info)
        except (OSError, AttributeError, struct.error):
            return None
        return SendState(acknowledged_bytes, bool(unacknowledged or waiting_bytes))

    def has_unread_bytes(self) -> bool:
        """Return True if received bytes, or the end of the connection, have not been read yet."""
        try:
            self.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _note_failed_read(self, error: OSError) -> OSError:
        """Return the error to raise. If it is temporary, the bytes that wait here have waited from now on."""
        mapped = _as_would_block(error)
        if mapped is not error and self.unread_since is None:
            self.unread_since = time.monotonic()
        return mapped


def _as_would_block(error: OSError) -> OSError:
    """Return BlockingIOError, which a transport retries, for a temporary lack of memory, else the error itself."""
    if error.errno in (errno.ENOBUFS, errno.ENOMEM):
        return BlockingIOError(errno.EAGAIN, str(error))
    return error


async def open_listening_socket(listen: Address, backlog: int) -> socket.socket:
    """Return a listening socket that queues up to ``backlog`` connections until they are accepted.

    Attempts that fail for a temporary reason are repeated for LISTEN_TIMEOUT_S. Raises OSError.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + LISTEN_TIMEOUT_S
    while True:
        try:
            return socket.create_server((listen.host, listen.port), backlog=backlog)
        except OSError as error:
            if error.errno not in LOCAL_RESOURCE_ERRORS or loop.time() >= deadline:
                raise
            log.warning("listening failed, retrying: address=%s error=%s", listen, error)
        await asyncio.sleep(LISTEN_RETRY_S)


class Listener:
    """Owns a listening socket, and creates a protocol for each connection that it accepts."""

    def __init__(
        self,
        sock: socket.socket,
        create_protocol: Callable[[RetryingSocket], asyncio.BaseProtocol],
        counters: Counters,
        may_accept: Callable[[], bool] = lambda: True,
        *,
        is_inherited: bool = False,
    ) -> None:
        """Start to accept connections from ``sock``, which is already listening, on the running event loop.

        Connections wait in the kernel while ``may_accept`` returns False. An inherited socket is never closed: that
        would drop the locks that this process has on it (``claim_table``).
        """
        self._may_accept = may_accept
        self._is_inherited = is_inherited
        self._is_closed = False
        self._sock = sock
        self._create_protocol = create_protocol
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None
        # The time (``time.monotonic``) since which accepts have been failing.
        self._accept_failing_since: float | None = None
        self._start_tasks: set[asyncio.Task[Any]] = set()
        self.port: int = sock.getsockname()[1]
        sock.setblocking(False)
        self._loop.add_reader(sock, self._accept_batch)

    def _accept_batch(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_STEP):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection. Return True if more may be waiting."""
        if not self._may_accept():
            self._pause_accepting()
            return False
        try:
            accepted, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError):
            self._accept_failing_since = None  # no connection is waiting
            return False
        except OSError as error:
            self._accept_failing_since = self._accept_failing_since or time.monotonic()
            self._counters.add(f"accept.{errno.errorcode.get(error.errno or 0, 'failed').lower()}")
            self._pause_accepting()
            return False
        sock = RetryingSocket(fileno=accepted.detach())
        sock.unread_since = self._accept_failing_since
        sock.setblocking(False)
        task = self._loop.create_task(self._start_protocol(sock))
        self._start_tasks.add(task)
        task.add_done_callback(self._start_tasks.discard)
        return True

    async def _start_protocol(self, sock: RetryingSocket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._create_protocol(sock), sock)
        except Exception:
            # The connection may have been lost while it was accepted.
            self._counters.add("accept.lost")
            log.exception("accepted connection could not be started")
            sock.close()

    def _pause_accepting(self) -> None:
        if self._retry_timer is None:
            self._loop.remove_reader(self._sock)
            self._retry_timer = self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._sock, self._accept_batch)
        self._accept_batch()

    @property
    def starting_count(self) -> int:
        """The number of accepted connections whose protocols have not been created yet."""
        return len(self._start_tasks)

    async def accept_all(self) -> None:
        """Accept all connections that are waiting in the kernel now, and start their protocols."""
        while not self._is_closed and self._accept_one():
            pass
        if self._start_tasks:
            await asyncio.wait(set(self._start_tasks))

    def close(self) -> None:
        """Stop accepting connections.

        The kernel resets the connections that are waiting in it, unless another process has the socket open too.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._sock)
        if self._is_inherited:
            self._sock.detach()
        else:
            self._sock.close()
