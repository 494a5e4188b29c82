"""The memory of the process: one budget, divided into rooms that each have a limit.

Whoever keeps bytes that others decide on (clients, backends, the change log) holds a charge in a room for them. A
room that is full asks its holders to stop reading, and has new ones wait for space in the order in which they came.
Those that have held their bytes for too long are ended, so that slow senders do not keep quick ones out; a holder may
decide by itself whether it is one of them. Pure: times come in as arguments.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass

from beechslip.counters import Counters
from beechslip.response_overlap import ResponseOverlap

BYTES_PER_MB = 1 << 20
# The part of the limit that is kept free: for the interpreter's own bookkeeping, fragments and what is copied.
RESERVE_FRACTION = 0.1
CONNECTION_BYTES = 5_120  # an open connection without any request: its socket, transport and state
RESUME_BYTES = 16_384  # what a waiting reader needs that can't tell
SMALL_BYTES = 16_384  # reservations up to this size have a part of their room to themselves


@dataclass(frozen=True, slots=True)
class RoomPlan:
    """What a room may hold.

    ``share`` is its part of the available memory, ``least_bytes`` its limit at least, and ``most_bytes`` at most.
    ``patience_ms`` is how long a holder that does not decide by itself may keep its bytes while the room is full.
    ``waits`` if its readers can wait for memory that other rooms hold. ``small_share`` is the part of the room that
    only small reservations may take.
    """

    name: str
    share: float
    least_bytes: int
    patience_ms: float
    most_bytes: int = 1 << 40
    waits: bool = False
    small_share: float = 0.0


# Requests that clients have sent in part or whole, until they are answered.
REQUESTS = RoomPlan("requests", 0.3, 512 * 1024, 1_000.0, waits=True)
# Responses, from their head until their clients have taken their last byte.
RESPONSES = RoomPlan("responses", 0.5, 512 * 1024, 1_000.0, waits=True, small_share=1 / 16)
# What the responses to requests in progress are expected to take, and from their heads on what they do take. These
# reservations take no memory.
EXPECTED_RESPONSES = RoomPlan("expected_responses", 0.0, 0, 1_000.0, small_share=1 / 16)
# Events of the change log that are being received.
EVENTS = RoomPlan("events", 0.1, 512 * 1024, 0.0, 8 * BYTES_PER_MB)
# The hashes of requests that may have run; their owner bounds them by itself.
SENT_REQUESTS = RoomPlan("sent_requests", 0.05, 256 * 1024, 0.0)


class MemoryTotal:
    """What all rooms hold together, and may hold. Only rooms whose readers can wait stop at the limit."""

    def __init__(self) -> None:
        """Create a total without a limit."""
        self.held_bytes = 0
        self.limit_bytes = sys.maxsize
        self.rooms: list[MemoryRoom] = []

    @property
    def free_bytes(self) -> int:
        """The bytes below the limit; negative above it."""
        return self.limit_bytes - self.held_bytes

    def resume_waiters(self, released: MemoryRoom | None = None) -> None:
        """Resume those who wait for memory, because ``released`` has given some back or the limit has changed."""
        if released is not None:
            released.resume_waiters()
        for room in self.rooms:
            if room is not released:
                room.resume_waiters()


class MemoryCharge:
    """The bytes that one holder keeps in a room. The holder sets the amount, and closes the charge when it is done.

    A charge may pass from holder to holder (``hand_over``) with the bytes that it stands for.
    """

    __slots__ = (
        "_is_reservation_settled",
        "_room",
        "amount",
        "end",
        "is_closed",
        "may_end",
        "on_wait",
        "reservation",
        "since_ms",
    )

    def __init__(self, room: MemoryRoom, end: Callable[[], None] | None = None) -> None:
        """Create an empty charge.

        ``end`` makes its holder give up the bytes, which sets the amount to 0; ``None`` if they must be kept.
        """
        self._room = room
        self.end = end
        self.may_end: Callable[[float], bool] | None = None  # the holder's decision; None: by the room's patience
        self.on_wait: Callable[[], None] | None = None  # called when its holder can't read on before it has memory
        self.reservation: MemoryCharge | None = None  # of what the holder is expected to keep
        self._is_reservation_settled = False  # it is what the holder does keep, as that is known
        self.is_closed = False
        self.amount = 0
        self.since_ms = 0.0  # when the holder began to keep the bytes

    def set(self, amount: int, now_ms: float) -> None:
        """Set the number of bytes that the holder keeps from now on. No effect on a closed charge."""
        if amount != self.amount and not self.is_closed:
            self._room.change(self, amount, now_ms)
            if self._is_reservation_settled and self.reservation is not None:
                self.reservation.set(amount, now_ms)

    def acquire(
        self,
        amount: int,
        now_ms: Callable[[], float],
        granted: Callable[[], None],
    ) -> bool:
        """Set the amount as soon as the room has space for it; see ``MemoryRoom.acquire``."""
        return self._room.acquire(self, amount, now_ms, granted)

    def cancel_wait(self, granted: Callable[[], None]) -> None:
        """Wait no longer for what ``acquire`` was to grant. No effect if that is not awaited."""
        self._room.cancel_wait(granted)

    def reserve(self, amount: int, now_ms: float) -> bool:
        """Set the amount to what the holder is going to keep, if the room has space for it. Return whether it has."""
        if amount - self.amount > self._room.free_bytes:
            return False
        self.set(amount, now_ms)
        return True

    def hand_over(
        self, end: Callable[[], None] | None, now_ms: float, may_end: Callable[[float], bool] | None = None
    ) -> None:
        """Give the charge to another holder, which is ended by ``end`` if ``may_end`` says that this is allowed now.

        Without ``may_end`` the room's patience decides; without ``end`` the bytes must be kept.
        """
        if self.is_closed:
            return
        self.end = end
        self.may_end = may_end
        self._room.holder_changed(self, now_ms)

    def keep_reservation(self, amount: int, now_ms: float) -> None:
        """Keep the reservation until the charge is closed, as the ``amount`` that it stands for has begun to come."""
        if self.reservation is not None:
            self.reservation.hand_over(None, now_ms)
            self.reservation.set(amount, now_ms)

    def settle_reservation(self, now_ms: float) -> None:
        """Keep the reservation, which is from now on the amount of this charge."""
        if self.reservation is not None and not self._is_reservation_settled:
            self._is_reservation_settled = True
            self.keep_reservation(self.amount, now_ms)

    def close(self, now_ms: float) -> None:
        """Give up the bytes for good, and the reference to the holder, which is gone."""
        reservation, self.reservation = self.reservation, None
        self.set(0, now_ms)
        self.is_closed = True
        if reservation is not None:
            reservation.close(now_ms)
        self.end = self.may_end = self.on_wait = None


@dataclass(slots=True)
class _Waiter:
    """One that waits for space: ``resume`` is called when there is, and charges what was needed.

    ``charge`` is what it holds already, if the room knows of it.
    """

    needed_bytes: int
    resume: Callable[[], None]
    charge: MemoryCharge | None = None


class MemoryRoom:
    """A part of the memory budget. Its limit may be exceeded by what has been read already."""

    def __init__(
        self, plan: RoomPlan, limit_bytes: int, counters: Counters, total: MemoryTotal | None = None
    ) -> None:
        """Create an empty room, whose bytes count to ``total``."""
        self.name = plan.name
        self._total = total or MemoryTotal()
        self._total.rooms.append(self)
        self._waits = plan.waits
        self._least_bytes = plan.least_bytes
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self._patience_ms = plan.patience_ms
        self._counters = counters
        self._small_bytes = int(limit_bytes * plan.small_share)  # that only small reservations may take
        self._small_held_bytes = 0  # of charges up to SMALL_BYTES
        self._endable: dict[MemoryCharge, None] = {}  # charges that can be ended, the oldest first
        # In the order in which they came. Those of ``_small_waiters``, who need little, go before the others.
        self._small_waiters: dict[Callable[[], None], _Waiter] = {}
        self._waiters: dict[Callable[[], None], _Waiter] = {}

    @property
    def is_full(self) -> bool:
        """True if no more bytes should be read."""
        return not self.free_bytes

    @property
    def free_bytes(self) -> int:
        """The bytes that the room may still take: below its own limit, and below the total or its least size."""
        return self._free_within_total(self.limit_bytes - self.held_bytes)

    @property
    def small_free_bytes(self) -> int:
        """The bytes that small reservations may still take: they have a part to themselves, however full the rest."""
        return max(self.free_bytes, self._free_within_total(self._small_bytes - self._small_held_bytes))

    def _free_within_total(self, own_bytes: int) -> int:
        """Return what may be taken of ``own_bytes``, which are free by the room's own limits."""
        if self._waits:
            own_bytes = min(own_bytes, max(self._total.free_bytes, self._least_bytes - self.held_bytes))
        return max(own_bytes, 0)

    def change(self, charge: MemoryCharge, amount: int, now_ms: float) -> None:
        """Set the amount of a charge; holders use ``MemoryCharge.set``."""
        if not charge.amount:
            charge.since_ms = now_ms
            if charge.end is not None:
                self._endable[charge] = None
        elif not amount:
            self._endable.pop(charge, None)
        grows = amount > charge.amount
        self.held_bytes += amount - charge.amount
        self._total.held_bytes += amount - charge.amount
        self._small_held_bytes += _small_part(amount) - _small_part(charge.amount)
        charge.amount = amount
        if not grows:
            self._total.resume_waiters(self)
        elif self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def holder_changed(self, charge: MemoryCharge, now_ms: float) -> None:
        """Note that a charge has another holder; holders use ``MemoryCharge.hand_over``."""
        self._endable.pop(charge, None)
        charge.since_ms = now_ms
        if charge.amount and charge.end is not None:
            self._endable[charge] = None

    def acquire(
        self,
        charge: MemoryCharge,
        amount: int,
        now_ms: Callable[[], float],
        granted: Callable[[], None],
    ) -> bool:
        """Set a charge to ``amount`` and return True if there is space, and nobody waits for it.

        Otherwise return False: the amount is set, and ``granted`` called, as soon as there is space for it and for
        those who came before. ``cancel_wait(granted)`` ends the wait. Small reservations go before others.
        """
        added_bytes = amount - charge.amount
        if added_bytes <= SMALL_BYTES:
            waiters, needed_bytes, free_bytes = self._small_waiters, added_bytes, self.small_free_bytes
            is_next = not self._small_waiters
        else:
            waiters, needed_bytes, free_bytes = self._waiters, added_bytes + self._small_bytes, self.free_bytes
            is_next = not self._small_waiters and not self._waiters
        if needed_bytes <= free_bytes and is_next:
            charge.set(amount, now_ms())
            return True

        def grant() -> None:
            charge.set(max(amount, charge.amount), now_ms())
            charge.since_ms = now_ms()  # it could not go on before
            granted()

        self._counters.add(f"memory.{self.name}.waits")
        waiters[granted] = _Waiter(min(needed_bytes, self._least_bytes or self.limit_bytes), grant, charge)
        return False

    def wait(
        self, resume: Callable[[], None], needed_bytes: int = RESUME_BYTES, charge: MemoryCharge | None = None
    ) -> None:
        """Call ``resume`` once, when the room has space for ``needed_bytes`` and for those who came before.

        ``charge`` is what the one that waits holds already.
        """
        self._counters.add(f"memory.{self.name}.waits")
        self._waiters[resume] = _Waiter(min(needed_bytes, self._least_bytes or self.limit_bytes), resume, charge)

    def cancel_wait(self, waiter: Callable[[], None]) -> None:
        """Forget a waiter, whose holder has gone. No effect if it does not wait."""
        waiters = self._small_waiters if waiter in self._small_waiters else self._waiters
        if waiters.pop(waiter, None) is not None:
            self.resume_waiters()  # those behind it may need less

    def resume_waiters(self) -> None:
        """Resume those who wait, in the order in which they came, as far as there is space."""
        planned_bytes = 0  # of waiters that were resumed and have not charged what they need yet
        while waiters := self._small_waiters or self._waiters:
            key, waiter = next(iter(waiters.items()))
            free_bytes = self._free_bytes_of(waiters)
            if free_bytes < planned_bytes + waiter.needed_bytes:
                return
            del waiters[key]
            waiter.resume()
            planned_bytes += max(waiter.needed_bytes - (free_bytes - self._free_bytes_of(waiters)), 0)

    def _free_bytes_of(self, waiters: dict[Callable[[], None], _Waiter]) -> int:
        return self.small_free_bytes if waiters is self._small_waiters else self.free_bytes

    @property
    def _is_short(self) -> bool:
        """True if the room is at its own limit, or has no space below it for the one that has waited longest."""
        own_bytes = self.limit_bytes - self.held_bytes
        next_waiter = next(iter((self._small_waiters or self._waiters).values()), None)
        return own_bytes <= 0 or (next_waiter is not None and own_bytes < next_waiter.needed_bytes)

    def relieve(self, now_ms: float) -> None:
        """End holders that keep a full room from others for too long, and resume waiters if there is space."""
        self.end_oldest(now_ms)
        self.resume_waiters()

    def end_oldest(self, now_ms: float) -> None:
        """While the room is short, end holders whose time is over, the oldest first.

        Holders that wait for more of this room are ended only if all of it is theirs, as none of them can go on then.
        """
        if not self._is_short:
            return
        waiting = self.waiting_charges()
        for charge in list(self._endable):
            if not self._is_short:
                return
            if charge.end is None or charge not in self._endable or not self._is_over(charge, now_ms):
                continue
            if charge in waiting and self.held_bytes > sum(holder.amount for holder in waiting):
                continue
            self._counters.add(f"memory.{self.name}.ended")
            charge.end()
            waiting = self.waiting_charges()
            if charge.amount:  # a holder that could not give up its bytes is not asked again
                self._endable.pop(charge, None)

    @property
    def self_deciding_bytes(self) -> int:
        """What is held by those who decide by themselves whether they may be ended."""
        return sum(charge.amount for charge in self._endable if charge.may_end is not None)

    def waiting_charges(self) -> set[MemoryCharge]:
        """Return the charges whose holders wait for more of this room."""
        waiters = (*self._small_waiters.values(), *self._waiters.values())
        return {waiter.charge for waiter in waiters if waiter.charge is not None}

    def _is_over(self, charge: MemoryCharge, now_ms: float) -> bool:
        if charge.may_end is not None:
            return charge.may_end(now_ms)
        return now_ms - charge.since_ms >= self._patience_ms


