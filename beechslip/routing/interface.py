"""Settings, events and actions of the routing decisions.

This module holds plain data without behaviour. Times are in seconds on a clock that only moves forward, sizes
are in KB, and a zero or an empty value means that the site does not state it. The components of
``beechslip/routing/router.py`` decide what follows from a value.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, TypeAlias

ListKind: TypeAlias = Literal["changes", "all", "remembered", "refused"]
"""What an endpoint list holds.

One of: changed entries, all entries, all entries from memory (possibly outdated), or a refused subscription.
"""


EndReason: TypeAlias = Literal[
    "", "shed", "no backend", "not cached", "deadline", "retries", "shutdown", "unknown class"
]
"""Why a request ends without an answer, for the log.

In this order: not stated, rejected for load, no backend to send it to, not cached while a fill was not
permitted, no time left, no further attempt permitted or useful, shutdown of the program, a class without a
rule.
"""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """The site's rule for one class of requests."""

    name: str
    latency_objective: float = 0.0  # an answer within this time earns the full priority weight
    latency_objective_stretch: float = 0.0  # the objective grows by this multiple of the transfer time
    deadline: float = 0.0  # the client's wait over all attempts
    priority_weight: float = 0.0  # value of an answer to the site, relative to other classes
    late_weight: float = 0.0  # fraction of the weight that a late answer earns
    effect: str = ""  # "safe", "keyed", or "unsafe"; anything else counts as unsafe
    group: str = ""  # keyed: which backends discard repeats ("all", "zone", "cell")
    window: float = 0.0  # keyed: for how long they discard them
    write: bool = False  # never cached; executed at the origin
    fresh: float = 0.0  # time for which a copy is fresh (0: no limit)
    grace: float = 0.0  # further time for which a stale copy may be served


@dataclass(frozen=True, slots=True)
class Settings:
    """What the site states to one instance. Fields without a unit in their name are seconds or counts."""

    me: int = 0  # number of this instance
    proxies: int = 0  # instances in the fleet, which share the parents and the origin
    zone: str = ""
    proxies_in_zone: int = 0  # instances that share the zone's caches
    classes: dict[str, ClassRule] = field(default_factory=dict)
    parent_kind: str = ""  # kind of the backends that supply the fills of caches
    origin_kind: str = ""  # kind of the one backend that has every object
    list_on_request: bool = False  # the endpoint list is sent only to subscribers
    poll_interval: float = 0.0  # the list counts as known after this time without a request for it
    tick: float = 0.0  # shortest time between two batches of events
    max_attempts: int = 0  # limit on the attempts of one request
    can_cancel: bool = False  # attempts can be cancelled
    can_health_check: bool = False  # backends answer health checks
    hedging: bool = False  # two attempts of a request may be in flight at once
    retry_after: bool = False  # rejections can state when the client may return
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    weights: str = ""  # meaning of a backend's weight: "nominal", "rough", "live", or ""
    slow_start_share: float = 0.0  # fraction of its capacity that a cache has just after its start
    slow_start_time: float = 0.0  # time until a started cache has its full capacity
    overload_multiple: float = 0.0  # multiple of its present capacity above which a cache collapses
    overload_window: float = 0.0  # time for which the multiple must be exceeded
    drain_grace: float = 0.0  # time after the notice from which a draining backend gets nothing new
    parent_slow_start_share: float = 0.0  # these three: the same for parents
    parent_slow_start_time: float = 0.0
    parent_overload_multiple: float = 0.0
    purge_propagation: float = 0.0  # time until a purge has reached every backend
    flow_kb_s: float = 0.0  # KB/s of one transfer to a client
    direct: bool = False  # parents and the origin accept attempts too
    joins: bool = False  # caches can join a request to a fill in progress
    siblings: str = ""  # which caches can supply a fill: "location", "any", or ""
    tells: str = ""  # what the notes of outcomes state: "all", "hit", or ""
    max_open_requests: int = 0  # limit on the open requests of an instance
    conn_idle: float = 0.0  # time after which idle connections to backends are closed
    reports: bool = False  # answers carry load reports


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    backend: str
    kind: str = ""
    zone: str = ""
    state: str = "ready"  # "ready", "draining", or "gone"
    weight: float = 0.0  # see Settings.weights
    cell: int = 0  # number of the small set of backends that share which keys they have seen
    started: float = 0.0  # clock time of its last start (0: long ago)


