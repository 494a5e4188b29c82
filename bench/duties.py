"""Measure shared periodic duties on a simulated fleet: coverage after deaths, duplicates, health check load.

    .venv/bin/python bench/duties.py [--seeds 2] [--out bench/results]

There are runs with 10, 50 and 200 members, 100 backends, and 0 %, 10 % and 30 % of the messages lost. Where messages
are lost, a tenth of the rest is late by up to 2 s. After 15 s of steady state half of the members die at once, and
the run goes on for 20 s. Every message goes through the codec with the platform's bound of 256 bytes. In the baseline
every member checks every backend once per interval. Writes ``duties.md`` (a table) and ``duties.png``.
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

FLEET_SIZES = (10, 50, 200)
LOSS_RATES = (0.0, 0.1, 0.3)
BACKEND_COUNT = 100
DEATHS_AT_MS = 15_000.0
RUN_END_MS = 35_000.0


class CellResult(NamedTuple):
    """Results for one fleet size and loss: the worst value over the seeds, by measure."""

    size: int
    loss: float
    worst: dict[str, float]


def measure_run(size: int, loss: float, seed: int) -> dict[str, float]:
    """Return the measures of one seeded run, by name."""
    fleet = SimulatedFleet(
        size,
        BACKEND_COUNT,
        seed=seed,
        network=NetworkFaults(loss=loss, late_fraction=0.1 if loss else 0.0, late_ms=2_000),
    )
    began = time.perf_counter()
    fleet.run_until(DEATHS_AT_MS)
    steady_duplicates = fleet.duplicate_fraction(5_000, DEATHS_AT_MS)
    steady_rate = fleet.duty_rate(5_000, DEATHS_AT_MS)
    steady_gap = fleet.longest_gap_ms(5_000, DEATHS_AT_MS)
    fleet.kill(fleet.names[::2])
    fleet.run_until(RUN_END_MS)
    return {
        "gap_after_deaths_ms": fleet.longest_gap_ms(DEATHS_AT_MS, RUN_END_MS),
        "steady_gap_ms": steady_gap,
        "duplicates": steady_duplicates,
        "probes_per_box_s": steady_rate,
        "baseline_per_box_s": size / (DutyTuning().interval_ms / 1000.0),
        "datagrams_per_member_s": fleet.datagram_count / size / (RUN_END_MS / 1000.0),
        "cpu_s": time.perf_counter() - began,
    }


def main() -> None:
    """Measure every combination of fleet size and loss, and write the page and its chart."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    args = parser.parse_args()
    tuning = MembershipTuning()
    interval_ms = DutyTuning().interval_ms
    bound_ms = 2 * interval_ms + 6 * tuning.period_ms + tuning.suspect_ms
    rows = measure_cells(args.seeds, args.workers)
    args.out.mkdir(parents=True, exist_ok=True)
    lines = table_lines(rows, args.seeds, interval_ms, bound_ms)
    (args.out / "duties.md").write_text("\n".join(lines) + "\n")
    draw_chart(rows, interval_ms, bound_ms, args.out / "duties.png")


def measure_cells(seeds: int, workers: int) -> list[CellResult]:
    """Return the worst values over the seeds for each combination of fleet size and loss."""
    cells = [
        (size, loss, seed) for size in reversed(FLEET_SIZES) for loss in LOSS_RATES for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as pool:
        results = dict(zip(cells, pool.map(measure_run, *zip(*cells, strict=True)), strict=True))
    rows: list[CellResult] = []
    for size in FLEET_SIZES:
        for loss in LOSS_RATES:
            cell = [results[size, loss, seed] for seed in range(1, seeds + 1)]
            worst = {key: max(run[key] for run in cell) for key in cell[0]}
            rows.append(CellResult(size, loss, worst))
            print(size, loss, {key: round(value, 3) for key, value in worst.items()}, flush=True)
    return rows


def table_lines(rows: list[CellResult], seeds: int, interval_ms: float, bound_ms: float) -> list[str]:
    """Return the lines of the page."""
    lines = [
        "# Shared periodic duties on the fleet stand-in",
        "",
        f"`bench/duties.py --seeds {seeds}`: {BACKEND_COUNT} boxes; steady state from 5 s to 15 s, then half",
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


def draw_chart(rows: list[CellResult], interval_ms: float, bound_ms: float, path: Path) -> None:
    """Draw the longest waits and the health check rates by fleet size, with the stated bound and the baseline."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss in LOSS_RATES:
        cells = [row for row in rows if row.loss == loss]
        sizes = [row.size for row in cells]
        waits = [row.worst["gap_after_deaths_ms"] for row in cells]
        rates = [row.worst["probes_per_box_s"] for row in cells]
        left.plot(sizes, waits, marker="o", label=f"loss {loss:.0%}")
        right.plot(sizes, rates, marker="o", label=f"shared, loss {loss:.0%}")
    left.axhline(bound_ms, color="grey", linestyle="--", label="stated bound")
    baseline = [size / (interval_ms / 1000.0) for size in FLEET_SIZES]
    right.plot(FLEET_SIZES, baseline, color="black", linestyle=":", label="every member probes every box")
    left.set(xlabel="members", ylabel="longest wait of a box after half die (ms)", xscale="log")
    right.set(xlabel="members", ylabel="probes per box per second", xscale="log", yscale="log")
    left.legend()
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
