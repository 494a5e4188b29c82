"""Link limits: how many transfers this proxy has on a backend's link at once, so that each of them completes.

The transfers on a link share it. With too many of them each takes longer than its client waits, and the work
of those that run out of time is lost. The limit follows the pace of the transfers: their duration over their
transfer time at full speed. It is lowered while they are slower than the largest requests can bear, and
raised while they are faster. No capacity has to be known, and the proxies of a fleet need not know of each
other.
"""

from __future__ import annotations

import math

from beechslip.routing.context import RoutingContext
from beechslip.routing.link import Link
from beechslip.routing.place_pool import PlacePool
from beechslip.routing.state import Backend, OpenRequest, SizeBand
from beechslip.routing.tallies import DECAY_TIME_S, DecayingSum, WindowedMinimum
from beechslip.routing.transfer_sizes import TransferSizes

# Paces are multiples of the transfer time at full speed.
TARGET_SLACK_FRACTION = 0.15  # of the slack that the largest requests have, which the target pace may use up
TARGET_OVER_LOWEST_PACE = 1.05  # lowest target, as a multiple of the lowest pace on any link
LOWEST_PACE_WINDOW_S = 1.0  # s; spans a few transfers, and is short against a fault of 5 to 30 s
MAX_EXPECTED_PACE = 2.0  # the limits soon make a worse pace better
MAX_SHORT_TRANSFER_S = 0.05  # s of transfer time up to which the duration shows the delay
SILENT_PACE_FACTOR = 2.0  # multiple of the target above which a link without any answer counts as silent
MIN_TRANSFERS_TO_JUDGE = 2  # in progress; one alone may be slow by chance
MIN_LIMIT = 0.1  # transfers; below 1 a pause follows each transfer
MAX_CUT_FACTOR = 0.5  # factor by which a limit is cut at most, at once or within ``CUT_TIME_S``
CUT_TIME_S = 0.5  # s in which a limit is cut in proportion to a pace above the target
LIMIT_GROWTH_PER_S = 0.5  # transfers by which a limit grows in a second below the target
MAX_ADJUSTED_SPAN_S = 1.0  # s for which one transfer adjusts a limit at most
LIMIT_LIFETIME_S = 4.0  # s without a slow transfer or a request without a place until a limit is lifted


