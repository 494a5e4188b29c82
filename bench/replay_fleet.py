"""The simulated fleet that drives one version of the routing adapter for ``bench.replay``, and the cases replayed."""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

TICK_S = 0.005
ZONE = "e1"
OBJECT_COUNT = 400
GROUP_COUNT = 8

Message = dict[str, Any]


@dataclass(frozen=True)
class ReplayCase:
    """Settings as the adapter receives them, and the fleet and traffic that are simulated with them."""

    name: str
    config: Message
    requests_per_s: float
    caches: int
    parents: int
    proxies: int = 2


def _classes(*effects: str) -> list[Message]:
    base = {"onTime": 0.3, "giveUp": 2.0, "credit": 1.0}
    return [
        base | {"name": f"class{number}", "effect": effect, "credit": 1.0 + number, "group": "all", "window": 1.0}
        for number, effect in enumerate(effects)
    ]


def _config(**changes: Any) -> Message:
    base_config: Message = {
        "balancers": 2,
        "me": 0,
        "myZone": ZONE,
        "dcs": ["hub", ZONE],
        "models": ["box", "parent", "origin"],
        "discovery": "pushed",
        "round": 0.002,
        "weights": "nominal",
        "caps": {"cancel": True, "probes": True, "maxAttempts": 4, "retryAfter": True, "maxRetryAfter": 1.0},
        "safety": {"coldShare": 0.2, "warmWithin": 6.0, "fallMultiple": 2.5, "fall": 1.0},
        "classes": _classes("repeatable", "by_key", "once"),
        "specifics": {
            "parentKind": 1,
            "sourceKind": 2,
            "parentStartsAt": 0.1,
            "upperCold": 8.0,
            "parentBreaksAt": 2.0,
            "maxAge": [4.0, 0.0, 0.0],
            "staleFor": [6.0, 0.0, 0.0],
            "goesThrough": [False, True, True],
            "goneEverywhere": 6.0,
            "sharesFills": True,
            "passThroughOk": True,
            "tells": "all",
            "clientKbPerS": 4000.0,
            "instancesByZone": [0, 2],
        },
    }
    specifics = base_config["specifics"] | changes.pop("specifics", {})
    return base_config | changes | {"specifics": specifics}


REPLAY_CASES = (
    ReplayCase("notes, health checks, parents", _config(), 120.0, 5, 2),
    ReplayCase(
        "no notes, no health checks, origin alone",
        _config(
            weights="off",
            caps={"maxAttempts": 3},
            classes=_classes("repeatable", "repeatable", "once"),
            specifics={"parentKind": -1, "tells": "off", "passThroughOk": False, "clientKbPerS": 0.0},
        ),
        80.0,
        3,
        0,
    ),
    ReplayCase(
        "hits told, lists on request, many proxies",
        _config(
            balancers=60,
            discovery="on_request",
            weights="rough",
            safety={"coldShare": 0.05, "warmWithin": 20.0, "fallMultiple": 1.5, "fall": 2.0},
            specifics={"tells": "hit", "instancesByZone": [0, 60], "sharesFills": False, "staleFor": [0.0, 0.0, 0.0]},
        ),
        150.0,
        40,
        3,
        3,
    ),
)


@dataclass(order=True)
class _DueMessage:
    """A message that is due at a time; ``place`` keeps the order of messages with equal times."""

    at: float
    place: int
    message: Message = field(compare=False)


