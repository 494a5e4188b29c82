"""Scenario files in TOML: members, load, a seeded schedule of faults, and the requirements on the run.

Errors name the file and the key. ``docs/design/lab.md`` describes the keys.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from beechslip.config import ConfigError
from beechslip.fleet.settings import SettingsTable
from lab.relay import DatagramFaults

MAX_MEMBERS = 20
MAX_SECONDS = 120.0
MAX_REQUESTS = 20_000
MAX_REQUESTS_PER_S = 500.0
MAX_COUNT = 1_000_000
MAX_REGIONS_OUT = 100
MAX_WORK_MS = 5_000.0
MAX_DEADLINE_S = 60.0
MAX_HUBS = 8
MAX_DELAY_MS = 5_000.0
MAX_LATE_MS = 30_000.0
MAX_WEIGHT = 1e6
DEFAULT_DURATION_S = 8.0
DEFAULT_MEMBERS = 5
JUST_BELOW_ZERO = -1e-9  # a lower bound that accepts 0, because bounds themselves are excluded

SCENARIO_KEYS = (
    "name",
    "about",
    "seed",
    "members",
    "spare",
    "duration_s",
    "fleet",
    "load",
    "fault",
    "must",
    "disk",
    "plants",
    "zones",
    "depots",
)
FAULT_KEYS = (
    "at_s",
    "do",
    "who",
    "for_s",
    "each_s",
    "in_act",
    "sides",
    "weather",
    "size",
    "how",
    "weights",
    "depot",
    "amounts",
)
REQUIREMENT_KEYS = (
    "holds",
    "handovers",
    "turned_down",
    "census",
    "answered",
    "probe_gap_s",
    "tokens",
    "used",
    "served",
    "away",
    "back",
    "said",
)
ACTIONS = (
    "kill",
    "term",
    "start",
    "restart",
    "stop",
    "go",
    "cut",
    "deaf",
    "mute",
    "heal",
    "weather",
    "declare",
    "depot",
    "log",
    "load",
    "cold",
    "zone",
    "oneway",
    "amounts",
    "purge",
    "say",
)
ACTIONS_WITHOUT_TARGETS = ("cut", "heal", "weather", "load", "cold", "zone", "purge")
ACTIONS_WITH_SIDES = ("cut", "oneway")
ACTIONS_ON_ONE_BACKEND = ("cold", "zone", "say")
BACKEND_FAULTS = ("", "fail", "slow", "dead", "cut")
RELAY_FAULTS = ("silence", "reset")  # or a number of bytes per second
DISK_FAULTS = ("log-full", "file-limit")
FLEET_TABLES = ("leases", "census", "duties", "membership", "budgets", "regions")


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One entry of the fault schedule.

    ``action`` is applied ``at_s`` seconds after all proxies are healthy. Its ``targets`` are ``dN`` (a member),
    ``all``, ``holder:NAME`` (the holder of a lease) or ``others:NAME`` (all but the holder), one after another
    ``interval_s`` apart. It is undone ``undo_after_s`` later (0: never).
    """

    at_s: float
    action: str
    targets: tuple[str, ...] = ()
    undo_after_s: float = 0.0
    interval_s: float = 0.0
    is_mid_act: bool = False  # wait until the holder is between its lease check and the effect of its act
    sides: tuple[tuple[int, ...], ...] = ()
    datagram_faults: DatagramFaults = field(default_factory=DatagramFaults)
    numeric_argument: int = 0  # declare: size of the member set; purge: the group; say: the operator
    # zone: a backend fault; depot and log: silence, reset or bytes per second of the relay; say: the operator's order
    mode: str = ""
    weights: tuple[float, ...] = ()  # load: the members' shares of the load from now on
    # cold: the backend; zone: a backend or all of a zone; depot: a backend or a zone, "" for all; say: the region
    backend: str = ""
    amounts: Mapping[str, float] = field(default_factory=dict)  # new values of the table budgets, applied by SIGHUP


