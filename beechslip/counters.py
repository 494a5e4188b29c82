"""Counters of what the proxy receives, sends and answers. They are logged on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter


class Counters:
    """A set of named counters.

    A name is ``event`` or ``event.result``, for example ``taken``, ``answered.served`` or ``attempt.timeout``.
    """

    def __init__(self) -> None:
        """Start with every counter at 0."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter, which need not exist yet."""
        self._counts[name] += amount

    def __getitem__(self, name: str) -> int:
        """Return the value of a counter; 0 if nothing was ever added to it."""
        return self._counts[name]

    def counts(self) -> dict[str, int]:
        """Return the values of all counters, sorted by name."""
        return dict(sorted(self._counts.items()))

    def format_line(self) -> str:
        """Return all counters in one line, as ``counters NAME=COUNT ...``."""
        return "counters " + " ".join(f"{name}={count}" for name, count in self.counts().items())
