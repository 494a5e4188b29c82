"""Simulates proxies before caches and parents whose links are shared by their transfers, in virtual time.

The routers are those that proxies run; clients, backends and the network are simulated, so that a run of half a
minute takes about a second, and equal plans and seeds give equal results. Times are in seconds, and the work of a
transfer is its duration at the full rate. The real counterpart is ``tests/test_served_by_size.py``.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from beechslip.routing import Router
from beechslip.routing import interface as i
from beechslip.routing.state import AttemptKey
from bench.service_by_size import RequestRecord

NETWORK_DELAY_S = 0.001  # s from a proxy to a backend, and back
DEADLINE_MARGIN_S = 0.008  # s by which a proxy's deadline precedes that of its client
DIAL_TIMEOUT_S = 0.4  # s until an attempt at a backend that can't be reached fails
MIN_WORK_S = 1e-9  # s; a transfer with less left has completed
CLIENT_RETRIES = 2  # further requests of a client that retries after a rejection


class SimulatedLink:
    """A link that carries ``capacity`` transfers at the full rate; if there are more, they share it equally."""

    def __init__(self, simulation: LinkSimulation, capacity: float) -> None:
        """Create an idle link of a simulation."""
        self.capacity = capacity
        self.slowdown = 1.0  # factor by which each transfer takes longer
        self._simulation = simulation
        self._transfers: dict[int, tuple[float, Callable[[], None]]] = {}  # work at which each ends, and its callback
        self._ends: list[tuple[float, int]] = []
        self._work_done = 0.0  # by each transfer that has been on the link from the start, s
        self._updated_at = 0.0
        self._version = 0

    def __len__(self) -> int:
        """Return the number of transfers in progress."""
        return len(self._transfers)

    @property
    def rate(self) -> float:
        """The work of each transfer in a second."""
        return min(1.0, self.capacity / max(len(self._transfers), 1)) / self.slowdown

    def start(self, number: int, work: float, on_done: Callable[[], None]) -> None:
        """Start a transfer of ``work`` seconds at the full rate."""
        self._update()
        self._transfers[number] = (self._work_done + work, on_done)
        heapq.heappush(self._ends, (self._work_done + work, number))
        self._schedule()

    def cancel(self, number: int) -> None:
        """Remove a transfer, if it is still in progress."""
        self._update()
        if self._transfers.pop(number, None) is not None:
            self._schedule()

    def set_slowdown(self, factor: float) -> None:
        """Slow down or speed up the link, its transfers in progress included."""
        self._update()
        self.slowdown = factor
        self._schedule()

    def _update(self) -> None:
        now = self._simulation.now
        self._work_done += (now - self._updated_at) * self.rate
        self._updated_at = now

    def _schedule(self) -> None:
        self._version += 1
        while self._ends and self._ends[0][1] not in self._transfers:
            heapq.heappop(self._ends)
        if self._ends:
            delay = max(self._ends[0][0] - self._work_done, 0.0) / self.rate
            self._simulation.call_in(delay, partial(self._finish_next, self._version))

    def _finish_next(self, version: int) -> None:
        if version != self._version:
            return
        self._update()
        finished = []
        while self._ends and self._ends[0][0] <= self._work_done + MIN_WORK_S:
            entry = self._transfers.pop(heapq.heappop(self._ends)[1], None)
            if entry is not None:
                finished.append(entry[1])
        self._schedule()
        for on_done in finished:
            on_done()


class SimulatedBackend:
    """A cache, a parent or the origin; parents and the origin hold every object."""

    def __init__(self, simulation: LinkSimulation, name: str, kind: str, zone: str, capacity: float) -> None:
        """Create a backend with an empty cache."""
        self.name = name
        self.entry = i.Endpoint(name, kind, zone)
        self.link = SimulatedLink(simulation, capacity)
        self.is_cache = kind == CACHE_KIND
        self.copies: set[str] = set()
        self.is_down = False
        self.is_hung = False


CACHE_KIND = "small"
PARENT_KIND = "parent"
ORIGIN_KIND = "origin"
CACHE_ZONE = "east"
HUB_ZONE = "hub"


@dataclass(frozen=True)
class SizeRange:
    """A part of a class's objects: up to which quantile, with the shortest and longest transfer time."""

    top_quantile: float
    shortest_s: float
    longest_s: float


