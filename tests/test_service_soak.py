"""Short seeded soaks of a real proxy process; the long soak is started manually (docs/design/lab.md)."""

from __future__ import annotations

import asyncio
import time

import pytest

from lab.service_soak import CheckingBackend, ClientRequest, SoakFindings, run_soak
from lab.stand import run


@pytest.mark.xdist_group("service-soak")  # one at a time, because its limits are in real time
@pytest.mark.parametrize("seed", range(1, 6))
def test_no_rule_is_broken(seed: int) -> None:
    findings = run_soak(seed)
    assert not findings.violations
    assert findings.served


@run
async def test_checking_backend_reports_each_violated_rule() -> None:
    backend, findings = CheckingBackend("a"), SoakFindings(drained_since_s={"a": 0.0}, purged_at_s={1: 0.0})
    backend.findings = findings
    now = time.monotonic()
    findings.purged_at_s[1] = now - 2.5
    findings.requests["x"] = ClientRequest(
        now - 1.0, 1.5, "once", 1, left_at_s=now - 0.5, executed_at_s=now - 0.9, open_attempts={0}
    )
    backend.check_request("GET /", {"X-Trace": "x", "X-Patience": "900", "X-Age-Cap": "60000"})
    await asyncio.sleep(0.05)
    assert [what.split(" ")[0] for what in findings.violations] == [
        "patience",
        "sent",
        "retried",
        "sent",
        "an",
        "two",
    ]
