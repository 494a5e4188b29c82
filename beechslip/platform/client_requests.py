"""Parse clients' HTTP requests, by pure functions from heads and bodies to ``ClientRequest``.

The form of a request, which decides where it ends, is checked by ``request_form`` before.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import parse_qsl, unquote

from beechslip.clock import to_ms
from beechslip.core.model import ClientRequest
from beechslip.platform.request_form import BadRequestError
from beechslip.routing.interface import ClassRule, Settings

MAX_CLIENT_WAIT_MS = 60_000.0  # the longest wait that a client may ask for; its class's deadline bounds it anyway
MAX_OBJECT_NAME_LENGTH = 512  # characters
MAX_GROUP_NUMBER = 255  # largest value of X-Set
# A request whose transfer takes more than this many times the deadline of its class can't be served.
MAX_TRANSFER_TO_DEADLINE_RATIO = 10.0

_ID = re.compile(r"[0-9a-f]{16}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
_INTEGER = re.compile(r"[0-9]{1,9}\Z")
_TOKEN = re.compile(r"[!-~]{1,128}\Z")
_ETAG = re.compile(r'(?:W/)?"([!#-~]{0,256})"\Z')


def parse_client_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes, arrived_ms: float, settings: Settings
) -> ClientRequest:
    """Parse a request for ``/rpc/CLASS/OBJECT?slice=PART`` with its headers (PROTOCOL-beechslip.md).

    ``arrived_ms`` is when its last byte was received (of ``Clock.now_ms``). Raises BadRequestError.
    """
    path, _, query = target.partition("?")
    rule, name = _parse_path(path, settings)
    if method != ("PUT" if rule.write else "GET"):
        raise BadRequestError(405, "method not allowed: expected PUT for a class of writes and GET for other classes")
    part = dict(parse_qsl(query)).get("slice", "0")
    if not _INTEGER.match(part):
        raise BadRequestError(400, "invalid slice: expected an integer of at most 9 digits")
    wait_ms = float(_parse_field(headers, "Req-Wait-Ms", _NUMBER))
    if wait_ms > MAX_CLIENT_WAIT_MS:
        raise BadRequestError(400, "Req-Wait-Ms is out of range: it exceeds the longest wait that is allowed")
    size_kb = float(_parse_field(headers, "Req-Kb", _NUMBER, "0"))
    if rule.deadline and size_kb > settings.flow_kb_s * rule.deadline * MAX_TRANSFER_TO_DEADLINE_RATIO > 0:
        # Such a size would distort the router's mean transfer times.
        raise BadRequestError(400, "Req-Kb is out of range: its transfer would far exceed the deadline")
    match = _ETAG.match(headers.get("If-None-Match", "").strip())
    group = int(_parse_field(headers, "X-Set", _INTEGER, "0"))
    if group > MAX_GROUP_NUMBER:
        raise BadRequestError(400, "X-Set is out of range: it exceeds the largest group number")
    return ClientRequest(
        id=_parse_field(headers, "Req-Id", _ID),
        class_name=rule.name,
        object=name,
        part=int(part),
        group=group,
        size_kb=size_kb,
        wait_ms=min(wait_ms, to_ms(rule.deadline) or MAX_CLIENT_WAIT_MS),
        arrived_ms=arrived_ms,
        write=rule.write,
        body=body,
        idempotency_key=_parse_field(headers, "Req-Token", _TOKEN, ""),
        etag=match.group(1) if match else "",
    )


def _parse_path(path: str, settings: Settings) -> tuple[ClassRule, str]:
    """Return the class and the object's name given in a path. Raises BadRequestError."""
    pieces = path.split("/")
    if len(pieces) != 4 or pieces[:2] != ["", "rpc"]:
        raise BadRequestError(404, "unknown resource: expected /rpc/CLASS/OBJECT")
    rule = settings.classes.get(unquote(pieces[2]))
    name = unquote(pieces[3])
    if rule is None or not name or not name.isprintable() or "/" in name or len(name) > MAX_OBJECT_NAME_LENGTH:
        raise BadRequestError(404, "unknown class, or invalid object name: expected a printable name without '/'")
    return rule, name


def _parse_field(headers: Mapping[str, str], name: str, form: re.Pattern[str], default: str | None = None) -> str:
    """Return a header's value if it matches ``form``. Without a default, the header is required."""
    value = headers.get(name, default)
    if value is None:
        raise BadRequestError(400, f"missing header {name}")
    if not form.match(value) and value != default:
        raise BadRequestError(400, f"invalid value of header {name}")
    return value
