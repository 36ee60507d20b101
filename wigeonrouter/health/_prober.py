"""Probes backend servers that get no requests because of their state."""

import time

import gevent
import geventhttpclient

from wigeonrouter import entries
from wigeonrouter.health import _budget
from wigeonrouter.health import _rules

TICK_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.5


class Prober:
    """Sends the probes of one daemon within the probe budget.

    Args:
      place: core.Place of the daemon.
      daemon_id: id of the daemon.
      live_members: function that returns the alive members, core.Member.
      dispatchers: function that returns a dict from service name to
        Dispatcher.
      clock: monotonic clock, seconds.
    """

    def __init__(
        self,
        *,
        place,
        daemon_id,
        live_members,
        dispatchers,
        clock=time.monotonic,
    ):
        self._place = place
        self._daemon_id = daemon_id
        self._live_members = live_members
        self._dispatchers = dispatchers
        self._clock = clock
        self._buckets = {}
        self._probe_counts = {}
        self._probes_sent = 0

    @property
    def probes_sent(self):
        """Number of probes sent since the daemon started."""
        return self._probes_sent

    def run(self):
        """Call tick() periodically until the task is killed."""
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self):
        """Update states and token buckets; send up to one probe a service."""
        now = self._clock()
        members = self._live_members()
        dispatchers = self._dispatchers()
        for name in set(self._buckets) - set(dispatchers):
            del self._buckets[name]
        for name, dispatcher in dispatchers.items():
            dispatcher.advance()
            bucket = self._buckets.get(name) or _budget.new_token_bucket(
                now=now
            )
            self._buckets[name] = _budget.refill(
                bucket=bucket,
                rate=_budget.scope_rate(
                    service=dispatcher.service, place=self._place
                ),
                owner=self._owner(dispatcher.service, members),
                daemon_id=self._daemon_id,
                now=now,
            )
            self._probe_next_due(name, dispatcher)

    def _owner(self, service, members):
        homes = entries.home_members(
            service=service, place=self._place, members=members
        )
        return homes[0].daemon_id if homes else None

    def _probe_next_due(self, name, dispatcher):
        due = [view for view in dispatcher.views if _rules.needs_probe(view)]
        bucket = _budget.take_token(self._buckets[name]) if due else None
        if bucket is None:
            return
        self._buckets[name] = bucket
        probe_count = self._probe_counts.get(name, 0)
        self._probe_counts[name] = probe_count + 1
        view = due[probe_count % len(due)]
        self._probes_sent += 1
        gevent.spawn(self._probe, dispatcher, view.server)

    def _probe(self, dispatcher, server):
        probe = probe_server(
            address=server.address,
            path=dispatcher.service.health.probe_path,
        )
        dispatcher.on_probe(name=server.name, probe=probe)


def probe_server(*, address, path):
    """Send one health request to a backend server.

    Connecting and each read are limited to PROBE_TIMEOUT_S.

    Args:
      address: core.Address of the server.
      path: path of the health endpoint.
    Returns:
      A ProbeResult. Network errors and malformed responses are results too
      and raise nothing; only a refused connection counts as not reached.
    """
    client = geventhttpclient.HTTPClient(
        address.host,
        address.port,
        connection_timeout=PROBE_TIMEOUT_S,
        network_timeout=PROBE_TIMEOUT_S,
    )
    try:
        response = client.get(path)
        load_report = response.get("backend-load") or ""
        response.read()
    except ConnectionRefusedError:
        return _rules.ProbeResult(reached=False)
    except (OSError, ValueError):
        return _rules.ProbeResult(reached=True)
    finally:
        client.close()
    draining = "state=draining" in load_report
    return _rules.ProbeResult(
        reached=True,
        healthy=response.status_code == 200 and not draining,
        draining=draining,
    )