class LinkLimits:
    """Sets the link limits of the backends, and knows the pace that the largest requests can bear."""

    def __init__(self, context: RoutingContext) -> None:
        """Start without limits."""
        self._context = context
        self.sizes = TransferSizes()
        # Up to which the largest requests of all classes complete in time, with some slack left.
        self.target_pace = math.inf
        self._lowest_pace = WindowedMinimum(LOWEST_PACE_WINDOW_S)  # of transfers that were alone, on any link
        self._shortest_delay = math.inf  # s beside a short transfer that was alone, on any link
        # By class, of its largest requests: the time left at their arrival and their transfer times, s.
        self._largest: dict[str, tuple[DecayingSum, DecayingSum]] = {}

    def record_arrival(self, request: OpenRequest) -> None:
        """Record the transfer time of a request, and the time that it has if it is of the largest band."""
        if request.rule.write or request.transfer_time <= 0.0:
            return
        now = self._context.now
        if request.event.size_kb > 0.0:
            self.sizes.record(now, request.transfer_time)
        if request.band is not SizeBand.LARGEST:
            return
        time_left, work = self._largest.setdefault(
            request.rule.name, (DecayingSum(2.0 * DECAY_TIME_S), DecayingSum(2.0 * DECAY_TIME_S))
        )
        time_left.add(now, request.deadline - now)
        work.add(now, request.transfer_time)
        bearable = min(
            time_left.total / work.total for time_left, work in self._largest.values() if work.total > 0.0
        )
        self.target_pace = 1.0 + TARGET_SLACK_FRACTION * max(bearable - 1.0, 0.0)

    def is_short(self, request: OpenRequest) -> bool:
        """Return whether the transfer for a request may use the places for short ones."""
        return self.sizes.is_short(request.transfer_time)

    def is_limited(self, backend: Backend) -> bool:
        """Return whether a limit applies to a backend's link.

        A link on which nothing ends any more is not limited: whether its backend is silent is for the overdue
        checks to find out, and they need attempts. Nor is the link of a backend that is out of service.
        """
        link = backend.link
        if link.limit == math.inf or backend.is_ejected or backend.entry.state != "ready":
            return False
        now = self._context.now
        if now - max(link.slow_at, link.blocked_at) > LIMIT_LIFETIME_S:
            link.limit = math.inf
            return False
        is_silent = (
            link.in_progress >= MIN_TRANSFERS_TO_JUDGE
            and not link.has_answered_lately()
            and link.pace_in_progress(now) > SILENT_PACE_FACTOR * self.target_pace
        )
        return not is_silent

    def has_place(self, backend: Backend, is_short: bool) -> bool:
        """Return whether one more transfer may begin now, a short one or another."""
        if not self.is_limited(backend):
            return True
        has_place = backend.link.has_place(self._context.now, is_short)
        if not has_place:
            backend.link.blocked_at = self._context.now
        return has_place

    def expected_pace(self, backend: Backend) -> float:
        """Return the pace that a transfer can expect which begins now."""
        if not self.is_limited(backend):
            return 1.0
        return min(max(backend.link.pace.recent(self._context.now), 1.0), MAX_EXPECTED_PACE)

    def record_transfer(
        self, backend: Backend, pool: PlacePool | None, work: float, elapsed: float, is_complete: bool
    ) -> None:
        """Adjust a backend's limit to a transfer that has ended.

        Args:
            backend: the backend whose link carried it.
            pool: the pool of its place on that link; a pause may follow it.
            work: the transfer time at full speed, s.
            elapsed: its duration, s.
            is_complete: False if it ran out of time; it then counts only if others have ended meanwhile.
        """
        now = self._context.now
        link = backend.link
        if is_complete:
            link.answered_at = now
        elif elapsed <= self._target() * work or link.answered_at <= now - elapsed:
            return  # the client allowed little time, or the backend is silent
        if link.in_progress == 0:
            self._record_transfer_alone(work, elapsed)
        link.pace.add(now, work, elapsed, self._shortest_delay if self._shortest_delay < math.inf else 0.0)
        pace, target = link.pace.recent(now), self._target()
        if link.limit < math.inf:
            self._adjust_limit(link, pace, target)
            if pool is not None:
                pool.pause_after(now, work * target)
        elif pace > target:
            self._set_first_limit(link, pace, target)

    def _record_transfer_alone(self, work: float, elapsed: float) -> None:
        """Record what a transfer shows of links without load, if no other was in progress on its link."""
        self._lowest_pace.add(self._context.now, elapsed / work)
        if work <= MAX_SHORT_TRANSFER_S:
            self._shortest_delay = min(self._shortest_delay, elapsed - work)

    def _target(self) -> float:
        """Return the pace above which limits are cut.

        Where no link is as fast as stated, not even for a transfer that is alone, load is not the reason.
        """
        lowest = self._lowest_pace.value if self._lowest_pace.value < math.inf else 1.0
        return max(self.target_pace, TARGET_OVER_LOWEST_PACE * lowest, TARGET_OVER_LOWEST_PACE)

    def _set_first_limit(self, link: Link, pace: float, target: float) -> None:
        """Limit a link at the transfers in progress, cut in proportion to their pace."""
        link.slow_at = link.adjusted_at = self._context.now
        link.limit = max(link.in_progress * max(target / pace, MAX_CUT_FACTOR), 1.0)

    def _adjust_limit(self, link: Link, pace: float, target: float) -> None:
        """Cut a limit above the target pace; raise it below, if it is in use.

        Both depend on time, not on the number of transfers: otherwise a proxy with a low limit, which sees
        few, would stay behind the others.
        """
        now = self._context.now
        span = min(now - link.adjusted_at, MAX_ADJUSTED_SPAN_S)
        link.adjusted_at = now
        if pace > target:
            link.slow_at = now
            factor = max(target / pace, MAX_CUT_FACTOR) ** (span / CUT_TIME_S)
            link.limit = max(link.limit * factor, self._min_limit())
        elif link.in_progress + 2.0 > link.limit:
            link.limit += LIMIT_GROWTH_PER_S * span

    def _min_limit(self) -> float:
        """Return the lowest limit: the fleet may always have one transfer at a time on a link."""
        return max(MIN_LIMIT, 1.0 / max(self._context.settings.proxies, 1))
