"""Interfaces of the optional services that operators can enable in their files, as the engine uses them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from beechslip.core.messages import PurgeReceived
from beechslip.core.model import AttemptRequest, AttemptResult


class QuotaGate(Protocol):
    """This proxy's share of the fleet-wide quotas. Its methods never raise and never block."""

    def spend(self, attempt_request: AttemptRequest, is_retry: bool) -> bool:
        """Spend quota on an attempt and return True, or return False if the quotas have no room for it.

        The engine calls this right before the attempt's first byte, as the last of the send guards. ``is_retry`` is
        True if an earlier attempt of the request was sent.
        """
        ...

    def attempt_ended(self, attempt_request: AttemptRequest, result: AttemptResult) -> None:
        """Take the result of an attempt that ``spend`` has allowed."""
        ...

    def max_attempt_duration_ms(self, *backends: str) -> float:
        """Return how long (ms) an attempt to or through these backends may last; infinity means no limit."""
        ...


@dataclass(frozen=True, slots=True)
class PreviousSend:
    """The log already holds a keyed request, which was first sent at ``sent_ms``.

    ``sent_ms`` is on ``Clock.now_ms``; minus infinity means that the time is unknown.
    """

    sent_ms: float


class SentRequestLog(Protocol):
    """Records which keyed requests have been sent; the records outlive restarts."""

    async def record_send(self, idempotency_key: str) -> PreviousSend | bool:
        """Record a request before its first byte is sent.

        Return True once the request is recorded, the earlier record if there was one, or False if it could not be
        recorded within the time that the operators allow.
        """
        ...

    def forget(self, idempotency_key: str) -> None:
        """Drop the record of a request of which no attempt can have run. Return without waiting."""
        ...


class AttemptObserver(Protocol):
    """Takes the results of attempts, and limits the age of copies in addition to the router.

    Its methods never raise and never block.
    """

    def attempt_ended(self, attempt_request: AttemptRequest, result: AttemptResult, elapsed_ms: float) -> None:
        """Take the result of an attempt that was sent, or that could not connect.

        ``elapsed_ms`` is its time on the wire, from the first byte sent to the last byte received.
        """
        ...

    def purge_received(self, purge: PurgeReceived) -> None:
        """Take a purge that the engine has received."""
        ...

    def max_copy_age_ms(self, *backends: str) -> float:
        """Return how old (ms) a copy from these backends may be; infinity means no limit."""
        ...


@dataclass(slots=True)
class OptionalServices:
    """The optional services that the operators' files enable; a service that is off is None."""

    quota_gate: QuotaGate | None = None
    observer: AttemptObserver | None = None
    sent_log: SentRequestLog | None = None
