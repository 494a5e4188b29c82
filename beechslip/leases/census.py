"""The fleet-wide census: one member collects the versions and settings digests of all, and publishes them.

The holder of the lease sends a request to each member, a few in each step. A member's answer (the ``TAKEN`` of an
act) contains its version and the digest of its settings. When all members have been requested and ``wait_ms`` has
passed, the holder publishes the entries under the same token, one chunk in each step. A member that receives a chunk
with a higher token drops the entries of the lower one.

Bounds: there is one entry for each declared member. A chunk has at most ``ENTRIES_PER_CHUNK`` entries, which fit a
datagram of 256 bytes. This module does no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from enum import Enum, auto
from typing import NamedTuple

from beechslip.leases.messages import ActMessage, ActMessageKind
from beechslip.leases.tasks import OutgoingAct, OutgoingActs

TASK_NAME = "census"
REQUEST_MARKER = b"?"  # the body of a request for a member's entry
CHUNK_MARKER = b"!"  # the first byte of a chunk
ENTRY_FORMAT = struct.Struct("!H8sI")  # the member's number, its version, the digest of its settings
CHUNK_HEADER_FORMAT = struct.Struct("!cHH")  # marker, number of entries in all chunks, index of the first one here
MAX_VERSION_BYTES = 8
ENTRIES_PER_CHUNK = 10
REQUESTS_PER_STEP = 16


class _Phase(Enum):
    IDLE = auto()
    REQUESTING = auto()
    PUBLISHING = auto()


class MemberEntry(NamedTuple):
    """The version of a member and the digest of its settings (32 bits)."""

    version: str
    digest: int


class Census:
    """The census task of one member: its own entry, the entries it collects as holder, and those published to it."""

    name = TASK_NAME

    def __init__(
        self,
        me: str,
        other_members: Callable[[], Sequence[str]],
        version_and_digest: Callable[[], tuple[str, int]],
        every_ms: float,
        wait_ms: float = 500.0,
    ) -> None:
        """Start with nothing published.

        ``other_members`` returns the names of the other members, and ``version_and_digest`` the version and settings
        digest of this one. A census begins ``every_ms`` after the previous one was published, and waits ``wait_ms``
        for the last answers.
        """
        self.me = me
        self.every_ms = every_ms
        self.wait_ms = wait_ms
        self.published_entries: dict[int, MemberEntry] = {}  # by member number, as published last
        self.token = 0  # the token of the census published last
        self.holder = ""  # the member that published it
        self.missing_count = 0  # number of its entries not received yet
        self._other_members = other_members
        self._version_and_digest = version_and_digest
        self._collected_entries: dict[int, tuple[bytes, int]] = {}  # by member number: packed version, digest
        self._members_to_request: list[str] = []
        self._chunks_to_publish: list[bytes] = []
        self._phase = _Phase.IDLE
        self._due_ms = 0.0
        self._tenure_token = 0  # the token of this member's own tenure
        self._seq = 0

    def handle_answer(self, now_ms: float, sender: str, message: ActMessage) -> None:
        """Store a member's entry if it belongs to this tenure and is that of the sender."""
        if (
            message.verb is ActMessageKind.TAKEN
            and message.token == self._tenure_token
            and len(message.body) == ENTRY_FORMAT.size
        ):
            number, version, digest = ENTRY_FORMAT.unpack(message.body)
            if f"d{number}" == sender:
                self._collected_entries[number] = (version, digest)

    def execute(self, now_ms: float, sender: str, message: ActMessage) -> bytes:
        """Answer a request with this member's entry, or store a published chunk. A malformed body is ignored."""
        body = message.body
        if body[:1] == REQUEST_MARKER:
            return self._own_entry()
        if (
            body[:1] == CHUNK_MARKER
            and len(body) >= CHUNK_HEADER_FORMAT.size
            and (len(body) - CHUNK_HEADER_FORMAT.size) % ENTRY_FORMAT.size == 0
        ):
            self._store_chunk(sender, message.token, body)
        return b""

    def _store_chunk(self, sender: str, token: int, body: bytes) -> None:
        _, total, first = CHUNK_HEADER_FORMAT.unpack_from(body)
        if (token, sender) != (self.token, self.holder) or first == 0:
            self.published_entries = {}
        self.token = token
        self.holder = sender
        for number, version, digest in ENTRY_FORMAT.iter_unpack(body[CHUNK_HEADER_FORMAT.size :]):
            text = version.rstrip(b"\0").decode("ascii", "replace")
            self.published_entries[number] = MemberEntry(text, digest)
        self.missing_count = max(0, total - len(self.published_entries))

    def step(self, now_ms: float, token: int) -> OutgoingActs:
        """Return the requests to some members or the next chunk to publish, if due."""
        if token != self._tenure_token:  # a new tenure: a census of an earlier one is not continued
            self._tenure_token = token
            self._phase = _Phase.IDLE
            self._due_ms = now_ms
        if now_ms < self._due_ms:
            return []
        if self._phase is _Phase.IDLE:
            self._start_census(now_ms)
        if self._phase is _Phase.REQUESTING:
            return self._request_batch(now_ms)
        return self._publish_chunk(now_ms)

    def _start_census(self, now_ms: float) -> None:
        self._phase = _Phase.REQUESTING
        self._members_to_request = list(self._other_members())
        self._collected_entries = {}
        self.handle_answer(
            now_ms, self.me, ActMessage(TASK_NAME, self._tenure_token, 0, ActMessageKind.TAKEN, self._own_entry())
        )

    def _request_batch(self, now_ms: float) -> OutgoingActs:
        batch = self._members_to_request[:REQUESTS_PER_STEP]
        self._members_to_request = self._members_to_request[REQUESTS_PER_STEP:]
        if not self._members_to_request:
            self._phase = _Phase.PUBLISHING
            self._due_ms = now_ms + self.wait_ms
            self._chunks_to_publish = []
        return [OutgoingAct(to, self._act_message(REQUEST_MARKER)) for to in batch]

    def _publish_chunk(self, now_ms: float) -> OutgoingActs:
        if not self._chunks_to_publish:
            self._chunks_to_publish = self._make_chunks()
        chunk = self._chunks_to_publish.pop(0)
        self.execute(now_ms, self.me, self._act_message(chunk))
        if not self._chunks_to_publish:
            self._phase = _Phase.IDLE
            self._due_ms = now_ms + self.every_ms
        return [OutgoingAct(to, self._act_message(chunk)) for to in self._other_members()]

    def _make_chunks(self) -> list[bytes]:
        entries = [
            ENTRY_FORMAT.pack(number, *self._collected_entries[number]) for number in sorted(self._collected_entries)
        ]
        return [
            CHUNK_HEADER_FORMAT.pack(CHUNK_MARKER, len(entries), first)
            + b"".join(entries[first : first + ENTRIES_PER_CHUNK])
            for first in range(0, len(entries), ENTRIES_PER_CHUNK)
        ]

    def state(self) -> dict[str, object]:
        """Return the entries published last, for the operators' page."""
        return {
            "token": self.token,
            "holder": self.holder,
            "missing": self.missing_count,
            "members": {
                f"d{number}": {"version": entry.version, "settings": f"{entry.digest:08x}"}
                for number, entry in sorted(self.published_entries.items())
            },
        }

    def _own_entry(self) -> bytes:
        version, digest = self._version_and_digest()
        return ENTRY_FORMAT.pack(int(self.me[1:]), version.encode("ascii", "replace")[:MAX_VERSION_BYTES], digest)

    def _act_message(self, body: bytes) -> ActMessage:
        self._seq += 1
        return ActMessage(TASK_NAME, self._tenure_token, self._seq, ActMessageKind.ACT, body)
