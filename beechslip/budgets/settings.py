"""The table ``budgets`` of ``deploy/fleet.toml``.

A value with which limits can't be divided safely is rejected, and the error names its setting.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from beechslip.budgets.limit import FleetLimit
from beechslip.config import ConfigError
from beechslip.fleet.settings import FleetConfig, SettingsTable
from beechslip.leases.settings import LeasesConfig

Role = Literal["origin", "hub", "cache"]

AMOUNT_KEYS = (
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
TABLE_KEYS = ("enabled", "grant_ms", "floor_share", "travel_ms", "mean_ms", "fill_ms", *AMOUNT_KEYS)
# Pairs of a rate and its burst.
RATE_AND_BURST_KEYS = (("retries_per_s", "retry_burst"), ("probes_per_s", "probe_burst"))
MAX_AMOUNT = 1e9
JUST_BELOW_ZERO = -1e-9  # allows 0, because the lower bound of ``SettingsTable.number`` is exclusive
MIN_TICKS_PER_GRANT = 8  # of ``tick_ms``; with fewer, a grant could not be requested again before it ends


@dataclass(frozen=True, slots=True)
class BudgetsConfig:
    """The limits of the fleet as the table states them. A limit whose amount is 0 is not divided by budgets.

    ``grant_ms``: how long a grant lasts. ``floor_share``: the fraction that is divided into floors. ``travel_ms``:
    how much later than it was made a spending may reach a backend. ``mean_ms``: the mean sending time of a request.
    ``drift``: how fast or slow a clock runs at most, as a fraction. ``amounts``: by the keys of ``AMOUNT_KEYS``;
    rates are per second, ``*_fills`` and ``*_links`` are numbers for each backend, and ``*_bears`` are transfers at
    full pace that a warm backend can serve. ``fill_ms``: how long a fill may last at most (0: as long as the longest
    deadline of a class).
    """

    grant_ms: float
    floor_share: float
    travel_ms: float
    mean_ms: float
    drift: float
    amounts: dict[str, float] = field(default_factory=dict)
    fill_ms: float = 0.0

    def max_fills(self, role: Role) -> float:
        """Return the most fills in flight to or through one backend of ``role``.

        0 means that they are not divided, as those of caches.
        """
        return self.amounts.get(f"{role}_fills", 0.0)

    def max_connections(self, role: Role) -> float:
        """Return the most connections to one backend of ``role``. 0 means that they are not divided."""
        return self.amounts.get(f"{role}_links", 0.0)

    def warm_capacity(self, role: Role) -> float:
        """Return how many transfers at full pace a warm backend of ``role`` can serve.

        0 means that its allowance in slow start is not divided, as the origin's.
        """
        return self.amounts.get(f"{role}_bears", 0.0)


def read_budgets(fleet: FleetConfig, leases: LeasesConfig | None) -> BudgetsConfig | None:
    """Return the table's settings, or ``None`` if it is not ``enabled``.

    Raises ConfigError with the name of a setting that can't be used.
    """
    table = SettingsTable(f"{fleet.file}: budgets", fleet.tables["budgets"], TABLE_KEYS)
    if not table.boolean("enabled"):
        return None
    if leases is None:
        raise table.make_error(
            "enabled",
            "is true, but the table leases is off: the member that divides the limits must hold a lease",
        )
    amounts = {key: table.number(key, 0.0, least=JUST_BELOW_ZERO, most=MAX_AMOUNT) for key in AMOUNT_KEYS}
    for rate, burst in RATE_AND_BURST_KEYS:
        if amounts[rate] and not amounts[burst]:
            amounts[burst] = amounts[rate]
    floor_share = table.number("floor_share", 1.0)
    if floor_share > 1.0:
        raise table.make_error(
            "floor_share",
            f"is {floor_share:g}: the floors would sum to that multiple of each limit, expected at most 1",
        )
    grant_ms = table.number("grant_ms", 2000.0)
    if grant_ms < MIN_TICKS_PER_GRANT * fleet.tick_ms:
        raise table.make_error(
            "grant_ms",
            f"is {grant_ms:g}: expected at least {MIN_TICKS_PER_GRANT} times tick_ms {fleet.tick_ms:g}, so that "
            "a grant can be requested again before it ends",
        )
    return BudgetsConfig(
        grant_ms=grant_ms,
        floor_share=floor_share,
        travel_ms=table.number("travel_ms", 100.0, least=JUST_BELOW_ZERO),
        mean_ms=table.number("mean_ms", 100.0),
        drift=leases.tuning.drift,
        amounts=amounts,
        fill_ms=table.number("fill_ms", 0.0, least=JUST_BELOW_ZERO),
    )


def check_floors(config: BudgetsConfig, limits: Iterable[FleetLimit], members: int, file_name: str) -> None:
    """Raise ConfigError if a floor would hold less than one spending.

    A proxy that was suspended between its check and the write would then have no capacity of its own for the late
    write. ``file_name`` is named in the message.
    """
    for limit in limits:
        if limit.is_floor_too_small(members):
            raise ConfigError(
                f"{file_name}: budgets: {limit.name.split('@')[0]}: a floor of {config.floor_share:g} of "
                f"{limit.burst or limit.amount:g} over {limit.zone_members or members} proxies is less "
                f"than one spending ({limit.max_cost:.3g}), raise the limit or floor_share"
            )
