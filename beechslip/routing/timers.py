"""Pending timers and the purpose of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from beechslip.routing import interface as i
from beechslip.routing.context import CLOCK_RESOLUTION_S, RoutingContext
from beechslip.routing.state import AttemptKey


@dataclass(frozen=True, slots=True)
class HealthCheckDue:
    """The ejection of a backend ends, and a health check is due."""

    backend: str


@dataclass(frozen=True, slots=True)
class WatchDue:
    """It is time to request a refused subscription to the endpoint list again."""


@dataclass(frozen=True, slots=True)
class WaitEnds:
    """A request can no longer be sent in time if it still waits for a place on a link."""

    request: str


@dataclass(frozen=True, slots=True)
class LinkResumes:
    """The pause after a transfer on a backend's link is over."""


TimerPurpose: TypeAlias = AttemptKey | HealthCheckDue | WatchDue | WaitEnds | LinkResumes
"""What a timer is for; an ``AttemptKey`` stands for the next overdue check of that attempt."""


class TimerTable:
    """Numbers timers and stores their purposes until they fire."""

    def __init__(self, context: RoutingContext) -> None:
        """Create a table with no pending timer."""
        self.pending: dict[int, TimerPurpose] = {}
        self._context = context
        self._last_token = 0

    def start(self, delay: float, purpose: TimerPurpose) -> None:
        """Request a ``Timer`` event in ``delay`` seconds, or in ``CLOCK_RESOLUTION_S`` if that is longer."""
        self._last_token += 1
        self.pending[self._last_token] = purpose
        self._context.actions.append(i.SetTimer(max(delay, CLOCK_RESOLUTION_S), self._last_token))

    def take(self, token: int) -> TimerPurpose | None:
        """Remove a timer that fires and return its purpose, or ``None`` for an unknown token."""
        return self.pending.pop(token, None)
