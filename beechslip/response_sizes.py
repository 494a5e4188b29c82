"""Predicts how large the response to a request will be, from those that came before. Pure."""

from __future__ import annotations

from array import array

LARGEST_RESPONSE_BYTES = 240_000  # by the protocol; taken for classes of which nothing is known
SLOT_COUNT = 4_096  # objects whose size is remembered at most
SIZE_BITS = 18
SIZE_MASK = (1 << SIZE_BITS) - 1
KEY_MASK = (1 << 64) - 1 - SIZE_MASK
MEAN_WEIGHT = 0.1  # of the latest response in the mean of its class, and in the mean deviation


class SizeEstimate:
    """How large the responses of a class are: a smoothed mean, and how far from it they are in the mean.

    Before the first responses nothing is known, so the deviation starts at the largest size.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self, first_size: int) -> None:
        """Create an estimate from the first response."""
        self._mean = float(first_size)
        self._deviation = float(LARGEST_RESPONSE_BYTES)

    def update(self, size: int) -> None:
        """Note the size of another response."""
        self._deviation += MEAN_WEIGHT * (abs(size - self._mean) - self._deviation)
        self._mean += MEAN_WEIGHT * (size - self._mean)

    @property
    def expected_bytes(self) -> int:
        """A size that few responses exceed."""
        return min(int(self._mean + self._deviation), LARGEST_RESPONSE_BYTES)


class ResponseSizes:
    """The sizes of the latest responses, by object, and estimates by class. Sizes are in bytes of the body."""

    def __init__(self) -> None:
        """Create a table that knows no size."""
        # Each slot holds the upper bits of an object's hash and, in the lowest SIZE_BITS, the size of its response.
        self._slots = array("Q", bytes(8 * SLOT_COUNT))
        self._estimates: dict[str, SizeEstimate] = {}
        self._ratios: dict[str, float] = {}  # mean number of bytes for each stated KB

    def expected_bytes(self, class_name: str, object_name: str, part: int, size_kb: float = 0.0) -> int:
        """Return the size of the object's last response, or else what its class's responses let expect.

        ``size_kb`` is the size that the client has stated, in units of its own; 0 if it has not.
        """
        key = hash((class_name, object_name, part))
        entry = self._slots[key % SLOT_COUNT]
        if entry and (entry ^ key) & KEY_MASK == 0:
            return entry & SIZE_MASK
        ratio = self._ratios.get(class_name)
        if size_kb and ratio is not None:
            return min(int(ratio * size_kb), LARGEST_RESPONSE_BYTES)
        estimate = self._estimates.get(class_name)
        return LARGEST_RESPONSE_BYTES if estimate is None else estimate.expected_bytes

    def record(self, class_name: str, object_name: str, part: int, size: int, size_kb: float = 0.0) -> None:
        """Note the size of a response; ``size_kb`` is the one that its client had stated."""
        key = hash((class_name, object_name, part))
        self._slots[key % SLOT_COUNT] = (key & KEY_MASK) | min(size, SIZE_MASK)
        estimate = self._estimates.get(class_name)
        if estimate is None:
            self._estimates[class_name] = SizeEstimate(size)
        else:
            estimate.update(size)
        if size_kb:
            ratio = self._ratios.get(class_name, size / size_kb)
            self._ratios[class_name] = ratio + MEAN_WEIGHT * (size / size_kb - ratio)
