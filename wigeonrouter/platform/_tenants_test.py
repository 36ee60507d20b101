"""Tests of API keys and tenants, with hostile and odd headers."""

import logging

import gevent
from gevent import socket
import pytest

from wigeonrouter import http1
from wigeonrouter import store as store_api
from wigeonrouter import topology
from wigeonrouter.node import messages
from wigeonrouter.platform import conftest
from wigeonrouter.platform import testing

KEY = "k-acme-0123456789"
OTHER_KEY = "k-zeta-0123456789"
_IDENTITY = (b"key", b"tenant")
# Longer than the header section of a request may be.
_TOO_LONG = 40_000
_REVOKE_S = 0.5


def tenants(**changes):
    """Return the tenants of a configuration."""
    return {
        "acme": {"api_keys": [KEY], "priority": 1},
        "zeta": {"api_keys": [OTHER_KEY], "priority": 0},
        **changes,
    }


def put_tenants(store, version, documents):
    """Write a configuration with tenants, a public and a patient route."""
    document = conftest.configuration(version, tenants=documents)
    read = document["routes"]["r-read"]
    document["routes"]["r-public"] = {
        **read,
        "prefix": "/public/",
        "public": True,
    }
    document["routes"]["r-patient"] = {
        **read,
        "prefix": "/patient/",
        "timeout": "4000ms",
        "target_latency": "3000ms",
    }
    store.put("op/config", document)


def wait_for_version(nodes, version):
    """Wait until all nodes have a version of the configuration."""
    conftest.wait_until(
        lambda: all(
            node._cluster_state.configuration.version == version
            for node in nodes
        )
    )


def send_raw(node, lines, *, path="/read/a", body=b"", method="GET"):
    """Send a request with further header lines; return the CallerResponse."""
    head = [
        f"{method} {path} HTTP/1.1".encode(),
        b"Host: " + conftest.HOST.encode(),
        b"Request-Id: raw-1",
        b"Deadline-Ms: 2000",
        *lines,
    ]
    address = node.settings.caller_address
    with socket.create_connection((address.host, address.port)) as sock:
        sock.settimeout(4)
        sock.sendall(b"\r\n".join(head) + b"\r\n\r\n" + body)
        return testing.read_response(
            lambda: sock.recv(65536), method=method.encode()
        )


def identity(run):
    """Return the key and tenant headers of a request that a server ran."""
    return [
        header for header in run.headers if header[0].strip(b"_-") in _IDENTITY
    ]


@pytest.fixture
def server(store, node, backend):
    """Run a backend server of a deployment with tenants."""
    put_tenants(store, 2, tenants())
    wait_for_version([node], 2)
    return conftest.start_ready(backend, node, "i-1")[0]


_KEY_LINE = b"Key: " + KEY.encode()


@pytest.mark.parametrize(
    "lines",
    [
        [_KEY_LINE],
        [b"kEY:\t" + KEY.encode() + b" \t"],
        [_KEY_LINE, b"Tenant: zeta"],
        [b"Tenant: zeta", _KEY_LINE, b"tenant: zeta", b"TENANT: root"],
        [_KEY_LINE, b"Tenant_: zeta", b"_tenant: zeta", b"Key_: x"],
        [_KEY_LINE, b"Tenant: "],
        [_KEY_LINE, b"Connection: tenant"],
        [_KEY_LINE, b"Connection: key, keep-alive", b"Tenant: zeta"],
    ],
)
def test_server_gets_the_tenant_of_the_key_and_no_key(server, node, lines):
    """Guards against a caller that passes as another tenant."""
    assert send_raw(node, lines).status == 200
    assert identity(server.runs[-1]) == [(b"tenant", b"acme")]


