"""Failures that stop a daemon at start, and their exit codes."""

import contextlib
import os
import socket

# sysexits.h. 78: the settings cannot work; a restart does not help.
EX_CONFIG = 78
# sysexits.h. 69: an address cannot be listened on; a restart may help.
EX_UNAVAILABLE = 69


class StartFailed(Exception):
    """The daemon cannot start; the text is one line for the operator."""

    exit_code = EX_CONFIG


class CannotListen(StartFailed):
    """An address is in use or not of this VM."""

    exit_code = EX_UNAVAILABLE


@contextlib.contextmanager
def listening(name, address):
    """Turn what bind() raises into a StartFailed.

    Args:
      name: setting that holds the address.
      address: core.Address.
    """
    try:
        yield
    except (OverflowError, socket.gaierror) as error:
        raise StartFailed(f"{name}: {address} is no address") from error
    except OSError as error:
        problem = os.strerror(error.errno) if error.errno else str(error)
        raise CannotListen(
            f"cannot listen on {name} {address}: {problem}"
        ) from error
