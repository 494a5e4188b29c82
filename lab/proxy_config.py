"""The contents of the configuration files of a scenario's proxies."""

from __future__ import annotations

import copy
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from lab.scenario import Scenario, format_toml_value
from lab.stand import SETTINGS

PROXY_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
SHORT_TIMEOUT_S = 1.0  # for idle connections and failing backends, where the scenario sets short deadlines


def proxy_settings(scenario: Scenario, number: int, zones: Sequence[int]) -> dict[str, Any]:
    """Return the routing settings of proxy ``number``; ``zones`` is the zone of each proxy."""
    size = len(zones)
    settings = copy.deepcopy(SETTINGS)
    settings["me"] = number
    settings["balancers"] = size
    specifics = settings["specifics"]
    specifics["instancesByZone"] = [0, size]
    if max(zones):
        edge_zones = range(max(zones) + 1)
        settings["dcs"] = ["north", *(f"edge-{edge + 1}" for edge in edge_zones)]
        settings["myZone"] = f"edge-{zones[number] + 1}"
        specifics["instancesByZone"] = [0, *(zones.count(edge) for edge in edge_zones)]
        specifics["attachedTo"] = [0] * (len(edge_zones) + 1)
    if scenario.deadline_s:
        for rule in settings["classes"]:
            rule["giveUp"] = scenario.deadline_s
        settings["safety"]["fall"] = SHORT_TIMEOUT_S
        settings["caps"]["idleClose"] = SHORT_TIMEOUT_S
    return settings


def fleet_toml(scenario: Scenario, history: Path, declared: int, amounts: Mapping[str, float]) -> str:
    """Return the text of a member's ``fleet.toml``: the defaults, overridden by the scenario's tables.

    ``declared`` is the size of the declared member set; ``amounts`` replace those of the table ``budgets``.
    """
    lines = ["enabled = true", 'name = "lab"', "tick_ms = 20", f'history = "{history}"']
    tables = {name: dict(table) for name, table in scenario.tables.items()}
    if amounts:
        tables["budgets"].update(amounts)
    if "leases" in tables:
        tables["leases"]["members"] = declared
        if declared != scenario.members:
            tables["leases"]["before"] = scenario.members
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {format_toml_value(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"
