"""The command wigeonrouter."""

import json
import sys
import uuid

import click
from geventhttpclient import HTTPClient
from returns import pipeline

from wigeonrouter import settings as settings_api
from wigeonrouter.schema import settings_pb2

EXIT_REFUSED = 1
EXIT_INVALID = 3
EXIT_UNREACHABLE = 4


@click.group()
@click.option(
    "--server", envvar="WIGEONROUTER_SERVER", default="127.0.0.1:8001"
)
@click.option("--token", envvar="WIGEONROUTER_TOKEN", default="")
@click.pass_context
def main(context, server, token):
    """Operate wigeonrouter."""
    context.obj = (server, token)


@main.command()
@click.argument("file", type=click.File("rb"))
def validate(file):
    """Check a settings document without sending it."""
    _parse(file)
    click.echo("valid")


@main.command()
@click.argument("path")
@click.argument("file", type=click.File("rb"))
@click.option("--base", type=int, help="revision that the change builds on")
@click.option("--comment", default="")
@click.pass_obj
def apply(obj, path, file, base, comment):
    """Replace the node at PATH by the document in FILE."""
    text = _parse(file)
    query = f"path={path}&change_id={uuid.uuid4()}&comment={comment}"
    if base is not None:
        query += f"&base={base}"
    _print(_call(obj, "PUT", f"/v1/config?{query}", text))


@main.command()
@click.argument("path", default="/")
@click.pass_obj
def show(obj, path):
    """Print the node at PATH."""
    _print(_call(obj, "GET", f"/v1/config?path={path}"))


@main.command()
@click.pass_obj
def status(obj):
    """Print the state of the daemon."""
    _print(_call(obj, "GET", "/v1/status"))


def _parse(file):
    text = file.read()
    parsed = settings_api.parse_document(
        text=text, message_type=settings_pb2.Node
    )
    if not pipeline.is_successful(parsed):
        for error in parsed.failure():
            click.echo(f"{file.name}: {error}", err=True)
        sys.exit(EXIT_INVALID)
    return text


def _call(obj, method, target, body=b""):
    server, token = obj
    host, _, port = server.rpartition(":")
    client = HTTPClient(host, int(port))
    try:
        response = client.request(
            method,
            target,
            body=body,
            headers={"Authorization": f"Bearer {token}"},
        )
        media = json.loads(response.read())
    except OSError as error:
        click.echo(f"wigeonrouter: {server}: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    if response.status_code != 200:
        click.echo(f"wigeonrouter: {json.dumps(media)}", err=True)
        sys.exit(EXIT_REFUSED)
    return media


def _print(media):
    click.echo(json.dumps(media, indent=2))


if __name__ == "__main__":
    main()
