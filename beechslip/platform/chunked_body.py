"""Incremental decoder of the chunked transfer coding (RFC 9112, 7.1), for requests and responses alike. Pure."""

from __future__ import annotations

import re

MAX_CHUNK_SIZE_LINE_BYTES = 64  # the line with a chunk's size
LINE_END = b"\r\n"

_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e]*)?\Z")


class ChunkedBodyError(Exception):
    """A body that is not in chunked coding, or exceeds a limit."""


class BodyTooLongError(ChunkedBodyError):
    """A body that is longer than allowed."""


class ChunkedBodyDecoder:
    """Moves the bytes of chunks from a buffer of received bytes to a body."""

    def __init__(self, max_body: int, max_trailer: int = 0, *, keep_body: bool = True) -> None:
        """Create a decoder for a body of at most ``max_body`` bytes. Without ``keep_body`` they are only counted.

        The fields after the last chunk are dropped; they may have ``max_trailer`` bytes.
        """
        self.body = bytearray()
        self._max_body = max_body
        self._max_trailer = max_trailer
        self._keep_body = keep_body
        self._body_size = 0
        self._chunk_remaining = 0  # bytes of the current chunk that have not been received
        self._is_in_chunk = False  # a chunk's size is known, and its end has not been reached
        self._is_in_trailer = False
        self._trailer_bytes = 0
        self.is_complete = False

    def decode(self, buffer: bytearray, max_steps: int) -> int:
        """Remove complete pieces from the front of ``buffer``; return the number of steps, at most ``max_steps``.

        A step is a chunk or a line. Fewer steps than ``max_steps`` mean that the buffer has no complete piece left.
        Raises ChunkedBodyError.
        """
        steps = 0
        position = 0
        while steps < max_steps and not self.is_complete:
            end = self._decode_piece(buffer, position)
            if end == position:
                break
            position = end
            steps += 1
        del buffer[:position]
        return steps

    def _decode_piece(self, buffer: bytearray, start: int) -> int:
        """Decode the piece at ``start``. Return where it ends, or ``start`` if it is not complete."""
        if self._is_in_chunk:
            return self._decode_chunk(buffer, start)
        if self._is_in_trailer:
            return self._decode_trailer_line(buffer, start)
        return self._decode_size_line(buffer, start)

    def _decode_size_line(self, buffer: bytearray, start: int) -> int:
        end = buffer.find(LINE_END, start, start + MAX_CHUNK_SIZE_LINE_BYTES + len(LINE_END))
        if end < 0:
            if len(buffer) - start > MAX_CHUNK_SIZE_LINE_BYTES:
                raise ChunkedBodyError("the chunk size line is too long")
            return start
        match = _CHUNK_SIZE_LINE.match(buffer, start, end)
        if match is None:
            raise ChunkedBodyError("invalid chunk size line")
        size = int(match[1], 16)
        self._body_size += size
        if self._body_size > self._max_body:
            raise BodyTooLongError("the body is too long")
        self._chunk_remaining = size
        self._is_in_chunk = size > 0
        self._is_in_trailer = size == 0
        return end + len(LINE_END)

    def _decode_chunk(self, buffer: bytearray, start: int) -> int:
        """Take what has been received of a chunk, and its end once it has been received."""
        taken = min(self._chunk_remaining, len(buffer) - start)
        if self._keep_body:
            self.body += buffer[start : start + taken]
        self._chunk_remaining -= taken
        end = start + taken
        if self._chunk_remaining or len(buffer) - end < len(LINE_END):
            return end
        if not buffer.startswith(LINE_END, end):
            raise ChunkedBodyError("a chunk does not end where its size says")
        self._is_in_chunk = False
        return end + len(LINE_END)

    def _decode_trailer_line(self, buffer: bytearray, start: int) -> int:
        end = buffer.find(LINE_END, start)
        size = (end if end >= 0 else len(buffer) - buffer.endswith(LINE_END[:1])) - start
        if self._trailer_bytes + size > self._max_trailer:
            raise ChunkedBodyError("the trailer section is too long")
        if end < 0:
            return start
        self._trailer_bytes += size
        self.is_complete = size == 0
        return end + len(LINE_END)
