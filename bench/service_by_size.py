"""Report the share of requests served, by object size within each class, from proxy logs or reports of the bench.

The requirement ("the term" in the output; ``STANDING.md``, "What has to hold") concerns two bands of each class. The
first band is the tenth of the class's requests with the largest objects (the quarter if the class has under 400
requests). The second band is the next fifth. The share served of each band must be at least two thirds of the class's
share on a quiet day, and half of it on other days. In logs (of proxies with EDGE_LOG=debug) each request id counts,
so that a client's further tries under other ids are separate requests. In reports each first try counts.

    python -m bench.service_by_size PATH [PATH ...]     # a folder of *.log files a day, or a report (--json) of days

Exits with 1 if a band of any day is under the requirement, and with 2 without a path.
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

LOG_LINE = re.compile(
    r"beechslip\.engine (?P<id>\S+) (?P<class>\S+) (?P<end>served|refused|failed|left) after (?P<after>\d+) of "
    r"(?P<wait>\d+) ms, (?P<size>\d+) KB(?:, attempts (?P<attempts>\d+), retry \d+, (?P<reason>[^;]*))?"
)
SMALL_CLASS_REQUESTS = 400  # a class with fewer uses its largest quarter instead of its largest tenth
LARGEST_FRACTION, SMALL_CLASS_FRACTION, NEXT_FRACTION = 0.1, 0.25, 0.2  # of a class's requests, largest first
QUIET_DAY_MARK = "calm"  # contained in the names of days without a fault
MIN_QUIET_DAY_RATIO, MIN_OTHER_DAY_RATIO = 2.0 / 3.0, 0.5  # of a band's share to the class's share
DUPLICATE_REASON = "duplicate"  # a duplicate of an open request does not count as a request


@dataclass(slots=True)
class RequestRecord:
    """What the logs record of one request id."""

    class_name: str
    size_kb: float
    ends: list[str] = field(default_factory=list)  # "served", "left", or the reason why a try was not served

    @property
    def is_served(self) -> bool:
        """True if any try was served."""
        return "served" in self.ends


@dataclass(frozen=True, slots=True)
class ClassShares:
    """Shares served of one class: of all requests, of the largest and of the next fifth.

    ``unserved`` counts why the largest requests were not served.
    """

    class_name: str
    requests: int
    served: float
    largest: float
    next_largest: float
    unserved: Counter[str]  # largest requests by the reason of the last try

    @property
    def ratios(self) -> tuple[float, float]:
        """The shares of the largest and of the next fifth, each divided by the class's share; 1 if that is 0."""
        if not self.served:
            return 1.0, 1.0
        return self.largest / self.served, self.next_largest / self.served


def read_logs(lines: Iterable[str]) -> dict[str, RequestRecord]:
    """Return the requests in these log lines by id."""
    requests: dict[str, RequestRecord] = {}
    for line in lines:
        found = LOG_LINE.search(line)
        if found is None:
            continue
        reason = (found["reason"] or "").strip()
        if reason.endswith(DUPLICATE_REASON):
            continue
        request = requests.setdefault(found["id"], RequestRecord(found["class"], float(found["size"])))
        request.ends.append(found["end"] if found["end"] in ("served", "left") else reason)
    return requests


def _served_share(requests: Sequence[RequestRecord]) -> float:
    return sum(request.is_served for request in requests) / len(requests) if requests else 0.0


def shares_by_class(requests: Iterable[RequestRecord]) -> list[ClassShares]:
    """Return the shares of each class in order of name.

    Classes without sizes are omitted, because they have no largest requests.
    """
    by_class: dict[str, list[RequestRecord]] = defaultdict(list)
    for request in requests:
        by_class[request.class_name].append(request)
    all_shares = []
    for name, members in sorted(by_class.items()):
        members.sort(key=lambda request: -request.size_kb)
        if not members[0].size_kb:
            continue
        largest_fraction = LARGEST_FRACTION if len(members) >= SMALL_CLASS_REQUESTS else SMALL_CLASS_FRACTION
        first = round(largest_fraction * len(members))
        second = round((largest_fraction + NEXT_FRACTION) * len(members))
        largest = members[:first]
        unserved = Counter(request.ends[-1] for request in largest if not request.is_served)
        all_shares.append(
            ClassShares(
                name,
                len(members),
                _served_share(members),
                _served_share(largest),
                _served_share(members[first:second]),
                unserved,
            )
        )
    return all_shares


def folder_shares(folder: Path) -> list[ClassShares]:
    """Return the shares of one day, from the proxies' logs in ``folder``."""
    lines = (line for path in sorted(folder.glob("*.log")) for line in path.read_text(errors="replace").splitlines())
    return shares_by_class(read_logs(lines).values())


def meets_requirement(day: str, shares_of_class: ClassShares) -> bool:
    """True if both bands of a class meet the requirement for ``day``."""
    return min(shares_of_class.ratios) >= (MIN_QUIET_DAY_RATIO if QUIET_DAY_MARK in day else MIN_OTHER_DAY_RATIO)


def _served_share_of_entry(entry: Any) -> float:
    counts = entry[0]
    return counts["served"] / counts["offered"] if counts["offered"] else 0.0


def report_shares(report: Any) -> list[tuple[str, ClassShares]]:
    """Return the shares of each day of a report of the bench, with the day's name.

    A day's ``largest`` has three entries for each class: its largest requests, the next fifth, and all requests.
    """
    all_shares = []
    for day in report["days"]:
        entries = day["largest"]
        count = len(entries) // 3
        for largest, following, whole in zip(
            entries[:count], entries[count : 2 * count], entries[2 * count :], strict=True
        ):
            served = _served_share_of_entry(whole)
            next_largest = _served_share_of_entry(following) if following[0]["offered"] else served
            class_shares = ClassShares(
                whole[0]["name"],
                int(whole[0]["offered"]),
                served,
                _served_share_of_entry(largest),
                next_largest,
                Counter(),
            )
            all_shares.append((day["name"], class_shares))
    return all_shares


def path_shares(path: Path) -> list[tuple[str, ClassShares]]:
    """Return the shares by day and class from a folder of logs or a report."""
    if path.is_dir():
        return [(path.name, class_shares) for class_shares in folder_shares(path)]
    return report_shares(json.loads(path.read_text()))


def report_line(day: str, shares_of_class: ClassShares) -> str:
    """Return the line of the output for one class and day."""
    shares = shares_of_class
    largest, following = shares.ratios
    why = ", ".join(f"{reason or '-'} {count}" for reason, count in shares.unserved.most_common())
    shares_text = f"served {shares.served:.2f}  largest {shares.largest:.2f} ({largest:.2f})"
    next_text = f"next {shares.next_largest:.2f} ({following:.2f})"
    return f"{day:34} {shares.class_name:12} {shares.requests:6} {shares_text}  {next_text}  largest unserved: {why}"


def main(names: Sequence[str]) -> int:
    """Print the shares of each folder or report and return the exit code."""
    if not names:
        print(__doc__, file=sys.stderr)
        return 2
    all_shares = [pair for name in names for pair in path_shares(Path(name))]
    for day, class_shares in all_shares:
        print(report_line(day, class_shares) + ("" if meets_requirement(day, class_shares) else "  UNDER THE TERM"))
    return 0 if all(meets_requirement(day, class_shares) for day, class_shares in all_shares) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
