"""Tests of the budgets where a proxy spends, with stand-in backends.

Attempts, connections, health checks and hand-outs by DNS.
"""

from __future__ import annotations

import asyncio
from typing import Any

from beechslip.budgets.health_check import BudgetedHealthChecker
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.part import BudgetPart
from beechslip.budgets.plan import BudgetPlan
from beechslip.budgets.settings import AMOUNT_KEYS, BudgetsConfig
from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import AttemptResult, Backend
from beechslip.fleet.messages import PeerMessage
from lab.stand import HANG, OK, FakeBackend, InProcessProxy, run, until
from tests.test_budgets import FakeLeaseView
from tests.test_dns import ZONE, DnsStand, box, objects_homed_in
from tests.test_rules import ScriptedRouter as AlwaysPlan


def attach_budgets(stand: Any, has_posted_quotas: bool = True, fill_ms: float = 0.0, **amounts: float) -> BudgetPart:
    """Attach the budgets of a single proxy to the engine, long after its start.

    Its floors are the whole limits. ``has_posted_quotas``: the routing module also gets its quotas. Without
    that, only the check before the first byte enforces them.
    """
    now_ms = stand.clock.steady_ms()
    node = BudgetNode("d0", FakeLeaseView("d0"), 1, now_ms - 1e6, 1, zone_members=1)
    plan = BudgetPlan(
        BudgetsConfig(2000.0, 1.0, 0.0, 100.0, 0.01, dict.fromkeys(AMOUNT_KEYS, 0.0) | amounts, fill_ms),
        stand.settings,
    )
    part = BudgetPart(
        node, plan, stand.clock, stand.counters, stand.engine.post if has_posted_quotas else lambda message: None
    )
    part.update_backends(stand.engine._endpoints.backends.values())
    part.tick(now_ms - 1e5)
    for quota in node.quotas.values():
        quota._loans.clear()
    stand.engine.services.quota_gate = part
    return part


def backends(*script: bytes) -> tuple[FakeBackend, ...]:
    return (
        FakeBackend("a", *script),
        FakeBackend("b", *script),
        FakeBackend("hub", kind="parent", zone="north"),
        FakeBackend("archive", kind="origin", zone="north"),
    )


@run
async def test_attempts_through_a_hub_are_bounded_without_the_modules_quotas() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = attach_budgets(stand, has_posted_quotas=False, hub_fills=2.0, origin_fills=1.0)
        request_tasks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(12)]

        def sources() -> list[str]:
            return [fields.get("X-Next-Hop", "") for backend in stand.backends[:2] for _, fields, _ in backend.seen]

        await until(lambda: len(sources()) + stand.counters["attempt.moot"] >= 12)
        assert sources().count("hub") <= 2 and sources().count("archive") <= 1
        assert part.node.counts["refused.fills"] >= 1 and part.node.quotas["fills:hub"].amount_in_use(0.0) == 2
        for request_task in request_tasks:
            request_task.cancel()
        await asyncio.gather(*request_tasks, return_exceptions=True)
        stand.clock.advance(7_000)
        await until(lambda: not part._allowed_attempts)
        assert part.node.quotas["fills:hub"].amount_in_use(stand.clock.steady_ms()) == 0  # everything was released


@run
async def test_module_with_posted_quotas_attempts_no_more_than_they_allow() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = attach_budgets(stand, hub_fills=1.0, retries_per_s=5.0, retry_burst=5.0)
        part.tick(stand.clock.steady_ms())
        await until(lambda: stand.module.slow_start.quotas.fills)
        assert stand.module.slow_start.quotas.fills == {"hub": 1.0} and stand.module.slow_start.quotas.retries == 5
        request_tasks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(6)]
        await until(lambda: sum(len(backend.seen) for backend in stand.backends[:2]) >= 6)
        assert part.node.counts.get("refused.fills", 0) == 0  # the module itself stayed within its quota
        for request_task in request_tasks:
            request_task.cancel()
        await asyncio.gather(*request_tasks, return_exceptions=True)


