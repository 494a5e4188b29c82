"""Strict incremental parser of backends' HTTP/1.1 responses. A response that can't be proved complete is unusable.

aiohttp's client was measured first, and its parser has two faults. It drops a good response if noise follows in the
same read, so that a request which was executed is lost. It also takes a second copy for the next request's response.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from io import BytesIO

from beechslip.platform.chunked_body import ChunkedBodyDecoder, ChunkedBodyError

MAX_HEAD_BYTES = 16_384  # a status line with its fields
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\Z")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*\Z")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}\Z")
# These fields must not be repeated, because it would be ambiguous which value counts.
_UNREPEATABLE_FIELDS = frozenset(
    {"content-length", "transfer-encoding", "x-digest", "x-stamp", "x-result", "x-declined"}
)


class UnusableResponseError(Exception):
    """A response that can't be parsed, or can't be proved complete. Its request may have been executed."""


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A complete response. The names in ``fields`` are in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes
    # True if no further bytes followed the response and the backend keeps the connection open.
    is_connection_reusable: bool


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """A status with its fields, whose names are in lower case. ``is_persistent``: the connection stays open."""

    status: int
    fields: dict[str, str]
    is_persistent: bool


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How the end of a body is told: in bytes, by chunks, or (``None``) by the end of the connection alone."""

    length: int | None
    is_chunked: bool


class _ParserState(Enum):
    """What the parser reads next."""

    HEAD = auto()
    SIZED_BODY = auto()
    CHUNKED_BODY = auto()


class ResponseParser:
    """Parses one response.

    1xx responses before it are skipped. If bytes follow the response, its connection is not reusable.
    """

    def __init__(self, max_body: int) -> None:
        """Create a parser that treats a response with more than ``max_body`` bytes of body as unusable."""
        self._max_body = max_body
        self._state = _ParserState.HEAD
        self._buffer = bytearray()
        self._interim_count = 0
        self._status = 0
        self._fields = dict[str, str]()
        self._is_persistent = True
        self._body_size = 0  # set in state SIZED_BODY
        self._sized_body = BytesIO()  # its content becomes the response's body without a copy
        self._chunks: ChunkedBodyDecoder | None = None  # set in state CHUNKED_BODY

    def feed(self, data: bytes | bytearray | memoryview) -> BackendResponse | None:
        """Add received bytes. Return the response once it is complete. Raises UnusableResponseError."""
        if self._state is _ParserState.SIZED_BODY:
            return self._parse_sized_body(data)
        self._buffer += data
        while self._state is _ParserState.HEAD:
            head = self._take_head()
            if head is None:
                return None
            self._parse_head(head)
        if self._chunks is not None:
            return self._parse_chunked_body(self._chunks)
        received, self._buffer = self._buffer, bytearray()
        return self._parse_sized_body(received)

    @property
    def is_head_complete(self) -> bool:
        """True if the head has been received, so that ``expected_body_bytes`` is known."""
        return self._state is not _ParserState.HEAD

    @property
    def expected_body_bytes(self) -> int:
        """The most bytes of the body that is being received; 0 if the head is not complete."""
        return self._max_body if self._chunks is not None else self._body_size

    @property
    def held_bytes(self) -> int:
        """The bytes that are kept of the response."""
        chunked_bytes = len(self._chunks.body) if self._chunks is not None else 0
        return len(self._buffer) + chunked_bytes + self._sized_body.tell()

    def _parse_sized_body(self, data: bytes | bytearray | memoryview) -> BackendResponse | None:
        missing_bytes = self._body_size - self._sized_body.tell()
        with memoryview(data) as received:
            self._sized_body.write(received[:missing_bytes])
            self._buffer += received[missing_bytes:]
        if self._sized_body.tell() < self._body_size:
            return None
        return self._build_response(self._sized_body.getvalue())

    def _parse_chunked_body(self, chunks: ChunkedBodyDecoder) -> BackendResponse | None:
        try:
            chunks.decode(self._buffer, len(self._buffer))
        except ChunkedBodyError as error:
            raise UnusableResponseError(str(error)) from None
        return self._build_response(bytes(chunks.body)) if chunks.is_complete else None

    def _build_response(self, body: bytes) -> BackendResponse:
        return BackendResponse(
            self._status,
            self._fields,
            body,
            is_connection_reusable=self._is_persistent and not self._buffer,
        )

    def _take_head(self) -> bytes | None:
        """Remove a complete head from the buffer and return it without its final empty line."""
        end = self._buffer.find(HEAD_END)
        if end > MAX_HEAD_BYTES or (end < 0 and len(self._buffer) > MAX_HEAD_BYTES):
            raise UnusableResponseError("the response head is too long")
        if end < 0:
            # Reject a first line that can't become a status line without waiting for the rest of it.
            if len(self._buffer) >= 5 and not self._buffer.startswith(b"HTTP/"):
                raise UnusableResponseError("the first line is not a status line")
            return None
        head = bytes(self._buffer[:end])
        del self._buffer[: end + len(HEAD_END)]
        return head

    def _parse_head(self, raw_head: bytes) -> None:
        head = parse_response_head(raw_head)
        if head.status < 200:
            self._interim_count += 1
            if head.status == 101 or self._interim_count > MAX_INTERIM_RESPONSES:
                raise UnusableResponseError("too many interim responses, or a switch of protocols")
            return
        self._status = head.status
        self._fields = head.fields
        self._is_persistent = head.is_persistent
        self._parse_framing(head.status, head.fields)

    def _parse_framing(self, status: int, fields: dict[str, str]) -> None:
        """Determine where the body ends (RFC 9112, 6.3). Bodies that only end with the connection are rejected."""
        framing = body_framing(fields)
        if framing.is_chunked:
            self._state = _ParserState.CHUNKED_BODY
            self._chunks = ChunkedBodyDecoder(self._max_body)  # trailers are not supported
            return
        if framing.length is not None and framing.length > self._max_body:
            raise UnusableResponseError("the Content-Length is too large")
        self._state = _ParserState.SIZED_BODY
        if status in (204, 304):
            return
        if framing.length is not None:
            self._body_size = framing.length
        elif status == 200:
            raise UnusableResponseError("the body has no length: only the end of the connection would end it")
        else:
            self._is_persistent = False


