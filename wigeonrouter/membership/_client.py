"""Calls to peers, with timeouts, the sender's id and counters."""

import collections
import time

import grpc

from wigeonrouter.membership import _transport

CALL_TIMEOUT_S = 0.5


class PeerClient:
    """Client of the peer service; owns the channels of one daemon.

    Args:
      daemon_id: id of this daemon, sent with each call.
      tls: PeerTls, or None for unencrypted connections.
    """

    def __init__(self, *, daemon_id, tls=None):
        self._channels = _transport.PeerChannels(tls=tls)
        self._metadata = ((_transport.SENDER_KEY, daemon_id),)
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter of calls, failed calls and message bytes per direction."""
        return self._counts

    def count(self, name, number=1):
        """Add a number to the counter of a name."""
        self._counts[name] += number

    def call(self, method, address, request, *, timeout=CALL_TIMEOUT_S):
        """Make a unary call.

        If the connection fails before anything of the call was sent, the call
        is tried once more within its timeout.

        Args:
          method: name of the method of the peer service.
          address: core.Address of the peer.
          request: protobuf message.
          timeout: seconds.
        Returns:
          The reply, or None after a failure or the timeout.
        """
        self._counts["calls"] += 1
        self._counts["bytes_out"] += request.ByteSize()
        deadline = time.monotonic() + timeout
        try:
            try:
                reply = self._call_once(method, address, request, timeout)
            except grpc.RpcError as error:
                if not _transport.failed_in_handshake(error):
                    raise
                self._counts["failed_handshakes"] += 1
                reply = self._call_once(
                    method,
                    address,
                    request,
                    deadline - time.monotonic(),
                    wait_for_ready=True,
                )
        except (grpc.RpcError, ValueError):
            # grpc raises ValueError on a channel that another task has closed.
            self._counts["failed_calls"] += 1
            return None
        self._counts["bytes_in"] += reply.ByteSize()
        return reply

    def _call_once(self, method, address, request, timeout, **options):
        stub = self._channels.stub(address)
        return getattr(stub, method)(
            request,
            timeout=max(0.0, timeout),
            metadata=self._metadata,
            **options,
        )

    def stream(self, method, address, request, *, timeout):
        """Make a server-streaming call and yield its replies.

        A failure or the timeout, in seconds, ends the stream early.
        """
        self._counts["calls"] += 1
        stub = self._channels.stub(address)
        try:
            for reply in getattr(stub, method)(
                request, timeout=timeout, metadata=self._metadata
            ):
                self._counts["bytes_in"] += reply.ByteSize()
                yield reply
        except (grpc.RpcError, ValueError):
            self._counts["failed_calls"] += 1

    def renew_channels(self):
        """Open new channels for further calls."""
        self._channels.renew()

    def keep_only(self, addresses):
        """Close the channels to all other addresses."""
        self._channels.keep_only(addresses)

    def close(self):
        """Close every channel."""
        self._channels.close()
