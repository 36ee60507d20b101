"""Tests of malformed messages between nodes."""

import socket
import struct

import gevent
import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter.node import _channel
from wigeonrouter.schema import node_pb2

WAIT_S = 5.0
PREFIX = struct.Struct("!I")


def _open_pair():
    """Return a Channel and the socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        sock, _ = listener.accept()
    return _channel.Channel(sock=sock), peer


@pytest.fixture
def pair():
    """Return a Channel and the socket at its other end."""
    channel, peer = _open_pair()
    yield channel, peer
    channel.close()
    peer.close()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00\x00",
        PREFIX.pack(5) + b"abc",
        PREFIX.pack(0xFFFFFFFF) + b"abc",
        PREFIX.pack(3) + b"\xff\xff\xff",
    ],
    ids=["nothing", "half a length", "truncated", "too large", "no message"],
)
def test_malformed_message_closes_the_channel(pair, data):
    """Guards against another error than the one that callers expect."""
    channel, peer = pair
    peer.sendall(data)
    peer.shutdown(socket.SHUT_WR)
    with pytest.raises(_channel.ChannelClosed):
        channel.receive(timeout=WAIT_S)


def test_peer_that_sends_one_byte_at_a_time_is_left_in_time(pair):
    """Guards against a peer that never completes a message."""
    channel, peer = pair

    def send_slowly():
        peer.sendall(PREFIX.pack(1000))
        while True:
            peer.sendall(b"x")
            gevent.sleep(0.02)

    sending = gevent.spawn(send_slowly)
    with gevent.Timeout(WAIT_S), pytest.raises(_channel.ChannelClosed):
        channel.receive(timeout=0.2)
    sending.kill()


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_message_or_close_the_channel(data):
    """Guards against bytes that end the task which reads them."""
    channel, peer = _open_pair()
    peer.sendall(PREFIX.pack(len(data)) + data)
    peer.close()
    try:
        message = channel.receive(timeout=WAIT_S)
    except _channel.ChannelClosed:
        return
    finally:
        channel.close()
    assert isinstance(message, node_pb2.PeerMessage)
