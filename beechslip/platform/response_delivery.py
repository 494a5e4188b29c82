"""The delivery of a connection's responses: what its client is still owed, and the memory that this takes."""

from __future__ import annotations

from collections.abc import Callable

from beechslip.clock import Clock
from beechslip.memory_budget import MemoryCharge, MemoryRoom
from beechslip.platform.sockets import RetryingSocket
from beechslip.reader_progress import ReaderProgress


class ResponseDelivery:
    """The bytes that were written to a connection and that its client has not taken yet.

    Owns the charge of a response from its first written byte to the last one that the kernel takes.
    """

    __slots__ = ("_charge", "_clock", "_end", "_progress", "_room", "_sent_bytes", "_sock", "unsent_bytes")

    def __init__(self, sock: RetryingSocket | None, room: MemoryRoom, clock: Clock, end: Callable[[], None]) -> None:
        """Create the delivery of a connection on ``sock``; ``end`` closes it, as its memory is needed."""
        self._sock = sock
        self._room = room
        self._clock = clock
        self._end = end
        self._charge: MemoryCharge | None = None
        self._progress = ReaderProgress()
        self._sent_bytes = 0  # over the life of the connection
        self.unsent_bytes = 0  # in the buffer of the transport
        if sock is not None:
            sock.on_sent = self._bytes_sent

    def add(self, nbytes: int) -> None:
        """Note that this many bytes are about to be written."""
        if not self.unsent_bytes:
            self._progress.begin(self._clock.now_ms())
        self.unsent_bytes += nbytes

    def _bytes_sent(self, nbytes: int) -> None:
        self._sent_bytes += nbytes
        self.unsent_bytes = max(self.unsent_bytes - nbytes, 0)
        # The transport's buffer, a bytearray, gives memory back when it is less than half full.
        if self._charge is not None and 2 * self.unsent_bytes < self._charge.amount:
            self._charge.set(self.unsent_bytes, self._clock.now_ms())

    def keep(self, charge: MemoryCharge | None) -> None:
        """Keep charged what the kernel has not taken of a response just written; ``charge`` is its memory so far."""
        now_ms = self._clock.now_ms()
        if self._charge is not None and charge is not None:
            charge.close(now_ms)  # what it stood for is in the buffer of the transport, with what was there before
        self._charge = self._charge or charge or MemoryCharge(self._room)
        self._charge.set(self.unsent_bytes, now_ms)
        self._charge.hand_over(self._end, now_ms, lambda now_ms: self.may_be_ended(now_ms, is_wanted=True))

    def all_sent(self, charge: MemoryCharge | None = None) -> None:
        """Note that the kernel has taken all bytes; ``charge`` is the memory of a response just written."""
        now_ms = self._clock.now_ms()
        self.unsent_bytes = 0
        for each in (charge, self._charge):
            if each is not None:
                each.close(now_ms)
        self._charge = None

    def may_be_ended(self, now_ms: float, *, is_wanted: bool) -> bool:
        """Return True if the client is owed nothing, or has not taken bytes for too long (``ReaderProgress``)."""
        state = self._sock.send_state() if self._sock is not None else None
        if state is None:
            has_undelivered_bytes, taken_bytes, has_taken_all = False, self._sent_bytes, False
        else:
            has_undelivered_bytes, taken_bytes = state.has_undelivered_bytes, state.acknowledged_bytes
            has_taken_all = not has_undelivered_bytes
        if not self.unsent_bytes and not has_undelivered_bytes:
            return True
        self._progress.observe(now_ms, taken_bytes, has_taken_all=has_taken_all)
        return self._progress.may_be_ended(now_ms, is_wanted=is_wanted)

    @property
    def is_owed(self) -> bool:
        """True if the client has not acknowledged all bytes that were written."""
        if self.unsent_bytes:
            return True
        state = self._sock.send_state() if self._sock is not None else None
        return state is not None and state.has_undelivered_bytes

    def close(self) -> None:
        """Give up what is owed, as the connection has ended."""
        self.all_sent()
        if self._sock is not None:
            self._sock.on_sent = None  # it refers to this object
