"""Free ports for the processes of a test or benchmark."""

import collections
import itertools
import os
import socket

# Below the kernel's ephemeral port range, so that no outgoing connection
# takes a port between the check and its use.
_FIRST_PORT = 10_000
_END_PORT = 32_000
# Offsets start at the process id times this, so that concurrent test runs
# try different ports.
_PORTS_PER_PROCESS = 97
_port_offsets = itertools.count(os.getpid() * _PORTS_PER_PROCESS)
# UDP sockets with the numbers of the latest ports. TCP has port numbers of
# its own, so they do not disturb, but no other test run gets these ports.
_MAX_RESERVED_PORTS = 256
_reservations = collections.deque()


def free_ports(count):
    """Return a list of free loopback port numbers.

    Until the range wraps around, no port is returned twice. The latest ports
    are not returned to other processes either.
    """
    ports = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % (_END_PORT - _FIRST_PORT)
        if _reserve(port):
            ports.append(port)
    return ports


def _reserve(port):
    """Reserve a port; return False if it is in use or reserved."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind(("127.0.0.1", port))
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > _MAX_RESERVED_PORTS:
        _reservations.popleft().close()
    return True


def free_addresses(count):
    """Return free loopback addresses as text; see free_ports."""
    return [f"127.0.0.1:{port}" for port in free_ports(count)]
