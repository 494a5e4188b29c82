"""Settings, events and actions of the routing decisions.

Plain data without behaviour: times are seconds (the clock only moves forward), sizes are KB, and a
zero or an empty value means that the site does not state it. What follows from a value is decided by
the components of ``beechslip/routing/router.py``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, TypeAlias

ListKind: TypeAlias = Literal["changes", "all", "remembered", "refused"]
"""Changed entries, all entries, all entries as remembered (perhaps old), or a refused subscription."""


EndReason: TypeAlias = Literal[
    "", "shed", "no backend", "not cached", "deadline", "retries", "shutdown", "unknown class"
]
"""Why a request ends without an answer, for the log.

Rejected for load, no backend to send it to, not cached where a fill was not permitted, no time left, no
further attempt permitted or worth its while, the program ends, or a class without a rule.
"""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the site says of one class of request."""

    name: str
    latency_objective: float = 0.0  # answered within this earns the full priority weight
    latency_objective_stretch: float = 0.0  # it grows by this multiple of the transfer time
    deadline: float = 0.0  # the client's wait over all its attempts
    priority_weight: float = 0.0  # what an answer is worth to the site, relative to other classes
    late_weight: float = 0.0  # fraction of the weight that a late answer still earns
    effect: str = ""  # "safe", "keyed", or "unsafe"; anything else counts as unsafe
    group: str = ""  # keyed: which backends discard repeats ("all", "zone", "cell")
    window: float = 0.0  # keyed: for how long they do
    write: bool = False  # never cached; runs at the origin
    fresh: float = 0.0  # fresh time of a copy (0: no limit)
    grace: float = 0.0  # time past fresh in which a copy may still be served


@dataclass(frozen=True, slots=True)
class Settings:
    """What the site states to one instance; fields whose names end in no unit are seconds or counts."""

    me: int = 0  # number of this instance
    proxies: int = 0  # instances of the fleet, which share parents and the origin
    zone: str = ""
    proxies_in_zone: int = 0  # instances that share the zone's caches
    classes: dict[str, ClassRule] = field(default_factory=dict)
    parent_kind: str = ""  # kind of the backends that supply the caches' fills
    origin_kind: str = ""  # kind of the one backend that has every object
    list_on_request: bool = False  # the endpoint list is sent only to those that subscribe
    poll_interval: float = 0.0  # without a request for so long, the list of then is deemed known
    tick: float = 0.0  # batches of events come no more often
    max_attempts: int = 0  # attempts of one request
    can_cancel: bool = False  # attempts can be cancelled
    can_health_check: bool = False  # backends answer health checks
    hedging: bool = False  # two attempts of a request may be in flight
    retry_after: bool = False  # rejections can state when to return
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    weights: str = ""  # what a backend's weight means: "nominal", "rough", "live", or ""
    slow_start_share: float = 0.0  # fraction of its capacity that a cache gives when it has just started
    slow_start_time: float = 0.0  # until it gives all
    overload_multiple: float = 0.0  # of its present capacity, above which a cache collapses
    overload_window: float = 0.0  # for which it must be exceeded
    drain_grace: float = 0.0  # a draining backend gets nothing new from so long after the notice
    parent_slow_start_share: float = 0.0  # the same of parents
    parent_slow_start_time: float = 0.0
    parent_overload_multiple: float = 0.0
    purge_propagation: float = 0.0  # until a purge has reached every backend
    flow_kb_s: float = 0.0  # KB/s of one transfer to a client
    direct: bool = False  # parents and the origin take attempts too
    joins: bool = False  # caches can join a request to a fill in progress
    siblings: str = ""  # which caches can supply a fill: "location", "any", or ""
    tells: str = ""  # what the notes of outcomes state: "all", "hit", or ""
    max_open_requests: int = 0  # limit on the open requests of an instance
    conn_idle: float = 0.0  # idle connections to backends are closed after this
    reports: bool = False  # answers carry load reports


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend as the endpoint list names it."""

    backend: str
    kind: str = ""
    zone: str = ""
    state: str = "ready"  # "ready", "draining", or "gone"
    weight: float = 0.0  # see Settings.weights
    cell: int = 0  # the small set of backends that exchange which keys each has seen
    started: float = 0.0  # clock time of its last start (0: long ago)


# Events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list, or what has changed of it."""

    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, to be answered exactly once."""

    request: str
    class_name: str
    object: str = ""
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    time_left: float = 0.0
    repeat: bool = False
    conditional: bool = False  # the client has a copy: the answer may need no bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    ``result`` is one of ok, error, full, timeout, connect_failed, reset, cancelled, moot, and miss;
    ``note`` one of hit, filled, filled_origin, joined, stale, source_refused, source_lost,
    source_lacks, no_place, origin_failed, or empty.
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
    """How a health check ended; ``result`` as in ``Outcome``, ``elapsed`` in seconds."""

    backend: str
    result: str
    elapsed: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed answer has started: the client owns this attempt from now on."""

    request: str
    attempt: int
    backend: str


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left; the request needs no answer any longer."""

    request: str


@dataclass(frozen=True, slots=True)
class Purge:
    """An object (or, with no object, a whole group) was purged ``age`` seconds ago."""

    object: str = ""
    group: int = 0
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set earlier has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on; open requests keep the rule of their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Quotas:
    """This instance's quotas of the fleet-wide limits. What is not named is divided as before.

    ``retries``: retries in vain that may be made now (``None``: unknown). ``fills``: by backend, the most
    attempts in flight to and through it. ``cold``: by backend in slow start, this instance's part of the
    backend's full capacity (transfers at full pace).
    """

    retries: float | None = None
    fills: Mapping[str, float] = field(default_factory=dict)
    cold: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegionShares:
    """What the fleet sends to the backends of a region that it fails over from or back to.

    ``shares``: by backend, the part of the objects (0 to 1, in an order that all instances share) that may go
    there. A backend that is not named takes all.
    """

    shares: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The program ends: every open request is to have its final answer now."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another instance of the tier."""

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
    """Send a request to a backend, for ``timeout`` seconds at the most.

    ``source`` supplies a miss (the backend itself: no fill); ``keep`` is the rank of the copy (0: none);
    ``max_age`` limits the copy's age (0: the class's fresh time).
    """

    request: str
    backend: str
    source: str
    timeout: float
    keep: int = 0
    max_age: float = 0.0
    join: bool = False
    renew: bool = False
    cached_only: bool = False  # the source gives only what it has cached


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected, a retry does no harm; ``retry_after`` says when to come back."""

    request: str
    retry_after: float = 0.0
    reason: EndReason = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: str
    reason: EndReason = ""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send a health check to a backend."""

    backend: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``Timer`` event after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    text: str


Action: TypeAlias = Attempt | Cancel | Refuse | Fail | HealthCheck | SetTimer | Watch | Log
