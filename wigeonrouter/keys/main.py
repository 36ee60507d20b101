"""The command wigeonrouter-keys.

For tests and small deployments. It needs the package cryptography, which is
a development requirement only. A larger deployment uses certificates of its
own CA, with the daemon id as common name and the IP address of peer_address
as subject alternative name.
"""

import sys

import click

from wigeonrouter.keys import _authority

EXIT_FAILED = 1


@click.group()
def main():
    """Create a certificate authority and daemon certificates for peer_tls."""


@main.command()
@click.option("--directory", default=".", show_default=True)
@click.option("--name", default="authority", show_default=True)
@click.option(
    "--days",
    default=_authority.DEFAULT_AUTHORITY_VALIDITY_DAYS,
    show_default=True,
)
def authority(directory, name, days):
    """Create an authority; do not copy its key to the daemons."""
    _run_and_print_paths(
        _authority.create_authority, directory=directory, name=name, days=days
    )


@main.command()
@click.argument("daemon_id")
@click.option("--address", "addresses", multiple=True, required=True)
@click.option("--directory", default=".", show_default=True)
@click.option("--authority", "signer", default="authority", show_default=True)
@click.option(
    "--days",
    default=_authority.DEFAULT_DAEMON_VALIDITY_DAYS,
    show_default=True,
)
def daemon(daemon_id, addresses, directory, signer, days):
    """Create the certificate of DAEMON_ID for its IP addresses."""
    _run_and_print_paths(
        _authority.create_daemon_certificate,
        directory=directory,
        daemon_id=daemon_id,
        addresses=addresses,
        authority=signer,
        days=days,
    )


def _run_and_print_paths(function, **arguments):
    try:
        paths = function(**arguments)
    except (OSError, ValueError) as error:
        click.echo(f"wigeonrouter-keys: {error}", err=True)
        sys.exit(EXIT_FAILED)
    for name in (paths,) if isinstance(paths, str) else paths:
        click.echo(name)


if __name__ == "__main__":
    main()
