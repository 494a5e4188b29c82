"""The operators' settings for all that the proxies do together: ``deploy/fleet.toml``, or the file in ``EDGE_FLEET``.

There is one table for each part. :class:`SettingsTable` reads a table, with errors that name the file, the table and
the key. Everything is disabled as shipped. The file of an earlier version, ``deploy/duties.toml`` (``EDGE_DUTIES``),
is refused.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechslip.config import Address, Config, ConfigError, parse_address, read_if_enabled
from beechslip.fleet.tuning import MembershipTuning

FLEET_FILE = Path(__file__).resolve().parents[2] / "deploy" / "fleet.toml"
OLD_DUTIES_FILE = FLEET_FILE.with_name("duties.toml")
MAX_MEMBERS = 512
TABLE_NAMES = ("membership", "duties", "leases", "census", "budgets", "regions")
MEMBERSHIP_KEYS = ("period_ms", "suspect_ms", "suspect_most_ms", "accusers", "indirect")
TOP_LEVEL_KEYS = ("enabled", "name", "listen", "peers", "number", "tick_ms", "history")


class SettingsTable:
    """One table of the file. Each method that reads a key raises a ConfigError naming it if its value is invalid."""

    def __init__(self, where: str, values: Any, known: tuple[str, ...]) -> None:
        """``where`` names the file and the table in errors. Raise ConfigError if a key in ``values`` is unknown."""
        if not isinstance(values, Mapping):
            raise ConfigError(f"{where} must be a table")
        for key in values:
            if key not in known:
                raise ConfigError(f"{where}: unknown key {key!r:.40}")
        self.where, self._values = where, values

    def make_error(self, key: str, why: str) -> ConfigError:
        """Return the error to raise for ``key``; ``why`` follows the name of the key in its text."""
        return ConfigError(f"{self.where}: {key} {why}")

    def number(self, key: str, default: float, least: float = 0.0, most: float = math.inf) -> float:
        """Return the number at ``key``, which must be above ``least`` and at most ``most``."""
        value = self._values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least < value <= most:
            bound = f" and at most {most:g}" if most < math.inf else ""
            raise self.make_error(key, f"must be a number above {least:g}{bound}, not {value!r:.40}")
        return float(value)

    def integer(self, key: str, default: int, least: int, most: int) -> int:
        """Return the integer at ``key``, which must be from ``least`` to ``most``."""
        value = self._values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise self.make_error(key, f"must be an integer from {least} to {most}, not {value!r:.40}")
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Return the boolean at ``key``."""
        value = self._values.get(key, default)
        if not isinstance(value, bool):
            raise self.make_error(key, f"must be true or false, not {value!r:.40}")
        return value

    def string(self, key: str, default: str = "") -> str:
        """Return the string at ``key``."""
        value = self._values.get(key, default)
        if not isinstance(value, str):
            raise self.make_error(key, f"must be a string, not {value!r:.40}")
        return value

    def strings(self, key: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return the list of strings at ``key``, as a tuple."""
        value = self._values.get(key, list(default))
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self.make_error(key, f"must be a list of strings, not {value!r:.40}")
        return tuple(value)

    def address(self, key: str, value: str) -> Address:
        """Parse ``value``, which was read from ``key``, as host and port."""
        try:
            return parse_address(value)
        except ConfigError as error:
            raise self.make_error(key, str(error)) from None


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The place of this proxy among its peers, and the tables of the parts (each part reads its own table)."""

    name: str
    number: int
    listen: Address
    peers: tuple[Address, ...]
    tick_ms: float
    history: str  # a file that history events are written to, for the lab's checkers; "": none
    tuning: MembershipTuning
    tables: Mapping[str, Any]
    file: str


def refuse_old_settings_file(environ: Mapping[str, str], old: Path = OLD_DUTIES_FILE) -> None:
    """Raise ConfigError if the file or variable of an earlier version is there: duties would silently stay off."""
    if environ.get("EDGE_DUTIES") or old.exists():
        what = "EDGE_DUTIES" if environ.get("EDGE_DUTIES") else old.name
        raise ConfigError(
            f"{what} is no longer read: move its keys to the tables [membership] and [duties] of "
            "deploy/fleet.toml, set EDGE_FLEET to the path of that file, and remove the old one"
        )


def read_fleet(path: Path, config: Config) -> FleetConfig | None:
    """Read the settings file. Return None if it is absent or not ``enabled``; raise ConfigError if it is invalid.

    Keys that it leaves out (``listen``, ``peers``, ``number``) are taken from the platform's configuration.
    """
    values = read_if_enabled(path)
    if values is None:
        return None
    table = SettingsTable(path.name, values, TOP_LEVEL_KEYS + TABLE_NAMES)
    peers = _read_peers(table, config)
    number = table.integer("number", config.settings.me, 0, MAX_MEMBERS)
    if number >= len(peers):
        raise table.make_error("number", f"is {number}, but there are {len(peers)} peers, numbered from 0")
    listen = table.string("listen") or str(config.file_contents.get("peer_listen") or peers[number])
    tuning = _read_membership_tuning(
        SettingsTable(f"{path.name}: membership", values.get("membership", {}), MEMBERSHIP_KEYS)
    )
    return FleetConfig(
        table.string("name"),
        number,
        table.address("listen", listen),
        tuple(table.address("peers", peer) for peer in peers),
        table.number("tick_ms", 50, most=1000),
        table.string("history"),
        tuning,
        {name: values.get(name, {}) for name in TABLE_NAMES},
        path.name,
    )


def _read_peers(table: SettingsTable, config: Config) -> tuple[str, ...]:
    """Read the addresses of the members from the file, or else from the platform's configuration."""
    platform_peers = config.file_contents.get("peers")
    peers = table.strings("peers")
    if not peers and isinstance(platform_peers, list):
        peers = tuple(str(peer) for peer in platform_peers)
    if not 0 < len(peers) <= MAX_MEMBERS:
        raise table.make_error(
            "peers", f"must list 1 to {MAX_MEMBERS} proxies, here or in the platform's configuration"
        )
    if len(set(peers)) < len(peers):
        raise table.make_error("peers", "lists an address twice")
    return peers


def _read_membership_tuning(table: SettingsTable) -> MembershipTuning:
    least = table.number("suspect_ms", 1500)
    longest = table.number("suspect_most_ms", 4 * least)
    if longest < least:
        raise table.make_error("suspect_most_ms", f"is {longest:g}, less than suspect_ms {least:g}")
    return MembershipTuning(
        period_ms=table.number("period_ms", 500),
        suspect_ms=least,
        suspect_most_ms=longest,
        accusers=table.integer("accusers", 3, 0, 16),
        indirect=table.integer("indirect", 3, 0, 16),
    )
