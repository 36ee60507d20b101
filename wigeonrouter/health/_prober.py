"""The task that probes backend servers which get no traffic."""

import time

import gevent
import geventhttpclient

from wigeonrouter import entries
from wigeonrouter.health import _budget
from wigeonrouter.health import _rules

TICK_S = 0.2
PROBE_TIMEOUT_S = 0.5


class Prober:
    """Owns the probe shares and the probe connections of one daemon."""

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
        self._shares = {}
        self._next_server = {}
        self._sent = 0

    @property
    def sent(self):
        """Number of probes sent since the start."""
        return self._sent

    def run(self):
        """Probe until killed."""
        while True:
            gevent.sleep(TICK_S)
            self.tick()

    def tick(self):
        """Send the probes that are due and within the budget."""
        now = self._clock()
        members = self._live_members()
        dispatchers = self._dispatchers()
        for name in set(self._shares) - set(dispatchers):
            del self._shares[name]
        for name, dispatcher in dispatchers.items():
            dispatcher.advance()
            share = self._shares.get(name) or _budget.new_share(now=now)
            self._shares[name] = _budget.refill(
                share=share,
                rate=_budget.area_rate(
                    service=dispatcher.service, place=self._place
                ),
                owner=self._owner(dispatcher.service, members),
                daemon_id=self._daemon_id,
                now=now,
            )
            self._probe_one(name, dispatcher)

    def _owner(self, service, members):
        homes = entries.home_members(
            service=service, place=self._place, members=members
        )
        return homes[0].daemon_id if homes else None

    def _probe_one(self, name, dispatcher):
        due = [view for view in dispatcher.views if _rules.needs_probe(view)]
        share = _budget.spend(self._shares[name]) if due else None
        if share is None:
            return
        self._shares[name] = share
        turn = self._next_server.get(name, 0)
        self._next_server[name] = turn + 1
        view = due[turn % len(due)]
        self._sent += 1
        gevent.spawn(self._probe, dispatcher, view.server)

    def _probe(self, dispatcher, server):
        probe = probe_server(
            address=server.address,
            path=dispatcher.service.health.probe_path,
        )
        dispatcher.on_probe(name=server.name, probe=probe)


def probe_server(*, address, path):
    """Ask a backend server for its health.

    Args:
      address: core.Address.
      path: path of the request.
    Returns:
      A ProbeResult.
    """
    client = geventhttpclient.HTTPClient(
        address.host,
        address.port,
        connection_timeout=PROBE_TIMEOUT_S,
        network_timeout=PROBE_TIMEOUT_S,
    )
    try:
        response = client.get(path)
        load = response.get("backend-load") or ""
        response.read()
    except ConnectionRefusedError:
        return _rules.ProbeResult(reached=False)
    except (OSError, ValueError):
        return _rules.ProbeResult(reached=True)
    finally:
        client.close()
    draining = "state=draining" in load
    return _rules.ProbeResult(
        reached=True,
        healthy=response.status_code == 200 and not draining,
        draining=draining,
    )