def _small_part(amount: int) -> int:
    """Return what an amount adds to the small reservations."""
    return amount if amount <= SMALL_BYTES else 0


class MemoryBudget:
    """Owns the memory of the process: its limit, and the rooms that the limit is divided into."""

    def __init__(self, limit_mb: float, floor_bytes: int, max_connections: int, counters: Counters) -> None:
        """Divide what ``limit_mb`` leaves.

        ``floor_bytes`` is the process's resident memory before it serves, ``max_connections`` the number of
        connections of clients and to backends that it may hold.
        """
        self.limit_bytes = int(limit_mb * BYTES_PER_MB)
        reserved = int(self.limit_bytes * RESERVE_FRACTION) + max_connections * CONNECTION_BYTES
        self.available_bytes = max(self.limit_bytes - floor_bytes - reserved, 0)
        self._counters = counters
        self.total = MemoryTotal()
        self.requests = self._create_room(REQUESTS)
        self.responses = self._create_room(RESPONSES)
        self._overlap = ResponseOverlap()
        expected_bytes = int(self.responses.limit_bytes * self._overlap.factor)
        self.expected_responses = MemoryRoom(EXPECTED_RESPONSES, expected_bytes, counters)
        self.events = self._create_room(EVENTS)
        self.sent_requests = self._create_room(SENT_REQUESTS)
        self.rooms = (self.requests, self.responses, self.events, self.sent_requests)

    def _create_room(self, plan: RoomPlan) -> MemoryRoom:
        limit_bytes = max(int(self.available_bytes * plan.share), plan.least_bytes)
        return MemoryRoom(plan, min(limit_bytes, plan.most_bytes), self._counters, self.total)

    def set_total_limit(self, limit_bytes: int) -> None:
        """Set what all rooms may hold together: less than their limits in sum while other processes need the rest."""
        self.total.limit_bytes = limit_bytes
        self.total.resume_waiters()

    def relieve(self, now_ms: float) -> None:
        """Relieve all rooms; to be called regularly."""
        self._update_expected_responses()
        for room in (*self.rooms, self.expected_responses):
            room.relieve(now_ms)

    def _update_expected_responses(self) -> None:
        """Let as many responses be in progress as the times of backends and of clients permit."""
        waiting = self.responses.waiting_charges()
        waiting_bytes = sum(charge.reservation.amount for charge in waiting if charge.reservation is not None)
        delivered_bytes = self.responses.self_deciding_bytes
        with_backends_bytes = max(self.expected_responses.held_bytes - delivered_bytes - waiting_bytes, 0)
        self._overlap.add_sample(with_backends_bytes, delivered_bytes)
        self.expected_responses.limit_bytes = int(self.responses.limit_bytes * self._overlap.factor)

    def describe(self) -> str:
        """Return the rooms with what they hold, held at most, and may hold, in KB, for the log."""
        rooms = " ".join(
            f"{room.name}={room.held_bytes >> 10}/{room.peak_bytes >> 10}/{room.limit_bytes >> 10}"
            for room in self.rooms
        )
        if self.total.limit_bytes == sys.maxsize:
            return rooms
        return f"{rooms} total={self.total.held_bytes >> 10}/{self.total.limit_bytes >> 10}"


def unlimited_budget(counters: Counters) -> MemoryBudget:
    """Return a budget that is far larger than any test needs."""
    return MemoryBudget(16_384.0, 0, 0, counters)
