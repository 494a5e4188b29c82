"""One DNS lookup as the core sees it: its attempt is the hand-out of a backend's address.

The response is written right after the guards are checked, in one step of the event loop, so that no drain can come
between.
"""

from __future__ import annotations

from collections.abc import Callable

import dns.message

from beechslip.core.model import AttemptRequest, AttemptResult, FinalResponse
from beechslip.dns import messages

Reply = Callable[[dns.message.Message], None]

# The text of the extended error of a failure by its cause.
TEXT_BY_CAUSE = {"deadline": "no box in time", "duplicate": "asked twice", "fault": "internal fault", "": "failed"}


class Lookup:
    """One routed lookup: carries out its attempts by handing out the backend, and takes its final answer.

    The core's ``AttemptExecutor`` and ``ResponseSink``.
    """

    def __init__(
        self,
        query: dns.message.Message,
        question: messages.Question,
        hold_ms: float,
        reply: Reply,
        on_answered: Callable[[], None],
    ) -> None:
        """``hold_ms``: for how long a backend counts as in use once it is handed out.

        ``on_answered`` is called once, when no response is to be sent any more.
        """
        self._query = query
        self._question = question
        self._hold_ms = hold_ms
        self._reply = reply
        self._on_answered = on_answered
        self.answered = False

    async def execute(self, attempt: AttemptRequest, may_start: Callable[[], bool]) -> AttemptResult:
        """Hand out the attempt's backend; see ``AttemptExecutor``."""
        try:
            answer = messages.backend_answer(self._query, self._question, attempt.backend.address)
        except ValueError:
            return AttemptResult("connect_failed")  # a backend without an IPv4 address can't be reached this way
        if not may_start():  # also if the client has left
            return AttemptResult("moot")
        self._write(answer)
        return AttemptResult("handed_out", hold_ms=self._hold_ms)

    def answer(self, final: FinalResponse) -> None:
        """Respond with SERVFAIL, unless a backend was handed out."""
        if self.answered:
            return
        if final.kind == "refused":
            text = f"refused: come back in {final.retry_after_ms:.0f} ms"
        else:
            text = TEXT_BY_CAUSE[final.cause]
        self._write(messages.failure(self._query, text))

    @property
    def has_client_departed(self) -> bool:
        """Whether its client has left, or has its response."""
        return self.answered

    def abandon(self) -> None:
        """The client has left: nothing may be handed out or sent to it any more."""
        if not self.answered:
            self.answered = True
            self._on_answered()

    def _write(self, answer: dns.message.Message) -> None:
        self.answered = True
        self._on_answered()
        self._reply(answer)
