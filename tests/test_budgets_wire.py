"""Budgets where a proxy spends: attempts, connections, health checks and DNS hand-outs, before stand-in backends."""

from __future__ import annotations

import asyncio
from typing import Any

from beechslip.budgets.health_check import BudgetedHealthChecker
from beechslip.budgets.node import BudgetNode
from beechslip.budgets.part import BudgetPart
from beechslip.budgets.plan import Plan
from beechslip.budgets.settings import AMOUNTS, BudgetsConfig
from beechslip.core.messages import EndpointListUpdate
from beechslip.core.model import AttemptResult, Backend
from beechslip.fleet.messages import Message
from lab.stand import HANG, OK, FakeBackend, InProcessProxy, run, until
from tests.test_budgets import Lease
from tests.test_dns import ZONE, DnsStand, box, own
from tests.test_rules import Plan as Always


def part_for(stand: Any, posted: bool = True, fill_ms: float = 0.0, **amounts: float) -> BudgetPart:
    """A proxy alone, long after its start, whose floors are the limits; it is the engine's spender. ``posted``: the
    module gets its quotas; else the guard alone holds."""
    now = stand.clock.steady_ms()
    node = BudgetNode("d0", Lease("d0"), 1, now - 1e6, 1, zone_members=1)
    plan = Plan(
        BudgetsConfig(2000.0, 1.0, 0.0, 100.0, 0.01, dict.fromkeys(AMOUNTS, 0.0) | amounts, fill_ms), stand.settings
    )
    part = BudgetPart(node, plan, stand.clock, stand.counters, stand.engine.post if posted else lambda message: None)
    part.follow(stand.engine._endpoints.backends.values())
    part.tick(now - 1e5)
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
async def test_attempts_through_a_hub_are_bounded_whatever_the_module_says() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = part_for(stand, posted=False, hub_fills=2.0, origin_fills=1.0)
        asks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(12)]

        def sources() -> list[str]:
            return [fields.get("X-Next-Hop", "") for d in stand.backends[:2] for _, fields, _ in d.seen]

        await until(lambda: len(sources()) + stand.counters["attempt.moot"] >= 12)
        assert sources().count("hub") <= 2 and sources().count("archive") <= 1
        assert part.node.counts["refused.fills"] >= 1 and part.node.quotas["fills:hub"].in_use(0.0) == 2
        for ask in asks:
            ask.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
        stand.clock.advance(7_000)
        await until(lambda: not part._allowed_attempts)
        assert part.node.quotas["fills:hub"].in_use(stand.clock.steady_ms()) == 0  # all has come back


@run
async def test_the_module_gets_its_quotas_and_then_requests_no_more() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = part_for(stand, hub_fills=1.0, retries_per_s=5.0, retry_burst=5.0)
        part.tick(stand.clock.steady_ms())
        await until(lambda: stand.module.slow_start.quotas.fills)
        assert stand.module.slow_start.quotas.fills == {"hub": 1.0} and stand.module.slow_start.quotas.retries == 5
        asks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(6)]
        await until(lambda: sum(len(d.seen) for d in stand.backends[:2]) >= 6)
        assert part.node.counts.get("refused.fills", 0) == 0  # the module kept within its quota by itself
        for ask in asks:
            ask.cancel()
        await asyncio.gather(*asks, return_exceptions=True)


@run
async def test_a_fill_ends_by_its_bound_which_is_all_that_a_start_waits_for() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = part_for(stand, fill_ms=300.0, hub_fills=9.0, origin_fills=9.0)
        assert {w.tail_ms for w in part.node.limits.values()} == {300.0}
        ask = stand.ask()
        await until(lambda: any(d.seen for d in stand.backends[:2]))
        _, fields, _ = next(d for d in stand.backends[:2] if d.seen).seen[0]
        assert fields["X-Next-Hop"] == "hub" and int(fields["X-Patience"]) <= 300  # so it ends at the backend, too
        stand.clock.advance(301)
        await until(lambda: stand.counters["attempt.timeout"] >= 1)
        ask.cancel()
        await asyncio.gather(ask, return_exceptions=True)


@run
async def test_connections_to_a_backend_are_bounded_and_given_back() -> None:
    async with InProcessProxy(*backends(HANG)) as stand:
        part = part_for(stand, cache_links=2.0)
        part.trim = stand.client.bound(part)
        asks = [stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(10)]
        await until(
            lambda: stand.counters["depot.waits"] >= 6 and sum(d.connections for d in stand.backends[:2]) >= 4
        )
        assert [d.connections for d in stand.backends[:2]] == [2, 2]
        for ask in asks:
            ask.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
        stand.clock.advance(7_000)
        await until(lambda: all(part.node.quotas[f"links:{n}"].in_use(0.0) == 0 for n in "ab"))


@run
async def test_idle_connections_beyond_a_quota_that_shrinks_are_closed() -> None:
    async with InProcessProxy(*backends(OK)) as stand:
        part = part_for(stand, cache_links=4.0)
        part.trim = stand.client.bound(part)
        await asyncio.gather(*(stand.ask(target=f"/rpc/waveform/{n:x}?slice=0") for n in range(8)))
        before = {d.name: d.connections for d in stand.backends[:2]}
        assert max(before.values()) >= 2
        for name in "ab":
            part.trim(name, 1.0)
        await until(lambda: all(d.closed >= d.connections - 1 for d in stand.backends[:2]))


@run
async def test_a_health_check_waits_for_its_token() -> None:
    class Inner:
        began = 0

        async def health_check(self, backend: Backend, may_start: Any) -> AttemptResult:
            if not may_start():
                return AttemptResult("moot")
            self.began += 1
            return AttemptResult("ok")

        def follow(self, backends: Any) -> None:
            pass

    async with InProcessProxy(*backends()) as stand:
        part = part_for(stand, probes_per_s=1.0, probe_burst=1.0)
        inner = Inner()
        health_checker = BudgetedHealthChecker(inner, part)
        health_checker.follow(stand.engine._endpoints.backends.values())
        assert (await health_checker.health_check(Backend("a", "x"))).result == "ok"
        second = asyncio.create_task(health_checker.health_check(Backend("a", "x")))
        await asyncio.sleep(0.12)
        assert inner.began == 1 and not second.done()
        stand.clock.advance(1_100)
        assert (await second).result == "ok" and inner.began == 2


@run
async def test_a_hand_out_by_dns_is_an_attempt_like_any_other() -> None:
    async with DnsStand(module=Always("s-0")) as stand:
        # 0.3 transfers x 3 s x half of 2.5 x 0.18 warm: room for two requests of 100 ms within 3 s.
        stand.engine.step(EndpointListUpdate("changes", (box(0, started_ms=stand.clock.now_ms()),)))
        part_for(stand, cache_bears=0.3)
        names = own(0)[:4]
        answers = [await stand.ask(f"{name}.waveform.{ZONE}", "A") for name in names]
        assert [bool(a.answer) for a in answers] == [True, True, False, False]
        stand.clock.advance(3_100)
        assert (await stand.ask(f"{names[2]}.waveform.{ZONE}", "A")).answer


@run
async def test_what_can_not_be_read_is_counted_and_costs_nothing() -> None:
    async with InProcessProxy(*backends()) as stand:
        part = part_for(stand, hub_fills=4.0)
        assert part.receive(0.0, Message("budget", "d1", 0, body=b"odd")) == []
        assert stand.counters["budget.bad"] == 1 and part.state()["keeping"] is False
        assert part.stop(0.0) == []
