"""An answer whose length is too small is passed on cut off, as a whole answer 'served'."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    TROUBLE,
    Case,
    ChangeLog,
    Depot,
    Received,
    Record,
    ServerConnection,
    ask,
    content_of,
    main,
    new_id,
    request_bytes,
)

SHARE_SPOILT = 0.1


class Station(Depot):
    """A depot of whose good answers some have a length that does not fit."""

    def __init__(self, name: str, kind: str, zone: str, record: Record) -> None:
        """Create a depot with random numbers of its own."""
        super().__init__(name, kind, zone, record)
        self._random = random.Random(name)

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Answer; after a spoilt answer the connection is of no further use, and is closed a little later."""
        body = content_of(request.target)
        message = self.served(body)
        is_spoilt = TROUBLE and self._random.random() < SHARE_SPOILT
        if is_spoilt:
            stated = b"Content-Length: %d" % (len(body) // 2)
            message = message.replace(b"Content-Length: %d" % len(body), stated, 1)
        trace = request.fields.get("x-trace", "")
        self.record.note(f"{self.name} ran {request.target} id={trace}" + ", states half the length" * is_spoilt)
        connection.writer.write(message)
        if is_spoilt:
            await asyncio.sleep(0.2)
            raise ConnectionResetError


async def run(case: Case) -> None:
    """Let clients read, one request at a time each."""
    depots: list[Depot] = [Station(f"s-{n}", "std-box", "edge-1", case.record) for n in range(4)]
    depots += [Station("p-0", "parent", "north", case.record), Station("o-0", "origin", "north", case.record)]
    for depot in depots:
        await depot.start()
    log = ChangeLog(depots)
    await log.start()
    _, port = await case.start_doorman("n1", case.write_config("n1", log))

    async def read(client: int) -> None:
        for turn in range(50):
            id_, name = new_id(), f"c{client:03x}{turn:012x}"
            status, _, body = await ask(port, request_bytes(f"/rpc/waveform/{name}?slice=0", id_=id_))
            case.record.note(f"client {client}: GET waveform/{name} id={id_}: {status}, {len(body)} bytes")
            whole = content_of(f"/data/waveform/{name}/0")
            if status == 200 and body != whole:
                case.breaks(f"read of {name} id={id_} was answered 200 with {len(body)} of {len(whole)} bytes")

    await asyncio.gather(*(read(client) for client in range(6)))


if __name__ == "__main__":
    main(FOLDER, run)