@dataclass(frozen=True, slots=True)
class Requirements:
    """Requirements on a run besides the rules that always hold. The minimum counts are low enough for any machine."""

    min_holds: int = 1  # tenures of all leases
    min_handovers: int = 0  # of all leases
    min_rejected_acts: int = 0  # acts rejected by fences (key: turned_down)
    has_common_census: bool = False  # at the end all live members have one census that counts all of them
    has_all_answers: bool = True  # every request of the load has exactly one final response
    max_probe_gap_s: float = 0.0  # of every backend, from 3 s after the start; 0: not checked
    has_rising_tokens: bool = True  # tokens rise from holder to holder
    # By kind of budget: the fraction of it that must have been in use at once.
    min_budget_use: Mapping[str, float] = field(default_factory=dict)
    min_regions_away: int = 0  # regions that were out at the same time
    has_all_regions_back: bool = False  # at the end all proxies send every region its full load
    operator_answer_prefixes: tuple[str, ...] = ()  # starts of the responses to operators' orders, in order
    min_served_ratio: float = 0.0  # fraction of the load that was answered with 200


@dataclass(frozen=True, slots=True)
class Scenario:
    """The validated contents of one scenario file."""

    name: str
    about: str
    seed: int
    members: int
    spare: int  # members that are declared later
    duration_s: float
    tables: Mapping[str, Mapping[str, Any]]
    rps: float
    requests: int
    faults: tuple[ScheduledFault, ...]
    requirements: Requirements
    disk_faults: Mapping[int, str] = field(default_factory=dict)  # by member: log-full or file-limit
    injected_faults: tuple[str, ...] = ()  # faults that this scenario must detect (key: plants)
    zones: tuple[int, ...] = ()  # edge zone by member; empty: all in the first zone
    weights: tuple[float, ...] = ()  # share of the load by member; empty: equal shares
    work_ms: float = 0.0  # time that a backend takes for a request; 0: it responds at once
    deadline_s: float = 0.0  # deadline of all request classes; 0: as in the settings
    hubs: int = 0  # number of hubs, each in its own zone; 0: two hubs in one zone