DEFAULT_SIZES = (SizeRange(0.7, 0.02, 0.08), SizeRange(0.9, 0.15, 0.3), SizeRange(1.0, 0.5, 0.8))


@dataclass(frozen=True)
class ClassLoad:
    """The requests of one class: its rule, the fraction of all requests, the client's wait, and the sizes."""

    rule: i.ClassRule
    fraction: float = 1.0
    wait_s: float = 1.6
    sizes: tuple[SizeRange, ...] = DEFAULT_SIZES
    has_sizes: bool = True  # whether requests state their size


WAVEFORM = i.ClassRule(
    "waveform",
    latency_objective=0.4,
    latency_objective_stretch=2.0,
    deadline=6.0,
    priority_weight=2.0,
    late_weight=0.1,
    effect="safe",
    group="all",
)


@dataclass(frozen=True)
class Fault:
    """A change of the simulated world at a time in seconds.

    ``kind`` is one of "lose copies", "slow", "down", "hang", "restart proxy" and "crowd". ``target`` names a backend,
    or the kind of several, or the number of a proxy. ``amount`` is the fraction of the copies that are lost, the
    slowdown, or the multiple of the load.
    """

    at_s: float
    kind: str
    target: str = ""
    amount: float = 1.0
    duration_s: float = 0.0


@dataclass(frozen=True)
class Plan:
    """The backends, the load and the faults of one run."""

    proxies: int = 3
    caches: int = 2
    cache_link: float = 6.0
    parents: int = 1
    parent_link: float = 2.0
    origin_link: float = 2.0
    cached_fraction: float = 0.3
    load_factor: float = 0.9  # relative to the capacity of the caches' links
    duration_s: float = 24.0
    objects: int = 400
    classes: tuple[ClassLoad, ...] = (ClassLoad(WAVEFORM),)
    tells: str = "hit"
    has_reports: bool = True
    joins: bool = True  # the setting; backends join requests to fills if ``backends_join`` is set
    backends_join: bool = False
    direct: bool = True
    clients_retry: bool = False
    faults: tuple[Fault, ...] = ()


@dataclass(eq=False)
class SimulatedAttempt:
    """An attempt that has reached, or will reach, its backend."""

    number: int
    proxy: int
    key: AttemptKey
    action: i.Attempt
    sent_at: float
    open_links: list[SimulatedLink] = field(default_factory=list)
    note: str = ""
    is_ended: bool = False


@dataclass(eq=False)
class SimulatedRequest:
    """A client's request at a proxy."""

    name: str
    load: ClassLoad
    record: RequestRecord
    proxy: int
    object: str
    retries_left: int
    attempts: int = 0


