"""Responses to clients: their fields and reasons. ``message_framing`` writes them. Pure."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from beechslip.platform.message_framing import frame_response

REASON_BY_STATUS = {
    100: "Continue",
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


def response_messages(response: HttpResponse, wall_ms: float, *, is_for_head: bool = False) -> tuple[bytes, bytes]:
    """Return a response as its head and the content to be written right behind it.

    ``wall_ms`` is the wall clock's time. A response to a HEAD request (``is_for_head``) is written without content.
    """
    fields = dict(response.fields)
    if response.content_type:
        fields["Content-Type"] = response.content_type
    fields["Date"] = _format_date(int(wall_ms // 1000.0))
    if response.closes_connection:
        fields["Connection"] = "close"
    reason = REASON_BY_STATUS.get(response.status, "")
    return frame_response(response.status, reason, fields, response.body, is_for_head=is_for_head)


CONTINUE_RESPONSE = frame_response(100, REASON_BY_STATUS[100], {})[0]
