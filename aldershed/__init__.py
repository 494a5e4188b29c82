"""aldershed: a router's decisions before tiers of caches with one origin behind them.

The root exports what users of the library need: ``Router`` and the types it takes and returns.
"""
from aldershed.interface import (
    Action,
    Attempt,
    Cancel,
    ClassRule,
    ClientGone,
    Event,
    Fail,
    FirstByte,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Purge,
    Refuse,
    Regions,
    Request,
    SetTimer,
    Settings,
    Shares,
    StoreEntry,
    StoreList,
    Timer,
    Watch,
)
from aldershed.logic import Router

__all__ = [
    "Action", "Attempt", "Cancel", "ClassRule", "ClientGone", "Event", "Fail", "FirstByte", "Log", "Outcome",
    "PeerMessage", "Probe", "ProbeResult", "Purge", "Refuse", "Regions", "Request", "Router", "SetTimer", "Settings",
    "Shares", "StoreEntry", "StoreList", "Timer", "Watch",
]
