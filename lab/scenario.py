"""Scenarios: members, load, a seeded schedule of faults and what must hold, as TOML files.

Errors name file and key. What each key means is in ``docs/design/lab.md``.
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
from lab.relay import Weather

MOST_MEMBERS = 20
MOST_S = 120.0
MOST_REQUESTS = 20_000
MOST_REQUESTS_PER_S = 500.0
MOST_COUNT = 1_000_000
MOST_REGIONS_OUT = 100
MOST_WORK_MS = 5_000.0
MOST_DEADLINE_S = 60.0
MOST_HUBS = 8
MOST_DELAY_MS = 5_000.0
MOST_LATE_MS = 30_000.0
MOST_WEIGHT = 1e6
DEFAULT_DURATION_S = 8.0
DEFAULT_MEMBERS = 5
FROM_ZERO = -1e-9  # a lower bound that lets 0 pass, as bounds themselves are excluded

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
MUST_KEYS = (
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
ACTIONS_ON_NOBODY = ("cut", "heal", "weather", "load", "cold", "zone", "purge")
ACTIONS_WITH_SIDES = ("cut", "oneway")
ACTIONS_ON_A_BACKEND = ("cold", "zone", "say")
BACKEND_FAULTS = ("", "fail", "slow", "dead", "cut")
RELAY_FAULTS = ("silence", "reset")  # or bytes a second
DISK_FAULTS = ("log-full", "file-limit")
FLEET_TABLES = ("leases", "census", "duties", "membership", "budgets", "regions")


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of the schedule of faults.

    At ``at_s`` after all are ready, ``do`` it to ``who`` (``dN``, ``all``, ``holder:NAME``, ``others:NAME``),
    one after another ``each_s`` apart, and undo it ``for_s`` later (0: never).
    """

    at_s: float
    do: str
    who: tuple[str, ...] = ()
    for_s: float = 0.0
    each_s: float = 0.0
    in_act: bool = False  # wait until a holder is between its check and its act
    sides: tuple[tuple[int, ...], ...] = ()
    weather: Weather = field(default_factory=Weather)
    size: int = 0
    how: str = ""  # of a relay to a backend or the change log: silence, reset, or bytes a second
    weights: tuple[float, ...] = ()  # load: the members' parts of it from now on
    backend: str = ""  # cold: which one; zone: a backend or a zone's; backend: of this zone alone; say: a region
    amounts: Mapping[str, float] = field(default_factory=dict)  # of the table budgets, by SIGHUP


@dataclass(frozen=True, slots=True)
class Must:
    """What the run must show besides the rules that hold always: least counts, generous for any machine."""

    holds: int = 1  # tenures, over all leases
    handovers: int = 0
    rejected_acts: int = 0  # by fences (key: turned_down)
    census: bool = False  # at the end all that live have one census that counts all that live
    answered: bool = True  # every request of the load has exactly one final answer
    probe_gap_s: float = 0.0  # no backend goes unprobed for longer, from 3 s after the start; 0: not judged
    tokens: bool = True  # tokens rise from holder to holder
    used: Mapping[str, float] = field(default_factory=dict)  # by kind of budget: the least part in use at once
    away: int = 0  # least number of regions that were out at once
    back: bool = False  # at the end all regions have all of their load, everywhere
    said: tuple[str, ...] = ()  # how the answers to operators begin, in order
    served: float = 0.0  # least part of the load that was answered with 200


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario file, checked."""

    name: str
    about: str
    seed: int
    members: int
    spare: int  # declared later
    duration_s: float
    tables: Mapping[str, Mapping[str, Any]]
    rps: float
    requests: int
    faults: tuple[Fault, ...]
    must: Must
    disks: Mapping[int, str] = field(default_factory=dict)  # by member: log-full or file-limit
    injected_faults: tuple[str, ...] = ()  # that this scenario is shown to find (key: plants)
    zones: tuple[int, ...] = ()  # by member: its edge zone; empty: all in the first
    weights: tuple[float, ...] = ()  # by member: its part of the load; empty: even parts
    work_ms: float = 0.0  # what a backend takes for a request; 0: it answers at once
    deadline_s: float = 0.0  # of all classes; 0: as the settings have it
    hubs: int = 0  # each in a zone of its own; 0: two in one zone


def read_scenario(path: Path) -> Scenario:
    """The file's scenario; ConfigError that names file and key if it can't be run."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    table = SettingsTable(path.name, values, SCENARIO_KEYS)
    members, spare = _sizes(table)
    size = members + spare
    load = SettingsTable(f"{path.name}: load", values.get("load", {}), ("rps", "requests", "weights"))
    backends = SettingsTable(f"{path.name}: depots", values.get("depots", {}), ("work_ms", "deadline_s", "hubs"))
    return Scenario(
        name=table.string("name") or path.stem,
        about=table.string("about"),
        seed=table.integer("seed", 1, 0, 1 << 31),
        members=members,
        spare=spare,
        duration_s=table.number("duration_s", DEFAULT_DURATION_S, most=MOST_S),
        tables=_fleet_tables(path.name, values.get("fleet", {})),
        rps=load.number("rps", 0.0, least=FROM_ZERO, most=MOST_REQUESTS_PER_S),
        requests=load.integer("requests", 0, 0, MOST_REQUESTS),
        faults=_faults(table, values.get("fault", []), size),
        must=_must(path.name, values.get("must", {})),
        disks=_disks(path.name, values.get("disk", []), size),
        injected_faults=table.strings("plants"),
        zones=_zones(table, values, size),
        weights=_numbers(load, "weights", values.get("load", {})),
        work_ms=backends.number("work_ms", 0.0, least=FROM_ZERO, most=MOST_WORK_MS),
        deadline_s=backends.number("deadline_s", 0.0, least=FROM_ZERO, most=MOST_DEADLINE_S),
        hubs=backends.integer("hubs", 0, 0, MOST_HUBS),
    )


