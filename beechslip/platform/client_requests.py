"""Validation and parsing of clients' HTTP requests: pure functions from heads and bodies to ``ClientRequest``."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qsl, unquote

from beechslip.clock import to_ms
from beechslip.core.model import ClientRequest
from beechslip.routing.interface import ClassRule, Settings

MAX_REQUEST_BODY = 48_000  # bytes that a write may carry
MAX_WAIT_MS = 60_000.0  # no client waits longer; its class's deadline bounds it anyway
MAX_NAME = 512  # characters of an object's name
MAX_GROUP = 255  # of X-Set
# No request can be served whose transfer takes this many times the deadline of its class.
SIZE_SLACK = 10.0

# Fields that must not be repeated: the request's own, and those that say where it ends.
SINGLE_FIELDS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"req-id",
        b"req-wait-ms",
        b"req-token",
        b"x-set",
        b"req-kb",
        b"if-none-match",
    }
)

_ID = re.compile(r"[0-9a-f]{16}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
_INTEGER = re.compile(r"[0-9]{1,9}\Z")
_TOKEN = re.compile(r"[!-~]{1,128}\Z")
_ETAG = re.compile(r'(?:W/)?"([!#-~]{0,256})"\Z')


class BadRequestError(Exception):
    """A request that can't be served, with the HTTP status of its response."""

    def __init__(self, status: int, reason: str) -> None:
        """``reason`` goes to the log alone."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


def check_fields(fields: Iterable[tuple[bytes, bytes]]) -> None:
    """Reject a head that two parsers could understand differently; raises BadRequestError.

    Guards against request smuggling: one parser goes by Content-Length, the next by Transfer-Encoding, and what is
    body to one is a second request to the other. So with two lengths, and with two ids or keys, of which the backend
    might take the other one.
    """
    seen = set[bytes]()
    for name, value in fields:
        key = name.lower()
        if key not in SINGLE_FIELDS:
            continue
        if key in seen:
            raise BadRequestError(400, "a field is repeated")
        seen.add(key)
        if key == b"content-length" and not (value.isdigit() and len(value) <= 18):
            raise BadRequestError(400, "Content-Length can't be read")
        if key == b"transfer-encoding" and value.strip().lower() != b"chunked":
            raise BadRequestError(400, "Transfer-Encoding can't be read")
    if b"content-length" in seen and b"transfer-encoding" in seen:
        raise BadRequestError(400, "both Content-Length and Transfer-Encoding")


def parse_client_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes, arrived_ms: float, settings: Settings
) -> ClientRequest:
    """The request for ``/rpc/CLASS/OBJECT?slice=PART`` with its headers (PROTOCOL-beechslip.md).

    ``arrived_ms`` is when its last byte was received (of ``Clock.now_ms``). Raises BadRequestError.
    """
    path, _, query = target.partition("?")
    rule, name = _parse_path(path, settings)
    if method != ("PUT" if rule.write else "GET"):
        raise BadRequestError(405, "not a method of this class")
    part = dict(parse_qsl(query)).get("slice", "0")
    if not _INTEGER.match(part):
        raise BadRequestError(400, "slice can't be read")
    wait_ms = float(_field(headers, "Req-Wait-Ms", _NUMBER))
    if wait_ms > MAX_WAIT_MS:
        raise BadRequestError(400, "Req-Wait-Ms is out of range")
    size_kb = float(_field(headers, "Req-Kb", _NUMBER, "0"))
    if rule.deadline and size_kb > settings.flow_kb_s * rule.deadline * SIZE_SLACK > 0:
        raise BadRequestError(400, "Req-Kb is out of range")  # it would distort the decision module's mean sizes
    match = _ETAG.match(headers.get("If-None-Match", "").strip())
    group = int(_field(headers, "X-Set", _INTEGER, "0"))
    if group > MAX_GROUP:
        raise BadRequestError(400, "X-Set can't be read")
    return ClientRequest(
        id=_field(headers, "Req-Id", _ID),
        class_name=rule.name,
        object=name,
        part=int(part),
        group=group,
        size_kb=size_kb,
        wait_ms=min(wait_ms, to_ms(rule.deadline) or MAX_WAIT_MS),
        arrived_ms=arrived_ms,
        write=rule.write,
        body=body,
        idempotency_key=_field(headers, "Req-Token", _TOKEN, ""),
        etag=match.group(1) if match else "",
    )


def _parse_path(path: str, settings: Settings) -> tuple[ClassRule, str]:
    """The class and the object's name that a path names; raises BadRequestError."""
    pieces = path.split("/")
    if len(pieces) != 4 or pieces[:2] != ["", "rpc"]:
        raise BadRequestError(404, "no such resource")
    rule = settings.classes.get(unquote(pieces[2]))
    name = unquote(pieces[3])
    if rule is None or not name or not name.isprintable() or "/" in name or len(name) > MAX_NAME:
        raise BadRequestError(404, "no such class or object")
    return rule, name


def _field(headers: Mapping[str, str], name: str, form: re.Pattern[str], default: str | None = None) -> str:
    """A header's value in its form; without a default it is required."""
    value = headers.get(name, default)
    if value is None:
        raise BadRequestError(400, f"{name} is missing")
    if not form.match(value) and value != default:
        raise BadRequestError(400, f"{name} can't be read")
    return value
