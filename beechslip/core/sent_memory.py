"""Which requests may have run, by id or by key, also after their clients have left. Pure.

A class that may run once knows its requests by their ids, a keyed class by the clients' keys. An entry is made with
the first byte of an attempt, and withdrawn if the attempt proves not to have run. The table has a bound. An entry
that a repeat could still follow is never dropped for another: when the table is full of these, further requests of
such classes have to be refused. Older entries are kept while there is room.
"""

from __future__ import annotations

from beechslip.clock import to_ms
from beechslip.core.requests import OpenRequest
from beechslip.routing.interface import Settings

ENTRY_BYTES = 160  # memory of an entry: its hash, its time and its place in the table
DEFAULT_ROOM_BYTES = 16_000_000  # without a memory budget
KEPT_MS = 600_000.0  # after this time an entry is dropped in any case
UNLIMITED_WAIT_MS = 60_000.0  # the longest wait that a client may ask for, for classes without a deadline


class SentRequestMemory:
    """When requests were first sent. Times are in ms of ``Clock.now_ms``."""

    def __init__(self, settings: Settings, room_bytes: int = DEFAULT_ROOM_BYTES) -> None:
        """Create an empty table that may take ``room_bytes`` of memory."""
        self._max_entries = room_bytes // ENTRY_BYTES
        self._first_sent_ms: dict[int, float] = {}  # by hash, the oldest first
        # The attempts in flight whose entry can be withdrawn, as no other attempt relies on it.
        self._only_senders: dict[int, object] = {}
        self._binding_ms = 0.0
        self.retune(settings)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._first_sent_ms)

    def retune(self, settings: Settings) -> None:
        """Use new settings. They say for how long an entry must be kept: a repeat could be sent by mistake."""
        self._binding_ms = max(
            (
                to_ms(rule.window) + 2.0 * (to_ms(rule.deadline) or UNLIMITED_WAIT_MS)
                for rule in settings.classes.values()
                if rule.effect != "safe"
            ),
            default=0.0,
        )

    @staticmethod
    def key_of(request: OpenRequest) -> int | None:
        """Return the hash under which a request is known; ``None`` if it may run any number of times."""
        if request.rule is None or request.rule.effect == "safe":
            return None
        client_request = request.client_request
        if request.rule.effect == "keyed":
            return hash(("key", client_request.idempotency_key))
        return hash(("id", client_request.id))

    def first_sent_ms(self, key: int) -> float | None:
        """Return when a request was first sent; ``None`` if it is not known to have been sent."""
        return self._first_sent_ms.get(key)

    def is_full(self, now_ms: float) -> bool:
        """Return True if no further request may be sent, because it could not be remembered."""
        if len(self._first_sent_ms) < self._max_entries:
            return False
        oldest_ms = next(iter(self._first_sent_ms.values()))
        return now_ms - oldest_ms <= self._binding_ms

    def record(self, key: int, sender: object, now_ms: float) -> None:
        """Note that the attempt ``sender`` sends its first byte now."""
        if key in self._first_sent_ms:
            self._only_senders.pop(key, None)
            return
        self._drop_old_entries(now_ms)
        self._first_sent_ms[key] = now_ms
        self._only_senders[key] = sender

    def _drop_old_entries(self, now_ms: float) -> None:
        while self._first_sent_ms:
            oldest_key, oldest_ms = next(iter(self._first_sent_ms.items()))
            age_ms = now_ms - oldest_ms
            is_superfluous = len(self._first_sent_ms) >= self._max_entries and age_ms > self._binding_ms
            if age_ms <= KEPT_MS and not is_superfluous:
                return
            del self._first_sent_ms[oldest_key]
            self._only_senders.pop(oldest_key, None)

    def attempt_ended(self, key: int, sender: object, *, may_have_run: bool) -> None:
        """Note the end of an attempt. If it has not run, and none besides it was sent, the request was never sent."""
        if self._only_senders.get(key) is not sender:
            return
        del self._only_senders[key]
        if not may_have_run:
            del self._first_sent_ms[key]
