"""Tests of the order of waiting requests and of turning away."""

import random

from wigeonrouter import placement

WORK = 0.16


def test_requests_in_time_go_before_late_ones(make_job, now):
    """Guards against serving the oldest first after an outage.

    Replays the return of all callers: most are late, some are fresh.
    """
    line = placement.WaitingLine()
    for index in range(20):
        line.add(f"late {index}", make_job(target=-0.1 * index), WORK)
    line.add("fresh", make_job(target=0.4), WORK)
    assert line.head(now)[0] == "fresh"
    assert line.count_late(now) == 20


def test_urgent_requests_go_first(make_job, now):
    """Guards against a less urgent kind delaying a more urgent one."""
    line = placement.WaitingLine()
    line.add("usual", make_job(target=0.3, priority=2), WORK)
    line.add("urgent", make_job(target=0.4, priority=0), WORK)
    assert line.head(now) == ["urgent", "usual"]


def test_late_requests_nearest_to_their_end_go_first(make_job, now):
    """Guards against requests that end unserved while others could wait."""
    line = placement.WaitingLine()
    line.add("long", make_job(target=-1, give_up=2.0), WORK)
    line.add("short", make_job(target=-1, give_up=0.5), WORK)
    assert line.head(now) == ["short", "long"]


def test_removed_request_waits_no_more(make_job, now):
    """Guards against a slot for a request whose caller has gone."""
    line = placement.WaitingLine()
    line.add("gone", make_job(), WORK)
    line.remove("gone")
    assert not line.head(now) and len(line) == 0


def test_what_cannot_be_served_is_turned_away_at_once(make_job, now):
    """Guards against holding a request until its caller gives up."""
    job = make_job(give_up=1.0)
    assert placement.turn_away(job, wait=0.9, work=WORK, now=now)
    assert not placement.turn_away(job, wait=0.5, work=WORK, now=now)


def test_late_requests_wait_only_for_a_moving_line(make_job, now):
    """Guards against a long line of late requests that hardly moves."""
    rate = placement.late_rate()
    job = make_job(target=-1, give_up=1.0)
    slow = placement.late_wait(ahead=5, rate=rate.per_second(now))
    assert placement.turn_late_away(job, wait=slow, now=now)
    for _ in range(40):
        rate.count(now)
    quick = placement.late_wait(ahead=5, rate=rate.per_second(now))
    assert not placement.turn_late_away(job, wait=quick, now=now)
    assert rate.per_second(now + 5) < 2


def test_request_that_just_became_late_is_kept_where_there_is_room(make_job):
    """Guards against a refusal while servers come free all the time.

    Replays the loss of a fourth of a region's servers: requests that waited
    200 ms for the rest became late one at a time, were told to return after
    a second or two, and were answered 1.5 s later than they could have been.
    """
    job = make_job(target=0.1, give_up=1.7)
    spare = placement.spare_rate(
        slots=10, work=WORK, slowness=1.5, arrivals=15.0
    )
    wait = placement.late_wait(ahead=1, rate=spare)
    assert not placement.turn_late_away(job, wait=wait, now=100.0)


def test_no_room_is_left_for_late_requests_under_overload():
    """Guards against a line of late requests that fresh ones overtake."""
    assert not placement.spare_rate(
        slots=10, work=WORK, slowness=1.5, arrivals=40.0
    )


def test_callers_turned_away_together_return_apart():
    """Guards against a second wave of the same callers."""
    rng = random.Random(1)
    times = [placement.retry_after(wait=0.8, rng=rng) for _ in range(100)]
    assert max(times) - min(times) > 0.6
    assert min(times) >= 0.05
