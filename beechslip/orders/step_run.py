"""Decides what an agent does for one step of an order, on an instance whose lease it holds.

This module does no I/O. In each reconciliation pass :class:`StepRun` gets the state of the instance
(:class:`InstanceView`) and returns the next :class:`StepAction`. The step is stored as ``taken`` before the first
action, so the successor of an agent that was killed between the write and the action finds it. The previous agent's
proxy has exited or will exit, because a proxy drains when its agent exits. The successor therefore does the rest of
the step and can tell when it is complete.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass
from enum import StrEnum

from beechslip.orders.model import Step, StepState
from beechslip.store import InstanceState, WantedState

RELOAD_WAIT_MS = 1000.0
"""Time after the reload signal within which the reload shows in the proxy's counters."""

INSPECT_TIMEOUT_MS = 15_000.0
"""Time after which an inspection fails if the instance does not respond or a previous agent has not released it."""

EXIT_NOT_OBSERVED = "nobody saw how"
"""Part of a step's detail if no agent observed how the process ended."""


@dataclass(frozen=True, slots=True)
class ProcessExit:
    """How a process ended.

    ``code`` is its exit code, or the negative number of the signal that ended it. ``was_killed`` is true if the agent
    sent SIGKILL because the process did not drain in time.
    """

    pid: int
    code: int
    was_killed: bool = False

    @property
    def is_orderly(self) -> bool:
        """True if no request was lost.

        A process that SIGTERM ended at once had not begun to serve, so it had accepted no request.
        """
        return self.code in (0, -signal.SIGTERM) and not self.was_killed

    def __str__(self) -> str:
        """Return the description of the exit for a step's detail."""
        why = "killed, as it did not drain in time" if self.was_killed else f"ended with {self.code}"
        return f"process {self.pid} {why}"


@dataclass(frozen=True, slots=True)
class ReloadCounts:
    """Numbers of accepted and rejected reloads since the process started, from the proxy's counters."""

    accepted: int
    rejected: int


@dataclass(frozen=True, slots=True)
class InstanceView:
    """The state of an instance in one pass.

    ``pid`` is 0 if this agent runs no process of the instance. ``reloads`` is ``None`` if the counters cannot be
    read. ``has_free_address`` is true if this agent runs no process of the instance and no other process accepts
    connections at its address, and ``None`` if that can't be told.
    """

    wanted: WantedState
    state: InstanceState
    pid: int = 0
    last_exit: ProcessExit | None = None
    reloads: ReloadCounts | None = None
    served: float = 1.0
    restarts: int = 0
    has_free_address: bool | None = True


class ActionKind(StrEnum):
    """What the agent does next; the last three kinds end the step."""

    WAIT = "wait"
    WANT_DRAINED = "want drained"
    STOP = "stop"
    START = "start"
    RELOAD = "reload"
    DONE = "done"
    REFUSED = "refused"
    DIED = "died"


STEP_STATE_BY_ACTION: dict[ActionKind, StepState] = {
    ActionKind.DONE: "done",
    ActionKind.REFUSED: "refused",
    ActionKind.DIED: "died",
}


@dataclass(frozen=True, slots=True)
class StepAction:
    """The next action of a step; ``detail`` explains a final action to operators."""

    kind: ActionKind
    detail: str = ""

    @property
    def result(self) -> StepState | None:
        """The final state of the step, or ``None`` if the step is not at its end."""
        return STEP_STATE_BY_ACTION.get(self.kind)


WAIT_ACTION = StepAction(ActionKind.WAIT)


def done_action(detail: str = "") -> StepAction:
    """Return the action that ends a step that is complete."""
    return StepAction(ActionKind.DONE, detail)


def refused_action(detail: str) -> StepAction:
    """Return the action that ends a step that does not apply to the instance; no request was lost."""
    return StepAction(ActionKind.REFUSED, detail)


def died_action(detail: str) -> StepAction:
    """Return the action that ends a step whose process exited irregularly or did not do what the step requires."""
    return StepAction(ActionKind.DIED, detail)


