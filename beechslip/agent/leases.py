"""The leases of one agent: one for each instance, and one for running orders."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from beechslip.agent.store_access import StoreAccess
from beechslip.leases.stored import StoredLeases
from beechslip.orders.runner import ORDERS_LEASE
from beechslip.store import Fence, Instance

log = logging.getLogger("beechslip.agent")


def lease_name(instance: str) -> str:
    """Return the name of an instance's lease."""
    return f"agent:{instance}"


class AgentLeases(Protocol):
    """Leases that assign each instance, and the running of orders, to one agent at a time.

    :meth:`tick` and :meth:`release` may block, because they call the store.
    """

    def tick(self) -> None:
        """Acquire and extend the leases that are due."""
        ...

    def request(self, name: str, is_preferred: bool) -> None:
        """Request a lease and keep requesting it until it is released.

        With ``is_preferred`` it is requested as soon as it is free; otherwise other agents may acquire it first.
        """
        ...

    def fence(self, name: str) -> Fence | None:
        """Return the fence to write under if the lease is held for long enough to act, else ``None``."""
        ...

    def other_holder(self, name: str) -> str:
        """Return the other agent that holds the lease by the last read; "" if there is none or it is unknown."""
        ...

    def release(self, name: str) -> None:
        """Release a lease, and stop requesting it."""
        ...


class StoredAgentLeases:
    """Agent leases that are kept in the store.

    The home agent of an instance requests its lease at once; other agents do so only ``home_ms`` after their own
    start. After a common start, each agent therefore gets its own instances. The instances of a dead agent are still
    taken over.
    """

    def __init__(self, leases: StoredLeases, clock: Callable[[], float], home_ms: float) -> None:
        """Wrap the ``leases`` of one agent.

        ``clock`` returns steady time in ms. For ``home_ms`` after the start, leases of instances with another home
        are not requested.
        """
        self._leases = leases
        self._clock = clock
        self._request_others_from_ms = clock() + home_ms
        self._lock = threading.Lock()  # tick() is called by reconciliation passes and by the task that extends leases

    def tick(self) -> None:
        """Acquire and extend the leases that are due; only one thread at a time does so."""
        with self._lock:
            self._leases.tick()

    def request(self, name: str, is_preferred: bool) -> None:
        """Request a lease; without ``is_preferred`` only after the time reserved for home agents is over."""
        now_ms = self._clock()
        if is_preferred or now_ms >= self._request_others_from_ms:
            self._leases.want(name, now_ms)  # without the lock: the event loop must not wait for a slow store

    def fence(self, name: str) -> Fence | None:
        """Return the fence to write under if the lease is held for long enough to act, else ``None``."""
        token = self._leases.held_token(name, self._clock())
        return Fence(name, self._leases.holder, token) if token is not None else None

    def other_holder(self, name: str) -> str:
        """Return the other agent that holds the lease by the last read; "" if there is none or it is unknown."""
        holder = self._leases.last_holder(name)
        return "" if holder == self._leases.holder else holder

    def release(self, name: str) -> None:
        """Release a lease, and stop requesting it."""
        with self._lock:
            self._leases.release(name)


@dataclass(frozen=True, slots=True)
class LeaseOwnership:
    """Whether this agent owns what a lease covers and may act on it now.

    ``fence`` is the fence to write under; it is ``None`` if this is the only agent that uses the store.
    """

    is_owned: bool
    fence: Fence | None = None


class InstanceLeases:
    """Determines which instances this agent owns.

    Without ``leases`` it is the only agent that uses the store, and owns all instances.
    """

    def __init__(self, leases: AgentLeases | None, agent_name: str, access: StoreAccess) -> None:
        """Request leases of instances whose home is ``agent_name`` before the others."""
        self._leases = leases
        self._agent_name = agent_name
        self._access = access
        self._requested: set[str] = set()
        self._logged_holders: dict[str, str] = {}  # by instance: the other holder that was last logged

    def ownership(self, instance: str) -> LeaseOwnership:
        """Return whether this agent owns an instance now, and under which fence."""
        return self._ownership(lease_name(instance))

    def orders_ownership(self) -> LeaseOwnership:
        """Return whether this agent is the leader that runs orders, and under which fence."""
        return self._ownership(ORDERS_LEASE)

    def _ownership(self, name: str) -> LeaseOwnership:
        if self._leases is None:
            return LeaseOwnership(True)
        fence = self._leases.fence(name)
        return LeaseOwnership(fence is not None, fence)

    def other_holder(self, instance: str) -> str:
        """Return the other agent that holds an instance's lease; "" if none is known."""
        return self._leases.other_holder(lease_name(instance)) if self._leases is not None else ""

    async def update(self, declared: Sequence[Instance], supervised: Collection[str]) -> None:
        """Request the leases of declared instances.

        Leases of instances that are neither declared nor supervised any more are released.
        """
        leases = self._leases
        if leases is None:
            return
        names = {instance.name for instance in declared}
        leases.request(ORDERS_LEASE, True)
        for gone in self._requested - names - set(supervised):
            await self._access.call(leases.release, lease_name(gone))
        self._requested = names
        for instance in declared:
            leases.request(lease_name(instance.name), instance.home in ("", self._agent_name))
        await self._access.call(leases.tick)
        for name in (instance.name for instance in declared):
            self._log_other_holder(name)

    def _log_other_holder(self, instance: str) -> None:
        holder = self.other_holder(instance)
        if holder == self._logged_holders.get(instance, ""):
            return
        self._logged_holders[instance] = holder
        if holder:
            log.info(
                "lease held by another agent, which starts the instance and writes its status: instance=%s holder=%s",
                instance,
                holder,
            )

    async def extend_periodically(self, interval_s: float) -> None:
        """Extend leases until cancelled; it runs beside passes that may outlast a lease if the store is slow."""
        while self._leases is not None:
            await self._access.call(self._leases.tick)
            await asyncio.sleep(interval_s)

    async def release(self, instance: str) -> None:
        """Release an instance's lease. Raises StoreError if the store fails."""
        if self._leases is not None:
            await self._access.call(self._leases.release, lease_name(instance))

    async def release_all(self, instances: Iterable[str]) -> None:
        """Release the lease for running orders and those of ``instances``; store errors are logged."""
        if self._leases is None:
            return
        for name in [ORDERS_LEASE, *map(lease_name, instances)]:
            await self._access.try_await(self._access.call(self._leases.release, name))
