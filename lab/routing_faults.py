"""Injected faults of routing decisions."""

from __future__ import annotations

import secrets
from collections.abc import Iterator

from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.state import Backend, OpenRequest
from lab.injected_faults import Patch, register

HASH_SALT_BITS = 60


def _hash_per_proxy() -> list[Patch]:
    """Rank the parents by a hash of each proxy's own, so that an object is filled through several parents."""

    def ranked_parents(self: EndpointTable, request: OpenRequest) -> Iterator[Backend]:
        salt = self.__dict__.setdefault("own_salt", secrets.randbits(HASH_SALT_BITS))
        ranked_indices = self.parent_order.ranked_positions(request.source_key ^ salt)
        return (self.parents[index] for index in ranked_indices)

    return [Patch(EndpointTable, "ranked_parents", ranked_parents)]


register("own-hash", "routing", "each proxy ranks the parents by its own hash", _hash_per_proxy)
