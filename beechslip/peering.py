"""What one proxy does with its peers: the socket, and the parts that the fleet's file turns on."""

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


class ListedHealthChecker:
    """A health checker that shows other parts, too, which backends are listed."""

    def __init__(self, inner: HealthChecker, *parts: BudgetPart | RegionPart) -> None:
        """``inner`` does the checks; ``parts`` see each endpoint list before it does."""
        self._inner = inner
        self._parts = parts

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Pass on the backends that are listed now."""
        for part in self._parts:
            part.update_backends(backends.values())
        self._inner.update_backends(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Have ``inner`` check a backend."""
        return await self._inner.health_check(backend)


@dataclass
class Peering:
    """The peer socket, the health checker for the engine, and the parts that the fleet's file turns on."""

    peers: PeerSocket
    health_checker: HealthChecker
    leases: LeasePart | None
    history: HistoryFile
    settings_digest: int = 0
    budgets: BudgetPart | None = None
    regions: RegionPart | None = None
    duties: DutyPart | None = None

    def reload(self, fleet: FleetConfig, settings: Settings) -> None:
        """Take up the peers that the files name now.

        ConfigError, with nothing changed, for what can change only with a restart.
        """
        if fleet.number != int(self.peers.me[1:]) or fleet.listen != self.peers.listen:
            raise ConfigError(f"{fleet.file}: number and listen can't change while the program runs")
        leases = read_leases(fleet)
        budgets = read_checked_budgets(fleet, leases, settings)
        regions = read_regions(fleet, leases)
        self._check_parts_unchanged(fleet, budgets, regions)
        if leases is not None:
            self._declare_members(fleet, leases)
        self.peers.set_peers(fleet.peers)
        if self.budgets is not None and budgets is not None and leases is not None:
            self.budgets.reload(budgets, settings, leases.sets[-1], previous_members(leases))
        if self.regions is not None and regions is not None and leases is not None:
            self.regions.node.tuning = regions.tuning
            self.regions.node.timing = regions.timing
            self.regions.node.members = declared_members(leases)

    def _check_parts_unchanged(
        self, fleet: FleetConfig, budgets: BudgetsConfig | None, regions: RegionsConfig | None
    ) -> None:
        """ConfigError if budgets or regions differ in what can change only with a restart."""
        if (budgets is None) is not (self.budgets is None):
            raise ConfigError(f"{fleet.file}: budgets can't be turned on or off while the program runs")
        if self.budgets is not None and budgets is not None and budgets.fill_ms != self.budgets.plan.config.fill_ms:
            # Proxies that hear of it at different times would count each other's fills for less than they last.
            raise ConfigError(f"{fleet.file}: budgets: fill_ms can't change while the program runs")
        if (regions is None) is not (self.regions is None):
            raise ConfigError(f"{fleet.file}: regions can't be turned on or off while the program runs")

    def _declare_members(self, fleet: FleetConfig, leases: LeasesConfig) -> None:
        """Begin a change of the leases' declared set where the file names another one; ConfigError if it can't."""
        if self.leases is None:
            return
        node = self.leases.node
        if leases.tuning.longest_ms > node.tuning.longest_ms or leases.tuning.drift > node.tuning.drift:
            raise ConfigError(
                f"{fleet.file}: leases: longest_ms and drift can't rise while the program "
                "runs: who restarts next would not keep quiet for long enough"
            )
        if leases.sets[-1] == node.sets[-1]:
            return
        if max(len(proposer.sets) for proposer in node.proposers.values()) >= MAX_MEMBER_SETS:
            raise ConfigError(f"{fleet.file}: {MAX_MEMBER_SETS} changes of the declared set are under way")
        node.set_declared_size(leases.sets[-1])

    def pages(self) -> dict[str, Callable[[], Mapping[str, object]]]:
        """The operators' pages of the parts that are on, by path."""
        parts = {"/leases": self.leases, "/budgets": self.budgets, "/regions": self.regions}
        return {path: part.state for path, part in parts.items() if part is not None}

    def calls(self) -> dict[str, Callable[[Mapping[str, str]], Awaitable[tuple[int, str]]]]:
        """The operators' commands to the parts that are on, by path."""
        regions = self.regions
        if regions is None:
            return {}
        return {"/regions": lambda given: regions.execute_command(given, self.peers.send)}

    async def start(self) -> None:
        """Open the peer socket and start the parts."""
        await self.peers.start()
        self.history.note("start")

    async def stop(self) -> None:
        """Stop the parts, await their tasks, and close the peer socket and the history."""
        self.peers.stop()
        if self.duties is not None:
            await self.duties.wait_closed()
        self.history.note("stop")
        self.history.close()


def declared_members(leases: LeasesConfig) -> tuple[str, ...]:
    """The names of the declared members; while that changes, those of both sets."""
    return tuple(member_name(n) for n in range(max(leases.sets)))


def previous_members(leases: LeasesConfig) -> int:
    """The size of the previous declared set while that changes; else 0."""
    return leases.sets[0] if len(leases.sets) > 1 else 0


def read_checked_budgets(fleet: FleetConfig, leases: LeasesConfig | None, settings: Settings) -> BudgetsConfig | None:
    """The settings of the budgets, checked against the number of proxies that share them; None where off."""
    budgets = read_budgets(fleet, leases)
    if budgets is not None and leases is not None:
        check_floors(budgets, BudgetPlan(budgets, settings).smallest_floors(), max(leases.sets), fleet.file)
    return budgets


_OWN_SETTINGS = ("me", "myZone")  # they tell which proxy it is


def settings_digest(config: Config) -> int:
    """32 bits that tell whether two proxies go by the same settings (all but which proxy they are)."""
    settings = config.contents.get("settings")
    shared = {k: v for k, v in settings.items() if k not in _OWN_SETTINGS} if isinstance(settings, dict) else {}
    return zlib.crc32(orjson.dumps(shared, option=orjson.OPT_SORT_KEYS))
