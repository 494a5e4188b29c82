"""The queue of a connection's waiting requests: order, bound, and bytes that are kept as they came."""

from __future__ import annotations

import pytest

from beechslip.platform.http_messages import HttpResponse
from beechslip.platform.request_assembler import WholeRequest
from beechslip.platform.request_queue import MAX_READ_AHEAD_BYTES, RequestQueue


def create_request(number: int) -> WholeRequest:
    head = b"PUT /rpc/pick-submit/%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (number, number)
    return WholeRequest(head, None, b"b" * number, float(number))


@pytest.mark.parametrize("popped_between", [0, 1, 3])
def test_requests_come_out_as_they_went_in(popped_between: int) -> None:
    queue, popped = RequestQueue(), list[WholeRequest]()
    for number in range(50):
        queue.append(create_request(number))
        if number % 4 == 3:
            popped += [queue.pop() for _ in range(popped_between)]
    while queue.has_request:
        popped.append(queue.pop())
    assert popped == [create_request(number) for number in range(50)]
    assert not queue and queue.held_bytes == 0


def test_a_queue_has_room_up_to_its_bound_and_none_behind_a_refusal() -> None:
    queue = RequestQueue()
    queue.append(create_request(MAX_READ_AHEAD_BYTES // 2))
    assert queue.has_room_for(MAX_READ_AHEAD_BYTES // 4) and not queue.has_room_for(MAX_READ_AHEAD_BYTES)
    queue.refusals_owed = 3
    assert not queue.has_room_for(1) and queue.take_refusals(2) == 2 and queue.take_refusals(2) == 1


def test_a_cleared_queue_owes_nothing() -> None:
    queue = RequestQueue()
    for number in range(3):
        queue.append(create_request(number))
    queue.refusals_owed, queue.last_response = 2, HttpResponse(400)
    queue.clear()
    assert not queue and not queue.has_request and queue.held_bytes == 0
    queue.append(create_request(7))
    assert queue.pop() == create_request(7) and not queue
