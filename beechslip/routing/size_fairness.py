"""Guaranteed minimum shares by size, at each stage at which requests are rejected for load.

Rejecting by density alone ends the same few requests for as long as an overload lasts: the largest of each
class, on every retry. Each class is divided into size bands, and each stage keeps a deficit counter for each
band, as in deficit round robin: a request adds the guaranteed part of its class's accepted share to the
counter, one that is accepted takes one off. While the counter is positive the band's next request is accepted
whatever its density.
"""

from __future__ import annotations

from collections import deque

from beechslip.routing.state import OpenRequest, SizeBand

GUARANTEED = 0.75  # of the class's accepted share, to each band
LARGEST = 0.1  # fraction of a class's requests that its first band holds
NEXT_LARGEST = 0.3  # the same of both bands
RECENT_SIZES = 100  # requests of a class by which the next one's band is found
SHARE_STEP = 0.05  # weight of one more request in the class's accepted share
MAX_DEFICIT = 2.0  # requests that a band may be owed: older ones are forgiven
MAX_CREDIT = 6.0  # requests that a band may be ahead


class SizeBands:
    """Owner of the recent sizes by class; finds the band of each new request."""

    def __init__(self) -> None:
        """Start with no request seen."""
        self._recent: dict[str, deque[float]] = {}  # transfer times by class, s

    def classify(self, request: OpenRequest) -> None:
        """Set the request's band, by the fraction of its class's recent requests that are larger."""
        recent = self._recent.setdefault(request.rule.name, deque(maxlen=RECENT_SIZES))
        recent.append(request.transfer_time)
        larger = sum(1 for other in recent if other > request.transfer_time)
        if larger < LARGEST * len(recent):
            request.band = SizeBand.LARGEST
        elif larger < NEXT_LARGEST * len(recent):
            request.band = SizeBand.NEXT_LARGEST


class GuaranteedShares:
    """The accepted shares and deficits of one stage; each request is to be decided on once."""

    def __init__(self) -> None:
        """Start as if all had been accepted, with nothing owed."""
        self._accepted_share: dict[str, float] = {}  # by class, of its recent requests
        self._deficit: dict[tuple[str, SizeBand], float] = {}

    def decide(self, request: OpenRequest, by_density: bool) -> bool:
        """Whether a request is accepted: by its density, or because its band is owed one."""
        name = request.rule.name
        share = self._accepted_share.get(name, 1.0)
        accepted = by_density
        if request.band is not SizeBand.REST:
            key = (name, request.band)
            deficit = self._deficit.get(key, 0.0) + GUARANTEED * share
            accepted = by_density or deficit > 0.0
            self._deficit[key] = min(max(deficit - accepted, -MAX_CREDIT), MAX_DEFICIT)
        self._accepted_share[name] = share + (accepted - share) * SHARE_STEP
        return accepted
