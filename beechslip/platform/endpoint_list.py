"""The names of the backends in service, kept to detect a list of the change log that is suspiciously short.

The module is pure: it does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from beechslip.core.messages import EndpointListUpdate

# If a complete list omits more than this fraction of the backends in service, it is requested again.
MAX_OMITTED_FRACTION = 0.5


class ReadyBackendNames:
    """The names of the backends in service."""

    def __init__(self) -> None:
        """Create an empty set of names. No backend is in service until ``apply``."""
        self._ready_names: set[str] = set()

    def apply(self, update: EndpointListUpdate) -> None:
        """Apply a complete list or a list of changes. Updates must be applied in the order of the change log."""
        if update.kind != "changes":
            self._ready_names.clear()
        for backend in update.backends:
            if backend.state == "ready":
                self._ready_names.add(backend.name)
            else:
                self._ready_names.discard(backend.name)

    def is_doubtful(self, updates: Iterable[object]) -> bool:
        """True if the updates contain a complete list that omits most backends in service.

        This guards against a truncated list, after which a proxy would close its connections and refuse nearly all
        requests until the next list. The cost is that a correct list takes effect a little later.
        """
        return any(
            isinstance(update, EndpointListUpdate) and update.kind != "changes" and self._omits_most(update)
            for update in updates
        )

    def _omits_most(self, update: EndpointListUpdate) -> bool:
        listed = {backend.name for backend in update.backends if backend.state != "gone"}
        return len(self._ready_names - listed) > MAX_OMITTED_FRACTION * len(self._ready_names)
