"""What each process of a proxy may hold: the decisions, the table of claims, and the budgets that keep to them."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from beechslip import resource_allowance
from beechslip.clock import ManualClock
from beechslip.counters import Counters
from beechslip.descriptor_budget import OWN_DESCRIPTORS, DescriptorBudget
from beechslip.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryCharge
from beechslip.platform.claim_table import Claim, ClaimTable, ClaimTableError
from beechslip.platform.sockets import Listener
from beechslip.resource_allowance import BoundedResources, ResourceAllowance
from beechslip.shared_limits import Limits, Phase, assumed_predecessor, chargeable_bytes, next_claim
from lab.stand import run

ROOT = Path(__file__).resolve().parents[1]
MB = BYTES_PER_MB
LIMITS = Limits(58 * MB, 1_024, 15 * MB)
LEAST = LIMITS.startup
NOTHING = Claim(0, 0)


def claim(memory_mb: float, descriptors: int, generation: int = 1) -> Claim:
    return Claim(int(memory_mb * MB), descriptors, generation)


# Decisions ----------------------------------------------------------------------------------------


def test_a_process_alone_leaves_what_a_successor_needs_to_start() -> None:
    found = next_claim(Phase.SERVING, LIMITS, LEAST, NOTHING, [])
    assert found.memory_bytes + LEAST.memory_bytes == LIMITS.memory_bytes
    assert found.descriptors + LEAST.descriptors == LIMITS.descriptors


def test_a_limit_too_small_for_two_processes_is_not_spent_on_a_successor() -> None:
    limits = Limits(25 * MB, 256, 15 * MB)
    found = next_claim(Phase.SERVING, limits, limits.startup, NOTHING, [])
    assert found.memory_bytes == limits.memory_bytes and found.descriptors < limits.descriptors


def test_a_process_that_serves_takes_what_a_predecessor_leaves_and_no_more() -> None:
    limits, own = Limits(45 * MB, 1_024, 15 * MB), claim(17, 16, 2)
    found = next_claim(Phase.SERVING, limits, own, NOTHING, [claim(25, 900, 1)])
    assert found.memory_bytes == 20 * MB and found.descriptors == 1_024 - 900 - 16
    found = next_claim(Phase.SERVING, limits, own, NOTHING, [claim(28, 1_008, 1)])
    assert (found.memory_bytes, found.descriptors) == (LEAST.memory_bytes, LEAST.descriptors)


# Guards against a third process, where an upgrade follows another at once.
def test_beside_a_predecessor_memory_is_left_for_a_successor_where_three_fit() -> None:
    limits = Limits(90 * MB, 1_024, 15 * MB)
    found = next_claim(Phase.SERVING, limits, claim(17, 16, 2), NOTHING, [claim(38, 900, 1)])
    assert found.memory_bytes == (90 - 38 - 17) * MB


def test_a_process_with_a_successor_does_not_grow() -> None:
    own = claim(30, 500, 1)
    found = next_claim(Phase.SERVING, LIMITS, own, NOTHING, [claim(17, 16, 2)])
    assert (found.memory_bytes, found.descriptors) == (30 * MB, 500)


def test_a_process_that_is_to_end_only_gives_back() -> None:
    own = claim(40, 800)
    shrunk = next_claim(Phase.STOPPING, LIMITS, own, claim(30, 400), [claim(17, 16, 2)])
    assert 30 * MB <= shrunk.memory_bytes < 31 * MB and 400 <= shrunk.descriptors < 410
    assert next_claim(Phase.STOPPING, LIMITS, shrunk, claim(50, 900), []) == Claim(
        shrunk.memory_bytes, shrunk.descriptors
    )


def test_a_process_that_starts_keeps_its_first_claim() -> None:
    assert next_claim(Phase.STARTING, LIMITS, LEAST, NOTHING, []) == LEAST


def test_a_predecessor_that_is_not_known_is_taken_to_give_back_evenly() -> None:
    found = [
        next_claim(Phase.SERVING, LIMITS, LEAST, NOTHING, [assumed_predecessor(LIMITS, remaining)])
        for remaining in (1.0, 0.5, 0.25, 0.0)
    ]
    assert found[0] == LEAST
    assert [claim.memory_bytes // MB for claim in found] == [17, 20, 30, 41]
    assert [claim.descriptors for claim in found] == [16, 504, 756, 1_008]


def test_what_can_be_charged_leaves_the_start_the_connections_and_an_overhead() -> None:
    assert chargeable_bytes(claim(40, 800), LIMITS, 0) == 20 * MB
    assert chargeable_bytes(claim(40, 800), LIMITS, 1_024) == 16 * MB
    assert chargeable_bytes(LEAST, LIMITS, 1_024) == 0


# Budgets ------------------------------------------------------------------------------------------


def test_descriptors_are_divided_as_before_until_others_hold_some() -> None:
    budget = DescriptorBudget(256)
    assert (budget.clients, budget.backends, budget.is_restricted) == (128, 96, False)
    budget.set_allowance(256 - OWN_DESCRIPTORS)
    assert (budget.clients, budget.backends, budget.is_restricted) == (128, 96, False)
    budget.set_allowance(86)
    assert budget.clients + budget.backends == 70 and budget.is_restricted
    budget.set_allowance(OWN_DESCRIPTORS)
    assert 0 < budget.clients + budget.backends < OWN_DESCRIPTORS


# Guards against a limit on the sum that ends holders, instead of letting readers wait.
def test_rooms_wait_for_the_total_and_keep_their_least_size_and_nobody_is_ended_for_it() -> None:
    budget = MemoryBudget(64, 22 * MB, 896, Counters())
    ended, resumed = list[str](), list[str]()
    request = MemoryCharge(budget.requests, lambda: ended.append("request"))
    response = MemoryCharge(budget.responses, lambda: ended.append("response"))
    budget.set_total_limit(4 * MB)
    assert request.reserve(4 * MB, 0.0)
    assert budget.requests.is_full and budget.responses.free_bytes == 512 * 1024
    assert not response.reserve(MB, 0.0) and response.reserve(240_000, 0.0)
    budget.responses.wait(lambda: resumed.append("response"), 400_000)
    budget.relieve(60_000.0)
    assert not ended and not resumed
    request.set(3 * MB, 0.0)  # another room's memory
    assert resumed == ["response"]
    budget.requests.wait(lambda: resumed.append("request"), 500_000)
    assert resumed == ["response"]
    budget.set_total_limit(8 * MB)
    assert resumed == ["response", "request"]


# The table ----------------------------------------------------------------------------------------

OTHER_PROCESS = """
import sys
from beechslip.platform.claim_table import Claim, ClaimTable
table = ClaimTable(int(sys.argv[1]))
table.join(Claim(17 << 20, 16))
print(table.generation, flush=True)
for line in sys.stdin:
    with table.change():
        others = table.others()
        table.state(Claim(int(line) << 20, int(line)))
    print(sum(other.memory_bytes >> 20 for other in others), flush=True)
