"""Guards slots and queued requests: no leak, no double grant, none lost."""

import random

import gevent
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter.bench import _policy_event_loop

_NORTH = core.Place(region="north", failure_domain="north-a")
_SOUTH = core.Place(region="south", failure_domain="south-a")
_KIND = core.TrafficKind(name="k", idempotent=True)


def _service(local=2, remote=1, **limits):
    places = [_NORTH] * local + [_SOUTH] * remote
    return core.EffectiveService(
        name="/s",
        match=core.MatchSettings(),
        servers=tuple(
            core.BackendServer(
                name=f"s{number}",
                address=core.Address(host="127.0.0.1", port=1000 + number),
                place=place,
            )
            for number, place in enumerate(places)
        ),
        limits=core.LimitSettings(**{"max_queue": 4, **limits}),
    )


def _request(now, tenant="a", remaining=1.0):
    return core.DispatchRequest(
        kind=_KIND, tenant=tenant, deadline=now + remaining
    )


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Drives a Dispatcher on a simulated clock."""

    def __init__(self):
        super().__init__()
        self.loop = _policy_event_loop.EventLoop()
        self.dispatcher = dispatch.Dispatcher(
            service=_service(),
            place=_NORTH,
            rng=random.Random(1),
            clock=self.loop.clock,
            call_later=self.loop.call_later,
        )
        self.grants = []
        self.waiting = {}
        self.delivered = set()
        self.number = 0

    @stateful.rule(
        tenant=strategies.sampled_from("ab"),
        remaining=strategies.sampled_from((0.005, 0.05, 1.0)),
    )
    def submit(self, tenant, remaining):
        self.number += 1
        number = self.number

        def deliver(result):
            assert number not in self.delivered
            assert number in self.waiting
            self.delivered.add(number)
            del self.waiting[number]
            if isinstance(result, core.Grant):
                self.grants.append(result)

        result = self.dispatcher.submit(
            _request(self.loop.now, tenant, remaining), deliver
        )
        if isinstance(result, dispatch.WaitingRequest):
            self.waiting[number] = result
        elif isinstance(result, core.Grant):
            self.grants.append(result)

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(
        data=strategies.data(),
        outcome=strategies.sampled_from(core.Outcome),
        cancelled=strategies.booleans(),
        reported=strategies.sampled_from((None, 0, 2, 9)),
    )
    def release(self, data, outcome, cancelled, reported):
        index = data.draw(strategies.integers(0, len(self.grants) - 1))
        grant = self.grants.pop(index)
        report = None
        if reported is not None:
            report = core.LoadReport(
                in_flight=reported,
                slots=2,
                draining=False,
                received=self.loop.now,
                own_in_flight=0,
            )
        self.dispatcher.release(
            grant,
            core.AttemptResult(
                outcome=outcome,
                latency=0.01,
                report=report,
                cancelled=cancelled,
            ),
        )

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def cancel_waiting(self, data):
        number = data.draw(strategies.sampled_from(sorted(self.waiting)))
        self.dispatcher.cancel_waiting(self.waiting.pop(number))

    @stateful.rule(seconds=strategies.sampled_from((0.001, 0.02, 0.5)))
    def wait(self, seconds):
        self.loop.run(self.loop.now + seconds)

    @stateful.rule(count=strategies.integers(1, 2))
    def reconfigure(self, count):
        self.dispatcher.reconfigure(_service(local=count))

    @stateful.invariant()
    def slots_agree(self):
        """Each grant holds one slot; each slot in use belongs to one grant."""
        grant_counts = {}
        for grant in self.grants:
            grant_counts[grant.server.name] = (
                grant_counts.get(grant.server.name, 0) + 1
            )
        for view in self.dispatcher.views:
            assert view.in_flight <= view.server.slots + 1
            assert view.in_flight <= grant_counts.get(view.server.name, 0)

    @stateful.invariant()
    def waiters_agree(self):
        assert self.dispatcher.queue_length == len(self.waiting)

    def teardown(self):
        """All queued requests get a result once all slots are released."""
        for view in self.dispatcher.views:
            grant_count = sum(
                g.server.name == view.server.name for g in self.grants
            )
            assert view.in_flight <= grant_count
        while self.grants:
            self.dispatcher.release(
                self.grants.pop(),
                core.AttemptResult(outcome=core.Outcome.OK, latency=0.01),
            )
        self.loop.run(self.loop.now + 100.0)
        self.dispatcher.advance()
        while self.grants:
            self.dispatcher.release(
                self.grants.pop(),
                core.AttemptResult(outcome=core.Outcome.OK, latency=0.01),
            )
        assert not self.waiting
        assert all(v.in_flight == 0 for v in self.dispatcher.views)


DispatcherMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestDispatcher = DispatcherMachine.TestCase


@pytest.fixture
def dispatcher():
    """Return a Dispatcher of one server with 2 slots."""
    return dispatch.Dispatcher(
        service=_service(local=1, remote=0),
        place=_NORTH,
        rng=random.Random(1),
    )


def _acquire(dispatcher, remaining=5.0):
    return dispatcher.acquire(_request(dispatcher._clock(), "a", remaining))


def _release(dispatcher, grant):
    dispatcher.release(
        grant, core.AttemptResult(outcome=core.Outcome.OK, latency=0.01)
    )


@pytest.mark.parametrize("killed_first", [True, False])
def test_a_killed_waiter_releases_its_grant(dispatcher, killed_first):
    """Guards against a leaked slot when a caller disconnects.

    The grant may be delivered before or after the waiting task is killed.
    """
    held_grants = [_acquire(dispatcher), _acquire(dispatcher)]

    def run():
        grant = _acquire(dispatcher)
        try:
            gevent.sleep(60)
        finally:
            _release(dispatcher, grant)

    waiter = gevent.spawn(run)
    gevent.sleep(0)
    assert dispatcher.queue_length == 1
    if killed_first:
        waiter.kill(block=False)
        _release(dispatcher, held_grants.pop())
    else:
        _release(dispatcher, held_grants.pop())
        waiter.kill(block=False)
    waiter.join(timeout=10)
    assert waiter.dead
    _release(dispatcher, held_grants.pop())
    assert [view.in_flight for view in dispatcher.views] == [0]
    assert dispatcher.queue_length == 0


def test_a_grant_delivered_during_the_timeout_is_not_leaked(
    dispatcher, monkeypatch
):
    """Guards against a leaked slot when the timeout fires first.

    AsyncResult.set() only schedules the wake-up of the waiting task.
    """
    held_grants = [_acquire(dispatcher), _acquire(dispatcher)]

    class LateWaiter:
        value = None

        def set(self, value):
            self.value = value

        def ready(self):
            return self.value is not None

        def get(self, timeout):
            _release(dispatcher, held_grants.pop())
            raise gevent.Timeout(timeout)

    monkeypatch.setattr("gevent.event.AsyncResult", LateWaiter)
    assert isinstance(_acquire(dispatcher), core.Grant)
