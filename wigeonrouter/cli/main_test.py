"""Guards against wrong reports of commands and unsafe repetition of writes."""

import json
import pathlib
import re
import socket

from click import testing
from gevent import pywsgi
from gevent import server as gevent_server
import pytest

from wigeonrouter import administration
from wigeonrouter import observability
from wigeonrouter.administration import conftest
from wigeonrouter.cli import _output
from wigeonrouter.cli import main as cli
from wigeonrouter.schema import store_pb2


@pytest.fixture
def run(store):
    """A function that runs the command against an API server.

    It returns the click result.
    """
    daemon = conftest.FakeDaemon(store=store)
    server = pywsgi.WSGIServer(
        ("127.0.0.1", 0), administration.build_app(daemon=daemon), log=None
    )
    server.start()

    def run_command(*arguments, servers=None, stdin=None):
        address = servers or f"127.0.0.1:{server.server_port}"
        return testing.CliRunner().invoke(
            cli.main,
            ["--server", address, "--token", "root", *arguments],
            input=json.dumps(stdin) if stdin is not None else None,
        )

    run_command.address = f"127.0.0.1:{server.server_port}"
    run_command.daemon = daemon
    yield run_command
    server.stop()


@pytest.fixture
def silent_server():
    """A server that reads a request and closes without a response."""
    requests = []

    def handle(connection, _):
        requests.append(connection.recv(65536))
        connection.close()

    server = gevent_server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    yield f"127.0.0.1:{server.server_port}", requests
    server.stop()


