"""``python -m lab``: run fault scenarios on real proxy processes, and seeded simulations in virtual time."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, Protocol

import typer
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from beechslip.config import ConfigError
from lab import report as reports
from lab.injected_faults import inject
from lab.mutants import all_faults
from lab.result import Result
from lab.scenario import Scenario, read_scenario
from lab.world import run_scenario

app = typer.Typer(help=__doc__, no_args_is_help=True, add_completion=False)
console = Console()
OutFolder = Annotated[Path, typer.Option(help="The folder for the results.")]
FaultName = Annotated[
    str, typer.Option("--plant", help=f"The fault to inject into the proxies: {', '.join(all_faults())}.")
]
TABLE_HEADINGS = (
    "scenario",
    "injected fault",
    "verdict",
    "holds",
    "handovers",
    "acts taken",
    "acts rejected",
    "answers",
)
PROGRESS_INTERVAL_S = 0.2
MAX_SHOWN_VIOLATIONS = 3  # per seed of the service soak


class SeedFindings(Protocol):
    """What the play of one seed has shown."""

    @property
    def violations(self) -> list[str]:
        """The rules that were broken."""
        ...

    @property
    def served(self) -> int:
        """The number of requests served."""
        ...

    @property
    def details(self) -> str:
        """What the play was, for the report of a violation."""
        ...


def _check_fault_name(name: str) -> None:
    if name and name not in all_faults():
        raise typer.BadParameter(f"unknown injected fault {name!r}: expected one of {', '.join(all_faults())}")


def _result_table(results: list[Result]) -> Table:
    table = Table(*TABLE_HEADINGS)
    for row in reports.table_rows(results):
        table.add_row(*row)
    return table


@app.command()
def run(files: list[Path], out: OutFolder = Path("found/lab"), fault: FaultName = "") -> None:
    """Run scenario files on real processes. Exits with 1 if a requirement was not met, 2 if a file is invalid."""
    _check_fault_name(fault)
    try:
        scenarios = [read_scenario(path) for path in files]
    except ConfigError as error:
        console.print(f"[red]{error}")
        raise typer.Exit(2) from None
    results = []
    for scenario in scenarios:
        folder = out / (scenario.name + (f"+{fault}" if fault else ""))
        result = asyncio.run(_run_with_progress(scenario, folder / f"run-{time.time_ns()}", fault))
        reports.write_result(result, folder)
        results.append(result)
    console.print(_result_table(results))
    if any(result.failed for result in results):
        raise typer.Exit(1)


async def _run_with_progress(scenario: Scenario, folder: Path, fault: str) -> Result:
    with Progress(console=console, transient=True) as progress:
        bar = progress.add_task(scenario.name, total=scenario.duration_s)

        async def advance() -> None:
            while True:
                await asyncio.sleep(PROGRESS_INTERVAL_S)
                progress.advance(bar, PROGRESS_INTERVAL_S)

        advancing = asyncio.create_task(advance())
        try:
            return await run_scenario(scenario, folder, fault)
        finally:
            advancing.cancel()


@app.command()
def soak(
    seeds: Annotated[int, typer.Option(min=1, max=1_000_000)] = 200,
    first: Annotated[int, typer.Option(min=0)] = 0,
    fault: FaultName = "",
    workers: Annotated[int, typer.Option(min=1, max=64)] = 4,
) -> None:
    """Run seeded simulations in virtual time with all faults. Exits with 1 at a violation and prints its seed."""
    from lab.virtual import run_seed

    _check_fault_name(fault)
    began = time.monotonic()
    totals: Counter[str] = Counter()
    with ProcessPoolExecutor(workers) as pool, Progress(console=console, transient=True) as progress:
        bar = progress.add_task("seeds", total=seeds)
        for outcome in pool.map(run_seed, range(first, first + seeds), [fault] * seeds, chunksize=8):
            progress.advance(bar)
            for name in ("steps", "datagrams", "holds", "handovers", "acts"):
                totals[name] += getattr(outcome, name)
            totals["failed"] += bool(outcome.violations)
            for text in outcome.violations[:1]:
                console.print(f"seed {outcome.seed}: {text}", markup=False)
    console.print(
        f"{seeds} seeds from {first}, {totals['steps']} steps, {totals['datagrams']} datagrams, "
        f"{totals['holds']} holds, {totals['handovers']} handovers, {totals['acts']} acts taken, "
        f"{totals['failed']} seeds with a violation, {time.monotonic() - began:.0f} s",
        soft_wrap=True,
    )
    if totals["failed"]:
        raise typer.Exit(1)


def _judge_seeds(
    run_seed: Callable[[int], SeedFindings], seeds: range, workers: int, shown: int | None = None
) -> None:
    """Run one play a seed, and print what broke a rule, at most ``shown`` a seed. Exits with 1 at a violation."""
    failed = 0
    served = 0
    with ProcessPoolExecutor(workers) as pool:
        for seed, findings in zip(seeds, pool.map(run_seed, seeds), strict=True):
            failed += bool(findings.violations)
            served += findings.served
            for text in findings.violations[:shown]:
                console.print(f"seed {seed}: {text}", markup=False, soft_wrap=True, highlight=False)
            if findings.violations and findings.details:
                console.print(f"seed {seed}: {findings.details}", markup=False, soft_wrap=True, highlight=False)
    console.print(f"{len(seeds)} seeds from {seeds.start}, {served} requests served, {failed} seeds with a violation")
    if failed:
        raise typer.Exit(1)


@app.command()
def service(
    seeds: Annotated[int, typer.Option(min=1, max=10_000)] = 50,
    first: Annotated[int, typer.Option(min=0)] = 1,
    workers: Annotated[int, typer.Option(min=1, max=16)] = 4,
) -> None:
    """Run seeded soaks of one real proxy process. Exits with 1 at a violation and prints its seed."""
    from lab.service_soak import run_soak

    _judge_seeds(run_soak, range(first, first + seeds), workers, MAX_SHOWN_VIOLATIONS)


@app.command()
def upgrades(
    seeds: Annotated[int, typer.Option(min=1, max=10_000)] = 50,
    first: Annotated[int, typer.Option(min=0)] = 1,
    workers: Annotated[int, typer.Option(min=1, max=4)] = 2,
) -> None:
    """Run seeded upgrades of real processes, with their sums checked. Exits with 1 at a violation."""
    from lab.upgrade_soak import run_upgrade_soak

    _judge_seeds(run_upgrade_soak, range(first, first + seeds), workers)


@app.command()
def readers(
    seeds: Annotated[int, typer.Option(min=1, max=10_000)] = 20,
    first: Annotated[int, typer.Option(min=0)] = 1,
    workers: Annotated[int, typer.Option(min=1, max=4)] = 2,
) -> None:
    """Run seeded plays of slow readers at one real proxy. Exits with 1 at a violation and prints its seed."""
    from lab.slow_reader_soak import run_slow_reader_soak

    _judge_seeds(run_slow_reader_soak, range(first, first + seeds), workers)


@app.command()
def hostile(
    plays: Annotated[list[str] | None, typer.Argument(help="Kinds of hostile clients; all by default.")] = None,
    memory: Annotated[int, typer.Option(min=1, help="The proxy's memory limit in MB.")] = 192,
    connections: Annotated[int, typer.Option(min=1, max=900)] = 500,
    seconds: Annotated[float, typer.Option(min=0.5, max=600.0)] = 7.0,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    open_requests: Annotated[int, typer.Option(min=1, help="The settings' limit of open requests.")] = 100,
) -> None:
    """Play hostile clients against one real proxy, and print its memory and what sound clients got."""
    from lab import hostile_clients, hostile_play

    for play in plays or [*hostile_clients.KINDS, hostile_clients.MIXED]:
        with tempfile.TemporaryDirectory() as folder:
            found = hostile_play.run_play(Path(folder), play, memory, connections, seconds, seed, open_requests)
        console.print(
            f"{play}: memory idle {found.idle_mb:.0f}, peak {found.peak_mb:.0f}, "
            f"settled {found.settled_mb:.0f} MB of {memory}; alive {found.is_alive}; "
            f"answered {len(found.latencies_s)}, unanswered {found.unanswered}, "
            f"median {found.latency_s(0.5):.3f} s, 99th percentile {found.latency_s(0.99):.3f} s, "
            f"statuses {found.statuses}",
            markup=False,
            soft_wrap=True,
            highlight=False,
        )


@app.command()
def search(
    units: int = 2,
    restarts: int = 1,
    repeats: int = 0,
    renews: int = 0,
    most: int = 5_000_000,
    deep: bool = False,
    fault: FaultName = "",
) -> None:
    """Explore every interleaving of one lease within bounds. Exits with 1 if two members hold it at once."""
    from lab.search import Bounds, Search

    _check_fault_name(fault)
    with inject(fault):
        found = Search(Bounds(units, (1, 1), renews, restarts, repeats)).run(most, deep)
    console.print(
        f"{found.states} states, {found.steps} steps, "
        f"{'all within the bounds were visited' if found.is_complete else 'stopped before all were visited'}"
    )
    if found.violation:
        console.print(found.violation, markup=False)
        raise typer.Exit(1)


@app.command()
def report(folder: Path) -> None:
    """Print the results found below a folder, and redraw their timelines."""
    try:
        results = reports.read_results(folder)
    except ValueError as error:
        console.print(f"[red]{error}")
        raise typer.Exit(2) from None
    for path, result in zip(sorted(folder.rglob("result.json")), results, strict=True):
        reports.draw_timeline(result, path.with_name("timeline.png"))
    console.print(_result_table(results))


if __name__ == "__main__":
    app()
