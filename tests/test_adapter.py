"""The simulator's adapter in a process of its own, on message exchanges written for these tests."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
CONFIG = {
    "balancers": 2,
    "me": 0,
    "myZone": "e1",
    "dcs": ["hub", "e1"],
    "models": ["box", "parent", "origin"],
    "discovery": "pushed",
    "round": 0.002,
    "weights": "off",
    "someday": {"unknown": [1, 2]},
    "caps": {"cancel": True, "maxAttempts": 8, "retryAfter": True, "maxRetryAfter": 1.0, "new": None},
    "safety": {"coldShare": 0.2, "warmWithin": 16.0, "fallMultiple": 2.5, "fall": 1.0},
    "classes": [
        {"name": "page", "onTime": 0.4, "giveUp": 2.5, "credit": 1.0, "effect": "repeatable"},
        {"name": "order", "onTime": 0.6, "giveUp": 3.0, "credit": 3.0, "effect": "once"},
        "odd",
    ],
    "specifics": {
        "parentKind": 1,
        "sourceKind": 2,
        "maxAge": [8.0, 0.0],
        "staleFor": [0.0, 0.0],
        "goesThrough": [False, True],
        "goneEverywhere": 6.0,
        "sharesFills": True,
        "tells": "off",
        "clientKbPerS": 4000.0,
        "instancesByZone": [0, 2],
    },
}
MEMBERS = [
    {"store": "a:1", "locality": "e1", "sku": "box", "condition": "on", "share": 1, "hue": "red"},
    {"store": "p:1", "locality": "hub", "sku": "parent", "condition": "on"},
    {"store": "o:1", "locality": "hub", "sku": "origin", "condition": "on"},
]
START: list[dict[str, Any]] = [
    {"event_type": "SYNC", "ts": 10.0},
    {"event_type": "LAUNCH", "proxy": 1, "seed": 5, "config": CONFIG},
    {"event_type": "LIST", "bank": 0, "membersList": MEMBERS},
    {"event_type": "PEERS_KNOWN", "proxy": 1, "kind": "remembered", "seqNo": 1, "bank": 0},
]
TURN = {"event_type": "YOUR_TURN"}


def run_adapter(messages: list[Any]) -> subprocess.CompletedProcess[str]:
    text = "".join((m if isinstance(m, str) else json.dumps(m)) + "\n" for m in messages)
    return subprocess.run(
        [sys.executable, "-m", "beechslip.routing.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )


def reply_batches(process: subprocess.CompletedProcess[str]) -> list[list[dict[str, Any]]]:
    batches: list[list[dict[str, Any]]] = [[]]
    for line in process.stdout.splitlines():
        if json.loads(line)["event_type"] == "END":
            batches.append([])
        else:
            batches[-1].append(json.loads(line))
    return batches[:-1]


def call_message(txn: str = "t1", proxy: int = 1, qos: str = "page") -> dict[str, Any]:
    return {
        "event_type": "CALL",
        "proxy": proxy,
        "txn": txn,
        "file": "/o/x",
        "qos": qos,
        "timeLeft": 2.0,
        "lengthKb": 40,
        "setNo": 3,
        "novel": True,
    }


def test_adapter_answers_a_short_exchange() -> None:
    process = run_adapter(
        [
            *START,
            call_message(),
            TURN,
            {"event_type": "SYNC", "ts": 10.1},
            {
                "event_type": "CLOSED_ATTEMPT",
                "proxy": 1,
                "txn": "t1",
                "n": 0,
                "store": "a:1",
                "stateCode": "pass",
                "latency": 0.1,
                "doneFlag": True,
                "pressure": {"active": 3, "odd": "x"},
            },
            {"event_type": "EXPIRED_NOW", "proxy": 1, "file": 0, "setNo": 3, "copyAge": 0.085},
            call_message("t2"),
            TURN,
            {"event_type": "SYNC", "ts": 10.2},
            {"event_type": "GONE", "proxy": 1, "txn": "t2"},
            {"event_type": "POWER_OFF", "proxy": 1},
            TURN,
            {"event_type": "SYNC", "ts": 10.3},
            TURN,
        ]
    )
    assert process.returncode == 0 and process.stderr == ""
    first, second, third, last = reply_batches(process)
    get = first[0]
    assert get == {
        "event_type": "GET",
        "proxy": 1,
        "txn": "t1",
        "store": "a:1",
        "supplier": "p:1",
        "maxWait": 2.0,
        "retain": 1,
        "copyAge": 8.0,
        "mode": 9,
    }
    assert first[1]["event_type"] == "DEFER"
    assert second[0]["copyAge"] == pytest.approx(0.085, abs=1e-5) and second[0]["copyAge"] <= 0.085
    assert third == [] and last == []


def test_list_numbers_can_be_reused_and_instances_are_independent() -> None:
    other = [dict(MEMBERS[0], store="b:1"), *MEMBERS[1:]]
    process = run_adapter(
        [
            *START,
            {"event_type": "LIST", "bank": 0, "membersList": other},
            {"event_type": "LAUNCH", "proxy": 2, "seed": 6, "config": CONFIG},
            {"event_type": "PEERS_KNOWN", "proxy": 2, "kind": "remembered", "seqNo": 1, "bank": 0},
            call_message("t1", 1),
            call_message("t2", 2),
            TURN,
        ]
    )
    gets = [a for a in reply_batches(process)[0] if a["event_type"] == "GET"]
    assert [(a["proxy"], a["store"]) for a in gets] == [(1, "a:1"), (2, "b:1")]


@pytest.mark.parametrize(
    ("message", "word"),
    [
        ("{not json", "not JSON"),
        ("[1]", "not an object"),
        ('{"event_type":"SYNC","ts":NaN}', "not JSON"),
        ({"event_type": "WHAT", "proxy": 1}, "WHAT"),
        ({"proxy": 1}, "event_type"),
        ({"event_type": "CALL", "proxy": 1, "qos": "page"}, "txn"),
        ({"event_type": "CALL", "proxy": "one", "txn": "t", "qos": "page"}, "proxy"),
        ({"event_type": "PEERS_KNOWN", "proxy": 1, "kind": "all", "bank": 9}, "number 9"),
        ({"event_type": "PEERS_KNOWN", "proxy": 1, "kind": "some", "bank": 0}, "some"),
        ({"event_type": "GONE", "proxy": 8, "txn": "t"}, "number 8"),
        ({"event_type": "LIST", "bank": 1, "membersList": [{"store": "a:1"}]}, "condition"),
        ({"event_type": "LIST", "bank": 1, "membersList": [7]}, "entry"),
        ({"event_type": "PROBE_DONE", "proxy": 1, "store": "a:1", "stateCode": "maybe"}, "maybe"),
    ],
)
def test_malformed_input_is_reported_only_on_standard_error(message: Any, word: str) -> None:
    process = run_adapter([*START, TURN, message, TURN])
    assert process.returncode != 0 and word in process.stderr and "Traceback" not in process.stderr
    assert [a["event_type"] for batch in reply_batches(process) for a in batch] == []
    assert len(process.stdout.splitlines()) == 1


def test_end_of_input_gives_exit_status_0_and_no_output() -> None:
    assert (run_adapter([]).returncode, run_adapter(START).stdout) == (0, "")


def test_exception_in_the_router_is_reported_as_a_fatal_message() -> None:
    code = (
        "import beechslip.routing.adapter as a\n"
        "def broken(*_): raise IndexError('out of reach')\n"
        "a.Router.handle = broken\na.main()\n"
    )
    text = "".join(json.dumps(m) + "\n" for m in [*START, TURN])
    process = subprocess.run(
        [sys.executable, "-c", code], input=text, capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert reply_batches(process)[0] == [{"event_type": "FATAL", "proxy": 1, "bodyText": "IndexError: out of reach"}]


def test_readme_example_runs() -> None:
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)[0]
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert process.stdout == "10.0.0.1:80 fills from 10.0.1.1:80 joined\n"
