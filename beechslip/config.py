"""A proxy's configuration: the EDGE_* variables, its JSON file, and the TOML files under ``deploy/``."""

from __future__ import annotations

import errno
import logging
import math
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from beechslip.routing.interface import Settings
from beechslip.routing.wire.settings import read_settings

DEFAULT_SOCKETS = 1024
LOG_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}
MAX_PORT = 65535
MAX_FD_DIGITS = 7
PER_CLASS_LISTS = ("goesThrough", "maxAge", "staleFor")  # settings that are lists in the order of the classes
DNS_FILE = Path(__file__).resolve().parent.parent / "deploy" / "dns.toml"
RECORD_FILE = DNS_FILE.with_name("record.toml")  # read by beechslip.store.sent_requests


class ConfigError(Exception):
    """A configuration that can't be used."""


class ConfigUnreadableError(ConfigError):
    """The configuration's file can't be read for the moment: a fault of the system, not of the file."""


# Errors of a read that may be gone a moment later.
TRANSIENT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})


def log_level(environ: Mapping[str, str]) -> int:
    """The level that EDGE_LOG names (``debug`` has a line for each request and attempt); ConfigError for another."""
    name = environ.get("EDGE_LOG") or "info"
    if name not in LOG_LEVELS:
        raise ConfigError(f"EDGE_LOG is none of {', '.join(LOG_LEVELS)}: {name!r:.60}")
    return LOG_LEVELS[name]


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens: an IP address or a name, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """``host:port``, as ``parse_address`` reads it."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Read ``host:port``, as in ``10.0.0.4:7001``; ConfigError where the text is anything else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"not an address: {text!r:.60}")
    return Address(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """Where the DNS front listens, and for what zone; see ``deploy/dns.toml``."""

    zone: str
    listen: Address
    hold_ms: float = 1000.0  # an answer counts as an attempt in flight for this long
    wait_ms: float = 1500.0  # a resolver is answered within this


@dataclass(frozen=True, slots=True)
class Config:
    """One proxy's configuration."""

    name: str
    listen: Address
    seed: int
    settings: Settings
    changelog: Address | None = None
    known: Mapping[str, Any] = field(default_factory=dict)  # the change log's events up to the file's writing
    sockets: int = DEFAULT_SOCKETS  # the most that may be open, of clients and to backends together
    ops: Address | None = None  # where operators' requests are served
    fd: int | None = None  # the platform's listening socket, where it holds that
    dns: DnsConfig | None = None
    contents: Mapping[str, Any] = field(default_factory=dict)  # the file as it was read, with no value for "known"


def read_enabled(path: Path) -> dict[str, Any] | None:
    """An operator's TOML file for a part that is off unless it says ``enabled = true``; ``None`` where it is
    absent or off; ConfigError where it can't be read."""
    try:
        table = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise _read_error(path.name, error) from None
    return table if table.get("enabled") is True else None