class StepRun:
    """One step on one instance, as one incarnation of one agent executes it."""

    def __init__(self, step: Step, view: InstanceView, now_ms: float, previous_holder: str = "") -> None:
        """Begin the step at steady time ``now_ms``.

        ``previous_holder`` is the agent that had taken the step before; "" if there is none.
        """
        self.step = step
        self.previous_holder = previous_holder
        self.began_ms = now_ms
        # If a successor takes over a restart, a process that it runs already is the result of that restart.
        self.pid = 0 if previous_holder and step.kind == "restart" else view.pid
        self._reloads_before = view.reloads
        self._exit_before = view.last_exit
        self._is_first_pass = True
        self._reload_sent = False
        self._exit: ProcessExit | None = None
        self._foreign_process_seen = False  # a process of a previous agent accepted connections at the address

    def next_action(self, now_ms: float, view: InstanceView) -> StepAction:
        """Return the action for this pass, at steady time ``now_ms``.

        Call it once in each pass until the action has a result.
        """
        is_first = self._is_first_pass
        self._is_first_pass = False
        is_own_exit = view.last_exit is not None and self.pid != 0 and view.last_exit.pid == self.pid
        if is_own_exit and view.last_exit != self._exit_before:
            self._exit = view.last_exit
        match self.step.kind:
            case "drain":
                return self._drain_action(view)
            case "restart":
                return self._restart_action(is_first, view)
            case "retune":
                return self._retune_action(now_ms, view)
            case "inspect":
                return self._inspect_action(now_ms, view)

    def _drain_action(self, view: InstanceView) -> StepAction:
        if view.wanted == "running":
            return StepAction(ActionKind.WANT_DRAINED)
        if not view.pid and view.has_free_address is False:
            self._foreign_process_seen = True
        if view.pid or not view.has_free_address:
            return WAIT_ACTION
        if self._exit is not None:
            return done_action(str(self._exit)) if self._exit.is_orderly else died_action(str(self._exit))
        if self.previous_holder:
            return done_action(
                f"it does not run; {EXIT_NOT_OBSERVED} it ended: taken over from {self.previous_holder}"
            )
        if self._foreign_process_seen:
            return done_action(f"it does not run; {EXIT_NOT_OBSERVED} it ended: it was a former agent's")
        if view.last_exit is not None and not view.last_exit.is_orderly:
            return died_action(f"{view.last_exit} before it could drain")
        return done_action("it was not running")

    def _restart_action(self, is_first: bool, view: InstanceView) -> StepAction:
        if view.wanted != "running":
            return refused_action(f"it is wanted {view.wanted}")
        if is_first and self.pid:
            return StepAction(ActionKind.STOP)
        if self.pid and self._exit is None:
            return WAIT_ACTION if view.pid == self.pid else died_action(f"process {self.pid} is gone, nobody saw how")
        if self.pid and view.last_exit == self._exit and not view.pid and view.state != "starting":
            return StepAction(ActionKind.START)
        if view.state == "healthy" and view.pid and view.pid != self.pid:
            return self._restart_result(view)
        if view.last_exit is not None and view.last_exit not in (self._exit, self._exit_before):
            return died_action(f"{view.last_exit} after the restart")
        return WAIT_ACTION

    def _restart_result(self, view: InstanceView) -> StepAction:
        """Return the result of a restart whose new process is healthy."""
        running = f"process {view.pid} runs"
        if not self.pid:  # when the step was taken, another agent ran the process, or none ran
            taken_over = f", taken over from {self.previous_holder}" if self.previous_holder else ""
            return done_action(f"{running}{taken_over}; {EXIT_NOT_OBSERVED} the one before ended")
        if self._exit is not None and not self._exit.is_orderly:
            return died_action(f"{self._exit}; {running}")
        return done_action(running)

    def _retune_action(self, now_ms: float, view: InstanceView) -> StepAction:
        if self.previous_holder:  # a process started after that agent took the step has read the current file
            return done_action(f"process {view.pid} runs since") if view.state == "healthy" else WAIT_ACTION
        if not self.pid:
            return refused_action(f"it is not running ({view.state})")
        if view.pid != self.pid:
            return died_action(str(self._exit or f"process {self.pid} is gone"))
        if not self._reload_sent:
            return self._send_reload(now_ms, view)
        if now_ms - self.began_ms < RELOAD_WAIT_MS:
            return WAIT_ACTION
        return self._reload_result(view.reloads)

    def _send_reload(self, now_ms: float, view: InstanceView) -> StepAction:
        """Return the action that sends SIGHUP, which would end a process that has not installed its handler yet."""
        if view.state == "starting":
            return WAIT_ACTION
        self._reload_sent = True
        self._reloads_before = view.reloads
        self.began_ms = now_ms
        return StepAction(ActionKind.RELOAD)

    def _reload_result(self, reloads: ReloadCounts | None) -> StepAction:
        """Return the result of a reload, from the counters before and after it."""
        before = self._reloads_before
        if before is None or reloads is None:
            return done_action("told; its counters can't be read")
        if reloads.rejected != before.rejected:
            return refused_action("it can't use its file; the log names what is wrong")
        if reloads.accepted != before.accepted:
            return done_action()
        return died_action("it did not take up its file")

    def _inspect_action(self, now_ms: float, view: InstanceView) -> StepAction:
        summary = f"{view.state}, process {view.pid or '-'}, {view.restarts} restarts, {view.served:.0%} served"
        is_responding = view.state in ("healthy", "not ready")
        if is_responding or (view.state == "drained" and view.has_free_address):
            return done_action(summary)
        return WAIT_ACTION if now_ms - self.began_ms < INSPECT_TIMEOUT_MS else died_action(summary)
