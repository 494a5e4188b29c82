"""The test bench's own part of a history: which fault was injected into which member, and when."""

from __future__ import annotations

from typing import Any

from lab.processes import steady_ms

ALL_MEMBERS = "all"
NETWORK = "network"
ORDERLY_END = "end"  # the orderly end of the run, which is not a fault


class FaultLog:
    """Record events of kind ``fault`` in the form of the proxies' histories; times are those of :func:`steady_ms`."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.events: list[dict[str, Any]] = []

    def note(self, member: str, what: str) -> None:
        """Append an event with the current time.

        ``member`` is a proxy's name, :data:`ALL_MEMBERS` or :data:`NETWORK`.
        """
        self.events.append({"t": steady_ms(), "member": member, "life": 0, "kind": "fault", "what": what})

    def was_disturbed(self, member: str, since_ms: float) -> bool:
        """True if a fault was injected into ``member``, or into all members, at ``since_ms`` or later."""
        return any(event["t"] >= since_ms and event["member"] in (member, ALL_MEMBERS) for event in self.events)

    def first_fault_ms(self, default: float) -> float:
        """Return the time of the first fault, or ``default`` if there was none."""
        return min((event["t"] for event in self.events if event["what"] != ORDERLY_END), default=default)
