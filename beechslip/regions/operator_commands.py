"""Operators' commands for regions: the parameters of a call, the effect on a region, and the page for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from beechslip.regions.failure_evidence import RegionStatistics
from beechslip.regions.messages import CommandOutcome, OperatorCommand
from beechslip.regions.status import RegionState, RegionStatus

COMMANDS_BY_WORD = {
    "out": OperatorCommand.OUT,
    "return": OperatorCommand.RETURN,
    "hold": OperatorCommand.HOLD,
    "free": OperatorCommand.FREE,
}

# The HTTP status and the text that the operator gets, for each outcome of a command.
HTTP_RESPONSES = {
    CommandOutcome.DONE: (200, "done"),
    CommandOutcome.REFUSED_GUARD: (409, "refused: more would be out than may be"),
    CommandOutcome.REFUSED_OTHER: (
        409,
        "refused: another operator's word stands; only the same one frees the region",
    ),
    CommandOutcome.NOT_COORDINATOR: (503, "no steward yet: ask again"),
    CommandOutcome.UNKNOWN: (404, "no such region"),
    CommandOutcome.BUSY: (503, "the last order is still on its way: ask again"),
}
RETRYABLE_OUTCOMES = frozenset({CommandOutcome.NOT_COORDINATOR, CommandOutcome.BUSY})

USAGE = "wanted: region, word (out, return, hold, free), who (a number), number (above 0)"
MAX_OPERATOR_DIGITS = 9  # an operator's number has 32 bits in a datagram, which always hold 9 digits
MAX_NUMBER_DIGITS = 19  # only these digits of a call's number are converted to check its range
COMMAND_NUMBER_LIMIT = 1 << 62


class CommandParameterError(ValueError):
    """The parameters of an operator's call are not a valid command; the message says which are expected."""


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """An operator's call. Repeated calls with the same ``number``, which the caller chooses, count once."""

    region: str
    command: OperatorCommand
    operator: int
    number: int


def parse_operator_call(parameters: Mapping[str, str]) -> OperatorCall:
    """Return the call in the parameters ``region``, ``word``, ``who`` and ``number``.

    Raise CommandParameterError if a parameter is missing or invalid.
    """
    region = parameters.get("region", "")
    command = COMMANDS_BY_WORD.get(parameters.get("word", ""))
    operator = parameters.get("who", "")
    number = parameters.get("number", "")
    if command is None or not region:
        raise CommandParameterError(USAGE)
    if not _is_decimal(operator) or len(operator) > MAX_OPERATOR_DIGITS:
        raise CommandParameterError(USAGE)
    if not _is_decimal(number) or not 0 < int(number[:MAX_NUMBER_DIGITS]) < COMMAND_NUMBER_LIMIT:
        raise CommandParameterError(USAGE)
    return OperatorCall(region, command, int(operator), int(number))


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()


def status_after_command(command: OperatorCommand, status: RegionStatus) -> RegionStatus:
    """Return the status of a region after ``command``, if it had ``status`` before."""
    if command is OperatorCommand.OUT:
        return RegionStatus(RegionState.OUT, 0, max(status.backoff_level, 1), has_operator_hold=True)
    if command is OperatorCommand.RETURN:
        if status.traffic_fraction < 1.0:
            return RegionStatus(RegionState.RETURNING, 0, status.backoff_level)
        return RegionStatus(backoff_level=status.backoff_level)
    is_hold = command is OperatorCommand.HOLD
    return RegionStatus(status.state, status.step, status.backoff_level, has_operator_hold=is_hold)


def region_entry(status: RegionStatus, backends: int, statistics: RegionStatistics) -> dict[str, object]:
    """Return the entry of one region for the operators' page ``/regions``.

    The keys are part of the page's documented format.
    """
    return {
        "state": status.state.name.lower(),
        "step": status.step,
        "share": status.traffic_fraction,
        "held": status.has_operator_hold,
        "waits": status.backoff_level,
        "depots": backends,
        "tried": round(statistics.attempts, 1),
        "bad": round(statistics.failures, 1),
    }
