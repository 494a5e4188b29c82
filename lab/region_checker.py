"""Checker of histories of regions: what must hold of the coordinator's orders and of the proxies that apply them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from beechslip.regions.guards import is_within_limits
from beechslip.regions.status import RegionState, RegionStatus
from lab.check import MAX_VIOLATIONS, Violation

Version = tuple[int, int]
"""Token and epoch of an order."""

Incarnation = tuple[str, int]
"""A member and the number of its incarnation."""


@dataclass
class RegionChecker:
    """Feed it the events of a history by rising time; ``violations`` has what was found, at most ``MAX_VIOLATIONS``.

    Rules: ``older-taken`` (a proxy goes from an order to an older one), ``two-tables`` (one order, two tables),
    ``over-guard`` (more out than may be), ``order-unheld`` (made by a member that does not hold the lease),
    ``order-unacked`` (made before a majority had applied the last of its tenure), ``order-forgets`` (a tenure goes on
    from before an order that a majority, all of them still of that incarnation, had applied).
    """

    members: int
    sizes: Mapping[str, int]  # by region: its backends
    max_out_fraction: float
    violations: list[Violation] = field(default_factory=list)
    orders: int = 0
    changeovers: int = 0
    max_away: int = 0  # the most regions that were not fully in at once
    _applied: dict[Incarnation, Version] = field(default_factory=dict)
    _incarnations: dict[str, int] = field(default_factory=dict)  # by member, the running one
    _tables: dict[Version, Any] = field(default_factory=dict)
    _appliers: dict[Version, set[Incarnation]] = field(default_factory=dict)
    _last_orders: dict[int, Version] = field(default_factory=dict)  # by token

    def start(self, member: str, incarnation: int) -> None:
        """Note that ``member`` has started anew."""
        self._incarnations[member] = incarnation

    def play(self, events: Iterable[Mapping[str, Any]]) -> None:
        """Read a whole history; whether an order's maker held the lease is left to the lease checker."""
        for event in events:
            if event["kind"] == "start":
                self.start(event["member"], event["life"])
            self.feed(event, lease_held=True)

    def feed(self, event: Mapping[str, Any], lease_held: bool) -> None:
        """Check one event; ``lease_held`` tells whether its member held the lease under the event's token."""
        if event["kind"] == "changeover":
            self._check_changeover(event)
        elif event["kind"] == "order":
            self._check_order(event, lease_held)

    def _check_changeover(self, event: Mapping[str, Any]) -> None:
        self.changeovers += 1
        version = (event["token"], event["epoch"])
        member = event["member"]
        incarnation = (member, event["life"])
        places = event["places"]
        if version <= self._applied.get(incarnation, (0, 0)):
            self._report("older-taken", event, f"{member} goes from {self._applied[incarnation]} to {version}")
        first = self._tables.setdefault(version, places)
        if first != places:
            self._report("two-tables", event, f"{version} is {places} at {member}, {first} elsewhere")
        table = {name: RegionStatus(RegionState(state), step) for name, (state, step) in places.items()}
        away = sum(status.traffic_fraction < 1 for status in table.values())
        self.max_away = max(self.max_away, away)
        if not is_within_limits(table, self.sizes, self.max_out_fraction):
            self._report("over-guard", event, f"{places}")
        self._applied[incarnation] = version
        self._appliers.setdefault(version, set()).add(incarnation)

    def _check_order(self, event: Mapping[str, Any], lease_held: bool) -> None:
        self.orders += 1
        version = (event["token"], event["epoch"])
        if not lease_held:
            self._report("order-unheld", event, f"{event['member']} makes {version}")
        last = self._last_orders.get(event["token"])
        if last is None:
            self._check_memory(event, version)
        else:
            applied = len(self._appliers.get(last, ()))
            if 2 * applied <= self.members:
                self._report("order-unacked", event, f"{version} follows {last}, applied by {applied}")
        self._last_orders[event["token"]] = version

    def _check_memory(self, event: Mapping[str, Any], version: Version) -> None:
        """The first order of a tenure has to be newer than any that a majority remembers."""
        for (token, epoch), appliers in self._appliers.items():
            running = sum(self._incarnations.get(member) == number for member, number in appliers)
            if token < version[0] and epoch >= version[1] and 2 * running > self.members:
                self._report("order-forgets", event, f"{version} though {running} had applied {(token, epoch)}")
                return

    def _report(self, rule: str, event: Mapping[str, Any], text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, event["t"], text))
