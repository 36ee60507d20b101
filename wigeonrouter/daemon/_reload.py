"""Decides which settings a running daemon can apply without a restart."""

from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter.daemon import _failures

# The other settings need a restart: peers and callers know the addresses and
# the location of the daemon, or connections were opened with them.
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
_TLS_SETTINGS = frozenset(
    name for name in RELOADABLE if name.startswith("tls_")
)


def plan_reload(*, current, requested):
    """Compare two settings.DaemonSettings and return a core.ReloadPlan.

    Enabling or disabling TLS between peers needs a restart, since the port of
    the peer server either expects TLS or does not.
    """
    reloadable = RELOADABLE
    if bool(current.tls_key_file) != bool(requested.tls_key_file):
        reloadable = reloadable - _TLS_SETTINGS
    return core.plan_reload(
        current=current, requested=requested, reloadable=reloadable
    )


def tls_files(settings):
    """Return the keyword arguments of membership.PeerTls as a dict."""
    return {
        "authority_files": settings.tls_authority_files,
        "certificate_file": settings.tls_certificate_file,
        "key_file": settings.tls_key_file,
    }


def load_tls(settings):
    """Return a membership.PeerTls, or None if peers do not use TLS.

    Raises:
      StartFailed: the files cannot be loaded.
    """
    if not settings.tls_key_file:
        return None
    try:
        return membership.PeerTls(**tls_files(settings))
    except OSError as error:
        raise _failures.StartFailed(f"peer_tls: {error}") from error
