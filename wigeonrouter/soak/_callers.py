"""Callers that look up entries, keep connections and record outcomes."""

import dataclasses
import itertools
import time

import gevent
from gevent import select
from gevent import socket

from wigeonrouter import http1
from wigeonrouter.platform import testing
from wigeonrouter.soak import _records

CALLER_TIMEOUT_S = 3.0
_ENTRY_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
_MEAN_REQUEST_INTERVAL_S = 0.12
_DISCONNECT_PROBABILITY = 0.06
_DISCONNECT_AFTER_S = (0.01, 0.08)
_RECONNECT_PROBABILITY = 0.15
# Some callers use an entry response beyond its lifetime: three times as long
# as they may.
_EXPIRED_USE_PROBABILITY = 0.2
_EXPIRED_USE_FACTOR = 3.0
_RECONNECT_DELAY_S = 0.1
_RECEIVE_BYTES = 65536


class Connection:
    """One persistent HTTP connection to a node."""

    def __init__(self, *, node, address):
        """Connect to an address, a pair of host and port.

        Raises:
          OSError: the connection attempt failed.
        """
        self.node = node
        self._sock = socket.create_connection(
            address, timeout=_CONNECT_TIMEOUT_S
        )
        # The timeout of create_connection() would also apply to responses.
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def was_closed(self):
        """Whether the node has closed the connection while it was unused."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        return bool(poller.poll(0))

    def exchange(self, data, *, method, response_timeout):
        """Send a request and return its CallerResponse.

        Args:
          response_timeout: seconds until the complete response is due.

        Raises:
          OSError, http1.MalformedMessage: the connection failed or the
            response was incomplete or malformed.
          TimeoutError: there was no complete response in time.
        """
        with gevent.Timeout(response_timeout, TimeoutError()):
            self._sock.sendall(data)
            return testing.read_response(self._receive, method=method)

    def close(self):
        """Close the connection."""
        self._sock.close()

    def _receive(self):
        return self._sock.recv(_RECEIVE_BYTES)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Credentials:
    """What the requests of a caller say about its tenant.

    Attributes:
      tenant: name of the tenant that holds the key, UNKNOWN_TENANT for none.
      header_lines: lines of the request head.
    """

    tenant: str
    header_lines: tuple[str, ...] = dataclasses.field(repr=False)


class Sender:
    """Sends requests and records their outcomes.

    Args:
      routes: function that returns the topology.Routes to choose from.
      observations: Observations.
      prefix: start of the ids of its requests, unique for each Sender.
      patience: timeout of its requests in seconds.
      credentials: Credentials, None to send no key.
    """

    def __init__(
        self,
        *,
        routes,
        observations,
        rng,
        prefix="r",
        patience=CALLER_TIMEOUT_S,
        credentials=None,
    ):
        self._credentials = credentials
        self._prefix = prefix
        self._patience = patience
        self._routes = routes
        self._observations = observations
        self._rng = rng
        self._request_numbers = itertools.count(1)

    def send(self, connection, *, disconnect_after=None):
        """Send a request for a random route.

        Args:
          disconnect_after: seconds after which the caller disconnects, None
            to wait for the response.

        Returns:
          Whether the connection can be used for further requests.
        """
        route = self._rng.choice(self._routes())
        response = self._send(connection, route, disconnect_after)
        return response is not None and not response.closes

    def send_directly(self, node, route):
        """Send one request to a node on a new connection, without its proxy.

        Returns:
          CallerResponse, or None without a complete response.
        """
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

    def _send(self, connection, route, disconnect_after):
        request_id = f"{self._prefix}{next(self._request_numbers):07d}"
        target = f"{route.prefix}{request_id}"
        method = "GET" if route.idempotent else "POST"
        data = testing.render_request(
            method=method,
            target=target,
            host=route.host,
            request_id=request_id,
            remaining=self._patience,
            body=b"" if route.idempotent else b"x" * 300,
            header_lines=(
                self._credentials.header_lines if self._credentials else ()
            ),
        )
        sent = time.monotonic()
        response, end = None, _records.End.LEFT
        try:
            response, end = self._exchange(
                connection, data, method, disconnect_after
            )
        finally:
            self._record_request(
                connection, route, request_id, target, sent, response, end
            )
        return response

    def _record_request(
        self, connection, route, request_id, target, sent, response, end
    ):
        self._observations.requests.append(
            _records.Request(
                request_id=request_id,
                node=connection.node.name,
                route=route.name,
                idempotent=route.idempotent,
                target=target,
                sent=sent,
                ended=time.monotonic(),
                patience=self._patience,
                timeout=route.timeout,
                end=end,
                reply=response,
                tenant=self._credentials and self._credentials.tenant,
            )
        )

    def _exchange(self, connection, data, method, disconnect_after):
        try:
            response = connection.exchange(
                data,
                method=method.encode(),
                response_timeout=disconnect_after or self._patience,
            )
        except TimeoutError:
            if disconnect_after:
                return None, _records.End.LEFT
            return None, _records.End.TIMEOUT
        except (OSError, http1.MalformedMessage):
            return None, _records.End.BROKEN
        return response, _records.End.ANSWERED


class Caller:
    """One caller: looks up entries, then sends requests to them.

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
        self._refresh_at = 0.0
        self._unreachable = set()

    def run(self):
        """Send requests until the greenlet is killed."""
        connection = None
        try:
            while True:
                gevent.sleep(
                    self._rng.expovariate(1 / _MEAN_REQUEST_INTERVAL_S)
                )
                connection = self._use(connection)
        finally:
            if connection is not None:
                connection.close()

    def _use(self, connection):
        """Send a request on a connection, or on a new one.

        Returns:
          The connection that the next request may use, None for a new one.
        """
        self._refresh_entries()
        if connection is not None and self._should_reconnect(connection):
            connection.close()
            connection = None
        if connection is None:
            connection = self._connect()
        if connection is None:
            gevent.sleep(_RECONNECT_DELAY_S)
            return None
        try:
            usable = self._send(connection)
        except BaseException:
            connection.close()
            raise
        if usable:
            return connection
        connection.close()
        return None

    def _send(self, connection):
        disconnect_after = None
        if self._rng.random() < _DISCONNECT_PROBABILITY:
            disconnect_after = self._rng.uniform(*_DISCONNECT_AFTER_S)
        return self._sender.send(connection, disconnect_after=disconnect_after)

    def _should_reconnect(self, connection):
        return (
            self._rng.random() < _RECONNECT_PROBABILITY
            or connection.node.settings.caller_address not in self._entries
        )

    def _connect(self):
        addresses = [a for a in self._entries if a not in self._unreachable]
        if not addresses:
            self._unreachable.clear()
            self._refresh_at = 0.0
            return None
        address = self._rng.choice(addresses)
        node = self._fleet.find_by_caller_address(address)
        try:
            return Connection(node=node, address=node.caller_proxy.address)
        except OSError:
            self._unreachable.add(address)
            return None

    def _refresh_entries(self):
        if time.monotonic() < self._refresh_at:
            return
        nodes = [
            node
            for node in self._fleet.nodes
            if node.settings.place.region == self._place.region
        ]
        for node in self._rng.sample(nodes, min(3, len(nodes))):
            found = query_entries(node, host=self._host, place=self._place)
            if found is None:
                continue
            self._entries, lifetime = found
            if self._rng.random() < _EXPIRED_USE_PROBABILITY:
                lifetime *= _EXPIRED_USE_FACTOR
            self._refresh_at = time.monotonic() + lifetime
            return


def query_entries(node, *, host, place):
    """Query a node for the entries of a host name.

    Returns:
      A pair of addresses and lifetime in seconds, or None if the node gave no
      valid response.
    """
    address = node.settings.directory_address
    try:
        with (
            gevent.Timeout(_ENTRY_TIMEOUT_S, TimeoutError()),
            socket.create_connection((address.host, address.port)) as sock,
        ):
            sock.sendall(testing.render_entry_query(host=host, place=place))
            response = testing.read_response(
                lambda: sock.recv(_RECEIVE_BYTES), method=b"GET"
            )
            return testing.read_entries(response)
    except (OSError, ValueError, http1.MalformedMessage):
        return None
