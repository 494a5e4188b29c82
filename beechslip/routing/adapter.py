"""The simulator's program: isolated routers behind the wire format of ``beechslip.routing.wire``.

This module makes no routing decisions. It skips unknown settings and members. Malformed input ends the
process with a message on standard error and a non-zero exit status.
"""

from __future__ import annotations

import json
import os
import sys
from typing import NoReturn, TextIO

from beechslip.routing import interface as i
from beechslip.routing.router import Router
from beechslip.routing.wire.actions import write_action
from beechslip.routing.wire.events import EVENT_READERS, read_entries, read_list_kind
from beechslip.routing.wire.fields import Message, WireError, required_member
from beechslip.routing.wire.settings import read_settings

BATCH_END = '{"event_type":"END"}\n'
INSTANCE_EVENTS = EVENT_READERS.keys() | {"LAUNCH", "POWER_OFF", "PEERS_KNOWN"}


class SimulatorAdapter:
    """Hosts the router instances of one process, which share only the numbered endpoint lists."""

    def __init__(self) -> None:
        """Start at time 0 with no instances and no lists."""
        self.routers: dict[int, Router] = {}
        self.lists: dict[int, tuple[i.Endpoint, ...]] = {}
        self.now = 0.0  # s

    def handle_message(self, message: Message) -> list[Message]:
        """Handle one message and return the resulting wire messages in order.

        Raises:
            WireError: the message is malformed, or it names an unknown instance or list.
        """
        event_type = required_member(message, "event_type", str)
        if event_type == "SYNC":
            self.now = float(required_member(message, "ts", (int, float)))
            return []
        if event_type == "LIST":
            self.lists[required_member(message, "bank", int)] = read_entries(message)
            return []
        if event_type not in INSTANCE_EVENTS:
            raise WireError(f"unknown event_type {event_type!r:.60}")
        proxy = required_member(message, "proxy", int)
        if event_type == "POWER_OFF":
            self.routers.pop(proxy, None)
            return []
        if event_type == "LAUNCH":
            return self._launch(proxy, message)
        return self._handle(proxy, event_type, message)

    def _launch(self, proxy: int, message: Message) -> list[Message]:
        seed = required_member(message, "seed", int)
        settings = read_settings(required_member(message, "config", dict))
        try:
            router = Router(settings, seed)
            self.routers[proxy] = router
            actions = router.start(self.now)
        except Exception as error:  # an exception in the router is reported on the wire with its text
            return [_fatal(proxy, error)]
        return [write_action(proxy, action) for action in actions]

    def _handle(self, proxy: int, event_type: str, message: Message) -> list[Message]:
        router = self.routers.get(proxy)
        if router is None:
            raise WireError(f"{event_type}: unknown instance number {proxy}: expected a launched instance")
        if event_type == "PEERS_KNOWN":
            event: i.Event = self._read_endpoint_list(message)
        else:
            event = EVENT_READERS[event_type](message)
        try:
            actions = router.handle(self.now, event)
        except Exception as error:  # an exception in the router is reported on the wire with its text
            return [_fatal(proxy, error)]
        return [write_action(proxy, action) for action in actions]

    def _read_endpoint_list(self, message: Message) -> i.EndpointList:
        kind = read_list_kind(message)
        if kind == "refused":
            return i.EndpointList(kind)
        bank = required_member(message, "bank", int)
        if bank not in self.lists:
            raise WireError(f"PEERS_KNOWN: unknown list number {bank}: expected one given by LIST")
        return i.EndpointList(kind, self.lists[bank])


def run(source: TextIO, sink: TextIO) -> None:
    """Answer each batch of lines from ``source`` on ``sink`` until the input ends.

    Raises:
        WireError: a line is not a valid message; the text names the line number.
    """
    adapter = SimulatorAdapter()
    reply: list[str] = []
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        message = _parse(number, line)
        if message.get("event_type") != "YOUR_TURN":
            try:
                actions = adapter.handle_message(message)
            except WireError as error:
                raise WireError(f"line {number}: {error}") from None
            reply += [json.dumps(action, separators=(",", ":")) for action in actions]
            continue
        reply.append(BATCH_END)
        sink.write("\n".join(reply))
        sink.flush()
        reply = []


def main() -> int:
    """Run on standard input and output; return 0 at the end of the input, 1 after malformed input.

    It also returns 1 if standard output is closed.
    """
    try:
        run(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"beechslip.routing: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())  # the reader has closed the pipe
        return 1
    return 0


def _parse(number: int, line: str) -> Message:
    try:
        message = json.loads(line, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise WireError(f"line {number} is not JSON: {error}") from None
    if not isinstance(message, dict):
        raise WireError(f"line {number} is not an object: expected a JSON object")
    return message


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _fatal(proxy: int, error: Exception) -> Message:
    return {"event_type": "FATAL", "proxy": proxy, "bodyText": f"{type(error).__name__}: {error}"}


if __name__ == "__main__":
    sys.exit(main())
