"""The share of requests that are served, by size within each class, from the logs of proxies with EDGE_LOG=debug.

The term (``STANDING.md``, "What has to hold"): of the tenth of a class's requests with the largest objects (the
quarter of a class with under 400 requests), and of the next fifth, the share that is answered is at least two thirds
of the class's on a quiet day and half on others. A client's further tries under the same id count as one request.

    python -m bench.service_by_size FOLDER [FOLDER ...]     # a folder of *.log files a day
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

LINE = re.compile(
    r"beechslip\.engine (?P<id>\S+) (?P<class>\S+) (?P<end>served|refused|failed|left) after (?P<after>\d+) of "
    r"(?P<wait>\d+) ms, (?P<size>\d+) KB(?:, attempts (?P<attempts>\d+), retry \d+, (?P<reason>.*))?"
)
SMALL_CLASS = 400  # requests, under which the largest quarter counts in place of the largest tenth
LARGEST, LARGEST_OF_SMALL, NEXT = 0.1, 0.25, 0.2  # fractions of a class's requests, the largest first
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


def report_line(day: str, shares_of_class: ClassShares) -> str:
    """One line of the report."""
    of = shares_of_class
    largest, following = of.ratios
    why = ", ".join(f"{reason or '-'} {count}" for reason, count in of.unserved.most_common())
    shares_text = f"served {of.served:.2f}  largest {of.largest:.2f} ({largest:.2f})"
    next_text = f"next {of.next_largest:.2f} ({following:.2f})"
    return f"{day:34} {of.class_name:12} {of.requests:6} {shares_text}  {next_text}  largest unserved: {why}"


def main(folders: Sequence[str]) -> int:
    """Print the shares of each folder; 2 without a folder."""
    if not folders:
        print(__doc__, file=sys.stderr)
        return 2
    for name in folders:
        for class_shares in folder_shares(Path(name)):
            print(report_line(Path(name).name, class_shares))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
