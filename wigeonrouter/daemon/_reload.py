"""Decides which settings a running daemon can take over."""

from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter.daemon import _failures

# The others name addresses and places that peers and callers know, or were
# used to open connections; they need a restart.
RELOADABLE = frozenset(
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
_TLS = frozenset(name for name in RELOADABLE if name.startswith("tls_"))


def plan_reload(*, current, requested):
    """Compare two settings.DaemonSettings and return a core.ReloadPlan.

    Whether peers use TLS at all is fixed at start, since the peer server's
    port either expects it or does not.
    """
    reloadable = RELOADABLE
    if bool(current.tls_key_file) != bool(requested.tls_key_file):
        reloadable = reloadable - _TLS
    return core.plan_reload(
        current=current, requested=requested, reloadable=reloadable
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
