"""The share of requests that are served, by size within each class: from logs of proxies or the bench's reports.

The term (``STANDING.md``, "What has to hold"): of the tenth of a class's requests with the largest objects (the
quarter of a class with under 400 requests), and of the next fifth, the share that is answered is at least two thirds
of the class's on a quiet day and half on others. In logs (of proxies with EDGE_LOG=debug) each request id counts, so
that a client's further tries under other ids are requests of their own; in reports each first try counts.

    python -m bench.service_by_size PATH [PATH ...]     # a folder of *.log files a day, or a report (--json) of days

Exits with 1 if a band of any day is under the term, 2 without a path.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

LINE = re.compile(
    r"beechslip\.engine (?P<id>\S+) (?P<class>\S+) (?P<end>served|refused|failed|left) after (?P<after>\d+) of "
    r"(?P<wait>\d+) ms, (?P<size>\d+) KB(?:, attempts (?P<attempts>\d+), retry \d+, (?P<reason>.*))?"
)
SMALL_CLASS = 400  # requests, under which the largest quarter counts in place of the largest tenth
LARGEST, LARGEST_OF_SMALL, NEXT = 0.1, 0.25, 0.2  # fractions of a class's requests, the largest first
QUIET_DAY = "calm"  # in the name of a day without a fault
QUIET_TERM, OTHER_TERM = 2.0 / 3.0, 0.5  # least ratio of a band's share to its class's
DUPLICATE = "duplicate"  # of an open request: no request of its own


@dataclass(slots=True)
class RequestRecord:
    """What the logs tell of one request id."""

    class_name: str
    size_kb: float
    ends: list[str] = field(default_factory=list)  # a kind of end, or the reason of one that was not served

    @property
    def served(self) -> bool:
        """Whether any try was served."""
        return "served" in self.ends


@dataclass(frozen=True, slots=True)
class ClassShares:
    """Served shares of one class: all, the largest, the next fifth; and why the largest were not served."""

    class_name: str
    requests: int
    served: float
    largest: float
    next_largest: float
    unserved: Counter[str]  # of the largest, by the reason of the last try

    @property
    def ratios(self) -> tuple[float, float]:
        """Of the largest and of the next fifth to the class; 1 where none of the class was served."""
        if not self.served:
            return 1.0, 1.0
        return self.largest / self.served, self.next_largest / self.served


def read_logs(lines: Iterable[str]) -> dict[str, RequestRecord]:
    """The requests of these log lines by id."""
    requests: dict[str, RequestRecord] = {}
    for line in lines:
        found = LINE.search(line)
        if found is None:
            continue
        reason = (found["reason"] or "").strip()
        if reason.endswith(DUPLICATE):
            continue
        request = requests.setdefault(found["id"], RequestRecord(found["class"], float(found["size"])))
        request.ends.append(found["end"] if found["end"] in ("served", "left") else reason)
    return requests


def _served_share(requests: Sequence[RequestRecord]) -> float:
    return sum(request.served for request in requests) / len(requests) if requests else 0.0


def shares(requests: Iterable[RequestRecord]) -> list[ClassShares]:
    """By class, in order of name. Classes without sizes are left out: they have no largest requests."""
    by_class: dict[str, list[RequestRecord]] = defaultdict(list)
    for request in requests:
        by_class[request.class_name].append(request)
    found = []
    for name, members in sorted(by_class.items()):
        members.sort(key=lambda request: -request.size_kb)
        if not members[0].size_kb:
            continue
        part = LARGEST if len(members) >= SMALL_CLASS else LARGEST_OF_SMALL
        first = round(part * len(members))
        second = round((part + NEXT) * len(members))
        largest = members[:first]
        unserved = Counter(request.ends[-1] for request in largest if not request.served)
        found.append(
            ClassShares(
                name,
                len(members),
                _served_share(members),
                _served_share(largest),
                _served_share(members[first:second]),
                unserved,
            )
        )
    return found


def folder_shares(folder: Path) -> list[ClassShares]:
    """The shares of a day, from the proxies' logs in ``folder``."""
    lines = (line for path in sorted(folder.glob("*.log")) for line in path.read_text(errors="replace").splitlines())
    return shares(read_logs(lines).values())


def is_kept(day: str, shares_of_class: ClassShares) -> bool:
    """Whether both bands of a class reach the term of such a day."""
    return min(shares_of_class.ratios) >= (QUIET_TERM if QUIET_DAY in day else OTHER_TERM)


def _answered(entry: Any) -> float:
    counts = entry[0]
    return counts["served"] / counts["offered"] if counts["offered"] else 0.0


def report_shares(report: Any) -> list[tuple[str, ClassShares]]:
    """The shares of each day of a bench's report, with the day's name.

    ``largest`` holds three entries for each class: its largest requests, the next fifth, and all.
    """
    found = []
    for day in report["days"]:
        entries = day["largest"]
        count = len(entries) // 3
        for largest, following, whole in zip(
            entries[:count], entries[count : 2 * count], entries[2 * count :], strict=True
        ):
            served = _answered(whole)
            next_largest = _answered(following) if following[0]["offered"] else served
            class_shares = ClassShares(
                whole[0]["name"], int(whole[0]["offered"]), served, _answered(largest), next_largest, Counter()
            )
            found.append((day["name"], class_shares))
    return found


def path_shares(path: Path) -> list[tuple[str, ClassShares]]:
    """The shares by day and class of a folder of logs or of a report."""
    if path.is_dir():
        return [(path.name, class_shares) for class_shares in folder_shares(path)]
    return report_shares(json.loads(path.read_text()))


def report_line(day: str, shares_of_class: ClassShares) -> str:
    """One line of the report."""
    of = shares_of_class
    largest, following = of.ratios
    why = ", ".join(f"{reason or '-'} {count}" for reason, count in of.unserved.most_common())
    shares_text = f"served {of.served:.2f}  largest {of.largest:.2f} ({largest:.2f})"
    next_text = f"next {of.next_largest:.2f} ({following:.2f})"
    return f"{day:34} {of.class_name:12} {of.requests:6} {shares_text}  {next_text}  largest unserved: {why}"


def main(names: Sequence[str]) -> int:
    """Print the shares of each folder or report; returns the exit code."""
    if not names:
        print(__doc__, file=sys.stderr)
        return 2
    found = [pair for name in names for pair in path_shares(Path(name))]
    for day, class_shares in found:
        print(report_line(day, class_shares) + ("" if is_kept(day, class_shares) else "  UNDER THE TERM"))
    return 0 if all(is_kept(day, class_shares) for day, class_shares in found) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
