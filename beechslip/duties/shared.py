"""Probes shared among doormans, behind the engine's ``Prober`` interface: the module decides as before.

:func:`stand_in` is the pure rule; :class:`SharedProber` wraps the depot client's prober with it:

- the module asks for a probe (``i.Probe``) as it always did; where another member probed that depot less than
  an interval ago, its report answers, and no connection is made. The owner of a duty always probes itself.
- a probe this doorman made, whether the module asked for it or the duty schedule did, is reported to the
  others through the duty node;
- a report heard from another member reaches the module as an ``i.ProbeResult``, as its own probe would.

The list of duties follows the depots that are listed (``follow``), so nothing is kept of a depot that went.
"""
from __future__ import annotations

from collections.abc import Callable, Iterable

from aldershed import interface as i
from beechslip.clock import Clock, to_seconds
from beechslip.core.model import Depot, Ended, Prober
from beechslip.counters import Counters
from beechslip.duties.membership import Report
from beechslip.duties.node import DutyNode


def stand_in(node: DutyNode, duty: str, now_ms: float) -> Report | None:
    """Another member's report of ``duty`` that may answer a probe asked for at ``now_ms``; ``None``: probe.

    Only a report younger than the probe interval, by another member, for a duty this member does not own.
    """
    report = node.last.get(duty)
    if report is None or report.prober == node.me or node.rank(duty) == 0:
        return None
    return report if 0.0 <= now_ms - node.heard.get(duty, -1e18) < node.tuning.interval_ms else None


class SharedProber:
    """A ``Prober`` for the engine; ``post`` is the engine's queue."""

    def __init__(self, inner: Prober, node: DutyNode, clock: Clock, counters: Counters,
                 post: Callable[[object], None]) -> None:
        self._inner, self.node, self._clock, self._counters, self._post = inner, node, clock, counters, post
        self._depots: dict[str, Depot] = {}

    def follow(self, depots: Iterable[Depot]) -> None:
        listed = list(depots)
        self._depots = {depot.name: depot for depot in listed}
        self.node.set_duties(tuple(self._depots))
        self._inner.follow(listed)

    async def probe(self, depot: Depot) -> Ended:
        report = stand_in(self.node, depot.name, self._clock.now_ms())
        if report is not None:
            self._counters.add("probe.shared")
            return Ended("ok" if report.ok else "error")
        ended = await self._inner.probe(depot)
        self.node.done(self._clock.now_ms(), depot.name, ended.result == "ok")
        return ended

    async def work(self, duty: str) -> bool:
        """A probe that the duty schedule starts; its result goes to the module like any other."""
        depot = self._depots.get(duty)
        if depot is None:
            return False
        began = self._clock.now_ms()
        ended = await self._inner.probe(depot)
        self._counters.add(f"probe.{ended.result}")
        self._post(i.ProbeResult(duty, ended.result, to_seconds(self._clock.now_ms() - began), ended.report))
        return ended.result == "ok"

    def heard(self, report: Report) -> None:
        """Another member's probe: to the module as if it were this one's."""
        if report.duty in self._depots:
            self._counters.add("probe.heard")
            self._post(i.ProbeResult(report.duty, "ok" if report.ok else "error"))
