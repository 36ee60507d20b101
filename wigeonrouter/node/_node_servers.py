"""The HTTP servers of a node: for callers, other nodes and operators."""

import resource
import time

import gevent

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement

_STOP_POLL_INTERVAL_S = 0.02


class NodeServers:
    """Owns the servers that a node listens with.

    Args:
      settings: topology.NodeSettings.
      proxy: Proxy, which handles callers' requests.
      forwarded_handler: handler of the requests that other nodes pass on.
      directory_handler: handler of directory queries and readiness checks.
      control_handler: handler of the control address.
      buffer_budget: http1.BufferBudget of requests and their responses.
    """

    def __init__(
        self,
        *,
        settings,
        proxy,
        forwarded_handler,
        directory_handler,
        control_handler,
        buffer_budget,
    ):
        limits = placement.connection_limits(
            resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        self._caller_server = http1.CallerServer(
            address=settings.caller_address,
            handler=proxy,
            max_connections=limits.callers,
            buffer_budget=buffer_budget,
            may_overlap=proxy.may_overlap,
        )
        self._request_servers = [self._caller_server]
        self._forwarding_address = ""
        first_port, last_port = settings.peer_ports
        if first_port != last_port:
            server = http1.CallerServer(
                address=core.Address(host=settings.host, port=last_port),
                handler=forwarded_handler,
                max_connections=limits.forwarded,
                buffer_budget=buffer_budget,
            )
            self._request_servers.append(server)
            self._forwarding_address = f"{settings.host}:{server.port}"
        self._auxiliary_servers = [
            http1.CallerServer(
                address=address, handler=handler, max_connections=limit
            )
            for address, handler, limit in (
                (
                    settings.directory_address,
                    directory_handler,
                    limits.directory,
                ),
                (
                    settings.readiness_address,
                    directory_handler,
                    limits.auxiliary,
                ),
                (settings.control_address, control_handler, limits.auxiliary),
            )
            if address is not None
        ]

    @property
    def callers(self):
        """http1.CallerServer of the callers."""
        return self._caller_server

    @property
    def forwarding_address(self):
        """Where other nodes pass requests on, HOST:PORT, "" for nowhere."""
        return self._forwarding_address

    @property
    def requests_in_progress(self):
        """Number of requests of callers and of other nodes."""
        return sum(
            server.requests_in_progress for server in self._request_servers
        )

    def start(self):
        """Start listening."""
        for server in (*self._request_servers, *self._auxiliary_servers):
            server.start()

    def drain(self):
        """Tell callers to leave; see http1.CallerServer.drain()."""
        for server in self._request_servers:
            server.drain()

    def stop(self, schedule):
        """Accept requests as planned, then wait for those in progress.

        Args:
          schedule: placement.StopSchedule; returns at its exit at the latest.
        """
        while time.monotonic() < schedule.accept_until:
            gevent.sleep(_STOP_POLL_INTERVAL_S)
        gevent.joinall(
            [gevent.spawn(server.stop) for server in self._request_servers],
            timeout=max(0.0, schedule.exit - time.monotonic()),
        )
        # A server that failed to stop has not waited for its requests.
        while self.requests_in_progress and time.monotonic() < schedule.exit:
            gevent.sleep(_STOP_POLL_INTERVAL_S)

    def kill(self):
        """Close all servers at once."""
        for server in (*self._request_servers, *self._auxiliary_servers):
            server.kill()
