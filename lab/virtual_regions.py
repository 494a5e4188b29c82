"""Runs regions in virtual time, on the lease fleet of :mod:`lab.virtual`.

There are three hub regions and two cache regions. Their backends die, slow down to a tenth of their speed, flap, or
cannot be reached by some of the members. Each member sends attempts to its cache region and, for each object, to a
hub region, as its table says, and records the results as evidence. Each order and each changeover is passed to the
checker when it happens.
"""

from __future__ import annotations

import dataclasses
import random
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any, NamedTuple

from beechslip.fleet.codec import decode, encode
from beechslip.fleet.messages import PeerMessage
from beechslip.regions.coordinator import CoordinatorTuning
from beechslip.regions.messages import (
    CoordinatorOrder,
    OperatorCommand,
    OperatorRequest,
    OperatorResponse,
    RegionReport,
    decode_region_message,
    encode_region_message,
)
from beechslip.regions.node import RegionNode
from beechslip.regions.node_types import LEASE, RegionTiming
from beechslip.regions.status import RegionTable
from lab.region_checker import RegionChecker
from lab.virtual import VirtualFleet
from lab.virtual_plan import RunPlan, draw_plan

SIZES = {"hub:h0": 2, "hub:h1": 2, "hub:h2": 2, "cache:s0": 3, "cache:s1": 3}
HUBS = tuple(name for name in SIZES if name.startswith("hub:"))
CACHE_REGIONS = 2
MAX_OUT_FRACTION = 0.5
TUNING = CoordinatorTuning(
    initial_wait_ms=1500.0, step_ms=500.0, max_out_fraction=MAX_OUT_FRACTION, backoff_reset_ms=8000.0
)
TIMING = RegionTiming(report_interval_ms=120.0, report_expiry_ms=700.0, recovery_ms=2500.0, order_expiry_ms=8000.0)
NO_DRILL_MS = 1e12  # between drills; longer than any run
FLEET_NAME = "caroni-feeds"
REGION_MESSAGES = (RegionReport, CoordinatorOrder, OperatorRequest, OperatorResponse)

REQUESTS_PER_S = 12.0  # of each member
FILL_PROBABILITY = 0.5
OBJECTS = 40
CACHE_RESPONSE_MS = 40.0
HUB_RESPONSE_MS = 80.0
BASE_FAILURE_RATE = 0.005  # fraction of the attempts at a region without a fault
SLOW_FACTOR = 4  # slowdown above which a region's responses count as failed in measurements

COMMAND_SEEDS = 4  # one seed of this many has operators' commands
COMMANDS = 3
CODEC_SEEDS = 10  # one seed of this many encodes and decodes every region message


@dataclass
class RegionHealth:
    """The health of a region.

    ``failure_rate`` is the fraction of attempts that fail, ``slowdown`` the factor by which responses take longer
    than usual, and ``unreachable_from`` the members that cannot reach the region.
    """

    failure_rate: float = 0.0
    slowdown: float = 1.0
    unreachable_from: frozenset[str] = frozenset()


class RegionFault(NamedTuple):
    """A change of a region's health at ``at_ms``."""

    at_ms: float
    region: str
    health: RegionHealth


class Fill(NamedTuple):
    """A fill of the object ``key`` from ``hub`` at ``at_ms``."""

    at_ms: float
    key: int
    hub: str


