"""A restarted node reads pages of unequal age and misses a configuration."""

import collections
import time

import gevent
import harness
from wigeonrouter import http1
from wigeonrouter.platform import _emulated_store
from wigeonrouter.platform import _emulator

_HOSTS = ("127.0.0.64", "127.0.0.65")
_OLD, _NEW = "svc-old", "svc-new"
_SERVERS = 28
# Items on a page of a listing.
_PAGE_ITEMS = 50
# How far the replica that answers the first page is behind.
_LAG_S = 2.0
_CONFIG_APPLY_S = 2.5
_STABLE_WINDOW_S = 3.0
_REQUESTS = 60


class ReplicatedStore(_emulator.EmulatedStore):
    """A store that serves stale reads from two replicas.

    The first page of a listing comes from a replica that is _LAG_S behind,
    the following ones from one that is current. All responses name the
    store's revision.
    """

    def __init__(self):
        self._copies = collections.deque()
        super().__init__()
        gevent.spawn(self._keep_copies)

    def _keep_copies(self):
        while True:
            now = time.monotonic()
            self._copies.append((now, dict(self._items)))
            while len(self._copies) > 1 and self._copies[1][0] <= now - _LAG_S:
                self._copies.popleft()
            gevent.sleep(0.02)

    def _range(self, query):
        items = self._items
        if query.get("stale_ok") == "1" and not query.get("after"):
            items = self._copies[0][1]
        keys = sorted(
            key
            for key in items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return _emulated_store._respond(
            200,
            {
                "items": [items[key] for key in keys[:_PAGE_ITEMS]],
                "has_more": len(keys) > _PAGE_ITEMS,
                "as_of": self._revision,
            },
        )


def answer(backend, sock, request):
    """Answer at once."""
    request_id = request.header(b"request-id").decode()
    backend.ran[request_id] = backend.service
    gevent.sleep(0.02)
    sock.sendall(
        b"HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\ndone"
        % backend.headers(request)
    )
    return True


def make_routes(service):
    """Return the routes of a configuration."""
    return {
        "hold": {
            "host": "pools.example",
            "prefix": "/hold/",
            "kind": "unsafe",
            "timeout": "2000ms",
            "target_latency": "500ms",
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }
    }


def send_requests(record, node, ran, prefix):
    """Send requests to a node; return a Counter of the services that ran."""
    services = collections.Counter()
    for number in range(_REQUESTS):
        request_id = f"{prefix}-{number}"
        data = harness.request_bytes(
            method="POST",
            path="/hold/lane",
            host="pools.example",
            request_id=request_id,
            deadline_ms=4000,
            body=b"lane 4",
        )
        try:
            status = harness.call(node.caller, data, timeout=4.0).status
        except (OSError, http1.MalformedMessage) as error:
            status = type(error).__name__
        service = ran.get(request_id, "no service")
        record.write(f"client {request_id} at {node.host}: {status}, {service}")
        services[service] += 1
        gevent.sleep(0.03)
    return services


def main(record):
    fleet = harness.Fleet(store=ReplicatedStore())
    ran = {}
    try:
        for service in (_OLD, _NEW):
            for number in range(_SERVERS):
                backend = harness.Backend(
                    instance=f"i-{number:02}-{service}",
                    service=service,
                    answer=answer,
                )
                backend.ran = ran
                fleet.register(backend)
        fleet.write_configuration(
            version=7, routes=make_routes(_OLD), services=[_OLD, _NEW]
        )
        ports = harness.free_ports(_HOSTS)
        for number, host in enumerate(_HOSTS):
            fleet.add_node(
                name=f"front-norte-a-{number}",
                host=host,
                ports=ports,
                seeds=_HOSTS,
            ).start()
        for node in fleet.nodes:
            node.wait_ready()
        gevent.sleep(4.0)
        before = send_requests(record, fleet.nodes[0], ran, "before")
        record.write(f"before the change: {dict(before)}")
        fleet.write_configuration(
            version=9, routes=make_routes(_NEW), services=[_OLD, _NEW]
        )
        acknowledged = time.monotonic()
        record.write("version 9 is acknowledged: the route goes to svc-new")
        gevent.sleep(0.5)
        node = fleet.nodes[0]
        if harness.TROUBLE:
            record.write(f"SIGKILL to {node.host}")
            node.kill()
            gevent.sleep(0.2)
            node.start()
        node.wait_ready()
        ready = time.monotonic()
        record.write(f"{node.host} is ready")
        quiet_from = max(
            acknowledged + _CONFIG_APPLY_S, ready + _STABLE_WINDOW_S + 1.0
        )
        gevent.sleep(max(0.0, quiet_from - time.monotonic()))
        late = time.monotonic() - acknowledged
        record.write(f"requests from {late:.1f} s after the acknowledgement")
        after = send_requests(record, node, ran, "after")
        gevent.sleep(10.0)
        much_later = send_requests(record, node, ran, "later")
        other = send_requests(record, fleet.nodes[1], ran, "other")
        record.write(f"{fleet.nodes[1].host}, not restarted: {dict(other)}")
        record.write(f"after: {dict(after)}, later: {dict(much_later)}")
    finally:
        fleet.close()
    if before[_OLD] < _REQUESTS / 2 or other[_NEW] < _REQUESTS / 2:
        raise RuntimeError("the deployment did not serve")
    old = after[_OLD] + much_later[_OLD]
    if old:
        record.conclude(f"CONFIG broken: {old} requests ran at {_OLD}")
        return harness.BROKEN
    record.conclude("CONFIG held")
    return harness.HELD


if __name__ == "__main__":
    harness.run(main)
