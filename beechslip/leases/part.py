"""Leases and their tasks as a part that uses the peer socket, with their counters and their page for operators."""

from __future__ import annotations

from beechslip.clock import Clock
from beechslip.counters import Counters
from beechslip.fleet.codec import CodecError
from beechslip.fleet.messages import OutgoingDatagram, PeerMessage
from beechslip.leases.census import Census
from beechslip.leases.messages import decode_act, decode_lease, encode_act, encode_lease
from beechslip.leases.node import LeaseNode
from beechslip.leases.paxos import OutgoingMessages
from beechslip.leases.tasks import OutgoingActs, TaskRunner

LEASE_KIND = "lease"  # kinds of peer message
ACT_KIND = "act"


class LeasePart:
    """Connects the lease node and the task runner to the peer socket.

    Counts ``lease.NAME.held|lost|refused|released``, ``lease.bad`` (bodies that can't be decoded) and
    ``act.taken|refused``.
    """

    kinds = frozenset({LEASE_KIND, ACT_KIND})

    def __init__(
        self, node: LeaseNode, runner: TaskRunner, census: Census | None, clock: Clock, counters: Counters
    ) -> None:
        """``census`` is the runner's census task, shown by :meth:`state`; None if the census is off."""
        self.node = node
        self.runner = runner
        self.census = census
        self._clock = clock
        self._counters = counters
        self._exported_counts: dict[str, int] = {}  # by counter: how much of the count has been added to it

    def tick(self, now_ms: float) -> list[OutgoingDatagram]:
        """Run the leases, then the tasks. Release the leases whose task has finished for this tenure."""
        sends = self._lease_datagrams(self.node.tick(now_ms))
        sends += self._act_datagrams(self.runner.tick(now_ms, self._clock.steady_ms))
        for name in self.runner.finished_tasks():  # let another member take it, and contend again after a lease time
            if self.node.held_token(name, now_ms) is not None:
                sends += self._lease_datagrams(self.node.release(name, now_ms))
                self.node.want(name, now_ms + self.node.tuning.lease_ms)
        self._export_counts()
        return sends

    def receive(self, now_ms: float, message: PeerMessage) -> list[OutgoingDatagram]:
        """Handle a lease message or an act. A body that can't be decoded is counted."""
        try:
            if message.kind == LEASE_KIND:
                return self._lease_datagrams(self.node.receive(now_ms, message.sender, decode_lease(message.body)))
            return self._act_datagrams(self.runner.receive(now_ms, message.sender, decode_act(message.body)))
        except CodecError:
            self._counters.add("lease.bad")
            return []

    def stop(self, now_ms: float) -> list[OutgoingDatagram]:
        """Release all leases at a graceful shutdown, so that other members need not wait until they expire."""
        sends: list[OutgoingDatagram] = []
        for name in sorted(self.node.wanted):
            sends += self._lease_datagrams(self.node.release(name, now_ms))
        self._export_counts()
        return sends

    def state(self) -> dict[str, object]:
        """Return the page ``/leases``."""
        now = self._clock.steady_ms()
        return {
            "member": self.node.me,
            "leases": self.node.state(now),
            "census": self.census.state() if self.census else None,
        }

    def _lease_datagrams(self, out: OutgoingMessages) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage(LEASE_KIND, self.node.me, 0, body=encode_lease(message)))
            for to, message in out
        ]

    def _act_datagrams(self, acts: OutgoingActs) -> list[OutgoingDatagram]:
        return [
            OutgoingDatagram(to, PeerMessage(ACT_KIND, self.node.me, 0, body=encode_act(act))) for to, act in acts
        ]

    def _export_counts(self) -> None:
        """Add to the counters the growth of the counts of the node and the runner since the last call."""
        for prefix, counts in (("lease.", self.node.counts), ("act.", self.runner.counts)):
            for counter_name, count in counts.items():
                grown = count - self._exported_counts.get(prefix + counter_name, 0)
                if grown:
                    self._counters.add(prefix + counter_name, grown)
                    self._exported_counts[prefix + counter_name] = count
