"""Tests of regions in the settings, in the router, in a proxy and on the command line."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest

from beechslip.cli import main
from beechslip.clock import ManualClock, SystemClock
from beechslip.config import Address, Config, ConfigError
from beechslip.core.messages import PurgeReceived
from beechslip.core.model import AttemptRequest, AttemptResult, AttemptResultKind, Backend, ClientRequest
from beechslip.counters import Counters
from beechslip.fleet.messages import PeerMessage
from beechslip.fleet.settings import read_fleet
from beechslip.leases.settings import read_leases
from beechslip.platform.ops import OpsFront
from beechslip.regions.messages import CoordinatorOrder, encode_region_message, region_id
from beechslip.regions.node import RegionNode
from beechslip.regions.part import RegionPart
from beechslip.regions.settings import read_regions
from beechslip.regions.status import RegionState, RegionStatus
from beechslip.routing import interface as i
from lab.stand import HANG, FakeBackend, InProcessProxy, free_port, run, until
from tests.helpers import ORIGIN, PARENTS, SETTINGS, RouterDriver
from tests.region_helpers import grant_lease, make_nodes


@pytest.mark.parametrize(
    ("regions", "leases", "key"),
    [
        ("", "", "leases is off"),
        ("odd = 1", "[leases]\nenabled = true\n", "odd"),
        ("stale_ms = 300", "[leases]\nenabled = true\n", "stale_ms is 300"),
        ("step_ms = 400", "[leases]\nenabled = true\n", "step_ms is 400"),
        ("most_out = 1.5", "[leases]\nenabled = true\n", "most_out"),
    ],
)
def test_settings_error_names_the_wrong_key(tmp_path: Path, regions: str, leases: str, key: str) -> None:
    path = tmp_path / "fleet.toml"
    config = Config("d0", Address("127.0.0.1", 1), 1, SETTINGS)

    def read(text: str, lease: str) -> Any:
        path.write_text(f'enabled = true\npeers = ["127.0.0.1:7000"]\n{lease}[regions]\nenabled = true\n{text}\n')
        fleet = read_fleet(path, config)
        assert fleet is not None
        return read_regions(fleet, read_leases(fleet))

    with pytest.raises(ConfigError, match=key) as error:
        read(regions, leases)
    assert "fleet.toml: regions" in str(error.value)
    assert read("most_out = 0.3", "[leases]\nenabled = true\n").tuning.max_out_fraction == 0.3


def test_routers_leave_and_return_in_the_same_order_of_objects() -> None:
    drivers = [RouterDriver(), RouterDriver()]

    def sources(fraction: float | None) -> list[str]:
        """Return the sources of 60 objects, the same at all routers, with ``fraction`` routed to the first parent."""
        sources_by_router = []
        for driver in drivers:
            if fraction is not None:
                driver.handle_event(i.RegionShares({PARENTS[0]: fraction}))
            requests = [i.Request(f"{fraction}-{n}", "big", f"o{n}", time_left=6.0) for n in range(60)]
            actions = [action for request in requests for action in driver.handle_event(request)]
            sources_by_router.append([action.source for action in actions if isinstance(action, i.Attempt)])
        assert sources_by_router[0] == sources_by_router[1]  # the same at every proxy
        return sources_by_router[0]

    unrestricted = sources(None)
    assert PARENTS[0] not in sources(0.0)
    assert ORIGIN not in sources(0.0)
    half = sources(0.5)
    returned = {n for n, source in enumerate(half) if source == PARENTS[0]}
    assert 5 < len(returned) < unrestricted.count(PARENTS[0])
    assert all(unrestricted[n] == PARENTS[0] for n in returned)
    quarter = {n for n, source in enumerate(sources(0.25)) if source == PARENTS[0]}
    assert quarter < returned  # each step keeps the objects of the step before
    driver = drivers[0]
    driver.handle_event(i.RegionShares({PARENTS[0]: 0.0}))
    driver.router.endpoints.backends[PARENTS[0]].is_ejected = True
    driver.handle_event(i.RegionShares({PARENTS[0]: 0.0625}))
    # The router's own ejection ends when the region returns.
    assert not driver.router.endpoints.backends[PARENTS[0]].is_ejected
    for each_stage in drivers:
        each_stage.handle_event(i.RegionShares({}))
    assert sources(None) == unrestricted


def attach_part(stand: InProcessProxy, node: RegionNode) -> RegionPart:
    """Return a region part that observes the attempts of the stand's engine."""
    part = RegionPart(node, stand.settings, stand.clock, stand.counters, stand.engine.post)
    stand.engine.services.observer = part
    part.update_backends(stand.engine._endpoints.backends.values())
    return part


