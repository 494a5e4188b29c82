"""The leases of one agent: one for each instance, and that of the leader which runs orders."""

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
    """The name of an instance's lease."""
    return f"agent:{instance}"


class AgentLeases(Protocol):
    """Leases that give each instance, and the orders, to one agent. Calls may block as a store does."""

    def tick(self) -> None:
        """Acquire and extend what is due."""
        ...

    def request(self, name: str, preferred: bool) -> None:
        """Try to hold a lease; ``preferred``: as soon as it is free, else others go first."""
        ...

    def fence(self, name: str) -> Fence | None:
        """The fence to write under, if the lease is held for long enough to act."""
        ...

    def other_holder(self, name: str) -> str:
        """Who else holds it as far as was read last; "" if nobody, or it is not known."""
        ...

    def release(self, name: str) -> None:
        """Give a lease up, and no longer try to hold it."""
        ...


class StoredAgentLeases:
    """Leases in the store.

    An instance's home agent requests it at once, others only ``home_ms`` after their own start: so each agent gets
    its own instances after a common start, and those of a dead agent are taken over.
    """

    def __init__(self, leases: StoredLeases, clock: Callable[[], float], home_ms: float) -> None:
        """``clock`` gives steady ms; ``home_ms``: how long other agents' instances are left to them after a start."""
        self._leases = leases
        self._clock = clock
        self._request_others_from_ms = clock() + home_ms
        self._lock = threading.Lock()  # ticks come from the passes and from the task that extends leases

    def tick(self) -> None:
        """Acquire and extend what is due, one thread at a time."""
        with self._lock:
            self._leases.tick()

    def request(self, name: str, preferred: bool) -> None:
        """Try to hold a lease, unless it is another's and the time for home agents is not over."""
        now_ms = self._clock()
        if preferred or now_ms >= self._request_others_from_ms:
            self._leases.want(name, now_ms)  # not under the lock: the loop must not wait for a slow store

    def fence(self, name: str) -> Fence | None:
        """The fence to write under, if the lease is held for long enough to act."""
        token = self._leases.held_token(name, self._clock())
        return Fence(name, self._leases.holder, token) if token is not None else None

    def other_holder(self, name: str) -> str:
        """Who else holds it as far as was read last; "" if nobody, or it is not known."""
        holder = self._leases.last_holder(name)
        return "" if holder == self._leases.holder else holder

    def release(self, name: str) -> None:
        """Give a lease up, and no longer try to hold it."""
        with self._lock:
            self._leases.release(name)


@dataclass(frozen=True, slots=True)
class Ownership:
    """Whether this agent may act now, and the fence to write under (``None`` for a store's only agent)."""

    owned: bool
    fence: Fence | None = None


class InstanceLeases:
    """Which instances this agent may act on. Without ``leases`` it is the store's only agent and owns them all."""

    def __init__(self, leases: AgentLeases | None, agent_name: str, access: StoreAccess) -> None:
        """``agent_name``: instances with this home are requested before others."""
        self._leases = leases
        self._agent_name = agent_name
        self._access = access
        self._requested: set[str] = set()
        self._logged_holders: dict[str, str] = {}  # by instance: the other holder that was logged last

    def ownership(self, instance: str) -> Ownership:
        """Whether this agent may act on an instance now."""
        return self._ownership(lease_name(instance))

    def orders_ownership(self) -> Ownership:
        """Whether this agent is the leader that runs orders."""
        return self._ownership(ORDERS_LEASE)

    def _ownership(self, name: str) -> Ownership:
        if self._leases is None:
            return Ownership(True)
        fence = self._leases.fence(name)
        return Ownership(fence is not None, fence)

    def other_holder(self, instance: str) -> str:
        """The other agent that holds an instance's lease; "" if none is known."""
        return self._leases.other_holder(lease_name(instance)) if self._leases is not None else ""

    async def update(self, declared: Sequence[Instance], supervised: Collection[str]) -> None:
        """Request the leases of what is declared; release those of what is neither declared nor supervised."""
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
            log.info("%s is held by agent %s: nothing is started or written here", instance, holder)

    async def extend_periodically(self, interval_s: float) -> None:
        """Extend leases until cancelled, beside passes that may outlast a lease where the store is slow."""
        while self._leases is not None:
            await self._access.call(self._leases.tick)
            await asyncio.sleep(interval_s)

    async def release(self, instance: str) -> None:
        """Release an instance's lease; StoreError if the store fails."""
        if self._leases is not None:
            await self._access.call(self._leases.release, lease_name(instance))

    async def release_all(self, instances: Iterable[str]) -> None:
        """Release the leases of the orders and of ``instances``; store failures are logged."""
        if self._leases is None:
            return
        for name in [ORDERS_LEASE, *map(lease_name, instances)]:
            await self._access.attempt(self._access.call(self._leases.release, name))
