"""Fleet-wide tasks, done by one proxy: each step under the lease of the task, each act with its token.

A task consists of steps (:meth:`Task.step`), and the lease is checked right before each step. An act that takes long
is sent some time after this check. The margin of the lease covers that time; beyond the margin, the fence of the
receiver refuses the act.

There are two kinds of task: the census (:mod:`.census`), and drills, whose acts have no effect and let operators and
the lab see which member holds a lease. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from beechslip.leases.fence import Fence
from beechslip.leases.messages import ActMessage, ActMessageKind
from beechslip.leases.node import NoteCallback
from beechslip.leases.stored import LeaseProvider


class OutgoingAct(NamedTuple):
    """An act or an answer, and the member to send it to."""

    to: str
    act: ActMessage


OutgoingActs = list[OutgoingAct]


class Task(Protocol):
    """A fleet-wide task with the name of its lease. Times are in ms by the steady clock of this machine."""

    name: str

    def step(self, now_ms: float, token: int) -> OutgoingActs:
        """Do the next step if it is due, and return its acts. Called only while the lease is held."""
        ...

    def handle_answer(self, now_ms: float, sender: str, message: ActMessage) -> None:
        """Handle the answer of another member to an act of this one."""
        ...

    def execute(self, now_ms: float, sender: str, message: ActMessage) -> bytes:
        """Carry out an act of another member that has passed the fence. Return the body of the answer."""
        ...


class _PendingAct(NamedTuple):
    """An act that is not sent yet, and the time and token of the check of its lease."""

    checked_ms: float
    token: int


class Drill:
    """A task that sends an act without effect to all members every ``every_ms``.

    Each act is sent ``act_ms`` after the check of the lease, so that faults can be injected in between. After
    ``max_acts`` acts the lease is released.
    """

    def __init__(
        self,
        name: str,
        me: str,
        other_members: Callable[[], Sequence[str]],
        every_ms: float,
        act_ms: float,
        note: NoteCallback,
        max_acts: int = 0,
    ) -> None:
        """``other_members`` returns the members to send to. ``max_acts`` 0 means no limit.

        ``note`` is called with the events begin and effect.
        """
        self.name = name
        self.me = me
        self.every_ms = every_ms
        self.act_ms = act_ms
        self.max_acts = max_acts
        self.acts_sent = 0  # in this tenure
        self._other_members = other_members
        self._note = note
        self._tenure_token = 0
        self._seq = 0
        self._due_ms = 0.0
        self._pending_act: _PendingAct | None = None

    @property
    def is_over(self) -> bool:
        """True if all acts of this tenure have been sent."""
        return 0 < self.max_acts <= self.acts_sent

    def step(self, now_ms: float, token: int) -> OutgoingActs:
        """Begin an act if one is due. :meth:`send_due_act` sends it later."""
        if token != self._tenure_token:
            self._tenure_token = token
            self.acts_sent = 0
        if self._pending_act is None and now_ms >= self._due_ms and not self.is_over:
            self._due_ms = now_ms + self.every_ms
            self._pending_act = _PendingAct(now_ms, token)
            self._note("begin", name=self.name, token=token, checked=now_ms)
        return []

    def send_due_act(self, now_ms: float) -> OutgoingActs:
        """Return the act that was begun if it is due to be sent, even if the lease has been lost meanwhile."""
        pending_act = self._pending_act
        if pending_act is None or now_ms < pending_act.checked_ms + self.act_ms:
            return []
        self._pending_act = None
        self._seq += 1
        self.acts_sent += 1
        self._note("effect", name=self.name, token=pending_act.token)
        return [OutgoingAct(to, ActMessage(self.name, pending_act.token, self._seq)) for to in self._other_members()]

    def handle_answer(self, now_ms: float, sender: str, message: ActMessage) -> None:
        """Ignore answers: those to a drill have no content."""

    def execute(self, now_ms: float, sender: str, message: ActMessage) -> bytes:
        """Do nothing, as a drill has no effect. The answer is empty."""
        return b""


class TaskRunner:
    """Contends for the leases of the tasks, runs the tasks whose lease is held, and fences the acts of other members.

    ``counts`` counts acts: taken, refused, and unknown (of a task that is off here).
    """

    def __init__(self, leases: LeaseProvider, tasks: Sequence[Task], note: NoteCallback) -> None:
        """``note`` is called for each act received, with the event took or turned_down."""
        self.leases = leases
        self.tasks = {task.name: task for task in tasks}
        self.fence = Fence()
        self.counts: dict[str, int] = {}
        self._note = note
        for name in self.tasks:
            leases.want(name, leases.now_ms)

    def tick(self, now_ms: float, clock: Callable[[], float]) -> OutgoingActs:
        """Do the steps that are due and return their acts. ``clock`` is read again right before each task's step."""
        acts: OutgoingActs = []
        for name, task in self.tasks.items():
            if isinstance(task, Drill):
                acts += task.send_due_act(now_ms)
            now_ms = clock()
            token = self.leases.held_token(name, now_ms)
            if token is not None:
                acts += self._accepted_by_own_fence(name, task.step(now_ms, token))
        return acts

    def finished_tasks(self) -> list[str]:
        """Return the tasks that have finished for this tenure, so that another member may take their lease."""
        return [name for name, task in self.tasks.items() if isinstance(task, Drill) and task.is_over]

    def receive(self, now_ms: float, sender: str, message: ActMessage) -> OutgoingActs:
        """Handle an act or an answer of another member. Return the answer to send, if any."""
        task = self.tasks.get(message.name)
        if task is None:
            self._count("unknown")
            return []
        if message.verb is not ActMessageKind.ACT:
            if message.verb is ActMessageKind.REFUSED:
                self.leases.observe_token(message.name, message.token)
            task.handle_answer(now_ms, sender, message)
            return []
        if not self.fence.accept(message.name, message.token, sender):
            return [OutgoingAct(sender, self._refusal(sender, message))]
        self._count("taken")
        self._note("took", name=message.name, token=message.token, holder=sender)
        body = task.execute(now_ms, sender, message)
        return [OutgoingAct(sender, ActMessage(message.name, message.token, message.seq, ActMessageKind.TAKEN, body))]

    def _refusal(self, sender: str, message: ActMessage) -> ActMessage:
        """Count and note an act that the fence refused. Return the answer, with the highest token known."""
        self._count("refused")
        self._note("turned_down", name=message.name, token=message.token, holder=sender)
        highest = self.fence.highest.get(message.name)
        token = highest.token if highest else message.token
        return ActMessage(message.name, token, message.seq, ActMessageKind.REFUSED)

    def _accepted_by_own_fence(self, name: str, acts: OutgoingActs) -> OutgoingActs:
        """Return those of this member's acts that its own fence accepts.

        So the fence also records the tokens of this member, and drops acts that it would refuse from another one.
        """
        return [outgoing for outgoing in acts if self.fence.accept(name, outgoing.act.token, self.leases.me)]

    def _count(self, counter: str) -> None:
        self.counts[counter] = self.counts.get(counter, 0) + 1
