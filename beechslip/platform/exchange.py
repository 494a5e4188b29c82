"""A client's request that awaits its response, and the interface of those who answer requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from beechslip.memory_budget import MemoryCharge
from beechslip.platform.http_messages import HttpResponse
from beechslip.platform.request_assembler import WholeRequest
from beechslip.platform.request_form import BadRequestError
from beechslip.platform.request_head import RequestHead


class ExchangeOwner(Protocol):
    """The connection of an exchange, as the exchange uses it."""

    exchange: Exchange | None  # the current one

    @property
    def has_client_departed(self) -> bool:
        """True if the client has closed its connection."""
        ...

    @property
    def has_more_input(self) -> bool:
        """True if the client has sent more bytes after the request that is being handled."""
        ...

    def send_response(self, response: HttpResponse) -> None:
        """Send the response to the request that is being handled."""


class Exchange:
    """A request that awaits its response."""

    __slots__ = ("_connection", "on_departure", "response_charge")

    def __init__(self, connection: ExchangeOwner) -> None:
        """Create the exchange of the request that ``connection`` begins."""
        self._connection = connection
        self.on_departure: Callable[[], None] | None = None  # called if the client leaves before its response
        # The memory of the response, if it was reserved. Whoever ends the exchange takes it over or closes it.
        self.response_charge: MemoryCharge | None = None

    @property
    def has_client_departed(self) -> bool:
        """True if the client has closed its connection, or has had its response."""
        return self._connection.exchange is not self or self._connection.has_client_departed

    @property
    def has_more_input(self) -> bool:
        """True if the client has sent more bytes after the request."""
        return self._connection.has_more_input

    def respond(self, response: HttpResponse) -> None:
        """Send the response. No effect if the client has left, or has had one."""
        if self._connection.exchange is self:
            self.on_departure = None  # it refers to the request, which would be kept by a reference cycle
            self._connection.send_response(response)

    def release_memory(self, now_ms: float) -> None:
        """Release the memory that was reserved for the response, which will not be sent."""
        if self.response_charge is not None:
            self.response_charge.close(now_ms)

    def client_departed(self, now_ms: float) -> None:
        """Note that the client has left before its response."""
        on_departure, self.on_departure = self.on_departure, None
        if on_departure is not None:
            on_departure()
        self.release_memory(now_ms)


class RequestHandler(Protocol):
    """Answers requests."""

    def check_head(self, head: RequestHead) -> None:
        """Raise BadRequestError if a request with this head can't be served, before its body is received."""

    def handle_request(self, request: WholeRequest, exchange: Exchange) -> None:
        """Respond to a request, now or later. Raises BadRequestError if it can't be served."""

    def refusal(self) -> HttpResponse:
        """Return the response to a request that is refused because its client sends too much."""
        ...

    def rejection(self, error: BadRequestError) -> HttpResponse:
        """Return the response to a request that can't be served, and count it."""
        ...
