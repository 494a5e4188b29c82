"""The table ``duties`` of ``deploy/fleet.toml``, for health checks shared among proxies."""

from __future__ import annotations

from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.settings import FleetConfig, SettingsTable

TABLE_KEYS = ("enabled", "interval_ms", "takeover_ms", "lease_ms", "standbys", "rate_per_s")


def read_duties(fleet: FleetConfig) -> DutyTuning | None:
    """Return the table's settings, or ``None`` if it is not ``enabled``.

    Raises ConfigError with the name of a setting that can't be used.
    """
    table = SettingsTable(f"{fleet.file}: duties", fleet.tables["duties"], TABLE_KEYS)
    if not table.boolean("enabled"):
        return None
    return DutyTuning(
        interval_ms=table.number("interval_ms", 2000),
        takeover_ms=table.number("takeover_ms", 2000),
        lease_ms=table.number("lease_ms", 4000),
        members_per_duty=table.integer("standbys", 2, 0, 8) + 1,
        rate_per_s=table.number("rate_per_s", 50),
    )
