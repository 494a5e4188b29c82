"""Sends operators' commands for regions to the coordinator, through any declared proxy that responds."""

from __future__ import annotations

import http.client
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import orjson

from beechslip.config import Address, ConfigError, parse_address
from beechslip.store import Instance, StoreError

CONNECTION_TIMEOUT_S = 5.0  # for each connection to an instance
COMMAND_NUMBER_BITS = 60  # size of the random number by which a repeated command is recognized and runs once
REGIONS_DISABLED_TEXT = "has regions disabled: enable them in deploy/fleet.toml"
UNKNOWN_CALL_TEXTS = ("no such call", "not a method")  # responses of an operators' port that does not serve /regions
UNKNOWN_CALL_STATUSES = (404, 405)


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A response from an operators' port: the name of the instance, the HTTP status and the response text."""

    instance: str
    status: int
    text: str


def ops_addresses(instances: Iterable[Instance]) -> list[tuple[str, Address]]:
    """Return the name and operators' address of each instance that is wanted running.

    The address is read from the instance's configuration file. An instance whose file cannot be read is left out;
    the agent reports the error.
    """
    found = []
    for instance in instances:
        try:
            with open(instance.config, "rb") as file:
                config = orjson.loads(file.read())
            if instance.wanted == "running" and isinstance(config, dict) and isinstance(config.get("ops"), str):
                found.append((instance.name, parse_address(config["ops"])))
        except (OSError, ValueError, ConfigError):
            continue
    return found


def call_any(addresses: list[tuple[str, Address]], method: str, target: str) -> CallResponse:
    """Call each instance in turn, and return the first response.

    Raises StoreError, with the failure of each instance, if none responds.
    """
    failures = []
    for name, address in addresses:
        connection = http.client.HTTPConnection(address.host, address.port, timeout=CONNECTION_TIMEOUT_S)
        try:
            connection.request(method, target)
            response = connection.getresponse()
            return CallResponse(name, response.status, response.read().decode("utf-8", "replace"))
        except OSError as error:
            failures.append(f"{name} at {address}: {error}")
        finally:
            connection.close()
    reason = "; ".join(failures) or "no declared instance has an operators' address"
    raise StoreError(f"no instance answers: {reason}")


def send_command(addresses: list[tuple[str, Address]], region: str, command: str, operator: int) -> tuple[int, str]:
    """Send ``command`` (out, return, hold, free) for ``region``; return the HTTP status and the coordinator's text.

    Raises StoreError if no instance responds, or if the first one that does has regions disabled.
    """
    number = secrets.randbits(COMMAND_NUMBER_BITS) | 1
    query = urlencode({"region": region, "word": command, "who": operator, "number": number})
    response = call_any(addresses, "POST", f"/regions?{query}")
    if response.status in UNKNOWN_CALL_STATUSES and response.text.startswith(UNKNOWN_CALL_TEXTS):
        raise StoreError(f"{response.instance} {REGIONS_DISABLED_TEXT}")
    return response.status, response.text


def table_lines(addresses: list[tuple[str, Address]]) -> list[str]:
    """Return a heading and a line for each region.

    A line has the region's state, the fraction of its objects that is routed there, its backends and its failed
    attempts. Raises StoreError if no instance responds, or if the first one that does has regions disabled.
    """
    response = call_any(addresses, "GET", "/regions")
    if response.status != 200:
        raise StoreError(f"{response.instance} {REGIONS_DISABLED_TEXT}")
    page = orjson.loads(response.text)
    coordinator = page["steward"] or "none"
    heading = f"# steward {coordinator}, order {page['token']}.{page['epoch']}, told by {response.instance}"
    return [heading, *(_region_line(name, entry) for name, entry in page["regions"].items())]


def _region_line(name: str, entry: Mapping[str, Any]) -> str:
    hold = " held" if entry["held"] else ""
    failed = f"{entry['bad']:g}/{entry['tried']:g}"
    return f"{name}\t{entry['state']}{hold}\t{entry['share']:g}\t{entry['depots']}\t{failed}"
