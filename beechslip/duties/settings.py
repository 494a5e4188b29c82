"""The operators' file for shared duties, ``deploy/duties.toml`` (or the file that ``EDGE_DUTIES`` names)."""
from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechslip.config import Address, ConfigError, parse_address, read_enabled
from beechslip.duties.membership import Tuning
from beechslip.duties.node import DutyTuning

DUTIES_FILE = Path(__file__).resolve().parents[2] / "deploy" / "duties.toml"


@dataclass(frozen=True, slots=True)
class DutiesConfig:
    fleet: str
    listen: Address
    seeds: tuple[str, ...]
    tuning: Tuning
    duty: DutyTuning


def _positive(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ConfigError(f"{name} must be a number above 0, not {value!r:.40}")
    return float(value)


def read_duties(path: Path = DUTIES_FILE) -> DutiesConfig | None:
    """The file's settings; ``None`` where it is absent or not ``enabled``; :class:`ConfigError` if wrong."""
    table = read_enabled(path)
    if table is None:
        return None
    try:
        listen = parse_address(str(table["listen"]))
        seeds = table.get("seeds", [])
        if not isinstance(seeds, list):
            raise ConfigError("seeds must be a list of addresses")
        for seed in seeds:
            parse_address(str(seed))
        standbys = table.get("standbys", 2)
        if not isinstance(standbys, int) or isinstance(standbys, bool) or not 0 <= standbys <= 8:
            raise ConfigError("standbys must be a whole number from 0 to 8")
        indirect = table.get("indirect", 3)
        if not isinstance(indirect, int) or isinstance(indirect, bool) or not 0 <= indirect <= 16:
            raise ConfigError("indirect must be a whole number from 0 to 16")
        tuning = Tuning(period_ms=_positive(table, "period_ms", 500),
                        suspect_ms=_positive(table, "suspect_ms", 1500), indirect=indirect)
        duty = DutyTuning(interval_ms=_positive(table, "interval_ms", 2000),
                          takeover_ms=_positive(table, "takeover_ms", 2000),
                          lease_ms=_positive(table, "lease_ms", 4000), k=standbys + 1,
                          rate_per_s=_positive(table, "rate_per_s", 50))
        return DutiesConfig(str(table.get("fleet", "")), listen, tuple(str(s) for s in seeds), tuning, duty)
    except ConfigError as error:
        raise ConfigError(f"{path.name}: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path.name}: {error} is missing") from None
