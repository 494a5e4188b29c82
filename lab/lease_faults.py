"""Injected faults of leases, and of the duties that depend on them."""

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
    def post_init_without_quiet_time(self: node.LeaseNode) -> None:
        original(self)
        self.quiet_until_ms = 0.0
        for acceptor in self.acceptors.values():
            acceptor.quiet_until_ms = 0.0

    original = node.LeaseNode.__post_init__
    return [Patch(node.LeaseNode, "__post_init__", post_init_without_quiet_time)]


def _timer_starts_at_accept() -> list[Patch]:
    def restart_timer(self: Proposer, now_ms: float) -> None:
        self.proposal_began_ms = now_ms
        original(self, now_ms)

    original = Proposer._start_or_extend_tenure
    return [Patch(Proposer, "_start_or_extend_tenure", restart_timer)]


def _majority_of_live_members() -> list[Patch]:
    """Assume that members not heard from within a lease time are dead, and leave them out of the majority."""
    last_heard_ms: dict[tuple[str, int], dict[str, float]] = {}

    def record_sender(self: Proposer, now_ms: float, sender: str, message: LeaseMessage) -> Any:
        last_heard_ms.setdefault((self.me, self.incarnation), {})[sender] = now_ms
        return original(self, now_ms, sender, message)

    def has_live_majority(self: Proposer, members: frozenset[str]) -> bool:
        heard_by_member = last_heard_ms.get((self.me, self.incarnation), {})
        latest_ms = max(heard_by_member.values(), default=0.0)
        alive = [
            member for member, heard_ms in heard_by_member.items() if latest_ms - heard_ms < self.tuning.lease_ms
        ]
        return 2 * len(members) > len(alive)

    original = Proposer.receive
    return [Patch(Proposer, "receive", record_sender), Patch(Proposer, "_has_quorum", has_live_majority)]


def _acts_without_lease_check() -> list[Patch]:
    """Let a member that has ever held a lease continue to act under its last token."""
    last_tokens: dict[tuple[str, int, str], int] = {}

    def last_known_token(self: Proposer, now_ms: float, margin_ms: float | None = None) -> int | None:
        key = (self.me, self.incarnation, self.name)
        if self.token:
            last_tokens[key] = self.token
        return last_tokens.get(key)

    return [Patch(Proposer, "held_token", last_known_token)]


def _accepts_every_token() -> list[Patch]:
    def accept_any(self: Fence, name: str, token: int, holder: str) -> bool:
        return True

    return [Patch(Fence, "accept", accept_any)]


def _accepts_without_promise() -> list[Patch]:
    """Let an acceptor accept a ballot although it has forgotten its promise, as in the paper.

    A promise from before the acceptor's restart that arrives late is then counted, although it no longer binds.
    """

    def answer_without_promise(self: Acceptor, now_ms: float, sender: str, request: LeaseMessage) -> Any:
        if request.kind is LeaseMessageKind.PROPOSE and request.round >= (
            self.promised.round if self.promised else 0
        ):
            self.promised = Ballot(request.round, request.incarnation, sender)
        return original(self, now_ms, sender, request)

    original = Acceptor.handle_request
    return [Patch(Acceptor, "handle_request", answer_without_promise)]


def _uses_new_member_set_alone() -> list[Patch]:
    """Let a proxy use the new declared set alone, immediately."""

    def use_latest_set(self: Proposer, sets: tuple[int, ...]) -> None:
        if self.sets != sets[-1:]:
            self.sets, self.ballot, self.open_acceptors, self.accepted_by = sets[-1:], None, frozenset(), frozenset()
            self.abandon_attempt()

    return [Patch(Proposer, "add_sets", use_latest_set)]


def _rounds_restart_at_one() -> list[Patch]:
    """Begin rounds at 1 after every start, without what acceptors report of earlier rounds."""

    def post_init_without_hint(self: node.LeaseNode) -> None:
        self.initial_round = 0
        original(self)

    original = node.LeaseNode.__post_init__
    return [Patch(node.LeaseNode, "__post_init__", post_init_without_hint)]


def _no_takeover_of_silent_members() -> list[Patch]:
    """Treat every member as alive, so that the duties of a silent member are not taken over."""

    def alive_always(self: DutyNode, name: str) -> bool:
        return True

    def overdue_for_owner_only(self: DutyNode, now_ms: float, duty: str, rank: int, owner: str) -> float:
        return original(self, now_ms, duty, rank, owner) if rank == 0 else -1.0

    original = DutyNode._overdue_ms
    return [
        Patch(DutyNode, "_may_be_alive", alive_always),
        Patch(DutyNode, "_is_alive", alive_always),
        Patch(DutyNode, "_overdue_ms", overdue_for_owner_only),
    ]


register("no-quiet", GROUP, "an acceptor answers at once after a restart", _answers_without_quiet_time)
register("timer-at-answer", GROUP, "the holder's timer starts when a majority has accepted", _timer_starts_at_accept)
register("majority-of-living", GROUP, "a majority of the recently heard members is enough", _majority_of_live_members)
register("no-guard", GROUP, "acts continue under the last token without a lease check", _acts_without_lease_check)
register("no-fence", GROUP, "a fence accepts every token", _accepts_every_token)
register(
    "any-promise", GROUP, "an acceptor accepts a ballot that it promised before its restart", _accepts_without_promise
)
register(
    "one-set",
    GROUP,
    "the new declared member set is used alone as soon as it is known",
    _uses_new_member_set_alone,
)
register("no-takeover", GROUP, "the duties of a silent proxy are not taken over", _no_takeover_of_silent_members)
register("low-tokens", GROUP, "rounds begin at 1 after every start", _rounds_restart_at_one)