@pytest.mark.parametrize(
    "documents", [{}, {"acme": {"api_keys": []}}], ids=["tenants", "keys"]
)
def test_removal_of_the_last_key_rejects_all_keys(
    server, node, store, documents
):
    """Guards against requests that run with a withdrawn or unknown key.

    The configuration has a table of tenants, without any key.
    """
    assert send_raw(node, [_KEY_LINE]).status == 200
    ran = len(server.runs)
    put_tenants(store, 3, documents)
    wait_for_version([node], 3)
    for lines in ([_KEY_LINE], [b"Key: unknown"], []):
        assert send_raw(node, lines).status == 401
    assert len(server.runs) == ran
    assert send_raw(node, [_KEY_LINE], path="/public/a").status == 200
    assert not identity(server.runs[-1])


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [b"Tenant: acme"],
        [b"Key:"],
        [b"Key: unknown"],
        [_KEY_LINE, _KEY_LINE],
        [_KEY_LINE, b"Key: " + OTHER_KEY.encode()],
        [_KEY_LINE, b"Key:"],
        [_KEY_LINE + b", " + KEY.encode()],
        [_KEY_LINE + b"\xe9"],
        [b"Key: " + KEY.upper().encode()],
        [_KEY_LINE + b"\x7f"],
        [b"Key_: " + KEY.encode()],
        [b"Key: " + b"k" * 20_000],
    ],
)
@pytest.mark.parametrize("path", ["/read/a", "/write/a"])
def test_request_without_a_usable_key_is_not_executed(
    server, node, lines, path
):
    """Guards against a request that is nobody's and runs at a server."""
    response = send_raw(node, lines, path=path)
    assert response.status in (400, 401)
    assert server.arrivals == []


def test_rejection_for_a_key_names_no_time_to_retry(server, caller):
    """Guards against callers that repeat a request with a wrong key."""
    response = caller.send("/read/a", headers={"Key": "unknown"}.items())
    assert response.status == 401
    assert "retry-after" not in response.headers


@pytest.mark.parametrize(
    ("lines", "body"),
    [
        ([_KEY_LINE, b" " + KEY.encode()], b""),
        ([b"Key :" + KEY.encode()], b""),
        ([b"Key: " + b"k" * _TOO_LONG], b""),
        (
            [_KEY_LINE, b"Transfer-Encoding: chunked"],
            b"1\r\nx\r\n0\r\nTenant: zeta\r\n\r\n",
        ),
        (
            [b"Transfer-Encoding: chunked", b"Trailer: Key"],
            b"1\r\nx\r\n0\r\n" + _KEY_LINE + b"\r\n\r\n",
        ),
    ],
    ids=["folded", "space", "too-long", "tenant-trailer", "key-trailer"],
)
def test_ambiguous_header_is_rejected(server, node, lines, body):
    """Guards against a header that node and server read differently."""
    response = send_raw(node, lines, path="/write/a", body=body, method="POST")
    assert response.status in (400, 401, 431)
    assert server.arrivals == []


@pytest.mark.parametrize(
    "lines", [[], [b"Key: unknown", b"Tenant: zeta"], [_KEY_LINE]]
)
def test_public_route_needs_no_key_and_has_no_tenant(server, node, lines):
    """Guards against a public route that tells a server of a tenant."""
    assert send_raw(node, lines, path="/public/a").status == 200
    assert identity(server.runs[-1]) == []


def test_deployment_without_tenants_passes_the_headers_on(
    node, backend, caller
):
    """Guards against a change for deployments that have no tenants."""
    (server,) = conftest.start_ready(backend, node, "i-1")
    headers = {"Key": "mine", "Tenant": "me"}.items()
    assert caller.send("/read/a", headers=headers).status == 200
    assert sorted(identity(server.runs[-1])) == [
        (b"key", b"mine"),
        (b"tenant", b"me"),
    ]


def test_removed_key_is_rejected_on_an_open_connection(server, store, node):
    """Guards against a connection that outlasts the key it was opened with."""
    request = testing.render_request(
        method="GET",
        target="/read/a",
        host=conftest.HOST,
        request_id="r-1",
        remaining=2.0,
    ).replace(b"\r\n\r\n", b"\r\n" + _KEY_LINE + b"\r\n\r\n")
    address = node.settings.caller_address
    with socket.create_connection((address.host, address.port)) as sock:
        statuses = []
        for version in (2, 3):
            if version == 3:
                put_tenants(store, 3, tenants(acme={"api_keys": []}))
                wait_for_version([node], 3)
            sock.sendall(request)
            response = testing.read_response(
                lambda: sock.recv(65536), method=b"GET"
            )
            statuses.append(response.status)
    assert statuses == [200, 401]


