"""The operators' newest terms, played at their extremes on real processes; ``docs/terms-audit.md`` names them by row."""
from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from lab.stand import OK, StandDepot, fetch, read_message, run, until
from tests.test_program import ROOT, Program, program

FAULTS = ROOT / "lab" / "faults"
SLACK_MS = 150.0  # of the deadline passed to a server


class HangingDepot(StandDepot):
    """Takes connections and requests, and answers nothing while it hangs; notes when each request came."""

    def __init__(self, name: str, **how: str) -> None:
        super().__init__(name, **how)
        self.hangs = False
        self.came: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                self.seen.append(await read_message(reader))
                self.came.append(time.monotonic())
                if self.hangs:
                    await reader.read()
                    return
                writer.write(OK)


class Faulty:
    """A doorman process whose system calls and clock fail as told."""

    def __init__(self, world: Program, path: Path) -> None:
        self.world, self._path = world, path
        self.env = {"PYTHONPATH": str(FAULTS), "LAB_FAULTS": str(path)}
        self._path.write_text("{}")

    async def play(self, **faults: Any) -> None:
        """These faults hold from now on, and no others."""
        self._path.write_text(json.dumps(faults))
        assert self.world.process is not None
        self.world.process.send_signal(signal.SIGUSR2)
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def faulty(folder: Path, **settings: Any) -> AsyncIterator[Faulty]:
    """A doorman before two caches that may hang, a hub and an archive."""
    async with program(folder, HangingDepot) as world:
        path = world.write_config()
        config = json.loads(path.read_text())
        for table, values in settings.items():
            config["settings"][table] |= values
        path.write_text(json.dumps(config))
        one = Faulty(world, folder / "faults.json")
        await world.start(EDGE_CONFIG=str(path), **one.env)
        await world.ready()
        yield one


async def timed(port: int, **how: Any) -> tuple[int, float]:
    """A request's status, and after how many ms it was answered."""
    began = time.monotonic()
    status, _, _ = await fetch(port, **how)
    return status, (time.monotonic() - began) * 1000.0


# The wall clock is stepped -------------------------------------------------------------------------------


@run
@pytest.mark.parametrize("step_ms", [-5_000, -3_600_000, 3_600_000])
async def test_a_backend_that_had_hung_is_tried_again_after_a_step_of_the_wall_clock(
        tmp_path: Path, step_ms: float) -> None:
    async with faulty(tmp_path) as one:
        hung: Any = one.world.depots[0]
        port = one.world.port

        async def ask(number: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await fetch(port, f"/rpc/waveform/{number}", wait_ms=1500)
        tasks = [asyncio.create_task(ask(n)) for n in range(20)]
        await asyncio.gather(*tasks)
        hung.hangs = True
        until_ms = time.monotonic() + 3.0
        number = 20
        while time.monotonic() < until_ms:
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await one.play(clock_ms=step_ms)
        hung.hangs, back = False, time.monotonic()
        met = len([n for n in hung.seen if n[0].startswith("GET /data")])
        while len([n for n in hung.seen if n[0].startswith("GET /data")]) == met:
            assert time.monotonic() - back < 8.0
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)


# System calls fail for a moment ----------------------------------------------------------------------------


@run
@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO"])
async def test_a_request_is_answered_in_its_time_when_accept_fails_for_a_moment(tmp_path: Path, name: str) -> None:
    async with faulty(tmp_path) as one:
        await one.play(accept={"errno": name, "for_ms": 250})
        status, took_ms = await timed(one.world.port, wait_ms=800)
        assert status == 200 and took_ms < 500


# The deadline passed on ------------------------------------------------------------------------------------


@run
async def test_a_server_is_told_no_more_time_than_the_client_has_left(tmp_path: Path) -> None:
    async with faulty(tmp_path) as one:
        await one.play(connect_ms=350)
        began = time.monotonic()
        assert (await fetch(one.world.port, wait_ms=800))[0] == 200
        depot: Any = next(depot for depot in one.world.depots if depot.seen)
        left_ms = 800 - (depot.came[0] - began) * 1000.0
        assert float(depot.seen[0][1]["X-Patience"]) <= left_ms + SLACK_MS
