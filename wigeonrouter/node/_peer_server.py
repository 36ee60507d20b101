"""Serves the connections of the region's other nodes.

The first message on a connection says what the other node wants. Each kind of
message has a function that is registered for it.
"""

from gevent import server as gevent_server

from wigeonrouter.node import _channel
from wigeonrouter.node import _peer_requests
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2

_FIRST_MESSAGE_TIMEOUT_S = 1.0
_HANDLERS = {}


def _handles(kind):
    """Return a decorator that registers the handler of a kind of message.

    A handler gets the PeerServer, the channel and the message. It returns
    the PeerMessage to reply with, None for no reply.
    """

    def register(handler):
        _HANDLERS[kind] = handler
        return handler

    return register


class PeerServer:
    """Accepts connections of other nodes.

    Args:
      settings: topology.NodeSettings.
      store_cache: StoreCache.
      role: function that returns this node's topology.Role.
      hub: function that returns this node's Hub, None if it is no hub.
      check_server: function from the instance of a backend server to the
        verdict of a ServerCheckResult.
      on_role_announced: called with the topology.Role that another node
        announces of itself.
    """

    def __init__(
        self,
        *,
        settings,
        store_cache,
        role,
        hub,
        check_server,
        on_role_announced,
    ):
        self._store_cache = store_cache
        self._role = role
        self._hub = hub
        self._check_server = check_server
        self._on_role_announced = on_role_announced
        self._server = gevent_server.StreamServer(
            (settings.host, settings.peer_ports[0]), self._serve
        )

    def start(self):
        """Start accepting connections."""
        self._server.start()

    def kill(self):
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        channel = _channel.Channel(sock=sock)
        try:
            message = channel.receive(
                timeout=_FIRST_MESSAGE_TIMEOUT_S,
                max_bytes=_channel.MAX_SHORT_MESSAGE_BYTES,
            )
            handler = _HANDLERS.get(
                message.WhichOneof("body"), PeerServer._reply_role
            )
            reply = handler(self, channel, message)
            if reply is not None:
                channel.send(reply, timeout=_peer_requests.REQUEST_TIMEOUT_S)
        except _channel.ChannelClosed:
            pass
        finally:
            channel.close()

    @_handles("role")
    def _take_role(self, channel, message):
        self._on_role_announced(_peer_requests.decode_role(message.role))

    @_handles("server_check")
    def _reply_verdict(self, channel, message):
        verdict = self._check_server(message.server_check.instance)
        return node_pb2.PeerMessage(
            server_check_result=node_pb2.ServerCheckResult(verdict=verdict)
        )

    @_handles("take_over")
    def _reply_grant(self, channel, message):
        hub = self._hub()
        granted = hub is not None and hub.grant_take_over(
            message.take_over.host
        )
        return node_pb2.PeerMessage(
            take_over_result=node_pb2.TakeOverResult(granted=granted)
        )

    @_handles("join")
    def _serve_follower(self, channel, message):
        hub = self._hub()
        if hub is None:
            return self._reply_role(channel, message)
        hub.serve(channel, message.join)
        return None

    @_handles("fetch")
    def _reply_update(self, channel, message):
        if not self._store_cache.filled:
            return self._reply_role(channel, message)
        position = _store_cache.read_position(message.fetch)
        return node_pb2.PeerMessage(
            update=self._store_cache.update_since(position)
        )

    def _reply_role(self, channel, message):
        return _peer_requests.encode_role(self._role())
