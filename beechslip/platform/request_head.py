"""Heads of clients' requests: what they ask for, and where their bodies end. Parsed by llhttp (``httptools``)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import httptools

from beechslip.platform.request_form import BadRequestError, check_content, check_header_fields

MAX_FIELDS = 128
# The names, in lower case, of the fields that frame a body.
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
# The fields that are used, by their names in lower case. All others are dropped.
USED_FIELDS = {
    b"expect": "Expect",
    b"if-none-match": "If-None-Match",
    b"req-id": "Req-Id",
    b"req-kb": "Req-Kb",
    b"req-token": "Req-Token",
    b"req-wait-ms": "Req-Wait-Ms",
    b"x-set": "X-Set",
}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A parsed head. ``fields`` holds those of ``USED_FIELDS``, by their names as the protocol page writes them."""

    method: str
    target: str
    fields: dict[str, str] = field(default_factory=dict)
    content_length: int = 0
    is_chunked: bool = False
    keeps_connection: bool = True

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query of the target."""
        return self.target.partition("?")[2]

    @property
    def has_body(self) -> bool:
        """True if a body follows the head."""
        return self.is_chunked or self.content_length > 0

    @property
    def expects_continue(self) -> bool:
        """True if the client waits for an interim response before it sends the body."""
        return self.fields.get("Expect", "").lower() == "100-continue"


class _HeadCollector:
    """Takes the parser's callbacks."""

    def __init__(self) -> None:
        self.url = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.message_count = 0

    def on_message_begin(self) -> None:
        self.message_count += 1

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.fields) >= MAX_FIELDS:
            raise BadRequestError(400, "too many header fields")
        self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        self.is_complete = True


def parse_head(head: bytes) -> RequestHead:
    """Parse a head, its empty line included. Raises BadRequestError if it has no form that is served."""
    collector = _HeadCollector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade:
        pass  # the connection stays with HTTP/1.1, which the protocol permits
    except httptools.HttpParserCallbackError as error:
        raise _cause_of(error) from None
    except httptools.HttpParserError as error:
        raise BadRequestError(400, f"the request can't be parsed: {error}") from None
    if not collector.is_complete or collector.message_count != 1:
        raise BadRequestError(400, "the head does not end at its empty line")
    version = parser.get_http_version()
    if not version.startswith("1."):
        raise BadRequestError(400, "unsupported version of HTTP: expected HTTP/1.1")
    fields = collector.fields
    check_header_fields(fields)
    framing = {name.lower(): value for name, value in fields if name.lower() in (CONTENT_LENGTH, TRANSFER_ENCODING)}
    method = parser.get_method().decode("ascii")
    content_length = int(framing.get(CONTENT_LENGTH, b"0"))
    is_chunked = TRANSFER_ENCODING in framing
    check_content(method, version, content_length, is_chunked=is_chunked)
    return RequestHead(
        method,
        _decode_target(collector.url),
        _used_fields(fields),
        content_length,
        is_chunked,
        parser.should_keep_alive() and version == "1.1",
    )


def _cause_of(error: httptools.HttpParserCallbackError) -> BadRequestError:
    cause = error.__context__
    return cause if isinstance(cause, BadRequestError) else BadRequestError(400, "the request can't be parsed")


def _decode_target(url: bytes) -> str:
    try:
        return url.decode("utf-8")
    except UnicodeDecodeError:
        raise BadRequestError(400, "the target is not valid UTF-8") from None


def _used_fields(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the fields that are used. Of a repeated one the first counts."""
    used = dict[str, str]()
    for name, value in fields:
        known_name = USED_FIELDS.get(name.lower())
        if known_name is not None:
            used.setdefault(known_name, value.decode("latin-1"))
    return used


def may_have_body(head: bytes) -> bool:
    """Return False if the head has no field that could announce a body, without parsing it."""
    lowered = head.lower()
    return CONTENT_LENGTH in lowered or TRANSFER_ENCODING in lowered
