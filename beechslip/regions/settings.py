"""The settings in the table ``regions`` of ``deploy/fleet.toml``. Errors name the file, the table and the key."""

from __future__ import annotations

from dataclasses import dataclass

from beechslip.fleet.settings import FleetConfig, SettingsTable
from beechslip.leases.settings import LeasesConfig
from beechslip.regions.coordinator import CoordinatorTuning
from beechslip.regions.node_types import RegionTiming

TABLE_KEYS = ("enabled", "report_ms", "stale_ms", "fresh_ms", "forget_ms", "out_ms", "step_ms", "most_out", "calm_ms")

DEFAULT_REPORT_INTERVAL_MS = 250.0
DEFAULT_EXPIRY_REPORTS = 6  # report intervals after which a report is no longer counted
MIN_EXPIRY_REPORTS = 3  # two lost datagrams must not make a member count as silent
MIN_STEP_REPORTS = 2  # a step must be judged by reports made within it
DEFAULT_RECOVERY_LEASES = 2  # lease durations for which a started member does not count as knowing the newest order


@dataclass(frozen=True, slots=True)
class RegionsConfig:
    """The settings of the coordinator and the timing of every node."""

    tuning: CoordinatorTuning
    timing: RegionTiming


def read_regions(fleet: FleetConfig, leases: LeasesConfig | None) -> RegionsConfig | None:
    """Return the table's settings, or ``None`` if it is not ``enabled``; raise ConfigError for a wrong key."""
    table = SettingsTable(f"{fleet.file}: regions", fleet.tables["regions"], TABLE_KEYS)
    if not table.boolean("enabled"):
        return None
    if leases is None:
        raise table.make_error(
            "enabled", "is true, but the table leases is off: the coordinator of regions needs a lease"
        )
    timing = _read_timing(table, leases)
    return RegionsConfig(_read_tuning(table, timing.report_interval_ms), timing)


def _read_timing(table: SettingsTable, leases: LeasesConfig) -> RegionTiming:
    report_ms = table.number("report_ms", DEFAULT_REPORT_INTERVAL_MS)
    expiry_ms = table.number("stale_ms", DEFAULT_EXPIRY_REPORTS * report_ms)
    if expiry_ms < MIN_EXPIRY_REPORTS * report_ms:
        raise table.make_error(
            "stale_ms",
            f"is {expiry_ms:g}: expected at least three times report_ms ({report_ms:g}), so that two lost datagrams "
            "do not make a proxy count as silent",
        )
    return RegionTiming(
        report_ms,
        expiry_ms,
        table.number("fresh_ms", DEFAULT_RECOVERY_LEASES * leases.tuning.lease_ms),
        table.number("forget_ms", RegionTiming().order_expiry_ms),
    )


def _read_tuning(table: SettingsTable, report_ms: float) -> CoordinatorTuning:
    default = CoordinatorTuning()
    tuning = CoordinatorTuning(
        initial_wait_ms=table.number("out_ms", default.initial_wait_ms),
        step_ms=table.number("step_ms", default.step_ms),
        max_out_fraction=table.number("most_out", default.max_out_fraction, most=1.0),
        backoff_reset_ms=table.number("calm_ms", default.backoff_reset_ms),
    )
    if tuning.step_ms < MIN_STEP_REPORTS * report_ms:
        raise table.make_error(
            "step_ms",
            f"is {tuning.step_ms:g}: expected at least twice report_ms ({report_ms:g}), so that reports on a step "
            "arrive before it ends",
        )
    return tuning