"""


class OtherProcess:
    """Another process that has joined the table of the same socket."""

    def __init__(self, fd: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", OTHER_PROCESS, str(fd)],
            cwd=ROOT,
            pass_fds=[fd],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.generation = int(self._read())

    def _read(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def state(self, amount: int) -> int:
        """State MB and descriptors; return the MB of the others."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{amount}\n")
        self.process.stdin.flush()
        return int(self._read())

    def kill(self) -> None:
        self.process.kill()
        self.process.communicate()


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


def test_processes_see_one_another_in_the_order_in_which_they_came_until_they_end(listener: socket.socket) -> None:
    table = ClaimTable(listener.fileno())
    table.join(claim(40, 800))
    assert table.generation == 1 and not table.others()
    second, third = OtherProcess(listener.fileno()), OtherProcess(listener.fileno())
    try:
        assert (second.generation, third.generation) == (2, 3)
        assert {other.generation for other in table.others()} == {2, 3}
        assert second.state(30) == 57
        with table.change():
            table.state(claim(20, 300))
        assert third.state(5) == 50
        assert sorted((other.memory_bytes // MB, other.descriptors) for other in table.others()) == [(5, 5), (30, 30)]
        second.kill()
        assert [other.generation for other in table.others()] == [3]
    finally:
        second.kill()
        third.kill()
    assert not table.others()


# Guards against locks that are lost because the process closes the socket that it no longer accepts from.
@run
async def test_a_closed_listener_of_an_inherited_socket_keeps_the_claims_on_it() -> None:
    with socket.create_server(("127.0.0.1", 0)) as platform_socket:
        fd = platform_socket.fileno()
        table = ClaimTable(fd)
        table.join(claim(40, 800))
        inherited = socket.socket(fileno=fd)
        accept_by = Listener(inherited, lambda _: asyncio.Protocol(), Counters(), is_inherited=True)
        accept_by.close()
        del inherited, accept_by
        other = OtherProcess(fd)
        try:
            assert other.state(5) == 40
        finally:
            other.kill()


# This process's allowance --------------------------------------------------------------------------


class AllowanceStand:
    """An allowance with a clock that the test sets, and with measures of memory that the test sets."""

    def __init__(self, fd: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.private_mb, self.connections, self.trims = 15.0, 0, 0
        monkeypatch.setattr(resource_allowance, "private_bytes", lambda: int(self.private_mb * MB))
        monkeypatch.setattr(resource_allowance, "shared_bytes", lambda: 6 * MB)
        monkeypatch.setattr(resource_allowance, "trim_heap", self._trim)
        self.clock, counters = ManualClock(), Counters()
        self.memory, self.descriptors = MemoryBudget(64, 21 * MB, 896, counters), DescriptorBudget(1_024)
        resources = BoundedResources(self.memory, self.descriptors, lambda: self.connections, lambda: None)
        self.allowance = ResourceAllowance(ClaimTable(fd), resources, 64.0, self.clock, 3_700.0)

    def _trim(self) -> None:
        self.trims += 1

    @property
    def total_mb(self) -> float:
        return self.memory.total.limit_bytes / MB


def test_an_allowance_grows_as_its_predecessor_gives_back(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    predecessor = OtherProcess(listener.fileno())
    stand = AllowanceStand(listener.fileno(), monkeypatch)
    try:
        predecessor.state(41)
        stand.allowance.start()
        assert stand.total_mb < 2 and stand.descriptors.is_restricted
        stand.allowance.begin_serving()
        assert stand.total_mb < 2
        predecessor.state(20)
        stand.clock.advance(25)
        assert 4 < stand.total_mb < 5 and not stand.descriptors.is_restricted
        assert "others=some" in stand.allowance.describe()
    finally:
        predecessor.kill()
    stand.clock.advance(25)
    assert 20 < stand.total_mb < 21 and "others=none" in stand.allowance.describe()
    stand.allowance.close()


def test_an_allowance_that_stops_trims_the_heap_and_states_what_it_holds(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand = AllowanceStand(listener.fileno(), monkeypatch)
    stand.allowance.start()
    stand.allowance.begin_serving()
    successor = OtherProcess(listener.fileno())
    try:
        assert successor.state(17) == 41
        stand.private_mb, stand.connections, trims = 30.0, 300, stand.trims
        stand.allowance.begin_stopping()
        assert successor.state(17) == 30
        stand.private_mb, stand.connections = 20.0, 40
        stand.clock.advance(25)
        assert successor.state(17) == 20 and stand.trims == trims + 2
    finally:
        successor.kill()
        stand.allowance.close()


# Guards against a platform whose sockets take no locks: then a predecessor may be there for as long as it may live.
def test_an_allowance_without_a_table_takes_the_whole_once_a_predecessor_must_have_ended(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> None:
        raise OSError(errno.ENOSYS, "not implemented")

    monkeypatch.setattr(fcntl, "lockf", fail)
    stand = AllowanceStand(listener.fileno(), monkeypatch)
    stand.allowance.start()
    stand.allowance.begin_serving()
    assert stand.total_mb < 2 and "others=unknown" in stand.allowance.describe()
    stand.clock.advance(2_500)
    assert 5 < stand.total_mb < 15
    stand.clock.advance(1_300)
    assert 20 < stand.total_mb < 21
    stand.allowance.begin_stopping()
    stand.private_mb = 16.0
    stand.clock.advance(25)
    assert stand.total_mb < 2
    stand.allowance.close()


def test_a_table_that_another_process_changes_is_tried_again(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    def is_busy(*_: object) -> None:
        raise OSError(errno.EAGAIN, "busy")

    with monkeypatch.context() as patch:
        patch.setattr(fcntl, "lockf", is_busy)
        stand = AllowanceStand(listener.fileno(), monkeypatch)
        stand.allowance.start()
        stand.allowance.begin_serving()
        assert stand.total_mb < 2
        with pytest.raises(ClaimTableError) as caught:
            ClaimTable(listener.fileno()).join(LEAST)
        assert caught.value.is_busy
    stand.clock.advance(250)
    assert 20 < stand.total_mb < 21
    stand.allowance.close()
