"""Replay a recorded event log through two versions of the routing package and compare their actions.

Each version runs as the simulator's adapter (one JSON message per line) in a process of its own. The earlier version
drives a small simulated fleet from a seed. Every line that is sent to it is then sent to the later version. The
versions agree if they write the same lines. Three cases with very different settings are replayed, so that all
branches of the routing decisions see traffic: health checks and outcome notes or neither, caches behind parents or an
origin alone, pushed or requested endpoint lists, slow start with a tight budget.

Usage, from the root, with a checkout of the earlier version beside it::

    .venv/bin/python -m bench.replay --old ../earlier --old-module aldershed.adapter --seeds 1 2 --events 12000
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.replay_fleet import REPLAY_CASES, ReplayCase, SimulatedFleet

ROOT = Path(__file__).resolve().parent.parent
ADAPTER_MODULE = "beechslip.routing.adapter"
END_OF_REPLY = '{"event_type":"END"}'


class AdapterProcess:
    """The adapter of one version, in a process of its own that ``close`` ends."""

    def __init__(self, folder: Path, module: str) -> None:
        """Start ``python -m module`` in ``folder``."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", module], cwd=folder, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send_batch(self, lines: Sequence[str]) -> list[str]:
        """Send one batch and return the reply lines, without the line that ends the reply.

        Raises RuntimeError if the process has ended.
        """
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None and stdout is not None
        stdin.write("\n".join(lines) + "\n")
        stdin.flush()
        replies = []
        while (line := stdout.readline().rstrip("\n")) != END_OF_REPLY:
            if self._process.poll() is not None:
                raise RuntimeError(f"the adapter process exited with code {self._process.returncode}")
            replies.append(line)
        return replies

    def close(self) -> None:
        """End the process by closing its input, and wait for it."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        self._process.wait()


def record_batches(
    case: ReplayCase, seed: int, events: int, old: AdapterProcess
) -> Iterator[tuple[list[str], list[str]]]:
    """Yield each batch of lines sent to the earlier version and its replies, until ``events`` events were sent."""
    fleet, sent = SimulatedFleet(case, seed), 0
    messages = fleet.start_messages()
    while sent < events:
        sent += sum(message["event_type"] not in ("SYNC", "LIST") for message in messages)
        lines = [json.dumps(message) for message in [*messages, {"event_type": "YOUR_TURN"}]]
        replies = old.send_batch(lines)
        yield lines, replies
        for reply in replies:
            fleet.apply_action(reply)
        messages = fleet.next_tick()


@dataclass
class Comparison:
    """Result for one case and seed; ``difference`` is empty if the versions agree."""

    events: int = 0
    actions: int = 0
    difference: str = ""


def compare(case: ReplayCase, seed: int, events: int, old: AdapterProcess, new: AdapterProcess) -> Comparison:
    """Replay one case and seed through both versions, up to the first difference."""
    comparison = Comparison()
    for lines, expected in record_batches(case, seed, events, old):
        comparison.events += len(lines)
        comparison.actions += len(expected)
        replies = new.send_batch(lines)
        if replies != expected:
            pairs = zip([*expected, "(nothing)"], [*replies, "(nothing)"], strict=False)
            before, after = next((a, b) for a, b in pairs if a != b)
            comparison.difference = (
                f"first difference after {comparison.events} messages: expected {before}, got {after}"
            )
            return comparison
    return comparison


def _child_user_s() -> float:
    return resource.getrusage(resource.RUSAGE_CHILDREN).ru_utime


def processor_seconds(folder: Path, module: str, batches: Sequence[list[str]]) -> float:
    """Return the processor time in s that one version takes for recorded batches, including its start."""
    before = _child_user_s()
    adapter = AdapterProcess(folder, module)
    for batch in batches:
        adapter.send_batch(batch)
    adapter.close()
    return _child_user_s() - before


def main() -> int:
    """Compare the versions; return 0 if they took the same actions in every case and with every seed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--old", type=Path, required=True, help="folder of the earlier version")
    parser.add_argument("--old-module", default=ADAPTER_MODULE, help="adapter module of the earlier version")
    parser.add_argument("--new", type=Path, default=ROOT, help="folder of the later version")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--events", type=int, default=12_000, help="events for each case and seed")
    parser.add_argument(
        "--time", action="store_true", help="also compare processor time, in three alternating rounds"
    )
    args = parser.parse_args()
    failed = 0
    for case in REPLAY_CASES:
        for seed in args.seeds:
            old, new = AdapterProcess(args.old, args.old_module), AdapterProcess(args.new, ADAPTER_MODULE)
            began = time.monotonic()
            comparison = compare(case, seed, args.events, old, new)
            old.close()
            new.close()
            failed += bool(comparison.difference)
            verdict = comparison.difference or "same actions"
            print(
                f"{case.name}, seed {seed}: {comparison.events} messages, {comparison.actions} actions, "
                f"{time.monotonic() - began:.1f} s: {verdict}"
            )
        if args.time:
            _print_times(case, args)
    return 1 if failed else 0


def _print_times(case: ReplayCase, args: argparse.Namespace) -> None:
    old = AdapterProcess(args.old, args.old_module)
    batches = [lines for lines, _ in record_batches(case, args.seeds[0], args.events, old)]
    old.close()
    rounds = [
        (processor_seconds(args.old, args.old_module, batches), processor_seconds(args.new, ADAPTER_MODULE, batches))
        for _ in range(3)
    ]
    best = [min(times) for times in zip(*rounds, strict=True)]
    print(f"{case.name}: {best[0]:.2f} s before, {best[1]:.2f} s now ({best[1] / best[0]:.3f} times)")


if __name__ == "__main__":
    sys.exit(main())
