"""Strict incremental parser of backends' HTTP/1.1 responses. A response that can't be proved complete is unusable.

aiohttp's client was measured first, and its parser has two faults. It drops a good response if noise follows in the
same read, so that a request which was executed is lost. It also takes a second copy for the next request's response.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

MAX_HEAD_BYTES = 16_384  # a status line with its fields
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
MAX_CHUNK_SIZE_LINE_BYTES = 64  # the line with a chunk's size
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\Z")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*\Z")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}\Z")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e]*)?\Z")
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
        self._body = bytearray()

    def feed(self, data: bytes) -> BackendResponse | None:
        """Add received bytes. Return the response once it is complete. Raises UnusableResponseError."""
        self._buffer += data
        while self._state is _ParserState.HEAD:
            head = self._take_head()
            if head is None:
                return None
            self._parse_head(head)
        if self._state is _ParserState.CHUNKED_BODY:
            return self._build_response() if self._parse_chunks() else None
        if len(self._buffer) < self._body_size:
            return None
        self._body = self._buffer[: self._body_size]
        del self._buffer[: self._body_size]
        return self._build_response()

    def _build_response(self) -> BackendResponse:
        return BackendResponse(
            self._status,
            self._fields,
            bytes(self._body),
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

    def _parse_head(self, head: bytes) -> None:
        first, *lines = head.split(LINE_END)
        match = _STATUS_LINE.match(first)
        if match is None:
            raise UnusableResponseError("the first line is not a status line")
        fields = _parse_fields(lines)
        status = int(match[2])
        if status < 200:
            self._interim_count += 1
            if status == 101 or self._interim_count > MAX_INTERIM_RESPONSES:
                raise UnusableResponseError("too many interim responses, or a switch of protocols")
            return
        self._status = status
        self._fields = fields
        self._is_persistent = match[1] == b"1" and "close" not in fields.get("connection", "").lower()
        self._parse_framing(status, fields)

    def _parse_framing(self, status: int, fields: dict[str, str]) -> None:
        """Determine where the body ends (RFC 9112, 6.3). Bodies that only end with the connection are rejected."""
        length = fields.get("content-length")
        coding = fields.get("transfer-encoding")
        if coding is not None:
            if length is not None or coding.lower() != "chunked":
                raise UnusableResponseError(
                    "the end of the body is ambiguous: expected Transfer-Encoding 'chunked' alone"
                )
            self._state = _ParserState.CHUNKED_BODY
            return
        if length is not None and (
            not _CONTENT_LENGTH.match(length.encode("latin-1")) or int(length) > self._max_body
        ):
            raise UnusableResponseError("the Content-Length is invalid or too large")
        self._state = _ParserState.SIZED_BODY
        if status in (204, 304):
            return
        if length is not None:
            self._body_size = int(length)
        elif status == 200:
            raise UnusableResponseError("the body has no length: only the end of the connection would end it")
        else:
            self._is_persistent = False

    def _parse_chunks(self) -> bool:
        """Move complete chunks to the body. Return True if the last chunk was among them."""
        while (end := self._buffer.find(LINE_END)) >= 0:
            match = _CHUNK_SIZE_LINE.match(self._buffer[:end])
            if match is None:
                raise UnusableResponseError("invalid chunk size line")
            size = int(match[1], 16)
            if len(self._body) + size > self._max_body:
                raise UnusableResponseError("the body is too long")
            begin = end + len(LINE_END)
            chunk_end = begin + size + len(LINE_END)
            if len(self._buffer) < chunk_end:
                return False
            if self._buffer[begin + size : chunk_end] != LINE_END:
                raise UnusableResponseError("a chunk does not end where its size says")
            self._body += self._buffer[begin : begin + size]
            del self._buffer[:chunk_end]
            if not size:  # trailers are not supported; they count as bytes after the response
                return True
        if len(self._buffer) > MAX_CHUNK_SIZE_LINE_BYTES:
            raise UnusableResponseError("the chunk size line is too long")
        return False


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
