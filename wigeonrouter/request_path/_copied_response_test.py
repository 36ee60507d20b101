"""Tests of responses that a server writes again where the next one is due."""

import re

import gevent
from gevent import server as gevent_server
import pytest

from wigeonrouter.request_path.conftest import PathHarness
from wigeonrouter.request_path.conftest import send

_RUN_S = 0.02


class CopyingServer:
    """Runs requests, and writes each response again before the next one.

    Attributes:
      execution_counts: dict from request id to its number of runs.
      connections: number of connections that it has accepted.

    Args:
      statuses: statuses of the first responses; the later ones are 200.
      names_ids: function from the number of a response, from 0, to whether it
        names the id.
    """

    def __init__(self, *, statuses=(), names_ids=lambda number: False):
        self.execution_counts = {}
        self.connections = 0
        self.copies = True
        self._statuses = list(statuses)
        self._names_ids = names_ids
        self._responses = 0
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    def stop(self):
        """Stop the server."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        self.connections += 1
        last = b""
        while data := sock.recv(65536):
            if self.copies:
                sock.sendall(last)
            request_id = re.search(rb"X-Request-Id: (\S+)", data, re.I)[1]
            name = request_id.decode()
            self.execution_counts[name] = (
                self.execution_counts.get(name, 0) + 1
            )
            gevent.sleep(_RUN_S)
            last = self._render(request_id)
            sock.sendall(last)

    def _render(self, request_id):
        status = self._statuses.pop(0) if self._statuses else 200
        lines = [b"HTTP/1.1 %d Status" % status]
        if self._names_ids(self._responses):
            lines.append(b"X-Request-Id: " + request_id)
        self._responses += 1
        lines.append(b"Content-Length: %d\r\n\r\n" % len(request_id))
        return b"\r\n".join(lines) + request_id


@pytest.fixture
def run_path():
    """Return a function that runs a PathHarness with one CopyingServer."""
    running = []

    def run(**options):
        server = CopyingServer(**options)
        path = PathHarness([server])
        running.extend([server, path.server])
        return path

    yield run
    for part in running:
        part.stop()


@pytest.mark.parametrize("status", [500, 502, 503, 504])
@pytest.mark.parametrize("names_id", [False, True])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_copied_failure_is_not_that_of_the_next_request(
    run_path, status, names_id, method
):
    """Guards against "failed" for a request that succeeds."""
    path = run_path(statuses=[status], names_ids=lambda number: names_id)
    assert send(path, method, request_id="first").outcome == "failed"
    response = send(path, method, request_id="second")
    assert (response.status, response.body) == (200, b"second")


def test_failure_is_no_answer_to_the_same_request_sent_again(run_path):
    """Guards against a copy that has the id of the request."""
    path = run_path(statuses=[500], names_ids=lambda number: True)
    assert send(path, "GET", request_id="one").status == 500
    assert send(path, "GET", request_id="one").status == 200


@pytest.mark.parametrize(
    ("status", "outcome"), [(503, "failed"), (429, "ok"), (408, "ok")]
)
def test_status_of_a_server_is_no_statement_that_it_did_not_run_a_request(
    run_path, status, outcome
):
    """Guards against "not-run" for a request that the server ran."""
    path = run_path(statuses=[status])
    response = send(path, request_id="w")
    assert (response.status, response.outcome) == (status, outcome)
    assert send(path, request_id="w").problem == "duplicate"
    assert path.runs("w") == 1


def test_copied_response_is_no_response_to_a_write(run_path):
    """Guards against a response that is given to another caller.

    The server never names an id.
    """
    path = run_path()
    for number in range(4):
        request_id = f"w{number}"
        response = send(path, request_id=request_id)
        assert response.body == request_id.encode()
        assert path.runs(request_id) == 1


def test_write_uses_no_connection_of_a_read_without_an_id(run_path):
    """Guards against the response to a read as that to a write."""
    path = run_path()
    assert send(path, "GET", request_id="r").status == 200
    assert send(path, request_id="w").body == b"w"


def test_response_without_an_id_is_not_taken_where_the_server_names_ids(
    run_path,
):
    """Guards against a response of another request that lacks the id.

    The server leaves the id out once, in the second response.
    """
    path = run_path(names_ids=lambda number: number != 1)
    path.backends[0].copies = False
    assert send(path, request_id="first").body == b"first"
    assert send(path, request_id="second").problem == "answer-invalid"
    assert send(path, request_id="third").body == b"third"


def test_server_without_ids_keeps_connections_for_reads(run_path):
    """Guards against a connection for each request to such a server."""
    path = run_path()
    path.backends[0].copies = False
    for number in range(5):
        request_id = f"r{number}"
        response = send(path, "GET", request_id=request_id)
        assert response.body == request_id.encode()
    assert path.backends[0].connections == 1


def test_server_with_ids_keeps_connections_for_writes(run_path):
    """Guards against a connection for each write to such a server."""
    path = run_path(names_ids=lambda number: True)
    path.backends[0].copies = False
    for number in range(5):
        assert send(path, request_id=f"w{number}").status == 200
    assert path.backends[0].connections == 1
