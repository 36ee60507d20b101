"""A node that is cut off ends answers without a length too early."""

import gevent
from gevent import socket
import harness
from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.platform import _emulated_links

_HOST = "127.0.0.61"
_SERVERS = 8
_PARTS = 8
_PART_INTERVAL_S = 0.1
_SHORT_WORK_S = 0.15
_SHORT_INTERVAL_S = 0.05
_CUT_AFTER_S = 0.35
_CUT_S = 2.5
_LONG = 4
_ROUNDS = 3


def whole_body(request_id):
    """Return the whole body of the answer to a request."""
    return b"".join(
        b"%b part %d of %d " % (request_id, n, _PARTS) + b"x" * 400 + b"\n"
        for n in range(_PARTS)
    )


def answer(backend, sock, request):
    """Answer without a length, or with one if the path says `short`."""
    request_id = request.header(b"request-id")
    backend.record.write(
        f"{backend.instance} runs {request_id.decode()}"
        f" {request.target.decode()}"
    )
    if b"/short/" in request.target:
        gevent.sleep(_SHORT_WORK_S)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\n%bContent-Length: 5\r\n\r\nshort"
            % backend.headers(request)
        )
        return True
    sock.sendall(
        b"HTTP/1.1 200 OK\r\n%bConnection: close\r\n\r\n"
        % backend.headers(request)
    )
    body = whole_body(request_id)
    size = len(body) // _PARTS
    for first in range(0, len(body), size):
        sock.sendall(body[first : first + size])
        gevent.sleep(_PART_INTERVAL_S)
    sock.shutdown(socket.SHUT_WR)
    return False


def ask(record, address, path, request_id, deadline_ms, broken):
    """Send one request and check its answer."""
    data = harness.request_bytes(
        method="GET",
        path=path,
        host="pools.example",
        request_id=request_id,
        deadline_ms=deadline_ms,
    )
    record.write(f"client sends {request_id} GET {path}")
    try:
        response = harness.call(
            address, data, timeout=deadline_ms / 1000 + 1.0
        )
    except (OSError, http1.MalformedMessage) as error:
        record.write(f"client {request_id}: {type(error).__name__} {error}")
        return
    stamp = response.header(b"server-stamp").decode()
    record.write(
        f"client {request_id}: status {response.status}, stamp {stamp!r},"
        f" {len(response.body)} bytes"
    )
    if response.status != 200:
        return
    expected = b"short"
    if "/long/" in path:
        expected = whole_body(request_id.encode())
    if response.body != expected:
        record.write(
            f"client {request_id}: success with {len(response.body)} of"
            f" {len(expected)} bytes, framed as complete"
        )
        broken.append(request_id)


def main(record):
    fleet = harness.Fleet()
    broken = []
    try:
        server_links = _emulated_links.EmulatedLinks()
        other_links = _emulated_links.EmulatedLinks()
        for number in range(_SERVERS):
            backend = harness.Backend(
                instance=f"i-{number}", service="avail-svc", answer=answer
            )
            backend.record = record
            fleet.register(
                backend, address=server_links.route(backend.address)
            )
        route = {
            "host": "pools.example",
            "prefix": "/avail/",
            "kind": "safe",
            "timeout": "2000ms",
            "target_latency": "400ms",
            "priority": 2,
            "service": "avail-svc",
            "max_attempts": 2,
        }
        fleet.write_configuration(
            version=1, routes={"avail": route}, services=["avail-svc"]
        )
        ports = harness.free_ports([_HOST])
        store = core.parse_address(fleet.store.address)
        node = fleet.add_node(
            name="front-norte-a-1",
            host=_HOST,
            ports=ports,
            store_address=str(other_links.route(store)),
        )
        node.start()
        node.wait_ready()
        caller = other_links.route(core.parse_address(f"{_HOST}:{ports['front']}"))
        address = (caller.host, caller.port)
        for round_number in range(_ROUNDS):
            _play_round(
                record,
                address,
                round_number,
                broken,
                (server_links, other_links),
            )
    finally:
        fleet.close()
    if broken:
        record.conclude(f"MIXED broken by {len(broken)} answers: {broken}")
        return harness.BROKEN
    record.conclude("MIXED held")
    return harness.HELD


def _play_round(record, address, number, broken, links):
    tasks = []

    def spawn(name, path, deadline_ms):
        tasks.append(
            gevent.spawn(
                ask,
                record,
                address,
                path,
                f"{number}-{name}",
                deadline_ms,
                broken,
            )
        )

    def spawn_short(count, first):
        for index in range(first, first + count):
            spawn(f"short{index}", "/avail/short/", 800)
            gevent.sleep(_SHORT_INTERVAL_S)

    spawn_short(30, 0)
    for index in range(_LONG):
        spawn(f"long{index}", "/avail/long/", 4000)
    spawn_short(round(_CUT_AFTER_S / _SHORT_INTERVAL_S), 30)
    if harness.TROUBLE:
        record.write("the node is cut off")
        for paths in links:
            paths.cut(harness.Cut.HANG)
    gevent.sleep(_CUT_S)
    if harness.TROUBLE:
        record.write("the node is back")
        for paths in links:
            paths.restore()
    gevent.joinall(tasks)
    gevent.sleep(3.0)


if __name__ == "__main__":
    harness.run(main)
