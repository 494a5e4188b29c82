"""Overdue attempts: which are cancelled, sent again or left alone."""

from __future__ import annotations

from dataclasses import replace

from beechslip.routing import interface as i
from tests.helpers import CACHES, HITS_NOTED, ORIGIN, PARENTS, Stage, attempts, entries, fills_until_ejected


def test_overdue_unsafe_request_is_not_cancelled() -> None:
    stage = Stage()
    for n in range(20):
        stage.ask(f"/o{n}", rule="order", left=3.0)
    new = stage.wait(2.5)
    assert not attempts(new) and not any(isinstance(a, i.Cancel) for a in new)


def test_attempt_is_not_cancelled_if_its_retry_would_take_the_same_route() -> None:
    # Guards against attempts that were cancelled and sent to the same cache again, three times: it was the only warm
    # cache of a zone and was ejected, with its trial in flight.
    one_of_each = tuple(e for e in entries() if e.backend in (CACHES[0], PARENTS[0], ORIGIN))
    stage = Stage(replace(HITS_NOTED, can_health_check=True), listed=one_of_each)
    stage.router.health.eject(stage.router.endpoints.backends[CACHES[0]])
    assert len(attempts(stage.ask("/a"))) == 1
    assert not [a for a in stage.wait(1.0) if isinstance(a, i.Cancel)]


def test_hanging_fills_count_as_late_before_they_end() -> None:
    # Guards against an origin that does not answer and is noticed only at the first time-outs, two seconds later.
    stage = Stage(HITS_NOTED)
    fills_until_ejected(stage, set(), 9)
    for n in range(8):
        stage.ask(f"/h{n}", size=40.0)
        stage.wait(0.2)
        stage.ask(f"/t{n}", "small", left=2.5, name=f"t{n}")  # its cache still answers hits
        for key in [k for k in stage.in_flight if k[0].startswith("t")]:
            stage.end(key, "ok", "hit")
    assert stage.router.limits.parent_fills.fraction < 1.0


def lose_a_third_of_answers(stage: Stage) -> None:
    """Send requests of which a third get no answer and the others a quick one."""
    for n in range(60):
        stage.ask(f"/x{n % 5}", name=f"n{n}")
        stage.wait(0.05)
        for key in [k for k in stage.in_flight if int(k[0][1:]) % 3]:
            stage.end(key, "ok", "hit")


def test_request_with_a_lost_answer_is_sent_again_to_the_same_cache() -> None:
    stage = Stage()
    lose_a_third_of_answers(stage)
    lost = attempts(stage.ask("/x1", name="lost"))[0]
    for n in range(20):  # the cache still answers other requests
        stage.ask("/x1", name=f"m{n}")
        stage.wait(0.05)
        stage.end((f"m{n}", 0), "ok", "hit")
    assert i.Cancel("lost", 0) in stage.actions
    assert attempts(stage.end(("lost", 0), "cancelled"))[0].backend == lost.backend


def test_retries_stay_within_the_budget_if_nine_in_ten_answers_are_lost() -> None:
    stage = Stage()
    for n in range(300):
        stage.ask(f"/x{n % 9}", name=f"n{n}")
        stage.wait(0.05)
        for key in list(stage.in_flight):
            if i.Cancel(*key) in stage.actions:
                stage.end(key, "cancelled")
            elif int(key[0][1:]) % 10 == 0 or stage.now - stage.sent_times[key] >= 6.0:
                stage.end(key, "ok", "hit")
    assert sum(stage.attempt_counts.values()) <= 300 + 300 * 0.1 + 10


def test_unsafe_request_is_not_cancelled_or_retried_where_answers_are_lost() -> None:
    stage = Stage()
    lose_a_third_of_answers(stage)
    stage.ask("/x1", rule="order", left=3.0, name="once")
    for n in range(50):
        stage.ask("/x1", name=f"m{n}")
        stage.wait(0.05)
        stage.end((f"m{n}", 0), "ok", "hit")
    assert stage.attempt_counts["once"] == 1
    assert not any(isinstance(a, i.Cancel) and a.request == "once" for a in stage.actions)


def test_requests_are_not_sent_again_where_late_answers_do_come() -> None:
    stage = Stage()
    for n in range(40):
        stage.ask(f"/x{n % 5}", name=f"n{n}")
        stage.wait(0.1)
        for key in [k for k in stage.in_flight if stage.now - stage.sent_times[k] > 0.4]:
            stage.end(key, "ok", "hit")
    assert not any(isinstance(a, i.Cancel) for a in stage.actions)
