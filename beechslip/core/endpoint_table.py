"""The backends that the endpoint list names, with their start times on this process's clock."""

from __future__ import annotations

import logging
from dataclasses import replace

from beechslip.clock import Clock, to_local_ms, to_seconds
from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import Backend
from beechslip.routing import interface

log = logging.getLogger("beechslip.engine")

MAX_LOGGED_BACKENDS = 256  # a longer list is logged in one line: thousands of lines would hold up the event loop


class EndpointTable:
    """Every backend that is listed now. ``backends`` is one dictionary for the table's whole lifetime."""

    def __init__(self, clock: Clock) -> None:
        """``clock`` is the one on which start times are placed."""
        self.backends: dict[str, Backend] = {}  # by name, draining ones included
        self._clock = clock
        self._starts: dict[
            str, tuple[float, float]
        ] = {}  # by name: the start as dated by the list, and on this clock

    def apply(self, update: EndpointListUpdate) -> tuple[Backend, ...]:
        """Take up a list or its changes; returns the update's backends with start times on this clock."""
        if update.kind != "changes":
            self.backends.clear()
            listed = {backend.name for backend in update.backends}
            self._starts = {name: start for name, start in self._starts.items() if name in listed}
        backends = tuple(self._on_this_clock(backend) for backend in update.backends)
        for backend in backends:
            if backend.state == "gone":
                self.backends.pop(backend.name, None)
                self._starts.pop(backend.name, None)
            else:
                self.backends[backend.name] = backend
        _log_backends(update.kind, backends)
        return backends

    def _on_this_clock(self, backend: Backend) -> Backend:
        """The backend with its start on this clock.

        Each start is placed once, when it is first received: placed again after a step of the wall clock it
        would look like another start.
        """
        if backend.started_ms <= 0:
            return backend
        dated_ms, started_ms = self._starts.get(backend.name, (0.0, 0.0))
        if dated_ms != backend.started_ms:
            started_ms = to_local_ms(self._clock, backend.started_ms)
            self._starts[backend.name] = backend.started_ms, started_ms
        return backend if started_ms == backend.started_ms else replace(backend, started_ms=started_ms)


def to_list_event(kind: interface.ListKind, backends: tuple[Backend, ...]) -> interface.EndpointList:
    """The router's event for an endpoint list whose start times are on this clock."""
    entries = tuple(
        interface.Endpoint(
            backend=backend.name,
            kind=backend.kind,
            zone=backend.zone,
            state=backend.state,
            weight=backend.weight,
            cell=backend.cell,
            started=to_seconds(backend.started_ms),
        )
        for backend in backends
    )
    return interface.EndpointList(kind, entries)


def _log_backends(kind: str, backends: tuple[Backend, ...]) -> None:
    if len(backends) > MAX_LOGGED_BACKENDS:
        log.info("%d backends listed (%s)", len(backends), kind)
        return
    for backend in backends:
        log.info(
            "backend %s %s %s %s %s weight %g since %.0f",
            backend.name,
            backend.address,
            backend.zone,
            backend.kind,
            backend.state,
            backend.weight,
            backend.started_ms,
        )
