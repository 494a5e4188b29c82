"""A client's GET carries a body, and the body is a request of its own to a depot."""

from __future__ import annotations

import asyncio
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
    ServerConnection,
    ask,
    content_of,
    main,
    new_id,
    request_bytes,
)

WORK_S = 0.05
OTHER = "f00dfacef00dface"  # the object that the hidden requests name
HIDDEN_WRITE = f"PUT /data/pick-submit/{OTHER}/0 HTTP/1.1\r\nHost: x\r\nX-Trace: {{id}}\r\nX-Patience: 3000\r\n"
HIDDEN_WRITE += "X-Op-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 4\r\n\r\nEVIL"
HIDDEN_READ = f"GET /data/waveform/{OTHER}/0 HTTP/1.1\r\nHost: x\r\nX-Trace: {{id}}\r\nX-Patience: 3000\r\n\r\n"


class Station(Depot):
    """A depot that works for a while on each request, one at a time on a connection."""

    async def respond(self, request: Received, connection: ServerConnection) -> None:
        """Answer after the work."""
        await asyncio.sleep(WORK_S)
        await super().respond(request, connection)


async def run(case: Case) -> None:
    """Let ordinary clients read, and beside them a bad client whose reads have a body."""
    depots: list[Depot] = [Station(f"s-{n}", "std-box", "edge-1", case.record) for n in range(2)]
    depots += [Station("p-0", "parent", "north", case.record), Station("o-0", "origin", "north", case.record)]
    for depot in depots:
        await depot.start()
    log = ChangeLog(depots)
    await log.start()
    _, port = await case.start_doorman("n1", case.write_config("n1", log))
    sent_ids = set[str]()

    async def read(client: int) -> None:
        for turn in range(40):
            id_, name = new_id(), f"c{client:03x}{turn:012x}"
            sent_ids.add(id_)
            status, _, body = await ask(port, request_bytes(f"/rpc/waveform/{name}?slice=0", id_=id_))
            case.record.note(f"client {client}: GET waveform/{name} id={id_}: {status}, {len(body)} bytes")
            if status == 200 and body != content_of(f"/data/waveform/{name}/0"):
                case.breaks(f"read of {name} id={id_} was answered with foreign bytes: {body[:40]!r}")

    async def misuse() -> None:
        for turn in range(20):
            hidden = (HIDDEN_READ if turn % 2 else HIDDEN_WRITE).format(id=new_id()).encode()
            id_, name = new_id(), f"bad{turn:013x}"
            sent_ids.add(id_)
            if turn % 4 < 2:
                form, body = {"Content_Length": str(len(hidden))}, hidden
            else:
                form, body = {"Transfer_Encoding": "chunked"}, b"%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden)
            message = request_bytes(f"/rpc/plot/{name}?slice=0", id_=id_, **form) + body
            status, _, _ = await ask(port, message)
            case.record.note(
                f"bad client: GET plot/{name} id={id_} with a body of {len(hidden)} bytes {form}: {status}"
            )

    await asyncio.gather(*(read(client) for client in range(4)), *([misuse()] if TROUBLE else []))
    await asyncio.sleep(0.5)
    for depot in depots:
        for request in depot.received:
            trace = request.fields.get("x-trace", "")
            case.record.note(f"{depot.name} ran {request.method} {request.target} id={trace} {request.body!r:.40}")
            if trace not in sent_ids:
                case.breaks(f"{depot.name} got {request.method} {request.target} id={trace}, which no client sent")


if __name__ == "__main__":
    main(FOLDER, run)