@pytest.mark.parametrize(
    ("acme", "zeta", "status"),
    [([], [OTHER_KEY], 401), ([], [KEY], 503), ([KEY], [], 200)],
    ids=["removed", "moved", "kept"],
)
def test_key_is_checked_again_before_an_attempt(
    server, store, node, caller, acme, zeta, status
):
    """Guards against a request that waits for longer than its key is held.

    The configuration changes while the request is in the queue.
    """
    server.extra_time = 0.25
    headers = {"Key": KEY}.items()
    tasks = [
        gevent.spawn(
            caller.send, "/patient/a", headers=headers, remaining=4000
        )
        for _ in range(4)
    ]
    conftest.wait_until(lambda: len(server.runs) == 2)
    put_tenants(
        store, 3, tenants(acme={"api_keys": acme}, zeta={"api_keys": zeta})
    )
    wait_for_version([node], 3)
    server.extra_time = 0.0
    statuses = sorted(task.get().status for task in tasks)
    assert statuses == [200, 200, status, status]


def test_requests_of_two_tenants_have_different_digests(server, store, node):
    """Guards against one tenant's request that blocks that of another.

    The digests also must not depend on the key, since they are logged.
    """
    put_tenants(
        store, 3, tenants(acme={"api_keys": [KEY, "k-2"], "priority": 1})
    )
    wait_for_version([node], 3)
    digests = []
    events = node._events
    write = events.event

    def record(name, /, **fields):
        if name == "attempt":
            digests.append(fields["digest"])
        write(name, **fields)

    events.event = record
    for key in (KEY, "k-2", OTHER_KEY):
        assert send_raw(node, [b"Key: " + key.encode()]).status == 200
    assert digests[0] == digests[1] != digests[2]


@pytest.mark.parametrize("strict", [True, False])
def test_old_copy_of_the_keys_is_not_used_where_that_is_strict(
    store, backend, make_settings, start_node, strict
):
    """Guards against a removed key at a node that gets no changes."""
    node = start_node(
        make_settings(
            bounds=topology.Bounds(
                revoke_apply=_REVOKE_S,
                revoke_strict=strict,
            )
        )
    )
    put_tenants(store, 2, tenants())
    wait_for_version([node], 2)
    conftest.start_ready(backend, node, "i-1")
    assert send_raw(node, [_KEY_LINE]).status == 200
    store.stop()
    gevent.sleep(3 * _REVOKE_S)
    assert send_raw(node, [_KEY_LINE]).status == (503 if strict else 200)
    assert send_raw(node, [b"Key: unknown"]).status == (503 if strict else 401)
    assert send_raw(node, [_KEY_LINE], path="/public/a").status == 200


def test_copy_of_unknown_age_is_not_used_where_that_is_strict(
    store, backend, make_settings, start_node, free_port
):
    """Guards against a removed key at a node that starts without a store."""
    options = {
        "peer_ports": (free_port(), 0),
        "bounds": topology.Bounds(revoke_strict=True),
    }
    put_tenants(store, 2, tenants())
    backend("i-1")
    first = start_node(
        make_settings("node-1", "127.0.0.71", **options), servers=1
    )
    assert send_raw(first, [_KEY_LINE]).status == 200
    store.stop()
    second = start_node(
        make_settings("node-2", "127.0.0.72", seeds=("127.0.0.71",), **options)
    )
    assert send_raw(second, [_KEY_LINE]).status == 503
    assert send_raw(second, [], path="/public/a").status == 200


def test_keys_are_in_no_log_line_or_metric(server, node, caplog, capfd):
    """Guards against keys that are read from a log or from the metrics."""
    caplog.set_level(logging.DEBUG)
    server.fault = "errors"
    for lines in ([_KEY_LINE], [_KEY_LINE, _KEY_LINE], [b"Key: k-secret"]):
        send_raw(node, lines)
    metrics = conftest.Caller(address=node.settings.control_address)
    seen = metrics.send("/metrics").body.decode()
    captured = capfd.readouterr()
    seen += caplog.text + captured.out + captured.err
    assert KEY not in seen and "k-secret" not in seen
    assert "unknown-key" in seen


@pytest.mark.parametrize(
    "record",
    [
        messages.RequestMetadata(request_id="", remaining=None, api_key=KEY),
        topology.Tenant(name="acme", api_keys=(KEY,)),
        http1.HttpRequest(
            method=b"GET",
            target=b"/",
            headers=((b"key", KEY.encode()),),
            body=b"",
            keep_alive=True,
        ),
        store_api.Item(key="op/config", value=KEY.encode(), version=1),
        topology.StoreMemory(configuration=KEY.encode()),
    ],
    ids=lambda record: type(record).__name__,
)
def test_record_does_not_print_its_key(record):
    """Guards against keys in an error or log line that prints a record."""
    assert KEY not in repr(record)
