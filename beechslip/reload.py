"""SIGHUP: the configuration file read again, and new settings taken up while the proxy serves."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from beechslip.clock import Alarm, Clock
from beechslip.config import Config, ConfigError, ConfigUnreadableError, reread_config
from beechslip.core.settings_transition import TRANSITION_MS, stricter_settings
from beechslip.counters import Counters
from beechslip.fleet.settings import FLEET_FILE, read_fleet
from beechslip.platform.changelog import ChangeLogReader
from beechslip.routing.interface import Settings

if TYPE_CHECKING:
    from beechslip.peering import Peering  # imported only where the fleet's file is on: protobuf stays out

log = logging.getLogger("beechslip")

# What the system refuses for a moment, such as a file that can't be opened, is tried again.
RETRY_MS = 50.0
RELOAD_ATTEMPTS = 40


def fleet_file(environ: Mapping[str, str] = os.environ) -> Path:
    """The file of what proxies do together: the one that EDGE_FLEET names, or the one in ``deploy/``."""
    named = environ.get("EDGE_FLEET")
    return Path(named) if named else FLEET_FILE


class ConfigReloader:
    """Holds the configuration in force, and brings new settings to the parts that go by them.

    Counts ``reloads`` and ``reloads.refused``.
    """

    def __init__(self, config: Config, clock: Clock, counters: Counters) -> None:
        """Start from the configuration that the process was started with."""
        self.config = config
        self.settings = config.settings  # those in force: old and new ones at once during a transition
        self.listeners: list[Callable[[Settings], None]] = []  # called with the settings in force, at each change
        self.change_log: ChangeLogReader | None = None  # follows the address that the file names
        self.peering: Peering | None = None
        self._clock = clock
        self._counters = counters
        self._transition: Alarm | None = None  # its end

    def reload(self, environ: Mapping[str, str] | None = None, retries: int = RELOAD_ATTEMPTS) -> None:
        """Read the configuration file again: follow the change log where it is now, go by the new settings.

        Guards against an end by SIGHUP, which kills a program that has no handler for it. All else that the
        file says holds from the next start on; one that can't be used leaves everything as it was.
        """
        try:
            config = reread_config(self.config, environ)
            self._reload_peers(config)
        except ConfigUnreadableError as error:
            if retries > 0:
                log.warning("the new configuration can't be read yet: %s", error)
                self._clock.call_later(RETRY_MS, lambda: self.reload(environ, retries - 1))
                return
            self._reject(error)
            return
        except ConfigError as error:
            self._reject(error)
            return
        self._counters.add("reloads")
        self.config = config
        self._change_settings(config.settings)
        if self.change_log is not None and config.changelog is not None:
            self.change_log.set_address(config.changelog)
            log.info("the change log is at %s, read up to %d", config.changelog, self.change_log.last_seq)

    def _reject(self, error: ConfigError) -> None:
        self._counters.add("reloads.refused")
        log.error("the new configuration is not used: %s", error)

    def _reload_peers(self, config: Config) -> None:
        """Take up the peers that the configuration and the fleet's file name now.

        Raises ConfigError, with nothing changed, where that needs a restart.
        """
        if self.peering is None:
            return
        fleet = read_fleet(fleet_file(), config)
        if fleet is None:
            raise ConfigError("the fleet's file is off now: what it turned on ends with a restart only")
        from beechslip.peering import settings_digest

        self.peering.reload(fleet, config.settings)
        self.peering.settings_digest = settings_digest(config)

    def _change_settings(self, settings: Settings) -> None:
        """Go by old and new settings at once, and by the new ones alone once clients do."""
        if self._transition is not None:
            self._transition.cancel()
        if settings == self.settings:
            return
        log.info("settings: classes %s, attempts %d", " ".join(settings.classes), settings.max_attempts)
        self._apply(stricter_settings(self.settings, settings))
        self._transition = self._clock.call_later(TRANSITION_MS, lambda: self._apply(settings))

    def _apply(self, settings: Settings) -> None:
        self.settings = settings
        for listener in self.listeners:
            listener(settings)
