"""Injected faults of the leases and of the duties that hang on them."""

from __future__ import annotations

from typing import Any

from beechslip.duties.node import DutyNode
from beechslip.leases import node
from beechslip.leases.fence import Fence
from beechslip.leases.messages import Ballot, LeaseMessage, LeaseMessageKind
from beechslip.leases.paxos import Acceptor, Proposer
from lab.injected_faults import Patch, register

GROUP = "leases"


def _answers_without_quiet_time() -> list[Patch]:
    def begin(self: node.LeaseNode) -> None:
        original(self)
        self.quiet_until_ms = 0.0
        for acceptor in self.acceptors.values():
            acceptor.quiet_until_ms = 0.0

    original = node.LeaseNode.__post_init__
    return [Patch(node.LeaseNode, "__post_init__", begin)]


def _timer_starts_at_accept() -> list[Patch]:
    def accept(self: Proposer, now_ms: float) -> None:
        self.proposal_began_ms = now_ms
        original(self, now_ms)

    original = Proposer._start_or_extend_tenure
    return [Patch(Proposer, "_start_or_extend_tenure", accept)]


def _majority_of_live_members() -> list[Patch]:
    """Members not heard from within a lease time are taken for dead, and not counted."""
    last_heard_ms: dict[tuple[str, int], dict[str, float]] = {}

    def receive(self: Proposer, now_ms: float, sender: str, message: LeaseMessage) -> Any:
        last_heard_ms.setdefault((self.me, self.incarnation), {})[sender] = now_ms
        return original(self, now_ms, sender, message)

    def enough(self: Proposer, members: frozenset[str]) -> bool:
        times = last_heard_ms.get((self.me, self.incarnation), {})
        now = max(times.values(), default=0.0)
        alive = [member for member, heard_ms in times.items() if now - heard_ms < self.tuning.lease_ms]
        return 2 * len(members) > len(alive)

    original = Proposer.receive
    return [Patch(Proposer, "receive", receive), Patch(Proposer, "_has_quorum", enough)]


def _acts_without_lease_check() -> list[Patch]:
    """Who has ever held a lease goes on acting under its last token."""
    last_tokens: dict[tuple[str, int, str], int] = {}

    def held_token(self: Proposer, now_ms: float, margin_ms: float | None = None) -> int | None:
        key = (self.me, self.incarnation, self.name)
        if self.token:
            last_tokens[key] = self.token
        return last_tokens.get(key)

    return [Patch(Proposer, "held_token", held_token)]


def _accepts_every_token() -> list[Patch]:
    def accept(self: Fence, name: str, token: int, holder: str) -> bool:
        return True

    return [Patch(Fence, "accept", accept)]


def _accepts_without_promise() -> list[Patch]:
    """An acceptor that has forgotten its promise accepts all the same, as in the paper: a promise from before
    its restart, heard late, then counts though it no longer binds."""

    def handle_request(self: Acceptor, now_ms: float, sender: str, request: LeaseMessage) -> Any:
        if request.kind is LeaseMessageKind.PROPOSE and request.round >= (
            self.promised.round if self.promised else 0
        ):
            self.promised = Ballot(request.round, request.incarnation, sender)
        return original(self, now_ms, sender, request)

    original = Acceptor.handle_request
    return [Patch(Acceptor, "handle_request", handle_request)]


def _uses_new_member_set_alone() -> list[Patch]:
    """A proxy goes by the new declared set alone, at once."""

    def add_sets(self: Proposer, sets: tuple[int, ...]) -> None:
        if self.sets != sets[-1:]:
            self.sets, self.ballot, self.open_acceptors, self.accepted_by = sets[-1:], None, frozenset(), frozenset()
            self.abandon_attempt()

    return [Patch(Proposer, "add_sets", add_sets)]


def _rounds_restart_at_one() -> list[Patch]:
    """Rounds begin at 1 after every start, and acceptors tell nobody what they know."""

    def begin(self: node.LeaseNode) -> None:
        self.initial_round = 0
        original(self)

    original = node.LeaseNode.__post_init__
    return [Patch(node.LeaseNode, "__post_init__", begin)]


def _no_takeover_of_silent_members() -> list[Patch]:
    """Members count as alive whatever is heard of them, so nobody takes over the duties of a silent one."""

    def always(self: DutyNode, name: str) -> bool:
        return True

    def overdue(self: DutyNode, now_ms: float, duty: str, rank: int, owner: str) -> float:
        return original(self, now_ms, duty, rank, owner) if rank == 0 else -1.0

    original = DutyNode._overdue_ms
    return [
        Patch(DutyNode, "_may_be_alive", always),
        Patch(DutyNode, "_is_alive", always),
        Patch(DutyNode, "_overdue_ms", overdue),
    ]


register("no-quiet", GROUP, "an acceptor answers at once after a restart", _answers_without_quiet_time)
register("timer-at-answer", GROUP, "the holder's timer starts when a majority has accepted", _timer_starts_at_accept)
register(
    "majority-of-living", GROUP, "a majority of the members heard from lately is enough", _majority_of_live_members
)
register("no-guard", GROUP, "acts go on under the last token without checking the lease", _acts_without_lease_check)
register("no-fence", GROUP, "a fence accepts every token", _accepts_every_token)
register(
    "any-promise", GROUP, "an acceptor accepts a ballot that it promised before its restart", _accepts_without_promise
)
register(
    "one-set",
    GROUP,
    "the new declared member set counts alone from the moment it is heard of",
    _uses_new_member_set_alone,
)
register("no-takeover", GROUP, "the duties of a silent proxy are left to it", _no_takeover_of_silent_members)
register("low-tokens", GROUP, "rounds begin at 1 after every start", _rounds_restart_at_one)
