"""Frames every HTTP/1.1 message that leaves, so that its receiver and we agree on where it ends (RFC 9112). Pure.

No other module writes a head. A head states the length of the content behind it, and content can't be written behind
a head that states none.
"""

from __future__ import annotations

from collections.abc import Mapping

HTTP_VERSION = "HTTP/1.1"
LINE_END = "\r\n"
FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})
METHODS_WITH_CONTENT = frozenset({"PUT"})  # of the requests that we send
FIRST_FINAL_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304


class FramingError(ValueError):
    """A message that can't be written, because its receiver could see another message, or several."""


def frame_request(method: str, target: str, fields: Mapping[str, str], content: bytes = b"") -> bytes:
    """Return a request in its wire form.

    A method that has content states its length, also if it is 0. Raises FramingError if another method has content,
    or if the head would not be one.
    """
    if method in METHODS_WITH_CONTENT:
        return _head(f"{method} {target} {HTTP_VERSION}", fields, len(content)) + content
    if content:
        raise FramingError(f"a {method} request has no content, and {len(content)} bytes were given")
    return _head(f"{method} {target} {HTTP_VERSION}", fields, None)


def frame_response(
    status: int, reason: str, fields: Mapping[str, str], content: bytes = b"", *, is_for_head: bool = False
) -> tuple[bytes, bytes]:
    """Return the head of a response, and the content to be written right behind it.

    A status that has no content is written without any. So is a response to a HEAD request (``is_for_head``), which
    states the length that the content would have. Raises FramingError if the head would not be one.
    """
    has_content = status >= FIRST_FINAL_STATUS and status not in (NO_CONTENT, NOT_MODIFIED)
    head = _head(f"{HTTP_VERSION} {status} {reason}", fields, len(content) if has_content else None)
    return head, content if has_content and not is_for_head else b""


def _head(start_line: str, fields: Mapping[str, str], content_length: int | None) -> bytes:
    lines = [start_line]
    for name, value in fields.items():
        if name.lower() in FRAMING_FIELDS:
            raise FramingError(f"the field {name} is written by the framing alone")
        lines.append(f"{name}: {value}")
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    lines += ["", ""]
    head = LINE_END.join(lines)
    if not head.count("\r") == head.count("\n") == len(lines) - 1:
        raise FramingError("a start line or a field contains the end of a line")
    return head.encode("latin-1")
