"""Conversion of actions to wire messages."""

from __future__ import annotations

from typing import assert_never

from beechslip.routing import interface as i
from beechslip.routing.wire.fields import Message

# Bits of the member "mode".
MODE_JOIN = 1
MODE_CACHED_ONLY = 2
MODE_RENEW = 8


def write_action(proxy: int, action: i.Action) -> Message:
    """Return the message for an action of the instance ``proxy``; a limit of 0 is written as null."""
    event_type, members = _write(action)
    return {"event_type": event_type, "proxy": proxy, **members}


def _write(action: i.Action) -> tuple[str, Message]:
    match action:
        case i.Attempt():
            return "GET", _write_attempt(action)
        case i.SetTimer(delay, token):
            return "DEFER", {"fromNow": delay, "keyBack": token}
        case i.Refuse(request, retry_after):
            return "OVERLOAD_REPLY", {"txn": request, "backoff": retry_after or None}
        case i.Fail(request):
            return "RESPOND_ERROR", {"txn": request}
        case i.Cancel(request, attempt):
            return "RECALL", {"txn": request, "n": attempt}
        case i.HealthCheck(backend):
            return "SOUND_OUT", {"store": backend}
        case i.Watch():
            return "KEEP_INFORMED", {"want": True}
        case i.Log(line):
            return "NOTE_DOWN", {"bodyText": line}
        case _:
            assert_never(action)


def _write_attempt(action: i.Attempt) -> Message:
    mode = MODE_JOIN * action.join + MODE_CACHED_ONLY * action.cached_only + MODE_RENEW * action.renew
    return {
        "txn": action.request,
        "store": action.backend,
        "supplier": action.source,
        "maxWait": action.timeout or None,
        "retain": action.keep,
        "copyAge": action.max_age or None,
        "mode": mode,
    }