def read_scenario(path: Path) -> Scenario:
    """Return the scenario of a file. Raises ConfigError, which names file and key, if the file is invalid."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    table = SettingsTable(path.name, values, SCENARIO_KEYS)
    members, spare = _parse_member_counts(table)
    size = members + spare
    load = SettingsTable(f"{path.name}: load", values.get("load", {}), ("rps", "requests", "weights"))
    backends = SettingsTable(f"{path.name}: depots", values.get("depots", {}), ("work_ms", "deadline_s", "hubs"))
    return Scenario(
        name=table.string("name") or path.stem,
        about=table.string("about"),
        seed=table.integer("seed", 1, 0, 1 << 31),
        members=members,
        spare=spare,
        duration_s=table.number("duration_s", DEFAULT_DURATION_S, most=MAX_SECONDS),
        tables=_parse_fleet_tables(path.name, values.get("fleet", {})),
        rps=load.number("rps", 0.0, least=JUST_BELOW_ZERO, most=MAX_REQUESTS_PER_S),
        requests=load.integer("requests", 0, 0, MAX_REQUESTS),
        faults=_parse_faults(table, values.get("fault", []), size),
        requirements=_parse_requirements(path.name, values.get("must", {})),
        disk_faults=_parse_disk_faults(path.name, values.get("disk", []), size),
        injected_faults=table.strings("plants"),
        zones=_parse_zones(table, values, size),
        weights=_parse_numbers(load, "weights", values.get("load", {})),
        work_ms=backends.number("work_ms", 0.0, least=JUST_BELOW_ZERO, most=MAX_WORK_MS),
        deadline_s=backends.number("deadline_s", 0.0, least=JUST_BELOW_ZERO, most=MAX_DEADLINE_S),
        hubs=backends.integer("hubs", 0, 0, MAX_HUBS),
    )


def _parse_member_counts(table: SettingsTable) -> tuple[int, int]:
    """Return the number of members at the start, and of those that are declared later."""
    members = table.integer("members", DEFAULT_MEMBERS, 1, MAX_MEMBERS)
    spare = table.integer("spare", 0, 0, MAX_MEMBERS)
    if members + spare > MAX_MEMBERS:
        raise table.make_error("spare", f"plus members is {members + spare}; expected at most {MAX_MEMBERS}")
    return members, spare


def _parse_fleet_tables(file: str, tables: Any) -> Mapping[str, Mapping[str, Any]]:
    SettingsTable(f"{file}: fleet", tables, FLEET_TABLES)
    for name, table in tables.items():
        if not isinstance(table, Mapping):
            raise ConfigError(f"{file}: fleet: {name} must be a table")
    checked: Mapping[str, Mapping[str, Any]] = tables
    return checked


def _parse_zones(table: SettingsTable, values: Mapping[str, Any], size: int) -> tuple[int, ...]:
    zones = _parse_numbers(table, "zones", values)
    if zones and len(zones) != size:
        raise table.make_error("zones", f"has {len(zones)} entries; expected one for each of the {size} members")
    return tuple(int(zone) for zone in zones)


def _parse_disk_faults(file: str, entries: Any, size: int) -> Mapping[int, str]:
    disk_faults: dict[int, str] = {}
    for number, entry in enumerate(entries):
        disk = SettingsTable(f"{file}: disk {number}", entry, ("who", "how"))
        mode = disk.string("how")
        if mode not in DISK_FAULTS:
            raise disk.make_error("how", f"must be {' or '.join(DISK_FAULTS)}")
        disk_faults[disk.integer("who", 0, 0, size - 1)] = mode
    return disk_faults


def _parse_requirements(file: str, values: Any) -> Requirements:
    table = SettingsTable(f"{file}: must", values, REQUIREMENT_KEYS)
    return Requirements(
        min_holds=table.integer("holds", 1, 0, MAX_COUNT),
        min_handovers=table.integer("handovers", 0, 0, MAX_COUNT),
        min_rejected_acts=table.integer("turned_down", 0, 0, MAX_COUNT),
        has_common_census=table.boolean("census"),
        has_all_answers=table.boolean("answered", True),
        max_probe_gap_s=table.number("probe_gap_s", 0.0, least=JUST_BELOW_ZERO, most=MAX_SECONDS),
        has_rising_tokens=table.boolean("tokens", True),
        min_budget_use=_parse_named_numbers(f"{file}: must: used", values.get("used", {})),
        min_regions_away=table.integer("away", 0, 0, MAX_REGIONS_OUT),
        has_all_regions_back=table.boolean("back"),
        operator_answer_prefixes=table.strings("said"),
        min_served_ratio=table.number("served", 0.0, least=JUST_BELOW_ZERO, most=1.0),
    )


def _parse_faults(table: SettingsTable, entries: Any, size: int) -> tuple[ScheduledFault, ...]:
    """Return all faults in order of time."""
    if not isinstance(entries, list):
        raise table.make_error("fault", "must be a list of [[fault]] tables")
    faults = [_parse_fault(f"{table.where}: fault {number}", entry, size) for number, entry in enumerate(entries)]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _parse_fault(where: str, values: Any, size: int) -> ScheduledFault:
    table = SettingsTable(where, values, FAULT_KEYS)
    action = table.string("do")
    if action not in ACTIONS:
        raise table.make_error("do", f"must be one of {', '.join(ACTIONS)}, not {action!r:.40}")
    return ScheduledFault(
        at_s=table.number("at_s", 0.0, least=JUST_BELOW_ZERO, most=MAX_SECONDS),
        action=action,
        targets=_parse_targets(table, action, size),
        undo_after_s=table.number("for_s", 0.0, least=JUST_BELOW_ZERO, most=MAX_SECONDS),
        interval_s=table.number("each_s", 0.0, least=JUST_BELOW_ZERO, most=MAX_SECONDS),
        is_mid_act=table.boolean("in_act"),
        sides=_parse_sides(table, values.get("sides", []), action, size),
        datagram_faults=_parse_datagram_faults(f"{where}: weather", values.get("weather", {})),
        numeric_argument=table.integer("size", 0, 0, size),
        mode=_parse_mode(table, action),
        weights=_parse_numbers(table, "weights", values),
        backend=_parse_backend(table, action),
        amounts=_parse_named_numbers(f"{where}: amounts", values.get("amounts", {})),
    )


def _parse_targets(table: SettingsTable, action: str, size: int) -> tuple[str, ...]:
    targets = table.strings("who")
    for target in targets:
        if not _is_target(target, size):
            raise table.make_error("who", f"names {target!r:.40}, which is not a member of this scenario")
    if not targets and action not in ACTIONS_WITHOUT_TARGETS:
        raise table.make_error("who", f"is missing: the action {action} needs at least one target")
    return targets


def _is_target(target: str, size: int) -> bool:
    if target == "all" or target.startswith(("holder:", "others:")):
        return True
    number = target[1:]
    return target[:1] == "d" and number.isdigit() and int(number) < size


def _parse_sides(table: SettingsTable, sides: Any, action: str, size: int) -> tuple[tuple[int, ...], ...]:
    if not isinstance(sides, list) or not all(_is_side(side, size) for side in sides):
        raise table.make_error("sides", "must be lists of member numbers")
    if action in ACTIONS_WITH_SIDES and not sides:
        raise table.make_error("sides", "is missing: the actions cut and oneway need sides")
    return tuple(tuple(side) for side in sides)


def _is_side(side: Any, size: int) -> bool:
    return isinstance(side, list) and all(isinstance(number, int) and 0 <= number < size for number in side)


def _parse_backend(table: SettingsTable, action: str) -> str:
    backend = table.string("depot")
    if action in ACTIONS_ON_ONE_BACKEND and not backend:
        raise table.make_error("depot", f"is missing: the action {action} needs a backend, zone or region")
    return backend


def _parse_mode(table: SettingsTable, action: str) -> str:
    mode = table.string("how")
    if action == "zone" and mode not in BACKEND_FAULTS:
        raise table.make_error("how", "must be fail, slow, dead, cut or empty")
    if action in ("depot", "log") and mode not in RELAY_FAULTS and not mode.isdigit():
        raise table.make_error("how", "must be silence, reset or a number of bytes per second")
    return mode


def _parse_datagram_faults(where: str, values: Any) -> DatagramFaults:
    table = SettingsTable(where, values, ("loss", "repeat", "late", "late_ms", "delay_ms"))
    return DatagramFaults(
        loss_ratio=_parse_ratio(table, "loss"),
        repeat_ratio=_parse_ratio(table, "repeat"),
        late_ratio=_parse_ratio(table, "late"),
        max_late_ms=table.number("late_ms", 3000, most=MAX_LATE_MS),
        delay_ms=table.number("delay_ms", 0.0, least=JUST_BELOW_ZERO, most=MAX_DELAY_MS),
    )


def _parse_ratio(table: SettingsTable, key: str) -> float:
    return table.number(key, 0.0, least=JUST_BELOW_ZERO, most=1.0)


def _parse_numbers(table: SettingsTable, key: str, values: Mapping[str, Any]) -> tuple[float, ...]:
    numbers = values.get(key, [])
    if not isinstance(numbers, list) or not all(_is_weight(number) for number in numbers):
        raise table.make_error(key, "must be a list of numbers that are at least 0")
    return tuple(float(number) for number in numbers)


def _is_weight(number: Any) -> bool:
    return isinstance(number, (int, float)) and not isinstance(number, bool) and 0 <= number < MAX_WEIGHT


def _parse_named_numbers(where: str, values: Any) -> Mapping[str, float]:
    if not isinstance(values, Mapping) or not all(isinstance(value, (int, float)) for value in values.values()):
        raise ConfigError(f"{where} must be a table of numbers")
    return {str(key): float(value) for key, value in values.items()}


def format_toml_value(value: Any) -> str:
    """Return a value in TOML syntax."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)) and math.isfinite(value):
        return repr(value)
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(format_toml_value(v) for v in value) + "]"
    return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'
