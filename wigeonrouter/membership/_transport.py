"""Peer messages over gRPC."""

from concurrent import futures

from gevent import socket
import grpc

from wigeonrouter.schema import peer_pb2_grpc

# Names the calling daemon in the metadata of each call.
SENDER_KEY = "daemon-id"
_WORKERS = 16
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

    def __init__(self, *, address, servicer, dropped=None):
        """Bind the address.

        Args:
          address: core.Address; port 0 takes a free one.
          servicer: peer_pb2_grpc.PeerServicer.
          dropped: set of ids of daemons whose calls fail; for tests only.
        """
        # gRPC reports an address in use as RuntimeError without the cause.
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((address.host, address.port))
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_WORKERS),
            interceptors=(() if dropped is None else (_DropCalls(dropped),)),
            options=(("grpc.so_reuseport", 0),),
        )
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        self._port = self._server.add_insecure_port(str(address))

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
    """Owns one channel to each peer address."""

    def __init__(self):
        self._channels = {}

    def stub(self, address):
        """Return the PeerStub for an address."""
        key = str(address)
        if key not in self._channels:
            channel = grpc.insecure_channel(key, options=_CHANNEL_OPTIONS)
            self._channels[key] = (channel, peer_pb2_grpc.PeerStub(channel))
        return self._channels[key][1]

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
