"""The descriptors of the process: one budget for clients' connections, backends' and everything else. Pure."""

from __future__ import annotations

# Standard streams, the event loop, listening sockets, the calls to the change log, and some operators' calls.
OWN_DESCRIPTORS = 16
CLIENT_SHARE = 4 / 7  # of what the rest leaves, if that is not all
LEAST_CONNECTIONS = 3  # of clients and of backends


class DescriptorBudget:
    """Owns the bounds on connections. They are those of the whole limit until a smaller allowance is set."""

    def __init__(self, limit: int) -> None:
        """Create a budget for ``limit`` descriptors, those of ``limits.sockets``."""
        self.limit = limit
        self._whole_clients = max(limit // 2, 1)
        self._whole_backends = max(limit * 3 // 8, 1)
        self.clients = self._whole_clients
        self.backends = self._whole_backends

    @property
    def is_restricted(self) -> bool:
        """True if the bounds are below those of the whole limit."""
        return self.clients < self._whole_clients or self.backends < self._whole_backends

    def set_allowance(self, allowance: int) -> None:
        """Divide ``allowance`` descriptors, of which other processes of this proxy hold none."""
        usable = max(allowance - OWN_DESCRIPTORS, 0)
        clients = int(usable * CLIENT_SHARE)
        self.clients = min(self._whole_clients, max(clients, LEAST_CONNECTIONS))
        self.backends = min(self._whole_backends, max(usable - clients, LEAST_CONNECTIONS))
