"""A node that stops takes requests late and cuts them off when it ends."""

import dataclasses
import signal
import time

import gevent
import harness
from wigeonrouter import http1
from wigeonrouter.platform import testing

_HOSTS = ("127.0.0.62", "127.0.0.63")
_SERVERS = 6
_USUAL_WORK_S = 0.1
_LONG_WORK_S = 1.8
_GRACE_S = 6.0
_GAP_S = 1.0
_TTL_FACTOR = 3
_INTERVAL_S = 0.04
_WARM_UP_S = 3.0
_PLAYED_S = 8.0
# Requests that are sent in this time after the last SIGTERM are long ones.
_LONG_FROM_S = 3.6
_LONG_UNTIL_S = 4.2
_TIMEOUT_S = 2.0
_DEADLINE_S = 4.0


@dataclasses.dataclass
class Sent:
    """A request that a caller sent and what it got."""

    request_id: str
    host: str
    sent_at: float
    work: float
    ended_at: float = 0.0
    result: str = ""


class Caller:
    """A caller that keeps a directory response for three times its TTL."""

    def __init__(self, *, nodes, record):
        self._nodes = nodes
        self._record = record
        self._addresses = ()
        self._expires = 0.0
        self._failed = set()
        self._turn = 0

    def address(self):
        """Return the address for a new connection, None without any."""
        now = time.monotonic()
        if now >= self._expires:
            self._resolve(now)
        usable = [a for a in self._addresses if a not in self._failed]
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]

    def fail(self, address):
        """Do not use an address again until there is a new response."""
        self._failed.add(address)

    def _resolve(self, now):
        for node in self._nodes:
            try:
                response = harness.call(
                    node.directory_address,
                    b"GET /api/resolve?name=pools.example&region=cl-norte"
                    b"&zone=norte-a HTTP/1.1\r\nHost: entry\r\n\r\n",
                    timeout=1.0,
                )
                entries, ttl = testing.read_entries(response)
            except (OSError, ValueError, http1.MalformedMessage):
                continue
            if not entries:
                continue
            self._addresses = tuple((e.host, e.port) for e in entries)
            self._expires = now + _TTL_FACTOR * ttl
            self._failed.clear()
            return


def answer(backend, sock, request):
    """Work for as long as the path says and answer."""
    request_id = request.header(b"request-id").decode()
    long = b"/long" in request.target
    work = _LONG_WORK_S if long else _USUAL_WORK_S
    backend.record.write(f"{backend.instance} begins {request_id}")
    backend.begun.add(request_id)
    gevent.sleep(work)
    backend.record.write(f"{backend.instance} has run {request_id}")
    sock.sendall(
        b"HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\nheld"
        % backend.headers(request)
    )
    return True


def send(record, caller, request_id, long, sent):
    """Send one request; what happens to it is added to `sent`."""
    address = caller.address()
    if address is None:
        return
    entry = Sent(
        request_id=request_id,
        host=address[0],
        sent_at=time.monotonic(),
        work=_LONG_WORK_S if long else _USUAL_WORK_S,
    )
    data = harness.request_bytes(
        method="POST",
        path="/hold/long" if long else "/hold/usual",
        host="pools.example",
        request_id=request_id,
        deadline_ms=round(_DEADLINE_S * 1000),
        body=b"lane 4",
    )
    record.write(f"client sends {request_id} to {address[0]}")
    try:
        response = harness.call(address, data, timeout=_DEADLINE_S)
        entry.result = str(response.status)
    except ConnectionRefusedError:
        entry.result = "refused"
        caller.fail(address)
    except TimeoutError:
        entry.result = "no answer"
    except (OSError, http1.MalformedMessage) as error:
        entry.result = "closed"
        record.write(f"client {request_id}: {type(error).__name__} {error}")
    entry.ended_at = time.monotonic()
    record.write(f"client {request_id}: {entry.result}")
    sent.append(entry)


