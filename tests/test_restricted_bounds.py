"""Bounds on connections that change while other processes of the proxy hold descriptors."""

from __future__ import annotations

import asyncio

from beechslip.descriptor_budget import LEAST_CONNECTIONS, OWN_DESCRIPTORS
from beechslip.platform.server import REQUEST_GRACE_MS
from lab.stand import OK, FakeBackend, InProcessProxy, run, until
from tests.connection_helpers import GatedBackend, RawClient, client, connections, get_request_bytes

SETTLING_S = 0.05  # some rounds of the event loop, and of the listener's pause


async def connect(stand: InProcessProxy, count: int) -> list[RawClient]:
    """Return clients that have sent a request each."""
    clients = [RawClient(*await asyncio.open_connection("127.0.0.1", stand.port)) for _ in range(count)]
    for number, raw_client in enumerate(clients):
        raw_client.send(get_request_bytes(f"/rpc/waveform/{number}"))
    return clients


def close(clients: list[RawClient]) -> None:
    for raw_client in clients:
        raw_client.writer.transport.abort()


# Guards against clients that are turned away unheard while an older process still holds descriptors.
@run
async def test_connections_above_a_restricted_bound_wait_and_are_answered_when_it_grows() -> None:
    backend = FakeBackend("a")
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin")) as stand:
        stand.descriptors.set_allowance(OWN_DESCRIPTORS)
        clients = await connect(stand, 10)
        served = [asyncio.create_task(raw_client.read_status()) for raw_client in clients]
        await until(lambda: sum(task.done() for task in served) == LEAST_CONNECTIONS)
        await asyncio.sleep(SETTLING_S)
        assert len(connections(stand)) == LEAST_CONNECTIONS and not stand.counters["closed.room"]
        stand.descriptors.set_allowance(stand.descriptors.limit)
        assert [await task for task in served] == [200] * 10
        assert not stand.counters["closed.room"]
        close(clients)


@run
async def test_a_connection_that_has_been_idle_for_a_while_is_ended_for_a_waiting_one() -> None:
    async with InProcessProxy(FakeBackend("a"), FakeBackend("archive", kind="origin")) as stand:
        stand.descriptors.set_allowance(OWN_DESCRIPTORS)
        clients = await connect(stand, LEAST_CONNECTIONS + 1)
        statuses = [await raw_client.read_status() for raw_client in clients[:-1]]
        stand.clock.advance(REQUEST_GRACE_MS + 1)
        assert [*statuses, await clients[-1].read_status()] == [200] * (LEAST_CONNECTIONS + 1)
        assert await clients[0].is_closed_by_server() and stand.counters["closed.room"] == 1
        close(clients)


@run
async def test_the_pool_follows_its_bound_and_keeps_nothing_idle_once_told() -> None:
    backend = GatedBackend("a", OK)
    async with InProcessProxy(backend, FakeBackend("archive", kind="origin"), sockets=512) as stand:
        stand.descriptors.backends = 2
        clients = await connect(stand, 6)
        await until(lambda: len(backend.seen) == 2 and stand.counters["depot.waits"] == 4)
        stand.descriptors.backends = 5
        stand.client.bound_changed()
        await until(lambda: len(backend.seen) == 5)
        backend.gate.set()
        assert [await raw_client.read_status() for raw_client in clients] == [200] * 6
        stand.descriptors.backends = 1
        stand.client.bound_changed()
        assert stand.client.connection_count == 1
        stand.client.stop_keeping_idle()
        assert stand.client.connection_count == 0
        async with client(stand.port) as raw_client:
            raw_client.send(get_request_bytes())
            assert await raw_client.read_status() == 200
        await until(lambda: stand.client.connection_count == 0)
        close(clients)
