"""Tests of refusals that a server writes again while it runs the request."""

import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import topology
from wigeonrouter.node import _sender
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import _http
from wigeonrouter.platform import conftest

WAIT_S = 5.0
REPLACEMENTS = 3
# Longer than a request takes at the server.
RUN_S = 0.2


COPIES_BEFORE_THE_SAME_REQUEST = _emulator.SurplusResponses(
    probabilities={_emulator.SurplusMoment.SAME_REQUEST: 1.0}
)


class RefusingBackend(_emulator.EmulatedBackend):
    """Refuses requests, and writes each refusal once more.

    The copy follows when a request with the same id arrives on the connection
    of the refusal, before the server runs that. Its health checks name no
    instance.

    Attributes:
      refusals: number of refusals, without the copies.

    Args:
      refusal: status with which it refuses each id once, None for the
        refusals of an EmulatedBackend.
    """

    def __init__(self, *, refusal=None, **options):
        self._refusal = refusal
        self._refused = set()
        self.refusals = 0
        super().__init__(**options)
        self.names_instance_in_probes = False
        self.surplus.option = COPIES_BEFORE_THE_SAME_REQUEST

    def handle(self, request, sock):
        """Handle a request and count the refusals."""
        response = self._respond(request, sock)
        if response is not None and response.status not in (200, 500):
            self.refusals += 1
        return response

    def _respond(self, request, sock):
        request_id = request.header(b"request-id")
        if (
            request.target == b"/health"
            or self._refusal is None
            or request_id in self._refused
        ):
            return super().handle(request, sock)
        self._refused.add(request_id)
        headers = ((b"request-id", request_id),)
        if self._refusal != 421:
            headers += ((b"not-executed", b"1"),)
        return http1.HttpResponse(
            status=self._refusal, headers=headers, body=b""
        )


@pytest.fixture
def copying_server():
    """Return a function that runs a RefusingBackend named "server-2"."""
    servers = []

    def start(**options):
        server = RefusingBackend(
            instance="server-2", service="alpha", **options
        )
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def send():
    """Return a function that sends a request of one Sender to a server."""
    sender = _sender.Sender(
        pool=http1.ConnectionPool(), codec=_http.HttpCodec()
    )

    def run(server, request_id, *, instance="server-2", idempotent=False):
        return sender.send(
            request=http1.HttpRequest(
                method=b"POST",
                target=b"/",
                headers=(
                    (b"host", b"shop.example"),
                    (b"request-id", request_id.encode()),
                ),
                body=b"",
                keep_alive=True,
                reservation=http1.BufferBudget(limit=1 << 20).reserve(),
            ),
            request_id=request_id,
            registration=topology.Registration(
                instance=instance,
                service="alpha",
                address=core.parse_address(server.address),
                place=core.Place(region="r1", failure_domain="za"),
                slots=2,
                state=topology.RegistrationState.READY,
            ),
            idempotent=idempotent,
            response_deadline=time.monotonic() + WAIT_S,
        )

    return run


def wait_for_servers(node, instances):
    """Wait until a node knows these servers and no others."""
    conftest.wait_until(lambda: node.servers == instances)


def ran(server, request_id):
    """Return whether a server has run a request, a while after it got it."""
    gevent.sleep(RUN_S)
    return request_id in {run.request_id for run in server.runs}


@pytest.mark.parametrize("other_between", [False, True])
@pytest.mark.parametrize("first_name", ["server-1", "server-2"])
@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_copied_refusal_of_a_request_that_is_sent_again_is_no_answer(
    copying_server, send, status, idempotent, first_name, other_between
):
    """Guards against "has not run" for a request that the server runs.

    The copy has the id of the request that is under way again, so nothing in
    it tells it from the answer.
    """
    server = copying_server(refusal=status)
    first = send(server, "one", instance=first_name, idempotent=idempotent)
    assert not first.may_have_run
    if other_between:
        # It runs at the second try only.
        send(server, "two", idempotent=idempotent)
    attempt = send(server, "one", idempotent=idempotent)
    assert ran(server, "one")
    assert attempt.may_have_run
    assert attempt.response.status == 200


def test_copied_refusal_of_a_replaced_server_does_not_reach_the_caller(
    store, node, caller, copying_server
):
    """Guards against "has not run" for a request that the server runs.

    A server was replaced in place, so that two registrations have one address
    for a while. The old name is refused, and the request goes to the new one.
    """
    server = copying_server(zone="zb")
    store.put("servers/server-2", server.registration())
    refused = []
    for number in range(REPLACEMENTS):
        previous = f"replaced-{number}"
        entry = server.registration()
        # In the domain of the node, so that it is preferred.
        entry["info"]["zone"] = "za"
        store.put(f"servers/{previous}", entry)
        wait_for_servers(node, {previous, "server-2"})
        path = f"/write/{number}"
        if caller.send(path, method="POST", request_id=path).status == 503:
            refused.append(path)
        store.remove(f"servers/{previous}")
        wait_for_servers(node, {"server-2"})
    assert server.refusals == REPLACEMENTS
    assert not [path for path in refused if ran(server, path)]


def test_copied_refusal_does_not_reach_a_caller_that_repeats_its_request(
    store, node, caller, copying_server
):
    """Guards against "has not run" for a request that the server runs.

    A caller sends a refused request again with the same id. The node knows
    nothing of the first one but what the connection has carried.
    """
    server = copying_server(refusal=503)
    store.put("servers/server-2", server.registration())
    wait_for_servers(node, {"server-2"})
    path = "/write/a"
    statuses = []

    def reaches_server_again():
        response = caller.send(path, method="POST", request_id=path)
        statuses.append(response.status)
        return server.arrivals

    # The node itself turns requests away for a while after the refusal.
    conftest.wait_until(reaches_server_again)
    assert statuses[0] == 503
    assert statuses[-1] == 200
    assert ran(server, path)