def stop(record, node, stopped):
    """Send SIGTERM, and SIGKILL after the grace period; start again."""
    stopped[node.host] = time.monotonic()
    record.write(f"SIGTERM to {node.host}")
    node.signal(signal.SIGTERM)
    deadline = stopped[node.host] + _GRACE_S
    while node.process.poll() is None and time.monotonic() < deadline:
        gevent.sleep(0.01)
    node.kill()
    record.write(f"{node.host} ended with {node.process.returncode}")
    gevent.sleep(0.5)
    node.start()


def find_lost(sent, stopped, begun):
    """Return the requests that count as lost by the rule."""
    lost = []
    for entry in sent:
        stopped_at = stopped.get(entry.host)
        if entry.result != "closed" or stopped_at is None:
            continue
        after_stop = entry.sent_at - stopped_at
        ended_after = entry.ended_at - stopped_at
        if not 0.0 <= ended_after <= _GRACE_S + 1.0:
            continue
        if entry.request_id not in begun:
            continue
        lasted = entry.ended_at - entry.sent_at
        if lasted >= min(_TIMEOUT_S, _DEADLINE_S) - 0.1:
            continue
        in_last_sixth = ended_after >= _GRACE_S * 5 / 6
        if in_last_sixth and after_stop <= 3.0:
            continue
        lost.append((entry, after_stop, ended_after))
    return lost


def main(record):
    fleet = harness.Fleet()
    sent, stopped, begun = [], {}, set()
    try:
        for number in range(_SERVERS):
            backend = harness.Backend(
                instance=f"i-{number}", service="hold-svc", answer=answer
            )
            backend.record, backend.begun = record, begun
            fleet.register(backend)
        route = {
            "host": "pools.example",
            "prefix": "/hold/",
            "kind": "unsafe",
            "timeout": f"{_TIMEOUT_S * 1000:.0f}ms",
            "target_latency": "500ms",
            "priority": 1,
            "service": "hold-svc",
            "max_attempts": 2,
        }
        fleet.write_configuration(
            version=1, routes={"hold": route}, services=["hold-svc"]
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
        gevent.sleep(2.0)
        _play(record, fleet, sent, stopped)
    finally:
        fleet.close()
    lost = find_lost(sent, stopped, begun)
    for entry, after_stop, ended_after in lost:
        record.write(
            f"{entry.request_id} was sent {after_stop:.2f} s after the"
            f" SIGTERM and closed without an answer {ended_after:.2f} s after"
            " it, while its server was at work"
        )
    if not any(entry.result == "200" for entry in sent):
        raise RuntimeError("no request was served")
    if lost:
        record.conclude(f"LOST broken by {len(lost)} requests")
        return harness.BROKEN
    record.conclude("LOST held")
    return harness.HELD


def _play(record, fleet, sent, stopped):
    callers = [
        Caller(nodes=fleet.nodes, record=record) for _ in range(4)
    ]
    tasks = []
    started = time.monotonic()
    last_stop = started + _WARM_UP_S + _GAP_S
    stops_due = (
        list(enumerate(fleet.nodes)) if harness.TROUBLE else []
    )
    number = 0
    while time.monotonic() - started < _WARM_UP_S + _GAP_S + _PLAYED_S:
        now = time.monotonic()
        while stops_due and now >= started + _WARM_UP_S + (
            stops_due[0][0] * _GAP_S
        ):
            _, node = stops_due.pop(0)
            tasks.append(gevent.spawn(stop, record, node, stopped))
        long = _LONG_FROM_S <= now - last_stop <= _LONG_UNTIL_S
        tasks.append(
            gevent.spawn(
                send,
                record,
                callers[number % len(callers)],
                f"r{number}",
                long,
                sent,
            )
        )
        number += 1
        gevent.sleep(_INTERVAL_S)
    gevent.joinall(tasks, timeout=12.0)


if __name__ == "__main__":
    harness.run(main)
