"""A call to the change log: a response without an end, whose body is handed on as it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from beechslip.config import Address
from beechslip.platform.chunked_body import ChunkedBodyDecoder, ChunkedBodyError
from beechslip.platform.connection import connect_socket
from beechslip.platform.message_framing import frame_request
from beechslip.platform.responses import (
    HEAD_END,
    MAX_HEAD_BYTES,
    UnusableResponseError,
    body_framing,
    parse_response_head,
)
from beechslip.platform.watch_events import BadEventError

MAX_UNREAD_BYTES = 65_536  # received bytes that wait to be taken; beyond it the connection is not read
ENDLESS = 1 << 62  # bytes, of a body that has no limit
FINAL_STATUS = 200  # the least status that is not interim


class EventStream(asyncio.Protocol):
    """The connection of one call."""

    def __init__(self) -> None:
        """Create the protocol of a connection."""
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()  # of the head, or of the body as it is on the wire
        self._arrival = asyncio.Event()  # set when bytes have been received, or the connection has ended
        self._has_ended = False
        self._error: BaseException | None = None
        self._is_in_body = False
        self._remaining = ENDLESS  # bytes of the body that have not been taken
        self._decoder: ChunkedBodyDecoder | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; see ``asyncio.BaseProtocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until they are taken; see ``asyncio.Protocol``."""
        self._received += data
        if len(self._received) > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._arrival.set()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end; see ``asyncio.BaseProtocol``."""
        self._has_ended = True
        self._error = exc
        self._arrival.set()

    def send(self, message: bytes) -> None:
        """Send the request."""
        if self._transport is not None:
            self._transport.write(message)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they arrive, until its end.

        Raises OSError if the connection breaks, UnusableResponseError if the response can't be read, and
        BadEventError if its status is not 200.
        """
        while True:
            data = self.take_received()
            if data:
                yield data
            if not self._remaining or (self._decoder is not None and self._decoder.is_complete):
                return
            if not await self._wait_for_bytes():
                break
        if self._error is not None:
            raise self._error
        if not self._is_in_body:
            raise ConnectionResetError("the connection ended before the response's head was complete")

    async def _wait_for_bytes(self) -> bool:
        """Wait for more bytes. Return False if the connection has ended and all of them have been taken."""
        self._arrival.clear()
        if self._has_ended:
            return False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        await self._arrival.wait()
        return True

    def take_received(self) -> bytes:
        """Return the bytes of the body that have been received and not been taken; they may be none."""
        while not self._is_in_body:
            if not self._read_head():
                return b""
        return self._take_chunks(self._decoder) if self._decoder is not None else self._take_plain()

    def _read_head(self) -> bool:
        """Read a head from the received bytes. Return False if none is complete."""
        end = self._received.find(HEAD_END, 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._received) >= MAX_HEAD_BYTES:
                raise UnusableResponseError("the response head is too long")
            return False
        head = parse_response_head(bytes(self._received[:end]))
        del self._received[: end + len(HEAD_END)]
        if head.status < FINAL_STATUS:
            return True
        if head.status != FINAL_STATUS:
            raise BadEventError(f"unexpected status {head.status} of the change log: expected 200")
        self._begin_body(head.fields)
        return True

    def _begin_body(self, fields: dict[str, str]) -> None:
        self._is_in_body = True
        framing = body_framing(fields)
        if framing.is_chunked:
            self._decoder = ChunkedBodyDecoder(ENDLESS, MAX_HEAD_BYTES)
        elif framing.length is not None:
            self._remaining = framing.length

    def _take_plain(self) -> bytes:
        data = bytes(self._received[: self._remaining])
        self._received.clear()
        if self._remaining < ENDLESS:
            self._remaining -= len(data)
        return data

    def _take_chunks(self, decoder: ChunkedBodyDecoder) -> bytes:
        try:
            decoder.decode(self._received, len(self._received))
        except ChunkedBodyError as error:
            raise UnusableResponseError(str(error)) from None
        data = bytes(decoder.body)
        decoder.body.clear()
        return data


async def open_event_stream(address: Address, last_seq: int, timeout_s: float) -> EventStream:
    """Connect, and ask for the events after ``last_seq``. Raises OSError."""
    sock = await connect_socket(address, timeout_s)
    try:
        _, stream = await asyncio.get_running_loop().create_connection(EventStream, sock=sock)
    except BaseException:
        sock.close()
        raise
    fields = {"Host": str(address), "Last-Event-ID": str(last_seq), "Accept": "text/event-stream"}
    stream.send(frame_request("GET", "/changes", fields))
    return stream
