"""One run of a scenario: testbed, load, faults and verdict."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

from lab.background import BackgroundTasks
from lab.fault_actions import FaultRunner
from lab.fault_log import ALL_MEMBERS, ORDERLY_END, FaultLog
from lab.load import LoadGenerator
from lab.processes import steady_ms
from lab.result import Result
from lab.scenario import Scenario
from lab.testbed import Testbed
from lab.verdict import RunRecord, Verdict

RETURN_TIMEOUT_S = 60.0  # for the return of all regions after the end of the load
RETURN_POLL_INTERVAL_S = 0.25
CENSUS_TIMEOUT_S = 15.0  # for the proxies to agree on a census
CENSUS_POLL_INTERVAL_S = 0.2


class ScenarioRunner:
    """Run one scenario. :meth:`close` ends everything that was started, also after an error."""

    def __init__(self, scenario: Scenario, folder: Path, injected_fault: str = "") -> None:
        """Prepare a run with its files in ``folder``; ``injected_fault`` is for the proxies ("": none)."""
        self.scenario = scenario
        self.testbed = Testbed(scenario, folder, injected_fault)
        self.tasks = BackgroundTasks()
        self.fault_log = FaultLog()
        self.load = LoadGenerator(self.testbed, self.fault_log, self.tasks)
        self.faults = FaultRunner(self.testbed, self.load, self.fault_log, self.tasks)

    async def open(self) -> None:
        """Start all servers and processes, and return when the proxies are healthy."""
        await self.testbed.open()

    async def close(self) -> None:
        """End all tasks, servers and processes."""
        await self.tasks.cancel()
        await self.testbed.close()

    async def play(self) -> Result:
        """Apply load and faults until the scenario's end, shut the proxies down, and return the result."""
        began_ms = steady_ms()
        if self.scenario.rps and self.scenario.requests:
            self.tasks.spawn(self.load.run())
        for fault in self.scenario.faults:
            await _sleep_until(began_ms + fault.at_s * 1000.0)
            self.tasks.spawn(self.faults.run(fault))
        await _sleep_until(began_ms + self.scenario.duration_s * 1000.0)
        await self.tasks.wait()
        censuses = await self._read_censuses() if self.scenario.requirements.has_common_census else {}
        if self.scenario.requirements.has_all_regions_back:
            await self._wait_for_return()
        ended_ms = steady_ms()
        self.fault_log.note(ALL_MEMBERS, ORDERLY_END)
        await asyncio.gather(*(proxy.end(signal.SIGTERM) for proxy in self.testbed.proxies))
        answers = self.faults.operator_answers
        run = RunRecord(self.testbed, self.load, self.fault_log, answers, censuses, began_ms, ended_ms)
        return Verdict(run).result()

    async def _read_censuses(self) -> dict[str, Any]:
        """Return the census of each live proxy, once all agree on one of all live proxies.

        After ``CENSUS_TIMEOUT_S`` the censuses are returned as they are.
        """
        censuses: dict[str, Any] = {}
        live = [proxy for proxy in self.testbed.proxies if proxy.is_alive]
        expected = {tuple(sorted(proxy.name for proxy in live))}
        for _ in range(int(CENSUS_TIMEOUT_S / CENSUS_POLL_INTERVAL_S)):
            pages = {proxy.name: await self.testbed.read_page(proxy, "/leases") for proxy in live}
            censuses = {name: page.get("census") or {} for name, page in pages.items()}
            if {tuple(sorted(census.get("members", {}))) for census in censuses.values()} == expected:
                break
            await asyncio.sleep(CENSUS_POLL_INTERVAL_S)
        return censuses

    async def _wait_for_return(self) -> None:
        """Wait until no proxy avoids a region any more, for up to ``RETURN_TIMEOUT_S``.

        The scenarios' returns take 3 to 10 s, or twice as long again where the first one fails. The limit is much
        longer, so that the load of the machine does not decide the verdict.
        """
        for _ in range(int(RETURN_TIMEOUT_S / RETURN_POLL_INTERVAL_S)):
            if not self.testbed.regions_away():
                break
            await asyncio.sleep(RETURN_POLL_INTERVAL_S)


async def _sleep_until(time_ms: float) -> None:
    """Sleep until a time of the test bench's clock; return at once if it has passed."""
    await asyncio.sleep(max(0.0, (time_ms - steady_ms()) / 1000.0))


async def run_scenario(scenario: Scenario, folder: Path, injected_fault: str = "") -> Result:
    """Set up, run and tear down a scenario; nothing that it started outlives the call."""
    runner = ScenarioRunner(scenario, folder, injected_fault)
    try:
        await runner.open()
        return await runner.play()
    finally:
        await runner.close()
