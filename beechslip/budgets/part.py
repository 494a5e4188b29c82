"""Budgets of one proxy behind the peer socket, and where it spends: attempts, health checks and connections.

The routing module goes by its quotas (:class:`beechslip.routing.interface.Quotas`, posted when they change). This is
the guard behind it, asked right before the first byte: what was posted to the module may be a moment old.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from beechslip.budgets.floors import DeclaredSet
from beechslip.budgets.limit import Cost
from beechslip.budgets.messages import decode_budget, encode_budget
from beechslip.budgets.node import BudgetNode, Outgoing
from beechslip.budgets.plan import CONNECTIONS, FILLS, HEALTH_CHECKS, RETRIES, SLOW_START, Plan
from beechslip.budgets.settings import BudgetsConfig
from beechslip.clock import Clock
from beechslip.core.model import AttemptRequest, AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.fleet.codec import CodecError
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage
from beechslip.routing import interface as i
from beechslip.routing.interface import Settings

POST_INTERVAL_MS = 100.0  # how often the module's quotas are posted, if they have changed
MIN_CHANGE = 0.02  # of a quota: a smaller change is not posted
ENDED_BY_BACKEND = frozenset({"ok", "error", "full", "miss"})  # the backend has ended these itself
SERVED = ("ok", "handed_out")
_FILLS_PREFIX = f"{FILLS}:"
_SLOW_START_PREFIX = f"{SLOW_START}:"
ROUNDING = 1e-9  # a token that is short by a rounding is whole


@dataclass(frozen=True, slots=True)
class _AllowedAttempt:
    """An attempt that was allowed: the limits that it is in flight of, and whether it spent a retry."""

    in_flight: list[str] = field(default_factory=list)
    is_retry: bool = False


_NOTHING_SPENT = _AllowedAttempt()


class BudgetPart:
    """The part of the peer socket, the engine's ``QuotaGate`` and the pool's ``ConnectionGate``.

    Counts ``budget.granted|taken|late|unheld|unknown|bad`` and ``budget.refused.KIND`` (attempts, connections and
    waits for a health check that a quota did not allow).
    """

    kinds = frozenset({"budget"})

    def __init__(
        self, node: BudgetNode, plan: Plan, clock: Clock, counters: Counters, post: Callable[[object], None]
    ) -> None:
        """``post`` takes the module's quotas to the engine's queue."""
        self.node = node
        self.plan = plan
        self.trim: Callable[[str, float], None] = lambda backend, most: None  # end idle connections beyond
        self._clock = clock
        self._counters = counters
        self._post = post
        self._counted: dict[str, int] = {}  # of the node's counts: how much is in the counters
        self._posted = i.Quotas()
        self._posted_ms = -math.inf
        self._allowed_attempts: dict[
            tuple[str, int], _AllowedAttempt
        ] = {}  # by the request's id and the attempt's number
        self._confirm_scheduled = False

    # A part behind the socket ------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """The requests that are due. Goes by the limits of now, posts the quotas and takes over the counts."""
        if now_ms - self._posted_ms >= POST_INTERVAL_MS:
            self._posted_ms = now_ms
            self._update_limits(now_ms)
            self._post_quotas(now_ms)
        sends = self._sends(self.node.tick(now_ms))
        for name, count in self.node.counts.items():
            grown = count - self._counted.get(name, 0)
            if grown:
                self._counters.add(f"budget.{name}", grown)
                self._counted[name] = count
        return sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """What a member's message is answered; one that can't be read is counted."""
        try:
            decoded = decode_budget(message.body)
        except CodecError:
            self._counters.add("budget.bad")
            return []
        return self._sends(self.node.receive(now_ms, message.sender, decoded))

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Nothing: the grants end by themselves."""
        return []

    async def ready(self) -> None:
        """Wait until something may be spent: an earlier incarnation of this proxy may still be felt at the
        backends."""
        self.node.set_limits(self._clock.steady_ms(), self.plan.limits(self._clock.now_ms()))
        while (left_ms := self.node.quiet_period_ms(self._clock.steady_ms())) > 0:
            await asyncio.sleep(left_ms / 1000.0)

    def state(self) -> dict[str, object]:
        """The answer to ``GET /budgets``."""
        return self.node.state(self._clock.steady_ms())

    def _sends(self, out: Outgoing) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage("budget", self.node.me, 0, body=encode_budget(message)))
            for to, message in out
        ]

    # What it goes by ---------------------------------------------------------------------------------------

    def follow(self, backends: Iterable[Backend]) -> None:
        """Go by another endpoint list; the quotas are posted at the next tick."""
        self.plan.follow(backends)
        self._posted_ms = -math.inf

    def retune(self, settings: Settings) -> None:
        """Go by other settings of the proxy."""
        declared = self.node.declared
        self.reload(self.plan.config, settings, declared.members, declared.before)

    def reload(self, config: BudgetsConfig, settings: Settings, members: int, members_before: int) -> None:
        """Go by another table, settings and declared set of the fleet (:class:`DeclaredSet`)."""
        now_ms = self._clock.steady_ms()
        self.plan.tune(config, settings)
        self.node.declare(now_ms, DeclaredSet(members, members_before, settings.proxies_in_zone))
        self._update_limits(now_ms)
        self._posted_ms = -math.inf

    def _update_limits(self, now_ms: float) -> None:
        self.plan.zone_members = self.node.zone_members(now_ms)
        self.node.set_limits(now_ms, self.plan.limits(self._clock.now_ms()))

    def _post_quotas(self, now_ms: float) -> None:
        """Post the module's quotas, if they have changed; and trim the pool's connections to its own."""
        fills: dict[str, float] = {}
        for name in self.node.limits:
            kind, _, backend = name.partition(":")
            if kind == FILLS:
                fills[backend] = self._capacity(now_ms, name)
            elif kind == CONNECTIONS:
                self.trim(backend, self._capacity(now_ms, name))
        slow_start = {
            backend: self._capacity(now_ms, limit.name) * limit.warm_capacity
            for backend, limit in self.plan.slow_start_limits(self._clock.now_ms()).items()
        }
        retries = None
        if RETRIES in self.node.limits:
            retries = math.floor(self.node.available(now_ms, RETRIES) + ROUNDING)
        quotas = i.Quotas(retries, fills, slow_start)
        # Posted each time where retries are divided: the module counts those that it means to make by itself.
        if retries is not None or _differ(quotas, self._posted):
            self._posted = quotas
            self._post(quotas)

    def _capacity(self, now_ms: float, name: str) -> float:
        return self.node.capacity(now_ms, name) or 0.0

    def slow_start_full(self, backend: str) -> bool:
        """Whether ``backend`` is in slow start and this proxy's quota of its allowance is too small for one more
        request."""
        now_ms = self._clock.steady_ms()
        return any(
            cost.limit in self.node.quotas and self.node.available(now_ms, cost.limit) < cost.amount
            for cost in self.plan.costs_of(backend, self._clock.now_ms())
            if cost.limit.startswith(_SLOW_START_PREFIX)
        )

    # Where it spends ---------------------------------------------------------------------------------------

    def _spend(self, costs: list[Cost]) -> bool:
        if not self.node.spend(self._clock.steady_ms(), costs):
            return False
        if not self._confirm_scheduled and costs:
            # Called once this step of the program is over: by then the first byte is written.
            self._confirm_scheduled = True
            asyncio.get_running_loop().call_soon(self._confirm)
        return True

    def _confirm(self) -> None:
        self._confirm_scheduled = False
        self.node.confirm(self._clock.steady_ms())

    def longest_ms(self, *backends: str) -> float:
        """How long an attempt to or through ``backends`` may last: fills end by ``fill_ms``, as their quotas count
        them no longer."""
        for name in backends:
            backend = self.plan.backends.get(name)
            if backend is not None and self.plan.config.max_fills(self.plan.role(backend)):
                return self.plan.fill_ms()
        return math.inf

    def spend(self, order: AttemptRequest, again: bool) -> bool:
        """Whether an attempt's first byte may be written now; asked by the engine right before. ``again``: an earlier
        attempt of the request was sent."""
        costs = self.plan.costs(order, again, self._clock.now_ms())
        if not self._spend(costs):
            return False
        in_flight = [cost.limit for cost in costs if cost.limit.startswith(_FILLS_PREFIX)]
        if in_flight or again:
            self._allowed_attempts[order.call.id, order.number] = _AllowedAttempt(in_flight, again)
        return True

    def ended(self, order: AttemptRequest, ended: AttemptResult) -> None:
        """An attempt that was allowed has ended."""
        now_ms = self._clock.steady_ms()
        allowed = self._allowed_attempts.pop((order.call.id, order.number), _NOTHING_SPENT)
        for name in allowed.in_flight:
            self.node.release(now_ms, name, ended.result in ENDED_BY_BACKEND)
        if allowed.is_retry and ended.result in SERVED:
            self.node.refund(now_ms, RETRIES)  # the bound is on retries in vain

    def may_dial(self, backend: str) -> bool:
        """Whether a connection to ``backend`` may be opened now; it counts until :meth:`connection_closed`."""
        return self._spend([Cost(f"{CONNECTIONS}:{backend}", 1.0)])

    def connection_closed(self, backend: str) -> None:
        """A connection to ``backend`` that was allowed has ended."""
        self.node.release(self._clock.steady_ms(), f"{CONNECTIONS}:{backend}")

    def may_health_check(self) -> bool:
        """Whether a health check may start now; it spends its token, if so."""
        return self._spend([Cost(HEALTH_CHECKS, 1.0)])


def _differ(one: i.Quotas, other: i.Quotas) -> bool:
    """Whether the module would act otherwise by ``one`` than by ``other``."""
    if one.retries != other.retries:
        return True
    return _amounts_differ(one.fills, other.fills) or _amounts_differ(one.cold, other.cold)


def _amounts_differ(one: Mapping[str, float], other: Mapping[str, float]) -> bool:
    if one.keys() != other.keys():
        return True
    return any(abs(one[key] - other[key]) > MIN_CHANGE * max(one[key], other[key]) for key in one)