@run
async def test_fill_ends_within_fill_ms_which_is_the_occupancy_of_its_limit() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = attach_budgets(stand, fill_ms=300.0, hub_fills=9.0, origin_fills=9.0)
        assert {limit.base_occupancy_ms for limit in part.node.limits.values()} == {300.0}
        request_task = stand.ask()
        await until(lambda: any(backend.seen for backend in stand.backends[:2]))
        _, fields, _ = next(backend for backend in stand.backends[:2] if backend.seen).seen[0]
        assert fields["X-Next-Hop"] == "hub" and int(fields["X-Patience"]) <= 300  # so it also ends at the backend
        stand.clock.advance(301)
        await until(lambda: stand.counters["attempt.timeout"] >= 1)
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)


@run
async def test_connections_to_a_backend_are_bounded_and_released() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = attach_budgets(stand, cache_links=2.0)
        part.close_excess_idle = stand.client.limit_connections(part)
        request_tasks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(10)]
        await until(
            lambda: (
                stand.counters["depot.waits"] >= 6 and sum(backend.connections for backend in stand.backends[:2]) >= 4
            )
        )
        assert [backend.connections for backend in stand.backends[:2]] == [2, 2]
        for request_task in request_tasks:
            request_task.cancel()
        await asyncio.gather(*request_tasks, return_exceptions=True)
        stand.clock.advance(7_000)
        await until(lambda: all(part.node.quotas[f"links:{n}"].amount_in_use(0.0) == 0 for n in "ab"))


@run
async def test_idle_connections_are_closed_when_their_quota_shrinks() -> None:
    async with InProcessProxy(*backends(OK)) as stand:
        part = attach_budgets(stand, cache_links=4.0)
        part.close_excess_idle = stand.client.limit_connections(part)
        await asyncio.gather(*(stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(8)))
        before = {backend.name: backend.connections for backend in stand.backends[:2]}
        assert max(before.values()) >= 2
        for name in "ab":
            part.close_excess_idle(name, 1.0)
        await until(lambda: all(backend.closed >= backend.connections - 1 for backend in stand.backends[:2]))


@run
async def test_health_check_waits_for_a_token() -> None:
    class Inner:
        began = 0

        async def health_check(self, backend: Backend, may_start: Any) -> AttemptResult:
            if not may_start():
                return AttemptResult("moot")
            self.began += 1
            return AttemptResult("ok")

        def update_backends(self, backends: Any) -> None:
            pass

    async with InProcessProxy(*backends()) as stand:
        part = attach_budgets(stand, probes_per_s=1.0, probe_burst=1.0)
        inner = Inner()
        health_checker = BudgetedHealthChecker(inner, part)
        health_checker.update_backends(stand.engine._endpoints.backends.values())
        assert (await health_checker.health_check(Backend("a", "x"))).result == "ok"
        second = asyncio.create_task(health_checker.health_check(Backend("a", "x")))
        await asyncio.sleep(0.12)
        assert inner.began == 1 and not second.done()
        stand.clock.advance(1_100)
        assert (await second).result == "ok" and inner.began == 2


@run
async def test_dns_hand_outs_spend_the_slow_start_quota() -> None:
    async with DnsStand(module=AlwaysPlan("s-0")) as stand:
        # 0.3 transfers x 3 s x half of 2.5 x 0.18 warm allow two request_tasks of 100 ms within 3 s.
        stand.engine.handle_message(EndpointListUpdate("changes", (box(0, started_ms=stand.clock.now_ms()),)))
        attach_budgets(stand, cache_bears=0.3)
        names = objects_homed_in(0)[:4]
        answers = [await stand.ask(f"{name}.waveform.{ZONE}", "A") for name in names]
        assert [bool(a.answer) for a in answers] == [True, True, False, False]
        stand.clock.advance(3_100)
        assert (await stand.ask(f"{names[2]}.waveform.{ZONE}", "A")).answer


@run
async def test_unreadable_message_is_counted_and_gets_no_answer() -> None:
    async with InProcessProxy(*backends()) as stand:
        part = attach_budgets(stand, hub_fills=4.0)
        assert part.receive(0.0, PeerMessage("budget", "d1", 0, body=b"odd")) == []
        assert stand.counters["budget.bad"] == 1 and part.state()["keeping"] is False
        assert part.stop(0.0) == []
