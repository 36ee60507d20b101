"""Exit codes and signals of the command, with real processes."""

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time

import pytest

from wigeonrouter import core
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes

_STORE, _CALLER, _ADMIN, _PEER = _ports.free_addresses(4)
_SETTINGS = {
    "daemon_id": "entry-1",
    "region": "north",
    "failure_domain": "north-a",
    "caller_address": _CALLER,
    "admin_address": _ADMIN,
    "peer_address": _PEER,
    "store": {"address": _STORE},
}


def _run(path):
    return subprocess.run(
        [sys.executable, "-m", "wigeonrouter.daemon.main"]
        + ["--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize(
    ("changes", "lines"),
    [
        ({"region": "North", "seeds": ["x"]}, ["$.region", "$.seeds[0]"]),
        ({"regions": "north"}, ["$.regions"]),
        ({"caller_address": "127.0.0.1:99999"}, ["caller_address"]),
        ({"admin_address": "127.0.0.999:27201"}, ["admin_address"]),
        ({"store": {"address": _STORE, "adapter": "none"}}, ["store"]),
    ],
)
def test_wrong_settings_exit_with_78(tmp_path, changes, lines):
    """Guards against a traceback, or a start, with wrong settings."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**_SETTINGS, **changes}))
    ended = _run(path)
    assert ended.returncode == 78
    shown = ended.stderr.splitlines()
    assert len(shown) == len(lines)
    for line, part in zip(shown, lines, strict=True):
        assert line.startswith(f"wigeonrouterd: {path}: ") and part in line


@pytest.mark.parametrize(
    "name", ["caller_address", "admin_address", "peer_address"]
)
def test_address_in_use_exits_with_69(tmp_path, name):
    """Guards against a daemon that runs without one of its servers."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(_SETTINGS))
    address = core.parse_address(_SETTINGS[name])
    with contextlib.closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen()
        ended = _run(path)
    assert ended.returncode == 69
    assert ended.stderr.splitlines() == [
        f"wigeonrouterd: {path}: cannot listen on {name} {address}: "
        "Address already in use"
    ]


@pytest.fixture
def fleet():
    """One daemon with a store."""
    with _processes.Fleet() as started:
        started.start_store(_STORE)
        started.start_daemon(
            daemon_id="entry-1",
            place=core.Place(region="north", failure_domain="north-a"),
            ports=[
                core.parse_address(address).port
                for address in (_CALLER, _ADMIN, _PEER)
            ],
            store=_STORE,
            log={"format": "json"},
        )
        yield started


def _ttl_ms():
    connection = http.client.HTTPConnection(_ADMIN, timeout=5)
    with contextlib.closing(connection):
        connection.request("GET", "/v1/entries")
        return json.loads(connection.getresponse().read())["ttl_ms"]


def _wait_for_line(fleet, message):
    ends = time.monotonic() + 20
    while time.monotonic() < ends:
        for line in fleet.output("entry-1").splitlines():
            if message in line:
                return line
        time.sleep(0.05)
    raise AssertionError(f"no line {message!r}")


def test_sighup_changes_what_needs_no_restart(fleet):
    """Guards against settings that are taken over half or not at all."""
    assert json.loads(fleet.output("entry-1").splitlines()[0])["level"]
    fleet.change_settings(
        "entry-1",
        entry_ttl_ms=700,
        region="south",
        log={"format": "text", "level": "debug"},
    )
    fleet.send_signal("entry-1", signal.SIGHUP)
    line = _wait_for_line(fleet, "settings reloaded")
    assert line.endswith("changed=entry_ttl,log_format,log_level")
    line = _wait_for_line(fleet, "need a restart")
    assert line.endswith("kept=place")
    assert _ttl_ms() == 700


def test_sighup_with_a_broken_file_changes_nothing(fleet):
    """Guards against a daemon that stops or runs with half a file."""
    before = _ttl_ms()
    with open(fleet.settings_path("entry-1"), "w") as file:
        file.write('{"entry_ttl_ms": 700')
    fleet.send_signal("entry-1", signal.SIGHUP)
    line = _wait_for_line(fleet, "settings file rejected")
    assert "not readable as JSON" in json.loads(line)["error"]
    assert _ttl_ms() == before
    fleet.send_signal("entry-1", signal.SIGTERM)
    assert fleet.wait("entry-1") == 0
