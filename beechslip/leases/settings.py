"""The tables ``leases`` and ``census`` of ``deploy/fleet.toml``. Unsafe values are refused, with the key named."""

from __future__ import annotations

from dataclasses import dataclass

from beechslip.fleet.settings import MAX_MEMBERS, FleetConfig, SettingsTable
from beechslip.leases.fence import MAX_TASKS
from beechslip.leases.messages import MAX_NAME_LENGTH
from beechslip.leases.paxos import LeaseTuning

LEASES_KEYS = (
    "enabled",
    "lease_ms",
    "longest_ms",
    "margin_ms",
    "drift",
    "members",
    "before",
    "drills",
    "drill_every_ms",
    "drill_act_ms",
    "drill_acts",
)


TASK_NAMES = frozenset({"census", "budgets", "steward"})  # leases of the tasks, which no drill may use
MIN_TICKS_PER_LEASE = 6  # ticks from taking a lease to its margin, so that an extension fits

# Timings derived from the lease time and the tick: the larger of a number of ticks and a fraction of the lease time.
RESEND_TICKS, RESEND_DIVISOR = 2, 30
ATTEMPT_TICKS, ATTEMPT_FRACTION = 6, 0.4
STICKY_TICKS, STICKY_FRACTION = 3, 0.3
STAGGER_TICKS, STAGGER_DIVISOR = 4, 10


@dataclass(frozen=True, slots=True)
class LeasesConfig:
    """The checked settings of the tables ``leases`` and ``census``; times in ms."""

    tuning: LeaseTuning
    sets: tuple[int, ...]  # sizes of the binding declared sets, the newest last
    drills: tuple[str, ...]
    drill_every_ms: float
    drill_act_ms: float
    drill_acts: int
    census_interval_ms: float  # 0: no census


def read_leases(fleet: FleetConfig) -> LeasesConfig | None:
    """Read both tables. Return None if ``leases`` is not ``enabled``; raise ConfigError, with the key, if invalid."""
    table = SettingsTable(f"{fleet.file}: leases", fleet.tables["leases"], LEASES_KEYS)
    census = SettingsTable(f"{fleet.file}: census", fleet.tables["census"], ("enabled", "every_ms"))
    if not table.boolean("enabled"):
        if census.boolean("enabled"):
            raise census.make_error(
                "enabled", "is true, but the table leases is not enabled: the census needs a lease"
            )
        return None
    tuning = _read_tuning(table, fleet.tick_ms)
    sets = _read_sets(table, len(fleet.peers))
    return LeasesConfig(
        tuning,
        sets,
        _read_drill_names(table),
        table.number("drill_every_ms", 1000),
        table.number("drill_act_ms", 20),
        table.integer("drill_acts", 0, 0, 1_000_000),
        census.number("every_ms", 10_000) if census.boolean("enabled") else 0.0,
    )


def _read_tuning(table: SettingsTable, tick_ms: float) -> LeaseTuning:
    """Read the times of a lease.

    Raise ConfigError if a lease could not be extended in time, or if a restart would be unsafe.
    """
    lease = table.number("lease_ms", 3000)
    longest = table.number("longest_ms", lease)
    if longest < lease:
        raise table.make_error(
            "longest_ms",
            f"is {longest:g}, less than lease_ms {lease:g}: a restarted proxy would "
            "take part again before a lease that it has forgotten expires",
        )
    margin = table.number("margin_ms", 300)
    if margin >= lease / 2:
        raise table.make_error(
            "margin_ms",
            f"is {margin:g}, but must be less than half of lease_ms {lease:g}: otherwise "
            "no time is left to act and to extend the lease",
        )
    if lease - margin < MIN_TICKS_PER_LEASE * tick_ms:
        raise table.make_error(
            "lease_ms",
            f"minus margin_ms is less than six times tick_ms {tick_ms:g}: a lease could not be extended in time",
        )
    return LeaseTuning(
        lease,
        longest,
        margin,
        table.number("drift", 0.01, least=-1e-9, most=0.2),
        resend_ms=max(RESEND_TICKS * tick_ms, lease / RESEND_DIVISOR),
        attempt_ms=max(ATTEMPT_TICKS * tick_ms, ATTEMPT_FRACTION * lease),
        sticky_ms=max(STICKY_TICKS * tick_ms, STICKY_FRACTION * lease),
        stagger_ms=max(STAGGER_TICKS * tick_ms, lease / STAGGER_DIVISOR),
    )


def _read_sets(table: SettingsTable, peers: int) -> tuple[int, ...]:
    """Read the sizes of the binding sets. Raise ConfigError if ``peers`` members can't be a majority of each."""
    size = table.integer("members", peers, 1, MAX_MEMBERS)
    before = table.integer("before", 0, 0, MAX_MEMBERS)
    for key, declared in (("members", size), ("before", before)):
        if declared and 2 * min(declared, peers) <= declared:
            raise table.make_error(
                key, f"is {declared}, but there are {peers} peers: no majority of it could be reached"
            )
    if size > peers:
        raise table.make_error("members", f"is {size}, but there are only {peers} peers")
    return (before, size) if before not in (0, size) else (size,)


def _read_drill_names(table: SettingsTable) -> tuple[str, ...]:
    """Read the names of the drills: bounded, distinct, and different from the names of the tasks."""
    drills = table.strings("drills")
    are_usable = all(name.isascii() and 0 < len(name) <= MAX_NAME_LENGTH for name in drills)
    if len(drills) >= MAX_TASKS or not are_usable:
        raise table.make_error("drills", f"must be fewer than {MAX_TASKS} names of 1 to {MAX_NAME_LENGTH} characters")
    if len(set(drills)) < len(drills) or TASK_NAMES & set(drills):
        raise table.make_error("drills", "must be distinct names, none of them that of a task")
    return drills
