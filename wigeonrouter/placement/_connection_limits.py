"""Divides the descriptors of a process between its kinds of connections.

Load pattern: more callers keep idle connections than the process has
descriptors. Without a limit of their own they leave none for backend servers
and for new callers.
"""

import dataclasses

# Shares of the descriptors. The rest is for connections to backend servers,
# the store and other nodes, and for files.
_CALLER_SHARE = 0.45
_FORWARDED_SHARE = 0.1
_DIRECTORY_SHARE = 0.1
_AUXILIARY_SHARE = 0.025
# More connections than this take too much memory.
_MAX_CALLERS = 3_000
_MAX_AUXILIARY = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """Largest numbers of connections that a node accepts.

    Attributes:
      callers: from callers.
      forwarded: from other nodes that pass requests on.
      directory: for directory queries.
      auxiliary: for readiness checks, and for metrics.
    """

    callers: int
    forwarded: int
    directory: int
    auxiliary: int


def connection_limits(descriptors):
    """Return the ConnectionLimits of a process.

    Args:
      descriptors: largest number of descriptors of the process.
    """

    def share_of(share, most):
        return max(1, min(most, int(descriptors * share)))

    return ConnectionLimits(
        callers=share_of(_CALLER_SHARE, _MAX_CALLERS),
        forwarded=share_of(_FORWARDED_SHARE, _MAX_CALLERS),
        directory=share_of(_DIRECTORY_SHARE, _MAX_AUXILIARY),
        auxiliary=share_of(_AUXILIARY_SHARE, _MAX_AUXILIARY),
    )
