"""Results of runs as JSON, CSV and a timeline chart of members, faults and lease holders."""

from __future__ import annotations

import csv
import dataclasses
from pathlib import Path
from typing import Any

import orjson

from lab.result import Result

LEASE_COLOURS = ("tab:blue", "tab:orange", "tab:green", "tab:red", "tab:purple", "tab:brown", "tab:pink", "tab:olive")
MAX_VERDICT_CHARS = 80  # in a table row
STORED_FAULT_KEY = "plant"  # key of the injected fault in result.json, kept for the files of earlier runs


def write_result(result: Result, folder: Path) -> None:
    """Write ``result.json``, ``history.csv`` and ``timeline.png`` to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.json").write_bytes(orjson.dumps(_to_json_values(result), option=orjson.OPT_INDENT_2))
    with open(folder / "history.csv", "w", newline="") as file:
        columns = ["t", "member", "life", "kind", "name", "token", "until", "checked", "holder", "what"]
        table = csv.DictWriter(file, columns, extrasaction="ignore")
        table.writeheader()
        table.writerows(result.events)
    draw_timeline(result, folder / "timeline.png")


def read_results(folder: Path) -> list[Result]:
    """Return the results found below ``folder``. Raises ValueError for an invalid result file."""
    results = []
    for path in sorted(folder.rglob("result.json")):
        try:
            results.append(_from_json_values(orjson.loads(path.read_bytes())))
        except (TypeError, KeyError, orjson.JSONDecodeError) as error:
            raise ValueError(f"{path}: invalid result file: {error}") from None
    return results


def _to_json_values(result: Result) -> dict[str, Any]:
    """Return the JSON form of a result."""
    values = dataclasses.asdict(result)
    values[STORED_FAULT_KEY] = values.pop("injected_fault")
    return values


def _from_json_values(values: dict[str, Any]) -> Result:
    """Return the result for its JSON form. Raises TypeError or KeyError if it is not one."""
    values["injected_fault"] = values.pop(STORED_FAULT_KEY)
    return Result(**values)


def draw_timeline(result: Result, path: Path) -> None:
    """Draw a row for each member: held leases as bars, in one lane for each lease, and faults as marks."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    members = sorted(result.exits, key=lambda name: int(name[1:]))
    leases = sorted({event["name"] for event in result.events if event["kind"] == "hold"})
    figure, axes = plt.subplots(figsize=(11, 1.2 + 0.5 * max(1, len(members))))
    for event in result.events:
        _draw_event(axes, event, result.began_ms, members, leases)
    for lane, lease in enumerate(leases):
        axes.barh(0, 0, color=LEASE_COLOURS[lane % len(LEASE_COLOURS)], alpha=0.5, label=lease)
    axes.set(
        yticks=range(len(members)),
        yticklabels=members,
        xlabel="seconds",
        xlim=(-0.5, None),
        title=_title(result),
    )
    if leases:
        axes.legend(fontsize=7, loc="upper right")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _title(result: Result) -> str:
    fault = f" with {result.injected_fault}" if result.injected_fault else ""
    return f"{result.name}{fault}: {'failed' if result.failed else 'passed'}"


def _draw_event(axes: Any, event: dict[str, Any], began_ms: float, members: list[str], leases: list[str]) -> None:
    at_s = (event["t"] - began_ms) / 1000
    member_rows = [members.index(event["member"])] if event["member"] in members else list(range(len(members)))
    if event["kind"] == "hold":
        _draw_hold(axes, event, at_s, member_rows[0], leases)
    elif event["kind"] == "fault":
        axes.plot([at_s] * len(member_rows), member_rows, "x", color="black", markersize=5)
        axes.annotate(event["what"], (at_s, member_rows[0]), fontsize=6, rotation=35)
    elif event["kind"] == "turned_down":
        axes.plot(at_s, member_rows[0], "v", color="red", markersize=4)


def _draw_hold(axes: Any, event: dict[str, Any], at_s: float, row: int, leases: list[str]) -> None:
    lane = leases.index(event["name"])
    height = 0.8 / len(leases)
    axes.barh(
        row - 0.4 + (lane + 0.5) * height,
        (event["until"] - event["t"]) / 1000,
        left=at_s,
        height=height,
        color=LEASE_COLOURS[lane % len(LEASE_COLOURS)],
        alpha=0.35,
        linewidth=0,
    )


def table_rows(results: list[Result]) -> list[tuple[str, ...]]:
    """Return a table row for each result.

    Columns: scenario, injected fault, verdict, holds, handovers, acts taken, acts rejected, answers.
    """
    return [_table_row(result) for result in results]


def _table_row(result: Result) -> tuple[str, ...]:
    counts = result.counts
    return (
        result.name,
        result.injected_fault or "-",
        "; ".join(result.failed)[:MAX_VERDICT_CHARS] if result.failed else "passed",
        str(counts.get("hold", 0)),
        str(counts.get("handovers", 0)),
        str(counts.get("took", 0)),
        str(counts.get("turned_down", 0)),
        str(sum(result.answers.values())),
    )
