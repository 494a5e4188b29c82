"""The limits that exist, and what an attempt costs of each of them. No I/O.

Both follow from the operators' ``budgets`` table, the settings and the endpoint list.

| name | kind | spent by |
| --- | --- | --- |
| ``retries`` | rate | an attempt after the first; given back if that attempt is served |
| ``probes`` | rate | a health check |
| ``fills:BACKEND`` | in flight | an attempt to or through a hub or the origin |
| ``links:BACKEND`` | in flight | a connection, idle or not |
| ``cold:BACKEND@STARTED`` | window | an attempt to or through a cache or hub in slow start |

The amount of the limit of a backend in slow start is 1, which stands for its allowance at that moment. The allowance
grows as the backend warms up. A spending costs its fraction of the allowance at the moment of the spending. An
earlier spending was measured against a smaller allowance, so it never counts for too little.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beechslip.budgets.limit import FleetLimit, LimitCost, LimitKind
from beechslip.budgets.settings import BudgetsConfig, Role
from beechslip.core.model import AttemptRequest, Backend
from beechslip.routing.interface import Settings

# Names of limits, or the parts of their names before the colon.
RETRIES = "retries"
HEALTH_CHECKS = "probes"
FILLS = "fills"
CONNECTIONS = "links"
SLOW_START = "cold"
# The routing module counts a backend as overloaded at a multiple of its capacity. Its allowance in slow start is
# computed from this fraction of that multiple.
OVERLOAD_FRACTION = 0.5
# The routing module's defaults, for settings that are not given:
DEFAULT_OVERLOAD_WINDOW_S = 2.0
DEFAULT_OVERLOAD_MULTIPLE = 1.5
DEFAULT_SLOW_START_SHARE = 0.05
DEFAULT_SLOW_START_S = 60.0
DEFAULT_DEADLINE_S = 60.0  # for a class of requests without a deadline
MIN_LONGEST_DEADLINE_S = 0.5
DEFAULT_CONNECTION_IDLE_S = 30.0  # if the settings don't say how long a backend keeps them


class SlowStartLimit(NamedTuple):
    """The limit of a backend in slow start.

    ``name`` is the limit's name. ``warm_capacity`` is how many transfers at full pace the backend can serve once it
    is warm.
    """

    name: str
    warm_capacity: float


@dataclass
class BudgetPlan:
    """One proxy's view of the limits.

    ``backends`` are by name. ``longest_deadline_s`` is the longest deadline that a request may have; it only grows,
    because a request keeps the rule under which it arrived. ``zone_members`` is the number of proxies in this zone,
    among which the floors of its caches are divided.
    """

    config: BudgetsConfig
    settings: Settings
    backends: dict[str, Backend] = field(default_factory=dict)
    longest_deadline_s: float = 0.0
    zone_members: int = 0

    def __post_init__(self) -> None:
        """Derive the deadlines and the zone's members from the settings."""
        self.apply_settings(self.config, self.settings)

    def apply_settings(self, config: BudgetsConfig, settings: Settings) -> None:
        """Use another table or other settings from now on."""
        self.config = config
        self.settings = settings
        self.zone_members = self.zone_members or settings.proxies_in_zone
        deadlines_s = (rule.deadline or DEFAULT_DEADLINE_S for rule in settings.classes.values())
        self.longest_deadline_s = max(self.longest_deadline_s, *deadlines_s, MIN_LONGEST_DEADLINE_S)

    def update_backends(self, backends: Iterable[Backend]) -> None:
        """Use the backends of another endpoint list from now on."""
        self.backends = {backend.name: backend for backend in backends}

    def role(self, backend: Backend) -> Role:
        """Return the role of ``backend``, which follows from its kind."""
        if self.settings.origin_kind and backend.kind == self.settings.origin_kind:
            return "origin"
        return "hub" if self.settings.parent_kind and backend.kind == self.settings.parent_kind else "cache"

    # Limits ------------------------------------------------------------------------------------------------

    def limits(self, now_ms: float) -> list[FleetLimit]:
        """Return all limits that are divided now.

        ``now_ms`` is the time of day, in which the endpoint list states when backends started.
        """
        amounts = self.config.amounts
        found: list[FleetLimit] = []
        if amounts["retries_per_s"]:
            found.append(self._make_limit(RETRIES, "rate", amounts["retries_per_s"], burst=amounts["retry_burst"]))
        if amounts["probes_per_s"]:
            found.append(
                self._make_limit(HEALTH_CHECKS, "rate", amounts["probes_per_s"], burst=amounts["probe_burst"])
            )
        for backend in self.backends.values():
            found += self._backend_limits(backend, now_ms)
        return found

    def _backend_limits(self, backend: Backend, now_ms: float) -> list[FleetLimit]:
        """Return the limits of one backend. The floors of a cache are divided among the proxies of its zone."""
        role = self.role(backend)
        zone_members = self.zone_members if role == "cache" else 0
        is_participant = role != "cache" or backend.zone == self.settings.zone
        found: list[FleetLimit] = []
        if fills := self.config.max_fills(role):
            found.append(self._make_limit(f"{FILLS}:{backend.name}", "flight", fills, self.fill_ms()))
        if connections := self.config.max_connections(role):
            found.append(
                self._make_limit(
                    f"{CONNECTIONS}:{backend.name}",
                    "flight",
                    connections,
                    1000.0 * self.longest_deadline_s
                    + 1000.0 * (self.settings.conn_idle or DEFAULT_CONNECTION_IDLE_S),
                    zone_members=zone_members,
                    is_participant=is_participant,
                )
            )
        if self._is_in_slow_start(backend, now_ms):
            found.append(
                self._make_limit(
                    slow_start_name(backend),
                    "window",
                    1.0,
                    1000.0 * self._overload_window_s(),
                    max_cost=self._request_cost(role, self._initial_warmth(role)),
                    zone_members=zone_members,
                    is_participant=is_participant,
                )
            )
        return found

    def _make_limit(
        self,
        name: str,
        kind: LimitKind,
        amount: float,
        base_occupancy_ms: float = 0.0,
        *,
        burst: float = 0.0,
        max_cost: float = 1.0,
        zone_members: int = 0,
        is_participant: bool = True,
    ) -> FleetLimit:
        """Return a limit with the table's floor share, grant time, drift and travel time."""
        return FleetLimit(
            name,
            kind,
            amount,
            base_occupancy_ms,
            floor_share=self.config.floor_share,
            burst=burst,
            grant_ms=self.config.grant_ms,
            drift=self.config.drift,
            travel_ms=self.config.travel_ms,
            max_cost=max_cost,
            zone_members=zone_members,
            is_participant=is_participant,
        )

    def fill_ms(self) -> float:
        """Return how long an attempt that counts as a fill may last."""
        longest_ms = 1000.0 * self.longest_deadline_s
        return min(self.config.fill_ms or longest_ms, longest_ms)

    def smallest_floors(self) -> list[FleetLimit]:
        """Return one limit of each kind with the smallest floor that it can have, to check the configuration file."""
        kinds: dict[Role, str] = {
            "origin": self.settings.origin_kind or "?",
            "hub": self.settings.parent_kind or "?",
            "cache": "",
        }
        plan = BudgetPlan(self.config, self.settings)
        plan.update_backends(
            Backend(role, "", kind, self.settings.zone, started_ms=1.0) for role, kind in kinds.items()
        )
        return plan.limits(2.0)

    def slow_start_limits(self, now_ms: float) -> Mapping[str, SlowStartLimit]:
        """Return the limits of the backends in slow start, by backend name."""
        return {
            backend.name: SlowStartLimit(slow_start_name(backend), self.config.warm_capacity(self.role(backend)))
            for backend in self.backends.values()
            if self._is_in_slow_start(backend, now_ms)
        }

    # Costs -------------------------------------------------------------------------------------------------

    def attempt_costs(self, attempt: AttemptRequest, is_retry: bool, now_ms: float) -> list[LimitCost]:
        """Return what an attempt costs if its first byte is written now.

        ``is_retry``: an earlier attempt of the request was sent.
        """
        costs = [LimitCost(RETRIES, 1.0)] if is_retry and self.config.amounts["retries_per_s"] else []
        for name in dict.fromkeys((attempt.backend.name, attempt.source)):
            costs += self.backend_costs(name, now_ms)
        return costs

    def backend_costs(self, name: str, now_ms: float) -> list[LimitCost]:
        """Return what an attempt to or through backend ``name`` costs at ``now_ms``.

        The list is empty for a backend that is not listed.
        """
        backend = self.backends.get(name)
        if backend is None:
            return []
        role = self.role(backend)
        costs: list[LimitCost] = []
        if self.config.max_fills(role):
            costs.append(LimitCost(f"{FILLS}:{name}", 1.0))
        if self._is_in_slow_start(backend, now_ms):
            costs.append(
                LimitCost(slow_start_name(backend), self._request_cost(role, self._warmth(backend, role, now_ms)))
            )
        return costs

    def _request_cost(self, role: Role, warmth: float) -> float:
        """Return the cost of one request of mean work, as a fraction of the backend's slow-start allowance.

        ``warmth`` is the fraction of its capacity that the backend has.
        """
        settings = self.settings
        multiple = settings.parent_overload_multiple if role == "hub" else settings.overload_multiple
        multiple = multiple or DEFAULT_OVERLOAD_MULTIPLE
        window_s = self._overload_window_s()
        warm_allowance_s = self.config.warm_capacity(role) * window_s * multiple * OVERLOAD_FRACTION
        return min(1.0, self.config.mean_ms / 1000.0 / (warm_allowance_s * warmth))

    def _overload_window_s(self) -> float:
        return self.settings.overload_window or DEFAULT_OVERLOAD_WINDOW_S

    # Slow start --------------------------------------------------------------------------------------------

    def _initial_warmth(self, role: Role) -> float:
        """Return the fraction of its capacity with which a backend of ``role`` starts."""
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
        """Return the fraction of its capacity that ``backend`` has now. It grows linearly to 1."""
        initial = self._initial_warmth(role)
        age_s = max(now_ms - backend.started_ms, 0.0) / 1000.0
        return initial + (1.0 - initial) * min(age_s / self._slow_start_s(role), 1.0)


def slow_start_name(backend: Backend) -> str:
    """Return the name of the limit of ``backend`` in slow start, which differs after each start."""
    return f"{SLOW_START}:{backend.name}@{backend.started_ms:.0f}"
