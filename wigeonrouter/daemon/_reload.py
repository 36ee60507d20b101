"""Decides which settings a running daemon can take over."""

import dataclasses

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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reload:
    """What follows from a changed settings file.

    Attributes:
      settings: settings.DaemonSettings to use from now on.
      changed: names of the settings that change.
      kept: names of settings that differ but need a restart.
    """

    settings: object
    changed: tuple[str, ...]
    kept: tuple[str, ...]


def plan_reload(*, current, wanted):
    """Compare two settings.DaemonSettings and return a Reload.

    Whether peers use TLS at all is fixed at start, since the peer server's
    port either expects it or does not.
    """
    differing = {
        field.name
        for field in dataclasses.fields(current)
        if getattr(current, field.name) != getattr(wanted, field.name)
    }
    changeable = CHANGEABLE
    if bool(current.tls_key_file) != bool(wanted.tls_key_file):
        changeable = changeable - _TLS
    changed = differing & changeable
    return Reload(
        settings=dataclasses.replace(
            current, **{name: getattr(wanted, name) for name in changed}
        ),
        changed=tuple(sorted(changed)),
        kept=tuple(sorted(differing - changed)),
    )
