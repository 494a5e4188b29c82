"""Settings of the membership protocol: times and bounds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTuning:
    """Times in ms. The defaults suit a fleet of hundreds of members on one site, with a period of half a second."""

    period_ms: float = 500.0
    ack_timeout_ms: float = 150.0
    extra_pings: int = 2  # further pings in the same period if no ack arrives: cheaper than a false suspicion
    indirect: int = 3  # members that are asked to ping a silent one
    suspect_ms: float = 1500.0  # how long a peer stays suspect if `accusers` further members accuse it
    suspect_most_ms: float = 6000.0  # how long a peer stays suspect if a single member accuses it
    accusers: int = 3
    max_piggybacked: int = 5  # updates in a message; the codec drops those that exceed 256 bytes beside reports
    retransmit_factor: float = 3.0
    max_members: int = 4096
    forget_ms: float = 60_000.0
    rejoin_interval_periods: int = 4  # periods between two pings to members taken for dead
    gossip_interval_ms: float = 250.0  # interval of messages that carry only updates, while updates are queued
    gossip_fanout: int = 2  # members that receive such a message each time
    max_gossip_updates: int = 9  # updates in such a message
