"""Tests of nodes that are partitioned from all backend servers."""

import dataclasses
import time

import gevent
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _emulated_links
from wigeonrouter.platform import _feed
from wigeonrouter.platform import conftest
from wigeonrouter.platform import testing

Cut = _emulated_links.Cut
wait_until = conftest.wait_until
_SERVERS = 6
_HOSTS = ("127.0.0.41", "127.0.0.42", "127.0.0.43")
# Time after which callers of a cut node are to be served like the others.
_RECOVERY_S = 3.0
_MEASURED_S = 2.0
_REQUEST_INTERVAL_S = 0.06
_MIN_SERVED_SHARE = 2 / 3
# Longer than a cut needs to be noticed.
_NOTICED_S = 1.5


class _RoutedFeed(_feed.StoreFeed):
    """Feed of a node that reaches the servers through EmulatedLinks."""

    def __init__(self, *, links, **options):
        super().__init__(**options)
        self._links = links

    def decode(self, items, *, scope):
        content = super().decode(items, scope=scope)
        return dataclasses.replace(
            content,
            records=tuple(self._route(record) for record in content.records),
        )

    def _route(self, record):
        if not isinstance(record, topology.RegistrationWritten):
            return record
        registration = record.registration
        return dataclasses.replace(
            record,
            registration=dataclasses.replace(
                registration, address=self._links.route(registration.address)
            ),
        )


@pytest.fixture
def links():
    """Return the EmulatedLinks of three nodes, in their order."""
    links = [_emulated_links.EmulatedLinks() for _ in _HOSTS]
    yield links
    for paths in links:
        paths.stop()


@pytest.fixture
def servers(backend):
    """Return the emulated servers of the service alpha."""
    return [backend(f"i-{number}", slots=8) for number in range(_SERVERS)]


@pytest.fixture
def start_linked_node(start_node, make_settings, free_port):
    """Return a function that starts a node with EmulatedLinks."""
    peer_ports = (free_port(), free_port())

    def start(host, paths, **changes):
        return start_node(
            make_settings(
                f"node-{host}", host, **{"peer_ports": peer_ports} | changes
            ),
            servers=_SERVERS,
            make_feed=lambda **options: _RoutedFeed(links=paths, **options),
        )

    return start


@pytest.fixture
def nodes(servers, links, start_linked_node):
    """Run three nodes of a region, whose paths to the servers can be cut."""
    nodes = [
        start_linked_node(host, paths)
        for host, paths in zip(_HOSTS, links, strict=True)
    ]
    wait_until(
        lambda: all(len(node.region_member.peers) == 3 for node in nodes)
    )
    return nodes


@dataclasses.dataclass
class _Tries:
    """The requests of the callers of one node that were sent in turn."""

    served: int = 0
    total: int = 0

    @property
    def served_share(self):
        return self.served / self.total


def _send_to_all(nodes, *, duration, path="/read/a", method="GET"):
    """Send requests to all nodes at intervals; return their _Tries."""
    tries = [_Tries() for _ in nodes]
    tasks = []

    def send(number, caller, count):
        response = caller.send(
            path, method=method, request_id=f"{number}-{count}-{id(tries)}"
        )
        tries[number].served += response.status == 200

    end = time.monotonic() + duration
    while time.monotonic() < end:
        for number, caller in enumerate(conftest.callers_of(nodes)):
            tries[number].total += 1
            tasks.append(
                gevent.spawn(send, number, caller, tries[number].total)
            )
        gevent.sleep(_REQUEST_INTERVAL_S)
    gevent.joinall(tasks, raise_error=True)
    return tries


@pytest.mark.parametrize("kind", Cut)
@pytest.mark.parametrize("cut_count", [1, 2])
@pytest.mark.parametrize(
    ("path", "method"), [("/read/a", "GET"), ("/write/a", "POST")]
)
def test_callers_of_a_partitioned_node_are_served(
    nodes, links, kind, cut_count, path, method
):
    """Guards against callers who fail because their node lost all servers.

    The others serve all requests. What the callers of the cut nodes send is
    served by these, which have paths to the servers.
    """
    _send_to_all(nodes, duration=0.5)
    for paths in links[:cut_count]:
        paths.cut(kind)
    _send_to_all(nodes, duration=_RECOVERY_S, path=path, method=method)
    tries = _send_to_all(nodes, duration=_MEASURED_S, path=path, method=method)
    best = max(one.served_share for one in tries)
    assert best > 0.95
    for one in tries:
        assert one.served_share >= _MIN_SERVED_SHARE * best


