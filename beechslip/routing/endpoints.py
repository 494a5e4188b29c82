"""The endpoint list as known to this proxy: the zone's caches, the parents, the origin and their order."""

from __future__ import annotations

from collections.abc import Iterator

from beechslip.routing import interface as i
from beechslip.routing.context import RoutingContext
from beechslip.routing.placement import RendezvousOrder
from beechslip.routing.state import Backend, OpenRequest


class EndpointTable:
    """Owns the backend records, by name, and the lists of backends that can be used now."""

    def __init__(self, context: RoutingContext) -> None:
        """Create a table with no backends."""
        self._context = context
        self.backends: dict[str, Backend] = {}
        self._relevant: dict[str, Backend] = {}  # the zone's caches, the parents and the origin
        self.caches: list[Backend] = []
        self.parents: list[Backend] = []
        self.cache_set: set[Backend] = set()
        self.parent_set: set[Backend] = set()
        self.origin: Backend | None = None
        self.cache_order = RendezvousOrder((), ())
        self.parent_order = RendezvousOrder((), ())

    def apply(self, update: i.EndpointList) -> None:
        """Apply an update of the list: a draining or removed backend gets no new attempts from now on."""
        if update.kind != "changes":
            listed = {entry.backend for entry in update.entries}
            self.backends = {name: backend for name, backend in self.backends.items() if name in listed}
        any_relevant = False
        for entry in update.entries:
            any_relevant = self._apply_entry(entry) or any_relevant
        if any_relevant or update.kind != "changes":
            self._rebuild_orders()

    def apply_settings(self) -> None:
        """Classify all backends again after a change of settings, which include the zone and the kinds."""
        self._relevant = {
            name: backend for name, backend in self.backends.items() if self._is_relevant(backend.entry)
        }
        self._rebuild_orders()

    def ranked_caches(self, request: OpenRequest) -> Iterator[Backend]:
        """Return the caches in rendezvous order for a copy.

        All proxies that know the same caches find the same order.
        """
        return (self.caches[position] for position in self.cache_order.ranked_positions(request.copy_key))

    def ranked_parents(self, request: OpenRequest) -> Iterator[Backend]:
        """Return the parents in rendezvous order for an object's fills, equal in all zones."""
        return (self.parents[position] for position in self.parent_order.ranked_positions(request.source_key))

    def _apply_entry(self, entry: i.Endpoint) -> bool:
        """Apply one entry; return whether it concerns the zone's caches, the parents or the origin."""
        known = self.backends.get(entry.backend)
        if entry.state == "gone":
            self.backends.pop(entry.backend, None)
            return self._relevant.pop(entry.backend, None) is not None
        if known is None:
            known = Backend(entry, self._context.now)
            self.backends[entry.backend] = known
        else:
            if entry.started > known.entry.started:
                known.reset_health()
            known.started_at = max(known.started_at, entry.started)
            known.entry = entry
        was_relevant = self._relevant.pop(entry.backend, None) is not None
        if self._is_relevant(entry):
            self._relevant[entry.backend] = known
        return was_relevant or entry.backend in self._relevant

    def _is_relevant(self, entry: i.Endpoint) -> bool:
        settings = self._context.settings
        return entry.zone == settings.zone or (
            bool(entry.kind) and entry.kind in (settings.parent_kind, settings.origin_kind)
        )

    def _rebuild_orders(self) -> None:
        """Rebuild the lists of usable backends and their rendezvous orders."""
        settings = self._context.settings
        parent_kind = settings.parent_kind
        origin_kind = settings.origin_kind
        self._relevant = {
            name: backend for name, backend in self._relevant.items() if self.backends.get(name) is backend
        }
        ordered = [self._relevant[name] for name in sorted(self._relevant)]
        self.parents = [b for b in ordered if parent_kind and b.entry.kind == parent_kind]
        self.origin = next((b for b in ordered if origin_kind and b.entry.kind == origin_kind), None)
        self.caches = [
            b
            for b in ordered
            if b.entry.zone == settings.zone
            and b.entry.state == "ready"
            and b.entry.kind not in (parent_kind, origin_kind)
        ]
        self.cache_set = set(self.caches)
        self.parent_set = set(self.parents)
        self.cache_order = self._order_of(self.caches)
        self.parent_order = self._order_of(self.parents)

    def _order_of(self, backends: list[Backend]) -> RendezvousOrder:
        return RendezvousOrder([b.salt for b in backends], [self._weight(b) for b in backends])

    def _weight(self, backend: Backend) -> float:
        """Return the weight of a backend in the rendezvous order.

        The stated capacity of a cache counts. Parents have equal weights, because a parent with a wide link
        would otherwise get too many objects.
        """
        has_stated_capacity = backend.entry.weight > 0 and backend in self.cache_set
        return backend.entry.weight if self._context.weights_are_capacities and has_stated_capacity else 1.0
