"""Tests that the event log is non-blocking and bounded."""

import json
import os
import time

import gevent
import pytest

from wigeonrouter import events
from wigeonrouter.events import _events

_CALLS = 20_000


@pytest.fixture
def pipe():
    """Return the two ends of a pipe."""
    read_end, write_end = os.pipe()
    yield read_end, write_end
    for descriptor in (read_end, write_end):
        try:
            os.close(descriptor)
        except OSError:
            pass


@pytest.fixture
def make_log(pipe):
    """Return a function that starts an EventLog on the pipe."""
    logs = []

    def make(**options):
        options = {"lines_per_second": 1_000_000, **options}
        log = events.EventLog(descriptor=pipe[1], **options)
        log.start()
        logs.append(log)
        return log

    yield make
    for log in logs:
        log.stop()


def read_now(descriptor):
    """Return the bytes that can be read without blocking."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            more = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        if not more:
            break
        data += more
    return data


def parse(data):
    """Return the events of complete lines."""
    return [json.loads(line) for line in data.splitlines()]


def test_stalled_log_reader_does_not_block_the_process(make_log, pipe):
    """Guards against a process that is blocked by the reader of its log.

    The reader stops, the process logs tens of thousands of lines, and the
    reader continues.
    """
    log = make_log()
    started = time.monotonic()
    for number in range(_CALLS):
        log.event("decision", id=number)
        if number % 1000 == 0:
            gevent.sleep(0.01)
    gevent.sleep(0.5)
    log.notice("important")
    assert time.monotonic() - started < 5.0
    assert len(log._buffer) <= _events.MAX_BUFFERED_LINES
    data = b""
    for _ in range(20):
        data += read_now(pipe[0])
        gevent.sleep(0.05)
    logged = parse(data)
    names = [event["event"] for event in logged]
    assert "important" in names
    written = names.count("decision")
    reported = [event for event in logged if event["event"] == "lines-dropped"]
    dropped = sum(event["by_event"].get("decision", 0) for event in reported)
    assert reported and written + dropped <= _CALLS
    assert log.counts["decision"] == _CALLS
    assert log.total_dropped >= _CALLS - written


def test_request_events_are_rate_limited(make_log, pipe):
    """Guards against a log volume that grows with the request rate."""
    log = make_log(lines_per_second=10, wall_clock=lambda: 1000.5)
    for number in range(100):
        log.event("decision", id=number)
    log.notice("stopping")
    gevent.sleep(0.5)
    names = [event["event"] for event in parse(read_now(pipe[0]))]
    assert names.count("decision") == 10
    assert "stopping" in names
    assert log.total_dropped == 90


def test_closed_log_reader_does_not_end_the_process(make_log, pipe):
    """Guards against a process that exits when its log reader exits."""
    log = make_log()
    os.close(pipe[0])
    log.event("decision")
    gevent.sleep(0.5)
    log.event("decision")
    assert log.counts["decision"] == 2
