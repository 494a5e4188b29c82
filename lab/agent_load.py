"""Sends requests to real proxies while orders run, and counts how many are served."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from lab.agent_judge import UnansweredRequest, second_of_day
from lab.stand import fetch

CLIENT_ATTEMPTS = 3
CLIENT_TIMEOUT_S = 5
REQUEST_WAIT_MS = 2000
OBJECTS = 97  # requested in turn

FAULT_GRACE_S = 6
"""A request without an answer counts only if the lab injected no fault into the proxy for this long before it."""

NO_ANSWER = "none"
REFUSED_CONNECTION = "away"
SERVED = "200"


@dataclass
class SecondCount:
    """The number of requests sent in one second, and how many of them were served."""

    requests: int = 0
    served: int = 0


@dataclass
class ClientLoad:
    """A client of proxies at local ports.

    ``last_fault_s`` maps an instance to the (monotonic) time of the last fault that the lab injected into it.
    ``seconds`` has the counts by second of monotonic time.
    """

    ports: Mapping[str, int]
    rps: float
    last_fault_s: Mapping[str, float]
    answers: dict[str, int] = field(default_factory=dict)
    seconds: dict[int, SecondCount] = field(default_factory=dict)
    unanswered: list[UnansweredRequest] = field(default_factory=list)

    async def run(self) -> None:
        """Send ``rps`` requests per second to the proxies in turn, until cancelled; then cancel open requests."""
        names = sorted(self.ports)
        requests: set[asyncio.Task[None]] = set()
        try:
            for number in itertools.count():
                task = asyncio.create_task(self._send_request(names[number % len(names)], number))
                requests.add(task)
                task.add_done_callback(requests.discard)
                await asyncio.sleep(1.0 / self.rps)
        finally:
            for task in requests:
                task.cancel()
            await asyncio.gather(*requests, return_exceptions=True)

    async def _send_request(self, name: str, number: int) -> None:
        """Send one request and count its answer.

        A client whose connection is refused tries two more proxies, as real clients do.
        """
        second = int(time.monotonic())
        began = time.monotonic()
        answer, last_instance = await self._attempt(name, number)
        if answer == NO_ANSWER and self.last_fault_s.get(last_instance, 0.0) < began - FAULT_GRACE_S:
            self.unanswered.append(UnansweredRequest(last_instance, second_of_day(time.strftime("%H:%M:%S"))))
        self.answers[answer] = self.answers.get(answer, 0) + 1
        count = self.seconds.setdefault(second, SecondCount())
        count.requests += 1
        count.served += answer == SERVED

    async def _attempt(self, name: str, number: int) -> tuple[str, str]:
        """Return the status (or the reason why there is none) and the instance that was tried last."""
        names = sorted(self.ports)
        last_instance = name
        for attempt in range(CLIENT_ATTEMPTS):
            last_instance = names[(names.index(name) + attempt) % len(names)]
            target = f"/rpc/waveform/{number % OBJECTS:x}?slice=0"
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch(self.ports[last_instance], target, wait_ms=REQUEST_WAIT_MS), CLIENT_TIMEOUT_S
                )
                return str(status), last_instance
            except ConnectionRefusedError:
                continue
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                return NO_ANSWER, last_instance
        return REFUSED_CONNECTION, last_instance

    def min_served_fraction_between(self, from_s: float, until_s: float) -> float:
        """Return the least fraction of requests served in any second of that monotonic time; 1 without requests."""
        counts = [count for at_ms, count in self.seconds.items() if from_s <= at_ms < until_s]
        return min((count.served / count.requests for count in counts if count.requests), default=1.0)
