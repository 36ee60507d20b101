"""Tests of surplus responses and replacements in place in a soak run."""

import random

import gevent
from gevent import socket
import pytest

from wigeonrouter.platform import _emulator
from wigeonrouter.platform import testing
from wigeonrouter.soak import _environment
from wigeonrouter.soak import _faults
from wigeonrouter.soak import _records
from wigeonrouter.soak import _surplus
from wigeonrouter.soak import checks

_READ_TIMEOUT_S = 10.0
_WAIT_S = 5.0
_STEP_S = 0.01


@pytest.fixture
def environment():
    """A store and backend servers without nodes."""
    created = _environment.Environment(
        servers_per_domain=1,
        observations=_records.Observations(),
        rng=random.Random(1),
        has_pooled_callers=False,
    )
    yield created
    created.stop()


def wait_until(condition):
    """Wait until a condition holds."""
    with gevent.Timeout(_WAIT_S):
        while not condition():
            gevent.sleep(_STEP_S)


def exchange(sock, instance):
    """Send request r1 for an instance; return the CallerResponse."""
    data = testing.render_request(
        method="POST",
        target="/hold/r1",
        host=_environment.HOST,
        request_id="r1",
        remaining=1.0,
    )
    head, _, body = data.partition(b"\r\n\r\n")
    sock.sendall(
        b"%b\r\nExpect-Instance: %b\r\n\r\n%b"
        % (head, instance.encode(), body)
    )
    return testing.read_response(lambda: sock.recv(65536), method=b"POST")


def registered_names(environment, address):
    """Return the set of names that are registered with an address."""
    return {
        backend.instance
        for backend in environment.backends
        if testing.server_key(backend.instance) in environment.store.keys()
        and backend.registration()["address"] == address
    }


def test_servers_write_surplus_responses_in_turns(environment):
    """Guards against a soak whose servers write no response twice."""
    writers = [b.server.surplus for b in environment.active]
    task = gevent.spawn(
        _surplus.write_surplus_responses, environment, random.Random(1)
    )
    wait_until(lambda: any(writer.option for writer in writers))
    task.kill()
    assert not any(writer.option for writer in writers)


def test_replacement_shares_the_address_until_the_entry_is_gone(environment):
    """Guards against replacements after which no request gets two tries.

    A request reached a server twice on one connection in the incident because
    two names had its address.
    """
    task = gevent.spawn(
        _faults.replace_in_place, environment, random.Random(1)
    )
    wait_until(lambda: environment.observations.removed_at)
    (old,) = environment.observations.removed_at
    new = environment.backends[-1]
    address = f"127.0.0.1:{new.proxy.port}"
    assert registered_names(environment, address) == {old, new.instance}
    task.join(timeout=_WAIT_S)
    assert registered_names(environment, address) == {new.instance}


def test_soak_would_show_a_copied_refusal_that_is_taken_for_the_answer(
    environment,
):
    """Guards against a soak that does not see the fault of the incident.

    The caller is a stand-in for a node with that fault: it sends the request
    again on the connection and hands out the next response.
    """
    backend = environment.active[0]
    replacement = environment.replace_in_place(backend)
    replacement.server.surplus.option = _emulator.SurplusResponses(
        probabilities={_emulator.SurplusMoment.SAME_REQUEST: 1.0}
    )
    with socket.create_connection(
        ("127.0.0.1", replacement.proxy.port), timeout=_READ_TIMEOUT_S
    ) as sock:
        first = exchange(sock, backend.instance)
        handed_out = exchange(sock, replacement.instance)
        wait_until(lambda: replacement.server.ended)
    assert first.status == handed_out.status == 421
    observations = environment.observations
    environment.collect_observations()
    assert observations.surplus_responses == {"SAME_REQUEST": 1}
    observations.requests.append(
        _records.Request(
            request_id="r1",
            node="node-1",
            route="hold",
            idempotent=False,
            target="/hold/r1",
            sent=0.0,
            ended=0.1,
            patience=3.0,
            timeout=1.5,
            end=_records.End.ANSWERED,
            reply=handed_out,
        )
    )
    found = {v.invariant for v in checks.find_violations(observations)}
    assert "rejected request not executed" in found


def test_removed_server_does_not_register_again(environment):
    """Guards against old entries that no fault of the plan explains."""
    first = environment.active[0]
    task = gevent.spawn(environment.restore_registrations)
    gevent.sleep(0)
    last = environment.active[-1]
    assert last is not first
    environment.remove(last)
    task.join(timeout=_WAIT_S)
    assert testing.server_key(last.instance) not in environment.store.keys()