@pytest.fixture
def closed_address():
    """An address that refuses connections."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


_NODE = conftest.service("x", 7001)
_LIMIT = {"limits": {"max_queue": 3}}


def test_the_commands_of_an_operator_end_to_end(run):
    steps = [
        (("apply", "/a/x", "-"), _NODE, "revision 1, acknowledged"),
        (("apply", "/a/x", "-", "--settings-only"), _LIMIT, "revision 2"),
        (("show", "/a/x"), None, '"max_queue": 3'),
        (("effective", "/a/x"), None, "limits.max_queue = 3  (/a/x)"),
        (("history", "/a"), None, "bootstrap  /a/x"),
        (("diff", "/a/x", "--from", "1"), None, "+ /a/x limits.max_queue: 3"),
        (("diff", "/a/x", "-"), _NODE, "- /a/x limits.max_queue: 3"),
        (("rollback", "/a/x", "--revision", "1"), None, "revision 3"),
        (("diff", "/", "--from", "1", "--to", "3"), None, "no differences"),
        (("validate", "-", "--path", "/a/x", "--remote"), _NODE, "valid"),
        (("drain", "127.0.0.1:7001"), None, "draining in /a/x"),
        (("drain", "127.0.0.1:7001", "--undo"), None, "returning in /a/x"),
        (("status",), None, "d: ready, revision 3"),
        (("--output", "json", "entries"), None, '"entries": []'),
        (("apply", "/a", "--remove"), None, "revision 4"),
    ]
    for arguments, document, expected in steps:
        outcome = run(*arguments, stdin=document)
        assert outcome.exit_code == 0, (arguments, outcome.output)
        assert expected in outcome.stdout
    changes = {"changes": [{"path": "/b", "node": {}}]}
    outcome = run("apply", "--changes", "-", stdin=changes)
    assert "revision 5" in outcome.stdout


def _bad(**node):
    return {"settings": {**_NODE["settings"], **node}}


@pytest.mark.parametrize(
    ("arguments", "document", "code", "shown"),
    [
        (("status", "--nonsense"), None, 2, "nonsense"),
        (("apply", "/a"), None, 2, "give PATH"),
        (("validate", "-"), {"x": 1}, 3, "$.x: unknown key; allowed"),
        (
            ("validate", "-"),
            _bad(limits={"default_timeout_ms": 9, "max_timeout_ms": 8}),
            3,
            "$.settings.limits.default_timeout_ms: 9 is above",
        ),
        (
            ("apply", "/a", "-"),
            _bad(routing={"policy": "best"}),
            3,
            "$.settings.routing.policy",
        ),
        (("apply", "/A b?&c", "-"), {}, 1, "path"),
        (("apply", "/a", "-", "--base", "0"), {}, 5, "conflict: /a was"),
        (("apply", "/a", "-", "--change-id", "c1"), {}, 5, "change-id-reused"),
        (("--token", "bad", "show"), None, 7, "unauthenticated"),
        (("show", "/nothing"), None, 9, "no node at /nothing"),
        (("rollback", "/a", "--revision", "9"), None, 9, "allowed: 0 to 1"),
        (("diff", "/a", "--from", "0", "--exit-code"), None, 10, "+ /a"),
    ],
)
def test_each_failure_has_its_exit_code_and_says_what_is_allowed(
    run, arguments, document, code, shown
):
    assert (
        run("apply", "/a", "-", "--change-id", "c1", stdin=_NODE).exit_code
        == 0
    )
    outcome = run(*arguments, stdin=document)
    assert outcome.exit_code == code, outcome.output
    assert shown in outcome.output


def test_an_outage_has_its_exit_code_and_the_change_id(run, store_standin):
    store_standin.inject(store_pb2.FaultCall(down=True))
    outcome = run("apply", "/a", "-", "--change-id", "c1", stdin={})
    assert outcome.exit_code == 8
    assert "--change-id c1" in outcome.stderr


def test_a_daemon_that_fails_leaves_a_change_undetermined(run, monkeypatch):
    monkeypatch.setattr(run.daemon, "accept", None)
    outcome = run("apply", "/a", "-", "--change-id", "c1", stdin={})
    assert outcome.exit_code == 6
    assert "--change-id c1" in outcome.stderr


def test_reads_fail_over_to_the_next_server(
    run, silent_server, closed_address
):
    servers = f"{closed_address},{silent_server[0]},{run.address}"
    assert run("status", servers=servers).exit_code == 0
    assert len(silent_server[1]) == 1


def test_a_write_fails_over_only_if_nothing_was_sent(
    run, silent_server, closed_address
):
    servers = f"{closed_address},{run.address}"
    assert run("apply", "/a", "-", servers=servers, stdin={}).exit_code == 0
    servers = f"{silent_server[0]},{run.address}"
    outcome = run(
        "apply", "/b", "-", "--change-id", "c2", servers=servers, stdin={}
    )
    assert outcome.exit_code == 6
    assert "--change-id c2" in outcome.stderr
    assert run.daemon.replica.revision == 1
    assert len(silent_server[1]) == 1
    outcome = run("status", servers=closed_address)
    assert outcome.exit_code == 4


def test_show_prints_the_base_that_prevents_a_lost_update(run):
    run("apply", "/a", "-", stdin={})
    shown = run("show", "/a")
    assert json.loads(shown.stdout) == {}
    assert "--base 1" in shown.stderr
    run("apply", "/a", "-", stdin=_NODE)
    outcome = run("apply", "/a", "-", "--base", "1", stdin={})
    assert outcome.exit_code == 5
    assert "/a was changed by revision 2, after revision 1" in outcome.stderr


def test_arguments_are_encoded(run):
    comment = "ä & base=9 #1?%"
    assert (
        run("apply", "/a", "-", "--comment", comment, stdin={}).exit_code == 0
    )
    shown = json.loads(run("--output", "json", "history").stdout)
    assert shown["entries"][0]["comment"] == comment


def test_errors_are_json_if_requested(run):
    outcome = run("--output", "json", "show", "/nothing")
    assert json.loads(outcome.stderr)["error"] == "no-node"
    outcome = run("--output", "json", "validate", "-", stdin={"x": 1})
    assert json.loads(outcome.stderr)["errors"][0]["path"] == "$.x"


def test_a_new_token_is_accepted_with_the_settings_printed_with_it(run):
    new_token = json.loads(run("--output", "json", "token").stdout)
    assert len(new_token["token"]) == 64
    access = {"access": new_token["access"]}
    run("apply", "/a", "-", "--settings-only", stdin=access)
    outcome = run("--token", new_token["token"], "show", "/a")
    assert outcome.exit_code == 0
    assert new_token["sha256"] not in outcome.stdout


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_scripts_name_the_command(run, shell):
    assert "wigeonrouter" in run("completion", shell).stdout


_DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_the_committed_settings_reference_is_current(run):
    page = (_DOCS / "configuration.md").read_text(encoding="utf-8")
    assert run("reference").stdout == page


def test_the_operations_page_lists_all_commands_and_exit_codes():
    page = (_DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    commands = set(re.findall(r"^\| `([a-z]+)[ `]", page, re.MULTILINE))
    assert set(cli.main.commands) <= commands
    codes = set(re.findall(r"^\| (\d+) \|", page, re.MULTILINE))
    known = {
        str(value)
        for name, value in vars(_output).items()
        if name.startswith("EXIT_")
    }
    assert codes == known | {"0", "2"}


def test_the_operations_page_lists_all_metrics():
    page = (_DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `(wigeonrouter_\w+)`", page, re.MULTILINE))
    text = observability.expose(
        metrics=observability.Metrics(),
        gauges=observability.Gauges(
            revision=0,
            ready=True,
            members={},
            services=(),
            unanswered_requests=0,
        ),
    )
    exposed = re.findall(r"^# TYPE (\w+)", text.decode(), re.MULTILINE)
    assert set(exposed) == listed
