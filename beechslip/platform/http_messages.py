"""Responses to clients in their wire form (RFC 9112). Pure."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_BY_STATUS = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
NOT_MODIFIED = 304


@dataclass(slots=True)
class HttpResponse:
    """A response to a client. The connection ends with it if ``closes_connection`` is set."""

    status: int
    fields: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    content_type: str = ""
    closes_connection: bool = False


def text_response(status: int, text: str) -> HttpResponse:
    """Return a response with a text as its body."""
    return HttpResponse(status, body=text.encode(), content_type="text/plain; charset=utf-8")


@lru_cache(maxsize=1)
def _format_date(unix_s: int) -> str:
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime(unix_s))


def response_head(response: HttpResponse, wall_ms: float) -> bytes:
    """Return the head of a response, its empty line included. ``wall_ms`` is the wall clock's time."""
    lines = [f"HTTP/1.1 {response.status} {REASON_BY_STATUS.get(response.status, '')}"]
    lines += [f"{name}: {value}" for name, value in response.fields.items()]
    if response.status != NOT_MODIFIED:
        lines.append(f"Content-Length: {len(response.body)}")
    if response.content_type:
        lines.append(f"Content-Type: {response.content_type}")
    lines.append(f"Date: {_format_date(int(wall_ms // 1000.0))}")
    if response.closes_connection:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