@pytest.mark.parametrize("kind", [Cut.HANG, Cut.RESET])
def test_directory_names_no_partitioned_node(nodes, links, kind):
    """Guards against callers that are sent to a node without servers."""
    _send_to_all(nodes, duration=0.5)
    home = conftest.home_of(nodes)
    links[nodes.index(home)].cut(kind)
    _send_to_all(nodes, duration=_NOTICED_S)
    assert conftest.home_of(nodes) is not home
    links[nodes.index(home)].restore()
    wait_until(lambda: conftest.home_of(nodes) is home, timeout=_RECOVERY_S)


def test_node_uses_its_paths_again_after_a_cut(nodes, links):
    """Guards against requests that are passed on for longer than needed."""
    links[0].cut(Cut.HANG)
    _send_to_all(nodes, duration=_RECOVERY_S)
    links[0].restore()
    cut_node = nodes[0]
    wait_until(lambda: cut_node.counts["servers-reachable"] == 1, timeout=1.5)
    forwarded = cut_node.counts["forwarded"]
    tries = _send_to_all(nodes[:1], duration=1.0)
    assert tries[0].served_share == 1.0
    assert cut_node.counts["forwarded"] == forwarded


def test_idempotent_request_in_flight_is_repeated_elsewhere(
    servers, nodes, links
):
    """Guards against waiting for a response that cannot arrive."""
    _send_to_all(nodes, duration=0.5)
    for server in servers:
        server.slowdown = 10.0
    tasks = [
        gevent.spawn(caller.send, "/read/slow", request_id="slow")
        for caller in conftest.callers_of(nodes[:1])
    ]
    gevent.sleep(0.1)
    links[0].cut(Cut.HANG)
    for server in servers:
        server.slowdown = 1.0
    _send_to_all(nodes, duration=_NOTICED_S)
    assert [task.get().status for task in tasks] == [200]


@pytest.mark.parametrize("kind", [Cut.HANG, Cut.RESET])
def test_response_without_a_length_is_whole_or_fails(
    store, servers, nodes, links, kind
):
    """Guards against half a response that looks complete to its caller.

    The node is cut off in the middle of responses that end with their
    connection, and ends these connections itself.
    """
    store.put("op/config", _configuration_with_long_timeout())
    _send_to_all(nodes, duration=0.5)
    for server in servers:
        server.fault = "unframed-halves"
    tasks = [
        gevent.spawn(
            conftest.callers_of(nodes[:1])[0].send,
            f"/long/{number}",
            request_id=f"long-{number}",
            remaining=4000,
        )
        for number in range(4)
    ]
    gevent.sleep(0.3)
    links[0].cut(kind)
    _send_to_all(nodes, duration=_NOTICED_S)
    links[0].restore()
    for number, task in enumerate(tasks):
        response = task.get()
        if response.status == 200:
            assert response.body == b"body of /long/%d" % number
        else:
            assert response.status == 502


def _configuration_with_long_timeout():
    route = conftest.configuration()["routes"]["r-read"]
    return conftest.configuration(
        2, routes={"r-long": {**route, "prefix": "/long/", "timeout": "4s"}}
    )


def test_region_without_paths_uses_nodes_of_another_region(
    nodes, links, start_linked_node
):
    """Guards against a region whose nodes only ask each other."""
    place = core.Place(region="r2", failure_domain="zc")
    remote_paths = _emulated_links.EmulatedLinks()
    remote = start_linked_node("127.0.0.49", remote_paths, place=place)
    wait_until(
        lambda: all(remote.settings.host in node.known_hosts for node in nodes)
    )
    for paths in links:
        paths.cut(Cut.HANG)
    _send_to_all(nodes, duration=_RECOVERY_S)
    tries = _send_to_all(nodes, duration=_MEASURED_S)
    remote_paths.stop()
    assert all(one.served_share > _MIN_SERVED_SHARE for one in tries)


