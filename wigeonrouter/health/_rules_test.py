"""Guards against requests to draining, unresponsive or failing servers."""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter import health

_SETTINGS = core.HealthSettings()
_PLACE = core.Place(region="r", failure_domain="r-a")


def _server(number, draining=False):
    return core.BackendServer(
        name=f"g/s{number}",
        address=core.Address(host="127.0.0.1", port=1000 + number),
        place=_PLACE,
        draining=draining,
    )


def _group(count=4):
    return [
        health.new_view(server=_server(i), now=0.0, known_group=False)
        for i in range(count)
    ]


def _attempt(outcome, report=None, cancelled=False):
    return core.AttemptResult(
        outcome=outcome, latency=0.01, report=report, cancelled=cancelled
    )


def _report(draining):
    return core.LoadReport(
        in_flight=0, slots=2, draining=draining, received=0, own_in_flight=0
    )


def _step(view, attempt, group, now=1.0):
    view = health.after_attempt(view=view, attempt=attempt)
    return health.next_state(
        view=view, attempt=attempt, group=group, settings=_SETTINGS, now=now
    )


def _probe(view, now, **result):
    return health.after_probe(
        view=view, probe=health.ProbeResult(**result), now=now
    )


def _view_after_outcomes(outcomes, count=4):
    group = _group(count)
    view = group[0]
    for outcome in outcomes:
        view = _step(view, _attempt(outcome), group)
    return view


@pytest.mark.parametrize(
    ("outcomes", "state"),
    [
        ([core.Outcome.FAILED] * 2, core.ServerState.READY),
        ([core.Outcome.FAILED] * 3, core.ServerState.EJECTED),
        ([core.Outcome.UNKNOWN] * 1, core.ServerState.READY),
        ([core.Outcome.UNKNOWN] * 2, core.ServerState.EJECTED),
        (
            [core.Outcome.FAILED, core.Outcome.OK, core.Outcome.FAILED] * 3,
            core.ServerState.READY,
        ),
        ([core.Outcome.NOT_RUN] * 9, core.ServerState.READY),
    ],
)
def test_failing_and_unresponsive_servers_are_ejected(outcomes, state):
    assert _view_after_outcomes(outcomes).state is state


@pytest.mark.parametrize(
    "state", [core.ServerState.READY, core.ServerState.COLD]
)
def test_refusing_server_backs_off_exponentially(state):
    group = _group()
    view = dataclasses.replace(group[0], state=state)
    refused = core.AttemptResult(
        outcome=core.Outcome.NOT_RUN, latency=0.001, refused=True
    )
    now, pauses = 0.0, []
    for _ in range(4):
        view = _step(view, refused, group, now)
        assert not health.is_eligible(
            view=view, draining_addresses=frozenset()
        )
        pauses.append(view.ejected_until - now)
        now = view.ejected_until
        view = health.advance(view=view, settings=_SETTINGS, now=now)
        assert health.is_eligible(view=view, draining_addresses=frozenset())
    assert pauses == pytest.approx([0.1, 0.2, 0.4, 0.8])


def test_cancelled_attempt_does_not_change_the_view():
    group = _group()
    view = group[0]
    for _ in range(9):
        view = _step(
            view, _attempt(core.Outcome.UNKNOWN, cancelled=True), group
        )
    assert view == group[0]


def test_ejections_respect_max_ejected_ratio():
    group = _group(4)
    for index, view in enumerate(group):
        for _ in range(5):
            view = _step(view, _attempt(core.Outcome.FAILED), group)
            group[index] = view
    ejected = [v for v in group if v.state is core.ServerState.EJECTED]
    assert len(ejected) == 2
    assert _view_after_outcomes([core.Outcome.FAILED] * 9, count=1).state is (
        core.ServerState.READY
    )


