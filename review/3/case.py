"""A new configuration adds a class and moves the change log; right after it an object is purged.

With ``WAY=slow`` the disruption is another one: no class is added, but the log's new address is crowded.
"""

from __future__ import annotations

import asyncio
import math
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import Deployment, Depot, Head, Programs, Record

TOLD_S = 4.0  # after SIGHUP, whatever the change log has to tell counts as told
HEED_S = 1.0  # heedWithin: from so long after the telling on, no purged copy
SLACK_S = 0.05  # every time limit on sockets is longer by this
GONE_S = 6.0  # goneEverywhere: until then depots may hold an older copy; these drop it 0.1 s before
OLD_LOG_CLOSES_S = 1.5  # after SIGHUP
PURGED_S = 0.5  # after SIGHUP
NAMED_S = 1.3  # after SIGHUP a client names the new class, allowed from 1.2 s on
WATCHED_S = 8.0
TURN_S = 2.5  # with WAY=slow, a call to the log waits so long for its turn, well within the time of the telling
OBJECT = "7f3a9c21e0b4d655"
OLD, NEW = b"before the purge", b"after the purge"


class Copies:
    """The depots' copies of the object."""

    def __init__(self) -> None:
        """Begin with an old copy everywhere, which the origin gave out 30 s ago."""
        self.old_stamp_ms = standins.unix_ms() - 30_000.0
        self.purged_ms = math.inf
        self._stamps: dict[str, float] = {}

    def take(self, depot: str, oldest_ms: float) -> tuple[bytes, float]:
        """Return a copy no older than ``oldest_ms`` (0: any age) and its stamp, filled anew if there is none."""
        now_ms = standins.unix_ms()
        stamp_ms = self._stamps.get(depot, self.old_stamp_ms)
        is_dropped = stamp_ms < self.purged_ms and now_ms > self.purged_ms + (GONE_S - 0.1) * 1000.0
        if is_dropped or 0.0 < oldest_ms < now_ms - stamp_ms:
            stamp_ms = self._stamps[depot] = now_ms
        return (NEW if stamp_ms > self.purged_ms else OLD), stamp_ms


async def purge_after_a_new_configuration(record: Record, programs: Programs, has_trouble: bool) -> list[str]:
    """Return the breaches of the rule on purged copies."""
    copies = Copies()
    is_slow = os.environ.get("WAY") == "slow"

    async def answer(depot: Depot, request: Head, writer: asyncio.StreamWriter) -> None:
        if request.method == "PUT":
            writer.write(standins.message_bytes("HTTP/1.1 200 OK", {"X-Result": "pulled"}, b"taken"))
            return
        cap_ms = float(request.fields.get("x-age-cap", "0"))
        body, stamp_ms = copies.take(depot.name, cap_ms)
        record(f"depot   {depot.name} got {request.fields['x-trace']}, X-Age-Cap {cap_ms:g}: copy of {body.decode()}")
        await asyncio.sleep(0.01)
        writer.write(standins.copy_response(body, f"{int(stamp_ms):x}", stamp_ms))

    deployment = Deployment(record, programs, answer)
    classes = [standins.reading_class("waveform", 6.0), standins.reading_class("plot", 2.5)]
    config = await deployment.start(classes)
    doorman = programs.start("n1", EDGE_CONFIG=str(config))
    await deployment.doorman_ready()
    await asyncio.sleep(2.0)

    start_ms = standins.unix_ms()
    breaches: list[str] = []

    def since_start_s() -> float:
        return (standins.unix_ms() - start_ms) / 1000.0

    async def read(number: int) -> None:
        sent_s = since_start_s()
        fields = {"Req-Id": f"{number:016x}", "Req-Wait-Ms": "1000", "X-Set": "17", "Req-Kb": "10"}
        first_line = f"GET /rpc/waveform/{OBJECT}?slice=0 HTTP/1.1"
        head = await standins.ask(deployment.listen, first_line, fields, b"", 1.5)
        text = f"{head.status} {head.body.decode()}" if head else "no answer"
        record(f"client  {number:016x}, sent {sent_s:.2f} s after the signal: {text}")
        if head is not None and head.body == OLD and sent_s > TOLD_S + HEED_S + SLACK_S:
            breaches.append(f"{number:016x}, sent {sent_s:.2f} s after SIGHUP, was answered from the purged copy")

    async def submit() -> None:
        fields = {"Req-Id": f"{7:016x}", "Req-Wait-Ms": "1000", "X-Set": "17", "Req-Token": "5c0f6e1a2b3d4c59"}
        first_line = "PUT /rpc/pick-submit/00000000000000aa HTTP/1.1"
        head = await standins.ask(deployment.listen, first_line, fields, b"pick", 1.5)
        record(f"client  names the new class, {since_start_s():.2f} s after the signal: {head and head.first_line}")

    if has_trouble:
        old_log = deployment.log
        deployment.log = await old_log.move()
        if is_slow:
            deployment.log.wait_s = TURN_S
        deployment.write_config(classes if is_slow else [*classes, standins.keyed_class("pick-submit", 3.0, 6.0)])
        record("platform replaces the configuration and sends SIGHUP")
        doorman.send_signal(signal.SIGHUP)
        loop = asyncio.get_running_loop()
        loop.call_later(OLD_LOG_CLOSES_S, old_log.close)
    await asyncio.sleep(PURGED_S)
    copies.purged_ms = standins.unix_ms()
    await deployment.log.add({"invalidate": {"object": OBJECT, "time": int(copies.purged_ms)}})
    submitting = None
    if has_trouble and not is_slow:
        submitting = asyncio.create_task(_after(NAMED_S - PURGED_S, submit))
    number = 100
    while since_start_s() < WATCHED_S:
        await read(number)
        number += 1
        await asyncio.sleep(0.1)
    if submitting is not None:
        await submitting
    programs.record_log("n1")
    return breaches


async def _after(delay_s: float, call: standins.Call) -> None:
    await asyncio.sleep(delay_s)
    await call()


if __name__ == "__main__":
    sys.exit(standins.run_case(Path(__file__).resolve().parent, purge_after_a_new_configuration))
