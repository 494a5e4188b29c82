"""Check fencing tokens at the receiver of an act: a token lower than one accepted before is refused.

A lease alone can't stop a holder that is paused between checking the lease and acting, and acts after the lease has
expired. The fence refuses such a late act. This module does no I/O.

Source: M. Burrows, "The Chubby lock service", OSDI 2006 (sequencers); M. Kleppmann, "How to do distributed
locking", 2016.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_TASKS = 256


class FencingToken(NamedTuple):
    """A fencing token and the member that holds it."""

    token: int
    holder: str


class Fence:
    """The highest token accepted for each task, for at most ``MAX_TASKS`` tasks."""

    def __init__(self) -> None:
        """Start empty: after a restart, a receiver accepts any token as the first of a task."""
        self.highest: dict[str, FencingToken] = {}

    def accept(self, name: str, token: int, holder: str) -> bool:
        """Record ``token`` and return True if an act of ``holder`` under it may take effect.

        A token belongs to one holder for good: the highest token, too, is refused if another holder sends it.
        """
        highest = self.highest.get(name)
        if highest is None and len(self.highest) >= MAX_TASKS:
            return False
        highest_token, highest_holder = highest or FencingToken(0, "")
        if token < highest_token or (token == highest_token and highest_holder != holder):
            return False
        self.highest[name] = FencingToken(token, holder)
        return True
