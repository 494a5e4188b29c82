"""System faults that are injected into a program under test.

The interpreter imports this file at its start if ``PYTHONPATH`` names this folder. ``LAB_FAULTS`` is the path of a
JSON file with the current faults; on SIGUSR2 the program reads it again. Keys, all optional:

- ``clock_ms``: the step of the wall clock (the monotonic clocks are not changed);
- ``accept``, ``connect``, ``socket``, ``recv``, ``send``, ``open``: ``{"errno": NAME, "for_ms": SPAN}``, the call
  fails with that error for that time after the file was read;
- ``lockf``: the same, for record locks;
- ``connect_ms``: the delay of new connections;
- ``short``: the maximum number of bytes of a read or write.
"""

from __future__ import annotations

import asyncio.selector_events
import builtins
import errno
import fcntl
import io
import json
import os
import signal
import socket
import time
from typing import Any

_faults: dict[str, Any] = {}
_read_at_s = time.monotonic()


def _read_faults(*_: object) -> None:
    global _read_at_s
    with _original_open(os.environ["LAB_FAULTS"]) as file:
        faults = json.load(file)
    _faults.clear()
    _faults.update(faults)
    _read_at_s = time.monotonic()


def _raise_if_failing(call: str) -> None:
    fault = _faults.get(call)
    if fault and (time.monotonic() - _read_at_s) * 1000.0 < fault["for_ms"]:
        code = getattr(errno, fault["errno"])
        raise OSError(code, os.strerror(code))


def _with_failures(call: str, original: Any) -> Any:
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        _raise_if_failing(call)
        return original(*args, **kwargs)

    return wrapper


def _clock_step_s() -> float:
    return float(_faults.get("clock_ms", 0.0)) / 1000.0


_original_open = builtins.open
_original_time = time.time
_original_gettime = time.clock_gettime
_original_socket_init = socket.socket.__init__
_original_recv = socket.socket.recv
_original_recv_into = socket.socket.recv_into
_original_send = socket.socket.send
_original_sock_connect = asyncio.selector_events.BaseSelectorEventLoop.sock_connect


def _failing_socket(sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
    if fileno is None:  # a new socket, not one that accept() has returned
        _raise_if_failing("socket")
    _original_socket_init(sock, family, type, proto, fileno)


def _short_recv(sock: Any, size: int, *flags: int) -> bytes:
    if sock.family == socket.AF_INET:  # not the internal socket pair of the event loop
        _raise_if_failing("recv")
    return _original_recv(sock, min(size, _faults.get("short", size)), *flags)


def _short_recv_into(sock: Any, buffer: Any, size: int = 0, *flags: int) -> int:
    if sock.family == socket.AF_INET:
        _raise_if_failing("recv")
    size = size or len(buffer)
    return _original_recv_into(sock, buffer, min(size, _faults.get("short", size)), *flags)


def _short_send(sock: Any, data: Any, *flags: int) -> int:
    if sock.family == socket.AF_INET:
        _raise_if_failing("send")
    return _original_send(sock, memoryview(data)[: _faults.get("short", len(data))], *flags)


async def _slow_sock_connect(loop: Any, sock: Any, address: Any) -> None:
    await _original_sock_connect(loop, sock, address)
    await asyncio.sleep(_faults.get("connect_ms", 0.0) / 1000.0)


def _install_faults() -> None:
    builtins.open = io.open = _with_failures("open", _original_open)
    time.time = lambda: _original_time() + _clock_step_s()
    time.clock_gettime = lambda clock: (
        _original_gettime(clock) + (_clock_step_s() if clock == time.CLOCK_REALTIME else 0.0)
    )
    socket_class: Any = socket.socket
    socket_class.accept = _with_failures("accept", socket.socket.accept)
    socket_class.connect = _with_failures("connect", socket.socket.connect)
    socket_class.__init__ = _failing_socket
    socket_class.recv = _short_recv
    socket_class.recv_into = _short_recv_into
    socket_class.send = _short_send
    loop_class: Any = asyncio.selector_events.BaseSelectorEventLoop
    loop_class.sock_connect = _slow_sock_connect
    fcntl.lockf = _with_failures("lockf", fcntl.lockf)
    signal.signal(signal.SIGUSR2, _read_faults)
    _read_faults()


if "LAB_FAULTS" in os.environ:
    _install_faults()
