"""Forbid, inside a serving proxy, the calls that the platform's system-call filter refuses.

The fleet platform runs each proxy as one process with threads. There the kernel's filter refuses to start programs,
and refuses fork, io_uring, splice and sendfile. Sockets are TCP or UDP over IPv4. A call that the filter refuses
fails far from its cause (an ``ENOSYS`` deep inside a library). The proxy therefore refuses the same calls itself, at
their call site, with a clear error and a count:

- An audit hook (PEP 578, ``sys.addaudithook``) raises :class:`ForbiddenCallError` for the events of starting a
  program or forking (``os.fork``, ``os.exec``, ``os.posix_spawn``, ``subprocess.Popen`` ...) and of opening a socket
  of a family other than IPv4 (``socket.__new__`` with ``AF_INET6``, ``AF_PACKET`` ...).
- ``os.sendfile`` is replaced by a function that fails with ``ENOSYS``. asyncio's ``sock_sendfile`` and
  ``socket.sendfile`` then fall back to plain sends. aiohttp, which a proxy does not load, would be configured by
  ``AIOHTTP_NOSENDFILE``, which it reads when it is imported, so :func:`confine` runs before that.

Unix sockets made by ``socket.socketpair`` stay allowed: asyncio's event loop wakes itself up through one, and no
other process can reach such a pair. An audit hook can't be removed. :func:`confine` is called once, by the proxy's
entry point. The command line and the agent never call it, because they start programs by design.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
from typing import Any

# Audit events (PEP 578) for starting another program or forking this process.
PROCESS_EVENTS = frozenset(
    {
        "os.fork",
        "os.forkpty",
        "os.exec",
        "os.posix_spawn",
        "os.spawn",
        "os.system",
        "os.startfile",
        "subprocess.Popen",
        "pty.spawn",
    }
)
SOCKET_EVENT = "socket.__new__"
# Allowed socket families: IPv4 for TCP and UDP, and the unnamed pairs of socketpair, by which the event loop is
# woken. The audit event gives -1 for a socket that is created without a family, for example from a descriptor.
ALLOWED_FAMILIES = frozenset({int(socket.AF_INET), int(socket.AF_UNIX), -1})
NOSENDFILE_VARIABLE = "AIOHTTP_NOSENDFILE"
MAX_RECORDED_CALLS = 64  # limits the memory used to record forbidden calls

_forbidden_calls: list[str] = []  # oldest first, for the counters and tests
_state = {"on": False}


class ForbiddenCallError(PermissionError):
    """A call that the serving process may not make. The message names the audit event and its arguments."""


def _refuse_sendfile(*_: Any, **__: Any) -> int:
    raise OSError(errno.ENOSYS, "sendfile is not available in a serving proxy")


def _record_forbidden_call(call: str) -> None:
    if len(_forbidden_calls) < MAX_RECORDED_CALLS:
        _forbidden_calls.append(call)


def _audit_hook(event: str, args: tuple[Any, ...]) -> None:
    if event in PROCESS_EVENTS:
        _record_forbidden_call(event)
        raise ForbiddenCallError(f"{event} is forbidden in a serving proxy")
    if event == SOCKET_EVENT and len(args) >= 2 and int(args[1]) not in ALLOWED_FAMILIES:
        _record_forbidden_call(f"{event} family {args[1]}")
        raise ForbiddenCallError(f"socket family {args[1]} is forbidden in a serving proxy: expected IPv4")


def confine() -> bool:
    """Forbid, from now on and for the whole process, the calls that the platform refuses.

    Return True if this call did so. A second call does nothing and returns False. The effect can't be undone, so
    tests confine a proxy that they start as a separate program, never the process that they run in.
    """
    if _state["on"]:
        return False
    _state["on"] = True
    os.environ.setdefault(NOSENDFILE_VARIABLE, "1")
    if hasattr(os, "sendfile"):
        os.sendfile = _refuse_sendfile
    sys.addaudithook(_audit_hook)
    return True


def forbidden_calls() -> list[str]:
    """Return the forbidden calls made so far (at most ``MAX_RECORDED_CALLS``), oldest first."""
    return list(_forbidden_calls)
