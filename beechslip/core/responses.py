"""Final responses: each is counted, and logged if the request was not served.

At log level DEBUG, every request that ends and every attempt is logged; ``bench/service_by_size.py`` parses the lines
about requests.
"""

from __future__ import annotations

import logging

from beechslip.clock import Clock
from beechslip.core.model import AttemptRequest, AttemptResult, FinalResponse
from beechslip.core.requests import OpenRequest
from beechslip.counters import Counters
from beechslip.routing.interface import RefusalDetail

log = logging.getLogger("beechslip.engine")

# Limits the lines about requests that were not served: under overload, each line costs CPU time that is needed
# elsewhere.
MAX_LOG_LINES_PER_PERIOD = 20
LOG_PERIOD_MS = 1_000.0


class Responder:
    """Sends final responses, counts them and logs them.

    Increments the counters ``answered.KIND`` and ``ended.REASON``, with underscores for the spaces of the reason.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        """Create a responder; ``clock`` measures the periods of the log limit and the ages of requests."""
        self._clock = clock
        self._counters = counters
        self._period_start_ms = 0.0
        self._lines_in_period = 0

    def respond(self, request: OpenRequest, response: FinalResponse) -> None:
        """Send the final response to a request; the caller must ensure that there is only one."""
        self._counters.add(f"answered.{response.kind}")
        if response.reason:
            self._counters.add(f"ended.{response.reason.replace(' ', '_')}")
        if log.isEnabledFor(logging.DEBUG):
            self._log_final_response(logging.DEBUG, request, response)
        elif response.kind != "served" and self._may_log():
            self._log_final_response(logging.INFO, request, response)
        request.response_sink.answer(response)

    def log_client_gone(self, request: OpenRequest) -> None:
        """Log at DEBUG that a client has disconnected before its response."""
        if log.isEnabledFor(logging.DEBUG):
            client_request = request.client_request
            age_ms = self._clock.now_ms() - client_request.arrived_ms
            log.debug(
                "%s %s left after %.0f of %.0f ms, %.0f KB",
                client_request.id,
                client_request.class_name,
                age_ms,
                client_request.wait_ms,
                client_request.size_kb,
            )

    def log_attempt(self, attempt_request: AttemptRequest, result: AttemptResult, elapsed_ms: float) -> None:
        """Log at DEBUG how an attempt ended, which explains what the router does next with its request."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "%s attempt %d at %s from %s: %s %s after %.0f ms, %.0f KB",
                attempt_request.client_request.id,
                attempt_request.number,
                attempt_request.backend.name,
                attempt_request.source or "-",
                result.result,
                result.note or "-",
                elapsed_ms,
                attempt_request.client_request.size_kb,
            )

    def _log_final_response(self, level: int, request: OpenRequest, response: FinalResponse) -> None:
        client_request = request.client_request
        log.log(
            level,
            "%s %s %s after %.0f of %.0f ms, %.0f KB, attempts %d, retry %.0f, %s %s%s",
            client_request.id,
            client_request.class_name,
            response.kind,
            self._clock.now_ms() - client_request.arrived_ms,
            client_request.wait_ms,
            client_request.size_kb,
            request.attempts_requested,
            response.retry_after_ms,
            response.reason or "-",
            response.cause,
            "" if response.detail is None else _describe_detail(response.detail),
        )

    def _may_log(self) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms - self._period_start_ms >= LOG_PERIOD_MS:
            self._period_start_ms = now_ms
            self._lines_in_period = 0
        self._lines_in_period += 1
        return self._lines_in_period <= MAX_LOG_LINES_PER_PERIOD


def _describe_detail(detail: RefusalDetail) -> str:
    """Return the part of a log line that says what a rejection was based on, after a semicolon."""
    text = f"; band={detail.band} deficit={detail.deficit:.1f}"
    if not detail.source:
        return text
    return (
        f"{text} source={detail.source} in_flight={detail.source_in_flight} limit={detail.source_limit:.1f} "
        f"fill_fraction={detail.fill_fraction:.2f}"
    )
