"""Failures that stop a daemon at start, and their exit codes."""

import contextlib

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
    """Turn an OSError into CannotListen.

    Args:
      name: setting that holds the address.
      address: core.Address.
    """
    try:
        yield
    except OSError as error:
        problem = error.strerror or str(error)
        raise CannotListen(
            f"cannot listen on {name} {address}: {problem}"
        ) from error
