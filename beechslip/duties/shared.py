"""Health checks shared among proxies, behind the engine's ``HealthChecker`` interface: decisions are unchanged.

:func:`usable_report` is the pure rule; :class:`SharedHealthChecker` wraps the backend client's health checker with
it:

- the module requests a health check as it always did; where another member checked that backend less than an
  interval ago, its report answers, and no connection is made. The owner of a duty always checks itself.
- a health check this proxy made, whether the module requested it or the duty schedule did, is reported to the
  others through the duty node;
- a report from another member reaches the module as an ``i.HealthCheckResult``, as its own health check would.

The list of duties follows the backends that are listed (``follow``), so no state of a backend that went remains.
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


OK: Final = "ok"  # results of a health check, as ``AttemptResult`` names them
ERROR: Final = "error"


def usable_report(node: DutyNode, duty: str, now_ms: float) -> DutyReport | None:
    """Another member's report of ``duty`` that may answer a health check requested at ``now_ms``, if there is one.

    Only a report younger than the interval, by another member, for a duty this member does not own.
    """
    report = node.latest_reports.get(duty)
    if report is None or report.prober == node.me or node.rank(duty) == 0:
        return None
    age_ms = now_ms - node.last_done_ms.get(duty, NEVER_MS)
    return report if 0.0 <= age_ms < node.tuning.interval_ms else None


class SharedHealthChecker:
    """A ``HealthChecker`` for the engine, which the duty schedule uses, too."""

    def __init__(
        self, inner: HealthChecker, node: DutyNode, clock: Clock, counters: Counters, post: Callable[[object], None]
    ) -> None:
        """``inner`` makes the health checks; ``post`` puts an event into the engine's queue."""
        self.node = node
        self._inner = inner
        self._clock = clock
        self._counters = counters
        self._post = post
        self._backends: dict[str, Backend] = {}

    def follow(self, backends: Mapping[str, Backend]) -> None:
        """Make the listed backends the duties."""
        self._backends = dict(backends)
        self.node.set_duties(tuple(self._backends))
        self._inner.follow(backends)

    async def health_check(self, backend: Backend) -> AttemptResult:
        """Another member's fresh result, or else a health check by this proxy, which is reported."""
        report = usable_report(self.node, backend.name, self._clock.steady_ms())
        if report is not None:
            self._counters.add("probe.shared")
            return AttemptResult(OK if report.ok else ERROR)
        ended = await self._inner.health_check(backend)
        self.node.done(self._clock.steady_ms(), backend.name, ended.result == OK)
        return ended

    async def perform(self, duty: str) -> bool:
        """A health check that the duty schedule starts; its result goes to the module like any other."""
        backend = self._backends.get(duty)
        if backend is None:
            return False
        began_ms = self._clock.steady_ms()
        ended = await self._inner.health_check(backend)
        self._counters.add(f"probe.{ended.result}")
        took_s = to_seconds(self._clock.steady_ms() - began_ms)
        self._post(i.HealthCheckResult(duty, ended.result, took_s, ended.report))
        return ended.result == OK

    def on_report(self, report: DutyReport) -> None:
        """Another member's health check: to the module as if it were this one's."""
        if report.duty in self._backends:
            self._counters.add("probe.heard")
            self._post(i.HealthCheckResult(report.duty, OK if report.ok else ERROR))


class DutyPart:
    """The duties as a part behind the peer socket: starts the health checks that the schedule names, and forwards
    the reports of others. Owns its running health checks; ``stop`` cancels them, ``wait_closed`` awaits them."""

    kinds = MEMBERSHIP_KINDS

    def __init__(
        self,
        shared: SharedHealthChecker,
        clock: Clock,
        counters: Counters,
        note: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        """``note`` is called with each duty that starts."""
        self.node = shared.node
        self._shared = shared
        self._clock = clock
        self._counters = counters
        self._note = note
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Start the duties that are due; the messages to send."""
        due = self.node.tick(now_ms)
        for duty in due.start:
            self._note("probe", name=duty, rank=self.node.rank(duty))
            task = asyncio.get_running_loop().create_task(self._run(duty))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return due.sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle a membership message; the module hears of the reports that are new."""
        receipt = self.node.receive(now_ms, message)
        for report in receipt.fresh:
            self._shared.on_report(report)
        return receipt.sends

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Cancel the running health checks, and leave the membership; ``wait_closed`` awaits what is cancelled."""
        for task in self._tasks:
            task.cancel()
        return self.node.membership.leave()

    async def wait_closed(self) -> None:
        """Wait until all health checks that ``stop`` has cancelled have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, duty: str) -> None:
        ok = False
        try:
            ok = await self._shared.perform(duty)
        except Exception:
            self._counters.add("fault.duty")
            log.exception("duty %s", duty)
        finally:
            self.node.done(self._clock.steady_ms(), duty, ok)
            self._counters.add("duties.done")
