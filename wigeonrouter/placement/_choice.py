"""Chooses the backend server of a request, or to wait for a better one.

Load pattern: few slots a server, a quarter of the servers several times
slower at any moment, requests that are worth ten times more when answered
in time. A request is sent where the chance of an answer in time is best. It
waits at the node while a server that fits may still come free, and a late
request leaves room for those that can be in time.
"""

import dataclasses
import math

from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _health
from wigeonrouter.placement import _records
from wigeonrouter.placement import _waiting

# Worth of a late answer, as a part of one in time.
LATE_WORTH = 0.1
_LEAST_SCALE_S = 0.0005
# What using a farther server costs, as a part of an answer's worth.
TIER_COST = {
    _records.Tier.DOMAIN: 0.0,
    _records.Tier.REGION: 0.01,
    _records.Tier.REMOTE: 0.15,
}
# Standard deviation of actual times, as a part of the estimate.
_SPREAD = 0.3
# Scale of a logistic distribution per standard deviation.
_LOGISTIC_SCALE = math.sqrt(3) / math.pi
# A place that comes free is expected after about this time.
WAIT_S = 0.04
# Waiting has to promise this much more worth than sending now.
_WAIT_MARGIN = 0.2
# Reports that are older are asked for again before a choice.
FRESH_S = 0.04
# Servers that are asked for their load before a choice, at a node that gets
# requests of the service at this rate per second, and at others.
_PROBES = 4
_PROBES_IDLE = 1
_BUSY_RATE = 2.0
# Share of the servers that has to be allowed before failures are ignored.
_MIN_ALLOWED_SHARE = 0.34
# A server that is slower is not used for answers that come late anyhow: they
# would hold its slots for several times as long.
_SLOW = 2.0
# Share of the slots in use from which on late answers do not get slow
# servers, and from which on they do not get a server's last slot.
_SLOW_PRESSURE = 0.3
_FULL_PRESSURE = 0.6
# Expected worth below which an answer probably comes late.
_DOOMED_WORTH = 0.3
# An estimate that differs by a second counts as much as this much worth.
_WORTH_PER_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """The best server for a request now.

    Attributes:
      view: ServerView, None where no server may be used.
      worth: expected worth of sending there now, as a part of full worth.
      wait: whether waiting at the node promises more.
    """

    view: _records.ServerView | None
    worth: float = 0.0
    wait: bool = False


def answer_worth(*, seconds, job, now):
    """Return the expected worth of an answer after some seconds."""
    if now + seconds > job.give_up:
        return 0.0
    slack = job.target - now
    if slack <= 0:
        return LATE_WORTH
    scale = _LOGISTIC_SCALE * _SPREAD * seconds + _LEAST_SCALE_S
    in_time = 1.0 / (1.0 + math.exp(min(50.0, (seconds - slack) / scale)))
    return LATE_WORTH + (1.0 - LATE_WORTH) * in_time


def worth_of(view, *, job, work, usual, now):
    """Return the expected worth of sending a request to a server now."""
    seconds = _estimate.expected_seconds(view, work=work, usual=usual, now=now)
    worth = answer_worth(seconds=seconds, job=job, now=now)
    success = 1.0 - _health.failure_now(view, now)
    return (
        worth * success
        - TIER_COST[view.tier]
        - _WORTH_PER_S * min(1.0, seconds)
    )


def usable(views, *, job, now):
    """Return the views that may get a request and have a place for it.

    Servers that are left alone because they failed are taken all the same
    where hardly any other is there.
    """
    views = [view for view in views if view.instance not in job.excluded]
    allowed = [view for view in views if _health.may_use(view, now)]
    if len(allowed) < _MIN_ALLOWED_SHARE * len(views):
        allowed = views
    return [
        view
        for view in allowed
        if _estimate.expected_load(view, now) + 0.5 <= view.slots
    ]


def probe_count(rate):
    """Return how many servers to ask before a choice.

    Load pattern: callers of a service go to its home, and now and then a
    request comes to one of the many other nodes. That one knows nothing of
    the servers and has no connections to them, which are paid for.

    Args:
      rate: requests of the service that come to this node in a second.
    """
    return _PROBES if rate >= _BUSY_RATE else _PROBES_IDLE


def probe_candidates(views, *, job, work, usual, now, most):
    """Return the servers to ask for their load before the choice.

    Args:
      views: ServerViews of one service.
      most: largest number of servers to consider.
    Returns:
      A list of views, the most promising ones by what is known, without
      those whose reports are fresh.
    """
    ranked = sorted(
        usable(views, job=job, now=now),
        key=lambda view: worth_of(
            view, job=job, work=work, usual=usual, now=now
        ),
        reverse=True,
    )
    return [
        view
        for view in ranked[:most]
        if view.report is None or now - view.report.received > FRESH_S
    ]


def worth_of_waiting(*, job, work, usual, now, ahead, slots):
    """Return the expected worth of waiting for a near server.

    Args:
      ahead: waiting requests that go first.
      slots: slots of the near servers.
    """
    queue = _waiting.expected_wait(
        ahead=ahead, work=work, slowness=usual, slots=slots
    )
    return answer_worth(seconds=max(WAIT_S, queue) + work, job=job, now=now)


def choose(views, *, job, work, usual, now, pressure):
    """Return the Pick for a request.

    An answer that probably comes late gets only what does not slow others
    down, as far as they need it.

    Args:
      views: ServerViews of one service that may be considered.
      job: Job.
      work: undisturbed seconds of work.
      usual: average slowness of all servers.
      now: seconds on the monotonic clock.
      pressure: share of the slots in use, 1 where fresh requests wait.
    """
    best, best_worth = None, float("-inf")
    late = _waiting.is_late(job, work=work, now=now)
    for view in usable(views, job=job, now=now):
        worth = worth_of(view, job=job, work=work, usual=usual, now=now)
        doomed = late or worth < _DOOMED_WORTH
        if doomed and _disturbs(view, usual, now, pressure):
            continue
        if worth > best_worth:
            best, best_worth = view, worth
    if best is None:
        return Pick(view=None, wait=True)
    hoped = answer_worth(seconds=WAIT_S + work, job=job, now=now)
    wait = not late and best_worth + _WAIT_MARGIN < hoped
    return Pick(view=best, worth=best_worth, wait=wait)


def _disturbs(view, usual, now, pressure):
    if pressure > _FULL_PRESSURE:
        load = _estimate.expected_load(view, now)
        if _estimate.is_full(load, view.slots):
            return True
    if pressure <= _SLOW_PRESSURE:
        return False
    return _estimate.expected_slowness(view, now, usual) > _SLOW
