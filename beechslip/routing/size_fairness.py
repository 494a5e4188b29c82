"""Guaranteed minimum shares by size, at each stage that rejects requests for load.

If requests were rejected by density alone, the same few would be rejected for as long as an overload lasts:
the largest of each class, on every retry. Therefore each class is divided into size bands, and each stage
keeps a deficit counter for each band, as in deficit round robin. A request adds the guaranteed fraction of
its class's accepted share to the counter, and a request that is accepted subtracts one. While the counter is
positive, the next request of the band is accepted whatever its density.
"""

from __future__ import annotations

from collections import deque

from beechslip.routing.state import OpenRequest, SizeBand

GUARANTEED_FRACTION = 0.75  # of the class's accepted share, guaranteed to each band
LARGEST_BAND_FRACTION = 0.1  # fraction of a class's requests in its first band
LARGEST_TWO_BANDS_FRACTION = 0.3  # fraction of a class's requests in its first two bands
RECENT_SIZE_COUNT = 100  # recent requests of a class, among which the band of a new one is found
SHARE_UPDATE_WEIGHT = 0.05  # weight of a new request in the class's accepted share
MAX_DEFICIT = 2.0  # requests that a band may be owed; any beyond that are dropped
MAX_CREDIT = 6.0  # requests by which a band may be ahead of its guaranteed share


class SizeBandClassifier:
    """Owns the recent sizes by class and assigns each new request to a band."""

    def __init__(self) -> None:
        """Create a classifier with no recent requests."""
        self._recent: dict[str, deque[float]] = {}  # transfer times by class, s

    def classify(self, request: OpenRequest) -> None:
        """Set the request's band by the fraction of its class's recent requests that are larger."""
        recent = self._recent.setdefault(request.rule.name, deque(maxlen=RECENT_SIZE_COUNT))
        recent.append(request.transfer_time)
        larger = sum(1 for other in recent if other > request.transfer_time)
        if larger < LARGEST_BAND_FRACTION * len(recent):
            request.band = SizeBand.LARGEST
        elif larger < LARGEST_TWO_BANDS_FRACTION * len(recent):
            request.band = SizeBand.NEXT_LARGEST


class GuaranteedShares:
    """The accepted shares and deficit counters of one stage; it must decide on each request only once."""

    def __init__(self) -> None:
        """Start as if all requests had been accepted, with deficits of 0."""
        self._accepted_share: dict[str, float] = {}  # by class, of its recent requests
        self._deficit: dict[tuple[str, SizeBand], float] = {}

    def deficit(self, request: OpenRequest) -> float:
        """Return how many requests are owed to the request's band."""
        return self._deficit.get((request.rule.name, request.band), 0.0)

    def decide(self, request: OpenRequest, is_accepted_by_density: bool) -> bool:
        """Return whether a request is accepted, by its density or because its band is owed one."""
        name = request.rule.name
        share = self._accepted_share.get(name, 1.0)
        is_accepted = is_accepted_by_density
        if request.band is not SizeBand.REST:
            key = (name, request.band)
            deficit = self._deficit.get(key, 0.0) + GUARANTEED_FRACTION * share
            is_accepted = is_accepted_by_density or deficit > 0.0
            self._deficit[key] = min(max(deficit - is_accepted, -MAX_CREDIT), MAX_DEFICIT)
        self._accepted_share[name] = share + (is_accepted - share) * SHARE_UPDATE_WEIGHT
        return is_accepted