def test_stopping_node_passes_on_no_request_that_it_may_not_finish(
    servers, links, start_linked_node
):
    """Guards against requests that a cut node passes on and then cuts off."""
    bounds = topology.Bounds(stop_grace=2.0)
    pair = [
        start_linked_node(host, paths, bounds=bounds)
        for host, paths in zip(_HOSTS[:2], links[:2], strict=True)
    ]
    wait_until(lambda: conftest.followers(pair) == 1)
    # A hub that stops has no peers to which it could pass requests on.
    node = next(one for one in pair if not one.region_member.is_hub)
    links[pair.index(node)].cut(Cut.HANG)
    _send_to_all([node], duration=_NOTICED_S)
    assert node.counts["forwarded"] > 0
    for server in servers:
        server.extra_time = 0.75
    stop_task = gevent.spawn(node.stop)
    gevent.sleep(1.1)
    response = conftest.callers_of([node])[0].send(
        "/write/late", method="POST", request_id="late"
    )
    stop_task.join()
    assert response.status == 503
    assert response.seconds < 0.5


def test_request_is_not_left_with_a_stopping_node_of_another_region(
    servers, nodes, links, start_linked_node
):
    """Guards against rejections while yet another node can serve a request.

    The nodes do not know which nodes of other regions are stopping.
    """
    place = core.Place(region="r2", failure_domain="zc")
    remote = {}
    for host in ("127.0.0.48", "127.0.0.49"):
        paths = _emulated_links.EmulatedLinks()
        remote[host] = start_linked_node(host, paths, place=place)
    wait_until(
        lambda: all(remote.keys() <= node.known_hosts for node in nodes)
    )
    for paths in links:
        paths.cut(Cut.HANG)
    _send_to_all(nodes, duration=_NOTICED_S)
    first, _ = topology.remote_forwarding_hosts(
        service="alpha", hosts=set(remote), count=2
    )
    stop_task = gevent.spawn(remote[first].stop)
    gevent.sleep(0.1)
    response = conftest.callers_of(nodes[:1])[0].send(
        "/write/late", method="POST", request_id="late"
    )
    stop_task.join()
    assert response.status == 200


def test_requests_end_when_no_node_reaches_a_server(nodes, links):
    """Guards against requests that nodes pass on to each other in turn."""
    _send_to_all(nodes, duration=0.5)
    for paths in links:
        paths.cut(Cut.RESET)
    tries = _send_to_all(nodes, duration=_NOTICED_S)
    forwarded = sum(node.counts["forwarded"] for node in nodes)
    # Each cut node tries the two others at most.
    assert forwarded <= 2 * sum(one.total for one in tries)
    tries = _send_to_all(nodes, duration=0.5)
    assert not any(one.served for one in tries)
    assert sum(node.counts["forwarded"] for node in nodes) == forwarded


def test_request_that_is_passed_on_runs_once(servers, nodes, links):
    """Guards against requests that both nodes send to servers."""
    links[0].cut(Cut.HANG)
    _send_to_all(nodes, duration=_RECOVERY_S, path="/write/a", method="POST")
    run_ids = [run.request_id for server in servers for run in server.runs]
    assert len(run_ids) == len(set(run_ids))


def test_close_of_the_caller_reaches_the_server(servers, nodes, links):
    """Guards against servers that go on to work for a caller who has left."""
    links[0].cut(Cut.HANG)
    _send_to_all(nodes[:1], duration=_NOTICED_S)
    for server in servers:
        server.slowdown = 30.0
    address = nodes[0].settings.caller_address
    sock = socket.create_connection((address.host, address.port))
    sock.sendall(
        testing.render_request(
            method="GET",
            target="/read/left",
            host=conftest.HOST,
            request_id="left",
            remaining=2.0,
        )
    )
    wait_until(
        lambda: any(
            run.request_id == "left" for one in servers for run in one.runs
        )
    )
    sock.close()
    wait_until(
        lambda: any("left" in one.cancelled for one in servers), timeout=0.5
    )


