"""Builds the parts that the fleet file turns on, and the peer socket that they share."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable, Sequence
from importlib import metadata

from beechslip.budgets.health_check import BudgetedHealthChecker
from beechslip.budgets.leader import LEASE
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.part import BudgetPart
from beechslip.budgets.plan import BudgetPlan
from beechslip.budgets.settings import BudgetsConfig
from beechslip.clock import Clock
from beechslip.config import Config
from beechslip.core.model import HealthChecker
from beechslip.counters import Counters
from beechslip.duties.node import DutyNode
from beechslip.duties.settings import read_duties
from beechslip.duties.shared import DutyPart, SharedHealthChecker
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.membership import Membership
from beechslip.fleet.peers import PeerPart, PeerSocket, member_name
from beechslip.fleet.settings import FleetConfig
from beechslip.leases.census import Census
from beechslip.leases.node import LeaseNode
from beechslip.leases.part import LeasePart
from beechslip.leases.settings import LeasesConfig, read_leases
from beechslip.leases.tasks import Drill, Task, TaskRunner
from beechslip.peering import (
    NotifyingHealthChecker,
    Peering,
    declared_members,
    previous_member_count,
    read_checked_budgets,
    settings_digest,
)
from beechslip.platform.backends import BackendClient
from beechslip.platform.history import HistoryFile
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import LEASE as REGIONS_LEASE
from beechslip.regions.part import RegionPart
from beechslip.regions.settings import RegionsConfig, read_regions


def _version() -> str:
    """Return the version of the installed package; "source" if it runs from a checkout."""
    try:
        return metadata.version("beechslip")
    except metadata.PackageNotFoundError:
        return "source"


def build_peering(
    fleet: FleetConfig,
    config: Config,
    client: BackendClient,
    clock: Clock,
    counters: Counters,
    post: Callable[[object], None],
) -> Peering:
    """Build the parts that ``fleet`` turns on. ``post`` puts a message on the queue of the engine.

    Raises ConfigError if a table of the fleet file is invalid.
    """
    return _PeeringBuilder(fleet, config, client, clock, counters, post).build()


class _PeeringBuilder:
    """Builds one ``Peering``.

    Two numbers distinguish this process from earlier processes of the same proxy. Membership uses the start time in
    ms, so that a restarted proxy supersedes every report about its earlier incarnation (SWIM 4.2). All other parts
    use an incarnation that is drawn at random.
    """

    def __init__(
        self,
        fleet: FleetConfig,
        config: Config,
        client: BackendClient,
        clock: Clock,
        counters: Counters,
        post: Callable[[object], None],
    ) -> None:
        self._fleet = fleet
        self._config = config
        self._client = client
        self._clock = clock
        self._counters = counters
        self._post = post
        self._me = member_name(fleet.number)
        self._incarnation = secrets.randbits(63)
        self._history = HistoryFile(fleet.history, self._me, self._incarnation, clock, counters)
        self._health_checker: HealthChecker = client  # parts that are involved in health checks wrap it in turn
        self._parts: list[PeerPart] = []
        self._peering: Peering  # set by ``build``; parts read from it what changes at run time

    def build(self) -> Peering:
        """Build the parts that are on, in the order of their dependencies."""
        fleet, settings = self._fleet, self._config.settings
        duties = read_duties(fleet)
        leases = read_leases(fleet)
        budgets = read_checked_budgets(fleet, leases, settings)
        regions = read_regions(fleet, leases)
        lease_part = budget_part = region_part = None
        if leases is not None:
            lease_part = self._build_leases(leases, _lease_names(budgets, regions))
            if budgets is not None:
                budget_part = self._build_budgets(budgets, leases, lease_part.node)
            if regions is not None:
                region_part = self._build_regions(regions, leases, lease_part.node, budget_part)
        duty_part = None if duties is None else self._build_duties(duties)
        peers = PeerSocket(
            fleet.name,
            fleet.number,
            fleet.listen,
            fleet.peers,
            self._parts,
            self._clock,
            self._counters,
            fleet.tick_ms,
        )
        self._peering = Peering(
            peers,
            self._health_checker,
            lease_part,
            self._history,
            settings_digest(self._config),
            budget_part,
            region_part,
            duty_part,
        )
        return self._peering

    def _list_other_members(self) -> Sequence[str]:
        return self._peering.peers.others()

    def _version_and_digest(self) -> tuple[str, int]:
        return _version(), self._peering.settings_digest

    def _build_leases(self, leases: LeasesConfig, names: tuple[str, ...]) -> LeasePart:
        """Build the leases part. ``names`` are the leases of other parts; they are wanted from the start."""
        census = None
        if leases.census_interval_ms:
            census = Census(self._me, self._list_other_members, self._version_and_digest, leases.census_interval_ms)
        tasks: list[Task] = [self._build_drill(leases, name) for name in leases.drills]
        if census is not None:
            tasks.append(census)
        node = LeaseNode(
            self._me,
            leases.sets,
            (*(task.name for task in tasks), *names),
            self._clock.steady_ms(),
            self._incarnation,
            int(self._clock.now_ms()),
            leases.tuning,
            random.Random(self._incarnation),
            self._history.note,
        )
        for name in names:
            node.want(name, node.now_ms)
        runner = TaskRunner(node, tasks, self._history.note)
        part = LeasePart(node, runner, census, self._clock, self._counters)
        self._parts.append(part)
        return part

    def _build_drill(self, leases: LeasesConfig, name: str) -> Drill:
        return Drill(
            name,
            self._me,
            self._list_other_members,
            leases.drill_every_ms,
            leases.drill_act_ms,
            self._history.note,
            leases.drill_acts,
        )

    def _build_budgets(self, budgets: BudgetsConfig, leases: LeasesConfig, lease_node: LeaseNode) -> BudgetPart:
        settings = self._config.settings
        node = BudgetNode(
            self._me,
            lease_node,
            self._incarnation,
            self._clock.steady_ms(),
            leases.sets[-1],
            previous_member_count(leases),
            settings.proxies_in_zone,
            self._history.note,
        )
        part = BudgetPart(node, BudgetPlan(budgets, settings), self._clock, self._counters, self._post)
        part.close_excess_idle = self._client.limit_connections(part)
        self._health_checker = NotifyingHealthChecker(BudgetedHealthChecker(self._client, part), part)
        self._parts.append(part)
        return part

    def _build_regions(
        self, regions: RegionsConfig, leases: LeasesConfig, lease_node: LeaseNode, budgets: BudgetPart | None
    ) -> RegionPart:
        node = RegionNode(
            self._me,
            lease_node,
            self._incarnation,
            self._clock.steady_ms(),
            declared_members(leases),
            regions.tuning,
            regions.timing,
            self._history.note,
        )
        part = RegionPart(node, self._config.settings, self._clock, self._counters, self._post)
        if budgets is not None:
            part.is_warmup_exhausted = budgets.is_slow_start_full
        self._health_checker = NotifyingHealthChecker(self._health_checker, part)
        self._parts.append(part)
        return part

    def _build_duties(self, duties: DutyTuning) -> DutyPart:
        fleet, clock = self._fleet, self._clock
        others = tuple(member_name(number) for number in range(len(fleet.peers)) if number != fleet.number)
        membership = Membership(
            self._me,
            clock.steady_ms(),
            others,
            fleet.tuning,
            int(clock.now_ms()),
            random.Random(self._config.seed),
        )
        node = DutyNode(membership, (), duties)
        shared = SharedHealthChecker(self._health_checker, node, clock, self._counters, self._post)
        self._health_checker = shared
        part = DutyPart(shared, clock, self._counters, self._history.note)
        self._parts.append(part)
        return part


def _lease_names(budgets: BudgetsConfig | None, regions: RegionsConfig | None) -> tuple[str, ...]:
    """Return the names of the leases that budgets and regions need."""
    names = []
    if budgets is not None:
        names.append(LEASE)
    if regions is not None:
        names.append(REGIONS_LEASE)
    return tuple(names)
