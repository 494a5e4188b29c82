"""Rendezvous hashing: the order of backends for a key, equal in all processes that know the same backends.

The score of a backend for a key is ``log(u) / weight``, where ``u`` is the hash of the pair as a number in
(0, 1). The backend with the highest score is the key's home (weighted rendezvous hashing). When a backend
leaves, only its own keys move. All hashes of a key are computed at once, as 64-bit values in the lanes
of one large integer.
"""

from __future__ import annotations

import math
import sys
from array import array
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from operator import truediv

MASK_64 = 0xFFFFFFFFFFFFFFFF  # 64 bits
FIRST_FACTOR = 0x9E3779B97F4A7C15  # odd and without a pattern: SplitMix64's increment
SECOND_FACTOR = 0xBF58476D1CE4E5B9  # odd and without a pattern: from SplitMix64's finalizer
FIRST_SHIFT = 29  # bits
SECOND_SHIFT = 32  # bits
LANE_BYTES = 16  # holds the product of two 64-bit numbers


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is equal in all processes and at all proxies, unlike ``hash()``."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def hash_to_unit(key: int, salt: int) -> float:
    """Hash a pair of 64-bit numbers to (0, 1), uniformly over the keys for each salt."""
    value = ((key ^ salt) * FIRST_FACTOR) & MASK_64
    value = ((value ^ (value >> FIRST_SHIFT)) * SECOND_FACTOR) & MASK_64
    return to_unit_interval(value ^ (value >> SECOND_SHIFT))


def to_unit_interval(value: int) -> float:
    """Map a 64-bit number to the middle of one of 2**64 steps in (0, 1), so that its logarithm exists."""
    return (value + 0.5) / 2.0**64


class RendezvousOrder:
    """Ranks a fixed sequence of members for any key, by their salts and weights (above 0)."""

    def __init__(self, salts: Sequence[int], weights: Sequence[float]) -> None:
        """Create the order; salts are 64-bit hashes of the members' names, and weights are relative."""
        self._count = len(salts)
        self._weights = None if len(set(weights)) <= 1 else list(weights)
        lanes = b"".join(salt.to_bytes(LANE_BYTES, "little") for salt in salts)
        self._salts = int.from_bytes(lanes, "little")
        self._lane_ones = int.from_bytes((1).to_bytes(LANE_BYTES, "little") * self._count, "little")
        self._lane_masks = self._lane_ones * MASK_64  # the lower half of each lane

    def ranked_positions(self, key: int) -> Iterator[int]:
        """Yield positions in the sequence, best first. All but the first are sorted only when requested."""
        if not self._count:
            return
        scores = self._scores(key)
        first = scores.index(max(scores))
        yield first
        for position in sorted(range(self._count), key=scores.__getitem__, reverse=True):
            if position != first:
                yield position

    def _scores(self, key: int) -> Sequence[float]:
        """Return the members' scores for a key.

        With equal weights these are the hashes themselves, which have the same order as their logarithms.
        """
        hashes = self._hashes(key)
        if self._weights is None:
            return hashes
        return list(map(truediv, map(math.log, map(to_unit_interval, hashes)), self._weights))

    def _hashes(self, key: int) -> array[int]:
        """Return the hash of the key with each salt, as ``hash_to_unit`` computes it, but as integers.

        The masks keep the lanes from affecting one another.
        """
        value = ((self._salts ^ (key * self._lane_ones)) * FIRST_FACTOR) & self._lane_masks
        value = ((value ^ ((value >> FIRST_SHIFT) & self._lane_masks)) * SECOND_FACTOR) & self._lane_masks
        value ^= (value >> SECOND_SHIFT) & self._lane_masks
        lanes = array("Q", value.to_bytes(LANE_BYTES * self._count, "little"))
        if sys.byteorder == "big":
            lanes.byteswap()
        return lanes[::2]
