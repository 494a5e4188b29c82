"""Measure shared periodic duties on the fleet stand-in: coverage after deaths, duplicates, probe load.

    .venv/bin/python bench/duties.py [--seeds 2] [--out bench/results]

For 10, 50 and 200 members, 100 boxes, and 0 %, 10 % and 30 % of messages lost (a tenth of the rest late by
up to 2 s): 15 s of steady state, then half of the members die at once, then 20 s more. Every message goes
through the codec at the platform's 256-byte bound. Writes ``duties.md`` (a table) and ``duties.png``.
The baseline is every member probing every box once an interval.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from beechslip.duties.sim import NetworkFaults, SimulatedFleet
from beechslip.duties.tuning import DutyTuning
from beechslip.fleet.tuning import MembershipTuning

SIZES = (10, 50, 200)
LOSSES = (0.0, 0.1, 0.3)
BOXES = 100
KILL_MS = 15_000.0
END_MS = 35_000.0


class Row(NamedTuple):
    """One cell: the worst of its seeds, by measure."""

    size: int
    loss: float
    worst: dict[str, float]


def play(size: int, loss: float, seed: int) -> dict[str, float]:
    """The measures of one seeded run, by name."""
    fleet = SimulatedFleet(
        size, BOXES, seed=seed, network=NetworkFaults(loss=loss, late_fraction=0.1 if loss else 0.0, late_ms=2_000)
    )
    began = time.perf_counter()
    fleet.run_until(KILL_MS)
    steady_dup = fleet.duplicate_fraction(5_000, KILL_MS)
    steady_rate = fleet.duty_rate(5_000, KILL_MS)
    steady_gap = fleet.longest_gap_ms(5_000, KILL_MS)
    fleet.kill(fleet.names[::2])
    fleet.run_until(END_MS)
    return {
        "gap_after_deaths_ms": fleet.longest_gap_ms(KILL_MS, END_MS),
        "steady_gap_ms": steady_gap,
        "duplicates": steady_dup,
        "probes_per_box_s": steady_rate,
        "baseline_per_box_s": size / (DutyTuning().interval_ms / 1000.0),
        "datagrams_per_member_s": fleet.datagram_count / size / (END_MS / 1000.0),
        "cpu_s": time.perf_counter() - began,
    }


def main() -> None:
    """Measure every cell, and write the page and its chart."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    tuning = MembershipTuning()
    interval_ms = DutyTuning().interval_ms
    bound_ms = 2 * interval_ms + 6 * tuning.period_ms + tuning.suspect_ms
    rows = measure(args.seeds, args.workers)
    args.out.mkdir(parents=True, exist_ok=True)
    lines = table(rows, args.seeds, interval_ms, bound_ms)
    (args.out / "duties.md").write_text("\n".join(lines) + "\n")
    draw(rows, interval_ms, bound_ms, args.out / "duties.png")


def measure(seeds: int, workers: int) -> list[Row]:
    """The worst of the seeds in each cell of size and loss."""
    cells = [(size, loss, seed) for size in reversed(SIZES) for loss in LOSSES for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        plays = dict(zip(cells, pool.map(play, *zip(*cells, strict=True)), strict=True))
    rows: list[Row] = []
    for size in SIZES:
        for loss in LOSSES:
            cell = [plays[size, loss, seed] for seed in range(1, seeds + 1)]
            worst = {key: max(run[key] for run in cell) for key in cell[0]}
            rows.append(Row(size, loss, worst))
            print(size, loss, {key: round(value, 3) for key, value in worst.items()}, flush=True)
    return rows


def table(rows: list[Row], seeds: int, interval_ms: float, bound_ms: float) -> list[str]:
    """The page's lines."""
    lines = [
        "# Shared periodic duties on the fleet stand-in",
        "",
        f"`bench/duties.py --seeds {seeds}`: {BOXES} boxes; steady state from 5 s to 15 s, then half",
        "of the members die at once; the worst of the seeds in each cell. Probe interval "
        f"{interval_ms:.0f} ms; stated bound on a box's longest wait after deaths {bound_ms:.0f} ms "
        "(two intervals, six protocol periods and the suspicion time).",
        "",
        "| members | loss | longest wait after deaths (ms) | steady longest wait (ms) | duplicate share "
        "| probes/box/s | baseline probes/box/s | datagrams/member/s |",
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for size, loss, worst in rows:
        lines.append(
            f"| {size} | {loss:.0%} | {worst['gap_after_deaths_ms']:.0f} | {worst['steady_gap_ms']:.0f} "
            f"| {worst['duplicates']:.3f} | {worst['probes_per_box_s']:.2f} | {worst['baseline_per_box_s']:.1f} "
            f"| {worst['datagrams_per_member_s']:.1f} |"
        )
    return lines


def draw(rows: list[Row], interval_ms: float, bound_ms: float, path: Path) -> None:
    """Longest waits and health checks by size, a line for each loss, beside the bound and the baseline."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss in LOSSES:
        cells = [row for row in rows if row.loss == loss]
        sizes = [row.size for row in cells]
        waits = [row.worst["gap_after_deaths_ms"] for row in cells]
        rates = [row.worst["probes_per_box_s"] for row in cells]
        left.plot(sizes, waits, marker="o", label=f"loss {loss:.0%}")
        right.plot(sizes, rates, marker="o", label=f"shared, loss {loss:.0%}")
    left.axhline(bound_ms, color="grey", linestyle="--", label="stated bound")
    baseline = [size / (interval_ms / 1000.0) for size in SIZES]
    right.plot(SIZES, baseline, color="black", linestyle=":", label="every member probes every box")
    left.set(xlabel="members", ylabel="longest wait of a box after half die (ms)", xscale="log")
    right.set(xlabel="members", ylabel="probes per box per second", xscale="log", yscale="log")
    left.legend()
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
