"""Pure functions that format the requests to backends and interpret their responses."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import quote

from beechslip.core.model import AttemptRequest, AttemptResult, Payload
from beechslip.platform.message_framing import frame_request

MAX_RESPONSE_BODY_BYTES = 240_000  # largest object that is accepted
MAX_LOAD_REPORT_VALUES = 16  # values read from one load report

# The values of X-Result, each with the note that the router uses for it.
NOTE_BY_X_RESULT = {
    "local": "hit",
    "pulled": "filled",
    "pulled_far": "filled_origin",
    "rode": "joined",
    "expired": "stale",
    "turned_away": "source_refused",
    "cut_off": "source_lost",
    "not_there": "source_lacks",
    "no_place": "no_place",
    "far_fault": "origin_failed",
}
# The notes that the router may see, by the site's setting ``tells``.
VISIBLE_NOTES_BY_SETTING = {
    "all": frozenset(NOTE_BY_X_RESULT.values()),
    "hit": frozenset({"hit", "filled", "joined", "stale"}),
    "": frozenset[str](),
}
# The names of X-Stats, each with the name that the router uses for it. X-Stats names the figures as the settings do:
# a site may say `util` or `cpu` for the same figure. A name that is missing here would hide the figure from the
# router.
LOAD_REPORT_NAMES = {
    "util": "busy",
    "cpu": "busy",
    "inflight": "held",
    "active": "held",
    "x0": "hit_share",
    "x1": "link",
}

_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
_DIGEST = re.compile(r"[!#-~]{1,256}\Z")
_TIMESTAMP = re.compile(r"[0-9]{1,15}\Z")


def attempt_target(attempt: AttemptRequest) -> str:
    """Return the path that an attempt requests from its backend."""
    request = attempt.client_request
    return f"/data/{quote(request.class_name, safe='')}/{quote(request.object, safe='')}/{request.part}"


def attempt_headers(attempt: AttemptRequest, wait_ms: float) -> dict[str, str]:
    """Return the header fields of an attempt that may last ``wait_ms`` more. Fields without a value are left out."""
    request = attempt.client_request
    headers = {"X-Trace": request.id, "X-Patience": str(max(int(wait_ms), 1))}
    if request.idempotency_key:
        headers["X-Op-Key"] = request.idempotency_key
    if attempt.source:
        headers["X-Next-Hop"] = attempt.source
    if attempt.keep:
        headers["X-Admit"] = str(attempt.keep)
    if attempt.max_age_ms > 0:
        headers["X-Age-Cap"] = str(max(int(attempt.max_age_ms), 1))  # 0 would mean the class's fresh time
    flags = (("share", attempt.join), ("peek", attempt.cached_only), ("swr", attempt.renew))
    hints = [word for word, enabled in flags if enabled]
    if hints:
        headers["X-Hints"] = "+".join(hints)
    if request.etag:
        headers["X-Validator"] = request.etag
    return headers


def attempt_request_bytes(attempt: AttemptRequest, wait_ms: float) -> bytes:
    """Return an attempt's request in its wire form. ``wait_ms`` is the time that the backend has.

    Raises FramingError if the request is none that a backend could read as this one alone.
    """
    request = attempt.client_request
    fields = {"Host": attempt.backend.address} | attempt_headers(attempt, wait_ms)
    return frame_request("PUT" if request.write else "GET", attempt_target(attempt), fields, request.body)


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a load report such as ``inflight:7;util:0.61`` into the router's names. Invalid items are skipped."""
    report = dict[str, float]()
    for item in text.split(";"):
        name, _, value = item.partition(":")
        if _NUMBER.match(value.strip()) and len(report) < MAX_LOAD_REPORT_VALUES:
            report[LOAD_REPORT_NAMES.get(name.strip(), name.strip())] = float(value)
    return report


def parse_backend_response(
    status: int, fields: Mapping[str, str], body: bytes, visible_notes: str, requested_tag: str, write: bool
) -> AttemptResult:
    """Return the result of an attempt that received this complete response. Names in ``fields`` are in lower case.

    ``visible_notes`` is the site's setting ``tells``. ``requested_tag`` is the tag of the copy that the client has.
    """
    report = parse_load_report(fields.get("x-stats", ""))
    note = NOTE_BY_X_RESULT.get(fields.get("x-result", ""), "")
    note = note if note in VISIBLE_NOTES_BY_SETTING.get(visible_notes, frozenset()) else ""
    not_executed = fields.get("x-declined") == "1"
    if status == 200 or (status == 304 and requested_tag and not write):
        return _success_result(status, fields, body, requested_tag, write, note, report)
    if status == 404:
        return AttemptResult("miss", note, report)
    if status == 503 and not_executed:
        return AttemptResult("full", note, report)
    if status == 504 and not_executed:
        return AttemptResult("moot", note, report)
    return AttemptResult("error", note, report)


def _success_result(
    status: int,
    fields: Mapping[str, str],
    body: bytes,
    requested_tag: str,
    write: bool,
    note: str,
    report: dict[str, float],
) -> AttemptResult:
    """Return the result of a 200 or 304. It is "spoilt" if the response does not identify its copy."""
    tag = fields.get("x-digest", "")
    identified = _DIGEST.match(tag) and _TIMESTAMP.match(fields.get("x-stamp", ""))
    if not write and not identified:  # writes leave no copy, so their responses need not identify one
        return AttemptResult("spoilt")
    if status == 200:
        return AttemptResult("ok", note, report, Payload(body, tag))
    if tag != requested_tag:  # the response names another copy than the one that the client has
        return AttemptResult("spoilt")
    return AttemptResult("ok", note, report, Payload(b"", tag, is_not_modified=True))
