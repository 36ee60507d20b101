"""Startup failures and their exit codes."""

import contextlib
import os
import socket

# From sysexits.h: invalid settings, which a restart does not fix.
EX_CONFIG = 78
# From sysexits.h: an address cannot be bound, which a restart may fix.
EX_UNAVAILABLE = 69


class StartFailed(Exception):
    """The daemon cannot start. The message is one line for the operator."""

    exit_code = EX_CONFIG


class CannotListen(StartFailed):
    """An address is in use or not an address of this VM."""

    exit_code = EX_UNAVAILABLE


@contextlib.contextmanager
def convert_listen_errors(name, address):
    """Convert exceptions of bind() and listen() to StartFailed.

    Args:
      name: name of the setting that holds the address.
      address: core.Address.
    Raises:
      StartFailed: the host or the port of the address is not valid.
      CannotListen: the address is in use or not an address of this VM.
    """
    try:
        yield
    except (OverflowError, socket.gaierror) as error:
        raise StartFailed(
            f"{name}: {address} is not a valid address"
        ) from error
    except OSError as error:
        problem = os.strerror(error.errno) if error.errno else str(error)
        raise CannotListen(
            f"cannot listen on {name} {address}: {problem}"
        ) from error
