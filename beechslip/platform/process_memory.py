"""The resident memory of this process, and how the C library gives freed memory back to the system (Linux)."""

from __future__ import annotations

import contextlib
import ctypes
import os

STATM_FILE = "/proc/self/statm"
STATM_RESIDENT_COLUMN = 1
STATM_SHARED_COLUMN = 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Blocks from this size on are mapped one by one, and given back as soon as they are freed.
MMAP_THRESHOLD_BYTES = 131_072
TRIM_THRESHOLD_BYTES = 131_072  # free bytes at the end of the heap from which on they are given back
TRIM_ABOVE_FLOOR_BYTES = 4 << 20
TRIM_INTERVAL_MS = 2_000.0  # a trim takes about a millisecond


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not tell."""
    return _statm_pages(private=False) * PAGE_BYTES


def private_bytes() -> int:
    """Return the resident memory of this process that no other one shares, in bytes; 0 if it can not be read."""
    return _statm_pages(private=True) * PAGE_BYTES


def shared_bytes() -> int:
    """Return the resident memory of this process that others may share: the pages of files, in bytes."""
    return (_statm_pages(private=False) - _statm_pages(private=True)) * PAGE_BYTES


def _statm_pages(*, private: bool) -> int:
    try:
        with open(STATM_FILE) as file:
            columns = file.read().split()
        resident = int(columns[STATM_RESIDENT_COLUMN])
        return resident - int(columns[STATM_SHARED_COLUMN]) if private else resident
    except (OSError, ValueError, IndexError):
        return 0


def _c_function(name: str) -> ctypes._NamedFuncPointer | None:
    with contextlib.suppress(OSError, AttributeError):
        function: ctypes._NamedFuncPointer = getattr(ctypes.CDLL(None), name)
        return function
    return None


def return_freed_memory() -> None:
    """Have the C library give large freed blocks back at once. No effect if it is not glibc."""
    mallopt = _c_function("mallopt")
    if mallopt is not None:
        mallopt(M_ARENA_MAX, 1)
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def trim_heap() -> None:
    """Give all free pages of the heap back to the system. No effect if the C library is not glibc."""
    trim = _c_function("malloc_trim")
    if trim is not None:
        trim(0)


class HeapTrimmer:
    """Gives free pages of the heap back to the system, at intervals, while the process holds more than it needs."""

    def __init__(self, floor_bytes: int) -> None:
        """Create a trimmer. ``floor_bytes`` is the process's resident memory before it serves."""
        self._threshold_bytes = floor_bytes + TRIM_ABOVE_FLOOR_BYTES
        self._malloc_trim = _c_function("malloc_trim")
        self._last_check_ms = 0.0

    def trim_if_due(self, now_ms: float) -> None:
        """Trim the heap if that may help. No effect if the C library is not glibc."""
        if self._malloc_trim is None or now_ms - self._last_check_ms < TRIM_INTERVAL_MS:
            return
        self._last_check_ms = now_ms
        if resident_bytes() > self._threshold_bytes:
            self._malloc_trim(0)
