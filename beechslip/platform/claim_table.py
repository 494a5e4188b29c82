"""The table in which the processes of one proxy state what each of them may hold: record locks on their socket.

While a proxy is upgraded, two or more processes of it run, and the listening socket that they inherit is all that
they surely have in common. Each locks ranges of bytes of it (``fcntl``), whose lengths are its claim. The locks do
not affect the socket, every process can read those of the others, and the kernel drops them when their process ends,
however it ends. It also drops them when the process closes any descriptor of the socket, so that nobody may do that.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import struct
from collections.abc import Iterator
from dataclasses import dataclass

MAX_PROCESSES = 8
CLAIM_UNIT_BYTES = 1_024  # of memory, by which a range is one byte long
# ``struct flock`` of 64-bit Linux: type, whence, start, length, process.
FLOCK = struct.Struct("hhqqi")
MUTEX_OFFSET = 0
SLOT_BYTES = 1 << 44
FIELD_BYTES = 1 << 40
BUSY_ERRORS = frozenset({errno.EAGAIN, errno.EACCES})
MUTEX_TRIES = 20


class ClaimTableError(Exception):
    """The table can't be used now (``is_busy``) or at all on this system."""

    def __init__(self, text: str, *, is_busy: bool) -> None:
        """Create an error; ``is_busy`` if another process is changing the table at this moment."""
        super().__init__(text)
        self.is_busy = is_busy


@dataclass(frozen=True, slots=True)
class Claim:
    """What a process may hold: private memory and descriptors. A process started later has a higher generation."""

    memory_bytes: int
    descriptors: int
    generation: int = 0


class ClaimTable:
    """This process's view of the table. All calls raise ClaimTableError."""

    def __init__(self, fd: int) -> None:
        """Use the socket ``fd``, which stays open until the process ends."""
        self._fd = fd
        self._slot: int | None = None
        self._generation = 0

    @property
    def has_joined(self) -> bool:
        """True if this process has a place in the table."""
        return self._slot is not None

    def join(self, claim: Claim) -> None:
        """Take a place in the table with a first claim, whose generation is chosen here."""
        with self._exclusive():
            present = {slot: found for slot in range(MAX_PROCESSES) if (found := self._read(slot)) is not None}
            free_slots = [slot for slot in range(MAX_PROCESSES) if slot not in present]
            if not free_slots:
                raise ClaimTableError("no place is free", is_busy=True)
            self._slot = free_slots[0]
            self._generation = max((found.generation for found in present.values()), default=0) + 1
            self._set_length(_field_offset(self._slot, 0), self._generation)
            self._write(claim)

    def others(self) -> list[Claim]:
        """Return the claims of the other processes. Inside ``change`` they can't change meanwhile."""
        slots = (slot for slot in range(MAX_PROCESSES) if slot != self._slot)
        return [found for slot in slots if (found := self._read(slot)) is not None]

    @property
    def generation(self) -> int:
        """The generation of this process; 0 if it has not joined."""
        return self._generation

    @contextlib.contextmanager
    def change(self) -> Iterator[None]:
        """Keep the other processes from changing the table within the block, in which ``state`` may be called."""
        with self._exclusive():
            yield

    def state(self, claim: Claim) -> None:
        """State this process's claim; only within ``change``."""
        assert self._slot is not None
        self._write(claim)

    def _read(self, slot: int) -> Claim | None:
        generation = self._length(_field_offset(slot, 0))
        if not generation:
            return None
        memory_units = self._length(_field_offset(slot, 1))
        return Claim(memory_units * CLAIM_UNIT_BYTES, self._length(_field_offset(slot, 2)), generation)

    def _write(self, claim: Claim) -> None:
        assert self._slot is not None
        self._set_length(_field_offset(self._slot, 1), -(-claim.memory_bytes // CLAIM_UNIT_BYTES))
        self._set_length(_field_offset(self._slot, 2), claim.descriptors)

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        for attempt in range(MUTEX_TRIES):
            try:
                self._lock(fcntl.LOCK_EX | fcntl.LOCK_NB, 1, MUTEX_OFFSET)
                break
            except ClaimTableError as error:
                if not error.is_busy or attempt == MUTEX_TRIES - 1:
                    raise
        try:
            yield
        finally:
            self._lock(fcntl.LOCK_UN, 1, MUTEX_OFFSET)

    def _set_length(self, offset: int, length: int) -> None:
        """Lock ``length`` bytes from ``offset`` on, and none behind them in the field."""
        if length:
            self._lock(fcntl.LOCK_EX | fcntl.LOCK_NB, length, offset)
        self._lock(fcntl.LOCK_UN, FIELD_BYTES - length, offset + length)

    def _length(self, offset: int) -> int:
        """Return how many bytes another process has locked from ``offset`` on."""
        query = FLOCK.pack(fcntl.F_WRLCK, 0, offset, FIELD_BYTES, 0)
        try:
            lock_type, _, _, length, _ = FLOCK.unpack(fcntl.fcntl(self._fd, fcntl.F_GETLK, query)[: FLOCK.size])
        except OSError as error:
            raise ClaimTableError(f"locks can't be read: {error}", is_busy=False) from None
        return 0 if lock_type == fcntl.F_UNLCK else int(length)

    def _lock(self, operation: int, length: int, offset: int) -> None:
        try:
            fcntl.lockf(self._fd, operation, length, offset)
        except OSError as error:
            raise ClaimTableError(f"locking failed: {error}", is_busy=error.errno in BUSY_ERRORS) from None


def _field_offset(slot: int, field: int) -> int:
    return SLOT_BYTES * (slot + 1) + FIELD_BYTES * field
