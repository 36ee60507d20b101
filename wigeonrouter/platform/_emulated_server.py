"""Base class of the emulators of the platform's store and backend servers."""

import gevent
from gevent import server as gevent_server
from gevent import socket

from wigeonrouter import http1

_MAX_BODY_BYTES = 1 << 20
_STANDSTILL_CHECK_INTERVAL_S = 0.01


class EmulatedServer:
    """Base class that accepts connections; subclasses handle requests.

    Attributes:
      silent: handle requests, but withhold responses while it is set.
      resetting: close each connection on its first request.
      losing: handle each request, then close instead of responding.
      delay: delay before each request is handled, seconds.
      standing_still: neither read nor respond while it is set; connections
        stay open.
    """

    def __init__(self, *, port=0):
        self.silent = False
        self.resetting = False
        self.losing = False
        self.delay = 0.0
        self.standing_still = False
        self._connections = set()
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", port), self._serve
        )
        self._server.start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def address(self):
        """Address of the server, as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def stop(self):
        """Stop the server and close all connections immediately."""
        self._server.stop(timeout=0.1)
        self.close_connections()

    def close_connections(self):
        """Close all connections; the server goes on accepting new ones."""
        for sock in list(self._connections):
            sock.close()

    def prepare(self, request, sock):
        """Write what comes before a request is handled; by default nothing."""

    def handle(self, request, sock):
        """Return the HttpResponse for a request, None to never respond."""
        raise NotImplementedError

    def closes_after_response(self):
        """Return whether the connection is closed after each response."""
        return False

    def _serve(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(sock)
        reader = http1.RequestReader(
            body_limit=lambda request: _MAX_BODY_BYTES
        )
        try:
            while True:
                request = reader.read(lambda: self._receive(sock))
                if request is None or self.resetting:
                    return
                gevent.sleep(self.delay)
                self.prepare(request, sock)
                response = self.handle(request, sock)
                if self.losing:
                    return
                while response is None or self.silent:
                    gevent.sleep(0.05)
                self.wait_until_moving()
                self.send(sock, request, response)
                if self.closes_after_response():
                    return
        except (OSError, http1.MalformedMessage):
            return
        finally:
            self._connections.discard(sock)
            sock.close()

    def wait_until_moving(self):
        """Block while the server stands still."""
        while self.standing_still:
            gevent.sleep(_STANDSTILL_CHECK_INTERVAL_S)

    def _receive(self, sock):
        data = sock.recv(65536)
        self.wait_until_moving()
        return data

    def send(self, sock, request, response):
        """Send a response."""
        sock.sendall(self.render(request, response))

    def render(self, request, response):
        """Return the bytes of a response."""
        return http1.render_response(
            response=response, close=False, method=request.method
        )
