"""Budgets of one proxy behind the peer socket, and their use by attempts, health checks and connections.

The routing module makes its decisions by its quotas (:class:`beechslip.routing.interface.Quotas`, posted when they
change). The module's quotas may be slightly out of date, so this part checks again right before the first byte.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from beechslip.budgets.floors import DeclaredMembers
from beechslip.budgets.limit import LimitCost
from beechslip.budgets.messages import decode_budget, encode_budget
from beechslip.budgets.node import BudgetNode, OutgoingMessages
from beechslip.budgets.plan import CONNECTIONS, FILLS, HEALTH_CHECKS, RETRIES, SLOW_START, BudgetPlan
from beechslip.budgets.settings import BudgetsConfig
from beechslip.clock import Clock
from beechslip.core.model import AttemptRequest, AttemptResult, Backend
from beechslip.counters import Counters
from beechslip.fleet.codec import CodecError
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage
from beechslip.routing import interface as i
from beechslip.routing.interface import Settings

POST_INTERVAL_MS = 100.0  # how often the module's quotas are posted if they have changed
MIN_CHANGE_FRACTION = 0.02  # a smaller relative change of a quota is not posted
RESULTS_ENDED_BY_BACKEND = frozenset({"ok", "error", "full", "miss"})  # the backend itself ended such attempts
SERVED_RESULTS = ("ok", "handed_out")
_FILLS_PREFIX = f"{FILLS}:"
_SLOW_START_PREFIX = f"{SLOW_START}:"
TOKEN_ROUNDING = 1e-9  # a token that is short by a rounding error counts as whole


@dataclass(frozen=True, slots=True)
class _AllowedAttempt:
    """An attempt that was allowed: the limits in which it counts as in flight, and whether it spent a retry."""

    in_flight: list[str] = field(default_factory=list)
    is_retry: bool = False


_NOTHING_SPENT = _AllowedAttempt()


class BudgetPart:
    """The budgets as a part of the peer socket, the engine's ``QuotaGate`` and the pool's ``ConnectionLimiter``.

    Counts ``budget.granted|taken|late|unheld|unknown|bad`` and ``budget.refused.KIND`` (attempts, connections and
    waits for a health check that a quota did not allow).
    """

    kinds = frozenset({"budget"})

    def __init__(
        self, node: BudgetNode, plan: BudgetPlan, clock: Clock, counters: Counters, post: Callable[[object], None]
    ) -> None:
        """``post`` puts the module's quotas into the engine's queue."""
        self.node = node
        self.plan = plan
        # Called with a backend and the most connections that it may have. The pool closes idle ones beyond that.
        self.close_excess_idle: Callable[[str, float], None] = lambda backend, most: None
        self._clock = clock
        self._counters = counters
        self._post = post
        self._counts_reported: dict[str, int] = {}  # how much of the node's counts is in the counters
        self._posted_quotas = i.Quotas()
        self._posted_ms = -math.inf
        # By the request's id and the attempt's number.
        self._allowed_attempts: dict[tuple[str, int], _AllowedAttempt] = {}
        self._is_confirm_scheduled = False

    # The part behind the peer socket -----------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Update the limits, post the quotas and add to the counters, and return the requests that are due."""
        if now_ms - self._posted_ms >= POST_INTERVAL_MS:
            self._posted_ms = now_ms
            self._update_limits(now_ms)
            self._post_quotas(now_ms)
        sends = self._encode_sends(self.node.tick(now_ms))
        for name, count in self.node.counts.items():
            grown = count - self._counts_reported.get(name, 0)
            if grown:
                self._counters.add(f"budget.{name}", grown)
                self._counts_reported[name] = count
        return sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Return the answers to a member's message. A message that can't be read is counted."""
        try:
            decoded = decode_budget(message.body)
        except CodecError:
            self._counters.add("budget.bad")
            return []
        return self._encode_sends(self.node.receive(now_ms, message.sender, decoded))

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Return no messages, because grants end by themselves."""
        return []

    async def ready(self) -> None:
        """Wait until something may be spent.

        What an earlier incarnation of this proxy sent may still occupy the backends.
        """
        self.node.set_limits(self._clock.steady_ms(), self.plan.limits(self._clock.now_ms()))
        while (left_ms := self.node.quiet_period_ms(self._clock.steady_ms())) > 0:
            await asyncio.sleep(left_ms / 1000.0)

    def state(self) -> dict[str, object]:
        """Return the answer to ``GET /budgets``."""
        return self.node.state(self._clock.steady_ms())

    def _encode_sends(self, out: OutgoingMessages) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage("budget", self.node.me, 0, body=encode_budget(message)))
            for to, message in out
        ]

    # Settings, limits and posted quotas --------------------------------------------------------------------

    def update_backends(self, backends: Iterable[Backend]) -> None:
        """Use the backends of another endpoint list. The quotas are posted at the next tick."""
        self.plan.update_backends(backends)
        self._posted_ms = -math.inf

    def retune(self, settings: Settings) -> None:
        """Use other settings of the proxy."""
        declared = self.node.declared
        self.reload(self.plan.config, settings, declared.members, declared.members_before)

    def reload(self, config: BudgetsConfig, settings: Settings, members: int, members_before: int) -> None:
        """Use another table, other settings and other declared members (see :class:`DeclaredMembers`)."""
        now_ms = self._clock.steady_ms()
        self.plan.apply_settings(config, settings)
        self.node.declare(now_ms, DeclaredMembers(members, members_before, settings.proxies_in_zone))
        self._update_limits(now_ms)
        self._posted_ms = -math.inf

    def _update_limits(self, now_ms: float) -> None:
        self.plan.zone_members = self.node.zone_members(now_ms)
        self.node.set_limits(now_ms, self.plan.limits(self._clock.now_ms()))

    def _post_quotas(self, now_ms: float) -> None:
        """Post the module's quotas if they have changed, and pass the connection quotas to the pool."""
        fills: dict[str, float] = {}
        for name in self.node.limits:
            kind, _, backend = name.partition(":")
            if kind == FILLS:
                fills[backend] = self._capacity(now_ms, name)
            elif kind == CONNECTIONS:
                self.close_excess_idle(backend, self._capacity(now_ms, name))
        slow_start = {
            backend: self._capacity(now_ms, limit.name) * limit.warm_capacity
            for backend, limit in self.plan.slow_start_limits(self._clock.now_ms()).items()
        }
        retries = None
        if RETRIES in self.node.limits:
            retries = math.floor(self.node.available_amount(now_ms, RETRIES) + TOKEN_ROUNDING)
        quotas = i.Quotas(retries, fills, slow_start)
        # If retries are limited, the quotas are posted each time, because the module subtracts the retries that it
        # plans from the number posted last.
        if retries is not None or _quotas_differ(quotas, self._posted_quotas):
            self._posted_quotas = quotas
            self._post(quotas)

    def _capacity(self, now_ms: float, name: str) -> float:
        return self.node.capacity(now_ms, name) or 0.0

    def is_slow_start_full(self, backend: str) -> bool:
        """Return whether ``backend`` is in slow start and its quota here has no room for one more request."""
        now_ms = self._clock.steady_ms()
        return any(
            cost.limit in self.node.quotas and self.node.available_amount(now_ms, cost.limit) < cost.amount
            for cost in self.plan.backend_costs(backend, self._clock.now_ms())
            if cost.limit.startswith(_SLOW_START_PREFIX)
        )

    # Spending ----------------------------------------------------------------------------------------------

    def _spend(self, costs: list[LimitCost]) -> bool:
        if not self.node.spend(self._clock.steady_ms(), costs):
            return False
        if not self._is_confirm_scheduled and costs:
            # Runs after the current step of the event loop, when the first byte has been written.
            self._is_confirm_scheduled = True
            asyncio.get_running_loop().call_soon(self._confirm)
        return True

    def _confirm(self) -> None:
        self._is_confirm_scheduled = False
        self.node.confirm(self._clock.steady_ms())

    def max_attempt_duration_ms(self, *backends: str) -> float:
        """Return how long an attempt to or through ``backends`` may last.

        A fill must end within ``fill_ms``, because its quota no longer counts it after that.
        """
        for name in backends:
            backend = self.plan.backends.get(name)
            if backend is not None and self.plan.config.max_fills(self.plan.role(backend)):
                return self.plan.fill_ms()
        return math.inf

    def spend(self, attempt: AttemptRequest, is_retry: bool) -> bool:
        """Return whether an attempt's first byte may be written now, and spend its costs if so.

        The engine calls this right before the write. ``is_retry``: an earlier attempt of the request was sent.
        """
        costs = self.plan.attempt_costs(attempt, is_retry, self._clock.now_ms())
        if not self._spend(costs):
            return False
        in_flight = [cost.limit for cost in costs if cost.limit.startswith(_FILLS_PREFIX)]
        if in_flight or is_retry:
            self._allowed_attempts[attempt.client_request.id, attempt.number] = _AllowedAttempt(in_flight, is_retry)
        return True

    def attempt_ended(self, attempt: AttemptRequest, outcome: AttemptResult) -> None:
        """Release what an allowed attempt occupied, now that it has ended with ``outcome``."""
        now_ms = self._clock.steady_ms()
        allowed = self._allowed_attempts.pop((attempt.client_request.id, attempt.number), _NOTHING_SPENT)
        for name in allowed.in_flight:
            self.node.release(now_ms, name, outcome.result in RESULTS_ENDED_BY_BACKEND)
        if allowed.is_retry and outcome.result in SERVED_RESULTS:
            self.node.refund(now_ms, RETRIES)  # only retries that fail count against the limit

    def may_dial(self, backend: str) -> bool:
        """Return whether a connection to ``backend`` may be opened now.

        If so, it counts until :meth:`connection_closed`.
        """
        return self._spend([LimitCost(f"{CONNECTIONS}:{backend}", 1.0)])

    def connection_closed(self, backend: str) -> None:
        """Release a connection to ``backend`` that was allowed and has ended."""
        self.node.release(self._clock.steady_ms(), f"{CONNECTIONS}:{backend}")

    def may_health_check(self) -> bool:
        """Return whether a health check may start now. If so, its token is spent."""
        return self._spend([LimitCost(HEALTH_CHECKS, 1.0)])


def _quotas_differ(one: i.Quotas, other: i.Quotas) -> bool:
    """Return whether the routing module would decide differently by ``one`` than by ``other``."""
    if one.retries != other.retries:
        return True
    return _amounts_differ(one.fills, other.fills) or _amounts_differ(one.cold, other.cold)


def _amounts_differ(one: Mapping[str, float], other: Mapping[str, float]) -> bool:
    if one.keys() != other.keys():
        return True
    return any(abs(one[key] - other[key]) > MIN_CHANGE_FRACTION * max(one[key], other[key]) for key in one)
