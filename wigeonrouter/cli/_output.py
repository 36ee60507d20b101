"""Prints responses and failures as text or JSON, and sets the exit code.

The exit codes are part of the interface; docs/OPERATIONS.md lists them.
"""

import datetime
import json
import sys

import click

from wigeonrouter.cli import _client

EXIT_REFUSED = 1
# click exits with 2 for invalid arguments.
EXIT_INVALID = 3
EXIT_UNREACHABLE = 4
EXIT_CONFLICT = 5
EXIT_UNDETERMINED = 6
EXIT_UNAUTHORIZED = 7
EXIT_UNAVAILABLE = 8
EXIT_NOT_FOUND = 9
EXIT_DIFFERENT = 10

_EXIT_BY_PROBLEM = {
    "invalid-document": EXIT_INVALID,
    "conflict": EXIT_CONFLICT,
    "change-id-reused": EXIT_CONFLICT,
    "undetermined": EXIT_UNDETERMINED,
    "unauthenticated": EXIT_UNAUTHORIZED,
    "forbidden": EXIT_UNAUTHORIZED,
    "store-unavailable": EXIT_UNAVAILABLE,
    "not-ready": EXIT_UNAVAILABLE,
    "no-node": EXIT_NOT_FOUND,
    "no-service": EXIT_NOT_FOUND,
    "no-backend-server": EXIT_NOT_FOUND,
    "revision-not-retained": EXIT_NOT_FOUND,
}


def print_response(media, *, as_json, render):
    """Print a response.

    Args:
      media: the decoded response, a dict.
      as_json: whether to print it as JSON.
      render: function that takes media and yields lines of text.
    """
    if as_json:
        click.echo(json.dumps(media, indent=2))
        return
    for line in render(media):
        click.echo(line)


def fail(failure, *, as_json, change_id=None):
    """Print a failure to standard error and exit with its code.

    Args:
      failure: Unreachable, ProblemResponse or ReplyLost of _client.
      as_json: whether to print JSON instead of text.
      change_id: change id of a failed change, or None.
    """
    if isinstance(failure, _client.ProblemResponse):
        media = failure.problem
        name = str(media.get("type", "")).rpartition(":")[2]
        code = _EXIT_BY_PROBLEM.get(name, EXIT_REFUSED)
        lines = _problem_lines(name, media)
        if change_id is not None and name == "internal":
            # The daemon may have failed after it wrote the change.
            code = EXIT_UNDETERMINED
    elif isinstance(failure, _client.ReplyLost):
        name, code = "reply-lost", EXIT_UNDETERMINED
        media = {"server": failure.server, "detail": failure.detail}
        lines = [
            f"{failure.server}: the reply was lost ({failure.detail}); the "
            "request may have taken effect"
        ]
    else:
        name, code = "unreachable", EXIT_UNREACHABLE
        media = {"attempts": dict(failure.attempts)}
        lines = [f"{server}: {cause}" for server, cause in failure.attempts]
    if change_id is not None:
        media = {**media, "change_id": change_id}
        if code in (EXIT_UNDETERMINED, EXIT_UNAVAILABLE, EXIT_UNREACHABLE):
            lines.append(f"to repeat it safely: --change-id {change_id}")
    if as_json:
        click.echo(json.dumps({"error": name, **media}, indent=2), err=True)
    else:
        for line in lines:
            click.echo(f"wigeonrouter: {line}", err=True)
    sys.exit(code)


def fail_document(name, errors, *, as_json):
    """Print the errors of a local file to standard error and exit.

    Args:
      name: name of the file.
      errors: iterable of settings.DocumentError.
      as_json: whether to print JSON instead of text.
    """
    if as_json:
        media = {
            "error": "invalid-document",
            "errors": [
                {
                    "path": error.path,
                    "problem": error.problem,
                    "allowed": error.allowed,
                }
                for error in errors
            ],
        }
        click.echo(json.dumps(media, indent=2), err=True)
    else:
        for error in errors:
            click.echo(f"{name}: {error}", err=True)
    sys.exit(EXIT_INVALID)


def render_change(media):
    """Yield the lines that describe an accepted change."""
    others = ", ".join(media["acknowledged_by"]) or "no other daemon"
    yield f"revision {media['revision']}, acknowledged by {others}"
    yield f"change id {media['change_id']}"


def render_effective(media):
    """Yield a line for each effective setting, with its origin."""
    yield f"{media['path']} at revision {media['revision']}"
    origins = media["origins"]
    for field, value in _flatten(media["settings"], "", origins):
        yield f"{field} = {json.dumps(value)}  ({origins.get(field, '/')})"


def render_differences(media):
    """Yield the lines of a comparison, like those of diff."""
    if not media["differences"]:
        yield "no differences"
    for item in media["differences"]:
        location = f"{item['path']} {item['field']}".strip()
        if item["before"] is not None:
            yield f"- {location}: {json.dumps(item['before'])}"
        if item["after"] is not None:
            yield f"+ {location}: {json.dumps(item['after'])}"
    if media["truncated"]:
        yield "(more differences are not shown)"


def render_history(media):
    """Yield a line for each revision."""
    for entry in media["entries"]:
        yield (
            f"{entry['revision']:>8}  {format_time(entry['time_ms'])}  "
            f"{entry['author']}  {' '.join(entry['paths'])}  "
            f"{entry['comment']}"
        ).rstrip()


def render_status(media):
    """Yield the lines that describe a daemon, its peers and its traffic."""
    ready = "ready" if media["ready"] else "not ready"
    yield f"{media['daemon_id']}: {ready}, revision {media['revision']}"
    for member in media["members"]:
        yield (
            f"  {member['daemon_id']:24} {member['state']:8} "
            f"{member['region']}/{member['failure_domain']} "
            f"{member['caller_address']}"
        )
    for row in media["requests"]:
        yield "  " + " ".join(f"{key}={value}" for key, value in row.items())


def render_entries(media):
    """Yield a line for each entry."""
    for entry in media["entries"]:
        home = "home" if entry["home"] else "-"
        yield (
            f"{entry['address']:22} {home:5} "
            f"{entry['region']}/{entry['failure_domain']} "
            f"{entry['request_id_prefix']}"
        )


def format_time(time_ms):
    """Return a time in milliseconds since the epoch as ISO 8601 in UTC.

    The resolution is one second.
    """
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _problem_lines(name, media):
    lines = [f"{name}: {media.get('detail', '')}"]
    for error in media.get("errors", ()):
        lines.append(
            f"{error['path']}: {error['problem']}; allowed: {error['allowed']}"
        )
    return lines


def _flatten(value, prefix, origins):
    """Yield (dotted field name, value) for each field that has an origin."""
    for key, item in value.items():
        name = f"{prefix}{key}"
        if isinstance(item, dict) and name not in origins:
            yield from _flatten(item, f"{name}.", origins)
        else:
            yield name, item
