"""The command wigeonrouter."""

import json
import re
import secrets
import uuid

import click
from click import shell_completion
from returns import pipeline

from wigeonrouter import administration
from wigeonrouter import selection
from wigeonrouter import settings as settings_api
from wigeonrouter.cli import _client
from wigeonrouter.cli import _explain
from wigeonrouter.cli import _node_explanation
from wigeonrouter.cli import _output
from wigeonrouter.schema import settings_pb2

_TOKEN_BYTES = 32
_ROLES = ("reader", "operator", "admin")


class _Servers(click.ParamType):
    """Parameter type for one or more addresses separated by commas."""

    name = "host:port[,host:port...]"

    def convert(self, value, param, ctx):
        servers = tuple(part.strip() for part in value.split(","))
        for server in servers:
            match = re.fullmatch(r"[A-Za-z0-9.-]+:([0-9]{1,5})", server)
            if not match or not 1 <= int(match[1]) <= 65535:
                self.fail(f"{server!r} is not a host and port", param, ctx)
        return servers


class _State:
    """Client and output format chosen by the options of the group."""

    def __init__(self, *, client, as_json):
        self.client = client
        self.as_json = as_json

    def finish(self, response, render, change_id=None):
        """Print the response, or print the failure and exit.

        Args:
          response: Success(dict) or Failure from the client.
          render: see _output.print_response.
          change_id: change id of a change, or None.
        Returns:
          The decoded response, a dict.
        """
        if not pipeline.is_successful(response):
            _output.fail(
                response.failure(), as_json=self.as_json, change_id=change_id
            )
        media = response.unwrap()
        _output.print_response(media, as_json=self.as_json, render=render)
        return media


def _change_options(function):
    """Add the options that all commands that change settings have."""
    for option in (
        click.option("--comment", default="", help="kept in the history"),
        click.option(
            "--base", type=int, help="revision that the change builds on"
        ),
        click.option(
            "--change-id",
            default=lambda: str(uuid.uuid4()),
            show_default="random",
            help="repeat a change safely by giving its id again",
        ),
    ):
        function = option(function)
    return function


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--server",
    "servers",
    type=_Servers(),
    envvar="WIGEONROUTER_SERVER",
    default="127.0.0.1:8001",
    show_default=True,
    help="admin addresses of daemons, tried in this order",
)
@click.option(
    "--token",
    envvar="WIGEONROUTER_TOKEN",
    default="",
    help="bearer token; better given as WIGEONROUTER_TOKEN",
)
@click.option(
    "--output",
    type=click.Choice(("human", "json")),
    default="human",
    show_default=True,
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 600),
    default=15.0,
    show_default=True,
    help="seconds for each connection",
)
@click.pass_context
def main(context, servers, token, output, timeout):
    """Operate wigeonrouter."""
    if not (token.isascii() and token.isprintable()):
        raise click.BadParameter(
            "not printable ASCII text", param_hint="token"
        )
    context.obj = _State(
        client=_client.Client(servers=servers, token=token, timeout=timeout),
        as_json=output == "json",
    )


@main.command()
@click.argument("file", type=click.File("rb"))
@click.option("--path", default="/", help="path that the document is for")
@click.option("--settings-only", is_flag=True, help="FILE holds settings")
@click.option(
    "--remote", is_flag=True, help="check against the tree of a daemon too"
)
@click.pass_obj
def validate(state, file, path, settings_only, remote):
    """Check the document in FILE without applying it."""
    text, message = _read_document(state, file, settings_only)
    if remote:
        response = state.client.read(
            "/v1/config/validate",
            body=text,
            path=path,
            only="settings" if settings_only else None,
        )
        state.finish(response, lambda media: ("valid",))
        return
    anchor = settings_api.Anchor(path=path, settings_only=settings_only)
    action = "settings" if settings_only else "node"
    change = settings_pb2.Change(path=path, **{action: message})
    errors = settings_api.check_rules(
        root=settings_api.apply_changes(
            root=settings_pb2.Node(), changes=(change,)
        ),
        policies=selection.policy_names(),
    )
    if errors:
        located = [
            settings_api.locate_error(error=error, anchors=(anchor,))
            for error in errors
        ]
        _output.fail_document(_file_name(file), located, as_json=state.as_json)
    _output.print_response(
        {"valid": True},
        as_json=state.as_json,
        render=lambda media: ("valid",),
    )