def _sizes(table: SettingsTable) -> tuple[int, int]:
    """Members at the start, and those that are declared later."""
    members = table.integer("members", DEFAULT_MEMBERS, 1, MOST_MEMBERS)
    spare = table.integer("spare", 0, 0, MOST_MEMBERS)
    if members + spare > MOST_MEMBERS:
        raise table.make_error("spare", f"and members are {members + spare}, more than {MOST_MEMBERS}")
    return members, spare


def _fleet_tables(file: str, tables: Any) -> Mapping[str, Mapping[str, Any]]:
    SettingsTable(f"{file}: fleet", tables, FLEET_TABLES)
    for name, table in tables.items():
        if not isinstance(table, Mapping):
            raise ConfigError(f"{file}: fleet: {name} must be a table")
    checked: Mapping[str, Mapping[str, Any]] = tables
    return checked


def _zones(table: SettingsTable, values: Mapping[str, Any], size: int) -> tuple[int, ...]:
    zones = _numbers(table, "zones", values)
    if zones and len(zones) != size:
        raise table.make_error("zones", f"names {len(zones)} members, there are {size}")
    return tuple(int(zone) for zone in zones)


def _disks(file: str, entries: Any, size: int) -> Mapping[int, str]:
    disks: dict[int, str] = {}
    for number, entry in enumerate(entries):
        disk = SettingsTable(f"{file}: disk {number}", entry, ("who", "how"))
        how = disk.string("how")
        if how not in DISK_FAULTS:
            raise disk.make_error("how", f"must be {' or '.join(DISK_FAULTS)}")
        disks[disk.integer("who", 0, 0, size - 1)] = how
    return disks


def _must(file: str, values: Any) -> Must:
    table = SettingsTable(f"{file}: must", values, MUST_KEYS)
    return Must(
        holds=table.integer("holds", 1, 0, MOST_COUNT),
        handovers=table.integer("handovers", 0, 0, MOST_COUNT),
        rejected_acts=table.integer("turned_down", 0, 0, MOST_COUNT),
        census=table.boolean("census"),
        answered=table.boolean("answered", True),
        probe_gap_s=table.number("probe_gap_s", 0.0, least=FROM_ZERO, most=MOST_S),
        tokens=table.boolean("tokens", True),
        used=_named_numbers(f"{file}: must: used", values.get("used", {})),
        away=table.integer("away", 0, 0, MOST_REGIONS_OUT),
        back=table.boolean("back"),
        said=table.strings("said"),
        served=table.number("served", 0.0, least=FROM_ZERO, most=1.0),
    )


