"""The state of one member in a membership view: precedence of updates, and duration of a suspicion.

Sources: the SWIM paper (4.2) for precedence and suspicion; A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local
Health Awareness for More Accurate Failure Detection", DSN-W 2018 (LHA-Suspicion) for the duration of a suspicion.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from beechslip.fleet.messages import MemberState, MemberUpdate
from beechslip.fleet.tuning import MembershipTuning


@dataclass(slots=True)
class Member:
    """The state of another member since ``since_ms``, and the members that accuse it."""

    name: str
    incarnation: int
    state: MemberState
    since_ms: float
    accusers: frozenset[str] = frozenset()  # those who suspect it on their own evidence; at most tuning.accusers + 1

    def as_update(self) -> MemberUpdate:
        """Return the member's state as an update without an accuser."""
        return MemberUpdate(self.name, self.incarnation, self.state)

    def apply(self, update: MemberUpdate, now_ms: float) -> None:
        """Set the state to that of ``update``, which must override the present one."""
        if self.state is not update.state or self.incarnation != update.incarnation:
            self.since_ms = now_ms
            self.accusers = frozenset()
        self.incarnation = update.incarnation
        self.state = update.state

    def is_new_accusation(self, update: MemberUpdate, max_accusers: int) -> bool:
        """True if ``update`` repeats this suspicion by a new accuser, one of the first ``max_accusers`` + 1."""
        is_repeat = update.state is self.state is MemberState.SUSPECT and update.incarnation == self.incarnation
        return is_repeat and bool(update.by) and update.by not in self.accusers and len(self.accusers) <= max_accusers


def overrides(new: MemberUpdate, old: Member) -> bool:
    """True if ``new`` overrides ``old`` by the precedence of SWIM: by incarnation, then alive < suspect < dead.

    As this is a total order, the state reached is the greatest update received, in whatever order updates arrive (a
    join-semilattice).
    """
    return (new.incarnation, new.state) > (old.incarnation, old.state)


def suspicion_ms(member: Member, tuning: MembershipTuning) -> float:
    """Return how long ``member`` stays suspect (ms): less with each further member that accuses it on its own."""
    if not tuning.accusers:
        fraction = 1.0
    else:
        others = min(max(0, len(member.accusers) - 1), tuning.accusers)
        fraction = math.log(others + 1) / math.log(tuning.accusers + 1)
    range_ms = tuning.suspect_most_ms - tuning.suspect_ms
    return max(tuning.suspect_ms, tuning.suspect_most_ms - range_ms * fraction)
