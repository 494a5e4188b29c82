"""Health checks shared among proxies, behind the engine's ``HealthChecker`` interface.

The routing module's decisions are unchanged. :func:`usable_report`, which does no I/O, decides whether another
member's report may replace a health check. :class:`SharedHealthChecker` wraps the backend client's health checker
with this rule:

- The module requests the same health checks as it does without sharing. If another member checked the backend less
  than an interval ago, its report is the answer and no connection is made. The owner of a duty always makes the check
  itself.
- A health check that this proxy made, requested by the module or started by the duty schedule, is reported to the
  others through the duty node.
- A report from another member reaches the module as an ``i.HealthCheckResult``, as its own health check would.

The list of duties follows the listed backends (``update_backends``), so no state remains of a backend that has gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Final

from beechslip.clock import Clock, to_seconds
from beechslip.core.model import AttemptResult, Backend, HealthChecker
from beechslip.counters import Counters
from beechslip.duties.node import NEVER_MS, DutyNode
from beechslip.fleet.codec import MEMBERSHIP_KINDS
from beechslip.fleet.messages import DutyReport, OutgoingDatagram, PeerMessage
from beechslip.routing import interface as i

log = logging.getLogger("beechslip.duties")


# Results of a health check, named as in ``AttemptResult``.
RESULT_OK: Final = "ok"
RESULT_ERROR: Final = "error"


def usable_report(node: DutyNode, duty: str, now_ms: float) -> DutyReport | None:
    """Return another member's report of ``duty`` that may answer a health check requested at ``now_ms``, or ``None``.

    It must be younger than the interval, made by another member, and of a duty that this member does not own.
    """
    report = node.latest_reports.get(duty)
    if report is None or report.prober == node.me or node.rank(duty) == 0:
        return None
    age_ms = now_ms - node.last_done_ms.get(duty, NEVER_MS)
    return report if 0.0 <= age_ms < node.tuning.interval_ms else None


class SharedHealthChecker:
    """A ``HealthChecker`` for the engine that the duty schedule also uses."""

    def __init__(
        self, inner: HealthChecker, node: DutyNode, clock: Clock, counters: Counters, post: Callable[[object], None]
    ) -> None:
        """``inner`` makes the health checks. ``post`` puts an event into the engine's queue."""
        self.node = node
        self._inner = inner
        self._clock = clock
        self._counters = counters
        self._post = post
        self._backends: dict[str, Backend] = {}

    def update_backends(self, backends: Mapping[str, Backend]) -> None:
        """Use the listed backends as the duties."""
        self._backends = dict(backends)
        self.node.set_duties(tuple(self._backends))
        self._inner.update_backends(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Return another member's fresh result, or else make and report a health check."""
        report = usable_report(self.node, backend.name, self._clock.steady_ms())
        if report is not None:
            self._counters.add("probe.shared")
            return AttemptResult(RESULT_OK if report.ok else RESULT_ERROR)
        outcome = await self._inner.health_check(backend)
        self.node.record_done(self._clock.steady_ms(), backend.name, outcome.result == RESULT_OK)
        return outcome

    async def perform_duty(self, duty: str) -> bool:
        """Make a health check that the duty schedule starts, and return whether it succeeded.

        Its result is posted to the module like that of any other check. Returns False if the backend is not listed.
        """
        backend = self._backends.get(duty)
        if backend is None:
            return False
        began_ms = self._clock.steady_ms()
        outcome = await self._inner.health_check(backend)
        self._counters.add(f"probe.{outcome.result}")
        took_s = to_seconds(self._clock.steady_ms() - began_ms)
        self._post(i.HealthCheckResult(duty, outcome.result, took_s, outcome.report))
        return outcome.result == RESULT_OK

    def on_report(self, report: DutyReport) -> None:
        """Post another member's health check to the module, as if this proxy had made it."""
        if report.duty in self._backends:
            self._counters.add("probe.heard")
            self._post(i.HealthCheckResult(report.duty, RESULT_OK if report.ok else RESULT_ERROR))


class DutyPart:
    """The duties as a part behind the peer socket.

    Starts the health checks that the schedule names, and forwards the reports of other members to the module. It owns
    its running health checks: :meth:`stop` cancels them and :meth:`wait_closed` waits for them to end.
    """

    kinds = MEMBERSHIP_KINDS

    def __init__(
        self,
        health_checker: SharedHealthChecker,
        clock: Clock,
        counters: Counters,
        note: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        """``note`` is called with each duty that starts."""
        self.node = health_checker.node
        self._health_checker = health_checker
        self._clock = clock
        self._counters = counters
        self._note = note
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Start the duties that are due, and return the messages to send."""
        due = self.node.tick(now_ms)
        for duty in due.duties_to_start:
            self._note("probe", name=duty, rank=self.node.rank(duty))
            task = asyncio.get_running_loop().create_task(self._run(duty))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return due.sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle a membership message, pass its new reports to the module, and return the answers to send."""
        message_result = self.node.receive(now_ms, message)
        for report in message_result.new_reports:
            self._health_checker.on_report(report)
        return message_result.sends

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Cancel the running health checks, and return the messages that leave the membership.

        :meth:`wait_closed` waits for the cancelled checks.
        """
        for task in self._tasks:
            task.cancel()
        return self.node.membership.leave()

    async def wait_closed(self) -> None:
        """Wait until all health checks that :meth:`stop` has cancelled have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, duty: str) -> None:
        ok = False
        try:
            ok = await self._health_checker.perform_duty(duty)
        except Exception:
            self._counters.add("fault.duty")
            log.exception("duty failed: duty=%s", duty)
        finally:
            self.node.record_done(self._clock.steady_ms(), duty, ok)
            self._counters.add("duties.done")
