"""Starts and ends the processes of a measurement or demonstration."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from wigeonrouter import core

TOKEN = "bench-token"
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0


class StartFailed(Exception):
    """A process did not become ready."""


class Fleet:
    """Owns the processes that it started, and ends only those."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self._processes = {}
        self._documents = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def start_store(self, address, *, vms=()):
        """Start a store stand-in."""
        self._start(
            "store",
            ["-m", "wigeonrouter.standins.main", "store"]
            + ["--address", address, "--vms", json.dumps(list(vms))],
        )

    def start_backends(self, name, addresses, *, service_ms):
        """Start one process that serves all given backend addresses."""
        arguments = ["-m", "wigeonrouter.standins.main", "backend"]
        arguments += ["--service-ms", str(service_ms)]
        for address in addresses:
            arguments += ["--address", address]
        self._start(name, arguments)

    def start_daemon(
        self, *, daemon_id, place, ports, store, seeds=(), **more
    ):
        """Start a daemon and wait until it is ready.

        Args:
          daemon_id: its name.
          place: core.Place.
          ports: caller, admin and peer port.
          store: address of the store.
          seeds: peer addresses.
          more: further daemon settings.
        """
        caller, admin, peer = (f"127.0.0.1:{port}" for port in ports)
        document = {
            "daemon_id": daemon_id,
            "region": place.region,
            "failure_domain": place.failure_domain,
            "caller_address": caller,
            "admin_address": admin,
            "peer_address": peer,
            "seeds": list(seeds),
            "store": {"address": store},
            "bootstrap_token_sha256": hashlib.sha256(
                TOKEN.encode()
            ).hexdigest(),
            **more,
        }
        self.write_settings(daemon_id, document)
        self.restart_daemon(daemon_id)

    def restart_daemon(self, daemon_id):
        """Start a daemon with its settings file and wait until it is ready."""
        path = self.settings_path(daemon_id)
        self._start(
            daemon_id,
            ["-m", "wigeonrouter.daemon.main", "--settings", path],
        )
        admin = self._documents[daemon_id]["admin_address"]
        try:
            wait_ready(core.parse_address(admin))
        except StartFailed as error:
            raise StartFailed(
                f"{error}; its output ends with "
                f"{self.output(daemon_id)[-1000:]!r}"
            ) from error

    def settings_path(self, daemon_id):
        """Return the name of a daemon's settings file."""
        return os.path.join(self._directory.name, f"{daemon_id}.json")

    def change_settings(self, daemon_id, **changes):
        """Change the settings file of a daemon."""
        self.write_settings(
            daemon_id, {**self._documents[daemon_id], **changes}
        )

    def write_settings(self, daemon_id, document):
        """Write the settings file of a daemon."""
        self._documents[daemon_id] = document
        with open(
            self.settings_path(daemon_id), "w", encoding="utf-8"
        ) as file:
            json.dump(document, file)

    def output(self, name):
        """Return what a process has written so far."""
        path = os.path.join(self._directory.name, f"{name}.log")
        with open(path, encoding="utf-8") as file:
            return file.read()

    def pid(self, name):
        """Return the process id of a process."""
        return self._processes[name].pid

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def wait(self, name):
        """Wait for the end of a process and return its exit code."""
        return self._processes.pop(name).wait(timeout=_STOP_TIMEOUT_S)

    def end(self, name):
        """Kill a process at once."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def close(self):
        """End all processes."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._directory.cleanup()

    def _start(self, name, arguments):
        path = os.path.join(self._directory.name, f"{name}.log")
        with open(path, "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )


def wait_ready(address):
    """Wait until the daemon with an admin address is ready.

    Raises:
      StartFailed: it was not ready in time.
    """
    ends = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < ends:
        try:
            with urllib.request.urlopen(f"http://{address}/readyz", timeout=1):
                return
        except OSError:
            time.sleep(0.05)
    raise StartFailed(f"daemon at {address} is not ready")


def run_cli(*arguments, server):
    """Run the command-line tool and return its standard output."""
    return subprocess.run(
        [sys.executable, "-m", "wigeonrouter.cli.main", *arguments],
        env={
            **os.environ,
            "WIGEONROUTER_SERVER": server,
            "WIGEONROUTER_TOKEN": TOKEN,
        },
        check=True,
        capture_output=True,
        text=True,
    ).stdout
