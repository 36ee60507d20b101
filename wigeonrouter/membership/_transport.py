"""gRPC server and channels for the peer service."""

import collections
from concurrent import futures

from gevent import socket
import grpc

from wigeonrouter.membership import _tls
from wigeonrouter.schema import peer_pb2_grpc

SENDER_KEY = _tls.SENDER_KEY
_MAX_WORKER_THREADS = 16
# A channel and the peer's end of it take 62 KB together. There may be several
# hundred peers, each of them is called rarely, and reconnecting takes 2 ms.
# The limit is far above the number of concurrent calls of one daemon.
MAX_CHANNELS = 64
# Longest time for which a connection outlives the acceptance of its
# certificate.
_MAX_TLS_CONNECTION_AGE_MS = 600_000
# Reconnects quickly to restarted peers. The default maximum backoff of two
# minutes would keep a rejoining region disconnected for longer than a
# configuration change may take to reach it.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_http_proxy", 0),
)


# Texts of errors of a connection that failed during the handshake. gRPC has
# no status code for it.
_HANDSHAKE_ERRORS = ("Handshake read failed", "before receiving SETTINGS")


def failed_in_handshake(error):
    """Return whether a grpc.RpcError means that the call was not sent."""
    details = error.details() or ""
    return error.code() is grpc.StatusCode.UNAVAILABLE and any(
        text in details for text in _HANDSHAKE_ERRORS
    )


class _DropCallsInterceptor(grpc.ServerInterceptor):
    """Fails the calls of some daemons, which simulates a partition."""

    def __init__(self, dropped):
        self._dropped = dropped

    def intercept_service(self, continuation, handler_call_details):
        sender = dict(handler_call_details.invocation_metadata).get(SENDER_KEY)
        if sender in self._dropped:
            return grpc.unary_unary_rpc_method_handler(_abort_dropped_call)
        return continuation(handler_call_details)


def _abort_dropped_call(_, context):
    context.abort(grpc.StatusCode.UNAVAILABLE, "dropped by a test")


class PeerServer:
    """gRPC server of the peer service."""

    def __init__(self, *, address, servicer, dropped=None, tls=None):
        """Bind the address.

        Args:
          address: core.Address; port 0 selects a free port.
          servicer: peer_pb2_grpc.PeerServicer.
          dropped: set of ids of daemons whose calls fail; for tests only.
          tls: PeerTls, or None for unencrypted connections.
        Raises:
          OSError: the address cannot be bound.
        """
        # Binds a socket first, because gRPC reports an address in use as a
        # RuntimeError without the cause.
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((address.host, address.port))
        interceptors = (
            [] if dropped is None else [_DropCallsInterceptor(dropped)]
        )
        options = [("grpc.so_reuseport", 0)]
        if tls is not None:
            interceptors.append(_tls.SenderNameInterceptor())
            options.append(
                ("grpc.max_connection_age_ms", _MAX_TLS_CONNECTION_AGE_MS)
            )
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_MAX_WORKER_THREADS),
            interceptors=interceptors,
            options=options,
        )
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        if tls is None:
            self._port = self._server.add_insecure_port(str(address))
        else:
            self._port = self._server.add_secure_port(
                str(address), tls.server_credentials()
            )

    @property
    def port(self):
        """Port that the server listens on."""
        return self._port

    def start(self):
        """Start to serve peers."""
        self._server.start()

    def stop(self, *, grace):
        """Stop; calls in progress may take another grace seconds."""
        self._server.stop(grace).wait()


class PeerChannels:
    """Cache of the channels to the most recently used peer addresses.

    Args:
      tls: PeerTls, or None for unencrypted connections.
      limit: largest number of channels.
    """

    def __init__(self, *, tls=None, limit=MAX_CHANNELS):
        self._tls = tls
        self._channels = collections.OrderedDict()
        self._limit = limit

    def __len__(self):
        return len(self._channels)

    def stub(self, address):
        """Return the PeerStub for an address, and open a channel if needed."""
        key = str(address)
        if key not in self._channels:
            if self._tls is None:
                channel = grpc.insecure_channel(key, options=_CHANNEL_OPTIONS)
            else:
                channel = grpc.secure_channel(
                    key,
                    self._tls.channel_credentials,
                    options=_CHANNEL_OPTIONS,
                )
            self._channels[key] = (channel, peer_pb2_grpc.PeerStub(channel))
        self._channels.move_to_end(key)
        while len(self._channels) > self._limit:
            self.discard(next(iter(self._channels)))
        return self._channels[key][1]

    def renew(self):
        """Open new channels from now on; calls in progress may finish."""
        self._channels = collections.OrderedDict()

    def keep_only(self, addresses):
        """Close the channels to all other addresses."""
        keys_to_keep = {str(address) for address in addresses}
        for key in list(self._channels):
            if key not in keys_to_keep:
                self.discard(key)

    def discard(self, address):
        """Close and remove the channel to an address."""
        channel, _ = self._channels.pop(str(address), (None, None))
        if channel is not None:
            channel.close()

    def close(self):
        """Close every channel."""
        for key in list(self._channels):
            self.discard(key)
