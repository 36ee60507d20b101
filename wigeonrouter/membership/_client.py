"""Calls to peers, with timeouts, sender id and counts."""

import collections

import grpc

from wigeonrouter.membership import _transport

CALL_TIMEOUT_S = 0.5


class PeerClient:
    """Owns the peer channels of one daemon and counts their traffic."""

    def __init__(self, *, daemon_id, tls=None):
        self._channels = _transport.PeerChannels(tls=tls)
        self._metadata = ((_transport.SENDER_KEY, daemon_id),)
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter of calls, failures and message bytes in each direction."""
        return self._counts

    def count(self, name, number=1):
        """Add to a count."""
        self._counts[name] += number

    def call(self, method, address, request, *, timeout=CALL_TIMEOUT_S):
        """Make a unary call.

        Returns:
          The reply, or None where there was none in time.
        """
        self._counts["calls"] += 1
        self._counts["bytes_out"] += request.ByteSize()
        stub = self._channels.stub(address)
        try:
            reply = getattr(stub, method)(
                request, timeout=timeout, metadata=self._metadata
            )
        except (grpc.RpcError, ValueError):
            # grpc raises ValueError on a channel that was closed meanwhile.
            self._counts["failed_calls"] += 1
            return None
        self._counts["bytes_in"] += reply.ByteSize()
        return reply

    def stream(self, method, address, request, *, timeout):
        """Make a call that returns a stream; it ends early on failure."""
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
        """Connect anew for further calls."""
        self._channels.renew()

    def keep_only(self, addresses):
        """Close the channels to all other addresses."""
        self._channels.keep_only(addresses)

    def close(self):
        """Close every channel."""
        self._channels.close()
