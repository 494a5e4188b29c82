"""Free loopback ports, chosen so that concurrent processes never get the same one.

A port that is free now may be bound by another process before the proxy that it is meant for has started, or while
that proxy restarts. Each process therefore locks the byte at the port's number in a shared file; the kernel releases
the locks when the process ends.
"""

from __future__ import annotations

import contextlib
import fcntl
import functools
import os
import random
import socket
import tempfile
from pathlib import Path

FIRST_PORT = 15_000
LAST_PORT = 32_000  # the ephemeral ports of the system begin above
_drawn_ports: set[int] = set()
_port_random = random.SystemRandom()  # forked pool processes must not draw the same ports


def free_port() -> int:
    """Return a port that is free for TCP and UDP, and that no concurrent process and no earlier call got."""
    while True:
        port = _port_random.randrange(FIRST_PORT, LAST_PORT)
        if port in _drawn_ports or not _reserve(port):
            continue
        _drawn_ports.add(port)
        if _is_free(port):
            return port


@functools.cache
def _lock_file_descriptor() -> int:
    path = Path(tempfile.gettempdir()) / f"beechslip-ports-{os.getuid()}.lock"
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _reserve(port: int) -> bool:
    """True if the byte of the port could be locked; the lock is held until this process ends."""
    with contextlib.suppress(OSError):
        fcntl.lockf(_lock_file_descriptor(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        return True
    return False


def _is_free(port: int) -> bool:
    with contextlib.suppress(OSError), socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.bind(("127.0.0.1", port))
        udp.bind(("127.0.0.1", port))
        return True
    return False
