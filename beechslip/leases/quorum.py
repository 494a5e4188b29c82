"""Quorum rules over the declared member sets: a quorum is a majority of every set that is still binding.

A declared set is given by its size: the set of size n consists of the members ``d0`` to ``d(n-1)``.
"""

from __future__ import annotations

from collections.abc import Iterable


def merge_sets(sets: tuple[int, ...], more: Iterable[int]) -> tuple[int, ...]:
    """Return the sizes of the binding sets: ``sets`` with ``more`` inserted before its last, which is the newest."""
    newest = sets[-1]
    earlier = dict.fromkeys((*more, *sets[:-1]))
    return (*(size for size in earlier if size != newest), newest)


def is_quorum(sets: tuple[int, ...], members: Iterable[str]) -> bool:
    """True if ``members`` (named ``dN``) contain a majority of each set; a set of size n has the members 0..n-1."""
    numbers = [int(name[1:]) for name in members]
    return all(2 * sum(1 for number in numbers if number < size) > size for size in sets)
