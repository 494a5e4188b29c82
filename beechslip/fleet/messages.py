"""Peer messages as dataclasses; :mod:`beechslip.fleet.codec` encodes them into datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# Kinds of message of the membership protocol. Other packages have their own: ``codec.MESSAGE_KINDS`` lists all.
PING = "ping"
ACK = "ack"
PING_REQ = "ping-req"
REPORT = "report"


class MemberState(IntEnum):
    """The state of a member. At the same incarnation a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Gossip about one member: ``member`` is in ``state`` at ``incarnation``.

    ``by`` is the member that accuses it, if the state is suspect.
    """

    member: str
    incarnation: int
    state: MemberState
    by: str = ""


@dataclass(frozen=True, slots=True)
class DutyReport:
    """Report that a duty was done: ``prober`` did ``duty`` at ``at_ms`` (by its own clock) with result ``ok``.

    ``owner`` is True if the prober did it as the owner of the duty in its view, False if as a standby taking over.
    """

    duty: str
    prober: str
    at_ms: float
    ok: bool
    owner: bool = True


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """The content of one datagram.

    ``kind`` is one of ``codec.MESSAGE_KINDS``. ``target`` is the member that a ping-req or its ack is about. ``seq``
    pairs a ping with its ack. ``updates`` and ``reports`` are piggybacked (the duty layer fills ``reports``).
    ``body`` is the encoded message of another package, which only that package reads.
    """

    kind: str
    sender: str
    seq: int
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    reports: tuple[DutyReport, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A message and the member to send it to."""

    to: str
    message: PeerMessage
