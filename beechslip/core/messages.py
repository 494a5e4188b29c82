"""The messages that front ends, the change log and the process pass to ``Engine.post``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from beechslip.core.model import AttemptExecutor, Backend, ClientRequest, ResponseSink
from beechslip.routing.interface import Settings


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request was received; it comes with its attempt executor and its response sink."""

    client_request: ClientRequest
    executor: AttemptExecutor
    response_sink: ResponseSink


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client behind this response sink has closed its connection."""

    id: str
    response_sink: ResponseSink


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, live or as remembered in the configuration, or changes to the list."""

    kind: Literal["all", "changes", "remembered"]
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings hold from now on; requests that are open keep the rule of their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The process exits soon: every open request must get its final response now."""


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """An object was purged or, if ``object`` is empty, a whole group."""

    object: str
    group: int
    time_ms: float  # the time of the purge: Unix ms by the clock of the change log's machine
