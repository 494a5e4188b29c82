"""The messages to the engine, as ``Engine.post`` takes them from fronts, the change log and the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from beechslip.core.model import AttemptExecutor, Backend, ClientRequest, ResponseSink
from beechslip.routing.interface import Settings


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request, with what carries out its attempts and what takes its final response."""

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
    """The complete endpoint list, live or as remembered in the configuration, or the changes to it."""

    kind: Literal["all", "changes", "remembered"]
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on; requests that are open keep the rule of their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The process exits soon: every open request is to have its final response now."""


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """An object, or with no object a group, was purged."""

    object: str
    group: int
    time_ms: float  # Unix ms by the clock of the change log's machine
