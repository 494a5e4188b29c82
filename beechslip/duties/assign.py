"""Which member owns a duty: rendezvous (highest random weight) hashing with ranked standbys.

Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998.

Every member computes the same weight for a pair of a duty and a member, whatever else it knows. The owner of a duty
is the live member with the highest weight, and its standbys are the next ``members_per_duty - 1``. When a member
dies, only its own duties move, each to its first standby, so the load of a dead member is spread evenly over the
others. (A hash ring with virtual nodes achieves this only on average over its points.)

:class:`DutyAssignment` keeps all known members in order of weight for each duty (a ``SortedKeyList``). A new member
costs one weight and one insertion for each duty. A death costs nothing, because the first ``members_per_duty`` live
members are found by walking the order past the dead ones. Rankings take a predicate that tells whether a member is
alive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import mmh3
from sortedcontainers import SortedKeyList


def rendezvous_weight(duty: str, member: str) -> int:
    """Return the weight of a pair: 64 bits of MurmurHash3 (x64, 128-bit variant) of ``duty`` NUL ``member``."""
    return int(mmh3.hash64(f"{duty}\0{member}".encode(), signed=False)[0])


def rank_members(duty: str, members: Iterable[str], members_per_duty: int) -> tuple[str, ...]:
    """Return the ``members_per_duty`` members with the highest weight for ``duty``, the highest first.

    Ties, which 64 bits make practically impossible, are ordered by name.
    """
    return tuple(sorted(members, key=lambda member: (-rendezvous_weight(duty, member), member))[:members_per_duty])


def _by_weight_then_name(entry: tuple[int, str]) -> tuple[int, str]:
    return (-entry[0], entry[1])


class DutyAssignment:
    """All known members in order of weight, for each duty.

    ``members_per_duty`` counts the owner and its standbys.
    """

    def __init__(self, duties: Iterable[str], members: Iterable[str] = (), members_per_duty: int = 2) -> None:
        """Rank ``members`` for ``duties``. Raises ValueError if ``members_per_duty`` is under 1."""
        if members_per_duty < 1:
            raise ValueError("members_per_duty must be at least 1")
        self.members_per_duty = members_per_duty
        self.members: set[str] = set()
        self.members_by_weight: dict[str, SortedKeyList] = {
            duty: SortedKeyList(key=_by_weight_then_name) for duty in set(duties)
        }
        for member in members:
            self.add(member)

    def add(self, member: str) -> None:
        """Rank ``member`` for every duty from now on."""
        if member in self.members:
            return
        self.members.add(member)
        for duty, order in self.members_by_weight.items():
            order.add((rendezvous_weight(duty, member), member))

    def remove(self, member: str) -> None:
        """Forget ``member``. For one that is merely dead, pass a predicate to :meth:`ranked_members` instead."""
        if member not in self.members:
            return
        self.members.discard(member)
        for duty, order in self.members_by_weight.items():
            order.discard((rendezvous_weight(duty, member), member))

    def set_duties(self, duties: Iterable[str]) -> None:
        """Rank all members for new duties, and drop duties that are no longer listed."""
        wanted = set(duties)
        for duty in [d for d in self.members_by_weight if d not in wanted]:
            del self.members_by_weight[duty]
        for duty in wanted - set(self.members_by_weight):
            self.members_by_weight[duty] = SortedKeyList(
                ((rendezvous_weight(duty, member), member) for member in self.members), key=_by_weight_then_name
            )

    def ranked_members(
        self,
        duty: str,
        may_be_alive: Callable[[str], bool] = lambda _: True,
        is_confirmed: Callable[[str], bool] = lambda _: True,
    ) -> tuple[str, ...]:
        """Return the members for ``duty`` that ``may_be_alive`` accepts, the highest weight first.

        The list ends with the ``members_per_duty``-th member that ``is_confirmed`` also accepts. So a suspect member
        keeps its rank, but does not take the place of a confirmed one.
        """
        chosen: list[str] = []
        confirmed = 0
        for _, member in self.members_by_weight.get(duty, ()):
            if may_be_alive(member):
                chosen.append(member)
                confirmed += is_confirmed(member)
                if confirmed == self.members_per_duty:
                    break
        return tuple(chosen)

    def owner(self, duty: str, may_be_alive: Callable[[str], bool] = lambda _: True) -> str | None:
        """Return the member with the highest weight for ``duty`` that ``may_be_alive`` accepts, or ``None``."""
        ranked = self.ranked_members(duty, may_be_alive)
        return ranked[0] if ranked else None

    def owned_by(self, member: str, may_be_alive: Callable[[str], bool] = lambda _: True) -> list[str]:
        """Return the duties whose owner is ``member``, sorted by name."""
        return sorted(duty for duty in self.members_by_weight if self.owner(duty, may_be_alive) == member)