class LinkSimulation:
    """One run of a plan. ``records`` has what became of each request, by its identifier."""

    def __init__(self, plan: Plan, seed: int, make_router: Callable[[i.Settings, int], Router] = Router) -> None:
        """Create the routers and backends; all random draws come from ``seed``."""
        self.plan = plan
        self.now = 0.0
        self.rng = random.Random(seed)
        self.records: dict[str, RequestRecord] = {}
        self.results: Counter[str] = Counter()  # attempts by result and note
        self.log: list[tuple[float, int, str]] = []
        self._make_router = make_router
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._open: dict[str, SimulatedRequest] = {}
        self._attempts: dict[tuple[int, AttemptKey], SimulatedAttempt] = {}
        self._load_multiple = 1.0
        self.work = {
            (load.rule.name, number): self._draw_work(load) for load in plan.classes for number in range(plan.objects)
        }
        self.backends = {backend.name: backend for backend in self._make_backends()}
        self._fills: dict[tuple[str, str], list[SimulatedAttempt]] = {}  # joined attempts by cache and object
        self.settings = self._make_settings()
        self.routers = [self._start_router(number) for number in range(plan.proxies)]
        for fault in plan.faults:
            self.call_in(fault.at_s, partial(self._apply_fault, fault))

    # Running ------------------------------------------------------------------------------------------

    def run(self) -> dict[str, RequestRecord]:
        """Send the load, process all events and return what became of each request."""
        self._send_next(0)
        while self._queue:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        return self.records

    def call_in(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call in ``delay`` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), call))

    # The world ----------------------------------------------------------------------------------------

    def _draw_work(self, load: ClassLoad) -> float:
        quantile = self.rng.random()
        sizes = next(sizes for sizes in load.sizes if quantile <= sizes.top_quantile)
        return self.rng.uniform(sizes.shortest_s, sizes.longest_s)

    def _make_backends(self) -> list[SimulatedBackend]:
        plan = self.plan
        caches = [
            SimulatedBackend(self, f"c{number}", CACHE_KIND, CACHE_ZONE, plan.cache_link)
            for number in range(plan.caches)
        ]
        for cache in caches:
            names = [f"{class_name}/{number}" for class_name, number in self.work]
            cache.copies = {name for name in names if self.rng.random() < plan.cached_fraction}
        parents = [
            SimulatedBackend(self, f"p{number}", PARENT_KIND, HUB_ZONE, plan.parent_link)
            for number in range(plan.parents)
        ]
        return [*caches, *parents, SimulatedBackend(self, "o", ORIGIN_KIND, HUB_ZONE, plan.origin_link)]

    def _make_settings(self) -> i.Settings:
        plan = self.plan
        return i.Settings(
            proxies=plan.proxies,
            zone=CACHE_ZONE,
            proxies_in_zone=plan.proxies,
            classes={load.rule.name: load.rule for load in plan.classes},
            parent_kind=PARENT_KIND,
            origin_kind=ORIGIN_KIND,
            tick=0.002,
            max_attempts=8,
            can_cancel=True,
            can_health_check=True,
            retry_after=True,
            max_retry_after=2.0,
            connect_timeout=DIAL_TIMEOUT_S,
            slow_start_share=0.18,
            slow_start_time=16.0,
            overload_multiple=2.5,
            overload_window=3.0,
            parent_slow_start_share=0.081,
            parent_slow_start_time=22.0,
            parent_overload_multiple=2.0,
            purge_propagation=6.0,
            flow_kb_s=FLOW_KB_S,
            direct=plan.direct,
            joins=plan.joins,
            siblings="any",
            tells=plan.tells,
            reports=plan.has_reports,
        )

    def _start_router(self, number: int) -> Router:
        router = self._make_router(self.settings, self.rng.getrandbits(32))
        router.start(self.now)
        entries = tuple(backend.entry for backend in self.backends.values())
        router.handle(self.now, i.EndpointList("all", entries))
        return router

    def _apply_fault(self, fault: Fault) -> None:
        undo: Callable[[], None] | None = None
        if fault.kind == "crowd":
            self._load_multiple = fault.amount
            undo = partial(setattr, self, "_load_multiple", 1.0)
        elif fault.kind == "restart proxy":
            self._restart_proxy(int(fault.target))
        for backend in self.backends.values():
            if fault.target not in (backend.name, backend.entry.kind):
                continue
            if fault.kind == "lose copies":
                backend.copies = {name for name in sorted(backend.copies) if self.rng.random() >= fault.amount}
            elif fault.kind == "slow":
                backend.link.set_slowdown(fault.amount)
            elif fault.kind == "down":
                self._take_down(backend)
            elif fault.kind == "hang":
                backend.is_hung = True
            if fault.duration_s:
                self.call_in(fault.duration_s, partial(self._recover, backend, fault.kind))
        if undo is not None and fault.duration_s:
            self.call_in(fault.duration_s, undo)

    def _take_down(self, backend: SimulatedBackend) -> None:
        backend.is_down = True
        backend.copies = set()
        for attempt in list(self._attempts.values()):
            if attempt.action.backend == backend.name:
                self._end_attempt(attempt, "reset")

    def _recover(self, backend: SimulatedBackend, kind: str) -> None:
        if kind == "slow":
            backend.link.set_slowdown(1.0)
        elif kind == "down":
            backend.is_down = False
        elif kind == "hang":
            backend.is_hung = False

    def _restart_proxy(self, number: int) -> None:
        """Replace a proxy by a new one; its open requests fail."""
        for attempt in [one for one in self._attempts.values() if one.proxy == number]:
            self._drop_attempt(attempt)
        for request in [one for one in self._open.values() if one.proxy == number]:
            request.record.ends.append("proxy restarted")
            del self._open[request.name]
        self.routers[number] = self._start_router(number)

    # Clients ------------------------------------------------------------------------------------------

    def _send_next(self, number: int) -> None:
        if self.now >= self.plan.duration_s:
            return
        load = self.rng.choices(self.plan.classes, [load.fraction for load in self.plan.classes])[0]
        self._send_request(f"{number:08x}", load, self.rng.randrange(self.plan.objects), number, CLIENT_RETRIES)
        capacity = self.plan.caches * self.plan.cache_link
        mean_work = sum(
            load.fraction * sum(self.work[load.rule.name, n] for n in range(self.plan.objects)) / self.plan.objects
            for load in self.plan.classes
        )
        pause = mean_work / (self.plan.load_factor * capacity * self._load_multiple)
        self.call_in(pause, partial(self._send_next, number + 1))

    def _send_request(self, name: str, load: ClassLoad, object_number: int, number: int, retries: int) -> None:
        class_name = load.rule.name
        size_kb = self.work[class_name, object_number] * FLOW_KB_S
        record = self.records[name] = RequestRecord(class_name, size_kb)
        proxy = number % self.plan.proxies
        request = SimulatedRequest(name, load, record, proxy, f"{class_name}/{object_number}", retries)
        self._open[name] = request
        event = i.Request(
            name,
            class_name,
            request.object,
            size_kb=size_kb if load.has_sizes else 0.0,
            time_left=min(load.wait_s, load.rule.deadline) - DEADLINE_MARGIN_S,
        )
        self._handle(proxy, event)

    def _finish_request(self, name: str, end: str, retry_after: float = 0.0) -> None:
        request = self._open.pop(name, None)
        if request is None:
            return
        request.record.ends.append(end)
        if self.plan.clients_retry and end != "served" and request.retries_left:
            number = int(request.object.rpartition("/")[2])
            retry = partial(
                self._send_request,
                f"{name}r",
                request.load,
                number,
                self.rng.randrange(self.plan.proxies),
                request.retries_left - 1,
            )
            self.call_in(max(retry_after, 0.01), retry)

    # Proxies ------------------------------------------------------------------------------------------

    def _handle(self, proxy: int, event: i.Event) -> None:
        router = self.routers[proxy]
        for action in router.handle(self.now, event):
            match action:
                case i.Attempt():
                    self._send_attempt(proxy, action)
                case i.SetTimer(delay, token):
                    self.call_in(delay, partial(self._fire_timer, proxy, router, token))
                case i.Refuse(name, retry_after, reason):
                    self._finish_request(name, reason, retry_after)
                case i.Fail(name, reason):
                    self._finish_request(name, reason)
                case i.Cancel(name, number):
                    self._cancel(proxy, AttemptKey(name, number))
                case i.HealthCheck(backend):
                    self.call_in(2 * NETWORK_DELAY_S, partial(self._answer_health_check, proxy, router, backend))
                case i.Log(text):
                    self.log.append((self.now, proxy, text))

    def _fire_timer(self, proxy: int, router: Router, token: int) -> None:
        if self.routers[proxy] is router:
            self._handle(proxy, i.Timer(token))

    def _answer_health_check(self, proxy: int, router: Router, name: str) -> None:
        if self.routers[proxy] is not router:
            return
        backend = self.backends[name]
        result = "connect_failed" if backend.is_down else "timeout" if backend.is_hung else "ok"
        self._handle(proxy, i.HealthCheckResult(name, result, 2 * NETWORK_DELAY_S))

    def _send_attempt(self, proxy: int, action: i.Attempt) -> None:
        request = self._open.get(action.request)
        if request is None:
            return
        key = AttemptKey(action.request, request.attempts)
        request.attempts += 1
        attempt = SimulatedAttempt(next(self._sequence), proxy, key, action, self.now)
        self._attempts[proxy, key] = attempt
        self.call_in(action.timeout, partial(self._end_attempt, attempt, "timeout"))
        self.call_in(NETWORK_DELAY_S, partial(self._reach_backend, attempt, request))

    def _cancel(self, proxy: int, key: AttemptKey) -> None:
        attempt = self._attempts.get((proxy, key))
        if attempt is not None:
            self.call_in(0.0, partial(self._end_attempt, attempt, "cancelled"))

    # Backends -----------------------------------------------------------------------------------------

    def _reach_backend(self, attempt: SimulatedAttempt, request: SimulatedRequest) -> None:
        if attempt.is_ended:
            return
        action = attempt.action
        cache = self.backends[action.backend]
        source = self.backends[action.source] if action.source != action.backend else None
        if cache.is_down:
            self._end_attempt(attempt, "connect_failed")
            return
        if cache.is_hung or (source is not None and source.is_hung and request.object not in cache.copies):
            return
        work = self.work[request.load.rule.name, int(request.object.rpartition("/")[2])]
        if not cache.is_cache or request.object in cache.copies:
            attempt.note = self._note("hit")
            self._transfer(attempt, [cache.link], work)
        elif source is None:
            self.call_in(NETWORK_DELAY_S, partial(self._end_attempt, attempt, "miss"))
        elif source.is_down:
            note = self._note("source_lost")
            self.call_in(NETWORK_DELAY_S, partial(self._end_attempt, attempt, "error", note))
        elif self.plan.backends_join and (cache.name, request.object) in self._fills:
            attempt.note = self._note("joined")
            self._fills[cache.name, request.object].append(attempt)
        else:
            if self.plan.backends_join:
                self._fills[cache.name, request.object] = [attempt]
            attempt.note = self._note("filled")
            self._transfer(attempt, [cache.link, source.link], work)

    def _note(self, note: str) -> str:
        """Return the note of an answer, as far as the site's settings let notes tell it."""
        if self.plan.tells == "all" or (self.plan.tells == "hit" and note in ("hit", "filled")):
            return note
        return ""

    def _transfer(self, attempt: SimulatedAttempt, links: list[SimulatedLink], work: float) -> None:
        attempt.open_links = list(links)
        for link in links:
            link.start(attempt.number, work, partial(self._on_transferred, attempt, link))

    def _on_transferred(self, attempt: SimulatedAttempt, link: SimulatedLink) -> None:
        attempt.open_links.remove(link)
        if attempt.open_links or attempt.is_ended:
            return
        name = self._open[attempt.key.request_id].object if attempt.key.request_id in self._open else ""
        cache = self.backends[attempt.action.backend]
        if cache.is_cache and name:
            cache.copies.add(name)
        joined = self._fills.pop((cache.name, name), [])
        for one in [attempt, *(other for other in joined if other is not attempt)]:
            self.call_in(NETWORK_DELAY_S, partial(self._end_attempt, one, "ok"))

    def _drop_attempt(self, attempt: SimulatedAttempt) -> None:
        attempt.is_ended = True
        self._attempts.pop((attempt.proxy, attempt.key), None)
        for link in attempt.open_links:
            link.cancel(attempt.number)
        attempt.open_links = []
        for key, joined in list(self._fills.items()):
            if joined[0] is attempt:
                # The fill ends with the request that began it; those that joined it wait in vain.
                del self._fills[key]

    def _end_attempt(self, attempt: SimulatedAttempt, result: str, note: str = "") -> None:
        if attempt.is_ended:
            return
        backend = self.backends[attempt.action.backend]
        report = {}
        if self.plan.has_reports and result == "ok":
            used = min(len(backend.link) / backend.link.capacity, 1.0)
            report = {"held": float(len(backend.link)), "busy": used}
        self._drop_attempt(attempt)
        note = note or (attempt.note if result == "ok" else "")
        self.results[f"{result} {note}"] += 1
        is_served = result == "ok"
        if is_served:
            self._finish_request(attempt.key.request_id, "served")
        outcome = i.Outcome(
            attempt.key.request_id,
            attempt.key.number,
            attempt.action.backend,
            result,
            self.now - attempt.sent_at,
            is_served or attempt.key.request_id not in self._open,
            note,
            report=report,
        )
        self._handle(attempt.proxy, outcome)


FLOW_KB_S = 6400.0  # KB/s of one transfer at the full rate


def quantile_of_duration(values: list[float], quantile: float) -> float:
    """Return a quantile of durations; 0 if there are none."""
    if not values:
        return 0.0
    return sorted(values)[min(math.floor(quantile * len(values)), len(values) - 1)]
