"""Services beside the router that the operators' files may turn on, as the engine uses them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from beechslip.core.messages import PurgeReceived
from beechslip.core.model import AttemptRequest, AttemptResult


class QuotaGate(Protocol):
    """The fleet's quotas, as far as this proxy holds them; never raises and never blocks."""

    def spend(self, spec: AttemptRequest, is_retry: bool) -> bool:
        """Whether the quotas have room for an attempt, of which they then spend.

        Asked right before its first byte, as the last of its guards. ``is_retry``: an earlier attempt of the
        request was sent.
        """
        ...

    def attempt_ended(self, spec: AttemptRequest, result: AttemptResult) -> None:
        """An attempt that was allowed has ended."""
        ...

    def max_attempt_duration_ms(self, *backends: str) -> float:
        """How long an attempt to or through these backends may last (inf: no limit)."""
        ...


@dataclass(frozen=True, slots=True)
class PreviousSend:
    """A keyed request was on record: first sent at ``sent_ms`` (of ``Clock.now_ms``; -inf: nobody can tell)."""

    sent_ms: float


class SentRequestLog(Protocol):
    """Remembers which keyed requests have been sent, over restarts."""

    async def record_send(self, idempotency_key: str) -> PreviousSend | bool:
        """Record a request before its first byte.

        True once it is recorded, the earlier record if there was one, False if it could not be recorded in the
        time that the operators allow.
        """
        ...

    def forget(self, idempotency_key: str) -> None:
        """Drop the record of a request of which no attempt can have run. Never waits."""
        ...


class AttemptObserver(Protocol):
    """Sees the results of attempts, and bounds the age of copies beside the router; never raises, never blocks."""

    def attempt_ended(self, spec: AttemptRequest, result: AttemptResult, elapsed_ms: float) -> None:
        """An attempt that was sent, or that could not connect, has ended; ``elapsed_ms``: on the wire."""
        ...

    def purge_received(self, purge: PurgeReceived) -> None:
        """A purge has come."""
        ...

    def max_copy_age_ms(self, *backends: str) -> float:
        """How old a copy from these backends may be (inf: no limit)."""
        ...


@dataclass(slots=True)
class OptionalServices:
    """What the operators' files turn on beside the router; None where it is off."""

    quota_gate: QuotaGate | None = None
    observer: AttemptObserver | None = None
    sent_log: SentRequestLog | None = None
