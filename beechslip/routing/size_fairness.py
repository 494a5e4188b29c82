"""Guaranteed minimum shares by size, over all stages that reject requests for load.

If requests were rejected by density alone, the same few would be rejected for as long as an overload lasts:
the largest of each class, on every retry. Therefore each class is divided into size bands with a deficit
counter each, as in deficit round robin. A request adds the guaranteed fraction of its class's served share to
the counter, and a request that is sent subtracts one, unless it is not served after all. While the counter is
positive, the next request of the band is accepted whatever its density.
"""

from __future__ import annotations

from collections import deque

from beechslip.routing.state import OpenRequest, SizeBand

GUARANTEED_FRACTION = 0.75  # of the class's served share, guaranteed to each band
LARGEST_BAND_FRACTION = 0.1  # fraction of a class's requests in its first band
LARGEST_TWO_BANDS_FRACTION = 0.3  # fraction of a class's requests in its first two bands
RECENT_SIZE_COUNT = 100  # recent requests of a class, among which the band of a new one is found
SHARE_UPDATE_WEIGHT = 0.05  # weight of a request that ends in the class's served share
MAX_DEFICIT = 4.0  # requests that a band may be owed; any beyond that are dropped
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


class ServedShares:
    """The served share of each class, and what its bands are owed of it.

    It is the only owner of this promise: if each stage guaranteed a fraction of what reaches it, the
    fractions would multiply.
    """

    def __init__(self) -> None:
        """Start as if all requests had been served, with deficits of 0."""
        self._served_share: dict[str, float] = {}  # by class, of its recent requests
        self._deficit: dict[tuple[str, SizeBand], float] = {}

    def record_arrival(self, request: OpenRequest) -> None:
        """Add the guaranteed fraction of a request to what its band is owed."""
        self._add(request, GUARANTEED_FRACTION * self._served_share.get(request.rule.name, 1.0))

    def record_sent(self, request: OpenRequest) -> None:
        """Count a request as served for its band when it is first sent."""
        if not request.is_charged:
            request.is_charged = True
            self._add(request, -1.0)

    def record_end(self, request: OpenRequest, is_served: bool) -> None:
        """Record the end of a request; one that was sent and not served is owed to its band again."""
        if is_served:
            self.record_sent(request)
        elif request.is_charged:
            self._add(request, 1.0)
        name = request.rule.name
        share = self._served_share.get(name, 1.0)
        self._served_share[name] = share + (is_served - share) * SHARE_UPDATE_WEIGHT

    def deficit(self, request: OpenRequest) -> float:
        """Return how many requests are owed to the request's band, beside itself if it has been sent."""
        return self._deficit.get((request.rule.name, request.band), 0.0) + request.is_charged

    def is_owed(self, request: OpenRequest) -> bool:
        """Return whether the request's band is owed a request."""
        return request.band is not SizeBand.REST and self.deficit(request) > 0.0

    def _add(self, request: OpenRequest, amount: float) -> None:
        if request.band is not SizeBand.REST:
            key = (request.rule.name, request.band)
            self._deficit[key] = min(max(self._deficit.get(key, 0.0) + amount, -MAX_CREDIT), MAX_DEFICIT)
