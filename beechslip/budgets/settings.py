"""The table ``budgets`` of ``deploy/fleet.toml``; what can't be divided safely is refused by name."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from beechslip.budgets.limit import FleetLimit
from beechslip.config import ConfigError
from beechslip.fleet.settings import FleetConfig, SettingsTable
from beechslip.leases.settings import LeasesConfig

Role = Literal["origin", "hub", "cache"]

AMOUNTS = (
    "retries_per_s",
    "retry_burst",
    "probes_per_s",
    "probe_burst",
    "origin_fills",
    "hub_fills",
    "cache_links",
    "hub_links",
    "origin_links",
    "cache_bears",
    "hub_bears",
)
KEYS = ("enabled", "grant_ms", "floor_share", "travel_ms", "mean_ms", "fill_ms", *AMOUNTS)
RATES = (("retries_per_s", "retry_burst"), ("probes_per_s", "probe_burst"))  # each with its burst
MAX_AMOUNT = 1e9
BELOW_ZERO = -1e-9  # the bound of :meth:`SettingsTable.number` is exclusive: 0 is allowed
MIN_TICKS_PER_GRANT = 8


@dataclass(frozen=True, slots=True)
class BudgetsConfig:
    """The limits of the fleet, as the table names them; an amount of 0 is not divided by budgets.

    ``grant_ms``: how long a grant lasts. ``floor_share``: the fraction that is divided by right. ``travel_ms``: how
    much later a spending may reach a backend. ``mean_ms``: a request's mean sending time. ``drift``: the most that a
    clock runs fast or slow, as a fraction. ``amounts`` by the keys of ``AMOUNTS``: rates are a second, ``*_fills``
    and ``*_links`` numbers a backend, ``*_bears`` transfers at full pace that a warm backend can serve.
    ``fill_ms``: the longest that a fill may last (0: as long as a class's deadline).
    """

    grant_ms: float
    floor_share: float
    travel_ms: float
    mean_ms: float
    drift: float
    amounts: dict[str, float] = field(default_factory=dict)
    fill_ms: float = 0.0

    def max_fills(self, role: Role) -> float:
        """Fills in flight to or through one backend of ``role``; 0: not divided (as those of caches)."""
        return self.amounts.get(f"{role}_fills", 0.0)

    def max_connections(self, role: Role) -> float:
        """Connections to one backend of ``role``; 0: not divided."""
        return self.amounts.get(f"{role}_links", 0.0)

    def warm_capacity(self, role: Role) -> float:
        """Transfers at full pace that a warm backend of ``role`` can serve; 0: not divided (as the origin's)."""
        return self.amounts.get(f"{role}_bears", 0.0)


def read_budgets(fleet: FleetConfig, leases: LeasesConfig | None) -> BudgetsConfig | None:
    """The table's settings, ``None`` if it is not ``enabled``; ConfigError by name."""
    table = SettingsTable(f"{fleet.file}: budgets", fleet.tables["budgets"], KEYS)
    if not table.boolean("enabled"):
        return None
    if leases is None:
        raise table.make_error("enabled", "is true, but the table leases is off: who divides the pools holds a lease")
    amounts = {key: table.number(key, 0.0, least=BELOW_ZERO, most=MAX_AMOUNT) for key in AMOUNTS}
    for rate, burst in RATES:
        if amounts[rate] and not amounts[burst]:
            amounts[burst] = amounts[rate]
    floor_share = table.number("floor_share", 1.0)
    if floor_share > 1.0:
        raise table.make_error("floor_share", f"is {floor_share:g}: the floors would sum to that much of each limit")
    grant_ms = table.number("grant_ms", 2000.0)
    if grant_ms < MIN_TICKS_PER_GRANT * fleet.tick_ms:
        raise table.make_error(
            "grant_ms",
            f"is {grant_ms:g}, under {MIN_TICKS_PER_GRANT} times tick_ms {fleet.tick_ms:g}: a grant could not "
            "be requested again in time",
        )
    return BudgetsConfig(
        grant_ms=grant_ms,
        floor_share=floor_share,
        travel_ms=table.number("travel_ms", 100.0, least=BELOW_ZERO),
        mean_ms=table.number("mean_ms", 100.0),
        drift=leases.tuning.drift,
        amounts=amounts,
        fill_ms=table.number("fill_ms", 0.0, least=BELOW_ZERO),
    )


def check_floors(config: BudgetsConfig, limits: Iterable[FleetLimit], members: int, table: str) -> None:
    """ConfigError if a floor would hold less than one spending: a proxy that was suspended between its check and the
    write would have no capacity of its own for a late one. ``table``: the file's name, for the message."""
    for limit in limits:
        if limit.floor_too_small(members):
            raise ConfigError(
                f"{table}: budgets: {limit.name.split('@')[0]}: a floor of {config.floor_share:g} of "
                f"{limit.burst or limit.amount:g} over {limit.zone_members or members} proxies is less "
                f"than one spending ({limit.max_cost:.3g}): raise the limit or floor_share"
            )
