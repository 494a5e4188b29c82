"""Infection-style dissemination (SWIM 4.1): each update is piggybacked on a bounded number of messages."""

from __future__ import annotations

import math
from typing import NamedTuple

from beechslip.fleet.messages import MemberUpdate


class _Queued(NamedTuple):
    update: MemberUpdate
    transmissions_left: int


class UpdateQueue:
    """The updates to send, at most one for each member."""

    def __init__(self, retransmit_factor: float) -> None:
        """In a fleet of n members, each update is sent about ``retransmit_factor * log2(n + 1)`` times."""
        self._retransmit_factor = retransmit_factor
        self._queue: dict[str, _Queued] = {}

    def __bool__(self) -> bool:
        """True if an update is queued."""
        return bool(self._queue)

    def add(self, update: MemberUpdate, members: int) -> None:
        """Queue ``update`` for a fleet of ``members``, in place of an older one about the same member."""
        transmissions_left = max(1, math.ceil(self._retransmit_factor * math.log2(members + 1)))
        self._queue[update.member] = _Queued(update, transmissions_left)

    def add_once(self, update: MemberUpdate) -> None:
        """Queue ``update`` for a single transmission, in place of an older one about the same member."""
        self._queue[update.member] = _Queued(update, 1)

    def add_if_absent(self, update: MemberUpdate) -> None:
        """Queue ``update`` for a single transmission unless one about the same member is queued."""
        if update.member not in self._queue:
            self.add_once(update)

    def discard(self, member: str) -> None:
        """Drop the queued update about ``member``."""
        self._queue.pop(member, None)

    def take(self, to: str, max_updates: int) -> tuple[MemberUpdate, ...]:
        """Return up to ``max_updates`` updates for a message to ``to``, and count them as transmitted.

        The update about ``to`` itself comes first, then those that were sent the least often.
        """
        ordered = sorted(self._queue.items(), key=lambda item: (item[0] != to, -item[1].transmissions_left))
        chosen = ordered[:max_updates]
        for name, queued in chosen:
            if queued.transmissions_left <= 1:
                del self._queue[name]
            else:
                self._queue[name] = queued._replace(transmissions_left=queued.transmissions_left - 1)
        return tuple(queued.update for _, queued in chosen)