def order_datagram(epoch: int, status: RegionStatus) -> PeerMessage:
    """Return a datagram with an order of the coordinator ``d1`` for the station's caches."""
    order = CoordinatorOrder(5, epoch, {region_id("cache:edge-1"): status})
    return PeerMessage("region", "d1", 0, body=encode_region_message(order))


@run
async def test_proxy_limits_the_age_of_copies_from_a_returned_region() -> None:
    backends = (
        FakeBackend("a"),
        FakeBackend("b"),
        FakeBackend("hub", kind="parent", zone="north"),
        FakeBackend("archive", kind="origin", zone="north"),
    )
    async with InProcessProxy(*backends) as stand:
        nodes, _ = make_nodes(1)
        regions = attach_part(stand, nodes[0])
        assert nodes[0].backend_counts == {"cache:edge-1": 2, "hub:north": 1}
        await stand.ask()
        assert nodes[0].evidence.statistics(stand.clock.steady_ms())["cache:edge-1"].attempts > 0
        assert regions.max_copy_age_ms("a") == float("inf")
        now_ms = stand.clock.steady_ms()
        regions.receive(now_ms, order_datagram(1, RegionStatus(RegionState.OUT, 0, 1)))
        await until(lambda: stand.module.slow_start.region_shares == {"a": 0.0, "b": 0.0})
        regions.purge_received(PurgeReceived("x", 0, 0.0))
        now_ms = stand.clock.steady_ms()
        regions.receive(now_ms, order_datagram(2, RegionStatus(RegionState.RETURNING, 4, 1)))
        stand.clock.advance(300)
        assert regions.max_copy_age_ms("a", "hub") == pytest.approx(300.0)
        assert regions.max_copy_age_ms("hub") == float("inf")
        await until(lambda: stand.module.slow_start.region_shares == {})
        await stand.ask(target="/rpc/waveform/1?slice=0")
        headers = [fields for backend in backends[:2] for _, fields, _ in backend.seen]
        assert {int(fields["X-Age-Cap"]) for fields in headers if "X-Age-Cap" in fields} == {300}
        assert regions.receive(0.0, PeerMessage("region", "d1", 0, body=b"odd")) == []
        assert stand.counters["region.bad"] == 1
        assert stand.counters["region.taken"] == 2
        assert regions.state()["epoch"] == 2
        assert regions.stop(0.0) == []


@pytest.mark.parametrize(
    ("result", "source", "note", "failed_regions"),
    [
        ("connect_failed", "hub", "", {"cache:edge-1"}),
        ("reset", "hub", "", {"cache:edge-1"}),
        ("timeout", "hub", "", {"hub:north"}),
        ("error", "hub", "", {"hub:north"}),
        ("error", "", "", {"cache:edge-1"}),
        ("timeout", "archive", "", {"cache:edge-1"}),
        ("ok", "hub", "filled", set()),
        ("full", "hub", "", set()),
    ],
)
def test_failed_attempt_counts_against_the_backend_or_the_source(
    result: AttemptResultKind, source: str, note: str, failed_regions: set[str]
) -> None:
    nodes, _ = make_nodes(1)
    clock = ManualClock()
    regions = RegionPart(
        nodes[0],
        i.Settings(zone="edge-1", parent_kind="parent", origin_kind="origin"),
        clock,
        Counters(),
        lambda message: None,
    )
    backends = {
        n: Backend(n, "x", kind, zone)
        for n, kind, zone in (("a", "std-box", "edge-1"), ("hub", "parent", "north"), ("archive", "origin", "north"))
    }
    regions.update_backends(backends.values())
    regions.attempt_ended(
        AttemptRequest(ClientRequest("r", "waveform", "x"), 0, backends["a"], source, 1.0),
        AttemptResult(result, note),
        50.0,
    )
    statistics_by_region = nodes[0].evidence.statistics(clock.steady_ms())
    assert {name for name, region in statistics_by_region.items() if region.failures} == failed_regions


