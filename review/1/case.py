"""A doorman that an agent keeps is drained by an operator's call while requests are open on it.

With ``WAY=file`` the disruption is another one: its configuration file is replaced by one that is cut short.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import Deployment, Depot, Head, Programs, Record

GIVE_UP_S = 6.0  # class waveform
WORK_S = 3.0  # a depot's work on each of the requests
NO_LONGER_READY_S = 4.0  # after the drain call the doorman must not say any more that it is ready
SETTLED_S = 2.0  # between the doorman's readiness and the first request
REQUESTS = 4
CLI_TIMEOUT_S = 20.0


async def kept_by_an_agent(record: Record, programs: Programs, has_trouble: bool) -> list[str]:
    """Return the breaches of the rule that no request is lost."""

    async def answer(depot: Depot, request: Head, writer: asyncio.StreamWriter) -> None:
        record(f"depot   {depot.name} got {request.fields['x-trace']}")
        await asyncio.sleep(WORK_S)
        if not writer.is_closing():
            writer.write(standins.copy_response(bytes(100_000), "4be0c1927d55a6f3", standins.unix_ms()))
            record(f"depot   {depot.name} answered {request.fields['x-trace']}")

    deployment = Deployment(record, programs, answer)
    config = await deployment.start([standins.reading_class("waveform", GIVE_UP_S)])
    store = f"--store sqlite:///{programs.folder}/record.db"
    add = programs.start("cli", f"{store} instance add n1 --config {config}")
    await asyncio.to_thread(add.wait, CLI_TIMEOUT_S)
    programs.start("agent", f"{store} agent --name a1")
    await deployment.doorman_ready()
    await asyncio.sleep(SETTLED_S)

    breaches: list[str] = []

    async def client(number: int) -> None:
        request_id = f"{number:016x}"
        fields = {"Req-Id": request_id, "Req-Wait-Ms": str(int(GIVE_UP_S * 1000)), "X-Set": "17", "Req-Kb": "400"}
        record(f"client  sends {request_id}")
        first_line = f"GET /rpc/waveform/{request_id}?slice=0 HTTP/1.1"
        try:
            head = await standins.ask(deployment.listen, first_line, fields, b"", GIVE_UP_S + 0.5)
        except ConnectionError as error:
            record(f"client  {request_id}: {error}")
            breaches.append(f"request {request_id} was taken, and {error}")
            return
        record(f"client  {request_id}: {head.first_line if head else 'no answer in its time'}")
        if head is None:
            breaches.append(f"request {request_id} had no answer in its time")

    clients = [asyncio.create_task(client(number)) for number in range(1, REQUESTS + 1)]
    await asyncio.sleep(0.3)
    if has_trouble and os.environ.get("WAY") == "file":
        text = config.read_text()
        replacement = config.with_suffix(".new")
        replacement.write_text(text[: len(text) // 2])
        replacement.rename(config)
        record("platform replaces the configuration file by one that is cut short")
    elif has_trouble:
        called = await standins.ask(deployment.ops, "POST /v1/doorman/drain HTTP/1.1", {}, b"", 1.0)
        record(f"operator calls POST /v1/doorman/drain: {called.first_line if called else 'no answer'}")
        await asyncio.sleep(NO_LONGER_READY_S)
        is_ready = await standins.is_ready(deployment.listen)
        record(f"front   asks whether the doorman is ready, {NO_LONGER_READY_S:g} s after the call: {is_ready}")
        if is_ready:
            breaches.append(f"{NO_LONGER_READY_S:g} s after the drain call the doorman says that it is ready")
    await asyncio.gather(*clients)
    record(f"front   asks whether the doorman is ready at the end: {await standins.is_ready(deployment.listen)}")
    programs.record_log("agent")
    return breaches


if __name__ == "__main__":
    sys.exit(standins.run_case(Path(__file__).resolve().parent, kept_by_an_agent))
