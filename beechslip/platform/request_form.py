"""Which requests have a form that is served: the owner of the rules on framing and on content. Pure.

Every front asks this module when it has parsed a head, before it keeps any content. A request that it rejects ends
its connection, because it is not certain where the request ends. What a field means to a class of requests is decided
by ``client_requests``.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_REQUEST_BODY_BYTES = 48_000  # largest body that a write may carry
# Methods whose requests may have content. Content of any other has no meaning (RFC 9110, 9.3.1), and a backend that
# takes no content for a read would take it for a request of its own.
METHODS_WITH_CONTENT = frozenset({"PUT", "POST"})
UNEXPECTED_CONTENT_COUNTER = "bad_request.content"

# Fields that must not be repeated: those that the request needs, and those that determine where it ends.
UNREPEATABLE_FIELDS = frozenset(
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


class BadRequestError(Exception):
    """A request that can't be served, with the HTTP status of its response."""

    def __init__(self, status: int, reason: str, counter: str = "") -> None:
        """Create an error. ``reason`` is only written to the log; ``counter`` is counted beside ``bad_request``."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.counter = counter


def check_header_fields(fields: Iterable[tuple[bytes, bytes]]) -> None:
    """Reject a head that two parsers could interpret differently. Raises BadRequestError.

    This guards against request smuggling. If one parser uses Content-Length and the next Transfer-Encoding, what is
    body to one is a second request to the other. The same holds for two lengths. With two ids or keys, the backend
    might use the other one.
    """
    seen = set[bytes]()
    for name, value in fields:
        key = name.lower()
        if key not in UNREPEATABLE_FIELDS:
            continue
        if key in seen:
            raise BadRequestError(400, "a header field is repeated that may occur once")
        seen.add(key)
        if key == b"content-length" and not (value.isdigit() and len(value) <= 18):
            raise BadRequestError(400, "invalid Content-Length: expected an integer of at most 18 digits")
        if key == b"transfer-encoding" and value.strip().lower() != b"chunked":
            raise BadRequestError(400, "invalid Transfer-Encoding: expected 'chunked'")
    if b"content-length" in seen and b"transfer-encoding" in seen:
        raise BadRequestError(400, "both Content-Length and Transfer-Encoding are given: expected one of them")


def check_content(method: str, http_version: str, content_length: int, *, is_chunked: bool) -> None:
    """Reject a request that states content where none belongs, or too much of it. Raises BadRequestError.

    ``content_length`` is 0 if the head states none. A chunked body is content even if it turns out to be empty.
    """
    if is_chunked and http_version != "1.1":
        raise BadRequestError(400, "Transfer-Encoding in a version of HTTP that has none", UNEXPECTED_CONTENT_COUNTER)
    if (is_chunked or content_length) and method not in METHODS_WITH_CONTENT:
        raise BadRequestError(400, f"unexpected content of a {method} request", UNEXPECTED_CONTENT_COUNTER)
    if content_length > MAX_REQUEST_BODY_BYTES:
        raise BadRequestError(413, "the body is too long")
