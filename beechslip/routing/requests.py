"""The open requests of one router and their attempts in flight."""

from __future__ import annotations

from beechslip.routing.state import AttemptInFlight, AttemptKey, OpenRequest


class RequestTable:
    """Holds the open requests and the attempts in flight.

    Attributes:
        open: requests without a final answer, by identifier, in order of arrival.
        in_flight: attempts that have not ended, in order of sending; a request may end before its attempt.
    """

    def __init__(self) -> None:
        """Create empty tables."""
        self.open: dict[str, OpenRequest] = {}
        self.in_flight: dict[AttemptKey, AttemptInFlight] = {}
