"""The state that an agent keeps of one instance between reconciliation passes."""

from __future__ import annotations

from dataclasses import dataclass

from beechslip.agent.process import ProxyProcess
from beechslip.config import Address
from beechslip.orders.step_run import InstanceView, ProcessExit, ReloadCounts, StepRun
from beechslip.store import InstanceState, WantedState

FIRST_BACKOFF_MS = 500.0
"""Wait before the first restart of a process that exited by itself; it doubles with each further restart."""

MAX_BACKOFF_MS = 30_000.0
"""Longest wait before a restart."""

STABLE_MS = 60_000.0
"""Run time after which the backoff is reset: the next restart waits for the first backoff again."""


@dataclass(frozen=True, slots=True)
class ReportedStatus:
    """The status of an instance as it is written to the store; ``pid`` is 0 if no process runs."""

    state: InstanceState
    pid: int
    restarts: int
    served: float


@dataclass(slots=True)
class SupervisedInstance:
    """State of one instance. Times are ms of the agent's clock.

    ``draining_since_ms`` is ``None`` unless SIGTERM was sent. ``is_stop_requested`` is true while a step of an order
    wants the process stopped, whatever is declared. ``served`` is the smoothed fraction of its requests that the
    instance served. ``last_address`` is where the last process served clients; ``None`` if none was started.
    ``wait_reason`` says why no process is started at present, "" for another reason than its address.
    """

    process: ProxyProcess | None = None
    last_address: Address | None = None
    wait_reason: str = ""
    state: InstanceState = "declared"
    started_ms: float = 0.0
    draining_since_ms: float | None = None
    restart_not_before_ms: float = 0.0
    backoff_ms: float = FIRST_BACKOFF_MS
    failed_health_checks: int = 0
    restarts: int = 0
    was_killed: bool = False
    is_stop_requested: bool = False
    last_exit: ProcessExit | None = None
    step_run: StepRun | None = None
    served: float = 1.0
    counters: dict[str, int] | None = None
    reported_status: ReportedStatus | None = None

    @property
    def pid(self) -> int:
        """Process id, or 0 if no process runs."""
        return self.process.pid if self.process is not None else 0

    @property
    def is_exit_pending(self) -> bool:
        """True if the process has exited and its exit was not handled yet."""
        return self.process is not None and self.process.returncode is not None

    @property
    def status(self) -> ReportedStatus:
        """The current status, to be reported to the store."""
        return ReportedStatus(self.state, self.pid, self.restarts, round(self.served, 2))

    def schedule_restart(self, now_ms: float) -> None:
        """Delay the next start by the backoff, and double the backoff."""
        self.restart_not_before_ms = now_ms + self.backoff_ms
        self.backoff_ms = min(self.backoff_ms * 2.0, MAX_BACKOFF_MS)
        self.state = "waiting"

    def begin_draining(self, now_ms: float) -> None:
        """Send SIGTERM to the process, which must be running."""
        assert self.process is not None
        self.draining_since_ms = now_ms
        self.state = "draining"
        self.process.terminate()

    async def kill(self) -> None:
        """Send SIGKILL to the process, which must be running, and wait until it has exited."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    def handle_exit(self, code: int, now_ms: float) -> str:
        """Update the state after the process has exited; return the kind of event: ``drained`` or ``exited``."""
        assert self.process is not None
        self.last_exit = ProcessExit(self.process.pid, code, self.was_killed)
        self.process = None
        self.was_killed = False
        if self.draining_since_ms is not None:
            self.draining_since_ms = None
            self.state = "drained"
            return "drained"
        if now_ms - self.started_ms >= STABLE_MS:
            self.backoff_ms = FIRST_BACKOFF_MS
        self.schedule_restart(now_ms)
        return "exited"

    def reload_counts(self) -> ReloadCounts | None:
        """Return the reloads by the counters that were read last, or ``None`` if they could not be read."""
        if self.counters is None:
            return None
        return ReloadCounts(self.counters.get("reloads", 0), self.counters.get("reloads.refused", 0))

    def view(self, wanted: WantedState) -> InstanceView:
        """Return the state of the instance for a step of an order; the caller fills in ``has_free_address``."""
        return InstanceView(
            wanted, self.state, self.pid, self.last_exit, self.reload_counts(), self.served, self.restarts
        )
