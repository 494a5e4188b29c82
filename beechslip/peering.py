"""Put together what one doorman does with its peers: the socket, and the parts that the fleet's file turns on."""
from __future__ import annotations

import random
import secrets
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import metadata

import orjson

from beechslip.clock import Clock
from beechslip.config import Config, ConfigError
from beechslip.core.model import Prober
from beechslip.counters import Counters
from beechslip.duties.node import DutyNode
from beechslip.duties.settings import read_duties
from beechslip.duties.shared import DutyPart, SharedProber
from beechslip.fleet.membership import Membership
from beechslip.fleet.peers import Part, Peers, member_name
from beechslip.fleet.settings import FleetConfig
from beechslip.leases.census import Census
from beechslip.leases.messages import MOST_SETS
from beechslip.leases.node import LeaseNode
from beechslip.leases.part import LeasePart
from beechslip.leases.settings import LeasesConfig, read_leases
from beechslip.leases.tasks import Drill, Task, TaskRunner
from beechslip.platform.history import History


def _version() -> str:
    try:
        return metadata.version("beechslip")
    except metadata.PackageNotFoundError:
        return "source"


@dataclass
class Peering:
    """The peer socket, the prober for the engine, and the leases, if they are on."""

    peers: Peers
    prober: Prober
    leases: LeasePart | None
    history: History
    settings_digest: int = 0

    def reload(self, fleet: FleetConfig) -> None:
        """Peers as the files name them now. ConfigError, with nothing changed, for what binds from a start."""
        if fleet.number != int(self.peers.me[1:]) or fleet.listen != self.peers.listen:
            raise ConfigError(f"{fleet.file}: number and listen can't change while the program runs")
        leases = read_leases(fleet)
        if self.leases is not None and leases is not None:
            node = self.leases.node
            if leases.tuning.longest_ms > node.tuning.longest_ms or leases.tuning.drift > node.tuning.drift:
                raise ConfigError(f"{fleet.file}: leases: longest_ms and drift can't rise while the program "
                                  "runs: who restarts next would not keep quiet for long enough")
            if leases.sets[-1] != node.sets[-1]:
                if max(len(p.sets) for p in node.proposers.values()) >= MOST_SETS:
                    raise ConfigError(f"{fleet.file}: {MOST_SETS} changes of the declared set are under way")
                node.declare(leases.sets[-1])
        self.peers.move(fleet.peers)

    async def start(self) -> None:
        await self.peers.start()
        self.history.note("start")

    def stop(self) -> None:
        self.peers.stop()
        self.history.note("stop")
        self.history.close()


def _leases(leases: LeasesConfig, fleet: FleetConfig, config: Config, clock: Clock, counters: Counters,
            history: History, life: int, others: Callable[[], Sequence[str]],
            digest: Callable[[], int]) -> LeasePart:
    me = member_name(fleet.number)
    census = Census(me, others, lambda: (_version(), digest()), leases.census_ms) if leases.census_ms else None
    tasks: list[Task] = [Drill(name, me, others, leases.drill_every_ms, leases.drill_act_ms, history.note,
                               leases.drill_acts) for name in leases.drills]
    if census is not None:
        tasks.append(census)
    node = LeaseNode(me, leases.sets, tuple(task.name for task in tasks), clock.steady_ms(), life,
                     int(clock.now_ms()), leases.tuning, random.Random(life), history.note)
    return LeasePart(node, TaskRunner(node, tasks, history.note), census, clock, counters)


def settings_digest(config: Config) -> int:
    """32 bits that tell whether two doormans go by the same settings (all but which doorman they are)."""
    told = config.told.get("settings")
    shared = {k: v for k, v in told.items() if k not in ("me", "myZone")} if isinstance(told, dict) else {}
    return zlib.crc32(orjson.dumps(shared, option=orjson.OPT_SORT_KEYS))


def build(fleet: FleetConfig, config: Config, inner: Prober, clock: Clock, counters: Counters,
          post: Callable[[object], None]) -> Peering:
    """The parts that ``fleet`` turns on. The incarnation for membership is the start time in ms, so that a
    restarted doorman is newer than anything said of its earlier life (SWIM 4.2); a life is drawn at random."""
    me, life = member_name(fleet.number), secrets.randbits(63)
    history = History(fleet.history, me, life, clock, counters)
    prober: Prober = inner
    parts: list[Part] = []
    duties, leases = read_duties(fleet), read_leases(fleet)
    if duties is not None:
        names = tuple(member_name(n) for n in range(len(fleet.peers)) if n != fleet.number)
        view = Membership(me, clock.steady_ms(), names, fleet.tuning, int(clock.now_ms()),
                          random.Random(config.seed))
        prober = shared = SharedProber(inner, DutyNode(view, (), duties), clock, counters, post)
        parts.append(DutyPart(shared, clock, counters, history.note))
    lease_part = None
    peering: Peering
    if leases is not None:
        lease_part = _leases(leases, fleet, config, clock, counters, history, life,
                             lambda: peering.peers.others(), lambda: peering.settings_digest)
        parts.append(lease_part)
    peers = Peers(fleet.name, fleet.number, fleet.listen, fleet.peers, parts, clock, counters, fleet.tick_ms)
    peering = Peering(peers, prober, lease_part, history, settings_digest(config))
    return peering
