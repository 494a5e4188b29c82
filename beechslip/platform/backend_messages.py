"""The requests to backends and their responses as pure functions: attempts to bytes, responses to results."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import quote

from beechslip.core.model import AttemptRequest, AttemptResult, Payload

MAX_RESPONSE_BODY = 240_000  # bytes of an object
MAX_STATS = 16  # values of a load report

# The notes of X-Result in the decision module's words.
NOTES = {
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
# Which notes the decision module may see, by the site's setting ``tells``.
VISIBLE_NOTES = {
    "all": frozenset(NOTES.values()),
    "hit": frozenset({"hit", "filled", "joined", "stale"}),
    "": frozenset[str](),
}
# The fields of X-Stats in the module's words. X-Stats names them as the settings do: a site may say `util`
# or `cpu` for the same figure, and a word that is missing here would hide it from the module.
STATS = {"util": "busy", "cpu": "busy", "inflight": "held", "active": "held", "x0": "hit_share", "x1": "link"}

_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
_DIGEST = re.compile(r"[!#-~]{1,256}\Z")
_TIMESTAMP = re.compile(r"[0-9]{1,15}\Z")


def attempt_target(attempt: AttemptRequest) -> str:
    """The path that an attempt requests of its backend."""
    call = attempt.client_request
    return f"/data/{quote(call.class_name, safe='')}/{quote(call.object, safe='')}/{call.part}"


def attempt_headers(attempt: AttemptRequest, wait_ms: float) -> dict[str, str]:
    """The header fields of an attempt that may last ``wait_ms`` more; what has no value is left out."""
    call = attempt.client_request
    headers = {"X-Trace": call.id, "X-Patience": str(max(int(wait_ms), 1))}
    if call.idempotency_key:
        headers["X-Op-Key"] = call.idempotency_key
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
    if call.etag:
        headers["X-Validator"] = call.etag
    return headers


def attempt_message(attempt: AttemptRequest, wait_ms: float) -> bytes:
    """An attempt's request in its wire form, with ``wait_ms`` as the time that the backend has."""
    call = attempt.client_request
    fields = {"Host": attempt.backend.address} | attempt_headers(attempt, wait_ms)
    if call.write:
        fields["Content-Length"] = str(len(call.body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    method = "PUT" if call.write else "GET"
    return f"{method} {attempt_target(attempt)} HTTP/1.1\r\n{head}\r\n".encode() + call.body


def parse_load_report(text: str) -> dict[str, float]:
    """A load report, as ``inflight:7;util:0.61``, in the module's words; what can't be read is skipped."""
    report = dict[str, float]()
    for item in text.split(";"):
        name, _, value = item.partition(":")
        if _NUMBER.match(value.strip()) and len(report) < MAX_STATS:
            report[STATS.get(name.strip(), name.strip())] = float(value)
    return report


def parse_backend_response(
    status: int, fields: Mapping[str, str], body: bytes, visible_notes: str, requested_tag: str, write: bool
) -> AttemptResult:
    """The result of an attempt that got this complete response; ``fields`` by names in lower case.

    ``visible_notes`` is the site's setting ``tells``; ``requested_tag`` that of the copy which the client has.
    """
    report = parse_load_report(fields.get("x-stats", ""))
    note = NOTES.get(fields.get("x-result", ""), "")
    note = note if note in VISIBLE_NOTES.get(visible_notes, frozenset()) else ""
    not_executed = fields.get("x-declined") == "1"
    if status == 200 or (status == 304 and requested_tag and not write):
        return _success(status, fields, body, requested_tag, write, note, report)
    if status == 404:
        return AttemptResult("miss", note, report)
    if status == 503 and not_executed:
        return AttemptResult("full", note, report)
    if status == 504 and not_executed:
        return AttemptResult("moot", note, report)
    return AttemptResult("error", note, report)


def _success(
    status: int,
    fields: Mapping[str, str],
    body: bytes,
    requested_tag: str,
    write: bool,
    note: str,
    report: dict[str, float],
) -> AttemptResult:
    """The result of a 200 or 304: "spoilt" where it does not identify its copy."""
    tag = fields.get("x-digest", "")
    identified = _DIGEST.match(tag) and _TIMESTAMP.match(fields.get("x-stamp", ""))
    if not write and not identified:  # writes leave no copy, so their responses need not identify one
        return AttemptResult("spoilt")
    if status == 200:
        return AttemptResult("ok", note, report, Payload(body, tag))
    if tag != requested_tag:  # it names another copy than the client has
        return AttemptResult("spoilt")
    return AttemptResult("ok", note, report, Payload(b"", tag, is_not_modified=True))
