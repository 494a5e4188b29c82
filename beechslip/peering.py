"""What a proxy does together with its peers: the peer socket and the features that the fleet file turns on."""

from __future__ import annotations

import zlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import orjson

from beechslip.budgets.part import BudgetPart
from beechslip.budgets.plan import BudgetPlan
from beechslip.budgets.settings import BudgetsConfig, check_floors, read_budgets
from beechslip.config import Config, ConfigError
from beechslip.core.model import AttemptResult, Backend, HealthChecker
from beechslip.duties.shared import DutyPart
from beechslip.fleet.peers import PeerSocket, member_name
from beechslip.fleet.settings import FleetConfig
from beechslip.leases.messages import MAX_MEMBER_SETS
from beechslip.leases.part import LeasePart
from beechslip.leases.settings import LeasesConfig, read_leases
from beechslip.platform.history import HistoryFile
from beechslip.regions.part import RegionPart
from beechslip.regions.settings import RegionsConfig, read_regions
from beechslip.routing.interface import Settings


class NotifyingHealthChecker:
    """A health checker that also tells other parts which backends are in the endpoint list."""

    def __init__(self, health_checker: HealthChecker, *parts: BudgetPart | RegionPart) -> None:
        """Wrap ``health_checker``, which does the checks. ``parts`` see each endpoint list first."""
        self._health_checker = health_checker
        self._notified_parts = parts

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Pass the backends that are listed now to the parts, and then to the health checker."""
        for part in self._notified_parts:
            part.update_backends(backends.values())
        self._health_checker.update_backends(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Check a backend with the wrapped health checker."""
        return await self._health_checker.health_check(backend)


@dataclass
class Peering:
    """The peer socket, the health checker of the engine, and the parts that the fleet file turns on.

    A part that is off is None.
    """

    peers: PeerSocket
    health_checker: HealthChecker
    leases: LeasePart | None
    history: HistoryFile
    settings_digest: int = 0
    budgets: BudgetPart | None = None
    regions: RegionPart | None = None
    duties: DutyPart | None = None

    def reload(self, fleet: FleetConfig, settings: Settings) -> None:
        """Apply the fleet file and the settings as they are now.

        Raises ConfigError, with nothing changed, if they differ in something that only a restart can change.
        """
        if fleet.number != int(self.peers.me[1:]) or fleet.listen != self.peers.listen:
            raise ConfigError(f"{fleet.file}: number and listen can change only with a restart")
        leases = read_leases(fleet)
        budgets = read_checked_budgets(fleet, leases, settings)
        regions = read_regions(fleet, leases)
        self._check_parts_unchanged(fleet, budgets, regions)
        if leases is not None:
            self._change_declared_members(fleet, leases)
        self.peers.set_peers(fleet.peers)
        if self.budgets is not None and budgets is not None and leases is not None:
            self.budgets.reload(budgets, settings, leases.sets[-1], previous_member_count(leases))
        if self.regions is not None and regions is not None and leases is not None:
            self.regions.node.tuning = regions.tuning
            self.regions.node.timing = regions.timing
            self.regions.node.members = declared_members(leases)

    def _check_parts_unchanged(
        self, fleet: FleetConfig, budgets: BudgetsConfig | None, regions: RegionsConfig | None
    ) -> None:
        """Raise ConfigError if budgets or regions differ in something that only a restart can change."""
        if (budgets is None) is not (self.budgets is None):
            raise ConfigError(f"{fleet.file}: budgets can be turned on or off only with a restart")
        if self.budgets is not None and budgets is not None and budgets.fill_ms != self.budgets.plan.config.fill_ms:
            # Proxies that apply the new value at different times would count each other's fills for less time than
            # they last.
            raise ConfigError(f"{fleet.file}: budgets: fill_ms can change only with a restart")
        if (regions is None) is not (self.regions is None):
            raise ConfigError(f"{fleet.file}: regions can be turned on or off only with a restart")

    def _change_declared_members(self, fleet: FleetConfig, leases: LeasesConfig) -> None:
        """Begin a change of the declared members if the fleet file names another number of them.

        Raises ConfigError if that is not possible now.
        """
        if self.leases is None:
            return
        node = self.leases.node
        if leases.tuning.longest_ms > node.tuning.longest_ms or leases.tuning.drift > node.tuning.drift:
            raise ConfigError(
                f"{fleet.file}: leases: longest_ms and drift can't be raised while the proxy runs: "
                "the member that restarts next would not refuse requests for long enough"
            )
        if leases.sets[-1] == node.sets[-1]:
            return
        if max(len(proposer.sets) for proposer in node.proposers.values()) >= MAX_MEMBER_SETS:
            raise ConfigError(
                f"{fleet.file}: {MAX_MEMBER_SETS} changes of the declared members are under way already"
            )
        node.set_declared_size(leases.sets[-1])

    def operator_pages(self) -> dict[str, Callable[[], Mapping[str, object]]]:
        """Return the functions that build the operators' pages of the parts that are on, by path."""
        parts = {"/leases": self.leases, "/budgets": self.budgets, "/regions": self.regions}
        return {path: part.state for path, part in parts.items() if part is not None}

    def operator_commands(self) -> dict[str, Callable[[Mapping[str, str]], Awaitable[tuple[int, str]]]]:
        """Return the functions that execute the operators' commands to the parts that are on, by path."""
        regions = self.regions
        if regions is None:
            return {}
        return {"/regions": lambda parameters: regions.execute_command(parameters, self.peers.send)}

    async def start(self) -> None:
        """Open the peer socket and start the parts."""
        await self.peers.start()
        self.history.note("start")

    async def stop(self) -> None:
        """Stop the parts, wait for their tasks, and close the peer socket and the history."""
        self.peers.stop()
        if self.duties is not None:
            await self.duties.wait_closed()
        self.history.note("stop")
        self.history.close()


def declared_members(leases: LeasesConfig) -> tuple[str, ...]:
    """Return the names of the declared members. During a change of the set, those of the old and the new set."""
    return tuple(member_name(n) for n in range(max(leases.sets)))


def previous_member_count(leases: LeasesConfig) -> int:
    """Return the number of members before a change of the declared set that is in progress; 0 if there is none."""
    return leases.sets[0] if len(leases.sets) > 1 else 0


def read_checked_budgets(fleet: FleetConfig, leases: LeasesConfig | None, settings: Settings) -> BudgetsConfig | None:
    """Read the settings of the budgets, and check them against the number of proxies that share the budgets.

    Returns None if budgets are off. Raises ConfigError if the settings are invalid.
    """
    budgets = read_budgets(fleet, leases)
    if budgets is not None and leases is not None:
        check_floors(budgets, BudgetPlan(budgets, settings).smallest_floors(), max(leases.sets), fleet.file)
    return budgets


_PER_PROXY_SETTINGS = ("me", "myZone")  # the settings that differ between the proxies of a fleet


def settings_digest(config: Config) -> int:
    """Return a 32-bit checksum of the settings that all proxies of a fleet should have in common."""
    settings = config.file_contents.get("settings")
    common = {k: v for k, v in settings.items() if k not in _PER_PROXY_SETTINGS} if isinstance(settings, dict) else {}
    return zlib.crc32(orjson.dumps(common, option=orjson.OPT_SORT_KEYS))
