"""The command wigeonrouter-keys.

For tests and small deployments. It needs the package cryptography, which is
a development requirement only. A larger deployment takes certificates from
its own authority: the common name is the daemon id, and the IP address of
peer_address is a subject alternative name.
"""

import sys

import click

from wigeonrouter.keys import _authority

EXIT_FAILED = 1


@click.group()
def main():
    """Make an authority and daemon certificates for peer_tls."""


@main.command()
@click.option("--directory", default=".", show_default=True)
@click.option("--name", default="authority", show_default=True)
@click.option("--days", default=_authority.AUTHORITY_DAYS, show_default=True)
def authority(directory, name, days):
    """Make an authority; keep its key away from the daemons."""
    _run(
        _authority.create_authority, directory=directory, name=name, days=days
    )


@main.command()
@click.argument("daemon_id")
@click.option("--address", "addresses", multiple=True, required=True)
@click.option("--directory", default=".", show_default=True)
@click.option("--authority", "signer", default="authority", show_default=True)
@click.option("--days", default=_authority.DAEMON_DAYS, show_default=True)
def daemon(daemon_id, addresses, directory, signer, days):
    """Make the certificate of DAEMON_ID for its IP addresses."""
    _run(
        _authority.create_daemon_certificate,
        directory=directory,
        daemon_id=daemon_id,
        addresses=addresses,
        authority=signer,
        days=days,
    )


def _run(function, **arguments):
    try:
        written = function(**arguments)
    except (OSError, ValueError) as error:
        click.echo(f"wigeonrouter-keys: {error}", err=True)
        sys.exit(EXIT_FAILED)
    for name in (written,) if isinstance(written, str) else written:
        click.echo(name)


if __name__ == "__main__":
    main()