@run
async def test_operators_call_gets_a_response_and_wrong_parameters_are_refused() -> None:
    async with InProcessProxy(FakeBackend("a", HANG), FakeBackend("hub", kind="parent", zone="north")) as stand:
        nodes, leases = make_nodes(1)
        grant_lease(leases, "d0", 9)
        regions = attach_part(stand, nodes[0])
        for _ in range(4):
            stand.clock.advance(260)
            regions.tick(stand.clock.steady_ms())
        call = {"region": "cache:edge-1", "word": "hold", "who": "1", "number": "77"}
        assert await regions.execute_command(call, lambda sends: None) == (200, "done")
        for wrong in ({"word": "odd"}, {"who": "x"}, {"number": "0"}, {"region": ""}, {"number": "9" * 30}):
            assert (await regions.execute_command(call | wrong, lambda sends: None))[0] == 400
        assert (await regions.execute_command(call | {"region": "hub:odd", "number": "78"}, lambda sends: None))[
            0
        ] == 404
        leases[0].holder_name = ""
        assert (await regions.execute_command(call | {"number": "79"}, lambda sends: None))[0] == 503


@contextlib.contextmanager
def serve_operators_port(port: int, page: Mapping[str, Any], received: list[str]) -> Iterator[None]:
    """Serve an operators' port in a thread, with ``page`` as the page ``/regions``.

    It appends each command to ``received``, accepts the command "out" and refuses all others.
    """
    ready = threading.Event()
    stop = threading.Event()

    async def execute(given: Any) -> tuple[int, str]:
        received.append(f"{given['region']} {given['word']} {given['who']}")
        return (200, "done") if given["word"] == "out" else (409, "refused: no")

    async def serve() -> None:
        front = OpsFront(
            SystemClock(),
            Counters(),
            lambda: True,
            lambda: True,
            lambda: True,
            {"/regions": lambda: page},
            {"/regions": execute},
        )
        await front.start(Address("127.0.0.1", port))
        ready.set()
        while not stop.is_set():
            await asyncio.sleep(0.01)
        await front.close()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    try:
        assert ready.wait(10)
        yield
    finally:
        stop.set()
        thread.join()


def test_command_line_uses_any_instance_that_responds(tmp_path: Path, capsys: Any) -> None:
    """Use a store with three instances.

    One is dead, one has an operators' port that responds, and one has no operators' address.
    """
    page = {
        "steward": "d1",
        "token": 9,
        "epoch": 4,
        "regions": {"hub:a": {"state": "out", "held": True, "share": 0.0, "depots": 2, "bad": 1.0, "tried": 3.0}},
    }
    received: list[str] = []
    port, dead_port = free_port(), free_port()
    url = f"sqlite:///{tmp_path / 's.db'}"
    for name, ops in (("dead", f"127.0.0.1:{dead_port}"), ("n1", f"127.0.0.1:{port}"), ("odd", "")):
        config = tmp_path / f"{name}.json"
        config.write_text(f'{{"ops": "{ops}"}}')
        assert main(["--store", url, "instance", "add", name, "--config", str(config)]) == 0
    with serve_operators_port(port, page, received):
        assert main(["--store", url, "region", "list"]) == 0
        listing = capsys.readouterr().out
        assert "steward d1, order 9.4, told by n1" in listing
        assert "hub:a\tout held\t0\t2\t1/3" in listing
        assert main(["--store", url, "region", "out", "hub:a", "--who", "7"]) == 0
        assert main(["--store", url, "region", "return", "hub:a", "--who", "8"]) == 1
        assert "refused: no" in capsys.readouterr().err
        assert received == ["hub:a out 7", "hub:a return 8"]
    assert main(["--store", url, "region", "list"]) == 1
    assert "no instance answers" in capsys.readouterr().err
