"""The backends of the endpoint list, with their start times on this process's clock."""

from __future__ import annotations

import logging
from dataclasses import replace

from beechslip.clock import Clock, to_local_ms, to_seconds
from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import Backend
from beechslip.routing import interface

log = logging.getLogger("beechslip.engine")

MAX_LOGGED_BACKENDS = 256  # a longer list is logged in one line: thousands of lines would block the event loop


class EndpointTable:
    """The backends that are listed now.

    ``backends`` is the same dictionary for the whole lifetime of the table, so that others can keep a view of it.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table; start times are converted to ``clock``."""
        self.backends: dict[str, Backend] = {}  # by name, draining ones included
        self._clock = clock
        # By name: the start time as given in the list, and on this clock.
        self._start_times: dict[str, tuple[float, float]] = {}

    def apply(self, update: EndpointListUpdate) -> tuple[Backend, ...]:
        """Apply a complete list or changes to it, and return the update's backends with start times on this clock."""
        if update.kind != "changes":
            self.backends.clear()
            listed = {backend.name for backend in update.backends}
            self._start_times = {name: start for name, start in self._start_times.items() if name in listed}
        backends = tuple(self._with_local_start_time(backend) for backend in update.backends)
        for backend in backends:
            if backend.state == "gone":
                self.backends.pop(backend.name, None)
                self._start_times.pop(backend.name, None)
            else:
                self.backends[backend.name] = backend
        _log_backends(update.kind, backends)
        return backends

    def _with_local_start_time(self, backend: Backend) -> Backend:
        """Return the backend with its start time on this clock.

        Each start time is converted once, when it is first received. Converted again after a step of the wall clock,
        it would differ and look like another start.
        """
        if backend.started_ms <= 0:
            return backend
        dated_ms, started_ms = self._start_times.get(backend.name, (0.0, 0.0))
        if dated_ms != backend.started_ms:
            started_ms = to_local_ms(self._clock, backend.started_ms)
            self._start_times[backend.name] = backend.started_ms, started_ms
        return backend if started_ms == backend.started_ms else replace(backend, started_ms=started_ms)


def to_endpoint_list_event(kind: interface.ListKind, backends: tuple[Backend, ...]) -> interface.EndpointList:
    """Return the router's event for an endpoint list whose start times are on this clock."""
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
        log.info("endpoint list received: %d backends, kind=%s", len(backends), kind)
        return
    for backend in backends:
        log.info(
            "endpoint list entry: backend %s %s zone=%s kind=%s state=%s weight=%g started_ms=%.0f",
            backend.name,
            backend.address,
            backend.zone,
            backend.kind,
            backend.state,
            backend.weight,
            backend.started_ms,
        )
