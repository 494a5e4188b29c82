"""The load of a scenario: requests to its proxies, and their outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from lab.background import BackgroundTasks
from lab.fault_log import FaultLog
from lab.processes import ProxyProcess, steady_ms
from lab.stand import fetch
from lab.testbed import Testbed

REQUEST_DEADLINE_MS = 2_000  # the deadline that a request states
RESPONSE_GRACE_S = 3.0  # how long after the deadline the response is waited for
OBJECT_COUNT = 97
MAX_LATENCY_US = 60_000_000
STATUS_OK = "200"
UNANSWERED = "none"  # by a proxy that ran during the whole request
INTERRUPTED = "cut off"  # by a fault of the scenario


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """When a request was sent (ms, :func:`steady_ms`), and its status code, ``UNANSWERED`` or ``INTERRUPTED``."""

    at_ms: float
    answer: str


class LoadGenerator:
    """Send the requests of a scenario, and record their outcomes and latencies."""

    def __init__(self, testbed: Testbed, faults: FaultLog, tasks: BackgroundTasks) -> None:
        """Load ``testbed``; ``faults`` has the members that were disturbed, ``tasks`` owns the requests in flight."""
        self.testbed = testbed
        self.scenario = testbed.scenario
        self.weights = self.scenario.weights or (1.0,) * testbed.size
        self.answers: dict[str, int] = {}
        self.outcomes: list[RequestOutcome] = []
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)  # microseconds
        self.requests = 0
        self.unanswered = 0
        self._faults = faults
        self._tasks = tasks

    async def run(self) -> None:
        """Send the requests to the members by their weights (smooth weighted round robin)."""
        size = self.testbed.size
        credit_by_member = [0.0] * size
        for number in range(self.scenario.requests):
            weights = self.weights[:size]
            credit_by_member = [current + weight for current, weight in zip(credit_by_member, weights, strict=True)]
            chosen = max(range(size), key=lambda n: credit_by_member[n])
            credit_by_member[chosen] -= sum(weights)
            proxy = self.testbed.proxies[chosen]
            if proxy.is_alive and not proxy.is_stopped:
                self._tasks.spawn(self._request(proxy, number))
            await asyncio.sleep(1.0 / self.scenario.rps)

    async def _request(self, proxy: ProxyProcess, number: int) -> None:
        """Send one request; a missing response is the proxy's failure only if it ran during the whole request."""
        began_ms = steady_ms()
        start_count = proxy.start_count
        self.requests += 1
        try:
            answer = await self._fetch(proxy, number)
            proxy.last_answered_start = start_count
            self.latency.record_value(max(1, int((steady_ms() - began_ms) * 1000)))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            was_running = self._was_running_since(proxy, start_count, began_ms)
            answer = UNANSWERED if was_running else INTERRUPTED
            self.unanswered += was_running
        self.answers[answer] = self.answers.get(answer, 0) + 1
        self.outcomes.append(RequestOutcome(began_ms, answer))

    async def _fetch(self, proxy: ProxyProcess, number: int) -> str:
        target = f"/rpc/waveform/{number % OBJECT_COUNT:x}?slice=0"
        request_id = f"{proxy.number:02x}{number:014x}"
        request = fetch(proxy.port, target, wait_ms=REQUEST_DEADLINE_MS, Req_Id=request_id)
        status, _, _ = await asyncio.wait_for(request, REQUEST_DEADLINE_MS / 1000 + RESPONSE_GRACE_S)
        return str(status)

    def _was_running_since(self, proxy: ProxyProcess, start_count: int, began_ms: float) -> bool:
        if not proxy.is_alive or proxy.is_stopped:
            return False
        same_process = proxy.start_count == start_count == proxy.last_answered_start
        return same_process and not self._faults.was_disturbed(proxy.name, began_ms - REQUEST_DEADLINE_MS)