def test_draining_server_stays_draining_despite_healthy_probes():
    group = _group()
    attempt = _attempt(core.Outcome.OK, report=_report(draining=True))
    view = _step(group[0], attempt, group)
    view = _probe(view, reached=True, healthy=True, now=2.0)
    view = health.advance(view=view, settings=_SETTINGS, now=1000.0)
    assert not health.is_eligible(view=view, draining_addresses=frozenset())


def test_drain_announced_in_a_probe_response_is_applied():
    view = _probe(_group()[0], reached=True, draining=True, now=1.0)
    assert not health.is_eligible(view=view, draining_addresses=frozenset())


def test_restarted_server_returns_in_slow_start():
    group = _group()
    attempt = _attempt(core.Outcome.OK, report=_report(draining=True))
    view = _step(group[0], attempt, group)
    view = _probe(view, reached=False, now=2.0)
    view = _probe(view, reached=True, healthy=True, now=3.0)
    assert view.state is core.ServerState.COLD
    assert health.is_eligible(view=view, draining_addresses=frozenset())


def test_half_open_server_gets_no_non_idempotent_requests():
    view = _view_after_outcomes([core.Outcome.UNKNOWN] * 2)
    view = health.advance(view=view, settings=_SETTINGS, now=100.0)
    others = tuple(_group()[1:])
    assert view.state is core.ServerState.COLD
    assert health.non_idempotent_candidates((view, *others)) == others
    assert health.non_idempotent_candidates((view,)) == (view,)
    probed = _probe(view, reached=True, healthy=True, now=101.0)
    assert probed in health.non_idempotent_candidates((probed, *others))


@pytest.mark.parametrize("source", ["settings", "fact"])
def test_declared_drain_makes_a_server_ineligible(source):
    view = _group()[0]
    draining = frozenset()
    if source == "settings":
        view = dataclasses.replace(view, server=_server(0, draining=True))
    else:
        draining = frozenset((str(view.server.address),))
    assert not health.is_eligible(view=view, draining_addresses=draining)


class GroupMachine(stateful.RuleBasedStateMachine):
    """Random attempts, probes and clock steps on a group of four servers."""

    def __init__(self):
        super().__init__()
        self.group = _group(4)
        self.now = 0.0
        self.announced_drain = set()

    @stateful.rule(
        index=strategies.integers(0, 3),
        outcome=strategies.sampled_from(core.Outcome),
        draining=strategies.booleans(),
    )
    def attempt(self, index, outcome, draining):
        view = self.group[index]
        if not health.is_eligible(view=view, draining_addresses=frozenset()):
            return
        report = _report(draining)
        self.group[index] = _step(
            view, _attempt(outcome, report=report), self.group, self.now
        )
        if draining:
            self.announced_drain.add(index)

    @stateful.rule(
        index=strategies.integers(0, 3),
        reached=strategies.booleans(),
        healthy=strategies.booleans(),
    )
    def probe(self, index, reached, healthy):
        if not reached:
            self.announced_drain.discard(index)
        self.group[index] = _probe(
            self.group[index],
            reached=reached,
            healthy=healthy and reached,
            now=self.now,
        )

    @stateful.rule(seconds=strategies.floats(0.0, 40.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.group = [
            health.advance(view=view, settings=_SETTINGS, now=self.now)
            for view in self.group
        ]

    @stateful.invariant()
    def draining_server_is_ineligible_until_it_restarts(self):
        for index in self.announced_drain:
            assert not health.is_eligible(
                view=self.group[index], draining_addresses=frozenset()
            )

    @stateful.invariant()
    def ejections_leave_at_least_half_of_the_group(self):
        not_draining = [
            view
            for view in self.group
            if view.state is not core.ServerState.DRAINING
        ]
        ejected = [
            view
            for view in not_draining
            if view.state is core.ServerState.EJECTED
        ]
        # Drains after the ejections may leave fewer than half.
        if not self.announced_drain and len(not_draining) == len(self.group):
            assert len(ejected) <= len(not_draining) / 2


test_drains_and_ejections_hold_in_any_sequence = GroupMachine.TestCase