# Events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list or its changes."""

    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which must be answered exactly once."""

    request: str
    class_name: str
    object: str = ""
    part: int = 0  # number of the requested part of the object; each part is a copy of its own
    group: int = 0  # number of the group with which the object may be purged
    size_kb: float = 0.0
    time_left: float = 0.0  # time until the request must be answered
    repeat: bool = False
    conditional: bool = False  # the client has a copy, so the answer may need no bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    ``result`` is one of ok, error, full, timeout, connect_failed, reset, cancelled, moot and miss.
    ``note`` is one of hit, filled, filled_origin, joined, stale, source_refused, source_lost, source_lacks,
    no_place and origin_failed, or empty. ``finished`` is True if the request needs no further attempt.
    ``report`` is the load report that came with the answer, by the names of its figures.
    """

    request: str
    attempt: int
    backend: str
    result: str
    elapsed: float = 0.0
    finished: bool = False
    note: str = ""
    waited: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """How a health check ended; ``result`` is as in ``Outcome``, ``elapsed`` is in seconds."""

    backend: str
    result: str
    elapsed: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FirstByte:
    """An answer has started, so its attempt must not be cancelled any more."""

    request: str
    attempt: int
    backend: str


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left, so the request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class Purge:
    """An object was purged ``age`` seconds ago; with no object, the whole group was."""

    object: str = ""
    group: int = 0
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set earlier fires."""

    token: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on; open requests keep the rule of their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Quotas:
    """This instance's quotas of the fleet-wide limits. Limits without a quota are divided as before.

    Attributes:
        retries: the number of failing retries that may be made now (``None``: unknown).
        fills: by backend, the limit on attempts in flight to it and through it.
        cold: by backend in slow start, this instance's part of the backend's full capacity, in transfers at
            full speed.
    """

    retries: float | None = None
    fills: Mapping[str, float] = field(default_factory=dict)
    cold: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegionShares:
    """What the fleet sends to the backends of a region during a failover or its reversal.

    Attributes:
        shares: by backend, the fraction of the objects (0 to 1, in an order that is the same for all
            instances) that it may serve. A backend that is not named may serve all.
    """

    shares: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The program ends, and every open request must get its final answer now."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance of the tier."""

    sender: int
    body: bytes = b""


Event: TypeAlias = (
    EndpointList
    | Request
    | Outcome
    | HealthCheckResult
    | FirstByte
    | ClientGone
    | Purge
    | Timer
    | PeerMessage
    | SettingsChanged
    | Quotas
    | RegionShares
    | Shutdown
)

# Actions ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send a request to a backend and wait for ``timeout`` seconds at most.

    ``source`` fills a miss; if it is the backend itself, there is no fill. ``keep`` is the rank of the stored
    copy (0: none is stored). ``max_age`` limits the copy's age (0: the class's fresh time). ``join`` permits
    the backend to join the request to a fill in progress, and ``renew`` to renew a stale copy.
    """

    request: str
    backend: str
    source: str
    timeout: float
    keep: int = 0
    max_age: float = 0.0
    join: bool = False
    renew: bool = False
    cached_only: bool = False  # the source answers only from its cache


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RefusalDetail:
    """What a rejection was based on, for the log.

    Attributes:
        band: the request's size band within its class.
        deficit: the requests of the band that are owed to it (below 0: it is ahead of its guaranteed share).
        source: the source that would have filled the miss; empty if there was none.
        source_in_flight: the attempts in flight that name this source.
        source_limit: its concurrency limit.
        fill_fraction: the fraction of requests that may be filled, by density.
    """

    band: str
    deficit: float
    source: str = ""
    source_in_flight: int = 0
    source_limit: float = 0.0
    fill_fraction: float = 1.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected, and a retry is harmless after ``retry_after`` seconds (0: not stated)."""

    request: str
    retry_after: float = 0.0
    reason: EndReason = ""
    detail: RefusalDetail | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; it is not stated whether the request was executed."""

    request: str
    reason: EndReason = ""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send a health check to a backend."""

    backend: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a ``Timer`` event after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action: TypeAlias = Attempt | Cancel | Refuse | Fail | HealthCheck | SetTimer | Watch | Log
