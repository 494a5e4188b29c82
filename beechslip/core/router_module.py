"""The interface of the router module, which makes the routing decisions, as the engine uses it."""

from __future__ import annotations

from typing import Protocol

from beechslip.routing import interface


class RouterModule(Protocol):
    """Makes the routing decisions. Times are passed in seconds and never decrease from call to call."""

    def start(self, now: float) -> list[interface.Action]:
        """Return the actions to take at the start, before any event."""
        ...

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Handle an event and return the actions to take, in order."""
        ...
