"""Injected faults of the routing decisions."""

from __future__ import annotations

import secrets
from collections.abc import Iterator

from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.state import Backend, OpenRequest
from lab.injected_faults import Patch, register

SALT_BITS = 60


def _hash_per_proxy() -> list[Patch]:
    """Each proxy ranks parents by an order of its own, so that an object's fills meet at several."""

    def ranked_parents(self: EndpointTable, request: OpenRequest) -> Iterator[Backend]:
        salt = self.__dict__.setdefault("own_salt", secrets.randbits(SALT_BITS))
        places = self.parent_order.ranked_positions(request.source_key ^ salt)
        return (self.parents[place] for place in places)

    return [Patch(EndpointTable, "ranked_parents", ranked_parents)]


register("own-hash", "routing", "parents are hashed by each proxy alone", _hash_per_proxy)
