"""The router, which turns events into actions; their types are in ``beechslip/routing/interface.py``.

It passes each event to the component that is responsible for it, and returns the resulting actions. It
performs no input or output.
"""

from __future__ import annotations

from typing import assert_never

from beechslip.routing import interface as i
from beechslip.routing.admission import AdmissionControl
from beechslip.routing.cancellation import AttemptCancellation
from beechslip.routing.concurrency import ConcurrencyLimits
from beechslip.routing.context import RoutingContext
from beechslip.routing.dispatch import RequestDispatcher
from beechslip.routing.endpoints import EndpointTable
from beechslip.routing.estimates import DurationEstimates
from beechslip.routing.freshness import FreshnessPolicy
from beechslip.routing.health import BackendHealth
from beechslip.routing.link_limits import LinkLimits
from beechslip.routing.outcomes import OutcomeRecorder
from beechslip.routing.overdue import OverdueMonitor
from beechslip.routing.requests import RequestTable
from beechslip.routing.retries import RetryPolicy
from beechslip.routing.selection import RouteSelector
from beechslip.routing.slow_start import SlowStartPolicy
from beechslip.routing.state import AttemptKey
from beechslip.routing.timers import HealthCheckDue, LinkResumes, TimerTable, WaitEnds, WatchDue
from beechslip.routing.waiting import WaitingRequests

WATCH_RETRY_S = 1.0  # s until a refused subscription to the endpoint list is requested again


class Router:
    """Makes the routing decisions of one proxy. Each of its components owns the state of one concern."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Create a router that knows no backend yet; equal seeds and events give equal actions."""
        self.context = context = RoutingContext(settings, seed)
        self.timers = TimerTable(context)
        self.requests = RequestTable()
        self.endpoints = EndpointTable(context)
        self.estimates = DurationEstimates(context)
        self.freshness = FreshnessPolicy(context)
        self.slow_start = SlowStartPolicy(context, self.endpoints, self.estimates)
        self.limits = ConcurrencyLimits(context, self.endpoints, self.estimates)
        self.admission = AdmissionControl(context, self.limits, self.slow_start)
        self.links = LinkLimits(context)
        self.waiting = WaitingRequests(context, self.timers, self.links, self.admission.shares)
        self.selector = RouteSelector(context, self.endpoints, self.slow_start, self.admission, self.links)
        self.retries = RetryPolicy(context, self.endpoints, self.estimates)
        self.cancellation = AttemptCancellation(context, self.requests, self.selector, self.retries)
        self.health = BackendHealth(context, self.endpoints, self.timers, self.cancellation)
        self.overdue = OverdueMonitor(
            context,
            self.timers,
            self.requests,
            self.estimates,
            self.limits,
            self.retries,
            self.cancellation,
            self.health,
        )
        self.dispatcher = self._make_dispatcher()

    def start(self, now: float) -> list[i.Action]:
        """Return the first actions of an instance that starts at ``now`` (s)."""
        self.slow_start.observing_since = now
        return [i.Watch()] if self.context.settings.list_on_request else []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Handle one event that occurs at ``now`` (s) and return the actions to be carried out at once.

        Events must be passed in order of arrival.
        """
        context = self.context
        context.now = now
        context.actions = []
        match event:
            case i.Request():
                self.dispatcher.on_request(event)
            case i.Outcome():
                self.dispatcher.on_outcome(event)
            case i.Timer():
                self._on_timer(event.token)
            case i.FirstByte():
                self._on_first_byte(event)
            case i.ClientGone():
                self.dispatcher.on_client_gone(event.request)
            case i.Purge():
                self.freshness.record_purge(event)
            case i.EndpointList():
                self._on_endpoint_list(event)
            case i.HealthCheckResult():
                self.health.record_health_check(event)
            case i.Quotas():
                self._on_quotas(event)
            case i.RegionShares():
                self.slow_start.apply_region_shares(event.shares)
            case i.SettingsChanged():
                context.update_settings(event.settings)
                self.endpoints.apply_settings()
            case i.Shutdown():
                self.dispatcher.on_shutdown()
            case i.PeerMessage():
                pass  # no decision depends on messages from other instances yet
            case _:
                assert_never(event)
        self.dispatcher.send_waiting()
        return context.actions

    def _make_dispatcher(self) -> RequestDispatcher:
        outcomes = OutcomeRecorder(
            self.context,
            self.endpoints,
            self.estimates,
            self.slow_start,
            self.limits,
            self.admission,
            self.retries,
            self.health,
            self.overdue,
            self.links,
        )
        return RequestDispatcher(
            self.context,
            self.endpoints,
            self.requests,
            self.estimates,
            self.freshness,
            self.slow_start,
            self.admission,
            self.selector,
            self.retries,
            self.overdue,
            outcomes,
            self.links,
            self.waiting,
        )

    def _on_timer(self, token: int) -> None:
        match self.timers.take(token):
            case AttemptKey() as key:
                self.overdue.check_overdue(key)
            case HealthCheckDue(backend):
                self.health.on_health_check_due(backend)
            case WaitEnds(request):
                self.dispatcher.on_wait_ends(request)
            case LinkResumes():
                pass  # waiting requests are sent after each event
            case WatchDue():
                self.context.actions.append(i.Watch())

    def _on_first_byte(self, event: i.FirstByte) -> None:
        """Record that a streamed answer has started.

        The cache is evidently running, and the attempt is not cancelled from now on.
        """
        attempt = self.requests.in_flight.get(AttemptKey(event.request, event.attempt))
        if attempt is not None:
            attempt.is_streaming = True
            self.health.record_answer(attempt.cache)

    def _on_endpoint_list(self, event: i.EndpointList) -> None:
        if event.kind != "refused":
            self.endpoints.apply(event)
        elif self.context.settings.list_on_request:
            self.timers.start(WATCH_RETRY_S, WatchDue())

    def _on_quotas(self, event: i.Quotas) -> None:
        self.slow_start.quotas = event
        if event.retries is not None:
            self.retries.budget = event.retries