class SimulatedFleet:
    """A simulated fleet that responds to the actions of one adapter; the seed alone determines the responses."""

    def __init__(self, case: ReplayCase, seed: int) -> None:
        """Create the backends of ``case``; all random draws come from ``seed``."""
        self.case, self.random = case, random.Random(seed)
        self.now = 10.0
        self.members: dict[str, Message] = {}
        self.faults: dict[str, tuple[str, float]] = {}  # by backend: the fault, and the time at which it ends
        self.due_messages: list[_DueMessage] = []
        self.open_attempts: dict[tuple[int, str], set[int]] = {}  # by proxy and request: the attempts in flight
        self.attempts: dict[tuple[int, str], int] = {}  # by proxy and request: the number of attempts made
        self.scheduled_count = self.requests = self.list_count = 0
        for number in range(case.caches):
            self._add_backend(f"c{number}:1", "box", ZONE, 8 + number % 3)
        for number in range(case.parents):
            self._add_backend(f"p{number}:1", "parent", "hub", 40)
        self._add_backend("o:1", "origin", "hub", 20)

    def _add_backend(self, name: str, kind: str, zone: str, weight: float) -> None:
        self.members[name] = {"store": name, "sku": kind, "locality": zone, "condition": "on", "share": weight}

    def _schedule(self, delay: float, message: Message) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.due_messages, _DueMessage(self.now + delay, self.scheduled_count, message))

    def start_messages(self) -> list[Message]:
        """Return the messages that start the proxies."""
        messages: list[Message] = [{"event_type": "SYNC", "ts": self.now}]
        for proxy in range(self.case.proxies):
            messages.append(
                {"event_type": "LAUNCH", "proxy": proxy, "seed": proxy, "config": self.case.config | {"me": proxy}}
            )
        return messages + self._endpoint_list("all")

    def _endpoint_list(self, kind: str, names: Sequence[str] = ()) -> list[Message]:
        self.list_count += 1
        chosen = [self.members[name] for name in names or self.members]
        messages: list[Message] = [
            {"event_type": "LIST", "bank": self.list_count, "membersList": [dict(m) for m in chosen]}
        ]
        return messages + [
            {
                "event_type": "PEERS_KNOWN",
                "proxy": proxy,
                "kind": kind,
                "seqNo": self.list_count,
                "bank": self.list_count,
            }
            for proxy in range(self.case.proxies)
        ]

    def next_tick(self) -> list[Message]:
        """Advance by one tick and return its messages: those that are due, occasional fleet changes, new requests."""
        self.now = round(self.now + TICK_S, 6)
        messages: list[Message] = [{"event_type": "SYNC", "ts": self.now}]
        while self.due_messages and self.due_messages[0].at <= self.now:
            message = heapq.heappop(self.due_messages).message
            if self._is_deliverable(message):
                messages.append(message)
        if self.random.random() < TICK_S * 1.5:
            messages += self._fleet_change()
        for proxy in range(self.case.proxies):
            if self.random.random() < TICK_S * self.case.requests_per_s / self.case.proxies:
                messages.append(self._client_request(proxy))
        return messages

    def _is_deliverable(self, message: Message) -> bool:
        """Return False for the end of an attempt that has ended before; remove an attempt that ends now."""
        if message["event_type"] != "CLOSED_ATTEMPT":
            return True
        attempts = self.open_attempts.get((message["proxy"], message["txn"]), set())
        if message["n"] not in attempts:
            return False
        attempts.discard(message["n"])
        return True

    def _client_request(self, proxy: int) -> Message:
        self.requests += 1
        name = f"r{self.requests}"
        number = min(int(self.random.paretovariate(0.9)), OBJECT_COUNT)
        class_number = self.random.choices((0, 1, 2), (8, 1, 1))[0]
        if self.random.random() < 0.03:
            self._schedule(self.random.uniform(0.01, 0.6), {"event_type": "GONE", "proxy": proxy, "txn": name})
        return {
            "event_type": "CALL",
            "proxy": proxy,
            "txn": name,
            "qos": f"class{class_number}",
            "file": f"/{number}",
            "chunk": self.random.randrange(3),
            "setNo": number % GROUP_COUNT,
            "lengthKb": round(self.random.lognormvariate(4.0, 1.0), 2) if self.random.random() < 0.8 else 0,
            "timeLeft": round(self.random.uniform(0.003, 2.0), 4),
        }

    def _fleet_change(self) -> list[Message]:
        """Draw a change: a fault, a restart, a drain, a purge, a whole list, or a list that is refused."""
        name = self.random.choice(list(self.members))
        match self.random.choice(("fault", "fault", "fault", "restart", "drain", "purge", "purge", "refused", "all")):
            case "fault":
                kind = self.random.choice(("no_route", "cut", "fault", "silent", "slow", "no_room"))
                self.faults[name] = kind, self.now + self.random.uniform(0.5, 6.0)
                return []
            case "restart":
                self.members[name]["onlineSince"] = self.now
                return self._endpoint_list("changes", [name])
            case "drain":
                is_fading = self.members[name]["condition"] == "on" and not name.startswith("o")
                self.members[name]["condition"] = "fading" if is_fading else "on"
                return self._endpoint_list("changes", [name])
            case "refused":
                return [{"event_type": "PEERS_KNOWN", "proxy": 0, "kind": "refused", "seqNo": 0}]
            case "all":
                return self._endpoint_list("all")
        purge: Message = {"event_type": "EXPIRED_NOW", "copyAge": round(self.random.uniform(0.0, 0.4), 4)}
        number = self.random.randrange(1, OBJECT_COUNT)
        purge |= {"file": f"/{number}"} if self.random.random() < 0.8 else {"setNo": number % GROUP_COUNT}
        return [purge | {"proxy": proxy} for proxy in range(self.case.proxies)]

    def apply_action(self, line: str) -> None:
        """Carry out one action of the adapter.

        Raises RuntimeError if the action reports a failure of the routing package.
        """
        action: Message = json.loads(line)
        match action["event_type"]:
            case "GET":
                self._start_attempt(action)
            case "DEFER":
                self._schedule(
                    action["fromNow"],
                    {"event_type": "REMINDER", "proxy": action["proxy"], "keyBack": action["keyBack"]},
                )
            case "RECALL":
                self._schedule(
                    0.001, self._closed_attempt(action["proxy"], action["txn"], action["n"], "", "undone", 0.0)
                )
            case "SOUND_OUT":
                fault = self._current_fault(action["store"])
                result = {"silent": "too_slow", "no_route": "no_route", "cut": "cut"}.get(fault, "pass")
                self._schedule(
                    0.02,
                    {
                        "event_type": "PROBE_DONE",
                        "proxy": action["proxy"],
                        "store": action["store"],
                        "stateCode": result,
                        "latency": 0.02,
                    },
                )
            case "FATAL":
                raise RuntimeError(f"routing package failed: {action['bodyText']}")

    def _current_fault(self, name: str) -> str:
        kind, until = self.faults.get(name, ("", 0.0))
        return kind if self.now < until else ""

    def _closed_attempt(
        self, proxy: int, request: str, number: int, store: str, result: str, elapsed: float
    ) -> Message:
        return {
            "event_type": "CLOSED_ATTEMPT",
            "proxy": proxy,
            "txn": request,
            "n": number,
            "store": store,
            "stateCode": result,
            "latency": round(elapsed, 4),
        }

    def _start_attempt(self, action: Message) -> None:
        proxy, request, store, source = action["proxy"], action["txn"], action["store"], action["supplier"]
        attempts = self.open_attempts.setdefault((proxy, request), set())
        number = self.attempts.get((proxy, request), 0)
        self.attempts[proxy, request] = number + 1
        attempts.add(number)
        is_hit = self.random.random() < 0.5
        took = self.random.lognormvariate(-4.0, 0.8) if is_hit else self.random.lognormvariate(-2.5, 0.8)
        note, result = (1 if is_hit else self.random.choice((2, 3, 4))), "pass"
        fault, source_fault = self._current_fault(store), self._current_fault(source) if source != store else ""
        if fault in ("no_route", "cut", "fault", "no_room"):
            result, note, took = fault, 0, 0.004
        elif fault == "silent" or (source_fault in ("silent", "slow") and not is_hit):
            took = 9.0
        elif fault == "slow":
            took *= 10.0
        elif source_fault and not is_hit:
            result, note = self.random.choice((("fault", 7), ("none_here", 8), ("no_room", 6), ("no_room", 9)))
        elif source == store and not is_hit:
            result, note = "none_here", 0
        wait = action.get("maxWait") or 2.0
        if took > wait:
            result, note, took = "too_slow", 0, wait
        if result == "pass" and took > 0.05 and self.random.random() < 0.3:
            head = {"event_type": "HEAD_RECEIVED", "proxy": proxy, "txn": request, "n": number, "store": store}
            self._schedule(took / 2.0, head)
        end = self._closed_attempt(proxy, request, number, store, result, took)
        load = {"active": self.random.randrange(12), "cpu": round(self.random.uniform(0.1, 1.0), 2), "x1": 0.5}
        self._schedule(took, end | {"detail": note, "pressure": load, "doneFlag": result == "pass"})