def _faults(table: SettingsTable, entries: Any, size: int) -> tuple[Fault, ...]:
    """All faults by rising time."""
    if not isinstance(entries, list):
        raise table.make_error("fault", "must be tables, [[fault]]")
    faults = [_fault(f"{table.where}: fault {number}", entry, size) for number, entry in enumerate(entries)]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _fault(where: str, values: Any, size: int) -> Fault:
    table = SettingsTable(where, values, FAULT_KEYS)
    action = table.string("do")
    if action not in ACTIONS:
        raise table.make_error("do", f"must be one of {', '.join(ACTIONS)}, not {action!r:.40}")
    return Fault(
        at_s=table.number("at_s", 0.0, least=FROM_ZERO, most=MOST_S),
        do=action,
        who=_targets(table, action, size),
        for_s=table.number("for_s", 0.0, least=FROM_ZERO, most=MOST_S),
        each_s=table.number("each_s", 0.0, least=FROM_ZERO, most=MOST_S),
        in_act=table.boolean("in_act"),
        sides=_sides(table, values.get("sides", []), action, size),
        weather=_weather(f"{where}: weather", values.get("weather", {})),
        size=table.integer("size", 0, 0, size),
        how=_how(table, action),
        weights=_numbers(table, "weights", values),
        backend=_backend(table, action),
        amounts=_named_numbers(f"{where}: amounts", values.get("amounts", {})),
    )


def _targets(table: SettingsTable, action: str, size: int) -> tuple[str, ...]:
    targets = table.strings("who")
    for target in targets:
        if not _is_target(target, size):
            raise table.make_error("who", f"names {target!r:.40}, no member of this scenario")
    if not targets and action not in ACTIONS_ON_NOBODY:
        raise table.make_error("who", f"is missing: {action} is done to somebody")
    return targets


def _is_target(target: str, size: int) -> bool:
    if target == "all" or target.startswith(("holder:", "others:")):
        return True
    number = target[1:]
    return target[:1] == "d" and number.isdigit() and int(number) < size


def _sides(table: SettingsTable, sides: Any, action: str, size: int) -> tuple[tuple[int, ...], ...]:
    if not isinstance(sides, list) or not all(_is_side(side, size) for side in sides):
        raise table.make_error("sides", "must be lists of members' numbers")
    if action in ACTIONS_WITH_SIDES and not sides:
        raise table.make_error("sides", "is missing: a cut has sides")
    return tuple(tuple(side) for side in sides)


def _is_side(side: Any, size: int) -> bool:
    return isinstance(side, list) and all(isinstance(number, int) and 0 <= number < size for number in side)


def _backend(table: SettingsTable, action: str) -> str:
    backend = table.string("depot")
    if action in ACTIONS_ON_A_BACKEND and not backend:
        raise table.make_error("depot", f"is missing: {action} is done to one")
    return backend


def _how(table: SettingsTable, action: str) -> str:
    how = table.string("how")
    if action == "zone" and how not in BACKEND_FAULTS:
        raise table.make_error("how", "must be fail, slow, dead, cut, or empty")
    if action in ("depot", "log") and how not in RELAY_FAULTS and not how.isdigit():
        raise table.make_error("how", "must be silence, reset, or bytes a second")
    return how


def _weather(where: str, values: Any) -> Weather:
    table = SettingsTable(where, values, ("loss", "repeat", "late", "late_ms", "delay_ms"))
    return Weather(
        loss=_ratio(table, "loss"),
        repeat=_ratio(table, "repeat"),
        late=_ratio(table, "late"),
        late_ms=table.number("late_ms", 3000, most=MOST_LATE_MS),
        delay_ms=table.number("delay_ms", 0.0, least=FROM_ZERO, most=MOST_DELAY_MS),
    )


def _ratio(table: SettingsTable, key: str) -> float:
    return table.number(key, 0.0, least=FROM_ZERO, most=1.0)


def _numbers(table: SettingsTable, key: str, values: Mapping[str, Any]) -> tuple[float, ...]:
    numbers = values.get(key, [])
    if not isinstance(numbers, list) or not all(_is_weight(number) for number in numbers):
        raise table.make_error(key, "must be a list of numbers from 0")
    return tuple(float(number) for number in numbers)


def _is_weight(number: Any) -> bool:
    return isinstance(number, (int, float)) and not isinstance(number, bool) and 0 <= number < MOST_WEIGHT


def _named_numbers(where: str, values: Any) -> Mapping[str, float]:
    if not isinstance(values, Mapping) or not all(isinstance(value, (int, float)) for value in values.values()):
        raise ConfigError(f"{where} must be a table of numbers")
    return {str(key): float(value) for key, value in values.items()}


def toml_value(value: Any) -> str:
    """A value as TOML writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)) and math.isfinite(value):
        return repr(value)
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'
