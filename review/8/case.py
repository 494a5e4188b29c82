"""A keyed write, first sent by the old process of an upgrade, is sent after its window by the new one."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
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
    ask,
    free_port,
    hold_listening_socket,
    main,
    new_id,
    now_ms,
    request_bytes,
    run_command,
    settings,
)

WINDOW_S = 2.0
SLACK_MS = 50.0
FIRST_WAIT_S = 1.2  # the client gives its first try up after this
SECOND_TRY_S = 1.5  # after the first one
BREAK_S = 2.3  # after the first try, the answer to the second one breaks off
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class Station(Depot):
    """A cache through which writes pass to the archive, which drops repeats of a key for the window."""

    sends: list[tuple[float, str, bool]]  # when an attempt with the key came, its id, and whether it landed
    spoils = False

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Run a write, unless it repeats a key within the window. Two answers to the key are spoilt."""
        if request.fields.get("x-op-key") != KEY:
            await super().respond(request, connection)
            return
        sends = Station.sends
        landed = [at_ms for at_ms, _, is_landed in sends if is_landed]
        lands = not landed or request.at_ms - landed[-1] > WINDOW_S * 1000.0
        sends.append((request.at_ms, request.fields["x-trace"], lands))
        self.record.note(
            f"{self.name} got the key, id={request.fields['x-trace']}: {'lands' if lands else 'dropped'}"
        )
        if Station.spoils and len(sends) == 1:  # the answer never comes
            await connection.reader.read(1)
            raise ConnectionResetError
        if Station.spoils and len(sends) == 2:  # the answer breaks off
            await asyncio.sleep(max(sends[0][0] + BREAK_S * 1000.0 - now_ms(), 0.0) / 1000.0)
            connection.writer.write(self.served(b"written")[:40])
            raise ConnectionResetError
        connection.writer.write(self.served(b"written"))


Station.sends = []


async def run(case: Case, listener: socket.socket) -> None:
    """Upgrade a doorman between the two tries of a client's write."""
    port = listener.getsockname()[1]
    depots = [Station(f"s-{n}", "std-box", "edge-1", case.record) for n in range(3)]
    depots += [Station("p-0", "parent", "north", case.record), Station("o-0", "origin", "north", case.record)]
    for depot in depots:
        await depot.start()
    log = ChangeLog(list(depots))
    await log.start()
    values = settings()
    values["classes"][2]["window"] = WINDOW_S
    config = case.write_config("n1", log, listen=f"{HOST}:{port}", settings=values)

    async def start(name: str) -> Program:
        ops = free_port()
        variables = {"EDGE_CONFIG": str(config), "EDGE_FD": str(DESCRIPTOR), "EDGE_OPS": f"{HOST}:{ops}"}
        program = await case.start(run_command(), name, (DESCRIPTOR,), **variables)
        await case.wait_ready(ops, program, 10.0, "/v1/readyz")
        case.record.note(f"platform: {name} says yes")
        return program

    old = await start("old")
    await asyncio.sleep(0.5)
    status, _, _ = await ask(port, request_bytes("/rpc/plot/7f3a9c21e0b4d655?slice=0"))
    case.record.note(f"client: a read: {status}")

    async def try_write(name: str, client: Client, wait_s: float) -> None:
        id_ = new_id()
        path = "/rpc/pick-submit/7f3a9c21e0b4d655?slice=0"
        message = request_bytes(path, "PUT", b"a pick", int(wait_s * 1000.0), id_, Req_Token=KEY)
        case.record.note(f"client: {name} sent, id={id_}")
        try:
            status, _, _ = await asyncio.wait_for(client.send(message), wait_s)
            case.record.note(f"client: {name}: {status}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            case.record.note(f"client: {name} given up: {error!r}")
        finally:
            client.close()

    client = await Client.connect(port)  # of the old process; it is in use while the new one starts
    starting = asyncio.create_task(start("new")) if TROUBLE else asyncio.create_task(asyncio.sleep(0.3))
    while not starting.done():
        await client.send(request_bytes("/rpc/plot/7f3a9c21e0b4d655?slice=0"))
        await asyncio.wait([starting], timeout=0.2)
    await starting
    if TROUBLE:
        case.record.note("platform: SIGTERM to old")
        old.send(signal.SIGTERM)
    Station.spoils = True
    first_s = time.monotonic()
    await try_write("try 1", client, FIRST_WAIT_S)
    await asyncio.sleep(first_s + SECOND_TRY_S - time.monotonic())
    await try_write("try 2", await Client.connect(port), 1.5)
    await asyncio.sleep(1.0)

    begun_ms = Station.sends[0][0]
    for at_ms, id_, lands in Station.sends:
        case.record.note(
            f"sent {at_ms - begun_ms:.0f} ms after the first, id={id_}, {'landed' if lands else 'dropped'}"
        )
        if at_ms - begun_ms > WINDOW_S * 1000.0 + SLACK_MS:
            case.breaks(f"the key was sent again {at_ms - begun_ms:.0f} ms after it may have run, window 2000 ms")
    if len(Station.sends) < 2:
        raise RuntimeError("the doorman did not send the second try: the case shows nothing")


if __name__ == "__main__":
    platform = hold_listening_socket()
    main(FOLDER, lambda case: run(case, platform))
