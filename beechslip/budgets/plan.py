"""Which limits there are, and what an attempt costs of each: from the operators' table, settings and list. Pure.

| name | kind | spent by |
| --- | --- | --- |
| ``retries`` | rate | an attempt after the first; it comes back if that one is served |
| ``probes`` | rate | a health check |
| ``fills:BACKEND`` | in flight | an attempt to or through a hub or the origin |
| ``links:BACKEND`` | in flight | a connection, idle or not |
| ``cold:BACKEND@STARTED`` | window | an attempt to or through a cache or hub in slow start |

The limit of a backend in slow start is 1: its allowance at that moment, which grows as it warms up. A spending costs
its part of that, so what was spent earlier counts for no less than it was.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beechslip.budgets.limit import Cost, FleetLimit, LimitKind
from beechslip.budgets.settings import BudgetsConfig, Role
from beechslip.core.model import AttemptRequest, Backend
from beechslip.routing.interface import Settings

RETRIES = "retries"
HEALTH_CHECKS = "probes"
FILLS = "fills"
CONNECTIONS = "links"
SLOW_START = "cold"
OVERLOAD_PART = 0.5  # of the multiple of its capacity at which a backend is overloaded, as the routing module has it
# As the routing module's, where the settings don't say:
DEFAULT_OVERLOAD_WINDOW_S = 2.0
DEFAULT_OVERLOAD_MULTIPLE = 1.5
DEFAULT_SLOW_START_SHARE = 0.05
DEFAULT_SLOW_START_S = 60.0
NO_DEADLINE_S = 60.0  # a request without a deadline
MIN_LONGEST_S = 0.5
IDLE_S = 30.0  # a backend closes an idle connection after this, where the settings don't say


class SlowStartLimit(NamedTuple):
    """The limit ``name`` of a backend in slow start, and the transfers at full pace that the backend can serve once
    it is warm."""

    name: str
    warm_capacity: float


@dataclass
class Plan:
    """One proxy's view of the limits.

    ``backends`` by name. ``longest_s``: the longest deadline of a request; it only grows, as a request keeps the
    rule that it came under. ``zone_members``: proxies of this zone that divide its caches' floors.
    """

    config: BudgetsConfig
    settings: Settings
    backends: dict[str, Backend] = field(default_factory=dict)
    longest_s: float = 0.0
    zone_members: int = 0

    def __post_init__(self) -> None:
        """Derive what follows from the settings."""
        self.tune(self.config, self.settings)

    def tune(self, config: BudgetsConfig, settings: Settings) -> None:
        """Go by another table or other settings from now on."""
        self.config = config
        self.settings = settings
        self.zone_members = self.zone_members or settings.proxies_in_zone
        deadlines_s = (rule.deadline or NO_DEADLINE_S for rule in settings.classes.values())
        self.longest_s = max(self.longest_s, *deadlines_s, MIN_LONGEST_S)

    def update_backends(self, backends: Iterable[Backend]) -> None:
        """Go by another endpoint list from now on."""
        self.backends = {backend.name: backend for backend in backends}

    def role(self, backend: Backend) -> Role:
        """What ``backend`` is in the tiers, by its kind."""
        if self.settings.origin_kind and backend.kind == self.settings.origin_kind:
            return "origin"
        return "hub" if self.settings.parent_kind and backend.kind == self.settings.parent_kind else "cache"

    # Limits ------------------------------------------------------------------------------------------------

    def limits(self, now_ms: float) -> list[FleetLimit]:
        """All that are divided now. ``now_ms``: the time of day, by which the list tells starts."""
        amounts = self.config.amounts
        found: list[FleetLimit] = []
        if amounts["retries_per_s"]:
            found.append(self._limit(RETRIES, "rate", amounts["retries_per_s"], burst=amounts["retry_burst"]))
        if amounts["probes_per_s"]:
            found.append(self._limit(HEALTH_CHECKS, "rate", amounts["probes_per_s"], burst=amounts["probe_burst"]))
        for backend in self.backends.values():
            found += self._backend_limits(backend, now_ms)
        return found

    def _backend_limits(self, backend: Backend, now_ms: float) -> list[FleetLimit]:
        """Of one backend. The floors of a cache are divided among the proxies of its zone."""
        role = self.role(backend)
        zone_members = self.zone_members if role == "cache" else 0
        participates = role != "cache" or backend.zone == self.settings.zone
        found: list[FleetLimit] = []
        if fills := self.config.max_fills(role):
            found.append(self._limit(f"{FILLS}:{backend.name}", "flight", fills, self.fill_ms()))
        if connections := self.config.max_connections(role):
            found.append(
                self._limit(
                    f"{CONNECTIONS}:{backend.name}",
                    "flight",
                    connections,
                    1000.0 * self.longest_s + 1000.0 * (self.settings.conn_idle or IDLE_S),
                    zone_members=zone_members,
                    participates=participates,
                )
            )
        if self._is_in_slow_start(backend, now_ms):
            found.append(
                self._limit(
                    slow_start_name(backend),
                    "window",
                    1.0,
                    1000.0 * self._overload_window_s(),
                    max_cost=self._request_cost(role, self._initial_warmth(role)),
                    zone_members=zone_members,
                    participates=participates,
                )
            )
        return found

    def _limit(
        self,
        name: str,
        kind: LimitKind,
        amount: float,
        tail_ms: float = 0.0,
        *,
        burst: float = 0.0,
        max_cost: float = 1.0,
        zone_members: int = 0,
        participates: bool = True,
    ) -> FleetLimit:
        return FleetLimit(
            name,
            kind,
            amount,
            tail_ms,
            floor_share=self.config.floor_share,
            burst=burst,
            grant_ms=self.config.grant_ms,
            drift=self.config.drift,
            travel_ms=self.config.travel_ms,
            max_cost=max_cost,
            zone_members=zone_members,
            participates=participates,
        )

    def fill_ms(self) -> float:
        """The longest that an attempt which counts as a fill may last."""
        longest_ms = 1000.0 * self.longest_s
        return min(self.config.fill_ms or longest_ms, longest_ms)

    def smallest_floors(self) -> list[FleetLimit]:
        """One limit of each sort, with the smallest floor that it can have: for the check of the file."""
        kinds: dict[Role, str] = {
            "origin": self.settings.origin_kind or "?",
            "hub": self.settings.parent_kind or "?",
            "cache": "",
        }
        plan = Plan(self.config, self.settings)
        plan.update_backends(
            Backend(role, "", kind, self.settings.zone, started_ms=1.0) for role, kind in kinds.items()
        )
        return plan.limits(2.0)

    def slow_start_limits(self, now_ms: float) -> Mapping[str, SlowStartLimit]:
        """The limits of the backends in slow start, by backend."""
        return {
            backend.name: SlowStartLimit(slow_start_name(backend), self.config.warm_capacity(self.role(backend)))
            for backend in self.backends.values()
            if self._is_in_slow_start(backend, now_ms)
        }

    # Costs -------------------------------------------------------------------------------------------------

    def costs(self, request: AttemptRequest, is_retry: bool, now_ms: float) -> list[Cost]:
        """What the attempt costs when its first byte is written now. ``is_retry``: an earlier one was sent."""
        costs = [Cost(RETRIES, 1.0)] if is_retry and self.config.amounts["retries_per_s"] else []
        for name in dict.fromkeys((request.backend.name, request.source)):
            costs += self.costs_of(name, now_ms)
        return costs

    def costs_of(self, name: str, now_ms: float) -> list[Cost]:
        """What a request to or through backend ``name`` costs, met at ``now_ms``; nothing for one not listed."""
        backend = self.backends.get(name)
        if backend is None:
            return []
        role = self.role(backend)
        costs: list[Cost] = []
        if self.config.max_fills(role):
            costs.append(Cost(f"{FILLS}:{name}", 1.0))
        if self._is_in_slow_start(backend, now_ms):
            costs.append(
                Cost(slow_start_name(backend), self._request_cost(role, self._warmth(backend, role, now_ms)))
            )
        return costs

    def _request_cost(self, role: Role, warmth: float) -> float:
        """What one request of mean work is of the allowance of a backend that has ``warmth`` of its capacity."""
        settings = self.settings
        multiple = settings.parent_overload_multiple if role == "hub" else settings.overload_multiple
        multiple = multiple or DEFAULT_OVERLOAD_MULTIPLE
        window_s = self._overload_window_s()
        warm_allowance_s = self.config.warm_capacity(role) * window_s * multiple * OVERLOAD_PART
        return min(1.0, self.config.mean_ms / 1000.0 / (warm_allowance_s * warmth))

    def _overload_window_s(self) -> float:
        return self.settings.overload_window or DEFAULT_OVERLOAD_WINDOW_S

    # Slow start --------------------------------------------------------------------------------------------

    def _initial_warmth(self, role: Role) -> float:
        """The fraction of its capacity that a backend of ``role`` starts with."""
        settings = self.settings
        fraction = settings.parent_slow_start_share if role == "hub" else settings.slow_start_share
        return fraction or DEFAULT_SLOW_START_SHARE

    def _slow_start_s(self, role: Role) -> float:
        settings = self.settings
        time_s = settings.parent_slow_start_time if role == "hub" else settings.slow_start_time
        return time_s or DEFAULT_SLOW_START_S

    def _is_in_slow_start(self, backend: Backend, now_ms: float) -> bool:
        role = self.role(backend)
        return (
            bool(self.config.warm_capacity(role))
            and backend.started_ms > 0
            and now_ms - backend.started_ms < 1000.0 * self._slow_start_s(role)
        )

    def _warmth(self, backend: Backend, role: Role, now_ms: float) -> float:
        """The fraction of its capacity that ``backend`` has by now; it grows linearly to 1."""
        initial = self._initial_warmth(role)
        age_s = max(now_ms - backend.started_ms, 0.0) / 1000.0
        return initial + (1.0 - initial) * min(age_s / self._slow_start_s(role), 1.0)


def slow_start_name(backend: Backend) -> str:
    """The name of the limit of ``backend`` in slow start: another one after each start."""
    return f"{SLOW_START}:{backend.name}@{backend.started_ms:.0f}"
