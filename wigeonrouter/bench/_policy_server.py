"""Fake backend server of the policy experiment."""

import collections

from wigeonrouter import core

# A server that has this many requests waiting sheds further ones.
SHED_LENGTH = 16
_FAILURE_TIME_S = 0.0005


class Call:
    """One attempt on its way through a server.

    Attributes:
      work: seconds that it takes on a healthy slot.
      answered: called with (outcome, report values or None).
    """

    __slots__ = ("work", "deadline", "answered", "slot", "ended")

    def __init__(self, *, work, deadline, answered):
        self.work = work
        self.deadline = deadline
        self.answered = answered
        self.slot = None
        self.ended = False


class FakeServer:
    """Runs calls in its slots; further calls wait in a FIFO queue.

    Attributes:
      slowness: factor of the service time, for each slot.
      failing: whether each call fails at once.
      refusing: whether each call is refused at once, as not run.
      reported: in-flight count that it always reports, or None for the
        true count.
      report_loss: share of answers without a report.
      busy: seconds of slot time spent so far.
    """

    def __init__(self, *, loop, server, rng):
        self._loop = loop
        self._rng = rng
        self.server = server
        self.slowness = [1.0] * server.slots
        self.failing = False
        self.refusing = False
        self.reported = None
        self.report_loss = 0.0
        self.busy = 0.0
        self._free = list(range(server.slots))
        self._waiting = collections.deque()
        self._in_flight = 0

    def arrive(self, call):
        """Take a call that has just arrived."""
        if self.failing:
            self._loop.call_later(
                _FAILURE_TIME_S, self._answer, call, core.Outcome.FAILED
            )
            return
        if self.refusing or len(self._waiting) >= SHED_LENGTH:
            self._answer(call, core.Outcome.NOT_RUN)
            return
        self._in_flight += 1
        self._waiting.append(call)
        self._start_next()

    def cancel(self, call):
        """Give up a call whose daemon has closed the connection."""
        if call.ended:
            return
        call.ended = True
        if call.slot is not None or call in self._waiting:
            self._in_flight -= 1
        if call.slot is not None:
            self._free.append(call.slot)
            self._start_next()

    def _start_next(self):
        while self._free and self._waiting:
            call = self._waiting.popleft()
            if call.ended:
                continue
            if call.deadline <= self._loop.now:
                call.ended = True
                self._in_flight -= 1
                continue
            call.slot = self._free.pop()
            time = call.work * self.slowness[call.slot]
            self._loop.call_later(time, self._finish, call, time)

    def _finish(self, call, time):
        if call.ended:
            return
        self._free.append(call.slot)
        self._in_flight -= 1
        self.busy += time
        self._answer(call, core.Outcome.OK)
        self._start_next()

    def _answer(self, call, outcome):
        if call.ended:
            return
        call.ended = True
        report = None
        if self._rng.random() >= self.report_loss:
            report = self._in_flight
            if self.reported is not None:
                report = self.reported
        call.answered(outcome, report)