def read_dns(path: Path) -> DnsConfig | None:
    """The DNS front's file; None where it is absent or off; ConfigError where it can't be used."""
    table = read_enabled(path)
    if table is None:
        return None
    try:
        return DnsConfig(
            str(table["zone"]),
            parse_address(str(table["listen"])),
            float(table.get("hold_ms", 1000)),
            float(table.get("wait_ms", 1500)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error!r}") from None


def read_config(env: Mapping[str, str] | None = None) -> Config:
    """Read the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_OPS go before what it says.

    ``env``: the process's environment by default. ConfigError where the file or a variable can't be used,
    ConfigUnreadableError where the file can't be read for the moment.
    """
    env = os.environ if env is None else env
    path, contents = _load(env)
    if not isinstance(contents, dict) or not isinstance(contents.get("settings"), dict):
        raise ConfigError(f"{path}: no settings")
    known = contents.get("known")
    return Config(
        name=env.get("EDGE_NAME") or str(contents.get("name", "")),
        seed=_seed(path, contents),
        fd=_inherited_fd(env),
        listen=parse_address(env.get("EDGE_LISTEN") or str(contents.get("listen", ""))),
        settings=read_settings(contents["settings"]),
        changelog=_optional_address(contents.get("changelog")),
        known=known if isinstance(known, dict) else {},
        ops=_optional_address(env.get("EDGE_OPS") or contents.get("ops")),
        sockets=_sockets(contents.get("limits")),
        dns=read_dns(Path(env["EDGE_DNS"]) if env.get("EDGE_DNS") else DNS_FILE),
        contents={name: None if name == "known" else value for name, value in contents.items()},
    )


def _seed(path: str, contents: Mapping[str, Any]) -> int:
    try:
        return int(str(contents.get("seed", "0")), 16)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None


def _inherited_fd(env: Mapping[str, str]) -> int | None:
    """The descriptor of the platform's listening socket, where EDGE_FD names one."""
    fd = env.get("EDGE_FD")
    if not fd:
        return None
    if not (fd.isascii() and fd.isdigit() and len(fd) <= MAX_FD_DIGITS):
        raise ConfigError(f"EDGE_FD is no descriptor: {fd!r:.60}")
    return int(fd)


def _optional_address(value: Any) -> Address | None:
    return parse_address(value) if isinstance(value, str) and value else None


def _sockets(limits: Any) -> int:
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    return sockets if isinstance(sockets, int) and sockets > 0 else DEFAULT_SOCKETS


def reread_config(before: Config, env: Mapping[str, str] | None = None) -> Config:
    """Read the file again, for a program that runs by what it said before; raises ConfigError.

    Guards against a file that is half written or wrong in one place: at a start it would be read leniently,
    but a program that serves must not lose a class, a rule or its change log to it.
    """
    env = os.environ if env is None else env
    path, contents = _load(env)
    try:
        _check_complete(before.contents, contents, "the file")
        _check_classes(contents["settings"])
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    return read_config(env)


def _load(env: Mapping[str, str]) -> tuple[str, Any]:
    """The path of the configuration file, and the JSON value that it holds."""
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        return path, orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise _read_error(path, error) from None


def _read_error(path: str, error: OSError | ValueError) -> ConfigError:
    """The error for a file that can't be opened, read or parsed."""
    transient = isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS
    kind = ConfigUnreadableError if transient else ConfigError
    return kind(f"{path}: {error}")


def _json_kind(value: Any) -> type:
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)


def _check_complete(before: Any, now: Any, where: str) -> None:
    """All that was in the file before is there again, each with the same kind of value; else ConfigError.

    In a list of objects each must have what all of them had.
    """
    if before is not None and _json_kind(before) is not _json_kind(now):
        raise ConfigError(f"{where} has another kind of value")
    if isinstance(before, Mapping):
        for name, value in before.items():
            if name not in now:
                raise ConfigError(f"{where} lacks {name!r}")
            _check_complete(value, now[name], name)
    elif isinstance(before, list) and before and all(isinstance(entry, Mapping) for entry in before):
        common = {name: value for name, value in before[0].items() if all(name in entry for entry in before)}
        for entry in now:
            _check_complete(common, entry, f"an entry of {where}")


def _above_zero(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 < value < math.inf


def _check_classes(settings: Mapping[str, Any]) -> None:
    """Classes, their deadlines and the cap of attempts are there and can be used; else ConfigError."""
    classes, specifics, caps = settings.get("classes"), settings.get("specifics"), settings.get("caps")
    if not classes or not isinstance(classes, list):
        raise ConfigError("no classes")
    names = [entry.get("name") for entry in classes]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ConfigError("a class without a name of its own")
    for entry in classes:
        if not _above_zero(entry.get("giveUp")):
            raise ConfigError(f"the deadline of {entry['name']!r} is no number above 0")
    if not _above_zero(caps.get("maxAttempts") if isinstance(caps, dict) else None):
        raise ConfigError("the number of attempts is no number above 0")
    for name in PER_CLASS_LISTS:
        values = specifics.get(name) if isinstance(specifics, dict) else None
        if values is not None and (not isinstance(values, list) or len(values) != len(classes)):
            raise ConfigError(f"{name!r} does not go with the classes")
