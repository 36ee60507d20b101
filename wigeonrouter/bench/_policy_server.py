"""Simulated backend server of the policy simulation."""

import collections

from wigeonrouter import core

# Requests that the server queues before it rejects further ones.
MAX_QUEUE_LENGTH = 16
_FAILURE_TIME_S = 0.0005


class Attempt:
    """One attempt to execute a request on a server.

    Attributes:
      service_time: seconds that it takes on a slot without slowdown.
      deadline: simulated time at which the daemon gives up.
      on_response: called with the core.Outcome and the reported number of
        requests in flight, or None without a load report.
      slot: index of the slot that it occupies, or None.
      ended: whether it has finished, failed or been cancelled.
    """

    __slots__ = (
        "service_time",
        "deadline",
        "on_response",
        "slot",
        "ended",
    )

    def __init__(self, *, service_time, deadline, on_response):
        self.service_time = service_time
        self.deadline = deadline
        self.on_response = on_response
        self.slot = None
        self.ended = False


class SimulatedServer:
    """Executes attempts in its slots and queues further ones in order.

    Attributes:
      server: core.BackendServer.
      slowdown: factor of the service time, for each slot.
      failing: whether each attempt fails immediately.
      rejecting: whether each attempt is rejected without execution.
      fixed_in_flight: number of requests in flight that it always reports,
        or None for the true number.
      report_loss: probability that a response has no load report.
      busy_seconds: slot time of the finished attempts.
    """

    def __init__(self, *, loop, server, rng):
        self._loop = loop
        self._rng = rng
        self.server = server
        self.slowdown = [1.0] * server.slots
        self.failing = False
        self.rejecting = False
        self.fixed_in_flight = None
        self.report_loss = 0.0
        self.busy_seconds = 0.0
        self._free = list(range(server.slots))
        self._queue = collections.deque()
        self._in_flight = 0

    def arrive(self, attempt):
        """Start, queue or reject an attempt that has arrived."""
        if self.failing:
            self._loop.call_later(
                _FAILURE_TIME_S, self._respond, attempt, core.Outcome.FAILED
            )
            return
        if self.rejecting or len(self._queue) >= MAX_QUEUE_LENGTH:
            self._respond(attempt, core.Outcome.NOT_RUN)
            return
        self._in_flight += 1
        self._queue.append(attempt)
        self._start_next()

    def cancel(self, attempt):
        """Drop an attempt whose daemon has closed the connection."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.slot is not None or attempt in self._queue:
            self._in_flight -= 1
        if attempt.slot is not None:
            self._free.append(attempt.slot)
            self._start_next()

    def _start_next(self):
        while self._free and self._queue:
            attempt = self._queue.popleft()
            if attempt.ended:
                continue
            if attempt.deadline <= self._loop.now:
                attempt.ended = True
                self._in_flight -= 1
                continue
            attempt.slot = self._free.pop()
            time = attempt.service_time * self.slowdown[attempt.slot]
            self._loop.call_later(time, self._finish, attempt, time)

    def _finish(self, attempt, time):
        if attempt.ended:
            return
        self._free.append(attempt.slot)
        self._in_flight -= 1
        self.busy_seconds += time
        self._respond(attempt, core.Outcome.OK)
        self._start_next()

    def _respond(self, attempt, outcome):
        if attempt.ended:
            return
        attempt.ended = True
        report = None
        if self._rng.random() >= self.report_loss:
            report = self._in_flight
            if self.fixed_in_flight is not None:
                report = self.fixed_in_flight
        attempt.on_response(outcome, report)
