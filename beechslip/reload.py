"""Reload on SIGHUP: reads the configuration file again, and applies new settings while the proxy serves."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from beechslip.clock import Clock, ScheduledCall
from beechslip.config import Config, ConfigError, ConfigUnreadableError, reread_config
from beechslip.core.settings_transition import TRANSITION_MS, stricter_settings
from beechslip.counters import Counters
from beechslip.fleet.settings import FLEET_FILE, FleetConfig, read_fleet
from beechslip.platform.changelog import ChangeLogReader
from beechslip.routing.interface import Settings

if TYPE_CHECKING:
    from beechslip.peering import Peering  # at run time only if the fleet file is on, because it needs protobuf

log = logging.getLogger("beechslip")

# An operation that the system refuses temporarily, such as opening a file, is tried again.
RELOAD_RETRY_DELAY_MS = 50.0
MAX_RELOAD_RETRIES = 40


def fleet_file_path(environ: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the fleet file: the one that EDGE_FLEET names, or the one in ``deploy/``."""
    path_name = environ.get("EDGE_FLEET")
    return Path(path_name) if path_name else FLEET_FILE


class ConfigReloader:
    """Holds the current configuration, and passes new settings to the parts that use them.

    Counts reloads in ``reloads``, and rejected configurations and fleet files in ``reloads.refused``.
    """

    def __init__(self, config: Config, clock: Clock, counters: Counters) -> None:
        """Start from the configuration that the process was started with."""
        self.config = config
        self.settings = config.settings  # the current ones; during a transition, old and new combined
        self.listeners: list[Callable[[Settings], None]] = []  # called at each change, with the current settings
        self.change_log: ChangeLogReader | None = None  # reconnects if the file names another address
        self.peering: Peering | None = None
        self._clock = clock
        self._counters = counters
        self._transition_end: ScheduledCall | None = None

    def reload(self, environ: Mapping[str, str] | None = None, retries: int = MAX_RELOAD_RETRIES) -> None:
        """Read the configuration file again, and apply its settings, its peers and its change log address.

        This handles SIGHUP, which would kill a program that has no handler for it. All other values in the file apply
        from the next start on. A file that is invalid changes nothing. A file that can't be read at the moment is
        tried again up to ``retries`` times.
        """
        try:
            config = reread_config(self.config, environ)
        except ConfigUnreadableError as error:
            if retries > 0:
                log.warning("new configuration not readable, will retry: %s", error)
                self._clock.call_later(RELOAD_RETRY_DELAY_MS, lambda: self.reload(environ, retries - 1))
                return
            self._reject("configuration", error)
            return
        except ConfigError as error:
            self._reject("configuration", error)
            return
        self._counters.add("reloads")
        self.config = config
        self._reload_peers()
        self._change_settings(config.settings)
        if self.change_log is not None and config.changelog_address is not None:
            self.change_log.set_address(config.changelog_address)
            log.info(
                "change log address set: address=%s last_seq=%d", config.changelog_address, self.change_log.last_seq
            )

    def _reject(self, what: str, error: ConfigError) -> None:
        self._counters.add("reloads.refused")
        log.error("new %s rejected: %s", what, error)

    def _reload_peers(self, retries: int = MAX_RELOAD_RETRIES) -> None:
        """Apply the peers that the configuration and the fleet file name now.

        A fleet file that is invalid, or needs a restart, is rejected by itself and changes nothing: it must not keep
        the proxy from the settings and the change log that the configuration names. One that can't be read at the
        moment is tried again up to ``retries`` times.
        """
        if self.peering is None:
            return
        from beechslip.peering import settings_digest

        self.peering.settings_digest = settings_digest(self.config)
        try:
            self.peering.reload(self._read_enabled_fleet(), self.config.settings)
        except ConfigUnreadableError as error:
            if retries > 0:
                log.warning("new fleet file not readable, will retry: %s", error)
                self._clock.call_later(RELOAD_RETRY_DELAY_MS, lambda: self._reload_peers(retries - 1))
                return
            self._reject("fleet file", error)
        except ConfigError as error:
            self._reject("fleet file", error)

    def _read_enabled_fleet(self) -> FleetConfig:
        """Read the fleet file. Raises ConfigError if it is invalid, absent or off."""
        fleet = read_fleet(fleet_file_path(), self.config)
        if fleet is None:
            raise ConfigError(
                "the fleet file is now absent or off: its features can be turned off only with a restart"
            )
        return fleet

    def _change_settings(self, settings: Settings) -> None:
        """Apply the stricter of old and new settings first, and the new ones alone once clients use them too."""
        if self._transition_end is not None:
            self._transition_end.cancel()
        if settings == self.settings:
            return
        log.info("settings changed: classes=%s max_attempts=%d", " ".join(settings.classes), settings.max_attempts)
        self._apply_settings(stricter_settings(self.settings, settings))
        self._transition_end = self._clock.call_later(TRANSITION_MS, lambda: self._apply_settings(settings))

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        for listener in self.listeners:
            listener(settings)
