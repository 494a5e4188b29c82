"""The registry of injected faults: deliberate defects that the checkers must find.

A module with such faults registers them on import, with :func:`register` or :func:`register_replacement`.
:func:`inject` applies a fault to the classes of the current process. Injected faults are never used in production.
:mod:`lab.mutants` imports every module that registers faults.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

Replacement = Callable[[Any], Any]  # returns the broken attribute, given the original one


class UnknownFaultError(KeyError):
    """No fault with this name is registered."""

    def __init__(self, name: str) -> None:
        """Report the unknown ``name`` and the registered names."""
        super().__init__(f"unknown injected fault {name!r}: expected one of {', '.join(_registry)}")


class DuplicateFaultError(ValueError):
    """Two faults were registered under the same name."""

    def __init__(self, name: str) -> None:
        """Report the duplicate ``name``."""
        super().__init__(f"injected fault {name!r} is already registered")


class Patch(NamedTuple):
    """An attribute of a class or module, and the value that replaces it."""

    owner: Any
    attribute: str
    value: Any


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A deliberate defect; ``patches`` creates the replacements from the intact program."""

    name: str
    group: str  # the broken part of the program: leases, routing, budgets, regions or orders
    description: str
    patches: Callable[[], list[Patch]]


_registry: dict[str, InjectedFault] = {}


def register(name: str, group: str, description: str, patches: Callable[[], list[Patch]]) -> None:
    """Add a fault to the registry. Raises DuplicateFaultError if the name is taken."""
    if name in _registry:
        raise DuplicateFaultError(name)
    _registry[name] = InjectedFault(name, group, description, patches)


def register_replacement(
    name: str, group: str, description: str, owner: Any, attribute: str, replacement: Replacement
) -> None:
    """Add a fault that replaces one attribute: ``replacement`` takes the original and returns the broken one."""

    def patches() -> list[Patch]:
        return [Patch(owner, attribute, replacement(owner.__dict__[attribute]))]

    register(name, group, description, patches)


def registered(group: str = "") -> dict[str, InjectedFault]:
    """Return the faults of a group by name, in the order of registration; all faults if no group is given."""
    return {name: fault for name, fault in _registry.items() if group in ("", fault.group)}


@contextlib.contextmanager
def inject(name: str) -> Iterator[None]:
    """Apply the fault ``name`` until the block ends; "" applies none.

    Raises UnknownFaultError if no imported module has registered the fault.
    """
    if name and name not in _registry:
        raise UnknownFaultError(name)
    patches = _registry[name].patches() if name else []
    originals = [Patch(patch.owner, patch.attribute, patch.owner.__dict__[patch.attribute]) for patch in patches]
    _apply(patches)
    try:
        yield
    finally:
        _apply(originals)


def _apply(patches: list[Patch]) -> None:
    for patch in patches:
        setattr(patch.owner, patch.attribute, patch.value)
