"""Peer messages over gRPC."""

import collections
from concurrent import futures

from gevent import socket
import grpc

from wigeonrouter.membership import _tls
from wigeonrouter.schema import peer_pb2_grpc

SENDER_KEY = _tls.SENDER_KEY
_WORKERS = 16
# A channel and the peer's end of it take 62 KB together. Several hundred
# peers are each called rarely, and reconnecting costs 2 ms. Far more than the
# calls that one daemon makes at once.
MAX_CHANNELS = 64
# A connection whose certificate is no longer accepted lasts at most as long.
_TLS_AGE_MS = 600_000
# Peers come back after restarts; the default back-off of two minutes would
# keep a rejoined region apart for longer than configuration may take.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_http_proxy", 0),
)


class _DropCalls(grpc.ServerInterceptor):
    """Refuses the calls of some daemons, as a cut between them would."""

    def __init__(self, dropped):
        self._dropped = dropped

    def intercept_service(self, continuation, handler_call_details):
        sender = dict(handler_call_details.invocation_metadata).get(SENDER_KEY)
        if sender in self._dropped:
            return grpc.unary_unary_rpc_method_handler(_refuse)
        return continuation(handler_call_details)


def _refuse(_, context):
    context.abort(grpc.StatusCode.UNAVAILABLE, "dropped by a test")


class PeerServer:
    """Listens for peers and passes their messages to a servicer."""

    def __init__(self, *, address, servicer, dropped=None, tls=None):
        """Bind the address.

        Args:
          address: core.Address; port 0 takes a free one.
          servicer: peer_pb2_grpc.PeerServicer.
          dropped: set of ids of daemons whose calls fail; for tests only.
          tls: PeerTls, or None for plain connections.
        """
        # gRPC reports an address in use as RuntimeError without the cause.
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((address.host, address.port))
        interceptors = [] if dropped is None else [_DropCalls(dropped)]
        options = [("grpc.so_reuseport", 0)]
        if tls is not None:
            interceptors.append(_tls.RequireName())
            options.append(("grpc.max_connection_age_ms", _TLS_AGE_MS))
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_WORKERS),
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
        """Listen."""
        self._server.start()

    def stop(self, *, grace):
        """Stop listening; calls in progress get grace seconds."""
        self._server.stop(grace).wait()


class PeerChannels:
    """Owns the channels to the peer addresses that were used last."""

    def __init__(self, *, tls=None, limit=MAX_CHANNELS):
        self._tls = tls
        self._channels = collections.OrderedDict()
        self._limit = limit

    def __len__(self):
        return len(self._channels)

    def stub(self, address):
        """Return the PeerStub for an address."""
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
            self.forget(next(iter(self._channels)))
        return self._channels[key][1]

    def renew(self):
        """Use new channels from now on; calls in progress are finished."""
        self._channels = collections.OrderedDict()

    def keep_only(self, addresses):
        """Close the channels to all other addresses."""
        kept = {str(address) for address in addresses}
        for key in list(self._channels):
            if key not in kept:
                self.forget(key)

    def forget(self, address):
        """Close the channel to an address."""
        channel, _ = self._channels.pop(str(address), (None, None))
        if channel is not None:
            channel.close()

    def close(self):
        """Close every channel."""
        for key in list(self._channels):
            self.forget(key)
