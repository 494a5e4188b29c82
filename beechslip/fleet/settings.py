"""The operators' file for all that proxies do together, ``deploy/fleet.toml`` (or what ``EDGE_FLEET`` names).

One table a part; :class:`Table` reads it with errors that name file, table and key. All of it is off as
shipped. The file that came before it, ``deploy/duties.toml`` (``EDGE_DUTIES``), is refused.
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
OLD_FILE = FLEET_FILE.with_name("duties.toml")
MOST_MEMBERS = 512
TABLES = ("membership", "duties", "leases", "census", "budgets", "regions")
MEMBERSHIP_KEYS = ("period_ms", "suspect_ms", "suspect_most_ms", "accusers", "indirect")
HEAD = ("enabled", "name", "listen", "peers", "number", "tick_ms", "history")


class Table:
    """One table of the file; each method that reads a key raises ConfigError by name if its value can't be used."""

    def __init__(self, where: str, values: Any, known: tuple[str, ...]) -> None:
        """``where`` names file and table in errors; ConfigError if ``values`` has a key that is not ``known``."""
        if not isinstance(values, Mapping):
            raise ConfigError(f"{where} must be a table")
        for key in values:
            if key not in known:
                raise ConfigError(f"{where}: no key is called {key!r:.40}")
        self.where, self._values = where, values

    def fail(self, key: str, why: str) -> ConfigError:
        """The error to raise for ``key``; ``why`` follows its name."""
        return ConfigError(f"{self.where}: {key} {why}")

    def number(self, key: str, default: float, least: float = 0.0, most: float = math.inf) -> float:
        """A number above ``least`` and at most ``most``."""
        value = self._values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least < value <= most:
            bound = f" and at most {most:g}" if most < math.inf else ""
            raise self.fail(key, f"must be a number above {least:g}{bound}, not {value!r:.40}")
        return float(value)

    def whole(self, key: str, default: int, least: int, most: int) -> int:
        """A whole number from ``least`` to ``most``."""
        value = self._values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise self.fail(key, f"must be a whole number from {least} to {most}, not {value!r:.40}")
        return value

    def flag(self, key: str, default: bool = False) -> bool:
        """A boolean."""
        value = self._values.get(key, default)
        if not isinstance(value, bool):
            raise self.fail(key, f"must be true or false, not {value!r:.40}")
        return value

    def text(self, key: str, default: str = "") -> str:
        """A string."""
        value = self._values.get(key, default)
        if not isinstance(value, str):
            raise self.fail(key, f"must be a string, not {value!r:.40}")
        return value

    def texts(self, key: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """A list of strings."""
        value = self._values.get(key, list(default))
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self.fail(key, f"must be a list of strings, not {value!r:.40}")
        return tuple(value)

    def address(self, key: str, value: str) -> Address:
        """``value``, which was read from ``key``, as host and port."""
        try:
            return parse_address(value)
        except ConfigError as error:
            raise self.fail(key, str(error)) from None


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Where this proxy is among its peers, and the tables of the parts (each part reads its own)."""

    name: str
    number: int
    listen: Address
    peers: tuple[Address, ...]
    tick_ms: float
    history: str  # a file that acts are written to, for the lab's checkers; "": none
    tuning: MembershipTuning
    tables: Mapping[str, Any]
    file: str


def refuse_old(environ: Mapping[str, str], old: Path = OLD_FILE) -> None:
    """ConfigError if the file or variable that an earlier version read is there: duties would silently stay off."""
    if environ.get("EDGE_DUTIES") or old.exists():
        what = "EDGE_DUTIES" if environ.get("EDGE_DUTIES") else old.name
        raise ConfigError(
            f"{what} is no longer read: move its keys to the tables [membership] and [duties] of "
            "deploy/fleet.toml, name the file by EDGE_FLEET, and take the old one away"
        )


def read_fleet(path: Path, config: Config) -> FleetConfig | None:
    """The file's settings; ``None`` where it is absent or not ``enabled``; ConfigError if it can't be used.
    What it leaves out (``listen``, ``peers``, ``number``) is the platform's."""
    values = read_if_enabled(path)
    if values is None:
        return None
    table = Table(path.name, values, HEAD + TABLES)
    peers = _peers(table, config)
    number = table.whole("number", config.settings.me, 0, MOST_MEMBERS)
    if number >= len(peers):
        raise table.fail("number", f"is {number}, but there are {len(peers)} peers, counted from 0")
    listen = table.text("listen") or str(config.file_contents.get("peer_listen") or peers[number])
    tuning = _membership_tuning(Table(f"{path.name}: membership", values.get("membership", {}), MEMBERSHIP_KEYS))
    return FleetConfig(
        table.text("name"),
        number,
        table.address("listen", listen),
        tuple(table.address("peers", peer) for peer in peers),
        table.number("tick_ms", 50, most=1000),
        table.text("history"),
        tuning,
        {name: values.get(name, {}) for name in TABLES},
        path.name,
    )


def _peers(table: Table, config: Config) -> tuple[str, ...]:
    """The members' addresses, by the file or else the platform: bounded and distinct."""
    platform_peers = config.file_contents.get("peers")
    peers = table.texts("peers")
    if not peers and isinstance(platform_peers, list):
        peers = tuple(str(peer) for peer in platform_peers)
    if not 0 < len(peers) <= MOST_MEMBERS:
        raise table.fail("peers", f"must name 1 to {MOST_MEMBERS} proxies, here or in the configuration")
    if len(set(peers)) < len(peers):
        raise table.fail("peers", "names an address twice")
    return peers


def _membership_tuning(table: Table) -> MembershipTuning:
    least = table.number("suspect_ms", 1500)
    longest = table.number("suspect_most_ms", 4 * least)
    if longest < least:
        raise table.fail("suspect_most_ms", f"is {longest:g}, under suspect_ms {least:g}")
    return MembershipTuning(
        period_ms=table.number("period_ms", 500),
        suspect_ms=least,
        suspect_most_ms=longest,
        accusers=table.whole("accusers", 3, 0, 16),
        indirect=table.whole("indirect", 3, 0, 16),
    )