def body_framing(fields: Mapping[str, str]) -> BodyFraming:
    """Return how the body of a response with these fields, in lower case, is framed.

    Raises UnusableResponseError if that is ambiguous.
    """
    length = fields.get("content-length")
    coding = fields.get("transfer-encoding")
    if coding is not None and (length is not None or coding.lower() != "chunked"):
        raise UnusableResponseError("the end of the body is ambiguous: expected Transfer-Encoding 'chunked' alone")
    if length is None:
        return BodyFraming(None, is_chunked=coding is not None)
    if not _CONTENT_LENGTH.match(length.encode("latin-1")):
        raise UnusableResponseError("the Content-Length is invalid")
    return BodyFraming(int(length), is_chunked=False)


def parse_response_head(raw_head: bytes) -> ResponseHead:
    """Parse a status line with its fields, without the empty line at their end. Raises UnusableResponseError."""
    first, *lines = raw_head.split(LINE_END)
    match = _STATUS_LINE.match(first)
    if match is None:
        raise UnusableResponseError("the first line is not a status line")
    fields = _parse_fields(lines)
    is_persistent = match[1] == b"1" and "close" not in fields.get("connection", "").lower()
    return ResponseHead(int(match[2]), fields, is_persistent)


def _parse_fields(lines: list[bytes]) -> dict[str, str]:
    fields = dict[str, str]()
    for line in lines:
        field = _FIELD_LINE.match(line)
        if field is None:
            raise UnusableResponseError("invalid header field")
        name = field[1].decode("ascii").lower()
        if name in fields and name in _UNREPEATABLE_FIELDS:
            raise UnusableResponseError(f"the header field {name} is repeated")
        fields[name] = field[2].decode("latin-1")
    return fields
