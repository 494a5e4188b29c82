"""Times, rates and bounds of the duties."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DutyTuning:
    """Times are in ms, rates per second.

    ``interval_ms``: how often a duty is done. ``takeover_ms``: how much longer each further standby waits before it
    steps in. ``suspect_wait_ms``: how long a standby waits if all members before it are suspect. ``lease_ms``: how
    long the loser of a double ownership leaves a duty to the winner. ``members_per_duty``: the owner and its
    standbys. ``rate_per_s`` and ``burst``: bounds on the duties that one member starts. ``jitter``: the largest
    jitter of a due time, as a fraction of the interval. ``report_copies``: how often a report is piggybacked.
    ``report_sends``: how often it is sent directly to each standby. ``reports_per_message``: the most reports in one
    message.
    """

    interval_ms: float = 2000.0
    takeover_ms: float = 2000.0
    suspect_wait_ms: float = 500.0
    lease_ms: float = 4000.0
    members_per_duty: int = 3  # if half of a fleet dies, one duty in eight loses its owner and both standbys
    rate_per_s: float = 50.0
    burst: float = 10.0
    jitter: float = 0.2
    report_copies: int = 6
    report_sends: int = 2
    reports_per_message: int = 3  # together with 3 updates, these fit into a 256-byte datagram
