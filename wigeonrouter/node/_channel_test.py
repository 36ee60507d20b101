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
TIMEOUT_S = 0.3
# More than the kernel buffers, in portions that take longer than the timeout.
LARGE_BYTES = 8 << 20
SLOW_BYTES = 256 << 10
SLOW_PAUSE_S = 0.03


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


def _large_message():
    update = node_pb2.Update(items=b"x" * LARGE_BYTES)
    return node_pb2.PeerMessage(update=update)


def test_large_message_is_sent_over_a_slow_link(pair):
    """Guards against followers that are left during a large change.

    The peer takes the message in more time than the timeout, without a pause.
    """
    channel, peer = pair
    message = _large_message()
    sending = gevent.spawn(channel.send, message, timeout=TIMEOUT_S)
    received = 0
    while received < LARGE_BYTES:
        received += len(peer.recv(SLOW_BYTES))
        gevent.sleep(SLOW_PAUSE_S)
    sending.get(timeout=WAIT_S)


def test_large_message_is_received_over_a_slow_link(pair):
    """Guards against leaving a hub whose large change is on its way."""
    channel, peer = pair
    message = _large_message()
    data = message.SerializeToString()
    receiving = gevent.spawn(channel.receive, timeout=TIMEOUT_S)
    peer.sendall(PREFIX.pack(len(data)))
    for first in range(0, len(data), SLOW_BYTES):
        peer.sendall(data[first : first + SLOW_BYTES])
        gevent.sleep(SLOW_PAUSE_S)
    assert receiving.get(timeout=WAIT_S) == message


def test_message_that_stalls_midway_closes_the_channel(pair):
    """Guards against a follower that waits for a hub which has ended."""
    channel, peer = pair
    peer.sendall(PREFIX.pack(LARGE_BYTES) + b"x" * SLOW_BYTES)
    with gevent.Timeout(WAIT_S), pytest.raises(_channel.ChannelClosed):
        channel.receive(timeout=TIMEOUT_S)


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
