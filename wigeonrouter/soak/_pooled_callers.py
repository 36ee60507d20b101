"""Callers that keep a connection open until the node closes it."""

import random
import time

import gevent

from wigeonrouter.soak import _callers
from wigeonrouter.soak import _environment

_MEAN_USE_INTERVAL_S = 2.0
_MEAN_RECONNECT_DELAY_S = 1.0
# Interval between lookups of entries that found no node.
_LOOKUP_RETRY_INTERVAL_S = 0.5
# Longer than the timeout of the routes, so that the caller sees how each
# request ends.
_PATIENCE_S = 4.0


class EntryCache:
    """Entries of one place, shared by its callers.

    Args:
      fleet: Fleet.
      place: core.Place of the callers.
    """

    def __init__(self, *, fleet, place, rng):
        self._fleet = fleet
        self._place = place
        self._rng = rng
        self._addresses = ()
        self._refresh_at = 0.0

    def find_node(self):
        """Return the NodeProcess of a random entry, or None."""
        if time.monotonic() >= self._refresh_at:
            self._refresh_at = time.monotonic() + _LOOKUP_RETRY_INTERVAL_S
            self._refresh()
        if not self._addresses:
            return None
        address = self._rng.choice(self._addresses)
        return self._fleet.find_by_caller_address(address)

    def _refresh(self):
        found = _callers.query_entries(
            self._rng.choice(self._fleet.nodes),
            host=_environment.HOST,
            place=self._place,
        )
        if found is not None:
            self._addresses, lifetime = found
            self._refresh_at = time.monotonic() + lifetime


class PooledCaller:
    """One caller with one connection, which it uses every few seconds.

    It looks up entries only to connect, and uses the connection also long
    after the node has left the directory.

    Args:
      entries: EntryCache.
      sender: Sender.
    """

    def __init__(self, *, entries, sender, rng):
        self._entries = entries
        self._sender = sender
        self._rng = rng

    def run(self):
        """Send requests until the greenlet is killed."""
        while True:
            connection = self._connect()
            if connection is None:
                gevent.sleep(
                    self._rng.expovariate(1 / _MEAN_RECONNECT_DELAY_S)
                )
                continue
            try:
                self._use(connection)
            finally:
                connection.close()

    def _use(self, connection):
        """Send requests on a connection until it can no longer be used."""
        usable = True
        while usable:
            gevent.sleep(self._rng.expovariate(1 / _MEAN_USE_INTERVAL_S))
            if connection.was_closed:
                return
            usable = self._sender.send(connection)

    def _connect(self):
        node = self._entries.find_node()
        if node is None:
            return None
        try:
            return _callers.Connection(
                node=node, address=node.caller_proxy.address
            )
        except OSError:
            return None


def start(environment, count, rng):
    """Start pooled callers; return the list of their greenlets."""
    sender = _callers.Sender(
        routes=environment.pooled_routes,
        observations=environment.observations,
        rng=rng,
        prefix="p",
        patience=_PATIENCE_S,
    )
    caches = [
        EntryCache(
            fleet=environment.fleet,
            place=_environment.get_place(domain),
            rng=rng,
        )
        for domain in sorted(_environment.DOMAINS)
    ]
    return [
        gevent.spawn(
            PooledCaller(
                entries=caches[index % len(caches)],
                sender=sender,
                rng=random.Random(rng.randrange(1 << 30)),
            ).run
        )
        for index in range(count)
    ]
