"""``python -m lab.mutants NAME``: a proxy with an injected fault, for the scenarios. Never used in production.

The module imports every module that registers injected faults, so that :func:`lab.injected_faults.registered`
returns all of them.
"""

from __future__ import annotations

import sys

from lab import budget_faults, lease_faults, order_faults, region_faults, routing_faults  # noqa: F401 (they register)
from lab.injected_faults import InjectedFault, inject, registered


def all_faults() -> dict[str, InjectedFault]:
    """Return every injected fault by name."""
    return registered()


def main() -> int:
    """Run a proxy with the fault named by the first argument, and return its exit code."""
    from beechslip.platform.confine import confine
    from beechslip.process import main as serve

    with inject(sys.argv[1]):
        confine()
        return serve()


if __name__ == "__main__":
    sys.exit(main())
