"""Callers that ask for an entry, keep connections and note what they get."""

import itertools
import time

import gevent
from gevent import socket

from wigeonrouter import http1
from wigeonrouter.platform import testing
from wigeonrouter.soak import _records

_PATIENCE_S = 3.0
_ENTRY_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
_MEAN_PAUSE_S = 0.12
_LEAVE_SHARE = 0.06
_LEAVE_AFTER_S = (0.01, 0.08)
_NEW_CONNECTION_SHARE = 0.15
# Some callers keep an answer three times as long as they may.
_LONG_KEEP_SHARE = 0.2
_LONG_KEEP = 3.0
_RETRY_PAUSE_S = 0.1
_RECEIVE_BYTES = 65536


class Connection:
    """One connection to a node."""

    def __init__(self, *, node, address):
        """Connect to a pair of host and port; raises OSError."""
        self.node = node
        self._sock = socket.create_connection(
            address, timeout=_CONNECT_TIMEOUT_S
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(self, data, *, method, patience):
        """Send a request and return its Reply.

        Raises:
          OSError, http1.MalformedMessage: there was no whole answer.
          TimeoutError: there was none in time.
        """
        with gevent.Timeout(patience, TimeoutError()):
            self._sock.sendall(data)
            return testing.read_response(self._receive, method=method)

    def close(self):
        """Close the connection."""
        self._sock.close()

    def _receive(self):
        return self._sock.recv(_RECEIVE_BYTES)


class Sender:
    """Sends requests and records how they ended.

    Args:
      routes: function that returns the topology.Routes that may be used.
      seen: Observations.
    """

    def __init__(self, *, routes, seen, rng):
        self._routes = routes
        self._seen = seen
        self._rng = rng
        self._numbers = itertools.count(1)

    def send(self, connection, *, leave_after=None):
        """Send a request of a random kind; return whether to go on."""
        route = self._rng.choice(self._routes())
        reply = self._send(connection, route, leave_after)
        return reply is not None and not reply.closes

    def ask(self, node, route):
        """Send one request past the link of a node; return its Reply."""
        address = node.settings.caller_address
        try:
            connection = Connection(
                node=node, address=(address.host, address.port)
            )
        except OSError:
            return None
        try:
            return self._send(connection, route, None)
        finally:
            connection.close()

    def _send(self, connection, route, leave_after):
        request_id = f"r{next(self._numbers):07d}"
        target = f"{route.prefix}{request_id}"
        method = "GET" if route.idempotent else "POST"
        data = testing.render_request(
            method=method,
            target=target,
            host=route.host,
            request_id=request_id,
            remaining=_PATIENCE_S,
            body=b"" if route.idempotent else b"x" * 300,
        )
        sent = time.monotonic()
        reply, end = None, _records.End.LEFT
        try:
            reply, end = self._exchange(connection, data, method, leave_after)
        finally:
            self._note(connection, route, request_id, target, sent, reply, end)
        return reply

    def _note(self, connection, route, request_id, target, sent, reply, end):
        self._seen.requests.append(
            _records.Request(
                request_id=request_id,
                node=connection.node.name,
                route=route.name,
                idempotent=route.idempotent,
                target=target,
                sent=sent,
                ended=time.monotonic(),
                patience=_PATIENCE_S,
                timeout=route.timeout,
                end=end,
                reply=reply,
            )
        )

    def _exchange(self, connection, data, method, leave_after):
        try:
            reply = connection.exchange(
                data,
                method=method.encode(),
                patience=leave_after or _PATIENCE_S,
            )
        except TimeoutError:
            if leave_after:
                return None, _records.End.LEFT
            return None, _records.End.TIMEOUT
        except (OSError, http1.MalformedMessage):
            return None, _records.End.BROKEN
        return reply, _records.End.ANSWERED


class Caller:
    """One caller: asks for an entry, then sends requests to it.

    Args:
      fleet: Fleet.
      place: core.Place of the caller.
      host: host name of the routes.
    """

    def __init__(self, *, fleet, place, host, sender, rng):
        self._fleet = fleet
        self._place = place
        self._host = host
        self._sender = sender
        self._rng = rng
        self._entries = ()
        self._until = 0.0
        self._failed = set()

    def run(self):
        """Send requests until the task is killed."""
        connection = None
        while True:
            gevent.sleep(self._rng.expovariate(1 / _MEAN_PAUSE_S))
            self._refresh()
            if connection is not None and self._drops(connection):
                connection.close()
                connection = None
            if connection is None:
                connection = self._connect()
            if connection is None:
                gevent.sleep(_RETRY_PAUSE_S)
                continue
            if not self._send(connection):
                connection.close()
                connection = None

    def _send(self, connection):
        leave_after = None
        if self._rng.random() < _LEAVE_SHARE:
            leave_after = self._rng.uniform(*_LEAVE_AFTER_S)
        return self._sender.send(connection, leave_after=leave_after)

    def _drops(self, connection):
        return (
            self._rng.random() < _NEW_CONNECTION_SHARE
            or connection.node.settings.caller_address not in self._entries
        )

    def _connect(self):
        addresses = [a for a in self._entries if a not in self._failed]
        if not addresses:
            self._failed.clear()
            self._until = 0.0
            return None
        address = self._rng.choice(addresses)
        node = self._fleet.by_caller_address(address)
        try:
            return Connection(node=node, address=node.caller_link.address)
        except OSError:
            self._failed.add(address)
            return None

    def _refresh(self):
        if time.monotonic() < self._until:
            return
        nodes = [
            node
            for node in self._fleet.nodes
            if node.settings.place.region == self._place.region
        ]
        for node in self._rng.sample(nodes, min(3, len(nodes))):
            found = ask_entries(node, host=self._host, place=self._place)
            if found is None:
                continue
            self._entries, lifetime = found
            if self._rng.random() < _LONG_KEEP_SHARE:
                lifetime *= _LONG_KEEP
            self._until = time.monotonic() + lifetime
            return


def ask_entries(node, *, host, place):
    """Return (addresses, lifetime in seconds) from a node, or None."""
    address = node.settings.directory_address
    try:
        with (
            gevent.Timeout(_ENTRY_TIMEOUT_S, TimeoutError()),
            socket.create_connection((address.host, address.port)) as sock,
        ):
            sock.sendall(testing.render_entry_query(host=host, place=place))
            reply = testing.read_response(
                lambda: sock.recv(_RECEIVE_BYTES), method=b"GET"
            )
            return testing.read_entries(reply)
    except (OSError, ValueError, http1.MalformedMessage):
        return None
