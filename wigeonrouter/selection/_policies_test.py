"""Guards the policies: a table of cases for each rule, and invariants."""

import dataclasses
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter import selection

_OWN_DOMAIN = core.Place(region="r", failure_domain="a")
_OWN_REGION = core.Place(region="r", failure_domain="b")
_KIND = core.TrafficKind(name="k", idempotent=True)
_REQUEST = core.DispatchRequest(kind=_KIND, tenant="t", deadline=100.0)


def _view(name, *, place=_OWN_DOMAIN, reported=None, received=10.0, **fields):
    report = None
    if reported is not None:
        report = core.LoadReport(
            in_flight=reported,
            slots=2,
            draining=False,
            received=received,
            own_in_flight=0,
        )
    return core.BackendView(
        server=core.BackendServer(
            name=name,
            address=core.Address(host="127.0.0.1", port=1),
            place=place,
        ),
        report=report,
        **fields,
    )


def _choose(policy, views, *, seed=1, **context):
    choice = selection.find_policy(policy)(
        views=tuple(views),
        request=_REQUEST,
        context=selection.PolicyContext(
            place=_OWN_DOMAIN,
            routing=core.RoutingSettings(),
            now=10.0,
            rng=random.Random(seed),
            **{"sequence": 1, **context},
        ),
    )
    if isinstance(choice, selection.Choice):
        return choice.server.name
    return None


@pytest.mark.parametrize(
    ("policy", "views", "context", "expected"),
    [
        ("free_slot", [_view("a", in_flight=2)], {}, None),
        (
            "free_slot",
            [_view("a", in_flight=2), _view("b", in_flight=1)],
            {},
            "b",
        ),
        ("free_slot", [_view("a", reported=2), _view("b")], {}, "b"),
        ("free_slot", [_view("a", reported=2, received=9.0)], {}, "a"),
        ("free_slot", [_view("a", place=_OWN_REGION), _view("b")], {}, "b"),
        ("free_slot", [_view("a", limit=1.5, in_flight=1)], {}, None),
        (
            "free_slot",
            [_view("a", refusals_in_row=1, last_used=9.99), _view("b")],
            {},
            "b",
        ),
        (
            "free_slot",
            [
                _view("a", refusals_in_row=1, last_used=9.99),
                _view("b", in_flight=2),
            ],
            {},
            None,
        ),
        (
            "free_slot",
            [_view("a", refusals_in_row=1, last_used=9.99)],
            {},
            "a",
        ),
        (
            "free_slot",
            [_view("a", place=_OWN_REGION, in_flight=2)],
            {"queue_length": 2},
            "a",
        ),
        ("free_slot", [_view("a", in_flight=2)], {"queue_length": 2}, None),
        ("round_robin", [_view("a"), _view("b")], {"sequence": 3}, "b"),
        (
            "least_in_flight",
            [_view("a", in_flight=3), _view("b", in_flight=2)],
            {},
            "b",
        ),
        (
            "two_choices",
            [_view("a", in_flight=3), _view("b", in_flight=2)],
            {},
            "b",
        ),
        (
            "two_choices_reported",
            [_view("a", reported=2), _view("b", in_flight=1)],
            {},
            "b",
        ),
        (
            "hot_cold",
            [
                _view("a", reported=2, latency=0.001),
                _view("b", reported=0, latency=0.02),
                _view("c", reported=0, latency=0.01),
            ],
            {},
            "c",
        ),
        (
            "idle_queue",
            [
                _view("a", reported=0, received=9.0),
                _view("b", reported=0, received=8.0),
                _view("c", reported=2, received=7.0),
            ],
            {},
            "b",
        ),
        (
            "slot_shares",
            [_view("a"), _view("b")],
            {"slot_share": (2, 4)},
            "b",
        ),
        (
            "slot_shares",
            [_view("a"), _view("b", in_flight=1)],
            {"slot_share": (2, 4)},
            None,
        ),
        (
            "node_status",
            [_view("a", in_flight=1), _view("b"), _view("c", in_flight=4)],
            {"policy_state": "a"},
            "a",
        ),
        (
            "node_status",
            [_view("a", in_flight=4), _view("b"), _view("c", in_flight=1)],
            {"policy_state": "a"},
            "b",
        ),
    ],
)
def test_each_policy_follows_its_rule(policy, views, context, expected):
    assert _choose(policy, views, **context) == expected


_VIEWS = strategies.lists(
    strategies.builds(
        _view,
        strategies.just("s"),
        place=strategies.sampled_from((_OWN_DOMAIN, _OWN_REGION)),
        reported=strategies.sampled_from((None, 0, 2, 10**9)),
        in_flight=strategies.integers(0, 3),
        latency=strategies.sampled_from((0.0, 0.01)),
        refusals_in_row=strategies.integers(0, 5000),
        state=strategies.sampled_from(
            (core.ServerState.READY, core.ServerState.COLD)
        ),
    ),
    min_size=1,
    max_size=6,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(views=_VIEWS, seed=strategies.integers(0, 9))
def test_no_policy_fails_and_free_slot_never_overfills(views, seed):
    """Outdated, missing and extreme load reports must not break a choice."""
    views = [
        dataclasses.replace(
            view, server=dataclasses.replace(view.server, name=f"s{number}")
        )
        for number, view in enumerate(views)
    ]
    by_name = {view.server.name: view for view in views}
    for policy in selection.policy_names():
        name = _choose(policy, views, seed=seed)
        assert name is None or name in by_name
    name = _choose("free_slot", views, seed=seed)
    if name is not None:
        view = by_name[name]
        assert view.in_flight + 1 <= selection.concurrency_limit(view)
