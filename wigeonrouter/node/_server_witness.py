"""Tells servers that have ended from servers that only this node lost.

A path that is cut looks like a server that has ended: its connections are
reset and new ones are refused. So a node only trusts a refusal while other
servers accept its connections, and asks other nodes too.
"""

from gevent import socket

from wigeonrouter.node import _peer_requests
from wigeonrouter.schema import node_pb2

Verdict = node_pb2.ServerCheckResult

# A live server in another region needs a round trip of tens of milliseconds.
_CONNECT_TIMEOUT_S = 0.15
_WITNESSES = 2


class ServerWitness:
    """Checks whether backend servers have ended.

    Args:
      settings: topology.NodeSettings.
      link_monitor: LinkMonitor.
      known: function that returns a dict from instance to
        topology.KnownServer.
      peers: function that returns the topology.Peers of the region.
      rng: random.Random.
    """

    def __init__(self, *, settings, link_monitor, known, peers, rng):
        self._host = settings.host
        self._port = settings.peer_ports[0]
        self._link_monitor = link_monitor
        self._known = known
        self._peers = peers
        self._rng = rng
        # Instances that have ended. That they refuse connections says nothing
        # about the paths of this node.
        self._ended = set()

    def has_ended(self, registration):
        """Return whether the server of a topology.Registration has ended.

        It has if some node is refused, whose paths to others work, and no
        node is accepted. It is left open while this cannot be told.
        """
        if self._link_monitor.cut:
            return False
        self._ended.intersection_update(self._known())
        own = self._check(registration)
        if own == Verdict.ACCEPTS:
            return False
        hosts = [
            peer.host
            for peer in self._peers()
            if peer.host != self._host and peer.reaches_servers
        ]
        verdicts = {
            own,
            *_peer_requests.check_server(
                self._rng.sample(hosts, min(len(hosts), _WITNESSES)),
                port=self._port,
                instance=registration.instance,
            ),
        }
        return Verdict.REFUSES in verdicts and Verdict.ACCEPTS not in verdicts

    def check(self, instance):
        """Return the Verdict of this node on an instance."""
        known = self._known().get(instance)
        if known is None:
            return Verdict.UNKNOWN
        return self._check(known.registration)

    def _check(self, registration):
        instance, address = registration.instance, registration.address
        try:
            sock = socket.create_connection(
                (address.host, address.port), timeout=_CONNECT_TIMEOUT_S
            )
        except (ConnectionRefusedError, ConnectionResetError):
            if self._link_monitor.cut:
                return Verdict.UNKNOWN
            if not self._link_monitor.reaches_others({instance, *self._ended}):
                return Verdict.UNKNOWN
            self._ended.add(instance)
            return Verdict.REFUSES
        except OSError:
            return Verdict.UNKNOWN
        sock.close()
        self._ended.discard(instance)
        return Verdict.ACCEPTS
