"""Guards against wrong exit codes and reloads, with real processes."""

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time

import grpc
import pytest

from wigeonrouter import core
from wigeonrouter import keys
from wigeonrouter import membership
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes
from wigeonrouter.membership import _transport
from wigeonrouter.schema import peer_pb2

_STORE, _CALLER, _ADMIN, _PEER = _ports.free_addresses(4)
_TLS_PORTS = tuple(_ports.free_ports(3) for _ in range(2))
_TLS_SEED = f"127.0.0.1:{_TLS_PORTS[0][2]}"
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
        (
            {"peer_tls": {"certificate_file": "/x", "key_file": "/y"}},
            ["peer_tls"],
        ),
    ],
)
def test_invalid_settings_exit_with_78(tmp_path, changes, lines):
    """Guards against a start with invalid settings, or a traceback."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**_SETTINGS, **changes}))
    completed = _run(path)
    assert completed.returncode == 78
    error_lines = completed.stderr.splitlines()
    assert len(error_lines) == len(lines)
    for line, part in zip(error_lines, lines, strict=True):
        assert line.startswith(f"wigeonrouterd: {path}: ") and part in line


@pytest.mark.parametrize(
    "name", ["caller_address", "admin_address", "peer_address"]
)
def test_address_in_use_exits_with_69(tmp_path, name):
    """Guards against a daemon that runs without one of its listeners."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(_SETTINGS))
    address = core.parse_address(_SETTINGS[name])
    with contextlib.closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen()
        completed = _run(path)
    assert completed.returncode == 69
    assert completed.stderr.splitlines() == [
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


def _wait(condition):
    deadline = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _wait_for_line(fleet, message):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        for line in fleet.output("entry-1").splitlines():
            if message in line:
                return line
        time.sleep(0.05)
    raise AssertionError(f"no line {message!r}")


def test_sighup_applies_reloadable_settings(fleet):
    """Guards against a reload that applies only some settings, or none."""
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
    """Guards against a reload of a broken file that stops the daemon.

    The daemon must not apply a part of the file either.
    """
    before = _ttl_ms()
    with open(fleet.settings_path("entry-1"), "w") as file:
        file.write('{"entry_ttl_ms": 700')
    fleet.send_signal("entry-1", signal.SIGHUP)
    line = _wait_for_line(fleet, "settings file rejected")
    assert "not readable as JSON" in json.loads(line)["error"]
    assert _ttl_ms() == before
    fleet.send_signal("entry-1", signal.SIGTERM)
    assert fleet.wait("entry-1") == 0


def _peer_tls(folder, daemon_id, signer, accepted):
    return {
        "authority_files": [
            str(folder / name / "authority.pem") for name in accepted
        ],
        "certificate_file": str(folder / signer / f"{daemon_id}.pem"),
        "key_file": str(folder / signer / f"{daemon_id}-key.pem"),
    }


def _is_accepted(folder, signer):
    """Return whether entry-1 serves entry-2 with a signer's certificate."""
    tls = membership.PeerTls(
        **_peer_tls(folder, "entry-2", signer, ["old", "new"])
    )
    channels = _transport.PeerChannels(tls=tls)
    stub = channels.stub(core.parse_address(_TLS_SEED))
    request = peer_pb2.ClaimRequest(request_id="x", claimant="entry-2~1")
    try:
        stub.Claim(
            request,
            timeout=5,
            metadata=((_transport.SENDER_KEY, "entry-2"),),
        )
    except grpc.RpcError:
        return False
    finally:
        channels.close()
    return True


def test_daemons_replace_their_certificates_without_a_restart(tmp_path):
    """Guards against a change of the authority that requires a restart."""
    names = ("entry-1", "entry-2")
    for signer in ("old", "new"):
        (tmp_path / signer).mkdir()
        keys.create_authority(directory=tmp_path / signer)
        for name in names:
            keys.create_daemon_certificate(
                directory=tmp_path / signer,
                daemon_id=name,
                addresses=["127.0.0.1"],
            )
    with _processes.Fleet() as fleet:
        fleet.start_store(_STORE)
        for number, name in enumerate(names):
            fleet.start_daemon(
                daemon_id=name,
                place=core.Place(region="north", failure_domain="north-a"),
                ports=_TLS_PORTS[number],
                store=_STORE,
                seeds=[_TLS_SEED],
                entry_ttl_ms=200,
                peer_tls=_peer_tls(tmp_path, name, "old", ["old"]),
            )
        for signer, accepted in (
            ("old", ["old", "new"]),
            ("new", ["old", "new"]),
            ("new", ["new"]),
        ):
            for name in names:
                tls = _peer_tls(tmp_path, name, signer, accepted)
                fleet.change_settings(name, peer_tls=tls)
                reloads = fleet.output(name).count("settings reloaded")
                fleet.send_signal(name, signal.SIGHUP)
                _wait(
                    lambda n=name, r=reloads: (
                        fleet.output(n).count("settings reloaded") > r
                    )
                )
        # A certificate of the old authority is no longer accepted.
        assert not _is_accepted(tmp_path, "old")
        assert _is_accepted(tmp_path, "new")
        # The restart of a peer makes entry-2 connect with its new files.
        fleet.send_signal("entry-1", signal.SIGTERM)
        assert fleet.wait("entry-1") == 0
        alive = fleet.output("entry-2").count("entry-1 state=alive")
        fleet.restart_daemon("entry-1")
        _wait(
            lambda: (
                fleet.output("entry-2").count("entry-1 state=alive") > alive
            )
        )
        # A daemon that shuts down logs how many peers it notified.
        fleet.send_signal("entry-2", signal.SIGTERM)
        assert fleet.wait("entry-2") == 0
        assert "leaving peers_told=1 peers=1" in fleet.output("entry-2")
        # No daemon was suspected meanwhile.
        for name in names:
            assert "state=suspect" not in fleet.output(name)
