"""Tests of orders with real agents and proxies under faults, and of the judge of those runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from beechslip.orders.model import Order, Step
from lab.agent_judge import CaseOutcome
from lab.agent_world import CASES, AgentTestbed, OrderCase, run_case
from tests.pg_stand import FakePostgresServer

PARALLEL_CASES = 2  # cases that run in parallel, each in an xdist group; a case runs several agents and proxies
MAX_RUNS = 3


async def run_until_ended(case: OrderCase, folder: Path) -> CaseOutcome:
    """Run a case, and repeat it up to twice if its only violations are orders that have not ended.

    An order counts as not ended after four times its usual time. A run with any other violation, such as an untrue
    report, is not repeated.
    """
    for number in range(MAX_RUNS):
        server = FakePostgresServer() if case.postgres else None
        outcome = await run_case(case, folder / f"{case.name}-{number}", server.url() if server else "")
        if server:
            server.close()
        if not outcome.violations or any(not v.startswith("not-ended") for v in outcome.violations):
            break
    return outcome


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, id=case.name, marks=pytest.mark.xdist_group(f"orders-{number % PARALLEL_CASES}"))
        for number, case in enumerate(CASES)
    ],
)
def test_the_report_of_an_order_over_real_proxies_is_true(case: OrderCase, tmp_path: Path) -> None:
    outcome = asyncio.run(run_until_ended(case, tmp_path))
    assert outcome.violations == []
    ended = {s.state for o in outcome.orders if o.state == "done" for s in o.steps}
    match case.name:
        case "half-killed-in-a-drain" | "ignores-sigterm":
            assert "died" in ended  # the report names a killed proxy
        case "two-operators":
            assert len(outcome.rejected) == 1 and "order 1 (restart by ann) runs" in outcome.rejected[0]
        case _:
            assert ended == {"done"}


def test_the_judge_finds_untrue_reports(tmp_path: Path) -> None:
    world = AgentTestbed(CASES[0], tmp_path)
    world.folder.mkdir(exist_ok=True)
    (tmp_path / "a0.log").write_text(
        "".join(
            f"2026-01-01 00:00:0{n},000 beechslip n{n}, process {10 + n}, listens on x; 1 proxies\n" for n in range(4)
        )
        + "2026-01-01 00:00:09,000 beechslip n0, process 10, has answered all requests, and exits\n"
        + "2026-01-01 00:00:09,500 beechslip n3, process 14, is shutting down before it serves\n"
    )
    steps = [
        ("n0", "done", "process 10 ended with 0"),
        ("n1", "done", "process 11 ended with 0"),
        ("n0", "died", "process 10 killed, as it did not drain in time"),
        ("n2", "done", "it was not running"),
        ("n3", "done", ""),
        ("n2", "died", "process 99 ended with -9"),
        ("n3", "died", "process 14 ended with 0"),
        ("n0", "done", "process 14 ended with 0"),
        ("n3", "done", "process 98 ended with 0"),
        ("n3", "done", "process 14 ended with 0"),
    ]
    orders = [
        Order(1, "drain", "op", state="done", steps=(Step(1, name, "", "drain", state, "", detail),))  # type: ignore[arg-type]
        for name, state, detail in steps
    ]
    has_violations = []
    for one in orders:
        outcome = CaseOutcome([one])
        world.check_reports(outcome, {"n0": False, "n1": False, "n2": True, "n3": False})
        has_violations.append(bool(outcome.violations))
    assert has_violations == [False, True, True, True, True, True, True, True, True, False]
