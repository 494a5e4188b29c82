"""Assembles clients' requests from received bytes, and keeps a partial one as the raw bytes that it has. Pure.

A request is handed on once its last byte has been received, with its head still raw; only heads that may announce a
body are parsed before. What is too large or can't be framed is refused as soon as that is known.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from beechslip.platform.chunked_body import BodyTooLongError, ChunkedBodyDecoder, ChunkedBodyError
from beechslip.platform.request_form import MAX_REQUEST_BODY_BYTES, BadRequestError
from beechslip.platform.request_head import RequestHead, may_have_body, parse_head

MAX_HEAD_BYTES = 16_384
MAX_TRAILER_BYTES = 2_048  # fields after a chunked body, which are dropped
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
STEPS_PER_HEAD = 4  # the work for a head, where that for a chunk of a body is 1
REQUEST_OVERHEAD_BYTES = 40  # memory of a waiting request beyond its bytes


@dataclass(slots=True)
class WholeRequest:
    """A request that has been received completely."""

    raw_head: bytes
    parsed_head: RequestHead | None  # None if the head has not been parsed yet
    body: bytes
    received_ms: float  # when its last byte was received
    is_dropped: bool = False  # its body has not been kept, so that it can only be refused

    @property
    def held_bytes(self) -> int:
        """The memory that it takes until it is handled."""
        return len(self.raw_head) + len(self.body) + REQUEST_OVERHEAD_BYTES

    def head(self) -> RequestHead:
        """Return the parsed head. Raises BadRequestError."""
        if self.parsed_head is None:
            self.parsed_head = parse_head(self.raw_head)
        return self.parsed_head


class BadStreamError(Exception):
    """Bytes that are no request. ``complete_requests`` are those before them."""

    def __init__(self, error: BadRequestError, complete_requests: list[WholeRequest]) -> None:
        """Wrap the ``error`` that says what is wrong with the bytes."""
        super().__init__(str(error))
        self.error = error
        self.complete_requests = complete_requests


class RequestAssembler:
    """Turns the bytes of one connection into whole requests."""

    __slots__ = (
        "_body",
        "_buffer",
        "_chunks",
        "_head",
        "_keeps_body",
        "_raw_head",
        "_remaining",
        "_searched",
    )

    def __init__(self, keeps_body: Callable[[RequestHead], bool]) -> None:
        """Ask ``keeps_body`` before a body is received whether it is kept; if not, its request can only be refused.

        ``keeps_body`` may raise BadRequestError.
        """
        self._keeps_body = keeps_body
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer in which no head ends
        self._raw_head = b""
        self._head: RequestHead | None = None  # of the request whose body is being received
        self._body: bytearray | None = None  # None if it is not kept
        self._remaining = 0  # bytes of a body of a stated length that have not been received
        self._chunks: ChunkedBodyDecoder | None = None

    @property
    def has_partial_request(self) -> bool:
        """True if a part of a request has been received."""
        return bool(self._buffer) or self._head is not None

    @property
    def expected_body_bytes(self) -> int:
        """The most bytes of the body that is being received and kept; 0 if there is none."""
        if self._head is None or self._body is None:
            return 0
        return MAX_REQUEST_BODY_BYTES if self._head.is_chunked else self._head.content_length

    @property
    def held_bytes(self) -> int:
        """The bytes that are kept of the partial request."""
        body = self._chunks.body if self._chunks is not None else self._body
        return len(self._buffer) + len(self._raw_head) + (len(body) if body is not None else 0)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drop the partial request."""
        self._buffer = bytearray()
        self._end_request()

    def advance(self, max_steps: int, received_ms: float) -> tuple[list[WholeRequest], bool]:
        """Return the requests that are complete now, and whether more work is left after ``max_steps`` of it.

        ``received_ms`` is when the last bytes were received. Raises BadStreamError, after which nothing more may be
        fed.
        """
        complete = list[WholeRequest]()
        steps = max_steps
        try:
            while steps > 0:
                request, used_steps = self._assemble(steps, received_ms)
                steps -= used_steps
                if request is not None:
                    complete.append(request)
                elif not used_steps:
                    return complete, False
        except BadRequestError as error:
            raise BadStreamError(error, complete) from None
        return complete, True

    def _assemble(self, max_steps: int, received_ms: float) -> tuple[WholeRequest | None, int]:
        """Make progress with the current request. Return it if it is complete, and the steps that this took."""
        if self._head is not None:
            return self._receive_body(max_steps, received_ms)
        raw_head = self._take_head()
        if raw_head is None:
            return None, 0
        if not may_have_body(raw_head):
            return WholeRequest(raw_head, None, b"", received_ms), STEPS_PER_HEAD
        head = parse_head(raw_head)
        if not head.has_body:
            return WholeRequest(raw_head, head, b"", received_ms), STEPS_PER_HEAD
        self._begin_body(raw_head, head, keep_body=self._keeps_body(head))
        return None, STEPS_PER_HEAD

    def _take_head(self) -> bytes | None:
        """Remove a complete head from the buffer, its empty line included."""
        buffer = self._buffer
        while buffer.startswith(LINE_END):  # RFC 9112, 2.2: empty lines before a request are ignored
            del buffer[: len(LINE_END)]
        end = buffer.find(HEAD_END, max(self._searched - len(HEAD_END), 0), MAX_HEAD_BYTES)
        if end < 0:
            if len(buffer) >= MAX_HEAD_BYTES:
                raise BadRequestError(400, "the head is too long")
            self._searched = len(buffer)
            return None
        end += len(HEAD_END)
        head = bytes(buffer[:end])
        del buffer[:end]
        self._searched = 0
        return head

    def _begin_body(self, raw_head: bytes, head: RequestHead, *, keep_body: bool) -> None:
        self._raw_head = raw_head
        self._head = head
        self._body = bytearray() if keep_body else None
        if head.is_chunked:
            self._chunks = ChunkedBodyDecoder(MAX_REQUEST_BODY_BYTES, MAX_TRAILER_BYTES, keep_body=keep_body)
        else:
            self._remaining = head.content_length

    def _receive_body(self, max_steps: int, received_ms: float) -> tuple[WholeRequest | None, int]:
        if self._chunks is None:
            return self._receive_sized_body(received_ms)
        try:
            steps = self._chunks.decode(self._buffer, max_steps)
        except BodyTooLongError as error:
            raise BadRequestError(413, str(error)) from None
        except ChunkedBodyError as error:
            raise BadRequestError(400, f"reading the body failed: {error}") from None
        if not self._chunks.is_complete:
            return None, steps
        return self._complete_request(bytes(self._chunks.body), received_ms), max(steps, 1)

    def _receive_sized_body(self, received_ms: float) -> tuple[WholeRequest | None, int]:
        taken = min(self._remaining, len(self._buffer))
        if self._body is not None:
            with memoryview(self._buffer) as received, received[:taken] as part:
                self._body += part
        del self._buffer[:taken]
        self._remaining -= taken
        if self._remaining:
            return None, 0
        return self._complete_request(bytes(self._body or b""), received_ms), 1

    def _complete_request(self, body: bytes, received_ms: float) -> WholeRequest:
        request = WholeRequest(self._raw_head, self._head, body, received_ms, is_dropped=self._body is None)
        self._end_request()
        return request

    def _end_request(self) -> None:
        self._searched = 0
        self._raw_head = b""
        self._head = self._body = self._chunks = None
