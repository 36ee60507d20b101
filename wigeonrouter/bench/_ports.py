"""Free ports for the processes of a test or benchmark."""

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


def free_ports(count):
    """Return a list of free loopback port numbers.

    Until the range wraps around, no port is returned twice.
    """
    ports = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % (_END_PORT - _FIRST_PORT)
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
