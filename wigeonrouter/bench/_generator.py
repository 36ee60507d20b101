"""Load generator with low overhead: one thread and one selector.

It runs as a separate process that gets its plan as a JSON argument and
prints its results as JSON. It imports neither gevent nor the packages of the
daemon, so that its own processor time is small relative to what it measures.
"""

import gc
import heapq
import json
import random
import selectors
import socket
import sys
import time

_RECEIVE_BYTES = 1 << 16
_IDLE_WAIT_S = 0.05


class _Caller:
    """One caller that alternates between targets, one of each kind."""

    def __init__(self, *, number, plan):
        self._number = number
        self._plan = plan
        self._count = 0
        self._sockets = [
            _connect(targets[number % len(targets)])
            for targets in plan["targets"]
        ]
        self.started = 0.0
        self.latencies = [[] for _ in self._sockets]
        self.failures = 0

    @property
    def sockets(self):
        """Connected sockets, one for each kind of target."""
        return self._sockets

    def send(self):
        """Send the next request."""
        sock = self._sockets[self._count % len(self._sockets)]
        request_id = f"g{self._plan['seed']}-{self._number}-{self._count}"
        data = self._plan["request"].replace("{id}", request_id).encode()
        self.started = time.perf_counter()
        sock.sendall(data)

    def receive(self, sock):
        """Receive a response and record its latency; return True.

        Raises:
          ConnectionError: the response is incomplete.
        """
        data = sock.recv(_RECEIVE_BYTES)
        elapsed = time.perf_counter() - self.started
        # A response fits into one segment on the loopback interface, so that
        # one call receives all of it.
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator or not body:
            raise ConnectionError("incomplete response")
        if not head.startswith(b"HTTP/1.1 200"):
            self.failures += 1
        self.latencies[self._count % len(self._sockets)].append(elapsed)
        self._count += 1
        return True


def run(plan):
    """Run a plan.

    Args:
      plan: dict with ``targets`` (a list of lists of (host, port), one list
        for each kind of target), ``request`` (text), ``callers``,
        ``think_s`` (mean think time of a caller, 0 for none), ``duration_s``
        and ``seed``.
    Returns:
      Dict with ``latencies`` (seconds, a list for each kind of target; equal
      positions belong to consecutive requests of one caller), ``failures``
      (responses without status 200) and ``elapsed_s``.
    """
    callers = [
        _Caller(number=number, plan=plan) for number in range(plan["callers"])
    ]
    selector = selectors.DefaultSelector()
    for caller in callers:
        for sock in caller.sockets:
            selector.register(sock, selectors.EVENT_READ, caller)
    gc.disable()
    elapsed = _run_callers(plan, callers, selector)
    latencies = [[] for _ in plan["targets"]]
    for caller in callers:
        pairs = min(len(values) for values in caller.latencies)
        for all_values, values in zip(
            latencies, caller.latencies, strict=True
        ):
            all_values.extend(values[:pairs])
    return {
        "latencies": latencies,
        "failures": sum(caller.failures for caller in callers),
        "elapsed_s": elapsed,
    }


def _run_callers(plan, callers, selector):
    rng = random.Random(plan["seed"])
    rate = 1 / plan["think_s"] if plan["think_s"] else 0.0

    def draw_think_time():
        return rng.expovariate(rate) if rate else 0.0

    started = now = time.perf_counter()
    deadline = started + plan["duration_s"]
    due = [(now + draw_think_time(), number) for number in range(len(callers))]
    heapq.heapify(due)
    while now < deadline:
        while due and due[0][0] <= now:
            callers[heapq.heappop(due)[1]].send()
        wait = min(_IDLE_WAIT_S, max(0.0, due[0][0] - now)) if due else None
        for key, _ in selector.select(_IDLE_WAIT_S if wait is None else wait):
            if key.data.receive(key.fileobj):
                at = time.perf_counter() + draw_think_time()
                heapq.heappush(due, (at, callers.index(key.data)))
        now = time.perf_counter()
    return now - started


def _connect(address):
    sock = socket.create_connection(tuple(address), timeout=10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


if __name__ == "__main__":
    json.dump(run(json.loads(sys.argv[1])), sys.stdout)
