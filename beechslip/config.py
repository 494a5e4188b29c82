"""The configuration of a proxy: EDGE_* environment variables, a JSON file, and TOML files in ``deploy/``."""

from __future__ import annotations

import errno
import logging
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from beechslip.reload_check import IncompleteFileError, check_reread_file
from beechslip.routing.interface import Settings
from beechslip.routing.wire.settings import read_settings

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
LOG_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}
MAX_PORT = 65535
MAX_FD_DIGITS = 7
DNS_FILE = Path(__file__).resolve().parent.parent / "deploy" / "dns.toml"
RECORD_FILE = DNS_FILE.with_name("record.toml")  # read by beechslip.store.sent_requests


class ConfigError(Exception):
    """The configuration is missing, can't be read or is invalid."""


class ConfigUnreadableError(ConfigError):
    """A configuration file can't be read at the moment, because of the system and not because of its contents."""


# A read that failed with one of these errors may succeed a moment later.
TRANSIENT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})


def log_level(environ: Mapping[str, str]) -> int:
    """Return the log level that EDGE_LOG names; ``debug`` logs a line for each request and attempt.

    Raises ConfigError if EDGE_LOG names no known level.
    """
    name = environ.get("EDGE_LOG") or "info"
    if name not in LOG_LEVELS:
        raise ConfigError(f"invalid EDGE_LOG: expected one of {', '.join(LOG_LEVELS)}, not {name!r:.60}")
    return LOG_LEVELS[name]


@dataclass(frozen=True, slots=True)
class Address:
    """A network address: an IP address or a host name, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, which ``parse_address`` can read."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``, for example ``10.0.0.4:7001``. Raises ConfigError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"invalid address {text!r:.60}: expected host:port with a port from 1 to 65535")
    return Address(host.strip("[]"), int(port))


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """The settings of the DNS front, from ``deploy/dns.toml``: its DNS zone, its address and its times."""

    zone: str
    listen: Address
    hold_ms: float = 1000.0  # how long an answer counts as an attempt in flight
    wait_ms: float = 1500.0  # the time limit for answering a resolver


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: Address
    seed: int
    settings: Settings
    changelog_address: Address | None = None
    known_events: Mapping[str, Any] = field(default_factory=dict)  # change log events up to the writing of the file
    max_sockets: int = DEFAULT_MAX_SOCKETS  # limit on open connections of clients and to backends together
    memory_mb: float = DEFAULT_MEMORY_MB  # limit on the resident memory of the process
    ops_address: Address | None = None  # where operators' requests are served
    listening_fd: int | None = None  # descriptor of the listening socket, if the platform has opened it
    dns: DnsConfig | None = None
    file_contents: Mapping[str, Any] = field(default_factory=dict)  # the JSON file, but with None for "known"


def read_if_enabled(path: Path) -> dict[str, Any] | None:
    """Read the TOML file of an optional feature, which is on only if the file sets ``enabled = true``.

    Returns ``None`` if the file is absent or the feature is off. Raises ConfigError if the file can't be read.
    """
    try:
        table = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise _file_error(path.name, error) from None
    return table if table.get("enabled") is True else None


def read_dns_config(path: Path) -> DnsConfig | None:
    """Read the settings of the DNS front; None if the file is absent or the front is off.

    Raises ConfigError if the file can't be read or is invalid.
    """
    table = read_if_enabled(path)
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
        raise ConfigError(
            f"{path.name}: invalid settings, expected zone, listen, and numbers hold_ms and wait_ms: {error!r}"
        ) from None


def read_config(env: Mapping[str, str] | None = None) -> Config:
    """Read the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_OPS override its values.

    ``env``: the environment of the process by default. Raises ConfigError if the file or a variable is invalid, and
    ConfigUnreadableError if the file can't be read at the moment.
    """
    env = os.environ if env is None else env
    path, contents = _load_file(env)
    dns = read_dns_config(Path(env["EDGE_DNS"]) if env.get("EDGE_DNS") else DNS_FILE)
    return _parse_config(env, path, contents, dns)


def _parse_config(env: Mapping[str, str], path: str, contents: Any, dns: DnsConfig | None) -> Config:
    """Return the configuration in the file's contents and the environment. Raises ConfigError if it is invalid."""
    if not isinstance(contents, dict) or not isinstance(contents.get("settings"), dict):
        raise ConfigError(f"{path}: expected a JSON object with an object 'settings'")
    known = contents.get("known")
    return Config(
        name=env.get("EDGE_NAME") or str(contents.get("name", "")),
        seed=_read_seed(path, contents),
        listening_fd=_read_listening_fd(env),
        listen=parse_address(env.get("EDGE_LISTEN") or str(contents.get("listen", ""))),
        settings=read_settings(contents["settings"]),
        changelog_address=_parse_optional_address(contents.get("changelog")),
        known_events=known if isinstance(known, dict) else {},
        ops_address=_parse_optional_address(env.get("EDGE_OPS") or contents.get("ops")),
        max_sockets=_read_max_sockets(contents.get("limits")),
        memory_mb=_read_memory_mb(contents.get("limits")),
        dns=dns,
        file_contents={name: None if name == "known" else value for name, value in contents.items()},
    )


def _read_seed(path: str, contents: Mapping[str, Any]) -> int:
    try:
        return int(str(contents.get("seed", "0")), 16)
    except ValueError as error:
        raise ConfigError(f"{path}: invalid seed, expected a hexadecimal number: {error}") from None


def _read_listening_fd(env: Mapping[str, str]) -> int | None:
    """Return the descriptor of the platform's listening socket, if EDGE_FD names one."""
    fd = env.get("EDGE_FD")
    if not fd:
        return None
    if not (fd.isascii() and fd.isdigit() and len(fd) <= MAX_FD_DIGITS):
        raise ConfigError(f"invalid EDGE_FD {fd!r:.60}: expected the number of a file descriptor")
    return int(fd)


def _parse_optional_address(value: Any) -> Address | None:
    return parse_address(value) if isinstance(value, str) and value else None


def _read_max_sockets(limits: Any) -> int:
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    return sockets if isinstance(sockets, int) and sockets > 0 else DEFAULT_MAX_SOCKETS


def _read_memory_mb(limits: Any) -> float:
    memory_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, (int, float)) or not memory_mb > 0:
        return DEFAULT_MEMORY_MB
    return float(memory_mb)


def reread_config(before: Config, env: Mapping[str, str] | None = None) -> Config:
    """Read the configuration file again while the proxy is running on ``before``.

    The check is stricter than at a start; see :mod:`beechslip.reload_check`. Raises ConfigError if the file is
    incomplete or invalid.
    """
    env = os.environ if env is None else env
    path, contents = _load_file(env)
    try:
        check_reread_file(before.file_contents, contents)
    except IncompleteFileError as error:
        raise ConfigError(f"{path}: {error}") from None
    return _parse_config(env, path, contents, before.dns)  # the DNS front's settings apply from the next start on


def _load_file(env: Mapping[str, str]) -> tuple[str, Any]:
    """Return the path of the configuration file, and the JSON value that it holds."""
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set: expected the path of the configuration file")
    try:
        return path, orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise _file_error(path, error) from None


def _file_error(path: str, error: OSError | ValueError) -> ConfigError:
    """Return the error for a file that can't be opened, read or parsed."""
    is_transient = isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS
    kind = ConfigUnreadableError if is_transient else ConfigError
    return kind(f"{path}: {error}")
