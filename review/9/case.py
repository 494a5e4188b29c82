"""Over an upgrade the two processes of a doorman together pass its limit on memory."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    DESCRIPTOR,
    HOST,
    TROUBLE,
    Case,
    ChangeLog,
    Client,
    Depot,
    Program,
    Received,
    ServerConnection,
    answer,
    free_port,
    hold_listening_socket,
    main,
    new_id,
    now_ms,
    request_bytes,
    run_command,
    settings,
)

MEMORY_MB = 64
SOCKETS = 1024
READERS = 165  # with the writers 330 connections, under a third of the descriptors
WRITERS = 165
CONTENT = bytes(range(256)) * 937 + bytes(112)  # with the 16 bytes of a name 240,000
WRITE = bytes(48_000)
SLOW_S = 1.0  # between the first and the last bytes of a depot's answer, and of a client's write
LAST = 500  # bytes that come last
KILL_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s


class Station(Depot):
    """A depot whose objects are as large as they may be, and take a second."""

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Answer a read slowly, and a write at once."""
        if request.method != "GET":
            connection.writer.write(answer(200))
            return
        name = request.target.split("/")[3].encode()[:16].ljust(16)
        message = answer(200, name + CONTENT, X_Digest=name.decode(), X_Stamp=str(int(now_ms())), X_Result="local")
        connection.writer.write(message[:-LAST])
        await asyncio.sleep(SLOW_S)
        connection.writer.write(message[-LAST:])


def held_mb(program: Program) -> float:
    """Return the memory of a process in MB of 2**20 bytes, with its part of what it shares with others."""
    try:
        lines = Path(f"/proc/{program.process.pid}/smaps_rollup").read_text().splitlines()
    except OSError:  # it has ended
        return 0.0
    return next((int(line.split()[1]) / 1024.0 for line in lines if line.startswith("Pss:")), 0.0)


async def run(case: Case, listener: socket.socket) -> None:
    """Upgrade a doorman under the load of usual clients, and add up the memory of its processes."""
    port = listener.getsockname()[1]
    depots: list[Depot] = [Station(f"s-{n}", "std-box", "edge-1", case.record) for n in range(8)]
    depots += [Station("p-0", "parent", "north", case.record), Station("o-0", "origin", "north", case.record)]
    for depot in depots:
        await depot.start()
    log = ChangeLog(depots)
    await log.start()
    values = settings()
    values["caps"]["mostHeld"] = 20000
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config = case.write_config("n1", log, listen=f"{HOST}:{port}", limits=limits, settings=values)

    async def start(name: str) -> Program:
        ops = free_port()
        variables = {"EDGE_CONFIG": str(config), "EDGE_FD": str(DESCRIPTOR), "EDGE_OPS": f"{HOST}:{ops}"}
        program = await case.start(run_command(), name, (DESCRIPTOR,), **variables)
        await case.wait_ready(ops, program, 30.0, "/v1/readyz")
        case.record.note(f"platform: {name} says yes")
        return program

    old = await start("old")
    ended = asyncio.Event()
    answers = Counter[str]()

    async def use(number: int, writes: bool) -> None:
        client = None
        turn = 0
        while not ended.is_set():
            turn += 1
            name = f"{'w' if writes else 'r'}{number:03x}{turn:012x}"
            try:
                client = client or await Client.connect(port)
                if writes:
                    path = f"/rpc/pick-submit/{name}?slice=0"
                    message = request_bytes(path, "PUT", WRITE, Req_Token=f"k{new_id()}")
                    client.writer.write(message[:-LAST])
                    await asyncio.sleep(SLOW_S)
                    client.writer.write(message[-LAST:])
                else:
                    client.writer.write(request_bytes(f"/rpc/waveform/{name}?slice=0", wait_ms=6000))
                status, fields, _ = await asyncio.wait_for(client.read(), 8.0)
                answers[f"{'write' if writes else 'read'} {status}"] += 1
                if fields.get("connection") == "close":
                    client.close()
                    client = None
                if status != 200:  # "stay away" that long
                    await asyncio.sleep(int(fields.get("srv-wait-ms", "0")) / 1000.0)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                answers["no answer"] += 1
                client = None

    clients = [asyncio.create_task(use(number, False)) for number in range(READERS)]
    clients += [asyncio.create_task(use(number, True)) for number in range(WRITERS)]
    await asyncio.sleep(4.0)
    starting = asyncio.create_task(start("new")) if TROUBLE else None
    terminated_s = 0.0
    most = 0.0
    end_s = time.monotonic() + 6.0
    while time.monotonic() < end_s:
        held = {program.log.stem: held_mb(program) for program in case.programs}
        text = ", ".join(f"{name} {amount:.1f}" for name, amount in held.items())
        case.record.note(f"memory: {sum(held.values()):.1f} MB of {MEMORY_MB}: {text}")
        most = max(most, sum(held.values()))
        if starting is not None and starting.done() and not terminated_s:
            starting.result()
            case.record.note("platform: SIGTERM to old")
            old.send(signal.SIGTERM)
            terminated_s = time.monotonic()
            end_s = terminated_s + KILL_S
        await asyncio.sleep(0.1)
    ended.set()
    for client in clients:
        client.cancel()
    case.record.note(f"answers: {dict(answers)}; most memory {most:.1f} MB of {MEMORY_MB}")
    if not most or (TROUBLE and not terminated_s):
        raise RuntimeError("the new process was not ready in time, or the memory of the processes can't be read")
    if most > MEMORY_MB:
        case.breaks(f"the doorman's processes held {most:.1f} MB, its limit is {MEMORY_MB} MB")


if __name__ == "__main__":
    platform = hold_listening_socket()
    main(FOLDER, lambda case: run(case, platform))
