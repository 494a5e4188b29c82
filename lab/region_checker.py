"""Checks the coordinator's orders for regions and the proxies that apply them, by the events of a history."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from beechslip.regions.guards import is_within_limits
from beechslip.regions.status import RegionState, RegionStatus
from lab.check import MAX_VIOLATIONS, Violation

Version = tuple[int, int]
"""The fencing token and the epoch of an order."""

Incarnation = tuple[str, int]
"""A member's name and the number of its incarnation."""


@dataclass
class RegionChecker:
    """Checks the events of a history, which must be passed to it in order of time.

    At most ``MAX_VIOLATIONS`` violations are kept. The rules are:

    - ``older-taken``: a proxy replaces an order by an older one;
    - ``two-tables``: proxies apply different tables for the same order;
    - ``over-guard``: more regions are out than the guards allow;
    - ``order-unheld``: a member that does not hold the lease makes an order;
    - ``order-unacked``: an order is made before a majority has applied the last one of the same tenure;
    - ``order-forgets``: the first order of a tenure is not newer than an order that a majority had applied, all of
      them still running in the same incarnation.
    """

    members: int
    sizes: Mapping[str, int]  # by region: number of its backends
    max_out_fraction: float
    violations: list[Violation] = field(default_factory=list)
    orders: int = 0
    changeovers: int = 0
    max_away: int = 0  # most regions that did not get their full traffic at once
    _applied: dict[Incarnation, Version] = field(default_factory=dict)
    _incarnations: dict[str, int] = field(default_factory=dict)  # by member: the running incarnation
    _tables: dict[Version, Any] = field(default_factory=dict)
    _appliers: dict[Version, set[Incarnation]] = field(default_factory=dict)
    _last_orders: dict[int, Version] = field(default_factory=dict)  # by token: its last order

    def note_start(self, member: str, incarnation: int) -> None:
        """Record that ``member`` has started as a new incarnation."""
        self._incarnations[member] = incarnation

    def check_history(self, events: Iterable[Mapping[str, Any]]) -> None:
        """Check a whole history. Whether the maker of an order held the lease is left to the lease checker."""
        for event in events:
            if event["kind"] == "start":
                self.note_start(event["member"], event["life"])
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
            self._report(
                "older-taken",
                event,
                f"{member} replaces order {self._applied[incarnation]} by order {version}, which is not newer",
            )
        first = self._tables.setdefault(version, places)
        if first != places:
            self._report(
                "two-tables", event, f"order {version} has the table {places} at {member}, but {first} elsewhere"
            )
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
            self._report("order-unheld", event, f"{event['member']} makes order {version} without holding the lease")
        last = self._last_orders.get(event["token"])
        if last is None:
            self._check_first_order(event, version)
        else:
            applied = len(self._appliers.get(last, ()))
            if 2 * applied <= self.members:
                self._report(
                    "order-unacked", event, f"order {version} follows order {last}, which only {applied} have applied"
                )
        self._last_orders[event["token"]] = version

    def _check_first_order(self, event: Mapping[str, Any], version: Version) -> None:
        """Check that the first order of a tenure is newer than any order that a majority remembers."""
        for (token, epoch), appliers in self._appliers.items():
            running = sum(self._incarnations.get(member) == number for member, number in appliers)
            if token < version[0] and epoch >= version[1] and 2 * running > self.members:
                self._report(
                    "order-forgets",
                    event,
                    f"order {version} is not newer, though {running} had applied {(token, epoch)}",
                )
                return

    def _report(self, rule: str, event: Mapping[str, Any], text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, event["t"], text))
