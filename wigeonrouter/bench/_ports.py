"""Free ports for the processes of a test or measurement."""

import itertools
import os
import socket

# Below the range that the kernel gives to outgoing connections, so that
# none of them takes a port between the check and the use.
_FIRST = 10_000
_LAST = 32_000
# Test runs at the same time start far apart, by their process id.
_STRIDE = 97
_next = itertools.count(os.getpid() * _STRIDE)


def free_ports(count):
    """Return free ports of the loopback interface, each given out once.

    Args:
      count: how many.
    Returns:
      A list of port numbers.
    """
    ports = []
    while len(ports) < count:
        port = _FIRST + next(_next) % (_LAST - _FIRST)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def free_addresses(count):
    """Return free loopback addresses as text; see free_ports."""
    return [f"127.0.0.1:{port}" for port in free_ports(count)]
