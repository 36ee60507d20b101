"""Tests of what is given up when peers send more bytes than fit."""

import pytest

from wigeonrouter import core
from wigeonrouter import http1

LIMIT_BYTES = 1000


@pytest.fixture
def budget():
    """Return a BufferBudget."""
    return http1.BufferBudget(limit=LIMIT_BYTES)


@pytest.fixture
def start_receiving(budget):
    """Return a function that makes a reservation for a peer's bytes.

    It returns the reservation, the function that receives, and a list that is
    not empty once the connection was aborted.
    """

    def start(segment):
        reservation = budget.reserve()
        aborted = []
        receive = reservation.counting(
            lambda: b"" if aborted else segment,
            abort=lambda: aborted.append(True),
            problem=core.problems.ANSWER_TOO_LARGE,
        )
        return reservation, receive, aborted

    return start


def test_largest_message_is_given_up_for_a_small_one(budget, start_receiving):
    """Guards against an endless response that fails the others."""
    _, receive_endless, aborted = start_receiving(b"x" * 300)
    _, receive_small, _ = start_receiving(b"x" * 200)
    for _ in range(3):
        receive_endless()
    assert receive_small() == b"x" * 200
    assert aborted and budget.used == 200
    with pytest.raises(http1.MalformedMessage):
        receive_endless()


def test_end_of_an_aborted_connection_is_not_the_end_of_the_body(
    start_receiving,
):
    """Guards against a cut body that looks complete.

    A body without a length ends with its connection.
    """
    reservation, receive, _ = start_receiving(b"x" * 10)
    receive()
    reservation.abort()
    reader = http1.ResponseReader(
        receive=receive, max_bytes=1 << 20, allow_close_delimited=True
    )
    with pytest.raises(http1.MalformedMessage):
        reader.read(b"GET")


def test_single_message_over_the_limit_is_given_up(budget, start_receiving):
    """Guards against one endless message that takes all memory."""
    _, receive, aborted = start_receiving(b"x" * 400)
    receive()
    receive()
    with pytest.raises(http1.MalformedMessage):
        receive()
    assert aborted and budget.used == 0


def test_complete_message_is_kept(budget, start_receiving):
    """Guards against giving up a response that is ready for its caller."""
    complete, receive, complete_aborted = start_receiving(b"x" * 900)
    receive()
    complete.keep()
    _, receive_next, aborted = start_receiving(b"x" * 200)
    with pytest.raises(http1.MalformedMessage):
        receive_next()
    assert aborted and not complete_aborted
    complete.close()
    assert budget.used == 0


def test_next_response_is_counted_after_an_abort(budget, start_receiving):
    """Guards against a retry that fails because the first attempt did."""
    reservation, receive, _ = start_receiving(b"x" * 2000)
    with pytest.raises(http1.MalformedMessage):
        receive()
    receive_again = reservation.counting(
        lambda: b"whole", abort=lambda: None, problem=core.problems.ANSWER_LOST
    )
    assert receive_again() == b"whole"
    assert budget.used == 5


def test_lowered_limit_closes_no_connection_that_waits(
    budget, start_receiving
):
    """Guards against closing idle connections, which frees no memory.

    Complete messages alone may be over a limit that was lowered.
    """
    complete, receive, _ = start_receiving(b"x" * 900)
    receive()
    complete.keep()
    _, _, waiting_aborted = start_receiving(b"x")
    _, receive_next, aborted = start_receiving(b"x")
    budget.configure(limit=500)
    with pytest.raises(http1.MalformedMessage):
        receive_next()
    assert aborted and not waiting_aborted
