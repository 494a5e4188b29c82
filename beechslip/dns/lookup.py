"""One DNS lookup as the core sees it: its attempt hands out a backend's address.

The response is written right after the guards are checked, in the same step of the event loop, so that no drain can
take effect in between.
"""

from __future__ import annotations

from collections.abc import Callable

import dns.message

from beechslip.core.model import AttemptRequest, AttemptResult, FinalResponse
from beechslip.dns import messages

SendResponse = Callable[[dns.message.Message], None]

# Texts of the extended errors (RFC 8914) by the cause of the failure.
ERROR_TEXT_BY_CAUSE = {
    "deadline": "no box in time",
    "duplicate": "asked twice",
    "fault": "internal fault",
    "": "failed",
}


class Lookup:
    """One routed lookup. Its attempts hand out the backend, and it takes the final response.

    Implements the core's ``AttemptExecutor`` and ``ResponseSink``.
    """

    def __init__(
        self,
        query: dns.message.Message,
        question: messages.Question,
        hold_ms: float,
        send_response: SendResponse,
        on_answered: Callable[[], None],
    ) -> None:
        """Create a lookup. A backend counts as in use for ``hold_ms`` after it is handed out.

        ``on_answered`` is called once, when no further response will be sent.
        """
        self._query = query
        self._question = question
        self._hold_ms = hold_ms
        self._send_response = send_response
        self._on_answered = on_answered
        self.is_answered = False

    async def execute(self, attempt_request: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Hand out the attempt's backend; see ``AttemptExecutor``."""
        try:
            response = messages.backend_response(self._query, self._question, attempt_request.backend.address)
        except ValueError:
            return AttemptResult("connect_failed")  # a backend without an IPv4 address can't be handed out
        if not may_start():  # also false if the client has left
            return AttemptResult("moot")
        self._write_response(response)
        return AttemptResult("handed_out", hold_ms=self._hold_ms)

    def answer(self, final_response: FinalResponse) -> None:
        """Respond with SERVFAIL, unless a backend was handed out."""
        if self.is_answered:
            return
        if final_response.kind == "refused":
            text = f"refused: come back in {final_response.retry_after_ms:.0f} ms"
        else:
            text = ERROR_TEXT_BY_CAUSE[final_response.cause]
        self._write_response(messages.failure_response(self._query, text))

    @property
    def has_client_departed(self) -> bool:
        """True if the client has left or has its response."""
        return self.is_answered

    def abandon(self) -> None:
        """Note that the client has left: no backend may be handed out and nothing may be sent to it any more."""
        if not self.is_answered:
            self.is_answered = True
            self._on_answered()

    def _write_response(self, response: dns.message.Message) -> None:
        self.is_answered = True
        self._on_answered()
        self._send_response(response)
