"""Decides which settings a running daemon can take over."""

from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter.daemon import _failures

# The others name addresses and places that peers and callers know, or were
# used to open connections; they need a restart.
CHANGEABLE = frozenset(
    {
        "bootstrap_token_sha256",
        "entry_ttl",
        "log_format",
        "log_level",
        "log_lines_per_second",
        "tls_authority_files",
        "tls_certificate_file",
        "tls_key_file",
    }
)
_TLS = frozenset(name for name in CHANGEABLE if name.startswith("tls_"))


def plan_reload(*, current, wanted):
    """Compare two settings.DaemonSettings and return a core.Reload.

    Whether peers use TLS at all is fixed at start, since the peer server's
    port either expects it or does not.
    """
    changeable = CHANGEABLE
    if bool(current.tls_key_file) != bool(wanted.tls_key_file):
        changeable = changeable - _TLS
    return core.plan_reload(
        current=current, wanted=wanted, changeable=changeable
    )


def tls_files(settings):
    """Return the arguments of membership.PeerTls."""
    return {
        "authority_files": settings.tls_authority_files,
        "certificate_file": settings.tls_certificate_file,
        "key_file": settings.tls_key_file,
    }


def load_tls(settings):
    """Return a membership.PeerTls, or None where peers use none.

    Raises:
      StartFailed: the files cannot be used.
    """
    if not settings.tls_key_file:
        return None
    try:
        return membership.PeerTls(**tls_files(settings))
    except OSError as error:
        raise _failures.StartFailed(f"peer_tls: {error}") from error
