"""Probes backend servers for their load right before a choice."""

import dataclasses
import time
import weakref

import gevent

from wigeonrouter import http1
from wigeonrouter.node import _stray_responses
from wigeonrouter.node import messages

# Responses to health checks are short.
_MAX_RESPONSE_BYTES = 16 << 10
_CONNECTIONS_PER_SERVER = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """A server's response to a health check.

    Attributes:
      healthy: whether the status is 200.
      instance_matches: whether the probed instance responded, and not
        another server at the same address.
      metadata: messages.ResponseMetadata of the response.
      round_trip: time from sending to the response, seconds.
    """

    healthy: bool
    instance_matches: bool
    metadata: messages.ResponseMetadata
    round_trip: float


class Prober:
    """Sends health checks over the connection pool that requests use.

    Args:
      pool: http1.ConnectionPool.
      codec: the adapter's HTTP codec.
      events: events.EventLog.
    """

    def __init__(self, *, pool, codec, events, clock=time.monotonic):
        self._pool = pool
        self._codec = codec
        self._events = events
        self._clock = clock
        self._running_probes = {}
        # Dict from connection to the last response to a health check.
        self._last_responses = weakref.WeakKeyDictionary()

    def probe(self, targets, *, timeout, deliver):
        """Probe servers in parallel and wait for the results.

        A server that is being probed already is not probed again; the call
        waits for the running probe.

        Args:
          targets: iterable of (registration, health path).
          timeout: maximum wait, seconds.
          deliver: called with an instance and its ProbeResult, or None if
            the server did not respond in time.
        """
        tasks = []
        for registration, path in targets:
            instance = registration.instance
            task = self._running_probes.get(instance)
            if task is None:
                task = gevent.spawn(
                    self._run, registration, path, timeout, deliver
                )
                self._running_probes[instance] = task
            tasks.append(task)
        gevent.joinall(tasks, timeout=timeout)

    def _run(self, registration, path, timeout, deliver):
        # Request IDs of the responses that were skipped.
        stray_ids = []
        try:
            result = self._exchange(registration, path, timeout, stray_ids)
        finally:
            self._running_probes.pop(registration.instance, None)
        deliver(registration.instance, result)
        if stray_ids:
            self._log_strays(registration, stray_ids)

    def _log_strays(self, registration, stray_ids):
        self._events.event(
            "probe-stray-responses",
            instance=registration.instance,
            address=str(registration.address),
            count=len(stray_ids),
            response_ids=stray_ids,
        )

    def _exchange(self, registration, path, timeout, stray_ids):
        address = registration.address
        deadline = self._clock() + timeout
        try:
            connection = self._pool.checkout(
                address=address,
                limit=_CONNECTIONS_PER_SERVER,
                deadline=deadline,
            )
        except http1.ConnectFailed:
            return None
        reusable = False
        started = self._clock()
        try:
            with gevent.Timeout(max(0.0, deadline - started), TimeoutError):
                connection.send(
                    self._codec.render_probe(path=path, address=address)
                )
                reader = http1.ResponseReader(
                    receive=connection.receive, max_bytes=_MAX_RESPONSE_BYTES
                )
                # A probe has no request ID, so a response with one is a late
                # copy of that to an earlier request.
                response, metadata, skipped = _stray_responses.read_own(
                    reader,
                    method=b"GET",
                    codec=self._codec,
                    is_own=lambda metadata, _: not metadata.request_id,
                    on_stray=lambda metadata: stray_ids.append(
                        metadata.request_id
                    ),
                )
                reusable = reader.reusable and not skipped
                metadata = self._without_copied_pause(
                    connection, response, metadata
                )
        except (
            OSError,
            http1.RequestNotSent,
            http1.MalformedMessage,
        ):
            return None
        finally:
            if reusable:
                self._pool.checkin(address, connection)
            else:
                self._pool.discard(address, connection)
        return ProbeResult(
            healthy=response.status == 200,
            instance_matches=metadata.instance in ("", registration.instance),
            metadata=metadata,
            round_trip=self._clock() - started,
        )

    def _without_copied_pause(self, connection, response, metadata):
        """Return the metadata, without a pause that may have been told before.

        A response that equals the one before it on its connection may be a
        late copy of that, and would start the pause again. If it is none, the
        pause is told by the next rejection of a request, which has an ID.
        """
        last = self._last_responses.get(connection)
        self._last_responses[connection] = response
        if metadata.pause is None or last is None:
            return metadata
        if (last.status, last.headers) != (response.status, response.headers):
            return metadata
        return dataclasses.replace(metadata, pause=None)