class RegionFleet(VirtualFleet):
    """One seeded run. ``regions`` is the region checker; ``fills``, ``attempts`` and the like are measurements."""

    def __init__(
        self,
        seed: int,
        plan: RunPlan | None = None,
        faults: list[RegionFault] | None = None,
        tuning: CoordinatorTuning = TUNING,
        timing: RegionTiming = TIMING,
    ) -> None:
        """Draw ``plan`` and ``faults`` from ``seed`` unless they are given."""
        drawn_plan = draw_plan(seed)
        drawn_plan.faults = [fault for fault in drawn_plan.faults if fault[1] != "declare"]
        with_commands = plan is None and seed % COMMAND_SEEDS == 1
        plan = plan or dataclasses.replace(
            drawn_plan, lease_names=(LEASE,), drill_every_ms=NO_DRILL_MS, use_codec=False
        )
        self.requests_per_s = REQUESTS_PER_S
        self.use_region_codec = seed % CODEC_SEEDS == 0
        self.region_bytes = 0
        self.region_datagrams = 0
        self.fills: list[Fill] = []
        self.failed_attempts: list[tuple[float, str]] = []  # time and region of attempts that failed or were slow
        self.attempts = 0
        self.tuning = tuning
        self.timing = timing
        self.nodes: dict[str, RegionNode] = {}
        self.health = {name: RegionHealth() for name in SIZES}
        self.regions = RegionChecker(plan.size, SIZES, MAX_OUT_FRACTION)
        self._traffic = random.Random(f"traffic {seed}")
        super().__init__(plan, seed)
        rng = random.Random(f"regions {seed}")
        for fault in list(self._draw_faults(rng)) if faults is None else faults:
            self._call_at(fault.at_ms, partial(self.health.__setitem__, fault.region, fault.health))
        if with_commands:
            self._schedule_commands(rng)

    def _draw_faults(self, rng: random.Random) -> Iterator[RegionFault]:
        for _ in range(rng.randint(1, 4)):
            at_ms = rng.uniform(2_000, 9_000)
            region = rng.choice(list(SIZES))
            length_ms = rng.uniform(500, 5_000)
            cut = frozenset(name for name in self.declared if rng.random() < 0.5)
            health = rng.choice(
                (
                    RegionHealth(1.0),
                    RegionHealth(0.5),
                    RegionHealth(slowdown=10.0),
                    RegionHealth(unreachable_from=cut),
                    RegionHealth(1.0),
                )
            )
            flaps = rng.choice((1, 1, 3))
            for flap in range(flaps):
                yield RegionFault(at_ms + 2 * flap * length_ms / flaps, region, health)
                yield RegionFault(at_ms + (2 * flap + 1) * length_ms / flaps, region, RegionHealth())

    def _schedule_commands(self, rng: random.Random) -> None:
        for _ in range(COMMANDS):
            at_ms = rng.uniform(2_000, 10_000)
            region = rng.choice(list(SIZES))
            command = rng.choice(list(OperatorCommand))
            self._call_at(at_ms, partial(self._submit_command, region, command, rng.randrange(2)))

    def _submit_command(self, region: str, command: OperatorCommand, operator: int) -> None:
        name = self.rng.choice(sorted(self.members) or ["d0"])
        if name in self.members and not self.members[name].is_stopped:
            number = self.rng.getrandbits(40) + 1
            local_ms = self._local_ms(self.members[name])
            self._send_regions(name, self.nodes[name].submit_command(local_ms, number, region, command, operator))

    def _boot(self, name: str) -> None:
        super()._boot(name)
        member = self.members[name]
        incarnation = self._incarnations[name]
        self.regions.note_start(name, incarnation)

        def note(kind: str, **facts: Any) -> None:
            lease_held = member.node.held_token(LEASE, self._local_ms(member)) == facts.get("token")
            event = {"t": self.now, "member": name, "life": incarnation, "kind": kind, **facts}
            self.regions.feed(event, lease_held)
            if self.keeps_events:
                self.events.append(event)

        node = RegionNode(
            name,
            member.node,
            incarnation,
            self._local_ms(member),
            tuple(self.declared),
            self.tuning,
            self.timing,
            note,
        )
        node.set_regions(SIZES)
        self.nodes[name] = node

    def _run_member(self, name: str, member: Any) -> None:
        super()._run_member(name, member)
        node = self.nodes[name]
        local_ms = self._local_ms(member)
        self._send_regions(name, node.tick(local_ms))
        due = self.requests_per_s * self.plan.tick_ms / 1000.0
        for _ in range(int(due) + (self._traffic.random() < due % 1)):
            self._serve(name, node, local_ms)

    def _serve(self, name: str, node: RegionNode, local_ms: float) -> None:
        """Serve one request by the member's cache region, unless that is out. Some requests also fill from a hub."""
        rng = self._traffic
        table = node.applied_order.table()
        cache = f"cache:s{int(name[1:]) % CACHE_REGIONS}"
        fraction = table[cache].traffic_fraction
        if fraction >= 1.0 or rng.random() < fraction:
            self._attempt(name, node, local_ms, cache, CACHE_RESPONSE_MS)
        if rng.random() < FILL_PROBABILITY:
            key = rng.randrange(OBJECTS)
            hub = _hub_of(key, table)
            if hub is not None:
                self.fills.append(Fill(self.now, key, hub))
                self._attempt(name, node, local_ms, hub, HUB_RESPONSE_MS)

    def _attempt(self, name: str, node: RegionNode, local_ms: float, region: str, usual_ms: float) -> None:
        health = self.health[region]
        rng = self._traffic
        self.attempts += 1
        backend = f"{region}/{rng.randrange(SIZES[region])}"
        if name in health.unreachable_from or rng.random() < max(health.failure_rate, BASE_FAILURE_RATE):
            node.evidence.record_failure(local_ms, region, True, backend)
            self.failed_attempts.append((self.now, region))
            return
        if health.slowdown > SLOW_FACTOR:
            self.failed_attempts.append((self.now, region))
        elapsed_ms = usual_ms * health.slowdown * rng.uniform(0.5, 2.0)
        node.evidence.record_response(local_ms, region, elapsed_ms, backend)

    def _pass_through_codec(self, sender: str, message: Any) -> Any:
        """Return ``message``; region messages are encoded and decoded elsewhere, with their own codec."""
        return message if isinstance(message, REGION_MESSAGES) else super()._pass_through_codec(sender, message)

    def _send_regions(self, sender: str, outgoing: Any) -> None:
        messages: list[Any] = []
        for to, message in outgoing:
            data = encode(PeerMessage("region", sender, 0, body=encode_region_message(message)), FLEET_NAME)
            self.region_datagrams += 1
            self.region_bytes += len(data)
            received = decode_region_message(decode(data, FLEET_NAME).body) if self.use_region_codec else message
            messages.append((to, received))
        self._send(sender, messages)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        member = self.members.get(to)
        if isinstance(message, REGION_MESSAGES) and member is not None and not member.is_stopped:
            self._send_regions(to, self.nodes[to].receive(self._local_ms(member), sender, message))
        else:
            super()._deliver(sender, to, message)


def _hub_of(key: int, table: RegionTable) -> str | None:
    """Return the hub that the object ``key`` is filled from, or None if all hubs are out for it."""
    ranked = sorted(HUBS, key=lambda hub: zlib.crc32(f"{key}/{hub}".encode()))
    position = (
        zlib.crc32(f"{key}".encode()) % 1000
    ) / 1000.0  # place in the order in which objects return to a recovering hub
    return next((hub for hub in ranked if position < table[hub].traffic_fraction), None)
