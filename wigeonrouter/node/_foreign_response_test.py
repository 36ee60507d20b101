"""Tests of what a response teaches that another server has given."""

import dataclasses

import pytest

from wigeonrouter import placement
from wigeonrouter.node import _prober
from wigeonrouter.node import conftest
from wigeonrouter.node import messages

PAUSE_S = 20.0
LIMIT_PER_S = 1.5
SLOWDOWN = 4.0


@pytest.fixture
def statement(make_metadata):
    """Return a function that makes the metadata of a rejection.

    It has all the statements that a response may carry.
    """

    def make(instance):
        return make_metadata(
            instance=instance,
            not_executed=True,
            leaving=True,
            pause=PAUSE_S,
            rate_limit=LIMIT_PER_S,
            load=messages.ServerLoad(
                running=2, queued=3, slots=2, slowdown=SLOWDOWN
            ),
        )

    return make


@pytest.fixture
def after_response(make_server_pool, make_known_server, route):
    """Return a function that returns the ServerPool after a response.

    Its only server is "near".
    """

    def run(metadata, outcome=placement.AttemptOutcome.REJECTED):
        pool = make_server_pool()
        pool.configure(
            health_path="/health", registered=[make_known_server("near")]
        )
        (view,) = pool.views.local
        grant = pool.grant(placement.Pick(view=view), 0.1)
        pool.release(
            grant,
            route=route,
            outcome=outcome,
            metadata=metadata,
            latency=0.01,
            timed_out=False,
        )
        return pool

    return run


def _what_is_known(pool):
    view = pool.views.get("near")
    return (
        view.leaving,
        view.paused_until > float("-inf"),
        view.rate_limit,
        view.report is not None and view.report.slowdown == SLOWDOWN,
    )


@pytest.mark.parametrize("instance", ["", "near"])
def test_statements_of_the_server_itself_count(
    after_response, statement, instance
):
    """Guards against statements that are lost with those of others."""
    pool = after_response(statement(instance))
    assert _what_is_known(pool) == (True, True, LIMIT_PER_S, True)


def test_statements_of_another_server_do_not_count(after_response, statement):
    """Guards against a server that is left out for what another one said.

    Two entries have one address, or an address is used again.
    """
    pool = after_response(statement("other"))
    assert _what_is_known(pool) == (False, False, None, False)
    assert pool.views.statements == ()
    assert pool.views.rate_limit_statements == {}
    assert pool.in_flight == 0


def test_load_in_a_misdirected_response_is_not_taken(
    after_response, statement
):
    """Guards against the load of another server that names no instance."""
    metadata = dataclasses.replace(statement(""), misdirected=True)
    pool = after_response(metadata)
    assert _what_is_known(pool) == (False, False, None, False)


def test_misdirected_response_does_not_mean_that_a_server_is_full(
    after_response, make_metadata
):
    """Guards against a server that is back and counts as full."""
    pool = after_response(make_metadata(not_executed=True, misdirected=True))
    assert pool.views.get("near").report is None


def test_failure_counts_whoever_has_responded(after_response, make_metadata):
    """Guards against requests that go on to an address where they fail.

    A server may name itself otherwise in its responses than in its entry.
    """
    pool = after_response(
        make_metadata(instance="other"), placement.AttemptOutcome.FAILED
    )
    assert pool.views.get("near").consecutive_failures == 1


def test_health_check_that_another_server_answers_teaches_nothing(
    make_server_pool, make_known_server, statement
):
    """Guards against a health check that is taken for another server's."""
    result = _prober.ProbeResult(
        healthy=False,
        instance_matches=False,
        metadata=statement("other"),
        round_trip=0.001,
    )
    pool = make_server_pool(prober=conftest.AnsweringProber(result))
    pool.configure(
        health_path="/health", registered=[make_known_server("near")]
    )
    pool.probe(pool.views.local, remote=False)
    assert _what_is_known(pool) == (False, False, None, False)