@main.command()
@click.argument("path", required=False)
@click.argument("file", type=click.File("rb"), required=False)
@click.option("--settings-only", is_flag=True, help="FILE holds settings")
@click.option("--remove", is_flag=True, help="remove the node at PATH")
@click.option(
    "--changes",
    type=click.File("rb"),
    help="document with several changes for one revision",
)
@_change_options
@click.pass_obj
def apply(state, path, file, settings_only, remove, changes, **params):
    """Replace the node at PATH by the document in FILE."""
    sources = (file is not None, remove, changes is not None)
    if sum(sources) != 1 or (path is None) != (changes is not None):
        raise click.UsageError(
            "give PATH and FILE, or PATH and --remove, or --changes"
        )
    if changes is not None:
        response = state.client.write(
            "POST", "/v1/config/changes", body=changes.read(), **params
        )
    elif remove:
        response = state.client.write(
            "DELETE", "/v1/config", path=path, **params
        )
    else:
        text, _ = _read_document(state, file, settings_only)
        only = "settings" if settings_only else None
        response = state.client.write(
            "PUT", "/v1/config", body=text, path=path, only=only, **params
        )
    state.finish(response, _output.render_change, params["change_id"])


@main.command()
@click.argument("path", default="/")
@click.pass_obj
def show(state, path):
    """Print the node at PATH as a document that apply accepts."""
    media = state.finish(
        state.client.read("/v1/config", path=path),
        lambda media: (json.dumps(media["node"], indent=2),),
    )
    if not state.as_json:
        base = media["revision"]
        click.echo(f"revision {base}: apply with --base {base}", err=True)


@main.command()
@click.argument("path", default="/")
@click.pass_obj
def effective(state, path):
    """Print the settings in force at PATH, each with its origin."""
    state.finish(
        state.client.read("/v1/config/effective", path=path),
        _output.render_effective,
    )


@main.command()
@click.argument("path", default="/")
@click.argument("file", type=click.File("rb"), required=False)
@click.option("--settings-only", is_flag=True, help="FILE holds settings")
@click.option("--from", "from_", type=int, help="earlier revision")
@click.option("--to", type=int, help="later revision; the newest by default")
@click.option(
    "--exit-code", is_flag=True, help="exit with 10 where there are any"
)
@click.pass_obj
def diff(state, path, file, settings_only, from_, to, exit_code):
    """Compare FILE with the node at PATH, or two revisions of it."""
    if (file is None) == (from_ is None):
        raise click.UsageError("give either FILE or --from")
    if file is not None:
        text, _ = _read_document(state, file, settings_only)
        response = state.client.read(
            "/v1/config/diff",
            body=text,
            path=path,
            only="settings" if settings_only else None,
        )
    else:
        response = state.client.read(
            "/v1/config/diff", path=path, **{"from": from_, "to": to}
        )
    media = state.finish(response, _output.render_differences)
    if exit_code and media["differences"]:
        raise SystemExit(_output.EXIT_DIFFERENT)


@main.command()
@click.argument("path", default="/")
@click.option("--limit", type=click.IntRange(1, 1024), default=50)
@click.pass_obj
def history(state, path, limit):
    """Print the retained revisions that concern PATH, newest first."""
    state.finish(
        state.client.read("/v1/config/history", path=path, limit=limit),
        _output.render_history,
    )


@main.command()
@click.argument("path")
@click.option("--revision", type=int, required=True, help="to go back to")
@_change_options
@click.pass_obj
def rollback(state, path, revision, **params):
    """Restore PATH as it was at a revision, as a new revision."""
    response = state.client.write(
        "POST", "/v1/config/rollback", path=path, revision=revision, **params
    )
    state.finish(response, _output.render_change, params["change_id"])


@main.command()
@click.pass_obj
def status(state):
    """Print the state of the daemon."""
    state.finish(state.client.read("/v1/status"), _output.render_status)


