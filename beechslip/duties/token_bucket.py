"""A token bucket that bounds the rate and the burst at which duties are started."""

from __future__ import annotations

MS_PER_S = 1000.0


class TokenBucket:
    """A token bucket that begins full. Times are steady ms given by the caller."""

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """``rate_per_s`` tokens are added per second, up to ``burst`` in the bucket."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_ms = now_ms

    def refill(self, now_ms: float) -> None:
        """Add the tokens earned since the last call. A clock that went back adds none."""
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._tokens = min(self._burst, self._tokens + elapsed_ms / MS_PER_S * self._rate_per_s)
        self._refilled_ms = now_ms

    def take(self) -> bool:
        """Take one token if there is one, and return whether there was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