def test_peer_of_an_earlier_build_is_left_out(
    servers, links, start_linked_node
):
    """Guards against requests that are sent to a node which takes none."""
    new, other = (
        start_linked_node(host, paths)
        for host, paths in zip(_HOSTS[:2], links[:2], strict=True)
    )
    port = new.settings.peer_ports[0]
    old = start_linked_node(_HOSTS[2], links[2], peer_ports=(port, port))
    wait_until(
        lambda: all(
            len(node.region_member.peers) == 3 for node in (new, other, old)
        )
    )
    links[0].cut(Cut.RESET)
    _send_to_all([new], duration=_NOTICED_S)
    (tries,) = _send_to_all([new], duration=0.5)
    assert tries.served_share == 1.0


def test_request_is_not_blamed_for_a_cut(store, servers, nodes, links):
    """Guards against an innocent request that all nodes hold back.

    It is in flight several times at a node whose connections are reset, and
    the servers refuse new ones of that node, as if they had ended.
    """
    for server in servers:
        server.slowdown = 20.0
    cut_node, *others = nodes
    caller, *other_callers = conftest.callers_of(nodes)
    tasks = [
        gevent.spawn(caller.send, "/read/innocent", request_id=f"innocent-{n}")
        for n in range(5)
    ]
    gevent.sleep(0.2)
    links[0].cut(Cut.RESET)
    gevent.joinall(tasks)
    assert not cut_node.counts["server-ended-under-request"]
    assert not [key for key in store.keys() if "/crashes/" in key]
    for server in servers:
        server.slowdown = 1.0
    for other in other_callers:
        assert other.send("/read/innocent").status == 200


def test_request_is_not_blamed_for_a_cut_to_some_servers(
    store, servers, nodes, links
):
    """Guards against trusting refusals of a node that reaches other servers.

    The same request is in flight at the servers to which the paths are cut.
    """
    for server in servers:
        server.slowdown = 20.0
    caller = conftest.callers_of(nodes)[0]
    tasks = [
        gevent.spawn(caller.send, "/read/innocent", request_id=f"innocent-{n}")
        for n in range(12)
    ]
    gevent.sleep(0.2)
    addresses = {core.parse_address(server.address) for server in servers[:4]}
    links[0].cut(Cut.RESET, addresses=addresses)
    gevent.joinall(tasks)
    assert not nodes[0].counts["server-ended-under-request"]
    assert not [key for key in store.keys() if "/crashes/" in key]


def _configuration_without_retries():
    route = conftest.configuration()["routes"]["r-read"]
    return conftest.configuration(
        2,
        routes={
            "r-once": {
                **route,
                "prefix": "/once/",
                "timeout": "4s",
                "max_attempts": 1,
            }
        },
    )


def _send_across_a_cut(node, paths, target):
    """Return the response to a request that is at a server during a cut.

    The cut is noticed, and ends before the server responds.
    """
    (caller,) = conftest.callers_of([node])
    task = gevent.spawn(
        caller.send, target, request_id="across", remaining=4000
    )
    gevent.sleep(0.2)
    paths.cut(Cut.HANG)
    _send_to_all([node], duration=_NOTICED_S)
    assert node.counts["servers-unreachable"] == 1
    paths.restore()
    return task.get()


def test_request_that_may_not_be_repeated_is_not_given_up(
    store, servers, nodes, links
):
    """Guards against a failure in place of a response that still comes.

    Servers that stand still look like paths that are cut.
    """
    store.put("op/config", _configuration_without_retries())
    _send_to_all(nodes, duration=0.5)
    for server in servers:
        server.extra_time = 2.5
    response = _send_across_a_cut(nodes[0], links[0], "/once/a")
    assert response.status == 200


def test_stopping_node_gives_up_no_request_that_it_cannot_pass_on(
    store, servers, links, start_linked_node
):
    """Guards against a stop that loses a request at a working server.

    No other node may get it, as its deadline is after the end of this one.
    """
    store.put("op/config", _configuration_with_long_timeout())
    bounds = topology.Bounds(stop_grace=4.0, max_entry_ttl=0.25)
    node = start_linked_node(_HOSTS[0], links[0], bounds=bounds)
    _send_to_all([node], duration=0.5)
    for server in servers:
        server.extra_time = 2.5
    stopping = gevent.spawn(node.stop)
    gevent.sleep(0.05)
    response = _send_across_a_cut(node, links[0], "/long/a")
    stopping.join()
    assert response.status == 200
