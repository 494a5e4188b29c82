"""The verdict on a run: the results of the checkers, and the scenario's requirements against the run."""

from __future__ import annotations

import signal
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lab.check import LeaseChecker, Violation, check_leases, longest_probe_gaps_ms
from lab.fault_log import FaultLog
from lab.load import STATUS_OK, LoadGenerator
from lab.model_checks import BudgetFindings, RegionFindings, check_budgets, check_regions
from lab.processes import steady_ms
from lab.result import Result
from lab.testbed import Testbed

PROBES_CHECKED_AFTER_MS = 3_000.0  # probe gaps are checked from this time after the start
PERCENTILES = (50, 99, 100)
ORDERLY_EXITS = (0, -signal.SIGKILL)


@dataclass
class RunRecord:
    """The record of a run that a verdict is based on, once the proxies have ended. Times: test bench clock, ms."""

    testbed: Testbed
    load: LoadGenerator
    faults: FaultLog
    operator_answers: list[str]
    censuses: Mapping[str, Mapping[str, Any]]  # by live proxy, at the end of the run
    began_ms: float
    ended_ms: float


class Verdict:
    """The verdict on one run; :meth:`result` returns it."""

    def __init__(self, run: RunRecord) -> None:
        """Read the proxies' histories and run the checkers over them."""
        self.run = run
        self.scenario = run.testbed.scenario
        self.requirements = self.scenario.requirements
        self.events = run.testbed.history()
        self.leases: LeaseChecker = check_leases(self.events, self.requirements.has_rising_tokens)
        self.budgets: BudgetFindings = check_budgets(run.testbed)
        first_fault_ms = run.faults.first_fault_ms(default=run.ended_ms)
        self.regions: RegionFindings = check_regions(run.testbed, self.events, run.began_ms, first_fault_ms)
        self.counters = {proxy.name: proxy.read_counters() for proxy in run.testbed.proxies if proxy.start_count}
        self.violations: list[Violation] = []
        self.failed: list[str] = []

    def result(self) -> Result:
        """Check all rules and requirements, in the order in which reports list failures."""
        self._add_violations(self.leases.violations)
        self._check_lease_counts()
        self._add_violations([*self.budgets.violations, *self.regions.violations])
        self._check_budget_use()
        self._check_served_requests()
        self._check_regions()
        self._check_operator_answers()
        self._check_probe_gaps()
        self._check_censuses()
        self._check_unanswered()
        self._check_caught_exceptions()
        self._check_exits()
        return self._make_result()

    def _add_violations(self, violations: list[Violation]) -> None:
        self.violations += violations
        self.failed += [f"{violation.rule}: {violation.text}" for violation in violations]

    def _check_lease_counts(self) -> None:
        counts = self.leases.counts
        for what, least, count in (
            ("holds", self.requirements.min_holds, counts.get("hold", 0)),
            ("handovers", self.requirements.min_handovers, counts.get("handovers", 0)),
            ("rejected acts", self.requirements.min_rejected_acts, counts.get("turned_down", 0)),
        ):
            if count < least:
                self.failed.append(f"{what}: {count}, expected at least {least}")

    def _check_budget_use(self) -> None:
        for kind, least in self.requirements.min_budget_use.items():
            parts = [part for name, part in self.budgets.used.items() if name.split(":")[0] == kind]
            most = max(parts, default=0.0)
            if most < least:
                self.failed.append(f"used: {kind} {most:.2f} of the limit, expected at least {least:g}")

    def _check_served_requests(self) -> None:
        load = self.run.load
        served = load.answers.get(STATUS_OK, 0)
        if served < self.requirements.min_served_ratio * max(1, load.requests):
            self.failed.append(
                f"served: {served} of {load.requests}, expected at least {self.requirements.min_served_ratio:g}"
            )

    def _check_regions(self) -> None:
        if self.regions.counts.get("away", 0) < self.requirements.min_regions_away:
            self.failed.append(f"away: {self.regions.counts}, expected at least {self.requirements.min_regions_away}")
        if self.requirements.has_all_regions_back:
            away = self.run.testbed.regions_away()
            if away:
                self.failed.append(f"back: regions still avoided at the end: {away}")

    def _check_operator_answers(self) -> None:
        expected = list(self.requirements.operator_answer_prefixes)
        answers = self.run.operator_answers
        if [answer[: len(start)] for answer, start in zip(answers, expected, strict=False)] != expected:
            self.failed.append(f"said: {answers}, expected {expected}")

    def _check_probe_gaps(self) -> None:
        if not self.requirements.max_probe_gap_s:
            return
        gaps = longest_probe_gaps_ms(self.events, self.run.began_ms + PROBES_CHECKED_AFTER_MS, self.run.ended_ms)
        missing = [backend.name for backend in self.run.testbed.backends if backend.name not in gaps]
        late = {name: round(gap) for name, gap in gaps.items() if gap > 1000 * self.requirements.max_probe_gap_s}
        if late or missing:
            self.violations.append(
                Violation("unprobed", self.run.ended_ms, f"longest gaps in ms: {late}; never probed: {missing}")
            )
            self.failed.append(
                f"unprobed: gaps in ms {late}, over {self.requirements.max_probe_gap_s:g} s; never probed: {missing}"
            )

    def _check_censuses(self) -> None:
        if not self.requirements.has_common_census:
            return
        live = sorted(self.run.censuses)
        for name, census in self.run.censuses.items():
            members = sorted(census.get("members", {}))
            if members != live:
                self.failed.append(f"census: {name} counts {members}, expected the live members {live}")

    def _check_unanswered(self) -> None:
        load = self.run.load
        if self.requirements.has_all_answers and load.unanswered:
            self.failed.append(
                f"answers: {load.unanswered} of {load.requests} requests had no response from a running proxy"
            )

    def _check_caught_exceptions(self) -> None:
        for name, counters in self.counters.items():
            faults = {counter: value for counter, value in counters.items() if counter.startswith("fault.")}
            if faults:
                self.failed.append(f"exceptions caught in {name}: {faults}")

    def _check_exits(self) -> None:
        proxies = self.run.testbed.proxies
        unexpected = [proxy.name for proxy in proxies if any(code not in ORDERLY_EXITS for code in proxy.exit_codes)]
        if unexpected:
            self.failed.append(f"unexpected exit code of proxies: {', '.join(unexpected)}")

    def _make_result(self) -> Result:
        testbed = self.run.testbed
        mesh = testbed.mesh
        latency = self.run.load.latency
        return Result(
            name=self.scenario.name,
            injected_fault=testbed.injected_fault,
            failed=self.failed,
            violations=[f"{violation.rule}: {violation.text}" for violation in self.violations],
            counts=self.leases.counts,
            answers=dict(sorted(self.run.load.answers.items())),
            latency_ms={
                f"p{percentile:g}": latency.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES
            },
            datagrams={"passed": mesh.delivered, "bytes": mesh.delivered_bytes, "lost": mesh.lost},
            exits={proxy.name: proxy.exit_codes for proxy in testbed.proxies if proxy.start_count},
            counters=self.counters,
            events=sorted([*self.events, *self.run.faults.events], key=lambda event: event["t"]),
            began_ms=self.run.began_ms,
            ended_ms=steady_ms(),
            used=self.budgets.used,
        )
