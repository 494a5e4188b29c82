"""Put the shared duties together for one doorman: its view, its node, the shared prober and the UDP peers."""
from __future__ import annotations

import random
from collections.abc import Callable

from beechslip.clock import Clock
from beechslip.config import Config
from beechslip.core.model import Prober
from beechslip.counters import Counters
from beechslip.duties.membership import Membership
from beechslip.duties.node import DutyNode
from beechslip.duties.peers import Peers
from beechslip.duties.settings import DutiesConfig
from beechslip.duties.shared import SharedProber


def shared_probes(duties: DutiesConfig, config: Config, inner: Prober, clock: Clock, counters: Counters,
                  post: Callable[[object], None]) -> tuple[SharedProber, Peers]:
    """The prober for the engine and the peers to start. The incarnation is the start time in ms, so that a
    restarted doorman is newer than anything said of its earlier life (SWIM 4.2)."""
    me = str(duties.listen)
    told = config.told.get("peers")
    seeds = duties.seeds or (tuple(str(p) for p in told) if isinstance(told, list) else ())
    now = clock.now_ms()
    view = Membership(me, now, tuple(s for s in seeds if s != me), duties.tuning, int(now),
                      random.Random(config.seed))
    node = DutyNode(view, (), duties.duty)
    shared = SharedProber(inner, node, clock, counters, post)
    return shared, Peers(node, duties.fleet, clock, counters, shared.work, shared.heard)