@main.command()
@click.argument("address")
@click.option("--undo", is_flag=True, help="let the server have work again")
@click.pass_obj
def drain(state, address, undo):
    """Give the backend server at ADDRESS no new work."""
    response = state.client.write(
        "POST",
        "/v1/drain",
        address=address,
        draining="false" if undo else "true",
    )
    word = "returning" if undo else "draining"
    state.finish(
        response,
        lambda media: (
            f"{media['address']} {word} in {', '.join(media['services'])}",
        ),
    )


@main.command()
@click.option("--service", help="path of a service")
@click.option("--region", help="region of the caller")
@click.option("--failure-domain", help="failure domain of the caller")
@click.pass_obj
def entries(state, service, region, failure_domain):
    """Print the addresses that a caller should use."""
    state.finish(
        state.client.read(
            "/v1/entries",
            service=service,
            region=region,
            failure_domain=failure_domain,
        ),
        _output.render_entries,
    )


@main.command()
@click.option("--name", default="operator", help="name of the token")
@click.option("--role", type=click.Choice(_ROLES), default="operator")
@click.pass_obj
def token(state, name, role):
    """Make a token, and print it with the settings that admit it."""
    secret = secrets.token_hex(_TOKEN_BYTES)
    digest = administration.hash_token(secret)
    access = {"access": {name: {"sha256": digest, "role": role}}}
    _output.print_response(
        {"token": secret, "sha256": digest, **access},
        as_json=state.as_json,
        render=lambda media: (
            f"token   {secret}",
            f"sha256  {digest}",
            json.dumps(access),
        ),
    )


@main.command()
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")))
def completion(shell):
    """Print a completion script for SHELL."""
    complete = shell_completion.get_completion_class(shell)
    script = complete(main, {}, "wigeonrouter", "_WIGEONROUTER_COMPLETE")
    click.echo(script.source())


@main.command()
def reference():
    """Print the settings reference as Markdown."""
    click.echo(settings_api.render_reference(), nl=False)


def _read_document(state, file, settings_only):
    """Read and validate a file; print errors and exit if it is invalid.

    Returns:
      A pair: the document as bytes, and its message.
    """
    text = file.read()
    message_type = (
        settings_pb2.Settings if settings_only else settings_pb2.Node
    )
    parsed = settings_api.parse_document(text=text, message_type=message_type)
    if not pipeline.is_successful(parsed):
        _output.fail_document(
            _file_name(file), parsed.failure(), as_json=state.as_json
        )
    return text, parsed.unwrap()


def _file_name(file):
    # A stream that replaces standard input may have no name.
    return getattr(file, "name", "<stdin>")


@main.command()
@click.argument("request_id", required=False)
@click.argument("log", type=click.File(errors="replace"), default="-")
@click.option("--node", type=_Servers(), help="control address of a node")
@click.option("--host", help="with --node: host of the request")
@click.option("--path", help="with --node: path of the request")
@click.option("--tenant", help="with --node: name of its tenant, not a key")
@click.option("--json", "as_json", is_flag=True, help="with --node: as JSON")
@click.pass_obj
def explain(state, request_id, log, node, host, path, tenant, as_json):
    """Tell what happened to a request, from the LOG of a node (or stdin).

    With --node, tell instead where a request would go now. It is not sent.
    """
    if node is not None:
        if request_id is not None or host is None or path is None:
            raise click.UsageError("--node takes --host and --path only")
        _explain_at_node(state, node, as_json, host, path, tenant)
        return
    if request_id is None or host or path or tenant or as_json:
        raise click.UsageError("give REQUEST_ID, or --node, --host and --path")
    search_result = _explain.search(log, request_id)
    if not search_result.events:
        click.echo(
            f"wigeonrouter: no line about {request_id}; "
            f"{search_result.malformed} unreadable lines, "
            f"{search_result.dropped} were not written",
            err=True,
        )
        raise SystemExit(1)
    for text in _explain.render(search_result):
        click.echo(text)


def _explain_at_node(state, node, as_json, host, path, tenant):
    # Nodes take no tokens of operators.
    client = _client.Client(
        servers=node, token="", timeout=state.client.timeout
    )
    node_state = _State(client=client, as_json=as_json or state.as_json)
    node_state.finish(
        client.read("/explain", host=host, path=path, tenant=tenant),
        _node_explanation.render,
    )


if __name__ == "__main__":
    main()
